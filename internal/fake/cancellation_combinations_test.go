package fake

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// askRepeatedly has users ask about a job at one controller again and again for a while, and
// counts the answers by status.
func askRepeatedly(w *World, node *Node, id string, every, d time.Duration) map[int]int {
	answers := map[int]int{}
	for at := time.Duration(0); at < d; at += every {
		w.After(at, func() {
			w.user(node, id, func(req uint64) core.Event { return core.JobQuery{RequestID: req, ID: id} }, func(status int) { answers[status]++ })
		})
	}
	return answers
}

// claimsOwnership says whether a controller holds itself a zone's owner.
func claimsOwnership(node *Node, zone string) bool {
	for _, p := range node.Core.Status().Shards {
		if p.Zone == zone && p.OwnedHere {
			return true
		}
	}
	return false
}

// tasksOnMachines counts the tasks of the jobs that are on machines.
func tasksOnMachines(w *World, jobs []*Job) int {
	n := 0
	for _, j := range jobs {
		for _, k := range w.On(j.Spec.ID) {
			n += k
		}
	}
	return n
}

// runJobsInZoneA submits jobs of a team to zone a and waits until all their tasks run.
func runJobsInZoneA(t *testing.T, w *World, team string, jobs, tasks int, cores float64) []*Job {
	t.Helper()
	var out []*Job
	for range jobs {
		s := spec(fmt.Sprintf("job-%d", len(w.Jobs)), team, tasks, cores)
		s.Zone, s.Spot = "a", false
		out = append(out, w.Submit(s, 10*time.Minute))
	}
	require.True(t, w.Until(2*time.Minute, func() bool { return tasksOnMachines(w, out) == jobs*tasks }), "all of it runs")
	return out
}

func TestCancellationThroughNewLeaderWhileIsolatedLeaderServes(t *testing.T) {
	for _, hold := range []bool{false, true} {
		w := day(t, 130)
		jobs := runJobsInZoneA(t, w, "red", 4, 2, 2)
		old := w.Nodes[0]
		w.Isolate(old, 60*time.Second, hold)
		var at *Node
		require.True(t, w.Until(20*time.Second, func() bool {
			for _, node := range w.Nodes[1:] {
				if claimsOwnership(node, "a") {
					at = node
				}
			}
			return at != nil
		}), "another controller leads")
		require.True(t, claimsOwnership(old, "a"), "and the old one does not know")
		var answers []map[int]int
		for _, j := range jobs {
			answers = append(answers, askRepeatedly(w, old, j.Spec.ID, 100*time.Millisecond, 50*time.Second))
			w.CancelAt(at, j, nil)
		}
		w.Run(w.Cfg.CancelWithin)
		assert.Zero(t, tasksOnMachines(w, jobs))
		for _, a := range answers {
			assert.Greater(t, a[503], 300, "the old leader is asked and says that it can't know")
			assert.Zero(t, a[404])
		}
		w.Run(40 * time.Second)
	}
}

func TestCancellationsWhileStateServiceIsSlowThenRefusesLeaderThenAll(t *testing.T) {
	w := day(t, 131)
	jobs := runJobsInZoneA(t, w, "red", 9, 2, 2)
	w.Store.Late = func(string, core.Operation) time.Duration {
		return 200*time.Millisecond + time.Duration(w.Rng.IntN(900))*time.Millisecond
	}
	cancelled := func() int {
		n := 0
		for _, j := range jobs {
			if j.Cancelled > 0 {
				n++
			}
		}
		return n
	}
	stop := func(some []*Job) {
		for i, j := range some {
			w.After(time.Duration(i)*300*time.Millisecond, func() { w.Cancel(j) })
			for _, n := range w.Nodes {
				askRepeatedly(w, n, j.Spec.ID, 500*time.Millisecond, w.Cfg.CancelWithin)
			}
		}
	}
	stop(jobs[:3])
	w.Run(8 * time.Second)
	slow := cancelled()
	w.Store.Refuse("node-0", 14*time.Second)
	w.cutPeers(w.Nodes[0], 20*time.Second, true) // the others' word comes late
	stop(jobs[3:6])
	w.Run(2 * time.Second)
	alone := cancelled() - slow
	stop(jobs[6:8])
	w.Run(200 * time.Millisecond)
	w.Store.Outage(w.Cfg.CancelWithin + 20*time.Second)
	w.Run(w.Cfg.CancelWithin + 10*time.Second)
	late := cancelled() - slow - alone
	assert.Positive(t, slow, "confirmed while it was slow")
	assert.Positive(t, alone, "and while it refused the leader alone")
	assert.Less(t, slow+alone+late, 8, "and some have to wait for the end of the outage")
	w.Store.Late = nil
	for _, j := range jobs[:8] {
		ends(t, w, j, 30*time.Second)
	}
	w.Run(5 * time.Second)
	assert.Zero(t, tasksOnMachines(w, jobs[:8]))
	assert.False(t, jobs[8].Over(), "what nobody cancelled goes on")
}

func TestCancellationWithLostAnswerIsConfirmedOnlyOnceDurable(t *testing.T) {
	// Carried out at once, late, and late after the user has repeated it.
	for _, late := range []time.Duration{0, 1500 * time.Millisecond, 7 * time.Second} {
		w := day(t, 136)
		job := runJobsInZoneA(t, w, "red", 1, 2, 2)[0]
		lost := false
		w.Store.Lose = func(_ string, txn core.Txn) (bool, time.Duration) {
			for _, a := range txn.Mutations {
				if !lost && a.Key == "job/"+job.Spec.ID && isCancelledRecord(a.Value) {
					lost = true
					return true, late
				}
			}
			return false, 0
		}
		for _, n := range w.Nodes {
			askRepeatedly(w, n, job.Spec.ID, 30*time.Millisecond, 12*time.Second)
		}
		w.CancelAt(w.Nodes[1], job, nil)
		require.True(t, w.Until(5*time.Second, func() bool { return lost }))
		for !job.Over() && w.Now < time.Hour {
			w.Run(5 * time.Millisecond)
		}
		assert.True(t, isCancelledRecord(w.Store.rows["job/"+job.Spec.ID].value), "it is written down: %v", late)
		w.Run(15 * time.Second)
		assert.Empty(t, w.On(job.Spec.ID))
	}
}

func TestSoleControllerRestartedAfterConfirmationStopsJob(t *testing.T) {
	// Nobody else knows; its next life finds out when it loads.
	w := oneController(t, 137, nil)
	job := runJobsInZoneA(t, w, "red", 1, 2, 2)[0]
	for _, k := range w.Alive() {
		w.CutOneWay("node-0", k.name, 100*time.Millisecond)
	}
	w.CancelAt(w.Nodes[0], job, func() {
		w.Nodes[0].Restart(50 * time.Millisecond)
		w.Cut("users", "node-0", time.Hour, false) // nor does anybody ask
	})
	w.Run(40 * time.Millisecond)
	require.True(t, job.Over())
	require.NotEmpty(t, w.On(job.Spec.ID), "its halts have not left")
	w.Run(w.Cfg.CancelWithin + 10*time.Second)
	assert.Empty(t, w.On(job.Spec.ID))
}

func TestTeamsAtLimitWithCancelledJobsOnUnreachableMachines(t *testing.T) {
	for _, held := range []string{"cut", "held", "hang"} {
		t.Run(held, func(t *testing.T) {
			w := day(t, 132)
			for k := range w.Cloud.Room {
				w.Cloud.Room[k] = 6
			}
			red, blue := runJobsInZoneA(t, w, "red", 5, 2, 4), runJobsInZoneA(t, w, "blue", 2, 2, 4) // 40 of 40 and 16 of 16 cores
			w.Cloud.BootS = func(string) float64 { return 0.5 }                                      // what waits has machines at once
			var next []*Job
			for _, team := range []string{"red", "blue"} {
				s := spec("job-9"+team, team, 4, 4)
				s.Zone = "b"
				next = append(next, w.Submit(s, 20*time.Second))
			}
			w.Run(12 * time.Second)
			require.Zero(t, tasksOnMachines(w, next), "the limits are used up")
			for _, j := range append(slices.Clone(red), blue...) {
				for worker := range w.On(j.Spec.ID) {
					if held == "hang" {
						worker.Hang(w.Cfg.WorkerLease - 3*time.Second)
					} else {
						w.cutMachine(worker, w.Cfg.WorkerLease+20*time.Second, held == "held")
					}
				}
			}
			old := leaderOf(w, "a")
			w.After(300*time.Millisecond, func() { old.Restart(25 * time.Second) })
			for _, j := range append(slices.Clone(red[:3]), blue...) {
				w.CancelAt(w.Nodes[1+w.Rng.IntN(2)], j, nil)
			}
			require.True(t, w.Until(15*time.Second, func() bool { n := leaderOf(w, "a"); return n != nil && n != old }), "the leader changes")
			for _, j := range next {
				ends(t, w, j, 3*time.Minute)
			}
			w.Run(w.Cfg.CancelWithin)
			assert.Zero(t, tasksOnMachines(w, append(slices.Clone(red[:3]), blue...)))
		})
	}
}

func TestCancellationQueryAndResubmissionDuringJobCompletion(t *testing.T) {
	w := day(t, 133)
	for k := range w.Cloud.Room {
		w.Cloud.Room[k] = 4
	}
	// Users strike at all controllers around the moment at which the tasks end: from before
	// it until after it is written down.
	strikes := 0
	w.OnMoment = func(m Moment) {
		if m.Step != End || m.Phase != Before || m.Job.CancelRequested {
			return
		}
		job := m.Job
		job.CancelRequested = true
		strikes++
		from := time.Duration(strikes*13%700) * time.Millisecond
		for i, node := range w.Nodes {
			at := func(d time.Duration, f func()) { w.After(from+time.Duration(i)*time.Millisecond+d, f) }
			ask := func(ev func(req uint64) core.Event) func() {
				return func() { w.user(node, job.Spec.ID, ev, func(int) {}) }
			}
			poll := ask(func(req uint64) core.Event { return core.JobQuery{RequestID: req, ID: job.Spec.ID} })
			at(0, poll)
			at(time.Millisecond, func() { w.CancelAt(node, job, poll) })
			at(2*time.Millisecond, ask(func(req uint64) core.Event { return core.JobSubmission{RequestID: req, Spec: job.Spec} }))
			at(5*time.Millisecond, poll)
			at(40*time.Millisecond, poll)
		}
	}
	var jobs []*Job
	for i := range 90 {
		s := spec(fmt.Sprintf("job-%d", i), "red", 1+i%3, 2)
		s.Image, s.ImageGB = "", 0
		jobs = append(jobs, w.Submit(s, time.Duration(2000+i*37%900)*time.Millisecond))
		w.Run(time.Second)
	}
	told := map[model.JobState]int{}
	for _, j := range jobs {
		ends(t, w, j, time.Minute)
		told[j.Told]++
	}
	w.Run(5 * time.Second)
	assert.Greater(t, strikes, 80)
	assert.Greater(t, told[model.JobDone], 10, "ended first")
	assert.Greater(t, told[model.JobCancelled], 10, "cancelled first")
	assert.Zero(t, tasksOnMachines(w, jobs))
}

func TestCancellationDuringClaimAndHandover(t *testing.T) {
	for _, c := range []struct {
		step  Step
		phase Phase
		hang  time.Duration
	}{
		{HandOver, Before, 0}, {HandOver, During, 10 * time.Second}, {HandOver, After, 0},
		{Claim, Before, 10 * time.Second}, {Claim, During, 0}, {Claim, After, 12 * time.Second},
	} {
		t.Run(fmt.Sprint(c.step, " ", c.phase), func(t *testing.T) {
			w := day(t, 134)
			for k := range w.Cloud.Room {
				w.Cloud.Room[k] = 6
			}
			jobs := runJobsInZoneA(t, w, "red", 8, 1, 4)
			w.Run(3 * time.Second)
			var cancelled []*Job
			back := false
			w.OnMoment = func(m Moment) {
				// The part goes away at the claim and comes home with the handover.
				if cancelled == nil && m.Step == c.step && m.Phase == c.phase && (c.step == HandOver) == back && m.Node != w.Nodes[0] {
					cancelled = w.CancelNow(5, c.hang)
				}
			}
			w.Nodes[0].Restart(12 * time.Second)
			w.After(13*time.Second, func() { back = true })
			require.True(t, w.Until(40*time.Second, func() bool { return len(cancelled) == 5 }), "cancelled just then")
			for _, j := range cancelled {
				ends(t, w, j, 20*time.Second)
			}
			w.Run(20 * time.Second)
			assert.Zero(t, tasksOnMachines(w, cancelled))
			assert.Equal(t, w.Nodes[0], leaderOf(w, "a"), "home again")
			if c.hang == 0 {
				assert.Equal(t, 3, tasksOnMachines(w, jobs), "the others run on")
			}
			assert.Zero(t, w.Referee.AfterCancel, "no start after a confirmed cancellation")
		})
	}
}

func TestLeaderRestartAtPlacementOnNewMachinesWithSlowWrites(t *testing.T) {
	for _, end := range []Phase{Before, During, After} {
		t.Run(string(end), func(t *testing.T) {
			w := day(t, 135)
			w.Cloud.BootS = func(string) float64 { return 0.3 + 1.5*w.Rng.Float64() }
			var jobs []*Job
			var ended *Node
			placed := 0
			w.OnMoment = func(m Moment) {
				if m.Step != Place || m.Phase != end || ended != nil {
					return
				}
				if placed++; placed < 2 {
					return // some run already
				}
				ended = m.Node
				w.Cancel(jobs[1])
				w.Cancel(jobs[2])
				w.After(0, func() { ended.Restart(5 * time.Second) })
			}
			w.Store.slowFor(900*time.Millisecond, 20*time.Second)
			for i := range 6 {
				s := spec(fmt.Sprintf("job-%d", i), []string{"red", "blue"}[i%2], 3, 2)
				s.Image, s.ImageGB, s.Zone = "", 0, "a"
				jobs = append(jobs, w.Submit(s, 15*time.Second))
			}
			require.True(t, w.Until(20*time.Second, func() bool { return ended != nil }), "the leader ends at a placement")
			for _, worker := range w.Workers {
				if worker.zone == "a" {
					require.Less(t, w.Now-worker.born, 8*time.Second, "on machines that are new")
				}
			}
			for _, j := range jobs {
				ends(t, w, j, 3*time.Minute)
			}
			assert.Equal(t, model.JobCancelled, jobs[1].Told)
			w.Run(20 * time.Second)
			assert.Zero(t, tasksOnMachines(w, jobs))
		})
	}
}
