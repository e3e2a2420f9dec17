package core

import (
	"slices"

	"roadcleat/internal/model"
)

// This file tracks launches that were sent in direct calls. A worker executes such a call whenever
// it arrives, as long as its token and incarnation match: late if there was no response, and a
// second time if the request is repeated by the network after it was executed. Until a call without
// a response is ruled out, its attempts count as possibly on the machine (invariant ran_twice), and
// the worker's lease must not be renewed once a job of them is cancelled (invariant ran_cancelled).
// Until a repetition is ruled out, the worker must not forget the attempts, because it ignores the
// launch of an attempt only as long as it reports that attempt. Both are ruled out once the worker
// reports a higher token or a new incarnation.

// launchKey identifies an attempt of a task.
type launchKey struct {
	task    model.TaskID
	attempt uint64
}

// sentLaunch is a launch that was sent in a direct call. The worker executes it only under the token
// and in the incarnation with which it was sent.
type sentLaunch struct {
	token, incarnation uint64
	answered           bool // the worker has responded to the call
}

// isLaunchInFlight reports whether a launch of an attempt without a response may still reach the
// worker.
func (h *Host) isLaunchInFlight(task model.TaskID, attempt uint64) bool {
	launch, isSent := h.sentLaunches[launchKey{task, attempt}]
	return isSent && !launch.answered
}

// hasCancelledLaunchInFlight reports whether the worker may still execute a launch of a cancelled
// job that was sent with the given token or a higher one. This is ruled out once the worker reports
// the attempt, receives a higher token or starts a new incarnation. Until then the worker's
// heartbeats do not renew its lease. While the state service is unreachable no higher token can be
// obtained, and a worker whose lease is renewed would keep its incarnation and could execute the
// launch after the time limit for stopping cancelled tasks (invariant ran_cancelled).
func (c *Core) hasCancelledLaunchInFlight(host *Host, token uint64) bool {
	for key, launch := range host.sentLaunches {
		if launch.answered || launch.token < token {
			continue
		}
		cancelled := c.finalJobStates[key.task.Job] == model.JobCancelled
		reported := host.reportedTasks[key.task].Attempt == key.attempt
		if cancelled && !reported {
			return true
		}
	}
	return false
}

// needsTokenAbove reports whether the worker has to receive a token above the given one: so that it
// refuses a launch of a cancelled job, or so that it may forget an attempt.
func (c *Core) needsTokenAbove(shard *Shard, host *Host, token uint64) bool {
	if len(host.sentLaunches) == 0 {
		return false
	}
	keepsAttempt := func(status TaskStatus) bool {
		launch := host.sentLaunches[launchKey{status.Task, status.Attempt}]
		return launch.token >= token && status.State == TaskExited &&
			isExitRecorded(shard, status) && c.mayLaunchAgain(shard, host, status)
	}
	for _, status := range host.reportedTasks {
		if keepsAttempt(status) {
			return true
		}
	}
	return slices.ContainsFunc(host.earlierAttempts, keepsAttempt) || c.hasCancelledLaunchInFlight(host, token)
}

// tokenFor returns the fencing token of the next command or reply to a worker. Within a term the
// worker keeps the token that it was presented first: a higher one makes it refuse calls that are on
// their way, and send an additional heartbeat. It is presented the newest token if it needs one.
func (c *Core) tokenFor(shard *Shard, host *Host) uint64 {
	newest, presented := shard.claim.Token(), host.presentedToken
	if presented < shard.claim.Term() || presented < newest && c.needsTokenAbove(shard, host, presented) {
		host.presentedToken = newest
	}
	return host.presentedToken
}
