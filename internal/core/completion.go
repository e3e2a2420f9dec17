package core

import (
	"maps"
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// completionCheckInterval is how often an owner looks whether a job of several shards is done.
const completionCheckInterval = 5 * time.Second

// completion is a job of several shards whose assignments were all read complete. It is set
// done on condition that none of them has changed since (rule not_done).
type completion struct {
	assignment  *Assignment // this shard's
	jobRevision uint64
	others      []Condition // the other shards' assignments
}

// stillHolds reports whether what is known here agrees with the completion.
func (f *completion) stillHolds(shard *Shard) bool {
	assignment := f.assignment
	job := assignment.job
	return shard.assignments[job.id] == assignment && job.state == model.JobPending && job.revision == f.jobRevision &&
		assignment.complete() && len(assignment.unrecordedExits) == 0
}

// appendCompletion sets a job done whose assignments are all complete: this shard's, and the
// others named, of which the first so many are deleted with it.
func (p *pendingTxn) appendCompletion(assignment *Assignment, others []Condition, deleted int) int {
	job := assignment.job
	key, value := records.AssignmentKey(p.shard.name, job.id), job.encode(records.StateDone)
	p.addCondition(key, assignment.revision)
	p.addCondition(job.key(), job.revision)
	p.txn.Conditions = append(p.txn.Conditions, others...)
	p.put(job.key(), value)
	p.delete(key)
	for _, other := range others[:deleted] {
		p.delete(other.Key)
	}
	p.doneJobs = append(p.doneJobs, job)
	p.droppedJobs = append(p.droppedJobs, job.id)
	p.jobChanges = append(p.jobChanges, Item{Key: job.key(), Value: value})
	p.assignments[job.id] = assignment
	p.exits[assignment] = maps.Clone(assignment.unrecordedExits)
	return len(value)
}

// appendCompletions adds the jobs of several shards that can be set done to a transaction.
// They wait their turn like anything else that is recorded: written only if nothing was under
// way when the last assignment was read, they would wait for minutes in shards where
// something always is.
func (c *Core) appendCompletions(shard *Shard, pending *pendingTxn) int {
	size := 0
	kept := shard.completions[:0]
	for _, f := range shard.completions {
		assignment := f.assignment
		if !f.stillHolds(shard) {
			assignment.completing, assignment.nextCompletionCheckAt = false, 0
			continue
		}
		deleted := min(len(f.others), c.cfg.MaxTxnOps-2) // the rest is deleted by its owners
		if !c.hasRoomFor(pending, f, deleted, size) {
			kept = append(kept, f)
			continue
		}
		size += pending.appendCompletion(assignment, f.others, deleted)
		assignment.completing = false
		delete(shard.dirty, assignment.job.id)
	}
	shard.completions = kept
	return size
}

// hasRoomFor reports whether a completion goes into a transaction with values of so many
// bytes. An empty one takes any.
func (c *Core) hasRoomFor(pending *pendingTxn, f *completion, deleted, size int) bool {
	mutations := len(pending.txn.Mutations)
	if mutations == 0 {
		return true
	}
	return mutations+2+deleted <= c.maxRecordOps() &&
		len(pending.txn.Conditions)+2+len(f.others) <= c.maxConditions() && size <= maxRecordBytes
}

// completeSharedJob sets a job of several shards done once every assignment is complete. Each
// owner looks after its own assignment is recorded complete, so the last of them sees all.
func (c *Core) completeSharedJob(shard *Shard, assignment *Assignment) {
	if assignment.completing || c.now < assignment.nextCompletionCheckAt {
		return
	}
	assignment.completing, assignment.nextCompletionCheckAt = true, c.now+completionCheckInterval
	token, job := shard.claim.Token(), assignment.job
	valid := func() bool { return shard.ownedWith(token) && shard.assignments[job.id] == assignment }
	c.readKey(job.key(), true, func(res ReadResult) {
		assignment.completing = false
		if res.Outcome != OutcomeOK || !res.Found || !valid() {
			return
		}
		c.applyJobRecord(job.id, res.Item.Value, res.Item.Revision)
		job := assignment.job
		if job.state != model.JobPending || job.revision != res.Item.Revision || !assignment.complete() {
			return
		}
		c.readOtherAssignments(shard, assignment, valid)
	})
}

// readOtherAssignments reads a job's assignments of other shards, and notes the completion if
// all are complete.
func (c *Core) readOtherAssignments(shard *Shard, assignment *Assignment, valid func() bool) {
	job := assignment.job
	f := &completion{assignment: assignment, jobRevision: job.revision}
	left, all := 0, true
	for _, zone := range sorted(job.split) {
		if zone == shard.name {
			continue
		}
		left++
		key := records.AssignmentKey(zone, job.id)
		c.readKey(key, true, func(res ReadResult) {
			left--
			if isComplete(res) {
				f.others = append(f.others, Condition{key, res.Item.Revision})
			} else {
				all = false
			}
			if left > 0 || !all || !valid() {
				return
			}
			assignment.completing = true // until it is written
			shard.completions = append(shard.completions, f)
		})
	}
}

// isComplete reports whether an assignment that was read has neither waiting nor placed tasks.
func isComplete(res ReadResult) bool {
	if res.Outcome != OutcomeOK || !res.Found {
		return false
	}
	record, err := records.DecodeAssignment(res.Item.Value)
	return err == nil && len(record.Waiting) == 0 && len(record.Placed) == 0
}
