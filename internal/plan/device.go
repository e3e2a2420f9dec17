package plan

import (
	"cmp"
	"slices"

	"roadcleat/internal/model"
)

// maxFreeTaskSlots is the largest number of tasks that FreeTaskSlots returns.
const maxFreeTaskSlots = 64

// Allocation is an amount of resources that a running or planned task occupies from Start until
// End.
type Allocation struct {
	Start, End float64
	Amount     model.Resources
}

// CachedImage is an image that a machine has in its cache from ReadyAt on; before that it is
// being fetched.
type CachedImage struct {
	Image   int // dense index, as Step.Image
	ReadyAt float64
}

// Device is the planner's model of one machine: its capacity, its allocations and its image
// cache.
type Device struct {
	Kind           int             // the caller's dense index of zone, type and spot or on-demand
	Capacity       model.Resources // capacity of the whole machine
	UpAt           float64         // when the machine can first start tasks
	Allocations    []Allocation    // resources occupied by running and planned tasks
	CachedImages   []CachedImage   // images cached or being fetched
	FetchesDoneAt  float64         // when all queued image fetches are complete
	SecondsPerGB   float64         // time to fetch one GB of an image
	Slowdown       float64         // factor on run times; 1, or 0 if unset, for a machine of normal speed
	PenaltySeconds float64         // added to the finish time when machines are compared

	usageLevels []usageLevel // usageProfile's result; nil after Allocations has changed
}

// usageLevel is the amount of resources in use from startsAt until the start of the next level.
type usageLevel struct {
	startsAt float64
	used     model.Resources
}

// clone returns a deep copy with spare capacity for further allocations and one more image. The
// usage profile is computed anew for the copy.
func (d *Device) clone() *Device {
	copied := *d
	copied.Allocations = append(make([]Allocation, 0, len(d.Allocations)+4), d.Allocations...)
	copied.CachedImages = append(make([]CachedImage, 0, len(d.CachedImages)+1), d.CachedImages...)
	copied.usageLevels = nil
	return &copied
}

// costSeconds returns what choosing this device costs beyond the finish time, in seconds.
func (d *Device) costSeconds(step *Step) float64 {
	if step.CostSeconds == nil {
		return d.PenaltySeconds
	}
	return d.PenaltySeconds + step.CostSeconds(d.Kind)
}

// FreeTaskSlots returns how many tasks of a step, up to maxFreeTaskSlots, fit on the device at the
// time start. It is 0 if the device is not up at the time usableBy.
func (d *Device) FreeTaskSlots(step *Step, start, usableBy float64) int {
	if d.UpAt > usableBy {
		return 0
	}
	free, tasks := d.Capacity.Minus(d.usedAt(start)), 0
	for tasks < maxFreeTaskSlots && step.Need.FitsIn(free) {
		free = free.Minus(step.Need)
		tasks++
	}
	return tasks
}

// usedAt sums the resources in use at an instant.
func (d *Device) usedAt(instant float64) model.Resources {
	var used model.Resources
	for _, allocation := range d.Allocations {
		if allocation.Start <= instant && instant < allocation.End {
			used = used.Plus(allocation.Amount)
		}
	}
	return used
}

// imageReadyAt returns when an image is in the machine's cache. It reports false if the image is
// neither cached nor being fetched.
func (d *Device) imageReadyAt(image int) (readyAt float64, found bool) {
	for i := range d.CachedImages {
		if d.CachedImages[i].Image == image {
			return d.CachedImages[i].ReadyAt, true
		}
	}
	return 0, false
}

// usageProfile returns the resources in use over time as levels in order of their start. The
// profile is computed once for all tasks that are tried on a machine: where machines hold dozens
// of tasks, summing the allocations at each instant took most of the planning time of a large
// shard.
func (d *Device) usageProfile() []usageLevel {
	if d.usageLevels != nil {
		return d.usageLevels
	}
	changes := make([]usageLevel, 0, 2*len(d.Allocations)+1)
	for _, allocation := range d.Allocations {
		freed := model.Resources{}.Minus(allocation.Amount)
		changes = append(changes, usageLevel{allocation.Start, allocation.Amount}, usageLevel{allocation.End, freed})
	}
	slices.SortFunc(changes, func(a, b usageLevel) int { return cmp.Compare(a.startsAt, b.startsAt) })
	// The levels overwrite the changes in place. Changes at the same instant form one level.
	count := 0
	var used model.Resources
	for _, change := range changes {
		used = used.Plus(change.used)
		if count > 0 && changes[count-1].startsAt == change.startsAt {
			count--
		}
		changes[count] = usageLevel{change.startsAt, used}
		count++
	}
	d.usageLevels = changes[:count]
	return d.usageLevels
}
