package core

import "time"

// Returns of machines to the cloud for reasons of their own: spot notice, fault, silence. Idle
// machines are returned by scale in. The cloud's confirmation of a return proves that all tasks
// have left the machine (ran_twice); that the return was asked for proves nothing, and the
// tasks keep their room until it is confirmed.

const (
	// maxMissedListings is how many of the cloud's listings in a row must lack a machine,
	// silent as it is, before it is returned. A listing may be old, so a machine's absence
	// proves nothing: the answer to the return does.
	maxMissedListings = 2
	// minSilentHosts is how many machines, and more than half of them, must be silent or
	// unreachable at once for isCutOff.
	minSilentHosts = 3
	// silentIntervals is after how many heartbeat intervals a machine is silent in isCutOff.
	silentIntervals = 2
	// loadedIntervals is for how many heartbeat intervals after loading a shard its new
	// owner allows machines the longer silence, see silenceLimit.
	loadedIntervals = 3
	// leaseGrace is added to the workers' lease in the longer limit of silenceLimit.
	leaseGrace = 15 * time.Second
	// heartbeatMargin is how late a heartbeat may be beyond a quarter of its interval.
	heartbeatMargin = time.Second
	// reclaimGrace and reclaimSilence are how long after its time a machine with a spot
	// notice is waited for, and for how long it must then have been silent.
	reclaimGrace   = 2 * time.Second
	reclaimSilence = 3 * time.Second
	// maxReturnsPerCall bounds the machines returned in one call.
	maxReturnsPerCall = 100
)

// Time for which returned machines are remembered, see mayAnswer: late copies of their
// heartbeats and old listings may arrive for so long.
const (
	rememberedListLags = 4
	rememberReturned   = 2 * time.Minute
)

// maintainHosts looks after every machine of the shards owned here.
func (c *Core) maintainHosts() {
	c.listHosts()
	for _, shard := range c.shards {
		if !shard.claim.Owned() || shard.claim.HandingOver() {
			continue
		}
		c.forgetReturnedHosts(shard)
		if shard.loaded {
			c.maintainHostsOf(shard)
			continue
		}
		for _, host := range shard.hostList() {
			c.probe(shard, host)
		}
	}
}

// forgetReturnedHosts forgets machines of which nothing can arrive any more.
func (c *Core) forgetReturnedHosts(shard *Shard) {
	for name, returnedAt := range shard.returnedHosts {
		if c.now > returnedAt+rememberedListLags*c.cfg.ListLag+rememberReturned {
			delete(shard.returnedHosts, name)
		}
	}
}

// maintainHostsOf probes the machines of a loaded shard, checks their workers' leases and
// returns those that should be. Nothing is returned while this controller may not own the
// shard any more: the cloud checks no conditions.
func (c *Core) maintainHostsOf(shard *Shard) {
	mayReturn := c.leaseConfirmed()
	cutOff := c.isCutOff(shard)
	var returned []*Host
	for _, host := range shard.hostList() {
		c.probe(shard, host)
		if host.state == hostUp {
			c.checkWorkerLease(shard, host)
		}
		why := c.whyReturn(shard, host, cutOff)
		if why == "" || !mayReturn {
			continue
		}
		c.info("host not wanted", "host", host.name, "shard", shard.name, "why", why, "tasks", len(host.tasks))
		returned = append(returned, host)
	}
	c.returnHosts(shard, returned)
}

// isCutOff reports whether most of the shard's machines are silent or unreachable at once. Then
// it is rather this controller that is cut off from them.
func (c *Core) isCutOff(shard *Shard) bool {
	silent, alive := 0, 0
	for _, host := range shard.hostList() {
		if host.state != hostUp || host.leaseExpired {
			continue
		}
		alive++
		if c.silentFor(host) > c.cfg.HeartbeatInterval*silentIntervals || host.unreachable {
			silent++
		}
	}
	return silent >= minSilentHosts && silent*2 > alive
}

// whyReturn says why a machine should be returned, or is empty.
func (c *Core) whyReturn(shard *Shard, host *Host, cutOff bool) string {
	switch host.state {
	case hostBooting:
		if c.now > host.giveUpAt {
			return "never came up"
		}
	case hostReturning:
		if host.returnAt > 0 && c.now >= host.returnAt {
			return "return to be confirmed"
		}
	case hostUp:
		return c.whyReturnUp(shard, host, cutOff)
	}
	return ""
}

// whyReturnUp says why a machine that is up should be returned, or is empty.
func (c *Core) whyReturnUp(shard *Shard, host *Host, cutOff bool) string {
	silent := c.silentFor(host)
	idle := len(host.tasks) == 0
	if host.reclaimedAt > 0 {
		if idle || c.now > host.reclaimedAt+reclaimGrace && silent > reclaimSilence {
			return "reclaimed"
		}
		return ""
	}
	switch {
	case host.faulty && idle:
		return "faulty"
	case host.unreachable && !cutOff:
		return "unreachable"
	case host.missedListings >= maxMissedListings && silent > c.cfg.HeartbeatInterval*5/4+heartbeatMargin:
		return "no longer listed"
	case silent > c.silenceLimit(shard, cutOff):
		return "silent"
	}
	return ""
}

// silenceLimit is how long a machine may be silent before it is returned. Where the silence may
// be this controller's own doing, the workers' leases must have expired as well.
func (c *Core) silenceLimit(shard *Shard, cutOff bool) time.Duration {
	justLoaded := c.now < shard.loadedAt+c.cfg.HeartbeatInterval*loadedIntervals
	if cutOff || c.isOverloaded() || justLoaded {
		return c.cfg.WorkerLease + leaseGrace
	}
	return c.cfg.Tuning.ReturnSilentAfter
}

// returnHosts returns machines to the cloud. A return without an answer is repeated.
func (c *Core) returnHosts(shard *Shard, hosts []*Host) {
	for len(hosts) > 0 {
		n := min(len(hosts), maxReturnsPerCall)
		c.returnBatch(shard, hosts[:n])
		hosts = hosts[n:]
	}
}

func (c *Core) returnBatch(shard *Shard, hosts []*Host) {
	var names []string
	for _, host := range hosts {
		host.state, host.returnAt = hostReturning, 0
		host.commands = nil
		names = append(names, host.name)
	}
	c.info("hosts returned", "shard", shard.name, "token", shard.claim.Token(), "hosts", names)
	term := shard.claim.Term()
	call(c, ReturnHosts{names}, func(res ReturnResult) {
		if !shard.ownedIn(term) {
			return
		}
		if res.Outcome != OutcomeOK {
			for _, host := range hosts {
				host.returnAt = c.now + retryCloudCall
			}
			return
		}
		c.stats.Returned += uint64(len(hosts))
		for _, host := range hosts {
			c.onHostReturned(shard, host)
		}
	})
}

// onHostReturned drops a machine. The cloud has confirmed that it and all on it are gone, which
// proves the exit of its tasks (ran_twice).
func (c *Core) onHostReturned(shard *Shard, host *Host) {
	host.state = hostGone
	c.meterUsage(host)
	c.info("host gone", "host", host.name, "shard", shard.name, "type", c.typeName(host), "spot", host.spot,
		"boot_s", seconds(max(host.since-host.rentedAt, 0)), "up_s", seconds(c.now-host.since),
		"ran", host.ranCoreSeconds, "held", host.heldCoreSeconds)
	shard.returnedHosts[host.name] = c.now
	c.confirmAllExits(shard, host, func(*Task) bool { return true })
	shard.removeRunTimes(host)
	shard.dropHost(host)
	shard.needsPlan = true
}
