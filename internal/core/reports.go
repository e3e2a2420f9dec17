package core

import (
	"roadcleat/internal/model"
	"time"
)

// maxUnansweredCalls is how many calls in a row may stay without an answer, though the
// machine's reports come, before it is taken for deaf.
const maxUnansweredCalls = 3

// recordWorkerAnswer notes whether a call to a worker was answered. Only calls after a
// new report count: a machine that is cut off both ways is silent, not deaf.
func (c *Core) recordWorkerAnswer(shard *Shard, host *Host, ok bool) {
	if ok {
		host.unansweredCalls = 0
		return
	}
	if host.lastHeard <= host.unansweredAt || c.isOverloaded() {
		return
	}
	host.unansweredAt = c.now
	if host.unansweredCalls++; host.unansweredCalls >= maxUnansweredCalls {
		c.markUnreachable(shard, host, "its reports come, calls to it stay without an answer")
	}
}

// markUnreachable gives a machine up that reports but hears nothing. It gets no new work
// and is returned; its tasks run elsewhere on the proofs that hold for any.
func (c *Core) markUnreachable(shard *Shard, host *Host, why string) {
	if host.unreachable {
		return
	}
	host.unreachable = true
	shard.needsPlan = true
	c.info("host is deaf", "host", host.name, "part", shard.name, "why", why)
}

// handleHeartbeat answers a worker's report.
func (c *Core) handleHeartbeat(e Heartbeat) {
	status := &e.Status
	shard := c.shards[c.zoneIndex(status.Zone)]
	if !shard.claim.Owned() || shard.claim.HandingOver() {
		if c.foreignHeartbeats[status.Zone] == nil {
			c.foreignHeartbeats[status.Zone] = map[string]time.Duration{}
		}
		c.foreignHeartbeats[status.Zone][status.Host] = c.now
		r := HeartbeatReply{RequestID: e.RequestID, Status: 421}
		if peer := c.peer(shard.claim.Owner()); peer != nil && c.now < peer.lastHeardAt+3*time.Second {
			r.Owner = peer.Label
		} else if shard.claim.Owner() == c.cfg.Label || shard.claim.Pending() {
			r.Status = 503
		}
		c.emit(r)
		return
	}
	if status.Token > shard.claim.Token() {
		// Somebody was entitled after me: step down at once.
		c.loseShard(shard, "a worker shows a higher token")
		c.shardWatch.loaded = false
		c.emit(HeartbeatReply{RequestID: e.RequestID, Status: 421})
		return
	}
	if _, gone := shard.returnedHosts[status.Host]; gone || !c.mayAnswerWorkers() || !c.knowsCancellations(shard) {
		c.emit(HeartbeatReply{RequestID: e.RequestID, Status: 503})
		return
	}
	host := c.hostByName(shard, status.Host)
	late := status.Incarnation < host.incarnation || status.Incarnation == host.incarnation && status.Seq <= host.heartbeatSeq || host.isStale(status)
	c.applyWorkerStatus(shard, host, status, true)
	if late || !shard.claim.Owned() || host.state == hostGone {
		c.emit(HeartbeatReply{RequestID: e.RequestID, Status: 503})
		return
	}
	host.heartbeatSeq = status.Seq
	if c.cancelledLaunchInFlight(shard, host) {
		if !shard.claim.TokenRaiseRequested() {
			shard.claim.RaiseTokenAt(c.now + raiseTokenPause)
		}
		c.emit(HeartbeatReply{RequestID: e.RequestID, Status: 503})
		return
	}
	host.lastAnswer, host.leaseExpired = c.now, false
	c.recordContact(host)
	c.probe(shard, host)
	c.emit(HeartbeatReply{RequestID: e.RequestID, Status: 200, Token: shard.claim.Token(), Commands: c.commandsFor(shard, host)})
}

// commandsFor lists what the worker should do by its newest report. They go into
// the answer to a report, which is never executed late, and every such answer
// is settled when the next report comes.
func (c *Core) commandsFor(shard *Shard, host *Host) []Command {
	if !shard.loaded {
		return c.stopsOfCancelled(host)
	}
	if len(host.tasks)+len(host.reported) == 0 {
		host.commands = host.commands[:0]
		return nil
	}
	var out []Command
	for _, id := range sortedTasks(host.tasks) {
		task := host.tasks[id]
		if task == nil || task.phase != taskPlaced {
			continue
		}
		r, shown := host.reported[id]
		shown = shown && r.Attempt == task.attempt
		// What an earlier owner placed is either shown or settled, never launched
		// from here: its proof of absence rests on no launch of mine.
		if !shown && !task.stopping && !task.inherited && host.state == hostUp && host.reclaimedAt == 0 && c.mayStartTasks() {
			out = append(out, Command{Verb: VerbLaunch, Task: id, Attempt: task.attempt})
			task.launchSent, task.launchInReply = true, true
		}
		if task.stopping {
			if _, inFlight := host.launchesInFlight[launchKey{id, task.attempt}]; inFlight && !shown {
				// The launch may still come. Once the worker knows the attempt, it
				// has no effect any more. While the job lives that costs a start
				// at most; after a withdrawal see launchMayCome.
				if task.assignment != nil && task.assignment.job.state == model.JobPending && c.mayStartTasks() {
					out = append(out, Command{Verb: VerbLaunch, Task: id, Attempt: task.attempt})
				}
			}
			out = append(out, Command{Verb: VerbStop, Task: id, Attempt: task.attempt, GracePeriod: c.remainingGracePeriod(task)})
		}
	}
	for _, id := range sortedTasks(host.reported) {
		r := host.reported[id]
		task := host.tasks[id]
		switch {
		case task != nil && task.attempt == r.Attempt:
		case r.State != TaskExited:
			out = append(out, Command{Verb: VerbStop, Task: id, Attempt: r.Attempt})
		case c.mayForget(shard, host, r):
			out = append(out, Command{Verb: VerbForget, Task: id, Attempt: r.Attempt})
		}
	}
	host.commands = host.commands[:0]
	if len(out) > 400 {
		out = out[:400]
	}
	return out
}

// cancelledLaunchInFlight says whether the worker may still take a launch of a withdrawn job. It
// does until it shows the attempt, sees a raised token or its session ends: while the
// token can't be raised, as when the state service is out, it must not be answered.
func (c *Core) cancelledLaunchInFlight(shard *Shard, host *Host) bool {
	for k, l := range host.launchesInFlight {
		if c.finished[k.task.Job] == model.JobCancelled && l.token == shard.claim.Token() && host.reported[k.task].Attempt != k.attempt {
			return true
		}
	}
	return false
}

// stopsOfCancelled lists halts of what is known to be withdrawn. An owner that can't read its
// slices knows no more of its tasks than that.
func (c *Core) stopsOfCancelled(host *Host) []Command {
	var out []Command
	for _, id := range sortedTasks(host.reported) {
		if r := host.reported[id]; c.finished[id.Job] == model.JobCancelled && r.State != TaskExited {
			out = append(out, Command{Verb: VerbStop, Task: id, Attempt: r.Attempt})
		}
	}
	return out
}

// mayForget guards against a launch that comes after its attempt was cleared:
// the worker would take it for a new one. So the end must be durable and no
// launch of the attempt may be under way.
func (c *Core) mayForget(shard *Shard, host *Host, r TaskStatus) bool {
	if _, inFlight := host.launchesInFlight[launchKey{r.Task, r.Attempt}]; inFlight {
		return false
	}
	assignment := shard.assignments[r.Task.Job]
	if assignment == nil || assignment.job.state != model.JobPending {
		return true
	}
	o, pending := assignment.unrecordedExits[r.Task.Index]
	return !pending || o.attempt != r.Attempt
}

// isStale says whether a report is certainly an old copy: the lease of its
// session has run out, so a worker that lives has begun a new one.
func (h *Host) isStale(rep *WorkerStatus) bool {
	return h.leaseExpired && rep.Incarnation <= h.incarnation
}

func (c *Core) recordContact(h *Host) { h.lastHeard, h.notListening = c.now, 0 }

// silentFor is how long nothing came from the host while this controller listened.
func (c *Core) silentFor(h *Host) time.Duration { return c.now - h.lastHeard - h.notListening }

// applyWorkerStatus takes in a worker's report, however it came.
func (c *Core) applyWorkerStatus(shard *Shard, host *Host, status *WorkerStatus, own bool) {
	for _, r := range status.Tasks {
		// Completed work counts even when the report is old.
		if r.State == TaskExited && r.Cause == ExitDone && shard.loaded {
			c.recordCompletion(shard, host, r)
		}
	}
	if status.Incarnation < host.incarnation || status.Incarnation == host.incarnation && status.Seq <= host.statusSeq || host.isStale(status) {
		return
	}
	if host.address == "" || status.Address != "" {
		host.address = status.Address
	}
	if host.typeIndex < 0 {
		host.typeIndex = c.typeIndex.lookup(status.Type)
	}
	host.spot = status.Spot
	if host.state == hostBooting {
		host.state, host.since, host.idleSince = hostUp, c.now, c.now
		shard.needsPlan = true
		c.info("host up", "host", host.name, "part", shard.name, "after", seconds(c.now-host.rentedAt))
	}
	if status.Incarnation > host.incarnation {
		c.beginIncarnation(shard, host, status.Incarnation)
	}
	host.incarnation, host.statusSeq = status.Incarnation, status.Seq
	c.recordContact(host)
	if shard.lastHeartbeatAt = c.now; shard.hadNoHeartbeats {
		shard.hadNoHeartbeats = false
		c.info("part heard again", "part", shard.name, "token", shard.claim.Token())
	}
	if status.Token > host.token {
		host.token = status.Token
		for k, l := range host.launchesInFlight {
			if l.token < status.Token {
				delete(host.launchesInFlight, k)
			}
		}
	}
	if host.token >= shard.claim.Term() && host.confirmedAt == 0 {
		host.confirmedAt = c.now
		shard.needsPlan = true // it may be used from now on
	}
	if status.SpotNotice >= 0 && host.reclaimedAt == 0 {
		host.reclaimedAt = max(c.now+duration(status.SpotNotice), 1)
		shard.needsPlan = true
		c.info("host recalled", "host", host.name, "part", shard.name, "in", status.SpotNotice)
	}
	clear(host.reported)
	for _, r := range status.Tasks {
		if old, twice := host.reported[r.Task]; !twice || r.Attempt > old.Attempt {
			host.reported[r.Task] = r
		}
	}
	if !shard.loaded {
		return
	}
	for _, id := range sortedTasks(host.tasks) {
		task := host.tasks[id]
		if task == nil || task.phase != taskPlaced {
			continue
		}
		if r, ok := host.reported[id]; ok && r.Attempt == task.attempt {
			c.applyTaskStatus(shard, host, task, r)
			continue
		} else if ok && r.State != TaskExited {
			continue // another attempt of it is there: the task has not left
		}
		_, inFlight := host.launchesInFlight[launchKey{id, task.attempt}]
		if host.token < shard.claim.Term() || inFlight || host.commandPending {
			continue
		}
		switch {
		case task.inherited:
			// Not there, under my token, and I have never launched it.
			c.confirmExit(shard, task, false)
		case own && (task.reported || task.stopping):
			// Launches in the answer to the previous report are settled too.
			c.confirmExit(shard, task, false)
		}
	}
}

// beginIncarnation: the worker's lease had run out, and it has killed and forgotten
// every task of earlier sessions. Late orders of earlier sessions are refused.
func (c *Core) beginIncarnation(shard *Shard, host *Host, incarnation uint64) {
	for k, l := range host.launchesInFlight {
		if l.incarnation < incarnation {
			delete(host.launchesInFlight, k)
		}
	}
	if host.incarnation == 0 {
		return
	}
	c.info("host has a new session", "host", host.name, "part", shard.name, "session", incarnation)
	if host.confirmedAt > 0 && host.lastAnswer > 0 && c.now < host.lastAnswer+c.cfg.WorkerLease && (c.clockJumpAt == 0 || c.now > c.clockJumpAt+c.cfg.WorkerLease) {
		// A report was answered within the lease, and yet it ran out: the
		// answer did not arrive. That one was sent proves nothing. Not so after
		// this controller stood still: it then answers reports that had waited
		// for it and that their workers had given up, of all machines of a part.
		c.markUnreachable(shard, host, "its lease ran out though it was answered")
	}
	if shard.loaded {
		// What an earlier owner launched was launched before the worker knew my
		// token. Only if it knew it in the session that ended was that before
		// the new session too: the first report I saw may have been a late one.
		known := host.confirmedAt > 0
		c.confirmAllExits(shard, host, func(t *Task) bool { return t.launchSent || t.inherited && known })
	}
	if host.confirmedAt > 0 {
		// The new session has a whole lease from its beginning, which is not later
		// than now. Counted from when the one before had shown my token, it would
		// seem over while what was started in the new one still runs.
		host.confirmedAt = c.now
	}
	clear(host.images)
	clear(host.fetching)
}

// recordCompletion records a task's completion. It may be a leftover of an attempt
// that was given up; the result is kept, so the task is done either way.
func (c *Core) recordCompletion(shard *Shard, _ *Host, r TaskStatus) {
	assignment := shard.assignments[r.Task.Job]
	if assignment == nil || assignment.job.state != model.JobPending || assignment.job.spec.Service {
		return
	}
	i := r.Task.Index
	if assignment.waiting.Has(i) {
		assignment.waiting.Remove(i)
		assignment.done.Add(i)
		assignment.unrecordedExits[i] = taskExit{max(r.Attempt, assignment.lastAttempt), true}
		c.recordExit(shard, assignment, true)
	}
}

// applyTaskStatus follows a task's state on its worker.
func (c *Core) applyTaskStatus(shard *Shard, host *Host, task *Task, r TaskStatus) {
	task.reported = true
	if r.State == TaskRunning && task.state != TaskRunning {
		task.startedAt = c.now
		if j := task.job(); j != nil && !task.inherited {
			c.emit(Observation{MetricTaskWait, seconds(c.now - j.knownSince)})
		}
		if j := task.job(); j != nil {
			c.recordImage(host, task, j)
		}
	}
	if r.State == TaskRunning && task.startedAt > 0 && task.inherited && task.state == 0 {
		// Its true start is unknown; half its estimate is a fair guess.
		if j := task.job(); j != nil {
			task.startedAt = c.now - duration(c.estimatedRunTime(j)/2)
		}
	}
	task.state = r.State
	if r.State != TaskExited {
		return
	}
	switch r.Cause {
	case ExitDone:
		if j := task.job(); j != nil {
			c.recordSuccess(host, j)
		}
		if job := task.job(); job != nil && task.startedAt > 0 && !task.inherited {
			c.judgeRunTime(shard, host, job, seconds(c.now-task.startedAt))
			c.learnRunTime(job, seconds(c.now-task.startedAt))
		}
		c.confirmExit(shard, task, true)
		return
	case ExitFailed:
		c.recordFailure(shard, host, task)
	case ExitGangIncomplete:
		if j := task.job(); j != nil {
			j.holdUntil = c.now + time.Second
		}
	case ExitNoRoom:
		host.blockedUntil = c.now + 2*time.Second
	case ExitNoSuchTask:
		if j := task.job(); j != nil {
			j.holdUntil = c.now + 2*time.Second
		}
	}
	c.confirmExit(shard, task, false)
}
