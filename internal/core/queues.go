package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"roadcleat/internal/model"
)

// Queue is what does not run yet of a class and team in a shard.
type Queue struct {
	Shard string `json:"part"`
	Class string `json:"class"`
	Team  string `json:"team"`
	TaskCounts
	WaitSeconds float64 `json:"wait_s"` // of the job that has lacked running tasks longest
	Job         string  `json:"job"`    // that job
	Reason      Reason  `json:"why"`    // what it waits for
}

// countTasks counts the tasks of a shard owned here by class and team, of the jobs that the
// condition selects. For each class and team it also gives the assignment that has lacked
// running tasks longest.
func (c *Core) countTasks(shard *Shard, condition func(*Job) bool) ([]Queue, []*Assignment) {
	type group struct{ class, team int }
	indices := map[group]int{}
	var queues []Queue
	var longest []*Assignment
	for _, id := range sorted(shard.assignments) {
		assignment := shard.assignments[id]
		job := assignment.job
		if job.state != model.JobPending || !condition(job) {
			continue
		}
		i, seen := indices[group{job.class, job.team}]
		if !seen {
			i = len(queues)
			indices[group{job.class, job.team}] = i
			queues = append(queues, Queue{Shard: shard.name, Class: job.spec.Class, Team: job.spec.Team})
			longest = append(longest, assignment)
		}
		queues[i].Add(assignment.counts())
		if c.missingSeconds(assignment) > c.missingSeconds(longest[i]) {
			longest[i] = assignment
		}
	}
	return queues, longest
}

// shardQueues sums up what does not run yet in a shard owned here, the longest wait first.
// nextUp is the shard's nextHostsUp.
func (c *Core) shardQueues(shard *Shard, nextUp map[int]*Host) []Queue {
	queues, longest := c.countTasks(shard, func(*Job) bool { return true })
	for i, assignment := range longest {
		queue := &queues[i]
		if queue.missing() == 0 {
			continue
		}
		queue.Job, queue.WaitSeconds = assignment.job.id, math.Round(c.missingSeconds(assignment))
		queue.Reason, _ = c.whyMissing(shard, assignment, assignment.counts(), nextUp)
	}
	queues = slices.DeleteFunc(queues, func(queue Queue) bool { return queue.missing() == 0 })
	slices.SortStableFunc(queues, longestFirst)
	return queues
}

func longestFirst(a, b Queue) int {
	return cmp.Or(cmp.Compare(b.WaitSeconds, a.WaitSeconds), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Team, b.Team))
}

// queues are those of all shards, the longest wait first: from this controller's own data, or
// from the owner's gossip.
func (c *Core) queues() []Queue {
	queues := []Queue{}
	for _, shard := range c.shards {
		switch {
		case shard.servedHere():
			queues = append(queues, c.shardQueues(shard, c.nextHostsUp(shard))...)
		case shard.view != nil && c.whyUnaccounted(shard) == ReasonNone:
			queues = append(queues, shard.view.Queues...)
		}
	}
	slices.SortStableFunc(queues, longestFirst)
	return queues
}

// Gauges are the metrics of the shards owned here. Summed over all controllers they count every
// task once.
type Gauges struct {
	Stats    Stats
	Queues   []Queue
	Replicas []Queue // of services, by class and team
}

// Gauges returns the present values.
func (c *Core) Gauges() Gauges {
	gauges := Gauges{Stats: c.stats}
	for _, shard := range c.shards {
		if !shard.servedHere() {
			continue
		}
		gauges.Queues = append(gauges.Queues, c.shardQueues(shard, c.nextHostsUp(shard))...)
		replicas, _ := c.countTasks(shard, func(job *Job) bool { return job.spec.Service })
		gauges.Replicas = append(gauges.Replicas, replicas...)
	}
	return gauges
}

// gossipValidFor is how old an owner's gossip may be for its counts to be shown.
const gossipValidFor = 5 * time.Second

// whyUnaccounted says why a shard's tasks are not accounted for here; ReasonNone if they are.
func (c *Core) whyUnaccounted(shard *Shard) Reason {
	switch {
	case shard.servedHere():
		return ReasonNone
	case shard.claim.OwnedOrPending():
		return ReasonShardLoading
	case shard.claim.Owner() == "":
		return ReasonShardUnowned
	case shard.view == nil || c.now > shard.viewAt+gossipValidFor:
		return ReasonOwnerSilent
	}
	return ReasonNone
}
