package fake

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

func TestBurstOnLargeShardRentsSpotMachinesAtOnce(t *testing.T) {
	// A rule that hired for queues only that outlast half a boot had bursts of
	// urgent work wait on swanlic-wa-grown's inc-024c: the next of the burst came
	// when no machine was on its way.
	w := oneController(t, 41, func(c *core.Config) { c.Teams[0].Limit = model.Resources{Cores: 2000} })
	for k := range w.Cloud.Room {
		w.Cloud.Room[k] = 60
	}
	long := w.Submit(spec("job-1", "red", 120, 4), 10*time.Minute)
	require.True(t, w.Until(2*time.Minute, started(w, "job-1", 120)))
	w.Run(2 * time.Minute) // what is idle goes back, and nothing is foreseen
	before := len(w.Workers)
	w.Submit(spec("job-2", "red", 40, 4), 4*time.Second)
	assert.True(t, w.Until(250*time.Millisecond, func() bool { return len(w.Workers) > before+6 }), "machines are on their way")
	w.Cancel(long)
	ends(t, w, long, 30*time.Second)
}

func TestTasksLeaveIsolatedZone(t *testing.T) {
	w := day(t, 42)
	for kind := range w.Cloud.Room {
		if strings.Contains(kind, "/a/") {
			w.Cloud.Room[kind] = 30 // the cloud goes on renting machines there
		}
	}
	here := spec("job-1", "red", 8, 4)
	here.Zone = "a"
	jobs := []*Job{w.Submit(here, 20*time.Second)}
	require.True(t, w.Until(60*time.Second, started(w, "job-1", 8)))
	for _, other := range []string{"state", "cloud", "users", "node-1", "node-2"} {
		w.Cut("node-0", other, 4*time.Minute, true)
	}
	cutOff := func(worker *Worker) {
		w.Cut("node-1", worker.name, w.FaultsOverAt-w.Now, true)
		w.Cut("node-2", worker.name, w.FaultsOverAt-w.Now, true)
	}
	for _, name := range workersOf(w, "a") {
		cutOff(w.Workers[name])
	}
	w.Cloud.BootS = func(name string) float64 {
		w.After(0, func() {
			if k := w.Workers[name]; k.zone == "a" {
				cutOff(k)
			}
		})
		return 5
	}
	w.Run(30 * time.Second) // another controller takes the part and hears nobody
	first := len(jobs)
	for i := range 6 {
		jobs = append(jobs, w.Submit(spec(fmt.Sprintf("job-1%d", i), "blue", 4, 2), 5*time.Second))
		w.Run(time.Second)
	}
	w.Run(100 * time.Second) // the cut lasts longer
	for _, j := range jobs[first:] {
		assert.Len(t, j.Finished, j.Spec.Tasks, "%s runs elsewhere", j.Spec.ID)
	}
	for _, j := range jobs {
		ends(t, w, j, 8*time.Minute)
	}
}

func TestJobAcrossManyZonesFitsTransactionLimit(t *testing.T) {
	cfg := Settings()
	cfg.Zones, cfg.MaxTxnOps = nil, 4
	for i := range 9 {
		cfg.Zones = append(cfg.Zones, fmt.Sprintf("z%d", i))
	}
	w := New(45, cfg)
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	w.Run(6 * time.Second)
	wide := spec("job-1", "red", 64, 16)
	apart := spec("job-2", "red", 64, 16)
	apart.SpreadZones = true
	jobs := []*Job{w.Submit(wide, 5*time.Second), w.Submit(apart, 5*time.Second)}
	for _, j := range jobs {
		ends(t, w, j, 6*time.Minute)
	}
}

func TestTasksMoveToShardThatCanRentSpotMachines(t *testing.T) {
	// Jobs go where machines are; on swanlic-wa-fleet two zones hired hundreds of
	// dear machines while most cheap ones of the third were never rented.
	cfg := Settings()
	cfg.Zones = cfg.Zones[:2]
	cfg.Teams[0].Limit = model.Resources{Cores: 4000}
	w := New(47, cfg)
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	room := func(zone string, spot bool, n int) {
		for _, typ := range w.Cloud.Types {
			w.Cloud.Room[roomKey(typ.Name, zone, spot)] = n
		}
	}
	for i := range w.Cloud.Types {
		w.Cloud.Types[i].BootSeconds = 40
	}
	w.Cloud.BootS = func(string) float64 { return 40 }
	room("a", true, 16)
	room("a", false, 0)
	room("b", true, 0)
	room("b", false, 0)
	w.Run(3 * time.Second)
	there := spec("job-1", "blue", 1, 1) // b learns that it has nothing to hire
	there.Zone = "b"
	w.Submit(there, time.Second)
	w.Run(14 * time.Second)
	var jobs []*Job
	for i := range 10 {
		s := spec(fmt.Sprintf("job-1%d", i), "red", 40, 4)
		s.EstimateSeconds = 40
		jobs = append(jobs, w.Submit(s, 40*time.Second))
	}
	w.Run(time.Second)
	room("b", true, 60)
	w.Run(12 * time.Second) // it tries again after what was refused
	room("a", false, 60)
	ordinary := func() int {
		n := 0
		for _, worker := range w.Workers {
			if worker.zone == "a" && !worker.spot {
				n++
			}
		}
		return n
	}
	for _, j := range jobs {
		ends(t, w, j, 4*time.Minute)
	}

	assert.Less(t, ordinary(), 80, "dear machines here while cheap ones are to be had there")
}
