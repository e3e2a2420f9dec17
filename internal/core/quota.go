package core

import (
	"math"
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// amountSlack forgives the rounding of decimal amounts of cores and GPUs.
const amountSlack = 1e-6

// TeamQuota is a team's grants by shard, as the state service holds them, and what is known
// of other controllers' requests for them. The sum of the grants never passes the team's
// limit, and a shard never uses more than its own, so the team stays within the limit whoever
// owns the shards (rule quota).
type TeamQuota struct {
	team        string
	known       bool
	readPending bool
	revision    uint64
	grants      records.Grants

	// A new owner relies on nothing it knew of grants before its claim: another owner may
	// have released its shard's grant meanwhile.
	mustReread  bool
	rereadAfter time.Duration

	// What a shard owned here may still rely on after it asked to reduce its grant and
	// nobody can tell whether that was or will be carried out.
	reducedGrants map[string]reducedGrant
	idleSince     map[string]time.Duration // when a shard's grant became larger than it needs

	requests      map[int]receivedRequest // the newest of each other controller
	nextRequestAt time.Duration
}

// reducedGrant is the smallest grant that a shard asked for while the key had this revision.
// A transaction that asked for it may be applied as long as the key keeps the revision.
type reducedGrant struct {
	revision uint64
	grant    records.Grant
}

type receivedRequest struct {
	GrantRequest
	at time.Duration
}

func (q *TeamQuota) key() string { return records.QuotaKey(q.team) }

// reliableGrant is what the shard may count on.
func (q *TeamQuota) reliableGrant(zone string) records.Grant {
	grant := q.grants[zone]
	if reduced, ok := q.reducedGrants[zone]; ok && reduced.revision == q.revision {
		return grant.Min(reduced.grant)
	}
	return grant
}

// noteReduction records that the shard asks for a smaller grant. The transaction may be
// applied at any later time while the key keeps its revision, also when the service refused it
// (a copy of it may come), and so may one sent before: the smallest counts. The next growth
// changes the revision.
func (q *TeamQuota) noteReduction(zone string, grant records.Grant) {
	if former, ok := q.reducedGrants[zone]; ok && former.revision == q.revision {
		grant = grant.Min(former.grant)
	}
	if q.reducedGrants == nil {
		q.reducedGrants = map[string]reducedGrant{}
	}
	q.reducedGrants[zone] = reducedGrant{q.revision, grant}
}

// usable reports whether the grants are known well enough to rely on.
func (q *TeamQuota) usable() bool { return q.known && !q.mustReread }

// apply applies what the state service holds.
func (q *TeamQuota) apply(found bool, value []byte, revision uint64) {
	if q.known && revision < q.revision && found {
		return
	}
	if !found {
		q.known, q.revision, q.grants = true, 0, records.Grants{}
		return
	}
	grants, err := records.DecodeGrants(value)
	q.known, q.revision, q.grants = err == nil, revision, grants
}

func (c *Core) applyQuotaRecord(quota *TeamQuota, found bool, value []byte, revision uint64) {
	quota.apply(found, value, revision)
	for _, shard := range c.shards {
		shard.needsPlan = true
	}
}

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

// limitConcerns reports whether a team's limit concerns tasks of this need at all. What it
// does not concern needs no grants.
func limitConcerns(limit, need model.Resources) bool {
	return need.Cores > 0 && limit.Cores > 0 || need.GPUs > 0 && limit.GPUs > 0
}

// withinGrant reports whether use keeps to a grant, as far as the limit concerns it.
func withinGrant(limit, used model.Resources, grant records.Grant) bool {
	return (limit.Cores == 0 || used.Cores <= grant.Cores+amountSlack) &&
		(limit.GPUs == 0 || used.GPUs <= grant.GPUs+amountSlack)
}

// teamRoom is how many more tasks of need the team may run in the shard: within the shard's
// grant and what no shard holds. It has grants read that are not known.
func (c *Core) teamRoom(shard *Shard, team int, need model.Resources) int {
	quota := c.quotas[team]
	if limitConcerns(c.teamConfigs[team].Limit, need) && !quota.usable() {
		c.readQuota(quota)
	}
	return c.knownTeamRoom(shard, team, need)
}

// knownTeamRoom is the same for operators' questions, which must not change anything: calls
// that they cause are never carried out, and would be waited for for ever.
func (c *Core) knownTeamRoom(shard *Shard, team int, need model.Resources) int {
	quota, limit := c.quotas[team], c.teamConfigs[team].Limit
	room := math.MaxInt32
	if !limitConcerns(limit, need) {
		return room
	}
	if !quota.usable() {
		return 0
	}
	sum, grant, used := quota.grants.Sum(), quota.grants[shard.name], shard.teamUsage[team]
	if need.Cores > 0 && limit.Cores > 0 {
		free := grant.Cores + limit.Cores - sum.Cores - used.Cores + amountSlack
		room = min(room, wholeTasks(free/need.Cores))
	}
	if need.GPUs > 0 && limit.GPUs > 0 {
		free := grant.GPUs + limit.GPUs - sum.GPUs - used.GPUs + amountSlack
		room = min(room, wholeTasks(free/need.GPUs))
	}
	return max(room, 0)
}
