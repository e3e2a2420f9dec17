package core

import (
	"time"

	"roadcleat/internal/leadership"
)

const (
	// isolatedFor is how long a controller that gave up a shard because it heard none of
	// its workers is not handed one.
	isolatedFor = time.Minute
	// gossipFresh is how old another controller's gossip may be for it to count as well.
	gossipFresh = 1500 * time.Millisecond
	// minExpectedReporters is how many workers must be missing for a shard to count as
	// having no heartbeats: one or two may be faulty themselves.
	minExpectedReporters = 3
	// leastHeartbeatGap and heartbeatGapIntervals bound when a shard counts as such.
	leastHeartbeatGap     = 10 * time.Second
	heartbeatGapIntervals = 3
)

// maybeHandOver hands a shard to its home controller once that one has been well for a
// while, to a controller that hears its workers while this one hears none, or, where the zone
// has no controller, to one that owns fewer shards.
func (c *Core) maybeHandOver(shard *Shard) {
	here, home := c.homeController(shard)
	if !shard.loaded || shard.txnPending || shard.claim.Pending() || shard.claim.HandingOver() {
		return
	}
	if to := c.peerHearingWorkers(shard); to != nil {
		c.isolatedUntil = c.now + isolatedFor
		c.handOver(shard, to, "its workers are heard elsewhere only")
		return
	}
	if here || len(shard.unknownKeys) > 0 {
		return
	}
	if home == nil {
		if to := c.lessLoadedPeer(shard); to != nil {
			c.handOver(shard, to, "it owns fewer")
		}
		return
	}
	if shard.claim.HomeSeen(home.isWell(c.now), c.now) {
		c.handOver(shard, home, "its home is back")
	}
}

// isWell reports whether another controller is heard, reaches the state service and hears
// workers.
func (p *Peer) isWell(now time.Duration) bool {
	return now < p.lastHeardAt+gossipFresh && p.gossip != nil && p.gossip.StoreOK && !p.gossip.Isolated
}

// lessLoadedPeer is the controller that a shard of a zone without a controller goes to, or
// nil. One shard is handed over at a time.
func (c *Core) lessLoadedPeer(shard *Shard) *Peer {
	if c.now < shard.loadedAt+2*leadership.SteadyAfter {
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
	successors := make([]leadership.Successor, len(c.peers))
	for i, peer := range c.peers {
		steady := peer.isWell(c.now) && c.now > c.confirmations.EpochSince(i)+leadership.SteadyAfter
		successors[i] = leadership.Successor{Owned: ownedBy[peer.Label], Steady: steady}
	}
	if i := leadership.ChooseSuccessor(c.ownedShards(), successors); i >= 0 {
		return c.peers[i]
	}
	return nil
}

// handOver releases a shard: this controller stops first, then deletes the key, then informs
// the controller that should claim it.
func (c *Core) handOver(shard *Shard, to *Peer, why string) {
	c.info("shard handed over", "shard", shard.name, "token", shard.claim.Token(), "to", to.Label, "why", why)
	shard.claim.BeginHandover()
	txn := Txn{Conditions: []Condition{shard.ownerCondition()}, Mutations: []Mutation{{Key: shard.key()}}}
	c.commit(txn, true, func(CommitResult) {
		// Whatever the answer, this ownership has ended; the key is read again.
		c.loseShard(shard, "handed over")
		c.emit(SendToPeer{to.index, Message{Epoch: c.cfg.Epoch, ReleasedShards: []string{shard.name}}})
		shard.retryAt = c.now + c.cfg.Tuning.TakeoverDelay + reclaimAfterHandover
		c.rereadShard(shard)
	})
}

// noHeartbeats reports whether this controller owns another zone's shard and hears none of
// its workers, as when that zone is cut off: work that waits there would wait for the cut to
// end.
func (c *Core) noHeartbeats(shard *Shard) bool {
	if here, _ := c.homeController(shard); here || !shard.claim.Owned() {
		return false
	}
	gap := max(c.cfg.HeartbeatInterval*heartbeatGapIntervals, leastHeartbeatGap)
	if c.now <= shard.lastHeartbeatAt+gap {
		return false
	}
	return c.expectedReporters(shard) >= minExpectedReporters || shard.hadNoHeartbeats
}

// expectedReporters counts the shard's machines that would be heard if the zone could be
// reached: those that boot send nothing, however long that takes on their type.
func (c *Core) expectedReporters(shard *Shard) int {
	n := 0
	for _, host := range shard.hosts {
		if host.state == hostUp || host.state == hostBooting && c.now > host.expectedUpAt+c.cfg.HeartbeatInterval {
			n++
		}
	}
	return n
}

// isolationTimeout is for how long an owner hears nothing of any worker of a shard before it
// takes itself to be cut off from them: each should have sent a heartbeat by then.
func (c *Core) isolationTimeout() time.Duration {
	return max(8*time.Second, c.cfg.HeartbeatInterval*5/4+time.Second)
}

// peerHearingWorkers is a controller that hears the shard's workers while this one, though it
// reaches the state service, hears none of them; nil if there is none.
func (c *Core) peerHearingWorkers(shard *Shard) *Peer {
	if c.now < shard.loadedAt+max(leastHeartbeatGap, c.isolationTimeout()) {
		return nil
	}
	workers := 0
	for _, host := range shard.hostList() {
		if host.state != hostUp {
			continue
		}
		workers++
		if c.silentFor(host) < c.isolationTimeout() {
			return nil
		}
	}
	if workers <= 1 {
		return nil
	}
	for _, peer := range c.peers {
		gossip := peer.gossip
		if gossip != nil && c.now < peer.gossipAt+gossipFresh && gossip.StoreOK && !gossip.Isolated && gossip.WorkersHeard[shard.name] > 0 {
			return peer
		}
	}
	return nil
}
