package core

import (
	"maps"
	"math"
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

const (
	// grantGrowthDivisor sets how far a grant grows beyond the resources in use: by the team's
	// limit divided by it, so that not every placement changes the key.
	grantGrowthDivisor = 16
	// idleGrantDivisor sets how far a grant may exceed the resources in use for long: by the
	// team's limit divided by it.
	idleGrantDivisor = 8
	// idleGrantTimeout is how long a grant must have been idle before it is reduced without a
	// request.
	idleGrantTimeout = 8 * time.Second
	// grantRequestInterval is the minimum interval between requests for grants of a team, and
	// grantRequestMaxAge is how long a received request is respected.
	grantRequestInterval = time.Second
	grantRequestMaxAge   = 3 * time.Second
	// maxYieldTime is how long an assignment yields all its quota headroom to requests of other
	// shards. Then it may use the headroom once: the requested tasks may never fit into it, as
	// tasks of 3 cores do not fit into 2 free cores, and no job may wait forever while quota is
	// free.
	maxYieldTime = 45 * time.Second
)

// Components of a grantRank. An overdue job ranks above every priority, and a priority above
// every age.
const (
	// overdueBaseRank is added to the age in seconds of an overdue job.
	overdueBaseRank = 1e6
	// rankPerPriority is the difference in rank between two priorities.
	rankPerPriority = 1e4
	// rankMarginSeconds is the difference in rank, in seconds of age, below which a request is
	// not yielded to. It keeps two shards with work of about the same age from yielding to each
	// other in turn.
	rankMarginSeconds = 5
)

// grantRank returns the rank of an assignment's waiting work for grants. It matches the order
// in which readyAssignments offers hosts: overdue jobs first, then by priority, then by age.
func (c *Core) grantRank(assignment *Assignment) float64 {
	age := toSeconds(c.now - assignment.job.firstSeenAt)
	if c.isOverdue(assignment) {
		return overdueBaseRank + age
	}
	return float64(priorityCount-assignment.job.spec.Priority)*rankPerPriority + age
}

// headroomAfterRequests returns how many tasks of an assignment may start now when the team has
// headroom for the given number. Headroom is yielded to requests of other shards whose work ranks
// higher. Otherwise shards with a constant supply of work would hold a team's limit forever, and
// work in a shard without a grant would never start. After maxYieldTime the assignment may use
// all the headroom.
func (c *Core) headroomAfterRequests(assignment *Assignment, headroom int) int {
	job := assignment.job
	if headroom == 0 || job.spec.TaskResources.Cores <= 0 {
		// yieldingGrantSince is kept: headroom that comes and goes counts as yielded throughout.
		return headroom
	}
	requestedCores, rank := 0.0, c.grantRank(assignment)
	for _, request := range c.quotas[job.team].grantRequests {
		if c.now < request.receivedAt+grantRequestMaxAge && request.Rank > rank+rankMarginSeconds {
			requestedCores += request.Cores
		}
	}
	if remaining := headroom - clampTaskCount(math.Ceil(requestedCores/job.spec.TaskResources.Cores)); remaining > 0 {
		assignment.yieldingGrantSince = 0
		return remaining
	}
	if assignment.yieldingGrantSince == 0 {
		assignment.yieldingGrantSince = c.now
	}
	if c.now < assignment.yieldingGrantSince+maxYieldTime {
		return 0
	}
	return headroom
}

// grownGrants returns the team's grants with the shard's grant increased to cover its use plus
// the growth margin, as far as the team's limit allows. It returns false if the grant is large
// enough already.
func (c *Core) grownGrants(shard *Shard, team int) (records.Grants, bool) {
	quota, limit := c.quotas[team], c.teamConfigs[team].Limit
	grant, used, sum := quota.grants[shard.name], shard.teamUsage[team], quota.grants.Sum()
	if withinGrant(limit, used, quota.reliableGrant(shard.name)) {
		return nil, false
	}
	grown := grant
	if limit.Cores > 0 && used.Cores > grant.Cores {
		grown.Cores = min(used.Cores+limit.Cores/grantGrowthDivisor, grant.Cores+limit.Cores-sum.Cores)
	}
	if limit.GPUs > 0 && used.GPUs > grant.GPUs {
		grown.GPUs = min(used.GPUs+limit.GPUs/grantGrowthDivisor, grant.GPUs+limit.GPUs-sum.GPUs)
	}
	next := maps.Clone(quota.grants) // never nil, since the grants are usable
	next[shard.name] = grown
	return next, true
}

// fitsGrant reports whether the shard's placed tasks and planned placements of a team fit into
// its grant, or into the grant as it will grow in the pending transaction.
func (c *Core) fitsGrant(shard *Shard, team int, pending *pendingTxn) bool {
	quota, used, limit := c.quotas[team], shard.teamUsage[team], c.teamConfigs[team].Limit
	if limit == (model.Resources{}) {
		return true
	}
	if !quota.isUsable() {
		return false
	}
	grants, ok := pending.quotas[quota]
	if !ok {
		if grants, ok = c.grownGrants(shard, team); !ok {
			return true
		}
	}
	return withinGrant(limit, used, grants[shard.name])
}

// reduceIdleGrant reduces the shard's grant of a team to the resources in use: immediately if
// another shard requests it, otherwise after idleGrantTimeout. It reports whether it sent the
// transaction.
func (c *Core) reduceIdleGrant(shard *Shard, team int, immediately bool) bool {
	quota := c.quotas[team]
	if c.teamConfigs[team].Limit == (model.Resources{}) {
		return false // a team without a limit has no grants
	}
	if !quota.isUsable() {
		c.readQuota(quota)
		return false
	}
	if quota.readPending || shard.isBusy() {
		return false
	}
	needed := quota.reductionTo(shard.name, c.neededGrant(shard, team))
	if !c.isGrantIdle(shard, team, needed, immediately) {
		return false
	}
	next := maps.Clone(quota.grants) // never nil, since the grants are usable
	next[shard.name] = needed
	if needed.Cores <= amountTolerance && needed.GPUs <= amountTolerance {
		delete(next, shard.name)
	}
	quota.noteReduction(shard.name, next[shard.name])
	pending := newPendingTxn(shard)
	pending.putGrants(quota, next)
	c.sendTxn(pending)
	return true
}

// neededGrant returns the shard's use of a team's limit, in each resource that the limit
// restricts.
func (c *Core) neededGrant(shard *Shard, team int) records.Grant {
	used, limit := shard.teamUsage[team], c.teamConfigs[team].Limit
	var needed records.Grant
	if limit.Cores > 0 {
		needed.Cores = used.Cores
	}
	if limit.GPUs > 0 {
		needed.GPUs = used.GPUs
	}
	return needed
}

// isGrantIdle reports whether the shard's grant is to be reduced: if immediately is set, when
// it exceeds the needed grant at all; otherwise when it has exceeded it by more than the limit
// divided by idleGrantDivisor for idleGrantTimeout.
func (c *Core) isGrantIdle(shard *Shard, team int, needed records.Grant, immediately bool) bool {
	quota, limit := c.quotas[team], c.teamConfigs[team].Limit
	grant := quota.grants[shard.name]
	idleCores, idleGPUs := grant.Cores-needed.Cores, grant.GPUs-needed.GPUs
	if quota.idleSince == nil {
		quota.idleSince = map[string]time.Duration{}
	}
	if idleCores <= amountTolerance && idleGPUs <= amountTolerance ||
		!immediately && idleCores <= limit.Cores/idleGrantDivisor && idleGPUs <= limit.GPUs/idleGrantDivisor {
		delete(quota.idleSince, shard.name)
		return false
	}
	if _, idle := quota.idleSince[shard.name]; !idle {
		quota.idleSince[shard.name] = c.now
	}
	if !immediately && c.now < quota.idleSince[shard.name]+idleGrantTimeout {
		return false
	}
	delete(quota.idleSince, shard.name)
	return true
}

// requestGrants requests grants of the assignment's team from the other shards, and reads the
// team's quota record: released grants are broadcast, but messages can be lost.
func (c *Core) requestGrants(assignment *Assignment) {
	team, need := assignment.job.team, assignment.job.spec.TaskResources
	quota := c.quotas[team]
	if c.now < quota.nextRequestAt {
		return
	}
	quota.nextRequestAt = c.now + grantRequestInterval
	// Reduce the grants of this controller's own shards first: they cannot release anything
	// while the quota record is being read, so an owner of several shards would keep the team's
	// work waiting forever.
	for _, shard := range c.shards {
		if shard.isServedHere() && c.reduceIdleGrant(shard, team, true) {
			return
		}
	}
	c.readQuota(quota)
	wanted := float64(c.startableTaskCount(assignment)) * need.Cores
	cores := min(wanted, max(c.teamConfigs[team].Limit.Cores/idleGrantDivisor, need.Cores))
	c.broadcast(Message{GrantRequests: []GrantRequest{{quota.team, cores, c.grantRank(assignment)}}})
}
