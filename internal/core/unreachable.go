package core

// Machines whose heartbeats arrive while nothing that the controllers send them does. An answer
// that was sent proves nothing about such a worker's lease, and no command takes effect. The
// machine gets no new work and is returned; its tasks are started elsewhere only on the same
// proofs as any others (ran_twice).

// maxUnansweredCalls is how many calls in a row may stay without an answer, while heartbeats
// arrive, before a machine counts as unreachable.
const maxUnansweredCalls = 3

// recordWorkerAnswer notes whether a call to a worker was answered. Only one call counts after
// each heartbeat: a machine that is cut off both ways is silent, which is not the same. An
// overloaded controller may have lost the answers itself.
func (c *Core) recordWorkerAnswer(shard *Shard, host *Host, answered bool) {
	if answered {
		host.unansweredCalls = 0
		return
	}
	if host.lastHeard <= host.unansweredAt || c.isOverloaded() {
		return
	}
	host.unansweredAt = c.now
	host.unansweredCalls++
	if host.unansweredCalls >= maxUnansweredCalls {
		c.markUnreachable(shard, host, "its heartbeats arrive, calls to it stay without an answer")
	}
}

// markUnreachable takes a machine out of service.
func (c *Core) markUnreachable(shard *Shard, host *Host, why string) {
	if host.unreachable {
		return
	}
	host.unreachable = true
	shard.needsPlan = true
	c.info("host unreachable", "host", host.name, "shard", shard.name, "why", why)
}
