package core

import "math"

// Machines on which tasks run far longer than elsewhere. They are returned like faulty ones.

const (
	// farTooSlow is how many times as long as expected a machine's tasks may run. Single
	// estimates are often wrong by half and more, so minJudgedTasks of them are needed.
	farTooSlow     = 3.0
	minJudgedTasks = 4
	// minSiblings is how many of a job's tasks must have succeeded on other machines for
	// their run times to replace its owner's estimate.
	minSiblings = 3
	// slownessWeight is the weight of one task in a machine's running mean, and
	// slownessBound the ratio that one task counts as at most.
	slownessWeight = 0.3
	slownessBound  = 10
	// shortestRunTime bounds run times below, so that their logarithms stay finite.
	shortestRunTime = 0.01
)

// runTimes sums up the logarithms of tasks' run times in seconds.
type runTimes struct {
	sum float64
	n   int
}

// with is the sum with one more run time.
func (r runTimes) with(seconds float64) runTimes {
	return runTimes{r.sum + math.Log(max(seconds, shortestRunTime)), r.n + 1}
}

// judgeRunTime compares a successful task's run time with the expected one, and marks its
// machine faulty if its tasks all run far longer than expected.
func (c *Core) judgeRunTime(shard *Shard, host *Host, job *Job, ran float64) {
	expected, usable := c.expectedRunTime(host, job)
	recordRunTime(host, job, ran)
	if !usable {
		return
	}
	ratio := ran / expected
	// When all estimates are too low the ratios are high everywhere: the shard's mean over
	// the other machines is the measure.
	shard.removeRunTimes(host)
	othersSum, others := shard.slownessSum, float64(shard.slownessCount)
	host.slowness += slownessWeight * (min(ratio, slownessBound) - host.slowness)
	host.judgedTasks++
	shard.addRunTimes(host)
	if host.judgedTasks < minJudgedTasks || others == 0 || host.faulty {
		return
	}
	if host.slowness > farTooSlow*max(othersSum/others, 1) {
		host.faulty = true
		shard.needsPlan = true
		c.info("host far too slow", "host", host.name, "shard", shard.name, "factor", host.slowness)
	}
}

// expectedRunTime is how long a task of the job should run on the machine. The job's run times
// on other machines tell that best. Its owner's estimate is wrong for all tasks of the job
// alike, so by that a job is compared once per machine: otherwise a poor estimate would give
// up every machine that is full of one job's tasks. usable is false if it has been.
func (c *Core) expectedRunTime(host *Host, job *Job) (expected float64, usable bool) {
	here, all := job.runTimesByHost[host.name], job.runTimes
	if others := all.n - here.n; others >= minSiblings {
		return math.Exp((all.sum - here.sum) / float64(others)), true
	}
	return c.estimatedRunTime(job), here.n == 0
}

func recordRunTime(host *Host, job *Job, ran float64) {
	if job.runTimesByHost == nil {
		job.runTimesByHost = map[string]runTimes{}
	}
	job.runTimesByHost[host.name] = job.runTimesByHost[host.name].with(ran)
	job.runTimes = job.runTimes.with(ran)
}

// addRunTimes adds a machine to the shard's sum of slowness. A single task does not count.
func (s *Shard) addRunTimes(host *Host) {
	if host.judgedTasks > 1 {
		s.slownessSum += host.slowness
		s.slownessCount++
	}
}

// removeRunTimes removes a machine from the shard's sum of slowness.
func (s *Shard) removeRunTimes(host *Host) {
	if host.judgedTasks > 1 {
		s.slownessSum -= host.slowness
		s.slownessCount--
	}
}
