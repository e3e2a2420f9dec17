package core

import (
	"time"

	"roadcleat/internal/model"
)

// The cloud's list of machines. It lags, so that a machine is missing proves nothing; it names
// machines that an earlier owner rented and machines that have failed.

// The list is read every listInterval. Where it has many pages, each of which waits for a call
// of its own, the pause after it is listPauseFactor times what it took: rentals and returns
// need the calls as well.
const (
	listInterval    = 6 * time.Second
	listPauseFactor = 2
)

const (
	// An adopted machine is expected up, and given up, no earlier than this from now.
	adoptedUpAfter     = 2 * time.Second
	adoptedGiveUpAfter = 5 * time.Second
	// mustListAfterLags is how many list lags after it came up a machine must be listed.
	mustListAfterLags = 3
)

// Boot times, see bootSeconds and bootTimeout.
const (
	listedBootMargin       = 1.2
	bootTimeoutFactor      = 2.5
	bootTimeoutExtra       = 10 // seconds
	unknownTypeBootSeconds = 60
)

// States of a listed machine other than the ordinary one.
const (
	listedBooting = "booting"
	listedFailed  = "failed"
)

// listHosts reads the cloud's list if it is due.
func (c *Core) listHosts() {
	if c.listPending || c.now < c.nextListAt || len(c.types) == 0 {
		return
	}
	terms := c.ownedTerms()
	if len(terms) == 0 {
		return
	}
	requestedAt := c.now
	c.listPending, c.nextListAt = true, requestedAt+listInterval
	call(c, ListHosts{}, func(res HostsResult) {
		c.listPending = false
		c.nextListAt = max(c.nextListAt, c.now+listPauseFactor*(c.now-requestedAt))
		if res.Outcome != OutcomeNotSent { // not one that the budget of calls did not allow
			c.recordCloudOutcome(res.Outcome == OutcomeOK)
		}
		if res.Outcome != OutcomeOK {
			c.nextListAt = c.now + retryHostList
			return
		}
		c.applyHostList(res.Hosts, requestedAt, terms)
	})
}

// ownedTerms gives the terms of the shards that are owned here.
func (c *Core) ownedTerms() map[*Shard]uint64 {
	var terms map[*Shard]uint64
	for _, shard := range c.shards {
		if !shard.claim.Owned() {
			continue
		}
		if terms == nil {
			terms = map[*Shard]uint64{}
		}
		terms[shard] = shard.claim.Term()
	}
	return terms
}

// applyHostList applies a list that was requested in the terms given.
func (c *Core) applyHostList(hosts []model.ListedHost, requestedAt time.Duration, terms map[*Shard]uint64) {
	listed := make(map[string]bool, len(hosts))
	for i := range hosts {
		listed[hosts[i].Name] = true
		c.applyListedHost(&hosts[i])
	}
	for shard, term := range terms {
		if shard.ownedIn(term) {
			shard.hostsListed = true
			c.countMissedListings(shard, listed, requestedAt)
		}
	}
}

// applyListedHost applies one entry of the list. A machine that is not known yet is adopted.
func (c *Core) applyListedHost(listed *model.ListedHost) {
	shard := c.shards[c.zoneIndex(listed.Zone)]
	if _, returned := shard.returnedHosts[listed.Name]; returned || !shard.claim.Owned() {
		return
	}
	host := shard.hosts[listed.Name]
	if host == nil {
		host = c.adoptHost(shard, listed)
	}
	if host.address == "" {
		host.address = listed.Address
	}
	if host.typeIndex < 0 {
		host.typeIndex, host.spot = c.typeIndex.lookup(listed.Type), listed.Spot
	}
	if listed.State == listedFailed && (host.state == hostUp || host.state == hostBooting) {
		host.state, host.returnAt = hostReturning, c.now
	}
}

// adoptHost adds a machine that the list brought to light.
func (c *Core) adoptHost(shard *Shard, listed *model.ListedHost) *Host {
	host := c.hostByName(shard, listed.Name)
	if listed.State == listedBooting {
		host.state = hostBooting
	}
	bootTime := c.bootSeconds(listed.Type)
	host.rentedAt = c.now - duration(listed.RentedSeconds)
	host.expectedUpAt = max(host.rentedAt+duration(bootTime), c.now+adoptedUpAfter)
	host.giveUpAt = max(host.rentedAt+c.bootTimeout(bootTime), c.now+adoptedGiveUpAfter)
	c.info("host adopted", "host", host.name, "shard", shard.name, "state", listed.State)
	return host
}

// countMissedListings counts how often in a row machines that must have been on the list were
// missing from it.
func (c *Core) countMissedListings(shard *Shard, listed map[string]bool, requestedAt time.Duration) {
	for _, host := range shard.hostList() {
		tooNew := requestedAt < host.since+mustListAfterLags*c.cfg.ListLag
		if listed[host.name] || host.state != hostUp || tooNew {
			host.missedListings = 0
		} else {
			host.missedListings++
		}
	}
}

// bootTimeout is how long a machine may boot. Some take several times as long as others of
// their type, and a few never come up.
func (c *Core) bootTimeout(bootSeconds float64) time.Duration {
	return duration(bootTimeoutFactor*bootSeconds + bootTimeoutExtra)
}

// bootSeconds is how long a machine of a type should take to boot, with a margin over what the
// catalogue states.
func (c *Core) bootSeconds(typ string) float64 {
	if i := c.typeIndex.lookup(typ); i >= 0 {
		return c.types[i].BootSeconds * listedBootMargin
	}
	return unknownTypeBootSeconds
}
