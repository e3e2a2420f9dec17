package plan

import (
	"cmp"
	"slices"

	"roadcleat/internal/model"
)

// maxFreeFor bounds what FreeFor counts.
const maxFreeFor = 64

// Use is room that is taken from Start until End.
type Use struct {
	Start, End float64
	Amount     model.Resources
}

// Held is an image that a machine holds or fetches.
type Held struct {
	Image   int
	ReadyAt float64
}

// Device is one machine as the planner sees it.
type Device struct {
	Kind          int             // zone, machine type and kind as a dense index of the caller's
	Total         model.Resources // what the machine has
	UpAt          float64         // when it can first take work
	Uses          []Use           // by running and planned work
	Images        []Held
	FetchesDoneAt float64 // when the fetches queued there are through
	SecondsPerGB  float64 // of a fetch
	Slowdown      float64 // factor on run times; 1, or 0, for an ordinary machine
	Penalty       float64 // seconds added when machines are compared

	levels []level // computed from Uses; nil when these have changed
}

// level is what is in use from a moment until that of the next level.
type level struct {
	at   float64
	used model.Resources
}

func (d *Device) clone() *Device {
	c := *d
	c.Uses = append(make([]Use, 0, len(d.Uses)+4), d.Uses...)
	c.Images = append(make([]Held, 0, len(d.Images)+1), d.Images...)
	c.levels = nil
	return &c
}

// cost is what the choice of this device costs beside time, in seconds.
func (d *Device) cost(s *Step) float64 {
	if s.Cost == nil {
		return d.Penalty
	}
	return d.Penalty + s.Cost(d.Kind)
}

// FreeFor is how many tasks of a step the device can take at once from the moment given on, if
// it can take work by then.
func (d *Device) FreeFor(s *Step, from, by float64) int {
	if d.UpAt > by {
		return 0
	}
	free, tasks := d.Total.Minus(d.inUse(from)), 0
	for tasks < maxFreeFor && s.Need.FitsIn(free) {
		free = free.Minus(s.Need)
		tasks++
	}
	return tasks
}

// inUse sums what is in use at a moment.
func (d *Device) inUse(at float64) model.Resources {
	var sum model.Resources
	for _, use := range d.Uses {
		if use.Start <= at && at < use.End {
			sum = sum.Plus(use.Amount)
		}
	}
	return sum
}

// imageReadyAt is when the machine has an image, if it holds or fetches it.
func (d *Device) imageReadyAt(image int) (at float64, found bool) {
	for i := range d.Images {
		if d.Images[i].Image == image {
			return d.Images[i].ReadyAt, true
		}
	}
	return 0, false
}

// profile is what is in use over time, as levels in their order. It is computed once for all
// tasks that are tried on a machine: where machines hold dozens of tasks, summing up the uses for
// every moment took most of a large shard's planning time.
func (d *Device) profile() []level {
	if d.levels != nil {
		return d.levels
	}
	changes := make([]level, 0, 2*len(d.Uses)+1)
	for _, use := range d.Uses {
		freed := model.Resources{}.Minus(use.Amount)
		changes = append(changes, level{use.Start, use.Amount}, level{use.End, freed})
	}
	slices.SortFunc(changes, func(a, b level) int { return cmp.Compare(a.at, b.at) })
	// The levels are written over the changes; changes at the same moment make one level.
	count := 0
	var sum model.Resources
	for _, change := range changes {
		sum = sum.Plus(change.used)
		if count > 0 && changes[count-1].at == change.at {
			count--
		}
		changes[count] = level{change.at, sum}
		count++
	}
	d.levels = changes[:count]
	return d.levels
}
