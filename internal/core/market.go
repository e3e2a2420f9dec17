package core

import (
	"slices"
	"time"

	"roadcleat/internal/plan"
)

// The market is what a job that is dealt could have: machines that would have to be
// hired for it, as the programme sees them, in each zone.

// imaginedHosts is how many machines of a kind a job that is dealt counts on being
// hired for it.
const imaginedHosts = 12

// rentedQueueShare is the share of a part's queue that counts against a machine yet to be
// hired: of parts that can hire, the one with less to do.
const rentedQueueShare = 0.1

// What speaks against a machine that would have to be hired for a job that is dealt, in
// seconds of its time.
const (
	crowdedCost        = 10.0 // in the zone that has the most machines of the kind, against one with none
	ordinaryRentalCost = 15.0 // an ordinary machine for work that may use spot machines
)

// fleetCounts counts the machines of each kind that zones have, booting ones and those that
// what was dealt there lately will need included, and the most and the fewest that any
// zone has.
type fleetCounts struct{ byKind, mostInZone, fewestInZone []float64 }

// distribution is what a job that was dealt to a zone a moment ago will need there.
type distribution struct {
	at        time.Duration
	kindIndex int // type and kind, as in rented.most
	machines  float64
}

// distributionVisibleIn is how long it takes until machines for a job that was dealt are asked for
// and its zone's owner has told of them.
const distributionVisibleIn = 2500 * time.Millisecond

// recordDistribution remembers the machines that a job's tasks will need in each zone.
func (c *Core) recordDistribution(job *Job, counts []int) {
	typ := c.usualType(job)
	if typ < 0 {
		return
	}
	offer, holds := c.kindIndex(0, typ, job.spec.Spot), max(float64(c.tasksPerMachine(typ, job.spec.Need)), 1)
	for z, n := range counts {
		if n > 0 {
			c.shards[z].distributions = append(c.shards[z].distributions, distribution{c.now, offer, float64(n) / holds})
		}
	}
}

// rentedMachines counts them by own knowledge or the owners' last word.
func (c *Core) rentedMachines() fleetCounts {
	r := fleetCounts{make([]float64, len(c.shards)*len(c.types)*2), make([]float64, len(c.types)*2), make([]float64, len(c.types)*2)}
	for z, shard := range c.shards {
		if shard.servedHere() {
			for _, host := range shard.hostList() {
				if host.typeIndex >= 0 && (host.state == hostUp || host.state == hostBooting) {
					r.byKind[c.kindIndex(z, host.typeIndex, host.spot)]++
				}
			}
			for _, rental := range shard.rentals {
				r.byKind[c.kindIndex(z, rental.typeIndex, rental.request.Spot)] += float64(rental.request.Count)
			}
		} else if shard.view != nil {
			for i := range shard.view.Hosts {
				if v := &shard.view.Hosts[i]; c.typeIndex.lookup(v.Type) >= 0 {
					r.byKind[c.kindIndex(z, c.typeIndex.lookup(v.Type), v.Spot)] += float64(v.Count)
				}
			}
		}
		shard.distributions = slices.DeleteFunc(shard.distributions, func(d distribution) bool { return c.now > d.at+distributionVisibleIn })
		for _, d := range shard.distributions {
			if d.kindIndex < len(r.mostInZone) {
				r.byKind[z*len(r.mostInZone)+d.kindIndex] += d.machines
			}
		}
	}
	zones := make([]int, len(r.mostInZone))
	for z, shard := range c.shards {
		for k := range r.mostInZone {
			if !slices.Contains(c.types[k/2].Zones, shard.name) {
				continue
			}
			n := r.byKind[c.kindIndex(z, k/2, k&1 == 1)]
			if r.mostInZone[k] = max(r.mostInZone[k], n); zones[k] == 0 || n < r.fewestInZone[k] {
				r.fewestInZone[k] = n
			}
			zones[k]++
		}
	}
	return r
}

// crowding is what speaks against hiring another machine of a kind in a zone. The cloud
// does not tell how many cheap machines a zone has left. Zones that are used alike run out
// of them last, and no zone hires dear ones while others have cheap ones to give.
func (r fleetCounts) crowding(kind, ofType int) float64 {
	if r.mostInZone[ofType] == 0 {
		return 0
	}
	return crowdedCost * (r.byKind[kind] - r.fewestInZone[ofType]) / r.mostInZone[ofType]
}

// rentableDevices is imagined machines per zone, type and kind: what could be hired. The queues
// given, by type, are what all machines of the part are compared by; hardly any of it is
// before a machine that is hired for this job. With all of it, a part whose machines all
// boot for work that waits looked better the more of them it had.
func (c *Core) rentableDevices(shard *Shard, job *Job, queues []float64, have fleetCounts) []device {
	var out []device
	for t := range c.types {
		typ := &c.types[t]
		if !slices.Contains(typ.Zones, shard.name) {
			continue
		}
		for _, spot := range []bool{true, false} {
			wait, penalty := typ.BootSeconds, (rentedQueueShare-1)*queues[t]
			if c.isExhausted(shard, MachineKind{typ.Name, spot}) {
				wait, penalty = wait+90, 0
			}
			if !shard.claim.Owned() && (shard.view == nil || c.now > shard.viewAt+3*time.Second) {
				wait += 15 // nobody is known to look after that part now
			}
			if c.reportsNoHeartbeats(shard) {
				wait += 60
			}
			total, kind := typ.Capacity, c.kindIndex(shard.zone, t, spot)
			penalty += have.crowding(kind, kind%(len(c.types)*2))
			if !spot && job.spec.Spot {
				penalty += ordinaryRentalCost
			}
			for range imaginedHosts {
				out = append(out, device{&plan.Device{Kind: kind, Total: total,
					Up: seconds(c.now) + wait, SPerGB: c.fetchRate(t), Slow: 1, Penalty: penalty}, shard.zone, nil})
			}
		}
	}
	return out
}

// reportsNoHeartbeats says whether a part is dark by own knowledge or its owner's word.
func (c *Core) reportsNoHeartbeats(shard *Shard) bool {
	if shard.claim.Owned() {
		return c.noHeartbeats(shard)
	}
	return shard.view != nil && shard.view.NoHeartbeats
}

func (c *Core) isExhausted(shard *Shard, o MachineKind) bool {
	if shard.claim.Owned() {
		return c.now < shard.exhaustedUntil[o]
	}
	if shard.view != nil {
		for _, s := range shard.view.Exhausted {
			if s == o {
				return true
			}
		}
	}
	return false
}
