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

// A job that has waited so long for its first task goes ahead of all others, and
// so does what is left of one that is older still: whatever the order, nothing
// is starved by a stream of more urgent or smaller work.
const (
	beginBy = 170 * time.Second
	endBy   = 400 * time.Second
)

func (c *Core) overdue(s *slice) bool {
	age := c.now - s.job.since
	return age > endBy && !c.filler(s.job) || age > beginBy && len(s.tasks)+len(s.done) == 0
}

// ready lists the slices with waiting tasks in the order they are served:
// those that wait far too long first, fillers last, then by priority, teams within their
// guarantee first, then by the time left to their aim or deadline. Jobs that can
// no longer make it come after those that can: with more work than room, the
// earliest deadline first would have all of them late by a little.
func (c *Core) ready(p *part) []*slice {
	var list []*slice
	for _, s := range p.slices {
		if len(s.waiting) > 0 && s.job.standing == Pending && s.job.team >= 0 {
			list = append(list, s)
		}
	}
	slots := c.slotsOf(p)
	type key struct {
		late, fills, lost bool
		by                float64
	}
	keys := make(map[*slice]key, len(list))
	for _, s := range list {
		rounds, fills := float64(s.waiting.count())/max(slots(s.job), 1), c.filler(s.job)
		if fills && !c.hasAims(s.job) {
			rounds = 0 // the oldest first, so that some end instead of all being half done
		}
		by, lost := c.startBy(s.job, rounds)
		keys[s] = key{c.overdue(s), fills, lost, by}
	}
	slices.SortFunc(list, func(a, b *slice) int {
		x, y := a.job, b.job
		kx, ky := keys[a], keys[b]
		byPriority := cmp.Compare(x.spec.Priority, y.spec.Priority)
		if kx.late || ky.late {
			byPriority = 0
		}
		first := func(x, y bool) int {
			switch {
			case x == y:
				return 0
			case x:
				return -1
			}
			return 1
		}
		return cmp.Or(first(kx.late, ky.late), first(ky.fills, kx.fills), byPriority, first(c.within[x.team], c.within[y.team]), first(ky.lost, kx.lost),
			cmp.Compare(kx.by, ky.by), cmp.Compare(x.id, y.id))
	})
	return list
}

// slotsOf tells how many tasks of a job the part's machines hold at once.
func (c *Core) slotsOf(p *part) func(*job) float64 {
	count := make([]float64, len(c.types)*2)
	for _, h := range p.hostList() {
		if h.planned(c.now) {
			k := h.typ * 2
			if h.spot {
				k++
			}
			count[k]++
		}
	}
	return func(j *job) float64 {
		n := 0.0
		for k, m := range count {
			if m > 0 && c.allowedOn(j, c.kind(p.zone, k/2, k&1 == 1)) {
				n += m * float64(c.holds(k/2, j.spec.Need))
			}
		}
		return n
	}
}

// hasAims says whether anybody expects the job to end by a certain time.
func (c *Core) hasAims(j *job) bool {
	return len(c.cfg.Finishes[j.spec.Class]) > 0 || j.spec.Deadline > 0
}

// startBy is when a job should have started to meet the tightest of its class's
// aims and its deadlines that it still can, its tasks going through the machines
// in so many rounds, and whether it can meet none any more. Without any it
// counts as due in ten minutes.
func (c *Core) startBy(j *job, rounds float64) (by float64, lost bool) {
	since, run := seconds(j.since), c.estimate(j)*max(rounds, 1)
	try := func(within float64) bool {
		by = since + within - run
		return by >= seconds(c.now)
	}
	aims := false
	for _, f := range c.cfg.Finishes[j.spec.Class] {
		if aims = true; try(f) {
			return by, false
		}
	}
	if d := j.spec.Deadline; d > 0 {
		times := c.cfg.Deadlines[j.spec.Class]
		if len(times) == 0 {
			times = []float64{1}
		}
		for _, t := range times {
			if aims = true; try(d * t) {
				return by, false
			}
		}
	}
	if aims {
		return by, true
	}
	try(600)
	return by, false
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

// viewDevices is another part's machines by its owner's last word.
func (c *Core) viewDevices(p *part) []device {
	if p.devices != nil || p.view == nil || c.now > p.viewAt+10*time.Second {
		return p.devices
	}
	now := seconds(p.viewAt)
	nth := make([]float64, len(c.types)) // machines of a type so far
	for i := range p.view.Hosts {
		v := &p.view.Hosts[i]
		typ := c.typeIdx.known(v.Type)
		if typ < 0 {
			continue
		}
		for range min(v.Count, 5000) {
			d := &plan.Device{Kind: c.kind(p.zone, typ, v.Spot), Total: c.types[typ].Total.plan(), Up: now + v.Up,
				SPerGB: c.fetchRate(typ), Slow: 1, FetchAt: now + v.FetchAt}
			if v.Used.Cores > 0 || v.Used.Cards > 0 {
				d.Uses = append(make([]plan.Use, 0, 4), plan.Use{Start: 0, End: now + v.For, Amount: v.Used.plan()})
			}
			if v.Up == 0 {
				// Which machines hold an image is not told, only how many do: it
				// is dealt out evenly.
				nth[typ]++
				for _, s := range p.view.Images {
					if s.Type == v.Type && math.Floor(nth[typ]*s.Share) > math.Floor((nth[typ]-1)*s.Share) {
						d.Images = append(d.Images, plan.Held{Image: c.images.of(s.Image)})
					}
				}
			}
			p.devices = append(p.devices, device{d, p.zone, nil})
		}
	}
	return p.devices
}

// partDevices is a part's machines: by own knowledge, or by its owner's word.
func (c *Core) partDevices(p *part) []device {
	if !p.mine || !p.loaded {
		return c.viewDevices(p)
	}
	if p.devices == nil || c.now > p.devicesAt+500*time.Millisecond {
		p.devices, p.devicesAt = nil, c.now
		for _, h := range p.hostList() {
			if h.planned(c.now) {
				p.devices = append(p.devices, c.hostDevice(h, true))
			}
		}
	}
	return p.devices
}

// imagined is how many machines of a kind a job that is dealt counts on being
// hired for it.
const imagined = 12

// queueOfHired is the share of a part's queue that counts against a machine yet to be
// hired: of parts that can hire, the one with less to do.
const queueOfHired = 0.1

// market is imagined machines per zone, type and kind: what could be hired. The queues
// given, by type, are what all machines of the part are compared by; hardly any of it is
// before a machine that is hired for this job. With all of it, a part whose machines all
// boot for work that waits looked better the more of them it had.
func (c *Core) market(p *part, queues []float64) []device {
	var out []device
	for t := range c.types {
		typ := &c.types[t]
		if !contains(typ.Zones, p.name) {
			continue
		}
		for _, spot := range []bool{true, false} {
			wait, penalty := typ.BootS, (queueOfHired-1)*queues[t]
			if c.isScarce(p, Offer{typ.Name, spot}) {
				wait, penalty = wait+90, 0
			}
			if !p.mine && (p.view == nil || c.now > p.viewAt+3*time.Second) {
				wait += 15 // nobody is known to look after that part now
			}
			if c.darkFor(p) {
				wait += 60
			}
			total := typ.Total.plan()
			for range imagined {
				out = append(out, device{&plan.Device{Kind: c.kind(p.zone, t, spot), Total: total,
					Up: seconds(c.now) + wait, SPerGB: c.fetchRate(t), Slow: 1, Penalty: penalty}, p.zone, nil})
			}
		}
	}
	return out
}

// darkFor says whether a part is dark by own knowledge or its owner's word.
func (c *Core) darkFor(p *part) bool {
	if p.mine {
		return c.dark(p)
	}
	return p.view != nil && p.view.Dark
}

func (c *Core) isScarce(p *part, o Offer) bool {
	if p.mine {
		return c.now < p.scarce[o]
	}
	if p.view != nil {
		for _, s := range p.view.Scarce {
			if s == o {
				return true
			}
		}
	}
	return false
}

// deal splits a new job over the parts: each task to the part of its
// earliest-finish machine, as the job's limits on zones allow.
func (c *Core) deal(spec *Spec) map[string]ranges {
	j := &job{id: spec.ID, spec: *spec, image: -1, class: c.classes.of(spec.Class), team: c.teams.known(spec.Team)}
	if spec.Image != "" {
		j.image = c.imageOf(spec)
	}
	step := c.step(j)
	plain, queues := step.Cost, make([]float64, len(c.parts)*len(c.types))
	for z, p := range c.parts {
		copy(queues[z*len(c.types):], c.queueFor(p, spec.Priority))
	}
	if c.filler(j) {
		for z, p := range c.parts {
			for t := range c.types {
				if c.fillOn(p, t) < c.takes(spec.Need, t) {
					queues[z*len(c.types)+t] += fullCost
				}
			}
		}
	}
	step.Cost = func(kind int) float64 { return plain(kind) + queues[kind/2] }
	byZone := make([][]device, len(c.parts))
	for z, p := range c.parts {
		if spec.Zone != "" && p.name != spec.Zone || !c.zoneHolds(j, p) {
			continue
		}
		byZone[z] = c.partDevices(p)
		byZone[z] = append(byZone[z][:len(byZone[z]):len(byZone[z])], c.market(p, queues[z*len(c.types):])...)
	}
	counts := make([]int, len(c.parts))
	now := seconds(c.now)
	if spec.OneZone || spec.Gang {
		// A gang is placed in one transaction of one owner, so it stays together.
		counts[c.bestZone(step, spec.Tasks, byZone, now)] = spec.Tasks
	} else {
		most := spec.Tasks
		if spec.Apart {
			most = (spec.Tasks + 1) / 2
		}
		c.spreadOver(step, spec.Tasks, most, c.placedAtOnce(j), byZone, counts, now)
		if spec.Tasks <= oneSlice && !spec.Apart {
			together(counts)
		}
	}
	fewParts(counts, c.cfg.TxnOps-1)
	split := map[string]ranges{}
	at := 0
	for z, n := range counts {
		if n > 0 {
			split[c.parts[z].name] = ranges{{at, at + n}}
			at += n
		}
	}
	return split
}

// oneSlice is how many tasks a job may have to go to one part as a whole: each
// further part costs changes at the state service at its coming, and reads of
// all slices at its end. What finds no room there moves later.
const oneSlice = 40

// together gives all tasks to the part that has most of them.
func together(counts []int) {
	best, sum := 0, 0
	for z, n := range counts {
		if sum += n; n > counts[best] {
			best = z
		}
	}
	clear(counts)
	counts[best] = sum
}

// fewParts leaves tasks in at most so many parts: a job and its slices come into
// being in one transaction. The parts with the fewest tasks give them to those of
// the others that have the fewest, so that tasks that must be apart stay so.
func fewParts(counts []int, most int) {
	var used []int
	for z, n := range counts {
		if n > 0 {
			used = append(used, z)
		}
	}
	if len(used) <= most {
		return
	}
	slices.SortStableFunc(used, func(a, b int) int { return cmp.Compare(counts[b], counts[a]) })
	kept := used[:most]
	for _, z := range used[most:] {
		for ; counts[z] > 0; counts[z]-- {
			counts[slices.MinFunc(kept, func(a, b int) int { return cmp.Compare(counts[a], counts[b]) })]++
		}
	}
}

// zoneHolds says whether the zone has a machine type that the job allows.
func (c *Core) zoneHolds(j *job, p *part) bool {
	for t := range c.types {
		typ := &c.types[t]
		if contains(typ.Zones, p.name) && j.spec.Need.plan().Within(typ.Total.plan()) &&
			c.allowedOn(j, c.kind(p.zone, t, false)) {
			return true
		}
	}
	return false
}

// planned is how many tasks of a large job are dealt one by one; the rest
// follows their proportions.
const planned = 64

func (c *Core) bestZone(step *plan.Step, n int, byZone [][]device, now float64) int {
	best, at := -1, 0.0
	for z, ds := range byZone {
		if len(ds) == 0 {
			continue
		}
		var devices []*plan.Device
		for _, d := range ds {
			devices = append(devices, d.Device)
		}
		sched := plan.Solve([]plan.Step{{Tasks: min(n, planned), Gang: step.Gang, Need: step.Need, Comp: step.Comp, Image: step.Image,
			ImageGB: step.ImageGB, Allowed: step.Allowed}}, devices, now, c.cfg.Knobs.Frontier)
		if sched.Complete && (best < 0 || sched.Finish < at) {
			best, at = z, sched.Finish
		}
	}
	if best < 0 {
		best = max(c.zones.known(c.cfg.Zone), 0)
		for z, ds := range byZone {
			if len(ds) > 0 {
				best = z
			}
		}
	}
	return best
}

func (c *Core) spreadOver(step *plan.Step, n, most, at int, byZone [][]device, counts []int, now float64) {
	open := make([]bool, len(byZone))
	for z := range byZone {
		open[z] = len(byZone[z]) > 0
	}
	left, sample := n, min(n, planned)
	for sample > 0 {
		var devices []*plan.Device
		var zones []int
		for z, ds := range byZone {
			if !open[z] {
				continue
			}
			for _, d := range ds {
				devices, zones = append(devices, d.Device), append(zones, z)
			}
		}
		got := plan.Spread(step, sample, devices, now, func(pl plan.Placement) bool {
			z := zones[pl.Device]
			counts[z]++
			open[z] = counts[z] < most
			return open[z]
		})
		if got == 0 {
			break
		}
		sample -= got
		left -= got
	}
	// The rest of a large job in the same proportions, within the limit, as long as a
	// part can have that many placed at a time; what is beyond it would only wait there
	// and goes to all parts.
	dealt := n - left
	for z := range counts {
		if dealt > 0 && left > 0 && counts[z] > 0 {
			more := min(left, (n-dealt)*counts[z]/dealt, most-counts[z], max(at-counts[z], 0))
			counts[z] += more
			left -= more
		}
	}
	usable := 0
	for z := range counts {
		if len(byZone[z]) > 0 {
			usable++
		}
	}
	even := left / max(usable, 1)
	for z := range counts {
		if len(byZone[z]) > 0 && left > 0 {
			more := min(even, most-counts[z])
			counts[z] += more
			left -= more
		}
	}
	for z := range counts {
		if len(byZone[z]) > 0 || dealt == 0 {
			more := min(left, most-counts[z])
			counts[z] += more
			left -= more
		}
	}
	for z := range counts {
		more := min(left, most-counts[z])
		counts[z] += more
		left -= more
	}
}
