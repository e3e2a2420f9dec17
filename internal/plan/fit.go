package plan

import "roadcleat/internal/model"

// earliestFit returns the earliest start and finish of a task on the device by equation 1. It
// reports false if the task can never run there.
func (d *Device) earliestFit(step *Step, ready float64) (start, finish float64, fits bool) {
	if !step.Need.FitsIn(d.Capacity) {
		return 0, 0, false
	}
	start = max(ready, d.UpAt)
	levels := d.usageProfile()
	currentLevel := -1 // index of the level at start; -1: before the first level, when nothing is in use
	for currentLevel+1 < len(levels) && levels[currentLevel+1].startsAt <= start {
		currentLevel++
	}
	for {
		finish = d.finishTime(step, start)
		fullLevel := d.firstFullLevel(step, levels, currentLevel, finish)
		if fullLevel == len(levels) {
			return start, finish, true
		}
		currentLevel = fullLevel + 1
		for currentLevel < len(levels) && !d.fitsDuringLevel(step, levels, currentLevel) {
			currentLevel++
		}
		if currentLevel == len(levels) {
			return 0, 0, false // unreachable: all resources are free after the last allocation
		}
		start = levels[currentLevel].startsAt
	}
}

// fitsDuringLevel reports whether the free resources during a level suffice for a task of the
// step. The index -1 is the time before the first level.
func (d *Device) fitsDuringLevel(step *Step, levels []usageLevel, levelIndex int) bool {
	return levelIndex < 0 || step.Need.Plus(levels[levelIndex].used).FitsIn(d.Capacity)
}

// firstFullLevel returns the index of the first level, from firstLevel on, that starts before
// finish and has too few free resources for a task. It returns the number of levels if there is
// none.
func (d *Device) firstFullLevel(step *Step, levels []usageLevel, firstLevel int, finish float64) int {
	for i := firstLevel; i < len(levels); i++ {
		if i > firstLevel && levels[i].startsAt >= finish {
			break
		}
		if !d.fitsDuringLevel(step, levels, i) {
			return i
		}
	}
	return len(levels)
}

// finishTime returns when a task finishes whose resources are allocated at start: its image is
// fetched first if the device does not hold it.
func (d *Device) finishTime(step *Step, start float64) float64 {
	avail := start
	if step.Image >= 0 {
		if readyAt, found := d.imageReadyAt(step.Image); found {
			avail = max(avail, readyAt)
		} else {
			avail = max(avail, d.FetchesDoneAt) + step.ImageGB*d.SecondsPerGB
		}
	}
	if d.Slowdown > 0 {
		return avail + step.RunSeconds*d.Slowdown
	}
	return avail + step.RunSeconds
}

// finishLowerBound returns a time before which no task of the step can finish on the device. It
// costs a fraction of earliestFit. It reports false if a task can never run there.
func (d *Device) finishLowerBound(step *Step, ready float64) (bound float64, fits bool) {
	if !step.Need.FitsIn(d.Capacity) {
		return 0, false
	}
	start := max(ready, d.UpAt)
	firstRelease := -1.0 // when the first of the current allocations ends; -1: there are none
	var used model.Resources
	for i := range d.Allocations {
		allocation := &d.Allocations[i]
		if allocation.Start > start || start >= allocation.End {
			continue
		}
		used = used.Plus(allocation.Amount)
		if firstRelease < 0 || allocation.End < firstRelease {
			firstRelease = allocation.End
		}
	}
	if !used.Plus(step.Need).FitsIn(d.Capacity) {
		start = firstRelease
	}
	return d.finishTime(step, start), true
}

// allocate records a task's allocation on the device and, if necessary, the fetch of its image.
func (d *Device) allocate(step *Step, start, finish float64) {
	d.Allocations = append(d.Allocations, Allocation{start, finish, step.Need})
	d.usageLevels = nil
	if step.Image < 0 {
		return
	}
	if _, found := d.imageReadyAt(step.Image); !found {
		readyAt := max(start, d.FetchesDoneAt) + step.ImageGB*d.SecondsPerGB
		d.CachedImages = append(d.CachedImages, CachedImage{step.Image, readyAt})
		d.FetchesDoneAt = readyAt
	}
}
