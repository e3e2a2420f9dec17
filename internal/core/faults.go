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
	suspectAfterHosts   = 2  // machines on which a job must fail before it is in doubt
	faultyAfterFailures = 3  // failures in a row, not a doubtful job's, that make a machine faulty
	maxFailedHosts      = 16 // machines remembered per job
	avoidFailedHostFor  = 15 * time.Second
	serviceProvenAfter  = 30 * time.Second
	firstTrialPause     = time.Second
	longestTrialPause   = 16 * time.Second
)

// failedHost is a machine on which a task of a job failed, and when.
type failedHost struct {
	host string
	at   time.Duration
}

// hasSucceeded says whether a task of the job has ended well anywhere.
func (c *Core) hasSucceeded(job *Job) bool {
	if job.succeeded {
		return true
	}
	for _, shard := range c.shards {
		if shard.claim.Owned() {
			if s := shard.assignments[job.id]; s != nil && len(s.done) > 0 {
				job.succeeded = true
			}
			continue
		}
		for i := range c.jobCounts[shard.name] {
			if s := &c.jobCounts[shard.name][i]; s.ID == job.id && s.Done > 0 {
				job.succeeded = true
			}
		}
	}
	return job.succeeded
}

// isSuspect says whether the job itself seems to be what fails. Its failures blame
// no machine, it calls for none, and it is tried with one task at a time.
func (c *Core) isSuspect(job *Job) bool {
	if job.failedTrials > 0 && c.hasSucceeded(job) {
		c.clearSuspicion(job)
	}
	return job.failedTrials > 0
}

// startableTasks is how many of a slice's waiting tasks should start now.
func (c *Core) startableTasks(assignment *Assignment) int {
	n := assignment.waiting.Count()
	switch {
	case !c.isSuspect(assignment.job):
		return n
	case len(assignment.tasks) > 0:
		return 0
	case assignment.job.spec.Gang:
		return n // whole or not at all
	}
	return min(n, 1)
}

// recordFailure weighs a task's failure.
func (c *Core) recordFailure(shard *Shard, host *Host, task *Task) {
	job := task.job()
	if job == nil {
		return // it is over; its tasks prove nothing any more
	}
	if job.spec.Service && task.startedAt > 0 && c.now > task.startedAt+serviceProvenAfter {
		// A replica that has served for a while has shown that both are sound.
		job.holdUntil = max(job.holdUntil, c.now+time.Second)
		return
	}
	c.info("task failed", "job", job.id, "task", task.id.Index, "host", host.name, "attempt", task.attempt)
	job.failures++
	c.stats.Failed++
	job.holdUntil = max(job.holdUntil, c.now+300*time.Millisecond)
	if host.failuresByJob == nil {
		host.failuresByJob = map[string]int{}
	}
	host.failuresByJob[job.id]++
	if i := slices.IndexFunc(job.failedOn, func(f failedHost) bool { return f.host == host.name }); i >= 0 {
		job.failedOn[i].at = c.now
	} else if !host.faulty && len(job.failedOn) < maxFailedHosts {
		job.failedOn = append(job.failedOn, failedHost{host.name, c.now})
	}
	switch {
	case c.hasSucceeded(job):
	case job.failedTrials > 0:
		delete(host.failuresByJob, job.id)
		// Only a failure of a task that was started on trial makes the pause longer,
		// not those of tasks that were under way already.
		if task.placedAt >= job.nextTrialAt {
			job.failedTrials++
		}
	case len(job.failedOn) >= suspectAfterHosts:
		job.failedTrials = 1
		c.warn("job in doubt: its tasks fail on every machine", "job", job.id, "class", job.spec.Class, "team", job.spec.Team, "hosts", job.failedHosts())
		c.clearBlame(shard, job)
	}
	if job.failedTrials > 0 && c.now >= job.nextTrialAt {
		job.nextTrialAt = c.now + min(firstTrialPause<<min(job.failedTrials-1, 8), longestTrialPause)
		job.holdUntil = job.nextTrialAt
		if len(job.failedOn) >= maxFailedHosts {
			job.failedOn = job.failedOn[:0] // wrong once, it may be so of any of them
		}
	}
	c.assessHostFailures(shard, host)
}

// assessHostFailures draws the conclusions from what failed on a machine since anything last
// ended well there.
func (c *Core) assessHostFailures(shard *Shard, host *Host) {
	sum, sure := 0, len(host.failuresByJob) > 1
	for id, n := range host.failuresByJob {
		sum += n
		if j := c.jobs[id]; j != nil && c.hasSucceeded(j) {
			sure = true
		}
	}
	if !sure {
		return // it may be the job; that one keeps away from here by itself
	}
	host.blockedUntil = max(host.blockedUntil, c.now+time.Duration(sum)*2*time.Second)
	if sum >= faultyAfterFailures && !host.faulty {
		host.faulty = true
		shard.needsPlan = true
		c.warn("host faulty: different jobs' tasks fail on it, or one that runs elsewhere", "host", host.name, "part", shard.name, "failures", sum)
	}
}

// clearBlame takes a job's failures from the machines it failed on.
func (c *Core) clearBlame(shard *Shard, job *Job) {
	for _, f := range job.failedOn {
		if host := shard.hosts[f.host]; host != nil && host.failuresByJob[job.id] > 0 {
			delete(host.failuresByJob, job.id)
			host.blockedUntil, host.faulty = 0, false
			c.assessHostFailures(shard, host)
			shard.needsPlan = true
		}
	}
}

// recordSuccess is told of a task that completed on a machine.
func (c *Core) recordSuccess(host *Host, job *Job) {
	clear(host.failuresByJob)
	if !job.succeeded {
		job.succeeded = true
		c.clearSuspicion(job)
	}
}

// clearSuspicion ends the doubt about a job. What it failed on is then to blame after all.
func (c *Core) clearSuspicion(job *Job) {
	if job.failedTrials > 0 {
		c.info("job no longer in doubt", "job", job.id)
		job.failedTrials, job.nextTrialAt, job.holdUntil = 0, 0, 0
	}
	for _, shard := range c.shards {
		if !shard.claim.Owned() {
			continue
		}
		shard.needsPlan = true
		for _, f := range job.failedOn {
			if host := shard.hosts[f.host]; host != nil {
				if host.failuresByJob == nil {
					host.failuresByJob = map[string]int{}
				}
				host.failuresByJob[job.id] = max(host.failuresByJob[job.id], 1)
				c.assessHostFailures(shard, host)
			}
		}
	}
	job.failedOn = nil
}

// withoutFailedHosts leaves out the machines on which a job failed: one on which all fail at
// once always seems free. Its tasks wait for another machine, and one is hired if
// need be, but for no longer than avoidFor. A job in doubt takes what there is.
func (c *Core) withoutFailedHosts(job *Job, all []device) []device {
	if len(job.failedOn) == 0 {
		return all
	}
	left, usable := make([]device, 0, len(all)), false
	for _, d := range all {
		if d.host != nil && slices.ContainsFunc(job.failedOn, func(f failedHost) bool {
			return f.host == d.host.name && (job.failedTrials > 0 || c.now < f.at+avoidFailedHostFor)
		}) {
			continue
		}
		left = append(left, d)
		usable = usable || d.host.state == hostUp && c.allowedOn(job, d.Kind) && job.spec.Need.FitsIn(d.Total)
	}
	if job.failedTrials > 0 && !usable {
		return all
	}
	return left
}

func (j *Job) failedHosts() []string {
	var out []string
	for _, f := range j.failedOn {
		out = append(out, f.host)
	}
	return out
}
