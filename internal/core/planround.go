package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"roadcleat/internal/plan"
)

// soon is how far from now a planned start may lie to count as now.
const soon = 0.05

// ahead is how many of a job's tasks that find no room now are given room
// later, so that work behind them can't take it. What comes after them takes
// what is free now or is planned when they have started.
const ahead = 32

// makesSense is how soon room must come by itself for nobody to be stopped for it.
const makesSense = 1.0

// shortFor is how long a slice may have started nothing before room that is about
// to be free counts as none.
const shortFor = 3 * time.Second

func devicesOf(all []device) []*plan.Device {
	out := make([]*plan.Device, len(all))
	for i := range all {
		out[i] = all[i].Device
	}
	return out
}

// Planning costs about this much per machine looked at and per task placed.
// The pause after a plan is some thirty times that, which leaves a controller
// with a seventh of a core three quarters of it for everything else.
const (
	pausePerLook  = 2 * time.Microsecond
	pausePerPlace = 60 * time.Microsecond
)

// planRound is one run of the programme over a part's ready jobs.
type planRound struct {
	c           *Core
	p           *part
	all         []device // the part's machines
	devices     []*plan.Device
	now         float64
	longest     string    // the longest name of a machine, which a record must hold
	left        []float64 // what backfill may still take, by pool; nil: not worked out yet
	preemptible []*host   // with backfill that may be stopped; nil: likewise
	// What the round has cost: machines looked at and tasks placed.
	looks, tasks int
}

// candidates is what a slice's tasks may be placed on in a round.
type candidates struct {
	all     []device
	devices []*plan.Device
	most    int  // tasks to place
	keeps   bool // the job leaves alone what is kept for others
}

// plan runs the programme over the part's ready jobs. Tasks whose planned
// machine has room now are placed; the others stay ready and are planned
// again as soon as anything changes. It returns how long to pause.
func (c *Core) plan(p *part) time.Duration {
	p.shortage = p.shortage[:0]
	if !c.mayStart() || len(c.types) == 0 {
		return 0
	}
	c.seeTeams()
	ready := c.ready(p)
	if len(ready) == 0 {
		return 0
	}
	c.stats.Plans++
	r := c.newPlanRound(p)
	for _, s := range ready {
		r.planSlice(s)
	}
	if len(r.devices) < freeToPlan {
		return 0
	}
	return time.Duration(r.looks)*pausePerLook + time.Duration(r.tasks)*pausePerPlace
}

// freeToPlan is the number of machines below which planning costs nothing to speak of.
const freeToPlan = 100

// mostAtOnce is how many tasks of a job one round places; the next one goes on.
const mostAtOnce = 256

func (c *Core) newPlanRound(p *part) *planRound {
	r := &planRound{c: c, p: p, now: seconds(c.now), longest: p.longestName()}
	for _, h := range p.hostList() {
		if h.planned(c.now) || h.typ >= 0 && h.joining(c.now) {
			r.all = append(r.all, c.hostDevice(h, false))
		}
	}
	r.devices = devicesOf(r.all)
	r.looks = len(r.devices)
	return r
}

// planSlice places a slice's tasks as far as they may and can start now, and notes what
// lacks room.
func (r *planRound) planSlice(s *slice) {
	c, p, j := r.c, r.p, s.job
	waiting, room := c.startable(s), c.room(p, j.team, j.spec.Need)
	quota := c.roomFor(s, room)
	if room < waiting && c.quotas[j.team].known {
		c.wantGrants(s)
	}
	record := c.ledgerOf(s)
	allowed := min(waiting, quota, record.most(c.perHost(j), r.longest))
	if c.now < j.holdTo || waiting == 0 {
		return
	}
	c.sawClass(j)
	n := min(allowed, mostAtOnce)
	if j.spec.Gang && (len(s.tasks) > 0 || n < s.waiting.count()) {
		return // whole or not at all, and only once the last try is off its machines
	}
	r.looks += len(r.devices)
	on, ok := r.candidatesFor(s, n)
	if !ok {
		return
	}
	t := r.try(j, on)
	r.tasks += t.planned
	if j.spec.Gang && !c.allNow(t.starts, on.most, on.all) {
		if j.doubt == 0 {
			p.shortage = append(p.shortage, need{j, on.most, noRoomFor})
		}
		return
	}
	started := r.start(s, t.starts, on, record)
	r.noteShort(s, t, on, allowed-started, started)
}

// noRoomFor is in how many seconds work is taken to start for which no room is seen.
const noRoomFor = 60.0

// candidatesFor are the machines that a slice's tasks may be placed on, and how many of n
// tasks may be. It is false while that is not known.
func (r *planRound) candidatesFor(s *slice, n int) (candidates, bool) {
	c, p, j := r.c, r.p, s.job
	on := candidates{all: r.all, devices: r.devices, most: n, keeps: c.keeps(s)}
	if fit := c.avoiding(j, on.all); len(fit) < len(on.all) {
		on.all, on.devices = fit, devicesOf(fit)
	}
	if !on.keeps {
		if c.backfills(j) && (c.overdue(s) || c.leftOut(s)) {
			on.most = min(n, beginWith)
		}
		return on, true
	}
	if p.keep.pools == nil {
		return on, false // a new owner has yet to see what others need
	}
	if r.left == nil {
		r.left = c.roomForBackfill(p) // those who come first have been placed
	}
	fit, most := c.backfillCandidates(&p.keep, j, on.all, r.left)
	on.all, on.devices, on.most = fit, devicesOf(fit), min(n, most)
	return on, true
}

// attempt is what the programme found for a slice's tasks.
type attempt struct {
	starts  []plan.Placement // those that start now
	planned int              // tasks that have a place, now or later
	later   int              // of them, those that start later
	inTime  int              // of these, those whose room is free in a moment by itself
	after   float64          // seconds until the first of these starts
	ends    float64          // when the last of these ends; infinite: nobody knows
	step    *plan.Step
}

// try has the programme place a job's tasks on machines.
func (r *planRound) try(j *job, on candidates) attempt {
	t := attempt{after: noRoomFor, step: r.c.step(j)}
	t.planned = plan.Spread(t.step, on.most, on.devices, r.now, func(pl plan.Placement) bool {
		return r.visit(j, on, &t, pl)
	})
	if t.later >= ahead && t.planned < on.most {
		// Machines that are free must not stay so because the job would
		// rather wait for others, which the first of it have taken.
		t.step.By = r.now + soon
		r.looks += len(on.devices)
		t.planned += plan.Spread(t.step, on.most-t.planned, on.devices, r.now, func(pl plan.Placement) bool {
			if on.all[pl.Device].host.state == up {
				t.starts = append(t.starts, pl)
			}
			return true
		})
	}
	return t
}

// visit sorts a placement by when it starts and says whether more are wanted.
func (r *planRound) visit(j *job, on candidates, t *attempt, pl plan.Placement) bool {
	c, h := r.c, on.all[pl.Device].host
	if on.keeps && h.state == up {
		room := &r.left[poolOf(r.p.keep.pools, h.typ)]
		use := c.takes(j.spec.Need, h.typ)
		if *room < use {
			return true
		}
		*room -= use
	}
	if j.spec.Gang || pl.Start <= r.now+soon && h.state == up {
		t.starts = append(t.starts, pl)
		return true
	}
	t.later++
	t.after, t.ends = min(t.after, pl.Start-r.now), max(t.ends, pl.Finish)
	if h.state == booting && c.now > h.eta {
		t.ends = math.Inf(1) // it should be up and is not: nobody knows when
	} else if pl.Start <= r.now+makesSense {
		t.inTime++
	}
	return t.later < ahead
}

// start books the tasks that start now, as many as the slice's record holds, and returns
// their number.
func (r *planRound) start(s *slice, starts []plan.Placement, on candidates, record *ledger) int {
	if s.job.spec.Gang && on.most > 0 {
		s.next++ // the tasks of a gang know each other by their common attempt
	}
	// Tasks that follow one another on a machine are one entry of the value.
	slices.SortStableFunc(starts, func(a, b plan.Placement) int { return cmp.Compare(a.Device, b.Device) })
	for k, i := range s.waiting.first(len(starts)) {
		h := on.all[starts[k].Device].host
		if !record.take(h.name) {
			return k
		}
		r.c.place(r.p, s, i, h)
	}
	return len(starts)
}

// noteShort has room made for tasks that could not start, where others give way to them,
// and notes those that find none.
func (r *planRound) noteShort(s *slice, t attempt, on candidates, late, started int) {
	c, p, j := r.c, r.p, s.job
	s.making = s.making[min(started, len(s.making)):]
	if late <= 0 || started > 0 {
		s.shortAt = 0
	} else if s.shortAt == 0 {
		s.shortAt = c.now
	}
	if s.shortAt > 0 && c.now > s.shortAt+shortFor {
		t.inTime = 0 // more urgent work takes it each time
	}
	if late > t.inTime && j.doubt == 0 {
		offers := r.offersTo(j, on)
		r.looks += len(offers)
		by := math.Inf(1) // when all of them run without that
		if t.planned >= on.most {
			by = t.ends - t.step.Comp
		}
		late -= max(c.makeRoom(p, s, late-t.inTime, by, offers)-t.inTime, 0)
	}
	if late > 0 && j.doubt == 0 {
		p.shortage = append(p.shortage, need{j, late, t.after})
	}
}

// offersTo lists the machines with tasks that would give way to a job's.
func (r *planRound) offersTo(j *job, on candidates) []*host {
	if j.spec.Service {
		r.looks += len(on.devices)
		return r.c.preemptibleHostsFor(r.p, j)
	}
	if r.preemptible == nil {
		r.preemptible = r.c.preemptibleHosts(r.p)
	}
	return r.preemptible
}

// allNow says whether every task of a gang can start now.
func (c *Core) allNow(starts []plan.Placement, n int, all []device) bool {
	for _, pl := range starts {
		if pl.Start > seconds(c.now)+soon || all[pl.Device].host.state != up {
			return false
		}
	}
	return len(starts) == n
}
