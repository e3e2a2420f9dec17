package core

import (
	"roadcleat/internal/model"
	"time"
)

type launchKey struct {
	task    model.TaskID
	attempt uint64
}

// sentLaunch is an order that went straight to a worker and has no answer. While
// token and session match it may be executed at any later time.
type sentLaunch struct{ token, incarnation uint64 }

// onPlaced is called when a placement has become durable.
func (c *Core) onPlaced(shard *Shard, task *Task) {
	task.phase = taskPlaced
	c.stats.Placed++
	c.info("task placed", "job", task.id.Job, "task", task.id.Index, "host", task.host.name, "part", shard.name, "token", shard.claim.Token(), "attempt", task.attempt)
	host := task.host
	switch {
	case host.state == hostGone:
		c.confirmExit(shard, task, false)
	case task.assignment == nil || task.assignment.job.state != model.JobPending:
		c.stopTask(shard, task, 0)
	default:
		shard.enqueue(host, Command{Verb: VerbLaunch, Task: task.id, Attempt: task.attempt})
	}
}

// confirmExit records that a task has left its host for certain.
func (c *Core) confirmExit(shard *Shard, task *Task, done bool) {
	if task.phase == taskPlacing {
		return // decided when the transaction's outcome is known
	}
	c.release(shard, task)
	assignment := task.assignment
	if assignment == nil || assignment.tasks[task.id.Index] != task {
		return
	}
	delete(assignment.tasks, task.id.Index)
	if len(assignment.tasks) == 0 {
		assignment.lastExitAt = c.now
	}
	if assignment.job.state != model.JobPending {
		if len(assignment.tasks) == 0 {
			shard.dirty[assignment.job.id] = assignment
		}
		return
	}
	done = done && !assignment.job.spec.Service
	assignment.unrecordedExits[task.id.Index] = taskExit{task.attempt, done}
	if assignment.job.spec.Gang && !done {
		// A gang runs together or not at all.
		for _, i := range sorted(assignment.tasks) {
			other := assignment.tasks[i]
			if other == nil {
				continue
			}
			if other.phase == taskPlaced && !other.stopping {
				c.stopTask(shard, other, assignment.job.spec.SaveSeconds)
			}
		}
	}
	if done {
		assignment.done.Add(task.id.Index)
		c.stats.Finished++
	} else {
		assignment.waiting.Add(task.id.Index)
		c.stats.Requeued++
		c.info("task back in the queue", "job", task.id.Job, "task", task.id.Index, "host", task.host.name, "part", shard.name)
	}
	c.recordExit(shard, assignment, done)
	shard.needsPlan = true
}

// recordDelay is how long the end of one of a slice's tasks may wait to be
// written down together with others.
const recordDelay = 8 * time.Second

// recordExit has an end recorded. A completed task's may wait: until it is durable
// the task stays in its worker's report, where an owner that comes after me
// finds it, and the room it took is free by the report alone. What ends the
// slice, or must start again, is written at once.
func (c *Core) recordExit(shard *Shard, assignment *Assignment, done bool) {
	if !done || assignment.complete() {
		shard.dirty[assignment.job.id] = assignment
	} else if _, waits := shard.recordBy[assignment.job.id]; !waits {
		shard.recordBy[assignment.job.id] = c.now + recordDelay
	}
}

// stopTask stops a task. One that was never sent anywhere is off its host at once.
func (c *Core) stopTask(shard *Shard, task *Task, gracePeriod float64) {
	if !task.launchSent && !task.inherited && !task.reported {
		kept := task.host.commands[:0]
		for _, o := range task.host.commands {
			if o.Verb != VerbLaunch || o.Task != task.id || o.Attempt != task.attempt {
				kept = append(kept, o)
			}
		}
		task.host.commands = kept
		c.confirmExit(shard, task, false)
		return
	}
	if task.stopping && gracePeriod >= task.gracePeriod {
		return
	}
	task.stopping, task.gracePeriod, task.stopRequestedAt = true, gracePeriod, c.now
	shard.enqueue(task.host, Command{Verb: VerbStop, Task: task.id, Attempt: task.attempt, GracePeriod: gracePeriod})
}

// enqueue notes an order for a host; the part looks only at hosts that have some.
func (s *Shard) enqueue(host *Host, o Command) {
	host.commands = append(host.commands, o)
	if !host.inSendList {
		host.inSendList = true
		s.hostsWithCommands = append(s.hostsWithCommands, host)
	}
}

// sendCommands sends what hosts should do now, and keeps those it can't reach yet.
func (c *Core) sendCommands(shard *Shard) {
	kept := shard.hostsWithCommands[:0]
	for _, host := range shard.hostsWithCommands {
		if c.flushCommands(shard, host); len(host.commands) > 0 && shard.hosts[host.name] == host {
			kept = append(kept, host)
		} else {
			host.inSendList = false
		}
	}
	shard.hostsWithCommands = kept
}

// remainingGracePeriod lets a task that saves be ended when its time is up.
func (c *Core) remainingGracePeriod(task *Task) float64 {
	if task.gracePeriod > 0 && c.now > task.stopRequestedAt+duration(task.gracePeriod)+time.Second {
		return 0
	}
	return task.gracePeriod
}

func (c *Core) confirmAllExits(shard *Shard, host *Host, which func(*Task) bool) {
	for _, id := range sortedTasks(host.tasks) {
		task := host.tasks[id]
		if task != nil && task.phase == taskPlaced && which(task) {
			c.confirmExit(shard, task, false)
		}
	}
}

// flushCommands sends a host what it should do now, straight to its worker.
func (c *Core) flushCommands(shard *Shard, host *Host) {
	if len(host.commands) == 0 || host.commandPending || host.address == "" || host.incarnation == 0 || host.state != hostUp || host.leaseExpired {
		return
	}
	n := min(len(host.commands), 100)
	var commands []Command
	for _, o := range host.commands[:n] {
		if o.Verb == VerbLaunch {
			task := host.tasks[o.Task]
			if task == nil || task.attempt != o.Attempt || task.stopping || task.phase != taskPlaced || !c.mayStartTasks() {
				continue
			}
			task.launchSent = true
			host.launchesInFlight[launchKey{o.Task, o.Attempt}] = sentLaunch{shard.claim.Token(), host.incarnation}
		}
		commands = append(commands, o)
	}
	host.commands = append(host.commands[:0], host.commands[n:]...)
	if len(commands) == 0 {
		return
	}
	host.commandPending = true
	token := shard.claim.Token()
	term := shard.claim.Term()
	call(c, SendCommands{host.address, token, host.incarnation, commands}, func(res WorkerResult) {
		host.commandPending = false
		if !shard.ownedIn(term) {
			return
		}
		c.recordWorkerAnswer(shard, host, res.Outcome == OutcomeOK || res.Outcome == OutcomeRefused)
		for _, o := range commands {
			if o.Verb != VerbLaunch || res.Outcome == OutcomeUnknown {
				continue
			}
			delete(host.launchesInFlight, launchKey{o.Task, o.Attempt})
			if task := host.tasks[o.Task]; res.Outcome == OutcomeNotSent && task != nil && task.attempt == o.Attempt && !task.launchInReply && !task.reported {
				// No connection came about, so the launch has reached nobody: the
				// task is free to start elsewhere at once.
				c.confirmExit(shard, task, false)
			}
		}
		if res.Outcome == OutcomeNotSent || res.Outcome == OutcomeUnknown {
			host.blockedUntil = max(host.blockedUntil, c.now+3*time.Second)
		}
		if res.Status != nil && res.Status.Host == host.name {
			c.applyWorkerStatus(shard, host, res.Status, false)
			if res.Outcome == OutcomeRefused && res.Status.Token > shard.claim.Token() {
				c.loseShard(shard, "a worker shows a higher token")
				c.shardWatch.loaded = false
			}
		}
	})
}

// A new owner greets half as many workers at a time as it may call, so that orders to
// others find sockets and a zone of machines that do not answer costs little. Each that does
// not answer is tried less and less often; its report will tell when it is back.
const (
	minProbes         = 64 // at a time, however few calls it may have open
	probeInterval     = 2 * time.Second
	maxProbeDoublings = 3 // doublings
)

// probe makes a worker known to its new owner: an empty order with the new
// token, so that it drops what a stale owner says and shows that it hears me.
// A worker that has not reported yet is asked for its session first. An owner that is
// overloaded leaves it at the answers to reports, which carry the token as well.
func (c *Core) probe(shard *Shard, host *Host) {
	if host.token >= shard.claim.Term() || host.probing || host.address == "" || c.now < host.nextProbeAt || host.state == hostReturning || c.isOverloaded() || c.openProbes >= max(c.cfg.MaxWorkerCalls/2, minProbes) {
		return
	}
	c.openProbes++
	host.probing, host.nextProbeAt = true, c.now+probeInterval<<min(host.failedProbes, maxProbeDoublings)
	over := func() {
		c.openProbes--
		host.probing = false
	}
	term, token := shard.claim.Term(), shard.claim.Token()
	accept := func(res WorkerResult) bool {
		if !shard.ownedIn(term) {
			return false
		}
		heard := res.Status != nil && res.Status.Host == host.name
		c.recordWorkerAnswer(shard, host, heard)
		host.failedProbes++
		if heard {
			host.failedProbes = 0
			c.applyWorkerStatus(shard, host, res.Status, false)
		}
		return heard && shard.ownedIn(term)
	}
	order := func() {
		call(c, SendCommands{host.address, token, host.incarnation, nil}, func(res WorkerResult) {
			over()
			accept(res)
		})
	}
	if host.incarnation > 0 {
		order()
		return
	}
	call(c, ReadWorkerStatus{host.address}, func(res WorkerResult) {
		if accept(res) {
			order()
		} else {
			over()
		}
	})
}

// checkWorkerLease settles a silent worker's tasks once its lease must have run out:
// only I could have renewed it since it acknowledged my token, and the last
// time I did was my last answer. Clocks may drift apart.
func (c *Core) checkWorkerLease(shard *Shard, host *Host) {
	if host.leaseExpired || host.confirmedAt == 0 || host.commandPending {
		return
	}
	last := max(host.confirmedAt, host.lastAnswer)
	if c.now < last+c.cfg.WorkerLease+c.cfg.WorkerLease/500+1500*time.Millisecond {
		return
	}
	host.leaseExpired = true
	host.commands = nil
	clear(host.launchesInFlight)
	clear(host.reported)
	c.info("lease of host ran out", "host", host.name, "part", shard.name, "tasks", len(host.tasks))
	c.confirmAllExits(shard, host, func(*Task) bool { return true })
}
