package core

import (
	"time"

	"roadcleat/internal/leadership"
)

// cancellationsKnownUntil is the moment up to which every accepted cancellation is known
// here; it is false while nothing is known.
func (c *Core) cancellationsKnownUntil() (time.Duration, bool) {
	return c.confirmations.KnownUntil(c.jobWatch.view, c.now)
}

// mayStartTasks reports whether tasks may be started: only while cancellations arrive.
func (c *Core) mayStartTasks() bool {
	known, ok := c.cancellationsKnownUntil()
	return ok && c.now < known+leadership.StartWindow(c.cfg.WorkerLease, c.cfg.CancelWithin)
}

// mayAnswerWorkers reports whether workers may still be answered, see AnswerWindow.
func (c *Core) mayAnswerWorkers() bool {
	known, ok := c.cancellationsKnownUntil()
	return ok && c.now < known+leadership.AnswerWindow(c.cfg.WorkerLease, c.cfg.CancelWithin)
}

// knowsCancellations reports whether the shard's workers can be told which of their tasks are
// cancelled. Its assignments tell; without them only what became known here does. A task that
// was there when the shard was claimed had been answered within the workers' lease before, by
// an owner that knew all cancellations up to a moment as mayAnswerWorkers demands; those since
// then must be known here.
func (c *Core) knowsCancellations(shard *Shard) bool {
	return shard.loaded || c.jobWatch.view.From+c.cfg.CancelWithin < shard.unloadedSince
}
