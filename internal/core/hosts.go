package core

import (
	"time"
)

// States of a machine, as its part's owner sees it.
const (
	booting = iota + 1
	up
	returning // asked the cloud to take it back
	dead      // the cloud has taken it back
)

// Phases of a task on its way through a machine.
const (
	placing = iota + 1 // booked; the placement is not durable yet
	onHost             // the placement is durable; it may be launched
)

// host is a machine of a part.
type host struct {
	name, addr string
	part       *part
	typ        int // -1 while unknown
	spot       bool
	state      int

	hiredAt, eta time.Duration
	giveUp       time.Duration // when a machine that has not come up is returned
	since        time.Duration // when it became known here or came up
	session, seq uint64
	beatSeq      uint64 // of the newest report that came by itself
	token        uint64 // highest the worker is known to have seen
	acked        time.Duration
	lastHeard    time.Duration
	unread       time.Duration // how long since then this controller stood still and heard nobody
	lastAnswer   time.Duration
	expired      bool // its lease has run out for certain
	unheard      int  // calls to it without an answer, each after a fresh report
	unheardAt    time.Duration
	mute         bool // its reports come, but what it is told does not arrive
	recall       time.Duration
	blockUntil   time.Duration
	patience     time.Duration
	errors       int
	slow         float64 // run times over estimates, as a running mean
	judged       int
	idleSince    time.Duration
	failed       bool

	tasks    map[TaskID]*task
	reported map[TaskID]Reported
	queue    []Order
	queued   bool                 // on the part's list of hosts with orders
	unsure   map[launchKey]launch // launches that may still be under way
	busy     bool                 // an /orders call is open
	greetAt  time.Duration
	greeting bool
	greeted  int // in vain, in a row
	returnAt time.Duration

	ran, held float64 // core seconds of running tasks, and of tasks that wait for their image
	metered   time.Duration

	images   map[int]time.Duration // image -> last used
	fetching map[int]time.Duration // image -> when it should be there
	fetchEnd time.Duration
}

type launchKey struct {
	task    TaskID
	attempt uint64
}

// launch is an order that went straight to a worker and has no answer. While
// token and session match it may be executed at any later time.
type launch struct{ token, session uint64 }

// task is a task that is, may be or is about to be on a machine.
type task struct {
	id        TaskID
	slice     *slice // nil: nobody wants it any more
	host      *host
	attempt   uint64
	phase     int
	state     int
	need      Amount
	team      int
	since     time.Duration
	started   time.Duration // when it was seen running
	fetchFrom time.Duration
	sent      bool // a launch may have reached the worker
	answered  bool // one went into an answer to a report
	seen      bool // the worker has shown it
	inherited bool // placed by an earlier owner
	halting   bool
	haltAt    time.Duration
	leeway    float64
}

// usable says whether work may be started on the host: it is up, wanted, its
// last report is no older than the next one should be, and it has shown my
// token. Only that proves that it hears me and that its report is no copy of
// one sent long ago, by a machine that may be gone.
func (h *host) usable(now time.Duration) bool {
	return h.state == up && h.recall == 0 && !h.expired && !h.failed && !h.mute && now >= h.blockUntil &&
		h.session > 0 && h.token >= h.part.tenure && now < h.lastHeard+h.patience
}

// planned says whether the plans count on the host: it can take work now or is
// on its way.
func (h *host) planned(now time.Duration) bool {
	return h.typ >= 0 && (h.usable(now) || h.state == booting)
}

// joining says whether a machine is up and about to show that it hears me.
func (h *host) joining(now time.Duration) bool {
	return h.state == up && h.session > 0 && h.token < h.part.tenure && h.recall == 0 && !h.failed && !h.mute && now < h.since+5*time.Second
}

// misses is how many calls in a row may stay without an answer, though the
// machine's reports come, before it is taken for mute.
const misses = 3

// answered notes whether a call to a worker was answered. Only calls after a
// new report count: a machine that is cut off both ways is silent, not mute.
func (c *Core) answered(p *part, h *host, ok bool) {
	if ok {
		h.unheard = 0
		return
	}
	if h.lastHeard <= h.unheardAt {
		return
	}
	h.unheardAt = c.now
	if h.unheard++; h.unheard >= misses {
		c.muted(p, h, "its reports come, calls to it stay without an answer")
	}
}

// muted gives a machine up that reports but hears nothing. It gets no new work
// and is returned; its tasks run elsewhere on the proofs that hold for any.
func (c *Core) muted(p *part, h *host, why string) {
	if h.mute {
		return
	}
	h.mute = true
	p.replan = true
	c.note(1, "host is mute", "host", h.name, "part", p.name, "why", why)
}

func (c *Core) hostNamed(p *part, name string) *host {
	h := p.hosts[name]
	if h == nil {
		h = &host{name: name, part: p, typ: -1, state: up, since: c.now, lastHeard: c.now, slow: 1, patience: c.cfg.Report * 18 / 10,
			tasks: map[TaskID]*task{}, reported: map[TaskID]Reported{}, unsure: map[launchKey]launch{},
			images: map[int]time.Duration{}, fetching: map[int]time.Duration{}, idleSince: c.now}
		p.addHost(h)
	}
	return h
}

// occupy books a task's room on its host.
func (c *Core) occupy(p *part, t *task) {
	t.host.tasks[t.id] = t
	if t.team >= 0 {
		p.used[t.team] = p.used[t.team].plus(t.need, 1)
	}
}

// vacate gives the room back.
func (c *Core) vacate(p *part, t *task) {
	if t.host.tasks[t.id] != t {
		return
	}
	delete(t.host.tasks, t.id)
	if len(t.host.tasks) == 0 {
		t.host.idleSince = c.now
	}
	if t.team >= 0 {
		p.used[t.team] = p.used[t.team].plus(t.need, -1)
	}
	p.replan = true
}

// unplace undoes a placement that is not durable.
func (c *Core) unplace(p *part, t *task) {
	c.vacate(p, t)
	if t.slice != nil && t.slice.tasks[t.id.Index] == t {
		delete(t.slice.tasks, t.id.Index)
		t.slice.waiting.add(t.id.Index)
	}
}

// makeStray leaves a task on its host that nobody wants.
func (c *Core) makeStray(p *part, t *task) {
	t.slice = nil
	if t.phase == placing {
		c.vacate(p, t)
		return
	}
	c.halt(p, t, 0)
}

// placedNow is called when a placement has become durable.
func (c *Core) placedNow(p *part, t *task) {
	t.phase = onHost
	c.stats.Placed++
	c.note(1, "task placed", "job", t.id.Job, "task", t.id.Index, "host", t.host.name, "part", p.name, "token", p.token, "attempt", t.attempt)
	h := t.host
	switch {
	case h.state == dead:
		c.settle(p, t, false)
	case t.slice == nil || t.slice.job.standing != Pending:
		c.halt(p, t, 0)
	default:
		p.enqueue(h, Order{Verb: Launch, Task: t.id, Attempt: t.attempt})
	}
}

// settle records that a task has left its host for certain.
func (c *Core) settle(p *part, t *task, done bool) {
	if t.phase == placing {
		return // decided when the transaction's outcome is known
	}
	c.vacate(p, t)
	s := t.slice
	if s == nil || s.tasks[t.id.Index] != t {
		return
	}
	delete(s.tasks, t.id.Index)
	if s.job.standing != Pending {
		if len(s.tasks) == 0 {
			p.dirty[s.job.id] = s
		}
		return
	}
	done = done && !s.job.spec.Service
	s.settled[t.id.Index] = outcome{t.attempt, done}
	if s.job.spec.Gang && !done {
		// A gang runs together or not at all.
		for _, i := range sorted(s.tasks) {
			other := s.tasks[i]
			if other == nil {
				continue
			}
			if other.phase == onHost && !other.halting {
				c.halt(p, other, s.job.spec.Save)
			}
		}
	}
	if done {
		s.done.add(t.id.Index)
		c.stats.Finished++
	} else {
		s.waiting.add(t.id.Index)
		c.stats.Requeued++
		c.note(1, "task back in the queue", "job", t.id.Job, "task", t.id.Index, "host", t.host.name, "part", p.name)
	}
	c.ended(p, s, done)
	p.replan = true
}

// recordWithin is how long the end of one of a slice's tasks may wait to be
// written down together with others.
const recordWithin = 8 * time.Second

// ended has an end recorded. A completed task's may wait: until it is durable
// the task stays in its worker's report, where an owner that comes after me
// finds it, and the room it took is free by the report alone. What ends the
// slice, or must start again, is written at once.
func (c *Core) ended(p *part, s *slice, done bool) {
	if !done || s.complete() {
		p.dirty[s.job.id] = s
	} else if _, waits := p.later[s.job.id]; !waits {
		p.later[s.job.id] = c.now + recordWithin
	}
}

// halt stops a task. One that was never sent anywhere is off its host at once.
func (c *Core) halt(p *part, t *task, leeway float64) {
	if !t.sent && !t.inherited && !t.seen {
		kept := t.host.queue[:0]
		for _, o := range t.host.queue {
			if o.Verb != Launch || o.Task != t.id || o.Attempt != t.attempt {
				kept = append(kept, o)
			}
		}
		t.host.queue = kept
		c.settle(p, t, false)
		return
	}
	if t.halting && leeway >= t.leeway {
		return
	}
	t.halting, t.leeway, t.haltAt = true, leeway, c.now
	p.enqueue(t.host, Order{Verb: Halt, Task: t.id, Attempt: t.attempt, Leeway: leeway})
}

// enqueue notes an order for a host; the part looks only at hosts that have some.
func (p *part) enqueue(h *host, o Order) {
	h.queue = append(h.queue, o)
	if !h.queued {
		h.queued = true
		p.toSend = append(p.toSend, h)
	}
}

// sendOrders sends what hosts should do now, and keeps those it can't reach yet.
func (c *Core) sendOrders(p *part) {
	kept := p.toSend[:0]
	for _, h := range p.toSend {
		if c.flushOrders(p, h); len(h.queue) > 0 && p.hosts[h.name] == h {
			kept = append(kept, h)
		} else {
			h.queued = false
		}
	}
	p.toSend = kept
}

// beat answers a worker's report.
func (c *Core) beat(e Beat) {
	rep := &e.Report
	p := c.parts[c.zone(rep.Zone)]
	if !p.mine || p.yielding {
		if c.heard[rep.Zone] == nil {
			c.heard[rep.Zone] = map[string]time.Duration{}
		}
		c.heard[rep.Zone][rep.Host] = c.now
		r := BeatReply{Req: e.Req, Status: 421}
		if q := c.peer(p.owner); q != nil && c.now < q.heard+3*time.Second {
			r.Foreman = q.Label
		} else if p.owner == c.cfg.Label || p.claiming {
			r.Status = 503
		}
		c.emit(r)
		return
	}
	if rep.Token > p.token {
		// Somebody was entitled after me: step down at once.
		c.lose(p, "a worker shows a higher token")
		c.partsView.loaded = false
		c.emit(BeatReply{Req: e.Req, Status: 421})
		return
	}
	if _, gone := p.gone[rep.Host]; gone || !c.mayAnswer() {
		c.emit(BeatReply{Req: e.Req, Status: 503})
		return
	}
	h := c.hostNamed(p, rep.Host)
	late := rep.Session < h.session || rep.Session == h.session && rep.Seq <= h.beatSeq || h.stale(rep)
	c.absorb(p, h, rep, true)
	if late || !p.mine || h.state == dead {
		c.emit(BeatReply{Req: e.Req, Status: 503})
		return
	}
	h.beatSeq = rep.Seq
	h.lastAnswer, h.expired = c.now, false
	c.heardOf(h)
	c.greet(p, h)
	c.emit(BeatReply{Req: e.Req, Status: 200, Token: p.token, Orders: c.ordersFor(p, h)})
}

// ordersFor lists what the worker should do by its newest report. They go into
// the answer to a report, which is never executed late, and every such answer
// is settled when the next report comes.
func (c *Core) ordersFor(p *part, h *host) []Order {
	if !p.loaded {
		return nil
	}
	if len(h.tasks)+len(h.reported) == 0 {
		h.queue = h.queue[:0]
		return nil
	}
	var out []Order
	for _, id := range sortedTasks(h.tasks) {
		t := h.tasks[id]
		if t == nil || t.phase != onHost {
			continue
		}
		r, shown := h.reported[id]
		shown = shown && r.Attempt == t.attempt
		// What an earlier owner placed is either shown or settled, never launched
		// from here: its proof of absence rests on no launch of mine.
		if !shown && !t.halting && !t.inherited && h.state == up && h.recall == 0 && c.mayStart() {
			out = append(out, Order{Verb: Launch, Task: id, Attempt: t.attempt})
			t.sent, t.answered = true, true
		}
		if t.halting {
			if _, flying := h.unsure[launchKey{id, t.attempt}]; flying && !shown {
				// The launch may still come. Once the worker knows the attempt, it
				// has no effect any more. While the job lives that costs a start
				// at most; after a withdrawal the token is raised instead.
				if t.slice != nil && t.slice.job.standing == Pending && c.mayStart() {
					out = append(out, Order{Verb: Launch, Task: id, Attempt: t.attempt})
				} else if p.reclaimAt == 0 {
					p.reclaimAt = c.now + time.Second
				}
			}
			out = append(out, Order{Verb: Halt, Task: id, Attempt: t.attempt, Leeway: c.leewayNow(t)})
		}
	}
	for _, id := range sortedTasks(h.reported) {
		r := h.reported[id]
		t := h.tasks[id]
		switch {
		case t != nil && t.attempt == r.Attempt:
		case r.State != Ended:
			out = append(out, Order{Verb: Halt, Task: id, Attempt: r.Attempt})
		case c.mayClear(p, h, r):
			out = append(out, Order{Verb: Clear, Task: id, Attempt: r.Attempt})
		}
	}
	h.queue = h.queue[:0]
	if len(out) > 400 {
		out = out[:400]
	}
	return out
}

// leewayNow lets a task that saves be ended when its time is up.
func (c *Core) leewayNow(t *task) float64 {
	if t.leeway > 0 && c.now > t.haltAt+duration(t.leeway)+time.Second {
		return 0
	}
	return t.leeway
}

// mayClear guards against a launch that comes after its attempt was cleared:
// the worker would take it for a new one. So the end must be durable and no
// launch of the attempt may be under way.
func (c *Core) mayClear(p *part, h *host, r Reported) bool {
	if _, flying := h.unsure[launchKey{r.Task, r.Attempt}]; flying {
		return false
	}
	s := p.slices[r.Task.Job]
	if s == nil || s.job.standing != Pending {
		return true
	}
	o, pending := s.settled[r.Task.Index]
	return !pending || o.attempt != r.Attempt
}

// stale says whether a report is certainly an old copy: the lease of its
// session has run out, so a worker that lives has begun a new one.
func (h *host) stale(rep *Report) bool { return h.expired && rep.Session <= h.session }

func (c *Core) heardOf(h *host) { h.lastHeard, h.unread = c.now, 0 }

// silence is how long nothing came from the host while this controller listened.
func (c *Core) silence(h *host) time.Duration { return c.now - h.lastHeard - h.unread }

// absorb takes in a worker's report, however it came.
func (c *Core) absorb(p *part, h *host, rep *Report, own bool) {
	for _, r := range rep.Tasks {
		// Completed work counts even when the report is old.
		if r.State == Ended && r.Cause == Done && p.loaded {
			c.completed(p, h, r)
		}
	}
	if rep.Session < h.session || rep.Session == h.session && rep.Seq <= h.seq || h.stale(rep) {
		return
	}
	if h.addr == "" || rep.Addr != "" {
		h.addr = rep.Addr
	}
	if h.typ < 0 {
		h.typ = c.typeIdx.known(rep.Type)
	}
	h.spot = rep.Spot
	if h.state == booting {
		h.state, h.since, h.idleSince = up, c.now, c.now
		p.replan = true
		c.note(1, "host up", "host", h.name, "part", p.name, "after", seconds(c.now-h.hiredAt))
	}
	if rep.Session > h.session {
		c.newSession(p, h, rep.Session)
	}
	h.session, h.seq = rep.Session, rep.Seq
	c.heardOf(h)
	if p.heardAt = c.now; p.wasDark {
		p.wasDark = false
		c.note(1, "part heard again", "part", p.name, "token", p.token)
	}
	if rep.Token > h.token {
		h.token = rep.Token
		for k, l := range h.unsure {
			if l.token < rep.Token {
				delete(h.unsure, k)
			}
		}
	}
	if h.token >= p.tenure && h.acked == 0 {
		h.acked = c.now
		p.replan = true // it may be used from now on
	}
	if rep.Notice >= 0 && h.recall == 0 {
		h.recall = max(c.now+duration(rep.Notice), 1)
		p.replan = true
		c.note(1, "host recalled", "host", h.name, "part", p.name, "in", rep.Notice)
	}
	clear(h.reported)
	for _, r := range rep.Tasks {
		if old, twice := h.reported[r.Task]; !twice || r.Attempt > old.Attempt {
			h.reported[r.Task] = r
		}
	}
	if !p.loaded {
		return
	}
	for _, id := range sortedTasks(h.tasks) {
		t := h.tasks[id]
		if t == nil || t.phase != onHost {
			continue
		}
		if r, ok := h.reported[id]; ok && r.Attempt == t.attempt {
			c.taskShown(p, h, t, r)
			continue
		} else if ok && r.State != Ended {
			continue // another attempt of it is there: the task has not left
		}
		_, flying := h.unsure[launchKey{id, t.attempt}]
		if h.token < p.tenure || flying || h.busy {
			continue
		}
		switch {
		case t.inherited:
			// Not there, under my token, and I have never launched it.
			c.settle(p, t, false)
		case own && (t.seen || t.halting):
			// Launches in the answer to the previous report are settled too.
			c.settle(p, t, false)
		}
	}
}

// newSession: the worker's lease had run out, and it has killed and forgotten
// every task of earlier sessions. Late orders of earlier sessions are refused.
func (c *Core) newSession(p *part, h *host, session uint64) {
	for k, l := range h.unsure {
		if l.session < session {
			delete(h.unsure, k)
		}
	}
	if h.session == 0 {
		return
	}
	c.note(1, "host has a new session", "host", h.name, "part", p.name, "session", session)
	if h.acked > 0 && h.lastAnswer > 0 && c.now < h.lastAnswer+c.cfg.Lease && (c.wokeAt == 0 || c.now > c.wokeAt+c.cfg.Lease) {
		// A report was answered within the lease, and yet it ran out: the
		// answer did not arrive. That one was sent proves nothing. Not so after
		// this controller stood still: it then answers reports that had waited
		// for it and that their workers had given up, of all machines of a part.
		c.muted(p, h, "its lease ran out though it was answered")
	}
	if p.loaded {
		// What an earlier owner launched was launched before the worker knew my
		// token. Only if it knew it in the session that ended was that before
		// the new session too: the first report I saw may have been a late one.
		known := h.acked > 0
		c.settleAll(p, h, func(t *task) bool { return t.sent || t.inherited && known })
	}
	clear(h.images)
	clear(h.fetching)
}

func (c *Core) settleAll(p *part, h *host, which func(*task) bool) {
	for _, id := range sortedTasks(h.tasks) {
		t := h.tasks[id]
		if t != nil && t.phase == onHost && which(t) {
			c.settle(p, t, false)
		}
	}
}

// completed records a task's completion. It may be a leftover of an attempt
// that was given up; the result is kept, so the task is done either way.
func (c *Core) completed(p *part, h *host, r Reported) {
	s := p.slices[r.Task.Job]
	if s == nil || s.job.standing != Pending || s.job.spec.Service {
		return
	}
	i := r.Task.Index
	if s.waiting.has(i) {
		s.waiting.remove(i)
		s.done.add(i)
		s.settled[i] = outcome{max(r.Attempt, s.next), true}
		c.ended(p, s, true)
	}
}

// taskShown follows a task's state on its worker.
func (c *Core) taskShown(p *part, h *host, t *task, r Reported) {
	t.seen = true
	if r.State == Running && t.state != Running {
		t.started = c.now
		if j := t.job(); j != nil && !t.inherited {
			c.emit(Observed{Wait, seconds(c.now - j.since)})
		}
		if j := t.job(); j != nil {
			c.imageThere(h, t, j)
		}
	}
	if r.State == Running && t.started > 0 && t.inherited && t.state == 0 {
		// Its true start is unknown; half its estimate is a fair guess.
		if j := t.job(); j != nil {
			t.started = c.now - duration(c.estimate(j)/2)
		}
	}
	t.state = r.State
	if r.State != Ended {
		return
	}
	switch r.Cause {
	case Done:
		if j := t.job(); j != nil && t.started > 0 && !t.inherited {
			c.judge(p, h, seconds(c.now-t.started)/c.estimate(j))
			c.ran(j, seconds(c.now-t.started))
			h.errors = 0
		}
		c.settle(p, t, true)
		return
	case Failed:
		h.errors++
		c.note(1, "task failed", "job", t.id.Job, "task", t.id.Index, "host", h.name, "errors", h.errors)
		if j := t.job(); j != nil {
			j.holdTo = c.now + 300*time.Millisecond
		}
		h.blockUntil = c.now + time.Duration(h.errors)*2*time.Second
		if h.errors >= 3 {
			h.failed = true
		}
	case Lonely:
		if j := t.job(); j != nil {
			j.holdTo = c.now + time.Second
		}
	case NoRoom:
		h.blockUntil = c.now + 2*time.Second
	case NoSuch:
		if j := t.job(); j != nil {
			j.holdTo = c.now + 2*time.Second
		}
	}
	c.settle(p, t, false)
}

// farTooSlow is how many times as long as expected a machine's tasks may run.
// Single estimates are often wrong by half and more, so several are looked at.
const farTooSlow = 3.0

// judge gives a machine up whose tasks all run far longer than expected.
func (c *Core) judge(p *part, h *host, ratio float64) {
	// On some days all estimates are too low; that is no machine's fault.
	p.unjudge(h)
	usual, n := p.slowSum, float64(p.slowN)
	h.slow += 0.3 * (min(ratio, 10) - h.slow)
	h.judged++
	if h.judged > 1 {
		p.slowSum, p.slowN = p.slowSum+h.slow, p.slowN+1
	}
	if h.judged >= 4 && n > 0 && h.slow > farTooSlow*max(usual/n, 1) && !h.failed {
		h.failed = true
		p.replan = true
		c.note(1, "host far too slow", "host", h.name, "part", p.name, "factor", h.slow)
	}
}

// unjudge takes a machine out of the part's sum of factors.
func (p *part) unjudge(h *host) {
	if h.judged > 1 {
		p.slowSum, p.slowN = p.slowSum-h.slow, p.slowN-1
	}
}

func (t *task) job() *job {
	if t.slice == nil {
		return nil
	}
	return t.slice.job
}

// imageThere notes that a host has an image, and learns from the fetch.
func (c *Core) imageThere(h *host, t *task, j *job) {
	if j.image < 0 {
		return
	}
	if _, was := h.fetching[j.image]; was {
		delete(h.fetching, j.image)
		if took := seconds(c.now - t.fetchFrom); j.spec.ImageGB > 0.2 && took > 0 && h.typ >= 0 {
			rate := c.fetchRate(h.typ)
			c.sPerGB[h.typ] = rate + 0.2*(min(took/j.spec.ImageGB, 4*rate)-rate)
			c.emit(Observed{Fetch, took})
			c.stats.FetchSeconds += took
			c.stats.FetchGB += j.spec.ImageGB
		}
	}
	h.images[j.image] = c.now
	if h.typ < 0 {
		return
	}
	// The machine caches the most recently used images only.
	for {
		total, oldest := 0.0, -1
		for img, at := range h.images {
			total += c.imageGB[img]
			if oldest < 0 || at < h.images[oldest] {
				oldest = img
			}
		}
		if total <= c.types[h.typ].CacheGB || len(h.images) <= 1 || oldest == j.image {
			return
		}
		delete(h.images, oldest)
	}
}

// fetchRate is seconds per GB on machines of a type: what was seen, else what
// the catalogue states, else the operators' setting.
func (c *Core) fetchRate(typ int) float64 {
	if r, ok := c.sPerGB[typ]; ok {
		return r
	}
	r := c.cfg.Knobs.FetchSPerGB
	if g := c.types[typ].GBPerS; g > 0 {
		r = 1 / g
	}
	c.sPerGB[typ] = r
	return r
}

// expectedEnd is when a task should leave its host. One that outlives its
// estimate is expected to run on in proportion to its age, never to end now.
func (c *Core) expectedEnd(t *task) time.Duration {
	est := 30.0
	if j := t.job(); j != nil {
		est = c.estimate(j)
	}
	if t.state == Running || t.state == Saving {
		ran := seconds(c.now - t.started)
		return c.now + duration(max(est-ran, 0.35*ran, 0.5))
	}
	wait := 0.3
	if j := t.job(); j != nil && j.image >= 0 {
		if at, ok := t.host.fetching[j.image]; ok {
			wait = max(seconds(at-c.now), wait)
		}
	}
	return c.now + duration(wait+est)
}

// flushOrders sends a host what it should do now, straight to its worker.
func (c *Core) flushOrders(p *part, h *host) {
	if len(h.queue) == 0 || h.busy || h.addr == "" || h.session == 0 || h.state != up || h.expired {
		return
	}
	n := min(len(h.queue), 100)
	var orders []Order
	for _, o := range h.queue[:n] {
		if o.Verb == Launch {
			t := h.tasks[o.Task]
			if t == nil || t.attempt != o.Attempt || t.halting || t.phase != onHost || !c.mayStart() {
				continue
			}
			t.sent = true
			h.unsure[launchKey{o.Task, o.Attempt}] = launch{p.token, h.session}
		}
		orders = append(orders, o)
	}
	h.queue = append(h.queue[:0], h.queue[n:]...)
	if len(orders) == 0 {
		return
	}
	h.busy = true
	token := p.token
	tenure := p.tenure
	c.call(OrdersOp{h.addr, token, h.session, orders}, func(r any) {
		h.busy = false
		if !p.mine || p.tenure != tenure {
			return
		}
		res := r.(WorkerResult)
		c.answered(p, h, res.Outcome == OK || res.Outcome == Refused)
		for _, o := range orders {
			if o.Verb != Launch || res.Outcome == Unknown {
				continue
			}
			delete(h.unsure, launchKey{o.Task, o.Attempt})
			if t := h.tasks[o.Task]; res.Outcome == NotSent && t != nil && t.attempt == o.Attempt && !t.answered && !t.seen {
				// No connection came about, so the launch has reached nobody: the
				// task is free to start elsewhere at once.
				c.settle(p, t, false)
			}
		}
		if res.Outcome == NotSent || res.Outcome == Unknown {
			h.blockUntil = max(h.blockUntil, c.now+3*time.Second)
		}
		if res.Report != nil && res.Report.Host == h.name {
			c.absorb(p, h, res.Report, false)
			if res.Outcome == Refused && res.Report.Token > p.token {
				c.lose(p, "a worker shows a higher token")
				c.partsView.loaded = false
			}
		}
	})
}

// A new owner greets so many workers at a time, so that orders to others find
// sockets and a zone of machines that do not answer costs little. Each that does
// not answer is tried less and less often; its report will tell when it is back.
const (
	greetsAtOnce = 64
	greetAgain   = 2 * time.Second
	greetSlowest = 3 // doublings
)

// greet makes a worker known to its new owner: an empty order with the new
// token, so that it drops what a stale owner says and shows that it hears me.
// A worker that has not reported yet is asked for its session first.
func (c *Core) greet(p *part, h *host) {
	if h.token >= p.tenure || h.greeting || h.addr == "" || c.now < h.greetAt || h.state == returning || c.greets >= greetsAtOnce {
		return
	}
	c.greets++
	h.greeting, h.greetAt = true, c.now+greetAgain<<min(h.greeted, greetSlowest)
	over := func() {
		c.greets--
		h.greeting = false
	}
	tenure, token := p.tenure, p.token
	hear := func(r any) bool {
		if !p.mine || p.tenure != tenure {
			return false
		}
		res := r.(WorkerResult)
		heard := res.Report != nil && res.Report.Host == h.name
		c.answered(p, h, heard)
		h.greeted++
		if heard {
			h.greeted = 0
			c.absorb(p, h, res.Report, false)
		}
		return heard && p.mine && p.tenure == tenure
	}
	order := func() {
		c.call(OrdersOp{h.addr, token, h.session, nil}, func(r any) {
			over()
			hear(r)
		})
	}
	if h.session > 0 {
		order()
		return
	}
	c.call(ShowOp{h.addr}, func(r any) {
		if hear(r) {
			order()
		} else {
			over()
		}
	})
}

// keepHosts looks after every machine of the parts owned here.
func (c *Core) keepHosts() {
	c.listHosts()
	for _, p := range c.parts {
		if !p.mine || p.yielding {
			continue
		}
		sure := c.sure()
		for name, at := range p.gone {
			if c.now > at+4*c.cfg.ListLag+2*time.Minute {
				delete(p.gone, name)
			}
		}
		if !p.loaded {
			for _, h := range p.hostList() {
				c.greet(p, h)
			}
			continue
		}
		silent, alive := 0, 0
		for _, h := range p.hostList() {
			if h.state == up && !h.expired {
				alive++
				if c.silence(h) > c.cfg.Report*2 || h.mute {
					silent++
				}
			}
		}
		// When most machines fall silent or mute together, it is rather this
		// controller that is cut off.
		deaf := silent >= 3 && silent*2 > alive
		var back []*host
		for _, h := range p.hostList() {
			c.greet(p, h)
			if h.state == up {
				c.checkLease(p, h)
			}
			if why := c.wantBack(p, h, deaf); why != "" && sure {
				c.note(1, "host not wanted", "host", h.name, "part", p.name, "why", why, "tasks", len(h.tasks))
				back = append(back, h)
			}
		}
		c.giveHostsBack(p, back)
	}
}

// checkLease settles a silent worker's tasks once its lease must have run out:
// only I could have renewed it since it acknowledged my token, and the last
// time I did was my last answer. Clocks may drift apart.
func (c *Core) checkLease(p *part, h *host) {
	if h.expired || h.acked == 0 || h.busy {
		return
	}
	last := max(h.acked, h.lastAnswer)
	if c.now < last+c.cfg.Lease+c.cfg.Lease/500+1500*time.Millisecond {
		return
	}
	h.expired = true
	h.queue = nil
	clear(h.unsure)
	clear(h.reported)
	c.note(1, "lease of host ran out", "host", h.name, "part", p.name, "tasks", len(h.tasks))
	c.settleAll(p, h, func(*task) bool { return true })
}

// wantBack says why a machine should be returned for its own sake, if it
// should; idle machines are the hiring's business.
func (c *Core) wantBack(p *part, h *host, deaf bool) string {
	switch h.state {
	case booting:
		if c.now > h.giveUp {
			return "never came up"
		}
	case returning:
		if h.returnAt > 0 && c.now >= h.returnAt {
			return "return to be confirmed"
		}
	case up:
		silent := c.silence(h)
		if h.recall > 0 {
			if len(h.tasks) == 0 || c.now > h.recall+2*time.Second && silent > 3*time.Second {
				return "recalled"
			}
			return ""
		}
		if h.failed && len(h.tasks) == 0 {
			return "faulty"
		}
		if h.mute && !deaf {
			return "mute"
		}
		limit := c.cfg.Knobs.SilentReturn
		if deaf || c.now < p.loadedAt+c.cfg.Report*3 {
			limit = c.cfg.Lease + 15*time.Second
		}
		if silent > limit {
			return "silent"
		}
	}
	return ""
}

func (c *Core) giveHostsBack(p *part, back []*host) {
	for len(back) > 0 {
		n := min(len(back), 100)
		group := back[:n]
		back = back[n:]
		var names []string
		for _, h := range group {
			h.state, h.returnAt = returning, 0
			h.queue = nil
			names = append(names, h.name)
		}
		c.note(1, "hosts returned", "part", p.name, "token", p.token, "hosts", names)
		tenure := p.tenure
		c.call(ReturnOp{names}, func(r any) {
			if !p.mine || p.tenure != tenure {
				return
			}
			if r.(ReturnResult).Outcome != OK {
				for _, h := range group {
					h.returnAt = c.now + 700*time.Millisecond
				}
				return
			}
			c.stats.Returned += uint64(len(group))
			for _, h := range group {
				c.hostGone(p, h)
			}
		})
	}
}

// hostGone: the cloud has confirmed that the machine and all on it are gone.
func (c *Core) hostGone(p *part, h *host) {
	h.state = dead
	c.meter(h)
	c.note(1, "host gone", "host", h.name, "part", p.name, "type", c.typeName(h), "spot", h.spot,
		"boot_s", seconds(max(h.since-h.hiredAt, 0)), "up_s", seconds(c.now-h.since), "ran", h.ran, "held", h.held)
	p.gone[h.name] = c.now
	c.settleAll(p, h, func(*task) bool { return true })
	p.unjudge(h)
	p.dropHost(h)
	p.replan = true
}

// meter adds up how the host's cores were used since it was last called.
func (c *Core) meter(h *host) {
	dt := seconds(c.now - h.metered)
	h.metered = c.now
	if dt > 5 {
		return // the first time
	}
	for _, t := range h.tasks {
		if t.state == Running {
			h.ran += t.need.Cores * dt
		} else {
			h.held += t.need.Cores * dt
		}
	}
}

func (c *Core) typeName(h *host) string {
	if h.typ < 0 {
		return "unknown"
	}
	return c.types[h.typ].Name
}

// listHosts reads the cloud's list of machines. It lags, so a machine's
// absence proves nothing; it brings machines nobody expected and failures.
func (c *Core) listHosts() {
	owns := false
	for _, p := range c.parts {
		owns = owns || p.mine
	}
	if !owns || c.listBusy || c.now < c.listAt || len(c.types) == 0 {
		return
	}
	c.listBusy, c.listAt = true, c.now+6*time.Second
	sent := map[*part]uint64{}
	for _, p := range c.parts {
		if p.mine {
			sent[p] = p.tenure
		}
	}
	c.call(HostsOp{}, func(r any) {
		c.listBusy = false
		res := r.(HostsResult)
		if res.Outcome != NotSent { // not a call left out for want of tokens
			c.cloudSaid(res.Outcome == OK)
		}
		if res.Outcome != OK {
			c.listAt = c.now + 2*time.Second
			return
		}
		for _, l := range res.Hosts {
			p := c.parts[c.zone(l.Zone)]
			if _, gone := p.gone[l.Name]; !p.mine || gone {
				continue
			}
			h := p.hosts[l.Name]
			if h == nil {
				h = c.hostNamed(p, l.Name)
				h.hiredAt = c.now - duration(l.HeldS)
				if l.State == "booting" {
					h.state = booting
				}
				h.eta = h.hiredAt + duration(c.bootS(l.Type))
				h.eta = max(h.eta, c.now+2*time.Second)
				h.giveUp = max(h.hiredAt+c.patience(c.bootS(l.Type)), c.now+5*time.Second)
				c.note(1, "host adopted", "host", h.name, "part", p.name, "state", l.State)
			}
			if h.addr == "" {
				h.addr = l.Addr
			}
			if h.typ < 0 {
				h.typ, h.spot = c.typeIdx.known(l.Type), l.Spot
			}
			if l.State == "failed" && (h.state == up || h.state == booting) {
				h.state, h.returnAt = returning, c.now
			}
		}
		for p, tenure := range sent {
			if p.mine && p.tenure == tenure {
				p.fleetListed = true
			}
		}
	})
}

// patience is how long a machine may boot: some take several times as long as
// others, a few never come up.
func (c *Core) patience(bootS float64) time.Duration { return duration(2.5*bootS + 10) }

func (c *Core) bootS(typ string) float64 {
	if i := c.typeIdx.known(typ); i >= 0 {
		return c.types[i].BootS * 1.2
	}
	return 60
}
