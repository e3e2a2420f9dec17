package core

import "time"

// Probes make a new owner known to its workers: a call without commands under the new token.
// From then on the worker refuses what an earlier owner sent, and its answer shows that it
// receives this owner's calls. Replies to heartbeats carry the token as well, but later.

// Bounds of probes. A new owner probes half as many workers at a time as it may call, so that
// commands find sockets and a zone of machines that do not answer costs little. A worker that
// does not answer is probed less and less often; its heartbeat tells when it is back.
const (
	minOpenProbes     = 64 // at a time, however few calls may be open
	probeInterval     = 2 * time.Second
	maxProbeDoublings = 3 // of probeInterval
)

// workerProbe is a probe under way, in the term and with the token of its start.
type workerProbe struct {
	core        *Core
	shard       *Shard
	host        *Host
	term, token uint64
}

// probe probes a host's worker if it has not confirmed the owner's token. A worker that has not
// sent a heartbeat yet is asked for its status first, since commands name its incarnation.
func (c *Core) probe(shard *Shard, host *Host) {
	if !c.shouldProbe(host) {
		return
	}
	c.openProbes++
	host.probing = true
	host.nextProbeAt = c.now + probeInterval<<min(host.failedProbes, maxProbeDoublings)
	probe := &workerProbe{core: c, shard: shard, host: host, term: shard.claim.Term(), token: shard.claim.Token()}
	if host.incarnation > 0 {
		probe.sendToken()
		return
	}
	call(c, ReadWorkerStatus{host.address}, func(res WorkerResult) {
		if probe.apply(res) {
			probe.sendToken()
			return
		}
		probe.end()
	})
}

// shouldProbe reports whether a host is to be probed now. An overloaded controller leaves it to
// the replies to heartbeats.
func (c *Core) shouldProbe(host *Host) bool {
	return !host.confirmedToken() &&
		!host.probing &&
		host.address != "" &&
		c.now >= host.nextProbeAt &&
		host.state != hostReturning &&
		!c.isOverloaded() &&
		c.openProbes < max(c.cfg.MaxWorkerCalls/2, minOpenProbes)
}

// sendToken makes the call that carries the token and ends the probe.
func (p *workerProbe) sendToken() {
	call(p.core, SendCommands{p.host.address, p.token, p.host.incarnation, nil}, func(res WorkerResult) {
		p.end()
		p.apply(res)
	})
}

// apply applies an answer to the probe. It reports whether the worker answered and the shard is
// still owned in the probe's term.
func (p *workerProbe) apply(res WorkerResult) bool {
	if !p.shard.ownedIn(p.term) {
		return false
	}
	answered := res.Status != nil && res.Status.Host == p.host.name
	p.core.recordWorkerAnswer(p.shard, p.host, answered)
	if !answered {
		p.host.failedProbes++
		return false
	}
	p.host.failedProbes = 0
	p.core.applyWorkerStatus(p.shard, p.host, res.Status, false)
	return p.shard.ownedIn(p.term)
}

func (p *workerProbe) end() {
	p.core.openProbes--
	p.host.probing = false
}
