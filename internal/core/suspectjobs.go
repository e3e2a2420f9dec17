package core

import (
	"slices"
	"time"
)

// Suspect jobs: their tasks fail on every machine, as of a job that was submitted with a
// mistake. A suspect job blames no machine and has none rented for it. One task at a time is
// tried, with growing pauses, until one succeeds.

const (
	suspectAfterHosts  = 2 // machines on which a job must fail to become suspect
	avoidFailedHostFor = 15 * time.Second
	firstTrialPause    = time.Second
	longestTrialPause  = 16 * time.Second
	maxTrialDoublings  = 8 // doublings of firstTrialPause
)

// hasSucceeded reports whether a task of the job has succeeded in any shard.
func (c *Core) hasSucceeded(job *Job) bool {
	if job.succeeded {
		return true
	}
	for _, shard := range c.shards {
		if c.hasDoneTasks(shard, job) {
			job.succeeded = true
		}
	}
	return job.succeeded
}

// hasDoneTasks reports whether a task of the job is done in a shard: by its assignment, or by
// its owner's gossip.
func (c *Core) hasDoneTasks(shard *Shard, job *Job) bool {
	if shard.claim.Owned() {
		assignment := shard.assignments[job.id]
		return assignment != nil && len(assignment.done) > 0
	}
	return slices.ContainsFunc(c.jobCounts[shard.name], func(counts JobCounts) bool {
		return counts.ID == job.id && counts.Done > 0
	})
}

// isSuspect reports whether the job itself seems to be what fails.
func (c *Core) isSuspect(job *Job) bool {
	if job.failedTrials > 0 && c.hasSucceeded(job) {
		c.clearSuspicion(job)
	}
	return job.failedTrials > 0
}

// startableTasks is how many of an assignment's waiting tasks may start now: of a suspect job
// one at a time, or a whole gang.
func (c *Core) startableTasks(assignment *Assignment) int {
	waiting := assignment.waiting.Count()
	switch {
	case !c.isSuspect(assignment.job):
		return waiting
	case len(assignment.tasks) > 0:
		return 0
	case assignment.job.spec.Gang:
		return waiting
	}
	return min(waiting, 1)
}

// assessJobFailures decides after a failure whether the job is suspect, and when it may be
// tried next.
func (c *Core) assessJobFailures(shard *Shard, host *Host, task *Task, job *Job) {
	switch {
	case c.hasSucceeded(job):
	case job.failedTrials > 0:
		delete(host.failuresByJob, job.id)
		// Only a task that was started as a trial lengthens the pause, not those that were
		// running already.
		if task.placedAt >= job.nextTrialAt {
			job.failedTrials++
		}
	case len(job.failedOn) >= suspectAfterHosts:
		job.failedTrials = 1
		c.warn("suspect job: its tasks fail on every machine", "job", job.id, "class", job.spec.Class,
			"team", job.spec.Team, "hosts", job.failedHosts())
		c.clearBlame(shard, job)
	}
	if job.failedTrials > 0 && c.now >= job.nextTrialAt {
		doublings := min(job.failedTrials-1, maxTrialDoublings)
		job.nextTrialAt = c.now + min(firstTrialPause<<doublings, longestTrialPause)
		job.holdUntil = job.nextTrialAt
		if len(job.failedOn) >= maxFailedHosts {
			job.failedOn = job.failedOn[:0] // the list is full and starts anew
		}
	}
}

// clearSuspicion ends the suspicion of a job, as one of its tasks has succeeded. The machines on
// which it failed are then to blame.
func (c *Core) clearSuspicion(job *Job) {
	if job.failedTrials > 0 {
		c.info("job no longer suspect", "job", job.id)
		job.failedTrials, job.nextTrialAt, job.holdUntil = 0, 0, 0
	}
	for _, shard := range c.shards {
		if shard.claim.Owned() {
			shard.needsPlan = true
			c.restoreBlame(shard, job)
		}
	}
	job.failedOn = nil
}

// withoutFailedHosts leaves out the machines on which a job failed: one on which every task
// fails at once always seems to have room. The job waits for another machine, and one is rented
// if need be, but for no longer than avoidFailedHostFor. A suspect job avoids them all along,
// but takes what there is if it fits nowhere else.
func (c *Core) withoutFailedHosts(job *Job, all []device) []device {
	if len(job.failedOn) == 0 {
		return all
	}
	suspect := job.failedTrials > 0
	left, usable := make([]device, 0, len(all)), false
	for _, d := range all {
		if d.host != nil && c.avoids(job, d.host.name) {
			continue
		}
		left = append(left, d)
		usable = usable || d.host.state == hostUp && c.allowedOn(job, d.Kind) && job.spec.Need.FitsIn(d.Total)
	}
	if suspect && !usable {
		return all
	}
	return left
}

// avoids reports whether a job avoids a machine on which it failed.
func (c *Core) avoids(job *Job, host string) bool {
	return slices.ContainsFunc(job.failedOn, func(failed failedHost) bool {
		return failed.host == host && (job.failedTrials > 0 || c.now < failed.at+avoidFailedHostFor)
	})
}

// failedHosts names the machines on which the job failed.
func (j *Job) failedHosts() []string {
	var names []string
	for _, failed := range j.failedOn {
		names = append(names, failed.host)
	}
	return names
}
