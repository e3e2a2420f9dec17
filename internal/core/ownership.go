package core

import (
	"slices"
	"time"

	"roadcleat/internal/leadership"
	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// raiseTokenPause is how soon a token is raised after a cancelled launch was found to be
// still possible, and after an attempt to raise it was not sent.
const raiseTokenPause = time.Second

// maintainShards claims free shards and hands shards over to their home controllers.
func (c *Core) maintainShards() {
	if !c.lease.Held() || !c.storeReachable() {
		return
	}
	for _, shard := range c.shards {
		switch {
		case shard.claim.Owned():
			c.maintainOwned(shard)
		case c.mayClaim(shard):
			c.claimShard(shard)
		}
	}
}

func (c *Core) maintainOwned(shard *Shard) {
	c.maybeHandOver(shard)
	if !shard.loaded && !shard.loading {
		c.loadShard(shard)
	}
	if !shard.claim.TokenRaiseDue(c.now) || !shard.loaded || shard.txnPending || shard.claim.HandingOver() {
		return
	}
	shard.claim.RaiseTokenAt(0)
	inFlight := func(host *Host) bool { return c.cancelledLaunchInFlight(shard, host) }
	if slices.ContainsFunc(shard.hostList(), inFlight) {
		c.claimShard(shard)
	}
}

// mayClaim reports whether a shard that is not owned here should be claimed now.
func (c *Core) mayClaim(shard *Shard) bool {
	if !shard.claim.Known() || shard.claim.Pending() || c.now < shard.retryAt {
		return false
	}
	switch shard.claim.Owner() {
	case c.cfg.Label:
		// This controller's own key, of an earlier process: claimed anew under a new
		// revision, so that nothing which the earlier process sent counts.
		return true
	case "":
		return c.now >= shard.claim.FreeSince()+c.claimDelay(shard)
	}
	return false
}

// homeController reports whether this controller is at home in the shard's zone; if not, it
// gives the controller that is, or nil.
func (c *Core) homeController(shard *Shard) (here bool, other *Peer) {
	if c.cfg.Zone == shard.name {
		return true, nil
	}
	for _, peer := range c.peers {
		if peer.Zone == shard.name {
			return false, peer
		}
	}
	return false, nil
}

// claimDelay is how long a free shard is left to other controllers.
func (c *Core) claimDelay(shard *Shard) time.Duration {
	here, home := c.homeController(shard)
	candidacy := leadership.Candidacy{
		Home:          here,
		Isolated:      c.now < c.isolatedUntil,
		Offered:       shard.claim.Offered(),
		HomeHeard:     home != nil && c.now <= home.lastHeardAt+leadership.HomeSilentAfter,
		Owned:         c.ownedShards(),
		Rank:          c.claimRank(),
		TakeoverDelay: c.cfg.Tuning.TakeoverDelay,
	}
	return candidacy.ClaimDelay()
}

// ownedShards counts the shards that this controller owns or claims.
func (c *Core) ownedShards() int {
	owned := 0
	for _, shard := range c.shards {
		if shard.claim.OwnedOrPending() {
			owned++
		}
	}
	return owned
}

// claimRank is this controller's place among all by label.
func (c *Core) claimRank() int {
	rank := 0
	for _, peer := range c.peers {
		if peer.Label < c.cfg.Label {
			rank++
		}
	}
	return rank
}

// claimShard claims a shard, or raises the token of one owned already.
func (c *Core) claimShard(shard *Shard) {
	again := shard.claim.Owned()
	shard.claim.Begin()
	if again {
		shard.txnPending = true
	}
	value := records.Shard{Owner: c.cfg.Label}.Encode()
	txn := Txn{
		Conditions: []Condition{shard.ownerCondition()},
		Mutations:  []Mutation{{Key: shard.key(), Value: value, Lease: c.lease.ID()}},
	}
	c.commit(txn, true, func(res CommitResult) {
		shard.claim.End()
		if again {
			shard.txnPending = false
		}
		switch {
		case res.Outcome == OutcomeOK:
			c.onShardClaimed(shard, res.Revision)
			return
		case again && res.Outcome == OutcomeNotSent:
			shard.claim.RaiseTokenAt(c.now + raiseTokenPause) // owned as before
			return
		case res.Outcome == OutcomeRefused && res.LeaseExpired:
			c.lease.Expire()
		}
		// Another controller was first, or nobody can tell: read what holds.
		if again {
			c.loseShard(shard, "claim not confirmed")
		}
		shard.claim.Forget()
		shard.retryAt = c.now + retryClaim
		c.rereadShard(shard)
	})
}

func (c *Core) rereadShard(shard *Shard) {
	c.readKey(shard.key(), true, func(res ReadResult) {
		switch {
		case res.Outcome != OutcomeOK:
			shard.retryAt = c.now + retryShardRead
			c.shardWatch.loaded = false // the next listing decides
		case shard.claim.OwnedOrPending():
		case !res.Found:
			shard.claim.ObserveAbsence(c.now)
		default:
			shard.claim.Read()
			c.applyShardRecord(shard, res.Item.Value, res.Item.Revision)
		}
	})
}

func (c *Core) onShardClaimed(shard *Shard, revision uint64) {
	newTerm := shard.claim.Succeed(c.cfg.Label, revision)
	if newTerm { // all else of a shard that was not owned is as newShard made it
		shard.lastHeartbeatAt, shard.unloadedSince = c.now, c.now
		shard.teamUsage = make([]model.Resources, len(c.teamConfigs))
		shard.txnPending = false
		c.nextListAt = 0
		for _, quota := range c.quotas {
			quota.mustReread, quota.rereadAfter = true, c.now
		}
	}
	c.info("shard claimed", "shard", shard.name, "token", shard.claim.Token(), "again", !newTerm)
	for _, host := range shard.hostList() {
		host.nextProbeAt = 0
	}
	if newTerm {
		c.loadShard(shard)
	}
}

// loseShard ends ownership at once. Only the count of rentals stays, since a rental's name
// may never be used again.
func (c *Core) loseShard(shard *Shard, why string) {
	c.warn("shard lost", "shard", shard.name, "token", shard.claim.Token(), "why", why)
	fresh := newShard(shard.zone, shard.name)
	fresh.rentalSeq = shard.rentalSeq
	*shard = *fresh
}
