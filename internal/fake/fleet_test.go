package fake

import (
	"fmt"
	"roadcleat/internal/model"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fleet is a world in which so many machines run long tasks, four each, in three zones
// with a controller each.
func fleet(tb testing.TB, machines int) *World {
	cfg := Settings()
	cfg.HeartbeatInterval, cfg.WorkerLease, cfg.CancelWithin, cfg.ListLag = 6*time.Second, 36*time.Second, 66*time.Second, 6*time.Second
	for i := range cfg.Teams {
		cfg.Teams[i].Guarantee, cfg.Teams[i].Limit = model.Resources{Cores: 1e6}, model.Resources{}
	}
	w := New(3, cfg)
	w.Cloud.Types = []model.MachineType{{Name: "large", Capacity: model.Resources{Cores: 16, MemoryGB: 64}, CacheGB: 50, FetchGBPerSecond: 1,
		Price: 1, SpotPrice: 0.4, BootSeconds: 20, Zones: cfg.Zones}}
	w.Cloud.BootS = func(string) float64 { return 20 }
	w.Cloud.Room = map[string]int{}
	for _, z := range cfg.Zones {
		w.Cloud.Room[roomKey("large", z, true)] = machines
	}
	w.Run(3 * time.Second)
	tasks, jobs := 4*machines, machines/100
	for i := range jobs {
		s := spec(fmt.Sprintf("job-%d", i), "red", tasks/jobs, 4)
		s.EstimateSeconds, s.Image = 3600, fmt.Sprintf("img-%d", i%20)
		w.Submit(s, time.Hour)
	}
	up := func() bool { return w.Referee.Starts >= tasks }
	require.True(tb, w.Until(5*time.Minute, up), "all tasks run, %d of %d", w.Referee.Starts, tasks)
	w.Run(10 * time.Second)
	return w
}

// fleetSizes are numbers of machines. Each figure should grow about as they do.
var fleetSizes = []int{1000, 2000, 4000, 6000}

// BenchmarkFleetSecond plays a second in which machines report and owners gossip, list
// and plan, and gives the memory held per machine by all of it, the emulator included.
func BenchmarkFleetSecond(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := fleet(b, n)
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				w.Run(time.Second)
			}
			b.ReportMetric(float64(m.HeapAlloc)/float64(n), "B/machine")
		})
	}
}

// BenchmarkFleetRestart plays the 10 s after all controllers have ended.
func BenchmarkFleetRestart(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := fleet(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				for _, node := range w.Nodes {
					node.Restart(time.Second)
				}
				w.Run(10 * time.Second)
			}
		})
	}
}

func TestFourThousandMachinesSurviveARestartOfAllControllers(t *testing.T) {
	machines := 4000
	if raceEnabled {
		machines = 400 // the race detector takes ten times as long; the number itself is tested without it
	}
	w := fleet(t, machines)
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	starts, alive := w.Referee.Starts, len(w.Alive())
	require.GreaterOrEqual(t, alive, machines)
	for _, n := range w.Nodes {
		n.Restart(2 * time.Second)
	}
	w.Run(20 * time.Second)
	for _, zone := range w.Cfg.Zones {
		require.NotNil(t, w.OwnerOf(zone), "zone %s has an owner", zone)
	}
	w.Run(w.Cfg.WorkerLease + 10*time.Second)
	assert.Equal(t, starts, w.Referee.Starts, "nothing was lost and started again")
	assert.GreaterOrEqual(t, len(w.Alive()), alive-machines/100, "no machine that works was given back")
	job := w.Submit(spec("job-new", "blue", 40, 2), 10*time.Second)
	ends(t, w, job, 2*time.Minute)
}
