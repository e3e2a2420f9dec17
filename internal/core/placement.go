package core

import "roadcleat/internal/model"

// placeTask reserves resources for a waiting task on a machine. The task is launched once the
// placement has been committed to the state service.
func (c *Core) placeTask(shard *Shard, assignment *Assignment, index int, host *Host) {
	job := assignment.job
	if !job.spec.Gang {
		assignment.lastAttempt++
	}
	task := &Task{
		id:             model.TaskID{Job: job.id, Index: index},
		assignment:     assignment,
		host:           host,
		attempt:        assignment.lastAttempt,
		phase:          taskPlacing,
		resources:      job.spec.TaskResources,
		teamIndex:      job.team,
		placedAt:       c.now,
		fetchStartedAt: c.now,
	}
	if host.tasks[task.id] != nil {
		return // an earlier attempt is still on this machine
	}
	assignment.yieldingGrantSince = 0
	assignment.waiting.Remove(index)
	assignment.tasks[index] = task
	c.reserveResources(shard, task)
	c.recordExpectedImage(host, job)
	shard.unrecordedAssignments[job.id] = assignment
}

// recordExpectedImage records the use of a job's image on a machine. If the machine neither holds
// nor fetches the image, it records a fetch that is queued behind the present ones.
func (c *Core) recordExpectedImage(host *Host, job *Job) {
	if job.image < 0 {
		return
	}
	if _, held := host.imageLastUsedAt[job.image]; held {
		host.imageLastUsedAt[job.image] = c.now
		return
	}
	if _, fetching := host.fetchingUntil[job.image]; fetching {
		return
	}
	fetchedAt := max(c.now, host.fetchQueueEmptyAt) + secondsToDuration(job.spec.ImageGB*c.imageFetchSecondsPerGB(host.typeIndex))
	host.fetchingUntil[job.image], host.fetchQueueEmptyAt = fetchedAt, fetchedAt
}

// teamUsage returns the resources that a team uses in all shards: from this controller's own state
// for the shards that it serves, else from the owners' newest gossip. Shards without either are
// left out.
func (c *Core) teamUsage(team int) model.Resources {
	var usage model.Resources
	for _, shard := range c.shards {
		if shard.isServedHere() {
			usage = usage.Plus(shard.teamUsage[team])
		} else if shard.view != nil {
			usage = usage.Plus(shard.view.TeamUsage[c.teamConfigs[team].Name])
		}
	}
	return usage
}
