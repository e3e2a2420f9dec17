package main

import (
	"strings"
	"sync"
	"time"
)

// Checker watches the rules of the protocol page.
type Checker struct {
	bed   *Bed
	mu    sync.Mutex
	on    map[string]map[*Worker]time.Time // tasks that are on machines
	done  map[string]bool                  // completed tasks
	told  map[string]string                // last binding answer to a job's user: accepted, done, withdrawn
	endAt map[string]time.Time             // when its user was told that the job is cancelled
	use   map[string]float64               // cores in use by team
	cards map[string]float64               // GPUs in use by team
	starts,
	ends int
	broken []string
}

func newChecker(b *Bed) *Checker {
	return &Checker{bed: b, on: map[string]map[*Worker]time.Time{}, done: map[string]bool{}, told: map[string]string{},
		endAt: map[string]time.Time{}, use: map[string]float64{}, cards: map[string]float64{}}
}

// breach records that a rule was broken.
func (c *Checker) breach(rule, format string, args ...any) {
	c.bed.note("BROKEN "+rule+": "+format, args...)
	c.mu.Lock()
	c.broken = append(c.broken, rule)
	c.mu.Unlock()
}

func (c *Checker) resultKept(sheet string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done[sheet]
}

func (c *Checker) completed(sheet string) {
	c.mu.Lock()
	c.done[sheet] = true
	c.mu.Unlock()
}

func jobOf(sheet string) string {
	id, _, _ := strings.Cut(sheet, "/")
	return id
}

func (c *Checker) launched(w *Worker, t *wtask, from string) {
	if c.bed.verbose {
		c.bed.note("machine %s: launch %s try %d by %s", w.m.name, t.sheet, t.try, from)
	}
}

// started is called when a task has its image and starts; the caller holds the worker's lock.
func (c *Checker) started(w *Worker, t *wtask) {
	c.mu.Lock()
	c.starts++
	var others []string
	for o := range c.on[t.sheet] {
		if o != w {
			others = append(others, o.m.name)
		}
	}
	if c.on[t.sheet] == nil {
		c.on[t.sheet] = map[*Worker]time.Time{}
	}
	c.on[t.sheet][w] = time.Now()
	c.use[t.job.Desk] += t.job.Cores
	c.cards[t.job.Desk] += t.job.Cards
	over, cards := c.use[t.job.Desk], c.cards[t.job.Desk]
	apart := 0
	if t.job.Apart {
		for i := range t.job.Sheets {
			for o := range c.on[sheetName(jobOf(t.sheet), i)] {
				if o.m.zone == w.m.zone {
					apart++
				}
			}
		}
	}
	if t.job.OneZone {
		for i := range t.job.Sheets {
			for o := range c.on[sheetName(jobOf(t.sheet), i)] {
				if o.m.zone != w.m.zone {
					others = append(others, o.m.name+" (another zone)")
				}
			}
		}
	}
	told, cancelled := c.endAt[jobOf(t.sheet)]
	c.mu.Unlock()
	if c.bed.verbose {
		c.bed.note("machine %s: %s try %d starts", w.m.name, t.sheet, t.try)
	}
	if len(others) > 0 {
		c.breach("ran_twice", "%s starts on %s while it is on %v", t.sheet, w.m.name, others)
	}
	if limit := c.bed.site.team(t.job.Desk).CPUsMax; limit > 0 && over > limit+1e-6 {
		c.breach("quota", "%s uses %g of %g cores as %s starts", t.job.Desk, over, limit, t.sheet)
	}
	if limit := c.bed.site.team(t.job.Desk).GPUsMax; limit > 0 && cards > limit+1e-6 {
		c.breach("quota", "%s uses %g of %g GPUs as %s starts", t.job.Desk, cards, limit, t.sheet)
	}
	if apart > (t.job.Sheets+1)/2 {
		c.breach("wrong_place", "%d tasks of %s in %s", apart, t.sheet, w.m.zone)
	}
	if cancelled && time.Since(told) > c.bed.cancelWithin() {
		c.breach("ran_cancelled", "%s starts %v after its user was told that it is cancelled", t.sheet, time.Since(told))
	}
	j := t.job
	if j.Yard != "" && j.Yard != w.m.zone || w.m.spot && !j.Loaners {
		c.breach("wrong_place", "%s starts on %s", t.sheet, w.m.name)
	}
}

func (c *Checker) ended(w *Worker, t *wtask, why string) {
	c.mu.Lock()
	delete(c.on[t.sheet], w)
	c.use[t.job.Desk] -= t.job.Cores
	c.cards[t.job.Desk] -= t.job.Cards
	c.ends++
	c.mu.Unlock()
	if c.bed.verbose {
		c.bed.note("machine %s: %s try %d ends: %s", w.m.name, t.sheet, t.try, why)
	}
}

// overdue checks the tasks of cancelled jobs that are still on machines.
func (c *Checker) overdue() {
	c.mu.Lock()
	var late []string
	for sheet, ws := range c.on {
		told, cancelled := c.endAt[jobOf(sheet)]
		if cancelled && len(ws) > 0 && time.Since(told) > c.bed.cancelWithin() {
			late = append(late, sheet)
			c.endAt[jobOf(sheet)] = time.Now().Add(time.Hour) // report it once
		}
	}
	c.mu.Unlock()
	for _, s := range late {
		c.breach("ran_cancelled", "%s is on a machine more than cancel_s after its user was told that it is cancelled", s)
	}
}

// answer notes an answer to a user. sent is when the question was sent.
func (c *Checker) answer(id string, sent time.Time, status int, standing string, submit bool) {
	c.mu.Lock()
	told, cancelled := c.told[id], false
	_, cancelled = c.endAt[id]
	toldAt := c.bed.toldAt(id)
	spec := c.bed.job(id)
	doneTasks := 0
	if spec != nil {
		for i := range spec.Sheets {
			if c.done[sheetName(id, i)] {
				doneTasks++
			}
		}
	}
	asked := spec != nil && spec.cancelAsked
	rank := map[string]int{"": 0, "accepted": 1, "done": 2, "withdrawn": 2}
	now := ""
	if status == 200 || status == 201 {
		now = "accepted"
		if standing == "done" || standing == "withdrawn" {
			now = standing
		}
	}
	var rule, why string
	after := sent.After(toldAt)
	switch {
	case now != "" && spec == nil:
		rule, why = "invented", "200 for a job that nobody submitted"
	case status == 404 && told != "" && after && !submit:
		rule, why = "forgotten", "accepted job gets 404"
	case (status == 400 || status == 422) && told != "" && submit:
		rule, why = "forgotten", "repeated submission is refused"
	case now == "done" && doneTasks < spec.Sheets:
		rule, why = "not_done", "called done before all of its tasks are"
	case now == "withdrawn" && !asked:
		rule, why = "went_back", "called cancelled although its user did not cancel it"
	case rank[now] == 1 && rank[told] == 2 && after, rank[now] == 2 && rank[told] == 2 && now != told:
		rule, why = "went_back", "called "+standing+" after "+told
	}
	if rank[now] > rank[told] {
		c.told[id] = now
		c.bed.setToldAt(id)
		if now == "withdrawn" && !cancelled {
			c.endAt[id] = time.Now()
		}
	}
	c.mu.Unlock()
	if rule != "" {
		c.breach(rule, "%s: %s (status %d %s)", id, why, status, standing)
	}
}

// Broken returns the rules that were broken.
func (c *Checker) Broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.broken...)
}
