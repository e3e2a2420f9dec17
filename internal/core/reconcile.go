package core

import (
	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// reconcile updates an assignment in memory to match its record, and keeps task exits that were
// confirmed since the record was written. A record that cannot be decoded changes nothing.
func (c *Core) reconcile(shard *Shard, assignment *Assignment, value []byte, revision uint64) {
	record, err := records.DecodeAssignment(value)
	if err != nil {
		c.warn("cannot decode assignment record; keeping the state in memory", "job", assignment.job.id, "shard", shard.name, "err", err)
		return
	}
	job, tasksInMemory := assignment.job, assignment.tasks
	assignment.revision = revision
	assignment.waiting, assignment.done = record.Waiting.Clone(), record.Done.Clone()
	assignment.lastAttempt = max(assignment.lastAttempt, record.LastAttempt)
	assignment.tasks = map[int]*Task{}
	if !job.hasCompletedTask {
		job.failedTrials = max(job.failedTrials, record.FailedTrials)
	}
	placed := map[int]bool{}
	for _, placement := range record.Placed {
		placed[placement.Index] = true
		c.reconcilePlacement(shard, assignment, placement, tasksInMemory[placement.Index])
	}
	c.dropUnrecordedTasks(shard, assignment, tasksInMemory)
	assignment.reconcileExits(shard, placed)
	if assignment.isComplete() {
		shard.unrecordedAssignments[job.id] = assignment
	}
	shard.needsPlan = true
}

// reconcilePlacement applies one placement of the record. taskInMemory is the task as it was in
// memory before, or nil. If the attempt's exit is confirmed already, the task is queued again or
// done; if the placement matches the task in memory, it is confirmed; otherwise an earlier owner
// placed the task, and it is inherited.
func (c *Core) reconcilePlacement(shard *Shard, assignment *Assignment, placement records.Placement, taskInMemory *Task) {
	i, job := placement.Index, assignment.job
	assignment.lastAttempt = max(assignment.lastAttempt, placement.Attempt)
	if exit, ok := assignment.unrecordedExits[i]; ok && exit.attempt >= placement.Attempt {
		if exit.done {
			assignment.done.Add(i)
		} else {
			assignment.waiting.Add(i)
		}
		shard.unrecordedAssignments[job.id] = assignment
		return
	}
	// The host is compared as well: an old record may name the same attempt on another host,
	// and a placement that is confirmed here is launched, so the task could run twice (rule
	// ran_twice).
	if taskInMemory != nil && taskInMemory.attempt == placement.Attempt && taskInMemory.host.name == placement.Host {
		assignment.tasks[i] = taskInMemory
		if taskInMemory.phase == taskPlacing {
			c.handlePlacementDurable(shard, taskInMemory)
		}
		return
	}
	assignment.tasks[i] = c.inheritTask(shard, assignment, placement)
}

// inheritTask reserves capacity on the host for a task that an earlier owner placed.
func (c *Core) inheritTask(shard *Shard, assignment *Assignment, placement records.Placement) *Task {
	job := assignment.job
	task := &Task{
		id:                   model.TaskID{Job: job.id, Index: placement.Index},
		assignment:           assignment,
		host:                 c.findOrAddHost(shard, placement.Host),
		attempt:              placement.Attempt,
		phase:                taskPlaced,
		placedByEarlierOwner: true,
		resources:            job.spec.TaskResources,
		teamIndex:            job.team,
		placedAt:             c.now,
	}
	if other := task.host.tasks[task.id]; other != nil {
		// A worker holds at most one attempt of a task. The reservation of an earlier attempt
		// on the host is replaced by this one, which is kept until the earlier attempt is gone
		// too.
		c.releaseResources(shard, other)
	}
	c.reserveResources(shard, task)
	return task
}

// dropUnrecordedTasks drops the tasks that are in memory but not in the record. A placement
// that was never recorded is released. A task that may run is detached from its assignment and
// stopped.
func (c *Core) dropUnrecordedTasks(shard *Shard, assignment *Assignment, tasksInMemory map[int]*Task) {
	for _, i := range sortedKeys(tasksInMemory) {
		task := tasksInMemory[i]
		switch {
		case assignment.tasks[i] == task:
		case task.phase == taskPlacing:
			c.releaseResources(shard, task)
		default:
			c.detachTask(shard, task)
		}
	}
}

// reconcileExits keeps the exits that the record does not contain yet, and drops the others. The
// argument placed is the set of tasks that are placed according to the record.
func (a *Assignment) reconcileExits(shard *Shard, placed map[int]bool) {
	for _, i := range sortedKeys(a.unrecordedExits) {
		switch {
		case placed[i]:
		case a.unrecordedExits[i].done && a.waiting.Has(i):
			a.waiting.Remove(i)
			a.done.Add(i)
			shard.unrecordedAssignments[a.job.id] = a
		default:
			delete(a.unrecordedExits, i)
		}
	}
}
