package core

import "time"

// This file handles worker heartbeats. A reply with status heartbeatOK renews the worker's lease,
// and a worker keeps its tasks running as long as its lease is valid. So only the owner of the
// worker's shard sends such a reply, and only while that owner has observed every cancellation that
// the worker still has to execute (invariant ran_cancelled: no task runs too long after its job was
// cancelled). A worker that receives no such reply tries the next controller; once its lease has
// expired it kills all its tasks.

// HTTP status codes of replies to heartbeats.
const (
	heartbeatOK          = 200 // the lease is renewed
	heartbeatMisdirected = 421 // another controller owns the shard
	heartbeatUnavailable = 503 // this controller can't renew the lease now
)

// maxOwnerContactAge is the maximum age of the last message from a shard's owner for workers to be
// redirected to that owner.
const maxOwnerContactAge = 3 * time.Second

// handleHeartbeat applies a worker's heartbeat and replies to it.
func (c *Core) handleHeartbeat(event Heartbeat) {
	reply := c.heartbeatReply(&event.Status)
	reply.RequestID = event.RequestID
	c.emit(reply)
}

// heartbeatReply applies the status and returns the reply. A reply whose status is not heartbeatOK
// does not renew the worker's lease, see checkWorkerLease.
func (c *Core) heartbeatReply(status *WorkerStatus) HeartbeatReply {
	shard := c.shards[c.zoneIndexOrAdd(status.Zone)]
	if !shard.claim.Owned() || shard.claim.HandingOver() {
		return c.redirectHeartbeat(shard, status)
	}
	if status.Token > shard.claim.Token() {
		c.loseShardToNewerOwner(shard)
		return HeartbeatReply{HTTPStatus: heartbeatMisdirected}
	}
	if !c.mayRenewWorkerLease(shard, status.Host) {
		return HeartbeatReply{HTTPStatus: heartbeatUnavailable}
	}
	host := c.findOrAddHost(shard, status.Host)
	isOutdated := !status.isNewerThan(host.incarnation, host.heartbeatSeq) || host.isStale(status)
	c.applyWorkerStatus(shard, host, status, true)
	if isOutdated || !shard.claim.Owned() || host.state == hostReturned {
		return HeartbeatReply{HTTPStatus: heartbeatUnavailable}
	}
	host.heartbeatSeq = status.Seq
	if c.hasCancelledLaunchInFlight(host, shard.claim.Token()) {
		// Once the worker has received a higher token it refuses the launch.
		shard.claim.RequestTokenRaise(c.now + tokenRaiseRetryDelay)
		return HeartbeatReply{HTTPStatus: heartbeatUnavailable}
	}
	host.lastHeartbeatReplyAt = c.now
	host.leaseExpired = false
	c.recordContact(host)
	c.startProbe(shard, host)
	return HeartbeatReply{
		HTTPStatus: heartbeatOK,
		Token:      c.tokenFor(shard, host),
		Commands:   c.replyCommands(shard, host),
	}
}

// mayRenewWorkerLease reports whether this controller may renew the lease of a worker in a shard
// that it owns: its view of cancellations is recent enough, and the worker's machine still exists.
// Heartbeats of a machine whose return the cloud has confirmed are delayed copies.
func (c *Core) mayRenewWorkerLease(shard *Shard, hostName string) bool {
	if _, returned := shard.returnedHosts[hostName]; returned {
		return false
	}
	return c.canRenewWorkerLeases() && c.hasAllCancellations(shard)
}

// redirectHeartbeat replies to a worker of a shard that this controller does not own. It records
// the time of the heartbeat, because the worker may be unable to reach the shard's owner.
func (c *Core) redirectHeartbeat(shard *Shard, status *WorkerStatus) HeartbeatReply {
	heartbeatTimes := c.heartbeatsFromOtherShards[status.Zone]
	if heartbeatTimes == nil {
		heartbeatTimes = map[string]time.Duration{}
		c.heartbeatsFromOtherShards[status.Zone] = heartbeatTimes
	}
	heartbeatTimes[status.Host] = c.now
	owner := shard.claim.Owner()
	if peer := c.peerByLabel(owner); peer != nil && c.now < peer.lastMessageAt+maxOwnerContactAge {
		return HeartbeatReply{HTTPStatus: heartbeatMisdirected, Owner: peer.Label}
	}
	if owner == c.cfg.Label || shard.claim.Pending() {
		return HeartbeatReply{HTTPStatus: heartbeatUnavailable} // this controller may be about to own the shard
	}
	return HeartbeatReply{HTTPStatus: heartbeatMisdirected}
}

// loseShardToNewerOwner ends this controller's ownership of a shard when a worker reports a token
// above the owner's. Another controller has claimed the shard since then and may have started
// tasks, so the shard's records are read again.
func (c *Core) loseShardToNewerOwner(shard *Shard) {
	c.endOwnership(shard, "a worker reported a higher token, so another controller has claimed the shard")
	c.shardWatch.listed = false
}
