package core

import (
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// Assignment is a shard's share of a job as the shard's owner sees it: the last recorded state
// from the state service, plus placements and task exits that are not recorded yet.
type Assignment struct {
	job      *Job
	revision uint64 // revision of the recorded assignment

	waiting         records.TaskRanges // tasks to be placed
	done            records.TaskRanges // completed tasks
	tasks           map[int]*Task      // tasks placed on a host, or whose placement is being recorded
	unrecordedExits map[int]taskExit   // confirmed exits that are not recorded yet, by task index
	lastAttempt     uint64             // highest attempt number assigned so far

	nextMoveAt            time.Duration // when tasks may next be moved to another shard
	nextCompletionCheckAt time.Duration // when the owner checks next whether the whole job is complete
	completionPending     bool          // a completion check is in flight, or the job is about to be marked done

	starvedSince        time.Duration   // since when none of its waiting tasks could start; 0: some could
	yieldingGrantSince  time.Duration   // since when all its quota headroom has been yielded to other shards; 0: it is not
	lastExitAt          time.Duration   // when the last of its tasks left its host
	preemptionDeadlines []time.Duration // deadlines of preemptions that free capacity for its tasks
	missingSince        time.Duration   // when a task first was not running; 0: all tasks run
}

// taskExit is an attempt that is confirmed to have left its host.
type taskExit struct {
	attempt uint64
	done    bool // whether the task completed; otherwise it is queued again
}

// isComplete reports whether no task is waiting or on a host.
func (a *Assignment) isComplete() bool { return len(a.waiting) == 0 && len(a.tasks) == 0 }

// runningCount returns the number of running tasks, including those that are saving their state
// before they stop.
func (a *Assignment) runningCount() int {
	n := 0
	for _, task := range a.tasks {
		if task.state == TaskRunning || task.state == TaskSaving {
			n++
		}
	}
	return n
}

// record returns the assignment's record with the given job and job revision.
func (a *Assignment) record(job *Job, jobRevision uint64) *records.Assignment {
	record := &records.Assignment{
		Waiting:      a.waiting,
		Done:         a.done,
		LastAttempt:  a.lastAttempt,
		Job:          job.record(""),
		JobRevision:  jobRevision,
		FailedTrials: a.job.failedTrials,
	}
	for _, i := range sortedKeys(a.tasks) {
		task := a.tasks[i]
		placement := records.Placement{Index: i, Host: task.host.name, Attempt: task.attempt}
		record.Placed = append(record.Placed, placement)
	}
	return record
}

// adoptUnfinishedAssignment loads an assignment of an unfinished job, or updates it if it is in
// memory already. It ignores an assignment whose job is unknown or finished.
func (c *Core) adoptUnfinishedAssignment(shard *Shard, id string, value []byte, revision uint64) {
	if job := c.jobs[id]; job != nil {
		c.adoptAssignmentOfJob(shard, job, value, revision)
	}
}

// adoptAssignmentOfJob loads an assignment of the given job, or updates it if it is in memory
// already. The job may have finished: its tasks that are still on hosts count against the team's
// limit.
func (c *Core) adoptAssignmentOfJob(shard *Shard, job *Job, value []byte, revision uint64) {
	if assignment := shard.assignments[job.id]; assignment != nil {
		if revision > assignment.revision {
			c.reconcile(shard, assignment, value, revision)
		}
		return
	}
	assignment := &Assignment{
		job:             job,
		tasks:           map[int]*Task{},
		unrecordedExits: map[int]taskExit{},
		missingSince:    job.firstSeenAt,
	}
	shard.assignments[job.id] = assignment
	c.reconcile(shard, assignment, value, revision)
	if job.state != model.JobPending {
		c.windDownAssignment(shard, assignment)
	}
}

// applyAssignmentRecord applies the state of an assignment's key as read from the state service
// or received from a peer. A nil value means that the key does not exist.
func (c *Core) applyAssignmentRecord(shard *Shard, id string, value []byte, revision uint64) {
	assignment := shard.assignments[id]
	switch {
	case assignment == nil && value != nil:
		c.adoptUnfinishedAssignment(shard, id, value, revision)
	case assignment == nil:
		// The assignment exists neither in memory nor in the state service.
	case value == nil:
		// The job has finished, or all tasks of the assignment were moved to other shards.
		for _, i := range sortedKeys(assignment.tasks) {
			c.detachTask(shard, assignment.tasks[i])
		}
		delete(shard.assignments, id)
		delete(shard.unrecordedAssignments, id)
	case revision == assignment.revision:
		c.rollBackPlacements(shard, assignment)
	case revision > assignment.revision:
		c.reconcile(shard, assignment, value, revision)
	}
	shard.needsPlan = true
}

// rollBackPlacements undoes the placements that a transaction should have recorded. The
// record's revision shows that the transaction was not applied, and the transaction's conditions
// protect against a delayed copy of it.
func (c *Core) rollBackPlacements(shard *Shard, assignment *Assignment) {
	for _, i := range sortedKeys(assignment.tasks) {
		if task := assignment.tasks[i]; task != nil && task.phase == taskPlacing {
			c.rollBackPlacement(shard, task)
		}
	}
}

// windDownAssignment stops the tasks of an assignment whose job has finished, and marks the
// assignment for deletion, which follows once no task is on a host.
func (c *Core) windDownAssignment(shard *Shard, assignment *Assignment) {
	assignment.waiting = nil
	for _, i := range sortedKeys(assignment.tasks) {
		if task := assignment.tasks[i]; task != nil && task.phase == taskPlaced {
			c.stopTask(shard, task, 0)
		}
	}
	shard.unrecordedAssignments[assignment.job.id] = assignment
}
