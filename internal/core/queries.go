package core

import (
	"net/http"
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

const (
	maxOpenQueries       = 1024 // jobs that are asked for and not compared yet
	maxOpenVerifications = 2
	verifyInterval       = 50 * time.Millisecond
)

// queryBatcher holds the users' questions that are not answered yet. All but final states are
// answered from a fresh look at the state service, so that no answer is older than one that
// any controller gave before (rule went_back).
type queryBatcher struct {
	open              map[string][]uint64 // requests by job
	order             []string            // jobs in the order in which they were asked for
	openVerifications int
	nextVerifyAt      time.Duration
}

// handleQuery answers a user who asks for a job.
func (c *Core) handleQuery(e JobQuery) {
	if state, over := c.finished[e.ID]; over {
		c.acceptRequest(e.RequestID, model.JobStatus{ID: e.ID, State: state})
		return
	}
	q := &c.queries
	if q.open[e.ID] == nil {
		if len(q.open) >= maxOpenQueries {
			c.rejectBusy(e.RequestID, "too many questions at once")
			return
		}
		q.order = append(q.order, e.ID)
	}
	q.open[e.ID] = append(q.open[e.ID], e.RequestID)
}

// flushQueries checks with one request that the jobs users asked for are as this controller
// knows them: a transaction that only compares says of many revisions at once that they hold
// now, which is as good as reading each key. One read for each question would take most of
// what the state service allows.
func (c *Core) flushQueries() {
	q := &c.queries
	if len(q.order) == 0 || q.openVerifications >= maxOpenVerifications || c.now < q.nextVerifyAt {
		return
	}
	n := min(len(q.order), comparisonsPerMutation*c.cfg.MaxTxnOps)
	ids := append([]string(nil), q.order[:n]...)
	q.order = append(q.order[:0], q.order[n:]...)
	requests := map[string][]uint64{}
	for _, id := range ids {
		requests[id] = q.open[id]
		delete(q.open, id)
	}
	q.nextVerifyAt = c.now + verifyInterval
	c.verifyQueries(ids, requests)
}

// verifyQueries answers the questions about the jobs given.
func (c *Core) verifyQueries(ids []string, requests map[string][]uint64) {
	revisions := make(map[string]uint64, len(ids))
	for _, id := range ids {
		if job := c.jobs[id]; job != nil {
			revisions[id] = job.revision
		}
	}
	c.queries.openVerifications++
	c.compareRevisions(ids, revisions, func(out Outcome, rest, differ []string) {
		c.queries.openVerifications--
		switch out {
		case OutcomeOK:
			for _, id := range rest {
				for _, req := range requests[id] {
					c.answerQuery(req, id, revisions[id] > 0)
				}
			}
		case OutcomeRefused:
			for _, id := range differ {
				for _, req := range requests[id] {
					c.lookUpJob(req, id, func() { c.rejectNoSuchJob(req) })
				}
			}
			if len(rest) > 0 {
				c.verifyQueries(rest, requests)
			}
		default:
			c.rejectQueries(ids, requests)
		}
	})
}

// answerQuery answers with what the comparison has shown to hold. A job may have ended in the
// meantime; its end is then known here and is newer.
func (c *Core) answerQuery(req uint64, id string, exists bool) {
	if _, over := c.finished[id]; !exists && !over && c.jobs[id] == nil {
		c.rejectNoSuchJob(req)
		return
	}
	c.acceptRequest(req, c.jobStatus(id))
}

func (c *Core) rejectNoSuchJob(req uint64) {
	c.rejectRequest(req, http.StatusNotFound, 0, "no such job")
}

func (c *Core) rejectQueries(ids []string, requests map[string][]uint64) {
	for _, id := range ids {
		for _, req := range requests[id] {
			c.rejectBusy(req, "state service out of reach")
		}
	}
}

// lookUpJob answers with the job's status if the state service has it, else calls absent.
func (c *Core) lookUpJob(req uint64, id string, absent func()) {
	c.readKey(records.JobKey(id), false, func(res ReadResult) {
		switch {
		case res.Outcome != OutcomeOK:
			c.rejectBusy(req, "state service out of reach")
		case !res.Found:
			absent()
		default:
			c.applyJobRecord(id, res.Item.Value, res.Item.Revision)
			c.acceptRequest(req, c.jobStatus(id))
		}
	})
}

// jobStatus is a job's status as users see it, its counts by own knowledge or the owners'
// gossip.
func (c *Core) jobStatus(id string) model.JobStatus {
	status := model.JobStatus{ID: id}
	if state, over := c.finished[id]; over {
		status.State = state
		return status
	}
	for _, shard := range c.shards {
		if shard.servedHere() {
			if assignment := shard.assignments[id]; assignment != nil {
				status.Done += assignment.done.Count()
				status.Running += assignment.running()
			}
			continue
		}
		for _, counts := range c.jobCounts[shard.name] {
			if counts.ID == id {
				status.Done += counts.Done
				status.Running += counts.Running
			}
		}
	}
	if status.Running > 0 {
		status.State = model.JobRunning
	}
	return status
}
