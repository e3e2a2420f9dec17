package core

import "roadcleat/internal/leadership"

// maintainLease holds this controller's lease at the state service.
func (c *Core) maintainLease() {
	switch c.lease.Next(c.now) {
	case leadership.LeaseGrant:
		c.requestLease()
	case leadership.LeaseRenew:
		c.renewLease()
	}
}

func (c *Core) requestLease() {
	sent := c.now
	c.lease.Begin()
	call(c, GrantLease{c.cfg.Tuning.LeaseTTL}, func(res LeaseResult) {
		c.recordStoreOutcome(sent, res.Outcome == OutcomeOK)
		if res.Outcome != OutcomeOK {
			c.lease.Failed(c.now + retryLeaseGrant)
			return
		}
		c.lease.Granted(res.Lease, sent)
	})
}

func (c *Core) renewLease() {
	sent, id := c.now, c.lease.ID()
	c.lease.Begin()
	call(c, RenewLease{id}, func(res RenewResult) {
		c.recordStoreOutcome(sent, res.Outcome == OutcomeOK || res.Outcome == OutcomeRefused)
		switch res.Outcome {
		case OutcomeOK:
			c.lease.Renewed(sent)
		case OutcomeRefused:
			c.warn("lease expired", "lease", id)
			c.lease.Refused()
			c.loseAllShards()
		default:
			c.lease.Failed(c.now + retryStoreCall)
		}
	})
}

// loseAllShards ends every ownership: the keys hung on a lease that has expired, and another
// controller may have held them since.
func (c *Core) loseAllShards() {
	for _, shard := range c.shards {
		if shard.claim.Owned() {
			c.loseShard(shard, "lease expired")
		}
		shard.claim.Forget()
	}
	c.shardWatch.loaded = false
}

// leaseConfirmed reports whether the state service has confirmed this controller's lease
// since its clock last jumped. Before that its shards may long be others', and it neither
// returns nor rents machines for them.
func (c *Core) leaseConfirmed() bool { return c.lease.ConfirmedSince(c.clockJumpAt) }
