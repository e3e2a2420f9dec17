package core

import (
	"slices"
	"time"

	"roadcleat/internal/model"
)

// priorities is the number of priorities; 0 is the most urgent.
const priorities = 4

// backlogFresh is for how long the backlog of a shard owned here is used.
const backlogFresh = 500 * time.Millisecond

// computeBacklog is how long the shard's waiting work will keep its machines busy, by priority
// and by type of the pool it waits for. Without it a shard with a long queue would look as good
// to those who distribute jobs as one whose machines are just as busy but whose queue is empty.
// Replicas of services take room but do not pass through the machines: counted as an hour's
// work each, the shard with the most machines for other work would have the shortest queue.
func (c *Core) computeBacklog(shard *Shard) []Backlog {
	pools := c.pools()
	work := make([][priorities]float64, len(pools)) // in core seconds
	replicas := make([]float64, len(pools))         // in cores
	for _, id := range sorted(shard.assignments) {  // sums must not depend on a map's order
		assignment := shard.assignments[id]
		job := assignment.job
		if job.state != model.JobPending {
			continue
		}
		typ := c.usualType(job)
		if typ < 0 {
			continue
		}
		pool, cores := poolOf(pools, typ), c.coresTaken(job.spec.Need, typ)
		if job.spec.Service {
			replicas[pool] += float64(len(assignment.tasks)+c.startableTasks(assignment)) * cores
		} else if len(assignment.waiting) > 0 {
			priority := min(job.spec.Priority, priorities-1)
			work[pool][priority] += float64(c.startableTasks(assignment)) * cores * c.estimatedRunTime(job)
		}
	}
	var backlog []Backlog
	for pool, types := range pools {
		cores := c.capacity(shard, types) - replicas[pool]
		for t := range c.types {
			if types&(1<<t) != 0 {
				backlog = c.appendBacklog(backlog, shard, t, cores, work[pool])
			}
		}
	}
	return backlog
}

// appendBacklog adds the backlog of a machine type, whose pool has so many cores and so much
// work of each priority.
func (c *Core) appendBacklog(backlog []Backlog, shard *Shard, t int, cores float64, work [priorities]float64) []Backlog {
	machine := &c.types[t]
	rentable := 1.0 // machines that could be rented at once
	if slices.Contains(machine.Zones, shard.name) && !c.isExhausted(shard, MachineKind{machine.Name, true}) {
		rentable = imaginedHosts
	}
	for priority, coreSeconds := range work {
		if coreSeconds > 0 {
			wait := coreSeconds / max(cores, rentable*machine.Capacity.Cores)
			backlog = append(backlog, Backlog{machine.Name, priority, wait})
		}
	}
	return backlog
}

// queueSeconds is how long work of the priority given waits for each type of the shard's
// machines behind what is there already.
func (c *Core) queueSeconds(shard *Shard, priority int) []float64 {
	waits := make([]float64, len(c.types))
	var backlog []Backlog
	if shard.servedHere() {
		if shard.backlog == nil || c.now > shard.backlogAt+backlogFresh {
			shard.backlog, shard.backlogAt = c.computeBacklog(shard), c.now
		}
		backlog = shard.backlog
	} else if shard.view != nil {
		backlog = shard.view.Backlog
	}
	for _, b := range backlog {
		if typ := c.typeIndex.lookup(b.Type); typ >= 0 && b.Priority <= priority {
			waits[typ] += b.Seconds
		}
	}
	return waits
}
