package core

import "time"

type launchKey struct {
	task    TaskID
	attempt uint64
}

// launch is an order that went straight to a worker and has no answer. While
// token and session match it may be executed at any later time.
type launch struct{ token, session uint64 }

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
	if len(s.tasks) == 0 {
		s.bareAt = c.now
	}
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

// leewayNow lets a task that saves be ended when its time is up.
func (c *Core) leewayNow(t *task) float64 {
	if t.leeway > 0 && c.now > t.haltAt+duration(t.leeway)+time.Second {
		return 0
	}
	return t.leeway
}

func (c *Core) settleAll(p *part, h *host, which func(*task) bool) {
	for _, id := range sortedTasks(h.tasks) {
		t := h.tasks[id]
		if t != nil && t.phase == onHost && which(t) {
			c.settle(p, t, false)
		}
	}
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

// A new owner greets half as many workers at a time as it may call, so that orders to
// others find sockets and a zone of machines that do not answer costs little. Each that does
// not answer is tried less and less often; its report will tell when it is back.
const (
	leastGreets  = 64 // at a time, however few calls it may have open
	greetAgain   = 2 * time.Second
	greetSlowest = 3 // doublings
)

// greet makes a worker known to its new owner: an empty order with the new
// token, so that it drops what a stale owner says and shows that it hears me.
// A worker that has not reported yet is asked for its session first. An owner that is
// overloaded leaves it at the answers to reports, which carry the token as well.
func (c *Core) greet(p *part, h *host) {
	if h.token >= p.tenure || h.greeting || h.addr == "" || c.now < h.greetAt || h.state == returning || c.overloaded() || c.greets >= max(c.cfg.WorkerCalls/2, leastGreets) {
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
