package core

import "time"

const (
	// loadLogInterval is the interval at which a shard's load is logged.
	loadLogInterval = 15 * time.Second
	// slowBootFactor is the ratio of a slow but normal boot to the boot time in the catalog.
	slowBootFactor = 1.5
	// sustainedDemandFactor is the ratio to mean demand up to which on-demand machines are rented
	// for sustained demand.
	sustainedDemandFactor = 1.05
)

// sizeFleet adjusts a shard's fleet to its demand. It rents machines for unplaced work and for
// forecast demand, and returns idle machines that neither needs.
func (c *Core) sizeFleet(shard *Shard) {
	if len(c.machineTypes) == 0 || shard.claim.HandingOver() || !c.leaseConfirmed() {
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
		c.logShardLoad(shard, demand.nonBackfillCores)
	}
	pendingByKind := c.countPendingHosts(shard)
	mayRent := c.canStartTasks() && c.stateServiceReachable() && c.hasCompleteHostList(shard)
	if c.receivesNoHeartbeats(shard) && !shard.heartbeatOutageLogged {
		shard.heartbeatOutageLogged = true
		c.warn("no worker of an owned shard sends heartbeats to this controller",
			"shard", shard.name, "token", shard.claim.Token())
	}
	clear(shard.taskMoveRequests)
	if mayRent {
		for _, work := range shard.unplacedWork {
			c.rentForUnplacedWork(shard, work, pendingByKind)
		}
	}
	shard.backfillReserve = backfillReserve{demand.pools, make([]float64, len(demand.pools))}
	shard.backfillCapacity = nil
	for pool := range demand.pools {
		c.sizePool(shard, demand, pool, mayRent)
	}
}

// sizePool adjusts the machines of one pool to its demand. It rents machines if mayRent is set.
// In both cases it returns idle surplus machines and consolidates the rest.
func (c *Core) sizePool(shard *Shard, demand shardDemand, pool int, mayRent bool) {
	typeSet, poolCount := demand.pools[pool], len(demand.pools)
	bootSeconds := c.slowBootSeconds(typeSet)
	targetCores, meanCores := c.targetCores(shard, demandSample.nonBackfillDemand, pool, poolCount)
	forecastCores := targetCores
	if targetCores > smallFleetCores {
		forecastCores += c.demandGrowthCoresPerSecond(shard, demandSample.nonBackfillDemand,
			pool, poolCount) * bootSeconds
	}
	onDemandTargetCores, onDemandMeanCores := c.targetCores(shard, demandSample.onDemandOnlyDemand,
		pool, poolCount)
	onDemandTargetCores += c.demandGrowthCoresPerSecond(shard, demandSample.onDemandOnlyDemand,
		pool, poolCount) * bootSeconds
	if presentCores := c.onDemandFleetCores(shard, typeSet); mayRent &&
		presentCores < onDemandTargetCores && onDemandMeanCores > 0 {
		// Idle spot instances cannot run work that requires on-demand machines.
		c.rentOnDemandForForecast(shard, typeSet, onDemandTargetCores-presentCores)
	}
	shard.backfillReserve.cores[pool] = targetCores
	availableCores := c.fleetCores(shard, typeSet) - demand.nonPreemptibleBackfillCores[pool]
	if mayRent && availableCores < forecastCores && meanCores > 0 {
		sustainedShortfall := targetCores - availableCores
		if targetCores > smallFleetCores {
			sustainedShortfall = meanCores*sustainedDemandFactor - availableCores
		}
		c.rentForForecast(shard, typeSet,
			forecastCores-availableCores, targetCores-availableCores, sustainedShortfall)
	}
	excess := c.surplusBeyond(shard, typeSet, forecastCores+demand.backfillCores[pool], onDemandTargetCores)
	c.returnIdleHosts(shard, typeSet, &excess)
	c.consolidate(shard, typeSet, excess)
}

// slowBootSeconds returns the time that a slow boot of the slowest of the given machine types
// takes.
func (c *Core) slowBootSeconds(typeSet uint64) float64 {
	slowest := 0.0
	for typeIndex := range c.machineTypes {
		if typeSet&(1<<typeIndex) != 0 {
			slowest = max(slowest, slowBootFactor*c.machineTypes[typeIndex].BootSeconds)
		}
	}
	return slowest
}

// hasCompleteHostList reports whether a new owner has observed enough of the shard's machines to
// rent more. Assignments name the machines with tasks. Idle machines have been observed once the
// cloud has listed them, or once every worker has had time to send a heartbeat. Without this
// condition a new owner would rent a second fleet in addition to the existing one.
func (c *Core) hasCompleteHostList(shard *Shard) bool {
	// A heartbeat is sent at most a quarter of an interval late; the rest covers its transmission.
	allHeartbeatsDue := c.now > shard.loadedAt+c.cfg.HeartbeatInterval*13/10
	return shard.hostListRead || shard.startedEmpty || allHeartbeatsDue
}

// logShardLoad logs the cores of a shard's machines by state and by the state of their tasks, and
// the demand by pool.
func (c *Core) logShardLoad(shard *Shard, demand []float64) {
	var booting, spot, up, running, fetching float64
	for _, host := range shard.hosts {
		if host.typeIndex < 0 {
			continue
		}
		cores := c.machineTypes[host.typeIndex].Capacity.Cores
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
				running += task.resources.Cores
			} else {
				fetching += task.resources.Cores
			}
		}
	}
	c.info("shard load", "shard", shard.name, "token", shard.claim.Token(), "cores", up, "spot", spot,
		"booting", booting, "running", running, "fetching", fetching, "demand", demand)
}
