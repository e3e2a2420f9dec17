package core

import (
	"time"

	"roadcleat/internal/model"
)

const (
	// sweepInterval is how often a shard is checked for work that no event triggers.
	sweepInterval = time.Second
	// sizingInterval is how often a shard's fleet is compared with its demand.
	sizingInterval = time.Second
	// sizingDelayAfterPlan is the longest time from a plan to the next comparison of the fleet
	// with the demand.
	sizingDelayAfterPlan = 100 * time.Millisecond
)

// runShard does the work that is due for a shard owned by this controller: it places tasks, sizes
// the fleet, commits changes, moves tasks to other shards and sends commands.
func (c *Core) runShard(shard *Shard) {
	if shard.claim.HandingOver() {
		return
	}
	c.rereadKeys(shard)
	if c.now >= shard.nextSweepAt {
		shard.nextSweepAt = c.now + sweepInterval
		c.sweep(shard)
		shard.needsPlan = shard.needsPlan || len(shard.unplacedWork) > 0
	}
	if shard.needsPlan && c.now >= shard.nextPlanAt {
		shard.needsPlan = false
		shard.nextPlanAt = c.now + c.planShard(shard)
		shard.nextSizingAt = min(shard.nextSizingAt, c.now+sizingDelayAfterPlan)
	}
	// The fleet is sized by the tasks that the newest plan could not place, so a due plan comes
	// first.
	if c.now >= shard.nextSizingAt && !shard.needsPlan {
		shard.nextSizingAt = c.now + sizingInterval
		c.sizeFleet(shard)
	}
	c.raiseTokenIfDue(shard) // before the next transaction, since a busy shard always has one to send
	c.commitChanges(shard)
	c.maybeRebalance(shard)
	c.sendQueuedCommands(shard)
}

// sweep marks assignments to be recorded or planned, releases idle grants and evicts tasks from
// failing machines where no event triggers this. It releases at most one grant per call.
func (c *Core) sweep(shard *Shard) {
	for _, id := range sortedKeys(shard.assignments) {
		assignment := shard.assignments[id]
		switch {
		case assignment.job.state != model.JobPending:
			if len(assignment.tasks) == 0 {
				shard.unrecordedAssignments[id] = assignment
			}
		case assignment.isComplete():
			shard.unrecordedAssignments[id] = assignment
		case len(assignment.waiting) > 0:
			shard.needsPlan = true
		}
	}
	for team := range c.teamConfigs {
		if c.reduceIdleGrant(shard, team, false) {
			return
		}
	}
	for _, host := range shard.sortedHosts() {
		c.evictGracefully(shard, host)
	}
}

// evictGracefully stops tasks on a machine that the cloud will reclaim or that is faulty. A task
// that cannot finish before the machine is reclaimed is stopped at once, with time to save its
// checkpoint, and restarts on another machine. Replicas of services, and all tasks on a faulty
// machine, are stopped even if they could finish earlier.
func (c *Core) evictGracefully(shard *Shard, host *Host) {
	if host.state != hostUp || host.reclaimAt == 0 && !host.faulty {
		return
	}
	for _, id := range sortedTaskIDs(host.tasks) {
		task := host.tasks[id]
		if task == nil || task.phase != taskPlaced || task.stopping {
			continue
		}
		job := task.job()
		if host.faulty || job == nil || c.expectedExitAt(task) > host.reclaimAt || job.spec.Service {
			c.stopTask(shard, task, checkpointSaveSeconds(task))
		}
	}
}
