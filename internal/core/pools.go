package core

import (
	"math"

	"roadcleat/internal/model"
)

// A pool is a set of machine types that can be used by exactly the same classes of jobs. Sets of
// machine types are bit masks of indices into Core.machineTypes. Free capacity on any type of a
// pool serves the same work; free capacity in another pool may be unusable for the work that waits.
// Demand, the backfill reserve and the size of the fleet are therefore computed for each pool.

// roundingStepsPerCore is the number of steps per core to which equivalentCores rounds. Sums of
// multiples of a power of two are exact, so a sum of rounded values does not depend on the order
// of its terms.
const roundingStepsPerCore = 64

// pools groups the machine types by the set of job classes that can use them. Only classes of which
// a job was planned within classTypesTTL are considered.
func (c *Core) pools() []uint64 {
	var pools, classesByPool []uint64
next:
	for typeIndex := range min(len(c.machineTypes), maxMachineTypes) {
		usedBy := c.classesUsing(typeIndex)
		for i := range classesByPool {
			if classesByPool[i] == usedBy {
				pools[i] |= 1 << typeIndex
				continue next
			}
		}
		pools, classesByPool = append(pools, 1<<typeIndex), append(classesByPool, usedBy)
	}
	return pools
}

// classesUsing returns the job classes, of which a job was planned within classTypesTTL, that can
// use a machine type, as a bit mask of class indices. Only the first 64 classes are considered.
func (c *Core) classesUsing(typeIndex int) uint64 {
	classes := uint64(0)
	for class, kinds := range c.machineTypesByClass {
		if class < 64 && kinds.types&(1<<typeIndex) != 0 && c.now < kinds.recordedAt+classTypesTTL {
			classes |= 1 << class
		}
	}
	return classes
}

// poolIndex returns the index of the pool that contains a machine type, or 0 if no pool does.
func poolIndex(pools []uint64, typeIndex int) int {
	for i, typeSet := range pools {
		if typeSet&(1<<typeIndex) != 0 {
			return i
		}
	}
	return 0
}

// equivalentCores returns the share of a machine that a task's resource need occupies, expressed in
// the cores of a machine of that type. The share is the largest of its shares of the machine's
// cores, GPUs and memory. If only cores were counted, a machine without free GPUs would appear to
// have capacity for tasks that need one.
func (c *Core) equivalentCores(need model.Resources, typeIndex int) float64 {
	capacity, share := c.machineTypes[typeIndex].Capacity, 0.0
	for _, pair := range [][2]float64{
		{need.Cores, capacity.Cores},
		{need.GPUs, capacity.GPUs},
		{need.MemoryGB, capacity.MemoryGB},
	} {
		if needed, available := pair[0], pair[1]; needed > 0 && available > 0 {
			share = max(share, needed/available)
		}
	}
	return max(math.Round(share*capacity.Cores*roundingStepsPerCore), 1) / roundingStepsPerCore
}

// fleetCores returns the total cores of a shard's machines of the given types that are up, booting or
// requested from the cloud.
func (c *Core) fleetCores(shard *Shard, typeSet uint64) float64 {
	return c.onDemandFleetCores(shard, typeSet) + c.spotOrOnDemandCores(shard, typeSet, true)
}

// onDemandFleetCores returns the part of fleetCores that on-demand machines provide.
func (c *Core) onDemandFleetCores(shard *Shard, typeSet uint64) float64 {
	return c.spotOrOnDemandCores(shard, typeSet, false)
}

// spotOrOnDemandCores returns the part of fleetCores that spot instances provide, or the part that
// on-demand machines provide.
func (c *Core) spotOrOnDemandCores(shard *Shard, typeSet uint64, spot bool) float64 {
	sum := 0.0
	for _, host := range shard.sortedHosts() {
		if host.hasTypeIn(typeSet) && host.spot == spot && host.staysInFleet() {
			sum += c.machineTypes[host.typeIndex].Capacity.Cores
		}
	}
	for _, rental := range shard.rentals {
		if typeSet&(1<<rental.typeIndex) != 0 && rental.request.Spot == spot {
			sum += c.machineTypes[rental.typeIndex].Capacity.Cores * float64(rental.request.Count)
		}
	}
	return sum
}

// hasTypeIn reports whether the host's machine type is in the given set of types. It is false while
// the type is unknown.
func (h *Host) hasTypeIn(typeSet uint64) bool {
	return h.typeIndex >= 0 && typeSet&(1<<h.typeIndex) != 0
}

// staysInFleet reports whether a host is up or booting and expected to remain usable: it has no
// spot notice, is not faulty and its worker's lease has not expired.
func (h *Host) staysInFleet() bool {
	if h.reclaimAt != 0 || h.faulty || h.leaseExpired {
		return false
	}
	return h.state == hostUp || h.state == hostBooting
}
