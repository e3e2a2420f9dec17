package plan

import (
	"cmp"
	"slices"
)

// maxPipelineSteps is the maximum number of steps of a pipeline: sets of steps are 64-bit masks.
const maxPipelineSteps = 64

// planningProblem is a pipeline, the machines to schedule it on, and the earliest start time.
type planningProblem struct {
	steps   []Step
	devices []*Device
	now     float64
}

// Solve schedules a pipeline from time now on by algorithm 1. Each round keeps at most
// maxFrontier partial schedules. While that bound is not reached, pruning discards nothing that
// could lead to a better schedule, because the dominance test also compares the allocations on
// devices. A pipeline of more than 64 steps is not scheduled: the result is not Complete.
func Solve(steps []Step, devices []*Device, now float64, maxFrontier int) Schedule {
	if len(steps) > maxPipelineSteps {
		return Schedule{}
	}
	problem := &planningProblem{steps, devices, now}
	kept := []*partialSchedule{newPartialSchedule(problem)}
	for range steps {
		extended := extendAll(problem, kept)
		if len(extended) == 0 {
			return Schedule{}
		}
		kept = prune(extended, maxFrontier)
	}
	best := slices.MinFunc(kept, compareCost)
	return Schedule{Placements: best.placements, Finish: best.finish, Complete: true}
}

// extendAll returns all partial schedules that have one step more than one of those kept.
func extendAll(problem *planningProblem, kept []*partialSchedule) []*partialSchedule {
	var extended []*partialSchedule
	for _, p := range kept {
		for stepIndex := range problem.steps {
			if !p.isPlaced(stepIndex) && p.areInputsPlaced(&problem.steps[stepIndex]) {
				extended = append(extended, p.extend(problem, stepIndex)...)
			}
		}
	}
	return extended
}

func compareCost(p, q *partialSchedule) int { return cmp.Compare(p.cost, q.cost) }

// prune drops dominated partial schedules and keeps the maxFrontier cheapest of the rest, at
// least one.
func prune(extended []*partialSchedule, maxFrontier int) []*partialSchedule {
	slices.SortStableFunc(extended, compareCost)
	var kept []*partialSchedule
	for _, p := range extended {
		if slices.ContainsFunc(kept, p.isDominatedBy) {
			continue
		}
		kept = append(kept, p)
		if len(kept) >= max(maxFrontier, 1) {
			break
		}
	}
	return kept
}
