package core

import (
	"time"

	"roadcleat/internal/model"
)

// This file handles exits of tasks. Only confirmExit releases the resources and the task index of a
// durable placement. Its callers have proof that the attempt is not on its host and can't start
// there any more (invariant ran_twice). The proofs are a status that reports the exit, the expiry
// of the worker's lease or a new incarnation (workerlease.go), the task's absence from a status
// (absenceProvesExit), the confirmed return of the machine (hostreturns.go), and the fact that no
// launch was ever sent (commands.go).

// confirmExit records that a task has certainly left its host. done is true if the task completed.
func (c *Core) confirmExit(shard *Shard, task *Task, done bool) {
	if task.phase == taskPlacing {
		return // the result of the placement's transaction decides about the task
	}
	c.releaseResources(shard, task)
	assignment, index := task.assignment, task.id.Index
	if assignment == nil || assignment.tasks[index] != task {
		return
	}
	job := assignment.job
	delete(assignment.tasks, index)
	if len(assignment.tasks) == 0 {
		assignment.lastExitAt = c.now
	}
	if job.state != model.JobPending {
		if len(assignment.tasks) == 0 {
			shard.unrecordedAssignments[job.id] = assignment
		}
		return
	}
	done = done && !job.spec.Service // replicas of a service are replaced whatever the cause of their exit
	assignment.unrecordedExits[index] = taskExit{task.attempt, done}
	if job.spec.Gang && !done {
		c.stopGang(shard, assignment)
	}
	if done {
		assignment.done.Add(index)
		c.stats.Finished++
	} else {
		assignment.waiting.Add(index)
		c.stats.Requeued++
		c.info("attempt exited; requeued the task",
			"job", job.id, "task", index, "host", task.host.name, "shard", shard.name)
	}
	c.scheduleExitRecord(shard, assignment, done)
	shard.needsPlan = true
}

// stopGang stops all tasks of a gang after one of them has exited, because all tasks of a gang run
// together or not at all.
func (c *Core) stopGang(shard *Shard, assignment *Assignment) {
	for _, index := range sortedKeys(assignment.tasks) {
		// Stopping a task may confirm its exit, which may in turn remove other tasks of the gang.
		other := assignment.tasks[index]
		if other != nil && other.phase == taskPlaced && !other.stopping {
			c.stopTask(shard, other, assignment.job.spec.SaveSeconds)
		}
	}
}

// confirmAllExits confirms the exit of all tasks on the host that satisfy the condition.
func (c *Core) confirmAllExits(shard *Shard, host *Host, condition func(*Task) bool) {
	for _, id := range sortedTaskIDs(host.tasks) {
		task := host.tasks[id]
		if task != nil && task.phase == taskPlaced && condition(task) {
			c.confirmExit(shard, task, false)
		}
	}
}

// recordCompletion records a completion that a worker reports. It also accepts the completion of an
// attempt whose task has been requeued since: the result is kept, so the task need not run again.
func (c *Core) recordCompletion(shard *Shard, status TaskStatus) {
	assignment, index := shard.assignments[status.Task.Job], status.Task.Index
	if assignment == nil || assignment.job.state != model.JobPending || assignment.job.spec.Service {
		return
	}
	if !assignment.waiting.Has(index) {
		return
	}
	assignment.waiting.Remove(index)
	assignment.done.Add(index)
	assignment.unrecordedExits[index] = taskExit{max(status.Attempt, assignment.lastAttempt), true}
	c.scheduleExitRecord(shard, assignment, true)
}

// maxExitRecordDelay is the maximum time for which the record of an exit is delayed to be written
// together with others.
const maxExitRecordDelay = 8 * time.Second

// scheduleExitRecord schedules the write of an exit's record. The record of a completed task may be
// delayed: until it is durable the task stays in its worker's status, where a later owner finds it,
// and the status alone proves that its resources are free. An exit that completes the assignment,
// or whose task must start again, is recorded at once.
func (c *Core) scheduleExitRecord(shard *Shard, assignment *Assignment, done bool) {
	id := assignment.job.id
	if !done || assignment.isComplete() {
		shard.unrecordedAssignments[id] = assignment
		return
	}
	if _, isScheduled := shard.exitRecordDeadlines[id]; !isScheduled {
		shard.exitRecordDeadlines[id] = c.now + maxExitRecordDelay
	}
}
