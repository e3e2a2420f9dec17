package core

import (
	"cmp"
	"maps"
	"slices"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

const (
	maxRecordBytes = 40 << 10 // of values in an owner's transaction
	minRecordOps   = 6        // mutations that it may have in any case
	// Mutations and conditions that an assignment may add.
	mutationsPerAssignment  = 3
	conditionsPerAssignment = 4
)

// maxRecordOps is how many mutations an owner puts into a transaction: no more than its share
// brings in half a second. A larger one would wait for tokens for longer than any call does,
// be given up and tried again for 8 s.
func (c *Core) maxRecordOps() int {
	if c.cfg.WritesPerSecond == 0 {
		return c.cfg.MaxTxnOps
	}
	share := int(c.cfg.WritesPerSecond * c.budget.share.Changes / 2)
	return min(max(share, minRecordOps), c.cfg.MaxTxnOps)
}

// maxConditions is how many conditions a transaction may have.
func (c *Core) maxConditions() int { return comparisonsPerMutation * c.cfg.MaxTxnOps }

// dirtyOrder lists the assignments to record: the more urgent jobs first, so that none waits
// behind others because of its name when transactions are small.
func (s *Shard) dirtyOrder() []string {
	ids := sorted(s.dirty)
	slices.SortStableFunc(ids, func(a, b string) int {
		x, y := s.dirty[a].job, s.dirty[b].job
		return cmp.Or(cmp.Compare(x.spec.Priority, y.spec.Priority), cmp.Compare(x.knownSince, y.knownSince))
	})
	return ids
}

// commitChanges gathers what must be made durable into one transaction: placements just
// planned, exits just proven, grants that must grow first.
func (c *Core) commitChanges(shard *Shard) {
	c.markDue(shard)
	if len(shard.dirty)+len(shard.completions) == 0 || shard.busy() || c.now < shard.retryAt {
		return
	}
	pending := newPendingTxn(shard)
	size := c.appendCompletions(shard, pending)
	for _, id := range shard.dirtyOrder() {
		if len(pending.txn.Mutations)+mutationsPerAssignment > c.maxRecordOps() ||
			len(pending.txn.Conditions)+conditionsPerAssignment > c.maxConditions() || size > maxRecordBytes {
			break
		}
		assignment := shard.dirty[id]
		delete(shard.dirty, id)
		delete(shard.recordBy, id)
		size += c.appendAssignment(shard, pending, assignment)
	}
	if len(pending.txn.Mutations) > 0 {
		c.sendTxn(pending)
	}
}

// markDue marks the assignments whose exits have waited long enough to be recorded.
func (c *Core) markDue(shard *Shard) {
	for _, id := range sorted(shard.recordBy) {
		if assignment := shard.assignments[id]; assignment == nil {
			delete(shard.recordBy, id)
		} else if c.now >= shard.recordBy[id] {
			shard.dirty[id] = assignment
		}
	}
}

// appendAssignment adds an assignment to a transaction and returns the bytes of its value.
func (c *Core) appendAssignment(shard *Shard, pending *pendingTxn, assignment *Assignment) int {
	job := assignment.job
	if job.state != model.JobPending {
		c.appendWindDown(shard, pending, assignment)
		return 0
	}
	if assignment.complete() && !job.spec.Service {
		if len(job.split) == 1 {
			return pending.appendCompletion(assignment, nil, 0)
		}
		if len(assignment.unrecordedExits) == 0 {
			c.completeSharedJob(shard, assignment)
			return 0
		}
	}
	key := records.AssignmentKey(shard.name, job.id)
	pending.addCondition(key, assignment.revision)
	if c.appendPlacements(shard, pending, assignment) {
		// A placement counts only while the job is not cancelled (rule ran_cancelled).
		pending.addCondition(job.key(), job.revision)
		c.appendGrants(shard, pending, job.team)
	}
	value := c.encodeAssignment(assignment.record(job, job.revision))
	pending.put(key, value)
	pending.assignments[job.id] = assignment
	pending.exits[assignment] = maps.Clone(assignment.unrecordedExits)
	return len(value)
}

// appendWindDown deletes the assignment of a job that is over once none of its tasks is on a
// machine.
func (c *Core) appendWindDown(shard *Shard, pending *pendingTxn, assignment *Assignment) {
	// No transaction is under way, so what is only planned will never be placed. Left booked,
	// it would hold room and the team's grant for ever.
	for _, i := range sorted(assignment.tasks) {
		if task := assignment.tasks[i]; task.phase == taskPlacing {
			c.release(shard, task)
			delete(assignment.tasks, i)
		}
	}
	if len(assignment.tasks) > 0 {
		return
	}
	key := records.AssignmentKey(shard.name, assignment.job.id)
	pending.addCondition(key, assignment.revision)
	pending.delete(key)
	pending.droppedJobs = append(pending.droppedJobs, assignment.job.id)
}

// appendPlacements notes the placements that the transaction records, and reports whether
// there are any.
func (c *Core) appendPlacements(shard *Shard, pending *pendingTxn, assignment *Assignment) bool {
	found := false
	for _, i := range sorted(assignment.tasks) {
		task := assignment.tasks[i]
		if task == nil || task.phase != taskPlacing {
			continue
		}
		// The grants may have changed since the task was planned: another shard may have
		// taken what was free then (rule quota).
		if !c.fitsGrant(shard, assignment.job.team, pending) {
			c.rollBackPlacement(shard, task)
			continue
		}
		found = true
		pending.placements = append(pending.placements, task)
	}
	return found
}

// appendGrants has the shard's grant of a team grow, if its placements need that.
func (c *Core) appendGrants(shard *Shard, pending *pendingTxn, team int) {
	quota := c.quotas[team]
	if _, in := pending.quotas[quota]; in {
		return
	}
	grants, grows := c.grownGrants(shard, team)
	if !grows {
		return
	}
	pending.putGrants(quota, grants)
}
