package plan

import "roadcleat/internal/model"

// earliestFit finds the earliest placement of a task on the device by equation 1. It reports
// false if the task never fits.
func (d *Device) earliestFit(s *Step, ready float64) (start, finish float64, fits bool) {
	if !s.Need.FitsIn(d.Total) {
		return 0, 0, false
	}
	start = max(ready, d.UpAt)
	levels := d.profile()
	current := -1 // the level at start; before the first level nothing is in use
	for current+1 < len(levels) && levels[current+1].at <= start {
		current++
	}
	for {
		finish = d.finishFrom(s, start)
		full := d.firstFull(s, levels, current, finish)
		if full == len(levels) {
			return start, finish, true
		}
		current = full + 1
		for current < len(levels) && !d.roomAt(s, levels, current) {
			current++
		}
		if current == len(levels) {
			return 0, 0, false // cannot be: everything is free after the last use
		}
		start = levels[current].at
	}
}

// roomAt reports whether a task has room during a level.
func (d *Device) roomAt(s *Step, levels []level, i int) bool {
	return i < 0 || s.Need.Plus(levels[i].used).FitsIn(d.Total)
}

// firstFull is the first level from the one given on that begins before a task ends and has no
// room for it. If there is none, it is the number of levels.
func (d *Device) firstFull(s *Step, levels []level, from int, end float64) int {
	for i := from; i < len(levels); i++ {
		if i > from && levels[i].at >= end {
			break
		}
		if !d.roomAt(s, levels, i) {
			return i
		}
	}
	return len(levels)
}

// finishFrom is when a task ends that takes its room at the moment given.
func (d *Device) finishFrom(s *Step, start float64) float64 {
	avail := start
	if s.Image >= 0 {
		if readyAt, found := d.imageReadyAt(s.Image); found {
			avail = max(avail, readyAt)
		} else {
			avail = max(avail, d.FetchesDoneAt) + s.ImageGB*d.SecondsPerGB
		}
	}
	if d.Slowdown > 0 {
		return avail + s.RunTime*d.Slowdown
	}
	return avail + s.RunTime
}

// finishBound is a time before which no task of a step can end on the device, at a fraction of
// the cost of earliestFit. It reports false if a task never fits.
func (d *Device) finishBound(s *Step, ready float64) (bound float64, fits bool) {
	if !s.Need.FitsIn(d.Total) {
		return 0, false
	}
	from := max(ready, d.UpAt)
	firstFreed := -1.0 // the first moment at which room is freed
	var used model.Resources
	for i := range d.Uses {
		use := &d.Uses[i]
		if use.Start > from || from >= use.End {
			continue
		}
		used = used.Plus(use.Amount)
		if firstFreed < 0 || use.End < firstFreed {
			firstFreed = use.End
		}
	}
	if !used.Plus(s.Need).FitsIn(d.Total) {
		from = firstFreed
	}
	return d.finishFrom(s, from), true
}

// place books a placement on the device.
func (d *Device) place(s *Step, start, finish float64) {
	d.Uses = append(d.Uses, Use{start, finish, s.Need})
	d.levels = nil
	if s.Image < 0 {
		return
	}
	if _, found := d.imageReadyAt(s.Image); !found {
		readyAt := max(start, d.FetchesDoneAt) + s.ImageGB*d.SecondsPerGB
		d.Images = append(d.Images, Held{s.Image, readyAt})
		d.FetchesDoneAt = readyAt
	}
}
