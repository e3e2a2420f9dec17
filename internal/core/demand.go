package core

import (
	"math"
	"slices"
	"time"
)

// Demand is what a zone's work takes of its machines and what waits for room, by pool of
// machine types. The fleet is sized by the demand of the recent past and by how it grows.

// takes is what an amount takes of a machine of the type, in the machine's cores: of its
// cores, cards and memory whatever it takes the largest share of. Where cards bind,
// machines without a card left counted as having a third or a sixth of their cores free.
// It is a multiple of 1/64, which add up to the same in any order.
func (c *Core) takes(need Amount, typ int) float64 {
	t, share := c.types[typ].Total, 0.0
	for _, x := range [][2]float64{{need.Cores, t.Cores}, {need.Cards, t.Cards}, {need.Mem, t.Mem}} {
		if x[0] > 0 && x[1] > 0 {
			share = max(share, x[0]/x[1])
		}
	}
	return max(math.Round(share*t.Cores*64), 1) / 64
}

// sample is the demand at a moment, as load by pool of machine types.
type sample struct {
	at    time.Duration
	cores []float64
	plain []float64 // of it, by work that no spot machine may run
}

func (s sample) all() []float64      { return s.cores }
func (s sample) ordinary() []float64 { return s.plain }

// load is what a zone's work takes or waits for, in cores by pool of machine types.
type load struct {
	pools  []uint64
	demand []float64 // of all work but backfill
	plain  []float64 // of it, by work that no spot machine may run
	filled []float64 // by backfill that runs
	firm   []float64 // of it, by what can't give way
}

// measure sums up what the tasks on a part's machines take and what waits for room.
func (c *Core) measure(p *part) load {
	pools := c.pools()
	l := load{pools: pools, demand: make([]float64, len(pools)), plain: make([]float64, len(pools)),
		filled: make([]float64, len(pools)), firm: make([]float64, len(pools))}
	for _, h := range p.hostList() {
		if h.typ < 0 {
			continue
		}
		for _, t := range h.tasks {
			c.addRunning(&l, h, t)
		}
	}
	for _, id := range sorted(p.slices) { // reads of quotas are asked for in this order
		c.addWaiting(p, &l, p.slices[id])
	}
	return l
}

// addRunning adds a task that is on a machine.
func (c *Core) addRunning(l *load, h *host, t *task) {
	i, use, j := poolOf(l.pools, h.typ), c.takes(t.need, h.typ), t.job()
	if j != nil && c.backfills(j) {
		l.filled[i] += use
		if !c.preemptible(t) {
			l.firm[i] += use
		}
		return
	}
	l.demand[i] += use
	if j != nil && !j.spec.Spot {
		l.plain[i] += use
	}
}

// addWaiting adds the tasks of a slice that could start if there were room.
func (c *Core) addWaiting(p *part, l *load, s *slice) {
	j := s.job
	if j.standing != Pending || j.team < 0 || len(s.waiting) == 0 || c.backfills(j) {
		return
	}
	typ := c.usualType(j)
	if typ < 0 {
		return
	}
	startable := min(c.startable(s), c.room(p, j.team, j.spec.Need))
	i, use := poolOf(l.pools, typ), float64(startable)*c.takes(j.spec.Need, typ)
	l.demand[i] += use
	if !j.spec.Spot {
		l.plain[i] += use
	}
}

// remember keeps the demand as a sample, the larger of those within a second.
func (p *part) remember(l load, now, window time.Duration) {
	if len(p.demand) == 0 {
		p.demandFrom = now
	}
	if k := len(p.demand); k == 0 || now >= p.demand[k-1].at+time.Second || len(p.demand[k-1].cores) != len(l.demand) {
		p.demand = append(p.demand, sample{now, l.demand, l.plain})
	} else {
		for i := range l.demand {
			p.demand[k-1].cores[i] = max(p.demand[k-1].cores[i], l.demand[i])
			p.demand[k-1].plain[i] = max(p.demand[k-1].plain[i], l.plain[i])
		}
	}
	for len(p.demand) > 0 && p.demand[0].at < now-window {
		p.demand = p.demand[1:]
	}
}

// size keeps the part's fleet near its demand: machines for waiting work at
// once, room for what the recent past suggests, idle ones back when neither
// needs them.
func (c *Core) size(p *part) {
	if len(c.types) == 0 || p.handingOver || !c.sure() {
		return
	}
	defer c.pushHires(p)
	for _, h := range p.hosts {
		c.meter(h)
	}
	c.seeTeams()
	l := c.measure(p)
	p.remember(l, c.now, c.cfg.Knobs.Window)
	if c.now >= p.loadAt {
		p.loadAt = c.now + 15*time.Second
		c.noteLoad(p, l.demand)
	}
	coming := c.coming(p)
	may := c.mayStart() && c.storeWell() && c.fleetKnown(p)
	if c.dark(p) && !p.wasDark {
		p.wasDark = true
		c.note(2, "part is dark: none of its workers is heard here", "part", p.name, "token", p.token)
	}
	clear(p.export)
	if may {
		for _, n := range p.shortage {
			c.hireFor(p, n, coming)
		}
	}
	p.keep, p.backfillRoom = kept{l.pools, make([]float64, len(l.pools))}, nil
	for i := range l.pools {
		c.sizePool(p, l, i, may)
	}
}

// sizePool keeps the machines of one pool near its demand; it hires only if it may.
func (c *Core) sizePool(p *part, l load, i int, may bool) {
	types := l.pools[i]
	target, mean := c.target(p, sample.all, i, len(l.pools))
	grown := target
	if target > chanceCores {
		grown += c.growth(p, sample.all, i, len(l.pools)) * c.slowestBoot(types)
	}
	ordinary, lastingly := c.target(p, sample.ordinary, i, len(l.pools))
	ordinary += c.growth(p, sample.ordinary, i, len(l.pools)) * c.slowestBoot(types)
	if ours := c.ordinary(p, types); may && ours < ordinary && lastingly > 0 {
		// Cheap machines that stand ready are none to those who may not use them.
		c.hirePlain(p, types, ordinary-ours)
	}
	p.keep.cores[i] = target
	if capacity := c.capacity(p, types) - l.firm[i]; may && capacity < grown && mean > 0 {
		lasting := target - capacity
		if target > chanceCores {
			lasting = mean*1.05 - capacity
		}
		c.hireRoom(p, types, grown-capacity, target-capacity, lasting)
	}
	over := c.surplusOf(p, types, grown+l.filled[i], ordinary)
	c.returnIdle(p, types, &over)
	c.consolidate(p, types, over)
}

// target is what a pool should hold by the demand of late: its peak and a share of its
// mean, which it returns as well.
func (c *Core) target(p *part, of func(sample) []float64, pool, pools int) (target, mean float64) {
	peak := 0.0
	for _, s := range p.demand {
		if d := of(s); len(d) == pools { // not from before a class was met
			peak = max(peak, d[pool])
			mean += d[pool] / float64(len(p.demand))
		}
	}
	return peak + mean*c.cfg.Knobs.SpareShare*min(1, math.Sqrt(chanceCores/max(mean, 1))), mean
}

// growthQuarters is into how many parts the window of past demand is divided to tell
// growth that lasts from a single step.
const growthQuarters = 4

// growth is by how many cores a second demand has grown lately in a pool. The quarter of the window in which it grew most counts as
// the next one, so that a single large job foretells nothing. Work that comes while machines for the last of it still boot would wait for a
// boot as well, however steadily it comes. The first demand that an owner sees is
// a backlog and says nothing about what is yet to come.
func (c *Core) growth(p *part, of func(sample) []float64, pool, pools int) float64 {
	window := c.cfg.Knobs.Window
	if len(p.demand) == 0 || c.now < p.demandFrom+window*3/2 {
		return 0
	}
	from := p.demand[0].at
	quarter := (c.now - from) / growthQuarters
	at := func(t time.Duration) float64 {
		demand := 0.0
		for _, s := range p.demand {
			if d := of(s); s.at <= t && len(d) == pools {
				demand = d[pool]
			}
		}
		return demand
	}
	grown := make([]float64, growthQuarters)
	for q := range grown {
		grown[q] = at(from+quarter*time.Duration(q+1)) - at(from+quarter*time.Duration(q))
	}
	slices.Sort(grown)
	grown[growthQuarters-1] = grown[growthQuarters-2]
	sum := 0.0
	for _, g := range grown {
		sum += g
	}
	return max(sum, 0) / (seconds(quarter) * growthQuarters)
}

// longBoot is how much longer than stated a boot may usually take.
const longBoot = 1.5

// slowestBoot is how long the slowest of the types given may usually take to boot, in
// seconds.
func (c *Core) slowestBoot(types uint64) float64 {
	boot := 0.0
	for t := range c.types {
		if types&(1<<t) != 0 {
			boot = max(boot, longBoot*c.types[t].BootS)
		}
	}
	return boot
}

// chanceCores is the demand up to which the whole spare share is kept and queues
// are not reckoned with. What comes by chance grows with the root of the demand
// only, so a larger fleet needs less in proportion and is easier to foresee.
const chanceCores = 200.0

// fleetKnown says whether a new owner knows the part's machines well enough to
// hire more. Those with tasks are in the slices; idle ones are known by the
// cloud's list, or when every worker has had time to report. Before that a
// change of owners had a second fleet hired beside the first.
func (c *Core) fleetKnown(p *part) bool {
	return p.fleetListed || p.freshStart || c.now > p.loadedAt+c.cfg.Report*13/10
}

// pools groups the machine types that the same classes of jobs can use. Room
// on one type of a pool is as good as on another; room on another pool's may be
// none at all to the work that waits.
func (c *Core) pools() []uint64 {
	var pools, users []uint64
next:
	for t := range min(len(c.types), 64) {
		by := uint64(0)
		for class, k := range c.kinds {
			if class < 64 && k.types&(1<<t) != 0 && c.now < k.at+5*time.Minute {
				by |= 1 << class
			}
		}
		for i := range users {
			if users[i] == by {
				pools[i] |= 1 << t
				continue next
			}
		}
		pools, users = append(pools, 1<<t), append(users, by)
	}
	return pools
}

func poolOf(pools []uint64, typ int) int {
	for i, types := range pools {
		if types&(1<<typ) != 0 {
			return i
		}
	}
	return 0
}

// noteLoad logs how the part's cores are used.
func (c *Core) noteLoad(p *part, demand []float64) {
	var boots, spot, all, run, wait float64
	for _, h := range p.hosts {
		if h.typ < 0 {
			continue
		}
		cores := c.types[h.typ].Total.Cores
		if h.state == booting {
			boots += cores
			continue
		}
		all += cores
		if h.spot {
			spot += cores
		}
		for _, t := range h.tasks {
			if t.state == Running {
				run += t.need.Cores
			} else {
				wait += t.need.Cores
			}
		}
	}
	c.note(1, "part load", "part", p.name, "token", p.token, "cores", all, "spot", spot, "booting", boots,
		"running", run, "fetching", wait, "demand", demand)
}

// capacity counts the cores of machines of the types given that work, boot or
// are being hired.
func (c *Core) capacity(p *part, types uint64) float64 {
	return c.ordinary(p, types) + c.coresOf(p, types, true)
}

// ordinary counts those that are no spot machines.
func (c *Core) ordinary(p *part, types uint64) float64 { return c.coresOf(p, types, false) }

func (c *Core) coresOf(p *part, types uint64, spot bool) float64 {
	sum := 0.0
	for _, h := range p.hostList() {
		if h.typ >= 0 && types&(1<<h.typ) != 0 && h.spot == spot && h.recall == 0 && !h.failed && !h.expired && (h.state == up || h.state == booting) {
			sum += c.types[h.typ].Total.Cores
		}
	}
	for _, r := range p.hiring {
		if types&(1<<r.typ) != 0 && r.op.Spot == spot {
			sum += c.types[r.typ].Total.Cores * float64(r.op.Number)
		}
	}
	return sum
}
