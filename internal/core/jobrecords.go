package core

import (
	"slices"
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// conditionsPerMutation is how many conditions PROTOCOL allows in a transaction for each
// mutation that it allows.
const conditionsPerMutation = 4

// applyJobRecord applies a job's record as read, written or received from a peer, and returns
// the job if it is unfinished. The record of a job that was unknown until now may be outdated if it
// is older than the start of the watch on the jobs. It is then compared with the state service,
// because the watch does not report what has changed before its start.
func (c *Core) applyJobRecord(id string, value []byte, revision uint64) *Job {
	isUnknown := c.jobs[id] == nil
	job := c.adoptJobRecord(id, value, revision)
	if job != nil && isUnknown && !c.jobWatch.continues(revision) {
		c.jobsToReread[id] = true
	}
	return job
}

// adoptJobRecord applies a job's record that was current at the start of the watch on the jobs or
// later, and returns the job if it is unfinished. Final states never change and are kept forever.
func (c *Core) adoptJobRecord(id string, value []byte, revision uint64) *Job {
	if _, finished := c.finalJobStates[id]; finished {
		return nil
	}
	job := c.jobs[id]
	if job != nil && revision <= job.revision {
		return job
	}
	record, err := records.DecodeJob(value)
	if err != nil {
		return job
	}
	if state, final := record.FinalState(); final {
		if state == model.JobCancelled {
			c.noteCancellation(id, revision)
		}
		c.finishJob(id, state)
		return nil
	}
	if job == nil {
		job = c.newJob(id, record.Spec, revision)
		c.jobs[id] = job
		if len(c.machineTypes) > 0 {
			c.recordClassTypes(job)
		}
	}
	hasMoved := record.Moves > job.moveCount
	job.revision, job.rangesByZone, job.moveCount, job.maxRecordBytes = revision, record.Split, record.Moves, 0
	c.adoptSplitAssignments(job, hasMoved)
	return job
}

// adoptSplitAssignments loads the job's assignments in the shards served by this controller.
// While none of the job's tasks has moved, its split describes the assignments; afterwards they
// are read from the state service. An assignment in memory is checked for moved tasks if
// hasMoved is set.
func (c *Core) adoptSplitAssignments(job *Job, hasMoved bool) {
	for _, zone := range sortedKeys(job.rangesByZone) {
		z := c.zones.lookup(zone)
		if z < 0 || !c.shards[z].isServedHere() {
			continue
		}
		shard := c.shards[z]
		switch {
		case shard.assignments[job.id] != nil:
			if hasMoved {
				c.checkForMovedTasks(shard, job.id)
			}
		case job.moveCount == 0:
			record := c.encodeAssignment(&records.Assignment{Waiting: job.rangesByZone[zone]})
			c.adoptUnfinishedAssignment(shard, job.id, record, job.revision)
		default:
			c.readAssignment(shard, job.id)
		}
	}
}

// finishJob records a job's final state and winds down its assignments in the shards owned by
// this controller.
func (c *Core) finishJob(id string, state model.JobState) {
	c.finalJobStates[id] = state
	if job := c.jobs[id]; job != nil {
		job.state = state
		delete(c.jobs, id)
	}
	for _, shard := range c.shards {
		assignment := shard.assignments[id]
		if !shard.claim.Owned() || assignment == nil {
			continue
		}
		assignment.job.state = state
		shard.needsPlan = true
		c.windDownAssignment(shard, assignment)
	}
}

// readAssignment reads an assignment of the shard from the state service and applies it.
func (c *Core) readAssignment(shard *Shard, id string) {
	term := shard.claim.Term()
	valid := func() bool { return shard.isServedHere() && shard.claim.Term() == term }
	c.readUntilAnswered(records.AssignmentKey(shard.name, id), valid, func(res ReadResult) {
		if res.Found {
			c.applyAssignmentRecord(shard, id, res.Item.Value, res.Item.Revision)
		}
	})
}

// readUntilAnswered reads a key and retries until the read succeeds or valid returns false.
// Only this key's read is retried: if one call refused for lack of rate-limit tokens restarted
// the loading of a whole shard, loading would never finish after all controllers crash.
func (c *Core) readUntilAnswered(key string, valid func() bool, then func(ReadResult)) {
	c.readKey(key, true, func(res ReadResult) {
		switch {
		case !valid():
		case res.Outcome == OutcomeOK:
			then(res)
		default:
			c.runAfter(stateServiceRetryDelay, func() {
				if valid() {
					c.readUntilAnswered(key, valid, then)
				}
			})
		}
	})
}

// compareRevisions checks with one request whether the jobs still have the given revisions,
// where 0 means that the job does not exist. It calls then with the request's outcome, the jobs
// whose state is unresolved and the jobs that differ. Unless the request was refused, the first
// list holds all jobs, and OutcomeOK confirms them as unchanged. After a refusal, the jobs that
// it names differ and the others are unresolved, since a refusal need not name every failed
// key; if it names none, all jobs count as differing.
func (c *Core) compareRevisions(ids []string, revisions map[string]uint64, then func(out Outcome, unresolved, differing []string)) {
	var txn Txn
	for _, id := range ids {
		txn.Conditions = append(txn.Conditions, Condition{records.JobKey(id), revisions[id]})
	}
	c.commit(txn, true, func(res CommitResult) {
		if res.Outcome != OutcomeRefused {
			then(res.Outcome, ids, nil)
			return
		}
		var unresolved, differing []string
		for _, id := range ids {
			if slices.Contains(res.FailedKeys, records.JobKey(id)) {
				differing = append(differing, id)
			} else {
				unresolved = append(unresolved, id)
			}
		}
		if len(differing) == 0 {
			unresolved, differing = nil, ids
		}
		then(OutcomeRefused, unresolved, differing)
	})
}

// compareAllRevisions compares any number of jobs in batches until each is resolved, and calls
// same or differs for each. It stops once valid returns false.
func (c *Core) compareAllRevisions(ids []string, revisions map[string]uint64, valid func() bool, same, differs func(id string)) {
	if len(ids) == 0 || !valid() {
		return
	}
	n := min(len(ids), conditionsPerMutation*c.cfg.MaxTxnMutations)
	c.compareRevisions(ids[:n:n], revisions, func(out Outcome, unresolved, differing []string) {
		if !valid() {
			return
		}
		switch out {
		case OutcomeOK:
			for _, id := range unresolved {
				same(id)
			}
			unresolved = nil
		case OutcomeRefused:
			for _, id := range differing {
				differs(id)
			}
		default:
			c.runAfter(stateServiceRetryDelay, func() { c.compareAllRevisions(ids, revisions, valid, same, differs) })
			return
		}
		c.compareAllRevisions(append(unresolved, ids[n:]...), revisions, valid, same, differs)
	})
}

// jobRereadInterval is the minimum interval between comparisons of the jobs in jobsToReread, so that
// one request compares many of them.
const jobRereadInterval = time.Second

// rereadOutdatedJobs compares the jobs in jobsToReread with the state service, once the watch on the
// jobs runs: it reports all changes after the comparison.
func (c *Core) rereadOutdatedJobs() {
	if len(c.jobsToReread) == 0 || !c.jobWatch.listed || c.now < c.nextJobRereadAt {
		return
	}
	c.nextJobRereadAt = c.now + jobRereadInterval
	ids := sortedKeys(c.jobsToReread)
	clear(c.jobsToReread)
	c.rereadJobs(ids)
}

// rereadJobs compares the given jobs with the state service and reads those that differ or are not
// known here. It is used when changes may have been missed.
func (c *Core) rereadJobs(ids []string) {
	revisions := map[string]uint64{}
	for _, id := range ids {
		if job := c.jobs[id]; job != nil {
			revisions[id] = job.revision
		}
	}
	always := func() bool { return true }
	same := func(string) {}
	c.compareAllRevisions(ids, revisions, always, same, func(id string) {
		c.readUntilAnswered(records.JobKey(id), always, func(res ReadResult) {
			if res.Found {
				c.applyJobRecord(id, res.Item.Value, res.Item.Revision)
			}
		})
	})
}
