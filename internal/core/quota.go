package core

import (
	"maps"
	"math"
	"roadcleat/internal/model"
	"roadcleat/internal/records"
	"time"
)

// TeamQuota is a team's grants per part as the state service holds them. Their
// sum never passes the team's limit, and a part never uses more than its own.
type TeamQuota struct {
	team          string
	known         bool
	readPending   bool
	revision      uint64
	grants        records.Grants
	nextRequestAt time.Duration
	// A new owner relies on nothing it knew of grants before its claim: another
	// owner may have given its part's grant back meanwhile.
	rereadAfter time.Duration
	mustReread  bool
	// What a part of mine may still rely on after it asked to give grants back
	// and nobody can tell whether that was or will be carried out: such a
	// transaction may be applied as long as the key keeps its stamp.
	reducedGrants map[string]reducedGrant
	requests      map[int]receivedRequest // by other controller: what it asked for last
	idleSince     map[string]time.Duration
}

type receivedRequest struct {
	GrantRequest
	at time.Duration
}

// grantRank orders waiting work for grants as ready orders it: far too late, then by
// priority, then by age.
func (c *Core) grantRank(assignment *Assignment) float64 {
	age := seconds(c.now - assignment.job.knownSince)
	if c.isOverdue(assignment) {
		return 1e6 + age
	}
	return float64(priorities-assignment.job.spec.Priority)*1e4 + age
}

// rankMargin keeps two parts with work of about the same age from yielding to
// each other in turn.
const rankMargin = 5

// roomBesideRequests is how many tasks of a slice may start now where the team has room for
// n. What other parts
// asked for work that ranks higher is left to them as it becomes free: parts
// whose own work never ends would otherwise hold a team's limit for ever, and
// work in a part without a grant would never start.
func (c *Core) roomBesideRequests(assignment *Assignment, n int) int {
	job := assignment.job
	if n == 0 || job.spec.Need.Cores <= 0 {
		return n // room that comes and goes is left all the while
	}
	left, mine := 0.0, c.grantRank(assignment)
	for _, a := range c.quotas[job.team].requests {
		if c.now < a.at+3*time.Second && a.Rank > mine+rankMargin {
			left += a.Cores
		}
	}
	if rest := n - wholeTasks(math.Ceil(left/job.spec.Need.Cores)); rest > 0 {
		assignment.yieldingSince = 0
		return rest
	}
	return c.roomAfterLongYield(assignment, n)
}

// longestYield is how long all room of a slice is left to others' work. Then it takes room once:
// what they asked for may never fit into it, as tasks of 3 cores do not into 2, and no job
// may wait for ever beside room.
const longestYield = 45 * time.Second

// roomAfterLongYield is how many tasks of a slice may start although all its room is left to others.
func (c *Core) roomAfterLongYield(assignment *Assignment, n int) int {
	if assignment.yieldingSince == 0 {
		assignment.yieldingSince = c.now
	}
	if c.now < assignment.yieldingSince+longestYield {
		return 0
	}
	return n
}

// reducedGrant is the smallest grant that a part asked for while the key had this stamp.
type reducedGrant struct {
	revision uint64
	grant    records.Grant
}

// reliableGrant is what the part may count on.
func (q *TeamQuota) reliableGrant(part string) records.Grant {
	g := q.grants[part]
	if c, ok := q.reducedGrants[part]; ok && c.revision == q.revision {
		return g.Min(c.grant)
	}
	return g
}

func (q *TeamQuota) key() string { return records.QuotaKey(q.team) }

// apply applies what the store holds.
func (q *TeamQuota) apply(found bool, value []byte, revision uint64) {
	if q.known && revision < q.revision && found {
		return
	}
	q.known, q.revision, q.grants = true, revision, records.Grants{}
	if !found {
		q.revision = 0
		return
	}
	grants, err := records.DecodeGrants(value)
	q.known, q.grants = err == nil, grants
}

func (c *Core) applyQuotaRecord(quota *TeamQuota, found bool, value []byte, revision uint64) {
	quota.apply(found, value, revision)
	for _, p := range c.shards {
		p.needsPlan = true
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
		if res.Outcome == OutcomeOK {
			if started >= quota.rereadAfter {
				quota.mustReread = false
			}
			c.applyQuotaRecord(quota, res.Found, res.Item.Value, res.Item.Revision)
		}
	})
}

// limitConcerns reports whether a team's limit concerns tasks of this need at all. What it
// does not concern needs no grants.
func limitConcerns(limit, need model.Resources) bool {
	return need.Cores > 0 && limit.Cores > 0 || need.GPUs > 0 && limit.GPUs > 0
}

// withinGrant reports whether use keeps to a grant, as far as the limit concerns it.
func withinGrant(limit, used model.Resources, g records.Grant) bool {
	return (limit.Cores == 0 || used.Cores <= g.Cores+1e-6) && (limit.GPUs == 0 || used.GPUs <= g.GPUs+1e-6)
}

// teamRoom is how many more tasks of need the team may run in the part: within
// the part's grant and what nobody holds.
func (c *Core) teamRoom(shard *Shard, team int, need model.Resources) int {
	if q := c.quotas[team]; limitConcerns(c.teamConfigs[team].Limit, need) && (!q.known || q.mustReread) {
		c.readQuota(q)
	}
	return c.knownTeamRoom(shard, team, need)
}

// knownTeamRoom is the same for operators' questions, which must not change anything: what
// they ask of the outside is never carried out, and would be waited for for ever.
func (c *Core) knownTeamRoom(shard *Shard, team int, need model.Resources) int {
	quota, limit := c.quotas[team], c.teamConfigs[team].Limit
	n := math.MaxInt32
	if !limitConcerns(limit, need) {
		return n
	}
	if !quota.known || quota.mustReread {
		return 0
	}
	sum, mine, used := quota.grants.Sum(), quota.grants[shard.name], shard.teamUsage[team]
	if need.Cores > 0 && limit.Cores > 0 {
		n = min(n, wholeTasks((mine.Cores+limit.Cores-sum.Cores-used.Cores+1e-6)/need.Cores))
	}
	if need.GPUs > 0 && limit.GPUs > 0 {
		n = min(n, wholeTasks((mine.GPUs+limit.GPUs-sum.GPUs-used.GPUs+1e-6)/need.GPUs))
	}
	return max(n, 0)
}

// grownGrants returns the part's grant large enough for what it uses, in chunks, or
// false when it is large enough already.
func (c *Core) grownGrants(shard *Shard, team int) (records.Grants, bool) {
	quota, limit := c.quotas[team], c.teamConfigs[team].Limit
	mine, used, sum := quota.grants[shard.name], shard.teamUsage[team], quota.grants.Sum()
	sure := quota.reliableGrant(shard.name)
	if withinGrant(limit, used, sure) {
		return nil, false
	}
	want := mine
	if limit.Cores > 0 && used.Cores > mine.Cores {
		want.Cores = min(used.Cores+limit.Cores/16, mine.Cores+limit.Cores-sum.Cores)
	}
	if limit.GPUs > 0 && used.GPUs > mine.GPUs {
		want.GPUs = min(used.GPUs+limit.GPUs/16, mine.GPUs+limit.GPUs-sum.GPUs)
	}
	next := maps.Clone(quota.grants) // known, so there is a map
	next[shard.name] = want
	return next, true
}

// fitsGrant says whether all that the part has placed or is placing of a team
// fits into its grant, or will once the grant has grown.
func (c *Core) fitsGrant(shard *Shard, team int, txn *pendingTxn) bool {
	quota, used, limit := c.quotas[team], shard.teamUsage[team], c.teamConfigs[team].Limit
	if limit == (model.Resources{}) {
		return true
	}
	if !quota.known || quota.mustReread {
		return false
	}
	g, ok := txn.quotas[quota]
	if !ok {
		if g, ok = c.grownGrants(shard, team); !ok {
			return true
		}
	}
	return withinGrant(limit, used, g[shard.name])
}

// releaseGrant returns the part's idle grant of a team: at once when another part
// asks for it, otherwise after it has been idle for a while.
func (c *Core) releaseGrant(shard *Shard, team int, now bool) bool {
	quota := c.quotas[team]
	if c.teamConfigs[team].Limit == (model.Resources{}) {
		return false // there are no grants
	}
	if !quota.known || quota.mustReread {
		c.readQuota(quota)
		return false
	}
	if quota.readPending || shard.busy() {
		return false
	}
	mine, used, limit := quota.grants[shard.name], shard.teamUsage[team], c.teamConfigs[team].Limit
	if limit.Cores == 0 {
		used.Cores = 0
	}
	if limit.GPUs == 0 {
		used.GPUs = 0
	}
	if quota.idleSince == nil {
		quota.idleSince = map[string]time.Duration{}
	}
	if mine.Cores-used.Cores <= 1e-6 && mine.GPUs-used.GPUs <= 1e-6 ||
		!now && mine.Cores-used.Cores <= limit.Cores/8 && mine.GPUs-used.GPUs <= limit.GPUs/8 {
		delete(quota.idleSince, shard.name)
		return false
	}
	if _, idle := quota.idleSince[shard.name]; !idle {
		quota.idleSince[shard.name] = c.now
	}
	if !now && c.now < quota.idleSince[shard.name]+8*time.Second {
		return false
	}
	delete(quota.idleSince, shard.name)
	next := maps.Clone(quota.grants) // known, so there is a map
	if next[shard.name] = (records.Grant{Cores: used.Cores, GPUs: used.GPUs}); used.Cores <= 1e-6 && used.GPUs <= 1e-6 {
		delete(next, shard.name)
	}
	if quota.reducedGrants == nil {
		quota.reducedGrants = map[string]reducedGrant{}
	}
	// It may be applied at any later time while the key keeps its stamp, also when
	// the service refused it (a copy of it may come), and so may one sent before:
	// the smallest counts. The next that the part needs more changes the stamp.
	sure := next[shard.name]
	if was, ok := quota.reducedGrants[shard.name]; ok && was.revision == quota.revision {
		sure = sure.Min(was.grant)
	}
	quota.reducedGrants[shard.name] = reducedGrant{quota.revision, sure}
	value := next.Encode()
	txn := &pendingTxn{shard: shard, quotas: map[*TeamQuota]records.Grants{quota: next}}
	txn.txn = Txn{Conditions: []Condition{shard.ownerCondition(), {quota.key(), quota.revision}}, Mutations: []Mutation{{Key: quota.key(), Value: value}}}
	c.sendTxn(txn)
	return true
}

// requestGrants asks the other parts for grants of a slice's team, and looks at what
// holds: grants given back are told, but words can be lost.
func (c *Core) requestGrants(assignment *Assignment) {
	team := assignment.job.team
	quota := c.quotas[team]
	if c.now < quota.nextRequestAt {
		return
	}
	quota.nextRequestAt = c.now + time.Second
	// My other parts first: while the key is being read they give nothing back,
	// and one owner of several parts kept a team's work waiting for ever.
	for _, shard := range c.shards {
		if shard.servedHere() && c.releaseGrant(shard, team, true) {
			return
		}
	}
	c.readQuota(quota)
	cores := min(float64(c.startableTasks(assignment))*assignment.job.spec.Need.Cores, max(c.teamConfigs[team].Limit.Cores/8, assignment.job.spec.Need.Cores))
	c.broadcast(Message{GrantRequests: []GrantRequest{{quota.team, cores, c.grantRank(assignment)}}})
}
