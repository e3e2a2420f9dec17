package core

import (
	"cmp"
	"slices"

	"roadcleat/internal/model"
)

const (
	// contestedPriceFactor multiplies the price of a machine type for a job if another class of
	// jobs depends on that type.
	contestedPriceFactor = 1.6
	// maxTasksPerMachine is the upper limit of tasksPerMachine, which applies to tasks whose needs
	// are all 0.
	maxTasksPerMachine = 1 << 20
	// fitTolerance is by how much the sum of tasks' needs may exceed a machine's capacity because
	// of rounding errors, in cores, GPUs or GB.
	fitTolerance = 1e-6
	// minPricedCores is the lower limit of the divisor when a price per core is computed.
	minPricedCores = 0.01
)

// rentableKinds returns the kinds of machines (type, and spot or on-demand) that can be rented in
// the shard's zone, cheapest per core first. It excludes kinds that the cloud refused or granted
// only in part within the last exhaustedPeriod.
func (c *Core) rentableKinds(shard *Shard) []MachineKind {
	var kinds []MachineKind
	for _, machineType := range c.machineTypes {
		if !slices.Contains(machineType.Zones, shard.name) {
			continue
		}
		for _, spot := range []bool{true, false} {
			if kind := (MachineKind{machineType.Name, spot}); c.now >= shard.outOfCapacityUntil[kind] {
				kinds = append(kinds, kind)
			}
		}
	}
	slices.SortStableFunc(kinds, func(a, b MachineKind) int {
		return cmp.Compare(c.pricePerCore(a), c.pricePerCore(b))
	})
	return kinds
}

// cheapestRentableKind returns the rentable kind of machine with the lowest weighted price per core
// that can run the job's tasks, and whether there is one.
func (c *Core) cheapestRentableKind(shard *Shard, job *Job) (MachineKind, bool) {
	kinds := c.rentableKinds(shard)
	slices.SortStableFunc(kinds, func(a, b MachineKind) int {
		return cmp.Compare(c.weightedPricePerCore(job, a), c.weightedPricePerCore(job, b))
	})
	for _, kind := range kinds {
		typeIndex := c.typeNames.lookup(kind.Type)
		kindIndex := c.zoneKindIndex(shard.zone, typeIndex, kind.Spot)
		if c.tasksPerMachine(typeIndex, job.spec.TaskResources) > 0 && c.mayRunOn(job, kindIndex) {
			return kind, true
		}
	}
	return MachineKind{}, false
}

// pricePerCore returns the catalog's price of a kind of machine divided by its cores.
func (c *Core) pricePerCore(kind MachineKind) float64 {
	machineType := &c.machineTypes[c.typeNames.lookup(kind.Type)]
	price := machineType.PricePerHour
	if kind.Spot {
		price = machineType.SpotPricePerHour
	}
	return price / max(machineType.Capacity.Cores, minPricedCores)
}

// weightedPricePerCore returns a kind's price per core for a job. The price of machine types that
// another class of jobs depends on is multiplied by contestedPriceFactor.
func (c *Core) weightedPricePerCore(job *Job, kind MachineKind) float64 {
	if c.isContested(job, c.typeNames.lookup(kind.Type)) {
		return contestedPriceFactor * c.pricePerCore(kind)
	}
	return c.pricePerCore(kind)
}

// preferredMachineType returns the index of the cheapest machine type for a job by
// weightedPricePerCore, or -1 if no type can run its tasks. It ignores whether the cloud has such
// machines to rent.
func (c *Core) preferredMachineType(job *Job) int {
	cheapest, lowestPrice := -1, 0.0
	for typeIndex := range c.machineTypes {
		if c.fittingTypeSet(job)&(1<<typeIndex) == 0 {
			continue
		}
		price := c.weightedPricePerCore(job, MachineKind{c.machineTypes[typeIndex].Name, job.spec.Spot})
		if cheapest < 0 || price < lowestPrice {
			cheapest, lowestPrice = typeIndex, price
		}
	}
	return cheapest
}

// tasksPerMachine returns the number of tasks with the given need that fit on an empty machine of
// the type.
func (c *Core) tasksPerMachine(typeIndex int, need model.Resources) int {
	capacity := c.machineTypes[typeIndex].Capacity
	tasks := maxTasksPerMachine
	for _, pair := range [][2]float64{
		{capacity.Cores, need.Cores},
		{capacity.GPUs, need.GPUs},
		{capacity.MemoryGB, need.MemoryGB},
	} {
		if available, needed := pair[0], pair[1]; needed > 0 {
			tasks = min(tasks, clampTaskCount((available+fitTolerance)/needed))
		}
	}
	return tasks
}

// shardWithSpotHosts returns another shard that can rent spot instances of the given types when
// this shard could rent only on-demand ones, or nil if there is none. The wait in the queue of that
// shard must be shorter than the machine's boot time or than the wait here; of several shards, the
// one with the shortest wait is returned. The boot time is part of the condition because a shard
// whose machines are all booting has a long queue, and is nevertheless a good destination.
func (c *Core) shardWithSpotHosts(shard *Shard, typeSet uint64, priority int) *Shard {
	var best *Shard
	shortestWait, localWaits := 0.0, c.queueWaitSeconds(shard, priority)
	for _, other := range c.shards {
		if !c.canRentForOthers(shard, other) {
			continue
		}
		for typeIndex := range c.machineTypes {
			if typeSet&(1<<typeIndex) == 0 || !c.canRentSpot(other, typeIndex) {
				continue
			}
			wait := c.queueWaitSeconds(other, priority)[typeIndex]
			if wait < max(c.machineTypes[typeIndex].BootSeconds, localWaits[typeIndex]) &&
				(best == nil || wait < shortestWait) {
				best, shortestWait = other, wait
			}
		}
	}
	return best
}

// otherShardCanRentSpot reports whether any other shard can rent spot instances of the given types.
func (c *Core) otherShardCanRentSpot(shard *Shard, typeSet uint64) bool {
	for _, other := range c.shards {
		if !c.canRentForOthers(shard, other) {
			continue
		}
		for typeIndex := range c.machineTypes {
			if typeSet&(1<<typeIndex) != 0 && c.canRentSpot(other, typeIndex) {
				return true
			}
		}
	}
	return false
}

// canRentForOthers reports whether another shard can be expected to rent machines for work that is
// moved to it: this controller has a current view of the shard, and the shard's owner receives
// heartbeats from its workers.
func (c *Core) canRentForOthers(shard, candidate *Shard) bool {
	return candidate != shard && c.viewIsCurrent(candidate) && !c.reportsNoHeartbeats(candidate)
}

// canRentSpot reports whether spot instances of a type can be rented in a shard's zone.
func (c *Core) canRentSpot(shard *Shard, typeIndex int) bool {
	typeName := c.machineTypes[typeIndex].Name
	return slices.Contains(c.machineTypes[typeIndex].Zones, shard.name) &&
		!c.isOutOfCapacity(shard, MachineKind{typeName, true})
}
