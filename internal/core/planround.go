package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"roadcleat/internal/plan"
	"roadcleat/internal/records"
)

const (
	// startTolerance is how far from now, in seconds, a planned start may lie to count as now.
	startTolerance = 0.05
	// freeSoonSeconds is how soon room must become free by itself for no task to be
	// preempted for it.
	freeSoonSeconds = 1.0
	// noRoomSeconds is in how many seconds work is taken to start for which no room is seen.
	noRoomSeconds = 60.0
	// starvedAfter is how long an assignment may have started nothing before room that is
	// about to become free no longer counts for it.
	starvedAfter = 3 * time.Second
	// lookaheadTasks is how many of a job's tasks that find no room now get room reserved
	// later, so that work behind them cannot take it. The tasks after these take what is
	// free now, or are planned when the first have started.
	lookaheadTasks = 32
	// maxPlacedPerRound is how many tasks of an assignment one round places at most.
	maxPlacedPerRound = 256
)

// The pause after a plan grows with its cost in machines tried and tasks placed. It is some
// thirty times what these take, so that a controller with a seventh of a core keeps three
// quarters of it for everything else.
const (
	pausePerDevice    = 2 * time.Microsecond
	pausePerPlacement = 60 * time.Microsecond
	// unpausedHosts is the number of machines below which a plan costs too little for a pause.
	unpausedHosts = 100
)

// unplacedWork is work that finds no machine soon.
type unplacedWork struct {
	job      *Job
	tasks    int
	startsIn float64 // seconds until the first of them would start here
}

// planRound is one run of the planner over a shard's ready assignments.
type planRound struct {
	core             *Core
	shard            *Shard
	shardDevices     []device
	devices          []*plan.Device // the same for the planner
	now              float64
	longestHostName  string    // which the assignments' records must have room for
	backfillLeft     []float64 // what backfill may still take, by pool; nil: not computed yet
	preemptibleHosts []*Host   // with backfill that may be preempted; nil: not computed yet
	devicesTried     int       // with tasksPlanned, what the round has cost
	tasksPlanned     int
}

// candidates are the machines that an assignment's tasks may be placed on in a round.
type candidates struct {
	all           []device
	devices       []*plan.Device
	maxTasks      int  // how many tasks may be placed
	leavesReserve bool // the job must not use the backfill reserve
}

// planShard runs the planner over the shard's ready assignments. Tasks whose planned machine
// has room now are placed; the others stay ready and are planned again as soon as anything
// changes. It returns how long to pause before the next plan.
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
	for _, assignment := range ready {
		round.planAssignment(assignment)
	}
	return round.pause()
}

func (c *Core) newPlanRound(shard *Shard) *planRound {
	round := &planRound{
		core:            c,
		shard:           shard,
		now:             seconds(c.now),
		longestHostName: shard.longestHostName(),
	}
	for _, host := range shard.hostList() {
		if host.countsForPlans(c.now) || host.typeIndex >= 0 && host.isJoining(c.now) {
			round.shardDevices = append(round.shardDevices, c.hostDevice(host, false))
		}
	}
	round.devices = planDevices(round.shardDevices)
	round.devicesTried = len(round.devices)
	return round
}

// pause is how long to wait after the round before the next plan.
func (r *planRound) pause() time.Duration {
	if len(r.devices) < unpausedHosts {
		return 0
	}
	return time.Duration(r.devicesTried)*pausePerDevice + time.Duration(r.tasksPlanned)*pausePerPlacement
}

// planAssignment places an assignment's tasks as far as they may start and find room now, and
// records which of them lack room.
func (r *planRound) planAssignment(assignment *Assignment) {
	c, shard, job := r.core, r.shard, assignment.job
	waiting := c.startableTasks(assignment)
	room := c.teamRoom(shard, job.team, job.spec.Need)
	quota := c.roomBesideRequests(assignment, room)
	if room < waiting && c.quotas[job.team].known {
		c.requestGrants(assignment)
	}
	record := c.sizeBudgetOf(assignment)
	allowed := min(waiting, quota, record.MaxTasks(c.tasksPerUsualMachine(job), r.longestHostName))
	if c.now < job.holdUntil || waiting == 0 {
		return
	}
	c.rememberClassTypes(job)
	wanted := min(allowed, maxPlacedPerRound)
	if job.spec.Gang && (len(assignment.tasks) > 0 || wanted < assignment.waiting.Count()) {
		return // a gang starts whole, and only once its last attempt has left its machines
	}
	r.devicesTried += len(r.devices)
	on, known := r.candidatesFor(assignment, wanted)
	if !known {
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

// candidatesFor are the machines that an assignment's tasks may be placed on, and how many of
// the wanted tasks may be. It is false while that is not known.
func (r *planRound) candidatesFor(assignment *Assignment, wanted int) (on candidates, known bool) {
	c, shard, job := r.core, r.shard, assignment.job
	on = candidates{
		all:           r.shardDevices,
		devices:       r.devices,
		maxTasks:      wanted,
		leavesReserve: c.leavesReserve(assignment),
	}
	if fit := c.withoutFailedHosts(job, on.all); len(fit) < len(on.all) {
		on.all, on.devices = fit, planDevices(fit)
	}
	if !on.leavesReserve {
		if c.isBackfill(job) && (c.isOverdue(assignment) || c.hasWaitedTooLong(assignment)) {
			on.maxTasks = min(wanted, overdueBackfillTasks)
		}
		return on, true
	}
	if shard.reserve.pools == nil {
		return on, false // a new owner has not measured yet what other work needs
	}
	if r.backfillLeft == nil {
		r.backfillLeft = c.roomForBackfill(shard) // all other work has been placed by now
	}
	fit, maxTasks := c.backfillCandidates(&shard.reserve, job, on.all, r.backfillLeft)
	on.all, on.devices, on.maxTasks = fit, planDevices(fit), min(wanted, maxTasks)
	return on, true
}

// trial is what the planner found for an assignment's tasks.
type trial struct {
	step          *plan.Step
	starts        []plan.Placement // of tasks that start now
	planned       int              // tasks with a placement, now or later
	later         int              // of them, those that start later
	freeSoon      int              // of later, those whose room becomes free in a moment by itself
	firstStartsIn float64          // seconds until the first of later starts
	lastEndsAt    float64          // when the last of later ends; infinite if unknown
}

// schedule has the planner place a job's tasks on machines.
func (r *planRound) schedule(job *Job, on candidates) trial {
	t := trial{firstStartsIn: noRoomSeconds, step: r.core.planStep(job)}
	t.planned = plan.Spread(t.step, on.maxTasks, on.devices, r.now, func(placement plan.Placement) bool {
		return r.addPlacement(job, on, &t, placement)
	})
	if t.later >= lookaheadTasks && t.planned < on.maxTasks {
		// The planner may prefer to wait for machines that the first tasks have taken. The
		// rest takes the machines that are free now, which would stay idle otherwise.
		t.step.StartBy = r.now + startTolerance
		r.devicesTried += len(on.devices)
		addStart := func(placement plan.Placement) bool {
			if on.all[placement.Device].host.state == hostUp {
				t.starts = append(t.starts, placement)
			}
			return true
		}
		t.planned += plan.Spread(t.step, on.maxTasks-t.planned, on.devices, r.now, addStart)
	}
	return t
}

// addPlacement adds a placement to the trial by when it starts, and reports whether more
// placements are wanted. One that exceeds the room for backfill is dropped.
func (r *planRound) addPlacement(job *Job, on candidates, t *trial, placement plan.Placement) bool {
	c, host := r.core, on.all[placement.Device].host
	if on.leavesReserve && host.state == hostUp {
		room := &r.backfillLeft[poolOf(r.shard.reserve.pools, host.typeIndex)]
		use := c.coresTaken(job.spec.Need, host.typeIndex)
		if *room < use {
			return true
		}
		*room -= use
	}
	if job.spec.Gang || placement.Start <= r.now+startTolerance && host.state == hostUp {
		t.starts = append(t.starts, placement)
		return true
	}
	t.later++
	t.firstStartsIn = min(t.firstStartsIn, placement.Start-r.now)
	t.lastEndsAt = max(t.lastEndsAt, placement.Finish)
	if host.state == hostBooting && c.now > host.expectedUpAt {
		t.lastEndsAt = math.Inf(1) // its boot is overdue, so nobody knows when it is up
	} else if placement.Start <= r.now+freeSoonSeconds {
		t.freeSoon++
	}
	return t.later < lookaheadTasks
}

// start places the tasks that start now, as many as the assignment's record has room for, and
// returns their number.
func (r *planRound) start(
	assignment *Assignment, starts []plan.Placement, on candidates, record *records.SizeBudget,
) int {
	if assignment.job.spec.Gang && on.maxTasks > 0 {
		assignment.lastAttempt++ // one attempt for all: by it the tasks of a gang find each other
	}
	// Tasks with consecutive indices on one machine are a single entry of the record.
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

// recordShortage preempts other work for tasks that could not start, where it may, and records
// the tasks that still lack room as unplaced.
func (r *planRound) recordShortage(assignment *Assignment, t trial, on candidates, late, started int) {
	c, shard, job := r.core, r.shard, assignment.job
	assignment.pendingPreemptions = assignment.pendingPreemptions[min(started, len(assignment.pendingPreemptions)):]
	if late <= 0 || started > 0 {
		assignment.starvedSince = 0
	} else if assignment.starvedSince == 0 {
		assignment.starvedSince = c.now
	}
	if assignment.starvedSince > 0 && c.now > assignment.starvedSince+starvedAfter {
		t.freeSoon = 0 // more urgent work has taken such room each time
	}
	if late > t.freeSoon && job.failedTrials == 0 {
		hosts := r.hostsToPreempt(job, on)
		r.devicesTried += len(hosts)
		allRunBy := math.Inf(1) // without preemption
		if t.planned >= on.maxTasks {
			allRunBy = t.lastEndsAt - t.step.RunTime
		}
		preempted := c.preemptFor(shard, assignment, late-t.freeSoon, allRunBy, hosts)
		late -= max(preempted-t.freeSoon, 0)
	}
	if late > 0 && job.failedTrials == 0 {
		shard.unplaced = append(shard.unplaced, unplacedWork{job, late, t.firstStartsIn})
	}
}

// hostsToPreempt lists the machines with tasks that may be preempted for a job's.
func (r *planRound) hostsToPreempt(job *Job, on candidates) []*Host {
	if job.spec.Service {
		r.devicesTried += len(on.devices)
		return r.core.preemptibleHostsFor(r.shard, job)
	}
	if r.preemptibleHosts == nil {
		r.preemptibleHosts = r.core.preemptibleHosts(r.shard)
	}
	return r.preemptibleHosts
}

// allStartNow reports whether every task of a gang can start now.
func (c *Core) allStartNow(starts []plan.Placement, tasks int, all []device) bool {
	for _, placement := range starts {
		if placement.Start > seconds(c.now)+startTolerance || all[placement.Device].host.state != hostUp {
			return false
		}
	}
	return len(starts) == tasks
}
