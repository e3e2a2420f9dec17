package core

import "math"

// This file detects slow machines, on which tasks run far longer than on others. They are marked
// faulty and returned.

const (
	// maxSlownessRatio is the ratio of a machine's mean slowness to that of the shard's other
	// machines (at least 1) above which it is marked faulty. Single run-time estimates are often
	// wrong by half or more, so at least minSlownessSamples tasks are compared.
	maxSlownessRatio   = 3.0
	minSlownessSamples = 4
	// minRunTimesElsewhere is the number of a job's tasks that must have succeeded on other
	// machines for their run times to replace the estimate of the job's user.
	minRunTimesElsewhere = 3
	// slownessWeight is the weight of one task in a machine's running mean. maxTaskSlownessRatio
	// is the upper bound applied to the ratio of one task.
	slownessWeight       = 0.3
	maxTaskSlownessRatio = 10
	// minRunTimeSeconds is the lower bound applied to run times, so that their logarithms stay
	// finite.
	minRunTimeSeconds = 0.01
)

// runTimeLogSum is a sum of the logarithms of tasks' run times in seconds, from which
// expectedRunSeconds computes their geometric mean.
type runTimeLogSum struct {
	logSum float64
	count  int
}

// plus returns the sum with one more run time added.
func (r runTimeLogSum) plus(runTimeSeconds float64) runTimeLogSum {
	return runTimeLogSum{r.logSum + math.Log(max(runTimeSeconds, minRunTimeSeconds)), r.count + 1}
}

// assessRunTime compares a successful task's run time with the expected run time, and marks the
// machine faulty if its tasks run far longer than expected.
func (c *Core) assessRunTime(shard *Shard, host *Host, job *Job, runTimeSeconds float64) {
	expectedSeconds, usable := c.expectedRunSeconds(host, job)
	recordRunTime(host, job, runTimeSeconds)
	if !usable {
		return
	}
	ratio := runTimeSeconds / expectedSeconds
	// If all estimates are too low the ratios are high on every machine, so the machine is compared
	// with the mean over the shard's other machines.
	shard.removeSlowness(host)
	otherHostsSum, otherHostsCount := shard.hostSlownessSum, float64(shard.hostSlownessCount)
	host.slownessRatio += slownessWeight * (min(ratio, maxTaskSlownessRatio) - host.slownessRatio)
	host.slownessSamples++
	shard.addSlowness(host)
	if host.slownessSamples < minSlownessSamples || otherHostsCount == 0 || host.faulty {
		return
	}
	if host.slownessRatio > maxSlownessRatio*max(otherHostsSum/otherHostsCount, 1) {
		host.faulty = true
		shard.needsPlan = true
		c.info("marked machine faulty: its tasks run far longer than on other machines",
			"host", host.name, "shard", shard.name, "factor", host.slownessRatio)
	}
}

// expectedRunSeconds returns the expected run time of a task of the job on the machine. The
// geometric mean of the job's run times on other machines is the best forecast. The estimate by the
// job's user is wrong for all tasks of the job alike, so it is used only for the job's first task
// on the machine: otherwise a poor estimate would mark every machine faulty that is full of one
// job's tasks. usable is false for the later tasks.
func (c *Core) expectedRunSeconds(host *Host, job *Job) (expectedSeconds float64, usable bool) {
	onHost, total := job.runTimesByHost[host.name], job.runTimes
	if elsewhere := total.count - onHost.count; elsewhere >= minRunTimesElsewhere {
		return math.Exp((total.logSum - onHost.logSum) / float64(elsewhere)), true
	}
	return c.estimatedRunSeconds(job), onHost.count == 0
}

// recordRunTime adds a run time to the job's sums, in total and for the machine.
func recordRunTime(host *Host, job *Job, runTimeSeconds float64) {
	if job.runTimesByHost == nil {
		job.runTimesByHost = map[string]runTimeLogSum{}
	}
	job.runTimesByHost[host.name] = job.runTimesByHost[host.name].plus(runTimeSeconds)
	job.runTimes = job.runTimes.plus(runTimeSeconds)
}

// addSlowness adds a machine to the shard's sum of slowness ratios. A machine with a single sample
// is not included.
func (s *Shard) addSlowness(host *Host) {
	if host.slownessSamples > 1 {
		s.hostSlownessSum += host.slownessRatio
		s.hostSlownessCount++
	}
}

// removeSlowness removes a machine from the shard's sum of slowness ratios.
func (s *Shard) removeSlowness(host *Host) {
	if host.slownessSamples > 1 {
		s.hostSlownessSum -= host.slownessRatio
		s.hostSlownessCount--
	}
}
