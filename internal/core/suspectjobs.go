package core

import (
	"slices"
	"time"
)

// This file handles suspect jobs, whose tasks fail on every machine, usually because the job was
// submitted with a mistake. Failures of a suspect job are not attributed to machines, and no
// machines are rented for it. Its tasks are tried one at a time, with exponentially growing pauses,
// until one succeeds.

const (
	minFailedHostsForSuspect = 2                // machines on which a job must have failed to become suspect
	failedHostAvoidance      = 15 * time.Second // how long a job avoids a machine after it failed there
	minTrialPause            = time.Second      // after the first failed trial
	maxTrialPause            = 16 * time.Second // upper bound of the pause, which doubles after each failed trial
	maxTrialDoublings        = 8                // of minTrialPause; bounds the shift
)

// hasSucceeded reports whether a task of the job has completed in any shard.
func (c *Core) hasSucceeded(job *Job) bool {
	if job.hasCompletedTask {
		return true
	}
	for _, shard := range c.shards {
		if c.hasCompletedTaskInShard(shard, job) {
			job.hasCompletedTask = true
		}
	}
	return job.hasCompletedTask
}

// hasCompletedTaskInShard reports whether a task of the job has completed in a shard, by the
// assignment of a shard owned here or by the gossip of another owner.
func (c *Core) hasCompletedTaskInShard(shard *Shard, job *Job) bool {
	if shard.claim.Owned() {
		assignment := shard.assignments[job.id]
		return assignment != nil && len(assignment.done) > 0
	}
	return slices.ContainsFunc(c.jobCounts[shard.name], func(counts JobCounts) bool {
		return counts.ID == job.id && counts.Done > 0
	})
}

// isSuspect reports whether the job is suspect, which means that its failures are attributed to the
// job itself.
func (c *Core) isSuspect(job *Job) bool {
	if job.failedTrials > 0 && c.hasSucceeded(job) {
		c.clearSuspicion(job)
	}
	return job.failedTrials > 0
}

// startableTaskCount returns how many of an assignment's waiting tasks may start now. Of a suspect
// job only one task, or one whole gang, may be on machines at a time.
func (c *Core) startableTaskCount(assignment *Assignment) int {
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

// assessJobFailures decides after a failure whether the job is suspect, and when its next trial may
// start.
func (c *Core) assessJobFailures(shard *Shard, host *Host, task *Task, job *Job) {
	switch {
	case c.hasSucceeded(job):
	case job.failedTrials > 0:
		delete(host.failuresByJob, job.id)
		// Only the failure of a task that was started as a trial lengthens the pause. Tasks that
		// were already running when the job became suspect are not counted.
		if task.placedAt >= job.nextTrialAt {
			job.failedTrials++
		}
	case len(job.failedHosts) >= minFailedHostsForSuspect:
		job.failedTrials = 1
		c.warn("marked job suspect: its tasks fail on every machine; starting one at a time",
			"job", job.id, "class", job.spec.Class,
			"team", job.spec.Team, "hosts", job.failedHostNames())
		c.clearHostFailures(shard, job)
	}
	if job.failedTrials > 0 && c.now >= job.nextTrialAt {
		doublings := min(job.failedTrials-1, maxTrialDoublings)
		job.nextTrialAt = c.now + min(minTrialPause<<doublings, maxTrialPause)
		job.launchesHeldUntil = job.nextTrialAt
		if len(job.failedHosts) >= maxFailedHosts {
			job.failedHosts = job.failedHosts[:0] // the list is full and is collected again
		}
	}
}

// clearSuspicion marks a job as no longer suspect after one of its tasks has succeeded. Its earlier
// failures are then attributed to the machines on which they occurred.
func (c *Core) clearSuspicion(job *Job) {
	if job.failedTrials > 0 {
		c.info("job is no longer suspect: one of its tasks completed", "job", job.id)
		job.failedTrials, job.nextTrialAt, job.launchesHeldUntil = 0, 0, 0
	}
	for _, shard := range c.shards {
		if shard.claim.Owned() {
			shard.needsPlan = true
			c.attributeFailuresToHosts(shard, job)
		}
	}
	job.failedHosts = nil
}

// excludeFailedHosts returns the devices without the machines that avoidsHost names for the job. A
// machine on which every task fails at once always appears to have free capacity. The job waits for
// another machine, and one is rented if necessary, but for at most failedHostAvoidance after the
// failure. A suspect job avoids the machines for as long as it is suspect, unless it fits on no
// other machine that is up.
func (c *Core) excludeFailedHosts(job *Job, devices []device) []device {
	if len(job.failedHosts) == 0 {
		return devices
	}
	isSuspect := job.failedTrials > 0
	remaining, hasUsableHost := make([]device, 0, len(devices)), false
	for _, d := range devices {
		if d.host != nil && c.avoidsHost(job, d.host.name) {
			continue
		}
		remaining = append(remaining, d)
		hasUsableHost = hasUsableHost ||
			d.host.state == hostUp && c.mayRunOn(job, d.Kind) && job.spec.TaskResources.FitsIn(d.Capacity)
	}
	if isSuspect && !hasUsableHost {
		return devices
	}
	return remaining
}

// avoidsHost reports whether a job avoids a machine because it failed there: within the last
// failedHostAvoidance, or at any time if the job is suspect.
func (c *Core) avoidsHost(job *Job, host string) bool {
	return slices.ContainsFunc(job.failedHosts, func(failed failedHost) bool {
		return failed.name == host && (job.failedTrials > 0 || c.now < failed.lastFailureAt+failedHostAvoidance)
	})
}

// failedHostNames returns the names of the machines on which the job failed.
func (j *Job) failedHostNames() []string {
	var names []string
	for _, failed := range j.failedHosts {
		names = append(names, failed.name)
	}
	return names
}
