package fake

import "slices"

// Shrink simplifies a script that breaks a rule as long as it still breaks the same one: it
// leaves out faults, jobs, cancellations and what is special about the world, and makes
// jobs smaller and faults shorter. It plays at most so many days and returns how many it
// played.
//
// Generic shrinkers such as pgregory.net/rapid shrink the random draws that made a value.
// Scripts also come from files and from the walk, which draws nothing.
func (s Script) Shrink(most int, play func(Script) Verdict) (Script, int) {
	rule := play(s).Rule()
	played := 1
	breaks := func(t Script) bool {
		if played >= most || len(t.Jobs) == 0 {
			return false
		}
		played++
		return play(t).Rule() == rule
	}
	if rule == "" {
		return s, played
	}
	for size := -1; size != s.size() && played < most; {
		size = s.size()
		s.Steps = shorten(s.Steps, func(x []InjectedFault) bool {
			t := s
			t.Steps = x
			return breaks(t)
		})
		s.Jobs = shorten(s.Jobs, func(x []Request) bool {
			t := s
			t.Jobs = x
			return breaks(t)
		})
		for _, simplify := range simplifications(s) {
			t := s.clone()
			simplify(&t)
			if t.String() != s.String() && breaks(t) {
				s = t
			}
		}
	}
	return s, played
}

// size is the measure that shrinking reduces.
func (s Script) size() int { return len(s.String()) }

func (s Script) clone() Script {
	s.Jobs, s.Steps = slices.Clone(s.Jobs), slices.Clone(s.Steps)
	s.World.Teams = slices.Clone(s.World.Teams)
	return s
}

// shorten leaves out as much of a list as ok allows, large pieces first.
func shorten[T any](list []T, ok func([]T) bool) []T {
	for piece := len(list); piece > 0; piece /= 2 {
		for from := 0; from < len(list); {
			rest := append(slices.Clone(list[:from]), list[min(from+piece, len(list)):]...)
			if ok(rest) {
				list = rest
			} else {
				from += piece
			}
		}
	}
	return list
}

// simplifications lists what may be tried to make a script simpler.
func simplifications(s Script) []func(*Script) {
	out := []func(*Script){
		func(t *Script) { t.World.Lost = 0 },
		func(t *Script) { t.World.Slow = 0 },
		func(t *Script) { t.World.Copies = 0 },
		func(t *Script) { t.World.Repeated = 0 },
		func(t *Script) { t.World.LateRental = 0 },
		func(t *Script) { t.World.NeverUp = 0 },
		func(t *Script) { t.World.Keep = 0 },
		func(t *Script) { t.World.ValueBytes = 0 },
		func(t *Script) { t.World.Boot = [2]float64{} },
		func(t *Script) { t.World.Types = nil },
		func(t *Script) { t.World.Controllers = nil },
		func(t *Script) { t.World.Zones = nil },
		func(t *Script) { t.World.Teams = nil },
		func(t *Script) { t.World.Noise = 0 },
	}
	for i := range s.Jobs {
		out = append(out,
			func(t *Script) { t.Jobs[i].Cancel = 0 },
			func(t *Script) { t.Jobs[i].Spec.Tasks = 1 },
			func(t *Script) { t.Jobs[i].Spec.Tasks = (t.Jobs[i].Spec.Tasks + 1) / 2 },
			func(t *Script) { t.Jobs[i].Spec.CheckpointSeconds, t.Jobs[i].Spec.SaveSeconds = 0, 0 },
			func(t *Script) {
				spec := &t.Jobs[i].Spec
				spec.OneZone, spec.SpreadZones, spec.Gang = false, false, false
			},
			func(t *Script) { t.Jobs[i].Spec.Types, t.Jobs[i].Spec.Zone = nil, "" })
	}
	for i := range s.Steps {
		out = append(out,
			func(t *Script) { t.Steps[i].For = float64(int(t.Steps[i].For / 2)) },
			func(t *Script) { t.Steps[i].N = min(t.Steps[i].N, 1) })
	}
	return out
}
