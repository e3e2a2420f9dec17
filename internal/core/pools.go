package core

import (
	"math"

	"roadcleat/internal/model"
)

// A pool is the set of machine types that the same classes of jobs can use, as a bit mask. Room
// on one type of a pool is as good as on another; room in another pool may be useless to the
// work that waits. Demand, the backfill reserve and the fleet's size are kept by pool.

// coresTakenSteps is into how many steps coresTaken divides a core. Sums of such multiples of a
// power of two are exact, so they do not depend on the order of the summands.
const coresTakenSteps = 64

// pools groups the machine types by the classes of jobs seen lately that can use them.
func (c *Core) pools() []uint64 {
	var pools, users []uint64
next:
	for typ := range min(len(c.types), maxMachineTypes) {
		usedBy := c.classesUsing(typ)
		for i := range users {
			if users[i] == usedBy {
				pools[i] |= 1 << typ
				continue next
			}
		}
		pools, users = append(pools, 1<<typ), append(users, usedBy)
	}
	return pools
}

// classesUsing is the set of classes seen lately that can use a machine type, as a bit mask.
func (c *Core) classesUsing(typ int) uint64 {
	classes := uint64(0)
	for class, kinds := range c.typesByClass {
		if class < 64 && kinds.types&(1<<typ) != 0 && c.now < kinds.at+classRememberedFor {
			classes |= 1 << class
		}
	}
	return classes
}

// poolOf is the index of the pool that a machine type belongs to.
func poolOf(pools []uint64, typ int) int {
	for i, types := range pools {
		if types&(1<<typ) != 0 {
			return i
		}
	}
	return 0
}

// coresTaken is what a need takes of a machine of the type, in the machine's cores: the largest
// share that it takes of the machine's cores, GPUs or memory. Counted by cores alone, machines
// without a GPU left would seem to have room.
func (c *Core) coresTaken(need model.Resources, typ int) float64 {
	capacity, share := c.types[typ].Capacity, 0.0
	for _, pair := range [][2]float64{
		{need.Cores, capacity.Cores},
		{need.GPUs, capacity.GPUs},
		{need.MemoryGB, capacity.MemoryGB},
	} {
		if needed, available := pair[0], pair[1]; needed > 0 && available > 0 {
			share = max(share, needed/available)
		}
	}
	return max(math.Round(share*capacity.Cores*coresTakenSteps), 1) / coresTakenSteps
}

// capacity counts the cores of a shard's machines of the types given that are up, boot or are
// being rented.
func (c *Core) capacity(shard *Shard, types uint64) float64 {
	return c.onDemandCapacity(shard, types) + c.coresOf(shard, types, true)
}

// onDemandCapacity counts those of on-demand machines.
func (c *Core) onDemandCapacity(shard *Shard, types uint64) float64 {
	return c.coresOf(shard, types, false)
}

func (c *Core) coresOf(shard *Shard, types uint64, spot bool) float64 {
	sum := 0.0
	for _, host := range shard.hostList() {
		if host.isOfTypes(types) && host.spot == spot && host.staysInFleet() {
			sum += c.types[host.typeIndex].Capacity.Cores
		}
	}
	for _, rental := range shard.rentals {
		if types&(1<<rental.typeIndex) != 0 && rental.request.Spot == spot {
			sum += c.types[rental.typeIndex].Capacity.Cores * float64(rental.request.Count)
		}
	}
	return sum
}

// isOfTypes reports whether a machine's type is known and one of those given.
func (h *Host) isOfTypes(types uint64) bool {
	return h.typeIndex >= 0 && types&(1<<h.typeIndex) != 0
}

// staysInFleet reports whether a machine is up or boots, and nothing is known that will take
// it out of use.
func (h *Host) staysInFleet() bool {
	if h.reclaimedAt != 0 || h.faulty || h.leaseExpired {
		return false
	}
	return h.state == hostUp || h.state == hostBooting
}
