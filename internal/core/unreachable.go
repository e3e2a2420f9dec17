package core

// This file detects unreachable machines: their heartbeats arrive, but replies and calls to them do
// not. A reply that was sent then proves nothing about the worker's lease, and commands have no
// effect. Such a machine receives no new work and is returned. Its tasks are started elsewhere only
// with the same proofs of exit as any other task (invariant ran_twice).

// maxUnansweredCalls is the number of consecutive calls without a response, while heartbeats
// arrive, after which a machine counts as unreachable.
const maxUnansweredCalls = 3

// recordWorkerAnswer records whether a worker responded to a call. At most one failed call is
// counted after each heartbeat, because a machine that is cut off in both directions is silent, not
// unreachable. Failed calls of an overloaded controller are not counted, because the controller
// itself may have lost the responses.
func (c *Core) recordWorkerAnswer(shard *Shard, host *Host, answered bool) {
	if answered {
		host.unansweredCalls = 0
		return
	}
	if host.lastContactAt <= host.lastUnansweredCallAt || c.isOverloaded() {
		return
	}
	host.lastUnansweredCallAt = c.now
	host.unansweredCalls++
	if host.unansweredCalls >= maxUnansweredCalls {
		c.markUnreachable(shard, host, "its heartbeats arrive, but calls to it receive no response")
	}
}

// markUnreachable marks a machine as unreachable, which takes it out of service.
func (c *Core) markUnreachable(shard *Shard, host *Host, reason string) {
	if host.unreachable {
		return
	}
	host.unreachable = true
	shard.needsPlan = true
	c.info("marked machine unreachable: it receives no new tasks and will be returned",
		"host", host.name, "shard", shard.name, "why", reason)
}
