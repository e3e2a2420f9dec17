package fake

import "slices"

// Shrink returns a simpler scenario that violates the same rule first. It removes faults, jobs,
// cancellations and the cluster's deviations from the defaults, makes jobs smaller and faults
// shorter, and keeps each simplification that preserves the violation. It runs at most maxRuns
// scenarios and also returns how many it ran.
//
// Generic shrinkers such as pgregory.net/rapid shrink the random draws that made a value. They
// don't fit here, because scenarios also come from files and from Walk, which draws nothing.
func (s Scenario) Shrink(maxRuns int, run func(Scenario) Result) (Scenario, int) {
	rule := run(s).FirstRule()
	runs := 1
	stillFails := func(candidate Scenario) bool {
		if runs >= maxRuns || len(candidate.Jobs) == 0 {
			return false
		}
		runs++
		return run(candidate).FirstRule() == rule
	}
	if rule == "" {
		return s, runs
	}
	for size := -1; size != s.encodedSize() && runs < maxRuns; {
		size = s.encodedSize()
		s.Faults = removeElements(s.Faults, func(faults []InjectedFault) bool {
			candidate := s
			candidate.Faults = faults
			return stillFails(candidate)
		})
		s.Jobs = removeElements(s.Jobs, func(jobs []SubmittedJob) bool {
			candidate := s
			candidate.Jobs = jobs
			return stillFails(candidate)
		})
		for _, simplify := range simplifications(s) {
			candidate := s.clone()
			simplify(&candidate)
			if candidate.String() != s.String() && stillFails(candidate) {
				s = candidate
			}
		}
	}
	return s, runs
}

// encodedSize returns the length of the scenario's JSON, which Shrink reduces.
func (s Scenario) encodedSize() int { return len(s.String()) }

// clone returns a copy whose jobs, faults and teams can be changed independently.
func (s Scenario) clone() Scenario {
	s.Jobs, s.Faults = slices.Clone(s.Jobs), slices.Clone(s.Faults)
	s.Cluster.Teams = slices.Clone(s.Cluster.Teams)
	return s
}

// removeElements removes as many elements of a list as it can while keep accepts the rest. It tries
// large chunks first.
func removeElements[T any](list []T, keep func([]T) bool) []T {
	for chunk := len(list); chunk > 0; chunk /= 2 {
		for start := 0; start < len(list); {
			rest := append(slices.Clone(list[:start]), list[min(start+chunk, len(list)):]...)
			if keep(rest) {
				list = rest
			} else {
				start += chunk
			}
		}
	}
	return list
}

// simplifications returns functions that each make a scenario simpler in one way.
func simplifications(s Scenario) []func(*Scenario) {
	simplifiers := []func(*Scenario){
		func(candidate *Scenario) { candidate.Cluster.LostReplyShare = 0 },
		func(candidate *Scenario) { candidate.Cluster.TransactionSeconds = 0 },
		func(candidate *Scenario) { candidate.Cluster.HeartbeatCopyShare = 0 },
		func(candidate *Scenario) { candidate.Cluster.RepeatedRequestShare = 0 },
		func(candidate *Scenario) { candidate.Cluster.LateRentalShare = 0 },
		func(candidate *Scenario) { candidate.Cluster.FailedBootShare = 0 },
		func(candidate *Scenario) { candidate.Cluster.WatchHistoryLimit = 0 },
		func(candidate *Scenario) { candidate.Cluster.MaxValueBytes = 0 },
		func(candidate *Scenario) { candidate.Cluster.BootSecondsRange = [2]float64{} },
		func(candidate *Scenario) { candidate.Cluster.MachineTypes = nil },
		func(candidate *Scenario) { candidate.Cluster.Controllers = nil },
		func(candidate *Scenario) { candidate.Cluster.Zones = nil },
		func(candidate *Scenario) { candidate.Cluster.Teams = nil },
		func(candidate *Scenario) { candidate.Cluster.NoiseSeconds = 0 },
	}
	for i := range s.Jobs {
		simplifiers = append(simplifiers,
			func(candidate *Scenario) { candidate.Jobs[i].CancelAfterSeconds = 0 },
			func(candidate *Scenario) { candidate.Jobs[i].Spec.Tasks = 1 },
			func(candidate *Scenario) { candidate.Jobs[i].Spec.Tasks = (candidate.Jobs[i].Spec.Tasks + 1) / 2 },
			func(candidate *Scenario) {
				candidate.Jobs[i].Spec.CheckpointIntervalSeconds, candidate.Jobs[i].Spec.SaveSeconds = 0, 0
			},
			func(candidate *Scenario) {
				spec := &candidate.Jobs[i].Spec
				spec.OneZone, spec.SpreadZones, spec.Gang = false, false, false
			},
			func(candidate *Scenario) { candidate.Jobs[i].Spec.Types, candidate.Jobs[i].Spec.Zone = nil, "" })
	}
	for i := range s.Faults {
		simplifiers = append(simplifiers,
			func(candidate *Scenario) {
				candidate.Faults[i].DurationSeconds = float64(int(candidate.Faults[i].DurationSeconds / 2))
			},
			func(candidate *Scenario) { candidate.Faults[i].Occurrence = min(candidate.Faults[i].Occurrence, 1) })
	}
	return simplifiers
}
