package core

import (
	"slices"
	"time"

	"roadcleat/internal/model"
)

// priorityCount is the number of job priorities; 0 is the most urgent.
const priorityCount = 4

// backlogMaxAge is how long the computed backlog of a shard owned here is reused.
const backlogMaxAge = 500 * time.Millisecond

// computeBacklog returns how long the shard's waiting work will keep its machines busy, by
// priority and by the machine types of the pool that the work waits for. Without the backlog, a
// shard with a long queue would look as good for new jobs as an equally busy shard with an
// empty queue.
//
// Replicas of services reduce the pool's capacity instead of adding work, because they do not
// end: if each were counted as an hour of work, the shard with the most machines for other work
// would appear to have the shortest queue.
func (c *Core) computeBacklog(shard *Shard) []Backlog {
	pools := c.pools()
	workCoreSeconds := make([][priorityCount]float64, len(pools)) // waiting work by pool and priority
	replicaCores := make([]float64, len(pools))                   // cores for service replicas by pool
	for _, id := range sortedKeys(shard.assignments) {            // in a fixed order: floating-point sums depend on it
		assignment := shard.assignments[id]
		job := assignment.job
		if job.state != model.JobPending {
			continue
		}
		typ := c.preferredMachineType(job)
		if typ < 0 {
			continue
		}
		pool, cores := poolIndex(pools, typ), c.equivalentCores(job.spec.TaskResources, typ)
		if job.spec.Service {
			replicaCores[pool] += float64(len(assignment.tasks)+c.startableTaskCount(assignment)) * cores
		} else if len(assignment.waiting) > 0 {
			priority := min(job.spec.Priority, priorityCount-1)
			workCoreSeconds[pool][priority] += float64(c.startableTaskCount(assignment)) * cores * c.estimatedRunSeconds(job)
		}
	}
	var backlog []Backlog
	for pool, types := range pools {
		cores := c.fleetCores(shard, types) - replicaCores[pool]
		for t := range c.machineTypes {
			if types&(1<<t) != 0 {
				backlog = c.appendBacklog(backlog, shard, t, cores, workCoreSeconds[pool])
			}
		}
	}
	return backlog
}

// appendBacklog adds the backlog of machine type t, whose pool has the given cores and the
// given waiting work by priority, in core seconds.
func (c *Core) appendBacklog(backlog []Backlog, shard *Shard, t int, poolCores float64, workCoreSeconds [priorityCount]float64) []Backlog {
	machine := &c.machineTypes[t]
	rentableHosts := 1.0 // hosts that could be rented at the same time
	if slices.Contains(machine.Zones, shard.name) && !c.isOutOfCapacity(shard, MachineKind{machine.Name, true}) {
		rentableHosts = rentableHostsPerKind
	}
	for priority, coreSeconds := range workCoreSeconds {
		if coreSeconds > 0 {
			waitSeconds := coreSeconds / max(poolCores, rentableHosts*machine.Capacity.Cores)
			backlog = append(backlog, Backlog{machine.Name, priority, waitSeconds})
		}
	}
	return backlog
}

// queueWaitSeconds returns, for each machine type of the shard, how long new work of the given
// priority would wait behind the work that is queued already.
func (c *Core) queueWaitSeconds(shard *Shard, priority int) []float64 {
	waits := make([]float64, len(c.machineTypes))
	var backlog []Backlog
	if shard.isServedHere() {
		if shard.backlog == nil || c.now > shard.backlogAt+backlogMaxAge {
			shard.backlog, shard.backlogAt = c.computeBacklog(shard), c.now
		}
		backlog = shard.backlog
	} else if shard.view != nil {
		backlog = shard.view.Backlog
	}
	for _, b := range backlog {
		if typ := c.typeNames.lookup(b.Type); typ >= 0 && b.Priority <= priority {
			waits[typ] += b.Seconds
		}
	}
	return waits
}
