package core

import "roadcleat/internal/model"

// This file computes the commands in replies to heartbeats from the worker's newest status. They
// are never executed late: a worker discards a pending reply before it sends its next heartbeat, so
// that heartbeat shows whether the commands were executed.

// maxCommandsPerReply bounds the commands in one reply. The remaining commands follow in the next
// reply.
const maxCommandsPerReply = 400

// replyCommands lists the commands that bring the worker from its newest status to the wanted
// state. They replace the commands that are queued for a direct call.
func (c *Core) replyCommands(shard *Shard, host *Host) []Command {
	if !shard.loaded {
		return c.stopCommandsForCancelled(host)
	}
	var commands []Command
	for _, id := range sortedTaskIDs(host.tasks) {
		if task := host.tasks[id]; task != nil && task.phase == taskPlaced {
			commands = c.appendTaskCommands(commands, host, task)
		}
	}
	for _, id := range sortedTaskIDs(host.reportedTasks) {
		commands = c.appendCleanupCommand(commands, shard, host, host.reportedTasks[id])
	}
	for _, status := range host.earlierAttempts {
		commands = c.appendCleanupCommand(commands, shard, host, status)
	}
	host.commands = host.commands[:0]
	return commands[:min(len(commands), maxCommandsPerReply)]
}

// appendTaskCommands appends the commands for a task that is placed on the host.
func (c *Core) appendTaskCommands(commands []Command, host *Host, task *Task) []Command {
	status, reported := host.reportedTasks[task.id]
	reported = reported && status.Attempt == task.attempt
	launch := Command{Verb: VerbLaunch, Task: task.id, Attempt: task.attempt}
	if !task.stopping {
		if !reported && c.canLaunchInReply(host, task) {
			task.launchSent, task.launchInReply = true, true
			commands = append(commands, launch)
		}
		return commands
	}
	if !reported && host.isLaunchInFlight(task.id, task.attempt) && task.isOfPendingJob() && c.canStartTasks() {
		// A launch may still arrive. Once the worker has received the attempt, a second launch of
		// it has no effect. So the attempt is launched and stopped in the same reply, which costs
		// at most one start. Tasks of a cancelled job must not be started at all, see
		// hasCancelledLaunchInFlight.
		commands = append(commands, launch)
	}
	return append(commands, Command{
		Verb:               VerbStop,
		Task:               task.id,
		Attempt:            task.attempt,
		GracePeriodSeconds: c.remainingGracePeriodSeconds(task),
	})
}

// canLaunchInReply reports whether a task that its worker does not report may be launched in a
// reply. A task placed by an earlier owner is never launched: absenceProvesExit relies on this
// owner not launching it (invariant ran_twice). Its worker reports it, or its exit is confirmed.
func (c *Core) canLaunchInReply(host *Host, task *Task) bool {
	return !task.placedByEarlierOwner && host.state == hostUp && host.reclaimAt == 0 && c.canStartTasks()
}

// isOfPendingJob reports whether the task is assigned to this shard and its job is unfinished.
func (t *Task) isOfPendingJob() bool {
	return t.assignment != nil && t.assignment.job.state == model.JobPending
}

// appendCleanupCommand appends the command for a reported attempt that is not placed on the host.
// The attempt is stopped, and forgotten once it has exited. If only a launch that may be executed
// again prevents that, a higher token is requested, under which the worker refuses the launch.
func (c *Core) appendCleanupCommand(commands []Command, shard *Shard, host *Host, status TaskStatus) []Command {
	task := host.tasks[status.Task]
	switch {
	case task != nil && task.attempt == status.Attempt:
		return commands // appendTaskCommands handles the attempt
	case status.State != TaskExited:
		return append(commands, Command{Verb: VerbStop, Task: status.Task, Attempt: status.Attempt})
	case !isExitRecorded(shard, status):
		return commands
	case c.mayLaunchAgain(shard, host, status):
		if host.sentLaunches[launchKey{status.Task, status.Attempt}].token >= shard.claim.Token() {
			shard.claim.RequestTokenRaise(c.now + forgetTokenRaiseDelay)
		}
		return commands
	}
	delete(host.sentLaunches, launchKey{status.Task, status.Attempt})
	return append(commands, Command{Verb: VerbForgetExited, Task: status.Task, Attempt: status.Attempt})
}

// mayLaunchAgain reports whether a launch could start an exited attempt again if the worker forgot
// the attempt (invariants ran_twice, ran_cancelled): the launch was sent in a direct call, and the
// worker has not reported a higher token or a new incarnation since. A task that has completed keeps
// its result. If it is launched again it does not run, so only a launch without a response counts.
func (c *Core) mayLaunchAgain(shard *Shard, host *Host, status TaskStatus) bool {
	launch, isSent := host.sentLaunches[launchKey{status.Task, status.Attempt}]
	return isSent && !(launch.answered && c.isResultKept(shard, status))
}

// isResultKept reports whether an exited task has completed. The replicas of services have no result.
func (c *Core) isResultKept(shard *Shard, status TaskStatus) bool {
	if c.finalJobStates[status.Task.Job] == model.JobDone {
		return true
	}
	assignment := shard.assignments[status.Task.Job]
	return status.Cause == ExitDone && assignment != nil && !assignment.job.spec.Service
}

// isExitRecorded reports whether an exit is durable. Until then the worker's status is its only
// record, and the worker must not forget the attempt.
func isExitRecorded(shard *Shard, status TaskStatus) bool {
	assignment := shard.assignments[status.Task.Job]
	if assignment == nil || assignment.job.state != model.JobPending {
		return true
	}
	exit, unrecorded := assignment.unrecordedExits[status.Task.Index]
	return !unrecorded || exit.attempt != status.Attempt
}

// stopCommandsForCancelled lists stop commands for reported tasks of cancelled jobs. An owner that
// has not loaded its shard's assignments has no other information about the tasks.
func (c *Core) stopCommandsForCancelled(host *Host) []Command {
	var commands []Command
	for _, id := range sortedTaskIDs(host.reportedTasks) {
		status := host.reportedTasks[id]
		if c.finalJobStates[id.Job] == model.JobCancelled && status.State != TaskExited {
			commands = append(commands, Command{Verb: VerbStop, Task: id, Attempt: status.Attempt})
		}
	}
	return commands
}
