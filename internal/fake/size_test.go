package fake

import (
	"fmt"
	"roadcleat/internal/model"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// BenchmarkGrownDay plays the first seconds of deployments of up to some 2,100
// machines with thousands of waiting tasks, with three controllers and with one
// that owns everything. Most of its time is the cores'.
func BenchmarkGrownDay(b *testing.B) {
	for _, size := range []struct {
		name           string
		machines, jobs int // in all; to begin with
		zones          int
	}{{"1420/three", 1420, 30, 3}, {"2130/three", 2130, 45, 3}, {"2130/one", 2130, 45, 1}} {
		b.Run(size.name, func(b *testing.B) {
			for range b.N {
				w := grown(size.zones, size.machines)
				w.Run(3 * time.Second)
				n := 0
				var arrive func()
				arrive = func() {
					n++
					s := spec(fmt.Sprintf("job-%d", n), []string{"red", "blue"}[n%2], 10+w.Rng.IntN(30), float64(2+2*(n%2)))
					s.Image, s.ImageGB = fmt.Sprintf("img-%d", w.Rng.IntN(30)), 1
					s.EstimateSeconds = 25
					if n%20 == 0 {
						s.Tasks, s.Priority = 200, 2
					}
					w.Submit(s, 25*time.Second)
					w.After(time.Second, arrive)
				}
				for range size.jobs {
					arrive()
				}
				w.Run(20 * time.Second)
				b.ReportMetric(float64(w.Referee.Starts), "starts")
			}
		})
	}
}

// grown is a world that so many machines can be rented in, of two types, as
// ordinary and as spot ones.
func grown(zones, machines int) *World {
	cfg := Settings()
	cfg.Zones = cfg.Zones[:zones]
	cfg.HeartbeatInterval, cfg.WorkerLease, cfg.CancelWithin, cfg.ListLag = 6*time.Second, 36*time.Second, 66*time.Second, 6*time.Second
	cfg.Teams[0].Limit, cfg.Teams[0].Guarantee = model.Resources{Cores: 10000}, model.Resources{Cores: 3000}
	cfg.Teams[1].Limit, cfg.Teams[1].Guarantee = model.Resources{Cores: 6000}, model.Resources{Cores: 2000}
	w := New(1, cfg)
	for k := range w.Cloud.Room {
		w.Cloud.Room[k] = machines / len(w.Cloud.Room)
	}
	return w
}

func TestALargeFleetKeepsTheRulesWhenAllRestartWhileAZoneIsCutOff(t *testing.T) {
	w := grown(3, 480)
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	w.Run(3 * time.Second)
	var jobs []*Job
	for i := range 24 {
		s := spec(fmt.Sprintf("job-%d", i), []string{"red", "blue"}[i%2], 60, 4)
		s.EstimateSeconds = 25
		jobs = append(jobs, w.Submit(s, time.Duration(15+i)*time.Second))
	}
	require.True(t, w.Until(40*time.Second, func() bool { return w.Referee.Starts > 600 }))
	for _, node := range w.Nodes[1:] { // the zone of the first controller, held back and then all at once
		for _, name := range workersOf(w, "a") {
			w.Cut(node.Name, name, 25*time.Second, true)
		}
		w.Cut("node-0", node.Name, 25*time.Second, true)
	}
	w.Cut("node-0", "state", 25*time.Second, true)
	w.Run(2 * time.Second)
	for i, n := range w.Nodes {
		n.Restart(time.Duration(50+400*i) * time.Millisecond)
	}
	w.Run(20 * time.Second)
	w.Nodes[1].Freeze(w.Cfg.WorkerLease + 5*time.Second)
	w.Run(2 * time.Second)
	w.Nodes[2].Restart(80 * time.Millisecond) // one owner of everything
	for _, j := range jobs {
		ends(t, w, j, 6*time.Minute)
	}
}
