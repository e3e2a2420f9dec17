package main

import (
	"strings"
	"sync"
	"time"
)

// Checker watches the rules of the protocol page.
type Checker struct {
	bed      *Bed
	mu       sync.Mutex
	on       map[string]map[*Worker]time.Time // tasks that are on machines
	done     map[string]bool                  // completed tasks
	answered map[string]string                // newest answer to a job's user: accepted, done or cancelled
	endAt    map[string]time.Time             // when its user was answered that the job is cancelled
	use      map[string]float64               // cores in use by team
	gpus     map[string]float64               // GPUs in use by team
	starts,
	ends int
	broken []string
}

func newChecker(b *Bed) *Checker {
	return &Checker{bed: b, on: map[string]map[*Worker]time.Time{}, done: map[string]bool{}, answered: map[string]string{},
		endAt: map[string]time.Time{}, use: map[string]float64{}, gpus: map[string]float64{}}
}

// breach records that a rule was broken.
func (c *Checker) breach(rule, format string, args ...any) {
	c.bed.note("BROKEN "+rule+": "+format, args...)
	c.mu.Lock()
	c.broken = append(c.broken, rule)
	c.mu.Unlock()
}

func (c *Checker) resultKept(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done[task]
}

func (c *Checker) completed(task string) {
	c.mu.Lock()
	c.done[task] = true
	c.mu.Unlock()
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, "/")
	return id
}

func (c *Checker) launched(w *Worker, t *wtask, from string) {
	if c.bed.verbose {
		c.bed.note("machine %s: launch %s try %d by %s", w.m.name, t.task, t.try, from)
	}
}

// started is called when a task has its image and starts; the caller holds the worker's lock.
func (c *Checker) started(w *Worker, t *wtask) {
	c.mu.Lock()
	c.starts++
	var others []string
	for o := range c.on[t.task] {
		if o != w {
			others = append(others, o.m.name)
		}
	}
	if c.on[t.task] == nil {
		c.on[t.task] = map[*Worker]time.Time{}
	}
	c.on[t.task][w] = time.Now()
	c.use[t.job.Desk] += t.job.Cores
	c.gpus[t.job.Desk] += t.job.GPUs
	over, gpus := c.use[t.job.Desk], c.gpus[t.job.Desk]
	same, elsewhere := c.zonesOf(w, t)
	at, cancelled := c.endAt[jobOf(t.task)]
	c.mu.Unlock()
	if c.bed.verbose {
		c.bed.note("machine %s: %s try %d starts", w.m.name, t.task, t.try)
	}
	if len(others) > 0 {
		c.breach("ran_twice", "%s starts on %s while it is on %v", t.task, w.m.name, others)
	}
	team := c.bed.site.team(t.job.Desk)
	if team.CPUsMax > 0 && over > team.CPUsMax+1e-6 || team.GPUsMax > 0 && gpus > team.GPUsMax+1e-6 {
		c.breach("quota", "%s uses %g cores and %g GPUs as %s starts", t.job.Desk, over, gpus, t.task)
	}
	if cancelled && time.Since(at) > c.bed.cancelWithin() {
		c.breach("ran_cancelled", "%s starts %v after its user got that it is cancelled", t.task, time.Since(at))
	}
	j := t.job
	if j.Zone != "" && j.Zone != w.m.zone || w.m.spot && !j.Spot || j.Apart && same > (j.Tasks+1)/2 || j.OneZone && elsewhere > 0 {
		c.breach("wrong_place", "%s starts on %s: %d tasks in its zone, %d elsewhere", t.task, w.m.name, same, elsewhere)
	}
}

// zonesOf counts the tasks of a job that are on machines of the worker's zone and elsewhere.
func (c *Checker) zonesOf(w *Worker, t *wtask) (same, elsewhere int) {
	if !t.job.Apart && !t.job.OneZone {
		return 0, 0
	}
	for i := range t.job.Tasks {
		for o := range c.on[taskName(jobOf(t.task), i)] {
			if o.m.zone == w.m.zone {
				same++
			} else {
				elsewhere++
			}
		}
	}
	return same, elsewhere
}

func (c *Checker) ended(w *Worker, t *wtask, why string) {
	c.mu.Lock()
	delete(c.on[t.task], w)
	c.use[t.job.Desk] -= t.job.Cores
	c.gpus[t.job.Desk] -= t.job.GPUs
	c.ends++
	c.mu.Unlock()
	if c.bed.verbose {
		c.bed.note("machine %s: %s try %d ends: %s", w.m.name, t.task, t.try, why)
	}
}

// overdue checks the tasks of cancelled jobs that are still on machines.
func (c *Checker) overdue() {
	c.mu.Lock()
	var late []string
	for task, ws := range c.on {
		answered, cancelled := c.endAt[jobOf(task)]
		if cancelled && len(ws) > 0 && time.Since(answered) > c.bed.cancelWithin() {
			late = append(late, task)
			c.endAt[jobOf(task)] = time.Now().Add(time.Hour) // report it once
		}
	}
	c.mu.Unlock()
	for _, s := range late {
		c.breach("ran_cancelled", "%s is on a machine more than cancel_s after its user was told that it is cancelled", s)
	}
}

// answer notes an answer to a user. sent is when the question was sent.
func (c *Checker) answer(id string, sent time.Time, status int, state string, submit bool) {
	c.mu.Lock()
	known, after := c.answered[id], sent.After(c.bed.answeredAt(id))
	now := ""
	if status == 200 || status == 201 {
		now = "accepted"
		if state == "done" || state == cancelledState {
			now = state
		}
	}
	rule, why := c.judge(id, known, now, status, submit, after)
	if rank(now) > rank(known) {
		c.answered[id] = now
		c.bed.setAnsweredAt(id)
		if _, cancelled := c.endAt[id]; now == cancelledState && !cancelled {
			c.endAt[id] = time.Now()
		}
	}
	c.mu.Unlock()
	if rule != "" {
		c.breach(rule, "%s: %s (status %d %s)", id, why, status, state)
	}
}

// cancelledState is the state of a cancelled job in answers.
const cancelledState = "withdrawn"

// rank orders the answers: a later one must not have a lower rank.
func rank(answer string) int {
	return map[string]int{"": 0, "accepted": 1, "done": 2, cancelledState: 2}[answer]
}

// judge returns the rule that an answer breaks, or "". after is whether the question was sent after
// the newest binding answer.
func (c *Checker) judge(id, known, now string, status int, submit, after bool) (rule, why string) {
	spec := c.bed.job(id)
	switch {
	case now != "" && spec == nil:
		return "invented", "200 for a job that nobody submitted"
	case status == 404 && known != "" && after && !submit:
		return "forgotten", "accepted job gets 404"
	case (status == 400 || status == 422) && known != "" && submit:
		return "forgotten", "repeated submission is refused"
	case now == "done" && c.countDone(id, spec) < spec.Tasks:
		return "not_done", "called done before all of its tasks are"
	case now == cancelledState && !spec.cancelAsked:
		return "went_back", "called cancelled although its user did not cancel it"
	case rank(now) == 1 && rank(known) == 2 && after, rank(now) == 2 && rank(known) == 2 && now != known:
		return "went_back", "called " + now + " after " + known
	}
	return "", ""
}

func (c *Checker) countDone(id string, spec *JobSpec) int {
	n := 0
	for i := range spec.Tasks {
		if c.done[taskName(id, i)] {
			n++
		}
	}
	return n
}

// Broken returns the rules that were broken.
func (c *Checker) Broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.broken...)
}
