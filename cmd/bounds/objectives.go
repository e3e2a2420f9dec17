package main

import (
	"fmt"
	"math"
	"strings"
)

const (
	// replicaSampleStepSeconds is the interval at which upShareInWindow counts replicas.
	replicaSampleStepSeconds = 2.0
	// windowStartsPerLength is the number of windows that start within the length of one
	// window in the search for the worst window.
	windowStartsPerLength = 3
	// minDivisor replaces a divisor of zero.
	minDivisor = 1e-9
)

// upShareInWindow returns the share of the wanted replica time of a class during which its
// replicas are up, in the window of the day between from and to, in seconds. A replica counts
// once its service was submitted at least minAgeSeconds ago. Services that exist at the start of
// the day start under initialConditions, services submitted later under laterConditions.
func (s *site) upShareInWindow(
	class *jobClass, minAgeSeconds, from, to float64, initialConditions, laterConditions startConditions,
) float64 {
	initialDelays, laterDelays := s.startDelays(class, initialConditions), s.startDelays(class, laterConditions)
	wanted, replicasUp := 0.0, 0.0
	for at := from + replicaSampleStepSeconds/2; at < to; at += replicaSampleStepSeconds {
		initialTasks, laterTasks := s.runningTasksByArrival(class, at, minAgeSeconds)
		wanted += initialTasks + laterTasks
		replicasUp += initialTasks * shareAtMost(initialDelays, at)
		for age := minAgeSeconds + 0.5; age < at; age++ {
			replicasUp += class.TaskCount.mean() * class.Arrivals.JobsPerSecond * class.RunSeconds.probabilityAbove(age) *
				shareAtMost(laterDelays, age)
		}
	}
	return replicasUp / math.Max(wanted, minDivisor)
}

// upShareBound returns the up share that an objective is compared with: upShareInWindow of
// the whole day after the warmup, or of the worst window if the objective sets a window length.
func (s *site) upShareBound(slo objective, initialConditions, laterConditions startConditions) float64 {
	class := s.classByName(slo.Class)
	if slo.WorstWindowSeconds <= 0 {
		return s.upShareInWindow(class, slo.AfterSeconds, s.WarmupSeconds, s.DurationSeconds,
			initialConditions, laterConditions)
	}
	worst := 1.0
	for from := s.WarmupSeconds; from+slo.WorstWindowSeconds <= s.DurationSeconds; from += slo.WorstWindowSeconds / windowStartsPerLength {
		worst = math.Min(worst, s.upShareInWindow(
			class, slo.AfterSeconds, from, from+slo.WorstWindowSeconds, initialConditions, laterConditions))
	}
	return worst
}

// startedInTimeBound returns the share of tasks that start within the objective's time limit
// if all start under the given conditions. It covers the class that the objective names, or
// all classes weighted by their rate of submitted tasks if it names none.
func (s *site) startedInTimeBound(slo objective, conditions startConditions) float64 {
	allTasks, inTime := 0.0, 0.0
	for i := range s.Classes {
		class := &s.Classes[i]
		if slo.Class == "" || slo.Class == class.Name {
			tasksPerSecond := class.TaskCount.mean() * class.Arrivals.JobsPerSecond
			allTasks += tasksPerSecond
			inTime += tasksPerSecond * shareAtMost(s.startDelays(class, conditions), slo.WithinSeconds)
		}
	}
	return inTime / math.Max(allTasks, minDivisor)
}

// deadlineBound returns the share of jobs that can end by their deadline if all tasks of a job
// run as long as its first task and start under the given conditions. The deadline depends on
// the submitter's estimate of the run time, which differs from the run time by a lognormal
// factor with estimate_error as the standard deviation of its logarithm.
func (s *site) deadlineBound(slo objective, conditions startConditions) float64 {
	class, multiple := s.classByName(slo.Class), slo.DeadlineMultiple
	if multiple == 0 {
		multiple = 1
	}
	delays := s.startDelays(class, conditions)
	combinations, inTime := 0, 0
	for _, run := range class.RunSeconds.samples(gridSamples) {
		for k := range gridSamples {
			estimate := run * math.Exp(class.EstimateError*standardNormalQuantile(midpoint(k, gridSamples)))
			due := multiple * (class.Deadline.Factor*estimate + class.Deadline.PlusSeconds)
			for _, delay := range delays {
				combinations++
				if delay+run <= due {
					inTime++
				}
			}
		}
	}
	return float64(inTime) / float64(max(combinations, 1))
}

// usefulMachineTimeBound returns an upper bound on the share of rented machine time, weighted
// by price, that runs tasks. It assumes that each machine is rented for the whole day and
// loses only the mean start delay under the given conditions: one boot and one fetch.
func (s *site) usefulMachineTimeBound(conditions startConditions) float64 {
	cost, lostCost := 0.0, 0.0
	for i := range s.Classes {
		class := &s.Classes[i]
		machine := s.cheapestType(class)
		share, _ := machine.occupiedShare(class)
		weight := s.meanRunningTasks(class) * share * machine.lowestPrice(class)
		delays := s.startDelays(class, conditions)
		meanDelay := 0.0
		for _, delay := range delays {
			meanDelay += delay / float64(len(delays))
		}
		cost += weight
		lostCost += weight * math.Min(meanDelay/s.DurationSeconds, 1)
	}
	return 1 - lostCost/math.Max(cost, minDivisor)
}

// bound is the best value that an objective could reach, and the cause that limits it.
type bound struct {
	value          float64 // under the best start conditions
	otherCases     string  // the values under less favorable start conditions
	limitingFactor string  // the limiting cause, or the preparation that the objective needs
}

// objectiveBound returns the bound of an objective of a site with services or GPUs; ok is
// false if this command has no bound for objectives of its kind.
func (s *site) objectiveBound(slo objective) (b bound, ok bool) {
	switch slo.Kind {
	case "up":
		b.value = s.upShareBound(slo, bestColdStart, startConditions{})
		var parts []string
		for images := 1.0; images <= 3; images++ {
			parts = append(parts, fmt.Sprintf("%.3f", s.upShareBound(slo, typicalColdStart(images), startConditions{})))
		}
		b.otherCases = fmt.Sprintf(
			"with typical starts and 1, 2 or 3 concurrent fetches per machine at the start: %s; "+
				"if later services fetch too: %.3f",
			strings.Join(parts, ", "),
			s.upShareBound(slo, typicalColdStart(1), startConditions{mustFetch: true, timing: typicalCase}))
		b.limitingFactor = "boots and concurrent fetches of the services at the start; later free capacity with the images cached"
	case "wait", "guarantee":
		b = s.boundByPreparation(slo, s.startedInTimeBound)
	case "deadline":
		b = s.boundByPreparation(slo, s.deadlineBound)
		b.limitingFactor += "; estimate errors"
	case "useful":
		b.value = s.usefulMachineTimeBound(bestColdStart)
		b.otherCases = fmt.Sprintf("with typical starts: %.3f", s.usefulMachineTimeBound(typicalColdStart(1)))
		b.limitingFactor = "one boot and one fetch of each machine, rented all day"
	case "price":
		b.value = 1 / s.usefulMachineTimeBound(bestColdStart)
		b.otherCases = fmt.Sprintf("with typical starts: %.2f", 1/s.usefulMachineTimeBound(typicalColdStart(1)))
		b.limitingFactor = "one boot and one fetch of each machine, rented all day"
	default:
		return b, false
	}
	return b, true
}

// boundByPreparation evaluates boundFor at each preparation level and names the lowest level
// that meets the objective.
func (s *site) boundByPreparation(slo objective, boundFor func(objective, startConditions) float64) bound {
	b := bound{limitingFactor: "not reachable with any preparation"}
	var parts []string
	for i, level := range preparationLevels {
		share := boundFor(slo, level.startConditions)
		if i == 0 {
			b.value = share
		}
		parts = append(parts, fmt.Sprintf("%s %.3f", level.name, share))
		if share >= slo.MinShare {
			b.limitingFactor = "needs " + level.name
		}
	}
	b.otherCases = "with " + strings.Join(parts, ", with ")
	return b
}
