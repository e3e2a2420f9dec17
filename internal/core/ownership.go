package core

import (
	"slices"
	"time"

	"roadcleat/internal/leadership"
	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

const (
	// tokenRaiseRetryDelay is the delay before a fencing token is raised after a launch of a cancelled
	// task was found to be still in flight, and after a raise without success.
	tokenRaiseRetryDelay = time.Second
	// forgetTokenRaiseDelay is the delay before a fencing token is raised so that workers may forget
	// exited attempts. The exits of this period share one raise.
	forgetTokenRaiseDelay = 10 * time.Second
)

// maintainShards claims free shards and maintains the shards that this controller owns.
func (c *Core) maintainShards() {
	if !c.lease.Held() || !c.stateServiceReachable() {
		return
	}
	for _, shard := range c.shards {
		switch {
		case shard.claim.Owned():
			c.maintainOwnedShard(shard)
		case c.shouldClaim(shard):
			c.claimShard(shard)
		}
	}
}

// maintainOwnedShard hands a shard over or loads it, whichever is due.
func (c *Core) maintainOwnedShard(shard *Shard) {
	c.handOverIfNeeded(shard)
	c.loadShard(shard)
}

// shouldClaim reports whether this controller should now claim a shard that it does not own.
func (c *Core) shouldClaim(shard *Shard) bool {
	if !shard.claim.KeyRead() || shard.claim.Pending() || c.now < shard.retryNotBefore {
		return false
	}
	switch shard.claim.Owner() {
	case c.cfg.Label:
		// An earlier process of this controller wrote the key. The shard is claimed again, so
		// that the new token invalidates everything that the earlier process sent.
		return true
	case "":
		return c.now >= shard.claim.FreeSince()+c.claimDelay(shard)
	}
	return false
}

// homeController reports whether this controller is the home controller of the shard, that is the
// controller in its zone. If not, it returns the peer that is, or nil if the zone has none.
func (c *Core) homeController(shard *Shard) (isHome bool, home *Peer) {
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

// claimDelay is how long this controller leaves a free shard to others before it claims the shard.
func (c *Core) claimDelay(shard *Shard) time.Duration {
	isHome, home := c.homeController(shard)
	candidate := leadership.ClaimCandidate{
		IsHome:          isHome,
		IsIsolated:      c.now < c.isolatedUntil,
		IsOffered:       shard.claim.Offered(),
		IsHomeReachable: home != nil && c.now <= home.lastMessageAt+leadership.HomeUnreachableAfter,
		OwnedShards:     c.ownedShards(),
		LabelRank:       c.claimRank(),
		TakeoverDelay:   c.cfg.Tuning.TakeoverDelay,
	}
	return candidate.ClaimDelay()
}

// ownedShards is the number of shards that this controller owns or is claiming.
func (c *Core) ownedShards() int {
	owned := 0
	for _, shard := range c.shards {
		if shard.claim.OwnedOrPending() {
			owned++
		}
	}
	return owned
}

// claimRank is the number of peers whose labels sort before this controller's label.
func (c *Core) claimRank() int {
	rank := 0
	for _, peer := range c.peers {
		if peer.Label < c.cfg.Label {
			rank++
		}
	}
	return rank
}

// claimTxn returns the transaction that writes the shard's key. The revision of the write is the new
// fencing token.
func (c *Core) claimTxn(shard *Shard, record records.Shard) Txn {
	return Txn{
		Conditions: []Condition{shard.ownerCondition()},
		Mutations:  []Mutation{{Key: shard.key(), Value: record.Encode(), Lease: c.lease.ID()}},
	}
}

// raiseTokenIfDue raises the fencing token of a served shard if that is due and a worker needs a
// higher one.
func (c *Core) raiseTokenIfDue(shard *Shard) {
	if !shard.claim.TokenRaiseDue(c.now) || shard.isBusy() || !c.lease.Held() || !c.stateServiceReachable() {
		return
	}
	shard.claim.DropTokenRaise()
	needsRaise := func(host *Host) bool { return c.needsTokenAbove(shard, host, shard.claim.Token()) }
	if slices.ContainsFunc(shard.sortedHosts(), needsRaise) {
		c.raiseToken(shard)
	}
}

// raiseToken raises the fencing token of a shard that this controller owns. If that does not succeed
// for certain, the shard's key is read again before the next transaction: it then shows the former
// token, the raised one (see adoptRaisedToken) or another owner.
func (c *Core) raiseToken(shard *Shard) {
	shard.claim.BeginClaim()
	shard.txnPending = true
	term := shard.claim.Term()
	record := records.Shard{Owner: c.cfg.Label, RaisedFrom: shard.claim.Token()}
	c.commit(c.claimTxn(shard, record), true, func(res CommitResult) {
		if !shard.isOwnedInTerm(term) {
			c.rereadShard(shard)
			return
		}
		shard.claim.EndClaim()
		switch {
		case res.Outcome == OutcomeOK:
			shard.txnPending = false
			c.onShardClaimed(shard, res.Revision)
		case res.LeaseExpired:
			c.lease.Expire()
			c.loseAllShards()
		default:
			shard.claim.RequestTokenRaise(c.now + tokenRaiseRetryDelay)
			shard.keysToReread[shard.key()] = false
			c.rereadKeys(shard)
		}
	})
}

// adoptRaisedToken adopts a token if the shard's record shows that this owner raised it. The reply to
// that transaction was lost, or has not arrived yet. It reports whether the token was adopted.
func (c *Core) adoptRaisedToken(shard *Shard, record records.Shard, revision uint64) bool {
	claim := &shard.claim
	if !claim.OutdatedBy(revision) || record.Owner != c.cfg.Label || record.RaisedFrom != claim.Token() {
		return false
	}
	c.onShardClaimed(shard, revision)
	return true
}

// claimShard claims a shard.
func (c *Core) claimShard(shard *Shard) {
	shard.claim.BeginClaim()
	c.commit(c.claimTxn(shard, records.Shard{Owner: c.cfg.Label}), true, func(res CommitResult) {
		shard.claim.EndClaim()
		switch {
		case res.Outcome == OutcomeOK:
			c.onShardClaimed(shard, res.Revision)
			return
		case res.Outcome == OutcomeRefused && res.LeaseExpired:
			c.lease.Expire()
		}
		// Another controller claimed the shard first, or the outcome is unknown: the key is read
		// again.
		shard.claim.InvalidateKey()
		shard.retryNotBefore = c.now + claimRetryDelay
		c.rereadShard(shard)
	})
}

// onShardClaimed handles a committed claim, whose revision is the new fencing token. In a new term it
// prepares the shard and loads its assignments. It makes a probe of every worker due, which shows the
// worker the new token.
func (c *Core) onShardClaimed(shard *Shard, revision uint64) {
	newTerm := shard.claim.RecordClaimed(c.cfg.Label, revision)
	if newTerm { // newShard has initialized the other fields
		shard.lastContactAt, shard.unloadedSince = c.now, c.now
		shard.teamUsage = make([]model.Resources, len(c.teamConfigs))
		shard.txnPending = false
		c.nextHostListAt = 0
		for _, quota := range c.quotas {
			quota.mustReread, quota.rereadAfter = true, c.now
		}
	}
	c.info("shard claimed", "shard", shard.name, "token", shard.claim.Token(), "again", !newTerm)
	for _, host := range shard.sortedHosts() {
		host.nextProbeAt = 0
	}
	if newTerm {
		c.loadShard(shard)
	}
}

// endOwnership ends this controller's ownership of a shard at once and drops the shard's state. Only
// the number of the last rental is kept, since rental names must never be used again.
func (c *Core) endOwnership(shard *Shard, reason string) {
	c.warn("shard ownership ended", "shard", shard.name, "token", shard.claim.Token(), "why", reason)
	fresh := newShard(shard.zone, shard.name)
	fresh.rentalSeq = shard.rentalSeq
	*shard = *fresh
}
