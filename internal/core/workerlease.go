package core

import "time"

// A worker's lease and its incarnations. A worker whose lease expires kills all its tasks and
// begins a new incarnation. Both the expiry, reckoned here, and a new incarnation seen here
// prove that tasks have left the machine (ran_twice), under the conditions below.

// Margin for the clocks of worker and controller: their rates may differ by one part in
// leaseDriftDivisor.
const (
	leaseDriftDivisor = 500
	leaseMargin       = 1500 * time.Millisecond
)

// checkWorkerLease confirms the exit of a silent worker's tasks once its lease has certainly
// expired. Since the worker confirmed this owner's token nobody else can have renewed the
// lease, and this owner did so last with its last answer, which may have arrived. A worker that
// has not confirmed the token may still be answered by an earlier owner: its lease is not
// reckoned here.
func (c *Core) checkWorkerLease(shard *Shard, host *Host) {
	if host.leaseExpired || host.confirmedAt == 0 || host.commandPending {
		return
	}
	renewedAt := max(host.confirmedAt, host.lastAnswer)
	lease := c.cfg.WorkerLease
	if c.now < renewedAt+lease+lease/leaseDriftDivisor+leaseMargin {
		return
	}
	host.leaseExpired = true
	host.commands = nil
	clear(host.launchesInFlight)
	clear(host.reported)
	c.info("host lease expired", "host", host.name, "shard", shard.name, "tasks", len(host.tasks))
	c.confirmAllExits(shard, host, func(*Task) bool { return true })
}

// beginIncarnation applies a new incarnation of a worker: its lease had expired, and it has
// killed and forgotten every task of earlier incarnations. It refuses late launches of those.
func (c *Core) beginIncarnation(shard *Shard, host *Host, incarnation uint64) {
	for key, launch := range host.launchesInFlight {
		if launch.incarnation < incarnation {
			delete(host.launchesInFlight, key)
		}
	}
	if host.incarnation == 0 {
		return // the first one known here
	}
	c.info("host has a new incarnation", "host", host.name, "shard", shard.name, "incarnation", incarnation)
	if c.answerWasLost(host) {
		c.markUnreachable(shard, host, "its lease expired though it was answered")
	}
	if shard.loaded {
		c.confirmExitsOfPastIncarnation(shard, host)
	}
	if host.confirmedAt > 0 {
		// The new incarnation has a whole lease from its beginning, which is not later than
		// now. Counted from when the one before had confirmed the token, it would seem to
		// have expired while tasks started in the new one still run (ran_twice).
		host.confirmedAt = c.now
	}
	clear(host.images)
	clear(host.fetching)
}

// confirmExitsOfPastIncarnation confirms the exit of all tasks that were launched before the
// worker's new incarnation. Those are this owner's, and an earlier owner's only if the worker
// knew this owner's token in the incarnation that ended: an earlier owner's launches came
// before the token. Otherwise the first status seen here may have been a late one, and the
// earlier owner may have launched its tasks in the new incarnation.
func (c *Core) confirmExitsOfPastIncarnation(shard *Shard, host *Host) {
	confirmed := host.confirmedAt > 0
	c.confirmAllExits(shard, host, func(task *Task) bool {
		return task.launchSent || task.inherited && confirmed
	})
}

// answerWasLost reports whether a worker's lease expired though a heartbeat was answered within
// it, so that the answer did not arrive. After a clock jump this proves nothing: heartbeats
// that had waited meanwhile were answered after their workers had given them up.
func (c *Core) answerWasLost(host *Host) bool {
	if host.confirmedAt == 0 || host.lastAnswer == 0 || c.now >= host.lastAnswer+c.cfg.WorkerLease {
		return false
	}
	return c.clockJumpAt == 0 || c.now > c.clockJumpAt+c.cfg.WorkerLease
}
