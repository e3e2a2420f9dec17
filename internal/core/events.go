// Package core holds the state of one controller and all its decisions. It does no input or
// output and has no goroutines, clock or logger: events and the time go in, effects come out.
package core

import "roadcleat/internal/model"

// Event is something that has happened. The set is closed. Request ids are given by the
// runtime and come back in the replies.
type Event interface{ event() }

// Events.
type (
	// Tick lets time pass.
	Tick struct{}
	// CallResult is the result of a Call.
	CallResult struct {
		CallID uint64
		Result Result
	}
	// JobSubmission is a user's submission of a job, which may be a repeated one.
	JobSubmission struct {
		RequestID uint64
		Spec      model.JobSpec
		Malformed string // what is wrong with the body, or empty
	}
	// JobQuery asks for a job's state.
	JobQuery struct {
		RequestID uint64
		ID        string
	}
	// JobCancellation cancels a job.
	JobCancellation struct {
		RequestID uint64
		ID        string
	}
	// Heartbeat is a worker's heartbeat with its status.
	Heartbeat struct {
		RequestID uint64
		Status    WorkerStatus
	}
	// PeerMessage came from another controller.
	PeerMessage struct {
		From    int // index in Config.Peers
		Message Message
	}
	// Overloaded says that requests were turned away for want of sockets or room, or
	// dropped because their senders had given up before they were looked at.
	Overloaded struct{}
)

func (Tick) event()            {}
func (CallResult) event()      {}
func (JobSubmission) event()   {}
func (JobQuery) event()        {}
func (JobCancellation) event() {}
func (Heartbeat) event()       {}
func (PeerMessage) event()     {}
func (Overloaded) event()      {}

// WithRequestID gives a request of a user or worker the id by which it is answered. Events
// that nobody waits for are returned as they are.
func WithRequestID(event Event, id uint64) Event {
	switch e := event.(type) {
	case JobSubmission:
		e.RequestID = id
		return e
	case JobQuery:
		e.RequestID = id
		return e
	case JobCancellation:
		e.RequestID = id
		return e
	case Heartbeat:
		e.RequestID = id
		return e
	}
	return event
}
