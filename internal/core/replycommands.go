package core

import "roadcleat/internal/model"

// Commands in replies to heartbeats. They follow from the worker's newest status and are never
// executed late: the worker has given a reply up before it sends its next heartbeat, so that
// heartbeat settles them.

// maxReplyCommands bounds the commands in one reply; the rest follow with the next.
const maxReplyCommands = 400

// replyCommands lists what the worker should do by its newest status. They take the place of
// the commands that are queued for a direct call.
func (c *Core) replyCommands(shard *Shard, host *Host) []Command {
	if !shard.loaded {
		return c.stopsOfCancelled(host)
	}
	var commands []Command
	for _, id := range sortedTasks(host.tasks) {
		if task := host.tasks[id]; task != nil && task.phase == taskPlaced {
			commands = c.appendTaskCommands(commands, host, task)
		}
	}
	for _, id := range sortedTasks(host.reported) {
		commands = c.appendCleanup(commands, shard, host, host.reported[id])
	}
	host.commands = host.commands[:0]
	return commands[:min(len(commands), maxReplyCommands)]
}

// appendTaskCommands adds the commands for a task that is placed on the host.
func (c *Core) appendTaskCommands(commands []Command, host *Host, task *Task) []Command {
	status, reported := host.reported[task.id]
	reported = reported && status.Attempt == task.attempt
	launch := Command{Verb: VerbLaunch, Task: task.id, Attempt: task.attempt}
	if !task.stopping {
		if !reported && c.mayLaunchInReply(host, task) {
			task.launchSent, task.launchInReply = true, true
			commands = append(commands, launch)
		}
		return commands
	}
	if !reported && host.inFlight(task.id, task.attempt) && task.isOfPendingJob() && c.mayStartTasks() {
		// A launch may still arrive. Once the worker knows the attempt, that has no effect any
		// more. Launching it to stop it costs a start at most; of a cancelled job nothing may
		// be started, see cancelledLaunchInFlight.
		commands = append(commands, launch)
	}
	return append(commands, Command{
		Verb:        VerbStop,
		Task:        task.id,
		Attempt:     task.attempt,
		GracePeriod: c.remainingGracePeriod(task),
	})
}

// mayLaunchInReply reports whether a task that its worker does not report may be launched. What
// an earlier owner placed is either reported or proven gone, and never launched: the proof
// rests on this owner's not launching it, see absenceProvesExit (ran_twice).
func (c *Core) mayLaunchInReply(host *Host, task *Task) bool {
	return !task.inherited && host.state == hostUp && host.reclaimedAt == 0 && c.mayStartTasks()
}

// isOfPendingJob reports whether the task is wanted by a job that has not ended.
func (t *Task) isOfPendingJob() bool {
	return t.assignment != nil && t.assignment.job.state == model.JobPending
}

// appendCleanup adds the command for a reported attempt that is not placed on the host: it is
// stopped, and forgotten once it has exited.
func (c *Core) appendCleanup(commands []Command, shard *Shard, host *Host, status TaskStatus) []Command {
	task := host.tasks[status.Task]
	switch {
	case task != nil && task.attempt == status.Attempt:
		return commands // placed here
	case status.State != TaskExited:
		return append(commands, Command{Verb: VerbStop, Task: status.Task, Attempt: status.Attempt})
	case mayForget(shard, host, status):
		return append(commands, Command{Verb: VerbForget, Task: status.Task, Attempt: status.Attempt})
	}
	return commands
}

// mayForget reports whether a worker may forget an exited attempt. A launch that arrives
// afterwards would start the attempt anew (ran_twice), so none may be in flight, and the exit
// must be durable: until then the worker's status is the only record of it.
func mayForget(shard *Shard, host *Host, status TaskStatus) bool {
	if host.inFlight(status.Task, status.Attempt) {
		return false
	}
	assignment := shard.assignments[status.Task.Job]
	if assignment == nil || assignment.job.state != model.JobPending {
		return true
	}
	exit, unrecorded := assignment.unrecordedExits[status.Task.Index]
	return !unrecorded || exit.attempt != status.Attempt
}

// stopsOfCancelled lists stops of tasks whose jobs are known to be cancelled. An owner that has
// not loaded its shard's assignments knows no more of the tasks than that.
func (c *Core) stopsOfCancelled(host *Host) []Command {
	var commands []Command
	for _, id := range sortedTasks(host.reported) {
		status := host.reported[id]
		if c.finished[id.Job] == model.JobCancelled && status.State != TaskExited {
			commands = append(commands, Command{Verb: VerbStop, Task: id, Attempt: status.Attempt})
		}
	}
	return commands
}
