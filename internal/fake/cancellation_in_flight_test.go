package fake

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

// isPlacement says whether a transaction places tasks of the job.
func isPlacement(txn core.Txn, id string) bool {
	for _, s := range txn.Mutations {
		if places(s) && strings.HasSuffix(s.Key, "/"+id) {
			return true
		}
	}
	return false
}

// submitToZoneA submits a job to zone a whose machines are up already.
func (g *cancellationGap) submitToZoneA(id string) *Job {
	s := spec(id, "red", 1, 1)
	s.Zone, s.Spot = "a", false
	return g.Submit(s, 10*time.Minute)
}

// cancelDuringUnansweredPlacement has the answer to the placement of a job lost, and the job cancelled while
// the owner waits for it and hears of nothing; then the state service is out for all.
// When the owner reads what holds, it learns of the placement before it learns of
// the cancellation.
func (g *cancellationGap) cancelDuringUnansweredPlacement(outage, wordless time.Duration, told func()) *Job {
	lost := false
	g.Store.Lose = func(_ string, txn core.Txn) (bool, time.Duration) {
		hit := !lost && isPlacement(txn, "job-3")
		lost = lost || hit
		return hit, 0
	}
	g.Store.Late = func(node string, op core.Operation) time.Duration {
		read, isRead := op.(core.ReadKey)
		_, isFollow := op.(core.WatchKeys)
		if node == g.owner.Name && lost && (isFollow || isRead && read.Key == "job/job-3") {
			return 1500 * time.Millisecond
		}
		return 0
	}
	job := g.submitToZoneA("job-3")
	require.True(g.t, g.Until(10*time.Second, func() bool { return lost }), "the placement's answer is lost")
	g.cutMessages(wordless)
	g.CancelAt(g.other, job, func() {
		g.Store.Outage(outage)
		if told != nil {
			told()
		}
	})
	require.True(g.t, g.Until(time.Second, job.Over), "cancelled while the owner waits for that answer")
	require.NotEmpty(g.t, placedIn(g.Store.rows["slice/a/job-3"].value), "placed all the same")
	return job
}

func TestNoStartBeforeCancellationsAreReadAgain(t *testing.T) {
	g := newCancellationGap(t, 111, "a", "b")
	g.cancelDuringUnansweredPlacement(18*time.Second, 20*time.Second, nil)
	g.Run(30 * time.Second)
	assert.Zero(t, g.Referee.AfterCancel, "no start after a confirmed cancellation")
}

func TestGossipWithoutACancellationConfirmsNothing(t *testing.T) {
	// The owner is cut from the other controller for longer than that one repeats a
	// cancellation. The machines are kept though they are silent.
	g := newCancellationGapWith(t, 112, func(c *core.Config) { c.Tuning.ReturnSilentAfter = 10 * time.Minute }, "a", "b")
	g.cancelDuringUnansweredPlacement(g.Cfg.CancelWithin+25*time.Second, g.Cfg.CancelWithin+12*time.Second, nil)
	g.Run(g.Cfg.CancelWithin + 40*time.Second)
	assert.Zero(t, g.Referee.AfterCancel, "no start after a confirmed cancellation")
}

func TestPlacementInFlightIsRefusedOnceJobIsCancelled(t *testing.T) {
	g := newCancellationGap(t, 113, "a", "b")
	held := false
	g.Store.Late = func(node string, op core.Operation) time.Duration {
		c, isCommit := op.(core.CommitTxn)
		if _, isFollow := op.(core.WatchKeys); isFollow && node == g.owner.Name && held {
			return 3 * time.Second
		}
		if !held && isCommit && isPlacement(c.Txn, "job-3") {
			held = true
			return time.Second
		}
		return 0
	}
	job := g.submitToZoneA("job-3")
	require.True(t, g.Until(10*time.Second, func() bool { return held }), "the placement is under way")
	g.cutMessages(4 * time.Second)
	g.CancelAt(g.other, job, nil)
	require.True(t, g.Until(800*time.Millisecond, job.Over))
	g.Run(20 * time.Second)
	assert.Zero(t, g.Referee.AfterCancel, "no start after a confirmed cancellation")
}

// cancelDuringDelayedLaunch has the launch of a job held up for longer than cancel_s while the
// machine's reports come; the job is cancelled before the next of them.
func (g *cancellationGap) cancelDuringDelayedLaunch(told func()) {
	held := 0
	g.DelayOnWire = func(worker *Worker, what any) time.Duration {
		if !isLaunchOf(what, "job-3") {
			return 0
		}
		held++
		worker.nextAt = g.Now + time.Second
		return g.Cfg.CancelWithin + 10*time.Second
	}
	g.Run(time.Second) // between two reports
	job := g.submitToZoneA("job-3")
	require.True(g.t, g.Until(10*time.Second, func() bool { return held > 0 }), "the launch is under way")
	g.CancelAt(g.other, job, told)
	require.True(g.t, g.Until(time.Second, job.Over))
	require.Zero(g.t, job.Starts)
	g.Run(g.Cfg.CancelWithin + 20*time.Second)
	assert.Equal(g.t, 1, held)
	assert.Zero(g.t, g.Referee.AfterCancel, "no start after a confirmed cancellation")
}

func TestDelayedLaunchStartsNothingAfterCancellation(t *testing.T) {
	g := newCancellationGap(t, 114, "a", "b")
	before := g.Store.rows["part/a"].revision
	claims := 0
	g.Store.Late = func(_ string, op core.Operation) time.Duration {
		if c, ok := op.(core.CommitTxn); ok && len(c.Txn.Mutations) > 0 && c.Txn.Mutations[0].Key == "part/a" {
			claims++
		}
		return 0
	}
	g.cancelDuringDelayedLaunch(nil)
	assert.Greater(t, g.Store.rows["part/a"].revision, before, "the token is raised")
	assert.Equal(t, 1, claims, "once")
	assert.NotEmpty(t, g.On("job-2"), "and other work on the machines goes on")
}

func TestDelayedLaunchWhileTokenCannotBeRaised(t *testing.T) {
	// The machine gets no answer, so that its session ends before the launch comes.
	for _, later := range []time.Duration{0, 5 * time.Second} {
		g := newCancellationGap(t, 118, "a", "b")
		whole := spec("job-4", "red", 1, 16) // all of another machine
		whole.Zone, whole.Spot = "a", false
		g.Submit(whole, 10*time.Minute)
		require.True(t, g.Until(time.Minute, started(g.World, "job-4", 1)))
		starts := g.Jobs["job-4"].Starts
		g.cancelDuringDelayedLaunch(func() {
			g.Store.Outage(g.Cfg.CancelWithin + 25*time.Second)
			for _, k := range g.Workers {
				k.nextAt += later
			}
		})
		assert.NotEmpty(t, g.On("job-4"), "other machines are answered")
		assert.Equal(t, starts, g.Jobs["job-4"].Starts)
	}
}
