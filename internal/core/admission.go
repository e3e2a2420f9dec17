package core

import (
	"net/http"
	"slices"
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

const (
	maxSubmissions = 256 // that wait for a transaction
	maxOpenCommits = 8   // transactions of submissions at a time
	maxCommitBytes = 48 << 10
	mutationBytes  = 200 // a mutation beside its value, at most

	// submissionTimeout is how long a submission may wait: its sender gives up after 5 s.
	submissionTimeout = 3500 * time.Millisecond
	// youngSubmission is the age up to which a submission is tried again that was not sent,
	// mostly for want of tokens. Older ones are answered at once with when to come back.
	youngSubmission = 400 * time.Millisecond
	// unsentPause is the pause after a transaction that was not sent.
	unsentPause = 100 * time.Millisecond
)

// Seconds of Retry-After.
const (
	retryAfterBusy             = 1
	retryAfterStoreUnavailable = 2
)

// admission holds the submissions on their way into the state service. Submissions are
// idempotent: a repeated one gets the job's state, whatever else its body says.
type admission struct {
	queue       []*submission
	byJob       map[string]*submission
	openCommits int
	nextBatchAt time.Duration
}

// submission is a job on its way into the state service, with all who wait for it.
type submission struct {
	spec         model.JobSpec
	split        map[string]records.TaskRanges
	requests     []uint64
	sent         bool     // its transaction is under way
	lateRequests []uint64 // those who asked since then
	ownTxn       bool     // it shares no transaction with others
	arrived      time.Duration
}

// rejectRequest answers a user's request with an error.
func (c *Core) rejectRequest(req uint64, status, retryAfter int, text string) {
	c.debug("request rejected", "status", status, "why", text)
	c.emit(UserReply{RequestID: req, Status: status, RetryAfter: retryAfter, Text: text})
}

// rejectBusy has a user try again soon.
func (c *Core) rejectBusy(req uint64, text string) {
	c.rejectRequest(req, http.StatusServiceUnavailable, retryAfterBusy, text)
}

// rejectUnavailable has a user try again when the state service may be back.
func (c *Core) rejectUnavailable(req uint64, text string) {
	c.rejectRequest(req, http.StatusServiceUnavailable, retryAfterStoreUnavailable, text)
}

// acceptRequest answers a user's request with a job's status.
func (c *Core) acceptRequest(req uint64, job model.JobStatus) {
	c.emit(UserReply{RequestID: req, Status: http.StatusOK, Job: job})
}

// handleSubmission takes a submission.
func (c *Core) handleSubmission(e JobSubmission) {
	id := e.Spec.ID
	if id == "" {
		c.rejectRequest(e.RequestID, http.StatusBadRequest, 0, e.Malformed)
		return
	}
	if state, over := c.finished[id]; over {
		c.acceptRequest(e.RequestID, model.JobStatus{ID: id, State: state})
		return
	}
	if waiting := c.admission.byJob[id]; waiting != nil {
		if waiting.sent {
			waiting.lateRequests = append(waiting.lateRequests, e.RequestID)
		} else {
			waiting.requests = append(waiting.requests, e.RequestID)
		}
		return
	}
	status, why := http.StatusBadRequest, e.Malformed
	if why == "" {
		if len(c.types) == 0 {
			c.rejectUnavailable(e.RequestID, "machine types not known yet")
			return
		}
		status, why = http.StatusUnprocessableEntity, c.whyNeverRuns(&e.Spec)
	}
	if why != "" || c.jobs[id] != nil {
		c.lookUpJob(e.RequestID, id, func() { c.rejectRequest(e.RequestID, status, 0, why) })
		return
	}
	c.queueSubmission(e)
}

func (c *Core) queueSubmission(e JobSubmission) {
	if !c.storeReachable() {
		c.rejectUnavailable(e.RequestID, "state service out of reach")
		return
	}
	if len(c.admission.queue) >= maxSubmissions {
		c.rejectBusy(e.RequestID, "too many submissions at once")
		return
	}
	waiting := &submission{spec: e.Spec, requests: []uint64{e.RequestID}, arrived: c.now}
	c.admission.queue = append(c.admission.queue, waiting)
	c.admission.byJob[e.Spec.ID] = waiting
}

// flushSubmissions commits the submissions that have gathered, as many at a time as one
// transaction takes.
func (c *Core) flushSubmissions() {
	a := &c.admission
	for len(a.queue) > 0 && a.openCommits < maxOpenCommits && c.now >= a.nextBatchAt {
		txn, group := c.nextBatch()
		if len(group) == 0 {
			return
		}
		c.emit(Observation{MetricCommitBatch, float64(len(group))})
		a.openCommits++
		c.commit(txn, true, func(res CommitResult) {
			a.openCommits--
			c.finishSubmissions(group, txn, res)
		})
	}
}

// nextBatch takes from the queue what goes into one transaction.
func (c *Core) nextBatch() (txn Txn, group []*submission) {
	a, size := &c.admission, 0
	for len(a.queue) > 0 {
		next := a.queue[0]
		if c.now > next.arrived+submissionTimeout {
			c.rejectSubmission(next, "state service too slow")
			a.queue = a.queue[1:]
			continue
		}
		if next.split == nil {
			next.split = c.distribute(&next.spec)
		}
		mutations := len(next.split) + 1
		if len(group) > 0 && (next.ownTxn || len(txn.Mutations)+mutations > c.cfg.MaxTxnOps) {
			break
		}
		job := Job{id: next.spec.ID, spec: next.spec, split: next.split}
		value := job.encode("")
		bytes := mutations * (len(value) + mutationBytes)
		if len(group) > 0 && size+bytes > maxCommitBytes {
			break
		}
		size += bytes
		c.appendNewJob(&txn, &job, value)
		group = append(group, next)
		next.sent = true
		a.queue = a.queue[1:]
		if next.ownTxn {
			break
		}
	}
	return txn, group
}

// appendNewJob adds a job and its assignments to a transaction that accepts it.
func (c *Core) appendNewJob(txn *Txn, job *Job, value []byte) {
	txn.Conditions = append(txn.Conditions, Condition{job.key(), 0})
	txn.Mutations = append(txn.Mutations, Mutation{Key: job.key(), Value: value})
	for _, zone := range c.zones.names {
		tasks, here := job.split[zone]
		if !here {
			continue
		}
		record := c.encodeAssignment(&records.Assignment{Waiting: tasks, Job: job.record("")})
		txn.Mutations = append(txn.Mutations, Mutation{Key: records.AssignmentKey(zone, job.id), Value: record})
	}
}

// finishSubmissions answers the users whose submissions were in a transaction.
func (c *Core) finishSubmissions(group []*submission, txn Txn, res CommitResult) {
	switch res.Outcome {
	case OutcomeOK:
		c.announceJobs(txn, res.Revision)
		for _, accepted := range group {
			c.confirmSubmission(accepted)
		}
	case OutcomeRefused:
		// Some of them are known already; the others go one by one.
		for _, refused := range group {
			if slices.Contains(res.FailedKeys, records.JobKey(refused.spec.ID)) {
				c.lookUpSubmission(refused, "changed meanwhile")
				continue
			}
			refused.ownTxn = true
			c.requeueSubmission(refused)
		}
	case OutcomeUnknown:
		// It may have been accepted: say so if it was, else have it repeated.
		for _, unknown := range group {
			c.lookUpSubmission(unknown, "no answer from the state service")
		}
	default:
		c.admission.nextBatchAt = c.now + unsentPause
		for _, unsent := range group {
			if c.now < unsent.arrived+youngSubmission {
				c.requeueSubmission(unsent)
			} else {
				c.rejectSubmission(unsent, "state service refused")
			}
		}
	}
}

// announceJobs takes up the jobs that a transaction accepted, and tells the others of them.
func (c *Core) announceJobs(txn Txn, revision uint64) {
	var jobs []Item
	for _, mutation := range txn.Mutations {
		if key := records.ParseKey(mutation.Key); key.Kind == records.KindJob {
			jobs = append(jobs, Item{mutation.Key, mutation.Value, revision})
			c.applyJobRecord(key.Job, mutation.Value, revision)
		}
	}
	c.broadcast(Message{Jobs: jobs})
}

// confirmSubmission answers all who submitted an accepted job. The first one created it.
func (c *Core) confirmSubmission(accepted *submission) {
	id := accepted.spec.ID
	delete(c.admission.byJob, id)
	c.info("job accepted", "job", id, "class", accepted.spec.Class, "tasks", accepted.spec.Tasks,
		"shards", len(accepted.split), "after", seconds(c.now-accepted.arrived))
	for i, req := range accepted.requests {
		status := http.StatusCreated
		if i > 0 {
			status = http.StatusOK
		}
		c.emit(UserReply{RequestID: req, Status: status, Job: c.jobStatus(id)})
	}
	c.answerLateRequests(accepted)
}

// lookUpSubmission answers with what the state service holds of a job that may be in it.
func (c *Core) lookUpSubmission(waiting *submission, absent string) {
	delete(c.admission.byJob, waiting.spec.ID)
	c.lookUpFor(waiting.requests, waiting.spec.ID, absent)
	c.answerLateRequests(waiting)
}

// answerLateRequests answers those who repeated a submission while its transaction was under
// way. It may have been carried out long before its answer came; the job may have been
// cancelled or completed since, and its user told so elsewhere (rule went_back).
func (c *Core) answerLateRequests(waiting *submission) {
	c.lookUpFor(waiting.lateRequests, waiting.spec.ID, "changed meanwhile")
	waiting.lateRequests = nil
}

// lookUpFor answers requests with the job's status if the state service has it, else has their
// users try again for the reason given.
func (c *Core) lookUpFor(requests []uint64, id, absent string) {
	for _, req := range requests {
		c.lookUpJob(req, id, func() { c.rejectBusy(req, absent) })
	}
}

// requeueSubmission puts a submission back whose transaction was not carried out.
func (c *Core) requeueSubmission(waiting *submission) {
	waiting.sent = false
	waiting.requests, waiting.lateRequests = append(waiting.requests, waiting.lateRequests...), nil
	c.admission.queue = append(c.admission.queue, waiting)
}

func (c *Core) rejectSubmission(waiting *submission, text string) {
	delete(c.admission.byJob, waiting.spec.ID)
	for _, req := range append(waiting.requests, waiting.lateRequests...) {
		c.rejectBusy(req, text)
	}
}
