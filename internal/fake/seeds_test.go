package fake

import (
	"flag"
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

var (
	seedCount = flag.Uint64("seeds", 60, "how many random days to play")
	seedFirst = flag.Uint64("seed", 1, "the first of them")
)

// trouble makes one random fault happen now.
func trouble(w *World) {
	r := w.Rng
	sec := func(lo, hi int) time.Duration {
		return time.Duration((lo*1000)+r.IntN((hi-lo)*1000)) * time.Millisecond
	}
	node := w.Nodes[r.IntN(len(w.Nodes))]
	other := w.Nodes[r.IntN(len(w.Nodes))]
	var alive []string
	for name, k := range w.Workers {
		if !k.gone {
			alive = append(alive, name)
		}
	}
	sort.Strings(alive)
	worker := func() *Worker {
		if len(alive) == 0 {
			return nil
		}
		return w.Workers[alive[r.IntN(len(alive))]]
	}
	hold := r.IntN(2) == 0
	switch r.IntN(23) {
	case 22: // a controller is down for long
		node.Restart(sec(60, 90))
	case 20: // a controller stands still while its clock runs on
		node.Freeze(sec(0, 60))
	case 21: // a moment, as when others take its processor
		node.Freeze(sec(0, 4))
	case 15: // a machine hears nobody, but is heard
		if k := worker(); k != nil {
			w.Deafen(k, sec(2, 90))
		}
	case 16: // a controller loses the state service and the others, not its workers
		w.Alone(node, sec(2, 60), hold)
	case 17, 18: // a process is back within a fraction of a second
		node.Restart(time.Duration(r.IntN(100)) * time.Millisecond)
	case 19: // a machine is heard by nobody, but hears
		if k := worker(); k != nil {
			d := sec(2, 60)
			for _, n := range w.Nodes {
				w.CutOneWay(k.name, n.Name, d)
			}
		}
	case 0, 1:
		node.Restart(sec(0, 8))
	case 2:
		for _, n := range w.Nodes {
			n.Restart(sec(0, 6))
		}
	case 3:
		w.Store.Outage(sec(2, 35))
	case 4:
		w.Store.Refuse(node.Name, sec(2, 60))
	case 5:
		w.Cut(node.Name, "state", sec(1, 60), hold)
	case 6:
		if node != other {
			w.Cut(node.Name, other.Name, sec(1, 50), hold)
		}
	case 7: // a controller loses its workers
		d := sec(2, 50)
		for _, name := range alive {
			w.Cut(node.Name, name, d, hold)
		}
	case 8: // a controller loses everything
		d := sec(2, 50)
		for _, name := range append([]string{"state", "cloud", "users"}, alive...) {
			w.Cut(node.Name, name, d, hold)
		}
		for _, n := range w.Nodes {
			if n != node {
				w.Cut(node.Name, n.Name, d, hold)
			}
		}
	case 9:
		if k := worker(); k != nil {
			k.Die()
		}
	case 10, 11:
		if k := worker(); k != nil {
			k.Hang(sec(1, 40))
		}
	case 12:
		if k := worker(); k != nil {
			d := sec(2, 60)
			for _, n := range w.Nodes {
				w.Cut(n.Name, k.name, d, hold)
			}
		}
	case 13:
		if k := worker(); k != nil && k.spot {
			k.Recall(sec(0, 15))
		}
	case 14:
		w.Cloud.Outage(sec(2, 20))
	}
}

// randomDay plays a day of random jobs and overlapping faults and returns what
// is wrong with it.
func randomDay(seed uint64, log func(string, ...any)) []string {
	cfg := Settings()
	controllers := cfg.Zones
	if seed%5 == 0 { // zones without a controller, and two controllers in one
		cfg.Zones = []string{"a", "b", "c", "d", "e", "f", "g"}
		controllers = []string{"a", "b", "b"}
	}
	visitors := seed%4 == 1 // a guest team, work that saves, jobs with mistakes
	if visitors {
		cfg = guests(cfg)
	}
	w := NewWith(seed, cfg, controllers...)
	if log != nil {
		w.Log = log
	}
	r := w.Rng
	w.Store.Lose = func(string, core.Txn) (bool, time.Duration) {
		if w.Now > 4*time.Minute || r.IntN(60) > 0 {
			return false, 0
		}
		return true, time.Duration(r.IntN(8000)) * time.Millisecond
	}
	if seed%3 == 0 { // whoever is away for a while can't follow any more
		w.Store.Keep = 20
	}
	if seed%2 == 0 { // late copies of reports, and requests carried out again
		w.Copies = func(*Worker) []time.Duration {
			if w.Now > 4*time.Minute || r.IntN(10) > 0 {
				return nil
			}
			return []time.Duration{time.Duration(1+r.IntN(40)) * time.Second}
		}
		w.Again = func(string, any) time.Duration {
			if w.Now > 4*time.Minute || r.IntN(20) > 0 {
				return 0
			}
			return time.Duration(1+r.IntN(20000)) * time.Millisecond
		}
	}
	w.Cloud.LateHire = func(core.HireOp) time.Duration {
		if w.Now > 4*time.Minute || r.IntN(15) > 0 {
			return 0
		}
		return time.Duration(1+r.IntN(20)) * time.Second
	}
	w.Cloud.BootS = func(string) float64 {
		switch {
		case w.Now < 4*time.Minute && r.IntN(12) == 0:
			return -1
		case r.IntN(6) == 0:
			return 1
		}
		return 5 + 20*r.Float64()
	}
	var jobs []*Job
	n := 0
	var arrive func()
	arrive = func() {
		if w.Now > 4*time.Minute {
			return
		}
		n++
		s := spec(fmt.Sprintf("job-%d", n), []string{"red", "blue"}[r.IntN(2)], 1+r.IntN(6), float64(1+r.IntN(4)))
		s.Priority = r.IntN(4)
		s.Spot = r.IntN(3) > 0
		s.Image = []string{"x", "y", "z"}[r.IntN(3)]
		s.Estimate = float64(2 + r.IntN(30))
		switch r.IntN(10) {
		case 0:
			s.OneZone = true
		case 1:
			s.Apart = true
		case 2:
			s.Zone = w.Cfg.Zones[r.IntN(3)]
		case 3:
			s.Types = []string{"large"}
		case 4:
			s.Gang, s.Tasks = true, 1+r.IntN(3)
		}
		run := time.Duration(2000+r.IntN(30000)) * time.Millisecond
		broken := false
		if visitors {
			if r.IntN(3) == 0 {
				s.Team, s.Class = "guest", "visit"
			}
			if r.IntN(3) == 0 {
				s.Priority, s.Checkpoint, s.Save = 3, 5, float64(r.IntN(3))
				run *= 2
			}
			if r.IntN(12) == 0 && !s.Gang {
				s.Tasks *= 5
			}
			broken = r.IntN(8) == 0
		}
		job := w.Submit(s, run)
		jobs = append(jobs, job)
		if job.Broken = broken; broken {
			var stop func()
			stop = func() {
				if job.Accepted {
					w.Stop(job)
				} else {
					w.After(time.Second, stop)
				}
			}
			w.After(time.Duration(r.IntN(120))*time.Second, stop)
		} else if r.IntN(5) == 0 {
			w.After(time.Duration(r.IntN(40))*time.Second, func() { w.Stop(job) })
		}
		w.After(time.Duration(1+r.IntN(9))*time.Second, arrive)
	}
	w.After(time.Second, arrive)
	var strike func()
	strike = func() {
		if w.Now < 4*time.Minute {
			trouble(w)
			w.After(time.Duration(1+r.IntN(25))*time.Second, strike)
		}
	}
	w.After(20*time.Second, strike)
	w.Run(5 * time.Minute)
	over := func() bool {
		for _, j := range jobs {
			if !j.Over() {
				return false
			}
		}
		return true
	}
	wrong := []string(nil)
	if !w.Until(10*time.Minute, over) {
		for _, j := range jobs {
			if !j.Over() {
				wrong = append(wrong, fmt.Sprintf("%s is not over: %d of %d tasks done", j.Spec.ID, len(j.Finished), j.Spec.Tasks))
				w.Log("%+v", j.Spec)
				for _, n := range w.Nodes {
					if e, ok := n.Core.Explain(j.Spec.ID); ok {
						w.Log("%s at %s: %+v", j.Spec.ID, n.Name, e)
					}
				}
			}
		}
	}
	for _, n := range w.Nodes {
		w.Log("%s holds %q", n.Name, n.Core.Residents())
	}
	w.Run(time.Minute)
	return append(wrong, w.Referee.Broken...)
}

func TestRandomDaysKeepTheRules(t *testing.T) {
	for seed := *seedFirst; seed < *seedFirst+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var log func(string, ...any)
			if testing.Verbose() && *seedCount == 1 {
				log = t.Logf
			}
			wrong := randomDay(seed, log)
			require.Empty(t, wrong, "replay with: go test ./internal/fake -run TestRandomDays -v -seeds 1 -seed %d", seed)
		})
	}
}
