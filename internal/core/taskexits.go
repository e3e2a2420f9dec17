package core

import (
	"time"

	"roadcleat/internal/model"
)

// Exits of tasks. confirmExit is the only way by which a durable placement gives up its room
// and its task's index: whoever calls it has proof that the attempt is not on its host and
// cannot come there any more (ran_twice). The proofs are a status that reports the exit, the
// worker's expired lease or new incarnation (workerlease.go), its absence from a status
// (absenceProvesExit), the confirmed return of the machine (hostreturns.go), and that no launch
// was ever sent (commands.go).

// confirmExit records that a task has left its host for certain. done says that it completed.
func (c *Core) confirmExit(shard *Shard, task *Task, done bool) {
	if task.phase == taskPlacing {
		return // decided when the transaction's outcome is known
	}
	c.release(shard, task)
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
			shard.dirty[job.id] = assignment
		}
		return
	}
	done = done && !job.spec.Service // a service's replicas are replaced whatever ended them
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
		c.info("task back in the queue", "job", job.id, "task", index, "host", task.host.name, "shard", shard.name)
	}
	c.recordExit(shard, assignment, done)
	shard.needsPlan = true
}

// stopGang stops all tasks of a gang of which one has left: a gang runs whole or not at all.
func (c *Core) stopGang(shard *Shard, assignment *Assignment) {
	for _, index := range sorted(assignment.tasks) {
		// Stopping one may confirm its exit, and with it the exits of others.
		other := assignment.tasks[index]
		if other != nil && other.phase == taskPlaced && !other.stopping {
			c.stopTask(shard, other, assignment.job.spec.SaveSeconds)
		}
	}
}

// confirmAllExits confirms the exit of the host's tasks that the condition selects.
func (c *Core) confirmAllExits(shard *Shard, host *Host, condition func(*Task) bool) {
	for _, id := range sortedTasks(host.tasks) {
		task := host.tasks[id]
		if task != nil && task.phase == taskPlaced && condition(task) {
			c.confirmExit(shard, task, false)
		}
	}
}

// recordCompletion records a completion that a worker reports, also of an attempt that was
// given up meanwhile: the task's result is kept, so it need not run again.
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
	c.recordExit(shard, assignment, true)
}

// recordDelay is how long an exit may wait to be recorded together with others.
const recordDelay = 8 * time.Second

// recordExit has an exit recorded. A completed task's may wait: until it is durable the task
// stays in its worker's status, where a later owner finds it, and the status alone proves that
// its room is free. What completes the assignment, or must start again, is recorded at once.
func (c *Core) recordExit(shard *Shard, assignment *Assignment, done bool) {
	id := assignment.job.id
	if !done || assignment.complete() {
		shard.dirty[id] = assignment
		return
	}
	if _, waits := shard.recordBy[id]; !waits {
		shard.recordBy[id] = c.now + recordDelay
	}
}
