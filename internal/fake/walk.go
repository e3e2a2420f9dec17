package fake

import (
	"fmt"
	"iter"

	"roadcleat/internal/model"
)

// WalkCase is one case of the walk, the exhaustive search over all combinations of a step, a phase
// and a fault. It injects the fault at the phase of the step in SmallScenario, with or without a
// restart of the controller concerned ownerRestartDelaySeconds later.
type WalkCase struct {
	Step          Step
	Phase         Phase
	Fault         string // the name of an element of Faults
	RestartsOwner bool   // the controller concerned is restarted too
	Occurrence    int    // which occurrence of the step, from 1
}

// String returns a short description of the case, for test names and reports.
func (c WalkCase) String() string {
	s := fmt.Sprintf("%s %s #%d x %s", c.Phase, c.Step, c.Occurrence, c.Fault)
	if c.RestartsOwner {
		s += " and its owner restarts"
	}
	return s
}

// walkFaultSeconds is how long each fault lasts in the walk: long enough for the timeouts that the
// fault is to trigger, given the worker lease of 14 s and the cancellation bound of 44 s of
// DefaultConfig.
var walkFaultSeconds = map[string]float64{
	"restart-at-once":           0.08,
	"restart":                   3,
	"restart-late":              20,
	"restart-repeats":           5,
	"restart-all":               2,
	"all-away":                  17,
	"freeze":                    16,
	"freeze-short":              2.5,
	"state-outage":              12,
	"state-outage-long":         50,
	"state-refuses":             16,
	"state-refuses-then-outage": 14,
	"cancel-in-refusal":         14,
	"state-slow":                10,
	"late-writes":               0.3,
	"answers-lost":              0.3,
	"zone-cut":                  20,
	"machine-hangs":             16,
	"recall":                    4,
	"late-reports":              10,
	"reports-for-next":          20,
	"cloud-outage":              10,
	"cancel-now":                12,
	"cancel-at-end":             30,
	"machine-dies":              0,
	"bound-dies":                0,
	"cancel":                    0,
}

const (
	// defaultWalkFaultSeconds is how long the faults last that walkFaultSeconds does not list.
	defaultWalkFaultSeconds = 18.0
	// The restart of the controller concerned: how long its process is down, and how long after the
	// step event it stops.
	ownerRestartSeconds, ownerRestartDelaySeconds = 6, 1.2
	// Walk divides a step's occurrences into equal ranges and tests one occurrence of each range.
	// occurrencePosition is that occurrence's position within its range, from 0 to 1.
	occurrencePosition = 0.7
)

// Walk iterates over all cases: each fault at each phase of each step, with and without a restart
// of the controller. It tests the given number of occurrences of each step, spread evenly over those
// that occur in SmallScenario.
func Walk(occurrences int) iter.Seq[WalkCase] {
	return func(yield func(WalkCase) bool) {
		seen := SmallScenario().Run(nil).StepsSeen
		for _, step := range Steps {
			for i := range occurrences {
				share := (float64(i) + occurrencePosition) / float64(occurrences)
				n := min(1+int(share*float64(seen[step])), max(seen[step], 1))
				if !walkOccurrence(step, n, yield) {
					return
				}
			}
		}
	}
}

// walkOccurrence yields all cases of the nth occurrence of a step. It reports whether to continue.
func walkOccurrence(step Step, n int, yield func(WalkCase) bool) bool {
	for _, fault := range Faults {
		for _, phase := range Phases {
			for _, restartsOwner := range []bool{false, true} {
				if !yield(WalkCase{Step: step, Phase: phase, Fault: fault.Name, RestartsOwner: restartsOwner, Occurrence: n}) {
					return false
				}
			}
		}
	}
	return true
}

// WalkSize returns the number of cases that Walk iterates over.
func WalkSize(occurrences int) int { return len(Steps) * occurrences * len(Faults) * len(Phases) * 2 }

// Scenario returns SmallScenario with the case's faults.
func (c WalkCase) Scenario() Scenario {
	s := SmallScenario()
	duration, ok := walkFaultSeconds[c.Fault]
	if !ok {
		duration = defaultWalkFaultSeconds
	}
	stepEvent := InjectedFault{Step: c.Step, Phase: c.Phase, Occurrence: c.Occurrence}
	fault := stepEvent
	fault.FaultName, fault.DurationSeconds = c.Fault, duration
	s.Faults = append(s.Faults, fault)
	if c.RestartsOwner {
		restart := stepEvent
		restart.FaultName, restart.DurationSeconds, restart.DelaySeconds = "restart", ownerRestartSeconds, ownerRestartDelaySeconds
		s.Faults = append(s.Faults, restart)
	}
	return s
}

// SmallScenario returns a scenario of few jobs in which every step of the protocols occurs: a shard
// changes its owner and is handed over again, work waits and moves, a team reaches its limit, a job
// is cancelled while it runs, a task fails and starts again, and machines are rented and returned.
func SmallScenario() Scenario {
	job := func(at float64, id, team string, tasks int, cores, run float64, change func(*SubmittedJob)) SubmittedJob {
		spec := model.JobSpec{
			Class: "work", Team: team, Priority: 1, Tasks: tasks,
			TaskResources: model.Resources{Cores: cores, MemoryGB: 1},
			Spot:          true, Image: "x", ImageGB: 0.5, EstimatedRunSeconds: run,
		}
		submitted := SubmittedJob{SubmitAtSeconds: at, ID: id, RunSeconds: run, Spec: spec}
		if change != nil {
			change(&submitted)
		}
		return submitted
	}
	service := func(j *SubmittedJob) { j.Spec.Service, j.Spec.EstimatedRunSeconds, j.CancelAfterSeconds = true, 0, 40 }
	return Scenario{
		Seed:    1,
		Cluster: ClusterConfig{MachinesPerKind: 1, BootSecondsRange: [2]float64{2, 6}},
		// The restart causes the claim of a shard and its handover.
		Faults: []InjectedFault{{AtSeconds: 12, FaultName: "restart", DurationSeconds: 9, NodeName: "node-0"}},
		Jobs: []SubmittedJob{
			job(3, "job-1", "red", 6, 4, 9, nil),
			job(3.5, "job-2", "blue", 3, 4, 25, func(j *SubmittedJob) { j.CancelAfterSeconds = 16 }),
			job(4, "job-3", "blue", 4, 2, 8, func(j *SubmittedJob) { j.Spec.Zone = "b" }),
			job(5, "job-4", "red", 3, 8, 12, func(j *SubmittedJob) { j.Spec.SpreadZones = true }),
			job(6, "job-5", "red", 2, 1, 0, service),
			job(9, "job-6", "red", 12, 2, 7, func(j *SubmittedJob) { j.Spec.Image = "y" }),
			job(14, "job-7", "blue", 6, 4, 6, nil),
			job(20, "job-8", "red", 2, 4, 5, func(j *SubmittedJob) { j.Spec.OneZone = true }),
			job(24, "job-9", "blue", 2, 2, 20, func(j *SubmittedJob) { j.CancelAfterSeconds = 6 }),
			job(30, "job-10", "red", 1, 2, 4, nil),
			job(2, "job-11", "red", 1, 2, 60, func(j *SubmittedJob) { j.Spec.Zone, j.FailsFirstAttempt = "b", true }),
		},
	}
}
