package core

import (
	"math/bits"
	"slices"
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/plan"
)

// device is a machine as the programme sees it, and the zone it is in.
type device struct {
	*plan.Device
	zone int
	host *Host // nil: booting elsewhere, another part's, or yet to be hired
}

// unplacedWork is work that finds no machine soon.
type unplacedWork struct {
	job      *Job
	tasks    int
	startsIn float64 // seconds until the first of them would start here
}

// runShard does what is due for a part: plans, records, sends.
func (c *Core) runShard(shard *Shard) {
	if shard.claim.HandingOver() {
		return
	}
	c.resolveUnknownKeys(shard)
	if c.now >= shard.nextSweepAt {
		shard.nextSweepAt = c.now + time.Second
		c.sweep(shard)
		shard.needsPlan = shard.needsPlan || len(shard.unplaced) > 0
	}
	if shard.needsPlan && c.now >= shard.nextPlanAt {
		shard.needsPlan = false
		shard.nextPlanAt = c.now + c.planShard(shard)
		shard.nextSizingAt = min(shard.nextSizingAt, c.now+sizeAfterPlan)
	}
	if c.now >= shard.nextSizingAt && !shard.needsPlan { // by what the newest plan lacks
		shard.nextSizingAt = c.now + time.Second
		c.sizeFleet(shard)
	}
	c.commitChanges(shard)
	c.maybeRebalance(shard)
	c.sendCommands(shard)
}

// sizeAfterPlan is how soon after a plan the fleet is looked at.
const sizeAfterPlan = 100 * time.Millisecond

// sweep looks for what events alone would miss.
func (c *Core) sweep(shard *Shard) {
	for _, id := range sorted(shard.assignments) {
		assignment := shard.assignments[id]
		switch {
		case assignment.job.state != model.JobPending:
			if len(assignment.tasks) == 0 {
				shard.dirty[id] = assignment
			}
		case assignment.complete():
			shard.dirty[id] = assignment
		case len(assignment.waiting) > 0:
			shard.needsPlan = true
		}
	}
	for t := range c.teamConfigs {
		if c.releaseGrant(shard, t, false) {
			return
		}
	}
	for _, h := range shard.hostList() {
		c.drain(shard, h)
	}
}

// drain frees a machine that will be taken or is not fit: what cannot end in
// time is stopped at once and starts again elsewhere.
func (c *Core) drain(shard *Shard, host *Host) {
	if host.state != hostUp || host.reclaimedAt == 0 && !host.faulty {
		return
	}
	for _, id := range sortedTasks(host.tasks) {
		task := host.tasks[id]
		if task == nil || task.phase != taskPlaced || task.stopping {
			continue
		}
		job := task.job()
		if host.faulty || job == nil || c.expectedEnd(task) > host.reclaimedAt || job.spec.Service {
			gracePeriod := 0.0
			if job != nil && job.spec.CheckpointSeconds > 0 && task.state == TaskRunning {
				gracePeriod = job.spec.SaveSeconds + 1
			}
			c.stopTask(shard, task, gracePeriod)
		}
	}
}

// planStep is a job's tasks as the programme's step. What it says of the kinds of
// machines is worked out once for all machines.
func (c *Core) planStep(job *Job) *plan.Step {
	kinds := len(c.shards) * len(c.types) * 2
	allowed, cost := make([]bool, kinds), make([]float64, kinds)
	for k := range kinds {
		if allowed[k] = c.allowedOn(job, k); allowed[k] {
			cost[k] = c.placementCost(job, k)
		}
	}
	return &plan.Step{Tasks: 1, Gang: job.spec.Gang, Need: job.spec.Need, Comp: c.estimatedRunTime(job), Image: job.image,
		ImageGB: job.spec.ImageGB, Allowed: func(kind int) bool { return allowed[kind] },
		Cost: func(kind int) float64 { return cost[kind] }}
}

// placementCost weighs what a choice of machine costs others, in seconds of this
// job's time: a dearer machine, or one that another class of jobs cannot do
// without while this job can.
func (c *Core) placementCost(job *Job, kind int) float64 {
	spot, typ := kind&1 == 1, kind/2%len(c.types)
	cost := 0.0
	if !spot {
		cost += ordinaryCost
	}
	if c.contested(job, typ) {
		cost += contestedCost
	}
	return cost
}

const (
	ordinaryCost  = 3.0
	contestedCost = 6.0
	emptyCost     = 0.5
)

// contested says whether another class seen lately has fewer types to run on
// than j, this one among them.
func (c *Core) contested(job *Job, typ int) bool {
	mine := c.typeSet(job)
	for class, k := range c.typesByClass {
		if class != job.class && k.types&(1<<typ) != 0 && c.now < k.at+5*time.Minute &&
			bits.OnesCount64(k.types) < bits.OnesCount64(mine) {
			return true
		}
	}
	return false
}

// classKinds is which types the jobs of a class fit, and when one was seen.
type classKinds struct {
	types uint64
	at    time.Duration
}

// typeSet is the set of types that hold a task of the job.
func (c *Core) typeSet(job *Job) uint64 {
	if job.fittingTypes == 0 || job.fittingTypesOf != len(c.types) {
		job.fittingTypes, job.fittingTypesOf = 0, len(c.types)
		for t := range c.types {
			if t < 64 && job.spec.Need.FitsIn(c.types[t].Capacity) &&
				(len(job.spec.Types) == 0 || slices.Contains(job.spec.Types, c.types[t].Name)) {
				job.fittingTypes |= 1 << t
			}
		}
	}
	return job.fittingTypes
}

// rememberClassTypes remembers what the class of a job runs on.
func (c *Core) rememberClassTypes(job *Job) {
	for len(c.typesByClass) <= job.class {
		c.typesByClass = append(c.typesByClass, classKinds{})
	}
	c.typesByClass[job.class] = classKinds{c.typeSet(job), c.now}
}

// hostDevice is a machine of a part owned here, with or without the room of those
// who would give way.
func (c *Core) hostDevice(host *Host, withoutPreemptible bool) device {
	t := &c.types[host.typeIndex]
	now := seconds(c.now)
	d := &plan.Device{Kind: c.kindIndex(host.shard.zone, host.typeIndex, host.spot), Total: t.Capacity, Up: now,
		SPerGB: c.fetchRate(host.typeIndex), Slow: 1, FetchAt: seconds(host.fetchesDoneAt),
		Images: make([]plan.Held, 0, len(host.images)+len(host.fetching)+1), Uses: make([]plan.Use, 0, len(host.tasks)+4)}
	if host.state == hostBooting {
		d.Up = max(seconds(host.expectedUpAt), now+1)
	} else if host.isJoining(c.now) {
		d.Up = now + 0.5
	}
	for img, at := range host.fetching {
		d.Images = append(d.Images, plan.Held{Image: img, At: max(seconds(at), now+0.2)})
	}
	for img := range host.images {
		if _, fetching := host.fetching[img]; !fetching {
			d.Images = append(d.Images, plan.Held{Image: img, At: now})
		}
	}
	if len(host.tasks) == 0 {
		d.Penalty = emptyCost // work that shares machines lets others go back
	}
	for _, task := range host.tasks {
		if withoutPreemptible && c.preemptible(task) {
			continue
		}
		d.Uses = append(d.Uses, plan.Use{Start: 0, End: seconds(c.expectedEnd(task)), Amount: task.need})
	}
	return device{d, host.shard.zone, host}
}

// teamUsage is what a team uses in all parts, as far as known here.
func (c *Core) teamUsage(team int) model.Resources {
	var sum model.Resources
	for _, shard := range c.shards {
		if shard.servedHere() {
			sum = sum.Plus(shard.teamUsage[team])
		} else if shard.view != nil {
			sum = sum.Plus(shard.view.TeamUsage[c.teamConfigs[team].Name])
		}
	}
	return sum
}

// placeTask books a task on a host; it is launched once that is durable.
func (c *Core) placeTask(shard *Shard, assignment *Assignment, i int, host *Host) {
	job := assignment.job
	if !job.spec.Gang {
		assignment.lastAttempt++
	}
	task := &Task{id: model.TaskID{Job: job.id, Index: i}, assignment: assignment, host: host, attempt: assignment.lastAttempt, phase: taskPlacing,
		need: job.spec.Need, team: job.team, placedAt: c.now, fetchStartedAt: c.now}
	if host.tasks[task.id] != nil {
		return // an earlier attempt is still on its way off this host
	}
	assignment.yieldingSince = 0
	assignment.waiting.Remove(i)
	assignment.tasks[i] = task
	c.reserve(shard, task)
	if job.image >= 0 {
		if _, has := host.images[job.image]; has {
			host.images[job.image] = c.now
		} else if _, on := host.fetching[job.image]; !on {
			at := max(c.now, host.fetchesDoneAt) + duration(job.spec.ImageGB*c.fetchRate(host.typeIndex))
			host.fetching[job.image], host.fetchesDoneAt = at, at
		}
	}
	shard.dirty[job.id] = assignment
}
