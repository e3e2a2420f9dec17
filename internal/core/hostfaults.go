package core

import (
	"slices"
	"time"
)

// This file detects faulty machines. A worker reports a failure of the machine and a failure of the
// task in the same way, so the cause is inferred from other failures. A machine is faulty if tasks
// of different jobs fail on it, or of one job that succeeds elsewhere. A job whose tasks fail on
// one machine after another and never succeed was submitted with a mistake. Such a job is suspect
// (see suspectjobs.go) and its failures are not attributed to machines; otherwise one such job
// would cause all machines of the fleet to be returned, one after another.

const (
	// minFailuresForFaulty is the number of consecutive failures, without those of suspect jobs,
	// after which a machine is marked faulty.
	minFailuresForFaulty = 3
	// maxFailedHosts bounds the list of machines on which a job failed.
	maxFailedHosts = 16
	// healthyReplicaUptime is the run time of a replica above which its failure is attributed
	// neither to its job nor to its machine.
	healthyReplicaUptime = 30 * time.Second
	// jobFailurePause is the delay before the next start of a job after one of its tasks failed.
	// replicaFailurePause is the same after the failure of a replica that ran for longer than
	// healthyReplicaUptime. hostPausePerFailure is the time without
	// placements on the machine, multiplied by its number of failures.
	jobFailurePause     = 300 * time.Millisecond
	replicaFailurePause = time.Second
	hostPausePerFailure = 2 * time.Second
)

// failedHost is a machine on which a task of a job failed, and the time of the last failure.
type failedHost struct {
	name          string
	lastFailureAt time.Duration
}

// recordTaskFailure counts a failed task for its job and its machine, delays the job's next start
// and updates whether the job is suspect and the machine faulty.
func (c *Core) recordTaskFailure(shard *Shard, host *Host, task *Task) {
	job := task.job()
	if job == nil {
		return // the job is finished, so the failure is not attributed
	}
	if job.spec.Service && task.startedAt > 0 && c.now > task.startedAt+healthyReplicaUptime {
		// The replica ran long enough to show that both the job and the machine work.
		job.launchesHeldUntil = max(job.launchesHeldUntil, c.now+replicaFailurePause)
		return
	}
	c.info("worker reported a failed task",
		"job", job.id, "task", task.id.Index, "host", host.name, "attempt", task.attempt)
	job.failures++
	c.stats.Failed++
	job.launchesHeldUntil = max(job.launchesHeldUntil, c.now+jobFailurePause)
	if host.failuresByJob == nil {
		host.failuresByJob = map[string]int{}
	}
	host.failuresByJob[job.id]++
	c.addFailedHost(host, job)
	c.assessJobFailures(shard, host, task, job)
	c.assessHostFailures(shard, host)
}

// addFailedHost adds a machine to the list of machines on which a job failed, or updates the time
// of its last failure. Faulty machines are not added.
func (c *Core) addFailedHost(host *Host, job *Job) {
	index := slices.IndexFunc(job.failedHosts, func(failed failedHost) bool { return failed.name == host.name })
	if index >= 0 {
		job.failedHosts[index].lastFailureAt = c.now
		return
	}
	if !host.faulty && len(job.failedHosts) < maxFailedHosts {
		job.failedHosts = append(job.failedHosts, failedHost{host.name, c.now})
	}
}

// assessHostFailures decides whether the failures on a machine since a task last succeeded on it
// are attributed to the machine. If so, placements on it pause, and with enough failures it is
// marked faulty.
func (c *Core) assessHostFailures(shard *Shard, host *Host) {
	failures, isAttributedToHost := 0, len(host.failuresByJob) > 1
	for id, count := range host.failuresByJob {
		failures += count
		if job := c.jobs[id]; job != nil && c.hasSucceeded(job) {
			isAttributedToHost = true
		}
	}
	if !isAttributedToHost {
		return // the job may be the cause; it avoids this machine, see excludeFailedHosts
	}
	host.blockedUntil = max(host.blockedUntil, c.now+time.Duration(failures)*hostPausePerFailure)
	if failures >= minFailuresForFaulty && !host.faulty {
		host.faulty = true
		shard.needsPlan = true
		c.warn("marked machine faulty: tasks of different jobs fail on it, or of a job that succeeds elsewhere",
			"host", host.name, "shard", shard.name, "failures", failures)
	}
}

// clearHostFailures removes a job's failures from the machines on which it failed, and assesses
// these machines again.
func (c *Core) clearHostFailures(shard *Shard, job *Job) {
	for _, failed := range job.failedHosts {
		host := shard.hosts[failed.name]
		if host == nil || host.failuresByJob[job.id] == 0 {
			continue
		}
		delete(host.failuresByJob, job.id)
		host.blockedUntil, host.faulty = 0, false
		c.assessHostFailures(shard, host)
		shard.needsPlan = true
	}
}

// attributeFailuresToHosts attributes the failures of a job that has succeeded elsewhere to the
// machines on which they occurred.
func (c *Core) attributeFailuresToHosts(shard *Shard, job *Job) {
	for _, failed := range job.failedHosts {
		host := shard.hosts[failed.name]
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

// recordTaskSuccess records that a task of the job completed on the machine. It resets the
// machine's failures, and the job's suspicion after its first success.
func (c *Core) recordTaskSuccess(host *Host, job *Job) {
	clear(host.failuresByJob)
	if !job.hasCompletedTask {
		job.hasCompletedTask = true
		c.clearSuspicion(job)
	}
}
