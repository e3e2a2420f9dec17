package fake

import (
	"fmt"
	"math"
	"math/rand/v2"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// draw draws scripts.
type draw struct{ *rand.Rand }

func (d draw) oneIn(n int) bool { return d.IntN(n) == 0 }

// between draws from lo up to hi, to a thousandth, so that scripts stay short.
func (d draw) between(lo, hi float64) float64 {
	return math.Round((lo+(hi-lo)*d.Float64())*1000) / 1000
}

// noiseS is how long new jobs and troubles come on a random day.
const noiseS = 240

// RandomDay is a day of random jobs and overlapping troubles in one of many kinds of
// world; it is the same for the same seed.
func RandomDay(seed uint64) Script {
	d := draw{rand.New(rand.NewPCG(seed, 2))}
	s := Script{Seed: seed}
	gpus := d.oneIn(4)
	s.World = d.world(gpus)
	n := 0
	for at := 1.0; at < noiseS; at += d.between(1, 10) {
		n++
		s.Jobs = append(s.Jobs, d.job(s.World, fmt.Sprintf("job-%d", n), at, gpus))
	}
	controllers := s.World.config().Zones
	if len(s.World.Controllers) > 0 {
		controllers = s.World.Controllers
	}
	for at := 20.0; at < noiseS; at += d.between(1, 26) {
		s.Steps = append(s.Steps, d.fault(at, len(controllers)))
	}
	return s
}

// world draws a kind of world: what is rare in it comes alone or with others.
func (d draw) world(gpus bool) Setting {
	s := Setting{Noise: noiseS, Lost: 1.0 / 60, LateRental: 1.0 / 15, NeverUp: 1.0 / 12, Boot: [2]float64{1, 25}}
	cfg := Settings()
	s.Teams = cfg.Teams
	switch d.IntN(10) {
	case 0: // zones without a controller, and two controllers in one
		s.Zones, s.Controllers = []string{"a", "b", "c", "d", "e", "f", "g"}, []string{"a", "b", "b"}
	case 1: // all controllers in one room
		s.Controllers = []string{"b", "b", "b"}
	case 2:
		s.Controllers = []string{"a", "c"}
	}
	if d.oneIn(8) { // teams that sit at their limit
		s.Teams[0].Limit, s.Teams[1].Limit = model.Resources{Cores: 12}, model.Resources{Cores: 8}
		s.Teams[0].Guarantee, s.Teams[1].Guarantee = model.Resources{Cores: 6}, model.Resources{Cores: 4}
	}
	if d.oneIn(4) { // a team without guarantee and limit
		s.Teams = append(s.Teams, core.Team{Name: "guest"})
	}
	if d.oneIn(4) {
		s.ValueBytes = 4 << 10
	}
	if d.oneIn(3) { // whoever is away for a while can't follow any more
		s.Keep = 20
	}
	if d.oneIn(2) {
		s.Copies, s.Repeated = 0.1, 0.05
	}
	if d.oneIn(6) { // machines are up at once, while the store is slow and loses answers
		s.Boot, s.Slow, s.Lost = [2]float64{1, 2}, d.between(0.2, 1.2), 0.1
	}
	if gpus {
		s.Types = append(s.Types, model.MachineType{Name: "carded", Capacity: model.Resources{Cores: 16, GPUs: 4, MemoryGB: 64},
			CacheGB: 40, FetchGBPerSecond: 0.5, Price: 3, SpotPrice: 1, BootSeconds: 10})
		s.Teams[0].Limit.GPUs, s.Teams[1].Limit.GPUs = 8, 3
		s.Teams[0].Guarantee.GPUs = 2
	}
	if small := d.oneIn(6); small || gpus {
		for _, name := range []string{"small", "large"} {
			t := model.MachineType{Name: name, Capacity: model.Resources{Cores: 4, MemoryGB: 16}, CacheGB: 40, FetchGBPerSecond: 0.5, Price: 0.4, SpotPrice: 0.15, BootSeconds: 8}
			if name == "large" {
				t.Capacity, t.Price, t.SpotPrice, t.BootSeconds = model.Resources{Cores: 16, MemoryGB: 64}, 1.2, 0.4, 10
			}
			if small { // caches for one or two images
				t.CacheGB = 2
			}
			s.Types = append(s.Types, t)
		}
	}
	return s
}

// job draws a job for a world.
func (d draw) job(w Setting, id string, at float64, gpus bool) Request {
	team := w.Teams[d.IntN(2)]
	s := model.JobSpec{Class: "work", Team: team.Name, Priority: d.IntN(4), Tasks: 1 + d.IntN(6), Spot: !d.oneIn(3),
		Need: model.Resources{Cores: float64(1 + d.IntN(4)), MemoryGB: 1}, Image: []string{"x", "y", "z"}[d.IntN(3)], ImageGB: 0.5,
		EstimateSeconds: float64(2 + d.IntN(30))}
	r := Request{At: at, ID: id, Run: d.between(2, 32)}
	zones := w.config().Zones
	switch d.IntN(12) {
	case 0:
		s.OneZone = true
	case 1:
		s.SpreadZones = true
	case 2:
		s.Zone = zones[d.IntN(len(zones))]
	case 3:
		s.Types = []string{"large"}
	case 4:
		s.Gang, s.Tasks = true, 1+d.IntN(3)
	case 5: // many small tasks: a value holds but so many of them
		s.Tasks, s.Need.Cores = 60+d.IntN(60), 0.25
	case 6:
		s.Service, s.EstimateSeconds, s.Tasks, s.Need.Cores = true, 0, 1+d.IntN(3), 1
		s.SpreadZones = d.oneIn(3)
	}
	if gpus && d.oneIn(3) {
		s.Need.GPUs, s.Class, s.Types = 1, "cards", nil
		s.Tasks = min(s.Tasks, 6)
		s.ImageGB = 1.5
	}
	if len(w.Teams) > 2 && d.oneIn(3) && !s.Service {
		s.Team, s.Class = "guest", "visit"
	}
	if d.oneIn(6) && !s.Service { // its tasks save
		s.Priority, s.CheckpointSeconds, s.SaveSeconds = 3, 5, float64(d.IntN(3))
		r.Run *= 2
	}
	if d.oneIn(12) && !s.Gang && !s.Service && s.Tasks < 7 {
		s.Tasks *= 5
	}
	switch {
	case len(w.Teams) > 2 && d.oneIn(8) && !s.Service:
		r.Broken, r.Cancel = true, d.between(1, 120)
	case d.oneIn(5), s.Service && d.oneIn(2):
		r.Cancel = d.between(0.001, 40)
		if s.Service {
			r.Cancel = d.between(20, 160)
		}
	}
	r.Spec = s
	return r
}

// fault draws a trouble, most at a time, some at a moment of a step.
func (d draw) fault(at float64, controllers int) InjectedFault {
	sum := 0
	for _, t := range Faults {
		sum += t.Weight
	}
	pick := d.IntN(sum)
	i := 0
	for ; pick >= Faults[i].Weight; i++ {
		pick -= Faults[i].Weight
	}
	t := Faults[i]
	x := InjectedFault{At: at, Fault: t.Name, For: d.between(t.Least.Seconds(), t.Most.Seconds())}
	x.Node = fmt.Sprintf("node-%d", d.IntN(controllers))
	x.Machine = 1 + d.IntN(50)
	if d.oneIn(4) {
		x.At, x.Step, x.Phase, x.N = 0, Steps[d.IntN(len(Steps))], Phases[d.IntN(3)], 1+d.IntN(30)
		x.Machine = 0
		if !d.oneIn(4) {
			x.Node = ""
		}
	}
	return x
}
