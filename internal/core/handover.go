package core

import (
	"time"

	"roadcleat/internal/leadership"
)

const (
	// isolationPeriod is how long a controller counts as isolated after it has handed a shard over
	// because it received no heartbeats of the shard's workers. Peers hand no shard over to an
	// isolated controller.
	isolationPeriod = time.Minute
	// maxGossipAge is how old a peer's newest message and gossip may be for the peer to count
	// as healthy.
	maxGossipAge = 1500 * time.Millisecond
	// minExpectedReportingHosts is the number of machines that must be silent for a shard to
	// count as receiving no heartbeats. One or two may be faulty themselves.
	minExpectedReportingHosts = 3
	// A shard receives no heartbeats if the last one is older than heartbeatOutageIntervals
	// heartbeat intervals and older than minHeartbeatOutage.
	minHeartbeatOutage       = 10 * time.Second
	heartbeatOutageIntervals = 3
	// minIsolationTimeout and maxHeartbeatTransit determine isolationTimeout.
	minIsolationTimeout = 8 * time.Second
	maxHeartbeatTransit = time.Second
	// minSilentWorkers is how many workers must all be silent for their owner to count as
	// isolated. A single worker may be faulty itself.
	minSilentWorkers = 2
)

// handOverIfNeeded hands a shard over to a peer that receives heartbeats of its workers while this
// controller receives none, to its home controller once that has been healthy for the
// leadership.StabilityPeriod, or, if the zone has no controller, to a peer that owns fewer shards.
func (c *Core) handOverIfNeeded(shard *Shard) {
	isHome, home := c.homeController(shard)
	if !shard.loaded || shard.txnPending || shard.claim.Pending() || shard.claim.HandingOver() {
		return
	}
	if to := c.peerReceivingHeartbeats(shard); to != nil {
		c.isolatedUntil = c.now + isolationPeriod
		c.handOver(shard, to, "its workers reach only that controller")
		return
	}
	if isHome || len(shard.keysToReread) > 0 {
		return
	}
	if home == nil {
		if to := c.lessLoadedPeer(shard); to != nil {
			c.handOver(shard, to, "that controller owns fewer shards")
		}
		return
	}
	if shard.claim.ObserveHomeHealth(home.isHealthy(c.now), c.now) {
		c.handOver(shard, home, "its home controller is healthy again")
	}
}

// isHealthy reports whether the peer has sent a message within maxGossipAge, reaches the state
// service and is not isolated from workers.
func (p *Peer) isHealthy(now time.Duration) bool {
	return now < p.lastMessageAt+maxGossipAge && p.gossip != nil && p.gossip.StateServiceReachable && !p.gossip.Isolated
}

// lessLoadedPeer is the peer to which a shard of a zone without a controller should be handed over,
// or nil if there is none. One shard is handed over at a time, and none within two
// StabilityPeriods after it was loaded.
func (c *Core) lessLoadedPeer(shard *Shard) *Peer {
	if c.now < shard.loadedAt+2*leadership.StabilityPeriod {
		return nil
	}
	ownedBy := map[string]int{}
	for _, other := range c.shards {
		if !other.claim.OwnedOrPending() {
			ownedBy[other.claim.Owner()]++
		} else if other.claim.HandingOver() {
			return nil
		}
	}
	candidates := make([]leadership.HandoverCandidate, len(c.peers))
	for i, peer := range c.peers {
		isStable := peer.isHealthy(c.now) && c.now > c.confirmations.EpochFirstSeenAt(i)+leadership.StabilityPeriod
		candidates[i] = leadership.HandoverCandidate{OwnedShards: ownedBy[peer.Label], IsStable: isStable}
	}
	if i := leadership.ChooseHandoverTarget(c.ownedShards(), candidates); i >= 0 {
		return c.peers[i]
	}
	return nil
}

// handOver releases a shard to a peer: this controller first stops serving the shard, then deletes
// its key, and then informs the peer, which should claim it.
func (c *Core) handOver(shard *Shard, to *Peer, reason string) {
	c.info("handing over shard", "shard", shard.name, "token", shard.claim.Token(), "to", to.Label, "why", reason)
	shard.claim.BeginHandover()
	txn := Txn{Conditions: []Condition{shard.ownerCondition()}, Mutations: []Mutation{{Key: shard.key()}}}
	c.commit(txn, true, func(CommitResult) {
		// Ownership ends whatever the outcome is. The key is read again to get the new owner.
		c.endOwnership(shard, "handed over")
		c.emit(SendToPeer{to.index, Message{Epoch: c.cfg.Epoch, ReleasedShards: []string{shard.name}}})
		shard.retryNotBefore = c.now + c.cfg.Tuning.TakeoverDelay + reclaimDelayAfterHandover
		c.rereadShard(shard)
	})
}

// receivesNoHeartbeats reports whether this controller owns another zone's shard and receives no
// heartbeats of its workers, for example during a network partition. Tasks placed there would
// wait for the end of the partition.
func (c *Core) receivesNoHeartbeats(shard *Shard) bool {
	if isHome, _ := c.homeController(shard); isHome || !shard.claim.Owned() {
		return false
	}
	gap := max(c.cfg.HeartbeatInterval*heartbeatOutageIntervals, minHeartbeatOutage)
	if c.now <= shard.lastContactAt+gap {
		return false
	}
	return c.expectedReportingHosts(shard) >= minExpectedReportingHosts || shard.heartbeatOutageLogged
}

// expectedReportingHosts is the number of the shard's machines that would send heartbeats here if the
// network allowed it: those that are up, and those that should have booted a heartbeat interval
// ago. A machine sends nothing while it boots, and boot times differ between machine types.
func (c *Core) expectedReportingHosts(shard *Shard) int {
	n := 0
	for _, host := range shard.hosts {
		if host.state == hostUp || host.state == hostBooting && c.now > host.expectedUpAt+c.cfg.HeartbeatInterval {
			n++
		}
	}
	return n
}

// isolationTimeout is the time without a heartbeat of any worker of a shard after which the owner
// counts as isolated from them. Each worker should have sent a heartbeat by then.
func (c *Core) isolationTimeout() time.Duration {
	return max(minIsolationTimeout, maxHeartbeatGap(c.cfg.HeartbeatInterval)+maxHeartbeatTransit)
}

// peerReceivingHeartbeats is a healthy peer that receives heartbeats of the shard's workers while this
// controller, although it reaches the state service, receives none. It is nil if there is none.
func (c *Core) peerReceivingHeartbeats(shard *Shard) *Peer {
	if c.now < shard.loadedAt+max(minHeartbeatOutage, c.isolationTimeout()) {
		return nil
	}
	workers := 0
	for _, host := range shard.sortedHosts() {
		if host.state != hostUp {
			continue
		}
		workers++
		if c.silenceDuration(host) < c.isolationTimeout() {
			return nil
		}
	}
	if workers < minSilentWorkers {
		return nil
	}
	for _, peer := range c.peers {
		gossip := peer.gossip
		if gossip != nil && c.now < peer.gossipReceivedAt+maxGossipAge && gossip.StateServiceReachable && !gossip.Isolated && gossip.HeartbeatingWorkers[shard.name] > 0 {
			return peer
		}
	}
	return nil
}
