package core

import (
	"time"

	"roadcleat/internal/model"
)

// This file sends commands to workers in direct calls. Such a call may be executed late or not at
// all, or once more, so each launch in it is tracked until its later execution is ruled out, see
// launches.go. The same commands are repeated in replies to heartbeats, see replycommands.go:
// direct calls only reduce the latency.

const (
	maxCommandsPerCall  = 100
	unansweredCallPause = 3 * time.Second // no placements on the host after a call without a response
	gracePeriodMargin   = time.Second     // time after a task's grace period before the task is killed
)

// handlePlacementDurable is called when a placement has become durable. The task may be launched
// only then, because an owner that claims the shard later must be able to read every attempt from
// the state service (invariant ran_twice).
func (c *Core) handlePlacementDurable(shard *Shard, task *Task) {
	host := task.host
	task.phase = taskPlaced
	c.stats.Placed++
	c.info("task placed; the placement is durable",
		"job", task.id.Job, "task", task.id.Index, "host", host.name, "shard", shard.name,
		"token", shard.claim.Token(), "attempt", task.attempt)
	switch {
	case host.state == hostReturned:
		c.confirmExit(shard, task, false)
	case task.assignment == nil || task.assignment.job.state != model.JobPending:
		c.stopTask(shard, task, 0)
	default:
		shard.enqueueCommand(host, Command{Verb: VerbLaunch, Task: task.id, Attempt: task.attempt})
	}
}

// stopTask stops a task, or shortens the grace period of one that is already being stopped. A task
// that may have been launched keeps its resources until its exit is proven. A task for which
// neither this owner nor an earlier one sent a launch leaves its host at once.
func (c *Core) stopTask(shard *Shard, task *Task, gracePeriodSeconds float64) {
	if !task.launchSent && !task.placedByEarlierOwner && !task.reported {
		task.host.dequeueLaunch(task)
		c.confirmExit(shard, task, false)
		return
	}
	if task.stopping && gracePeriodSeconds >= task.gracePeriodSeconds {
		return
	}
	task.stopping, task.gracePeriodSeconds, task.stopRequestedAt = true, gracePeriodSeconds, c.now
	shard.enqueueCommand(task.host, Command{
		Verb:               VerbStop,
		Task:               task.id,
		Attempt:            task.attempt,
		GracePeriodSeconds: gracePeriodSeconds,
	})
}

// dequeueLaunch removes a task's launch from the commands that have not been sent yet.
func (h *Host) dequeueLaunch(task *Task) {
	remaining := h.commands[:0]
	for _, command := range h.commands {
		if command.Verb != VerbLaunch || command.Task != task.id || command.Attempt != task.attempt {
			remaining = append(remaining, command)
		}
	}
	h.commands = remaining
}

// remainingGracePeriodSeconds is the grace period to send with a stop command. It is zero once the
// task's grace period and gracePeriodMargin have passed, so that the worker kills the task.
func (c *Core) remainingGracePeriodSeconds(task *Task) float64 {
	if task.gracePeriodSeconds > 0 &&
		c.now > task.stopRequestedAt+secondsToDuration(task.gracePeriodSeconds)+gracePeriodMargin {
		return 0
	}
	return task.gracePeriodSeconds
}

// enqueueCommand queues a command for a host and adds the host to hostsWithCommands, the only hosts
// that sendQueuedCommands visits.
func (s *Shard) enqueueCommand(host *Host, command Command) {
	host.commands = append(host.commands, command)
	if !host.inCommandList {
		host.inCommandList = true
		s.hostsWithCommands = append(s.hostsWithCommands, host)
	}
}

// sendQueuedCommands sends the queued commands of all hosts. Commands for a host that can't be
// called yet stay queued.
func (c *Core) sendQueuedCommands(shard *Shard) {
	waitingHosts := shard.hostsWithCommands[:0]
	for _, host := range shard.hostsWithCommands {
		c.sendCommandsToHost(shard, host)
		if len(host.commands) > 0 && shard.hosts[host.name] == host {
			waitingHosts = append(waitingHosts, host)
		} else {
			host.inCommandList = false
		}
	}
	shard.hostsWithCommands = waitingHosts
}

// sendCommandsToHost sends a host's queued commands in one call to its worker.
func (c *Core) sendCommandsToHost(shard *Shard, host *Host) {
	if !host.hasSendableCommands() {
		return
	}
	commands := c.dequeueCommands(host, c.tokenFor(shard, host))
	if len(commands) == 0 {
		return
	}
	host.commandCallPending = true
	term := shard.claim.Term()
	operation := SendCommands{host.address, host.presentedToken, host.incarnation, commands}
	call(c, operation, func(result WorkerResult) {
		host.commandCallPending = false
		if shard.isOwnedInTerm(term) {
			c.handleCommandsResult(shard, host, commands, result)
		}
	})
}

// hasSendableCommands reports whether commands are queued for the host and its worker can be
// called.
func (h *Host) hasSendableCommands() bool {
	return len(h.commands) > 0 &&
		!h.commandCallPending &&
		h.address != "" &&
		h.incarnation > 0 &&
		h.state == hostUp &&
		!h.leaseExpired
}

// dequeueCommands removes the commands for one call from the host's queue. It drops outdated
// launches, and all launches while this controller's view of cancellations is too old to start
// tasks (invariant ran_cancelled). The launches that it returns count as sent with the given token.
func (c *Core) dequeueCommands(host *Host, token uint64) []Command {
	count := min(len(host.commands), maxCommandsPerCall)
	var commands []Command
	for _, command := range host.commands[:count] {
		if command.Verb == VerbLaunch {
			task := host.tasks[command.Task]
			if !task.isLaunchable(command.Attempt) || !c.canStartTasks() {
				continue
			}
			task.launchSent = true
			key := launchKey{command.Task, command.Attempt}
			host.sentLaunches[key] = sentLaunch{token: token, incarnation: host.incarnation}
		}
		commands = append(commands, command)
	}
	host.commands = append(host.commands[:0], host.commands[count:]...)
	return commands
}

// isLaunchable reports whether the attempt is the task's current one, its placement is durable and
// it is not being stopped. The task may be nil.
func (t *Task) isLaunchable(attempt uint64) bool {
	return t != nil && t.attempt == attempt && !t.stopping && t.phase == taskPlaced
}

// handleCommandsResult handles the result of a call with commands. Launches in a call without a
// response stay in flight.
func (c *Core) handleCommandsResult(shard *Shard, host *Host, commands []Command, result WorkerResult) {
	answered := result.Outcome == OutcomeOK || result.Outcome == OutcomeRefused
	c.recordWorkerAnswer(shard, host, answered)
	if result.Outcome != OutcomeUnknown {
		c.resolveLaunches(shard, host, commands, result.Outcome)
	}
	if result.Outcome == OutcomeNotSent || result.Outcome == OutcomeUnknown {
		host.blockedUntil = max(host.blockedUntil, c.now+unansweredCallPause)
	}
	if result.Status == nil || result.Status.Host != host.name {
		return
	}
	c.applyWorkerStatus(shard, host, result.Status, false)
	if result.Outcome == OutcomeRefused && result.Status.Token > shard.claim.Token() {
		c.loseShardToNewerOwner(shard)
	}
}

// resolveLaunches records that the launches of a call were executed, refused or never sent. A call
// that was refused or never sent is never executed. A task whose launch never left this controller
// can be started on another host at once.
func (c *Core) resolveLaunches(shard *Shard, host *Host, commands []Command, outcome Outcome) {
	for _, command := range commands {
		if command.Verb != VerbLaunch {
			continue
		}
		key := launchKey{command.Task, command.Attempt}
		launch, isSent := host.sentLaunches[key]
		if isSent && outcome == OutcomeOK {
			launch.answered = true
			host.sentLaunches[key] = launch
		} else {
			delete(host.sentLaunches, key)
		}
		task := host.tasks[command.Task]
		if outcome == OutcomeNotSent && task != nil && task.attempt == command.Attempt && !task.launchInReply && !task.reported {
			c.confirmExit(shard, task, false)
		}
	}
}
