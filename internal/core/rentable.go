package core

import (
	"slices"
	"time"

	"roadcleat/internal/plan"
)

// A new job may also be distributed to machines that would have to be rented for it. This file
// adds such hypothetical machines to the planner's devices, with delays and penalties that make
// them less attractive than existing machines.

const (
	// rentableHostsPerKind is the number of machines of each kind that a zone is assumed to be able to
	// rent for a new job.
	rentableHostsPerKind = 12
	// rentableQueueRatio is the ratio of a shard's queue that is added as waiting time for a
	// machine that would have to be rented: among shards that can rent, the one with the shorter
	// queue is preferred.
	rentableQueueRatio = 0.1
	// distributionVisibilityDelay is the time from a job's distribution until machines are being
	// rented for it and the zone's owner has reported them.
	distributionVisibilityDelay = 2500 * time.Millisecond
	// maxOwnerViewAge is the maximum age of the newest gossip about another controller's shard for
	// the shard to be treated as owned.
	maxOwnerViewAge = 3 * time.Second
)

// Penalties and delays for machines that would have to be rented, in seconds of the task's finish
// time.
const (
	// crowdingPenaltySeconds is the penalty for the zone with the most machines of a kind if
	// another zone has none. It is scaled by the excess over the zone with the fewest.
	crowdingPenaltySeconds = 10.0
	// onDemandRentalPenaltySeconds is the penalty for an on-demand machine for a job that may use
	// spot instances.
	onDemandRentalPenaltySeconds = 15.0
	// exhaustedDelaySeconds is the delay of a kind that the cloud has refused to rent in the zone
	// within exhaustedPeriod.
	exhaustedDelaySeconds = 90
	// ownerlessDelaySeconds is the delay for a shard from whose owner no gossip has arrived within
	// maxOwnerViewAge.
	ownerlessDelaySeconds = 15
	// silentShardDelaySeconds is the delay for a shard whose owner receives no heartbeats.
	silentShardDelaySeconds = 60
)

// fleetCounts holds numbers of machines, including those that are booting, being rented, or needed
// by jobs distributed within distributionVisibilityDelay. byKind is indexed by Core.zoneKindIndex.
// mostInZone and fewestInZone hold the extremes over the zones that offer a machine type; they are
// indexed by machine type and spot or on-demand, which is zoneKindIndex without the zone.
type fleetCounts struct{ byKind, mostInZone, fewestInZone []float64 }

// recentDistribution is the number of machines that a job distributed within
// distributionVisibilityDelay will need in a zone.
type recentDistribution struct {
	decidedAt        time.Duration // time of the distribution
	typeAndSpotIndex int           // zoneKindIndex without the zone, as in fleetCounts.mostInZone
	machines         float64       // number of machines, not rounded
}

// recordDistribution records the machines that a job's tasks will need in each zone.
func (c *Core) recordDistribution(job *Job, counts []int) {
	typeIndex := c.preferredMachineType(job)
	if typeIndex < 0 {
		return
	}
	typeAndSpotIndex := c.zoneKindIndex(0, typeIndex, job.spec.Spot)
	perMachine := max(float64(c.tasksPerMachine(typeIndex, job.spec.TaskResources)), 1)
	for zone, count := range counts {
		if count > 0 {
			shard := c.shards[zone]
			shard.recentDistributions = append(shard.recentDistributions, recentDistribution{c.now, typeAndSpotIndex, float64(count) / perMachine})
		}
	}
}

// countFleet counts the machines of all zones, from this controller's own state or from the
// owners' gossip.
func (c *Core) countFleet() fleetCounts {
	counts := fleetCounts{
		byKind:       make([]float64, len(c.shards)*len(c.machineTypes)*2),
		mostInZone:   make([]float64, len(c.machineTypes)*2),
		fewestInZone: make([]float64, len(c.machineTypes)*2),
	}
	for zone, shard := range c.shards {
		if shard.isServedHere() {
			c.countOwnHosts(&counts, shard)
		} else if shard.view != nil {
			c.countReportedHosts(&counts, shard)
		}
		isVisible := func(recent recentDistribution) bool { return c.now > recent.decidedAt+distributionVisibilityDelay }
		shard.recentDistributions = slices.DeleteFunc(shard.recentDistributions, isVisible)
		for _, recent := range shard.recentDistributions {
			if recent.typeAndSpotIndex < len(counts.mostInZone) {
				counts.byKind[zone*len(counts.mostInZone)+recent.typeAndSpotIndex] += recent.machines
			}
		}
	}
	c.findExtremes(&counts)
	return counts
}

// countOwnHosts adds the machines of a shard owned here, and those of its open rentals.
func (c *Core) countOwnHosts(counts *fleetCounts, shard *Shard) {
	for _, host := range shard.sortedHosts() {
		if host.typeIndex >= 0 && (host.state == hostUp || host.state == hostBooting) {
			counts.byKind[c.zoneKindIndex(shard.zone, host.typeIndex, host.spot)]++
		}
	}
	for _, rental := range shard.rentals {
		kindIndex := c.zoneKindIndex(shard.zone, rental.typeIndex, rental.request.Spot)
		counts.byKind[kindIndex] += float64(rental.request.Count)
	}
}

// countReportedHosts adds the machines of another controller's shard according to its gossip.
func (c *Core) countReportedHosts(counts *fleetCounts, shard *Shard) {
	for i := range shard.view.Hosts {
		group := &shard.view.Hosts[i]
		if typeIndex := c.typeNames.lookup(group.Type); typeIndex >= 0 {
			counts.byKind[c.zoneKindIndex(shard.zone, typeIndex, group.Spot)] += float64(group.Count)
		}
	}
}

// findExtremes computes mostInZone and fewestInZone over the zones that offer each machine type.
func (c *Core) findExtremes(counts *fleetCounts) {
	hasCount := make([]bool, len(counts.mostInZone))
	for zone, shard := range c.shards {
		for typeAndSpotIndex := range counts.mostInZone {
			typeIndex, spot := typeAndSpotIndex/2, typeAndSpotIndex&1 == 1
			if !slices.Contains(c.machineTypes[typeIndex].Zones, shard.name) {
				continue
			}
			count := counts.byKind[c.zoneKindIndex(zone, typeIndex, spot)]
			counts.mostInZone[typeAndSpotIndex] = max(counts.mostInZone[typeAndSpotIndex], count)
			if !hasCount[typeAndSpotIndex] || count < counts.fewestInZone[typeAndSpotIndex] {
				counts.fewestInZone[typeAndSpotIndex] = count
			}
			hasCount[typeAndSpotIndex] = true
		}
	}
}

// crowdingPenalty returns the penalty, in seconds, for renting another machine of a kind in a zone.
// The cloud does not report how many spot instances a zone has left. If all zones are used evenly,
// they run out of spot instances as late as possible, and no zone rents on-demand machines while
// another could still rent spot instances.
func (f fleetCounts) crowdingPenalty(kindIndex, typeAndSpotIndex int) float64 {
	if f.mostInZone[typeAndSpotIndex] == 0 {
		return 0
	}
	return crowdingPenaltySeconds * (f.byKind[kindIndex] - f.fewestInZone[typeAndSpotIndex]) / f.mostInZone[typeAndSpotIndex]
}

// rentableDevices returns hypothetical machines of each kind that a shard's zone offers. The
// caller adds queueWaitSeconds, by machine type, to the cost of all machines of the shard, but most
// of that work is not ahead of a machine rented for this job, so the penalty subtracts all but
// rentableQueueRatio of it. If all of it counted, a shard whose machines are all booting for
// waiting work would look better the more of them it has.
func (c *Core) rentableDevices(shard *Shard, job *Job, queueSeconds []float64, counts fleetCounts) []device {
	var devices []device
	for typeIndex := range c.machineTypes {
		machineType := &c.machineTypes[typeIndex]
		if !slices.Contains(machineType.Zones, shard.name) {
			continue
		}
		for _, spot := range []bool{true, false} {
			kindIndex := c.zoneKindIndex(shard.zone, typeIndex, spot)
			delaySeconds, penaltySeconds := machineType.BootSeconds, (rentableQueueRatio-1)*queueSeconds[typeIndex]
			if c.isOutOfCapacity(shard, MachineKind{machineType.Name, spot}) {
				delaySeconds, penaltySeconds = delaySeconds+exhaustedDelaySeconds, 0
			}
			delaySeconds = c.delayForShardState(shard, delaySeconds)
			penaltySeconds += counts.crowdingPenalty(kindIndex, kindIndex%(len(c.machineTypes)*2))
			if !spot && job.spec.Spot {
				penaltySeconds += onDemandRentalPenaltySeconds
			}
			for range rentableHostsPerKind {
				rentable := &plan.Device{
					Kind:           kindIndex,
					Capacity:       machineType.Capacity,
					UpAt:           toSeconds(c.now) + delaySeconds,
					SecondsPerGB:   c.imageFetchSecondsPerGB(typeIndex),
					Slowdown:       1,
					PenaltySeconds: penaltySeconds,
				}
				devices = append(devices, device{rentable, shard.zone, nil})
			}
		}
	}
	return devices
}

// delayForShardState adds to a machine's boot time the delays for a shard without current gossip
// from an owner, or without heartbeats.
func (c *Core) delayForShardState(shard *Shard, delaySeconds float64) float64 {
	if !shard.claim.Owned() && (shard.view == nil || c.now > shard.viewAt+maxOwnerViewAge) {
		delaySeconds += ownerlessDelaySeconds
	}
	if c.reportsNoHeartbeats(shard) {
		delaySeconds += silentShardDelaySeconds
	}
	return delaySeconds
}

// reportsNoHeartbeats reports whether a shard's owner, this controller or another, receives no
// heartbeats from the shard's workers.
func (c *Core) reportsNoHeartbeats(shard *Shard) bool {
	if shard.claim.Owned() {
		return c.receivesNoHeartbeats(shard)
	}
	return shard.view != nil && shard.view.NoHeartbeats
}

// isOutOfCapacity reports whether the cloud has refused to rent a kind of machine in a shard's zone, or
// granted a request for it only in part, within exhaustedPeriod.
func (c *Core) isOutOfCapacity(shard *Shard, kind MachineKind) bool {
	if shard.claim.Owned() {
		return c.now < shard.outOfCapacityUntil[kind]
	}
	return shard.view != nil && slices.Contains(shard.view.OutOfCapacityKinds, kind)
}
