package core

import (
	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// reconcile makes memory agree with an assignment's record, and keeps what was proven since
// and is not recorded yet.
func (c *Core) reconcile(shard *Shard, assignment *Assignment, value []byte, revision uint64) {
	record, err := records.DecodeAssignment(value)
	if err != nil {
		c.warn("assignment unreadable", "job", assignment.job.id, "shard", shard.name, "err", err)
		return
	}
	job, former := assignment.job, assignment.tasks
	assignment.revision = revision
	assignment.waiting, assignment.done = record.Waiting.Clone(), record.Done.Clone()
	assignment.lastAttempt = max(assignment.lastAttempt, record.LastAttempt)
	assignment.tasks = map[int]*Task{}
	if !job.succeeded {
		job.failedTrials = max(job.failedTrials, record.FailedTrials)
	}
	placed := map[int]bool{}
	for _, placement := range record.Placed {
		placed[placement.Index] = true
		c.reconcilePlacement(shard, assignment, placement, former[placement.Index])
	}
	c.dropUnrecorded(shard, assignment, former)
	assignment.reconcileExits(shard, placed)
	if assignment.complete() {
		shard.dirty[job.id] = assignment
	}
	shard.needsPlan = true
}

// reconcilePlacement takes up a placement of the record; former is the task as it was known
// here, if it was.
func (c *Core) reconcilePlacement(shard *Shard, assignment *Assignment, placement records.Placement, former *Task) {
	i, job := placement.Index, assignment.job
	assignment.lastAttempt = max(assignment.lastAttempt, placement.Attempt)
	if exit, ok := assignment.unrecordedExits[i]; ok && exit.attempt >= placement.Attempt {
		if exit.done {
			assignment.done.Add(i)
		} else {
			assignment.waiting.Add(i)
		}
		shard.dirty[job.id] = assignment
		return
	}
	// The host counts too: an old value may name the same attempt on another host, and what
	// it confirms is launched (rule ran_twice).
	if former != nil && former.attempt == placement.Attempt && former.host.name == placement.Host {
		assignment.tasks[i] = former
		if former.phase == taskPlacing {
			c.onPlaced(shard, former)
		}
		return
	}
	assignment.tasks[i] = c.inheritTask(shard, assignment, placement)
}

// inheritTask books a task that an earlier owner placed.
func (c *Core) inheritTask(shard *Shard, assignment *Assignment, placement records.Placement) *Task {
	job := assignment.job
	task := &Task{
		id:         model.TaskID{Job: job.id, Index: placement.Index},
		assignment: assignment,
		host:       c.hostByName(shard, placement.Host),
		attempt:    placement.Attempt,
		phase:      taskPlaced,
		inherited:  true,
		need:       job.spec.Need,
		team:       job.team,
		placedAt:   c.now,
	}
	if other := task.host.tasks[task.id]; other != nil {
		// A worker holds one attempt of a task at most; what is there of an earlier one
		// keeps this one on the host until it is gone too.
		c.release(shard, other)
	}
	c.reserve(shard, task)
	return task
}

// dropUnrecorded gives up the tasks that were known here and are not in the record.
func (c *Core) dropUnrecorded(shard *Shard, assignment *Assignment, former map[int]*Task) {
	for _, i := range sorted(former) {
		task := former[i]
		switch {
		case assignment.tasks[i] == task:
		case task.phase == taskPlacing:
			c.release(shard, task)
		default:
			c.orphanTask(shard, task)
		}
	}
}

// reconcileExits keeps the exits that the record does not show yet, and forgets the others.
func (a *Assignment) reconcileExits(shard *Shard, placed map[int]bool) {
	for _, i := range sorted(a.unrecordedExits) {
		switch {
		case placed[i]:
		case a.unrecordedExits[i].done && a.waiting.Has(i):
			a.waiting.Remove(i)
			a.done.Add(i)
			shard.dirty[a.job.id] = a
		default:
			delete(a.unrecordedExits, i)
		}
	}
}
