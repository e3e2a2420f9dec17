package core

import (
	"net/http"
	"slices"
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

const (
	maxQueuedSubmissions  = 256      // submissions waiting for a transaction
	maxInFlightBatches    = 8        // concurrent transactions of submissions
	maxBatchBytes         = 48 << 10 // size of a batch's mutations; a larger submission goes alone
	mutationOverheadBytes = 200      // maximum size of a mutation without its value

	// submissionTimeout is how long a submission may wait for its transaction. The client gives
	// up after 5 s.
	submissionTimeout = 3500 * time.Millisecond
	// unsentRetryWindow is the age up to which a submission is retried after its transaction
	// was not sent, mostly for lack of rate-limit tokens. Older submissions are rejected at
	// once with a Retry-After.
	unsentRetryWindow = 400 * time.Millisecond
	// unsentRetryDelay is the delay before the next batch after a transaction was not sent.
	unsentRetryDelay = 100 * time.Millisecond
)

// Values of the Retry-After header.
const (
	retryAfterBusySeconds        = 1
	retryAfterUnavailableSeconds = 2
)

// admission holds the submissions that are not yet recorded in the state service. Submissions
// are idempotent: a repeated one is answered with the job's state, whatever the rest of its
// body says.
type admission struct {
	queue           []*submission          // submissions waiting for a transaction
	byJob           map[string]*submission // queued and inFlight submissions by job ID
	inFlightBatches int
	nextBatchAt     time.Duration // no batch is sent before then
}

// submission is a job that is not yet recorded in the state service, with the requests that
// wait for it.
type submission struct {
	spec               model.JobSpec
	split              map[string]records.TaskRanges // distribution of the tasks by zone; nil until first batched
	requestsBeforeSend []uint64                      // IDs of the requests received before it was sent; the first creates the job
	inFlight           bool                          // its transaction has been sent and has no outcome yet
	requestsAfterSend  []uint64                      // IDs of the requests that repeated it while inFlight
	needsOwnTxn        bool                          // it must not share a transaction with other submissions
	arrivedAt          time.Duration
}

// rejectRequest answers a user's request with an error. If retryAfterSeconds is 0, the
// reply has no Retry-After header.
func (c *Core) rejectRequest(req uint64, status, retryAfterSeconds int, text string) {
	c.debug("request rejected", "status", status, "why", text)
	c.emit(UserReply{RequestID: req, HTTPStatus: status, RetryAfterSeconds: retryAfterSeconds, ErrorText: text})
}

// rejectBusy asks the user to retry after retryAfterBusySeconds.
func (c *Core) rejectBusy(req uint64, text string) {
	c.rejectRequest(req, http.StatusServiceUnavailable, retryAfterBusySeconds, text)
}

// rejectUnavailable asks the user to retry after retryAfterUnavailableSeconds, when the state
// service may be reachable again.
func (c *Core) rejectUnavailable(req uint64, text string) {
	c.rejectRequest(req, http.StatusServiceUnavailable, retryAfterUnavailableSeconds, text)
}

// acceptRequest answers a user's request with the job's status.
func (c *Core) acceptRequest(req uint64, job model.JobStatus) {
	c.emit(UserReply{RequestID: req, HTTPStatus: http.StatusOK, Job: job})
}

// handleSubmission handles a user's request to create a job: it answers at once, joins a
// pending submission of the same job, or queues a new one.
func (c *Core) handleSubmission(e JobSubmission) {
	id := e.Spec.ID
	if id == "" {
		c.rejectRequest(e.RequestID, http.StatusBadRequest, 0, e.MalformedReason)
		return
	}
	if state, finished := c.finalJobStates[id]; finished {
		c.acceptRequest(e.RequestID, model.JobStatus{ID: id, State: state})
		return
	}
	if pending := c.admission.byJob[id]; pending != nil {
		if pending.inFlight {
			pending.requestsAfterSend = append(pending.requestsAfterSend, e.RequestID)
		} else {
			pending.requestsBeforeSend = append(pending.requestsBeforeSend, e.RequestID)
		}
		return
	}
	status, reason := http.StatusBadRequest, e.MalformedReason
	if reason == "" {
		if len(c.machineTypes) == 0 {
			c.rejectUnavailable(e.RequestID, "machine types not known yet")
			return
		}
		status, reason = http.StatusUnprocessableEntity, c.infeasibilityReason(&e.Spec)
	}
	if reason != "" || c.jobs[id] != nil {
		c.lookUpJob(e.RequestID, id, func() { c.rejectRequest(e.RequestID, status, 0, reason) })
		return
	}
	c.queueSubmission(e)
}

// queueSubmission queues a new submission, or rejects it if the state service is unreachable or
// the queue is full.
func (c *Core) queueSubmission(e JobSubmission) {
	if !c.stateServiceReachable() {
		c.rejectUnavailable(e.RequestID, "state service out of reach")
		return
	}
	if len(c.admission.queue) >= maxQueuedSubmissions {
		c.rejectBusy(e.RequestID, "too many submissions at once")
		return
	}
	pending := &submission{spec: e.Spec, requestsBeforeSend: []uint64{e.RequestID}, arrivedAt: c.now}
	c.admission.queue = append(c.admission.queue, pending)
	c.admission.byJob[e.Spec.ID] = pending
}

// flushSubmissions commits the queued submissions in batches of one transaction each, up to
// maxInFlightBatches at a time.
func (c *Core) flushSubmissions() {
	a := &c.admission
	for len(a.queue) > 0 && a.inFlightBatches < maxInFlightBatches && c.now >= a.nextBatchAt {
		txn, batch := c.nextSubmissionBatch()
		if len(batch) == 0 {
			return
		}
		c.emit(Observation{MetricCommitBatchJobs, float64(len(batch))})
		a.inFlightBatches++
		c.commit(txn, true, func(res CommitResult) {
			a.inFlightBatches--
			c.finishSubmissions(batch, txn, res)
		})
	}
}

// nextSubmissionBatch removes from the queue the submissions that fit into one transaction. It
// rejects those that have waited longer than submissionTimeout.
func (c *Core) nextSubmissionBatch() (txn Txn, batch []*submission) {
	a, size := &c.admission, 0
	for len(a.queue) > 0 {
		next := a.queue[0]
		if c.now > next.arrivedAt+submissionTimeout {
			c.rejectSubmission(next, "state service too slow")
			a.queue = a.queue[1:]
			continue
		}
		if next.split == nil {
			next.split = c.distribute(&next.spec)
		}
		mutations := len(next.split) + 1
		if len(batch) > 0 && (next.needsOwnTxn || len(txn.Mutations)+mutations > c.cfg.MaxTxnMutations) {
			break
		}
		job := Job{id: next.spec.ID, spec: next.spec, rangesByZone: next.split}
		value := job.encode("")
		bytes := mutations * (len(value) + mutationOverheadBytes)
		if len(batch) > 0 && size+bytes > maxBatchBytes {
			break
		}
		size += bytes
		c.appendNewJob(&txn, &job, value)
		batch = append(batch, next)
		next.inFlight = true
		a.queue = a.queue[1:]
		if next.needsOwnTxn {
			break
		}
	}
	return txn, batch
}

// appendNewJob adds the mutations that create a job and its assignments, on the condition that
// the job does not exist.
func (c *Core) appendNewJob(txn *Txn, job *Job, value []byte) {
	txn.Conditions = append(txn.Conditions, Condition{job.key(), 0})
	txn.Mutations = append(txn.Mutations, Mutation{Key: job.key(), Value: value})
	for _, zone := range c.zones.names {
		tasks, here := job.rangesByZone[zone]
		if !here {
			continue
		}
		record := c.encodeAssignment(&records.Assignment{Waiting: tasks, Job: job.record("")})
		txn.Mutations = append(txn.Mutations, Mutation{Key: records.AssignmentKey(zone, job.id), Value: record})
	}
}

// finishSubmissions handles the outcome of a batch's transaction: it answers the users, or
// queues the submissions again.
func (c *Core) finishSubmissions(batch []*submission, txn Txn, res CommitResult) {
	switch res.Outcome {
	case OutcomeOK:
		c.broadcastAcceptedJobs(txn, res.Revision)
		for _, accepted := range batch {
			c.confirmSubmission(accepted)
		}
	case OutcomeRefused:
		// The refusal names the jobs that exist already. The others are retried in a
		// transaction of their own each.
		for _, refused := range batch {
			if slices.Contains(res.FailedKeys, records.JobKey(refused.spec.ID)) {
				c.lookUpSubmittedJob(refused, "changed meanwhile")
				continue
			}
			refused.needsOwnTxn = true
			c.requeueSubmission(refused)
		}
	case OutcomeUnknown:
		// The batch may have been committed. Users whose job exists are answered with its
		// status; the others are asked to retry.
		for _, unknown := range batch {
			c.lookUpSubmittedJob(unknown, "no answer from the state service")
		}
	default:
		c.admission.nextBatchAt = c.now + unsentRetryDelay
		for _, unsent := range batch {
			if c.now < unsent.arrivedAt+unsentRetryWindow {
				c.requeueSubmission(unsent)
			} else {
				c.rejectSubmission(unsent, "state service refused")
			}
		}
	}
}

// broadcastAcceptedJobs applies the jobs that a transaction created, and sends them to the
// other controllers.
func (c *Core) broadcastAcceptedJobs(txn Txn, revision uint64) {
	var jobs []Item
	for _, mutation := range txn.Mutations {
		if key := records.ParseKey(mutation.Key); key.Kind == records.KindJob {
			jobs = append(jobs, Item{mutation.Key, mutation.Value, revision})
			c.applyJobRecord(key.Job, mutation.Value, revision)
		}
	}
	c.broadcast(Message{Jobs: jobs})
}

// confirmSubmission answers all requests that submitted an accepted job. The first request
// created it and gets 201, the others get 200.
func (c *Core) confirmSubmission(accepted *submission) {
	id := accepted.spec.ID
	delete(c.admission.byJob, id)
	c.info("job accepted", "job", id, "class", accepted.spec.Class, "tasks", accepted.spec.Tasks,
		"shards", len(accepted.split), "after", toSeconds(c.now-accepted.arrivedAt))
	for i, req := range accepted.requestsBeforeSend {
		status := http.StatusCreated
		if i > 0 {
			status = http.StatusOK
		}
		c.emit(UserReply{RequestID: req, HTTPStatus: status, Job: c.jobStatus(id)})
	}
	c.answerRequestsAfterSend(accepted)
}

// lookUpSubmittedJob answers a submission with the job's status from the state service. If the
// job does not exist there, users are asked to retry, with the text absent.
func (c *Core) lookUpSubmittedJob(pending *submission, absent string) {
	delete(c.admission.byJob, pending.spec.ID)
	c.lookUpJobForRequests(pending.requestsBeforeSend, pending.spec.ID, absent)
	c.answerRequestsAfterSend(pending)
}

// answerRequestsAfterSend answers the requests that repeated a submission while its transaction
// was in flight. It reads the job's current state: the transaction may have been committed long
// before its outcome arrived, the job may have been cancelled or completed since, and another
// controller may already have reported that to the user (rule went_back).
func (c *Core) answerRequestsAfterSend(pending *submission) {
	c.lookUpJobForRequests(pending.requestsAfterSend, pending.spec.ID, "changed meanwhile")
	pending.requestsAfterSend = nil
}

// lookUpJobForRequests answers requests with the job's status from the state service. If the
// job does not exist there, users are asked to retry, with the text absent.
func (c *Core) lookUpJobForRequests(requests []uint64, id, absent string) {
	for _, req := range requests {
		c.lookUpJob(req, id, func() { c.rejectBusy(req, absent) })
	}
}

// requeueSubmission queues a submission again whose transaction was not committed.
func (c *Core) requeueSubmission(pending *submission) {
	pending.inFlight = false
	pending.requestsBeforeSend, pending.requestsAfterSend = append(pending.requestsBeforeSend, pending.requestsAfterSend...), nil
	c.admission.queue = append(c.admission.queue, pending)
}

// rejectSubmission asks all users who wait for a submission to retry, and drops it.
func (c *Core) rejectSubmission(pending *submission, text string) {
	delete(c.admission.byJob, pending.spec.ID)
	for _, req := range append(pending.requestsBeforeSend, pending.requestsAfterSend...) {
		c.rejectBusy(req, text)
	}
}
