package core

import "time"

// What a worker's status proves. A status arrives in a heartbeat or in the answer to a call,
// possibly late or twice. It is applied only if it is newer than all applied before, and it
// proves that a task has left its host (ran_twice) only under the conditions of
// absenceProvesExit.

// Pauses after a worker refused or gave up a task.
const (
	gangRetryPause  = time.Second
	noRoomPause     = 2 * time.Second
	noSuchTaskPause = 2 * time.Second
)

// isAfter reports whether the status was written after the one with the incarnation and
// sequence number given.
func (s *WorkerStatus) isAfter(incarnation, seq uint64) bool {
	return s.Incarnation > incarnation || s.Incarnation == incarnation && s.Seq > seq
}

// isStale reports whether a status is certainly a late copy: the lease of its incarnation has
// expired, so a worker that is alive has begun a new one.
func (h *Host) isStale(status *WorkerStatus) bool {
	return h.leaseExpired && status.Incarnation <= h.incarnation
}

// applyWorkerStatus applies a worker's status. inHeartbeat says that it came in a heartbeat and
// not in the answer to a call.
func (c *Core) applyWorkerStatus(shard *Shard, host *Host, status *WorkerStatus, inHeartbeat bool) {
	c.recordCompletions(shard, status)
	if !status.isAfter(host.incarnation, host.statusSeq) || host.isStale(status) {
		return
	}
	c.updateHost(shard, host, status)
	if status.Incarnation > host.incarnation {
		c.beginIncarnation(shard, host, status.Incarnation)
	}
	host.incarnation, host.statusSeq = status.Incarnation, status.Seq
	c.recordContact(host)
	c.recordShardContact(shard)
	c.applyWorkerToken(shard, host, status.Token)
	c.applySpotNotice(shard, host, status.SpotNotice)
	host.setReported(status.Tasks)
	if shard.loaded {
		c.reconcileTasks(shard, host, inHeartbeat)
	}
}

// recordCompletions records the completions in a status, even in an old one: a result stays
// valid.
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

// updateHost notes what a status says of the machine. A machine that was booting is up.
func (c *Core) updateHost(shard *Shard, host *Host, status *WorkerStatus) {
	if host.address == "" || status.Address != "" {
		host.address = status.Address
	}
	if host.typeIndex < 0 {
		host.typeIndex = c.typeIndex.lookup(status.Type)
	}
	host.spot = status.Spot
	if host.state != hostBooting {
		return
	}
	host.state, host.since, host.idleSince = hostUp, c.now, c.now
	shard.needsPlan = true
	c.info("host up", "host", host.name, "shard", shard.name, "after", seconds(c.now-host.rentedAt))
}

// recordShardContact notes that a worker of the shard was heard.
func (c *Core) recordShardContact(shard *Shard) {
	shard.lastHeartbeatAt = c.now
	if shard.hadNoHeartbeats {
		shard.hadNoHeartbeats = false
		c.info("shard receives heartbeats again", "shard", shard.name, "token", shard.claim.Token())
	}
}

// applyWorkerToken notes the highest token that the worker has seen. It refuses launches under
// lower ones, so those can no longer arrive.
func (c *Core) applyWorkerToken(shard *Shard, host *Host, token uint64) {
	if token > host.token {
		host.token = token
		for key, launch := range host.launchesInFlight {
			if launch.token < token {
				delete(host.launchesInFlight, key)
			}
		}
	}
	if host.confirmedToken() && host.confirmedAt == 0 {
		host.confirmedAt = c.now
		shard.needsPlan = true // it can be used from now on
	}
}

// applySpotNotice notes when the cloud will take the machine back. A negative number of seconds
// means that there is no notice.
func (c *Core) applySpotNotice(shard *Shard, host *Host, inSeconds float64) {
	if inSeconds < 0 || host.reclaimedAt > 0 {
		return
	}
	host.reclaimedAt = max(c.now+duration(inSeconds), 1)
	shard.needsPlan = true
	c.info("spot notice", "host", host.name, "shard", shard.name, "in", inSeconds)
}

// setReported replaces the tasks that the worker reports, by the newest attempt of each.
func (h *Host) setReported(tasks []TaskStatus) {
	clear(h.reported)
	for _, task := range tasks {
		if other, twice := h.reported[task.Task]; !twice || task.Attempt > other.Attempt {
			h.reported[task.Task] = task
		}
	}
}

// reconcileTasks compares the tasks placed on the host with those that its worker reports.
func (c *Core) reconcileTasks(shard *Shard, host *Host, inHeartbeat bool) {
	for _, id := range sortedTasks(host.tasks) {
		task := host.tasks[id]
		if task == nil || task.phase != taskPlaced {
			continue
		}
		status, reported := host.reported[id]
		switch {
		case reported && status.Attempt == task.attempt:
			c.applyTaskStatus(shard, host, task, status)
		case reported && status.State != TaskExited:
			// Another attempt of it is on the machine: the task has not left.
		case absenceProvesExit(host, task, inHeartbeat):
			c.confirmExit(shard, task, false)
		}
	}
}

// absenceProvesExit reports whether a task that is missing from the worker's newest status is
// certainly not on the machine. Its room and its index are given to another attempt on this
// proof, so it must exclude that a launch of it still arrives (ran_twice):
//
//   - The worker has confirmed the owner's token, and refuses what earlier owners launched.
//   - No direct launch of it is unanswered, and no call with commands is open.
//   - A task placed by an earlier owner was never launched by this one.
//   - A task launched by this owner was reported before, or is to be stopped; and the status
//     came in a heartbeat. A launch in the reply to the previous heartbeat was executed or lost
//     before the worker wrote this one, which cannot be said of an answer to a call.
func absenceProvesExit(host *Host, task *Task, inHeartbeat bool) bool {
	if !host.confirmedToken() || host.inFlight(task.id, task.attempt) || host.commandPending {
		return false
	}
	if task.inherited {
		return true
	}
	return inHeartbeat && (task.reported || task.stopping)
}

// applyTaskStatus applies the status of a task that is where it should be.
func (c *Core) applyTaskStatus(shard *Shard, host *Host, task *Task, status TaskStatus) {
	task.reported = true
	if status.State == TaskRunning {
		c.recordRunning(host, task)
	}
	task.state = status.State
	if status.State == TaskExited {
		c.applyTaskExit(shard, host, task, status.Cause)
	}
}

// recordRunning notes that a task is reported running, and since when.
func (c *Core) recordRunning(host *Host, task *Task) {
	job := task.job()
	if task.state != TaskRunning {
		task.startedAt = c.now
		if job != nil && !task.inherited {
			c.emit(Observation{MetricTaskWait, seconds(c.now - job.knownSince)})
		}
		if job != nil {
			c.recordImage(host, task, job)
		}
	}
	if job != nil && task.startedAt > 0 && task.inherited && task.state == 0 {
		// An earlier owner saw it start. Half its estimate is a fair guess of when.
		task.startedAt = c.now - duration(c.estimatedRunTime(job)/2)
	}
}

// applyTaskExit draws the conclusions from a task's exit, which the worker has reported.
func (c *Core) applyTaskExit(shard *Shard, host *Host, task *Task, cause ExitCause) {
	job := task.job()
	if cause == ExitDone {
		if job != nil {
			c.recordSuccess(host, job)
		}
		if job != nil && task.startedAt > 0 && !task.inherited {
			ran := seconds(c.now - task.startedAt)
			c.judgeRunTime(shard, host, job, ran)
			c.learnRunTime(job, ran)
		}
		c.confirmExit(shard, task, true)
		return
	}
	switch cause {
	case ExitFailed:
		c.recordFailure(shard, host, task)
	case ExitGangIncomplete:
		if job != nil {
			job.holdUntil = c.now + gangRetryPause
		}
	case ExitNoRoom:
		host.blockedUntil = c.now + noRoomPause
	case ExitNoSuchTask:
		if job != nil {
			job.holdUntil = c.now + noSuchTaskPause
		}
	}
	c.confirmExit(shard, task, false)
}
