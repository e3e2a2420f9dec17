package fake

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// setsJobState says whether a transaction gives a job the standing: nothing for unfinished.
func setsJobState(txn core.Txn, id, state string) bool {
	for _, s := range txn.Mutations {
		if s.Key == "job/"+id {
			return strings.Contains(string(s.Value), `"st":"`) == (state != "") &&
				strings.Contains(string(s.Value), state)
		}
	}
	return false
}

// oddMoments are troubles that users ask and cancel through.
var oddMoments = map[string]func(w *World){
	"none":                  func(*World) {},
	"owner restarts":        func(w *World) { w.Nodes[0].Restart(3 * time.Second) },
	"owner back at once":    func(w *World) { w.Nodes[0].Restart(30 * time.Millisecond) },
	"all restart":           func(w *World) { restartAllControllers(w) },
	"store refuses one":     func(w *World) { w.Store.Refuse("node-0", 20*time.Second) },
	"one alone":             func(w *World) { w.Isolate(w.Nodes[0], 15*time.Second, true) },
	"one cut from peers":    func(w *World) { w.cutPeers(w.Nodes[0], 30*time.Second, false) },
	"one stands still":      func(w *World) { w.Nodes[0].Freeze(6 * time.Second) },
	"store away":            func(w *World) { w.Store.Outage(6 * time.Second) },
	"one refused, then all": func(w *World) { w.Store.Refuse("node-1", 14*time.Second); w.Store.Outage(5 * time.Second) },
}

func restartAllControllers(w *World) {
	for i, n := range w.Nodes {
		n.Restart(time.Duration(i*400) * time.Millisecond)
	}
}

// runThroughFaults plays half a minute of short jobs with a trouble in the middle.
func runThroughFaults(t *testing.T, users func(w *World), check func(t *testing.T, w *World)) {
	seed := uint64(100)
	for _, name := range sortedKeys(oddMoments) {
		seed++
		t.Run(name, func(t *testing.T) {
			w := day(t, seed)
			users(w)
			for i := range 30 {
				w.Submit(spec(fmt.Sprintf("job-%d", i), []string{"red", "blue"}[i%2], 1+i%3, 1), time.Duration(1+i%5)*time.Second)
				w.Run(time.Second)
				if i == 12 {
					oddMoments[name](w)
				}
			}
			for _, id := range sortedJobs(w.Jobs) {
				if j := w.Jobs[id]; !j.Bad {
					ends(t, w, j, 3*time.Minute)
				} else {
					assert.True(t, w.Until(time.Minute, func() bool { return j.Refused }), "%s is refused", id)
				}
			}
			check(t, w)
		})
	}
}

// anyStartedWorker is a machine that is up, or nil.
func anyStartedWorker(w *World) *Worker {
	for _, name := range sortedKeys(w.Workers) {
		if k := w.Workers[name]; k.started && !k.gone {
			return k
		}
	}
	return nil
}

func TestUserRequestsThroughEveryFault(t *testing.T) {
	for i, fault := range Faults {
		t.Run(fault.Name, func(t *testing.T) {
			t.Parallel()
			w := day(t, 200+uint64(i))
			w.PollClosely(time.Minute, 0.2)
			w.OddRequests(time.Minute)
			at, struck := Target{Node: w.Nodes[0]}, false
			for i := range 40 {
				job := w.Submit(spec(fmt.Sprintf("job-%d", i), []string{"red", "blue"}[i%2], 1+i%3, 1), time.Duration(1+i%5)*time.Second)
				w.Run(time.Second)
				if at.Worker = anyStartedWorker(w); i >= 12 && !struck && at.Worker != nil {
					at.Job, struck = job, true
					fault.Inject(w, at, (fault.Least+fault.Most)/2)
				}
			}
			require.True(t, struck)
			for _, id := range sortedJobs(w.Jobs) {
				if j := w.Jobs[id]; !j.Bad {
					ends(t, w, j, 5*time.Minute)
				}
			}
			assert.Greater(t, w.Users.Polls, 300)
			assert.Greater(t, w.Users.Repeats+w.Users.Stopped+w.Users.Nobodys+w.Users.Bad, 30)
		})
	}
}

func TestClosePollsNeverReturnOlderState(t *testing.T) {
	runThroughFaults(t, func(w *World) { w.PollClosely(time.Minute, 0.3) }, func(t *testing.T, w *World) {
		assert.Greater(t, w.Users.Polls, 500)
		assert.Greater(t, w.Users.AtOnce, 3)
	})
}

func TestOddRequestsAreAnsweredCorrectlyThroughFaults(t *testing.T) {
	runThroughFaults(t, func(w *World) { w.OddRequests(32 * time.Second) }, func(t *testing.T, w *World) {
		for what, n := range map[string]int{"repeats": w.Users.Repeats, "cancelled after the end": w.Users.Stopped,
			"nobody's jobs": w.Users.Nobodys, "bad ones": w.Users.Bad} {
			assert.Greater(t, n, 4, what)
		}
	})
}

// changeUnrelatedJob has all who follow the jobs hear of another one just now, so that they do not
// hear of the next change at once.
func changeUnrelatedJob(w *World) {
	w.odd++
	w.Store.apply(core.Txn{Mutations: []core.Mutation{{Key: fmt.Sprintf("job/job-%d", 700000+w.odd), Value: []byte(`{"s":{},"st":"done"}`)}}})
}

// queryAndResubmitSeparately asks some nodes and repeats the submission at the others, so that none
// learns by one what it should not have answered the other from.
func queryAndResubmitSeparately(w *World, job *Job, odd, times int) {
	count := func(status int) {
		if status == 200 {
			w.Users.Polls++
		}
	}
	for i := range times {
		w.After(time.Duration(i)*4*time.Millisecond, func() {
			for k, node := range w.Nodes {
				if (k+odd)%2 == 0 {
					w.ask(node, job.Spec.ID, count)
				} else {
					w.repeat(node, job, count)
				}
			}
		})
	}
}

func TestOtherControllersReadTransactionWithLostAnswer(t *testing.T) {
	for i, state := range []string{"", "withdrawn", "withdrawn", "withdrawn", "done", "done", "done"} {
		t.Run("job "+state, func(t *testing.T) {
			w := day(t, 122)
			w.Run(time.Duration(i) * 23 * time.Millisecond) // at another point of what recurs
			lost := 0
			w.Store.Lose = func(_ string, txn core.Txn) (bool, time.Duration) {
				if lost > 0 || !setsJobState(txn, "job-1", state) {
					return false, 0
				}
				lost++
				changeUnrelatedJob(w)
				queryAndResubmitSeparately(w, w.Jobs["job-1"], i, 40) // from this moment on
				return true, 0
			}
			job := w.Submit(spec("job-1", "red", 2, 2), 5*time.Second)
			if state == "withdrawn" {
				require.True(t, w.Until(time.Minute, started(w, "job-1", 2)))
				w.Cancel(job)
			}
			ends(t, w, job, time.Minute)
			w.Run(time.Second)
			assert.Equal(t, 1, lost)
			assert.Greater(t, w.Users.Polls, 50)
		})
	}
}

func TestQueriesDuringEndOfLastTask(t *testing.T) {
	for seed := range uint64(6) {
		w := day(t, 130+seed)
		w.PollClosely(2*time.Minute, 0)
		met := 0
		w.Store.Lose = func(_ string, txn core.Txn) (bool, time.Duration) {
			if setsJobState(txn, "job-1", "done") {
				met++
				changeUnrelatedJob(w)
			}
			return false, 0
		}
		job := w.Submit(spec("job-1", "red", 3, 2), 5*time.Second)
		require.True(t, w.Until(time.Minute, func() bool { return len(job.Finished) == 2 || len(job.Finished) == 3 }))
		var look func() // every 5 ms, over the end and the moment at which it is written
		look = func() {
			if w.Poll(job, 1); !job.Over() {
				w.After(5*time.Millisecond, look)
			}
		}
		look()
		ends(t, w, job, time.Minute)
		w.Run(time.Second)
		assert.Greater(t, w.Users.Polls, 50)
		assert.Positive(t, met)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

func TestRefereeDetectsWrongAnswersToUsers(t *testing.T) {
	w := New(1, Settings())
	w.Jobs["job-1"] = &Job{Spec: spec("job-1", "red", 1, 1), Finished: map[int]bool{}}
	w.Jobs["job-2"] = &Job{Spec: spec("job-2", "red", 1, 1), Finished: map[int]bool{}, Bad: true}
	for _, c := range []struct {
		id     string
		status int
		s      model.JobState
		rule   string
	}{
		{"job-1", 404, 0, ""}, {"job-1", 503, 0, ""}, {"job-2", 400, 0, ""}, {"job-2", 422, 0, ""}, // as it should be
		{"job-1", 400, 0, "refused: job-1"}, {"job-1", 422, 0, "refused: job-1"},
		{"job-2", 201, 0, "bad_accepted: job-2"}, {"job-2", 200, 0, "bad_accepted: job-2"},
		{"job-1", 201, 0, ""}, {"job-1", 201, 0, "went_back: job-1 was accepted"}, {"job-1", 200, model.JobRunning, ""},
		{"job-1", 422, 0, "forgotten: job-1"}, {"job-1", 404, 0, "forgotten: job-1"},
	} {
		w.Referee.Broken = nil
		w.Referee.told(c.id, c.status, c.s, w.Referee.known(c.id))
		got := strings.Join(w.Referee.Broken, "; ")
		if c.rule == "" {
			assert.Empty(t, got, "%v", c)
		} else {
			assert.Contains(t, got, c.rule, "%v", c)
		}
	}
}

func TestResubmissionToUninformedControllerGetsJobState(t *testing.T) {
	w := day(t, 140)
	w.cutPeers(w.Nodes[0], 10*time.Minute, false)
	met := 0
	w.Store.Lose = func(node string, txn core.Txn) (bool, time.Duration) {
		for _, g := range txn.Conditions {
			if node == "node-0" && len(txn.Mutations) > 0 && g.Revision == 0 && w.Store.rows[g.Key].revision > 0 {
				met++ // it is known already, and this one does not know it
			}
		}
		return false, 0
	}
	for i := range 40 {
		job := &Job{Spec: spec(fmt.Sprintf("job-%d", i), "red", 1, 1), Run: time.Minute, CancelRequested: true,
			Finished: map[int]bool{}, Saved: map[int]time.Duration{}}
		w.Jobs[job.Spec.ID] = job
		w.repeat(w.Nodes[1], job, func(int) {
			w.user(w.Nodes[1], job.Spec.ID, func(req uint64) core.Event { return core.JobCancellation{RequestID: req, ID: job.Spec.ID} }, func(int) {
				w.repeat(w.Nodes[0], job, func(int) {})
			})
		})
		w.Run(513 * time.Millisecond)
		assert.Equal(t, model.JobCancelled, job.Told)
	}
	assert.Greater(t, met, 3)
}

func TestJobIsNotDoneWhenTasksMoveBetweenAssignmentReads(t *testing.T) {
	for seed := range uint64(8) { // whether the owner of a hears of the move before it writes
		moveTaskBetweenReads(t, 141+seed)
	}
}

func moveTaskBetweenReads(t *testing.T, seed uint64) {
	// The owner of a complete slice looks at the others: at b's, which is complete, and
	// then at c's, which is complete because its last task has just gone to b.
	w := day(t, seed)
	clear(w.Cloud.Room)
	for i, zone := range w.Cfg.Zones { // a machine in each zone and no more
		w.Cloud.Room[roomKey("small", zone, true)] = 1
		s := spec(fmt.Sprintf("job-%d", 10+i), "red", 1, 4)
		s.Zone = zone
		ends(t, w, w.Submit(s, time.Second), time.Minute)
	}
	w.Workers[workersOf(w, "a")[0]].Slow = 6 // a's task ends last
	job := w.Submit(spec("job-1", "red", 6, 4), 8*time.Second)
	c := w.Workers[workersOf(w, "c")[0]]
	require.True(t, w.Until(time.Minute, func() bool { // c has done one and is at another
		return strings.Contains(string(w.Store.rows["slice/c/job-1"].value), `"d":`) && w.On("job-1")[c] > 0
	}))
	w.Run(2 * time.Second)
	c.Die()
	w.Cloud.Room[roomKey("small", "c", true)] = -1 // nor is there another once it is returned
	var held *core.Txn                             // the move, which is on its way until the owner of a looks
	w.Store.Lose = func(_ string, txn core.Txn) (bool, time.Duration) {
		if len(txn.Mutations) != 3 || txn.Mutations[0].Key != "slice/c/job-1" {
			return false, 0
		}
		if txn.Mutations[1].Key == "slice/b/job-1" {
			held = &txn
		}
		return true, time.Hour // to a none gets at all
	}
	moved := false
	w.Store.SlowRead = func(node, key string) time.Duration {
		if node != "node-0" || key != "slice/c/job-1" || held == nil || moved {
			return 0
		}
		w.After(19999*time.Microsecond, func() {
			for i, g := range held.Conditions { // as the owner of c would send it now
				held.Conditions[i].Revision = w.Store.rows[g.Key].revision
			}
			if moved = w.Store.apply(*held).Outcome == core.OutcomeOK; moved {
				w.Store.Lose = nil
			}
		})
		return 20 * time.Millisecond
	}
	require.True(t, w.Until(3*time.Minute, func() bool { return moved }), "it moves while the owner of a looks")
	require.Len(t, job.Finished, 5)
	ends(t, w, job, 3*time.Minute)
}
