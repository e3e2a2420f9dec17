package core

import (
	"cmp"
	"roadcleat/internal/model"
	"slices"
	"time"
)

// A job that has waited so long for its first task goes ahead of all others, and
// so does what is left of one that is older still: whatever the order, nothing
// is starved by a stream of more urgent or smaller work.
const (
	overdueUnstartedAfter = 170 * time.Second
	overdueAfter          = 400 * time.Second
)

func (c *Core) isOverdue(assignment *Assignment) bool {
	age := c.now - assignment.job.knownSince
	return age > overdueAfter && !c.isBackfill(assignment.job) || age > overdueUnstartedAfter && len(assignment.tasks)+len(assignment.done) == 0
}

// readyAssignments lists the slices with waiting tasks in the order they are served:
// those that wait far too long first, backfill last, then by priority, teams within their
// guarantee first, then by the time left to their aim or deadline. Jobs that can
// no longer make it come after those that can: with more work than room, the
// earliest deadline first would have all of them late by a little.
func (c *Core) readyAssignments(shard *Shard) []*Assignment {
	var list []*Assignment
	for _, assignment := range shard.assignments {
		if len(assignment.waiting) > 0 && assignment.job.state == model.JobPending && assignment.job.team >= 0 {
			list = append(list, assignment)
		}
	}
	slots := c.slotsPerJob(shard)
	type key struct {
		late, backfills, lost bool
		by                    float64
	}
	keys := make(map[*Assignment]key, len(list))
	for _, assignment := range list {
		rounds, backfills := float64(assignment.waiting.Count())/max(slots(assignment.job), 1), c.isBackfill(assignment.job)
		if backfills && !c.hasObjectives(assignment.job) {
			rounds = 0 // the oldest first, so that some end instead of all being half done
		}
		by, lost := c.startBy(assignment.job, rounds)
		keys[assignment] = key{c.isOverdue(assignment), backfills, lost, by}
	}
	slices.SortFunc(list, func(a, b *Assignment) int {
		x, y := a.job, b.job
		kx, ky := keys[a], keys[b]
		byPriority := cmp.Compare(x.spec.Priority, y.spec.Priority)
		if kx.late || ky.late {
			byPriority = 0
		}
		first := func(x, y bool) int {
			switch {
			case x == y:
				return 0
			case x:
				return -1
			}
			return 1
		}
		return cmp.Or(first(kx.late, ky.late), first(ky.backfills, kx.backfills), byPriority, first(c.underGuarantee[x.team], c.underGuarantee[y.team]), first(ky.lost, kx.lost),
			cmp.Compare(kx.by, ky.by), cmp.Compare(x.id, y.id))
	})
	return list
}

// slotsPerJob tells how many tasks of a job the part's machines hold at once.
func (c *Core) slotsPerJob(shard *Shard) func(*Job) float64 {
	count := make([]float64, len(c.types)*2)
	for _, host := range shard.hostList() {
		if host.countsForPlans(c.now) {
			k := host.typeIndex * 2
			if host.spot {
				k++
			}
			count[k]++
		}
	}
	return func(job *Job) float64 {
		n := 0.0
		for k, m := range count {
			if m > 0 && c.allowedOn(job, c.kindIndex(shard.zone, k/2, k&1 == 1)) {
				n += m * float64(c.tasksPerMachine(k/2, job.spec.Need))
			}
		}
		return n
	}
}

// hasObjectives says whether anybody expects the job to end by a certain time.
func (c *Core) hasObjectives(j *Job) bool {
	return len(c.cfg.CompletionObjectives[j.spec.Class]) > 0 || j.spec.DeadlineSeconds > 0
}

// startBy is when a job should have started to meet the tightest of its class's
// aims and its deadlines that it still can, its tasks going through the machines
// in so many rounds, and whether it can meet none any more. Without any it
// counts as due in ten minutes.
func (c *Core) startBy(job *Job, rounds float64) (by float64, lost bool) {
	since, run := seconds(job.knownSince), c.estimatedRunTime(job)*max(rounds, 1)
	try := func(within float64) bool {
		by = since + within - run
		return by >= seconds(c.now)
	}
	aims := false
	for _, f := range c.cfg.CompletionObjectives[job.spec.Class] {
		if aims = true; try(f) {
			return by, false
		}
	}
	if d := job.spec.DeadlineSeconds; d > 0 {
		times := c.cfg.DeadlineObjectives[job.spec.Class]
		if len(times) == 0 {
			times = []float64{1}
		}
		for _, t := range times {
			if aims = true; try(d * t) {
				return by, false
			}
		}
	}
	if aims {
		return by, true
	}
	try(600)
	return by, false
}
