package core

import (
	"cmp"
	"maps"
	"slices"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

const (
	// maxRecordTxnBytes is the size of all values beyond which an owner's transaction takes no
	// further assignment.
	maxRecordTxnBytes = 40 << 10
	// minRecordTxnMutations is the lower bound of maxRecordTxnMutations.
	minRecordTxnMutations = 6
	// Mutations and conditions that one assignment adds to a transaction at most.
	mutationsPerAssignment  = 3
	conditionsPerAssignment = 4
)

// maxRecordTxnMutations returns the maximum number of mutations in an owner's transaction: what
// the controller's share of the write rate allows in half a second. A larger transaction would
// wait for rate-limit tokens for longer than any call's timeout, be abandoned, and be retried
// for 8 s.
func (c *Core) maxRecordTxnMutations() int {
	if c.cfg.WritesPerSecond == 0 {
		return c.cfg.MaxTxnMutations
	}
	share := int(c.cfg.WritesPerSecond * c.budget.share.Changes / 2)
	return min(max(share, minRecordTxnMutations), c.cfg.MaxTxnMutations)
}

// maxTxnConditions returns the maximum number of conditions in a transaction.
func (c *Core) maxTxnConditions() int { return conditionsPerMutation * c.cfg.MaxTxnMutations }

// unrecordedJobsInOrder returns the jobs whose assignments are to be recorded, by priority and
// then by age, so that while transactions are small no job is delayed by others that merely sort
// first by ID.
func (s *Shard) unrecordedJobsInOrder() []string {
	ids := sortedKeys(s.unrecordedAssignments)
	slices.SortStableFunc(ids, func(a, b string) int {
		x, y := s.unrecordedAssignments[a].job, s.unrecordedAssignments[b].job
		return cmp.Or(cmp.Compare(x.spec.Priority, y.spec.Priority), cmp.Compare(x.firstSeenAt, y.firstSeenAt))
	})
	return ids
}

// commitChanges collects the shard's unrecorded changes into one transaction and sends it: new
// placements, confirmed exits, completed jobs, and the grants that must grow for the
// placements.
func (c *Core) commitChanges(shard *Shard) {
	c.markDueExits(shard)
	if len(shard.unrecordedAssignments)+len(shard.completions) == 0 || shard.isBusy() || c.now < shard.retryNotBefore {
		return
	}
	pending := newPendingTxn(shard)
	size := c.appendCompletions(shard, pending)
	for _, id := range shard.unrecordedJobsInOrder() {
		if len(pending.txn.Mutations)+mutationsPerAssignment > c.maxRecordTxnMutations() ||
			len(pending.txn.Conditions)+conditionsPerAssignment > c.maxTxnConditions() || size > maxRecordTxnBytes {
			break
		}
		assignment := shard.unrecordedAssignments[id]
		delete(shard.unrecordedAssignments, id)
		delete(shard.exitRecordDeadlines, id)
		size += c.appendAssignment(shard, pending, assignment)
	}
	if len(pending.txn.Mutations) > 0 {
		c.sendTxn(pending)
	}
}

// markDueExits marks the assignments whose unrecorded exits have reached their recording deadline,
// so that the next transaction records them.
func (c *Core) markDueExits(shard *Shard) {
	for _, id := range sortedKeys(shard.exitRecordDeadlines) {
		if assignment := shard.assignments[id]; assignment == nil {
			delete(shard.exitRecordDeadlines, id)
		} else if c.now >= shard.exitRecordDeadlines[id] {
			shard.unrecordedAssignments[id] = assignment
		}
	}
}

// appendAssignment adds an assignment to a transaction and returns the size of its value in
// bytes.
func (c *Core) appendAssignment(shard *Shard, pending *pendingTxn, assignment *Assignment) int {
	job := assignment.job
	if job.state != model.JobPending {
		c.appendWindDown(shard, pending, assignment)
		return 0
	}
	if assignment.isComplete() && !job.spec.Service {
		if len(job.rangesByZone) == 1 {
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
		// The placements are valid only while the job is not cancelled (rule ran_cancelled).
		pending.addCondition(job.key(), job.revision)
		c.appendGrants(shard, pending, job.team)
	}
	value := c.encodeAssignment(assignment.record(job, job.revision))
	pending.put(key, value)
	pending.assignments[job.id] = assignment
	pending.exits[assignment] = maps.Clone(assignment.unrecordedExits)
	return len(value)
}

// appendWindDown deletes the assignment of a finished job once none of its tasks is on a host.
func (c *Core) appendWindDown(shard *Shard, pending *pendingTxn, assignment *Assignment) {
	// No transaction is in flight, so tasks that are still in phase taskPlacing will never be
	// placed. Keeping them would hold host capacity and the team's grant forever.
	for _, i := range sortedKeys(assignment.tasks) {
		if task := assignment.tasks[i]; task.phase == taskPlacing {
			c.releaseResources(shard, task)
			delete(assignment.tasks, i)
		}
	}
	if len(assignment.tasks) > 0 {
		return
	}
	key := records.AssignmentKey(shard.name, assignment.job.id)
	pending.addCondition(key, assignment.revision)
	pending.delete(key)
	pending.deletedAssignments = append(pending.deletedAssignments, assignment.job.id)
}

// appendPlacements adds the assignment's unrecorded placements to the transaction, and reports
// whether there are any. It rolls back those that no longer fit the team's grant.
func (c *Core) appendPlacements(shard *Shard, pending *pendingTxn, assignment *Assignment) bool {
	found := false
	for _, i := range sortedKeys(assignment.tasks) {
		task := assignment.tasks[i]
		if task == nil || task.phase != taskPlacing {
			continue
		}
		// The grants may have changed since the task was planned: another shard may have
		// claimed the quota that was free then (rule quota).
		if !c.fitsGrant(shard, assignment.job.team, pending) {
			c.rollBackPlacement(shard, task)
			continue
		}
		found = true
		pending.placements = append(pending.placements, task)
	}
	return found
}

// appendGrants adds the growth of the shard's grant of a team to the transaction, if the
// placements need it.
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
