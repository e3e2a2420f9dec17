package core

import (
	"cmp"
	"slices"
)

// surplus is how many cores of a pool's machines may be returned.
type surplus struct {
	cores    float64 // of all machines
	onDemand float64 // of the on-demand machines
}

// surplusOf is what a pool has beyond the cores that recent demand needs: of all its machines,
// and of the on-demand ones that work which may use no others needs.
func (c *Core) surplusOf(shard *Shard, types uint64, target, onDemand float64) surplus {
	return surplus{c.capacity(shard, types) - target, c.onDemandCapacity(shard, types) - onDemand}
}

// take uses up the surplus for one machine and reports whether there was enough of it.
func (s *surplus) take(cores float64, spot bool) bool {
	if s.cores < cores || !spot && s.onDemand < cores {
		return false
	}
	s.cores -= cores
	if !spot {
		s.onDemand -= cores
	}
	return true
}

// returnIdleHosts returns machines that have been idle for a while or were emptied for it,
// dearest first, as far as the surplus allows.
func (c *Core) returnIdleHosts(shard *Shard, types uint64, over *surplus) {
	for _, work := range shard.unplaced {
		if c.typeSet(work.job)&types != 0 {
			return // it may be placed there yet
		}
	}
	var returned []*Host
	for _, host := range c.idleHosts(shard, types) {
		if over.take(c.types[host.typeIndex].Capacity.Cores, host.spot) {
			returned = append(returned, host)
		}
	}
	if len(returned) > 0 {
		c.returnHosts(shard, returned)
	}
}

// idleHosts lists the machines of the types given that may be returned, dearest first.
func (c *Core) idleHosts(shard *Shard, types uint64) []*Host {
	var idle []*Host
	for _, host := range shard.hostList() {
		if host.state != hostUp || !host.isOfTypes(types) || len(host.tasks) > 0 || host.reclaimedAt != 0 {
			continue
		}
		if host.cordoned || c.now >= host.idleSince+c.cfg.Tuning.KeepIdle {
			idle = append(idle, host)
		}
	}
	price := func(host *Host) float64 {
		return c.pricePerCore(MachineKind{c.types[host.typeIndex].Name, host.spot})
	}
	slices.SortFunc(idle, func(a, b *Host) int {
		return cmp.Or(cmp.Compare(price(b), price(a)), cmp.Compare(a.name, b.name))
	})
	return idle
}
