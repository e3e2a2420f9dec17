package core

import (
	"fmt"

	"roadcleat/internal/model"
)

// This file defines the worker protocol as the core sees it: the status that a worker reports and
// the commands that it receives. Package wire encodes both.

// TaskState is the state of a task on a machine, as its worker reports it. The zero value means
// that the worker has not reported the task yet.
type TaskState int

// States of a task on a machine.
const (
	TaskFetching       TaskState = iota + 1 // waiting for its image to be fetched
	TaskWaitingForGang                      // has its image; waiting for the other tasks of its gang
	TaskRunning
	TaskSaving // received a stop command and is saving a checkpoint
	TaskExited // has exited; ExitCause gives the cause
)

// String describes the state for operators.
func (s TaskState) String() string {
	switch s {
	case TaskFetching:
		return "fetching its image"
	case TaskWaitingForGang:
		return "waiting for its gang"
	case TaskRunning:
		return "running"
	case TaskSaving:
		return "saving"
	case TaskExited:
		return "ended"
	}
	return fmt.Sprintf("task state %d", int(s))
}

// ExitCause is the cause of a task's exit, or the reason why its worker refused to start it.
type ExitCause int

// Causes of a task's exit.
const (
	ExitDone               ExitCause = iota + 1 // completed
	ExitStopped                                 // stopped by a command
	ExitFailed                                  // the task or its machine failed
	ExitNoCapacity                              // start refused: not enough free capacity on the machine
	ExitConflictingAttempt                      // start refused: another attempt of the task is on the machine
	ExitNoSuchTask                              // start refused: the worker found no such job or task
	ExitGangIncomplete                          // other tasks of its gang exited, or did not start within the worker's limit
)

// String names the cause for logs and tests.
func (c ExitCause) String() string {
	switch c {
	case ExitDone:
		return "done"
	case ExitStopped:
		return "stopped"
	case ExitFailed:
		return "failed"
	case ExitNoCapacity:
		return "no free capacity"
	case ExitConflictingAttempt:
		return "conflicting attempt"
	case ExitNoSuchTask:
		return "no such task"
	case ExitGangIncomplete:
		return "gang incomplete"
	}
	return fmt.Sprintf("exit cause %d", int(c))
}

// TaskStatus is the state of one task in a worker's status.
type TaskStatus struct {
	Task    model.TaskID
	Attempt uint64
	State   TaskState
	Cause   ExitCause // set in state TaskExited
	Saved   bool      // the task saved a checkpoint when it was stopped
}

// WorkerStatus is the report that a worker sends in a heartbeat and in its response to commands.
type WorkerStatus struct {
	Host              string // name of the machine
	Address           string // host:port that accepts commands
	Type              string // machine type
	Zone              string
	Spot              bool
	Incarnation       uint64  // incremented each time the worker's lease expires
	Seq               uint64  // incremented with every status of an incarnation
	Token             uint64  // highest fencing token that the worker has received
	SpotNoticeSeconds float64 // seconds until the cloud reclaims the spot instance; negative without a spot notice
	Tasks             []TaskStatus
}

// Verb is the action that a command requests.
type Verb int

// Actions of commands.
const (
	VerbLaunch       Verb = iota + 1 // start a task
	VerbStop                         // stop a task, after a grace period in which it can save a checkpoint
	VerbForgetExited                 // drop an exited task from the worker's status
)

// String names the action for logs and tests.
func (v Verb) String() string {
	switch v {
	case VerbLaunch:
		return "launch"
	case VerbStop:
		return "stop"
	case VerbForgetExited:
		return "forget"
	}
	return fmt.Sprintf("verb %d", int(v))
}

// Command asks a worker to start, stop or forget one attempt of a task.
type Command struct {
	Verb               Verb
	Task               model.TaskID
	Attempt            uint64
	GracePeriodSeconds float64 // of VerbStop: seconds that the task gets to save a checkpoint
}
