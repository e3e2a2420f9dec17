package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"roadcleat/internal/model"
)

// Queue counts the tasks of a class and team in a shard by their progress. WaitSeconds, Job and
// Reason describe the job of the queue that has lacked running tasks longest.
type Queue struct {
	Shard string `json:"part"`
	Class string `json:"class"`
	Team  string `json:"team"`
	TaskCounts
	WaitSeconds float64 `json:"wait_s"` // how long Job has lacked running tasks
	Job         string  `json:"job"`    // the job that has lacked running tasks longest
	Reason      Reason  `json:"why"`    // why tasks of Job do not run
}

// countTasks counts the tasks of a shard owned here by class and team, for the jobs that satisfy
// the condition. For each class and team it also returns the assignment that has lacked running
// tasks longest.
func (c *Core) countTasks(shard *Shard, condition func(*Job) bool) ([]Queue, []*Assignment) {
	type group struct{ class, team int }
	indices := map[group]int{}
	var queues []Queue
	var longestMissing []*Assignment
	for _, id := range sortedKeys(shard.assignments) {
		assignment := shard.assignments[id]
		job := assignment.job
		if job.state != model.JobPending || !condition(job) {
			continue
		}
		index, seen := indices[group{job.class, job.team}]
		if !seen {
			index = len(queues)
			indices[group{job.class, job.team}] = index
			queues = append(queues, Queue{Shard: shard.name, Class: job.spec.Class, Team: job.spec.Team})
			longestMissing = append(longestMissing, assignment)
		}
		queues[index].Add(assignment.counts())
		if c.missingSeconds(assignment) > c.missingSeconds(longestMissing[index]) {
			longestMissing[index] = assignment
		}
	}
	return queues, longestMissing
}

// shardQueues returns the queues of a shard owned here that have tasks which do not run, the
// longest wait first. nextUp is the result of nextHostsUp for the shard.
func (c *Core) shardQueues(shard *Shard, nextUp map[int]*Host) []Queue {
	queues, longestMissing := c.countTasks(shard, func(*Job) bool { return true })
	for i, assignment := range longestMissing {
		queue := &queues[i]
		if queue.missing() == 0 {
			continue
		}
		queue.Job, queue.WaitSeconds = assignment.job.id, math.Round(c.missingSeconds(assignment))
		queue.Reason, _ = c.reasonNotRunning(shard, assignment, assignment.counts(), nextUp)
	}
	queues = slices.DeleteFunc(queues, func(queue Queue) bool { return queue.missing() == 0 })
	slices.SortStableFunc(queues, compareByWait)
	return queues
}

// compareByWait orders queues by wait, longest first, then by class and team.
func compareByWait(a, b Queue) int {
	return cmp.Or(cmp.Compare(b.WaitSeconds, a.WaitSeconds), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Team, b.Team))
}

// queueStatuses returns the queues of all shards, the longest wait first: from this controller's
// own data for the shards that it serves, otherwise from the owner's gossip.
func (c *Core) queueStatuses() []Queue {
	queues := []Queue{}
	for _, shard := range c.shards {
		switch {
		case shard.isServedHere():
			queues = append(queues, c.shardQueues(shard, c.nextHostsUp(shard))...)
		case shard.view != nil && c.reasonUnaccounted(shard) == ReasonNone:
			queues = append(queues, shard.view.Queues...)
		}
	}
	slices.SortStableFunc(queues, compareByWait)
	return queues
}

// Gauges are the metrics of the shards owned here. Their sum over all controllers counts every task
// once.
type Gauges struct {
	Stats    Stats
	Queues   []Queue
	Replicas []Queue // tasks of services, by class and team
}

// Gauges returns the current values.
func (c *Core) Gauges() Gauges {
	gauges := Gauges{Stats: c.stats}
	for _, shard := range c.shards {
		if !shard.isServedHere() {
			continue
		}
		gauges.Queues = append(gauges.Queues, c.shardQueues(shard, c.nextHostsUp(shard))...)
		replicas, _ := c.countTasks(shard, func(job *Job) bool { return job.spec.Service })
		gauges.Replicas = append(gauges.Replicas, replicas...)
	}
	return gauges
}

// maxShardViewAge is the maximum age of an owner's gossip for its counts to be shown.
const maxShardViewAge = 5 * time.Second

// reasonUnaccounted returns why this controller has no current counts of a shard's tasks, or
// ReasonNone if it has them.
func (c *Core) reasonUnaccounted(shard *Shard) Reason {
	switch {
	case shard.isServedHere():
		return ReasonNone
	case shard.claim.OwnedOrPending():
		return ReasonShardLoading
	case shard.claim.Owner() == "":
		return ReasonShardUnowned
	case shard.view == nil || c.now > shard.viewAt+maxShardViewAge:
		return ReasonOwnerSilent
	}
	return ReasonNone
}
