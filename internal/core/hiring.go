package core

import (
	"fmt"
	"sort"
	"time"
)

// hire is a rental under way. Its name is never used for anything else; while
// no answer came it is repeated under the same name.
type hire struct {
	op      HireOp
	typ     int
	tries   int
	busy    bool
	retryAt time.Duration
	asked   time.Duration
}

// sample is the demand at a moment, in cores.
type sample struct {
	at    time.Duration
	cores float64
}

// size keeps the part's fleet near its demand: machines for waiting work at
// once, room for what the recent past suggests, idle ones back when neither
// needs them.
func (c *Core) size(p *part) {
	if len(c.types) == 0 || p.yielding {
		return
	}
	c.pushHires(p)
	for _, h := range p.hosts {
		c.meter(h)
	}
	demand := 0.0
	for _, u := range p.used {
		demand += u.Cores
	}
	for _, s := range p.slices {
		if s.job.standing == Pending && s.job.team >= 0 {
			n := min(s.waiting.count(), c.room(p, s.job.team, s.job.spec.Need))
			demand += float64(n) * s.job.spec.Need.Cores
		}
	}
	if k := len(p.demand); k == 0 || c.now >= p.demand[k-1].at+time.Second {
		p.demand = append(p.demand, sample{c.now, demand})
	} else {
		p.demand[k-1].cores = max(p.demand[k-1].cores, demand)
	}
	for len(p.demand) > 0 && p.demand[0].at < c.now-c.cfg.Knobs.Window {
		p.demand = p.demand[1:]
	}
	peak, mean := 0.0, 0.0
	for _, s := range p.demand {
		peak = max(peak, s.cores)
		mean += s.cores / float64(len(p.demand))
	}
	if c.now >= p.loadAt {
		p.loadAt = c.now + 15*time.Second
		c.noteLoad(p, demand, peak, mean)
	}
	target := peak + mean*c.cfg.Knobs.SpareShare
	capacity := c.capacity(p)
	if c.mayStart() && c.storeWell() {
		for _, n := range p.shortage {
			c.hireFor(p, n, &capacity)
		}
		if capacity < target && mean > 0 {
			c.hireRoom(p, target-capacity)
		}
	}
	c.returnIdle(p, target)
}

// noteLoad logs how the part's cores are used.
func (c *Core) noteLoad(p *part, demand, peak, mean float64) {
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
		"running", run, "fetching", wait, "demand", demand, "peak", peak, "mean", mean)
}

// capacity counts the cores of machines that work, boot or are being hired.
func (c *Core) capacity(p *part) float64 {
	sum := 0.0
	for _, h := range p.hostList() {
		if h.typ >= 0 && h.recall == 0 && !h.failed && !h.expired && (h.state == up || h.state == booting) {
			sum += c.types[h.typ].Total.Cores
		}
	}
	for _, r := range p.hiring {
		sum += c.types[r.typ].Total.Cores * float64(r.op.Number)
	}
	return sum
}

// offers lists what may be hired in the part, cheapest per core first, leaving
// out what was refused lately.
func (c *Core) offers(p *part) []Offer {
	var out []Offer
	for _, t := range c.types {
		if !contains(t.Zones, p.name) {
			continue
		}
		for _, spot := range []bool{true, false} {
			if o := (Offer{t.Name, spot}); c.now >= p.scarce[o] {
				out = append(out, o)
			}
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return c.perCore(out[a]) < c.perCore(out[b]) })
	return out
}

func (c *Core) perCore(o Offer) float64 {
	t := &c.types[c.typeIdx.known(o.Type)]
	price := t.Price
	if o.Spot {
		price = t.SpotPrice
	}
	return price / max(t.Total.Cores, 0.01)
}

// hireFor rents machines for work that finds no room soon, beyond what
// machines booting or asked for will hold.
func (c *Core) hireFor(p *part, n need, capacity *float64) {
	per := n.job.spec.Need
	// Room that is on its way for this shape.
	coming := 0
	for _, h := range p.hostList() {
		if h.state == booting && h.typ >= 0 && c.allowedOn(n.job, c.kind(p.zone, h.typ, h.spot)) {
			coming += c.holds(h.typ, per)
		}
	}
	for _, r := range p.hiring {
		if c.allowedOn(n.job, c.kind(p.zone, r.typ, r.op.Spot)) {
			coming += c.holds(r.typ, per) * r.op.Number
		}
	}
	short := n.tasks - coming
	if short <= 0 {
		return
	}
	offers := c.offers(p)
	sort.SliceStable(offers, func(a, b int) bool { return c.priceFor(n.job, offers[a]) < c.priceFor(n.job, offers[b]) })
	for _, o := range offers {
		typ := c.typeIdx.known(o.Type)
		k := c.holds(typ, per)
		if k == 0 || !c.allowedOn(n.job, c.kind(p.zone, typ, o.Spot)) {
			continue
		}
		count := min((short+k-1)/k, 50)
		c.hire(p, o, count)
		*capacity += float64(count) * c.types[typ].Total.Cores
		return
	}
}

// priceFor is an offer's price per core for a job; types that others cannot do
// without count as dearer.
func (c *Core) priceFor(j *job, o Offer) float64 {
	if c.contested(j, c.typeIdx.known(o.Type)) {
		return 1.6 * c.perCore(o)
	}
	return c.perCore(o)
}

// holds is how many tasks of a shape an empty machine of the type takes.
func (c *Core) holds(typ int, per Amount) int {
	t := c.types[typ].Total
	n := 1 << 20
	for _, x := range [][2]float64{{t.Cores, per.Cores}, {t.Cards, per.Cards}, {t.Mem, per.Mem}} {
		if x[1] > 0 {
			n = min(n, int((x[0]+1e-6)/x[1]))
		}
	}
	return n
}

// hireRoom rents for demand foreseen, one kind at a time.
func (c *Core) hireRoom(p *part, cores float64) {
	for _, o := range c.offers(p) {
		t := &c.types[c.typeIdx.known(o.Type)]
		if n := int(cores/t.Total.Cores + 0.5); n > 0 {
			c.hire(p, o, min(n, 4))
			return
		}
	}
}

func (c *Core) hire(p *part, o Offer, count int) {
	if len(p.hiring) >= 4 {
		return
	}
	for _, r := range p.hiring {
		if r.op.Type == o.Type && r.op.Spot == o.Spot {
			return // one request per kind at a time
		}
	}
	p.hireSeq++
	// The token makes the name this ownership's own, the counter this request's.
	name := fmt.Sprintf("r-%s-%d-%d", p.name, p.token, p.hireSeq)
	p.hiring = append(p.hiring, &hire{typ: c.typeIdx.known(o.Type), asked: c.now,
		op: HireOp{Name: name, Type: o.Type, Zone: p.name, Spot: o.Spot, Number: count}})
	c.pushHires(p)
}

func (c *Core) pushHires(p *part) {
	tenure := p.tenure
	for _, r := range p.hiring {
		if r.busy || c.now < r.retryAt {
			continue
		}
		r.busy = true
		r.tries++
		c.note(1, "hiring", "name", r.op.Name, "type", r.op.Type, "spot", r.op.Spot, "number", r.op.Number, "part", p.name, "token", p.token)
		c.call(r.op, func(x any) {
			if !p.mine || p.tenure != tenure {
				return
			}
			r.busy = false
			res := x.(HireResult)
			switch res.Outcome {
			case OK:
				c.hired(p, r, res.Hosts)
			case Refused:
				p.scarce[Offer{r.op.Type, r.op.Spot}] = c.now + 20*time.Second
				c.note(1, "no capacity", "type", r.op.Type, "spot", r.op.Spot, "part", p.name)
			default:
				if r.tries < 30 {
					r.retryAt = c.now + 700*time.Millisecond
					return
				}
			}
			for i, q := range p.hiring {
				if q == r {
					p.hiring = append(p.hiring[:i], p.hiring[i+1:]...)
					break
				}
			}
			p.replan = true
		})
	}
}

func (c *Core) hired(p *part, r *hire, names []string) {
	c.stats.Hired += uint64(len(names))
	if len(names) < r.op.Number {
		p.scarce[Offer{r.op.Type, r.op.Spot}] = c.now + 20*time.Second
	}
	for _, name := range names {
		if _, gone := p.gone[name]; gone {
			continue
		}
		h := c.hostNamed(p, name)
		h.typ, h.spot = r.typ, r.op.Spot
		h.hiredAt = r.asked
		h.eta = r.asked + duration(c.types[r.typ].BootS*1.1)
		h.giveUp = r.asked + c.patience(c.types[r.typ].BootS)
		if h.session == 0 {
			h.state = booting
		}
	}
}

// returnIdle gives machines back that have been idle for a while and that the
// recent demand does not ask for, dearest first.
func (c *Core) returnIdle(p *part, target float64) {
	if len(p.shortage) > 0 {
		return
	}
	var idle []*host
	for _, h := range p.hostList() {
		if h.state == up && h.typ >= 0 && len(h.tasks) == 0 && h.recall == 0 &&
			c.now >= h.idleSince+c.cfg.Knobs.KeepIdle {
			idle = append(idle, h)
		}
	}
	sort.Slice(idle, func(a, b int) bool {
		x := c.perCore(Offer{c.types[idle[a].typ].Name, idle[a].spot})
		y := c.perCore(Offer{c.types[idle[b].typ].Name, idle[b].spot})
		if x != y {
			return x > y
		}
		return idle[a].name < idle[b].name
	})
	capacity := c.capacity(p)
	var back []*host
	for _, h := range idle {
		cores := c.types[h.typ].Total.Cores
		if capacity-cores < target {
			continue
		}
		capacity -= cores
		back = append(back, h)
	}
	if len(back) > 0 {
		c.giveHostsBack(p, back)
	}
}
