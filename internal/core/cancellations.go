package core

import (
	"slices"
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// cancelAttempts is how often a cancellation is tried when the job's record changes at the
// same time.
const cancelAttempts = 4

// repeatCancellations is for how long beyond cancel_s a cancellation is repeated in gossip.
const repeatCancellations = 10 * time.Second

// handleCancellation cancels a job. The answer goes out only once the cancellation is
// durable; from then on no task of the job may be started (rule ran_cancelled).
func (c *Core) handleCancellation(e JobCancellation) { c.tryCancel(e, cancelAttempts) }

func (c *Core) tryCancel(e JobCancellation, attempts int) {
	if state, over := c.finished[e.ID]; over {
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

// cancellationNotice is a cancellation, when it became known here and the first gossip that
// holds it.
type cancellationNotice struct {
	at          time.Duration
	firstGossip uint64
	item        Item
}

// noteCancellation has gossip repeat a cancellation that became known here.
func (c *Core) noteCancellation(id string, revision uint64) {
	item := Item{records.JobKey(id), records.CancelledJob(), revision}
	c.recentCancellations = append(c.recentCancellations, cancellationNotice{c.now, c.gossipSeq + 1, item})
}

// dropOldCancellations forgets the cancellations that need no repetition any more.
func (c *Core) dropOldCancellations() {
	c.recentCancellations = slices.DeleteFunc(c.recentCancellations, func(notice cancellationNotice) bool {
		return c.now > notice.at+c.cfg.CancelWithin+repeatCancellations
	})
}

// cancellationsFor lists the cancellations that another controller may have to learn of from
// here because it does not reach the state service. Each is in all gossip to it until it has
// received one of those.
func (c *Core) cancellationsFor(peer *Peer) []Item {
	var items []Item
	for _, notice := range c.recentCancellations {
		if c.confirmations.ReceivedBy(peer.index) < notice.firstGossip {
			items = append(items, notice.item)
		}
	}
	return items
}
