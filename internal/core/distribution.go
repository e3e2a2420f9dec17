package core

import (
	"cmp"
	"slices"

	"roadcleat/internal/model"
	"roadcleat/internal/plan"
	"roadcleat/internal/records"
)

const (
	// maxSingleShardTasks is the maximum number of tasks of a job that is assigned to one shard
	// as a whole. Each further shard costs writes to the state service when the job is accepted,
	// and reads of all its assignments when it completes. Tasks that lack free capacity in that
	// shard are moved later.
	maxSingleShardTasks = 40
	// maxSampledTasks is the maximum number of tasks of a job that are distributed one by one.
	// The others are distributed in the same proportions.
	maxSampledTasks = 64
)

// distribute splits a new job into assignments: each task goes to the shard of the machine on
// which it finishes earliest, within the job's limits on zones.
func (c *Core) distribute(spec *model.JobSpec) map[string]records.TaskRanges {
	job := c.provisionalJob(spec)
	step := c.planStep(job)
	queueCosts := c.queueCostSeconds(job)
	placementCost := step.CostSeconds
	step.CostSeconds = func(kind int) float64 { return placementCost(kind) + queueCosts[kind/2] }
	byZone := c.distributionDevices(job, queueCosts)

	counts := make([]int, len(c.shards))
	now := toSeconds(c.now)
	if spec.OneZone || spec.Gang {
		// All placements of a gang are committed by one transaction of one owner, so it is kept
		// in one shard.
		counts[c.bestZone(step, spec.Tasks, byZone, now)] = spec.Tasks
	} else {
		maxPerZone := spec.Tasks
		if spec.SpreadZones {
			maxPerZone = (spec.Tasks + 1) / 2 // tasks in at least two zones
		}
		distributor := zoneDistributor{byZone: byZone, counts: counts, remaining: spec.Tasks, maxPerZone: maxPerZone}
		distributor.run(step, c.maxPlacedAtOnce(job), now)
		if spec.Tasks <= maxSingleShardTasks && !spec.SpreadZones {
			mergeIntoLargest(counts)
		}
	}
	limitShards(counts, c.cfg.MaxTxnMutations-1) // one operation writes the job, the others its assignments
	c.recordDistribution(job, counts)
	return c.splitByCounts(counts)
}

// provisionalJob returns a job for the planner that is not stored yet.
func (c *Core) provisionalJob(spec *model.JobSpec) *Job {
	job := &Job{
		id:    spec.ID,
		spec:  *spec,
		image: -1,
		class: c.classes.indexOrAdd(spec.Class),
		team:  c.teams.lookup(spec.Team),
	}
	if spec.Image != "" {
		job.image = c.imageIndexOrAdd(spec)
	}
	return job
}

// queueCostSeconds returns how long a job's tasks wait for earlier work, by zone and machine
// type. For backfill it includes a penalty where its capacity is used up.
func (c *Core) queueCostSeconds(job *Job) []float64 {
	costs := make([]float64, len(c.shards)*len(c.machineTypes))
	for zone, shard := range c.shards {
		copy(costs[zone*len(c.machineTypes):], c.queueWaitSeconds(shard, job.spec.Priority))
	}
	if !c.isBackfill(job) {
		return costs
	}
	for zone, shard := range c.shards {
		for typeIndex := range c.machineTypes {
			if c.backfillCapacityOn(shard, typeIndex) < c.equivalentCores(job.spec.TaskResources, typeIndex) {
				costs[zone*len(c.machineTypes)+typeIndex] += noBackfillCapacityPenaltySeconds
			}
		}
	}
	return costs
}

// distributionDevices returns the devices, by zone, to which a new job's tasks may be
// distributed: existing machines and hypothetical ones that could be rented.
func (c *Core) distributionDevices(job *Job, queueCosts []float64) [][]device {
	byZone := make([][]device, len(c.shards))
	counts := c.countFleet()
	for zone, shard := range c.shards {
		if job.spec.Zone != "" && shard.name != job.spec.Zone || !c.zoneOffersTypeFor(job, shard) {
			continue
		}
		existing := c.shardDevices(shard)
		rentable := c.rentableDevices(shard, job, queueCosts[zone*len(c.machineTypes):], counts)
		byZone[zone] = append(slices.Clip(existing), rentable...)
	}
	return byZone
}

// splitByCounts assigns each zone the given number of the job's tasks, as consecutive ranges of
// task indices.
func (c *Core) splitByCounts(counts []int) map[string]records.TaskRanges {
	split := map[string]records.TaskRanges{}
	first := 0
	for zone, count := range counts {
		if count > 0 {
			split[c.shards[zone].name] = records.TaskRanges{{first, first + count}}
			first += count
		}
	}
	return split
}

// mergeIntoLargest assigns all tasks to the shard that has the most.
func mergeIntoLargest(counts []int) {
	largest, total := 0, 0
	for zone, count := range counts {
		total += count
		if count > counts[largest] {
			largest = zone
		}
	}
	clear(counts)
	counts[largest] = total
}

// limitShards reduces the number of shards with tasks to maxShards, because a job and its
// assignments are created in one transaction of limited size. Each task of the shards with the
// fewest tasks goes to the remaining shard that then has the fewest, so that tasks that must be
// spread over zones stay spread.
func limitShards(counts []int, maxShards int) {
	var used []int
	for zone, count := range counts {
		if count > 0 {
			used = append(used, zone)
		}
	}
	if len(used) <= maxShards {
		return
	}
	slices.SortStableFunc(used, func(a, b int) int { return cmp.Compare(counts[b], counts[a]) })
	kept := used[:maxShards]
	byCount := func(a, b int) int { return cmp.Compare(counts[a], counts[b]) }
	for _, zone := range used[maxShards:] {
		for ; counts[zone] > 0; counts[zone]-- {
			counts[slices.MinFunc(kept, byCount)]++
		}
	}
}

// zoneOffersTypeFor reports whether the zone offers a machine type that the job may run on.
func (c *Core) zoneOffersTypeFor(job *Job, shard *Shard) bool {
	for typeIndex := range c.machineTypes {
		machineType := &c.machineTypes[typeIndex]
		if slices.Contains(machineType.Zones, shard.name) && job.spec.TaskResources.FitsIn(machineType.Capacity) &&
			c.mayRunOn(job, c.zoneKindIndex(shard.zone, typeIndex, false)) {
			return true
		}
	}
	return false
}

// bestZone returns the zone in which a job that must stay in one zone finishes first. If the job
// fits in no zone, it returns the last zone with machines for it, or else this controller's own
// zone.
func (c *Core) bestZone(step *plan.Step, tasks int, byZone [][]device, now float64) int {
	sampleStep := plan.Step{
		Tasks:      min(tasks, maxSampledTasks),
		Gang:       step.Gang,
		Need:       step.Need,
		RunSeconds: step.RunSeconds,
		Image:      step.Image,
		ImageGB:    step.ImageGB,
		Allowed:    step.Allowed,
	}
	best, earliestFinish := -1, 0.0
	for zone, devices := range byZone {
		if len(devices) == 0 {
			continue
		}
		schedule := plan.Solve([]plan.Step{sampleStep}, toPlannerDevices(devices), now, c.cfg.Tuning.MaxPartialSchedules)
		if schedule.Complete && (best < 0 || schedule.Finish < earliestFinish) {
			best, earliestFinish = zone, schedule.Finish
		}
	}
	if best >= 0 {
		return best
	}
	best = max(c.zones.lookup(c.cfg.Zone), 0)
	for zone, devices := range byZone {
		if len(devices) > 0 {
			best = zone
		}
	}
	return best
}
