package core

import "roadcleat/internal/model"

// Launches that may still reach their worker. A direct call without an answer may be executed
// at any later time, while token and incarnation match. Until that is excluded the attempt
// counts as possibly on the machine (ran_twice), and its worker must not go on after the job
// is cancelled (ran_cancelled).

// launchKey names an attempt.
type launchKey struct {
	task    model.TaskID
	attempt uint64
}

// sentLaunch is a launch that was sent in a direct call and has no answer. The worker executes
// it only under the token and in the incarnation with which it was sent.
type sentLaunch struct{ token, incarnation uint64 }

// inFlight reports whether a launch of an attempt may still reach the worker.
func (h *Host) inFlight(task model.TaskID, attempt uint64) bool {
	_, inFlight := h.launchesInFlight[launchKey{task, attempt}]
	return inFlight
}

// cancelledLaunchInFlight reports whether the worker may still execute a launch of a cancelled
// job. That is excluded once the worker reports the attempt, sees a higher token or begins a
// new incarnation. Until then it is not answered: while the state service is out of reach no
// higher token can be had, and an answered worker would keep the incarnation and with it run
// the launch beyond the cancellation's bound (ran_cancelled).
func (c *Core) cancelledLaunchInFlight(shard *Shard, host *Host) bool {
	for key, launch := range host.launchesInFlight {
		cancelled := c.finished[key.task.Job] == model.JobCancelled
		reported := host.reported[key.task].Attempt == key.attempt
		if cancelled && launch.token == shard.claim.Token() && !reported {
			return true
		}
	}
	return false
}
