package core

import (
	"cmp"
	"slices"
	"time"
)

// A job that has waited so long for its first task goes ahead of all others, and
// so does what is left of one that is older still: whatever the order, nothing
// is starved by a stream of more urgent or smaller work.
const (
	beginBy = 170 * time.Second
	endBy   = 400 * time.Second
)

func (c *Core) overdue(s *slice) bool {
	age := c.now - s.job.since
	return age > endBy && !c.backfills(s.job) || age > beginBy && len(s.tasks)+len(s.done) == 0
}

// ready lists the slices with waiting tasks in the order they are served:
// those that wait far too long first, backfill last, then by priority, teams within their
// guarantee first, then by the time left to their aim or deadline. Jobs that can
// no longer make it come after those that can: with more work than room, the
// earliest deadline first would have all of them late by a little.
func (c *Core) ready(p *part) []*slice {
	var list []*slice
	for _, s := range p.slices {
		if len(s.waiting) > 0 && s.job.standing == Pending && s.job.team >= 0 {
			list = append(list, s)
		}
	}
	slots := c.slotsOf(p)
	type key struct {
		late, backfills, lost bool
		by                    float64
	}
	keys := make(map[*slice]key, len(list))
	for _, s := range list {
		rounds, backfills := float64(s.waiting.count())/max(slots(s.job), 1), c.backfills(s.job)
		if backfills && !c.hasAims(s.job) {
			rounds = 0 // the oldest first, so that some end instead of all being half done
		}
		by, lost := c.startBy(s.job, rounds)
		keys[s] = key{c.overdue(s), backfills, lost, by}
	}
	slices.SortFunc(list, func(a, b *slice) int {
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
		return cmp.Or(first(kx.late, ky.late), first(ky.backfills, kx.backfills), byPriority, first(c.within[x.team], c.within[y.team]), first(ky.lost, kx.lost),
			cmp.Compare(kx.by, ky.by), cmp.Compare(x.id, y.id))
	})
	return list
}

// slotsOf tells how many tasks of a job the part's machines hold at once.
func (c *Core) slotsOf(p *part) func(*job) float64 {
	count := make([]float64, len(c.types)*2)
	for _, h := range p.hostList() {
		if h.planned(c.now) {
			k := h.typ * 2
			if h.spot {
				k++
			}
			count[k]++
		}
	}
	return func(j *job) float64 {
		n := 0.0
		for k, m := range count {
			if m > 0 && c.allowedOn(j, c.kind(p.zone, k/2, k&1 == 1)) {
				n += m * float64(c.holds(k/2, j.spec.Need))
			}
		}
		return n
	}
}

// hasAims says whether anybody expects the job to end by a certain time.
func (c *Core) hasAims(j *job) bool {
	return len(c.cfg.Finishes[j.spec.Class]) > 0 || j.spec.Deadline > 0
}

// startBy is when a job should have started to meet the tightest of its class's
// aims and its deadlines that it still can, its tasks going through the machines
// in so many rounds, and whether it can meet none any more. Without any it
// counts as due in ten minutes.
func (c *Core) startBy(j *job, rounds float64) (by float64, lost bool) {
	since, run := seconds(j.since), c.estimate(j)*max(rounds, 1)
	try := func(within float64) bool {
		by = since + within - run
		return by >= seconds(c.now)
	}
	aims := false
	for _, f := range c.cfg.Finishes[j.spec.Class] {
		if aims = true; try(f) {
			return by, false
		}
	}
	if d := j.spec.Deadline; d > 0 {
		times := c.cfg.Deadlines[j.spec.Class]
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
