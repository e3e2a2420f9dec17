package fake

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// plain is a job in zone a whose tasks fill a small machine each and need no image.
func plain(id string, tasks int) model.JobSpec {
	s := spec(id, "red", tasks, 4)
	s.Image, s.ImageGB, s.Types, s.Zone = "", 0, []string{"small"}, "a"
	return s
}

// worldWithIdleMachines makes a day with a controller in each zone, where zone a has small
// machines that are up, idle and kept.
func worldWithIdleMachines(t *testing.T, seed uint64, n int, zones ...string) *World {
	cfg := Settings()
	cfg.Zones = zones
	cfg.Tuning.ReturnSilentAfter, cfg.Tuning.KeepIdle = 10*time.Minute, 10*time.Minute
	w := New(seed, cfg)
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	if testing.Verbose() {
		w.Log = t.Logf
	}
	for k := range w.Cloud.Room {
		w.Cloud.Room[k] = 6
	}
	w.Run(3 * time.Second)
	ends(t, w, w.Submit(plain("job-99", n), 3*time.Second), time.Minute)
	w.Run(5 * time.Second)
	require.GreaterOrEqual(t, len(aliveWorkers(w, "a")), n)
	return w
}

// aliveWorkers lists a zone's machines by name.
func aliveWorkers(w *World, zone string) []*Worker {
	var out []*Worker
	for _, name := range workersOf(w, zone) {
		if k := w.Workers[name]; k.started && !k.gone {
			out = append(out, k)
		}
	}
	return out
}

// leaderOf is the controller that holds itself the zone's owner.
func leaderOf(w *World, zone string) *Node {
	for _, node := range w.Nodes {
		if !node.up {
			continue
		}
		for _, p := range node.Core.Status().Shards {
			if p.Zone == zone && p.OwnedHere && p.Loaded {
				return node
			}
		}
	}
	return nil
}

// delayLaunch has the first launch of the job be under way for d, and says on which
// machine. The machine's next report leaves after quiet.
func delayLaunch(w *World, job string, d, quiet time.Duration) func() *Worker {
	var at *Worker
	w.DelayOnWire = func(worker *Worker, what any) time.Duration {
		if at != nil || !isLaunchOf(what, job) {
			return 0
		}
		at, worker.nextAt = worker, w.Now+quiet
		return d
	}
	return func() *Worker { return at }
}

func TestLaunchDelayedBeyondCancellationBoundStartsNothing(t *testing.T) {
	// Whether the task had been shown or not when it was cancelled: the worker then
	// refuses the launch for its token, or knows the attempt and ignores it.
	for _, c := range []struct {
		name   string
		quiet  time.Duration
		starts int
	}{{"never shown", 6 * time.Second, 0}, {"started by an answer", 0, 1}} {
		t.Run(c.name, func(t *testing.T) {
			w := worldWithIdleMachines(t, 101, 2, "a")
			at := delayLaunch(w, "job-1", w.Cfg.CancelWithin+30*time.Second, c.quiet)
			job := w.Submit(plain("job-1", 1), 5*time.Minute)
			require.True(t, w.Until(10*time.Second, func() bool { return at() != nil }), "a launch is held up")
			sent := w.Now
			if c.starts > 0 {
				require.True(t, w.Until(5*time.Second, started(w, "job-1", 1)))
			}
			w.Cancel(job)
			ends(t, w, job, 3*time.Second)
			w.Run(sent + w.Cfg.CancelWithin + 40*time.Second - w.Now)
			assert.Equal(t, c.starts, job.Starts)
			assert.Equal(t, uint64(1), at().incarnation, "nothing else kept it from starting")
		})
	}
}

func TestGangStoppedDuringDelayedLaunchStartsOnce(t *testing.T) {
	w := worldWithIdleMachines(t, 102, 5, "a")
	var held, unreached *Worker
	w.DelayOnWire = func(worker *Worker, what any) time.Duration {
		switch {
		case !isLaunchOf(what, "job-1"):
		case held == nil: // reports when the other task's failure is known
			held, worker.nextAt = worker, w.Now+3200*time.Millisecond
			return 9 * time.Second
		}
		return 0
	}
	s := plain("job-1", 2)
	s.Gang = true
	// One of its machines can't be reached: its task is free at once, and the gang is
	// stopped as a whole.
	unreached = aliveWorkers(w, "a")[0]
	w.Cut("node-0", unreached.name, 1800*time.Millisecond, false)
	job := w.Submit(s, 20*time.Second)
	require.True(t, w.Until(15*time.Second, started(w, "job-1", 2)))
	require.NotNil(t, held)
	require.NotEqual(t, held, unreached)
	w.Run(15 * time.Second)
	ends(t, w, job, time.Minute)
	assert.Equal(t, 2, job.Starts)
}

func TestHeartbeatsOfEarlierIncarnationsDecideNothingForNewLeader(t *testing.T) {
	w := worldWithIdleMachines(t, 103, 4, "a", "b", "c")
	first := map[*Worker]core.WorkerStatus{}
	for _, worker := range aliveWorkers(w, "a") {
		first[worker] = worker.status()
		w.Cut("node-0", worker.name, w.Cfg.WorkerLease+2*time.Second, false)
		w.Cut("node-1", worker.name, w.Cfg.WorkerLease+2*time.Second, false)
		w.Cut("node-2", worker.name, w.Cfg.WorkerLease+2*time.Second, false)
	}
	w.Run(w.Cfg.WorkerLease + time.Second)
	second := map[*Worker]core.WorkerStatus{}
	for worker := range first {
		require.Equal(t, uint64(2), worker.incarnation, "its lease ran out while it was idle")
		second[worker] = worker.status()
	}
	w.Run(5 * time.Second)
	job := w.Submit(plain("job-1", 2), time.Minute)
	require.True(t, w.Until(10*time.Second, started(w, "job-1", 2)))
	for worker := range w.On("job-1") { // nobody reaches it while the leader changes
		for _, n := range w.Nodes {
			w.Cut(n.Name, worker.name, 9*time.Second, false)
		}
	}
	claims := 0
	w.OnClaim(func(_, zone string) {
		if claims++; zone != "a" || claims > 1 {
			return
		}
		for i, reports := range []map[*Worker]core.WorkerStatus{first, second} {
			w.After(time.Duration(1+i)*100*time.Millisecond, func() {
				for worker := range w.On("job-1") {
					for _, n := range w.Nodes {
						n.receiveHeartbeat(reports[worker])
					}
				}
			})
		}
	})
	w.Nodes[0].Restart(25 * time.Second)
	require.True(t, w.Until(8*time.Second, func() bool { return claims > 0 }), "another leader begins")
	ends(t, w, job, 2*time.Minute)
	assert.Equal(t, 2, job.Starts, "what ran was left alone")
}

func TestNewLeaderDoesNotLaunchInheritedPlacement(t *testing.T) {
	// The leader ends between a placement and its launch. The next one's first answer
	// is under way for 3 s; before that the machine shows its token and not the task,
	// which is free to start elsewhere then.
	w := worldWithIdleMachines(t, 104, 1, "a")
	node := w.Nodes[0]
	big := func(id string, tasks int, cores float64) model.JobSpec {
		s := plain(id, tasks)
		s.Types, s.Need.Cores = []string{"large"}, cores
		return s
	}
	w.Submit(big("job-2", 2, 9), 5*time.Minute) // keeps both machines
	require.True(t, w.Until(time.Minute, started(w, "job-2", 2)))
	w.Run(5 * time.Second)
	var at *Worker
	w.Store.OnExecuted = append(w.Store.OnExecuted, func(_ string, txn core.Txn, _ core.CommitResult) {
		for _, s := range txn.Mutations {
			for _, worker := range aliveWorkers(w, "a") {
				if at == nil && s.Key == "slice/a/job-1" && strings.Contains(string(s.Value), worker.name) {
					at = worker
					node.Restart(50 * time.Millisecond)
				}
			}
		}
	})
	w.OnClaim(func(string, string) { // its report is the first that the next leader hears of it
		w.After(40*time.Millisecond, func() {
			at.heartbeatPending, at.dirty, at.nextAt, at.lastSent = false, true, 0, 0
			at.maybeHeartbeat()
		})
	})
	answered := false
	w.DelayOnWire = func(worker *Worker, what any) time.Duration {
		if r, ok := what.(core.HeartbeatReply); ok && node.life == 2 && r.Status == 200 && worker == at && !answered {
			answered = true
			worker.GiveSpotNotice(time.Minute) // its next start is elsewhere
			return 3 * time.Second
		}
		return 0
	}
	job := w.Submit(big("job-1", 1, 4), 20*time.Second)
	require.True(t, w.Until(20*time.Second, started(w, "job-1", 1)))
	require.True(t, answered && node.life == 2, "the leader ended between the two")
	w.Run(5 * time.Second)
	ends(t, w, job, time.Minute)
	assert.Equal(t, 1, job.Starts)
}

func TestReturnedMachineStaysReturnedAfterLateHeartbeats(t *testing.T) {
	w := oneController(t, 105, nil)
	ends(t, w, w.Submit(plain("job-1", 2), 3*time.Second), time.Minute)
	late := map[*Worker]core.WorkerStatus{}
	for _, k := range aliveWorkers(w, "a") {
		late[k] = k.status()
	}
	require.True(t, w.Until(2*time.Minute, allGone(w)))
	for _, rep := range late {
		w.Nodes[0].receiveHeartbeat(rep)
	}
	w.Run(200 * time.Millisecond)
	for _, p := range w.Nodes[0].Core.Status().Shards {
		assert.Empty(t, p.Hosts)
	}
}

func TestIsolatedLeaderStepsDownAndWorkersKeepLeases(t *testing.T) {
	w := worldWithIdleMachines(t, 106, 3, "a", "b", "c")
	job := w.Submit(plain("job-1", 3), time.Minute)
	require.True(t, w.Until(10*time.Second, started(w, "job-1", 3)))
	w.Isolate(w.Nodes[0], 50*time.Second, false)
	claimed := false
	w.OnClaim(func(node, zone string) { claimed = claimed || zone == "a" && node != "node-0" })
	require.True(t, w.Until(10*time.Second, func() bool { return claimed }), "another leader begins")
	w.Run(w.Cfg.WorkerLease)
	for _, p := range w.Nodes[0].Core.Status().Shards {
		assert.False(t, p.OwnedHere && p.Zone == "a", "the former leader has stepped down")
	}
	ends(t, w, job, 2*time.Minute)
	assert.Equal(t, 3, job.Starts, "nothing had to run again")
}

func TestLateWriteIsRefusedAfterNewerWriteOfSameController(t *testing.T) {
	// Its answer never comes, the key is read, the controller writes anew; seconds
	// later the first transaction is carried out.
	placement := func(x core.Txn) bool {
		return changes(x, "slice/a/job-1") && placesTasks(x)
	}
	state := func(of string) func(core.Txn) bool {
		return func(x core.Txn) bool {
			return changes(x, "job/job-1") && strings.Contains(string(x.Mutations[0].Value), `"st":"`+of)
		}
	}
	for _, c := range []struct {
		name, team string
		pick       func(core.Txn) bool
	}{
		{"a part is claimed", "blue", func(x core.Txn) bool { return changes(x, "part/") }},
		{"a job is accepted", "blue", func(x core.Txn) bool { return changes(x, "job/") && len(x.Mutations) == 2 }},
		{"a grant grows", "blue", func(x core.Txn) bool { return changes(x, "quota/blue") }},
		{"a task is placed", "guest", placement}, // without any grant
		{"a job is done", "blue", state("done")},
		{"a job is withdrawn", "blue", state("withdrawn")},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := guests(Settings())
			cfg.Zones = []string{"a"}
			w := New(107, cfg)
			t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
			late := w.DelayWrite(7*time.Second, c.pick)
			w.Run(3 * time.Second)
			s := plain("job-1", 2)
			s.Team = c.team
			job := w.Submit(s, 6*time.Second)
			if c.name == "a job is withdrawn" {
				require.True(t, w.Until(time.Minute, started(w, "job-1", 1)))
				w.Cancel(job)
			}
			ends(t, w, job, time.Minute)
			require.True(t, w.Until(20*time.Second, func() bool { return late.Over }), "it came late")
			assert.True(t, late.Overtaken, "a newer one was before it")
			assert.Equal(t, core.OutcomeRefused, late.Result.Outcome)
			w.Run(10 * time.Second)
		})
	}
}

func TestShardReliesOnSmallestGrantRequested(t *testing.T) {
	// In an outage a part asks twice to give back: first all it has, then, with two
	// tasks planned that can't be written, the rest. Neither is carried out; a copy of
	// the first is, after the tasks have started. Another part wants all there is.
	w := worldWithIdleMachines(t, 117, 2, "a", "b")
	blue := func(id string, zone string, tasks int) model.JobSpec {
		s := plain(id, tasks)
		s.Team, s.Zone = "blue", zone
		return s
	}
	whole := w.Submit(blue("job-98", "a", 2), 6*time.Second)
	require.True(t, w.Until(time.Minute, func() bool { return len(whole.Finished) == 2 }))
	w.Cloud.Room = map[string]int{}
	full := w.Submit(plain("job-1", len(aliveWorkers(w, "a"))), 4*time.Second)
	require.True(t, w.Until(10*time.Second, started(w, "job-1", full.Spec.Tasks)))
	job := w.Submit(blue("job-2", "a", 2), time.Minute)
	require.True(t, w.Until(time.Second, func() bool { return job.Accepted }))
	held := func() string { return string(w.Store.rows["quota/blue"].value) }
	require.Contains(t, held(), `"a":{"c":9`)
	var asked []string
	w.RepeatRequest = func(_ string, op core.Operation) time.Duration {
		if x, ok := op.(core.CommitTxn); ok && len(x.Txn.Mutations) == 1 && x.Txn.Mutations[0].Key == "quota/blue" {
			if asked = append(asked, string(x.Txn.Mutations[0].Value)); len(asked) == 1 {
				return 6500 * time.Millisecond
			}
		}
		return 0
	}
	w.Run(time.Second)
	w.Store.Outage(4 * time.Second)
	planned := func() bool { return len(asked) > 0 && strings.Contains(asked[len(asked)-1], `"c":8`) }
	for end := w.Now + 4*time.Second; w.Now < end && !planned(); w.Run(20 * time.Millisecond) {
		w.Nodes[0].process(core.PeerMessage{Message: core.Message{Epoch: 1, GrantRequests: []core.GrantRequest{{Team: "blue", Cores: 4, Rank: 1}}}})
	}
	require.True(t, planned(), "it asked with the tasks planned: %v", asked)
	require.Contains(t, asked, "{}", "and before them")
	require.True(t, w.Until(6*time.Second, started(w, "job-2", 2)))
	w.Run(4 * time.Second)
	w.Cloud.Room["small/b/true"] = 6
	w.Cloud.BootS = func(string) float64 { return 0.3 }
	other := w.Submit(blue("job-3", "b", 4), 10*time.Second)
	ends(t, w, other, time.Minute) // the referee sees when both use more than the limit
	ends(t, w, job, 2*time.Minute)
}

func TestMessageAboutDifferentPlacementConfirmsNothing(t *testing.T) {
	// An owner books a task; before its transaction is answered it is told of a value
	// of the slice in which the same attempt is on another machine, or another attempt
	// on the same one. Neither is the placement that it asked for.
	for _, c := range []struct {
		name  string
		value func(host string) string
	}{
		{"another machine", func(string) string { return `{"p":[{"i":0,"h":"vm-999999","a":1}],"n":1}` }},
		{"another attempt", func(host string) string { return `{"p":[{"i":0,"h":"` + host + `","a":2}],"n":2}` }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := worldWithIdleMachines(t, 118, 2, "a", "b")
			node, key, told := w.Nodes[0], "slice/a/job-1", false
			w.Store.Lose = func(_ string, txn core.Txn) (bool, time.Duration) {
				if told || !changes(txn, key) || !placesTasks(txn) {
					return false, 0
				}
				told = true
				host := ""
				for _, worker := range aliveWorkers(w, "a") {
					if strings.Contains(string(txn.Mutations[len(txn.Mutations)-1].Value), worker.name) {
						host = worker.name
					}
				}
				w.After(time.Millisecond, func() {
					node.process(core.PeerMessage{Message: core.Message{Epoch: 1,
						Assignments: []core.Item{{Key: key, Value: []byte(c.value(host)), Revision: w.Store.revision + 100}}}})
				})
				return true, 24 * time.Hour // it is never carried out
			}
			job := w.Submit(plain("job-1", 1), 5*time.Second)
			require.True(t, w.Until(10*time.Second, func() bool { return told }))
			w.Run(1500 * time.Millisecond)
			assert.Zero(t, job.Starts, "nothing is launched that is not written")
		})
	}
}
