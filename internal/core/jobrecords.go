package core

import (
	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

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
