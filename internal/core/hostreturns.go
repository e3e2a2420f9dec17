package core

import "time"

// This file returns machines to the cloud because of a spot notice, a fault or missing contact;
// scalein.go returns idle machines. Only the cloud's confirmation of a return is evidence that all
// tasks on the machine have exited. Until then the tasks keep their capacity: the return request
// alone proves nothing, and a task started elsewhere could run twice at the same time (invariant
// ran_twice of the simulation).

const (
	// maxMissedListings is the number of consecutive host lists from the cloud without a silent
	// machine after which the machine is returned. A host list may be out of date, so a missing
	// entry does not prove that the machine is gone; the answer to the return does.
	maxMissedListings = 2
	// minSilentHosts is the minimum number of machines that must be silent or unreachable at the
	// same time for appearsCutOff. They must also be more than half of the machines.
	minSilentHosts = 3
	// cutOffSilenceIntervals is the number of heartbeat intervals without contact after which
	// appearsCutOff counts a machine as silent.
	cutOffSilenceIntervals = 2
	// newOwnerIntervals is the number of heartbeat intervals after loading a shard for which
	// silenceLimit allows the longer silence.
	newOwnerIntervals = 3
	// workerLeaseGrace is added to the workers' lease in the longer limit of silenceLimit.
	workerLeaseGrace = 15 * time.Second
	// maxHeartbeatDelay is how late a heartbeat may arrive in addition to a quarter of its
	// interval.
	maxHeartbeatDelay = time.Second
	// reclaimGrace and reclaimSilence determine when a machine with a spot notice that still holds
	// tasks is returned: reclaimGrace after the time in the notice, if it has then been silent for
	// longer than reclaimSilence.
	reclaimGrace   = 2 * time.Second
	reclaimSilence = 3 * time.Second
	// maxHostsPerReturnCall is the maximum number of machines returned in one call.
	maxHostsPerReturnCall = 100
)

// A returned machine is remembered for returnedRetentionListLags times Config.HostListLag plus
// returnedRetentionBase. During this time late copies of its heartbeats and outdated host lists may
// still arrive, and must not add it again; see mayRenewWorkerLease.
const (
	returnedRetentionListLags = 4
	returnedRetentionBase     = 2 * time.Minute
)

// maintainHosts reads the cloud's host list and maintains every machine of the shards that this
// controller owns. While a shard is being loaded, its machines are only probed.
func (c *Core) maintainHosts() {
	c.listHosts()
	for _, shard := range c.shards {
		if !shard.claim.Owned() || shard.claim.HandingOver() {
			continue
		}
		c.expireReturnedHosts(shard)
		if shard.loaded {
			c.maintainLoadedShard(shard)
			continue
		}
		for _, host := range shard.sortedHosts() {
			c.startProbe(shard, host)
		}
	}
}

// expireReturnedHosts removes the records of returned machines after their retention time.
func (c *Core) expireReturnedHosts(shard *Shard) {
	for name, returnedAt := range shard.returnedHosts {
		if c.now > returnedAt+returnedRetentionListLags*c.cfg.HostListLag+returnedRetentionBase {
			delete(shard.returnedHosts, name)
		}
	}
}

// maintainLoadedShard probes the machines of a loaded shard, checks their workers' leases and
// returns machines that have a reason for it. No machine is returned while this controller's lease
// is unconfirmed: another controller may own the shard, and the cloud does not check fencing
// tokens.
func (c *Core) maintainLoadedShard(shard *Shard) {
	mayReturn := c.leaseConfirmed()
	appearsCutOff := c.appearsCutOff(shard)
	var returned []*Host
	for _, host := range shard.sortedHosts() {
		c.startProbe(shard, host)
		if host.state == hostUp {
			c.checkWorkerLease(shard, host)
		}
		reason := c.returnReason(shard, host, appearsCutOff)
		if reason == "" || !mayReturn {
			continue
		}
		c.info("host selected for return", "host", host.name, "shard", shard.name,
			"why", reason, "tasks", len(host.tasks))
		returned = append(returned, host)
	}
	c.returnHosts(shard, returned)
}

// appearsCutOff reports whether most of the shard's machines are silent or unreachable at the same
// time. In that case the likely cause is a network partition between this controller and the
// machines.
func (c *Core) appearsCutOff(shard *Shard) bool {
	silentHosts, upHosts := 0, 0
	for _, host := range shard.sortedHosts() {
		if host.state != hostUp || host.leaseExpired {
			continue
		}
		upHosts++
		if c.silenceDuration(host) > c.cfg.HeartbeatInterval*cutOffSilenceIntervals || host.unreachable {
			silentHosts++
		}
	}
	return silentHosts >= minSilentHosts && silentHosts*2 > upHosts
}

// returnReason returns the reason, for the log, why a machine should be returned, or "" if it
// should stay.
func (c *Core) returnReason(shard *Shard, host *Host, appearsCutOff bool) string {
	switch host.state {
	case hostBooting:
		if c.now > host.bootDeadline {
			return "boot timed out"
		}
	case hostReturning:
		if host.returnRetryAt > 0 && c.now >= host.returnRetryAt {
			return "earlier return not confirmed"
		}
	case hostUp:
		return c.returnReasonWhenUp(shard, host, appearsCutOff)
	}
	return ""
}

// returnReasonWhenUp returns the reason why a machine that is up should be returned, or "".
func (c *Core) returnReasonWhenUp(shard *Shard, host *Host, appearsCutOff bool) string {
	silentFor := c.silenceDuration(host)
	isIdle := len(host.tasks) == 0
	if host.reclaimAt > 0 {
		if isIdle || c.now > host.reclaimAt+reclaimGrace && silentFor > reclaimSilence {
			return "spot notice"
		}
		return ""
	}
	switch {
	case host.faulty && isIdle:
		return "faulty"
	case host.unreachable && !appearsCutOff:
		return "unreachable"
	case host.missedListings >= maxMissedListings && silentFor > c.cfg.HeartbeatInterval*5/4+maxHeartbeatDelay:
		return "silent and missing from the host list"
	case silentFor > c.silenceLimit(shard, appearsCutOff):
		return "no contact"
	}
	return ""
}

// silenceLimit returns the time without contact after which a machine is returned. The limit is
// longer while this controller itself may have caused the silence: it appears cut off from the
// machines, is overloaded or has just loaded the shard. Then the workers' leases must have expired
// as well.
func (c *Core) silenceLimit(shard *Shard, appearsCutOff bool) time.Duration {
	justLoaded := c.now < shard.loadedAt+c.cfg.HeartbeatInterval*newOwnerIntervals
	if appearsCutOff || c.isOverloaded() || justLoaded {
		return c.cfg.WorkerLease + workerLeaseGrace
	}
	return c.cfg.Tuning.ReturnSilentAfter
}

// returnHosts returns machines to the cloud. A return that was not confirmed is repeated after
// cloudRetryDelay.
func (c *Core) returnHosts(shard *Shard, hosts []*Host) {
	for len(hosts) > 0 {
		count := min(len(hosts), maxHostsPerReturnCall)
		c.returnBatch(shard, hosts[:count])
		hosts = hosts[count:]
	}
}

// returnBatch returns machines in one call, maxHostsPerReturnCall at most.
func (c *Core) returnBatch(shard *Shard, hosts []*Host) {
	var names []string
	for _, host := range hosts {
		host.state, host.returnRetryAt = hostReturning, 0
		host.commands = nil
		names = append(names, host.name)
	}
	c.info("returning hosts to the cloud", "shard", shard.name, "token", shard.claim.Token(), "hosts", names)
	term := shard.claim.Term()
	call(c, ReturnHosts{names}, func(res ReturnResult) {
		if !shard.isOwnedInTerm(term) {
			return
		}
		if res.Outcome != OutcomeOK {
			for _, host := range hosts {
				host.returnRetryAt = c.now + cloudRetryDelay
			}
			return
		}
		c.stats.Returned += uint64(len(hosts))
		for _, host := range hosts {
			c.removeReturnedHost(shard, host)
		}
	})
}

// removeReturnedHost removes a machine whose return the cloud has confirmed. The confirmation is
// evidence that the machine's tasks have exited, so that they can start elsewhere without running
// twice at the same time (invariant ran_twice of the simulation).
func (c *Core) removeReturnedHost(shard *Shard, host *Host) {
	host.state = hostReturned
	c.meterUsage(host)
	c.info("cloud confirmed the return of the host",
		"host", host.name, "shard", shard.name, "type", c.hostTypeName(host), "spot", host.spot,
		"boot_s", toSeconds(max(host.addedOrUpAt-host.rentedAt, 0)), "up_s", toSeconds(c.now-host.addedOrUpAt),
		"ran", host.runningCoreSeconds, "held", host.notRunningCoreSeconds)
	shard.returnedHosts[host.name] = c.now
	c.confirmAllExits(shard, host, func(*Task) bool { return true })
	shard.removeSlowness(host)
	shard.removeHost(host)
	shard.needsPlan = true
}
