package wire

import (
	"errors"
	"fmt"

	"roadcleat/internal/core"
)

// ErrHostOrZoneMissing is the error of a heartbeat without the name or the zone of the machine
// that sent it.
var ErrHostOrZoneMissing = errors.New("Host and Yard are needed")

// TaskNameError is the error of a heartbeat that contains a task name not of the form
// JOB/INDEX.
type TaskNameError struct{ Name string }

func (e *TaskNameError) Error() string { return fmt.Sprintf("Sheet %q", e.Name) }

// taskReport is the state of one task on a worker. Its type name and that of heartbeat occur in
// wireTypeNames as well, and have to be changed there together with the type.
type taskReport struct {
	Task    string `json:"Sheet"`
	Attempt uint64 `json:"Try"`
	State   string `json:"Standing"`
	Cause   string `json:"Cause,omitempty"` // why the task exited; empty before it has exited
	Saved   bool   `json:"Saved,omitempty"` // the task saved a checkpoint when it was stopped
}

// heartbeat is a worker's status: its machine, its incarnation and its tasks.
type heartbeat struct {
	Host              string       `json:"Host"`
	Address           string       `json:"Endpoint"`
	Type              string       `json:"Breed"`
	Zone              string       `json:"Yard"`
	Spot              bool         `json:"Loaners"`
	Incarnation       uint64       `json:"Shift"`
	Seq               uint64       `json:"Tally"`   // sequence number of the status within the incarnation
	Token             uint64       `json:"Baton"`   // highest fencing token that the worker has received
	SpotNoticeSeconds *float64     `json:"RecallS"` // time until the cloud reclaims the machine; nil without a spot notice
	Tasks             []taskReport `json:"Sheets"`
}

// taskStates maps the protocol's task states to those of the core.
var taskStates = map[string]core.TaskState{
	"fetching":  core.TaskFetching,
	"gathering": core.TaskWaitingForGang,
	"running":   core.TaskRunning,
	"flushing":  core.TaskSaving,
	"ended":     core.TaskExited,
}

// exitCauses maps the protocol's causes of a task's exit to those of the core.
var exitCauses = map[string]core.ExitCause{
	"done":    core.ExitDone,
	"stopped": core.ExitStopped,
	"error":   core.ExitFailed,
	"full":    core.ExitNoCapacity,
	"in_use":  core.ExitConflictingAttempt,
	"no_such": core.ExitNoSuchTask,
	"peers":   core.ExitGangIncomplete,
	"alone":   core.ExitGangIncomplete,
}

// heartbeatMessage is the name of a heartbeat in error texts, which are sent to workers.
const heartbeatMessage = "report"

// DecodeWorkerStatus decodes a worker's status: the body of POST /agent/beat, and a worker's
// reply to POST /orders and GET /show. SpotNoticeSeconds is negative if the worker has received no
// spot notice.
func DecodeWorkerStatus(body []byte) (*core.WorkerStatus, error) {
	var message heartbeat
	if err := decode(heartbeatMessage, body, &message); err != nil {
		return nil, err
	}
	if message.Host == "" || message.Zone == "" {
		return nil, &DecodeError{Message: heartbeatMessage, Err: ErrHostOrZoneMissing}
	}
	status := &core.WorkerStatus{
		Host:              message.Host,
		Address:           message.Address,
		Type:              message.Type,
		Zone:              message.Zone,
		Spot:              message.Spot,
		Incarnation:       message.Incarnation,
		Seq:               message.Seq,
		Token:             message.Token,
		SpotNoticeSeconds: -1,
		Tasks:             make([]core.TaskStatus, 0, len(message.Tasks)),
	}
	if message.SpotNoticeSeconds != nil {
		status.SpotNoticeSeconds = max(*message.SpotNoticeSeconds, 0)
	}
	for _, report := range message.Tasks {
		task, ok := parseTask(report.Task)
		if !ok {
			return nil, &DecodeError{Message: heartbeatMessage, Err: &TaskNameError{Name: report.Task}}
		}
		status.Tasks = append(status.Tasks, core.TaskStatus{
			Task:    task,
			Attempt: report.Attempt,
			State:   taskStates[report.State],
			Cause:   exitCauses[report.Cause],
			Saved:   report.Saved,
		})
	}
	return status, nil
}
