package core

import (
	"fmt"
	"sort"
)

// Explanation says of one job, as far as this controller can tell, where its
// tasks are and why the waiting ones wait.
type Explanation struct {
	Job      string         `json:"job"`
	Standing string         `json:"standing"`
	Service  *ServiceStatus `json:"service,omitempty"`
	Parts    []PartShare    `json:"parts,omitempty"`
}

// PartShare is a part's share of a job.
type PartShare struct {
	Part    string   `json:"part"`
	Owner   string   `json:"owner"`
	Here    bool     `json:"here"`
	Done    int      `json:"done"`
	Waiting int      `json:"waiting"`
	Up      int      `json:"up"`
	Reason  Reason   `json:"reason,omitempty"`
	Why     string   `json:"why,omitempty"` // the same in words
	Running []string `json:"running,omitempty"`
}

// Explain explains a job; ok is false when this controller knows nothing of it.
func (c *Core) Explain(id string) (Explanation, bool) {
	e := Explanation{Job: id, Standing: "unfinished"}
	if s, over := c.final[id]; over {
		e.Standing = map[Standing]string{Complete: "done", Withdrawn: "withdrawn"}[s]
	}
	j := c.jobs[id]
	zones := map[string]bool{}
	if j != nil {
		for z := range j.split {
			zones[z] = true
		}
	}
	for _, p := range c.parts {
		s := p.slices[id]
		if s == nil {
			if share, heard := c.heardShare(p, id); heard || zones[p.name] && !p.mine {
				e.Parts = append(e.Parts, share)
			}
			continue
		}
		n := s.tally()
		share := PartShare{Part: p.name, Owner: c.cfg.Label, Here: true, Done: s.done.count(), Waiting: n.Waiting, Up: n.Up}
		share.Reason, share.Why = c.why(p, s, n, c.firstUp(p))
		for _, t := range s.tasks {
			share.Running = append(share.Running, fmt.Sprintf("%d on %s (%s)", t.id.Index, t.host.name, t.stateName()))
		}
		sort.Strings(share.Running)
		e.Parts = append(e.Parts, share)
	}
	if all := c.services(id); len(all) > 0 {
		e.Service = &all[0]
	}
	_, over := c.final[id]
	return e, over || j != nil || len(e.Parts) > 0
}

// heardShare is what another part's owner said lately of its share of a job.
func (c *Core) heardShare(p *part, id string) (PartShare, bool) {
	share := PartShare{Part: p.name, Owner: p.owner, Reason: c.unheard(p)}
	if share.Reason != NoReason {
		share.Why = share.Reason.String()
		return share, false
	}
	for _, s := range c.shown[p.name] {
		if s.ID == id && !p.mine {
			share.Done, share.Waiting, share.Up, share.Reason = s.Done, s.Waiting, s.Running, s.Why
			if s.Why != NoReason {
				share.Why = s.Why.String()
			}
			return share, true
		}
	}
	return share, false
}

func (t *task) stateName() string {
	switch {
	case t.halting:
		return "being stopped"
	case t.phase == placing:
		return "placement not durable yet"
	case t.state == 0:
		return "launched, not reported yet"
	}
	return [...]string{Fetching: "fetching its image", Gathering: "waiting for its gang", Running: "running", Saving: "saving", Ended: "ended"}[t.state]
}

// Residents lists what this controller holds for on machines, for tests and logs.
func (c *Core) Residents() []string {
	var out []string
	for _, p := range c.parts {
		if !p.mine {
			continue
		}
		for t, u := range p.used {
			if u.Cores > 1e-6 {
				out = append(out, fmt.Sprintf("%s: %s uses %g cores", p.name, c.limits[t].Name, u.Cores))
			}
		}
		for _, h := range p.hostList() {
			for _, id := range sortedTasks(h.tasks) {
				t := h.tasks[id]
				out = append(out, fmt.Sprintf("%s: %v attempt %d on %s (%s, host state %d)", p.name, id, t.attempt, h.name, t.stateName(), h.state))
			}
		}
	}
	return out
}

// whyWaiting names the first thing that a slice's waiting tasks wait for, and says
// more of it. It changes nothing.
func (c *Core) whyWaiting(p *part, s *slice, first map[int]*host) (Reason, string) {
	j := s.job
	plain := func(r Reason) (Reason, string) { return r, r.String() }
	limited := j.team >= 0 && c.limits[j.team].Limit.limits(j.spec.Need)
	switch {
	case j.standing != Pending:
		return NoReason, "the job is over"
	case j.team < 0:
		return plain(TeamUnknown)
	case !c.storeWell():
		return plain(StoreAway)
	case !c.mayStart():
		return plain(ViewStale)
	case p.handingOver:
		return plain(PartHandingOver)
	case len(p.refreshing) > 0:
		return plain(OutcomeUnknown)
	case j.doubt > 0:
		return InDoubt, fmt.Sprintf("its tasks fail on every machine (%d so far, last on %v), as if submitted with a mistake; one at a time is tried, the next in %.0f s",
			j.failures, j.failedNames(), seconds(max(j.doubtAt-c.now, 0)))
	case limited && (!c.quotas[j.team].known || c.quotas[j.team].need):
		return plain(LimitUnknown)
	case c.roomKnown(p, j.team, j.spec.Need) == 0:
		return plain(AtLimit)
	case c.now < j.holdTo:
		return plain(LaunchRefused)
	case j.spec.Gang && len(s.tasks) > 0:
		return plain(GangLeaving)
	case c.ledgerOf(s).most(c.perHost(j), p.longestName()) == 0:
		return RecordFull, fmt.Sprintf("%s (%d)", RecordFull, len(s.tasks))
	case c.dark(p):
		return plain(PartDark)
	}
	return c.whyNoRoom(p, s, first)
}

// whyNoRoom says what has become of room for a slice: machines on their way, asked
// for, refused by the cloud, or kept for others.
func (c *Core) whyNoRoom(p *part, s *slice, first map[int]*host) (Reason, string) {
	var next *host
	toHire, refused := 0, 0
	for t := range c.types {
		for _, spot := range []bool{true, false} {
			kind := c.kind(p.zone, t, spot)
			if c.holds(t, s.job.spec.Need) == 0 || !c.allowedOn(s.job, kind) {
				continue
			}
			if h := first[kind]; h != nil && (next == nil || h.eta < next.eta) {
				next = h
			}
			if contains(c.types[t].Zones, p.name) {
				toHire++
				if c.now < p.scarce[Offer{c.types[t].Name, spot}] {
					refused++
				}
			}
		}
	}
	switch {
	case next != nil:
		return Booting, fmt.Sprintf("no room; %s should be up in about %.0f s", next.name, seconds(max(next.eta-c.now, 0)))
	case c.keeps(s):
		return HeldBack, HeldBack.String()
	case len(p.hiring) > 0:
		return Hiring, Hiring.String()
	case toHire == refused:
		return NoCapacity, NoCapacity.String()
	}
	return OutOfRoom, OutOfRoom.String()
}

// firstUp is the part's booting machine that is expected first, by kind.
func (c *Core) firstUp(p *part) map[int]*host {
	first := map[int]*host{}
	for _, h := range p.hostList() {
		if h.state == booting && h.typ >= 0 {
			if k := c.kind(p.zone, h.typ, h.spot); first[k] == nil || h.eta < first[k].eta {
				first[k] = h
			}
		}
	}
	return first
}
