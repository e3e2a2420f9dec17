package core

import "time"

// misses is how many calls in a row may stay without an answer, though the
// machine's reports come, before it is taken for deaf.
const misses = 3

// answered notes whether a call to a worker was answered. Only calls after a
// new report count: a machine that is cut off both ways is silent, not deaf.
func (c *Core) answered(p *part, h *host, ok bool) {
	if ok {
		h.unheard = 0
		return
	}
	if h.lastHeard <= h.unheardAt || c.overloaded() {
		return
	}
	h.unheardAt = c.now
	if h.unheard++; h.unheard >= misses {
		c.foundDeaf(p, h, "its reports come, calls to it stay without an answer")
	}
}

// foundDeaf gives a machine up that reports but hears nothing. It gets no new work
// and is returned; its tasks run elsewhere on the proofs that hold for any.
func (c *Core) foundDeaf(p *part, h *host, why string) {
	if h.deaf {
		return
	}
	h.deaf = true
	p.replan = true
	c.note(1, "host is deaf", "host", h.name, "part", p.name, "why", why)
}

// beat answers a worker's report.
func (c *Core) beat(e Beat) {
	rep := &e.Report
	p := c.parts[c.zone(rep.Zone)]
	if !p.mine || p.handingOver {
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
	if _, gone := p.gone[rep.Host]; gone || !c.mayAnswer() || !c.knowsWithdrawn(p) {
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
	if c.launchMayCome(p, h) {
		if p.reclaimAt == 0 {
			p.reclaimAt = c.now + time.Second
		}
		c.emit(BeatReply{Req: e.Req, Status: 503})
		return
	}
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
		return c.haltsKnown(h)
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
				// at most; after a withdrawal see launchMayCome.
				if t.slice != nil && t.slice.job.standing == Pending && c.mayStart() {
					out = append(out, Order{Verb: Launch, Task: id, Attempt: t.attempt})
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

// launchMayCome says whether the worker may still take a launch of a withdrawn job. It
// does until it shows the attempt, sees a raised token or its session ends: while the
// token can't be raised, as when the state service is out, it must not be answered.
func (c *Core) launchMayCome(p *part, h *host) bool {
	for k, l := range h.unsure {
		if c.final[k.task.Job] == Withdrawn && l.token == p.token && h.reported[k.task].Attempt != k.attempt {
			return true
		}
	}
	return false
}

// haltsKnown lists halts of what is known to be withdrawn. An owner that can't read its
// slices knows no more of its tasks than that.
func (c *Core) haltsKnown(h *host) []Order {
	var out []Order
	for _, id := range sortedTasks(h.reported) {
		if r := h.reported[id]; c.final[id.Job] == Withdrawn && r.State != Ended {
			out = append(out, Order{Verb: Halt, Task: id, Attempt: r.Attempt})
		}
	}
	return out
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
		c.foundDeaf(p, h, "its lease ran out though it was answered")
	}
	if p.loaded {
		// What an earlier owner launched was launched before the worker knew my
		// token. Only if it knew it in the session that ended was that before
		// the new session too: the first report I saw may have been a late one.
		known := h.acked > 0
		c.settleAll(p, h, func(t *task) bool { return t.sent || t.inherited && known })
	}
	if h.acked > 0 {
		// The new session has a whole lease from its beginning, which is not later
		// than now. Counted from when the one before had shown my token, it would
		// seem over while what was started in the new one still runs.
		h.acked = c.now
	}
	clear(h.images)
	clear(h.fetching)
}

// completed records a task's completion. It may be a leftover of an attempt
// that was given up; the result is kept, so the task is done either way.
func (c *Core) completed(p *part, _ *host, r Reported) {
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
		if j := t.job(); j != nil {
			c.endedWell(h, j)
		}
		if j := t.job(); j != nil && t.started > 0 && !t.inherited {
			c.judge(p, h, j, seconds(c.now-t.started))
			c.ran(j, seconds(c.now-t.started))
		}
		c.settle(p, t, true)
		return
	case Failed:
		c.failure(p, h, t)
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
