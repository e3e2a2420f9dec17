package core

import (
	"fmt"
	"sort"
)

// Explanation says of one job, as far as this controller can tell, where its
// tasks are and why the waiting ones wait.
type Explanation struct {
	Job      string      `json:"job"`
	Standing string      `json:"standing"`
	Parts    []PartShare `json:"parts,omitempty"`
}

// PartShare is a part's share of a job.
type PartShare struct {
	Part    string   `json:"part"`
	Owner   string   `json:"owner"`
	Here    bool     `json:"here"`
	Done    int      `json:"done"`
	Waiting int      `json:"waiting"`
	Why     string   `json:"why,omitempty"`
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
			if zones[p.name] && !p.mine {
				e.Parts = append(e.Parts, PartShare{Part: p.name, Owner: p.owner})
			}
			continue
		}
		share := PartShare{Part: p.name, Owner: c.cfg.Label, Here: true, Done: s.done.count(), Waiting: s.waiting.count()}
		if share.Waiting > 0 {
			share.Why = c.whyWaiting(p, s)
		}
		for _, t := range s.tasks {
			share.Running = append(share.Running, fmt.Sprintf("%d on %s (%s)", t.id.Index, t.host.name, t.stateName()))
		}
		sort.Strings(share.Running)
		e.Parts = append(e.Parts, share)
	}
	_, over := c.final[id]
	return e, over || j != nil || len(e.Parts) > 0
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

// whyWaiting names the first thing that a slice's waiting tasks wait for.
func (c *Core) whyWaiting(p *part, s *slice) string {
	switch {
	case s.job.standing != Pending:
		return "the job is over"
	case !c.storeWell():
		return "the state service is out of reach"
	case !c.mayStart():
		return "withdrawals may not be heard in time: the view of the jobs is stale"
	case p.yielding:
		return "the part is being handed over"
	case len(p.refreshing) > 0:
		return "a transaction's outcome is being looked up"
	case s.job.doubt > 0:
		return fmt.Sprintf("its tasks fail on every machine (%d so far, last on %v), as if submitted with a mistake; one at a time is tried, the next in %.0f s",
			s.job.failures, s.job.failedNames(), seconds(max(s.job.doubtAt-c.now, 0)))
	case c.limits[s.job.team].Limit.limits(s.job.spec.Need) && (!c.quotas[s.job.team].known || c.quotas[s.job.team].need):
		return "the team's grants are not known yet"
	case c.roomKnown(p, s.job.team, s.job.spec.Need) == 0:
		return "the team's limit is used up"
	case c.now < s.job.holdTo:
		return "its last start was refused a moment ago"
	case s.job.spec.Gang && len(s.tasks) > 0:
		return "the gang's last try is still on its machines"
	}
	for _, h := range p.hostList() {
		if h.state == booting && h.typ >= 0 && c.holds(h.typ, s.job.spec.Need) > 0 && c.allowedOn(s.job, c.kind(p.zone, h.typ, h.spot)) {
			return fmt.Sprintf("no room; %s should be up in about %.0f s", h.name, seconds(max(h.eta-c.now, 0)))
		}
	}
	if len(p.hiring) > 0 {
		return "no room; machines are being asked for"
	}
	return "no room; the cloud has no machine to give"
}
