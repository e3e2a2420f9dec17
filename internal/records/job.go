package records

import (
	"encoding/json"

	"roadcleat/internal/model"
)

// Job is a job as the state service holds it. Split is how its tasks were first distributed
// to shards, by zone; once tasks have moved, the assignments alone tell.
type Job struct {
	Spec  model.JobSpec         `json:"s"`
	State string                `json:"st,omitempty"` // empty while the job is unfinished
	Split map[string]TaskRanges `json:"p,omitempty"`
	Moves int                   `json:"m,omitempty"` // how often tasks have moved
}

// Final states of a job. A job that has one keeps it.
const (
	StateDone      = "done"
	StateCancelled = "withdrawn"
)

// Encode is the job's value. A spec holds no number that JSON lacks, so it cannot fail.
func (j *Job) Encode() []byte {
	value, _ := json.Marshal(j)
	return value
}

// DecodeJob reads a job's value. What could be read is returned with an error as well.
func DecodeJob(value []byte) (Job, error) {
	var j Job
	if err := json.Unmarshal(value, &j); err != nil {
		return j, &UnreadableError{Record: "job", Err: err}
	}
	return j, nil
}

// FinalState is the job's final state; ok is false while the job is unfinished.
func (j *Job) FinalState() (state model.JobState, ok bool) {
	switch j.State {
	case "":
		return model.JobPending, false
	case StateCancelled:
		return model.JobCancelled, true
	}
	return model.JobDone, true
}

// CancelledJob is the value of a cancelled job with as much as other controllers must know.
func CancelledJob() []byte { return (&Job{State: StateCancelled}).Encode() }
