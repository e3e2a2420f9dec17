package fake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// The acceptance is carried out at once; its answer takes its time. Meanwhile another
// controller reads what was written and confirms a cancellation, and the submission
// is repeated where it still seems to be under way.
func TestASubmissionRepeatedWhileItsAcceptanceIsUnderWayIsNotAnsweredFromBefore(t *testing.T) {
	w := day(t, 71)
	accepting, other := w.Nodes[0], w.Nodes[1]
	job := &Job{Spec: spec("job-1", "red", 2, 2), Run: time.Minute, Finished: map[int]bool{}, Saved: map[int]time.Duration{}, Came: w.Now}
	w.Jobs["job-1"] = job
	submit := func(then func(status int)) {
		w.user(accepting, "job-1", func(req uint64) core.Event { return core.JobSubmission{RequestID: req, Spec: job.Spec} }, then)
	}
	w.cuts[[2]string{"state", accepting.Name}] = &cut{true, w.Now + 1500*time.Millisecond}
	w.Cut(other.Name, accepting.Name, 1500*time.Millisecond, true) // nor does it hear of the cancellation
	submit(func(int) {})
	require.True(t, w.Until(time.Second, func() bool { return w.Store.rows["job/job-1"].revision > 0 }), "it is in the store")
	job.CancelRequested = true
	w.user(other, "job-1", func(req uint64) core.Event { return core.JobCancellation{RequestID: req, ID: "job-1"} }, func(int) {})
	require.True(t, w.Until(time.Second, func() bool { return job.Told == model.JobCancelled }), "the cancellation is confirmed")
	again := 0
	submit(func(status int) { again = status })
	w.Run(3 * time.Second)
	assert.Equal(t, 200, again)
	assert.Equal(t, model.JobCancelled, job.Told)
}
