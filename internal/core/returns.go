package core

import (
	"math"
	"time"
)

// farTooSlow is how many times as long as expected a machine's tasks may run.
// Single estimates are often wrong by half and more, so several are looked at.
const farTooSlow = 3.0

// minSiblings is how many of a job's tasks must have ended on other machines for what
// they took to stand where its owner's estimate does.
const minSiblings = 3

// runTimes sums up how long tasks ran, as logarithms.
type runTimes struct {
	sum float64
	n   int
}

// judgeRunTime gives a machine up whose tasks all run far longer than expected. What a job's
// tasks took on other machines tells that best. The owner's estimate is wrong for all
// tasks of a job alike, so by that each job speaks once: machines full of one job's
// tasks had been given up, and all on them lost, for a poor estimate.
func (c *Core) judgeRunTime(shard *Shard, host *Host, job *Job, ran float64) {
	here, all := job.runTimesByHost[host.name], job.runTimes
	log := math.Log(max(ran, 0.01))
	if job.runTimesByHost == nil {
		job.runTimesByHost = map[string]runTimes{}
	}
	job.runTimesByHost[host.name] = runTimes{here.sum + log, here.n + 1}
	job.runTimes = runTimes{all.sum + log, all.n + 1}
	expected := c.estimatedRunTime(job)
	if others := all.n - here.n; others >= minSiblings {
		expected = math.Exp((all.sum - here.sum) / float64(others))
	} else if here.n > 0 {
		return
	}
	ratio := ran / expected
	// On some days all estimates are too low; that is no machine's fault.
	shard.removeRunTimes(host)
	usual, n := shard.slownessSum, float64(shard.slownessCount)
	host.slowness += 0.3 * (min(ratio, 10) - host.slowness)
	host.judgedTasks++
	if host.judgedTasks > 1 {
		shard.slownessSum, shard.slownessCount = shard.slownessSum+host.slowness, shard.slownessCount+1
	}
	if host.judgedTasks >= 4 && n > 0 && host.slowness > farTooSlow*max(usual/n, 1) && !host.faulty {
		host.faulty = true
		shard.needsPlan = true
		c.info("host far too slow", "host", host.name, "part", shard.name, "factor", host.slowness)
	}
}

// removeRunTimes takes a machine out of the part's sum of factors.
func (s *Shard) removeRunTimes(host *Host) {
	if host.judgedTasks > 1 {
		s.slownessSum, s.slownessCount = s.slownessSum-host.slowness, s.slownessCount-1
	}
}

// maxMissedListings is how many listings in a row must miss a machine that should have
// reported meanwhile before it is given back. A machine once listed stays so until it is
// gone; a list may be old, and this one may be newer than any, so absence alone proves
// nothing: the answer to the return does.
const maxMissedListings = 2

// maintainHosts looks after every machine of the parts owned here.
func (c *Core) maintainHosts() {
	c.listHosts()
	for _, shard := range c.shards {
		if !shard.claim.Owned() || shard.claim.HandingOver() {
			continue
		}
		sure := c.leaseConfirmed()
		for name, at := range shard.returnedHosts {
			if c.now > at+4*c.cfg.ListLag+2*time.Minute {
				delete(shard.returnedHosts, name)
			}
		}
		if !shard.loaded {
			for _, h := range shard.hostList() {
				c.probe(shard, h)
			}
			continue
		}
		silent, alive := 0, 0
		for _, host := range shard.hostList() {
			if host.state == hostUp && !host.leaseExpired {
				alive++
				if c.silentFor(host) > c.cfg.HeartbeatInterval*2 || host.unreachable {
					silent++
				}
			}
		}
		// When most machines fall silent or deaf together, it is rather this
		// controller that is cut off.
		cutOff := silent >= 3 && silent*2 > alive
		var back []*Host
		for _, host := range shard.hostList() {
			c.probe(shard, host)
			if host.state == hostUp {
				c.checkWorkerLease(shard, host)
			}
			if why := c.whyReturn(shard, host, cutOff); why != "" && sure {
				c.info("host not wanted", "host", host.name, "part", shard.name, "why", why, "tasks", len(host.tasks))
				back = append(back, host)
			}
		}
		c.returnHosts(shard, back)
	}
}

// whyReturn says why a machine should be returned for its own sake, if it
// should; idle machines are the hiring's business.
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
		silent := c.silentFor(host)
		if host.reclaimedAt > 0 {
			if len(host.tasks) == 0 || c.now > host.reclaimedAt+2*time.Second && silent > 3*time.Second {
				return "recalled"
			}
			return ""
		}
		if host.faulty && len(host.tasks) == 0 {
			return "faulty"
		}
		if host.unreachable && !cutOff {
			return "deaf"
		}
		limit := c.cfg.Tuning.ReturnSilentAfter
		if cutOff || c.isOverloaded() || c.now < shard.loadedAt+c.cfg.HeartbeatInterval*3 {
			limit = c.cfg.WorkerLease + 15*time.Second
		}
		if host.missedListings >= maxMissedListings && silent > c.cfg.HeartbeatInterval*5/4+time.Second {
			return "no longer listed"
		}
		if silent > limit {
			return "silent"
		}
	}
	return ""
}

func (c *Core) returnHosts(shard *Shard, back []*Host) {
	for len(back) > 0 {
		n := min(len(back), 100)
		group := back[:n]
		back = back[n:]
		var names []string
		for _, host := range group {
			host.state, host.returnAt = hostReturning, 0
			host.commands = nil
			names = append(names, host.name)
		}
		c.info("hosts returned", "part", shard.name, "token", shard.claim.Token(), "hosts", names)
		term := shard.claim.Term()
		call(c, ReturnHosts{names}, func(res ReturnResult) {
			if !shard.ownedIn(term) {
				return
			}
			if res.Outcome != OutcomeOK {
				for _, h := range group {
					h.returnAt = c.now + retryCloudCall
				}
				return
			}
			c.stats.Returned += uint64(len(group))
			for _, h := range group {
				c.onHostReturned(shard, h)
			}
		})
	}
}

// onHostReturned: the cloud has confirmed that the machine and all on it are gone.
func (c *Core) onHostReturned(shard *Shard, host *Host) {
	host.state = hostGone
	c.meterUsage(host)
	c.info("host gone", "host", host.name, "part", shard.name, "type", c.typeName(host), "spot", host.spot,
		"boot_s", seconds(max(host.since-host.rentedAt, 0)), "up_s", seconds(c.now-host.since), "ran", host.ranCoreSeconds, "held", host.heldCoreSeconds)
	shard.returnedHosts[host.name] = c.now
	c.confirmAllExits(shard, host, func(*Task) bool { return true })
	shard.removeRunTimes(host)
	shard.dropHost(host)
	shard.needsPlan = true
}

// The cloud's list is read so often. Where it has many pages, each of which waits for a
// call of its own, the pause after it is so many times what it took: hires and returns
// need the calls as well.
const (
	listInterval    = 6 * time.Second
	listPauseFactor = 2
)

// listHosts reads the cloud's list of machines. It lags, so a machine's
// absence proves nothing; it brings machines nobody expected and failures.
func (c *Core) listHosts() {
	owns := false
	for _, p := range c.shards {
		owns = owns || p.claim.Owned()
	}
	if !owns || c.listPending || c.now < c.nextListAt || len(c.types) == 0 {
		return
	}
	asked := c.now
	c.listPending, c.nextListAt = true, asked+listInterval
	sent := map[*Shard]uint64{}
	for _, shard := range c.shards {
		if shard.claim.Owned() {
			sent[shard] = shard.claim.Term()
		}
	}
	call(c, ListHosts{}, func(res HostsResult) {
		c.listPending = false
		c.nextListAt = max(c.nextListAt, c.now+listPauseFactor*(c.now-asked))
		if res.Outcome != OutcomeNotSent { // not a call left out for want of tokens
			c.recordCloudOutcome(res.Outcome == OutcomeOK)
		}
		if res.Outcome != OutcomeOK {
			c.nextListAt = c.now + retryHostList
			return
		}
		listed := make(map[string]bool, len(res.Hosts))
		for _, l := range res.Hosts {
			listed[l.Name] = true
			shard := c.shards[c.zoneIndex(l.Zone)]
			if _, gone := shard.returnedHosts[l.Name]; !shard.claim.Owned() || gone {
				continue
			}
			host := shard.hosts[l.Name]
			if host == nil {
				host = c.hostByName(shard, l.Name)
				host.rentedAt = c.now - duration(l.RentedSeconds)
				if l.State == "booting" {
					host.state = hostBooting
				}
				host.expectedUpAt = host.rentedAt + duration(c.bootSeconds(l.Type))
				host.expectedUpAt = max(host.expectedUpAt, c.now+2*time.Second)
				host.giveUpAt = max(host.rentedAt+c.bootTimeout(c.bootSeconds(l.Type)), c.now+5*time.Second)
				c.info("host adopted", "host", host.name, "part", shard.name, "state", l.State)
			}
			if host.address == "" {
				host.address = l.Address
			}
			if host.typeIndex < 0 {
				host.typeIndex, host.spot = c.typeIndex.lookup(l.Type), l.Spot
			}
			if l.State == "failed" && (host.state == hostUp || host.state == hostBooting) {
				host.state, host.returnAt = hostReturning, c.now
			}
		}
		for shard, term := range sent {
			if !shard.ownedIn(term) {
				continue
			}
			shard.hostsListed = true
			for _, host := range shard.hostList() {
				if host.missedListings++; listed[host.name] || host.state != hostUp || asked < host.since+3*c.cfg.ListLag {
					host.missedListings = 0
				}
			}
		}
	})
}

// bootTimeout is how long a machine may boot: some take several times as long as
// others, a few never come up.
func (c *Core) bootTimeout(bootS float64) time.Duration { return duration(2.5*bootS + 10) }

func (c *Core) bootSeconds(typ string) float64 {
	if i := c.typeIndex.lookup(typ); i >= 0 {
		return c.types[i].BootSeconds * 1.2
	}
	return 60
}
