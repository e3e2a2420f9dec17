package core

import (
	"cmp"
	"slices"

	"roadcleat/internal/model"
	"roadcleat/internal/plan"
	"roadcleat/internal/records"
)

const (
	// singleShardTasks is how many tasks a job may have to go to one shard as a whole. Each
	// further shard costs writes to the state service when the job arrives, and reads of all
	// its assignments when it ends. Tasks that find no room there are moved later.
	singleShardTasks = 40
	// sampledTasks is how many tasks of a large job are distributed one by one; the rest
	// follows their proportions.
	sampledTasks = 64
)

// distribute splits a new job over the shards: each task goes to the shard of its
// earliest-finish machine, as far as the job's limits on zones allow.
func (c *Core) distribute(spec *model.JobSpec) map[string]records.TaskRanges {
	job := c.undistributedJob(spec)
	step := c.planStep(job)
	queues := c.queueCosts(job)
	placementCost := step.Cost
	step.Cost = func(kind int) float64 { return placementCost(kind) + queues[kind/2] }
	byZone := c.distributionDevices(job, queues)

	counts := make([]int, len(c.shards))
	now := seconds(c.now)
	if spec.OneZone || spec.Gang {
		// A gang is placed by one transaction of one owner, so it stays together.
		counts[c.bestZone(step, spec.Tasks, byZone, now)] = spec.Tasks
	} else {
		maxPerZone := spec.Tasks
		if spec.SpreadZones {
			maxPerZone = (spec.Tasks + 1) / 2
		}
		spread := zoneSpread{byZone: byZone, counts: counts, left: spec.Tasks, maxPerZone: maxPerZone}
		spread.run(step, c.maxPlacedAtOnce(job), now)
		if spec.Tasks <= singleShardTasks && !spec.SpreadZones {
			mergeIntoLargest(counts)
		}
	}
	limitShards(counts, c.cfg.MaxTxnOps-1)
	c.recordDistribution(job, counts)
	return c.splitByCounts(counts)
}

// undistributedJob is a job as the planner needs it, before it exists.
func (c *Core) undistributedJob(spec *model.JobSpec) *Job {
	job := &Job{
		id:    spec.ID,
		spec:  *spec,
		image: -1,
		class: c.classes.indexOf(spec.Class),
		team:  c.teams.lookup(spec.Team),
	}
	if spec.Image != "" {
		job.image = c.imageIndex(spec)
	}
	return job
}

// queueCosts is what the work that waits ahead of a job costs it, in seconds by zone and
// machine type.
func (c *Core) queueCosts(job *Job) []float64 {
	queues := make([]float64, len(c.shards)*len(c.types))
	for zone, shard := range c.shards {
		copy(queues[zone*len(c.types):], c.queueSeconds(shard, job.spec.Priority))
	}
	if !c.isBackfill(job) {
		return queues
	}
	for zone, shard := range c.shards {
		for typ := range c.types {
			if c.backfillRoomOn(shard, typ) < c.coresTaken(job.spec.Need, typ) {
				queues[zone*len(c.types)+typ] += noBackfillRoomCost
			}
		}
	}
	return queues
}

// distributionDevices are the machines that a new job's tasks may be distributed to, by zone:
// those there are and those that could be rented.
func (c *Core) distributionDevices(job *Job, queues []float64) [][]device {
	byZone := make([][]device, len(c.shards))
	counts := c.countFleet()
	for zone, shard := range c.shards {
		if job.spec.Zone != "" && shard.name != job.spec.Zone || !c.zoneHolds(job, shard) {
			continue
		}
		present := c.shardDevices(shard)
		rentable := c.rentableDevices(shard, job, queues[zone*len(c.types):], counts)
		byZone[zone] = append(slices.Clip(present), rentable...)
	}
	return byZone
}

// splitByCounts gives each zone that has a count so many of the job's tasks, in order.
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

// mergeIntoLargest gives all tasks to the shard that has most of them.
func mergeIntoLargest(counts []int) {
	largest, sum := 0, 0
	for zone, count := range counts {
		sum += count
		if count > counts[largest] {
			largest = zone
		}
	}
	clear(counts)
	counts[largest] = sum
}

// limitShards leaves tasks in at most so many shards: a job and its assignments are created in
// one transaction. The shards with the fewest tasks give theirs one by one to that of the
// others which has the fewest then, so that tasks that must be apart stay apart.
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

// zoneHolds reports whether the zone offers a machine type that the job may run on.
func (c *Core) zoneHolds(job *Job, shard *Shard) bool {
	for t := range c.types {
		typ := &c.types[t]
		if slices.Contains(typ.Zones, shard.name) && job.spec.Need.FitsIn(typ.Capacity) &&
			c.allowedOn(job, c.kindIndex(shard.zone, t, false)) {
			return true
		}
	}
	return false
}

// bestZone is the zone in which a job that must stay together ends first. If it fits nowhere,
// it is the last zone with machines, or this controller's own.
func (c *Core) bestZone(step *plan.Step, tasks int, byZone [][]device, now float64) int {
	whole := plan.Step{
		Tasks:   min(tasks, sampledTasks),
		Gang:    step.Gang,
		Need:    step.Need,
		RunTime: step.RunTime,
		Image:   step.Image,
		ImageGB: step.ImageGB,
		Allowed: step.Allowed,
	}
	best, earliest := -1, 0.0
	for zone, devices := range byZone {
		if len(devices) == 0 {
			continue
		}
		schedule := plan.Solve([]plan.Step{whole}, planDevices(devices), now, c.cfg.Tuning.Frontier)
		if schedule.Complete && (best < 0 || schedule.Finish < earliest) {
			best, earliest = zone, schedule.Finish
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
