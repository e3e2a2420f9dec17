package core

import (
	"maps"
	"math"
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

const (
	// growthShare is the share of a team's limit by which a grant grows beyond what is used,
	// so that not every placement changes the key.
	growthShare = 16
	// idleShare is the share of a team's limit that a grant may exceed its use by for long.
	idleShare = 8
	// idleFor is how long a grant must have been idle to be reduced unasked.
	idleFor = 8 * time.Second
	// requestInterval is how often grants of a team are asked for, and requestFresh how long
	// such a request counts.
	requestInterval = time.Second
	requestFresh    = 3 * time.Second
	// longestYield is how long all room of an assignment is left to other shards' requests.
	// Then it takes room once: what they asked for may never fit into it, as tasks of 3 cores
	// do not into 2, and no job may wait for ever beside room.
	longestYield = 45 * time.Second
)

// The parts of a grantRank. An overdue job ranks above every priority, and a priority above
// every age.
const (
	overdueRank  = 1e6
	priorityRank = 1e4
	// rankMargin keeps two shards with work of about the same age from yielding to each other
	// in turn.
	rankMargin = 5
)

// grantRank orders waiting work for grants as readyAssignments orders it for machines: overdue
// jobs first, then by priority, then by age.
func (c *Core) grantRank(assignment *Assignment) float64 {
	age := seconds(c.now - assignment.job.knownSince)
	if c.isOverdue(assignment) {
		return overdueRank + age
	}
	return float64(priorities-assignment.job.spec.Priority)*priorityRank + age
}

// roomBesideRequests is how many tasks of an assignment may start now where the team has room
// for n. What other shards asked for work that ranks higher is left to them as it becomes
// free: shards whose own work never ends would otherwise hold a team's limit for ever, and
// work in a shard without a grant would never start.
func (c *Core) roomBesideRequests(assignment *Assignment, n int) int {
	job := assignment.job
	if n == 0 || job.spec.Need.Cores <= 0 {
		return n // room that comes and goes counts as left all the while
	}
	left, rank := 0.0, c.grantRank(assignment)
	for _, request := range c.quotas[job.team].requests {
		if c.now < request.at+requestFresh && request.Rank > rank+rankMargin {
			left += request.Cores
		}
	}
	if rest := n - wholeTasks(math.Ceil(left/job.spec.Need.Cores)); rest > 0 {
		assignment.yieldingSince = 0
		return rest
	}
	if assignment.yieldingSince == 0 {
		assignment.yieldingSince = c.now
	}
	if c.now < assignment.yieldingSince+longestYield {
		return 0
	}
	return n
}

// grownGrants returns the team's grants with the shard's large enough for what it uses, in
// chunks, or false when it is large enough already.
func (c *Core) grownGrants(shard *Shard, team int) (records.Grants, bool) {
	quota, limit := c.quotas[team], c.teamConfigs[team].Limit
	grant, used, sum := quota.grants[shard.name], shard.teamUsage[team], quota.grants.Sum()
	if withinGrant(limit, used, quota.reliableGrant(shard.name)) {
		return nil, false
	}
	grown := grant
	if limit.Cores > 0 && used.Cores > grant.Cores {
		grown.Cores = min(used.Cores+limit.Cores/growthShare, grant.Cores+limit.Cores-sum.Cores)
	}
	if limit.GPUs > 0 && used.GPUs > grant.GPUs {
		grown.GPUs = min(used.GPUs+limit.GPUs/growthShare, grant.GPUs+limit.GPUs-sum.GPUs)
	}
	next := maps.Clone(quota.grants) // known, so there is a map
	next[shard.name] = grown
	return next, true
}

// fitsGrant reports whether all that the shard has placed or is placing of a team fits into
// its grant, or will once the grant has grown in the transaction.
func (c *Core) fitsGrant(shard *Shard, team int, pending *pendingTxn) bool {
	quota, used, limit := c.quotas[team], shard.teamUsage[team], c.teamConfigs[team].Limit
	if limit == (model.Resources{}) {
		return true
	}
	if !quota.usable() {
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

// releaseGrant reduces the shard's grant of a team to what it uses: at once when another shard
// asks for it, otherwise after it has been idle for a while. It reports whether it did.
func (c *Core) releaseGrant(shard *Shard, team int, now bool) bool {
	quota := c.quotas[team]
	if c.teamConfigs[team].Limit == (model.Resources{}) {
		return false // there are no grants
	}
	if !quota.usable() {
		c.readQuota(quota)
		return false
	}
	if quota.readPending || shard.busy() {
		return false
	}
	needed := c.neededGrant(shard, team)
	if !c.isIdle(shard, team, needed, now) {
		return false
	}
	next := maps.Clone(quota.grants) // known, so there is a map
	next[shard.name] = needed
	if needed.Cores <= amountSlack && needed.GPUs <= amountSlack {
		delete(next, shard.name)
	}
	quota.noteReduction(shard.name, next[shard.name])
	pending := newPendingTxn(shard)
	pending.putGrants(quota, next)
	c.sendTxn(pending)
	return true
}

// neededGrant is what the shard uses of a team's limit, as far as the limit concerns it.
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

// isIdle reports whether the shard's grant is larger than needed: at all, if asked now, or by
// much and for long.
func (c *Core) isIdle(shard *Shard, team int, needed records.Grant, now bool) bool {
	quota, limit := c.quotas[team], c.teamConfigs[team].Limit
	grant := quota.grants[shard.name]
	idleCores, idleGPUs := grant.Cores-needed.Cores, grant.GPUs-needed.GPUs
	if quota.idleSince == nil {
		quota.idleSince = map[string]time.Duration{}
	}
	if idleCores <= amountSlack && idleGPUs <= amountSlack ||
		!now && idleCores <= limit.Cores/idleShare && idleGPUs <= limit.GPUs/idleShare {
		delete(quota.idleSince, shard.name)
		return false
	}
	if _, idle := quota.idleSince[shard.name]; !idle {
		quota.idleSince[shard.name] = c.now
	}
	if !now && c.now < quota.idleSince[shard.name]+idleFor {
		return false
	}
	delete(quota.idleSince, shard.name)
	return true
}

// requestGrants asks the other shards for grants of an assignment's team, and reads what
// holds: released grants are announced, but messages can be lost.
func (c *Core) requestGrants(assignment *Assignment) {
	team, need := assignment.job.team, assignment.job.spec.Need
	quota := c.quotas[team]
	if c.now < quota.nextRequestAt {
		return
	}
	quota.nextRequestAt = c.now + requestInterval
	// Other shards of this controller first: while the key is being read they release
	// nothing, and an owner of several shards would keep the team's work waiting for ever.
	for _, shard := range c.shards {
		if shard.servedHere() && c.releaseGrant(shard, team, true) {
			return
		}
	}
	c.readQuota(quota)
	wanted := float64(c.startableTasks(assignment)) * need.Cores
	cores := min(wanted, max(c.teamConfigs[team].Limit.Cores/idleShare, need.Cores))
	c.broadcast(Message{GrantRequests: []GrantRequest{{quota.team, cores, c.grantRank(assignment)}}})
}
