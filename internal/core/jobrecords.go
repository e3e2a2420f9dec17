package core

import (
	"slices"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// comparisonsPerMutation is how many conditions a transaction may have for each mutation
// that it may have, by PROTOCOL.
const comparisonsPerMutation = 4

// applyJobRecord applies a job's key as read, written or received, and returns the job if it
// is unfinished. Final states never change and are kept for ever.
func (c *Core) applyJobRecord(id string, value []byte, revision uint64) *Job {
	if _, over := c.finished[id]; over {
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
		if len(c.types) > 0 {
			c.rememberClassTypes(job)
		}
	}
	moved := record.Moves > job.moves
	job.revision, job.split, job.moves, job.maxRecordBytes = revision, record.Split, record.Moves, 0
	c.adoptSplit(job, moved)
	return job
}

// adoptSplit takes up the assignments of a job in the shards that are served here.
func (c *Core) adoptSplit(job *Job, moved bool) {
	for _, zone := range sorted(job.split) {
		z := c.zones.lookup(zone)
		if z < 0 || !c.shards[z].servedHere() {
			continue
		}
		shard := c.shards[z]
		switch {
		case shard.assignments[job.id] != nil:
			if moved {
				c.checkForMovedTasks(shard, job.id)
			}
		case job.moves == 0:
			record := c.encodeAssignment(&records.Assignment{Waiting: job.split[zone]})
			c.adoptAssignment(shard, job.id, record, job.revision)
		default:
			c.readAssignment(shard, job.id)
		}
	}
}

// finishJob records that a job is over.
func (c *Core) finishJob(id string, state model.JobState) {
	c.finished[id] = state
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

// readAssignment takes up an assignment that the shard should have.
func (c *Core) readAssignment(shard *Shard, id string) {
	term := shard.claim.Term()
	valid := func() bool { return shard.servedHere() && shard.claim.Term() == term }
	c.readUntilAnswered(records.AssignmentKey(shard.name, id), valid, func(res ReadResult) {
		if res.Found {
			c.applyAssignmentRecord(shard, id, res.Item.Value, res.Item.Revision)
		}
	})
}

// readUntilAnswered reads a key, again and again until there is an answer, as long as that is
// of use. Only the one read is repeated: if a call refused for want of tokens had a whole
// shard loaded anew, loading would never end after a crash of all controllers.
func (c *Core) readUntilAnswered(key string, valid func() bool, then func(ReadResult)) {
	c.readKey(key, true, func(res ReadResult) {
		switch {
		case !valid():
		case res.Outcome == OutcomeOK:
			then(res)
		default:
			c.after(retryStoreCall, func() {
				if valid() {
					c.readUntilAnswered(key, valid, then)
				}
			})
		}
	})
}

// compareRevisions finds out, with one request, which jobs still have the revisions given; 0
// is for one that does not exist. What a refusal names differs; of the rest it says nothing,
// since it need not name every key. When it names none, all are taken to differ.
func (c *Core) compareRevisions(ids []string, revisions map[string]uint64, then func(out Outcome, rest, differ []string)) {
	var txn Txn
	for _, id := range ids {
		txn.Conditions = append(txn.Conditions, Condition{records.JobKey(id), revisions[id]})
	}
	c.commit(txn, true, func(res CommitResult) {
		if res.Outcome != OutcomeRefused {
			then(res.Outcome, ids, nil)
			return
		}
		var rest, differ []string
		for _, id := range ids {
			if slices.Contains(res.FailedKeys, records.JobKey(id)) {
				differ = append(differ, id)
			} else {
				rest = append(rest, id)
			}
		}
		if len(differ) == 0 {
			rest, differ = nil, ids
		}
		then(OutcomeRefused, rest, differ)
	})
}

// compareAllRevisions does so for any number of jobs, until there is an answer for each.
func (c *Core) compareAllRevisions(ids []string, revisions map[string]uint64, valid func() bool, same, differs func(id string)) {
	if len(ids) == 0 || !valid() {
		return
	}
	n := min(len(ids), comparisonsPerMutation*c.cfg.MaxTxnOps)
	c.compareRevisions(ids[:n:n], revisions, func(out Outcome, rest, differ []string) {
		if !valid() {
			return
		}
		switch out {
		case OutcomeOK:
			for _, id := range rest {
				same(id)
			}
			rest = nil
		case OutcomeRefused:
			for _, id := range differ {
				differs(id)
			}
		default:
			c.after(retryStoreCall, func() { c.compareAllRevisions(ids, revisions, valid, same, differs) })
			return
		}
		c.compareAllRevisions(append(rest, ids[n:]...), revisions, valid, same, differs)
	})
}

// rereadUnfinishedJobs compares every unfinished job with the state service, after changes
// may have been missed.
func (c *Core) rereadUnfinishedJobs() {
	ids, revisions := sorted(c.jobs), map[string]uint64{}
	for _, id := range ids {
		revisions[id] = c.jobs[id].revision
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
