package core

import "time"

const (
	// storeUnhealthyAfter is how long the state service may be silent for this controller
	// to count as healthy in any case.
	storeUnhealthyAfter = 2500 * time.Millisecond
	// storeUnreachableAfter is after how long of its silence nothing is begun that needs it.
	storeUnreachableAfter = 4 * time.Second
	// peerStateFresh is how old a peer's word on the state service may be.
	peerStateFresh = 2 * time.Second
	// overloadTries is how many heartbeats of a worker an overload may cost; overloadSlack
	// is for the time between its tries.
	overloadTries = 2
	overloadSlack = 5 * time.Second
)

// recordStoreOutcome notes whether the state service answers. A success counts from when the
// call was sent.
func (c *Core) recordStoreOutcome(sent time.Duration, ok bool) {
	if ok {
		c.storeOKAt, c.storeSeen, c.storeBadSince = max(c.storeOKAt, sent), true, 0
	} else if c.storeBadSince == 0 {
		c.storeBadSince = c.now
	}
}

// storeReachable reports whether the state service answered lately.
func (c *Core) storeReachable() bool {
	return c.storeSeen && c.now < c.storeOKAt+storeUnreachableAfter
}

// recordCloudOutcome notes whether the cloud answers.
func (c *Core) recordCloudOutcome(ok bool) {
	if ok {
		c.cloudOKAt, c.cloudBadSince = c.now, 0
	} else if c.cloudBadSince == 0 {
		c.cloudBadSince = c.now
	}
}

// Healthy reports whether this controller can take requests. When no controller reaches the
// state service, it is as good as any: it answers what it knows and says when to come back.
// When only it is cut off, users are better served elsewhere.
func (c *Core) Healthy() bool {
	if !c.storeSeen || len(c.types) == 0 {
		return false
	}
	if c.now < c.storeOKAt+storeUnhealthyAfter || c.storeBadSince == 0 {
		return true
	}
	for _, peer := range c.peers {
		if peer.gossip != nil && c.now < peer.gossipAt+peerStateFresh && peer.gossip.StoreOK {
			return false
		}
	}
	return true
}

// isOverloaded reports whether requests were turned away or dropped here lately. Until every
// worker has had time to try twice more, silence speaks against no machine, and neither do
// calls that were not answered: an owner with too little processor for its machines must not
// return thousands that are well.
func (c *Core) isOverloaded() bool {
	return c.overloadedAt > 0 && c.now < c.overloadedAt+overloadTries*c.cfg.HeartbeatInterval+overloadSlack
}
