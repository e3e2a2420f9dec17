package fake

import (
	"encoding/gob"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// gap is a day in which the owner of zone a loses the state service alone, another
// controller confirms a cancellation, and then the state service is out for all.
type gap struct {
	*World
	t            *testing.T
	owner, other *Node
	job, kept    *Job // the one to be cancelled, and one beside it
}

// newGap has both jobs run in zone a, whose owner is the first controller.
func newGap(t *testing.T, seed uint64, zones ...string) *gap {
	return newGapWith(t, seed, nil, zones...)
}

func newGapWith(t *testing.T, seed uint64, change func(*core.Config), zones ...string) *gap {
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
	g := &gap{World: w, t: t, owner: w.Nodes[0], other: w.Nodes[1]}
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

// refused has the state service refuse the owner alone from now on.
func (g *gap) refused() {
	g.Store.Refuse(g.owner.Name, 14*time.Second)
	g.Run(300 * time.Millisecond)
}

// confirmed has the other controller confirm the cancellation; then the state service
// is out for all, for longer than cancel_s.
func (g *gap) confirmed(then func()) {
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

// gone lets the outage pass and says how long after the confirmation the last of
// the job's tasks was gone.
func (g *gap) gone() time.Duration {
	last := g.Now
	for end := g.Now + g.Cfg.CancelWithin + 30*time.Second; g.Now < end; g.Run(100 * time.Millisecond) {
		if len(g.On("job-1")) > 0 {
			last = g.Now
		}
	}
	return last - g.job.Cancelled
}

// aloneBound is how long after its last proof of fresh withdrawals an owner answers
// its workers, and their leases thereafter.
func (g *gap) aloneBound() time.Duration { return g.Cfg.CancelWithin - 2*time.Second }

func (g *gap) cancelByMessage() {
	g.t.Helper()
	assert.Less(g.t, g.gone(), 4*time.Second, "the owner hears of it")
	assert.NotEmpty(g.t, g.On("job-2"), "and other work goes on")
}

func (g *gap) byBound() {
	g.t.Helper()
	d := g.gone()
	assert.Greater(g.t, d, g.Cfg.CancelWithin/2, "nobody told the owner")
	assert.Less(g.t, d, g.aloneBound(), "its workers' leases have run out in time")
}

// cutMessages loses what the other controller says to the owner, for the time given.
func (g *gap) cutMessages(d time.Duration) {
	g.CutOneWay(g.other.Name, g.owner.Name, d)
}

const longer = 100 * time.Second // than any of these days' outages

func TestGapTheOwnerIsTold(t *testing.T) {
	g := newGap(t, 101, "a", "b", "c")
	g.refused()
	g.confirmed(nil)
	g.cancelByMessage()
}

func TestGapTheOwnerIsCutFromWhoeverConfirmed(t *testing.T) {
	g := newGap(t, 102, "a", "b", "c")
	g.refused()
	g.Cut(g.owner.Name, g.other.Name, longer, false)
	g.confirmed(nil)
	assert.Less(t, g.gone(), 4*time.Second, "a third controller tells it")
	assert.Empty(t, g.On("job-2"), "and nobody vouches for the one it does not hear")
}

func TestGapTheOwnerIsCutFromAll(t *testing.T) {
	for _, hold := range []bool{false, true} {
		g := newGap(t, 103, "a", "b", "c")
		g.refused()
		g.Isolate(g.owner, longer, hold)
		g.confirmed(nil)
		g.byBound()
	}
}

func TestGapOnlyGossipTells(t *testing.T) {
	// The word itself is lost; what is gossiped afterwards repeats it.
	g := newGap(t, 104, "a", "b")
	g.refused()
	g.cutMessages(2 * time.Second)
	g.confirmed(nil)
	assert.NotEmpty(t, g.On("job-1"), "the word was lost")
	g.cancelByMessage()
}

func TestGapTheConfirmingControllerEnds(t *testing.T) {
	g := newGap(t, 105, "a", "b")
	g.refused()
	g.cutMessages(time.Second)
	g.confirmed(func() { g.other.Restart(longer) })
	g.byBound()
}

func TestGapTheConfirmingControllerIsBackAtOnce(t *testing.T) {
	// Its next life hears the owner and answers it, and knows of no cancellation.
	for _, back := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second} {
		g := newGap(t, 106, "a", "b")
		g.refused()
		g.cutMessages(time.Second)
		g.confirmed(func() {
			g.other.Restart(back)
			g.Heal(g.other.Name, g.owner.Name)
		})
		g.byBound()
	}
}

func TestGapTheMachinesHang(t *testing.T) {
	for _, hang := range []time.Duration{3 * time.Second, 9 * time.Second, 12 * time.Second, 40 * time.Second} {
		g := newGap(t, 107, "a", "b", "c")
		g.refused()
		for k := range g.On("job-1") {
			k.Hang(hang)
		}
		g.confirmed(nil)
		assert.Less(t, g.gone(), min(hang, g.Cfg.WorkerLease)+5*time.Second, "at the end of its lease at the latest")
	}
}

func TestGapTheMachinesHangAndNobodyTellsTheOwner(t *testing.T) {
	g := newGap(t, 108, "a", "b")
	g.refused()
	g.cutMessages(longer)
	for k := range g.On("job-1") {
		k.Hang(9 * time.Second)
	}
	g.confirmed(nil)
	g.byBound()
}

func TestGapConfirmedInTheLastMoments(t *testing.T) {
	// The owner trusts what others vouch for: right after their last word, when it is
	// about to give up, and between; the state service is back just for the moment.
	for _, after := range []time.Duration{0, 2 * time.Second, 12 * time.Second, 25 * time.Second} {
		g := newGap(t, 109, "a", "b")
		g.refused()
		g.Store.Refuse(g.owner.Name, longer)
		g.cutMessages(longer)
		from := g.Now
		if after > 0 {
			g.Store.Outage(after)
			g.Run(after + 100*time.Millisecond)
		}
		require.NotEmpty(t, g.On("job-1"))
		g.confirmed(nil)
		d := g.gone()
		assert.Less(t, d, g.aloneBound()-(g.job.Cancelled-from))
		assert.Greater(t, d+g.job.Cancelled-from, g.Cfg.CancelWithin-8*time.Second, "no machine is given up early")
	}
}

func TestGapHeldGossipSpeaksOnlyForItsOwnTime(t *testing.T) {
	// The other controller ends right after it has confirmed; what it had gossiped
	// before is held up and arrives while the owner still trusts it.
	g := newGap(t, 110, "a", "b")
	g.refused()
	g.Cut(g.other.Name, g.owner.Name, 26*time.Second, true)
	g.Run(1200 * time.Millisecond)
	g.cutMessages(longer) // the word itself is lost
	g.confirmed(func() { g.other.Restart(longer) })
	g.byBound()
}

// isPlacement says whether a transaction places tasks of the job.
func isPlacement(txn core.Txn, id string) bool {
	for _, s := range txn.Mutations {
		if places(s) && strings.HasSuffix(s.Key, "/"+id) {
			return true
		}
	}
	return false
}

// next submits a job to zone a whose machines are up already.
func (g *gap) next(id string) *Job {
	s := spec(id, "red", 1, 1)
	s.Zone, s.Spot = "a", false
	return g.Submit(s, 10*time.Minute)
}

// unsure has the answer to the placement of a job lost, and the job cancelled while
// the owner waits for it and hears of nothing; then the state service is out for all.
// When the owner reads what holds, it learns of the placement before it learns of
// the cancellation.
func (g *gap) unsure(outage, wordless time.Duration, told func()) *Job {
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
	job := g.next("job-3")
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

func TestNothingStartsBeforeCancellationsAreKnownAgain(t *testing.T) {
	g := newGap(t, 111, "a", "b")
	g.unsure(18*time.Second, 20*time.Second, nil)
	g.Run(30 * time.Second)
	assert.Zero(t, g.Referee.AfterCancel, "no start after a confirmed cancellation")
}

func TestGossipThatHasForgottenACancellationVouchesForNothing(t *testing.T) {
	// The owner is cut from the other controller for longer than that one repeats a
	// cancellation. The machines are kept though they are silent.
	g := newGapWith(t, 112, func(c *core.Config) { c.Tuning.ReturnSilentAfter = 10 * time.Minute }, "a", "b")
	g.unsure(g.Cfg.CancelWithin+25*time.Second, g.Cfg.CancelWithin+12*time.Second, nil)
	g.Run(g.Cfg.CancelWithin + 40*time.Second)
	assert.Zero(t, g.Referee.AfterCancel, "no start after a confirmed cancellation")
}

func TestAPlacementUnderWayWhenItsJobIsCancelledIsRefused(t *testing.T) {
	g := newGap(t, 113, "a", "b")
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
	job := g.next("job-3")
	require.True(t, g.Until(10*time.Second, func() bool { return held }), "the placement is under way")
	g.cutMessages(4 * time.Second)
	g.CancelAt(g.other, job, nil)
	require.True(t, g.Until(800*time.Millisecond, job.Over))
	g.Run(20 * time.Second)
	assert.Zero(t, g.Referee.AfterCancel, "no start after a confirmed cancellation")
}

// heldLaunch has the launch of a job held up for longer than cancel_s while the
// machine's reports come; the job is cancelled before the next of them.
func (g *gap) heldLaunch(told func()) {
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
	job := g.next("job-3")
	require.True(g.t, g.Until(10*time.Second, func() bool { return held > 0 }), "the launch is under way")
	g.CancelAt(g.other, job, told)
	require.True(g.t, g.Until(time.Second, job.Over))
	require.Zero(g.t, job.Starts)
	g.Run(g.Cfg.CancelWithin + 20*time.Second)
	assert.Equal(g.t, 1, held)
	assert.Zero(g.t, g.Referee.AfterCancel, "no start after a confirmed cancellation")
}

func TestALaunchHeldUpStartsNothingAfterACancellation(t *testing.T) {
	g := newGap(t, 114, "a", "b")
	before := g.Store.rows["part/a"].revision
	claims := 0
	g.Store.Late = func(_ string, op core.Operation) time.Duration {
		if c, ok := op.(core.CommitTxn); ok && len(c.Txn.Mutations) > 0 && c.Txn.Mutations[0].Key == "part/a" {
			claims++
		}
		return 0
	}
	g.heldLaunch(nil)
	assert.Greater(t, g.Store.rows["part/a"].revision, before, "the token is raised")
	assert.Equal(t, 1, claims, "once")
	assert.NotEmpty(t, g.On("job-2"), "and other work on the machines goes on")
}

func TestALaunchHeldUpWhileNoTokenCanBeRaised(t *testing.T) {
	// The machine gets no answer, so that its session ends before the launch comes.
	for _, later := range []time.Duration{0, 5 * time.Second} {
		g := newGap(t, 118, "a", "b")
		whole := spec("job-4", "red", 1, 16) // all of another machine
		whole.Zone, whole.Spot = "a", false
		g.Submit(whole, 10*time.Minute)
		require.True(t, g.Until(time.Minute, started(g.World, "job-4", 1)))
		starts := g.Jobs["job-4"].Starts
		g.heldLaunch(func() {
			g.Store.Outage(g.Cfg.CancelWithin + 25*time.Second)
			for _, k := range g.Workers {
				k.nextAt += later
			}
		})
		assert.NotEmpty(t, g.On("job-4"), "other machines are answered")
		assert.Equal(t, starts, g.Jobs["job-4"].Starts)
	}
}

// cutFromPeers lets the machines hear nothing of the owner for a while.
func (g *gap) cutFromPeers(d time.Duration) {
	for _, k := range g.Workers {
		g.CutOneWay(g.owner.Name, k.name, d)
	}
}

// loadsNothing has the owner that has just claimed zone a anew ask for its slices in
// vain for some seconds; then the state service is out for all.
func (g *gap) loadsNothing() *bool {
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

func TestANewOwnerThatHasNotLoadedStopsWhatIsCancelled(t *testing.T) {
	// It has been up for longer than cancel_s, so that it knows all that counts.
	g := newGap(t, 115, "a", "b")
	g.Run(g.Cfg.CancelWithin)
	out := g.loadsNothing()
	g.cutFromPeers(100 * time.Millisecond)
	g.CancelAt(g.other, g.job, func() { g.owner.Restart(7 * time.Second) })
	require.True(t, g.Until(20*time.Second, func() bool { return *out }), "the part is claimed and not loaded")
	require.Nil(t, leaderOf(g.World, "a"))
	assert.Less(t, g.gone(), 12*time.Second, "at the first report to the new owner")
	assert.NotEmpty(t, g.On("job-2"), "and other work goes on")
}

func TestANewLifeOfTheOwnerIsToldOfCancellationsAgain(t *testing.T) {
	// Its former life had heard of the cancellation and ended before its machines did.
	// The new one claims the part and can't load it; it answers nobody, knowing too
	// little, but what it knows by the time it may is what the others tell it.
	g := newGap(t, 117, "a", "b")
	g.loadsNothing()
	g.cutFromPeers(3 * time.Second)
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
	g.gone()
}

func TestANewOwnerThatKnowsOfNoCancellationAnswersNobody(t *testing.T) {
	// The owner itself confirms and ends before its halts have left; nobody else has
	// heard, and its next life claims the part and can't load it.
	g := newGap(t, 116, "a", "b")
	hit := g.loadsNothing()
	g.Store.Refuse(g.other.Name, 20*time.Second)
	g.Cut(g.owner.Name, g.other.Name, 100*time.Millisecond, false)
	g.cutFromPeers(100 * time.Millisecond)
	g.CancelAt(g.owner, g.job, func() { g.owner.Restart(50 * time.Millisecond) })
	require.True(t, g.Until(20*time.Second, func() bool { return *hit }), "the part is claimed anew and not loaded")
	require.NotEmpty(t, g.On("job-1"))
	g.gone()
}

// counted counts what gob makes of messages.
type counted int

func (n *counted) Write(b []byte) (int, error) {
	*n += counted(len(b))
	return len(b), nil
}

func TestManySmallJobsOfWhichAQuarterIsCancelled(t *testing.T) {
	cfg := Settings()
	cfg.Teams[0].Limit = model.Resources{Cores: 400}
	w := NewWith(120, cfg, "a", "b", "c", "a", "b", "c", "a")
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	for k := range w.Cloud.Room {
		w.Cloud.Room[k] = 20
	}
	w.Run(5 * time.Second)
	var repeated, told int
	var all, cancellations counted
	allSent, cancellationsSent := gob.NewEncoder(&all), gob.NewEncoder(&cancellations)
	w.OnPeerMessage = func(_, _ string, m core.Message) {
		if m.Gossip == nil {
			return
		}
		require.NoError(t, allSent.Encode(m))
		require.NoError(t, cancellationsSent.Encode(m.Gossip.Cancellations))
		repeated += len(m.Gossip.Cancellations)
	}
	var jobs []*Job
	const minutes = 3
	for i := range minutes * 60 * 4 {
		s := spec(fmt.Sprintf("job-%d", i), "red", 1, 2)
		job := w.Submit(s, 12*time.Second)
		jobs = append(jobs, job)
		if i%4 == 0 {
			w.After(time.Duration(w.Rng.IntN(15000))*time.Millisecond, func() { w.Cancel(job) })
		}
		w.Run(250 * time.Millisecond)
	}
	for _, j := range jobs {
		ends(t, w, j, 2*time.Minute)
		if j.Told == model.JobCancelled {
			told++
		}
	}
	t.Logf("%d cancelled; each repeated %.1f times to each other controller; gossip %d bytes/s a controller, %d of it withdrawals",
		told, float64(repeated)/float64(told*7*6), int(all)/7/(minutes*60), int(cancellations)/7/(minutes*60))
	assert.Greater(t, told, minutes*60*3/4, "a quarter is cancelled")
	assert.Less(t, float64(repeated)/float64(told*7*6), 4.0, "repeated until it has been heard")
}
