package core

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Backfill is work that only borrows: that of teams without a guarantee, and work of
// the lowest priority beyond its team's guarantee. It takes what others leave. The
// room that the recent past says others will want again is kept free of it, no
// dear machine is hired for it, and where others lack room all the same, backfill
// that saves its progress is preempted. Without that, long tasks that came in a quiet
// hour held the machines, and every later peak of urgent work waited for them.

// seeTeams notes which teams use less than their guarantee.
func (c *Core) seeTeams() {
	for t := range c.limits {
		used, g := c.teamUse(t), c.limits[t].Guarantee
		c.within[t] = used.Cores < g.Cores || used.Cards < g.Cards
	}
}

// backfills says whether a job only borrows.
func (c *Core) backfills(j *job) bool {
	if j.team < 0 {
		return false
	}
	return c.limits[j.team].Guarantee == (Amount{}) || j.spec.Priority == priorities-1 && !c.within[j.team]
}

// preemptible says whether a running task may be stopped at little loss for a job that
// needs its room.
func (c *Core) preemptible(t *task) bool {
	j := t.job()
	return j != nil && j.standing == Pending && t.phase == onHost && !t.halting && c.backfills(j) &&
		(j.spec.Checkpoint > 0 || t.state == Fetching)
}

// kept is what is kept free of backfill, in cores by pool of machine types.
type kept struct {
	pools []uint64
	cores []float64
}

// backfillShare is the part of the machines that is not kept free of backfill however much
// others want: small work of theirs need not wait for a quiet hour.
const backfillShare = 1.0 / 16

// roomForBackfill is what backfill may still take of the part's machines, by pool: what is
// there, less what others use or are likely to want again, less what backfill have.
func (c *Core) roomForBackfill(p *part) []float64 {
	total, backfill, others := make([]float64, len(p.keep.pools)), make([]float64, len(p.keep.pools)), make([]float64, len(p.keep.pools))
	for _, h := range p.hostList() {
		if !h.planned(c.now) || h.state != up {
			continue
		}
		i := poolOf(p.keep.pools, h.typ)
		total[i] += c.types[h.typ].Total.Cores
		for _, t := range h.tasks {
			if j := t.job(); j != nil && c.backfills(j) {
				backfill[i] += c.takes(t.need, h.typ)
			} else {
				others[i] += c.takes(t.need, h.typ)
			}
		}
	}
	room := make([]float64, len(total))
	for i := range room {
		kept := max(others[i], min(p.keep.cores[i], total[i]*(1-backfillShare)))
		room[i] = total[i] - kept - backfill[i]
	}
	return room
}

// backfillCandidates is the machines of pools in which a backfill job's tasks still have room, and how
// many of them all pools together may take.
func (c *Core) backfillCandidates(k *kept, j *job, all []device, left []float64) (fit []device, most int) {
	for _, d := range all {
		if left[poolOf(k.pools, d.host.typ)] >= c.takes(j.spec.Need, d.host.typ) {
			fit = append(fit, d)
		}
	}
	for i, room := range left {
		for t := range c.types {
			if poolOf(k.pools, t) == i && room > 0 {
				most += count(room / c.takes(j.spec.Need, t))
				break
			}
		}
	}
	return fit, most
}

// backfillRoomOn is what backfill may still take of a part's machines of a type, as its owner
// last said or as was last reckoned here.
func (c *Core) backfillRoomOn(p *part, typ int) float64 {
	if !p.mine || !p.loaded {
		if p.view == nil {
			return 0
		}
		return p.view.Fill[c.types[typ].Name]
	}
	if p.keep.pools == nil {
		return 0
	}
	if p.backfillRoom == nil || c.now > p.backfillAt+500*time.Millisecond {
		p.backfillRoom, p.backfillAt = c.roomForBackfill(p), c.now
	}
	return p.backfillRoom[poolOf(p.keep.pools, typ)]
}

// fullCost is by how many seconds a part without room for backfill is worse for one
// than a part with some.
const fullCost = 30.0

// beginWith is how many tasks of a backfill job that has waited far too long for its first
// start at once, whatever is kept for others.
const beginWith = 4

// keeps says whether a backfill job leaves alone what is kept for others. One that has been
// there for very long does not any more; it still comes after all others.
func (c *Core) keeps(s *slice) bool {
	return c.backfills(s.job) && !c.overdue(s) && !c.leftOut(s) && c.now <= s.job.since+endBy
}

// backfillWaits is how long all of a backfill job may wait beside room that is kept for others.
const backfillWaits = time.Minute

// leftOut says whether nothing of a backfill job has run here for so long that some of it starts
// whatever is kept for others. Time spent in other parts counts: what was moved for want
// of room had waited its minute there, and waited another one in each part.
func (c *Core) leftOut(s *slice) bool {
	return len(s.tasks) == 0 && c.now > max(s.job.since, s.bareAt)+backfillWaits
}

// preemptibleFor says whether a task may be stopped so that one of job j's starts in its room:
// what only borrows, and any array of lower priority for the replicas of a service. A
// replica that is missing is missed every second, and it stays: stopped once, the
// array's task starts elsewhere and that room is the service's for good.
func (c *Core) preemptibleFor(t *task, j *job) bool {
	v := t.job()
	if c.preemptible(t) {
		return v.spec.Priority > j.spec.Priority || c.within[j.team]
	}
	return v != nil && j.spec.Service && !v.spec.Service && v.spec.Priority > j.spec.Priority &&
		v.standing == Pending && t.phase == onHost && !t.halting
}

// preemptibleHosts lists the machines with tasks that would give way to somebody.
func (c *Core) preemptibleHosts(p *part) []*host {
	return c.usableWith(p, c.preemptible)
}

// preemptibleHostsFor lists those with tasks that would give way to a service's replicas.
func (c *Core) preemptibleHostsFor(p *part, j *job) []*host {
	return c.usableWith(p, func(t *task) bool { return c.preemptibleFor(t, j) })
}

func (c *Core) usableWith(p *part, which func(*task) bool) []*host {
	out := []*host{}
	for _, h := range p.hostList() {
		if h.typ < 0 || !h.usable(c.now) {
			continue
		}
		for _, t := range h.tasks {
			if which(t) {
				out = append(out, h)
				break
			}
		}
	}
	return out
}

// saveTime is how long a worker may take beyond a task's own time to save.
const saveTime = 1.0

// makeRoom stops tasks that give way where their room lets tasks of the job start that
// would wait otherwise, and returns how many. As few are stopped as will do, those that lose
// least first; they save if the job can wait for that. What is being made is
// remembered, so that no plan asks for the same room twice.
func (c *Core) makeRoom(p *part, s *slice, tasks int, by float64, hosts []*host) int {
	j := s.job
	s.making = slices.DeleteFunc(s.making, func(until time.Duration) bool { return c.now >= until })
	tasks -= len(s.making)
	if tasks <= 0 || c.backfills(j) || j.spec.Gang || j.doubt > 0 {
		return len(s.making)
	}
	type offer struct {
		host    *host
		victims []*task
		free    Amount
		image   bool
		loss    float64
	}
	var offers []offer
	for _, h := range hosts {
		if !h.usable(c.now) || !c.allowedOn(j, c.kind(p.zone, h.typ, h.spot)) {
			continue
		}
		if c.imageAt(h, j)+worthStopping > by {
			continue // it may as well wait for the room that is planned for it
		}
		o := offer{host: h, free: c.types[h.typ].Total}
		for _, id := range sortedTasks(h.tasks) { // sums must not depend on a map's order
			t := h.tasks[id]
			o.free = o.free.plus(t.need, -1)
			if c.preemptibleFor(t, j) {
				o.victims = append(o.victims, t)
				o.loss += c.lossOf(t)
			}
		}
		if len(o.victims) == 0 {
			continue
		}
		o.loss /= float64(len(o.victims))
		_, o.image = h.images[j.image]
		offers = append(offers, o)
	}
	slices.SortStableFunc(offers, func(a, b offer) int {
		if a.image != b.image {
			if a.image {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.loss, b.loss)
	})
	made := 0
	for _, o := range offers {
		slices.SortFunc(o.victims, func(a, b *task) int {
			return cmp.Or(cmp.Compare(c.lossOf(a), c.lossOf(b)), cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Index, b.id.Index))
		})
		for made < tasks {
			k, free := 0, o.free
			for !j.spec.Need.plan().Within(free.plan()) && k < len(o.victims) {
				free = free.plus(o.victims[k].need, 1)
				k++
			}
			if k == 0 || !j.spec.Need.plan().Within(free.plan()) {
				break // free without anybody's stopping is the plan's business
			}
			until := c.now + time.Second
			for _, t := range o.victims[:k] {
				leeway := c.leewayFor(j, t)
				until = max(until, c.now+duration(leeway)+time.Second)
				c.stats.Stopped++
				c.note(1, "task stopped for a more urgent one", "job", t.id.Job, "task", t.id.Index, "host", o.host.name, "part", p.name, "for", j.id, "leeway", leeway)
				c.halt(p, t, leeway)
			}
			o.victims, o.free = o.victims[k:], free.plus(j.spec.Need, -1)
			s.making = append(s.making, until)
			made++
		}
		if made >= tasks {
			break
		}
	}
	return len(s.making)
}

// worthStopping is by how many seconds a task must start earlier for others to be
// stopped for it.
const worthStopping = 3.0

// imageAt is when a job's image can be on a machine.
func (c *Core) imageAt(h *host, j *job) float64 {
	if _, has := h.images[j.image]; has || j.image < 0 {
		return seconds(c.now)
	}
	if at, on := h.fetching[j.image]; on {
		return seconds(max(at, c.now))
	}
	return seconds(max(h.fetchEnd, c.now)) + j.spec.ImageGB*c.fetchRate(h.typ)
}

// lossOf is how many core seconds of work are lost if a task is stopped without
// having time to save.
func (c *Core) lossOf(t *task) float64 {
	j := t.job()
	if j == nil || t.state != Running {
		return 0
	}
	ran := seconds(c.now - t.started)
	if cp := j.spec.Checkpoint; cp > 0 {
		ran = math.Mod(ran, cp)
	}
	return ran * t.need.Cores
}

// leewayFor is the time a task gets to save when it is stopped for job j: enough, if
// j's starts are still in time after it, else none.
func (c *Core) leewayFor(j *job, t *task) float64 {
	v := t.job()
	if v == nil || v.spec.Checkpoint <= 0 || t.state != Running {
		return 0
	}
	need := v.spec.Save + saveTime
	if within, ok := c.cfg.Waits[j.spec.Class]; ok && seconds(c.now-j.since)+need > within && seconds(c.now-j.since) <= within {
		return 0
	}
	return need
}
