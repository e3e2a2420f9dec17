package core

import (
	"math"
	"time"
)

// farTooSlow is how many times as long as expected a machine's tasks may run.
// Single estimates are often wrong by half and more, so several are looked at.
const farTooSlow = 3.0

// siblings is how many of a job's tasks must have ended on other machines for what
// they took to stand where its owner's estimate does.
const siblings = 3

// runTimes sums up how long tasks ran, as logarithms.
type runTimes struct {
	sum float64
	n   int
}

// judge gives a machine up whose tasks all run far longer than expected. What a job's
// tasks took on other machines tells that best. The owner's estimate is wrong for all
// tasks of a job alike, so by that each job speaks once: machines full of one job's
// tasks had been given up, and all on them lost, for a poor estimate.
func (c *Core) judge(p *part, h *host, j *job, ran float64) {
	here, all := j.ranOn[h.name], j.ranAll
	log := math.Log(max(ran, 0.01))
	if j.ranOn == nil {
		j.ranOn = map[string]runTimes{}
	}
	j.ranOn[h.name] = runTimes{here.sum + log, here.n + 1}
	j.ranAll = runTimes{all.sum + log, all.n + 1}
	expected := c.estimate(j)
	if others := all.n - here.n; others >= siblings {
		expected = math.Exp((all.sum - here.sum) / float64(others))
	} else if here.n > 0 {
		return
	}
	ratio := ran / expected
	// On some days all estimates are too low; that is no machine's fault.
	p.unjudge(h)
	usual, n := p.slowSum, float64(p.slowN)
	h.slow += 0.3 * (min(ratio, 10) - h.slow)
	h.judged++
	if h.judged > 1 {
		p.slowSum, p.slowN = p.slowSum+h.slow, p.slowN+1
	}
	if h.judged >= 4 && n > 0 && h.slow > farTooSlow*max(usual/n, 1) && !h.failed {
		h.failed = true
		p.replan = true
		c.note(1, "host far too slow", "host", h.name, "part", p.name, "factor", h.slow)
	}
}

// unjudge takes a machine out of the part's sum of factors.
func (p *part) unjudge(h *host) {
	if h.judged > 1 {
		p.slowSum, p.slowN = p.slowSum-h.slow, p.slowN-1
	}
}

// unlistedTwice is how many listings in a row must miss a machine that should have
// reported meanwhile before it is given back. A machine once listed stays so until it is
// gone; a list may be old, and this one may be newer than any, so absence alone proves
// nothing: the answer to the return does.
const unlistedTwice = 2

// keepHosts looks after every machine of the parts owned here.
func (c *Core) keepHosts() {
	c.listHosts()
	for _, p := range c.parts {
		if !p.mine || p.handingOver {
			continue
		}
		sure := c.sure()
		for name, at := range p.gone {
			if c.now > at+4*c.cfg.ListLag+2*time.Minute {
				delete(p.gone, name)
			}
		}
		if !p.loaded {
			for _, h := range p.hostList() {
				c.greet(p, h)
			}
			continue
		}
		silent, alive := 0, 0
		for _, h := range p.hostList() {
			if h.state == up && !h.expired {
				alive++
				if c.silence(h) > c.cfg.Report*2 || h.deaf {
					silent++
				}
			}
		}
		// When most machines fall silent or deaf together, it is rather this
		// controller that is cut off.
		cutOff := silent >= 3 && silent*2 > alive
		var back []*host
		for _, h := range p.hostList() {
			c.greet(p, h)
			if h.state == up {
				c.checkLease(p, h)
			}
			if why := c.wantBack(p, h, cutOff); why != "" && sure {
				c.note(1, "host not wanted", "host", h.name, "part", p.name, "why", why, "tasks", len(h.tasks))
				back = append(back, h)
			}
		}
		c.giveHostsBack(p, back)
	}
}

// wantBack says why a machine should be returned for its own sake, if it
// should; idle machines are the hiring's business.
func (c *Core) wantBack(p *part, h *host, cutOff bool) string {
	switch h.state {
	case booting:
		if c.now > h.giveUp {
			return "never came up"
		}
	case returning:
		if h.returnAt > 0 && c.now >= h.returnAt {
			return "return to be confirmed"
		}
	case up:
		silent := c.silence(h)
		if h.recall > 0 {
			if len(h.tasks) == 0 || c.now > h.recall+2*time.Second && silent > 3*time.Second {
				return "recalled"
			}
			return ""
		}
		if h.failed && len(h.tasks) == 0 {
			return "faulty"
		}
		if h.deaf && !cutOff {
			return "deaf"
		}
		limit := c.cfg.Knobs.SilentReturn
		if cutOff || c.overloaded() || c.now < p.loadedAt+c.cfg.Report*3 {
			limit = c.cfg.Lease + 15*time.Second
		}
		if h.unlisted >= unlistedTwice && silent > c.cfg.Report*5/4+time.Second {
			return "no longer listed"
		}
		if silent > limit {
			return "silent"
		}
	}
	return ""
}

func (c *Core) giveHostsBack(p *part, back []*host) {
	for len(back) > 0 {
		n := min(len(back), 100)
		group := back[:n]
		back = back[n:]
		var names []string
		for _, h := range group {
			h.state, h.returnAt = returning, 0
			h.queue = nil
			names = append(names, h.name)
		}
		c.note(1, "hosts returned", "part", p.name, "token", p.token, "hosts", names)
		tenure := p.tenure
		c.call(ReturnOp{names}, func(r any) {
			if !p.mine || p.tenure != tenure {
				return
			}
			if r.(ReturnResult).Outcome != OK {
				for _, h := range group {
					h.returnAt = c.now + 700*time.Millisecond
				}
				return
			}
			c.stats.Returned += uint64(len(group))
			for _, h := range group {
				c.hostGone(p, h)
			}
		})
	}
}

// hostGone: the cloud has confirmed that the machine and all on it are gone.
func (c *Core) hostGone(p *part, h *host) {
	h.state = dead
	c.meter(h)
	c.note(1, "host gone", "host", h.name, "part", p.name, "type", c.typeName(h), "spot", h.spot,
		"boot_s", seconds(max(h.since-h.hiredAt, 0)), "up_s", seconds(c.now-h.since), "ran", h.ran, "held", h.held)
	p.gone[h.name] = c.now
	c.settleAll(p, h, func(*task) bool { return true })
	p.unjudge(h)
	p.dropHost(h)
	p.replan = true
}

// The cloud's list is read so often. Where it has many pages, each of which waits for a
// call of its own, the pause after it is so many times what it took: hires and returns
// need the calls as well.
const (
	listEvery = 6 * time.Second
	listPause = 2
)

// listHosts reads the cloud's list of machines. It lags, so a machine's
// absence proves nothing; it brings machines nobody expected and failures.
func (c *Core) listHosts() {
	owns := false
	for _, p := range c.parts {
		owns = owns || p.mine
	}
	if !owns || c.listBusy || c.now < c.listAt || len(c.types) == 0 {
		return
	}
	asked := c.now
	c.listBusy, c.listAt = true, asked+listEvery
	sent := map[*part]uint64{}
	for _, p := range c.parts {
		if p.mine {
			sent[p] = p.tenure
		}
	}
	c.call(HostsOp{}, func(r any) {
		c.listBusy = false
		c.listAt = max(c.listAt, c.now+listPause*(c.now-asked))
		res := r.(HostsResult)
		if res.Outcome != NotSent { // not a call left out for want of tokens
			c.cloudSaid(res.Outcome == OK)
		}
		if res.Outcome != OK {
			c.listAt = c.now + 2*time.Second
			return
		}
		listed := make(map[string]bool, len(res.Hosts))
		for _, l := range res.Hosts {
			listed[l.Name] = true
			p := c.parts[c.zone(l.Zone)]
			if _, gone := p.gone[l.Name]; !p.mine || gone {
				continue
			}
			h := p.hosts[l.Name]
			if h == nil {
				h = c.hostNamed(p, l.Name)
				h.hiredAt = c.now - duration(l.HeldS)
				if l.State == "booting" {
					h.state = booting
				}
				h.eta = h.hiredAt + duration(c.bootS(l.Type))
				h.eta = max(h.eta, c.now+2*time.Second)
				h.giveUp = max(h.hiredAt+c.patience(c.bootS(l.Type)), c.now+5*time.Second)
				c.note(1, "host adopted", "host", h.name, "part", p.name, "state", l.State)
			}
			if h.addr == "" {
				h.addr = l.Addr
			}
			if h.typ < 0 {
				h.typ, h.spot = c.typeIdx.known(l.Type), l.Spot
			}
			if l.State == "failed" && (h.state == up || h.state == booting) {
				h.state, h.returnAt = returning, c.now
			}
		}
		for p, tenure := range sent {
			if !p.mine || p.tenure != tenure {
				continue
			}
			p.fleetListed = true
			for _, h := range p.hostList() {
				if h.unlisted++; listed[h.name] || h.state != up || asked < h.since+3*c.cfg.ListLag {
					h.unlisted = 0
				}
			}
		}
	})
}

// patience is how long a machine may boot: some take several times as long as
// others, a few never come up.
func (c *Core) patience(bootS float64) time.Duration { return duration(2.5*bootS + 10) }

func (c *Core) bootS(typ string) float64 {
	if i := c.typeIdx.known(typ); i >= 0 {
		return c.types[i].BootS * 1.2
	}
	return 60
}
