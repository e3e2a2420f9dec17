package wire

import "roadcleat/internal/model"

// Job states as users read them.
const (
	statePending   = "pending"
	stateRunning   = "running"
	stateDone      = "done"
	stateCancelled = "withdrawn"
)

type jobStatus struct {
	ID      string `json:"Ref"`
	State   string `json:"Standing"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// EncodeJobStatus writes the body with which POST /v2/runs, GET /v2/runs/{id} and
// POST /v2/runs/{id}/withdraw reply when they succeed.
func EncodeJobStatus(status model.JobStatus) []byte {
	return encode(jobStatus{
		ID:      status.ID,
		State:   jobState(status.State),
		Done:    status.Done,
		Running: status.Running,
	})
}

func jobState(state model.JobState) string {
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
