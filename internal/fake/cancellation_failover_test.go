package fake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

// cutOwnerFromWorkers lets the machines hear nothing of the owner for a while.
func (g *cancellationGap) cutOwnerFromWorkers(d time.Duration) {
	for _, k := range g.Workers {
		g.CutOneWay(g.owner.Name, k.name, d)
	}
}

// failAssignmentLoads has the owner that has just claimed zone a anew ask for its slices in
// vain for some seconds; then the state service is out for all.
func (g *cancellationGap) failAssignmentLoads() *bool {
	out := new(bool)
	hit := false
	g.Store.Late = func(_ string, op core.Operation) time.Duration {
		l, ok := op.(core.ListKeys)
		if !ok || l.Prefix != "slice/a/" {
			return 0
		}
		if !hit {
			hit = true
			g.After(6*time.Second, func() {
				*out = true
				g.Store.Outage(g.Cfg.CancelWithin + 25*time.Second)
			})
		}
		return 3 * time.Second // longer than anybody waits
	}
	return out
}

func TestNewOwnerStopsCancelledTasksBeforeLoading(t *testing.T) {
	// It has been up for longer than cancel_s, so that it knows all that counts.
	g := newCancellationGap(t, 115, "a", "b")
	g.Run(g.Cfg.CancelWithin)
	out := g.failAssignmentLoads()
	g.cutOwnerFromWorkers(100 * time.Millisecond)
	g.CancelAt(g.other, g.job, func() { g.owner.Restart(7 * time.Second) })
	require.True(t, g.Until(20*time.Second, func() bool { return *out }), "the part is claimed and not loaded")
	require.Nil(t, leaderOf(g.World, "a"))
	assert.Less(t, g.timeUntilGone(), 12*time.Second, "at the first report to the new owner")
	assert.NotEmpty(t, g.On("job-2"), "and other work goes on")
}

func TestRestartedOwnerReceivesCancellationsAgain(t *testing.T) {
	// Its former life had heard of the cancellation and ended before its machines did.
	// The new one claims the part and can't load it; it answers nobody, knowing too
	// little, but what it knows by the time it may is what the others tell it.
	g := newCancellationGap(t, 117, "a", "b")
	g.failAssignmentLoads()
	g.cutOwnerFromWorkers(3 * time.Second)
	var again []string
	g.OnPeerMessage = func(_, to string, m core.Message) {
		if m.Gossip != nil && to == g.owner.Name && g.owner.life > 1 {
			for _, it := range m.Gossip.Cancellations {
				again = append(again, it.Key)
			}
		}
	}
	g.CancelAt(g.other, g.job, nil)
	g.Run(2 * time.Second)
	require.NotEmpty(t, g.On("job-1"))
	g.owner.Restart(50 * time.Millisecond)
	g.Run(2 * time.Second)
	assert.Contains(t, again, "job/job-1")
	g.timeUntilGone()
}

func TestNewOwnerWithoutCancellationsAnswersNoWorker(t *testing.T) {
	// The owner itself confirms and ends before its halts have left; nobody else has
	// heard, and its next life claims the part and can't load it.
	g := newCancellationGap(t, 116, "a", "b")
	hit := g.failAssignmentLoads()
	g.Store.Refuse(g.other.Name, 20*time.Second)
	g.Cut(g.owner.Name, g.other.Name, 100*time.Millisecond, false)
	g.cutOwnerFromWorkers(100 * time.Millisecond)
	g.CancelAt(g.owner, g.job, func() { g.owner.Restart(50 * time.Millisecond) })
	require.True(t, g.Until(20*time.Second, func() bool { return *hit }), "the part is claimed anew and not loaded")
	require.NotEmpty(t, g.On("job-1"))
	g.timeUntilGone()
}
