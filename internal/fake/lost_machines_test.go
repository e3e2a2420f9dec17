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

func TestZoneConstraintsHoldWhenMachinesAreLost(t *testing.T) {
	// A zone loses its machines and has no others for a while; the other zones have
	// plenty. What is bound waits, what is not goes there.
	bound := map[string]func(*model.JobSpec){
		"zone":     func(s *model.JobSpec) { s.Zone = "a" },
		"array":    func(s *model.JobSpec) { s.Zone, s.Tasks = "a", 7 },
		"one zone": func(s *model.JobSpec) { s.OneZone = true },
		"apart":    func(s *model.JobSpec) { s.SpreadZones = true },
		"gang":     func(s *model.JobSpec) { s.Gang = true },
		"service":  func(s *model.JobSpec) { s.Zone, s.Service = "a", true },
		"free":     func(*model.JobSpec) {},
	}
	for _, name := range slices.Sorted(maps.Keys(bound)) {
		t.Run(name, func(t *testing.T) {
			w := worldWithIdleMachines(t, 109, 4, "a", "b", "c")
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
			for _, worker := range aliveWorkers(w, "a") {
				if !s.OneZone || worker != kept {
					worker.Die()
				}
			}
			w.Run(5 * time.Second)
			w.Nodes[0].Restart(100 * time.Millisecond)
			w.Run(30 * time.Second)
			w.Cloud.Room = room
			if s.Service {
				assert.True(t, w.Until(time.Minute, started(w, "job-1", 3)), "all replicas are back")
				w.Cancel(job)
			}
			ends(t, w, job, 4*time.Minute)
		})
	}
}

func TestZoneIsolatedLongerThanLeaseKeepsRunningTasks(t *testing.T) {
	// Inside, a controller goes on answering; outside, another one takes the part. It
	// never heard the workers, so no lease that it could reckon proves anything.
	w := worldWithIdleMachines(t, 110, 3, "a", "b", "c")
	s := plain("job-1", 3)
	s.Zone = ""
	job := w.Submit(s, 90*time.Second)
	require.True(t, w.Until(10*time.Second, started(w, "job-1", 3)))
	const long = 28 * time.Second // two leases
	for _, other := range []string{"state", "cloud", "users", "node-1", "node-2"} {
		w.Cut("node-0", other, long, true)
	}
	for _, worker := range aliveWorkers(w, "a") {
		w.Cut("node-1", worker.name, long, true)
		w.Cut("node-2", worker.name, long, true)
	}
	taken := false
	w.OnClaim(func(node, zone string) { taken = taken || zone == "a" && node != "node-0" })
	w.Run(long)
	require.True(t, taken, "another controller takes the part")
	ends(t, w, job, 2*time.Minute)
	assert.Equal(t, 3, job.Starts, "nothing had to run again")
}

func TestMachineWithOutboundCutStillReceivesCommands(t *testing.T) {
	// Its lease runs out although it is told, and answers, all the time. Work that a
	// command starts in the session after has a lease of its own.
	w := worldWithIdleMachines(t, 113, 1, "a")
	large := func(id string, tasks int) model.JobSpec {
		s := plain(id, tasks)
		s.Types = []string{"large"}
		return s
	}
	room := w.Cloud.Room
	w.Cloud.Room = map[string]int{"large/a/true": 1}
	ends(t, w, w.Submit(large("job-98", 4), 2*time.Second), time.Minute)
	long := w.Submit(large("job-1", 2), 80*time.Second)
	require.True(t, w.Until(10*time.Second, started(w, "job-1", 2)))
	worker, told := anyOn(w, "job-1"), map[uint64]int{}
	w.DelayOnWire = func(to *Worker, what any) time.Duration {
		if _, order := what.(core.SendCommands); order && to == worker && w.Now < worker.outboundCutUntil {
			told[worker.incarnation]++
		}
		return 0
	}
	w.CutOutbound(worker, 4*w.Cfg.WorkerLease)
	var short []*Job
	for i := range 40 {
		if worker.incarnation > 1 { // now there are others to be had, at once
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

func TestDelayedCommandsWhileMachinesHang(t *testing.T) {
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
			w := worldWithIdleMachines(t, 114, 4, "a")
			hit := map[string]*Worker{}
			w.DelayOnWire = func(worker *Worker, what any) time.Duration {
				switch m := what.(type) {
				case core.SendCommands:
					if len(m.Commands) == 0 {
						return 0
					}
					o := m.Commands[0]
					id := fmt.Sprint(o.Task.Job, o.Verb)
					if hit[id] == nil && (isLaunchOf(m, "job-1") || o.Verb == core.VerbStop) {
						hit[id] = worker
						if c.hangs {
							worker.Hang(worker.leaseFrom + w.Cfg.WorkerLease + c.past - w.Now)
						}
					}
				case core.WorkerResult:
					for _, h := range hit {
						if h == worker && m.Status.Token > 0 && len(m.Status.Tasks) > 0 {
							return c.answer
						}
					}
				}
				return 0
			}
			launch := w.Submit(plain("job-1", 1), 20*time.Second)
			stopped := w.Submit(plain("job-2", 2), 5*time.Minute)
			require.True(t, w.Until(10*time.Second, started(w, "job-2", 2)))
			w.Run(2 * time.Second)
			w.Cancel(stopped)
			ends(t, w, stopped, 10*time.Second)
			ends(t, w, launch, 90*time.Second)
			w.Run(stopped.Cancelled + w.Cfg.CancelWithin - w.Now)
			assert.Empty(t, w.On("job-2"))
			assert.Len(t, hit, 2, "a launch and a halt met it")
		})
	}
}

func TestMoreWorkThanCapacityOverSlowLinks(t *testing.T) {
	// Every packet takes a quarter of a second and more. Work that may be stopped and
	// saves fills all machines there are; then others keep coming, urgent and not. The
	// referee sees what is left waiting beside free room.
	cfg := Settings()
	cfg.Teams[0].Limit, cfg.Teams[1].Limit = model.Resources{Cores: 400}, model.Resources{Cores: 400}
	w := New(119, cfg)
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	for k := range w.Cloud.Room {
		w.Cloud.Room[k] = 1
	}
	w.Lag = 250 * time.Millisecond
	w.Run(4 * time.Second)
	low := spec("job-1", "red", 60, 4)
	low.Priority, low.CheckpointSeconds, low.SaveSeconds, low.Class = 3, 5, 1, "filler"
	jobs := []*Job{w.Submit(low, 40*time.Second)}
	require.True(t, w.Until(time.Minute, started(w, "job-1", 20)))
	room := func() (free float64) {
		for _, worker := range w.Workers {
			if worker.fit() {
				free += worker.kind().Capacity.Cores
				for id, r := range worker.tasks {
					if r.state != core.TaskExited {
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
