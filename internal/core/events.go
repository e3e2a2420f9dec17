// Package core holds the state of one controller and makes all its decisions. It does no input
// or output and has no goroutines, clock or logger: it is given events and the current time, and
// returns effects that the runtime carries out.
package core

import "roadcleat/internal/model"

// Event is an input of the core. Only the types of this package implement it. The runtime assigns
// the request ids of events, and the replies carry the same ids.
type Event interface{ event() }

// The types of events.
type (
	// Tick only advances the core's time.
	Tick struct{}
	// CallResult is the result of the Call with the id CallID.
	CallResult struct {
		CallID uint64
		Result Result
	}
	// JobSubmission is a user's submission of a job. Users repeat submissions that were not answered.
	JobSubmission struct {
		RequestID       uint64
		Spec            model.JobSpec
		MalformedReason string // why the request body is invalid, empty if it is valid
	}
	// JobQuery is a user's request for the state of the job with the given ID.
	JobQuery struct {
		RequestID uint64
		ID        string
	}
	// JobCancellation is a user's request to cancel the job with the given ID.
	JobCancellation struct {
		RequestID uint64
		ID        string
	}
	// Heartbeat is a heartbeat of a worker. It carries the worker's status.
	Heartbeat struct {
		RequestID uint64
		Status    WorkerStatus
	}
	// PeerMessage is a message received from another controller.
	PeerMessage struct {
		PeerIndex int // the sender's index in Config.Peers
		Message   Message
	}
	// Overloaded reports that requests were rejected because sockets or queue capacity ran
	// out, or were dropped because their senders had timed out before they were handled.
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

// WithRequestID returns the event with the given request id if it is a request of a user or
// worker, which the core answers under that id. It returns other events unchanged.
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
