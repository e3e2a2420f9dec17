package core

import (
	"slices"
	"time"
)

// Which machine is to blame for failed tasks. A worker reports a failure of the machine and a
// failure of the task in the same way, so what else happened decides. A machine is faulty if
// different jobs fail on it, or one that succeeds elsewhere. A job whose tasks fail on one
// machine after the other and never succeed was submitted with a mistake; it is suspect (see
// suspectjobs.go) and blames no machine. Otherwise one such job would have all machines of the
// fleet returned, one after the other.

const (
	// faultyAfterFailures is how many failures in a row make a machine faulty, those of
	// suspect jobs not counted.
	faultyAfterFailures = 3
	// maxFailedHosts bounds the machines remembered per job.
	maxFailedHosts = 16
	// serviceProvenAfter is how long a replica must have run for its failure to prove
	// nothing.
	serviceProvenAfter = 30 * time.Second
	// failurePause and replicaPause are for how long a job is not started after a failure,
	// and blockPerFailure for how long its machine gets no work, for each failure there.
	failurePause    = 300 * time.Millisecond
	replicaPause    = time.Second
	blockPerFailure = 2 * time.Second
)

// failedHost is a machine on which a task of a job failed, and when.
type failedHost struct {
	host string
	at   time.Duration
}

// recordFailure draws the conclusions from a failed task.
func (c *Core) recordFailure(shard *Shard, host *Host, task *Task) {
	job := task.job()
	if job == nil {
		return // the job has ended; its tasks prove nothing any more
	}
	if job.spec.Service && task.startedAt > 0 && c.now > task.startedAt+serviceProvenAfter {
		// The replica served for a while, so both the job and the machine are sound.
		job.holdUntil = max(job.holdUntil, c.now+replicaPause)
		return
	}
	c.info("task failed", "job", job.id, "task", task.id.Index, "host", host.name, "attempt", task.attempt)
	job.failures++
	c.stats.Failed++
	job.holdUntil = max(job.holdUntil, c.now+failurePause)
	if host.failuresByJob == nil {
		host.failuresByJob = map[string]int{}
	}
	host.failuresByJob[job.id]++
	c.recordFailedHost(host, job)
	c.assessJobFailures(shard, host, task, job)
	c.assessHostFailures(shard, host)
}

// recordFailedHost notes on which machine a job failed. Faulty machines do not count.
func (c *Core) recordFailedHost(host *Host, job *Job) {
	known := slices.IndexFunc(job.failedOn, func(f failedHost) bool { return f.host == host.name })
	if known >= 0 {
		job.failedOn[known].at = c.now
		return
	}
	if !host.faulty && len(job.failedOn) < maxFailedHosts {
		job.failedOn = append(job.failedOn, failedHost{host.name, c.now})
	}
}

// assessHostFailures draws the conclusions from what failed on a machine since a task last
// succeeded there.
func (c *Core) assessHostFailures(shard *Shard, host *Host) {
	failures, hostToBlame := 0, len(host.failuresByJob) > 1
	for id, n := range host.failuresByJob {
		failures += n
		if job := c.jobs[id]; job != nil && c.hasSucceeded(job) {
			hostToBlame = true
		}
	}
	if !hostToBlame {
		return // it may be the job, which avoids this machine for a while, see withoutFailedHosts
	}
	host.blockedUntil = max(host.blockedUntil, c.now+time.Duration(failures)*blockPerFailure)
	if failures >= faultyAfterFailures && !host.faulty {
		host.faulty = true
		shard.needsPlan = true
		c.warn("host faulty: different jobs' tasks fail on it, or one that runs elsewhere",
			"host", host.name, "shard", shard.name, "failures", failures)
	}
}

// clearBlame removes a job's failures from the machines on which it failed.
func (c *Core) clearBlame(shard *Shard, job *Job) {
	for _, failed := range job.failedOn {
		host := shard.hosts[failed.host]
		if host == nil || host.failuresByJob[job.id] == 0 {
			continue
		}
		delete(host.failuresByJob, job.id)
		host.blockedUntil, host.faulty = 0, false
		c.assessHostFailures(shard, host)
		shard.needsPlan = true
	}
}

// restoreBlame blames the machines on which a job failed that has succeeded elsewhere.
func (c *Core) restoreBlame(shard *Shard, job *Job) {
	for _, failed := range job.failedOn {
		host := shard.hosts[failed.host]
		if host == nil {
			continue
		}
		if host.failuresByJob == nil {
			host.failuresByJob = map[string]int{}
		}
		host.failuresByJob[job.id] = max(host.failuresByJob[job.id], 1)
		c.assessHostFailures(shard, host)
	}
}

// recordSuccess notes that a task of the job completed on the machine.
func (c *Core) recordSuccess(host *Host, job *Job) {
	clear(host.failuresByJob)
	if !job.succeeded {
		job.succeeded = true
		c.clearSuspicion(job)
	}
}
