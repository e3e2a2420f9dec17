package core

import (
	"net/http"
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

const (
	maxQueuedQueries         = 1024 // jobs with queued requests
	maxInFlightVerifications = 2    // concurrent verifications, each of one batch of jobs
	// verifyInterval is the minimum interval between verifications.
	verifyInterval = 50 * time.Millisecond
)

// queryBatcher holds users' status queries that are not answered yet. Unless the job has a
// final state, a query is answered only after a check of the state service that began after it
// arrived, so that no answer is older than one that any controller gave before (rule
// went_back).
type queryBatcher struct {
	queuedRequests        map[string][]uint64 // queued request IDs by job
	queuedJobs            []string            // jobs with queued requests, in the order of their first request
	inFlightVerifications int
	nextVerifyAt          time.Duration
}

// handleQuery answers a status query of a finished job at once, and queues any other.
func (c *Core) handleQuery(e JobQuery) {
	if state, finished := c.finalJobStates[e.ID]; finished {
		c.acceptRequest(e.RequestID, model.JobStatus{ID: e.ID, State: state})
		return
	}
	q := &c.queries
	if q.queuedRequests[e.ID] == nil {
		if len(q.queuedRequests) >= maxQueuedQueries {
			c.rejectBusy(e.RequestID, "too many questions at once")
			return
		}
		q.queuedJobs = append(q.queuedJobs, e.ID)
	}
	q.queuedRequests[e.ID] = append(q.queuedRequests[e.ID], e.RequestID)
}

// flushQueries verifies the queried jobs with one request: a transaction of conditions only
// confirms that many revisions are current, which is as good as reading each key. One read per
// query would use most of the state service's allowed request rate.
func (c *Core) flushQueries() {
	q := &c.queries
	if len(q.queuedJobs) == 0 || q.inFlightVerifications >= maxInFlightVerifications || c.now < q.nextVerifyAt {
		return
	}
	n := min(len(q.queuedJobs), conditionsPerMutation*c.cfg.MaxTxnMutations)
	ids := append([]string(nil), q.queuedJobs[:n]...)
	q.queuedJobs = append(q.queuedJobs[:0], q.queuedJobs[n:]...)
	requests := map[string][]uint64{}
	for _, id := range ids {
		requests[id] = q.queuedRequests[id]
		delete(q.queuedRequests, id)
	}
	q.nextVerifyAt = c.now + verifyInterval
	c.verifyQueries(ids, requests)
}

// verifyQueries checks with the state service that the given jobs still have the revisions in
// memory, and answers the queries for them. Jobs that differ are read.
func (c *Core) verifyQueries(ids []string, requests map[string][]uint64) {
	revisions := c.knownRevisions(ids)
	c.queries.inFlightVerifications++
	c.compareRevisions(ids, revisions, func(out Outcome, unresolved, differing []string) {
		c.queries.inFlightVerifications--
		switch out {
		case OutcomeOK:
			for _, id := range unresolved {
				for _, req := range requests[id] {
					c.answerQuery(req, id, revisions[id] > 0)
				}
			}
		case OutcomeRefused:
			for _, id := range differing {
				for _, req := range requests[id] {
					c.lookUpJob(req, id, func() { c.rejectNoSuchJob(req) })
				}
			}
			if len(unresolved) > 0 {
				c.verifyQueries(unresolved, requests)
			}
		default:
			c.rejectQueries(ids, requests)
		}
	})
}

// answerQuery answers a query after the job's revision, or its absence, was confirmed. If the
// job was created or finished here in the meantime, the newer state is reported.
func (c *Core) answerQuery(req uint64, id string, exists bool) {
	if _, finished := c.finalJobStates[id]; !exists && !finished && c.jobs[id] == nil {
		c.rejectNoSuchJob(req)
		return
	}
	c.acceptRequest(req, c.jobStatus(id))
}

func (c *Core) rejectNoSuchJob(req uint64) {
	c.rejectRequest(req, http.StatusNotFound, 0, "no such job")
}

// rejectQueries asks the users who wait for the given jobs to retry.
func (c *Core) rejectQueries(ids []string, requests map[string][]uint64) {
	for _, id := range ids {
		for _, req := range requests[id] {
			c.rejectBusy(req, "state service out of reach")
		}
	}
}

// lookUpJob answers a request with the job's status as read from the state service, or calls
// absent if the job does not exist there.
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

// jobStatus returns a job's status for users. Task counts come from memory for shards served
// here, and from the owners' gossip for the others.
func (c *Core) jobStatus(id string) model.JobStatus {
	status := model.JobStatus{ID: id}
	if state, finished := c.finalJobStates[id]; finished {
		status.State = state
		return status
	}
	for _, shard := range c.shards {
		if shard.isServedHere() {
			if assignment := shard.assignments[id]; assignment != nil {
				status.Done += assignment.done.Count()
				status.Running += assignment.runningCount()
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
