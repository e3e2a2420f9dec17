package fake

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

// quotaRaces counts transactions that were refused because a team's grants had changed.
func quotaRaces(w *World, team string) *int {
	n := new(int)
	w.Store.OnExecuted = append(w.Store.OnExecuted, func(_ string, _ core.Txn, res core.CommitResult) {
		if slices.Contains(res.FailedKeys, "quota/"+team) {
			*n++
		}
	})
	return n
}

// inZone submits blue work of 4 cores a task, of the 16 that blue may use.
func inZone(w *World, id, zone string, tasks int, run time.Duration) *Job {
	s := spec(id, "blue", tasks, 4)
	s.Zone = zone
	return w.Submit(s, run)
}

// idleRoom has 16 cores up and idle in each of the zones, by work of the other team.
func idleRoom(t *testing.T, w *World, zones ...string) {
	t.Helper()
	var jobs []*Job
	for _, zone := range zones {
		s := spec("job-9"+zone, "red", 4, 4)
		s.Zone, s.Team = zone, "red"
		jobs = append(jobs, w.Submit(s, 4*time.Second))
	}
	for _, j := range jobs {
		ends(t, w, j, 2*time.Minute)
	}
}

func TestTwoOwnersTakeAllOfATeamsLimitAtOnce(t *testing.T) {
	w := day(t, 180)
	idleRoom(t, w, "a", "b")
	races := quotaRaces(w, "blue")
	jobs := []*Job{inZone(w, "job-1", "a", 4, 8*time.Second), inZone(w, "job-2", "b", 4, 8*time.Second)}
	for _, j := range jobs {
		ends(t, w, j, 3*time.Minute)
	}
	assert.Positive(t, *races, "both reached for the same room")
}

func TestAGrantGivenBackByAnOwnerThatHasNotHeardOfAnothers(t *testing.T) {
	w := day(t, 181)
	idleRoom(t, w, "a", "b", "c")
	ends(t, w, inZone(w, "job-1", "a", 1, 2*time.Second), time.Minute)
	w.cutPeers(w.Nodes[0], 40*time.Second, false) // a's owner hears of no other grants
	long := inZone(w, "job-2", "b", 2, 90*time.Second)
	require.True(t, w.Until(6*time.Second, started(w, "job-2", 2)), "b's grant grows")
	w.cutPeers(w.Nodes[1], 40*time.Second, false) // and b's of nothing that would have it write its own again
	races := quotaRaces(w, "blue")
	w.Until(20*time.Second, func() bool { return *races > 0 }) // a gives back what it no longer needs
	other := inZone(w, "job-3", "c", 4, 5*time.Second)         // 8 cores are b's
	ends(t, w, other, 2*time.Minute)
	ends(t, w, long, 3*time.Minute)
	assert.Positive(t, *races)
}
