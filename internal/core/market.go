package core

import (
	"slices"
	"time"

	"roadcleat/internal/plan"
)

// The market is what a job that is dealt could have: machines that would have to be
// hired for it, as the programme sees them, in each zone.

// imagined is how many machines of a kind a job that is dealt counts on being
// hired for it.
const imagined = 12

// queueOfHired is the share of a part's queue that counts against a machine yet to be
// hired: of parts that can hire, the one with less to do.
const queueOfHired = 0.1

// What speaks against a machine that would have to be hired for a job that is dealt, in
// seconds of its time.
const (
	crowdedCost = 10.0 // in the zone that has the most machines of the kind, against one with none
	dearHire    = 15.0 // an ordinary machine for work that may use spot machines
)

// rented counts the machines of each kind that zones have, booting ones and those that
// what was dealt there lately will need included, and the most and the fewest that any
// zone has.
type rented struct{ byKind, most, fewest []float64 }

// dealt is what a job that was dealt to a zone a moment ago will need there.
type dealt struct {
	at       time.Duration
	offer    int // type and kind, as in rented.most
	machines float64
}

// dealtSeenIn is how long it takes until machines for a job that was dealt are asked for
// and its zone's owner has told of them.
const dealtSeenIn = 2500 * time.Millisecond

// noteDealt remembers the machines that a job's tasks will need in each zone.
func (c *Core) noteDealt(j *job, counts []int) {
	typ := c.usualType(j)
	if typ < 0 {
		return
	}
	offer, holds := c.kind(0, typ, j.spec.Spot), max(float64(c.holds(typ, j.spec.Need)), 1)
	for z, n := range counts {
		if n > 0 {
			c.parts[z].dealt = append(c.parts[z].dealt, dealt{c.now, offer, float64(n) / holds})
		}
	}
}

// rentedMachines counts them by own knowledge or the owners' last word.
func (c *Core) rentedMachines() rented {
	r := rented{make([]float64, len(c.parts)*len(c.types)*2), make([]float64, len(c.types)*2), make([]float64, len(c.types)*2)}
	for z, p := range c.parts {
		if p.mine && p.loaded {
			for _, h := range p.hostList() {
				if h.typ >= 0 && (h.state == up || h.state == booting) {
					r.byKind[c.kind(z, h.typ, h.spot)]++
				}
			}
			for _, hiring := range p.hiring {
				r.byKind[c.kind(z, hiring.typ, hiring.op.Spot)] += float64(hiring.op.Number)
			}
		} else if p.view != nil {
			for i := range p.view.Hosts {
				if v := &p.view.Hosts[i]; c.typeIdx.known(v.Type) >= 0 {
					r.byKind[c.kind(z, c.typeIdx.known(v.Type), v.Spot)] += float64(v.Count)
				}
			}
		}
		p.dealt = slices.DeleteFunc(p.dealt, func(d dealt) bool { return c.now > d.at+dealtSeenIn })
		for _, d := range p.dealt {
			if d.offer < len(r.most) {
				r.byKind[z*len(r.most)+d.offer] += d.machines
			}
		}
	}
	zones := make([]int, len(r.most))
	for z, p := range c.parts {
		for k := range r.most {
			if !contains(c.types[k/2].Zones, p.name) {
				continue
			}
			n := r.byKind[c.kind(z, k/2, k&1 == 1)]
			if r.most[k] = max(r.most[k], n); zones[k] == 0 || n < r.fewest[k] {
				r.fewest[k] = n
			}
			zones[k]++
		}
	}
	return r
}

// crowding is what speaks against hiring another machine of a kind in a zone. The cloud
// does not tell how many cheap machines a zone has left. Zones that are used alike run out
// of them last, and no zone hires dear ones while others have cheap ones to give.
func (r rented) crowding(kind, ofType int) float64 {
	if r.most[ofType] == 0 {
		return 0
	}
	return crowdedCost * (r.byKind[kind] - r.fewest[ofType]) / r.most[ofType]
}

// market is imagined machines per zone, type and kind: what could be hired. The queues
// given, by type, are what all machines of the part are compared by; hardly any of it is
// before a machine that is hired for this job. With all of it, a part whose machines all
// boot for work that waits looked better the more of them it had.
func (c *Core) market(p *part, j *job, queues []float64, have rented) []device {
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
			total, kind := typ.Total.plan(), c.kind(p.zone, t, spot)
			penalty += have.crowding(kind, kind%(len(c.types)*2))
			if !spot && j.spec.Spot {
				penalty += dearHire
			}
			for range imagined {
				out = append(out, device{&plan.Device{Kind: kind, Total: total,
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
