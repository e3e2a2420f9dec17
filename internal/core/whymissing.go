package core

import (
	"fmt"
	"slices"
	"time"

	"roadcleat/internal/model"
)

// This file determines for operators why tasks do not run. The checks read the same data as
// planning and change nothing.

// reasonNotRunning returns the reason, and its text, why some of an assignment's tasks do not run:
// the reason of the waiting tasks if there are any, otherwise that of the placed ones. nextUp is
// the result of nextHostsUp for the shard.
func (c *Core) reasonNotRunning(
	shard *Shard, assignment *Assignment, counts TaskCounts, nextUp map[int]*Host,
) (Reason, string) {
	switch {
	case counts.Waiting > 0:
		return c.reasonNotPlaced(shard, assignment, nextUp)
	case counts.Fetching > 0:
		return ReasonImageFetch, c.fetchDetail(assignment)
	case counts.Starting > 0:
		return ReasonLaunching, ReasonLaunching.String()
	}
	return ReasonNone, ""
}

// fetchDetail describes the image fetch of the assignment that is expected to end last.
func (c *Core) fetchDetail(assignment *Assignment) string {
	var lastTask *Task
	lastReadyAt := time.Duration(-1)
	for _, i := range sortedKeys(assignment.tasks) {
		task := assignment.tasks[i]
		readyAt := task.host.fetchingUntil[assignment.job.image]
		if task.state == TaskFetching && readyAt > lastReadyAt {
			lastTask, lastReadyAt = task, readyAt
		}
	}
	if lastTask == nil {
		return ReasonImageFetch.String()
	}
	return fmt.Sprintf("%s; on %s for %.0f s, expected in %.0f s", ReasonImageFetch, lastTask.host.name,
		toSeconds(c.now-lastTask.fetchStartedAt), toSeconds(max(lastReadyAt-c.now, 0)))
}

// reasonNotPlaced returns the first reason, and its text, why an assignment's waiting tasks are not
// placed.
func (c *Core) reasonNotPlaced(shard *Shard, assignment *Assignment, nextUp map[int]*Host) (Reason, string) {
	job := assignment.job
	withText := func(reason Reason) (Reason, string) { return reason, reason.String() }
	hasLimit := job.team >= 0 && limitAppliesTo(c.teamConfigs[job.team].Limit, job.spec.TaskResources)
	switch {
	case job.state != model.JobPending:
		return ReasonNone, "the job is over"
	case job.team < 0:
		return withText(ReasonTeamUnknown)
	case !c.stateServiceReachable():
		return withText(ReasonStateServiceUnreachable)
	case !c.canStartTasks():
		return withText(ReasonCancellationViewStale)
	case shard.claim.HandingOver():
		return withText(ReasonShardHandover)
	case len(shard.keysToReread) > 0:
		return withText(ReasonOutcomeUnknown)
	case job.failedTrials > 0:
		return ReasonSuspectJob, fmt.Sprintf("its tasks fail on every machine (%d so far, last on %v), "+
			"as if submitted with a mistake; one at a time is tried, the next in %.0f s",
			job.failures, job.failedHostNames(), toSeconds(max(job.nextTrialAt-c.now, 0)))
	case hasLimit && (!c.quotas[job.team].isLoaded || c.quotas[job.team].mustReread):
		return withText(ReasonTeamGrantsUnknown)
	case c.cachedTeamTaskHeadroom(shard, job.team, job.spec.TaskResources) == 0:
		return withText(ReasonTeamAtLimit)
	case c.now < job.launchesHeldUntil:
		return withText(ReasonLaunchRefused)
	case job.spec.Gang && len(assignment.tasks) > 0:
		return withText(ReasonGangStopping)
	case c.sizeBudgetOf(assignment).MaxTasks(c.tasksPerPreferredHost(job), shard.longestHostName()) == 0:
		return ReasonRecordFull, fmt.Sprintf("%s (%d)", ReasonRecordFull, len(assignment.tasks))
	case c.receivesNoHeartbeats(shard):
		return withText(ReasonNoHeartbeats)
	}
	return c.reasonNoFreeCapacity(shard, assignment, nextUp)
}

// reasonNoFreeCapacity returns the reason, and its text, why the shard's machines have no free
// capacity for an assignment's tasks: machines are booting or being rented, the cloud has none, or
// the capacity is reserved for other work.
func (c *Core) reasonNoFreeCapacity(shard *Shard, assignment *Assignment, nextUp map[int]*Host) (Reason, string) {
	var nextHost *Host
	rentableKinds, exhaustedKinds := 0, 0 // numbers of machine kinds
	for typeIndex := range c.machineTypes {
		for _, spot := range []bool{true, false} {
			kind := c.zoneKindIndex(shard.zone, typeIndex, spot)
			if c.tasksPerMachine(typeIndex, assignment.job.spec.TaskResources) == 0 || !c.mayRunOn(assignment.job, kind) {
				continue
			}
			if host := nextUp[kind]; host != nil && (nextHost == nil || host.expectedUpAt < nextHost.expectedUpAt) {
				nextHost = host
			}
			if !slices.Contains(c.machineTypes[typeIndex].Zones, shard.name) {
				continue
			}
			rentableKinds++
			if c.now < shard.outOfCapacityUntil[MachineKind{c.machineTypes[typeIndex].Name, spot}] {
				exhaustedKinds++
			}
		}
	}
	switch {
	case nextHost != nil:
		return ReasonBooting, fmt.Sprintf("no room; %s should be up in about %.0f s",
			nextHost.name, toSeconds(max(nextHost.expectedUpAt-c.now, 0)))
	case c.mustLeaveReserve(assignment):
		return ReasonNoBackfillCapacity, ReasonNoBackfillCapacity.String()
	case len(shard.rentals) > 0:
		return ReasonRenting, ReasonRenting.String()
	case rentableKinds == exhaustedKinds:
		return ReasonNoCapacity, ReasonNoCapacity.String()
	}
	return ReasonHostsFull, ReasonHostsFull.String()
}

// nextHostsUp returns for each machine kind the booting machine of the shard that is expected to be
// up first.
func (c *Core) nextHostsUp(shard *Shard) map[int]*Host {
	nextUp := map[int]*Host{}
	for _, host := range shard.sortedHosts() {
		if host.state != hostBooting || host.typeIndex < 0 {
			continue
		}
		kind := c.zoneKindIndex(shard.zone, host.typeIndex, host.spot)
		if earliest := nextUp[kind]; earliest == nil || host.expectedUpAt < earliest.expectedUpAt {
			nextUp[kind] = host
		}
	}
	return nextUp
}
