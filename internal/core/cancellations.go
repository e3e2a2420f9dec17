package core

import (
	"slices"
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// maxCancelAttempts is how often a cancellation is attempted when other transactions change the
// job's record at the same time.
const maxCancelAttempts = 4

// cancellationRepeatMargin is how long gossip repeats a cancellation beyond cancel_s.
const cancellationRepeatMargin = 10 * time.Second

// handleCancellation cancels a job. It answers only once the cancellation is durable; from then
// on no task of the job may be started (rule ran_cancelled).
func (c *Core) handleCancellation(e JobCancellation) { c.tryCancel(e, maxCancelAttempts) }

// tryCancel reads the job and cancels it, with the given number of attempts left.
func (c *Core) tryCancel(e JobCancellation, attempts int) {
	if state, finished := c.finalJobStates[e.ID]; finished {
		if attempts < maxCancelAttempts {
			// The transaction of an earlier attempt may have cancelled the job without a reply.
			c.broadcastCancellation(e.ID)
		}
		c.acceptRequest(e.RequestID, model.JobStatus{ID: e.ID, State: state})
		return
	}
	if attempts == 0 {
		c.rejectBusy(e.RequestID, "changing too fast")
		return
	}
	c.readKey(records.JobKey(e.ID), true, func(res ReadResult) {
		switch {
		case res.Outcome != OutcomeOK:
			c.rejectBusy(e.RequestID, "state service out of reach")
			return
		case !res.Found:
			c.rejectNoSuchJob(e.RequestID)
			return
		}
		c.applyJobRecord(e.ID, res.Item.Value, res.Item.Revision)
		job := c.jobs[e.ID]
		if job == nil || job.revision != res.Item.Revision {
			c.tryCancel(e, attempts-1)
			return
		}
		c.commitCancellation(e, job, attempts)
	})
}

// commitCancellation writes the cancelled state on the condition that the job is unchanged. Any
// outcome but success leads to another attempt, which reads the job again.
func (c *Core) commitCancellation(e JobCancellation, job *Job, attempts int) {
	key, value := job.key(), job.encode(records.StateCancelled)
	txn := Txn{
		Conditions: []Condition{{key, job.revision}},
		Mutations:  []Mutation{{Key: key, Value: value}},
	}
	c.commit(txn, true, func(res CommitResult) {
		if res.Outcome != OutcomeOK {
			c.tryCancel(e, attempts-1)
			return
		}
		c.info("job cancelled", "job", e.ID)
		c.applyJobRecord(e.ID, value, res.Revision)
		c.broadcast(Message{Jobs: []Item{{key, value, res.Revision}}})
		c.acceptRequest(e.RequestID, model.JobStatus{ID: e.ID, State: model.JobCancelled})
	})
}

// cancellationNotice is a cancellation that gossip repeats, with the time at which this
// controller observed it and the sequence number of the first gossip that contains it.
type cancellationNotice struct {
	notedAt        time.Duration
	firstGossipSeq uint64
	item           Item
}

// noteCancellation adds a newly observed cancellation to the gossip.
func (c *Core) noteCancellation(id string, revision uint64) {
	item := Item{records.JobKey(id), records.EncodeCancelledJob(), revision}
	c.recentCancellations = append(c.recentCancellations, cancellationNotice{c.now, c.gossipSeq + 1, item})
}

// broadcastCancellation sends the cancellation of a job to all other controllers, if gossip still
// repeats it.
func (c *Core) broadcastCancellation(id string) {
	for _, notice := range c.recentCancellations {
		if notice.item.Key == records.JobKey(id) {
			c.broadcast(Message{Jobs: []Item{notice.item}})
		}
	}
}

// dropOldCancellations drops the cancellations that need not be repeated any more.
func (c *Core) dropOldCancellations() {
	c.recentCancellations = slices.DeleteFunc(c.recentCancellations, func(notice cancellationNotice) bool {
		return c.now > notice.notedAt+c.cfg.CancelWithin+cancellationRepeatMargin
	})
}

// cancellationsFor returns the cancellations for the next gossip to a peer, which may not reach
// the state service itself. Each is repeated until the peer has confirmed a gossip message that
// contains it.
func (c *Core) cancellationsFor(peer *Peer) []Item {
	var items []Item
	for _, notice := range c.recentCancellations {
		if c.confirmations.LastReceivedBy(peer.index) < notice.firstGossipSeq {
			items = append(items, notice.item)
		}
	}
	return items
}
