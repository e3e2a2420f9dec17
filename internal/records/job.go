package records

import (
	"encoding/json"

	"roadcleat/internal/model"
)

// Job is a job's record in the state service. Split is the initial distribution of its tasks to
// shards, by zone; after tasks have moved, only the assignments are current.
type Job struct {
	Spec  model.JobSpec         `json:"s"`
	State string                `json:"st,omitempty"` // empty while the job is unfinished
	Split map[string]TaskRanges `json:"p,omitempty"`
	Moves int                   `json:"m,omitempty"` // number of times that tasks have moved between shards
}

// Final states of a job. A final state never changes.
const (
	StateDone      = "done"
	StateCancelled = "withdrawn"
)

// Encode returns the job's value. It cannot fail: a spec holds no NaN or infinity, which JSON
// cannot represent.
func (j *Job) Encode() []byte {
	value, _ := json.Marshal(j)
	return value
}

// DecodeJob decodes a job's value. On an error it also returns the fields that could be
// decoded.
func DecodeJob(value []byte) (Job, error) {
	var j Job
	if err := json.Unmarshal(value, &j); err != nil {
		return j, &UnreadableError{Record: "job", Err: err}
	}
	return j, nil
}

// FinalState returns the job's final state; ok is false while the job is unfinished.
func (j *Job) FinalState() (state model.JobState, ok bool) {
	switch j.State {
	case "":
		return model.JobPending, false
	case StateCancelled:
		return model.JobCancelled, true
	}
	return model.JobDone, true
}

// EncodeCancelledJob returns the value of a cancelled job with only its state, which is all
// that other controllers need.
func EncodeCancelledJob() []byte { return (&Job{State: StateCancelled}).Encode() }
