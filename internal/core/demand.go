package core

import (
	"math"
	"slices"
	"time"

	"roadcleat/internal/model"
)

// Demand is what a zone's work takes of its machines and what waits for room, by pool of
// machine types. The fleet is sized by the demand of the recent past and by its growth.

const (
	// demandSampleInterval is the time that one sample of demand stands for.
	demandSampleInterval = time.Second
	// growthQuarters is into how many parts the window of past demand is divided to tell
	// growth that lasts from a single step.
	growthQuarters = 4
	// smallFleetCores is the demand up to which the whole spare share is kept and queues are
	// not considered. Random variation grows only with the square root of demand, so a larger
	// fleet needs less spare room in proportion and its demand is easier to foresee.
	smallFleetCores = 200.0
)

// demandSample is the demand at a moment, in cores by pool of machine types.
type demandSample struct {
	at            time.Duration
	cores         []float64
	onDemandCores []float64 // of it, by work that may not run on spot machines
}

func (s demandSample) all() []float64      { return s.cores }
func (s demandSample) onDemand() []float64 { return s.onDemandCores }

// shardDemand is what a zone's work takes or waits for, in cores by pool of machine types.
type shardDemand struct {
	pools        []uint64
	all          []float64 // of all work but backfill
	onDemand     []float64 // of it, by work that may not run on spot machines
	backfill     []float64 // by backfill that is on machines
	firmBackfill []float64 // of it, by tasks that may not be preempted
}

// measureDemand sums up what the tasks on a shard's machines take and what waits for room.
func (c *Core) measureDemand(shard *Shard) shardDemand {
	pools := c.pools()
	demand := shardDemand{
		pools:        pools,
		all:          make([]float64, len(pools)),
		onDemand:     make([]float64, len(pools)),
		backfill:     make([]float64, len(pools)),
		firmBackfill: make([]float64, len(pools)),
	}
	for _, host := range shard.hostList() {
		if host.typeIndex < 0 {
			continue
		}
		for _, task := range host.tasks {
			c.addRunning(&demand, host, task)
		}
	}
	for _, id := range sorted(shard.assignments) { // teams' limits are read in this order
		c.addWaiting(&demand, shard, shard.assignments[id])
	}
	return demand
}

// addRunning adds a task that is on a machine.
func (c *Core) addRunning(demand *shardDemand, host *Host, task *Task) {
	pool, use := poolOf(demand.pools, host.typeIndex), c.coresTaken(task.need, host.typeIndex)
	job := task.job()
	if job != nil && c.isBackfill(job) {
		demand.backfill[pool] += use
		if !c.preemptible(task) {
			demand.firmBackfill[pool] += use
		}
		return
	}
	demand.all[pool] += use
	if job != nil && !job.spec.Spot {
		demand.onDemand[pool] += use
	}
}

// addWaiting adds the tasks of an assignment that could start if there were room.
func (c *Core) addWaiting(demand *shardDemand, shard *Shard, assignment *Assignment) {
	job := assignment.job
	if job.state != model.JobPending || job.team < 0 || len(assignment.waiting) == 0 || c.isBackfill(job) {
		return
	}
	typ := c.usualType(job)
	if typ < 0 {
		return
	}
	startable := min(c.startableTasks(assignment), c.teamRoom(shard, job.team, job.spec.Need))
	pool, use := poolOf(demand.pools, typ), float64(startable)*c.coresTaken(job.spec.Need, typ)
	demand.all[pool] += use
	if !job.spec.Spot {
		demand.onDemand[pool] += use
	}
}

// recordDemand keeps the demand as a sample, the largest of those within an interval, for as
// long as the window given.
func (s *Shard) recordDemand(demand shardDemand, now, window time.Duration) {
	if len(s.demandSamples) == 0 {
		s.demandFrom = now
	}
	last := len(s.demandSamples) - 1
	if last < 0 || now >= s.demandSamples[last].at+demandSampleInterval ||
		len(s.demandSamples[last].cores) != len(demand.all) {
		s.demandSamples = append(s.demandSamples, demandSample{now, demand.all, demand.onDemand})
	} else {
		sample := s.demandSamples[last]
		for pool := range demand.all {
			sample.cores[pool] = max(sample.cores[pool], demand.all[pool])
			sample.onDemandCores[pool] = max(sample.onDemandCores[pool], demand.onDemand[pool])
		}
	}
	for len(s.demandSamples) > 0 && s.demandSamples[0].at < now-window {
		s.demandSamples = s.demandSamples[1:]
	}
}

// forgetDemand takes tasks that leave a shard out of its past demand, so that no on-demand
// machines are rented for a peak that has moved elsewhere.
func (c *Core) forgetDemand(shard *Shard, job *Job, tasks int) {
	typ := c.usualType(job)
	if typ < 0 || c.isBackfill(job) {
		return
	}
	pool, use := poolOf(c.pools(), typ), float64(tasks)*c.coresTaken(job.spec.Need, typ)
	for _, sample := range shard.demandSamples {
		if pool >= len(sample.cores) {
			continue
		}
		sample.cores[pool] = max(sample.cores[pool]-use, 0)
		if !job.spec.Spot {
			sample.onDemandCores[pool] = max(sample.onDemandCores[pool]-use, 0)
		}
	}
}

// capacityTarget is what a pool should hold by recent demand: its peak and a share of its
// mean, which is returned as well.
func (c *Core) capacityTarget(
	shard *Shard, of func(demandSample) []float64, pool, pools int,
) (target, mean float64) {
	peak := 0.0
	for _, sample := range shard.demandSamples {
		if cores := of(sample); len(cores) == pools { // others are from before the pools changed
			peak = max(peak, cores[pool])
			mean += cores[pool] / float64(len(shard.demandSamples))
		}
	}
	spare := mean * c.cfg.Tuning.SpareShare * min(1, math.Sqrt(smallFleetCores/max(mean, 1)))
	return peak + spare, mean
}

// demandGrowth is by how many cores a second a pool's demand has grown lately. The quarter of
// the window in which it grew most counts as the next one, so that a single large job predicts
// nothing. Work that arrives while machines for earlier work still boot would wait for a boot
// itself, however steadily it arrives. The first demand that an owner sees is a backlog and
// says nothing about demand yet to come.
func (c *Core) demandGrowth(shard *Shard, of func(demandSample) []float64, pool, pools int) float64 {
	window := c.cfg.Tuning.DemandWindow
	if len(shard.demandSamples) == 0 || c.now < shard.demandFrom+window*3/2 {
		return 0
	}
	demandAt := func(at time.Duration) float64 {
		demand := 0.0
		for _, sample := range shard.demandSamples {
			if cores := of(sample); sample.at <= at && len(cores) == pools {
				demand = cores[pool]
			}
		}
		return demand
	}
	from := shard.demandSamples[0].at
	quarter := (c.now - from) / growthQuarters
	grown := make([]float64, growthQuarters)
	for q := range grown {
		grown[q] = demandAt(from+quarter*time.Duration(q+1)) - demandAt(from+quarter*time.Duration(q))
	}
	slices.Sort(grown)
	grown[growthQuarters-1] = grown[growthQuarters-2]
	sum := 0.0
	for _, g := range grown {
		sum += g
	}
	return max(sum, 0) / (seconds(quarter) * growthQuarters)
}
