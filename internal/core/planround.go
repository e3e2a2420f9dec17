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
	// startToleranceSeconds is the maximum delay with which a planned start is treated as a start
	// now.
	startToleranceSeconds = 0.05
	// maxWaitWithoutPreemptionSeconds is the longest wait for which no other task is preempted: a
	// task that is expected to start within it waits for resources that become free on their own.
	maxWaitWithoutPreemptionSeconds = 1.0
	// unknownStartSeconds is the assumed time until tasks start for which the planner finds no
	// machine.
	unknownStartSeconds = 60.0
	// starvedAfter is how long an assignment may start no task before it may preempt other work
	// even though resources are about to become free: such resources have then been taken by more
	// urgent work each time.
	starvedAfter = 3 * time.Second
	// lookaheadTasks is the maximum number of a job's tasks, among those that cannot start now,
	// for which resources are reserved at a later time, so that tasks of lower rank cannot take
	// them. Further tasks start only on resources that are free now, or are planned once the
	// first ones have started.
	lookaheadTasks = 32
	// maxTasksPlacedPerRound is the maximum number of tasks of an assignment placed in one planning
	// round.
	maxTasksPlacedPerRound = 256
)

// The pause after a planning round grows with its cost, which is estimated from the number of
// devices evaluated and tasks placed. It is about thirty times the duration of the round, so that
// a controller limited to a seventh of a core has three quarters of that for everything else.
const (
	pausePerDevice    = 2 * time.Microsecond
	pausePerPlacement = 60 * time.Microsecond
	// minHostsForPause is the number of machines below which a round is too cheap to need a pause.
	minHostsForPause = 100
)

// unplacedWork is a job's tasks that the newest plan could not start in the shard.
type unplacedWork struct {
	job             *Job
	tasks           int     // number of tasks
	startsInSeconds float64 // time until the first of them is expected to start in this shard
}

// planRound is one planning round over the ready assignments of a shard.
type planRound struct {
	core             *Core
	shard            *Shard
	hostDevices      []device       // the shard's machines that are usable, booting or joining
	plannerDevices   []*plan.Device // the same devices without the core's data
	now              float64        // time of the round in seconds of the core's clock
	longestHostName  string         // longest name of the shard's machines; limits the number of tasks in a record
	backfillCapacity []float64      // cores that backfill may still take, by pool; nil: not computed yet
	preemptibleHosts []*Host        // hosts with preemptible backfill; nil: not computed yet
	devicesEvaluated int            // devices evaluated so far; determines the pause, as tasksPlanned does
	tasksPlanned     int            // tasks given a placement, now or later
}

// candidateSet is the machines on which an assignment's tasks may be placed in a round.
type candidateSet struct {
	hostDevices      []device
	plannerDevices   []*plan.Device // of hostDevices
	maxTasks         int            // maximum number of tasks to place
	mustLeaveReserve bool           // the job is backfill and must not use the backfill reserve
}

// planShard runs the planner over the shard's ready assignments. Tasks whose planned machine has
// free capacity now are placed. The others stay in the waiting set and are planned again with the
// next change. It returns how long to pause before the next plan.
func (c *Core) planShard(shard *Shard) time.Duration {
	shard.unplacedWork = shard.unplacedWork[:0]
	if !c.canStartTasks() || len(c.machineTypes) == 0 {
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

// newPlanRound starts a round with the machines that are usable, booting or joining.
func (c *Core) newPlanRound(shard *Shard) *planRound {
	round := &planRound{
		core:            c,
		shard:           shard,
		now:             toSeconds(c.now),
		longestHostName: shard.longestHostName(),
	}
	for _, host := range shard.sortedHosts() {
		if host.isPlannable(c.now) || host.typeIndex >= 0 && host.isJoining(c.now) {
			round.hostDevices = append(round.hostDevices, c.hostDevice(host, false))
		}
	}
	round.plannerDevices = toPlannerDevices(round.hostDevices)
	round.devicesEvaluated = len(round.plannerDevices)
	return round
}

// pause returns how long to wait after the round before the next one.
func (r *planRound) pause() time.Duration {
	if len(r.plannerDevices) < minHostsForPause {
		return 0
	}
	return time.Duration(r.devicesEvaluated)*pausePerDevice + time.Duration(r.tasksPlanned)*pausePerPlacement
}

// planAssignment places as many of an assignment's tasks as may start and fit now, and records
// the others as unplaced. The number is limited by the team's quota and by the size of the
// assignment's record.
func (r *planRound) planAssignment(assignment *Assignment) {
	c, shard, job := r.core, r.shard, assignment.job
	startable := c.startableTaskCount(assignment)
	teamCapacity := c.teamTaskHeadroom(shard, job.team, job.spec.TaskResources)
	quotaTasks := c.headroomAfterRequests(assignment, teamCapacity)
	if teamCapacity < startable && c.quotas[job.team].isLoaded {
		c.requestGrants(assignment)
	}
	recordBudget := c.sizeBudgetOf(assignment)
	allowed := min(startable, quotaTasks, recordBudget.MaxTasks(c.tasksPerPreferredHost(job), r.longestHostName))
	if c.now < job.launchesHeldUntil || startable == 0 {
		return
	}
	c.recordClassTypes(job)
	wanted := min(allowed, maxTasksPlacedPerRound)
	if job.spec.Gang && (len(assignment.tasks) > 0 || wanted < assignment.waiting.Count()) {
		// A gang starts all its tasks at once, after those of its last attempt have left their
		// machines.
		return
	}
	r.devicesEvaluated += len(r.plannerDevices)
	candidates, isKnown := r.candidatesFor(assignment, wanted)
	if !isKnown {
		return
	}
	result := r.schedule(job, candidates)
	r.tasksPlanned += result.plannedTasks
	if job.spec.Gang && !c.allTasksStartNow(result.startingNow, candidates.maxTasks, candidates.hostDevices) {
		if job.failedTrials == 0 {
			shard.unplacedWork = append(shard.unplacedWork, unplacedWork{job, candidates.maxTasks, unknownStartSeconds})
		}
		return
	}
	started := r.startTasks(assignment, result.startingNow, candidates, recordBudget)
	r.recordShortage(assignment, result, candidates, allowed-started, started)
}

// candidatesFor returns the machines on which an assignment's tasks may be placed, and how many
// of the wanted tasks may be. isLoaded is false for backfill until the shard's backfill reserve
// has been measured.
func (r *planRound) candidatesFor(assignment *Assignment, wanted int) (candidates candidateSet, isKnown bool) {
	c, shard, job := r.core, r.shard, assignment.job
	candidates = candidateSet{
		hostDevices:      r.hostDevices,
		plannerDevices:   r.plannerDevices,
		maxTasks:         wanted,
		mustLeaveReserve: c.mustLeaveReserve(assignment),
	}
	withoutFailed := c.excludeFailedHosts(job, candidates.hostDevices)
	if len(withoutFailed) < len(candidates.hostDevices) {
		candidates.hostDevices, candidates.plannerDevices = withoutFailed, toPlannerDevices(withoutFailed)
	}
	if !candidates.mustLeaveReserve {
		if c.isBackfill(job) && (c.isOverdue(assignment) || c.hasWaitedTooLong(assignment)) {
			candidates.maxTasks = min(wanted, maxOverdueBackfillTasks)
		}
		return candidates, true
	}
	if shard.backfillReserve.pools == nil {
		return candidates, false // a new owner has not yet measured the demand of other work
	}
	if r.backfillCapacity == nil {
		// Backfill is ranked last, so all other work has been placed by now.
		r.backfillCapacity = c.computeBackfillCapacity(shard)
	}
	fitting, maxTasks := c.backfillCandidates(&shard.backfillReserve, job, candidates.hostDevices, r.backfillCapacity)
	candidates.hostDevices, candidates.plannerDevices = fitting, toPlannerDevices(fitting)
	candidates.maxTasks = min(wanted, maxTasks)
	return candidates, true
}

// planResult is the planner's result for an assignment's tasks.
type planResult struct {
	step                   *plan.Step       // the tasks as passed to the planner
	startingNow            []plan.Placement // placements of tasks that start now; of a gang, all placements
	plannedTasks           int              // number of tasks with a placement, now or later
	laterTasks             int              // number of planned tasks that start later
	tasksWithoutPreemption int              // of laterTasks, those that start within maxWaitWithoutPreemptionSeconds
	firstLaterStartSeconds float64          // time until the first of laterTasks starts
	lastLaterFinishSeconds float64          // time at which the last of laterTasks finishes; infinite if unknown
}

// schedule runs the planner for a job's tasks on the candidate machines.
func (r *planRound) schedule(job *Job, candidates candidateSet) planResult {
	result := planResult{firstLaterStartSeconds: unknownStartSeconds, step: r.core.planStep(job)}
	result.plannedTasks = plan.PlaceTasks(
		result.step, candidates.maxTasks, candidates.plannerDevices, r.now,
		func(placement plan.Placement) bool {
			return r.addPlacement(job, candidates, &result, placement)
		})
	if result.laterTasks >= lookaheadTasks && result.plannedTasks < candidates.maxTasks {
		// The planner may prefer to wait for machines that the first tasks occupy. The remaining
		// tasks start on machines that are free now, which would be idle otherwise.
		result.step.LatestStart = r.now + startToleranceSeconds
		r.devicesEvaluated += len(candidates.plannerDevices)
		addStart := func(placement plan.Placement) bool {
			if candidates.hostDevices[placement.Device].host.state == hostUp {
				result.startingNow = append(result.startingNow, placement)
			}
			return true
		}
		result.plannedTasks += plan.PlaceTasks(
			result.step, candidates.maxTasks-result.plannedTasks, candidates.plannerDevices, r.now, addStart)
	}
	return result
}

// addPlacement adds a placement to the result according to its start, and reports whether the
// planner should go on. A placement that exceeds the capacity for backfill is dropped.
func (r *planRound) addPlacement(
	job *Job, candidates candidateSet, result *planResult, placement plan.Placement,
) bool {
	c, host := r.core, candidates.hostDevices[placement.Device].host
	if candidates.mustLeaveReserve && host.state == hostUp {
		capacityLeft := &r.backfillCapacity[poolIndex(r.shard.backfillReserve.pools, host.typeIndex)]
		coresNeeded := c.equivalentCores(job.spec.TaskResources, host.typeIndex)
		if *capacityLeft < coresNeeded {
			return true
		}
		*capacityLeft -= coresNeeded
	}
	if job.spec.Gang || placement.Start <= r.now+startToleranceSeconds && host.state == hostUp {
		result.startingNow = append(result.startingNow, placement)
		return true
	}
	result.laterTasks++
	result.firstLaterStartSeconds = min(result.firstLaterStartSeconds, placement.Start-r.now)
	result.lastLaterFinishSeconds = max(result.lastLaterFinishSeconds, placement.Finish)
	if host.state == hostBooting && c.now > host.expectedUpAt {
		// The boot is overdue, so it is unknown when the machine will be up.
		result.lastLaterFinishSeconds = math.Inf(1)
	} else if placement.Start <= r.now+maxWaitWithoutPreemptionSeconds {
		result.tasksWithoutPreemption++
	}
	return result.laterTasks < lookaheadTasks
}

// startTasks places the tasks that start now, as many as fit in the assignment's record, and
// returns their number.
func (r *planRound) startTasks(
	assignment *Assignment, starts []plan.Placement, candidates candidateSet, recordBudget *records.SizeBudget,
) int {
	if assignment.job.spec.Gang && candidates.maxTasks > 0 {
		assignment.lastAttempt++ // all tasks of a gang share an attempt number, by which they find each other
	}
	// Tasks with consecutive indices on one machine share an entry of the record.
	slices.SortStableFunc(starts, func(a, b plan.Placement) int { return cmp.Compare(a.Device, b.Device) })
	for placementIndex, taskIndex := range assignment.waiting.First(len(starts)) {
		host := candidates.hostDevices[starts[placementIndex].Device].host
		if !recordBudget.Reserve(host.name) {
			return placementIndex
		}
		r.core.placeTask(r.shard, assignment, taskIndex, host)
	}
	return len(starts)
}

// recordShortage preempts other tasks, where this is allowed, for the shortfall: the tasks that
// may start but could not. It records the tasks that still lack free capacity as unplaced.
func (r *planRound) recordShortage(
	assignment *Assignment, result planResult, candidates candidateSet, shortfall, started int,
) {
	c, shard, job := r.core, r.shard, assignment.job
	assignment.preemptionDeadlines = assignment.preemptionDeadlines[min(started, len(assignment.preemptionDeadlines)):]
	if shortfall <= 0 || started > 0 {
		assignment.starvedSince = 0
	} else if assignment.starvedSince == 0 {
		assignment.starvedSince = c.now
	}
	if assignment.starvedSince > 0 && c.now > assignment.starvedSince+starvedAfter {
		result.tasksWithoutPreemption = 0 // more urgent tasks have taken the resources that became free each time
	}
	if shortfall > result.tasksWithoutPreemption && job.failedTrials == 0 {
		hosts := r.hostsToPreempt(job, candidates)
		r.devicesEvaluated += len(hosts)
		allStartedBy := math.Inf(1) // without preemption
		if result.plannedTasks >= candidates.maxTasks {
			allStartedBy = result.lastLaterFinishSeconds - result.step.RunSeconds
		}
		preempted := c.preemptFor(shard, assignment, shortfall-result.tasksWithoutPreemption, allStartedBy, hosts)
		shortfall -= max(preempted-result.tasksWithoutPreemption, 0)
	}
	if shortfall > 0 && job.failedTrials == 0 {
		shard.unplacedWork = append(shard.unplacedWork, unplacedWork{job, shortfall, result.firstLaterStartSeconds})
	}
}

// hostsToPreempt returns the hosts with tasks that may be preempted for a job's tasks.
func (r *planRound) hostsToPreempt(job *Job, candidates candidateSet) []*Host {
	if job.spec.Service {
		r.devicesEvaluated += len(candidates.plannerDevices)
		return r.core.preemptibleHostsFor(r.shard, job)
	}
	if r.preemptibleHosts == nil {
		r.preemptibleHosts = r.core.preemptibleHosts(r.shard)
	}
	return r.preemptibleHosts
}

// allTasksStartNow reports whether the placements are those of all tasks of a gang and all of
// them start now on machines that are up.
func (c *Core) allTasksStartNow(starts []plan.Placement, tasks int, devices []device) bool {
	for _, placement := range starts {
		if placement.Start > toSeconds(c.now)+startToleranceSeconds || devices[placement.Device].host.state != hostUp {
			return false
		}
	}
	return len(starts) == tasks
}
