package core

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
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
	if p.yielding {
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
func (c *Core) hostDevice(h *host, yielded bool) device {
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
		if yielded && c.yields(t) {
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

// soon is how far from now a planned start may lie to count as now.
const soon = 0.05

// ahead is how many of a job's tasks that find no room now are given room
// later, so that work behind them can't take it. What comes after them takes
// what is free now or is planned when they have started.
const ahead = 32

// makesSense is how soon room must come by itself for nobody to be stopped for it.
const makesSense = 1.0

// shortFor is how long a slice may have started nothing before room that is about
// to be free counts as none.
const shortFor = 3 * time.Second

func devicesOf(all []device) []*plan.Device {
	out := make([]*plan.Device, len(all))
	for i := range all {
		out[i] = all[i].Device
	}
	return out
}

// Planning costs about this much per machine looked at and per task placed.
// The pause after a plan is some thirty times that, which leaves a controller
// with a seventh of a core three quarters of it for everything else.
const (
	pausePerLook  = 2 * time.Microsecond
	pausePerPlace = 60 * time.Microsecond
)

// plan runs the programme over the part's ready jobs. Tasks whose planned
// machine has room now are placed; the others stay ready and are planned
// again as soon as anything changes. It returns how long to pause.
func (c *Core) plan(p *part) time.Duration {
	p.shortage = p.shortage[:0]
	if !c.mayStart() || len(c.types) == 0 {
		return 0
	}
	c.seeTeams()
	ready := c.ready(p)
	if len(ready) == 0 {
		return 0
	}
	c.stats.Plans++
	var all []device
	var devices []*plan.Device
	for _, h := range p.hostList() {
		if h.planned(c.now) || h.typ >= 0 && h.joining(c.now) {
			d := c.hostDevice(h, false)
			all, devices = append(all, d), append(devices, d.Device)
		}
	}
	now := seconds(c.now)
	looks, tasks := len(devices), 0
	var left []float64   // for fillers, by pool
	var yielding []*host // with fillers that may be stopped
	longest := p.longestName()
	for _, s := range ready {
		j := s.job
		waiting, room := c.startable(s), c.room(p, j.team, j.spec.Need)
		quota := c.roomFor(s, room)
		if room < waiting && c.quotas[j.team].known {
			c.wantGrants(s)
		}
		fits := c.ledgerOf(s)
		most := fits.most(c.perHost(j), longest)
		n := min(waiting, quota, most, 256)
		if c.now < j.holdTo || waiting == 0 {
			continue
		}
		c.sawClass(j)
		if j.spec.Gang && (len(s.tasks) > 0 || n < s.waiting.count()) {
			continue // whole or not at all, and only once the last try is off its machines
		}
		var starts []plan.Placement
		later, inTime, after, ends := 0, 0, 60.0, 0.0
		looks += len(devices)
		step := c.step(j)
		all, devices := all, devices
		if fit := c.avoiding(j, all); len(fit) < len(all) {
			all, devices = fit, devicesOf(fit)
		}
		keeps := c.keeps(s)
		if keeps {
			if p.keep.pools == nil {
				continue // a new owner has yet to see what others need
			}
			if left == nil {
				left = c.fillRoom(p) // those who come first have been placed
			}
			fit, most := c.fillable(&p.keep, j, all, left)
			all, devices, n = fit, devicesOf(fit), min(n, most)
		} else if c.filler(j) && (c.overdue(s) || c.leftOut(s)) {
			n = min(n, beginWith)
		}
		visit := func(pl plan.Placement) bool {
			h := all[pl.Device].host
			if keeps && h.state == up {
				room := &left[poolOf(p.keep.pools, h.typ)]
				use := c.takes(j.spec.Need, h.typ)
				if *room < use {
					return true
				}
				*room -= use
			}
			if !j.spec.Gang && (pl.Start > now+soon || h.state != up) {
				later++
				after, ends = min(after, pl.Start-now), max(ends, pl.Finish)
				if h.state == booting && c.now > h.eta {
					ends = math.Inf(1) // it should be up and is not: nobody knows when
				} else if pl.Start <= now+makesSense {
					inTime++
				}
				return later < ahead
			}
			starts = append(starts, pl)
			return true
		}
		planned := plan.Spread(step, n, devices, now, visit)
		if later >= ahead && planned < n {
			// Machines that are free must not stay so because the job would
			// rather wait for others, which the first of it have taken.
			step.By = now + soon
			looks += len(devices)
			planned += plan.Spread(step, n-planned, devices, now, func(pl plan.Placement) bool {
				if all[pl.Device].host.state == up {
					starts = append(starts, pl)
				}
				return true
			})
		}
		tasks += planned
		if j.spec.Gang && !c.allNow(starts, n, all) {
			if j.doubt == 0 {
				p.shortage = append(p.shortage, need{j, n, 60})
			}
			continue
		}
		if j.spec.Gang && n > 0 {
			s.next++ // the tasks of a gang know each other by their common attempt
		}
		// Tasks that follow one another on a machine are one entry of the value.
		slices.SortStableFunc(starts, func(a, b plan.Placement) int { return cmp.Compare(a.Device, b.Device) })
		for k, i := range s.waiting.first(len(starts)) {
			h := all[starts[k].Device].host
			if !fits.take(h.name) {
				starts = starts[:k]
				break
			}
			c.place(p, s, i, h)
		}
		late := min(waiting, quota, most) - len(starts)
		s.making = s.making[min(len(starts), len(s.making)):]
		if late <= 0 || len(starts) > 0 {
			s.shortAt = 0
		} else if s.shortAt == 0 {
			s.shortAt = c.now
		}
		if s.shortAt > 0 && c.now > s.shortAt+shortFor {
			inTime = 0 // more urgent work takes it each time
		}
		if late > inTime && j.doubt == 0 {
			offers := yielding
			if j.spec.Service {
				offers = c.yieldingTo(p, j)
				looks += len(devices)
			} else if yielding == nil {
				yielding = c.yielding(p)
				offers = yielding
			}
			looks += len(offers)
			by := math.Inf(1) // when all of them run without that
			if planned >= n {
				by = ends - step.Comp
			}
			late -= max(c.makeRoom(p, s, late-inTime, by, offers)-inTime, 0)
		}
		if late > 0 && j.doubt == 0 {
			p.shortage = append(p.shortage, need{j, late, after})
		}
	}
	if len(devices) < 100 {
		return 0 // costs nothing to speak of
	}
	return time.Duration(looks)*pausePerLook + time.Duration(tasks)*pausePerPlace
}

// allNow says whether every task of a gang can start now.
func (c *Core) allNow(starts []plan.Placement, n int, all []device) bool {
	for _, pl := range starts {
		if pl.Start > seconds(c.now)+soon || all[pl.Device].host.state != up {
			return false
		}
	}
	return len(starts) == n
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
