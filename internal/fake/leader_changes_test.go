package fake

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// countLaunches counts the launches of each task that were sent, in whatever way.
func countLaunches(w *World) map[model.TaskID]int {
	n := map[model.TaskID]int{}
	w.DelayOnWire = func(_ *Worker, what any) time.Duration {
		var commands []core.Command
		switch m := what.(type) {
		case core.SendCommands:
			commands = m.Commands
		case core.HeartbeatReply:
			commands = m.Commands
		}
		for _, o := range commands {
			if o.Verb == core.VerbLaunch {
				n[o.Task]++
			}
		}
		return 0
	}
	return n
}

func TestTasksEndingAcrossFailoverRunOnce(t *testing.T) {
	// The first ends a moment before its leader does, which has not written it down;
	// one while there is none; one long after. The next leader finds the ends in the
	// reports, where they stay until they are durable.
	for _, zones := range [][]string{{"a"}, {"a", "b", "c"}} {
		w := worldWithIdleMachines(t, 108, 3, zones...)
		for i, k := range aliveWorkers(w, "a")[:3] {
			k.Slow = []float64{1, 1.3, 5}[i]
		}
		n := countLaunches(w)
		job := w.Submit(plain("job-1", 3), 10*time.Second)
		require.True(t, w.Until(10*time.Second, started(w, "job-1", 3)))
		require.True(t, w.Until(30*time.Second, func() bool { return len(job.Finished) == 1 }))
		w.Run(700 * time.Millisecond) // its report has been answered
		v := string(w.Store.rows["slice/a/job-1"].value)
		require.NotContains(t, v, `"d":`, "the end is not written down")
		w.Nodes[0].Restart([]time.Duration{5 * time.Second, 20 * time.Second}[min(len(zones)-1, 1)])
		ends(t, w, job, 90*time.Second)
		assert.Equal(t, model.JobDone, job.Told)
		assert.Equal(t, 3, job.Starts)
		assert.Len(t, n, 3)
		for id, n := range n {
			assert.Equal(t, 1, n, "%v is sent once", id)
		}
	}
}

func TestAllControllersDownLongerThanWorkerLease(t *testing.T) {
	// What ran is killed by the leases. Reports of before, and one held back until the
	// next leader has acted, tell of tasks that are no more, and of none yet.
	for _, zones := range [][]string{{"a"}, {"a", "b", "c"}} {
		w := worldWithIdleMachines(t, 111, 4, zones...)
		early := map[*Worker]core.WorkerStatus{} // of before the job
		for _, k := range aliveWorkers(w, "a") {
			early[k] = k.status()
		}
		job := w.Submit(plain("job-1", 4), 25*time.Second)
		require.True(t, w.Until(10*time.Second, started(w, "job-1", 4)))
		running := map[*Worker]core.WorkerStatus{}
		for k := range w.On("job-1") {
			running[k] = k.status()
		}
		for _, n := range w.Nodes {
			n.Restart(w.Cfg.WorkerLease + 6*time.Second)
		}
		w.Run(w.Cfg.WorkerLease + 5*time.Second)
		require.Empty(t, w.On("job-1"), "their leases ran out")
		w.OnClaim(func(string, string) {
			for d, reports := range map[time.Duration]map[*Worker]core.WorkerStatus{
				100 * time.Millisecond: early, 3 * time.Second: running, 8 * time.Second: early, 9 * time.Second: running} {
				for _, worker := range aliveWorkers(w, "a") {
					if status, ok := reports[worker]; ok {
						w.After(d, func() {
							for _, n := range w.Nodes {
								n.receiveHeartbeat(status)
							}
						})
					}
				}
			}
		})
		ends(t, w, job, time.Minute)
		assert.Equal(t, 8, job.Starts, "each once more")
	}
}

func TestFailoverWhileMachinesAreUnreachable(t *testing.T) {
	// A launch of the former leader is under way for 6 s. The machine is heard by the
	// next one, without the task, and hears nothing of it: what it shows proves nothing
	// until it shows the new token.
	for _, reached := range []string{"not at all", "reports only"} {
		w := worldWithIdleMachines(t, 112, 4, "a")
		node := w.Nodes[0]
		long := w.Submit(plain("job-2", 2), 40*time.Second)
		require.True(t, w.Until(10*time.Second, started(w, "job-2", 2)))
		at := delayLaunch(w, "job-1", 6*time.Second, 0)
		job := w.Submit(plain("job-1", 1), 20*time.Second)
		require.True(t, w.Until(10*time.Second, func() bool { return at() != nil }), "a launch is held up")
		node.Restart(100 * time.Millisecond)
		for _, worker := range append([]*Worker{at()}, workersRunning(w, "job-2")...) {
			if reached == "not at all" {
				w.Cut(node.Name, worker.name, 9*time.Second, false)
			} else {
				w.CutInbound(worker, 9*time.Second)
			}
		}
		require.True(t, w.Until(8*time.Second, started(w, "job-1", 1)), "the former leader's launch arrives")
		ends(t, w, job, time.Minute)
		ends(t, w, long, time.Minute)
		assert.Equal(t, 1, job.Starts)
		assert.Equal(t, 2, long.Starts)
	}
}

func workersRunning(w *World, id string) []*Worker {
	var out []*Worker
	for k := range w.On(id) {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

func TestLeaderRestartWithFastBootAndLostWriteAnswers(t *testing.T) {
	// Machines are up within two seconds, each transaction takes as long, and some get
	// no answer. The leader ends once before and once after its placements are written,
	// and nobody reaches the machines of then for a while.
	for _, after := range []bool{false, true} {
		cfg := Settings()
		w := New(115, cfg)
		t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
		w.Run(3 * time.Second)
		w.Cloud.BootS = func(string) float64 { return 0.5 + w.Rng.Float64() }
		w.Store.Slow = 1500 * time.Millisecond
		n, ended := 0, ""
		end := func(node string) {
			ended = node
			for _, x := range w.Nodes {
				for _, name := range slices.Sorted(maps.Keys(w.Workers)) {
					w.Cut(x.Name, name, 8*time.Second, false)
				}
				if x.Name == node {
					x.Restart(300 * time.Millisecond)
				}
			}
		}
		w.Store.Lose = func(node string, txn core.Txn) (bool, time.Duration) {
			if !changes(txn, "slice/") || !placesTasks(txn) {
				return false, 0
			}
			if n++; n == 1 && !after {
				end(node)
			}
			return n%2 == 1, 4 * time.Second
		}
		w.Store.OnExecuted = append(w.Store.OnExecuted, func(node string, txn core.Txn, res core.CommitResult) {
			if after && ended == "" && placesTasks(txn) && res.Outcome == core.OutcomeOK {
				end(node)
			}
		})
		jobs := []*Job{}
		for i := range 4 {
			s := plain(fmt.Sprintf("job-%d", i), 4)
			s.Zone, s.Types, s.Need.Cores = "", nil, 2
			jobs = append(jobs, w.Submit(s, 15*time.Second))
		}
		require.True(t, w.Until(20*time.Second, func() bool { return ended != "" }), "the leader ended")
		up := 0
		for _, worker := range w.Workers {
			if worker.started {
				up++
			}
		}
		assert.Positive(t, up, "machines are up by then")
		w.Run(10 * time.Second)
		w.Store.Lose = nil
		for _, j := range jobs {
			ends(t, w, j, 3*time.Minute)
		}
	}
}

// placesTasks says whether a transaction gives any task a machine.
func placesTasks(x core.Txn) bool {
	return slices.ContainsFunc(x.Mutations, places)
}

func TestTenFailoversInTwoMinutes(t *testing.T) {
	// They end and come back, hand parts over and take them home again; also while
	// the state service is out, and all within a second of each other. What a leader
	// launches last is held up, its machines don't hear the next one for a while, and
	// copies of all machines' reports await that one.
	for _, outage := range []bool{false, true} {
		w := worldWithIdleMachines(t, 116, 6, "a", "b", "c")
		claims, held, last := 0, 0, ""
		late := map[*Worker]bool{}
		w.DelayOnWire = func(worker *Worker, what any) time.Duration {
			if last == "" || !isLaunchOf(what, last) {
				return 0
			}
			held++
			late[worker], worker.nextAt = true, w.Now+3*time.Second
			return 7 * time.Second
		}
		var kept []core.WorkerStatus
		w.OnClaim(func(_, zone string) {
			if zone != "a" {
				return
			}
			claims++
			for i, status := range kept {
				w.After(time.Duration(20+20*i)*time.Millisecond, func() {
					for _, n := range w.Nodes {
						n.receiveHeartbeat(status)
					}
				})
			}
			kept = nil
		})
		var jobs []*Job
		for i := range 6 {
			s := plain(fmt.Sprintf("job-1%d", i), 2)
			s.Zone, s.Types, s.Need.Cores = "", nil, 2
			jobs = append(jobs, w.Submit(s, time.Duration(30+20*i)*time.Second))
		}
		long := w.Submit(plain("job-2", 3), 100*time.Second)
		require.True(t, w.Until(20*time.Second, started(w, "job-2", 3)))
		for i := range 10 {
			if outage && i%3 == 1 {
				w.Store.Outage(7 * time.Second)
			}
			for _, k := range aliveWorkers(w, "a") {
				kept = append(kept, k.status())
			}
			lead := leaderOf(w, "a")
			if lead == nil {
				lead = w.Nodes[0]
			}
			s := plain(fmt.Sprintf("job-3%d", i), 2)
			s.Need.Cores = 2
			last = s.ID
			jobs = append(jobs, w.Submit(s, 9*time.Second))
			w.Run(time.Second)
			last = ""
			for _, worker := range aliveWorkers(w, "a") {
				if late[worker] {
					w.CutInbound(worker, 7*time.Second)
				}
			}
			clear(late)
			if i%4 == 3 { // all end, and one is back first
				for j, n := range w.Nodes {
					n.Restart(time.Duration(50+900*j) * time.Millisecond)
				}
			} else {
				lead.Restart([]time.Duration{50 * time.Millisecond, 5 * time.Second, 900 * time.Millisecond}[i%4])
			}
			w.Run(11 * time.Second)
		}
		assert.GreaterOrEqual(t, claims, 10)
		assert.GreaterOrEqual(t, held, 4, "launches were under way")
		for _, j := range append(jobs, long) {
			ends(t, w, j, 3*time.Minute)
		}
		assert.Equal(t, 3, long.Starts, "what ran was left alone")
	}
}

func TestAllControllersRestartDuringHandoverOfShard(t *testing.T) {
	// The launches that the interim owner sent last are still under way, and their
	// machines don't hear whoever returns.
	w := worldWithIdleMachines(t, 121, 6, "a", "b", "c")
	w.Nodes[0].Restart(7 * time.Second)
	inFlight, met := map[*Worker]time.Duration{}, 0
	w.DelayOnWire = func(worker *Worker, what any) time.Duration {
		if op, ok := what.(core.SendCommands); ok && len(op.Commands) > 0 && op.Commands[0].Verb == core.VerbLaunch && met == 0 {
			inFlight[worker], worker.nextAt = w.Now+5*time.Second, w.Now+3*time.Second
			return 5 * time.Second
		}
		return 0
	}
	w.Store.OnExecuted = append(w.Store.OnExecuted, func(node string, txn core.Txn, _ core.CommitResult) {
		if met > 0 || node == "node-0" || !changes(txn, "part/a") || txn.Mutations[0].Value != nil {
			return
		}
		for i, n := range w.Nodes {
			n.Restart([]time.Duration{8 * time.Second, 300 * time.Millisecond, 9 * time.Second}[i])
		}
		for _, worker := range aliveWorkers(w, "a") {
			if w.Now < inFlight[worker] {
				met++
				w.CutInbound(worker, 6*time.Second)
			}
		}
	})
	var jobs []*Job
	for i := range 20 {
		s := plain(fmt.Sprintf("job-1%d", i), 1)
		s.Need.Cores = 2
		jobs = append(jobs, w.Submit(s, 8*time.Second))
		w.Run(1200 * time.Millisecond)
	}
	require.Positive(t, met, "it was handed home with launches under way")
	for _, j := range jobs {
		ends(t, w, j, 2*time.Minute)
	}
}
