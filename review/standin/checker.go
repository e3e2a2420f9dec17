package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// jobView is what the replies to users said of a job.
type jobView struct {
	accepted    time.Time // when a reply first said that it is accepted
	cancelAsked bool
	final       string    // the final state, once a reply stated it
	finalAt     time.Time // when that reply arrived
}

// running is an attempt on a machine.
type running struct {
	m     *machine
	try   uint64
	since time.Time
	spec  *jobSpec
}

// checker checks the rules of PROTOCOL by what users, machines and the platform see.
type checker struct {
	mu       sync.Mutex
	lab      *lab
	on       map[string][]running // by task
	finished map[string]bool      // completed tasks
	jobs     map[string]*jobView
	faults   []string
	starts   map[string]int // by job
}

func newChecker(l *lab) *checker {
	return &checker{lab: l, on: map[string][]running{}, finished: map[string]bool{}, jobs: map[string]*jobView{}, starts: map[string]int{}}
}

// broken records that a rule was broken.
func (c *checker) broken(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	c.lab.record("RULE BROKEN %s", text)
	c.faults = append(c.faults, text)
}

func (c *checker) job(id string) *jobView {
	if c.jobs[id] == nil {
		c.jobs[id] = &jobView{}
	}
	return c.jobs[id]
}

func jobOf(task string) string { return strings.Split(task, "/")[0] }

// started checks the start of a task on a machine.
func (c *checker) started(task string, try uint64, m *machine, spec *jobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lab.record("%s: %s attempt %d starts to run", m.name, task, try)
	c.starts[spec.Ref]++
	for _, other := range c.on[task] {
		if other.m != m {
			c.broken("ran_twice", "%s starts on %s (attempt %d) while it is on %s (attempt %d, for %.1f s)",
				task, m.name, try, other.m.name, other.try, time.Since(other.since).Seconds())
		}
	}
	c.on[task] = append(c.on[task], running{m, try, time.Now(), spec})
	job := c.job(spec.Ref)
	if job.final == "withdrawn" && time.Since(job.finalAt) > c.lab.site.cancel {
		c.broken("ran_cancelled", "%s starts %.1f s after its user was told that it is cancelled", task, time.Since(job.finalAt).Seconds())
	}
	c.checkLimit(spec.Desk)
	c.checkPlace(task, m, spec)
}

// checkLimit checks that a team's tasks use no more than its limit.
func (c *checker) checkLimit(desk string) {
	used := 0.0
	for _, list := range c.on {
		for _, r := range list {
			if r.spec.Desk == desk {
				used += r.spec.Cores
			}
		}
	}
	for _, t := range c.lab.site.teams {
		if t.Name == desk && t.CpusMax > 0 && used > t.CpusMax+1e-6 {
			c.broken("quota", "team %s uses %g of %g", t.Name, used, t.CpusMax)
		}
	}
}

// checkPlace checks that a task's job allows the machine.
func (c *checker) checkPlace(task string, m *machine, spec *jobSpec) {
	if spec.Zone != nil && *spec.Zone != m.zone || m.spot && !spec.Spot {
		c.broken("wrong_place", "%s starts on %s in %s", task, m.name, m.zone)
	}
	if !spec.OneZone {
		return
	}
	for other, list := range c.on {
		for _, r := range list {
			if jobOf(other) == spec.Ref && r.m.zone != m.zone {
				c.broken("wrong_place", "%s starts in %s, %s is in %s", task, m.zone, other, r.m.zone)
			}
		}
	}
}

// stopped records that a task is on its machine no more.
func (c *checker) stopped(task string, try uint64, m *machine, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lab.record("%s: %s attempt %d ends: %s", m.name, task, try, why)
	kept := c.on[task][:0]
	for _, r := range c.on[task] {
		if r.m != m || r.try != try {
			kept = append(kept, r)
		}
	}
	c.on[task] = kept
	if len(kept) == 0 {
		delete(c.on, task)
	}
}

func (c *checker) done(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished[task] = true
}

func (c *checker) isDone(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finished[task]
}

func (c *checker) startsOf(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[job]
}

// machineOf returns the machine on which a task is, or nil.
func (c *checker) machineOf(task string) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	if list := c.on[task]; len(list) > 0 {
		return list[0].m
	}
	return nil
}

func (c *checker) cancelAsked(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.job(id).cancelAsked = true
}

// answered checks an answer to a user. An answer counts as older only if its request was sent after
// the newer answer had arrived.
func (c *checker) answered(id, kind string, n *node, asked time.Time, a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.job(id)
	wasAccepted := !job.accepted.IsZero() && asked.After(job.accepted)
	switch {
	case a.status == 404 && wasAccepted:
		c.broken("forgotten", "%s gets 404 from %s", id, n.cfg.label)
	case (a.status == 400 || a.status == 422) && kind == "submit" && wasAccepted:
		c.broken("forgotten", "a repeated submission of %s gets %d from %s", id, a.status, n.cfg.label)
	case a.status != 200 && a.status != 201:
		return
	}
	if c.lab.spec(id) == nil {
		c.broken("invented", "%s gets %d from %s", id, a.status, n.cfg.label)
		return
	}
	c.checkState(id, job, n, asked, a.state)
}

// checkState checks the state in an answer and notes it.
func (c *checker) checkState(id string, job *jobView, n *node, asked time.Time, state string) {
	if job.final != "" && asked.After(job.finalAt) && state != job.final {
		c.broken("went_back", "%s is %s at %s after it was %s", id, state, n.cfg.label, job.final)
	}
	if state == "withdrawn" && !job.cancelAsked {
		c.broken("went_back", "%s is called cancelled, and nobody cancelled it", id)
	}
	if job.accepted.IsZero() {
		job.accepted = time.Now()
	}
	if (state == "done" || state == "withdrawn") && job.final == "" {
		job.final, job.finalAt = state, time.Now()
	}
	if state != "done" {
		return
	}
	for i := range c.lab.spec(id).Tasks {
		if !c.finished[fmt.Sprintf("%s/%d", id, i)] {
			c.broken("not_done", "%s is called done before task %d is", id, i)
			return
		}
	}
}

// checkCancelled checks that no task is on a machine too long after its job was cancelled.
func (c *checker) checkCancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, list := range c.on {
		job := c.job(jobOf(task))
		if job.final == "withdrawn" && time.Since(job.finalAt) > c.lab.site.cancel && len(list) > 0 {
			c.broken("ran_cancelled", "%s is on %s %.1f s after its user was told that it is cancelled",
				task, list[0].m.name, time.Since(job.finalAt).Seconds())
		}
	}
}
