package core

import (
	"time"

	"roadcleat/internal/model"
)

// taskPhase is the progress of a task's placement on a machine.
type taskPhase int

// Phases of a placement.
const (
	taskPlacing taskPhase = iota + 1 // resources are reserved; the placement is not durable yet
	taskPlaced                       // the placement is durable; the task may be launched
)

// Task is an attempt of a job's task that is, may be or is about to be on a machine. Until its exit
// is proven it keeps its resources on the machine and counts against its team's limit: a second
// attempt before that could run concurrently (invariant ran_twice), or exceed the limit.
type Task struct {
	id         model.TaskID
	assignment *Assignment // nil: the task does not belong to this shard any more
	host       *Host
	attempt    uint64
	phase      taskPhase
	state      TaskState       // as last reported; 0: not reported yet
	resources  model.Resources // resources that it reserves on the host
	teamIndex  int             // index in Core.teamConfigs; -1 for an unknown team

	placedAt       time.Duration // when its resources were reserved
	startedAt      time.Duration // when it was first reported running; estimated if an earlier owner started it
	fetchStartedAt time.Duration // when it was placed; the fetch time of its image is measured from then

	launchSent           bool // a launch may have reached the worker
	launchInReply        bool // a launch was sent in a reply to a heartbeat
	reported             bool // the worker has reported the attempt to this owner
	placedByEarlierOwner bool // placed by an earlier owner

	stopping           bool          // a stop was requested
	stopRequestedAt    time.Duration // when the stop was requested, or its grace period shortened
	gracePeriodSeconds float64       // of the requested stop
}

// job returns the task's job, or nil if the task does not belong to this shard any more.
func (t *Task) job() *Job {
	if t.assignment == nil {
		return nil
	}
	return t.assignment.job
}

// reserveResources reserves a task's resources on its host and adds them to its team's usage.
func (c *Core) reserveResources(shard *Shard, task *Task) {
	task.host.tasks[task.id] = task
	if task.teamIndex >= 0 {
		shard.teamUsage[task.teamIndex] = shard.teamUsage[task.teamIndex].Plus(task.resources)
	}
}

// releaseResources releases a task's resources. Callers have proof that the task is not on its
// host, or that its placement never became durable.
func (c *Core) releaseResources(shard *Shard, task *Task) {
	if task.host.tasks[task.id] != task {
		return
	}
	delete(task.host.tasks, task.id)
	if len(task.host.tasks) == 0 {
		task.host.idleSince = c.now
	}
	if task.teamIndex >= 0 {
		shard.teamUsage[task.teamIndex] = shard.teamUsage[task.teamIndex].Minus(task.resources)
	}
	shard.needsPlan = true
}

// rollBackPlacement undoes a placement that did not become durable.
func (c *Core) rollBackPlacement(shard *Shard, task *Task) {
	c.releaseResources(shard, task)
	if task.assignment != nil && task.assignment.tasks[task.id.Index] == task {
		delete(task.assignment.tasks, task.id.Index)
		task.assignment.waiting.Add(task.id.Index)
	}
}

// detachTask detaches a task from its assignment, which does not belong to this shard any more. If
// the task may be on the host it is stopped, and keeps its resources until its exit is proven.
func (c *Core) detachTask(shard *Shard, task *Task) {
	task.assignment = nil
	if task.phase == taskPlacing {
		c.releaseResources(shard, task)
		return
	}
	c.stopTask(shard, task, 0)
}

// Assumptions of expectedExitAt.
const (
	defaultRunTimeSeconds = 30.0 // of a task whose job is unknown
	defaultStartSeconds   = 0.3  // from the launch to the start of a task, without an image fetch
	minRemainingSeconds   = 0.5  // of a running task
	overrunRemainingRatio = 0.35 // remaining run time of a task beyond its estimate, as a ratio of its run time so far
)

// minStopTime is the minimum time that a task which is being stopped is expected to remain on its
// host.
const minStopTime = 100 * time.Millisecond

// expectedExitAt forecasts when a task will leave its host. A task that exceeds its estimate is
// expected to run on for a time proportional to its run time so far, never to exit at once.
func (c *Core) expectedExitAt(task *Task) time.Duration {
	if task.stopping {
		graceEnd := task.stopRequestedAt + secondsToDuration(task.gracePeriodSeconds)
		return max(graceEnd, c.now+minStopTime)
	}
	estimate := defaultRunTimeSeconds
	job := task.job()
	if job != nil {
		estimate = c.estimatedRunSeconds(job)
	}
	if task.state == TaskRunning || task.state == TaskSaving {
		elapsedSeconds := toSeconds(c.now - task.startedAt)
		return c.now + secondsToDuration(max(estimate-elapsedSeconds, overrunRemainingRatio*elapsedSeconds, minRemainingSeconds))
	}
	startSeconds := defaultStartSeconds
	if job != nil && job.image >= 0 {
		if readyAt, fetching := task.host.fetchingUntil[job.image]; fetching {
			startSeconds = max(toSeconds(readyAt-c.now), startSeconds)
		}
	}
	return c.now + secondsToDuration(startSeconds+estimate)
}
