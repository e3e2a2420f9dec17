package core

import (
	"cmp"
	"slices"
)

// surplus is the capacity of a pool beyond its target, which may be returned to the cloud.
type surplus struct {
	cores         float64 // of all machines
	onDemandCores float64 // of on-demand machines
}

// surplusBeyond returns the capacity of a pool beyond two targets: targetCores for all machines,
// and onDemandTargetCores for on-demand machines, which work that may not run on spot instances
// needs.
func (c *Core) surplusBeyond(
	shard *Shard, typeSet uint64, targetCores, onDemandTargetCores float64,
) surplus {
	return surplus{
		c.fleetCores(shard, typeSet) - targetCores,
		c.onDemandFleetCores(shard, typeSet) - onDemandTargetCores,
	}
}

// consume subtracts the cores of one machine from the surplus. It returns false and changes nothing
// if the surplus is too small.
func (s *surplus) consume(cores float64, spot bool) bool {
	if s.cores < cores || !spot && s.onDemandCores < cores {
		return false
	}
	s.cores -= cores
	if !spot {
		s.onDemandCores -= cores
	}
	return true
}

// returnIdleHosts returns machines that have been idle for Tuning.ReturnIdleAfter or were emptied by
// consolidation, most expensive first, as far as the surplus allows. It reduces the surplus
// accordingly.
func (c *Core) returnIdleHosts(shard *Shard, typeSet uint64, excess *surplus) {
	for _, work := range shard.unplacedWork {
		if c.fittingTypeSet(work.job)&typeSet != 0 {
			return // the idle machines may be able to run the unplaced work
		}
	}
	var returned []*Host
	for _, host := range c.idleHosts(shard, typeSet) {
		if excess.consume(c.machineTypes[host.typeIndex].Capacity.Cores, host.spot) {
			returned = append(returned, host)
		}
	}
	if len(returned) > 0 {
		c.returnHosts(shard, returned)
	}
}

// idleHosts returns the idle machines of the given types that may be returned, most expensive per
// core first. A machine with a spot notice is not among them: returnReason handles it.
func (c *Core) idleHosts(shard *Shard, typeSet uint64) []*Host {
	var idle []*Host
	for _, host := range shard.sortedHosts() {
		if host.state != hostUp || !host.hasTypeIn(typeSet) || len(host.tasks) > 0 || host.reclaimAt != 0 {
			continue
		}
		if host.cordoned || c.now >= host.idleSince+c.cfg.Tuning.ReturnIdleAfter {
			idle = append(idle, host)
		}
	}
	price := func(host *Host) float64 {
		return c.pricePerCore(MachineKind{c.machineTypes[host.typeIndex].Name, host.spot})
	}
	slices.SortFunc(idle, func(a, b *Host) int {
		return cmp.Or(cmp.Compare(price(b), price(a)), cmp.Compare(a.name, b.name))
	})
	return idle
}
