package core

import "roadcleat/internal/leadership"

// maintainLease requests and renews this controller's lease at the state service.
func (c *Core) maintainLease() {
	switch c.lease.NextAction(c.now) {
	case leadership.LeaseGrant:
		c.requestLease()
	case leadership.LeaseRenew:
		c.renewLease()
	}
}

// requestLease requests a new lease.
func (c *Core) requestLease() {
	sent := c.now
	c.lease.BeginCall()
	call(c, GrantLease{c.cfg.Tuning.LeaseTTL}, func(res LeaseResult) {
		c.recordStateServiceOutcome(sent, res.Outcome == OutcomeOK)
		if res.Outcome != OutcomeOK {
			c.lease.RecordFailure(c.now + leaseGrantRetryDelay)
			return
		}
		c.lease.RecordGrant(res.Lease, sent)
	})
}

// renewLease renews the lease. If the lease has expired, this controller gives up all its shards.
func (c *Core) renewLease() {
	sent, id := c.now, c.lease.ID()
	c.lease.BeginCall()
	call(c, RenewLease{id}, func(res RenewResult) {
		c.recordStateServiceOutcome(sent, res.Outcome == OutcomeOK || res.Outcome == OutcomeRefused)
		switch res.Outcome {
		case OutcomeOK:
			c.lease.RecordRenewal(sent)
		case OutcomeRefused:
			c.warn("lease at the state service expired", "lease", id)
			c.lease.RecordRefusal()
			c.loseAllShards()
		default:
			c.lease.RecordFailure(c.now + stateServiceRetryDelay)
		}
	})
}

// loseAllShards ends the ownership of every shard. The state service has deleted the shards' keys
// with the expired lease, and another controller may have claimed them since.
func (c *Core) loseAllShards() {
	for _, shard := range c.shards {
		if shard.claim.Owned() {
			c.endOwnership(shard, "lease expired")
		}
		shard.claim.InvalidateKey()
	}
	c.shardWatch.listed = false
}

// leaseConfirmed reports whether the state service has confirmed this controller's lease since the
// last clock jump. Until then other controllers may own its shards, so it neither rents nor returns
// machines for them.
func (c *Core) leaseConfirmed() bool { return c.lease.ConfirmedSince(c.clockJumpAt) }
