package core

import (
	"slices"
	"time"

	"roadcleat/internal/plan"
)

// A job that is distributed may also go to machines that would have to be rented for it. This
// file adds such machines to those that the planner sees, with what is known against them.

const (
	// imaginedHosts is how many machines of a kind a zone is taken to be able to rent for a
	// job that is distributed.
	imaginedHosts = 12
	// rentedQueueShare is the share of a shard's queue that counts against a machine yet to be
	// rented: among shards that can rent, the one with less to do is preferred.
	rentedQueueShare = 0.1
	// distributionVisibleIn is how long it takes until machines for a distributed job are
	// being rented and its zone's owner has reported them.
	distributionVisibleIn = 2500 * time.Millisecond
	// ownerKnownFor is how old a shard's gossip may be for somebody to count as its owner.
	ownerKnownFor = 3 * time.Second
)

// What speaks against a machine that would have to be rented, in seconds of the task's time.
const (
	// crowdingCost is for the zone with the most machines of the kind, against a zone with
	// the fewest.
	crowdingCost = 10.0
	// onDemandRentalCost is for an on-demand machine for work that may use spot machines.
	onDemandRentalCost = 15.0
	// exhaustedDelay is for a kind that the cloud has lately refused to rent there.
	exhaustedDelay = 90
	// ownerlessDelay is for a shard that nobody is known to own.
	ownerlessDelay = 15
	// silentShardDelay is for a shard without heartbeats.
	silentShardDelay = 60
)

// fleetCounts counts the machines of each kind that zones have, with those that boot and those
// that newly distributed jobs will need. mostInZone and fewestInZone are the extremes of the
// zones that offer a kind, by type and kind alone.
type fleetCounts struct{ byKind, mostInZone, fewestInZone []float64 }

// distribution is what a job that was distributed to a zone a moment ago will need there.
type distribution struct {
	at        time.Duration
	kindIndex int // of type and kind, as in fleetCounts.mostInZone
	machines  float64
}

// recordDistribution remembers the machines that a job's tasks will need in each zone.
func (c *Core) recordDistribution(job *Job, counts []int) {
	typ := c.usualType(job)
	if typ < 0 {
		return
	}
	kind := c.kindIndex(0, typ, job.spec.Spot)
	perMachine := max(float64(c.tasksPerMachine(typ, job.spec.Need)), 1)
	for zone, count := range counts {
		if count > 0 {
			shard := c.shards[zone]
			shard.distributions = append(shard.distributions, distribution{c.now, kind, float64(count) / perMachine})
		}
	}
}

// countFleet counts the machines of all zones, by own state or by their owners' gossip.
func (c *Core) countFleet() fleetCounts {
	counts := fleetCounts{
		byKind:       make([]float64, len(c.shards)*len(c.types)*2),
		mostInZone:   make([]float64, len(c.types)*2),
		fewestInZone: make([]float64, len(c.types)*2),
	}
	for zone, shard := range c.shards {
		if shard.servedHere() {
			c.countOwnHosts(&counts, shard)
		} else if shard.view != nil {
			c.countReportedHosts(&counts, shard)
		}
		visible := func(d distribution) bool { return c.now > d.at+distributionVisibleIn }
		shard.distributions = slices.DeleteFunc(shard.distributions, visible)
		for _, d := range shard.distributions {
			if d.kindIndex < len(counts.mostInZone) {
				counts.byKind[zone*len(counts.mostInZone)+d.kindIndex] += d.machines
			}
		}
	}
	c.findExtremes(&counts)
	return counts
}

func (c *Core) countOwnHosts(counts *fleetCounts, shard *Shard) {
	for _, host := range shard.hostList() {
		if host.typeIndex >= 0 && (host.state == hostUp || host.state == hostBooting) {
			counts.byKind[c.kindIndex(shard.zone, host.typeIndex, host.spot)]++
		}
	}
	for _, rental := range shard.rentals {
		kind := c.kindIndex(shard.zone, rental.typeIndex, rental.request.Spot)
		counts.byKind[kind] += float64(rental.request.Count)
	}
}

func (c *Core) countReportedHosts(counts *fleetCounts, shard *Shard) {
	for i := range shard.view.Hosts {
		group := &shard.view.Hosts[i]
		if typ := c.typeIndex.lookup(group.Type); typ >= 0 {
			counts.byKind[c.kindIndex(shard.zone, typ, group.Spot)] += float64(group.Count)
		}
	}
}

// findExtremes finds the most and the fewest machines of a kind that any zone offering its
// type has.
func (c *Core) findExtremes(counts *fleetCounts) {
	seen := make([]bool, len(counts.mostInZone))
	for zone, shard := range c.shards {
		for kind := range counts.mostInZone {
			typ, spot := kind/2, kind&1 == 1
			if !slices.Contains(c.types[typ].Zones, shard.name) {
				continue
			}
			count := counts.byKind[c.kindIndex(zone, typ, spot)]
			counts.mostInZone[kind] = max(counts.mostInZone[kind], count)
			if !seen[kind] || count < counts.fewestInZone[kind] {
				counts.fewestInZone[kind] = count
			}
			seen[kind] = true
		}
	}
}

// crowding is what speaks against renting another machine of a kind in a zone. The cloud does
// not tell how many spot machines a zone has left. If zones are used alike, they run out of
// them last, and none rents on-demand machines while others could still rent spot ones.
func (f fleetCounts) crowding(kind, ofType int) float64 {
	if f.mostInZone[ofType] == 0 {
		return 0
	}
	return crowdingCost * (f.byKind[kind] - f.fewestInZone[ofType]) / f.mostInZone[ofType]
}

// rentableDevices are imagined machines of each kind that a shard's zone offers. All machines
// of the shard are compared with the queues given, by type, but most of that work is not ahead
// of a machine that is rented for this job. If all of it counted, then a shard whose machines
// all boot for waiting work would look better the more of them it has.
func (c *Core) rentableDevices(shard *Shard, job *Job, queues []float64, counts fleetCounts) []device {
	var out []device
	for t := range c.types {
		typ := &c.types[t]
		if !slices.Contains(typ.Zones, shard.name) {
			continue
		}
		for _, spot := range []bool{true, false} {
			kind := c.kindIndex(shard.zone, t, spot)
			delay, penalty := typ.BootSeconds, (rentedQueueShare-1)*queues[t]
			if c.isExhausted(shard, MachineKind{typ.Name, spot}) {
				delay, penalty = delay+exhaustedDelay, 0
			}
			delay = c.delayByOwner(shard, delay)
			penalty += counts.crowding(kind, kind%(len(c.types)*2))
			if !spot && job.spec.Spot {
				penalty += onDemandRentalCost
			}
			for range imaginedHosts {
				d := &plan.Device{
					Kind:         kind,
					Total:        typ.Capacity,
					UpAt:         seconds(c.now) + delay,
					SecondsPerGB: c.fetchRate(t),
					Slowdown:     1,
					Penalty:      penalty,
				}
				out = append(out, device{d, shard.zone, nil})
			}
		}
	}
	return out
}

// delayByOwner adds to a machine's boot time what is known against its shard.
func (c *Core) delayByOwner(shard *Shard, delay float64) float64 {
	if !shard.claim.Owned() && (shard.view == nil || c.now > shard.viewAt+ownerKnownFor) {
		delay += ownerlessDelay
	}
	if c.reportsNoHeartbeats(shard) {
		delay += silentShardDelay
	}
	return delay
}

// reportsNoHeartbeats reports whether a shard's owner, this controller or another, receives no
// heartbeats of its workers.
func (c *Core) reportsNoHeartbeats(shard *Shard) bool {
	if shard.claim.Owned() {
		return c.noHeartbeats(shard)
	}
	return shard.view != nil && shard.view.NoHeartbeats
}

// isExhausted reports whether the cloud has lately refused to rent a kind in a shard's zone.
func (c *Core) isExhausted(shard *Shard, kind MachineKind) bool {
	if shard.claim.Owned() {
		return c.now < shard.exhaustedUntil[kind]
	}
	return shard.view != nil && slices.Contains(shard.view.Exhausted, kind)
}
