package core

import (
	"fmt"
	"slices"
	"time"

	"roadcleat/internal/model"
)

// Why tasks do not run, for operators. The checks read the same data as planning and change
// nothing.

// whyMissing gives the reason why some of an assignment's tasks do not run, and its text: what
// the waiting ones wait for, else what those that are placed wait for. nextUp is the shard's
// nextHostsUp.
func (c *Core) whyMissing(
	shard *Shard, assignment *Assignment, counts TaskCounts, nextUp map[int]*Host,
) (Reason, string) {
	switch {
	case counts.Waiting > 0:
		return c.whyWaiting(shard, assignment, nextUp)
	case counts.Fetching > 0:
		return ReasonImageFetch, c.fetchDetail(assignment)
	case counts.Starting > 0:
		return ReasonLaunching, ReasonLaunching.String()
	}
	return ReasonNone, ""
}

// fetchDetail says where the last of an assignment's image fetches is expected to end, and when.
func (c *Core) fetchDetail(assignment *Assignment) string {
	var last *Task
	lastReady := time.Duration(-1)
	for _, i := range sorted(assignment.tasks) {
		task := assignment.tasks[i]
		readyAt := task.host.fetching[assignment.job.image]
		if task.state == TaskFetching && readyAt > lastReady {
			last, lastReady = task, readyAt
		}
	}
	if last == nil {
		return ReasonImageFetch.String()
	}
	return fmt.Sprintf("%s; on %s for %.0f s, expected in %.0f s", ReasonImageFetch, last.host.name,
		seconds(c.now-last.fetchStartedAt), seconds(max(lastReady-c.now, 0)))
}

// whyWaiting gives the first reason for which an assignment's waiting tasks are not placed, and
// its text.
func (c *Core) whyWaiting(shard *Shard, assignment *Assignment, nextUp map[int]*Host) (Reason, string) {
	job := assignment.job
	plain := func(reason Reason) (Reason, string) { return reason, reason.String() }
	limited := job.team >= 0 && limitConcerns(c.teamConfigs[job.team].Limit, job.spec.Need)
	switch {
	case job.state != model.JobPending:
		return ReasonNone, "the job is over"
	case job.team < 0:
		return plain(ReasonTeamUnknown)
	case !c.storeReachable():
		return plain(ReasonStoreUnavailable)
	case !c.mayStartTasks():
		return plain(ReasonViewStale)
	case shard.claim.HandingOver():
		return plain(ReasonShardHandover)
	case len(shard.unknownKeys) > 0:
		return plain(ReasonOutcomeUnknown)
	case job.failedTrials > 0:
		return ReasonSuspectJob, fmt.Sprintf("its tasks fail on every machine (%d so far, last on %v), "+
			"as if submitted with a mistake; one at a time is tried, the next in %.0f s",
			job.failures, job.failedHosts(), seconds(max(job.nextTrialAt-c.now, 0)))
	case limited && (!c.quotas[job.team].known || c.quotas[job.team].mustReread):
		return plain(ReasonLimitUnknown)
	case c.knownTeamRoom(shard, job.team, job.spec.Need) == 0:
		return plain(ReasonAtLimit)
	case c.now < job.holdUntil:
		return plain(ReasonLaunchRefused)
	case job.spec.Gang && len(assignment.tasks) > 0:
		return plain(ReasonGangStopping)
	case c.sizeBudgetOf(assignment).MaxTasks(c.tasksPerUsualMachine(job), shard.longestHostName()) == 0:
		return ReasonRecordFull, fmt.Sprintf("%s (%d)", ReasonRecordFull, len(assignment.tasks))
	case c.noHeartbeats(shard):
		return plain(ReasonShardSilent)
	}
	return c.whyNoRoom(shard, assignment, nextUp)
}

// whyNoRoom gives the reason why there is no room for an assignment's tasks: machines are
// booting or being rented, the cloud has none, or room is kept for other work.
func (c *Core) whyNoRoom(shard *Shard, assignment *Assignment, nextUp map[int]*Host) (Reason, string) {
	var next *Host
	rentable, exhausted := 0, 0 // kinds of machines
	for typ := range c.types {
		for _, spot := range []bool{true, false} {
			kind := c.kindIndex(shard.zone, typ, spot)
			if c.tasksPerMachine(typ, assignment.job.spec.Need) == 0 || !c.allowedOn(assignment.job, kind) {
				continue
			}
			if host := nextUp[kind]; host != nil && (next == nil || host.expectedUpAt < next.expectedUpAt) {
				next = host
			}
			if !slices.Contains(c.types[typ].Zones, shard.name) {
				continue
			}
			rentable++
			if c.now < shard.exhaustedUntil[MachineKind{c.types[typ].Name, spot}] {
				exhausted++
			}
		}
	}
	switch {
	case next != nil:
		return ReasonBooting, fmt.Sprintf("no room; %s should be up in about %.0f s",
			next.name, seconds(max(next.expectedUpAt-c.now, 0)))
	case c.leavesReserve(assignment):
		return ReasonHeldBack, ReasonHeldBack.String()
	case len(shard.rentals) > 0:
		return ReasonRenting, ReasonRenting.String()
	case rentable == exhausted:
		return ReasonNoCapacity, ReasonNoCapacity.String()
	}
	return ReasonNoRoom, ReasonNoRoom.String()
}

// nextHostsUp gives for each kind the booting machine of the shard that should be up first.
func (c *Core) nextHostsUp(shard *Shard) map[int]*Host {
	nextUp := map[int]*Host{}
	for _, host := range shard.hostList() {
		if host.state != hostBooting || host.typeIndex < 0 {
			continue
		}
		kind := c.kindIndex(shard.zone, host.typeIndex, host.spot)
		if first := nextUp[kind]; first == nil || host.expectedUpAt < first.expectedUpAt {
			nextUp[kind] = host
		}
	}
	return nextUp
}
