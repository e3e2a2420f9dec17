package core

import (
	"slices"
	"time"

	"roadcleat/internal/records"
)

const (
	// gossipInterval is the interval between two gossip messages to each peer.
	gossipInterval = 500 * time.Millisecond
	// foreignHeartbeatMaxAge is how long after its last heartbeat a worker of another
	// controller's shard counts as reachable from this controller.
	foreignHeartbeatMaxAge = 6 * time.Second
	// maxFormerEpochs is how many epochs of a peer's former processes are remembered. Their messages
	// can be late by minutes, so this covers many restarts in a row.
	maxFormerEpochs = 32
)

// Peer is the state that this controller keeps of another controller.
type Peer struct {
	PeerConfig
	index            int           // position in Config.Peers
	epoch            uint64        // epoch of the peer's process; a restart changes it
	formerEpochs     []uint64      // newest epochs of its former processes, the oldest first
	lastMessageAt    time.Duration // when the last message of its current process was received
	gossip           *Gossip       // newest gossip received; nil before the first
	gossipReceivedAt time.Duration // when the gossip was received
}

// peerByLabel returns the peer with the given label, or nil.
func (c *Core) peerByLabel(label string) *Peer {
	for _, peer := range c.peers {
		if peer.Label == label {
			return peer
		}
	}
	return nil
}

// broadcast sends a message to all other controllers. Delivery is not guaranteed.
func (c *Core) broadcast(m Message) {
	m.Epoch = c.cfg.Epoch
	for i := range c.peers {
		c.emit(SendToPeer{i, m})
	}
}

// handlePeerMessage applies a message from another controller.
func (c *Core) handlePeerMessage(from int, m Message) {
	peer := c.peers[from]
	if slices.Contains(peer.formerEpochs, m.Epoch) {
		c.applyLateMessage(peer, m)
		return
	}
	if peer.epoch != m.Epoch {
		peer.beginEpoch(m.Epoch)
		c.confirmations.RecordRestart(from, c.now)
	}
	peer.lastMessageAt = c.now
	c.applyJobItems(m.Jobs)
	for _, item := range m.Assignments {
		c.applyReceivedAssignment(item)
	}
	for _, zone := range m.ReleasedShards {
		c.acceptReleasedShard(zone)
	}
	for _, item := range m.Quotas {
		if team := c.teams.lookup(records.ParseKey(item.Key).Team); team >= 0 {
			c.applyQuotaRecord(c.quotas[team], true, item.Value, item.Revision)
		}
	}
	for _, request := range m.GrantRequests {
		c.handleGrantRequest(from, request)
	}
	if m.Gossip != nil {
		c.applyGossip(peer, m.Gossip)
	}
}

// beginEpoch records that the peer has a new process, and remembers the epoch of the former one.
func (p *Peer) beginEpoch(epoch uint64) {
	if p.epoch != 0 {
		p.formerEpochs = append(p.formerEpochs, p.epoch)
		p.formerEpochs = p.formerEpochs[max(0, len(p.formerEpochs)-maxFormerEpochs):]
	}
	p.epoch = epoch
}

// applyLateMessage applies a message of a peer's former process that arrives after messages of the
// current one. The states of jobs in it are facts. Nothing else is used: the message is no sign of
// life, and it says nothing about what the current process has received.
func (c *Core) applyLateMessage(peer *Peer, m Message) {
	c.debug("received a late message of a former process", "peer", peer.Label, "epoch", m.Epoch)
	c.applyJobItems(m.Jobs)
	if m.Gossip != nil {
		c.applyJobItems(m.Gossip.Cancellations)
	}
}

// applyJobItems applies the job records in a message. A message may arrive long after the job has
// ended. An unfinished job that this controller does not know, in a record older than the start of the
// watch on the jobs, is therefore read first: the watch reports only changes since its start.
func (c *Core) applyJobItems(items []Item) {
	for _, item := range items {
		id := records.ParseKey(item.Key).Job
		if c.jobWatch.listed && !c.jobWatch.continues(item.Revision) && c.jobs[id] == nil && !isFinalJobRecord(item.Value) {
			c.jobsToReread[id] = true
			continue
		}
		c.applyJobRecord(id, item.Value, item.Revision)
	}
}

// isFinalJobRecord reports whether a job's record has a final state, which never changes again.
func isFinalJobRecord(value []byte) bool {
	record, err := records.DecodeJob(value)
	if err != nil {
		return false
	}
	_, final := record.FinalState()
	return final
}

// applyReceivedAssignment applies an assignment that another controller has written.
func (c *Core) applyReceivedAssignment(item Item) {
	key := records.ParseKey(item.Key)
	if key.Kind != records.KindAssignment {
		return
	}
	z := c.zones.lookup(key.Zone)
	if z < 0 || !c.shards[z].isServedHere() {
		return
	}
	if job := c.jobs[key.Job]; job != nil && item.Revision < job.revision {
		// Every move of tasks changes the job's revision too, so tasks have moved since this
		// assignment was written. Applying a message delayed by a network partition could
		// restore a deleted assignment, whose tasks would then run twice (rule ran_twice). Read
		// the current value instead.
		c.readAssignment(c.shards[z], key.Job)
		return
	}
	c.applyAssignmentRecord(c.shards[z], key.Job, item.Value, item.Revision)
}

// acceptReleasedShard starts to claim a shard that its owner released to this controller.
func (c *Core) acceptReleasedShard(zone string) {
	z := c.zones.lookup(zone)
	if z < 0 || c.shards[z].claim.OwnedOrPending() {
		return
	}
	c.shards[z].claim.RecordOffer()
	c.rereadShard(c.shards[z])
}

// handleGrantRequest stores a peer's request and reduces the idle grants of the shards served
// here.
func (c *Core) handleGrantRequest(from int, request GrantRequest) {
	team := c.teams.lookup(request.Team)
	if team < 0 {
		return
	}
	c.quotas[team].grantRequests[from] = receivedRequest{request, c.now}
	for _, shard := range c.shards {
		if shard.isServedHere() {
			c.reduceIdleGrant(shard, team, true)
		}
	}
}

// applyGossip applies a peer's gossip: its cancellations, its confirmation of this controller's
// gossip, and its views of shards.
func (c *Core) applyGossip(peer *Peer, gossip *Gossip) {
	peer.gossip, peer.gossipReceivedAt = gossip, c.now
	c.applyJobItems(gossip.Cancellations)
	c.applyReceipt(peer, gossip.Received[c.cfg.Label])
	for i := range gossip.Shards {
		c.applyShardView(peer, &gossip.Shards[i])
	}
}

// applyReceipt applies the number of this controller's newest gossip that a peer has received; 0
// means that it has received none.
func (c *Core) applyReceipt(peer *Peer, number uint64) {
	isOwn := c.confirmations.RecordReceipt(peer.index, number, c.jobWatch.view, c.now, c.cfg.CancelWithin)
	if !isOwn && number > 0 {
		c.info("ignored the receipt of gossip that a former process of this controller sent",
			"peer", peer.Label, "received", number, "newest", c.gossipSeq)
	}
}

// applyShardView applies the view of a shard that its owner sent in gossip. A higher token than
// this controller's own shows that its ownership of the shard has ended. A view with a lower
// token than the last one is from a former owner and is ignored.
func (c *Core) applyShardView(peer *Peer, view *ShardView) {
	shard := c.shards[c.zoneIndexOrAdd(view.Zone)]
	if shard.claim.Owned() {
		if shard.claim.OutdatedBy(view.Token) {
			c.endOwnership(shard, "a peer reports a higher fencing token")
			c.shardWatch.listed = false
		}
		return
	}
	if shard.view != nil && shard.view.Token > view.Token {
		return
	}
	shard.view, shard.viewAt, shard.devices = view, c.now, nil
	shard.claim.ObserveGossip(peer.Label, view.Token)
	c.jobCounts[view.Zone] = view.Jobs
}

// sendGossip sends the other controllers the views of the shards served here and this
// controller's own health.
func (c *Core) sendGossip() {
	if c.now < c.nextGossipAt {
		return
	}
	c.nextGossipAt = c.now + gossipInterval
	c.gossipSeq++
	c.confirmations.RecordSent(c.gossipSeq, c.now)
	gossip := &Gossip{
		Seq:                   c.gossipSeq,
		Received:              map[string]uint64{},
		StateServiceReachable: c.stateServiceReachable(),
		ValueFormat:           int(records.FormatGrouped),
		CallRate:              c.budget.callsPerSecond,
		HeartbeatingWorkers:   c.countForeignWorkers(),
		Isolated:              c.now < c.isolatedUntil,
	}
	for _, peer := range c.peers {
		if peer.gossip != nil {
			gossip.Received[peer.Label] = peer.gossip.Seq
		}
	}
	for _, shard := range c.shards {
		if !shard.isServedHere() || shard.claim.HandingOver() {
			continue
		}
		view := c.shardView(shard)
		c.jobCounts[shard.name] = view.Jobs
		gossip.Shards = append(gossip.Shards, view)
	}
	c.dropOldCancellations()
	for i, peer := range c.peers {
		own := *gossip
		own.Cancellations = c.cancellationsFor(peer)
		c.emit(SendToPeer{i, Message{Epoch: c.cfg.Epoch, Gossip: &own}})
	}
}

// countForeignWorkers returns, by zone, the number of workers of other controllers' shards
// whose last heartbeat here is no older than foreignHeartbeatMaxAge. It drops older heartbeats.
func (c *Core) countForeignWorkers() map[string]int {
	reachableWorkers := map[string]int{}
	for zone, hosts := range c.heartbeatsFromOtherShards {
		for name, at := range hosts {
			if c.now > at+foreignHeartbeatMaxAge {
				delete(hosts, name)
			}
		}
		reachableWorkers[zone] = len(hosts)
	}
	return reachableWorkers
}
