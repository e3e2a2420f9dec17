package core

import (
	"math"
	"slices"
	"time"

	"roadcleat/internal/model"
)

// The demand of a shard is the capacity that its tasks on machines occupy plus the capacity that
// its waiting tasks need, by pool of machine types. The fleet is sized by recent demand and its
// growth.

const (
	// demandSampleInterval is the period that one demand sample covers.
	demandSampleInterval = time.Second
	// growthIntervals is the number of equal intervals into which the window of demand samples is
	// divided, to distinguish sustained growth from a single step.
	growthIntervals = 4
	// smallFleetCores is the demand or capacity up to which the full spare share is kept, growth is
	// not added to the demand of all work, and queue estimates do not limit on-demand rentals for
	// unplaced work. Random variation grows only with the square root of demand: a larger fleet
	// needs proportionally less spare capacity, and its demand is easier to forecast.
	smallFleetCores = 200.0
)

// demandSample is the demand of a shard at one time, in cores by pool index.
type demandSample struct {
	at                time.Duration
	nonBackfillCores  []float64 // of all work except backfill
	onDemandOnlyCores []float64 // the part of nonBackfillCores by work that may not run on spot instances
}

// nonBackfillDemand returns the cores for all work except backfill.
func (s demandSample) nonBackfillDemand() []float64 { return s.nonBackfillCores }

// onDemandOnlyDemand returns the cores for work that may not run on spot instances.
func (s demandSample) onDemandOnlyDemand() []float64 { return s.onDemandOnlyCores }

// shardDemand is the current demand of a shard, in cores by pool index.
type shardDemand struct {
	pools                       []uint64  // sets of machine types
	nonBackfillCores            []float64 // of all work except backfill
	onDemandOnlyCores           []float64 // the part of nonBackfillCores by work that may not run on spot instances
	backfillCores               []float64 // of backfill tasks on machines; waiting backfill is not counted
	nonPreemptibleBackfillCores []float64 // the part of backfillCores by tasks that may not be preempted
}

// measureDemand returns the demand of the tasks on a shard's machines and of its waiting tasks.
func (c *Core) measureDemand(shard *Shard) shardDemand {
	pools := c.pools()
	demand := shardDemand{
		pools:                       pools,
		nonBackfillCores:            make([]float64, len(pools)),
		onDemandOnlyCores:           make([]float64, len(pools)),
		backfillCores:               make([]float64, len(pools)),
		nonPreemptibleBackfillCores: make([]float64, len(pools)),
	}
	for _, host := range shard.sortedHosts() {
		if host.typeIndex < 0 {
			continue
		}
		for _, task := range host.tasks {
			c.addPlacedTask(&demand, host, task)
		}
	}
	for _, id := range sortedKeys(shard.assignments) { // fixed order: teamTaskHeadroom may send a quota read
		c.addWaitingTasks(&demand, shard, shard.assignments[id])
	}
	return demand
}

// addPlacedTask adds the demand of a task on a machine.
func (c *Core) addPlacedTask(demand *shardDemand, host *Host, task *Task) {
	pool, cores := poolIndex(demand.pools, host.typeIndex), c.equivalentCores(task.resources, host.typeIndex)
	job := task.job()
	if job != nil && c.isBackfill(job) {
		demand.backfillCores[pool] += cores
		if !c.isPreemptible(task) {
			demand.nonPreemptibleBackfillCores[pool] += cores
		}
		return
	}
	demand.nonBackfillCores[pool] += cores
	if job != nil && !job.spec.Spot {
		demand.onDemandOnlyCores[pool] += cores
	}
}

// addWaitingTasks adds the demand of those waiting tasks of an assignment that could start if
// machines had free capacity. Tasks beyond the team's quota are not counted.
func (c *Core) addWaitingTasks(demand *shardDemand, shard *Shard, assignment *Assignment) {
	job := assignment.job
	if job.state != model.JobPending || job.team < 0 || len(assignment.waiting) == 0 || c.isBackfill(job) {
		return
	}
	typeIndex := c.preferredMachineType(job)
	if typeIndex < 0 {
		return
	}
	startable := min(c.startableTaskCount(assignment), c.teamTaskHeadroom(shard, job.team, job.spec.TaskResources))
	pool, cores := poolIndex(demand.pools, typeIndex), float64(startable)*c.equivalentCores(job.spec.TaskResources, typeIndex)
	demand.nonBackfillCores[pool] += cores
	if !job.spec.Spot {
		demand.onDemandOnlyCores[pool] += cores
	}
}

// recordDemand adds the demand to the shard's samples and drops samples older than the window. A
// sample holds the maximum for each pool within demandSampleInterval. A change in the number of
// pools starts a new sample.
func (s *Shard) recordDemand(demand shardDemand, now, window time.Duration) {
	if len(s.demandSamples) == 0 {
		s.firstDemandAt = now
	}
	last := len(s.demandSamples) - 1
	if last < 0 || now >= s.demandSamples[last].at+demandSampleInterval ||
		len(s.demandSamples[last].nonBackfillCores) != len(demand.nonBackfillCores) {
		s.demandSamples = append(s.demandSamples,
			demandSample{now, demand.nonBackfillCores, demand.onDemandOnlyCores})
	} else {
		sample := s.demandSamples[last]
		for pool := range demand.nonBackfillCores {
			sample.nonBackfillCores[pool] = max(sample.nonBackfillCores[pool], demand.nonBackfillCores[pool])
			sample.onDemandOnlyCores[pool] = max(sample.onDemandOnlyCores[pool], demand.onDemandOnlyCores[pool])
		}
	}
	for len(s.demandSamples) > 0 && s.demandSamples[0].at < now-window {
		s.demandSamples = s.demandSamples[1:]
	}
}

// subtractMovedDemand subtracts tasks that were moved to another shard from this shard's demand
// samples. Otherwise the shard would rent on-demand machines for a peak that has moved to the other
// shard.
func (c *Core) subtractMovedDemand(shard *Shard, job *Job, tasks int) {
	typeIndex := c.preferredMachineType(job)
	if typeIndex < 0 || c.isBackfill(job) {
		return
	}
	pool, movedCores := poolIndex(c.pools(), typeIndex), float64(tasks)*c.equivalentCores(job.spec.TaskResources, typeIndex)
	for _, sample := range shard.demandSamples {
		if pool >= len(sample.nonBackfillCores) {
			continue
		}
		sample.nonBackfillCores[pool] = max(sample.nonBackfillCores[pool]-movedCores, 0)
		if !job.spec.Spot {
			sample.onDemandOnlyCores[pool] = max(sample.onDemandOnlyCores[pool]-movedCores, 0)
		}
	}
}

// targetCores returns the cores that a pool should have according to the demand samples: their peak
// plus spare capacity, a share of their mean. It also returns the mean.
func (c *Core) targetCores(
	shard *Shard, coresOf func(demandSample) []float64, pool, poolCount int,
) (target, mean float64) {
	peak := 0.0
	for _, sample := range shard.demandSamples {
		// Samples with another number of pools were recorded before the pools changed.
		if cores := coresOf(sample); len(cores) == poolCount {
			peak = max(peak, cores[pool])
			mean += cores[pool] / float64(len(shard.demandSamples))
		}
	}
	spare := mean * c.cfg.Tuning.SpareCapacityRatio * min(1, math.Sqrt(smallFleetCores/max(mean, 1)))
	return peak + spare, mean
}

// demandGrowthCoresPerSecond returns the average growth of a pool's demand over the window of
// samples, or 0 if demand shrank. Machines must be rented ahead of growth: work that arrives while
// machines for earlier work boot would itself wait for a boot, however steadily it arrives.
//
// The largest growth of any interval is replaced by the second largest, so that a single large job
// does not count as growth. The result is 0 until one and a half windows after the owner's first
// sample: the demand that a new owner observes first is a backlog and does not indicate future
// demand.
func (c *Core) demandGrowthCoresPerSecond(
	shard *Shard, coresOf func(demandSample) []float64, pool, poolCount int,
) float64 {
	window := c.cfg.Tuning.DemandWindow
	if len(shard.demandSamples) == 0 || c.now < shard.firstDemandAt+window*3/2 {
		return 0
	}
	demandAt := func(at time.Duration) float64 {
		demand := 0.0
		for _, sample := range shard.demandSamples {
			if cores := coresOf(sample); sample.at <= at && len(cores) == poolCount {
				demand = cores[pool]
			}
		}
		return demand
	}
	windowStart := shard.demandSamples[0].at
	interval := (c.now - windowStart) / growthIntervals
	growthByInterval := make([]float64, growthIntervals)
	for i := range growthByInterval {
		growthByInterval[i] = demandAt(windowStart+interval*time.Duration(i+1)) -
			demandAt(windowStart+interval*time.Duration(i))
	}
	slices.Sort(growthByInterval)
	growthByInterval[growthIntervals-1] = growthByInterval[growthIntervals-2]
	totalGrowth := 0.0
	for _, growth := range growthByInterval {
		totalGrowth += growth
	}
	return max(totalGrowth, 0) / (toSeconds(interval) * growthIntervals)
}
