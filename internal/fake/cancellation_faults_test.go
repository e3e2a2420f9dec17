package fake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

// cancellationGap is a day in which the owner of zone a loses the state service alone, another
// controller confirms a cancellation, and then the state service is out for all.
type cancellationGap struct {
	*World
	t            *testing.T
	owner, other *Node
	job, kept    *Job // the one to be cancelled, and one beside it
}

// newCancellationGap has both jobs run in zone a, whose owner is the first controller.
func newCancellationGap(t *testing.T, seed uint64, zones ...string) *cancellationGap {
	return newCancellationGapWith(t, seed, nil, zones...)
}

func newCancellationGapWith(t *testing.T, seed uint64, change func(*core.Config), zones ...string) *cancellationGap {
	cfg := Settings()
	cfg.Zones = zones
	if change != nil {
		change(&cfg)
	}
	w := New(seed, cfg)
	if testing.Verbose() {
		w.Log = t.Logf
	}
	w.Run(8 * time.Second)
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	g := &cancellationGap{World: w, t: t, owner: w.Nodes[0], other: w.Nodes[1]}
	run := func(id string) *Job {
		s := spec(id, "red", 2, 2)
		s.Zone, s.Spot = "a", false
		return w.Submit(s, 10*time.Minute)
	}
	g.job, g.kept = run("job-1"), run("job-2")
	require.True(t, w.Until(time.Minute, func() bool { return started(w, "job-1", 2)() && started(w, "job-2", 2)() }))
	require.Equal(t, g.owner, leaderOf(w, "a"))
	w.Run(3 * time.Second) // what the starts left to be done is done
	return g
}

// refuseOwner has the state service refuse the owner alone from now on.
func (g *cancellationGap) refuseOwner() {
	g.Store.Refuse(g.owner.Name, 14*time.Second)
	g.Run(300 * time.Millisecond)
}

// confirmCancellation has the other controller confirm the cancellation; then the state service
// is out for all, for longer than cancel_s.
func (g *cancellationGap) confirmCancellation(then func()) {
	told := false
	g.CancelAt(g.other, g.job, func() {
		told = true
		g.Store.Outage(g.Cfg.CancelWithin + 25*time.Second)
		if then != nil {
			then()
		}
	})
	require.True(g.t, g.Until(time.Second, func() bool { return told }), "the cancellation is confirmed")
}

// timeUntilGone lets the outage pass and says how long after the confirmation the last of
// the job's tasks was gone.
func (g *cancellationGap) timeUntilGone() time.Duration {
	last := g.Now
	for end := g.Now + g.Cfg.CancelWithin + 30*time.Second; g.Now < end; g.Run(100 * time.Millisecond) {
		if len(g.On("job-1")) > 0 {
			last = g.Now
		}
	}
	return last - g.job.Cancelled
}

// isolatedOwnerBound is how long after its last proof of fresh withdrawals an owner answers
// its workers, and their leases thereafter.
func (g *cancellationGap) isolatedOwnerBound() time.Duration {
	return g.Cfg.CancelWithin - 2*time.Second
}

func (g *cancellationGap) assertStoppedByMessage() {
	g.t.Helper()
	assert.Less(g.t, g.timeUntilGone(), 4*time.Second, "the owner hears of it")
	assert.NotEmpty(g.t, g.On("job-2"), "and other work goes on")
}

func (g *cancellationGap) assertStoppedByLeaseBound() {
	g.t.Helper()
	d := g.timeUntilGone()
	assert.Greater(g.t, d, g.Cfg.CancelWithin/2, "nobody told the owner")
	assert.Less(g.t, d, g.isolatedOwnerBound(), "its workers' leases have run out in time")
}

// cutMessages loses what the other controller says to the owner, for the time given.
func (g *cancellationGap) cutMessages(d time.Duration) {
	g.CutOneWay(g.other.Name, g.owner.Name, d)
}

const beyondAnyOutage = 100 * time.Second // than any of these days' outages

func TestGapOwnerReceivesCancellation(t *testing.T) {
	g := newCancellationGap(t, 101, "a", "b", "c")
	g.refuseOwner()
	g.confirmCancellation(nil)
	g.assertStoppedByMessage()
}

func TestGapOwnerIsCutFromConfirmingController(t *testing.T) {
	g := newCancellationGap(t, 102, "a", "b", "c")
	g.refuseOwner()
	g.Cut(g.owner.Name, g.other.Name, beyondAnyOutage, false)
	g.confirmCancellation(nil)
	assert.Less(t, g.timeUntilGone(), 4*time.Second, "a third controller tells it")
	assert.Empty(t, g.On("job-2"), "and nobody vouches for the one it does not hear")
}

func TestGapOwnerIsCutFromAllControllers(t *testing.T) {
	for _, hold := range []bool{false, true} {
		g := newCancellationGap(t, 103, "a", "b", "c")
		g.refuseOwner()
		g.Isolate(g.owner, beyondAnyOutage, hold)
		g.confirmCancellation(nil)
		g.assertStoppedByLeaseBound()
	}
}

func TestGapOwnerLearnsFromGossipOnly(t *testing.T) {
	// The word itself is lost; what is gossiped afterwards repeats it.
	g := newCancellationGap(t, 104, "a", "b")
	g.refuseOwner()
	g.cutMessages(2 * time.Second)
	g.confirmCancellation(nil)
	assert.NotEmpty(t, g.On("job-1"), "the word was lost")
	g.assertStoppedByMessage()
}

func TestGapConfirmingControllerStops(t *testing.T) {
	g := newCancellationGap(t, 105, "a", "b")
	g.refuseOwner()
	g.cutMessages(time.Second)
	g.confirmCancellation(func() { g.other.Restart(beyondAnyOutage) })
	g.assertStoppedByLeaseBound()
}

func TestGapConfirmingControllerRestartsAtOnce(t *testing.T) {
	// Its next life hears the owner and answers it, and knows of no cancellation.
	for _, back := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second} {
		g := newCancellationGap(t, 106, "a", "b")
		g.refuseOwner()
		g.cutMessages(time.Second)
		g.confirmCancellation(func() {
			g.other.Restart(back)
			g.Heal(g.other.Name, g.owner.Name)
		})
		g.assertStoppedByLeaseBound()
	}
}

func TestGapMachinesHang(t *testing.T) {
	for _, hang := range []time.Duration{3 * time.Second, 9 * time.Second, 12 * time.Second, 40 * time.Second} {
		g := newCancellationGap(t, 107, "a", "b", "c")
		g.refuseOwner()
		for k := range g.On("job-1") {
			k.Hang(hang)
		}
		g.confirmCancellation(nil)
		assert.Less(t, g.timeUntilGone(), min(hang, g.Cfg.WorkerLease)+5*time.Second, "at the end of its lease at the latest")
	}
}

func TestGapMachinesHangAndOwnerIsUninformed(t *testing.T) {
	g := newCancellationGap(t, 108, "a", "b")
	g.refuseOwner()
	g.cutMessages(beyondAnyOutage)
	for k := range g.On("job-1") {
		k.Hang(9 * time.Second)
	}
	g.confirmCancellation(nil)
	g.assertStoppedByLeaseBound()
}

func TestGapCancellationConfirmedLateInFreshnessWindow(t *testing.T) {
	// The owner trusts what others vouch for: right after their last word, when it is
	// about to give up, and between; the state service is back just for the moment.
	for _, after := range []time.Duration{0, 2 * time.Second, 12 * time.Second, 25 * time.Second} {
		g := newCancellationGap(t, 109, "a", "b")
		g.refuseOwner()
		g.Store.Refuse(g.owner.Name, beyondAnyOutage)
		g.cutMessages(beyondAnyOutage)
		from := g.Now
		if after > 0 {
			g.Store.Outage(after)
			g.Run(after + 100*time.Millisecond)
		}
		require.NotEmpty(t, g.On("job-1"))
		g.confirmCancellation(nil)
		d := g.timeUntilGone()
		assert.Less(t, d, g.isolatedOwnerBound()-(g.job.Cancelled-from))
		assert.Greater(t, d+g.job.Cancelled-from, g.Cfg.CancelWithin-8*time.Second, "no machine is given up early")
	}
}

func TestGapDelayedGossipConfirmsOnlyItsSendTime(t *testing.T) {
	// The other controller ends right after it has confirmed; what it had gossiped
	// before is held up and arrives while the owner still trusts it.
	g := newCancellationGap(t, 110, "a", "b")
	g.refuseOwner()
	g.Cut(g.other.Name, g.owner.Name, 26*time.Second, true)
	g.Run(1200 * time.Millisecond)
	g.cutMessages(beyondAnyOutage) // the word itself is lost
	g.confirmCancellation(func() { g.other.Restart(beyondAnyOutage) })
	g.assertStoppedByLeaseBound()
}
