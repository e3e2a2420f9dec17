package core

import "time"

// This file probes workers: a new owner calls each worker without commands to present its token.
// From then on the worker refuses commands of earlier owners, and its response shows that it
// receives calls of the new owner. Replies to heartbeats carry the token too, but arrive later.

// Bounds of probes. A new owner probes at most half as many workers concurrently as it may call, so
// that sockets remain free for commands and a zone whose machines do not respond costs little. The
// interval between probes of a worker doubles after each one without a response; a heartbeat shows
// when the worker is reachable again.
const (
	minConcurrentProbes = 64 // lower bound of the limit on concurrent probes, for a small MaxWorkerCalls
	probeInterval       = 2 * time.Second
	maxProbeDoublings   = 3 // of probeInterval
)

// workerProbe is a probe in progress. It belongs to the ownership term and token of its start.
type workerProbe struct {
	core        *Core
	shard       *Shard
	host        *Host
	term, token uint64
}

// startProbe starts a probe of a host's worker if shouldProbe allows it. If no status of the worker
// has been received, its status is read first, because commands must name its incarnation.
func (c *Core) startProbe(shard *Shard, host *Host) {
	if !c.shouldProbe(host) {
		return
	}
	c.probesInProgress++
	host.probeInProgress = true
	host.nextProbeAt = c.now + probeInterval<<min(host.failedProbes, maxProbeDoublings)
	probe := &workerProbe{core: c, shard: shard, host: host, term: shard.claim.Term(), token: c.tokenFor(shard, host)}
	if host.incarnation > 0 {
		probe.sendToken()
		return
	}
	call(c, ReadWorkerStatus{host.address}, func(result WorkerResult) {
		if probe.applyResult(result) {
			probe.sendToken()
			return
		}
		probe.finish()
	})
}

// shouldProbe reports whether a probe of the host should start now. Only workers that have not
// confirmed the owner's token are probed. An overloaded controller sends no probes and presents its
// token in replies to heartbeats only.
func (c *Core) shouldProbe(host *Host) bool {
	return !host.hasConfirmedToken() &&
		!host.probeInProgress &&
		host.address != "" &&
		c.now >= host.nextProbeAt &&
		host.state != hostReturning &&
		!c.isOverloaded() &&
		c.probesInProgress < max(c.cfg.MaxWorkerCalls/2, minConcurrentProbes)
}

// sendToken calls the worker with the token and finishes the probe.
func (p *workerProbe) sendToken() {
	call(p.core, SendCommands{p.host.address, p.token, p.host.incarnation, nil}, func(result WorkerResult) {
		p.finish()
		p.applyResult(result)
	})
}

// applyResult applies the result of a call of the probe. It reports whether the worker responded
// and the shard is still owned in the probe's term.
func (p *workerProbe) applyResult(result WorkerResult) bool {
	if !p.shard.isOwnedInTerm(p.term) {
		return false
	}
	answered := result.Status != nil && result.Status.Host == p.host.name
	p.core.recordWorkerAnswer(p.shard, p.host, answered)
	if !answered {
		p.host.failedProbes++
		return false
	}
	p.host.failedProbes = 0
	p.core.applyWorkerStatus(p.shard, p.host, result.Status, false)
	return p.shard.isOwnedInTerm(p.term)
}

// finish marks the probe as completed, so that the host can be probed again.
func (p *workerProbe) finish() {
	p.core.probesInProgress--
	p.host.probeInProgress = false
}
