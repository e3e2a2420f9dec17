package core

import "time"

// Heartbeats of workers and the replies to them. An answer renews the worker's lease, and while
// its lease lasts a worker keeps its tasks. So a worker is answered only by its shard's owner,
// and only while that owner knows every cancellation that the worker has yet to execute
// (ran_cancelled). A worker without an answer asks the next controller; when its lease has
// expired it kills everything.

// HTTP status codes of replies to heartbeats.
const (
	heartbeatOK          = 200
	heartbeatMisdirected = 421 // another controller owns the shard
	heartbeatUnavailable = 503
)

// ownerHeardWithin is how lately a shard's owner must have been heard to be named to workers.
const ownerHeardWithin = 3 * time.Second

// handleHeartbeat applies a worker's heartbeat and replies to it.
func (c *Core) handleHeartbeat(e Heartbeat) {
	reply := c.heartbeatReply(&e.Status)
	reply.RequestID = e.RequestID
	c.emit(reply)
}

// heartbeatReply applies the status and gives the reply. Any status but heartbeatOK leaves the
// worker's lease as it is, see checkWorkerLease.
func (c *Core) heartbeatReply(status *WorkerStatus) HeartbeatReply {
	shard := c.shards[c.zoneIndex(status.Zone)]
	if !shard.claim.Owned() || shard.claim.HandingOver() {
		return c.redirectHeartbeat(shard, status)
	}
	if status.Token > shard.claim.Token() {
		c.loseShardToHigherToken(shard)
		return HeartbeatReply{Status: heartbeatMisdirected}
	}
	if !c.mayAnswer(shard, status.Host) {
		return HeartbeatReply{Status: heartbeatUnavailable}
	}
	host := c.hostByName(shard, status.Host)
	late := !status.isAfter(host.incarnation, host.heartbeatSeq) || host.isStale(status)
	c.applyWorkerStatus(shard, host, status, true)
	if late || !shard.claim.Owned() || host.state == hostGone {
		return HeartbeatReply{Status: heartbeatUnavailable}
	}
	host.heartbeatSeq = status.Seq
	if c.cancelledLaunchInFlight(shard, host) {
		if !shard.claim.TokenRaiseRequested() {
			shard.claim.RaiseTokenAt(c.now + raiseTokenPause)
		}
		return HeartbeatReply{Status: heartbeatUnavailable}
	}
	host.lastAnswer = c.now
	host.leaseExpired = false
	c.recordContact(host)
	c.probe(shard, host)
	return HeartbeatReply{
		Status:   heartbeatOK,
		Token:    shard.claim.Token(),
		Commands: c.replyCommands(shard, host),
	}
}

// mayAnswer reports whether workers of a shard owned here may be answered, and whether this
// one's machine still exists: a machine whose return was confirmed sends nothing but late
// copies.
func (c *Core) mayAnswer(shard *Shard, host string) bool {
	if _, returned := shard.returnedHosts[host]; returned {
		return false
	}
	return c.mayAnswerWorkers() && c.knowsCancellations(shard)
}

// redirectHeartbeat replies to a worker of a shard that is not owned here. That the worker
// reaches this controller is remembered: its owner may not hear it.
func (c *Core) redirectHeartbeat(shard *Shard, status *WorkerStatus) HeartbeatReply {
	heard := c.foreignHeartbeats[status.Zone]
	if heard == nil {
		heard = map[string]time.Duration{}
		c.foreignHeartbeats[status.Zone] = heard
	}
	heard[status.Host] = c.now
	owner := shard.claim.Owner()
	if peer := c.peer(owner); peer != nil && c.now < peer.lastHeardAt+ownerHeardWithin {
		return HeartbeatReply{Status: heartbeatMisdirected, Owner: peer.Label}
	}
	if owner == c.cfg.Label || shard.claim.Pending() {
		return HeartbeatReply{Status: heartbeatUnavailable} // it may be owned here in a moment
	}
	return HeartbeatReply{Status: heartbeatMisdirected}
}

// loseShardToHigherToken ends ownership when a worker shows a token above this owner's: another
// controller has claimed the shard since, and may have started tasks.
func (c *Core) loseShardToHigherToken(shard *Shard) {
	c.loseShard(shard, "a worker has seen a higher token")
	c.shardWatch.loaded = false
}
