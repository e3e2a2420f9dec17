// Package plan is the dynamic programme that places a pipeline of dependent
// steps on machines so that its last task ends as early as can be. It is
// pure: it sees a picture of the machines and returns a schedule.
package plan

import (
	"cmp"
	"roadcleat/internal/model"
	"slices"
)

// Use is room taken from Start until End, in seconds.
type Use struct {
	Start, End float64
	Amount     model.Resources
}

// Held is an image of a machine and when it is there.
type Held struct {
	Image int
	At    float64
}

// Device is one machine as the programme sees it.
type Device struct {
	Kind    int             // machine type, zone and kind as a dense index of the caller's
	Total   model.Resources // what the machine has
	Up      float64         // when it can first take work
	Uses    []Use           // room taken by running and planned work
	Images  []Held          // images there or being fetched
	FetchAt float64         // when the fetches queued there are through
	SPerGB  float64         // seconds to fetch one GB
	Slow    float64         // factor on run times, 1 for an ordinary machine
	Penalty float64         // seconds added when choices are compared, for cost

	levels []level // of Uses, nil when they have changed
}

// level is what is in use from a moment until the next level's.
type level struct {
	at   float64
	used model.Resources
}

// cost is what the choice of this device costs beside time, in seconds.
func (d *Device) cost(s *Step) float64 {
	if s.Cost == nil {
		return d.Penalty
	}
	return d.Penalty + s.Cost(d.Kind)
}

func (d *Device) clone() *Device {
	c := *d
	c.Uses = append(make([]Use, 0, len(d.Uses)+4), d.Uses...)
	c.Images = append(make([]Held, 0, len(d.Images)+1), d.Images...)
	c.levels = nil
	return &c
}

// has says when the machine has an image, if it holds or fetches it.
func (d *Device) has(image int) (float64, bool) {
	for i := range d.Images {
		if d.Images[i].Image == image {
			return d.Images[i].At, true
		}
	}
	return 0, false
}

// profile is what is in use over time, as levels in their order. Working it out
// once for all that is tried on a machine matters where machines hold dozens of
// tasks: summing the uses up for each moment took most of a large part's time.
func (d *Device) profile() []level {
	if d.levels != nil {
		return d.levels
	}
	out := make([]level, 0, 2*len(d.Uses)+1)
	for _, u := range d.Uses {
		out = append(out, level{u.Start, u.Amount}, level{u.End, model.Resources{}.Minus(u.Amount)})
	}
	slices.SortFunc(out, func(a, b level) int { return cmp.Compare(a.at, b.at) })
	n := 0
	var sum model.Resources
	for _, l := range out {
		sum = sum.Plus(l.used)
		if n > 0 && out[n-1].at == l.at {
			n--
		}
		out[n] = level{l.at, sum}
		n++
	}
	d.levels = out[:n]
	return d.levels
}

// inUse sums what is in use at time t.
func (d *Device) inUse(t float64) model.Resources {
	var sum model.Resources
	for _, u := range d.Uses {
		if u.Start <= t && t < u.End {
			sum = sum.Plus(u.Amount)
		}
	}
	return sum
}

// Placement is one task on one device.
type Placement struct {
	Step, Task, Device int
	Start              float64 // when it takes its room (and its fetch begins)
	Finish             float64
}

// FreeFor is how many tasks of a step the device can take at once from the time
// given on, if it can be used by then.
func (d *Device) FreeFor(s *Step, from, by float64) int {
	if d.Up > by {
		return 0
	}
	free, n := d.Total.Minus(d.inUse(from)), 0
	for n < 64 && s.Need.FitsIn(free) {
		free, n = free.Minus(s.Need), n+1
	}
	return n
}

// try finds the earliest placement of a task on the device:
// finish = max(avail, ready) + comp, where avail is when there is room and the
// image is there, fetches already queued on the machine included.
func (d *Device) try(s *Step, ready float64) (start, finish float64, ok bool) {
	if !s.Need.FitsIn(d.Total) {
		return 0, 0, false
	}
	t := max(ready, d.Up)
	levels := d.profile()
	i := -1 // the level at t; before the first nothing is in use
	for i+1 < len(levels) && levels[i+1].at <= t {
		i++
	}
	room := func(i int) bool { return i < 0 || s.Need.Plus(levels[i].used).FitsIn(d.Total) }
	for {
		end := d.endFrom(s, t)
		full := i // the first level without room before the end
		for full < len(levels) && room(full) {
			if full++; full < len(levels) && levels[full].at >= end {
				full = len(levels)
			}
		}
		if full == len(levels) {
			return t, end, true
		}
		for i = full + 1; i < len(levels) && !room(i); i++ {
		}
		if i == len(levels) {
			return 0, 0, false // not so: after the last use all is free
		}
		t = levels[i].at
	}
}

// endFrom is when a task ends that takes its room at t.
func (d *Device) endFrom(s *Step, t float64) float64 {
	avail := t
	if s.Image >= 0 {
		if at, has := d.has(s.Image); has {
			avail = max(avail, at)
		} else {
			avail = max(avail, d.FetchAt) + s.ImageGB*d.SPerGB
		}
	}
	if d.Slow > 0 {
		return avail + s.Comp*d.Slow
	}
	return avail + s.Comp
}

// bound is a time before which no task of s can end on the device, at a
// fraction of the cost of try. It is false when a task never fits.
func (d *Device) bound(s *Step, ready float64) (float64, bool) {
	if !s.Need.FitsIn(d.Total) {
		return 0, false
	}
	from := max(ready, d.Up)
	next := -1.0 // the first moment at which room is given back
	var used model.Resources
	for i := range d.Uses {
		if u := &d.Uses[i]; u.Start <= from && from < u.End {
			used = used.Plus(u.Amount)
			if next < 0 || u.End < next {
				next = u.End
			}
		}
	}
	if !used.Plus(s.Need).FitsIn(d.Total) {
		from = next
	}
	return d.endFrom(s, from), true
}

// place books a placement on the device.
func (d *Device) place(s *Step, start, finish float64) {
	d.Uses = append(d.Uses, Use{start, finish, s.Need})
	d.levels = nil
	if s.Image < 0 {
		return
	}
	if _, has := d.has(s.Image); !has {
		at := max(start, d.FetchAt) + s.ImageGB*d.SPerGB
		d.Images = append(d.Images, Held{s.Image, at})
		d.FetchAt = at
	}
}
