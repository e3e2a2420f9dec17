package core

import (
	"time"

	"roadcleat/internal/model"
)

// taskPhase is how far a task's placement on a machine has come.
type taskPhase int

// Phases of a placement.
const (
	taskPlacing taskPhase = iota + 1 // reserved; the placement is not durable yet
	taskPlaced                       // the placement is durable; the task may be launched
)

// Task is an attempt of a job's task that is, may be or is about to be on a machine. Until
// its exit is proven it keeps its room there and counts for its team: a second attempt before
// that could run beside it (ran_twice), or exceed the team's limit.
type Task struct {
	id         model.TaskID
	assignment *Assignment // nil: the task is not wanted any more
	host       *Host
	attempt    uint64
	phase      taskPhase
	state      TaskState // as last reported, 0: not reported yet
	need       model.Resources
	team       int

	placedAt       time.Duration
	startedAt      time.Duration // when it was first reported running
	fetchStartedAt time.Duration

	launchSent    bool // a launch may have reached the worker
	launchInReply bool // a launch went into a reply to a heartbeat
	reported      bool // the worker has reported it
	inherited     bool // placed by an earlier owner

	stopping        bool
	stopRequestedAt time.Duration
	gracePeriod     float64
}

// job is the task's job, or nil if the task is not wanted any more.
func (t *Task) job() *Job {
	if t.assignment == nil {
		return nil
	}
	return t.assignment.job
}

// reserve takes a task's room on its host and from its team's quota.
func (c *Core) reserve(shard *Shard, task *Task) {
	task.host.tasks[task.id] = task
	if task.team >= 0 {
		shard.teamUsage[task.team] = shard.teamUsage[task.team].Plus(task.need)
	}
}

// release gives a task's room back. Callers have proof that the task is not on its host, or
// know that its placement never became durable.
func (c *Core) release(shard *Shard, task *Task) {
	if task.host.tasks[task.id] != task {
		return
	}
	delete(task.host.tasks, task.id)
	if len(task.host.tasks) == 0 {
		task.host.idleSince = c.now
	}
	if task.team >= 0 {
		shard.teamUsage[task.team] = shard.teamUsage[task.team].Minus(task.need)
	}
	shard.needsPlan = true
}

// rollBackPlacement undoes a placement that did not become durable.
func (c *Core) rollBackPlacement(shard *Shard, task *Task) {
	c.release(shard, task)
	if task.assignment != nil && task.assignment.tasks[task.id.Index] == task {
		delete(task.assignment.tasks, task.id.Index)
		task.assignment.waiting.Add(task.id.Index)
	}
}

// orphanTask detaches a task from its assignment, which is not this shard's any more. What
// may be on the host is stopped and keeps its room until its exit is proven.
func (c *Core) orphanTask(shard *Shard, task *Task) {
	task.assignment = nil
	if task.phase == taskPlacing {
		c.release(shard, task)
		return
	}
	c.stopTask(shard, task, 0)
}

// Assumptions of expectedEnd, in seconds.
const (
	usualRunTime    = 30.0 // of a task without a job
	usualStartTime  = 0.3  // from the launch to the start, without an image fetch
	minRemaining    = 0.5  // of a running task
	remainingPerAge = 0.35 // what a task that outlives its estimate still runs, by its age
)

// minStopTime is how long a task that is being stopped takes to leave at least.
const minStopTime = 100 * time.Millisecond

// expectedEnd is when a task should leave its host. One that outlives its estimate is
// expected to run on in proportion to its age, never to end now.
func (c *Core) expectedEnd(task *Task) time.Duration {
	if task.stopping {
		graceEnd := task.stopRequestedAt + duration(task.gracePeriod)
		return max(graceEnd, c.now+minStopTime)
	}
	estimate := usualRunTime
	job := task.job()
	if job != nil {
		estimate = c.estimatedRunTime(job)
	}
	if task.state == TaskRunning || task.state == TaskSaving {
		ran := seconds(c.now - task.startedAt)
		return c.now + duration(max(estimate-ran, remainingPerAge*ran, minRemaining))
	}
	wait := usualStartTime
	if job != nil && job.image >= 0 {
		if readyAt, fetching := task.host.fetching[job.image]; fetching {
			wait = max(seconds(readyAt-c.now), wait)
		}
	}
	return c.now + duration(wait+estimate)
}
