package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"roadcleat/internal/plan"
	"roadcleat/internal/records"
)

// startTolerance is how far from now a planned start may lie to count as now.
const startTolerance = 0.05

// lookaheadTasks is how many of a job's tasks that find no room now are given room
// later, so that work behind them can't take it. What comes after them takes
// what is free now or is planned when they have started.
const lookaheadTasks = 32

// freeSoonSeconds is how soon room must come by itself for nobody to be stopped for it.
const freeSoonSeconds = 1.0

// starvedAfter is how long a slice may have started nothing before room that is about
// to be free counts as none.
const starvedAfter = 3 * time.Second

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
	core             *Core
	shard            *Shard
	shardDevices     []device // the part's machines
	devices          []*plan.Device
	now              float64
	longest          string    // the longest name of a machine, which a record must hold
	backfillLeft     []float64 // what backfill may still take, by pool; nil: not worked out yet
	preemptibleHosts []*Host   // with backfill that may be stopped; nil: likewise
	// What the round has cost: machines looked at and tasks placed.
	devicesTried, tasksPlanned int
}

// candidates is what a slice's tasks may be placed on in a round.
type candidates struct {
	all           []device
	devices       []*plan.Device
	maxTasks      int  // tasks to place
	leavesReserve bool // the job leaves alone what is kept for others
}

// planShard runs the programme over the part's ready jobs. Tasks whose planned
// machine has room now are placed; the others stay ready and are planned
// again as soon as anything changes. It returns how long to pause.
func (c *Core) planShard(shard *Shard) time.Duration {
	shard.unplaced = shard.unplaced[:0]
	if !c.mayStartTasks() || len(c.types) == 0 {
		return 0
	}
	c.updateGuarantees()
	ready := c.readyAssignments(shard)
	if len(ready) == 0 {
		return 0
	}
	c.stats.Plans++
	round := c.newPlanRound(shard)
	for _, s := range ready {
		round.planAssignment(s)
	}
	if len(round.devices) < cheapPlanHosts {
		return 0
	}
	return time.Duration(round.devicesTried)*pausePerLook + time.Duration(round.tasksPlanned)*pausePerPlace
}

// cheapPlanHosts is the number of machines below which planning costs nothing to speak of.
const cheapPlanHosts = 100

// maxPlacedPerRound is how many tasks of a job one round places; the next one goes on.
const maxPlacedPerRound = 256

func (c *Core) newPlanRound(shard *Shard) *planRound {
	round := &planRound{core: c, shard: shard, now: seconds(c.now), longest: shard.longestHostName()}
	for _, host := range shard.hostList() {
		if host.countsForPlans(c.now) || host.typeIndex >= 0 && host.isJoining(c.now) {
			round.shardDevices = append(round.shardDevices, c.hostDevice(host, false))
		}
	}
	round.devices = devicesOf(round.shardDevices)
	round.devicesTried = len(round.devices)
	return round
}

// planAssignment places a slice's tasks as far as they may and can start now, and notes what
// lacks room.
func (r *planRound) planAssignment(assignment *Assignment) {
	c, shard, job := r.core, r.shard, assignment.job
	waiting, room := c.startableTasks(assignment), c.teamRoom(shard, job.team, job.spec.Need)
	quota := c.roomBesideRequests(assignment, room)
	if room < waiting && c.quotas[job.team].known {
		c.requestGrants(assignment)
	}
	record := c.sizeBudgetOf(assignment)
	allowed := min(waiting, quota, record.MaxTasks(c.tasksPerUsualMachine(job), r.longest))
	if c.now < job.holdUntil || waiting == 0 {
		return
	}
	c.rememberClassTypes(job)
	n := min(allowed, maxPlacedPerRound)
	if job.spec.Gang && (len(assignment.tasks) > 0 || n < assignment.waiting.Count()) {
		return // whole or not at all, and only once the last try is off its machines
	}
	r.devicesTried += len(r.devices)
	on, ok := r.candidatesFor(assignment, n)
	if !ok {
		return
	}
	t := r.schedule(job, on)
	r.tasksPlanned += t.planned
	if job.spec.Gang && !c.allStartNow(t.starts, on.maxTasks, on.all) {
		if job.failedTrials == 0 {
			shard.unplaced = append(shard.unplaced, unplacedWork{job, on.maxTasks, noRoomSeconds})
		}
		return
	}
	started := r.start(assignment, t.starts, on, record)
	r.recordShortage(assignment, t, on, allowed-started, started)
}

// noRoomSeconds is in how many seconds work is taken to start for which no room is seen.
const noRoomSeconds = 60.0

// candidatesFor are the machines that a slice's tasks may be placed on, and how many of n
// tasks may be. It is false while that is not known.
func (r *planRound) candidatesFor(assignment *Assignment, n int) (candidates, bool) {
	c, shard, job := r.core, r.shard, assignment.job
	on := candidates{all: r.shardDevices, devices: r.devices, maxTasks: n, leavesReserve: c.leavesReserve(assignment)}
	if fit := c.withoutFailedHosts(job, on.all); len(fit) < len(on.all) {
		on.all, on.devices = fit, devicesOf(fit)
	}
	if !on.leavesReserve {
		if c.isBackfill(job) && (c.isOverdue(assignment) || c.hasWaitedTooLong(assignment)) {
			on.maxTasks = min(n, overdueBackfillTasks)
		}
		return on, true
	}
	if shard.reserve.pools == nil {
		return on, false // a new owner has yet to see what others need
	}
	if r.backfillLeft == nil {
		r.backfillLeft = c.roomForBackfill(shard) // those who come first have been placed
	}
	fit, most := c.backfillCandidates(&shard.reserve, job, on.all, r.backfillLeft)
	on.all, on.devices, on.maxTasks = fit, devicesOf(fit), min(n, most)
	return on, true
}

// trial is what the programme found for a slice's tasks.
type trial struct {
	starts        []plan.Placement // those that start now
	planned       int              // tasks that have a place, now or later
	later         int              // of them, those that start later
	freeSoon      int              // of these, those whose room is free in a moment by itself
	firstStartsIn float64          // seconds until the first of these starts
	lastEndsAt    float64          // when the last of these ends; infinite: nobody knows
	step          *plan.Step
}

// schedule has the programme place a job's tasks on machines.
func (r *planRound) schedule(job *Job, on candidates) trial {
	t := trial{firstStartsIn: noRoomSeconds, step: r.core.planStep(job)}
	t.planned = plan.Spread(t.step, on.maxTasks, on.devices, r.now, func(pl plan.Placement) bool {
		return r.addPlacement(job, on, &t, pl)
	})
	if t.later >= lookaheadTasks && t.planned < on.maxTasks {
		// Machines that are free must not stay so because the job would
		// rather wait for others, which the first of it have taken.
		t.step.By = r.now + startTolerance
		r.devicesTried += len(on.devices)
		t.planned += plan.Spread(t.step, on.maxTasks-t.planned, on.devices, r.now, func(pl plan.Placement) bool {
			if on.all[pl.Device].host.state == hostUp {
				t.starts = append(t.starts, pl)
			}
			return true
		})
	}
	return t
}

// addPlacement sorts a placement by when it starts and says whether more are wanted.
func (r *planRound) addPlacement(job *Job, on candidates, t *trial, pl plan.Placement) bool {
	c, host := r.core, on.all[pl.Device].host
	if on.leavesReserve && host.state == hostUp {
		room := &r.backfillLeft[poolOf(r.shard.reserve.pools, host.typeIndex)]
		use := c.coresTaken(job.spec.Need, host.typeIndex)
		if *room < use {
			return true
		}
		*room -= use
	}
	if job.spec.Gang || pl.Start <= r.now+startTolerance && host.state == hostUp {
		t.starts = append(t.starts, pl)
		return true
	}
	t.later++
	t.firstStartsIn, t.lastEndsAt = min(t.firstStartsIn, pl.Start-r.now), max(t.lastEndsAt, pl.Finish)
	if host.state == hostBooting && c.now > host.expectedUpAt {
		t.lastEndsAt = math.Inf(1) // it should be up and is not: nobody knows when
	} else if pl.Start <= r.now+freeSoonSeconds {
		t.freeSoon++
	}
	return t.later < lookaheadTasks
}

// start books the tasks that start now, as many as the slice's record holds, and returns
// their number.
func (r *planRound) start(assignment *Assignment, starts []plan.Placement, on candidates, record *records.SizeBudget) int {
	if assignment.job.spec.Gang && on.maxTasks > 0 {
		assignment.lastAttempt++ // the tasks of a gang know each other by their common attempt
	}
	// Tasks that follow one another on a machine are one entry of the value.
	slices.SortStableFunc(starts, func(a, b plan.Placement) int { return cmp.Compare(a.Device, b.Device) })
	for k, i := range assignment.waiting.First(len(starts)) {
		host := on.all[starts[k].Device].host
		if !record.Take(host.name) {
			return k
		}
		r.core.placeTask(r.shard, assignment, i, host)
	}
	return len(starts)
}

// recordShortage has room made for tasks that could not start, where others give way to them,
// and notes those that find none.
func (r *planRound) recordShortage(assignment *Assignment, t trial, on candidates, late, started int) {
	c, shard, job := r.core, r.shard, assignment.job
	assignment.pendingPreemptions = assignment.pendingPreemptions[min(started, len(assignment.pendingPreemptions)):]
	if late <= 0 || started > 0 {
		assignment.starvedSince = 0
	} else if assignment.starvedSince == 0 {
		assignment.starvedSince = c.now
	}
	if assignment.starvedSince > 0 && c.now > assignment.starvedSince+starvedAfter {
		t.freeSoon = 0 // more urgent work takes it each time
	}
	if late > t.freeSoon && job.failedTrials == 0 {
		offers := r.preemptionOffers(job, on)
		r.devicesTried += len(offers)
		by := math.Inf(1) // when all of them run without that
		if t.planned >= on.maxTasks {
			by = t.lastEndsAt - t.step.Comp
		}
		late -= max(c.preemptFor(shard, assignment, late-t.freeSoon, by, offers)-t.freeSoon, 0)
	}
	if late > 0 && job.failedTrials == 0 {
		shard.unplaced = append(shard.unplaced, unplacedWork{job, late, t.firstStartsIn})
	}
}

// preemptionOffers lists the machines with tasks that would give way to a job's.
func (r *planRound) preemptionOffers(job *Job, on candidates) []*Host {
	if job.spec.Service {
		r.devicesTried += len(on.devices)
		return r.core.preemptibleHostsFor(r.shard, job)
	}
	if r.preemptibleHosts == nil {
		r.preemptibleHosts = r.core.preemptibleHosts(r.shard)
	}
	return r.preemptibleHosts
}

// allStartNow says whether every task of a gang can start now.
func (c *Core) allStartNow(starts []plan.Placement, n int, all []device) bool {
	for _, pl := range starts {
		if pl.Start > seconds(c.now)+startTolerance || all[pl.Device].host.state != hostUp {
			return false
		}
	}
	return len(starts) == n
}
