package core

import (
	"time"

	"roadcleat/internal/model"
)

// The cloud's host list contains machines that an earlier owner rented and machines that have
// failed. It is eventually consistent: a machine missing from it may still exist.

// The host list is read every hostListInterval. A long list has many pages, each of which takes a
// call. The pause after a list is therefore at least hostListPauseFactor times the time that
// reading it took, so that calls remain for rentals and returns.
const (
	hostListInterval    = 6 * time.Second
	hostListPauseFactor = 2
)

const (
	// minRemainingBoot and minRemainingBootTimeout are the minimum times from the adoption of a
	// machine until it is expected to be up, and until its boot times out.
	minRemainingBoot        = 2 * time.Second
	minRemainingBootTimeout = 5 * time.Second
	// listedWithinListLags is the number of list lags after which the list must contain a machine
	// that has come up.
	listedWithinListLags = 3
)

// Constants of expectedBootSeconds and bootTimeout. listedBootFactor is the ratio of the expected
// boot time to the one in the catalog, bootTimeoutFactor the ratio of the timeout to the given boot
// time. unknownTypeBootSeconds applies to machine types that are not in the catalog.
const (
	listedBootFactor        = 1.2
	bootTimeoutFactor       = 2.5
	bootTimeoutExtraSeconds = 10
	unknownTypeBootSeconds  = 60
)

// States of a listed machine that need special handling.
const (
	listedBooting = "booting"
	listedFailed  = "failed"
)

// listHosts reads the cloud's host list if a read is due and this controller owns a shard.
func (c *Core) listHosts() {
	if c.hostListPending || c.now < c.nextHostListAt || len(c.machineTypes) == 0 {
		return
	}
	terms := c.ownedTerms()
	if len(terms) == 0 {
		return
	}
	requestedAt := c.now
	c.hostListPending, c.nextHostListAt = true, requestedAt+hostListInterval
	call(c, ListHosts{}, func(res HostsResult) {
		c.hostListPending = false
		c.nextHostListAt = max(c.nextHostListAt, c.now+hostListPauseFactor*(c.now-requestedAt))
		if res.Outcome != OutcomeNotSent { // the call budget, not the cloud, prevents unsent calls
			c.recordCloudOutcome(res.Outcome == OutcomeOK)
		}
		if res.Outcome != OutcomeOK {
			c.nextHostListAt = c.now + hostListRetryDelay
			return
		}
		c.applyHostList(res.Hosts, requestedAt, terms)
	})
}

// ownedTerms returns the shards that this controller owns with the leadership term of each.
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

// applyHostList applies a host list that was requested at the given time. Machines missing from it
// are counted only for shards that have been owned without interruption since then, which the terms
// show.
func (c *Core) applyHostList(hosts []model.ListedHost, requestedAt time.Duration, terms map[*Shard]uint64) {
	listed := make(map[string]bool, len(hosts))
	for i := range hosts {
		listed[hosts[i].Name] = true
		c.applyListedHost(&hosts[i])
	}
	for shard, term := range terms {
		if shard.isOwnedInTerm(term) {
			shard.hostListRead = true
			c.countMissedListings(shard, listed, requestedAt)
		}
	}
}

// applyListedHost applies one entry of the host list. It adopts a machine that is not in its shard
// yet, and returns one that has failed.
func (c *Core) applyListedHost(entry *model.ListedHost) {
	shard := c.shards[c.zoneIndexOrAdd(entry.Zone)]
	if _, returned := shard.returnedHosts[entry.Name]; returned || !shard.claim.Owned() {
		return
	}
	host := shard.hosts[entry.Name]
	if host == nil {
		host = c.adoptHost(shard, entry)
	}
	if host.address == "" {
		host.address = entry.Address
	}
	if host.typeIndex < 0 {
		host.typeIndex, host.spot = c.typeNames.lookup(entry.Type), entry.Spot
	}
	if entry.State == listedFailed && (host.state == hostUp || host.state == hostBooting) {
		host.state, host.returnRetryAt = hostReturning, c.now
	}
}

// adoptHost adds a machine that this controller has first observed in the host list.
func (c *Core) adoptHost(shard *Shard, entry *model.ListedHost) *Host {
	host := c.findOrAddHost(shard, entry.Name)
	if entry.State == listedBooting {
		host.state = hostBooting
	}
	bootSeconds := c.expectedBootSeconds(entry.Type)
	host.rentedAt = c.now - secondsToDuration(entry.RentedSeconds)
	host.expectedUpAt = max(host.rentedAt+secondsToDuration(bootSeconds), c.now+minRemainingBoot)
	host.bootDeadline = max(host.rentedAt+c.bootTimeout(bootSeconds), c.now+minRemainingBootTimeout)
	c.info("host adopted from the cloud's list", "host", host.name, "shard", shard.name, "state", entry.State)
	return host
}

// countMissedListings updates the number of consecutive lists in which each machine was missing.
// Only machines that are up, and came up long enough before the request, are expected in the list.
func (c *Core) countMissedListings(shard *Shard, listed map[string]bool, requestedAt time.Duration) {
	for _, host := range shard.sortedHosts() {
		tooNew := requestedAt < host.addedOrUpAt+listedWithinListLags*c.cfg.HostListLag
		if listed[host.name] || host.state != hostUp || tooNew {
			host.missedListings = 0
		} else {
			host.missedListings++
		}
	}
}

// bootTimeout returns the time after which a booting machine is given up. Some machines boot
// several times as long as others of their type, and a few never come up.
func (c *Core) bootTimeout(bootSeconds float64) time.Duration {
	return secondsToDuration(bootTimeoutFactor*bootSeconds + bootTimeoutExtraSeconds)
}

// expectedBootSeconds returns the expected boot time of a listed machine by the name of its type:
// the time in the catalog with a margin, or unknownTypeBootSeconds.
func (c *Core) expectedBootSeconds(typeName string) float64 {
	if typeIndex := c.typeNames.lookup(typeName); typeIndex >= 0 {
		return c.machineTypes[typeIndex].BootSeconds * listedBootFactor
	}
	return unknownTypeBootSeconds
}
