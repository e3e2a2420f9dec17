package core

import (
	"cmp"
	"slices"

	"roadcleat/internal/model"
)

const (
	// contestedPriceFactor is by what factor a machine type counts as dearer for a job if
	// another class of jobs depends on it.
	contestedPriceFactor = 1.6
	// maxTasksPerMachine bounds how many tasks a machine is taken to hold.
	maxTasksPerMachine = 1 << 20
	// fitTolerance is by how much the sum of tasks' needs may exceed a machine's capacity, for
	// rounding errors.
	fitTolerance = 1e-6
	// minCores is what a machine counts with at least when its price per core is computed.
	minCores = 0.01
)

// offers lists the kinds of machines that may be rented in the shard's zone, cheapest per core
// first, without those that were lately refused.
func (c *Core) offers(shard *Shard) []MachineKind {
	var out []MachineKind
	for _, typ := range c.types {
		if !slices.Contains(typ.Zones, shard.name) {
			continue
		}
		for _, spot := range []bool{true, false} {
			if kind := (MachineKind{typ.Name, spot}); c.now >= shard.exhaustedUntil[kind] {
				out = append(out, kind)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b MachineKind) int {
		return cmp.Compare(c.pricePerCore(a), c.pricePerCore(b))
	})
	return out
}

// firstOfferFor is the cheapest kind of machine that may be rented for a job's tasks.
func (c *Core) firstOfferFor(shard *Shard, job *Job) (MachineKind, bool) {
	offers := c.offers(shard)
	slices.SortStableFunc(offers, func(a, b MachineKind) int {
		return cmp.Compare(c.priceFor(job, a), c.priceFor(job, b))
	})
	for _, offer := range offers {
		typ := c.typeIndex.lookup(offer.Type)
		kind := c.kindIndex(shard.zone, typ, offer.Spot)
		if c.tasksPerMachine(typ, job.spec.Need) > 0 && c.allowedOn(job, kind) {
			return offer, true
		}
	}
	return MachineKind{}, false
}

func (c *Core) pricePerCore(kind MachineKind) float64 {
	typ := &c.types[c.typeIndex.lookup(kind.Type)]
	price := typ.Price
	if kind.Spot {
		price = typ.SpotPrice
	}
	return price / max(typ.Capacity.Cores, minCores)
}

// priceFor is a kind's price per core for a job. Types that others depend on count as dearer.
func (c *Core) priceFor(job *Job, kind MachineKind) float64 {
	if c.contested(job, c.typeIndex.lookup(kind.Type)) {
		return contestedPriceFactor * c.pricePerCore(kind)
	}
	return c.pricePerCore(kind)
}

// usualType is the machine type that is rented for a job when there is a choice, or -1.
func (c *Core) usualType(job *Job) int {
	best, lowest := -1, 0.0
	for typ := range c.types {
		if c.typeSet(job)&(1<<typ) == 0 {
			continue
		}
		price := c.priceFor(job, MachineKind{c.types[typ].Name, job.spec.Spot})
		if best < 0 || price < lowest {
			best, lowest = typ, price
		}
	}
	return best
}

// tasksPerMachine is how many tasks with the need given an empty machine of the type holds.
func (c *Core) tasksPerMachine(typ int, need model.Resources) int {
	capacity := c.types[typ].Capacity
	tasks := maxTasksPerMachine
	for _, pair := range [][2]float64{
		{capacity.Cores, need.Cores},
		{capacity.GPUs, need.GPUs},
		{capacity.MemoryGB, need.MemoryGB},
	} {
		if available, needed := pair[0], pair[1]; needed > 0 {
			tasks = min(tasks, wholeTasks((available+fitTolerance)/needed))
		}
	}
	return tasks
}

// spotElsewhere is the shard that can rent spot machines of the types given where this one
// would have to take on-demand ones: the one with the shortest queue, if that ends before such
// a machine is up or is no longer than the queue here. It is nil if there is none. A shard
// whose machines all boot has a long queue and is still the place to go, hence the boot time.
func (c *Core) spotElsewhere(shard *Shard, types uint64, priority int) *Shard {
	var best *Shard
	least, here := 0.0, c.queueSeconds(shard, priority)
	for _, other := range c.shards {
		if !c.mayRentInstead(shard, other) {
			continue
		}
		for typ := range c.types {
			if types&(1<<typ) == 0 || !c.spotAvailable(other, typ) {
				continue
			}
			wait := c.queueSeconds(other, priority)[typ]
			if wait < max(c.types[typ].BootSeconds, here[typ]) && (best == nil || wait < least) {
				best, least = other, wait
			}
		}
	}
	return best
}

// spotAvailableElsewhere reports whether any other shard can rent spot machines of the types
// given.
func (c *Core) spotAvailableElsewhere(shard *Shard, types uint64) bool {
	for _, other := range c.shards {
		if !c.mayRentInstead(shard, other) {
			continue
		}
		for typ := range c.types {
			if types&(1<<typ) != 0 && c.spotAvailable(other, typ) {
				return true
			}
		}
	}
	return false
}

// mayRentInstead reports whether another shard can be expected to rent machines.
func (c *Core) mayRentInstead(shard, other *Shard) bool {
	return other != shard && c.viewIsCurrent(other) && !c.reportsNoHeartbeats(other)
}

// spotAvailable reports whether spot machines of a type may be rented in a shard's zone.
func (c *Core) spotAvailable(shard *Shard, typ int) bool {
	name := c.types[typ].Name
	return slices.Contains(c.types[typ].Zones, shard.name) && !c.isExhausted(shard, MachineKind{name, true})
}
