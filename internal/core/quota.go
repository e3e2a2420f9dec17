package core

import (
	"encoding/json"
	"maps"
	"math"
	"time"
)

// quota is a team's grants per part as the state service holds them. Their
// sum never passes the team's limit, and a part never uses more than its own.
type quota struct {
	team   string
	known  bool
	busy   bool
	stamp  uint64
	grants map[string]grant
	askAt  time.Duration
	// A new owner relies on nothing it knew of grants before its claim: another
	// owner may have given its part's grant back meanwhile.
	needAt time.Duration
	need   bool
	// What a part of mine may still rely on after it asked to give grants back
	// and nobody can tell whether that was or will be carried out: such a
	// transaction may be applied as long as the key keeps its stamp.
	capped map[string]cappedGrant
	asks   map[int]heardAsk // by other controller: what it asked for last
	idleAt map[string]time.Duration
}

type heardAsk struct {
	GrantAsk
	at time.Duration
}

// rankOf orders waiting work for grants as ready orders it: far too late, then by
// priority, then by age.
func (c *Core) rankOf(s *slice) float64 {
	age := seconds(c.now - s.job.since)
	if c.overdue(s) {
		return 1e6 + age
	}
	return float64(priorities-s.job.spec.Priority)*1e4 + age
}

// rankMargin keeps two parts with work of about the same age from yielding to
// each other in turn.
const rankMargin = 5

// roomFor is how many tasks of a slice may start now where the team has room for
// n. What other parts
// asked for work that ranks higher is left to them as it becomes free: parts
// whose own work never ends would otherwise hold a team's limit for ever, and
// work in a part without a grant would never start.
func (c *Core) roomFor(s *slice, n int) int {
	j := s.job
	if n == 0 || j.spec.Need.Cores <= 0 {
		return n // room that comes and goes is left all the while
	}
	left, mine := 0.0, c.rankOf(s)
	for _, a := range c.quotas[j.team].asks {
		if c.now < a.at+3*time.Second && a.Rank > mine+rankMargin {
			left += a.Cores
		}
	}
	if rest := n - count(math.Ceil(left/j.spec.Need.Cores)); rest > 0 {
		s.leavesAt = 0
		return rest
	}
	return c.leftLong(s, n)
}

// leaveFor is how long all room of a slice is left to others' work. Then it takes room once:
// what they asked for may never fit into it, as tasks of 3 cores do not into 2, and no job
// may wait for ever beside room.
const leaveFor = 45 * time.Second

// leftLong is how many tasks of a slice may start although all its room is left to others.
func (c *Core) leftLong(s *slice, n int) int {
	if s.leavesAt == 0 {
		s.leavesAt = c.now
	}
	if c.now < s.leavesAt+leaveFor {
		return 0
	}
	return n
}

// cappedGrant is the smallest grant that a part asked for while the key had this stamp.
type cappedGrant struct {
	stamp uint64
	grant grant
}

// mine is what the part may count on.
func (q *quota) mine(part string) grant {
	g := q.grants[part]
	if c, ok := q.capped[part]; ok && c.stamp == q.stamp {
		return grant{min(g.Cores, c.grant.Cores), min(g.Cards, c.grant.Cards)}
	}
	return g
}

type grant struct {
	Cores float64 `json:"c"`
	Cards float64 `json:"g"`
}

func (q *quota) key() string { return "quota/" + q.team }

func (q *quota) sum() grant {
	var s grant
	for _, g := range q.grants {
		s.Cores += g.Cores
		s.Cards += g.Cards
	}
	return s
}

// learn applies what the store holds.
func (q *quota) learn(found bool, value []byte, stamp uint64) {
	if q.known && stamp < q.stamp && found {
		return
	}
	q.known, q.stamp, q.grants = true, stamp, map[string]grant{}
	if !found {
		q.stamp = 0
		return
	}
	if json.Unmarshal(value, &q.grants) != nil {
		q.known = false
	}
	if q.grants == nil {
		q.grants = map[string]grant{} // the value was null
	}
}

func (c *Core) learnQuota(q *quota, found bool, value []byte, stamp uint64) {
	q.learn(found, value, stamp)
	for _, p := range c.parts {
		p.replan = true
	}
}

func (c *Core) readQuota(q *quota) {
	if q.busy {
		return
	}
	q.busy = true
	started := c.now
	c.read(q.key(), true, func(res ReadResult) {
		q.busy = false
		if res.Outcome == OK {
			if started >= q.needAt {
				q.need = false
			}
			c.learnQuota(q, res.Found, res.Item.Value, res.Item.Stamp)
		}
	})
}

// limits says whether a team's limit concerns tasks of need at all. What it does
// not concern needs no grants.
func (lim Amount) limits(need Amount) bool {
	return need.Cores > 0 && lim.Cores > 0 || need.Cards > 0 && lim.Cards > 0
}

// within says whether use keeps to a grant, as far as the limit concerns it.
func (lim Amount) within(used Amount, g grant) bool {
	return (lim.Cores == 0 || used.Cores <= g.Cores+1e-6) && (lim.Cards == 0 || used.Cards <= g.Cards+1e-6)
}

// room is how many more tasks of need the team may run in the part: within
// the part's grant and what nobody holds.
func (c *Core) room(p *part, team int, need Amount) int {
	if q := c.quotas[team]; c.limits[team].Limit.limits(need) && (!q.known || q.need) {
		c.readQuota(q)
	}
	return c.roomKnown(p, team, need)
}

// roomKnown is the same for operators' questions, which must not change anything: what
// they ask of the outside is never carried out, and would be waited for for ever.
func (c *Core) roomKnown(p *part, team int, need Amount) int {
	q, lim := c.quotas[team], c.limits[team].Limit
	n := math.MaxInt32
	if !lim.limits(need) {
		return n
	}
	if !q.known || q.need {
		return 0
	}
	sum, mine, used := q.sum(), q.grants[p.name], p.used[team]
	if need.Cores > 0 && lim.Cores > 0 {
		n = min(n, count((mine.Cores+lim.Cores-sum.Cores-used.Cores+1e-6)/need.Cores))
	}
	if need.Cards > 0 && lim.Cards > 0 {
		n = min(n, count((mine.Cards+lim.Cards-sum.Cards-used.Cards+1e-6)/need.Cards))
	}
	return max(n, 0)
}

// grow returns the part's grant large enough for what it uses, in chunks, or
// false when it is large enough already.
func (c *Core) grow(p *part, team int) (map[string]grant, bool) {
	q, lim := c.quotas[team], c.limits[team].Limit
	mine, used, sum := q.grants[p.name], p.used[team], q.sum()
	sure := q.mine(p.name)
	if lim.within(used, sure) {
		return nil, false
	}
	want := mine
	if lim.Cores > 0 && used.Cores > mine.Cores {
		want.Cores = min(used.Cores+lim.Cores/16, mine.Cores+lim.Cores-sum.Cores)
	}
	if lim.Cards > 0 && used.Cards > mine.Cards {
		want.Cards = min(used.Cards+lim.Cards/16, mine.Cards+lim.Cards-sum.Cards)
	}
	next := maps.Clone(q.grants) // known, so there is a map
	next[p.name] = want
	return next, true
}

// granted says whether all that the part has placed or is placing of a team
// fits into its grant, or will once the grant has grown.
func (c *Core) granted(p *part, team int, w *writing) bool {
	q, used, lim := c.quotas[team], p.used[team], c.limits[team].Limit
	if lim == (Amount{}) {
		return true
	}
	if !q.known || q.need {
		return false
	}
	g, ok := w.quotas[q]
	if !ok {
		if g, ok = c.grow(p, team); !ok {
			return true
		}
	}
	return lim.within(used, g[p.name])
}

// giveBack returns the part's idle grant of a team: at once when another part
// asks for it, otherwise after it has been idle for a while.
func (c *Core) giveBack(p *part, team int, now bool) bool {
	q := c.quotas[team]
	if c.limits[team].Limit == (Amount{}) {
		return false // there are no grants
	}
	if !q.known || q.need {
		c.readQuota(q)
		return false
	}
	if q.busy || p.committing || p.claiming || p.handingOver || len(p.refreshing) > 0 {
		return false
	}
	mine, used, lim := q.grants[p.name], p.used[team], c.limits[team].Limit
	if lim.Cores == 0 {
		used.Cores = 0
	}
	if lim.Cards == 0 {
		used.Cards = 0
	}
	if q.idleAt == nil {
		q.idleAt = map[string]time.Duration{}
	}
	if mine.Cores-used.Cores <= 1e-6 && mine.Cards-used.Cards <= 1e-6 ||
		!now && mine.Cores-used.Cores <= lim.Cores/8 && mine.Cards-used.Cards <= lim.Cards/8 {
		delete(q.idleAt, p.name)
		return false
	}
	if _, idle := q.idleAt[p.name]; !idle {
		q.idleAt[p.name] = c.now
	}
	if !now && c.now < q.idleAt[p.name]+8*time.Second {
		return false
	}
	delete(q.idleAt, p.name)
	next := maps.Clone(q.grants) // known, so there is a map
	if next[p.name] = (grant{used.Cores, used.Cards}); used.Cores <= 1e-6 && used.Cards <= 1e-6 {
		delete(next, p.name)
	}
	if q.capped == nil {
		q.capped = map[string]cappedGrant{}
	}
	// It may be applied at any later time while the key keeps its stamp, also when
	// the service refused it (a copy of it may come), and so may one sent before:
	// the smallest counts. The next that the part needs more changes the stamp.
	sure := next[p.name]
	if was, ok := q.capped[p.name]; ok && was.stamp == q.stamp {
		sure = grant{min(sure.Cores, was.grant.Cores), min(sure.Cards, was.grant.Cards)}
	}
	q.capped[p.name] = cappedGrant{q.stamp, sure}
	value, _ := json.Marshal(next)
	w := &writing{part: p, quotas: map[*quota]map[string]grant{q: next}}
	w.txn = Txn{Guards: []Guard{{p.key(), p.stamp}, {q.key(), q.stamp}}, Apply: []Set{{Key: q.key(), Value: value}}}
	c.write(w)
	return true
}

// wantGrants asks the other parts for grants of a slice's team, and looks at what
// holds: grants given back are told, but words can be lost.
func (c *Core) wantGrants(s *slice) {
	team := s.job.team
	q := c.quotas[team]
	if c.now < q.askAt {
		return
	}
	q.askAt = c.now + time.Second
	// My other parts first: while the key is being read they give nothing back,
	// and one owner of several parts kept a team's work waiting for ever.
	for _, p := range c.parts {
		if p.mine && p.loaded && c.giveBack(p, team, true) {
			return
		}
	}
	c.readQuota(q)
	cores := min(float64(c.startable(s))*s.job.spec.Need.Cores, max(c.limits[team].Limit.Cores/8, s.job.spec.Need.Cores))
	c.tellAll(Message{Asks: []GrantAsk{{q.team, cores, c.rankOf(s)}}})
}
