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
	"roadcleat/internal/model"
)

// day makes a world in which the controllers have settled.
func day(t *testing.T, seed uint64) *World {
	w := New(seed, Settings())
	if testing.Verbose() {
		w.Log = t.Logf
	}
	w.Run(3 * time.Second)
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	return w
}

func spec(id, team string, tasks int, cores float64) model.JobSpec {
	return model.JobSpec{ID: id, Class: "work", Team: team, Priority: 1, Tasks: tasks, Need: model.Resources{Cores: cores, MemoryGB: 1},
		Spot: true, Image: "img", ImageGB: 0.5, EstimateSeconds: 10}
}

// ends waits for a job to end and for its machines to go back.
func ends(t *testing.T, w *World, job *Job, d time.Duration) {
	t.Helper()
	require.True(t, w.Until(d, job.Over), "%s is over", job.Spec.ID)
}

// crowd submits jobs of both teams and waits until all are accepted.
func crowd(t *testing.T, w *World, n, tasks int, run time.Duration) []*Job {
	t.Helper()
	var jobs []*Job
	for i := range n {
		jobs = append(jobs, w.Submit(spec(fmt.Sprintf("job-%d", i), []string{"red", "blue"}[i%2], tasks, 2), run))
	}
	require.True(t, w.Until(time.Minute, accepted(jobs)), "all are accepted")
	return jobs
}

func accepted(jobs []*Job) func() bool {
	return func() bool {
		return !slices.ContainsFunc(jobs, func(j *Job) bool { return !j.Accepted })
	}
}

// allGone says whether every machine has been given back or has died.
func allGone(w *World) func() bool {
	return func() bool {
		for _, worker := range w.Workers {
			if !worker.gone {
				return false
			}
		}
		return true
	}
}

// runningTasks counts a job's tasks that are on machines.
func runningTasks(w *World, id string) (n int) {
	for _, k := range w.On(id) {
		n += k
	}
	return n
}

// started says whether at least n of a job's tasks are on machines.
func started(w *World, id string, n int) func() bool {
	return func() bool { return runningTasks(w, id) >= n }
}

func TestAnOrdinaryJobRunsAndItsMachinesGoBack(t *testing.T) {
	w := day(t, 1)
	job := w.Submit(spec("job-1", "red", 6, 2), 8*time.Second)
	ends(t, w, job, 60*time.Second)
	assert.Equal(t, model.JobDone, job.Told)
	assert.Len(t, job.Finished, 6)
	assert.True(t, w.Until(2*time.Minute, allGone(w)), "idle machines are returned")
}

func TestOwnerCrashesBetweenCommitAndLaunch(t *testing.T) {
	w := day(t, 2)
	first := w.Submit(spec("job-1", "red", 2, 2), 30*time.Second)
	require.True(t, w.Until(40*time.Second, started(w, "job-1", 2)))
	crashed := ""
	w.Store.Lose = func(node string, txn core.Txn) (bool, time.Duration) {
		for _, s := range txn.Mutations {
			if crashed == "" && places(s) && strings.HasSuffix(s.Key, "job-2") {
				// The placement becomes durable, but its owner dies before it hears of it.
				crashed = node
				for _, n := range w.Nodes {
					if n.Name == node {
						n.Restart(3 * time.Second)
					}
				}
				return true, 0
			}
		}
		return false, 0
	}
	second := w.Submit(spec("job-2", "red", 3, 2), 5*time.Second)
	ends(t, w, second, 90*time.Second)
	ends(t, w, first, 90*time.Second)
	assert.NotEmpty(t, crashed)
}

func TestLateOrdersAfterAWithdrawalDoNotStartAnything(t *testing.T) {
	w := day(t, 3)
	warm := w.Submit(spec("job-1", "red", 4, 2), 60*time.Second)
	require.True(t, w.Until(40*time.Second, started(w, "job-1", 4)))
	for _, node := range w.Nodes {
		for name := range w.Workers {
			// Orders are held; reports get through to other controllers only.
			w.Cut(node.Name, name, 20*time.Second, true)
		}
	}
	job := w.Submit(spec("job-2", "red", 2, 1), 30*time.Second)
	w.Run(3 * time.Second)
	w.Cancel(job)
	ends(t, w, job, 30*time.Second)
	w.Run(2 * time.Minute)
	assert.Equal(t, model.JobCancelled, job.Told)
	assert.Empty(t, w.On("job-2"))
	ends(t, w, warm, 3*time.Minute)
}

func TestStaleOwnerBesideANewOneDoesNoHarm(t *testing.T) {
	w := day(t, 4)
	job := w.Submit(spec("job-1", "red", 8, 2), 25*time.Second)
	require.True(t, w.Until(60*time.Second, started(w, "job-1", 8)))
	// One controller loses the state service but keeps its workers; its part
	// goes to another one, and both answer workers for a while.
	w.Store.Refuse("node-0", 40*time.Second)
	ends(t, w, job, 3*time.Minute)
	again := w.Submit(spec("job-2", "red", 8, 2), 5*time.Second)
	ends(t, w, again, 2*time.Minute)
}

func TestRunningWorkSurvivesAStateOutage(t *testing.T) {
	w := day(t, 5)
	job := w.Submit(spec("job-1", "red", 4, 2), 30*time.Second)
	require.True(t, w.Until(40*time.Second, started(w, "job-1", 4)))
	starts := w.Referee.Starts
	w.Store.Outage(20 * time.Second)
	ends(t, w, job, 2*time.Minute)
	assert.Equal(t, starts, w.Referee.Starts, "nothing had to run again")
	assert.Less(t, w.Now, 90*time.Second)
}

func TestWithdrawalReachesAnOwnerCutFromTheStore(t *testing.T) {
	w := day(t, 6)
	s := spec("job-1", "red", 2, 2)
	s.Zone = "a"
	job := w.Submit(s, 10*time.Minute)
	require.True(t, w.Until(40*time.Second, started(w, "job-1", 2)))
	// The owner of zone a hears neither the store nor the other controllers.
	w.Cut("node-0", "state", 3*time.Minute, false)
	w.Cut("node-0", "node-1", 3*time.Minute, false)
	w.Cut("node-0", "node-2", 3*time.Minute, false)
	for name := range w.Workers {
		w.Cut("node-1", name, 3*time.Minute, false)
		w.Cut("node-2", name, 3*time.Minute, false)
	}
	w.Cancel(job)
	ends(t, w, job, 20*time.Second)
	w.Run(w.Cfg.CancelWithin)
	assert.Empty(t, w.On("job-1"), "gone in time")
}

// loseFirst loses the first reply to a transaction on the prefix; it is
// applied all the same.
func loseFirst(w *World, prefix string, late time.Duration) *int {
	n := new(int)
	w.Store.Lose = func(_ string, txn core.Txn) (bool, time.Duration) {
		for _, s := range txn.Mutations {
			if strings.HasPrefix(s.Key, prefix) && *n == 0 {
				*n++
				return true, late
			}
		}
		return false, 0
	}
	return n
}

func TestLostCommitReplies(t *testing.T) {
	for _, c := range []struct {
		prefix string
		late   time.Duration
	}{{"job/", 0}, {"job/", 6 * time.Second}, {"part/", 0}, {"part/", 5 * time.Second}, {"quota/", 0}, {"quota/", 4 * time.Second}, {"slice/", 3 * time.Second}} {
		t.Run(strings.TrimSuffix(c.prefix, "/")+c.late.String(), func(t *testing.T) {
			w := New(7, Settings())
			lost := loseFirst(w, c.prefix, c.late)
			w.Run(time.Second)
			job := w.Submit(spec("job-1", "blue", 6, 2), 6*time.Second)
			ends(t, w, job, 2*time.Minute)
			assert.Equal(t, 1, *lost)
			assert.Empty(t, w.Referee.Broken)
		})
	}
}

func TestTeamLimitHoldsOverTwoPartsAndACrash(t *testing.T) {
	w := day(t, 8)
	var jobs []*Job
	for _, zone := range []string{"a", "b"} {
		s := spec("job-1"+zone, "blue", 12, 2) // each alone would pass the limit of 16
		s.Zone = zone
		jobs = append(jobs, w.Submit(s, 8*time.Second))
	}
	require.True(t, w.Until(60*time.Second, started(w, "job-1a", 1)))
	w.Nodes[0].Restart(4 * time.Second)
	for _, j := range jobs {
		ends(t, w, j, 4*time.Minute)
	}
}

func TestSpotNoticeMovesWork(t *testing.T) {
	w := day(t, 9)
	job := w.Submit(spec("job-1", "red", 4, 2), 20*time.Second)
	require.True(t, w.Until(40*time.Second, started(w, "job-1", 4)))
	for k := range w.On("job-1") {
		k.GiveSpotNotice(6 * time.Second)
	}
	ends(t, w, job, 2*time.Minute)
}

func TestLateHireIsUsedOrReturned(t *testing.T) {
	w := day(t, 10)
	late := 0
	w.Cloud.LateRental = func(core.RentHosts) time.Duration {
		if late == 0 {
			late++
			return 15 * time.Second
		}
		return 0
	}
	job := w.Submit(spec("job-1", "red", 2, 2), 5*time.Second)
	ends(t, w, job, 90*time.Second)
	w.Run(3 * time.Minute)
	for _, k := range w.Workers {
		assert.True(t, k.gone, "%s is returned", k.name)
	}
	assert.Equal(t, 1, late)
}

func TestOneZoneAndApartHoldOverFailures(t *testing.T) {
	w := day(t, 11)
	one, apart := spec("job-1", "red", 6, 2), spec("job-2", "red", 5, 2)
	one.OneZone, apart.SpreadZones = true, true
	a, b := w.Submit(one, 15*time.Second), w.Submit(apart, 15*time.Second)
	require.True(t, w.Until(60*time.Second, started(w, "job-2", 3)))
	for worker := range w.On("job-1") {
		worker.Die()
		break
	}
	for worker := range w.On("job-2") {
		worker.Die()
		break
	}
	w.Nodes[1].Restart(4 * time.Second)
	ends(t, w, a, 3*time.Minute)
	ends(t, w, b, 3*time.Minute)
}

func TestEveryNodeTellsTheSameEnd(t *testing.T) {
	w := day(t, 12)
	job := w.Submit(spec("job-1", "red", 3, 2), 6*time.Second)
	dropped := w.Submit(spec("job-2", "red", 3, 2), 5*time.Minute)
	require.True(t, w.Until(40*time.Second, started(w, "job-2", 1)))
	w.Cancel(dropped)
	ends(t, w, dropped, 10*time.Second)
	ends(t, w, job, 60*time.Second)
	assert.LessOrEqual(t, job.ToldDone, w.Now)
	for _, n := range w.Nodes {
		n.Restart(time.Second)
	}
	w.Run(5 * time.Second)
	for _, node := range w.Nodes {
		for id, want := range map[string]model.JobState{"job-1": model.JobDone, "job-2": model.JobCancelled} {
			got := model.JobPending
			node.ask(func(req uint64) core.Event { return core.JobQuery{RequestID: req, ID: id} }, func(v core.Effect) { got = v.(core.UserReply).Job.State })
			w.Run(time.Second)
			assert.Equal(t, want, got, "%s at %s", id, node.Name)
		}
		status := 0
		node.ask(func(req uint64) core.Event { return core.JobQuery{RequestID: req, ID: "job-9"} }, func(v core.Effect) { status = v.(core.UserReply).Status })
		w.Run(time.Second)
		assert.Equal(t, 404, status)
	}
}

func TestGangStartsWholeAndAServiceRunsUntilItIsCancelled(t *testing.T) {
	w := day(t, 13)
	g := spec("job-1", "red", 3, 4)
	g.Gang = true
	gang := w.Submit(g, 10*time.Second)
	s := spec("job-2", "blue", 2, 2)
	s.Service = true
	service := w.Submit(s, 0)
	require.True(t, w.Until(60*time.Second, started(w, "job-1", 3)), "all three together")
	ends(t, w, gang, 60*time.Second)
	w.Run(30 * time.Second)
	assert.True(t, started(w, "job-2", 2)())
	w.Cancel(service)
	ends(t, w, service, 20*time.Second)
	w.Run(10 * time.Second)
	assert.Empty(t, w.On("job-2"))
}

func TestAJobOfManyTasksFitsTheStore(t *testing.T) {
	w := day(t, 14)
	job := w.Submit(spec("job-1", "red", 3000, 0.05), 300*time.Millisecond)
	ends(t, w, job, 30*time.Minute)
	assert.Len(t, job.Finished, 3000)
}

func TestTheRefereeSeesEachRuleBroken(t *testing.T) {
	w := New(1, Settings())
	w.Now = time.Second
	run := spec("job-1", "blue", 9, 2)
	run.Zone = "a"
	job := &Job{Spec: run, Finished: map[int]bool{}, Accepted: true}
	w.Jobs["job-1"] = job
	k1, k2 := newWorker(w, "vm-1", "large", "a", false), newWorker(w, "vm-2", "large", "a", false)
	k3 := newWorker(w, "vm-3", "large", "b", false)
	saw := func(rule string) {
		t.Helper()
		require.NotEmpty(t, w.Referee.Broken, rule)
		assert.Contains(t, w.Referee.Broken[len(w.Referee.Broken)-1], rule)
		w.Referee.Broken = nil
	}
	at := func(i int) model.TaskID { return model.TaskID{Job: "job-1", Index: i} }
	w.Referee.on(at(0), k1)
	require.Empty(t, w.Referee.Broken)
	w.Referee.on(at(0), k2)
	saw("ran_twice")
	w.Referee.off(at(0), k2)
	w.Referee.on(at(1), k3)
	saw("wrong_place")
	w.Referee.off(at(1), k3)
	for i := 2; i < 8; i++ {
		w.Referee.on(at(i), k1)
	}
	require.Empty(t, w.Referee.Broken)
	w.Referee.on(at(8), k1)
	w.Referee.on(at(1), k1)
	saw("quota")
	w.Referee.told("job-1", 200, model.JobDone, w.Referee.known("job-1"))
	saw("not_done")
	w.Referee.told("job-1", 200, model.JobPending, w.Referee.known("job-1"))
	saw("went_back")
	w.Referee.told("job-1", 404, 0, w.Referee.known("job-1"))
	saw("forgotten")
	w.Referee.told("job-7", 200, model.JobPending, w.Referee.known("job-7"))
	saw("invented")
	job.Told, job.CancelRequested = model.JobPending, true
	w.Referee.told("job-1", 200, model.JobCancelled, w.Referee.known("job-1"))
	require.Empty(t, w.Referee.Broken)
	w.Now += w.Cfg.CancelWithin + time.Second
	w.Referee.overdue()
	saw("ran_cancelled")
}

func TestWaitingTasksMoveToAPartWithRoom(t *testing.T) {
	w := day(t, 15)
	first := spec("job-1", "red", 2, 2)
	first.Zone = "a"
	ends(t, w, w.Submit(first, 5*time.Second), 60*time.Second)
	stuck := w.Submit(spec("job-2", "red", 2, 2), 20*time.Second) // goes to the idle machine in a
	require.True(t, w.Until(20*time.Second, started(w, "job-2", 2)))
	other := spec("job-3", "red", 2, 2)
	other.Zone = "b"
	w.Submit(other, 2*time.Minute)
	require.True(t, w.Until(40*time.Second, func() bool { return started(w, "job-3", 2)() || stuck.Over() }))
	require.False(t, stuck.Over())
	for worker := range w.On("job-2") {
		require.Equal(t, "a", worker.zone)
		worker.Die()
	}
	for k := range w.Cloud.Room {
		if strings.Contains(k, "/a/") {
			w.Cloud.Room[k] = 0 // and the zone has no machine to give
		}
	}
	ends(t, w, stuck, 90*time.Second)
	moved := uint64(0)
	for _, n := range w.Nodes {
		moved += n.Core.Stats().Rebalanced
	}
	assert.Positive(t, moved)
}

func TestALaunchThatReachedNobodyStartsElsewhereAtOnce(t *testing.T) {
	w := day(t, 16)
	first := w.Submit(spec("job-1", "red", 10, 2), 40*time.Second)
	require.True(t, w.Until(60*time.Second, started(w, "job-1", 10)))
	ends(t, w, first, 60*time.Second)
	alive := 0
	for name, worker := range w.Workers {
		if worker.gone {
			continue
		}
		if alive++; alive > 1 {
			continue
		}
		for _, n := range w.Nodes {
			w.Cut(n.Name, name, time.Minute, false)
		}
	}
	require.Greater(t, alive, 1, "machines are idle now")
	job := w.Submit(spec("job-2", "red", 10, 2), 5*time.Second)
	ends(t, w, job, 25*time.Second)
}

func TestRunningWorkSurvivesAnOutageLongerThanAnyLease(t *testing.T) {
	w := day(t, 17)
	job := w.Submit(spec("job-1", "red", 4, 2), 100*time.Second)
	require.True(t, w.Until(40*time.Second, started(w, "job-1", 4)))
	starts := w.Referee.Starts
	// All controllers are in touch and none can accept a withdrawal, so their
	// owners may keep answering workers for as long as it takes.
	w.Store.Outage(75 * time.Second)
	ends(t, w, job, 3*time.Minute)
	assert.Equal(t, starts, w.Referee.Starts, "nothing had to run again")
}

func TestAMachineFarTooSlowIsReturned(t *testing.T) {
	w := day(t, 18)
	s := spec("job-1", "red", 60, 4)
	s.Zone = "a"
	job := w.Submit(s, 10*time.Second)
	require.True(t, w.Until(60*time.Second, started(w, "job-1", 6)))
	var slow *Worker
	for worker := range w.On("job-1") {
		if slow == nil || worker.name < slow.name {
			slow = worker
		}
	}
	slow.Slow = 8
	assert.True(t, w.Until(10*time.Minute, func() bool { return slow.gone }), "%s is returned", slow.name)
	require.False(t, job.Over(), "while it was still needed")
	ends(t, w, job, 10*time.Minute)
}
