package core

import (
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// Assignment is a shard's share of a job, as its owner knows it: what the state service holds
// and what has been proven since and is not recorded yet.
type Assignment struct {
	job      *Job
	revision uint64 // of the record

	waiting         records.TaskRanges
	done            records.TaskRanges
	tasks           map[int]*Task    // on a machine, or on the way there
	unrecordedExits map[int]taskExit // proven, not yet recorded
	lastAttempt     uint64           // the highest attempt given out

	nextMoveAt            time.Duration
	nextCompletionCheckAt time.Duration // when to look again whether the whole job is done
	completing            bool          // the job is being checked, or set done

	starvedSince       time.Duration   // since when none of its waiting tasks could start
	yieldingSince      time.Duration   // since when all its room within the limit is left to other shards
	lastExitAt         time.Duration   // when the last of its tasks left its machine
	pendingPreemptions []time.Duration // room being made for its tasks, each until when at most
	missingSince       time.Duration   // since when some task has not been running; 0: all run
}

// taskExit is an attempt that has left its machine for certain.
type taskExit struct {
	attempt uint64
	done    bool // the task is completed
}

// complete reports whether no task waits or is on a machine.
func (a *Assignment) complete() bool { return len(a.waiting) == 0 && len(a.tasks) == 0 }

// running counts the tasks that run, those that save included.
func (a *Assignment) running() int {
	n := 0
	for _, task := range a.tasks {
		if task.state == TaskRunning || task.state == TaskSaving {
			n++
		}
	}
	return n
}

// record is the assignment's record, its job being as given.
func (a *Assignment) record(job *Job, jobRevision uint64) *records.Assignment {
	record := &records.Assignment{
		Waiting:      a.waiting,
		Done:         a.done,
		LastAttempt:  a.lastAttempt,
		Job:          job.record(""),
		JobRevision:  jobRevision,
		FailedTrials: a.job.failedTrials,
	}
	for _, i := range sorted(a.tasks) {
		task := a.tasks[i]
		placement := records.Placement{Index: i, Host: task.host.name, Attempt: task.attempt}
		record.Placed = append(record.Placed, placement)
	}
	return record
}

// adoptAssignment takes up an assignment that this controller has no memory of.
func (c *Core) adoptAssignment(shard *Shard, id string, value []byte, revision uint64) {
	if job := c.jobs[id]; job != nil {
		c.adoptAssignmentOf(shard, job, value, revision)
	}
}

// adoptAssignmentOf also takes up assignments of jobs that are over: what is left of them on
// machines still counts against the team's limit.
func (c *Core) adoptAssignmentOf(shard *Shard, job *Job, value []byte, revision uint64) {
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
		missingSince:    job.knownSince,
	}
	shard.assignments[job.id] = assignment
	c.reconcile(shard, assignment, value, revision)
	if job.state != model.JobPending {
		c.windDownAssignment(shard, assignment)
	}
}

// applyAssignmentRecord applies an assignment's key as read or received. A nil value means
// that the key does not exist.
func (c *Core) applyAssignmentRecord(shard *Shard, id string, value []byte, revision uint64) {
	assignment := shard.assignments[id]
	switch {
	case assignment == nil && value != nil:
		c.adoptAssignment(shard, id, value, revision)
	case assignment == nil:
		// Neither here nor there.
	case value == nil:
		// The job is over, or all of the assignment was moved.
		for _, i := range sorted(assignment.tasks) {
			c.orphanTask(shard, assignment.tasks[i])
		}
		delete(shard.assignments, id)
		delete(shard.dirty, id)
	case revision == assignment.revision:
		c.rollBackPlacements(shard, assignment)
	case revision > assignment.revision:
		c.reconcile(shard, assignment, value, revision)
	}
	shard.needsPlan = true
}

// rollBackPlacements takes back the placements that a transaction should have recorded: the
// record has not changed, and its conditions hold back any late copy.
func (c *Core) rollBackPlacements(shard *Shard, assignment *Assignment) {
	for _, i := range sorted(assignment.tasks) {
		if task := assignment.tasks[i]; task != nil && task.phase == taskPlacing {
			c.rollBackPlacement(shard, task)
		}
	}
}

// windDownAssignment ends an assignment of a job that is over: what is on machines is
// stopped, and the key is deleted once nothing is.
func (c *Core) windDownAssignment(shard *Shard, assignment *Assignment) {
	assignment.waiting = nil
	for _, i := range sorted(assignment.tasks) {
		if task := assignment.tasks[i]; task != nil && task.phase == taskPlaced {
			c.stopTask(shard, task, 0)
		}
	}
	shard.dirty[assignment.job.id] = assignment
}
