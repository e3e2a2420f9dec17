package fake

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

// countQuotaConflicts counts transactions that were refused because a team's grants had changed.
func countQuotaConflicts(w *World, team string) *int {
	n := new(int)
	w.Store.OnExecuted = append(w.Store.OnExecuted, func(_ string, _ core.Txn, res core.CommitResult) {
		if slices.Contains(res.FailedKeys, "quota/"+team) {
			*n++
		}
	})
	return n
}

// submitBlueToZone submits blue work of 4 cores a task, of the 16 that blue may use.
func submitBlueToZone(w *World, id, zone string, tasks int, run time.Duration) *Job {
	s := spec(id, "blue", tasks, 4)
	s.Zone = zone
	return w.Submit(s, run)
}

// addIdleCapacity has 16 cores up and idle in each of the zones, by work of the other team.
func addIdleCapacity(t *testing.T, w *World, zones ...string) {
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

func TestTwoOwnersRequestWholeTeamLimitConcurrently(t *testing.T) {
	w := day(t, 180)
	addIdleCapacity(t, w, "a", "b")
	races := countQuotaConflicts(w, "blue")
	jobs := []*Job{submitBlueToZone(w, "job-1", "a", 4, 8*time.Second), submitBlueToZone(w, "job-2", "b", 4, 8*time.Second)}
	for _, j := range jobs {
		ends(t, w, j, 3*time.Minute)
	}
	assert.Positive(t, *races, "both reached for the same room")
}

func TestGrantReleaseByOwnerUnawareOfOtherGrants(t *testing.T) {
	w := day(t, 181)
	addIdleCapacity(t, w, "a", "b", "c")
	ends(t, w, submitBlueToZone(w, "job-1", "a", 1, 2*time.Second), time.Minute)
	w.cutPeers(w.Nodes[0], 40*time.Second, false) // a's owner hears of no other grants
	long := submitBlueToZone(w, "job-2", "b", 2, 90*time.Second)
	require.True(t, w.Until(6*time.Second, started(w, "job-2", 2)), "b's grant grows")
	w.cutPeers(w.Nodes[1], 40*time.Second, false) // and b's of nothing that would have it write its own again
	races := countQuotaConflicts(w, "blue")
	w.Until(20*time.Second, func() bool { return *races > 0 })   // a gives back what it no longer needs
	other := submitBlueToZone(w, "job-3", "c", 4, 5*time.Second) // 8 cores are b's
	ends(t, w, other, 2*time.Minute)
	ends(t, w, long, 3*time.Minute)
	assert.Positive(t, *races)
}

func TestOwnerOfSeveralShardsReleasesItsOwnGrants(t *testing.T) {
	// Found by random days with more zones than controllers: the part that waited
	// had the grants read every second just when the other one, idle and of the
	// same owner, would have given its own back.
	cfg := Settings()
	cfg.Zones = []string{"a", "b", "c", "d"}
	w := NewWith(48, cfg, "a")
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	for k := range w.Cloud.Room {
		w.Cloud.Room[k] = 6
	}
	w.Run(10 * time.Second)
	one := func(n int, zone string, tasks int, run time.Duration) *Job {
		s := spec(fmt.Sprintf("job-%d", n), "blue", tasks, 4) // of 16 cores
		s.Zone = zone
		return w.Submit(s, run)
	}
	n := 0
	for _, zone := range []string{"b", "c", "d", "a", "d", "c", "b", "a"} {
		n++
		first := one(n, zone, 3, 5*time.Second)
		ends(t, w, first, time.Minute)
		n++
		ends(t, w, one(n, map[string]string{"a": "b", "b": "a", "c": "d", "d": "c"}[zone], 4, 5*time.Second), 25*time.Second)
	}
}

func TestPlanForCancelledJobReservesNothing(t *testing.T) {
	// Found by a random day: the owner could write nothing for a moment, planned a
	// job and heard of its withdrawal. The room it had booked stayed booked, and the
	// team's other work waited for ever.
	w := oneController(t, 51, nil)
	w.Submit(spec("job-1", "red", 4, 4), 2*time.Second)
	require.True(t, w.Until(time.Minute, started(w, "job-1", 4)))
	lost := 0
	w.Store.Lose = func(_ string, txn core.Txn) (bool, time.Duration) {
		for _, s := range txn.Mutations {
			if strings.HasPrefix(s.Key, "slice/") && strings.HasSuffix(s.Key, "/job-1") && lost == 0 {
				lost++
				return true, 0 // applied, and the answer is lost
			}
		}
		return false, 0
	}
	require.True(t, w.Until(20*time.Second, func() bool { return lost > 0 }))
	cancelled := w.Submit(spec("job-2", "blue", 4, 4), time.Minute) // all of blue's limit
	w.Run(400 * time.Millisecond)
	w.Cancel(cancelled)
	ends(t, w, cancelled, 10*time.Second)
	w.Run(5 * time.Second)
	assert.Empty(t, w.Nodes[0].Core.DescribePlacements())
	ends(t, w, w.Submit(spec("job-3", "blue", 4, 4), 5*time.Second), time.Minute)
}

func TestUnansweredGrantReleaseMayStillBeApplied(t *testing.T) {
	// Found by a random day: a give-back was refused in an outage, and a copy of it
	// was carried out when the outage was over, after tasks had started under the
	// whole grant. Another part took what they used.
	w := oneController(t, 52, nil)
	ends(t, w, w.Submit(spec("job-1", "blue", 4, 4), 2*time.Second), time.Minute)
	held := func() string { return string(w.Store.rows["quota/blue"].value) }
	const whole = `{"a":{"c":16,"g":0}}`
	require.Equal(t, whole, held())
	given := 0
	w.RepeatRequest = func(_ string, op core.Operation) time.Duration {
		if c, ok := op.(core.CommitTxn); ok && len(c.Txn.Mutations) == 1 && c.Txn.Mutations[0].Key == "quota/blue" {
			given++
			return 25 * time.Second
		}
		return 0
	}
	w.Run(4 * time.Second)
	w.Store.Outage(7 * time.Second)
	w.Run(8 * time.Second)
	require.Positive(t, given, "it was to be given back in the outage")
	require.Equal(t, whole, held())
	job := w.Submit(spec("job-2", "blue", 4, 4), time.Minute)
	require.True(t, w.Until(12*time.Second, started(w, "job-2", 4)))
	w.Run(20 * time.Second)
	assert.Contains(t, held(), `{"a":{"c":16`, "what runs is granted, whatever came late")
	ends(t, w, job, 2*time.Minute)
}
