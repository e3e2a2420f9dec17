package core

import (
	"time"

	"roadcleat/internal/model"
)

// Backfill is work beyond its team's guarantee: all jobs of teams without a guarantee, and jobs
// of the lowest priority when their team uses all of its guarantee. Backfill uses capacity that
// other work leaves idle. Capacity that other work probably needs again, judging by recent
// demand, is reserved. On-demand machines are not rented for backfill, and where other work still
// lacks capacity, backfill tasks that lose little work are preempted. Without these rules, long
// tasks submitted in a quiet hour occupy the machines, and every later peak of urgent work waits
// for them.

const (
	// minBackfillRatio is the share of a pool's cores that is never reserved, whatever the demand
	// of other work, so that small backfill jobs need not wait for a quiet hour.
	minBackfillRatio = 1.0 / 16
	// maxBackfillWait is how long a backfill job may have no task on a machine, because capacity
	// is reserved, before some of its tasks may use reserved capacity.
	maxBackfillWait = time.Minute
	// maxOverdueBackfillTasks is the maximum number of tasks of such a job that start at a time.
	maxOverdueBackfillTasks = 4
	// noBackfillCapacityPenaltySeconds is added to the queue cost of a shard without capacity for
	// a backfill job's task when the job is distributed.
	noBackfillCapacityPenaltySeconds = 30.0
	// backfillCapacityTTL is how long a shard's computed capacity for backfill is cached.
	backfillCapacityTTL = 500 * time.Millisecond
)

// updateGuarantees records which teams use less than their guarantee of cores or GPUs.
func (c *Core) updateGuarantees() {
	for team := range c.teamConfigs {
		used, guarantee := c.teamUsage(team), c.teamConfigs[team].Guarantee
		c.isUnderGuarantee[team] = used.Cores < guarantee.Cores || used.GPUs < guarantee.GPUs
	}
}

// isBackfill reports whether a job is backfill at the current usage of its team.
func (c *Core) isBackfill(job *Job) bool {
	if job.team < 0 {
		return false
	}
	if c.teamConfigs[job.team].Guarantee == (model.Resources{}) {
		return true
	}
	return job.spec.Priority == priorityCount-1 && !c.isUnderGuarantee[job.team]
}

// backfillReserve is the capacity reserved for work that is not backfill.
type backfillReserve struct {
	pools []uint64  // the machine types of each pool, as bit masks
	cores []float64 // reserved cores by pool
}

// computeBackfillCapacity returns the cores that backfill may still take of the shard's machines,
// by pool: the total, minus the larger of the cores used by other work and the reserve, minus the
// cores used by backfill.
func (c *Core) computeBackfillCapacity(shard *Shard) []float64 {
	reserve := &shard.backfillReserve
	total := make([]float64, len(reserve.pools))
	backfill := make([]float64, len(reserve.pools))
	otherWork := make([]float64, len(reserve.pools))
	for _, host := range shard.sortedHosts() {
		if !host.isPlannable(c.now) || host.state != hostUp {
			continue
		}
		pool := poolIndex(reserve.pools, host.typeIndex)
		total[pool] += c.machineTypes[host.typeIndex].Capacity.Cores
		for _, task := range host.tasks {
			coresUsed := c.equivalentCores(task.resources, host.typeIndex)
			if job := task.job(); job != nil && c.isBackfill(job) {
				backfill[pool] += coresUsed
			} else {
				otherWork[pool] += coresUsed
			}
		}
	}
	capacity := make([]float64, len(total))
	for pool := range capacity {
		reserved := max(otherWork[pool], min(reserve.cores[pool], total[pool]*(1-minBackfillRatio)))
		capacity[pool] = total[pool] - reserved - backfill[pool]
	}
	return capacity
}

// backfillCandidates returns the machines in pools with capacity left for at least one task of a
// backfill job, and the number of tasks that all pools together may take.
func (c *Core) backfillCandidates(
	reserve *backfillReserve, job *Job, candidates []device, capacityLeft []float64,
) (fitting []device, maxTasks int) {
	for _, candidate := range candidates {
		typeIndex := candidate.host.typeIndex
		if capacityLeft[poolIndex(reserve.pools, typeIndex)] >= c.equivalentCores(job.spec.TaskResources, typeIndex) {
			fitting = append(fitting, candidate)
		}
	}
	for pool, poolCapacity := range capacityLeft {
		for typeIndex := range c.machineTypes {
			if poolIndex(reserve.pools, typeIndex) == pool && poolCapacity > 0 {
				maxTasks += clampTaskCount(poolCapacity / c.equivalentCores(job.spec.TaskResources, typeIndex))
				break
			}
		}
	}
	return fitting, maxTasks
}

// backfillCapacityOn returns the cores that backfill may still take of a shard's machines in the
// pool of a machine type: for a shard owned here as computed within backfillCapacityTTL, else
// according to the owner's newest gossip.
func (c *Core) backfillCapacityOn(shard *Shard, typeIndex int) float64 {
	if !shard.isServedHere() {
		if shard.view == nil {
			return 0
		}
		return shard.view.BackfillCores[c.machineTypes[typeIndex].Name]
	}
	if shard.backfillReserve.pools == nil {
		return 0
	}
	if shard.backfillCapacity == nil || c.now > shard.backfillCapacityAt+backfillCapacityTTL {
		shard.backfillCapacity, shard.backfillCapacityAt = c.computeBackfillCapacity(shard), c.now
	}
	return shard.backfillCapacity[poolIndex(shard.backfillReserve.pools, typeIndex)]
}

// mustLeaveReserve reports whether an assignment belongs to a backfill job that must not use
// reserved capacity. A job first observed more than overdueAfter ago may use it, but is still
// planned after all other work.
func (c *Core) mustLeaveReserve(assignment *Assignment) bool {
	return c.isBackfill(assignment.job) && !c.isOverdue(assignment) && !c.hasWaitedTooLong(assignment) &&
		c.now <= assignment.job.firstSeenAt+overdueAfter
}

// hasWaitedTooLong reports whether a backfill job has had no task on a machine of this shard for
// longer than maxBackfillWait, so that some of its tasks may use reserved capacity. The time is
// measured from the first observation of the job and includes time spent in other shards: a job
// moved for lack of capacity would otherwise wait anew in each shard.
func (c *Core) hasWaitedTooLong(assignment *Assignment) bool {
	return len(assignment.tasks) == 0 && c.now > max(assignment.job.firstSeenAt, assignment.lastExitAt)+maxBackfillWait
}
