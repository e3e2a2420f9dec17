package core

import (
	"time"

	"roadcleat/internal/model"
)

// Commands to workers, sent in direct calls. Such a call may be executed late or not at all, so
// each launch in it counts as in flight until its answer excludes that, see launches.go. The
// same commands are repeated in replies to heartbeats, see replycommands.go: a call only makes
// them arrive sooner.

const (
	maxCommandsPerCall  = 100
	unansweredCallPause = 3 * time.Second // no placements on the host after a call without an answer
	graceMargin         = time.Second     // beyond a task's grace period before it is ended
)

// onPlaced is called when a placement has become durable. Only then may the task be launched:
// an owner that takes the shard over must know of every attempt (ran_twice).
func (c *Core) onPlaced(shard *Shard, task *Task) {
	host := task.host
	task.phase = taskPlaced
	c.stats.Placed++
	c.info("task placed", "job", task.id.Job, "task", task.id.Index, "host", host.name, "shard", shard.name,
		"token", shard.claim.Token(), "attempt", task.attempt)
	switch {
	case host.state == hostGone:
		c.confirmExit(shard, task, false)
	case task.assignment == nil || task.assignment.job.state != model.JobPending:
		c.stopTask(shard, task, 0)
	default:
		shard.enqueue(host, Command{Verb: VerbLaunch, Task: task.id, Attempt: task.attempt})
	}
}

// stopTask stops a task, or shortens the grace period of one that is being stopped. A task that
// was launched keeps its room until its exit is proven; one of which no launch was ever sent,
// by this owner or an earlier one, is off its host at once.
func (c *Core) stopTask(shard *Shard, task *Task, gracePeriod float64) {
	if !task.launchSent && !task.inherited && !task.reported {
		task.host.dropLaunch(task)
		c.confirmExit(shard, task, false)
		return
	}
	if task.stopping && gracePeriod >= task.gracePeriod {
		return
	}
	task.stopping, task.gracePeriod, task.stopRequestedAt = true, gracePeriod, c.now
	shard.enqueue(task.host, Command{Verb: VerbStop, Task: task.id, Attempt: task.attempt, GracePeriod: gracePeriod})
}

// dropLaunch removes a task's launch from the commands that have not been sent.
func (h *Host) dropLaunch(task *Task) {
	kept := h.commands[:0]
	for _, command := range h.commands {
		if command.Verb != VerbLaunch || command.Task != task.id || command.Attempt != task.attempt {
			kept = append(kept, command)
		}
	}
	h.commands = kept
}

// remainingGracePeriod is the grace period to send with a stop: none once the task has had the
// one that it was given.
func (c *Core) remainingGracePeriod(task *Task) float64 {
	if task.gracePeriod > 0 && c.now > task.stopRequestedAt+duration(task.gracePeriod)+graceMargin {
		return 0
	}
	return task.gracePeriod
}

// enqueue queues a command for a host. sendCommands looks only at hosts that have some.
func (s *Shard) enqueue(host *Host, command Command) {
	host.commands = append(host.commands, command)
	if !host.inSendList {
		host.inSendList = true
		s.hostsWithCommands = append(s.hostsWithCommands, host)
	}
}

// sendCommands sends the queued commands, and keeps those of hosts that cannot be called yet.
func (c *Core) sendCommands(shard *Shard) {
	kept := shard.hostsWithCommands[:0]
	for _, host := range shard.hostsWithCommands {
		c.flushCommands(shard, host)
		if len(host.commands) > 0 && shard.hosts[host.name] == host {
			kept = append(kept, host)
		} else {
			host.inSendList = false
		}
	}
	shard.hostsWithCommands = kept
}

// flushCommands sends a host's queued commands in one call to its worker.
func (c *Core) flushCommands(shard *Shard, host *Host) {
	if !host.takesCommands() {
		return
	}
	commands := c.takeCommands(shard, host)
	if len(commands) == 0 {
		return
	}
	host.commandPending = true
	term := shard.claim.Term()
	operation := SendCommands{host.address, shard.claim.Token(), host.incarnation, commands}
	call(c, operation, func(res WorkerResult) {
		host.commandPending = false
		if shard.ownedIn(term) {
			c.onCommandsAnswered(shard, host, commands, res)
		}
	})
}

// takesCommands reports whether there are commands for the host and its worker can be called.
func (h *Host) takesCommands() bool {
	return len(h.commands) > 0 &&
		!h.commandPending &&
		h.address != "" &&
		h.incarnation > 0 &&
		h.state == hostUp &&
		!h.leaseExpired
}

// takeCommands takes the commands for one call off the host's queue. Launches that are out of
// date, or that must not be sent while cancellations do not arrive (ran_cancelled), are left
// out. The others count as in flight.
func (c *Core) takeCommands(shard *Shard, host *Host) []Command {
	n := min(len(host.commands), maxCommandsPerCall)
	var commands []Command
	for _, command := range host.commands[:n] {
		if command.Verb == VerbLaunch {
			task := host.tasks[command.Task]
			if !task.isLaunchable(command.Attempt) || !c.mayStartTasks() {
				continue
			}
			task.launchSent = true
			key := launchKey{command.Task, command.Attempt}
			host.launchesInFlight[key] = sentLaunch{shard.claim.Token(), host.incarnation}
		}
		commands = append(commands, command)
	}
	host.commands = append(host.commands[:0], host.commands[n:]...)
	return commands
}

// isLaunchable reports whether the attempt is the task's own, is placed and is still wanted.
// The task may be nil.
func (t *Task) isLaunchable(attempt uint64) bool {
	return t != nil && t.attempt == attempt && !t.stopping && t.phase == taskPlaced
}

// onCommandsAnswered settles a call with commands. Without an answer its launches stay in
// flight.
func (c *Core) onCommandsAnswered(shard *Shard, host *Host, commands []Command, res WorkerResult) {
	answered := res.Outcome == OutcomeOK || res.Outcome == OutcomeRefused
	c.recordWorkerAnswer(shard, host, answered)
	if res.Outcome != OutcomeUnknown {
		c.settleLaunches(shard, host, commands, res.Outcome == OutcomeNotSent)
	}
	if res.Outcome == OutcomeNotSent || res.Outcome == OutcomeUnknown {
		host.blockedUntil = max(host.blockedUntil, c.now+unansweredCallPause)
	}
	if res.Status == nil || res.Status.Host != host.name {
		return
	}
	c.applyWorkerStatus(shard, host, res.Status, false)
	if res.Outcome == OutcomeRefused && res.Status.Token > shard.claim.Token() {
		c.loseShardToHigherToken(shard)
	}
}

// settleLaunches notes that the launches of a call have arrived, were refused or were never
// sent. A task of which no launch left this controller is free to start elsewhere at once.
func (c *Core) settleLaunches(shard *Shard, host *Host, commands []Command, notSent bool) {
	for _, command := range commands {
		if command.Verb != VerbLaunch {
			continue
		}
		delete(host.launchesInFlight, launchKey{command.Task, command.Attempt})
		task := host.tasks[command.Task]
		if notSent && task != nil && task.attempt == command.Attempt && !task.launchInReply && !task.reported {
			c.confirmExit(shard, task, false)
		}
	}
}
