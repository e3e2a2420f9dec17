package core

import (
	"math"
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// amountTolerance absorbs rounding errors of decimal amounts of cores and GPUs.
const amountTolerance = 1e-6

// TeamQuota is a team's grants by shard as recorded in the state service, and the requests for
// them from other controllers. The sum of the grants never exceeds the team's limit, and a
// shard never uses more than its own grant, so the team stays within its limit whichever
// controllers own the shards (rule quota).
type TeamQuota struct {
	team        string
	isLoaded    bool // the record has been read or received, and could be decoded
	readPending bool
	revision    uint64 // revision of the record; 0: the key does not exist
	grants      records.Grants

	// After this controller claims a shard, grants read before the claim are not used: the
	// former owner may have released the shard's grant meanwhile. mustReread is set until a read
	// that started at rereadAfter or later has succeeded.
	mustReread  bool
	rereadAfter time.Duration

	// Upper bounds on the grants of shards owned here, by zone, after a request to reduce a
	// grant whose outcome is unknown or still pending.
	reducedGrants map[string]reducedGrant
	idleSince     map[string]time.Duration // since when a shard's grant has exceeded its needs

	grantRequests map[int]receivedRequest // newest request of each peer, by its index
	nextRequestAt time.Duration           // no request to other shards before then
}

// reducedGrant is the smallest grant that a shard has requested while the team's quota record had
// the given revision. The transaction that requested it may be applied as long as the record has
// that revision.
type reducedGrant struct {
	revision uint64
	grant    records.Grant
}

// receivedRequest is a peer's GrantRequest and when it was received.
type receivedRequest struct {
	GrantRequest
	receivedAt time.Duration
}

func (q *TeamQuota) key() string { return records.QuotaKey(q.team) }

// reliableGrant returns the grant that the shard may use: the recorded grant, or less if a
// reduction may still be applied.
func (q *TeamQuota) reliableGrant(zone string) records.Grant {
	grant := q.grants[zone]
	if reduced, ok := q.reducedGrants[zone]; ok && reduced.revision == q.revision {
		return grant.Min(reduced.grant)
	}
	return grant
}

// reductionTo returns the shard's grant reduced to the needed resources. Where placements that are
// not recorded yet need more of a resource than is granted, the grant keeps its amount: a reduction
// does not compare the sum of the grants with the team's limit, so it must not grow any of them
// (rule quota).
func (q *TeamQuota) reductionTo(zone string, needed records.Grant) records.Grant {
	return needed.Min(q.grants[zone])
}

// noteReduction records that the shard requests a smaller grant. The transaction may be applied
// at any later time while the key keeps its revision, even after the service refused it,
// because a delayed copy may arrive. The same holds for earlier requests, so the smallest one
// is used. The next growth of the grant changes the revision.
func (q *TeamQuota) noteReduction(zone string, grant records.Grant) {
	if previous, ok := q.reducedGrants[zone]; ok && previous.revision == q.revision {
		grant = grant.Min(previous.grant)
	}
	if q.reducedGrants == nil {
		q.reducedGrants = map[string]reducedGrant{}
	}
	q.reducedGrants[zone] = reducedGrant{q.revision, grant}
}

// isUsable reports whether the grants have been loaded and need not be read again.
func (q *TeamQuota) isUsable() bool { return q.isLoaded && !q.mustReread }

// applyRecord applies the quota record as read or received, unless it is older than the one in
// memory. After a record that cannot be decoded the grants are not usable.
func (q *TeamQuota) applyRecord(found bool, value []byte, revision uint64) {
	if q.isLoaded && revision < q.revision && found {
		return
	}
	if !found {
		q.isLoaded, q.revision, q.grants = true, 0, records.Grants{}
		return
	}
	grants, err := records.DecodeGrants(value)
	q.isLoaded, q.revision, q.grants = err == nil, revision, grants
}

// applyQuotaRecord applies a team's quota record, and has all shards planned again, since their
// headroom may have changed.
func (c *Core) applyQuotaRecord(quota *TeamQuota, found bool, value []byte, revision uint64) {
	quota.applyRecord(found, value, revision)
	for _, shard := range c.shards {
		shard.needsPlan = true
	}
}

// readQuota reads a team's quota record, unless a read is in flight.
func (c *Core) readQuota(quota *TeamQuota) {
	if quota.readPending {
		return
	}
	quota.readPending = true
	started := c.now
	c.readKey(quota.key(), true, func(res ReadResult) {
		quota.readPending = false
		if res.Outcome != OutcomeOK {
			return
		}
		if started >= quota.rereadAfter {
			quota.mustReread = false
		}
		c.applyQuotaRecord(quota, res.Found, res.Item.Value, res.Item.Revision)
	})
}

// limitAppliesTo reports whether a team's limit restricts tasks with this need. Tasks that it
// does not restrict need no grant.
func limitAppliesTo(limit, need model.Resources) bool {
	return need.Cores > 0 && limit.Cores > 0 || need.GPUs > 0 && limit.GPUs > 0
}

// withinGrant reports whether the used resources are within the grant, in each resource that
// the limit restricts.
func withinGrant(limit, used model.Resources, grant records.Grant) bool {
	return (limit.Cores == 0 || used.Cores <= grant.Cores+amountTolerance) &&
		(limit.GPUs == 0 || used.GPUs <= grant.GPUs+amountTolerance)
}

// teamTaskHeadroom returns how many more tasks that need the given resources the team may run in
// the shard, within the shard's grant and the part of the team's limit that no shard has been
// granted. If the grants are not usable, it starts to read them.
func (c *Core) teamTaskHeadroom(shard *Shard, team int, need model.Resources) int {
	quota := c.quotas[team]
	if limitAppliesTo(c.teamConfigs[team].Limit, need) && !quota.isUsable() {
		c.readQuota(quota)
	}
	return c.cachedTeamTaskHeadroom(shard, team, need)
}

// cachedTeamTaskHeadroom is teamTaskHeadroom without the read, for status requests of operators.
// These must have no side effects: calls that they cause are never sent, so the read would stay
// pending forever.
func (c *Core) cachedTeamTaskHeadroom(shard *Shard, team int, need model.Resources) int {
	quota, limit := c.quotas[team], c.teamConfigs[team].Limit
	headroom := math.MaxInt32
	if !limitAppliesTo(limit, need) {
		return headroom
	}
	if !quota.isUsable() {
		return 0
	}
	sum, grant, used := quota.grants.Sum(), quota.grants[shard.name], shard.teamUsage[team]
	if need.Cores > 0 && limit.Cores > 0 {
		free := grant.Cores + limit.Cores - sum.Cores - used.Cores + amountTolerance
		headroom = min(headroom, clampTaskCount(free/need.Cores))
	}
	if need.GPUs > 0 && limit.GPUs > 0 {
		free := grant.GPUs + limit.GPUs - sum.GPUs - used.GPUs + amountTolerance
		headroom = min(headroom, clampTaskCount(free/need.GPUs))
	}
	return max(headroom, 0)
}
