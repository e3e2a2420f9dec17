package core

import (
	"fmt"
	"math"
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

// usualType is the type that a job's machines are hired of when there is a
// choice, or -1.
func (c *Core) usualType(j *job) int {
	best, price := -1, 0.0
	for t := range c.types {
		if c.typesOf(j)&(1<<t) == 0 {
			continue
		}
		if x := c.priceFor(j, Offer{c.types[t].Name, j.spec.Spot}); best < 0 || x < price {
			best, price = t, x
		}
	}
	return best
}

// coming counts the machines on their way, by kind.
func (c *Core) coming(p *part) map[int]float64 {
	out := map[int]float64{}
	for _, h := range p.hostList() {
		if (h.state == booting || h.joining(c.now)) && h.typ >= 0 {
			out[c.kind(p.zone, h.typ, h.spot)]++
		}
	}
	for _, r := range p.hiring {
		out[c.kind(p.zone, r.typ, r.op.Spot)] += float64(r.op.Number)
	}
	return out
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
// machines on their way will hold; those are then spoken for.
func (c *Core) hireFor(p *part, n need, coming map[int]float64) {
	per := n.job.spec.Need
	short := float64(n.tasks)
	for _, kind := range sorted(coming) {
		k := float64(c.holds(kind/2%len(c.types), per))
		if k == 0 || coming[kind] <= 0 || !c.allowedOn(n.job, kind) || short <= 0 {
			continue
		}
		taken := min(coming[kind], short/k)
		coming[kind] -= taken
		short -= taken * k
	}
	if short < 0.01 {
		return
	}
	offers := c.offers(p)
	sort.SliceStable(offers, func(a, b int) bool { return c.priceFor(n.job, offers[a]) < c.priceFor(n.job, offers[b]) })
	for _, o := range offers {
		typ := c.typeIdx.known(o.Type)
		k, kind := c.holds(typ, per), c.kind(p.zone, typ, o.Spot)
		if k == 0 || !c.allowedOn(n.job, kind) {
			continue
		}
		boot := duration(c.types[typ].BootS)
		if c.backfills(n.job) {
			s := p.slices[n.job.id]
			if s == nil || c.now < n.job.since+boot && c.queueFor(p, priorities)[typ] < seconds(boot) {
				return
			}
			if !o.Spot && n.job.spec.Spot {
				// No dear machine for backfill, as long as they can wait.
				if c.sendAway(p, n.job, short) || c.keeps(s) {
					return
				}
				short = min(short, beginWith)
			}
		}
		if !o.Spot && n.job.spec.Spot && c.capacity(p, c.typesOf(n.job)) > chanceCores {
			// Dear machines only for what still waits when they are up. What has
			// waited as long as that already is not put off by a reckoning: the
			// queue counts machines that this very job may not be able to use, and
			// on a few machines a queue says little of when it ends.
			if c.now < n.job.since+boot {
				queue := c.queueFor(p, n.job.spec.Priority)[typ]
				if short *= max(1-seconds(boot)/max(queue, 0.1), 0); short < 0.5 {
					return
				}
			}
			if c.sendAway(p, n.job, short) {
				return
			}
		}
		want := short / float64(k)
		if count := c.hire(p, o, count(math.Ceil(want-0.01)), "waiting work"); count > 0 {
			coming[kind] += max(float64(count)-want, 0)
		}
		return
	}
}

// export is work to be handed to another part, which hires spot machines for it.
type export struct {
	to    *part
	tasks int
}

// sendAway has waiting tasks handed to the part that can hire spot machines for them,
// if there is one and they may go there.
func (c *Core) sendAway(p *part, j *job, tasks float64) bool {
	if !movable(j) {
		return false
	}
	q := c.spotElsewhere(p, c.typesOf(j), j.spec.Priority)
	if q != nil {
		p.export[j.id] = export{q, count(math.Ceil(tasks))}
	}
	return q != nil
}

// spotElsewhere names the part that can hire spot machines of the types given where
// this one would have to take dear ones: the one with the shortest queue, if that is over
// when such a machine is up or no longer than the queue here. Parts are not alike in what
// they can hire, and jobs go where machines are free already, so one was short of
// machines while others' cheap ones were never rented. A part whose machines all boot has
// a long queue and is the place to go all the same.
func (c *Core) spotElsewhere(p *part, types uint64, priority int) *part {
	var best *part
	least, here := 0.0, c.queueFor(p, priority)
	for _, q := range c.parts {
		if q == p || !c.current(q) || c.darkFor(q) {
			continue
		}
		for t := range c.types {
			if types&(1<<t) == 0 || !contains(c.types[t].Zones, q.name) || c.isScarce(q, Offer{c.types[t].Name, true}) {
				continue
			}
			if wait := c.queueFor(q, priority)[t]; wait < max(c.types[t].BootS, here[t]) && (best == nil || wait < least) {
				best, least = q, wait
			}
		}
	}
	return best
}

// cheapElsewhere says whether any other part can hire spot machines of the types given.
func (c *Core) cheapElsewhere(p *part, types uint64) bool {
	for _, q := range c.parts {
		if q == p || !c.current(q) || c.darkFor(q) {
			continue
		}
		for t := range c.types {
			if types&(1<<t) != 0 && contains(c.types[t].Zones, q.name) && !c.isScarce(q, Offer{c.types[t].Name, true}) {
				return true
			}
		}
	}
	return false
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
			n = min(n, count((x[0]+1e-6)/x[1]))
		}
	}
	return n
}

// hireRoom rents for demand foreseen, one kind at a time: spot machines up to
// what peaks and their growth ask for, dear ones only up to the demand that lasts, where there are
// enough machines to tell and no queue outlasts a boot. A peak is mostly over by
// the time a machine is up. No dear ones for what can go where cheap ones are to be had.
func (c *Core) hireRoom(p *part, types uint64, grown, peaks, lasting float64) {
	for _, o := range c.offers(p) {
		typ := c.typeIdx.known(o.Type)
		cores := grown
		if !o.Spot {
			cores = peaks
			if c.queueFor(p, priorities)[typ] < c.types[typ].BootS {
				cores = lasting
			}
		}
		if !o.Spot && c.cheapElsewhere(p, types) {
			return
		}
		if n := count(cores/c.types[typ].Total.Cores + 0.5); n > 0 && types&(1<<typ) != 0 {
			c.hire(p, o, min(n, 4), "room")
			return
		}
	}
}

// hirePlain rents ordinary machines for foreseen demand of work that may use no others.
func (c *Core) hirePlain(p *part, types uint64, cores float64) {
	for _, o := range c.offers(p) {
		typ := c.typeIdx.known(o.Type)
		if n := count(cores/c.types[typ].Total.Cores + 0.5); n > 0 && !o.Spot && types&(1<<typ) != 0 {
			c.hire(p, o, min(n, 4), "ordinary room")
			return
		}
	}
}

// mostHired is how many machines the cloud rents out at a time.
const mostHired = 50

// hire rents up to count machines of a kind and returns how many are asked for. What
// is wanted for one job after the other goes into one request per kind, of which one
// is under way at a time: with a request for each job, and few calls a second, a crowd
// of jobs waited half a minute for the last of its machines to be asked for.
func (c *Core) hire(p *part, o Offer, count int, why string) int {
	if count <= 0 {
		return 0
	}
	for _, r := range p.hiring {
		if r.op.Type != o.Type || r.op.Spot != o.Spot {
			continue
		}
		if r.tries > 0 {
			return 0
		}
		more := min(count, mostHired-r.op.Number)
		c.note(0, "hiring more", "name", r.op.Name, "number", more, "for", why)
		r.op.Number += more
		return more
	}
	if len(p.hiring) >= 4 {
		return 0
	}
	count = min(count, mostHired)
	c.note(0, "to hire", "type", o.Type, "spot", o.Spot, "number", count, "for", why, "part", p.name)
	p.hireSeq++
	// The token makes the name this ownership's own, the counter this request's.
	name := fmt.Sprintf("r-%s-%d-%d", p.name, p.token, p.hireSeq)
	p.hiring = append(p.hiring, &hire{typ: c.typeIdx.known(o.Type), asked: c.now,
		op: HireOp{Name: name, Type: o.Type, Zone: p.name, Spot: o.Spot, Number: count}})
	return count
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

// surplusOf is what a pool has beyond the cores that recent demand asks for, of all its
// machines and of the ordinary ones that work which may use no others asks for.
func (c *Core) surplusOf(p *part, types uint64, target, ordinary float64) surplus {
	return surplus{c.capacity(p, types) - target, c.ordinary(p, types) - ordinary}
}

// returnIdle gives machines back that have been idle for a while, or have been emptied,
// dearest first, as far as the surplus allows.
func (c *Core) returnIdle(p *part, types uint64, over *surplus) {
	for _, n := range p.shortage {
		if c.typesOf(n.job)&types != 0 {
			return // it may yet go there
		}
	}
	var idle []*host
	for _, h := range p.hostList() {
		if h.state == up && h.typ >= 0 && types&(1<<h.typ) != 0 && len(h.tasks) == 0 && h.recall == 0 &&
			(h.cordoned || c.now >= h.idleSince+c.cfg.Knobs.KeepIdle) {
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
	var back []*host
	for _, h := range idle {
		if over.take(c.types[h.typ].Total.Cores, h.spot) {
			back = append(back, h)
		}
	}
	if len(back) > 0 {
		c.giveHostsBack(p, back)
	}
}
