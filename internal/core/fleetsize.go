package core

import "time"

const (
	// loadLogInterval is how often a shard's load is logged.
	loadLogInterval = 15 * time.Second
	// longBootFactor is how much longer than stated a boot may usually take.
	longBootFactor = 1.5
	// lastingMargin is what on-demand machines are rented for beyond the mean demand, as a
	// factor of it.
	lastingMargin = 1.05
)

// sizeFleet keeps a shard's fleet near its demand: it rents machines for work that waits and
// for demand that the recent past suggests, and returns idle ones that neither needs.
func (c *Core) sizeFleet(shard *Shard) {
	if len(c.types) == 0 || shard.claim.HandingOver() || !c.leaseConfirmed() {
		return
	}
	defer c.sendRentals(shard)
	for _, host := range shard.hosts {
		c.meterUsage(host)
	}
	c.updateGuarantees()
	demand := c.measureDemand(shard)
	shard.recordDemand(demand, c.now, c.cfg.Tuning.DemandWindow)
	if c.now >= shard.nextLoadLogAt {
		shard.nextLoadLogAt = c.now + loadLogInterval
		c.logShardLoad(shard, demand.all)
	}
	coming := c.pendingHosts(shard)
	mayRent := c.mayStartTasks() && c.storeReachable() && c.fleetKnown(shard)
	if c.noHeartbeats(shard) && !shard.hadNoHeartbeats {
		shard.hadNoHeartbeats = true
		c.warn("shard without heartbeats: none of its workers reaches this controller",
			"shard", shard.name, "token", shard.claim.Token())
	}
	clear(shard.exports)
	if mayRent {
		for _, work := range shard.unplaced {
			c.rentFor(shard, work, coming)
		}
	}
	shard.reserve = backfillReserve{demand.pools, make([]float64, len(demand.pools))}
	shard.backfillRoom = nil
	for pool := range demand.pools {
		c.sizePool(shard, demand, pool, mayRent)
	}
}

// sizePool keeps the machines of one pool near its demand.
func (c *Core) sizePool(shard *Shard, demand shardDemand, pool int, mayRent bool) {
	types, pools := demand.pools[pool], len(demand.pools)
	boot := c.longestUsualBoot(types)
	target, mean := c.capacityTarget(shard, demandSample.all, pool, pools)
	grown := target
	if target > smallFleetCores {
		grown += c.demandGrowth(shard, demandSample.all, pool, pools) * boot
	}
	onDemand, onDemandMean := c.capacityTarget(shard, demandSample.onDemand, pool, pools)
	onDemand += c.demandGrowth(shard, demandSample.onDemand, pool, pools) * boot
	if present := c.onDemandCapacity(shard, types); mayRent && present < onDemand && onDemandMean > 0 {
		// Spot machines that are idle are no use to work that may not run on them.
		c.rentOnDemand(shard, types, onDemand-present)
	}
	shard.reserve.cores[pool] = target
	capacity := c.capacity(shard, types) - demand.firmBackfill[pool]
	if mayRent && capacity < grown && mean > 0 {
		lasting := target - capacity
		if target > smallFleetCores {
			lasting = mean*lastingMargin - capacity
		}
		c.rentForDemand(shard, types, grown-capacity, target-capacity, lasting)
	}
	over := c.surplusOf(shard, types, grown+demand.backfill[pool], onDemand)
	c.returnIdleHosts(shard, types, &over)
	c.consolidate(shard, types, over)
}

// longestUsualBoot is how long the slowest of the types given may usually take to boot, in
// seconds.
func (c *Core) longestUsualBoot(types uint64) float64 {
	boot := 0.0
	for typ := range c.types {
		if types&(1<<typ) != 0 {
			boot = max(boot, longBootFactor*c.types[typ].BootSeconds)
		}
	}
	return boot
}

// fleetKnown reports whether a new owner's list of the shard's machines is complete enough to
// rent more by. Those with tasks are in the assignments; idle ones are known once the cloud has
// listed them or every worker has had time for a heartbeat. Without this condition a new owner
// would rent a second fleet beside the first.
func (c *Core) fleetKnown(shard *Shard) bool {
	// A heartbeat comes a quarter late at most and is on its way for a moment.
	allReported := c.now > shard.loadedAt+c.cfg.HeartbeatInterval*13/10
	return shard.hostsListed || shard.startedEmpty || allReported
}

// logShardLoad logs how the shard's cores are used.
func (c *Core) logShardLoad(shard *Shard, demand []float64) {
	var booting, spot, up, running, fetching float64
	for _, host := range shard.hosts {
		if host.typeIndex < 0 {
			continue
		}
		cores := c.types[host.typeIndex].Capacity.Cores
		if host.state == hostBooting {
			booting += cores
			continue
		}
		up += cores
		if host.spot {
			spot += cores
		}
		for _, task := range host.tasks {
			if task.state == TaskRunning {
				running += task.need.Cores
			} else {
				fetching += task.need.Cores
			}
		}
	}
	c.info("shard load", "shard", shard.name, "token", shard.claim.Token(), "cores", up, "spot", spot,
		"booting", booting, "running", running, "fetching", fetching, "demand", demand)
}
