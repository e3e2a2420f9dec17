package core

import (
	"slices"
	"time"
)

// A task that fails speaks against its machine or against its job, and the same
// word, `error`, stands for both. What else happened tells them apart: a job whose
// tasks fail on one machine after the other, and never end well anywhere, was
// submitted with a mistake; a machine on which different jobs fail, or one that
// ends well elsewhere, is faulty. Before the two were told apart one array with a
// mistake had a fleet of good machines returned and another one hired.

const (
	faultsDoubt  = 2  // machines on which a job must fail before it is in doubt
	faultsBad    = 3  // failures in a row, not a doubtful job's, that make a machine faulty
	faultsListed = 16 // machines remembered per job
	avoidFor     = 15 * time.Second
	longRun      = 30 * time.Second
	probeFirst   = time.Second
	probeSlowest = 16 * time.Second
)

// failedOn is a machine on which a task of a job failed, and when.
type failedOn struct {
	host string
	at   time.Duration
}

// proven says whether a task of the job has ended well anywhere.
func (c *Core) proven(j *job) bool {
	if j.good {
		return true
	}
	for _, p := range c.parts {
		if p.mine {
			if s := p.slices[j.id]; s != nil && len(s.done) > 0 {
				j.good = true
			}
			continue
		}
		for i := range c.shown[p.name] {
			if s := &c.shown[p.name][i]; s.ID == j.id && s.Done > 0 {
				j.good = true
			}
		}
	}
	return j.good
}

// doubtful says whether the job itself seems to be what fails. Its failures blame
// no machine, it calls for none, and it is tried with one task at a time.
func (c *Core) doubtful(j *job) bool {
	if j.doubt > 0 && c.proven(j) {
		c.trust(j)
	}
	return j.doubt > 0
}

// startable is how many of a slice's waiting tasks should start now.
func (c *Core) startable(s *slice) int {
	n := s.waiting.count()
	switch {
	case !c.doubtful(s.job):
		return n
	case len(s.tasks) > 0:
		return 0
	case s.job.spec.Gang:
		return n // whole or not at all
	}
	return min(n, 1)
}

// failure weighs a task's failure.
func (c *Core) failure(p *part, h *host, t *task) {
	j := t.job()
	if j == nil {
		return // it is over; its tasks prove nothing any more
	}
	if j.spec.Service && t.started > 0 && c.now > t.started+longRun {
		// A replica that has served for a while has shown that both are sound.
		j.holdTo = max(j.holdTo, c.now+time.Second)
		return
	}
	c.note(1, "task failed", "job", j.id, "task", t.id.Index, "host", h.name, "attempt", t.attempt)
	j.failures++
	c.stats.Failed++
	j.holdTo = max(j.holdTo, c.now+300*time.Millisecond)
	if h.blame == nil {
		h.blame = map[string]int{}
	}
	h.blame[j.id]++
	if i := slices.IndexFunc(j.failedOn, func(f failedOn) bool { return f.host == h.name }); i >= 0 {
		j.failedOn[i].at = c.now
	} else if !h.failed && len(j.failedOn) < faultsListed {
		j.failedOn = append(j.failedOn, failedOn{h.name, c.now})
	}
	switch {
	case c.proven(j):
	case j.doubt > 0:
		delete(h.blame, j.id)
		// Only a failure of a task that was started on trial makes the pause longer,
		// not those of tasks that were under way already.
		if t.since >= j.doubtAt {
			j.doubt++
		}
	case len(j.failedOn) >= faultsDoubt:
		j.doubt = 1
		c.note(2, "job in doubt: its tasks fail on every machine", "job", j.id, "class", j.spec.Class, "team", j.spec.Team, "hosts", j.failedNames())
		c.unblame(p, j)
	}
	if j.doubt > 0 && c.now >= j.doubtAt {
		j.doubtAt = c.now + min(probeFirst<<min(j.doubt-1, 8), probeSlowest)
		j.holdTo = j.doubtAt
		if len(j.failedOn) >= faultsListed {
			j.failedOn = j.failedOn[:0] // wrong once, it may be so of any of them
		}
	}
	c.blamed(p, h)
}

// blamed draws the conclusions from what failed on a machine since anything last
// ended well there.
func (c *Core) blamed(p *part, h *host) {
	sum, sure := 0, len(h.blame) > 1
	for id, n := range h.blame {
		sum += n
		if j := c.jobs[id]; j != nil && c.proven(j) {
			sure = true
		}
	}
	if !sure {
		return // it may be the job; that one keeps away from here by itself
	}
	h.blockUntil = max(h.blockUntil, c.now+time.Duration(sum)*2*time.Second)
	if sum >= faultsBad && !h.failed {
		h.failed = true
		p.replan = true
		c.note(2, "host faulty: different jobs' tasks fail on it, or one that runs elsewhere", "host", h.name, "part", p.name, "failures", sum)
	}
}

// unblame takes a job's failures from the machines it failed on.
func (c *Core) unblame(p *part, j *job) {
	for _, f := range j.failedOn {
		if h := p.hosts[f.host]; h != nil && h.blame[j.id] > 0 {
			delete(h.blame, j.id)
			h.blockUntil, h.failed = 0, false
			c.blamed(p, h)
			p.replan = true
		}
	}
}

// endedWell is told of a task that completed on a machine.
func (c *Core) endedWell(h *host, j *job) {
	clear(h.blame)
	if !j.good {
		j.good = true
		c.trust(j)
	}
}

// trust ends the doubt about a job. What it failed on is then to blame after all.
func (c *Core) trust(j *job) {
	if j.doubt > 0 {
		c.note(1, "job no longer in doubt", "job", j.id)
		j.doubt, j.doubtAt, j.holdTo = 0, 0, 0
	}
	for _, p := range c.parts {
		if !p.mine {
			continue
		}
		p.replan = true
		for _, f := range j.failedOn {
			if h := p.hosts[f.host]; h != nil {
				if h.blame == nil {
					h.blame = map[string]int{}
				}
				h.blame[j.id] = max(h.blame[j.id], 1)
				c.blamed(p, h)
			}
		}
	}
	j.failedOn = nil
}

// avoiding leaves out the machines on which a job failed: one on which all fail at
// once always seems free. Its tasks wait for another machine, and one is hired if
// need be, but for no longer than avoidFor. A job in doubt takes what there is.
func (c *Core) avoiding(j *job, all []device) []device {
	if len(j.failedOn) == 0 {
		return all
	}
	left, usable := make([]device, 0, len(all)), false
	for _, d := range all {
		if d.host != nil && slices.ContainsFunc(j.failedOn, func(f failedOn) bool {
			return f.host == d.host.name && (j.doubt > 0 || c.now < f.at+avoidFor)
		}) {
			continue
		}
		left = append(left, d)
		usable = usable || d.host.state == up && c.allowedOn(j, d.Kind) && j.spec.Need.plan().Within(d.Total)
	}
	if j.doubt > 0 && !usable {
		return all
	}
	return left
}

func (j *job) failedNames() []string {
	var out []string
	for _, f := range j.failedOn {
		out = append(out, f.host)
	}
	return out
}
