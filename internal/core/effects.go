package core

import (
	"log/slog"

	"roadcleat/internal/model"
)

// Effect is an action that the core asks the runtime to carry out. Only the types of this package
// implement it.
type Effect interface{ effect() }

// The types of effects.
type (
	// Call asks for an operation at the state service, the cloud or a worker. The runtime
	// answers it with exactly one CallResult.
	Call struct {
		ID        uint64
		Operation Operation
	}
	// UserReply answers the user's request with the given id.
	UserReply struct {
		RequestID         uint64
		HTTPStatus        int             // HTTP status code
		Job               model.JobStatus // sent with status 200 and 201 only
		RetryAfterSeconds int             // seconds after which the user may retry, 0 if not stated
		ErrorText         string          // the error, sent with any status but 200 and 201
	}
	// HeartbeatReply answers the worker's heartbeat with the given request id.
	HeartbeatReply struct {
		RequestID  uint64
		HTTPStatus int    // HTTP status code
		Token      uint64 // the owner's fencing token
		Commands   []Command
		Owner      string // with status 421: the shard's owner, to which the worker should report; empty if unknown
	}
	// SendToPeer sends a message to another controller.
	SendToPeer struct {
		PeerIndex int // the receiver's index in Config.Peers
		Message   Message
	}
	// BudgetShare is this controller's share, from 0 to 1, of the requests and the writes
	// (Changes) that all controllers together may send to the state service, and of the
	// calls (Calls) that they may send to the cloud. In gossip its fields are instead the
	// moving averages of the sender's calls per second; Calls is not set.
	BudgetShare struct{ Requests, Changes, Calls float64 }
	// Observation is one value measured for a metric.
	Observation struct {
		Metric Metric
		Value  float64
	}
	// LogEvent is a line for the controller's log.
	LogEvent struct {
		Level   slog.Level
		Message string
		Args    []any // alternating attribute keys and values
	}
)

func (Call) effect()           {}
func (UserReply) effect()      {}
func (HeartbeatReply) effect() {}
func (SendToPeer) effect()     {}
func (BudgetShare) effect()    {}
func (Observation) effect()    {}
func (LogEvent) effect()       {}

// Metric identifies what an Observation measures.
type Metric int

// The metrics.
const (
	MetricTaskWaitSeconds   Metric = iota // seconds from the submission of a job to the start of one of its tasks
	MetricImageFetchSeconds               // seconds that a worker needed to fetch an image
	MetricCommitBatchJobs                 // number of jobs accepted by one transaction
)
