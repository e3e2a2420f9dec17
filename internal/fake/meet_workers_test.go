package fake

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

// plain is a job in zone a whose tasks fill a small machine each and need no image.
func plain(id string, tasks int) core.Spec {
	s := spec(id, "red", tasks, 4)
	s.Image, s.ImageGB, s.Types, s.Zone = "", 0, []string{"small"}, "a"
	return s
}

// idleMachines makes a day with a controller in each zone, where zone a has small
// machines that are up, idle and kept.
func idleMachines(t *testing.T, seed uint64, n int, zones ...string) *World {
	cfg := Settings()
	cfg.Zones = zones
	cfg.Knobs.SilentReturn, cfg.Knobs.KeepIdle = 10*time.Minute, 10*time.Minute
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
	require.GreaterOrEqual(t, len(alive(w, "a")), n)
	return w
}

// alive lists a zone's machines by name.
func alive(w *World, zone string) []*Worker {
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
	for _, n := range w.Nodes {
		if !n.up {
			continue
		}
		for _, p := range n.Core.Status().Parts {
			if p.Zone == zone && p.Here && p.Loaded {
				return n
			}
		}
	}
	return nil
}

// holdLaunch has the first launch of the job be under way for d, and says on which
// machine. The machine's next report leaves after quiet.
func holdLaunch(w *World, job string, d, quiet time.Duration) func() *Worker {
	var at *Worker
	w.Held = func(k *Worker, what any) time.Duration {
		if at != nil || !launches(what, job) {
			return 0
		}
		at, k.nextAt = k, w.Now+quiet
		return d
	}
	return func() *Worker { return at }
}

func TestALaunchHeldUpUntilLongAfterACancellationStartsNothing(t *testing.T) {
	// Whether the task had been shown or not when it was cancelled: the worker then
	// refuses the launch for its token, or knows the attempt and ignores it.
	for _, c := range []struct {
		name   string
		quiet  time.Duration
		starts int
	}{{"never shown", 6 * time.Second, 0}, {"started by an answer", 0, 1}} {
		t.Run(c.name, func(t *testing.T) {
			w := idleMachines(t, 101, 2, "a")
			at := holdLaunch(w, "job-1", w.Cfg.Cancel+30*time.Second, c.quiet)
			job := w.Submit(plain("job-1", 1), 5*time.Minute)
			require.True(t, w.Until(10*time.Second, func() bool { return at() != nil }), "a launch is held up")
			sent := w.Now
			if c.starts > 0 {
				require.True(t, w.Until(5*time.Second, started(w, "job-1", 1)))
			}
			w.Stop(job)
			ends(t, w, job, 3*time.Second)
			w.Run(sent + w.Cfg.Cancel + 40*time.Second - w.Now)
			assert.Equal(t, c.starts, job.Starts)
			assert.Equal(t, uint64(1), at().session, "nothing else kept it from starting")
		})
	}
}

func TestAGangStoppedWhileALaunchIsHeldUpStartsOnce(t *testing.T) {
	w := idleMachines(t, 102, 5, "a")
	var held, unreached *Worker
	w.Held = func(k *Worker, what any) time.Duration {
		switch {
		case !launches(what, "job-1"):
		case held == nil: // reports when the other task's failure is known
			held, k.nextAt = k, w.Now+3200*time.Millisecond
			return 9 * time.Second
		}
		return 0
	}
	s := plain("job-1", 2)
	s.Gang = true
	// One of its machines can't be reached: its task is free at once, and the gang is
	// stopped as a whole.
	unreached = alive(w, "a")[0]
	w.Cut("node-0", unreached.name, 1800*time.Millisecond, false)
	job := w.Submit(s, 20*time.Second)
	require.True(t, w.Until(15*time.Second, started(w, "job-1", 2)))
	require.NotNil(t, held)
	require.NotEqual(t, held, unreached)
	w.Run(15 * time.Second)
	ends(t, w, job, time.Minute)
	assert.Equal(t, 2, job.Starts)
}

func TestCopiesOfAnEarlierSessionKeptForTheNextLeaderSettleNothing(t *testing.T) {
	w := idleMachines(t, 103, 4, "a", "b", "c")
	first := map[*Worker]core.Report{}
	for _, k := range alive(w, "a") {
		first[k] = k.report()
		w.Cut("node-0", k.name, w.Cfg.Lease+2*time.Second, false)
		w.Cut("node-1", k.name, w.Cfg.Lease+2*time.Second, false)
		w.Cut("node-2", k.name, w.Cfg.Lease+2*time.Second, false)
	}
	w.Run(w.Cfg.Lease + time.Second)
	second := map[*Worker]core.Report{}
	for k := range first {
		require.Equal(t, uint64(2), k.session, "its lease ran out while it was idle")
		second[k] = k.report()
	}
	w.Run(5 * time.Second)
	job := w.Submit(plain("job-1", 2), time.Minute)
	require.True(t, w.Until(10*time.Second, started(w, "job-1", 2)))
	for k := range w.On("job-1") { // nobody reaches it while the leader changes
		for _, n := range w.Nodes {
			w.Cut(n.Name, k.name, 9*time.Second, false)
		}
	}
	claims := 0
	w.OnClaim(func(_, zone string) {
		if claims++; zone != "a" || claims > 1 {
			return
		}
		for i, reports := range []map[*Worker]core.Report{first, second} {
			w.After(time.Duration(1+i)*100*time.Millisecond, func() {
				for k := range w.On("job-1") {
					for _, n := range w.Nodes {
						n.hears(reports[k])
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

func TestANewLeaderLaunchesNothingThatItInherited(t *testing.T) {
	// The leader ends between a placement and its launch. The next one's first answer
	// is under way for 3 s; before that the machine shows its token and not the task,
	// which is free to start elsewhere then.
	w := idleMachines(t, 104, 1, "a")
	node := w.Nodes[0]
	big := func(id string, tasks int, cores float64) core.Spec {
		s := plain(id, tasks)
		s.Types, s.Need.Cores = []string{"large"}, cores
		return s
	}
	w.Submit(big("job-2", 2, 9), 5*time.Minute) // keeps both machines
	require.True(t, w.Until(time.Minute, started(w, "job-2", 2)))
	w.Run(5 * time.Second)
	var at *Worker
	w.Store.Carried = append(w.Store.Carried, func(_ string, txn core.Txn, _ core.CommitResult) {
		for _, s := range txn.Apply {
			for _, k := range alive(w, "a") {
				if at == nil && s.Key == "slice/a/job-1" && strings.Contains(string(s.Value), k.name) {
					at = k
					node.Restart(50 * time.Millisecond)
				}
			}
		}
	})
	w.OnClaim(func(string, string) { // its report is the first that the next leader hears of it
		w.After(40*time.Millisecond, func() {
			at.flying, at.dirty, at.nextAt, at.lastSent = false, true, 0, 0
			at.maybeBeat()
		})
	})
	answered := false
	w.Held = func(k *Worker, what any) time.Duration {
		if r, ok := what.(core.BeatReply); ok && node.life == 2 && r.Status == 200 && k == at && !answered {
			answered = true
			k.Recall(time.Minute) // its next start is elsewhere
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

func TestAMachineReturnedStaysReturnedWhateverCopiesCome(t *testing.T) {
	w := oneController(t, 105, nil)
	ends(t, w, w.Submit(plain("job-1", 2), 3*time.Second), time.Minute)
	late := map[*Worker]core.Report{}
	for _, k := range alive(w, "a") {
		late[k] = k.report()
	}
	require.True(t, w.Until(2*time.Minute, allGone(w)))
	for _, rep := range late {
		w.Nodes[0].hears(rep)
	}
	w.Run(200 * time.Millisecond)
	for _, p := range w.Nodes[0].Core.Status().Parts {
		assert.Empty(t, p.Hosts)
	}
}

func TestALeaderAloneStepsDownAtItsWorkersWordAndTheyKeepTheirLeases(t *testing.T) {
	w := idleMachines(t, 106, 3, "a", "b", "c")
	job := w.Submit(plain("job-1", 3), time.Minute)
	require.True(t, w.Until(10*time.Second, started(w, "job-1", 3)))
	w.Alone(w.Nodes[0], 50*time.Second, false)
	claimed := false
	w.OnClaim(func(node, zone string) { claimed = claimed || zone == "a" && node != "node-0" })
	require.True(t, w.Until(10*time.Second, func() bool { return claimed }), "another leader begins")
	w.Run(w.Cfg.Lease)
	for _, p := range w.Nodes[0].Core.Status().Parts {
		assert.False(t, p.Here && p.Zone == "a", "the former leader has stepped down")
	}
	ends(t, w, job, 2*time.Minute)
	assert.Equal(t, 3, job.Starts, "nothing had to run again")
}

func TestALateWriteChangesNothingOnceANewerOneOfTheSameControllerWas(t *testing.T) {
	// Its answer never comes, the key is read, the controller writes anew; seconds
	// later the first transaction is carried out.
	placement := func(x core.Txn) bool {
		return changes(x, "slice/a/job-1") && placesAny(x)
	}
	standing := func(of string) func(core.Txn) bool {
		return func(x core.Txn) bool {
			return changes(x, "job/job-1") && strings.Contains(string(x.Apply[0].Value), `"st":"`+of)
		}
	}
	for _, c := range []struct {
		name, team string
		pick       func(core.Txn) bool
	}{
		{"a part is claimed", "blue", func(x core.Txn) bool { return changes(x, "part/") }},
		{"a job is accepted", "blue", func(x core.Txn) bool { return changes(x, "job/") && len(x.Apply) == 2 }},
		{"a grant grows", "blue", func(x core.Txn) bool { return changes(x, "quota/blue") }},
		{"a task is placed", "guest", placement}, // without any grant
		{"a job is done", "blue", standing("done")},
		{"a job is withdrawn", "blue", standing("withdrawn")},
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
				w.Stop(job)
			}
			ends(t, w, job, time.Minute)
			require.True(t, w.Until(20*time.Second, func() bool { return late.Over }), "it came late")
			assert.True(t, late.Overtaken, "a newer one was before it")
			assert.Equal(t, core.Refused, late.Result.Outcome)
			w.Run(10 * time.Second)
		})
	}
}

// launched counts the launches of each task that were sent, in whatever way.
func launched(w *World) map[core.TaskID]int {
	n := map[core.TaskID]int{}
	w.Held = func(_ *Worker, what any) time.Duration {
		var orders []core.Order
		switch m := what.(type) {
		case core.OrdersOp:
			orders = m.Orders
		case core.BeatReply:
			orders = m.Orders
		}
		for _, o := range orders {
			if o.Verb == core.Launch {
				n[o.Task]++
			}
		}
		return 0
	}
	return n
}

func TestTasksThatEndFarApartAcrossAChangeOfLeaderRunOnce(t *testing.T) {
	// The first ends a moment before its leader does, which has not written it down;
	// one while there is none; one long after. The next leader finds the ends in the
	// reports, where they stay until they are durable.
	for _, zones := range [][]string{{"a"}, {"a", "b", "c"}} {
		w := idleMachines(t, 108, 3, zones...)
		for i, k := range alive(w, "a")[:3] {
			k.Slow = []float64{1, 1.3, 5}[i]
		}
		n := launched(w)
		job := w.Submit(plain("job-1", 3), 10*time.Second)
		require.True(t, w.Until(10*time.Second, started(w, "job-1", 3)))
		require.True(t, w.Until(30*time.Second, func() bool { return len(job.Finished) == 1 }))
		w.Run(700 * time.Millisecond) // its report has been answered
		v := string(w.Store.rows["slice/a/job-1"].value)
		require.NotContains(t, v, `"d":`, "the end is not written down")
		w.Nodes[0].Restart([]time.Duration{5 * time.Second, 20 * time.Second}[min(len(zones)-1, 1)])
		ends(t, w, job, 90*time.Second)
		assert.Equal(t, core.Complete, job.Told)
		assert.Equal(t, 3, job.Starts)
		assert.Len(t, n, 3)
		for id, n := range n {
			assert.Equal(t, 1, n, "%v is sent once", id)
		}
	}
}

func TestWorkBoundToPlacesStaysThereWhenItsMachinesAreLost(t *testing.T) {
	// A zone loses its machines and has no others for a while; the other zones have
	// plenty. What is bound waits, what is not goes there.
	bound := map[string]func(*core.Spec){
		"zone":     func(s *core.Spec) { s.Zone = "a" },
		"array":    func(s *core.Spec) { s.Zone, s.Tasks = "a", 7 },
		"one zone": func(s *core.Spec) { s.OneZone = true },
		"apart":    func(s *core.Spec) { s.Apart = true },
		"gang":     func(s *core.Spec) { s.Gang = true },
		"service":  func(s *core.Spec) { s.Zone, s.Service = "a", true },
		"free":     func(*core.Spec) {},
	}
	for _, name := range slices.Sorted(maps.Keys(bound)) {
		t.Run(name, func(t *testing.T) {
			w := idleMachines(t, 109, 4, "a", "b", "c")
			s := plain("job-1", 3)
			s.Zone = ""
			bound[name](&s)
			job := w.Submit(s, 60*time.Second)
			require.True(t, w.Until(time.Minute, started(w, "job-1", min(s.Tasks, 4))))
			other := plain("job-98", 3) // leaves idle machines there
			other.Team, other.Zone = "blue", "b"
			ends(t, w, w.Submit(other, time.Second), 20*time.Second)
			room := w.Cloud.Room
			w.Cloud.Room = map[string]int{}
			for kind, n := range room {
				if !strings.Contains(kind, "/a/") {
					w.Cloud.Room[kind] = n
				}
			}
			kept := anyOn(w, "job-1") // where the others must be, if all must be in one zone
			require.Equal(t, "a", kept.zone)
			for _, k := range alive(w, "a") {
				if !s.OneZone || k != kept {
					k.Die()
				}
			}
			w.Run(5 * time.Second)
			w.Nodes[0].Restart(100 * time.Millisecond)
			w.Run(30 * time.Second)
			w.Cloud.Room = room
			if s.Service {
				assert.True(t, w.Until(time.Minute, started(w, "job-1", 3)), "all replicas are back")
				w.Stop(job)
			}
			ends(t, w, job, 4*time.Minute)
		})
	}
}

func TestAZoneCutOffForLongerThanALeaseKeepsItsWork(t *testing.T) {
	// Inside, a controller goes on answering; outside, another one takes the part. It
	// never heard the workers, so no lease that it could reckon proves anything.
	w := idleMachines(t, 110, 3, "a", "b", "c")
	s := plain("job-1", 3)
	s.Zone = ""
	job := w.Submit(s, 90*time.Second)
	require.True(t, w.Until(10*time.Second, started(w, "job-1", 3)))
	const long = 28 * time.Second // two leases
	for _, other := range []string{"state", "cloud", "users", "node-1", "node-2"} {
		w.Cut("node-0", other, long, true)
	}
	for _, k := range alive(w, "a") {
		w.Cut("node-1", k.name, long, true)
		w.Cut("node-2", k.name, long, true)
	}
	taken := false
	w.OnClaim(func(node, zone string) { taken = taken || zone == "a" && node != "node-0" })
	w.Run(long)
	require.True(t, taken, "another controller takes the part")
	ends(t, w, job, 2*time.Minute)
	assert.Equal(t, 3, job.Starts, "nothing had to run again")
}

func TestAllControllersAwayForLongerThanALease(t *testing.T) {
	// What ran is killed by the leases. Reports of before, and one held back until the
	// next leader has acted, tell of tasks that are no more, and of none yet.
	for _, zones := range [][]string{{"a"}, {"a", "b", "c"}} {
		w := idleMachines(t, 111, 4, zones...)
		early := map[*Worker]core.Report{} // of before the job
		for _, k := range alive(w, "a") {
			early[k] = k.report()
		}
		job := w.Submit(plain("job-1", 4), 25*time.Second)
		require.True(t, w.Until(10*time.Second, started(w, "job-1", 4)))
		running := map[*Worker]core.Report{}
		for k := range w.On("job-1") {
			running[k] = k.report()
		}
		for _, n := range w.Nodes {
			n.Restart(w.Cfg.Lease + 6*time.Second)
		}
		w.Run(w.Cfg.Lease + 5*time.Second)
		require.Empty(t, w.On("job-1"), "their leases ran out")
		w.OnClaim(func(string, string) {
			for d, reports := range map[time.Duration]map[*Worker]core.Report{
				100 * time.Millisecond: early, 3 * time.Second: running, 8 * time.Second: early, 9 * time.Second: running} {
				for _, k := range alive(w, "a") {
					if rep, ok := reports[k]; ok {
						w.After(d, func() {
							for _, n := range w.Nodes {
								n.hears(rep)
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

func TestALeaderEndsWhileMachinesDoNotHearTheNextOne(t *testing.T) {
	// A launch of the former leader is under way for 6 s. The machine is heard by the
	// next one, without the task, and hears nothing of it: what it shows proves nothing
	// until it shows the new token.
	for _, reached := range []string{"not at all", "reports only"} {
		w := idleMachines(t, 112, 4, "a")
		node := w.Nodes[0]
		long := w.Submit(plain("job-2", 2), 40*time.Second)
		require.True(t, w.Until(10*time.Second, started(w, "job-2", 2)))
		at := holdLaunch(w, "job-1", 6*time.Second, 0)
		job := w.Submit(plain("job-1", 1), 20*time.Second)
		require.True(t, w.Until(10*time.Second, func() bool { return at() != nil }), "a launch is held up")
		node.Restart(100 * time.Millisecond)
		for _, k := range append([]*Worker{at()}, sortedOn(w, "job-2")...) {
			if reached == "not at all" {
				w.Cut(node.Name, k.name, 9*time.Second, false)
			} else {
				w.Deafen(k, 9*time.Second)
			}
		}
		require.True(t, w.Until(8*time.Second, started(w, "job-1", 1)), "the former leader's launch arrives")
		ends(t, w, job, time.Minute)
		ends(t, w, long, time.Minute)
		assert.Equal(t, 1, job.Starts)
		assert.Equal(t, 2, long.Starts)
	}
}

func sortedOn(w *World, id string) []*Worker {
	var out []*Worker
	for k := range w.On(id) {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

func TestAMachineThatReachesNobodyWhileCommandsReachIt(t *testing.T) {
	// Its lease runs out although it is told, and answers, all the time. Work that a
	// command starts in the session after has a lease of its own.
	w := idleMachines(t, 113, 1, "a")
	large := func(id string, tasks int) core.Spec {
		s := plain(id, tasks)
		s.Types = []string{"large"}
		return s
	}
	room := w.Cloud.Room
	w.Cloud.Room = map[string]int{"large/a/true": 1}
	ends(t, w, w.Submit(large("job-98", 4), 2*time.Second), time.Minute)
	long := w.Submit(large("job-1", 2), 80*time.Second)
	require.True(t, w.Until(10*time.Second, started(w, "job-1", 2)))
	k, told := anyOn(w, "job-1"), map[uint64]int{}
	w.Held = func(to *Worker, what any) time.Duration {
		if _, order := what.(core.OrdersOp); order && to == k && w.Now < k.muteUntil {
			told[k.session]++
		}
		return 0
	}
	w.Mute(k, 4*w.Cfg.Lease)
	var short []*Job
	for i := range 40 {
		if k.session > 1 { // now there are others to be had, at once
			w.Cloud.Room, w.Cloud.BootS = room, func(string) float64 { return 0.2 }
		}
		s := large(fmt.Sprintf("job-2%d", i), 1)
		s.Need.Cores = 1
		short = append(short, w.Submit(s, 500*time.Millisecond))
		w.Run(time.Second)
	}
	for _, j := range append(short, long) {
		ends(t, w, j, 3*time.Minute)
	}
	assert.Positive(t, told[1], "commands reached it")
	assert.Positive(t, told[2], "in the session after as well")
}

func TestCommandsHeldUpWhileMachinesHang(t *testing.T) {
	// A machine hangs as its launch arrives, or as it is told to stop, and goes on at
	// the end of its lease or after it; or the answer alone is late or lost.
	for _, c := range []struct {
		name   string
		hangs  bool
		past   time.Duration // after the end of its lease
		answer time.Duration
	}{{"to the end of the lease", true, -50 * time.Millisecond, 0}, {"beyond it", true, 10 * time.Second, 0},
		{"the answer is late", false, 0, 6 * time.Second}, {"the answer is lost", false, 0, -1}} {
		t.Run(c.name, func(t *testing.T) {
			w := idleMachines(t, 114, 4, "a")
			hit := map[string]*Worker{}
			w.Held = func(k *Worker, what any) time.Duration {
				switch m := what.(type) {
				case core.OrdersOp:
					if len(m.Orders) == 0 {
						return 0
					}
					o := m.Orders[0]
					id := fmt.Sprint(o.Task.Job, o.Verb)
					if hit[id] == nil && (launches(m, "job-1") || o.Verb == core.Halt) {
						hit[id] = k
						if c.hangs {
							k.Hang(k.leaseFrom + w.Cfg.Lease + c.past - w.Now)
						}
					}
				case core.WorkerResult:
					for _, h := range hit {
						if h == k && m.Report.Token > 0 && len(m.Report.Tasks) > 0 {
							return c.answer
						}
					}
				}
				return 0
			}
			launch := w.Submit(plain("job-1", 1), 20*time.Second)
			halted := w.Submit(plain("job-2", 2), 5*time.Minute)
			require.True(t, w.Until(10*time.Second, started(w, "job-2", 2)))
			w.Run(2 * time.Second)
			w.Stop(halted)
			ends(t, w, halted, 10*time.Second)
			ends(t, w, launch, 90*time.Second)
			w.Run(halted.Cancelled + w.Cfg.Cancel - w.Now)
			assert.Empty(t, w.On("job-2"))
			assert.Len(t, hit, 2, "a launch and a halt met it")
		})
	}
}

func TestNewMachinesUpAtOnceWhileWritesLagAndTheLeaderEnds(t *testing.T) {
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
			if !changes(txn, "slice/") || !placesAny(txn) {
				return false, 0
			}
			if n++; n == 1 && !after {
				end(node)
			}
			return n%2 == 1, 4 * time.Second
		}
		w.Store.Carried = append(w.Store.Carried, func(node string, txn core.Txn, res core.CommitResult) {
			if after && ended == "" && placesAny(txn) && res.Outcome == core.OK {
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
		for _, k := range w.Workers {
			if k.started {
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

// placesAny says whether a transaction gives any task a machine.
func placesAny(x core.Txn) bool {
	return slices.ContainsFunc(x.Apply, places)
}

func TestLeadersChangeTenTimesInTwoMinutes(t *testing.T) {
	// They end and come back, hand parts over and take them home again; also while
	// the state service is out, and all within a second of each other. What a leader
	// launches last is held up, its machines don't hear the next one for a while, and
	// copies of all machines' reports await that one.
	for _, outage := range []bool{false, true} {
		w := idleMachines(t, 116, 6, "a", "b", "c")
		claims, held, last := 0, 0, ""
		late := map[*Worker]bool{}
		w.Held = func(k *Worker, what any) time.Duration {
			if last == "" || !launches(what, last) {
				return 0
			}
			held++
			late[k], k.nextAt = true, w.Now+3*time.Second
			return 7 * time.Second
		}
		var kept []core.Report
		w.OnClaim(func(_, zone string) {
			if zone != "a" {
				return
			}
			claims++
			for i, rep := range kept {
				w.After(time.Duration(20+20*i)*time.Millisecond, func() {
					for _, n := range w.Nodes {
						n.hears(rep)
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
			for _, k := range alive(w, "a") {
				kept = append(kept, k.report())
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
			for _, k := range alive(w, "a") {
				if late[k] {
					w.Deafen(k, 7*time.Second)
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

func TestTheSmallestGrantAskedForIsWhatAPartReliesOn(t *testing.T) {
	// In an outage a part asks twice to give back: first all it has, then, with two
	// tasks planned that can't be written, the rest. Neither is carried out; a copy of
	// the first is, after the tasks have started. Another part wants all there is.
	w := idleMachines(t, 117, 2, "a", "b")
	blue := func(id string, zone string, tasks int) core.Spec {
		s := plain(id, tasks)
		s.Team, s.Zone = "blue", zone
		return s
	}
	whole := w.Submit(blue("job-98", "a", 2), 6*time.Second)
	require.True(t, w.Until(time.Minute, func() bool { return len(whole.Finished) == 2 }))
	w.Cloud.Room = map[string]int{}
	full := w.Submit(plain("job-1", len(alive(w, "a"))), 4*time.Second)
	require.True(t, w.Until(10*time.Second, started(w, "job-1", full.Spec.Tasks)))
	job := w.Submit(blue("job-2", "a", 2), time.Minute)
	require.True(t, w.Until(time.Second, func() bool { return job.Accepted }))
	held := func() string { return string(w.Store.rows["quota/blue"].value) }
	require.Contains(t, held(), `"a":{"c":9`)
	var asked []string
	w.Again = func(_ string, op any) time.Duration {
		if x, ok := op.(core.CommitOp); ok && len(x.Txn.Apply) == 1 && x.Txn.Apply[0].Key == "quota/blue" {
			if asked = append(asked, string(x.Txn.Apply[0].Value)); len(asked) == 1 {
				return 6500 * time.Millisecond
			}
		}
		return 0
	}
	w.Run(time.Second)
	w.Store.Outage(4 * time.Second)
	planned := func() bool { return len(asked) > 0 && strings.Contains(asked[len(asked)-1], `"c":8`) }
	for end := w.Now + 4*time.Second; w.Now < end && !planned(); w.Run(20 * time.Millisecond) {
		w.Nodes[0].take(core.PeerMessage{Message: core.Message{Boot: 1, Asks: []core.GrantAsk{{Team: "blue", Cores: 4, Rank: 1}}}})
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

func TestWordOfAnotherPlacementOfTheSameAttemptConfirmsNothing(t *testing.T) {
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
			w := idleMachines(t, 118, 2, "a", "b")
			node, key, told := w.Nodes[0], "slice/a/job-1", false
			w.Store.Lose = func(_ string, txn core.Txn) (bool, time.Duration) {
				if told || !changes(txn, key) || !placesAny(txn) {
					return false, 0
				}
				told = true
				host := ""
				for _, k := range alive(w, "a") {
					if strings.Contains(string(txn.Apply[len(txn.Apply)-1].Value), k.name) {
						host = k.name
					}
				}
				w.After(time.Millisecond, func() {
					node.take(core.PeerMessage{Message: core.Message{Boot: 1,
						Slices: []core.Item{{Key: key, Value: []byte(c.value(host)), Stamp: w.Store.ledger + 100}}}})
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

func TestMoreWorkThanRoomOverSlowLinks(t *testing.T) {
	// Every packet takes a quarter of a second and more. Work that may be stopped and
	// saves fills all machines there are; then others keep coming, urgent and not. The
	// referee sees what is left waiting beside free room.
	cfg := Settings()
	cfg.Teams[0].Limit, cfg.Teams[1].Limit = core.Amount{Cores: 400}, core.Amount{Cores: 400}
	w := New(119, cfg)
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	for k := range w.Cloud.Room {
		w.Cloud.Room[k] = 1
	}
	w.Lag = 250 * time.Millisecond
	w.Run(4 * time.Second)
	low := spec("job-1", "red", 60, 4)
	low.Priority, low.Checkpoint, low.Save, low.Class = 3, 5, 1, "filler"
	jobs := []*Job{w.Submit(low, 40*time.Second)}
	require.True(t, w.Until(time.Minute, started(w, "job-1", 20)))
	room := func() (free float64) {
		for _, k := range w.Workers {
			if k.fit() {
				free += k.kind().Total.Cores
				for id, r := range k.tasks {
					if r.state != core.Ended {
						free -= w.Jobs[id.Job].Spec.Need.Cores
					}
				}
			}
		}
		return free
	}
	var urgent []*Job
	fullest := 1e9
	for i := range 30 {
		s := spec(fmt.Sprintf("job-2%d", i), []string{"red", "blue"}[i%2], 1+i%6, 4)
		if s.Priority = 2; i%3 == 0 {
			s.Priority, s.Class = 0, "urgent"
		}
		j := w.Submit(s, time.Duration(5+i%10)*time.Second)
		if jobs = append(jobs, j); s.Priority == 0 {
			urgent = append(urgent, j)
		}
		for range 4 {
			w.Run(time.Second)
			fullest = min(fullest, room())
		}
	}
	assert.Less(t, fullest, 8.0, "there is no room left")
	for _, j := range jobs {
		ends(t, w, j, 6*time.Minute)
	}
	for _, j := range urgent {
		assert.Less(t, j.Began-j.Came, 20*time.Second, "%s is not kept waiting", j.Spec.ID)
	}
}

func TestAllEndAsAPartIsHandedHomeAndOneReturnsWithinASecond(t *testing.T) {
	// The launches that the interim owner sent last are still under way, and their
	// machines don't hear whoever returns.
	w := idleMachines(t, 121, 6, "a", "b", "c")
	w.Nodes[0].Restart(7 * time.Second)
	inFlight, met := map[*Worker]time.Duration{}, 0
	w.Held = func(k *Worker, what any) time.Duration {
		if op, ok := what.(core.OrdersOp); ok && len(op.Orders) > 0 && op.Orders[0].Verb == core.Launch && met == 0 {
			inFlight[k], k.nextAt = w.Now+5*time.Second, w.Now+3*time.Second
			return 5 * time.Second
		}
		return 0
	}
	w.Store.Carried = append(w.Store.Carried, func(node string, txn core.Txn, _ core.CommitResult) {
		if met > 0 || node == "node-0" || !changes(txn, "part/a") || txn.Apply[0].Value != nil {
			return
		}
		for i, n := range w.Nodes {
			n.Restart([]time.Duration{8 * time.Second, 300 * time.Millisecond, 9 * time.Second}[i])
		}
		for _, k := range alive(w, "a") {
			if w.Now < inFlight[k] {
				met++
				w.Deafen(k, 6*time.Second)
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
