package wire

import "roadcleat/internal/model"

// Job states in replies to users.
const (
	statePending   = "pending"
	stateRunning   = "running"
	stateDone      = "done"
	stateCancelled = "withdrawn"
)

// jobStatus is the state of a job and the numbers of its finished and running tasks.
type jobStatus struct {
	ID      string `json:"Ref"`
	State   string `json:"Standing"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// EncodeJobStatus encodes the reply to a successful POST /v2/runs, GET /v2/runs/{id} or
// POST /v2/runs/{id}/withdraw.
func EncodeJobStatus(status model.JobStatus) []byte {
	return encode(jobStatus{
		ID:      status.ID,
		State:   jobStateName(status.State),
		Done:    status.Done,
		Running: status.Running,
	})
}

// jobStateName returns the protocol's name of a job state.
func jobStateName(state model.JobState) string {
	switch state {
	case model.JobRunning:
		return stateRunning
	case model.JobDone:
		return stateDone
	case model.JobCancelled:
		return stateCancelled
	default:
		return statePending
	}
}
