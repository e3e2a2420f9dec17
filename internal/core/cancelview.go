package core

import (
	"time"

	"roadcleat/internal/leadership"
)

// cancellationsReceivedUntil is the moment up to which this controller has received every accepted
// cancellation. The result is false while there is no such moment.
func (c *Core) cancellationsReceivedUntil() (time.Duration, bool) {
	return c.confirmations.AllReceivedUntil(c.jobWatch.view, c.now)
}

// canStartTasks reports whether tasks may be started: only while this controller receives
// cancellations, and for leadership.StartWindow after that.
func (c *Core) canStartTasks() bool {
	receivedUntil, ok := c.cancellationsReceivedUntil()
	return ok && c.now < receivedUntil+leadership.StartWindow(c.cfg.WorkerLease, c.cfg.CancelWithin)
}

// canRenewWorkerLeases reports whether workers' heartbeats may be answered, which renews the workers'
// leases, see leadership.LeaseRenewalWindow.
func (c *Core) canRenewWorkerLeases() bool {
	receivedUntil, ok := c.cancellationsReceivedUntil()
	return ok && c.now < receivedUntil+leadership.LeaseRenewalWindow(c.cfg.WorkerLease, c.cfg.CancelWithin)
}

// hasAllCancellations reports whether this controller has received the cancellation of every
// cancelled task on the shard's workers, so that it can stop the task. Once the shard is loaded it
// has, because the assignments are loaded with the current states of their jobs.
//
// Until then, this controller has only the cancellations that it received itself. For a
// task that was running when the shard was claimed, the former owner had answered a heartbeat within
// the worker's lease before the claim. At that time it had received all cancellations up to a moment
// that canRenewWorkerLeases requires. This controller must have received all later cancellations.
func (c *Core) hasAllCancellations(shard *Shard) bool {
	return shard.loaded || c.jobWatch.view.From+c.cfg.CancelWithin < shard.unloadedSince
}
