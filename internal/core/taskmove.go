package core

import (
	"maps"
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// moveAnnouncementDelay is how long after observing that tasks of a job were moved the owner of one
// of its assignments waits for the changed assignment, which it receives by the reply to the move
// or by gossip.
const moveAnnouncementDelay = time.Second

// taskMove is a move of waiting tasks from one shard's assignment to another shard's assignment
// of the same job.
type taskMove struct {
	from, to         *Shard
	assignment       *Assignment        // the assignment that the tasks leave, in shard from
	job              *Job               // the job before the move
	indices          []int              // indices of the moved tasks
	jobAfterMove     Job                // the job after the move
	targetKey        string             // key of the assignment that receives the tasks, in shard to
	targetRevision   uint64             // revision at which targetKey was read; 0: the key does not exist
	targetAssignment records.Assignment // the assignment in shard to, with the moved tasks
	isSourceEmptied  bool               // the assignment in shard from has no tasks left and is deleted
}

// moveTasks moves up to count waiting tasks of an assignment to another shard. It reads the other
// shard's assignment of the job, then changes both assignments and the job in one transaction.
func (c *Core) moveTasks(shard, target *Shard, assignment *Assignment, count int) {
	job, term := assignment.job, shard.claim.Term()
	shard.taskMovePending = true
	key := records.AssignmentKey(target.name, job.id)
	c.readKey(key, true, func(result ReadResult) {
		shard.taskMovePending = false
		if result.Outcome != OutcomeOK || !shard.isOwnedInTerm(term) || !isMoveStillPossible(shard, assignment, job) {
			return
		}
		move := &taskMove{
			from:           shard,
			to:             target,
			assignment:     assignment,
			job:            job,
			targetKey:      key,
			targetRevision: result.Item.Revision,
		}
		if result.Found {
			targetAssignment, err := records.DecodeAssignment(result.Item.Value)
			if err != nil {
				return
			}
			move.targetAssignment = targetAssignment
		}
		if c.prepareMove(move, count) {
			c.commitMove(move)
		}
	})
}

// isMoveStillPossible reports whether the shard still has the assignment and can begin a
// transaction that changes it: its job is unfinished, and no exit or placement of its tasks is
// about to be recorded.
func isMoveStillPossible(shard *Shard, assignment *Assignment, job *Job) bool {
	if shard.isBusy() || shard.assignments[job.id] != assignment {
		return false
	}
	if job.state != model.JobPending || len(assignment.unrecordedExits) > 0 {
		return false
	}
	for _, task := range assignment.tasks {
		if task.phase == taskPlacing {
			return false // the assignment is about to be recorded with this placement
		}
	}
	return true
}

// prepareMove selects the tasks to move and computes the job and the other shard's assignment
// after the move. It reports whether there are tasks to move and the resulting record is within
// the size limit.
func (c *Core) prepareMove(move *taskMove, count int) bool {
	assignment, job := move.assignment, move.job
	move.indices = assignment.waiting.Clone().First(min(count, assignment.waiting.Count()))
	if len(move.indices) == 0 {
		return false
	}
	for _, i := range move.indices {
		move.targetAssignment.Waiting.Add(i)
	}
	// The attempt numbers of a task must never repeat, whichever shard starts it.
	move.targetAssignment.LastAttempt = max(move.targetAssignment.LastAttempt, assignment.lastAttempt)
	move.jobAfterMove = *job
	move.jobAfterMove.rangesByZone = maps.Clone(job.rangesByZone)
	move.jobAfterMove.rangesByZone[move.to.name] = nil
	move.jobAfterMove.moveCount = job.moveCount + 1
	return c.fitsAfterMove(&move.jobAfterMove, &move.targetAssignment)
}

// commitMove removes the tasks from this shard's assignment and sends the transaction. If the
// transaction is rolled back, the tasks are added again, unless the assignment's record has
// changed since.
func (c *Core) commitMove(move *taskMove) {
	shard, assignment, job := move.from, move.assignment, move.job
	for _, i := range move.indices {
		assignment.waiting.Remove(i)
	}
	move.isSourceEmptied = assignment.isComplete() && len(assignment.done) == 0
	if move.isSourceEmptied {
		delete(move.jobAfterMove.rangesByZone, shard.name)
	}
	txn := c.newMoveTxn(move)
	revision := assignment.revision
	txn.onRollBack = func() {
		for _, i := range move.indices {
			if assignment.revision == revision && assignment.tasks[i] == nil && !assignment.done.Has(i) {
				assignment.waiting.Add(i)
			}
		}
	}
	delete(shard.unrecordedAssignments, job.id)
	c.subtractMovedDemand(shard, job, len(move.indices))
	c.stats.Rebalanced += uint64(len(move.indices))
	c.info("tasks moved", "job", job.id, "tasks", len(move.indices),
		"from", shard.name, "to", move.to.name, "token", shard.claim.Token())
	c.sendTxn(txn)
}

// newMoveTxn returns the transaction of a move. Its conditions hold only if neither the job nor
// either assignment has changed since it was read.
func (c *Core) newMoveTxn(move *taskMove) *pendingTxn {
	shard, assignment, job := move.from, move.assignment, move.job
	ownKey, jobValue := records.AssignmentKey(shard.name, job.id), move.jobAfterMove.encode("")
	move.targetAssignment.Job, move.targetAssignment.JobRevision = move.jobAfterMove.record(""), 0
	targetValue := c.encodeAssignment(&move.targetAssignment)

	txn := newPendingTxn(shard)
	txn.addCondition(ownKey, assignment.revision)
	txn.addCondition(job.key(), job.revision)
	txn.addCondition(move.targetKey, move.targetRevision)
	if move.isSourceEmptied {
		txn.delete(ownKey)
		txn.deletedAssignments = []string{job.id}
	} else {
		txn.put(ownKey, c.encodeAssignment(assignment.record(&move.jobAfterMove, 0)))
		txn.assignments[job.id] = assignment
	}
	txn.put(move.targetKey, targetValue)
	txn.put(job.key(), jobValue)
	txn.jobChanges = []Item{{Key: job.key(), Value: jobValue}}
	txn.movedAssignments = []Item{{Key: move.targetKey, Value: targetValue}}
	return txn
}

// checkForMovedTasks reads an assignment without waiting tasks from the state service again if
// tasks of its job have been moved and the assignment's revision is older than the job's: the
// reply to the move's transaction, or the gossip about it, may have been lost. Where nothing else
// changes the assignment, as while a service's replicas run, the moved tasks would otherwise wait
// unnoticed. An assignment with waiting tasks needs no check: if it is outdated, the transaction
// of its next placement fails.
func (c *Core) checkForMovedTasks(shard *Shard, jobID string) {
	term := shard.claim.Term()
	isOutdated := func() bool {
		assignment, job := shard.assignments[jobID], c.jobs[jobID]
		return shard.isServedHere() && shard.claim.Term() == term && assignment != nil && job != nil &&
			assignment.revision < job.revision && len(assignment.waiting) == 0
	}
	onRead := func(result ReadResult) {
		if shard.txnPending {
			c.checkForMovedTasks(shard, jobID) // the read may show the state before or after the transaction
		} else if result.Found && result.Item.Revision > shard.assignments[jobID].revision {
			c.applyAssignmentRecord(shard, jobID, result.Item.Value, result.Item.Revision)
		}
	}
	c.runAfter(moveAnnouncementDelay, func() {
		switch {
		case !isOutdated():
		case shard.txnPending:
			c.checkForMovedTasks(shard, jobID)
		default:
			c.readUntilAnswered(records.AssignmentKey(shard.name, jobID), isOutdated, onRead)
		}
	})
}
