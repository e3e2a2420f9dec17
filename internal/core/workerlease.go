package core

import "time"

// This file tracks the lease and the incarnations of workers. A worker whose lease expires kills
// all its tasks and starts a new incarnation. Both the expiry computed here and a new incarnation
// in a status prove that tasks have left the machine (invariant ran_twice), under the conditions
// stated below.

// Safety margin on the expiry of a worker's lease, because the clocks of worker and controller may
// run at rates that differ by one part in clockDriftDivisor.
const (
	clockDriftDivisor = 500
	leaseExpiryMargin = 1500 * time.Millisecond
)

// checkWorkerLease confirms the exit of a silent worker's tasks once the worker's lease has
// certainly expired. After the worker has confirmed this owner's token no other controller can
// renew the lease. This owner renewed it last with its last heartbeat reply, which may or may not
// have arrived. A worker that has not confirmed the token may still receive replies from an earlier
// owner, so the expiry of its lease can't be computed here.
func (c *Core) checkWorkerLease(shard *Shard, host *Host) {
	if host.leaseExpired || host.tokenConfirmedAt == 0 || host.commandCallPending {
		return
	}
	renewedAt := max(host.tokenConfirmedAt, host.lastHeartbeatReplyAt)
	lease := c.cfg.WorkerLease
	if c.now < renewedAt+lease+lease/clockDriftDivisor+leaseExpiryMargin {
		return
	}
	host.leaseExpired = true
	host.commands = nil
	clear(host.sentLaunches)
	clear(host.reportedTasks)
	host.earlierAttempts = nil
	c.info("worker lease expired; confirming the exit of all its tasks",
		"host", host.name, "shard", shard.name, "tasks", len(host.tasks))
	c.confirmAllExits(shard, host, func(*Task) bool { return true })
}

// handleNewIncarnation handles a new incarnation of a worker: its lease had expired, and it has
// killed and forgotten all tasks of earlier incarnations. The worker refuses delayed launches that
// name an earlier incarnation.
func (c *Core) handleNewIncarnation(shard *Shard, host *Host, incarnation uint64) {
	for key, launch := range host.sentLaunches {
		if launch.incarnation < incarnation {
			delete(host.sentLaunches, key)
		}
	}
	if host.incarnation == 0 {
		return // the first incarnation observed by this owner
	}
	c.info("worker started a new incarnation after its lease expired",
		"host", host.name, "shard", shard.name, "incarnation", incarnation)
	if c.heartbeatReplyWasLost(host) {
		c.markUnreachable(shard, host, "its lease expired although this controller had answered a heartbeat")
	}
	if shard.loaded {
		c.confirmExitsOfPreviousIncarnation(shard, host)
	}
	if host.tokenConfirmedAt > 0 {
		// The new incarnation starts with a full lease, at a time no later than now. If the lease
		// were computed from the time when the previous incarnation confirmed the token, it would
		// appear to have expired while tasks started in the new incarnation still run (invariant
		// ran_twice).
		host.tokenConfirmedAt = c.now
	}
	clear(host.imageLastUsedAt)
	clear(host.fetchingUntil)
}

// confirmExitsOfPreviousIncarnation confirms the exit of all tasks that were launched before the
// worker's new incarnation. These are the tasks launched by this owner. They include tasks launched
// by an earlier owner only if the worker had confirmed this owner's token in the previous
// incarnation, since the earlier owner's launches preceded that token. Otherwise the first status
// received here may have been a delayed one, and the earlier owner may have launched its tasks in
// the new incarnation.
func (c *Core) confirmExitsOfPreviousIncarnation(shard *Shard, host *Host) {
	confirmed := host.tokenConfirmedAt > 0
	c.confirmAllExits(shard, host, func(task *Task) bool {
		return task.launchSent || task.placedByEarlierOwner && confirmed
	})
}

// heartbeatReplyWasLost reports whether a worker's lease expired although a heartbeat was answered
// within its duration, which means that the reply did not arrive. After a clock jump this can't be
// concluded: heartbeats that were queued during the jump were answered after their workers had
// abandoned them.
func (c *Core) heartbeatReplyWasLost(host *Host) bool {
	if host.tokenConfirmedAt == 0 || host.lastHeartbeatReplyAt == 0 ||
		c.now >= host.lastHeartbeatReplyAt+c.cfg.WorkerLease {
		return false
	}
	return c.clockJumpAt == 0 || c.now > c.clockJumpAt+c.cfg.WorkerLease
}
