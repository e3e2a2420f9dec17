package core

import "time"

const (
	// stateServiceUnresponsiveAfter is the time without a response from the state service after which
	// this controller may be unhealthy, see Healthy.
	stateServiceUnresponsiveAfter = 2500 * time.Millisecond
	// stateServiceUnreachableAfter is the time without a response from the state service after which
	// this controller begins no work that needs it.
	stateServiceUnreachableAfter = 4 * time.Second
	// maxPeerStateAge is how old a peer's gossip may be for Healthy to use its StateServiceReachable.
	maxPeerStateAge = 2 * time.Second
	// overloadLostHeartbeats is how many heartbeats of a worker an overload may lose.
	// overloadRetryMargin is added for the time that the worker's retries take.
	overloadLostHeartbeats = 2
	overloadRetryMargin    = 5 * time.Second
)

// recordStateServiceOutcome records whether the state service responded to a call that was sent at
// the given time. A success shows that the service was reachable at that time.
func (c *Core) recordStateServiceOutcome(sent time.Duration, responded bool) {
	if responded {
		c.lastStateServiceSuccessAt, c.stateServiceContacted, c.stateServiceFailingSince = max(c.lastStateServiceSuccessAt, sent), true, 0
	} else if c.stateServiceFailingSince == 0 {
		c.stateServiceFailingSince = c.now
	}
}

// stateServiceReachable reports whether a call that was sent within the last
// stateServiceUnreachableAfter has succeeded.
func (c *Core) stateServiceReachable() bool {
	return c.stateServiceContacted && c.now < c.lastStateServiceSuccessAt+stateServiceUnreachableAfter
}

// recordCloudOutcome records whether the cloud responded to a call.
func (c *Core) recordCloudOutcome(responded bool) {
	if responded {
		c.lastCloudSuccessAt, c.cloudFailingSince = c.now, 0
	} else if c.cloudFailingSince == 0 {
		c.cloudFailingSince = c.now
	}
}

// Healthy reports whether users should send requests to this controller. It is unhealthy if it
// cannot reach the state service while a peer can, because that peer serves users better. If no
// controller reaches the state service it stays healthy: it answers from memory, and tells users
// when to retry.
func (c *Core) Healthy() bool {
	if !c.stateServiceContacted || len(c.machineTypes) == 0 {
		return false
	}
	if c.now < c.lastStateServiceSuccessAt+stateServiceUnresponsiveAfter || c.stateServiceFailingSince == 0 {
		return true
	}
	for _, peer := range c.peers {
		if peer.gossip != nil && c.now < peer.gossipReceivedAt+maxPeerStateAge && peer.gossip.StateServiceReachable {
			return false
		}
	}
	return true
}

// isOverloaded reports whether requests were rejected or dropped here so recently that a worker may
// not have had time for overloadLostHeartbeats more heartbeats. During that time neither missing
// heartbeats nor unanswered calls are attributed to a machine: an owner with too little processor
// time for its machines must not return thousands of healthy ones.
func (c *Core) isOverloaded() bool {
	return c.overloadedAt > 0 && c.now < c.overloadedAt+overloadLostHeartbeats*c.cfg.HeartbeatInterval+overloadRetryMargin
}
