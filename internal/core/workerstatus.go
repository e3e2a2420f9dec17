package core

import "time"

// This file applies worker statuses. A status arrives in a heartbeat or in the response to a call,
// possibly delayed or duplicated. It is applied only if it is newer than all statuses applied
// before. A status without a task proves that the task has left its host only under the conditions
// of absenceProvesExit (invariant ran_twice: no task runs on two machines at once).

// Delays before the next start after a worker refused or abandoned a task.
const (
	gangRetryPause  = time.Second     // of the job, after ExitGangIncomplete
	noCapacityPause = 2 * time.Second // of all placements on the host, after ExitNoCapacity
	noSuchTaskPause = 2 * time.Second // of the job, after ExitNoSuchTask
)

// isNewerThan reports whether the status was written after the one with the given incarnation and
// sequence number.
func (s *WorkerStatus) isNewerThan(incarnation, seq uint64) bool {
	return s.Incarnation > incarnation || s.Incarnation == incarnation && s.Seq > seq
}

// isStale reports whether a status is certainly a delayed copy: the lease of its incarnation has
// expired, so a live worker has started a new incarnation.
func (h *Host) isStale(status *WorkerStatus) bool {
	return h.leaseExpired && status.Incarnation <= h.incarnation
}

// applyWorkerStatus applies a worker's status. inHeartbeat is true for a status from a heartbeat,
// false for one from the response to a call.
func (c *Core) applyWorkerStatus(shard *Shard, host *Host, status *WorkerStatus, inHeartbeat bool) {
	c.recordCompletions(shard, status)
	if !status.isNewerThan(host.incarnation, host.statusSeq) || host.isStale(status) {
		return
	}
	c.updateHost(shard, host, status)
	if status.Incarnation > host.incarnation {
		c.handleNewIncarnation(shard, host, status.Incarnation)
	}
	host.incarnation, host.statusSeq = status.Incarnation, status.Seq
	c.recordContact(host)
	c.recordShardContact(shard)
	c.recordWorkerToken(shard, host, status.Token)
	c.recordSpotNotice(shard, host, status.SpotNoticeSeconds)
	host.setReportedTasks(status.Tasks)
	if shard.loaded {
		c.reconcileTasks(shard, host, inHeartbeat)
	}
}

// recordCompletions records the completions that a status reports. An outdated status is used as
// well, because a completed task stays completed.
func (c *Core) recordCompletions(shard *Shard, status *WorkerStatus) {
	if !shard.loaded {
		return
	}
	for _, task := range status.Tasks {
		if task.State == TaskExited && task.Cause == ExitDone {
			c.recordCompletion(shard, task)
		}
	}
}

// updateHost updates the machine's properties from a status. A machine that was booting is now up.
func (c *Core) updateHost(shard *Shard, host *Host, status *WorkerStatus) {
	if host.address == "" || status.Address != "" {
		host.address = status.Address
	}
	if host.typeIndex < 0 {
		host.typeIndex = c.typeNames.lookup(status.Type)
	}
	host.spot = status.Spot
	if host.state != hostBooting {
		return
	}
	host.state, host.addedOrUpAt, host.idleSince = hostUp, c.now, c.now
	shard.needsPlan = true
	c.info("machine is up: received the first status of its worker",
		"host", host.name, "shard", shard.name, "after", toSeconds(c.now-host.rentedAt))
}

// recordShardContact records that a worker of the shard has just sent a status.
func (c *Core) recordShardContact(shard *Shard) {
	shard.lastContactAt = c.now
	if shard.heartbeatOutageLogged {
		shard.heartbeatOutageLogged = false
		c.info("received a worker status for a shard whose workers were silent",
			"shard", shard.name, "token", shard.claim.Token())
	}
}

// recordWorkerToken records the highest token that the worker has received. The worker refuses
// launches with lower tokens from then on.
func (c *Core) recordWorkerToken(shard *Shard, host *Host, token uint64) {
	if token > host.token {
		host.token = token
		for key, launch := range host.sentLaunches {
			if launch.token < token {
				delete(host.sentLaunches, key)
			}
		}
	}
	if host.hasConfirmedToken() && host.tokenConfirmedAt == 0 {
		host.tokenConfirmedAt = c.now
		shard.needsPlan = true // placements on the host are allowed from now on
	}
}

// recordSpotNotice records when the cloud will reclaim the spot instance. A negative number of
// seconds means that the status contains no spot notice.
func (c *Core) recordSpotNotice(shard *Shard, host *Host, inSeconds float64) {
	if inSeconds < 0 || host.reclaimAt > 0 {
		return
	}
	// The time is at least 1 ns, because 0 means that there is no spot notice.
	host.reclaimAt = max(c.now+secondsToDuration(inSeconds), 1)
	shard.needsPlan = true
	c.info("received a spot notice", "host", host.name, "shard", shard.name, "in", inSeconds)
}

// setReportedTasks replaces the set of tasks that the worker reports. A task's newest attempt is kept
// apart from earlier ones, which have exited and are not forgotten yet.
func (h *Host) setReportedTasks(tasks []TaskStatus) {
	clear(h.reportedTasks)
	h.earlierAttempts = h.earlierAttempts[:0]
	for _, task := range tasks {
		newest, isReported := h.reportedTasks[task.Task]
		switch {
		case !isReported:
			h.reportedTasks[task.Task] = task
		case task.Attempt > newest.Attempt:
			h.reportedTasks[task.Task] = task
			h.earlierAttempts = append(h.earlierAttempts, newest)
		default:
			h.earlierAttempts = append(h.earlierAttempts, task)
		}
	}
}

// reconcileTasks compares the tasks placed on the host with the tasks that its worker reports.
func (c *Core) reconcileTasks(shard *Shard, host *Host, inHeartbeat bool) {
	for _, id := range sortedTaskIDs(host.tasks) {
		task := host.tasks[id]
		if task == nil || task.phase != taskPlaced {
			continue
		}
		status, reported := host.reportedTasks[id]
		switch {
		case reported && status.Attempt == task.attempt:
			c.applyTaskStatus(shard, host, task, status)
		case reported && status.State != TaskExited:
			// Another attempt of the task is on the machine, so its absence is not proven.
		case absenceProvesExit(host, task, inHeartbeat):
			c.confirmExit(shard, task, false)
		}
	}
}

// absenceProvesExit reports whether a task that is missing from the worker's newest status is
// certainly not on the machine. Its resources and its index are then assigned to another attempt,
// so a launch of it must be unable to arrive any more (invariant ran_twice):
//
//   - The worker has confirmed the owner's token, and refuses launches of earlier owners.
//   - No call with a launch of the task is unanswered, and no call with commands is in progress.
//   - A task placed by an earlier owner was never launched by this owner.
//   - A task launched by this owner was reported before, or is being stopped, and the status came
//     in a heartbeat. The worker executed the launch in the reply to its previous heartbeat, or
//     lost that reply, before it wrote this heartbeat. A response to a call gives no such
//     guarantee.
func absenceProvesExit(host *Host, task *Task, inHeartbeat bool) bool {
	if !host.hasConfirmedToken() || host.isLaunchInFlight(task.id, task.attempt) || host.commandCallPending {
		return false
	}
	if task.placedByEarlierOwner {
		return true
	}
	return inHeartbeat && (task.reported || task.stopping)
}

// applyTaskStatus applies the status of a task that is placed on the host.
func (c *Core) applyTaskStatus(shard *Shard, host *Host, task *Task, status TaskStatus) {
	task.reported = true
	if status.State == TaskRunning {
		c.recordTaskRunning(host, task)
	}
	task.state = status.State
	if status.State == TaskExited {
		c.applyTaskExit(shard, host, task, status.Cause)
	}
}

// recordTaskRunning records that the worker reports a task as running. A change from another state
// sets the task's start time.
func (c *Core) recordTaskRunning(host *Host, task *Task) {
	job := task.job()
	if task.state != TaskRunning {
		task.startedAt = c.now
		if job != nil && !task.placedByEarlierOwner {
			c.emit(Observation{MetricTaskWaitSeconds, toSeconds(c.now - job.firstSeenAt)})
		}
		if job != nil {
			c.recordCachedImage(host, task, job)
		}
	}
	if job != nil && task.startedAt > 0 && task.placedByEarlierOwner && task.state == 0 {
		// An earlier owner observed the start, so its time is unknown here. Half of the estimated
		// run time is assumed to have passed.
		task.startedAt = c.now - secondsToDuration(c.estimatedRunSeconds(job)/2)
	}
}

// applyTaskExit handles a task's exit that the worker has reported: it updates run-time estimates,
// failure counts and retry delays by the cause, and confirms the exit.
func (c *Core) applyTaskExit(shard *Shard, host *Host, task *Task, cause ExitCause) {
	job := task.job()
	if cause == ExitDone {
		if job != nil {
			c.recordTaskSuccess(host, job)
		}
		if job != nil && task.startedAt > 0 && !task.placedByEarlierOwner {
			runTimeSeconds := toSeconds(c.now - task.startedAt)
			c.assessRunTime(shard, host, job, runTimeSeconds)
			c.updateRunTimeRatio(job, runTimeSeconds)
		}
		c.confirmExit(shard, task, true)
		return
	}
	switch cause {
	case ExitFailed:
		c.recordTaskFailure(shard, host, task)
	case ExitGangIncomplete:
		if job != nil {
			job.launchesHeldUntil = c.now + gangRetryPause
		}
	case ExitNoCapacity:
		host.blockedUntil = c.now + noCapacityPause
	case ExitNoSuchTask:
		if job != nil {
			job.launchesHeldUntil = c.now + noSuchTaskPause
		}
	}
	c.confirmExit(shard, task, false)
}
