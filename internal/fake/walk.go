package fake

import (
	"fmt"
	"iter"

	"roadcleat/internal/model"
)

// Pair is a meeting that the walk plays: a trouble at a phase of a step, and perhaps the
// end of the controller concerned a moment later.
type Pair struct {
	Step  Step
	Phase Phase
	Fault string
	Ends  bool
	Nth   int // which occurrence of the step
}

// String names the pair.
func (p Pair) String() string {
	s := fmt.Sprintf("%s %s #%d x %s", p.Phase, p.Step, p.Nth, p.Fault)
	if p.Ends {
		s += " and its owner ends"
	}
	return s
}

// usual is how long, in seconds, a trouble lasts on the walk: long enough for what waits
// for it, with the lease of 14 s and the cancellation bound of 44 s of Settings.
var usual = map[string]float64{"restart-at-once": 0.08, "restart": 3, "restart-late": 20, "restart-all": 2, "all-away": 17,
	"freeze": 16, "freeze-short": 2.5, "state-outage": 12, "state-outage-long": 50, "state-refuses": 16,
	"state-refuses-then-outage": 14, "state-slow": 10, "late-writes": 0.3, "answers-lost": 0.3, "zone-cut": 20, "machine-hangs": 16,
	"recall": 4, "late-reports": 10, "reports-for-next": 20, "cloud-outage": 10, "cancel-now": 12, "cancel-at-end": 30,
	"machine-dies": 0, "bound-dies": 0, "cancel": 0}

const usualElse = 18.0

// Walk goes over all pairs, for so many occurrences of each step, spread over those that
// the small day brings about.
func Walk(occurrences int) iter.Seq[Pair] {
	return func(yield func(Pair) bool) {
		seen := SmallDay().Play(nil).StepsSeen
		for _, step := range Steps {
			for i := range occurrences {
				n := 1 + int((float64(i)+0.7)/float64(occurrences)*float64(seen[step]))
				for _, t := range Faults {
					for _, phase := range Phases {
						for _, ends := range []bool{false, true} {
							if !yield(Pair{step, phase, t.Name, ends, min(n, max(seen[step], 1))}) {
								return
							}
						}
					}
				}
			}
		}
	}
}

// WalkSize is how many pairs Walk goes over.
func WalkSize(occurrences int) int { return len(Steps) * occurrences * len(Faults) * len(Phases) * 2 }

// Script is the small day on which the pair is played. Without its strikes it brings about
// every step.
func (p Pair) Script() Script {
	s := SmallDay()
	long, ok := usual[p.Fault]
	if !ok {
		long = usualElse
	}
	at := InjectedFault{Step: p.Step, Phase: p.Phase, N: p.Nth}
	hit := at
	hit.Fault, hit.For = p.Fault, long
	s.Steps = append(s.Steps, hit)
	if p.Ends {
		at.Fault, at.For, at.Delay = "restart", 6, 1.2
		s.Steps = append(s.Steps, at)
	}
	return s
}

// SmallDay is a day of few jobs that brings about every step of the protocols: a part
// changes hands and goes back, work waits and moves, a team reaches its limit, a job is
// cancelled while it runs, and machines come and go.
func SmallDay() Script {
	job := func(at float64, id, team string, tasks int, cores, run float64, change func(*Request)) Request {
		r := Request{At: at, ID: id, Run: run, Spec: model.JobSpec{Class: "work", Team: team, Priority: 1, Tasks: tasks,
			Need: model.Resources{Cores: cores, MemoryGB: 1}, Spot: true, Image: "x", ImageGB: 0.5, EstimateSeconds: run}}
		if change != nil {
			change(&r)
		}
		return r
	}
	return Script{Seed: 1, World: Setting{Room: 1, Boot: [2]float64{2, 6}},
		Steps: []InjectedFault{{At: 12, Fault: "restart", For: 9, Node: "node-0"}}, // claim, hand over
		Jobs: []Request{
			job(3, "job-1", "red", 6, 4, 9, nil),
			job(3.5, "job-2", "blue", 3, 4, 25, func(r *Request) { r.Cancel = 16 }),
			job(4, "job-3", "blue", 4, 2, 8, func(r *Request) { r.Spec.Zone = "b" }),
			job(5, "job-4", "red", 3, 8, 12, func(r *Request) { r.Spec.SpreadZones = true }),
			job(6, "job-5", "red", 2, 1, 0, func(r *Request) { r.Spec.Service, r.Spec.EstimateSeconds, r.Cancel = true, 0, 40 }),
			job(9, "job-6", "red", 12, 2, 7, func(r *Request) { r.Spec.Image = "y" }),
			job(14, "job-7", "blue", 6, 4, 6, nil),
			job(20, "job-8", "red", 2, 4, 5, func(r *Request) { r.Spec.OneZone = true }),
			job(24, "job-9", "blue", 2, 2, 20, func(r *Request) { r.Cancel = 6 }),
			job(30, "job-10", "red", 1, 2, 4, nil),
		}}
}
