package core

import (
	"log/slog"

	"roadcleat/internal/model"
)

// Effect is something that the runtime is to do. The set is closed.
type Effect interface{ effect() }

// Effects.
type (
	// Call asks for an operation outside. It is answered by exactly one CallResult.
	Call struct {
		ID        uint64
		Operation Operation
	}
	// UserReply answers a user.
	UserReply struct {
		RequestID  uint64
		Status     int             // of HTTP
		Job        model.JobStatus // with status 200 and 201
		RetryAfter int             // seconds, 0 for none
		Text       string          // what went wrong, with any other status
	}
	// HeartbeatReply answers a worker's heartbeat.
	HeartbeatReply struct {
		RequestID uint64
		Status    int // of HTTP
		Token     uint64
		Commands  []Command
		Owner     string // the controller to turn to, with status 421; empty if unknown
	}
	// SendToPeer sends a message to another controller.
	SendToPeer struct {
		To      int // index in Config.Peers
		Message Message
	}
	// BudgetShare is this controller's share, from 0 to 1, of the requests and writes that
	// all controllers may ask of the state service, and of the calls to the cloud. In
	// gossip it is what the sender asked for lately, a second.
	BudgetShare struct{ Requests, Changes, Calls float64 }
	// Observation is a measurement for the operators.
	Observation struct {
		Metric Metric
		Value  float64
	}
	// LogEvent is a line for the log.
	LogEvent struct {
		Level   slog.Level
		Message string
		Args    []any // keys and values in turn
	}
)

func (Call) effect()           {}
func (UserReply) effect()      {}
func (HeartbeatReply) effect() {}
func (SendToPeer) effect()     {}
func (BudgetShare) effect()    {}
func (Observation) effect()    {}
func (LogEvent) effect()       {}

// Metric is what an Observation measures.
type Metric int

// Metrics.
const (
	MetricTaskWait    Metric = iota // seconds from a job's submission to a task's start
	MetricImageFetch                // seconds of an image fetch
	MetricCommitBatch               // jobs accepted by one transaction
)
