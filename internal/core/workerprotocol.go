package core

import (
	"fmt"

	"roadcleat/internal/model"
)

// The core's view of the worker protocol: what workers report and what they are told.

// TaskState is the state of a task on a machine, as its worker reports it. The zero value
// means that the worker has not reported the task yet.
type TaskState int

// States of a task on a machine.
const (
	TaskFetching       TaskState = iota + 1 // waits for its image
	TaskWaitingForGang                      // has its image and waits for the rest of its gang
	TaskRunning
	TaskSaving // was told to stop and saves a checkpoint
	TaskExited // see ExitCause
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

// ExitCause says why a task has ended, or why its worker refused to start it.
type ExitCause int

// Causes of a task's end.
const (
	ExitDone           ExitCause = iota + 1 // completed
	ExitStopped                             // stopped by command
	ExitFailed                              // the task or the machine failed
	ExitNoRoom                              // start refused: not enough free resources
	ExitInUse                               // start refused: another attempt is on the machine
	ExitNoSuchTask                          // start refused: the worker finds no such job or task
	ExitGangIncomplete                      // the rest of its gang did not come, or left
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
	case ExitNoRoom:
		return "no room"
	case ExitInUse:
		return "in use"
	case ExitNoSuchTask:
		return "no such task"
	case ExitGangIncomplete:
		return "gang incomplete"
	}
	return fmt.Sprintf("exit cause %d", int(c))
}

// TaskStatus is one task in a worker's status.
type TaskStatus struct {
	Task    model.TaskID
	Attempt uint64
	State   TaskState
	Cause   ExitCause // of a task that has exited
	Saved   bool      // it saved a checkpoint when it was stopped
}

// WorkerStatus is what a worker reports in a heartbeat, or in its answer to commands.
type WorkerStatus struct {
	Host        string
	Address     string // host:port for commands
	Type        string // machine type
	Zone        string
	Spot        bool
	Incarnation uint64  // rises each time the worker's lease expires
	Seq         uint64  // rises with every status of an incarnation
	Token       uint64  // highest fencing token that the worker has seen
	SpotNotice  float64 // seconds until the cloud takes the machine back; negative if it does not
	Tasks       []TaskStatus
}

// Verb is what a command tells a worker to do.
type Verb int

// Verbs of a command.
const (
	VerbLaunch Verb = iota + 1 // start a task
	VerbStop                   // stop a task, with a grace period to save
	VerbForget                 // drop an exited task from the worker's status
)

// String names the verb for logs and tests.
func (v Verb) String() string {
	switch v {
	case VerbLaunch:
		return "launch"
	case VerbStop:
		return "stop"
	case VerbForget:
		return "forget"
	}
	return fmt.Sprintf("verb %d", int(v))
}

// Command is a command to a worker.
type Command struct {
	Verb        Verb
	Task        model.TaskID
	Attempt     uint64
	GracePeriod float64 // seconds for the task to save a checkpoint when it is stopped
}
