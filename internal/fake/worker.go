package fake

import (
	"sort"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// Worker is a machine with its worker.
type Worker struct {
	w               *World
	name, typ, zone string
	spot            bool

	born, diedAt     time.Duration
	started          bool
	gone             bool
	deleted          bool
	hangUntil        time.Duration
	outboundCutUntil time.Duration // it opens no connection until then
	Slow             float64       // factor on run times
	Faulty           bool          // every task fails on it
	spotNotice       time.Duration // when the machine is taken, 0: not known

	incarnation, seq, token uint64
	leaseFrom               time.Duration
	node                    int
	heartbeatPending        bool
	lastSent                time.Duration
	nextAt                  time.Duration
	dirty                   bool

	tasks map[model.TaskID]*running
	disk  disk
}

type running struct {
	id      model.TaskID
	attempt uint64
	state   core.TaskState
	cause   core.ExitCause
	started time.Duration
	from    time.Duration // progress saved before it started
	epoch   int
}

func newWorker(w *World, name, typ, zone string, spot bool) *Worker {
	return &Worker{w: w, name: name, typ: typ, zone: zone, spot: spot, born: w.Now, incarnation: 1, Slow: 1,
		tasks: map[model.TaskID]*running{}}
}

func (k *Worker) boot() {
	if k.gone {
		return
	}
	k.started = true
	k.leaseFrom = k.w.Now
	k.node = k.w.Rng.IntN(len(k.w.Nodes))
	k.dirty = true
	var tick func()
	tick = func() {
		if k.gone {
			return
		}
		// A hanging machine may go on with its tasks only within its lease.
		k.expire()
		if k.w.Now >= k.hangUntil {
			k.maybeHeartbeat()
		}
		k.w.After(100*time.Millisecond, tick)
	}
	tick()
}

// Die ends the machine and all on it.
func (k *Worker) Die() {
	if !k.gone {
		k.gone, k.diedAt = true, k.w.Now
		k.forget()
	}
}

// Hang stops the machine for a while.
func (k *Worker) Hang(d time.Duration) {
	k.w.extendFaults(d)
	k.hangUntil = k.w.Now + d
}

// GiveSpotNotice announces that the cloud takes the machine away.
func (k *Worker) GiveSpotNotice(notice time.Duration) {
	k.spotNotice, k.dirty = k.w.Now+notice, true
	k.w.After(notice, func() { k.w.Cloud.Take(k.name) })
}

func (k *Worker) forget() {
	for id, t := range k.tasks {
		k.checkpoint(t)
		k.w.Referee.off(id, k)
		t.epoch++
	}
	clear(k.tasks)
	k.progress()
	k.nextImage()
}

// expire ends the session when its lease has run out.
func (k *Worker) expire() {
	if k.started && !k.gone && k.w.Now > k.leaseFrom+k.w.Cfg.WorkerLease {
		k.forget()
		k.incarnation++
		k.leaseFrom = k.w.Now
		k.dirty = true
	}
}

func (k *Worker) status() core.WorkerStatus {
	k.seq++
	r := core.WorkerStatus{Host: k.name, Address: k.name, Type: k.typ, Zone: k.zone, Spot: k.spot,
		Incarnation: k.incarnation, Seq: k.seq, Token: k.token, SpotNotice: -1}
	if k.spotNotice > 0 {
		r.SpotNotice = max((k.spotNotice - k.w.Now).Seconds(), 0)
	}
	var ids []model.TaskID
	for id := range k.tasks {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		return ids[i].Job < ids[j].Job || ids[i].Job == ids[j].Job && ids[i].Index < ids[j].Index
	})
	for _, id := range ids {
		t := k.tasks[id]
		r.Tasks = append(r.Tasks, core.TaskStatus{Task: id, Attempt: t.attempt, State: t.state, Cause: t.cause})
	}
	return r
}

func (k *Worker) maybeHeartbeat() {
	since := k.w.Now - k.lastSent
	if k.heartbeatPending || k.w.Now < k.nextAt || since < 500*time.Millisecond || since < k.w.Cfg.HeartbeatInterval && !k.dirty {
		return
	}
	if k.w.Now < k.outboundCutUntil {
		k.turn()
		return
	}
	k.heartbeatPending, k.dirty, k.lastSent = true, false, k.w.Now
	status, sent, incarnation, node := k.status(), k.w.Now, k.incarnation, k.w.Nodes[k.node]
	k.heartbeatMoment(Before, status)
	k.w.copyHeartbeat(k, status)
	if k.w.Copies != nil {
		for _, late := range k.w.Copies(k) {
			k.w.After(late, func() {
				if node.up {
					node.ask(func(req uint64) core.Event { return core.Heartbeat{RequestID: req, Status: status} }, func(core.Effect) {})
				}
			})
		}
	}
	rpc[core.Effect](k.w, k.name, node.Name, 4*time.Second, nil, func(answer func(core.Effect)) {
		if !node.up {
			answer(core.HeartbeatReply{Status: 0})
			return
		}
		k.w.delayOnWire(k, status, func() {
			node.ask(func(req uint64) core.Event { return core.Heartbeat{RequestID: req, Status: status} },
				func(reply core.Effect) { k.w.delayOnWire(k, reply, func() { answer(reply) }) })
			k.heartbeatMoment(During, status)
		})
	}, func(reply core.Effect) {
		k.w.reach(k.name, func(worker *Worker) {
			worker.heartbeatPending = false
			r, ok := reply.(core.HeartbeatReply)
			switch {
			case !ok:
				worker.turn()
			case r.Status == 200 && (worker.w.Now > sent+4*time.Second || incarnation != worker.incarnation || r.Token < worker.token):
				// Too late, of an earlier session or not entitled: dropped.
			case r.Status == 200:
				worker.seen(r.Token)
				worker.leaseFrom = sent
				worker.execute(r.Commands)
				worker.heartbeatMoment(After, status)
			case r.Status == 421 && r.Owner != "":
				for i, n := range worker.w.Nodes {
					if n.Name == r.Owner && i != worker.node {
						worker.node, worker.dirty = i, true
						return
					}
				}
				worker.turn()
			default:
				worker.turn()
			}
		})
	})
}

func (k *Worker) turn() {
	k.node = (k.node + 1) % len(k.w.Nodes)
	k.nextAt, k.dirty = k.w.Now+time.Second, true
}

func (k *Worker) seen(token uint64) {
	if token > k.token {
		k.token, k.dirty = token, true
	}
}

func (k *Worker) handleCommands(op core.SendCommands, answer func(core.Result)) {
	if op.Token < k.token || op.Incarnation != k.incarnation {
		r := k.status()
		answer(core.WorkerResult{Outcome: core.OutcomeRefused, Status: &r})
		return
	}
	k.seen(op.Token)
	k.execute(op.Commands)
	r := k.status()
	answer(core.WorkerResult{Outcome: core.OutcomeOK, Status: &r})
}

func (k *Worker) execute(commands []core.Command) {
	for _, o := range commands {
		t := k.tasks[o.Task]
		same := t != nil && t.attempt == o.Attempt
		switch {
		case o.Verb == core.VerbLaunch && !same:
			k.launch(o, t)
			k.w.commandMoments(During, nil, k, []core.Command{o})
		case o.Verb == core.VerbStop && same && t.state != core.TaskExited:
			k.stop(t, o.GracePeriod)
		case o.Verb == core.VerbForget && same && t.state == core.TaskExited:
			delete(k.tasks, o.Task)
			k.w.commandMoments(During, nil, k, []core.Command{o})
			k.w.After(soon, func() { k.w.commandMoments(After, nil, k, []core.Command{o}) })
		}
	}
}

// heartbeatMoment tells of a report with tasks, and once it has arrived of the ends in it.
func (k *Worker) heartbeatMoment(phase Phase, status core.WorkerStatus) {
	if len(status.Tasks) > 0 {
		k.w.moment(Moment{Reports, phase, nil, k, nil})
	}
	for _, t := range status.Tasks {
		if phase == During && t.Cause == core.ExitDone {
			k.w.moment(Moment{End, After, nil, k, k.w.Jobs[t.Task.Job]})
		}
	}
}

// stop stops a task. One that saves does so when it has the time.
func (k *Worker) stop(t *running, gracePeriod float64) {
	job := k.w.Jobs[t.id.Job]
	if job != nil && job.Spec.CheckpointSeconds > 0 && t.state == core.TaskRunning && gracePeriod >= job.Spec.SaveSeconds {
		t.state, k.dirty = core.TaskSaving, true
		t.epoch++
		saved := t.from + k.ran(t)
		k.step(t, t.epoch, time.Duration(job.Spec.SaveSeconds*float64(time.Second)), func() {
			job.save(t.id.Index, saved)
			k.end(t, core.ExitStopped)
		})
		return
	}
	if t.state == core.TaskSaving && gracePeriod > 0 {
		return
	}
	k.end(t, core.ExitStopped)
}

// ran is how much of its run time a running task has behind it since it started.
func (k *Worker) ran(t *running) time.Duration {
	return time.Duration(float64(k.w.Now-t.started) / k.Slow)
}

// checkpoint keeps what a task saves by itself.
func (k *Worker) checkpoint(t *running) {
	if job := k.w.Jobs[t.id.Job]; job != nil && job.Spec.CheckpointSeconds > 0 && t.state == core.TaskRunning {
		each := time.Duration(job.Spec.CheckpointSeconds * float64(time.Second))
		job.save(t.id.Index, t.from+k.ran(t)/each*each)
	}
}

func (k *Worker) launch(o core.Command, old *running) {
	t := &running{id: o.Task, attempt: o.Attempt, state: core.TaskFetching}
	job := k.w.Jobs[o.Task.Job]
	k.w.Log("%v %s launches %v attempt %d", k.w.Now, k.name, o.Task, o.Attempt)
	k.dirty = true
	if old != nil && old.state != core.TaskExited {
		return // in_use: the entry of the attempt that is there stays
	}
	k.tasks[o.Task] = t
	if job == nil {
		k.end(t, core.ExitNoSuchTask)
		return
	}
	if !k.holds(job.Spec.Need, t) {
		k.end(t, core.ExitNoRoom)
		return
	}
	epoch := t.epoch
	k.fetch(t, func() {
		if job.Finished[o.Task.Index] {
			k.end(t, core.ExitDone)
			return
		}
		t.state, t.started, k.dirty = core.TaskRunning, k.w.Now, true
		k.w.Referee.on(o.Task, k)
		k.w.moment(Moment{Launch, After, nil, k, job})
		if job.Broken || k.Faulty {
			k.step(t, epoch, 700*time.Millisecond, func() { k.end(t, core.ExitFailed) })
			return
		}
		if job.Spec.Service {
			return
		}
		t.from = job.Saved[o.Task.Index]
		run := time.Duration(float64(job.Run-t.from) * k.Slow)
		k.step(t, epoch, max(run-soon, 0), func() { k.w.moment(Moment{End, Before, nil, k, job}) })
		k.step(t, epoch, run, func() {
			job.Finished[o.Task.Index] = true
			k.end(t, core.ExitDone)
			k.w.ended(job)
			k.w.moment(Moment{End, During, nil, k, job})
		})
	})
}

// step goes on with a task after d of the machine's own time.
func (k *Worker) step(t *running, epoch int, d time.Duration, f func()) {
	k.w.After(d, func() {
		if k.gone || t.epoch != epoch {
			return
		}
		if k.w.Now < k.hangUntil {
			k.step(t, epoch, k.hangUntil-k.w.Now+time.Millisecond, f)
			return
		}
		k.expire()
		if t.epoch == epoch {
			f()
		}
	})
}

func (k *Worker) end(t *running, cause core.ExitCause) {
	k.w.Log("%v %s ends %v attempt %d cause %d", k.w.Now, k.name, t.id, t.attempt, cause)
	if t.state == core.TaskRunning || t.state == core.TaskSaving {
		k.checkpoint(t)
		k.w.Referee.off(t.id, k)
	}
	fetching := t.state == core.TaskFetching
	t.state, t.cause, k.dirty = core.TaskExited, cause, true
	t.epoch++
	if fetching { // it may have been the last to wait for its image
		k.progress()
		k.nextImage()
	}
}
