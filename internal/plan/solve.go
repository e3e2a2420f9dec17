package plan

import (
	"cmp"
	"slices"
)

// maxSteps is how many steps a pipeline may have: sets of them are bit masks of 64 bits.
const maxSteps = 64

// graph is a pipeline and the machines that it is planned on.
type graph struct {
	steps   []Step
	devices []*Device
	now     float64
}

// Solve plans a pipeline from time now on by algorithm 1. At most frontier partial schedules
// are kept per round. Below that bound, and since the dominance test compares the bookings on
// devices too, nothing better is cut off. A pipeline of more than 64 steps is not planned.
func Solve(steps []Step, devices []*Device, now float64, frontier int) Schedule {
	if len(steps) > maxSteps {
		return Schedule{}
	}
	g := &graph{steps, devices, now}
	kept := []*partial{newPartial(g)}
	for range steps {
		extended := extendAll(g, kept)
		if len(extended) == 0 {
			return Schedule{}
		}
		kept = prune(extended, frontier)
	}
	best := slices.MinFunc(kept, compareCost)
	return Schedule{Placements: best.placements, Finish: best.end, Complete: true}
}

// extendAll derives all partial schedules with one step more.
func extendAll(g *graph, kept []*partial) []*partial {
	var extended []*partial
	for _, p := range kept {
		for i := range g.steps {
			if !p.placed(i) && p.readyFor(&g.steps[i]) {
				extended = append(extended, p.extend(g, i)...)
			}
		}
	}
	return extended
}

func compareCost(p, q *partial) int { return cmp.Compare(p.cost, q.cost) }

// prune drops outperformed partial schedules and keeps the best frontier of the rest.
func prune(extended []*partial, frontier int) []*partial {
	slices.SortStableFunc(extended, compareCost)
	var kept []*partial
	for _, p := range extended {
		if slices.ContainsFunc(kept, p.outperformedBy) {
			continue
		}
		kept = append(kept, p)
		if len(kept) >= max(frontier, 1) {
			break
		}
	}
	return kept
}
