package core

import (
	"math/bits"
	"time"

	"roadcleat/internal/plan"
)

// device is a machine as the programme sees it, and the zone it is in.
type device struct {
	*plan.Device
	zone int
	host *host // nil: booting elsewhere, another part's, or yet to be hired
}

// need is work that finds no machine soon.
type need struct {
	job   *job
	tasks int
	after float64 // seconds until the first of them would start here
}

// work does what is due for a part: plans, records, sends.
func (c *Core) work(p *part) {
	if p.handingOver {
		return
	}
	c.refresh(p)
	if c.now >= p.planAt {
		p.planAt = c.now + time.Second
		c.sweep(p)
		p.replan = p.replan || len(p.shortage) > 0
	}
	if p.replan && c.now >= p.planNext {
		p.replan = false
		p.planNext = c.now + c.plan(p)
		p.sizeAt = min(p.sizeAt, c.now+sizeSoon)
	}
	if c.now >= p.sizeAt && !p.replan { // by what the newest plan lacks
		p.sizeAt = c.now + time.Second
		c.size(p)
	}
	c.record(p)
	c.maybeMove(p)
	c.sendOrders(p)
}

// sizeSoon is how soon after a plan the fleet is looked at.
const sizeSoon = 100 * time.Millisecond

// sweep looks for what events alone would miss.
func (c *Core) sweep(p *part) {
	for _, id := range sorted(p.slices) {
		s := p.slices[id]
		switch {
		case s.job.standing != Pending:
			if len(s.tasks) == 0 {
				p.dirty[id] = s
			}
		case s.complete():
			p.dirty[id] = s
		case len(s.waiting) > 0:
			p.replan = true
		}
	}
	for t := range c.limits {
		if c.giveBack(p, t, false) {
			return
		}
	}
	for _, h := range p.hostList() {
		c.drain(p, h)
	}
}

// drain frees a machine that will be taken or is not fit: what cannot end in
// time is stopped at once and starts again elsewhere.
func (c *Core) drain(p *part, h *host) {
	if h.state != up || h.recall == 0 && !h.failed {
		return
	}
	for _, id := range sortedTasks(h.tasks) {
		t := h.tasks[id]
		if t == nil || t.phase != onHost || t.halting {
			continue
		}
		j := t.job()
		if h.failed || j == nil || c.expectedEnd(t) > h.recall || j.spec.Service {
			leeway := 0.0
			if j != nil && j.spec.Checkpoint > 0 && t.state == Running {
				leeway = j.spec.Save + 1
			}
			c.halt(p, t, leeway)
		}
	}
}

// step is a job's tasks as the programme's step. What it says of the kinds of
// machines is worked out once for all machines.
func (c *Core) step(j *job) *plan.Step {
	kinds := len(c.parts) * len(c.types) * 2
	allowed, cost := make([]bool, kinds), make([]float64, kinds)
	for k := range kinds {
		if allowed[k] = c.allowedOn(j, k); allowed[k] {
			cost[k] = c.choiceCost(j, k)
		}
	}
	return &plan.Step{Tasks: 1, Gang: j.spec.Gang, Need: j.spec.Need.plan(), Comp: c.estimate(j), Image: j.image,
		ImageGB: j.spec.ImageGB, Allowed: func(kind int) bool { return allowed[kind] },
		Cost: func(kind int) float64 { return cost[kind] }}
}

// choiceCost weighs what a choice of machine costs others, in seconds of this
// job's time: a dearer machine, or one that another class of jobs cannot do
// without while this job can.
func (c *Core) choiceCost(j *job, kind int) float64 {
	spot, typ := kind&1 == 1, kind/2%len(c.types)
	cost := 0.0
	if !spot {
		cost += ordinaryCost
	}
	if c.contested(j, typ) {
		cost += contestedCost
	}
	return cost
}

const (
	ordinaryCost  = 3.0
	contestedCost = 6.0
	emptyCost     = 0.5
)

// contested says whether another class seen lately has fewer types to run on
// than j, this one among them.
func (c *Core) contested(j *job, typ int) bool {
	mine := c.typesOf(j)
	for class, k := range c.kinds {
		if class != j.class && k.types&(1<<typ) != 0 && c.now < k.at+5*time.Minute &&
			bits.OnesCount64(k.types) < bits.OnesCount64(mine) {
			return true
		}
	}
	return false
}

// classKinds is which types the jobs of a class fit, and when one was seen.
type classKinds struct {
	types uint64
	at    time.Duration
}

// typesOf is the set of types that hold a task of the job.
func (c *Core) typesOf(j *job) uint64 {
	if j.fits == 0 || j.fitsOf != len(c.types) {
		j.fits, j.fitsOf = 0, len(c.types)
		for t := range c.types {
			if t < 64 && j.spec.Need.plan().Within(c.types[t].Total.plan()) &&
				(len(j.spec.Types) == 0 || contains(j.spec.Types, c.types[t].Name)) {
				j.fits |= 1 << t
			}
		}
	}
	return j.fits
}

// sawClass remembers what the class of a job runs on.
func (c *Core) sawClass(j *job) {
	for len(c.kinds) <= j.class {
		c.kinds = append(c.kinds, classKinds{})
	}
	c.kinds[j.class] = classKinds{c.typesOf(j), c.now}
}

// hostDevice is a machine of a part owned here, with or without the room of those
// who would give way.
func (c *Core) hostDevice(h *host, withoutPreemptible bool) device {
	t := &c.types[h.typ]
	now := seconds(c.now)
	d := &plan.Device{Kind: c.kind(h.part.zone, h.typ, h.spot), Total: t.Total.plan(), Up: now,
		SPerGB: c.fetchRate(h.typ), Slow: 1, FetchAt: seconds(h.fetchEnd),
		Images: make([]plan.Held, 0, len(h.images)+len(h.fetching)+1), Uses: make([]plan.Use, 0, len(h.tasks)+4)}
	if h.state == booting {
		d.Up = max(seconds(h.eta), now+1)
	} else if h.joining(c.now) {
		d.Up = now + 0.5
	}
	for img, at := range h.fetching {
		d.Images = append(d.Images, plan.Held{Image: img, At: max(seconds(at), now+0.2)})
	}
	for img := range h.images {
		if _, fetching := h.fetching[img]; !fetching {
			d.Images = append(d.Images, plan.Held{Image: img, At: now})
		}
	}
	if len(h.tasks) == 0 {
		d.Penalty = emptyCost // work that shares machines lets others go back
	}
	for _, t := range h.tasks {
		if withoutPreemptible && c.preemptible(t) {
			continue
		}
		d.Uses = append(d.Uses, plan.Use{Start: 0, End: seconds(c.expectedEnd(t)), Amount: t.need.plan()})
	}
	return device{d, h.part.zone, h}
}

// teamUse is what a team uses in all parts, as far as known here.
func (c *Core) teamUse(team int) Amount {
	var sum Amount
	for _, p := range c.parts {
		if p.mine && p.loaded {
			sum = sum.plus(p.used[team], 1)
		} else if p.view != nil {
			sum = sum.plus(p.view.Used[c.limits[team].Name], 1)
		}
	}
	return sum
}

// place books a task on a host; it is launched once that is durable.
func (c *Core) place(p *part, s *slice, i int, h *host) {
	j := s.job
	if !j.spec.Gang {
		s.next++
	}
	t := &task{id: TaskID{j.id, i}, slice: s, host: h, attempt: s.next, phase: placing,
		need: j.spec.Need, team: j.team, since: c.now, fetchFrom: c.now}
	if h.tasks[t.id] != nil {
		return // an earlier attempt is still on its way off this host
	}
	s.leavesAt = 0
	s.waiting.remove(i)
	s.tasks[i] = t
	c.occupy(p, t)
	if j.image >= 0 {
		if _, has := h.images[j.image]; has {
			h.images[j.image] = c.now
		} else if _, on := h.fetching[j.image]; !on {
			at := max(c.now, h.fetchEnd) + duration(j.spec.ImageGB*c.fetchRate(h.typ))
			h.fetching[j.image], h.fetchEnd = at, at
		}
	}
	p.dirty[j.id] = s
}
