package core

import (
	"cmp"
	"slices"
	"time"

	"roadcleat/internal/model"
)

// Ages at which a job is planned before all others, so that a continuous stream of more urgent or
// smaller jobs cannot starve it.
const (
	overdueUnstartedAfter = 170 * time.Second // for an assignment without a running or completed task
	overdueAfter          = 400 * time.Second // for any assignment of a job that is not backfill
)

// defaultDueSeconds is the time after its first observation by which a job without objectives and
// deadline is assumed to be due.
const defaultDueSeconds = 600

// isOverdue reports whether an assignment has waited so long that it is planned before all
// others.
func (c *Core) isOverdue(assignment *Assignment) bool {
	age := c.now - assignment.job.firstSeenAt
	if age > overdueAfter && !c.isBackfill(assignment.job) {
		return true
	}
	return age > overdueUnstartedAfter && len(assignment.tasks)+len(assignment.done) == 0
}

// planningRank holds the sort keys by which assignments are ordered for planning.
type planningRank struct {
	assignment       *Assignment
	isOverdue        bool    // see Core.isOverdue
	isBackfill       bool    // see Core.isBackfill
	isUnderGuarantee bool    // the job's team uses less than its guarantee of cores or GPUs
	latestStart      float64 // in seconds, see Core.latestStart
	missesObjectives bool    // the job has objectives or a deadline and can no longer meet any of them
}

// compare orders overdue assignments first and backfill last, then by priority (unless one is
// overdue), then teams below their guarantee first, then by the time left until the job must
// start to meet its objective or deadline. Jobs that can no longer meet any objective come after
// those that can: under overload, plain earliest-deadline-first order would make all of them miss
// their objectives by a little.
func (r *planningRank) compare(other *planningRank) int {
	job, otherJob := r.assignment.job, other.assignment.job
	byPriority := 0
	if !r.isOverdue && !other.isOverdue {
		byPriority = cmp.Compare(job.spec.Priority, otherJob.spec.Priority)
	}
	return cmp.Or(
		trueFirst(r.isOverdue, other.isOverdue),
		trueFirst(other.isBackfill, r.isBackfill),
		byPriority,
		trueFirst(r.isUnderGuarantee, other.isUnderGuarantee),
		trueFirst(other.missesObjectives, r.missesObjectives),
		cmp.Compare(r.latestStart, other.latestStart),
		cmp.Compare(job.id, otherJob.id),
	)
}

// trueFirst compares two conditions: a condition that holds is ordered before one that does not.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// readyAssignments returns the shard's assignments with waiting tasks, ordered by planningRank.
func (c *Core) readyAssignments(shard *Shard) []*Assignment {
	taskSlots := c.taskSlots(shard)
	var ranks []*planningRank
	for _, assignment := range shard.assignments {
		job := assignment.job
		if len(assignment.waiting) > 0 && job.state == model.JobPending && job.team >= 0 {
			ranks = append(ranks, c.rankOf(assignment, taskSlots))
		}
	}
	slices.SortFunc(ranks, (*planningRank).compare)
	ready := make([]*Assignment, len(ranks))
	for i, rank := range ranks {
		ready[i] = rank.assignment
	}
	return ready
}

// rankOf returns an assignment's rank. taskSlots is the function that Core.taskSlots returns for
// the shard.
func (c *Core) rankOf(assignment *Assignment, taskSlots func(*Job) float64) *planningRank {
	job := assignment.job
	rank := &planningRank{
		assignment:       assignment,
		isOverdue:        c.isOverdue(assignment),
		isBackfill:       c.isBackfill(job),
		isUnderGuarantee: c.isUnderGuarantee[job.team],
	}
	rounds := float64(assignment.waiting.Count()) / max(taskSlots(job), 1)
	if rank.isBackfill && !c.hasObjectives(job) {
		rounds = 0 // order by age, so that some jobs finish instead of all being partly done
	}
	rank.latestStart, rank.missesObjectives = c.latestStart(job, rounds)
	return rank
}

// taskSlots returns a function that computes how many tasks of a job the shard's machines can run
// at once when they are empty.
func (c *Core) taskSlots(shard *Shard) func(*Job) float64 {
	machines := make([]float64, len(c.machineTypes)*2) // by type, on-demand and spot
	for _, host := range shard.sortedHosts() {
		if host.isPlannable(c.now) {
			typeAndSpotIndex := host.typeIndex * 2
			if host.spot {
				typeAndSpotIndex++
			}
			machines[typeAndSpotIndex]++
		}
	}
	return func(job *Job) float64 {
		slots := 0.0
		for typeAndSpotIndex, count := range machines {
			typeIndex, spot := typeAndSpotIndex/2, typeAndSpotIndex&1 == 1
			if count > 0 && c.mayRunOn(job, c.zoneKindIndex(shard.zone, typeIndex, spot)) {
				slots += count * float64(c.tasksPerMachine(typeIndex, job.spec.TaskResources))
			}
		}
		return slots
	}
}

// hasObjectives reports whether the job has a deadline or its class has a completion objective.
func (c *Core) hasObjectives(job *Job) bool {
	return len(c.cfg.CompletionObjectives[job.spec.Class]) > 0 || job.spec.DeadlineSeconds > 0
}

// latestStart returns the time, in seconds, by which a job must have started to meet the tightest
// of its completion limits that it can still meet. The job's tasks are assumed to run in the
// given number of successive rounds on the shard's machines. It also reports whether the job has
// completion limits but can meet none of them.
func (c *Core) latestStart(job *Job, rounds float64) (latest float64, missesAll bool) {
	submittedAt, runSeconds := toSeconds(job.firstSeenAt), c.estimatedRunSeconds(job)*max(rounds, 1)
	limits := c.completionLimits(job)
	for _, limit := range limits {
		latest = submittedAt + limit - runSeconds
		if latest >= toSeconds(c.now) {
			return latest, false
		}
	}
	if len(limits) > 0 {
		return latest, true
	}
	return submittedAt + defaultDueSeconds - runSeconds, false
}

// completionLimits returns the times in which a job should complete, in seconds since this
// controller first observed it: first the objectives of its class, then its deadline multiplied by
// each factor of the class.
func (c *Core) completionLimits(job *Job) []float64 {
	limits := slices.Clone(c.cfg.CompletionObjectives[job.spec.Class])
	if job.spec.DeadlineSeconds <= 0 {
		return limits
	}
	factors := c.cfg.DeadlineObjectives[job.spec.Class]
	if len(factors) == 0 {
		factors = []float64{1}
	}
	for _, factor := range factors {
		limits = append(limits, job.spec.DeadlineSeconds*factor)
	}
	return limits
}
