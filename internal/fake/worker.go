package fake

import (
	"sort"
	"time"

	"roadcleat/internal/core"
)

// Worker is a machine with its worker.
type Worker struct {
	w               *World
	name, typ, zone string
	spot            bool

	born, diedAt time.Duration
	started      bool
	gone         bool
	deleted      bool
	hangUntil    time.Duration
	muteUntil    time.Duration // it opens no connection until then
	Slow         float64       // factor on run times
	Faulty       bool          // every task fails on it
	notice       time.Duration // when the machine is taken, 0: not known

	session, seq, token uint64
	leaseFrom           time.Duration
	node                int
	flying              bool
	lastSent            time.Duration
	nextAt              time.Duration
	dirty               bool

	tasks map[core.TaskID]*running
	disk  disk
}

type running struct {
	id      core.TaskID
	attempt uint64
	state   int
	cause   int
	started time.Duration
	from    time.Duration // progress saved before it started
	epoch   int
}

func newWorker(w *World, name, typ, zone string, spot bool) *Worker {
	return &Worker{w: w, name: name, typ: typ, zone: zone, spot: spot, born: w.Now, session: 1, Slow: 1,
		tasks: map[core.TaskID]*running{}}
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
			k.maybeBeat()
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
	k.w.trouble(d)
	k.hangUntil = k.w.Now + d
}

// Recall announces that the cloud takes the machine away.
func (k *Worker) Recall(notice time.Duration) {
	k.notice, k.dirty = k.w.Now+notice, true
	k.w.After(notice, func() { k.w.Cloud.Take(k.name) })
}

func (k *Worker) forget() {
	for id, t := range k.tasks {
		k.bookmark(t)
		k.w.Referee.off(id, k)
		t.epoch++
	}
	clear(k.tasks)
	k.progress()
	k.nextImage()
}

// expire ends the session when its lease has run out.
func (k *Worker) expire() {
	if k.started && !k.gone && k.w.Now > k.leaseFrom+k.w.Cfg.Lease {
		k.forget()
		k.session++
		k.leaseFrom = k.w.Now
		k.dirty = true
	}
}

func (k *Worker) report() core.Report {
	k.seq++
	r := core.Report{Host: k.name, Addr: k.name, Type: k.typ, Zone: k.zone, Spot: k.spot,
		Session: k.session, Seq: k.seq, Token: k.token, Notice: -1}
	if k.notice > 0 {
		r.Notice = max((k.notice - k.w.Now).Seconds(), 0)
	}
	var ids []core.TaskID
	for id := range k.tasks {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		return ids[i].Job < ids[j].Job || ids[i].Job == ids[j].Job && ids[i].Index < ids[j].Index
	})
	for _, id := range ids {
		t := k.tasks[id]
		r.Tasks = append(r.Tasks, core.Reported{Task: id, Attempt: t.attempt, State: t.state, Cause: t.cause})
	}
	return r
}

func (k *Worker) maybeBeat() {
	since := k.w.Now - k.lastSent
	if k.flying || k.w.Now < k.nextAt || since < 500*time.Millisecond || since < k.w.Cfg.Report && !k.dirty {
		return
	}
	if k.w.Now < k.muteUntil {
		k.turn()
		return
	}
	k.flying, k.dirty, k.lastSent = true, false, k.w.Now
	rep, sent, session, node := k.report(), k.w.Now, k.session, k.w.Nodes[k.node]
	k.reports(Before, rep)
	k.w.keepCopy(k, rep)
	if k.w.Copies != nil {
		for _, late := range k.w.Copies(k) {
			k.w.After(late, func() {
				if node.up {
					node.ask(func(req uint64) any { return core.Beat{Req: req, Report: rep} }, func(any) {})
				}
			})
		}
	}
	k.w.rpc(k.name, node.Name, 4*time.Second, nil, func(answer func(any)) {
		if !node.up {
			answer(core.BeatReply{Status: 0})
			return
		}
		k.w.held(k, rep, func() {
			node.ask(func(req uint64) any { return core.Beat{Req: req, Report: rep} },
				func(res any) { k.w.held(k, res, func() { answer(res) }) })
			k.reports(During, rep)
		})
	}, func(res any) {
		k.w.reach(k.name, func(k *Worker) {
			k.flying = false
			r, ok := res.(core.BeatReply)
			switch {
			case !ok:
				k.turn()
			case r.Status == 200 && (k.w.Now > sent+4*time.Second || session != k.session || r.Token < k.token):
				// Too late, of an earlier session or not entitled: dropped.
			case r.Status == 200:
				k.seen(r.Token)
				k.leaseFrom = sent
				k.execute(r.Orders)
				k.reports(After, rep)
			case r.Status == 421 && r.Foreman != "":
				for i, n := range k.w.Nodes {
					if n.Name == r.Foreman && i != k.node {
						k.node, k.dirty = i, true
						return
					}
				}
				k.turn()
			default:
				k.turn()
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

func (k *Worker) direct(op core.OrdersOp, answer func(any)) {
	if op.Token < k.token || op.Session != k.session {
		r := k.report()
		answer(core.WorkerResult{Outcome: core.Refused, Report: &r})
		return
	}
	k.seen(op.Token)
	k.execute(op.Orders)
	r := k.report()
	answer(core.WorkerResult{Outcome: core.OK, Report: &r})
}

func (k *Worker) execute(orders []core.Order) {
	for _, o := range orders {
		t := k.tasks[o.Task]
		same := t != nil && t.attempt == o.Attempt
		switch {
		case o.Verb == core.Launch && !same:
			k.launch(o, t)
			k.w.orders(During, nil, k, []core.Order{o})
		case o.Verb == core.Halt && same && t.state != core.Ended:
			k.halt(t, o.Leeway)
		case o.Verb == core.Clear && same && t.state == core.Ended:
			delete(k.tasks, o.Task)
			k.w.orders(During, nil, k, []core.Order{o})
			k.w.After(soon, func() { k.w.orders(After, nil, k, []core.Order{o}) })
		}
	}
}

// reports tells of a report with tasks, and once it has arrived of the ends in it.
func (k *Worker) reports(phase Phase, rep core.Report) {
	if len(rep.Tasks) > 0 {
		k.w.moment(Moment{Reports, phase, nil, k, nil})
	}
	for _, t := range rep.Tasks {
		if phase == During && t.Cause == core.Done {
			k.w.moment(Moment{End, After, nil, k, k.w.Jobs[t.Task.Job]})
		}
	}
}

// halt stops a task. One that saves does so when it has the time.
func (k *Worker) halt(t *running, leeway float64) {
	job := k.w.Jobs[t.id.Job]
	if job != nil && job.Spec.Checkpoint > 0 && t.state == core.Running && leeway >= job.Spec.Save {
		t.state, k.dirty = core.Saving, true
		t.epoch++
		saved := t.from + k.ran(t)
		k.step(t, t.epoch, time.Duration(job.Spec.Save*float64(time.Second)), func() {
			job.save(t.id.Index, saved)
			k.end(t, core.Stopped)
		})
		return
	}
	if t.state == core.Saving && leeway > 0 {
		return
	}
	k.end(t, core.Stopped)
}

// ran is how much of its run time a running task has behind it since it started.
func (k *Worker) ran(t *running) time.Duration {
	return time.Duration(float64(k.w.Now-t.started) / k.Slow)
}

// bookmark keeps what a task saves by itself.
func (k *Worker) bookmark(t *running) {
	if job := k.w.Jobs[t.id.Job]; job != nil && job.Spec.Checkpoint > 0 && t.state == core.Running {
		each := time.Duration(job.Spec.Checkpoint * float64(time.Second))
		job.save(t.id.Index, t.from+k.ran(t)/each*each)
	}
}

func (k *Worker) launch(o core.Order, old *running) {
	t := &running{id: o.Task, attempt: o.Attempt, state: core.Fetching}
	job := k.w.Jobs[o.Task.Job]
	k.w.Log("%v %s launches %v attempt %d", k.w.Now, k.name, o.Task, o.Attempt)
	k.dirty = true
	if old != nil && old.state != core.Ended {
		return // in_use: the entry of the attempt that is there stays
	}
	k.tasks[o.Task] = t
	if job == nil {
		k.end(t, core.NoSuch)
		return
	}
	if !k.holds(job.Spec.Need, t) {
		k.end(t, core.NoRoom)
		return
	}
	epoch := t.epoch
	k.fetch(t, func() {
		if job.Finished[o.Task.Index] {
			k.end(t, core.Done)
			return
		}
		t.state, t.started, k.dirty = core.Running, k.w.Now, true
		k.w.Referee.on(o.Task, k)
		k.w.moment(Moment{Launch, After, nil, k, job})
		if job.Broken || k.Faulty {
			k.step(t, epoch, 700*time.Millisecond, func() { k.end(t, core.Failed) })
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
			k.end(t, core.Done)
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

func (k *Worker) end(t *running, cause int) {
	k.w.Log("%v %s ends %v attempt %d cause %d", k.w.Now, k.name, t.id, t.attempt, cause)
	if t.state == core.Running || t.state == core.Saving {
		k.bookmark(t)
		k.w.Referee.off(t.id, k)
	}
	fetching := t.state == core.Fetching
	t.state, t.cause, k.dirty = core.Ended, cause, true
	t.epoch++
	if fetching { // it may have been the last to wait for its image
		k.progress()
		k.nextImage()
	}
}
