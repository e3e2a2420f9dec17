package core

import "time"

const (
	// moveGain is by how much earlier, in seconds, a task must start in another shard to be
	// moved there: what is known of another shard is a moment old.
	moveGain = 4.0
	// rebalanceInterval is how often a shard's unplaced tasks are compared with the room of
	// other shards when none is moved.
	rebalanceInterval = 500 * time.Millisecond
	// moveInterval is how soon tasks of the same assignment may be moved again.
	moveInterval = 5 * time.Second
	// maxMovedTasks and maxMovedToRoom bound how many tasks are moved at a time, whether or
	// not room for them is seen.
	maxMovedTasks  = 64
	maxMovedToRoom = 32
	// startsNowWithin is within how many seconds a machine of another shard must be usable for
	// its room to count as room now.
	startsNowWithin = 1
	// viewCurrentFor is how old a peer's gossip about a shard may be for it to count as
	// current.
	viewCurrentFor = 1500 * time.Millisecond
)

// maybeRebalance moves waiting tasks that find no room soon to a shard that has some now. The
// tasks are on no machine; both assignments and the job change in one transaction.
func (c *Core) maybeRebalance(shard *Shard) {
	if shard.movePending || c.now < shard.nextMoveAt || shard.busy() || !c.mayStartTasks() {
		return
	}
	silent := c.noHeartbeats(shard) // then machines that should be up soon are not heard either
	for _, work := range shard.unplaced {
		assignment := shard.assignments[work.job.id]
		if assignment == nil || work.startsIn < moveGain && !silent || !c.mayRebalance(assignment) {
			continue
		}
		if to, count := c.moveTarget(shard, assignment, work); to != nil {
			assignment.nextMoveAt = c.now + moveInterval
			c.moveTasks(shard, to, assignment, count)
			return
		}
	}
	shard.nextMoveAt = c.now + rebalanceInterval
}

// mayRebalance reports whether waiting tasks of an assignment may be moved now.
func (c *Core) mayRebalance(assignment *Assignment) bool {
	return movable(assignment.job) && !assignment.completing &&
		len(assignment.unrecordedExits) == 0 && c.now >= assignment.nextMoveAt
}

// movable reports whether a job's tasks may be in any shard.
func movable(job *Job) bool {
	spec := &job.spec
	return spec.Zone == "" && !spec.OneZone && !spec.Gang && !spec.SpreadZones
}

// moveTarget is the shard that tasks of an assignment should be moved to, and how many: one
// with room now, or the one that is to rent machines for them. It is nil if there is none.
func (c *Core) moveTarget(shard *Shard, assignment *Assignment, work unplacedWork) (*Shard, int) {
	to, count := c.betterShard(shard, assignment, work)
	if to != nil {
		return to, count
	}
	export, found := shard.exports[work.job.id]
	if !found {
		return nil, 0
	}
	delete(shard.exports, work.job.id)
	return export.to, min(export.tasks, work.tasks, maxMovedTasks)
}

// betterShard finds another shard with room for some of the tasks now, and how many. Tasks in
// a shard without heartbeats go to the shard with the shortest queue, whether it has room or
// not.
func (c *Core) betterShard(shard *Shard, assignment *Assignment, work unplacedWork) (*Shard, int) {
	job := assignment.job
	if c.noHeartbeats(shard) {
		return c.leastBusyShard(shard, job), min(work.tasks, maxMovedTasks)
	}
	if c.usualType(job) < 0 {
		return nil, 0
	}
	asBackfill, maxTasks := c.isBackfill(job), maxMovedToRoom
	if asBackfill && c.hasWaitedTooLong(assignment) {
		asBackfill, maxTasks = false, overdueBackfillTasks // they may use reserved room there
	}
	var best *Shard
	most := 0
	for _, other := range c.shards {
		if other == shard || !c.viewIsCurrent(other) {
			continue
		}
		if fits := c.tasksFitting(other, job, asBackfill); fits > most {
			best, most = other, fits
		}
	}
	return best, min(most, work.tasks, maxTasks)
}

// tasksFitting is how many tasks of a job another shard has room for now.
func (c *Core) tasksFitting(other *Shard, job *Job, asBackfill bool) int {
	typ := c.usualType(job)
	room, perTask := 0.0, c.coresTaken(job.spec.Need, typ)
	if asBackfill {
		if room = c.backfillRoomOn(other, typ); room < max(perTask, 1) {
			return 0
		}
	}
	devices := planDevices(c.shardDevices(other))
	step, now := c.planStep(job), seconds(c.now)
	fits := 0
	for _, d := range devices {
		if step.Allowed(d.Kind) {
			fits += d.FreeFor(step, now, now+startsNowWithin)
		}
	}
	if asBackfill {
		fits = min(fits, wholeTasks(room/perTask))
	}
	return fits
}

// viewIsCurrent reports whether a shard's present state is known: it is loaded here, or its
// owner's gossip has just arrived.
func (c *Core) viewIsCurrent(other *Shard) bool {
	if other.claim.Owned() {
		return other.loaded
	}
	return other.view != nil && c.now <= other.viewAt+viewCurrentFor
}

// leastBusyShard is the shard with the shortest queue for a job's tasks among those with
// heartbeats. It takes over what waits in a shard without heartbeats, room or not.
func (c *Core) leastBusyShard(shard *Shard, job *Job) *Shard {
	typ := c.usualType(job)
	if typ < 0 {
		return nil
	}
	var best *Shard
	least := 0.0
	for _, other := range c.shards {
		if other == shard || c.reportsNoHeartbeats(other) || !c.viewIsCurrent(other) || !c.zoneHolds(job, other) {
			continue
		}
		if wait := c.queueSeconds(other, job.spec.Priority)[typ]; best == nil || wait < least {
			best, least = other, wait
		}
	}
	return best
}
