package core

import "math"

// Run time estimates for jobs without one, and parameters of the correction of estimates. A run
// time ratio is an observed run time divided by its estimate.
const (
	defaultServiceRunSeconds = 3600.0 // a replica of a service
	defaultRunSeconds        = 30.0   // any other task
	maxRunTimeRatio          = 10.0   // largest ratio taken into account for one task
	minRunTimeRatio          = 0.1    // smallest ratio taken into account for one task
	runTimeRatioWeight       = 0.05   // weight of the newest task in the moving average of a class
)

// estimatedRunSeconds returns the expected run time of a job's task in seconds, corrected by the
// observed run time ratio of its class: submitted estimates are wrong by half or more.
func (c *Core) estimatedRunSeconds(job *Job) float64 {
	estimate := job.spec.EstimatedRunSeconds
	if estimate <= 0 {
		estimate = defaultServiceRunSeconds
		if !job.spec.Service {
			estimate = defaultRunSeconds
		}
	}
	if job.class < len(c.runTimeRatio) && c.runTimeRatio[job.class] > 0 {
		estimate *= c.runTimeRatio[job.class]
	}
	return estimate
}

// updateRunTimeRatio updates the run time ratio of a job's class with the run time, in seconds, of a
// completed task. It averages logarithms, so that half and twice the estimate have the same
// weight.
func (c *Core) updateRunTimeRatio(job *Job, seconds float64) {
	if job.spec.EstimatedRunSeconds <= 0 || seconds <= 0 {
		return
	}
	for len(c.runTimeRatio) <= job.class {
		c.runTimeRatio = append(c.runTimeRatio, 1)
	}
	mean := math.Log(c.runTimeRatio[job.class])
	newest := math.Log(min(max(seconds/job.spec.EstimatedRunSeconds, minRunTimeRatio), maxRunTimeRatio))
	c.runTimeRatio[job.class] = math.Exp(mean + runTimeRatioWeight*(newest-mean))
}
