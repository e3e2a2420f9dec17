package core

import "time"

const (
	// minMoveGainSeconds is the expected delay of a task's start in its own shard from which on it
	// may be moved to another shard. A shorter delay is not worth a move, because this controller
	// receives the state of other shards only with the delay of gossip.
	minMoveGainSeconds = 4.0
	// rebalanceInterval is how long a shard waits before it looks for another shard for its
	// unplaced tasks again if none was moved.
	rebalanceInterval = 500 * time.Millisecond
	// assignmentMoveInterval is the minimum time between two moves of tasks of the same
	// assignment.
	assignmentMoveInterval = 5 * time.Second
	// maxMovedTasks is the maximum number of tasks per move to a shard that may lack free capacity
	// for them; maxTasksMovedToFreeCapacity is the maximum to a shard chosen for its free capacity.
	maxMovedTasks               = 64
	maxTasksMovedToFreeCapacity = 32
	// usableWithinSeconds is the time within which a machine of another shard must be up for its
	// free capacity to count as free now.
	usableWithinSeconds = 1
	// maxCurrentViewAge is the maximum age of a peer's gossip about a shard for it to count as
	// current.
	maxCurrentViewAge = 1500 * time.Millisecond
)

// maybeRebalance moves waiting tasks, which are on no machine, to another shard if they will not
// start within minMoveGainSeconds in this shard. Both assignments and the job change in one
// transaction.
func (c *Core) maybeRebalance(shard *Shard) {
	if shard.taskMovePending || c.now < shard.nextTaskMoveAt || shard.isBusy() || !c.canStartTasks() {
		return
	}
	// Without heartbeats, expected starts are unreliable: the heartbeats of booting machines do not
	// arrive either once they are up.
	hasNoHeartbeats := c.receivesNoHeartbeats(shard)
	for _, work := range shard.unplacedWork {
		assignment := shard.assignments[work.job.id]
		if assignment == nil ||
			work.startsInSeconds < minMoveGainSeconds && !hasNoHeartbeats ||
			!c.canRebalance(assignment) {
			continue
		}
		if target, count := c.moveTarget(shard, assignment, work); target != nil {
			assignment.nextMoveAt = c.now + assignmentMoveInterval
			c.moveTasks(shard, target, assignment, count)
			return
		}
	}
	shard.nextTaskMoveAt = c.now + rebalanceInterval
}

// canRebalance reports whether waiting tasks of an assignment may be moved now.
func (c *Core) canRebalance(assignment *Assignment) bool {
	return canRunInAnyShard(assignment.job) && !assignment.completionPending &&
		len(assignment.unrecordedExits) == 0 && c.now >= assignment.nextMoveAt
}

// canRunInAnyShard reports whether any shard may run the job's tasks, independently of each other.
func canRunInAnyShard(job *Job) bool {
	spec := &job.spec
	return spec.Zone == "" && !spec.OneZone && !spec.Gang && !spec.SpreadZones
}

// moveTarget returns the shard to which tasks of an assignment should be moved, and how many. It is
// a shard with free capacity now, or the shard that will rent machines for them (see
// Shard.taskMoveRequests). It returns nil if there is none.
func (c *Core) moveTarget(shard *Shard, assignment *Assignment, work unplacedWork) (*Shard, int) {
	target, count := c.shardWithCapacity(shard, assignment, work)
	if target != nil {
		return target, count
	}
	request, found := shard.taskMoveRequests[work.job.id]
	if !found {
		return nil, 0
	}
	delete(shard.taskMoveRequests, work.job.id)
	return request.destination, min(request.tasks, work.tasks, maxMovedTasks)
}

// shardWithCapacity returns the other shard in which the most tasks fit now, and how many to move
// there. Tasks in a shard without heartbeats are moved to the shard with the shortest queue,
// whether it has free capacity or not.
func (c *Core) shardWithCapacity(shard *Shard, assignment *Assignment, work unplacedWork) (*Shard, int) {
	job := assignment.job
	if c.receivesNoHeartbeats(shard) {
		return c.leastBusyShard(shard, job), min(work.tasks, maxMovedTasks)
	}
	if c.preferredMachineType(job) < 0 {
		return nil, 0
	}
	countAsBackfill, maxTasks := c.isBackfill(job), maxTasksMovedToFreeCapacity
	if countAsBackfill && c.hasWaitedTooLong(assignment) {
		countAsBackfill, maxTasks = false, maxOverdueBackfillTasks // they may use reserved capacity there
	}
	var bestShard *Shard
	mostTasks := 0
	for _, other := range c.shards {
		if other == shard || !c.viewIsCurrent(other) {
			continue
		}
		if fittingTasks := c.tasksFitting(other, job, countAsBackfill); fittingTasks > mostTasks {
			bestShard, mostTasks = other, fittingTasks
		}
	}
	return bestShard, min(mostTasks, work.tasks, maxTasks)
}

// tasksFitting returns how many tasks of a job fit in another shard now. Resources of preemptible
// tasks count as free. If countAsBackfill is set, the number is limited by the capacity for
// backfill.
func (c *Core) tasksFitting(other *Shard, job *Job, countAsBackfill bool) int {
	preferredType := c.preferredMachineType(job)
	backfillCapacity, coresPerTask := 0.0, c.equivalentCores(job.spec.TaskResources, preferredType)
	if countAsBackfill {
		if backfillCapacity = c.backfillCapacityOn(other, preferredType); backfillCapacity < max(coresPerTask, 1) {
			return 0
		}
	}
	devices := toPlannerDevices(c.shardDevices(other))
	step, now := c.planStep(job), toSeconds(c.now)
	fittingTasks := 0
	for _, candidate := range devices {
		if step.Allowed(candidate.Kind) {
			fittingTasks += candidate.FreeTaskSlots(step, now, now+usableWithinSeconds)
		}
	}
	if countAsBackfill {
		fittingTasks = min(fittingTasks, clampTaskCount(backfillCapacity/coresPerTask))
	}
	return fittingTasks
}

// viewIsCurrent reports whether this controller has the present state of a shard: it has loaded the
// shard, or the owner's newest gossip is at most maxCurrentViewAge old.
func (c *Core) viewIsCurrent(other *Shard) bool {
	if other.claim.Owned() {
		return other.loaded
	}
	return other.view != nil && c.now <= other.viewAt+maxCurrentViewAge
}

// leastBusyShard returns the shard with heartbeats that has the shortest queue for a job's tasks,
// or nil if there is none. That shard receives tasks that wait in a shard without heartbeats,
// whether it has free capacity or not.
func (c *Core) leastBusyShard(shard *Shard, job *Job) *Shard {
	preferredType := c.preferredMachineType(job)
	if preferredType < 0 {
		return nil
	}
	var bestShard *Shard
	shortestWait := 0.0
	for _, other := range c.shards {
		if other == shard || c.reportsNoHeartbeats(other) || !c.viewIsCurrent(other) || !c.zoneOffersTypeFor(job, other) {
			continue
		}
		if wait := c.queueWaitSeconds(other, job.spec.Priority)[preferredType]; bestShard == nil || wait < shortestWait {
			bestShard, shortestWait = other, wait
		}
	}
	return bestShard
}
