package core

import (
	"maps"
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// completionCheckInterval is the minimum interval between two checks of whether a job with
// assignments in several shards is complete.
const completionCheckInterval = 5 * time.Second

// jobCompletion is a job whose assignments in several shards were all read as complete. The job is
// marked done on the condition that none of them has changed since they were read (rule
// not_done).
type jobCompletion struct {
	assignment       *Assignment // this shard's assignment
	jobRevision      uint64      // revision of the job when the assignments were read
	otherAssignments []Condition // revisions of the other shards' assignments as they were read
}

// isCurrent reports whether the completion still matches the state in memory.
func (completion *jobCompletion) isCurrent(shard *Shard) bool {
	assignment := completion.assignment
	job := assignment.job
	return shard.assignments[job.id] == assignment && job.state == model.JobPending && job.revision == completion.jobRevision &&
		assignment.isComplete() && len(assignment.unrecordedExits) == 0
}

// appendCompletion adds mutations that mark a job done and delete this shard's assignment of
// it. The transaction requires that the given assignments of other shards are unchanged, and
// also deletes the first deletedCount of them. It returns the size of the job's value in bytes.
func (p *pendingTxn) appendCompletion(assignment *Assignment, others []Condition, deletedCount int) int {
	job := assignment.job
	key, value := records.AssignmentKey(p.shard.name, job.id), job.encode(records.StateDone)
	p.addCondition(key, assignment.revision)
	p.addCondition(job.key(), job.revision)
	p.txn.Conditions = append(p.txn.Conditions, others...)
	p.put(job.key(), value)
	p.delete(key)
	for _, other := range others[:deletedCount] {
		p.delete(other.Key)
	}
	p.completedJobs = append(p.completedJobs, job)
	p.deletedAssignments = append(p.deletedAssignments, job.id)
	p.jobChanges = append(p.jobChanges, Item{Key: job.key(), Value: value})
	p.assignments[job.id] = assignment
	p.exits[assignment] = maps.Clone(assignment.unrecordedExits)
	return len(value)
}

// appendCompletions adds the completed jobs with assignments in several shards to a
// transaction, and returns the size of their values in bytes. Completions queue like any other
// change to record: if they were written only when no transaction was in flight as the last
// assignment was read, they would wait for minutes in a busy shard.
func (c *Core) appendCompletions(shard *Shard, pending *pendingTxn) int {
	size := 0
	kept := shard.completions[:0]
	for _, completion := range shard.completions {
		assignment := completion.assignment
		if !completion.isCurrent(shard) {
			assignment.completionPending, assignment.nextCompletionCheckAt = false, 0
			continue
		}
		deletedCount := min(len(completion.otherAssignments), c.cfg.MaxTxnMutations-2) // their owners delete the others
		if !c.completionFits(pending, completion, deletedCount, size) {
			kept = append(kept, completion)
			continue
		}
		size += pending.appendCompletion(assignment, completion.otherAssignments, deletedCount)
		assignment.completionPending = false
		delete(shard.unrecordedAssignments, assignment.job.id)
	}
	shard.completions = kept
	return size
}

// completionFits reports whether a completion fits into a transaction whose values have the
// given size in bytes. An empty transaction takes any completion.
func (c *Core) completionFits(pending *pendingTxn, completion *jobCompletion, deletedCount, size int) bool {
	mutations := len(pending.txn.Mutations)
	if mutations == 0 {
		return true
	}
	return mutations+2+deletedCount <= c.maxRecordTxnMutations() &&
		len(pending.txn.Conditions)+2+len(completion.otherAssignments) <= c.maxTxnConditions() && size <= maxRecordTxnBytes
}

// completeSharedJob marks a job with assignments in several shards as done once all of them are
// complete. Each owner runs this check after its own assignment is recorded as complete, so the
// last owner to do so sees all of them complete. It reads the job first, so that the split and
// the revision that the completion relies on are current.
func (c *Core) completeSharedJob(shard *Shard, assignment *Assignment) {
	if assignment.completionPending || c.now < assignment.nextCompletionCheckAt {
		return
	}
	assignment.completionPending, assignment.nextCompletionCheckAt = true, c.now+completionCheckInterval
	term, job := shard.claim.Term(), assignment.job
	valid := func() bool { return shard.isOwnedInTerm(term) && shard.assignments[job.id] == assignment }
	c.readKey(job.key(), true, func(res ReadResult) {
		assignment.completionPending = false
		if res.Outcome != OutcomeOK || !res.Found || !valid() {
			return
		}
		c.applyJobRecord(job.id, res.Item.Value, res.Item.Revision)
		job := assignment.job
		if job.state != model.JobPending || job.revision != res.Item.Revision || !assignment.isComplete() {
			return
		}
		c.readOtherAssignments(shard, assignment, valid)
	})
}

// readOtherAssignments reads the job's assignments in the other shards, and queues the
// completion if all are complete.
func (c *Core) readOtherAssignments(shard *Shard, assignment *Assignment, valid func() bool) {
	job := assignment.job
	completion := &jobCompletion{assignment: assignment, jobRevision: job.revision}
	pendingReads, allComplete := 0, true
	for _, zone := range sortedKeys(job.rangesByZone) {
		if zone == shard.name {
			continue
		}
		pendingReads++
		key := records.AssignmentKey(zone, job.id)
		c.readKey(key, true, func(res ReadResult) {
			pendingReads--
			if isCompleteRecord(res) {
				completion.otherAssignments = append(completion.otherAssignments, Condition{key, res.Item.Revision})
			} else {
				allComplete = false
			}
			if pendingReads > 0 || !allComplete || !valid() {
				return
			}
			assignment.completionPending = true // until the completion is written
			shard.completions = append(shard.completions, completion)
		})
	}
}

// isCompleteRecord reports whether the assignment that was read has neither waiting nor placed
// tasks.
func isCompleteRecord(res ReadResult) bool {
	if res.Outcome != OutcomeOK || !res.Found {
		return false
	}
	record, err := records.DecodeAssignment(res.Item.Value)
	return err == nil && len(record.Waiting) == 0 && len(record.Placed) == 0
}
