package core

import "time"

// Status is what operators are shown of a controller. It is a copy: reading it
// costs the owner goroutine one short walk and the state service nothing.
type Status struct {
	Label    string          `json:"label"`
	Zone     string          `json:"zone"`
	Healthy  bool            `json:"healthy"`
	Store    Freshness       `json:"store"`
	Cloud    Freshness       `json:"cloud"`
	Degraded []Degraded      `json:"degraded"`
	Parts    []PartStatus    `json:"parts"`
	Teams    []TeamStatus    `json:"teams"`
	Classes  []ClassCount    `json:"classes"`
	Queues   []Queue         `json:"queues"`
	Services []ServiceStatus `json:"services"`
	Doubtful []Doubtful      `json:"doubtful"`
	Peers    []PeerStatus    `json:"peers"`
	Stats    Stats           `json:"stats"`
}

// Freshness is how old a view is, in seconds; negative when there is none.
type Freshness struct {
	AgeS float64 `json:"age_s"`
}

// Degraded is a mode other than the ordinary one.
type Degraded struct {
	Mode   string  `json:"mode"`
	SinceS float64 `json:"since_s"`
}

// PartStatus is a part as known here.
type PartStatus struct {
	Zone    string      `json:"zone"`
	Owner   string      `json:"owner"`
	Token   uint64      `json:"token"`
	Here    bool        `json:"here"`
	Loaded  bool        `json:"loaded"`
	Hosts   []HostCount `json:"hosts,omitempty"`
	Jobs    int         `json:"jobs"`
	Waiting int         `json:"waiting"`
	Running int         `json:"running"`
}

// HostCount counts machines that are alike.
type HostCount struct {
	Type  string `json:"type"`
	Spot  bool   `json:"spot"`
	State string `json:"state"`
	Count int    `json:"count"`
}

// TeamStatus is a team's use in all parts, as far as known here.
type TeamStatus struct {
	Team           string  `json:"team"`
	Cores          float64 `json:"cores"`
	Guarantee      float64 `json:"guarantee"`
	Limit          float64 `json:"limit"`
	Cards          float64 `json:"cards"`
	CardsGuarantee float64 `json:"cards_guarantee"`
	CardsLimit     float64 `json:"cards_limit"`
}

// ClassCount counts the tasks of a class in the parts owned here.
type ClassCount struct {
	Class   string `json:"class"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
}

// Doubtful is a job whose tasks fail on every machine, as one does that was
// submitted with a mistake.
type Doubtful struct {
	Job      string   `json:"job"`
	Team     string   `json:"team"`
	Class    string   `json:"class"`
	Failures int      `json:"failures"`
	Hosts    []string `json:"hosts"`
	NextS    float64  `json:"next_s"`
}

// PeerStatus is another controller as seen from here.
type PeerStatus struct {
	Label   string  `json:"label"`
	AgeS    float64 `json:"age_s"`
	StoreOK bool    `json:"store_ok"`
}

// Stats returns the counters.
func (c *Core) Stats() Stats { return c.stats }

// Status describes the controller.
func (c *Core) Status() Status {
	s := Status{Label: c.cfg.Label, Zone: c.cfg.Zone, Healthy: c.Healthy(), Stats: c.stats,
		Store: Freshness{-1}, Cloud: Freshness{-1}}
	if f, ok := c.fresh(); ok {
		s.Store.AgeS = seconds(c.now - f)
	}
	if c.catalogAt > 0 {
		s.Cloud.AgeS = seconds(c.now - c.cloudOK)
	}
	s.Degraded = c.degraded()
	waiting, running := map[int]int{}, map[int]int{}
	for _, p := range c.parts {
		ps := PartStatus{Zone: p.name, Owner: p.owner, Token: p.stamp, Here: p.mine, Loaded: p.loaded}
		if !p.mine && p.view != nil {
			for _, h := range p.view.Hosts {
				state := "up"
				if h.Up > 0 {
					state = "booting"
				}
				ps.count(h.Type, h.Spot, state, h.Count)
			}
		}
		for _, h := range p.hostList() {
			typ := "unknown"
			if h.typ >= 0 {
				typ = c.types[h.typ].Name
			}
			ps.count(typ, h.spot, h.stateName(c.now), 1)
		}
		for _, sl := range p.slices {
			if sl.job.standing != Pending {
				continue
			}
			ps.Jobs++
			w, r := sl.waiting.count(), len(sl.tasks)
			ps.Waiting += w
			ps.Running += r
			waiting[sl.job.class] += w
			running[sl.job.class] += r
		}
		s.Parts = append(s.Parts, ps)
	}
	for t, l := range c.limits {
		s.Teams = append(s.Teams, TeamStatus{l.Name, c.teamUse(t).Cores, l.Guarantee.Cores, l.Limit.Cores,
			c.teamUse(t).Cards, l.Guarantee.Cards, l.Limit.Cards})
	}
	for i, name := range c.classes.list {
		if waiting[i]+running[i] > 0 {
			s.Classes = append(s.Classes, ClassCount{name, waiting[i], running[i]})
		}
	}
	s.Queues, s.Services = c.queues(), c.services("")
	for _, id := range sorted(c.jobs) {
		if j := c.jobs[id]; j.doubt > 0 {
			s.Doubtful = append(s.Doubtful, Doubtful{id, j.spec.Team, j.spec.Class, j.failures, j.failedNames(), seconds(max(j.doubtAt-c.now, 0))})
		}
	}
	for _, q := range c.peers {
		ps := PeerStatus{Label: q.Label, AgeS: -1}
		if q.gossip != nil {
			ps.AgeS, ps.StoreOK = seconds(c.now-q.gossipAt), q.gossip.StoreOK
		}
		s.Peers = append(s.Peers, ps)
	}
	return s
}

func (p *PartStatus) count(typ string, spot bool, state string, n int) {
	for i := range p.Hosts {
		if h := &p.Hosts[i]; h.Type == typ && h.Spot == spot && h.State == state {
			h.Count += n
			return
		}
	}
	p.Hosts = append(p.Hosts, HostCount{typ, spot, state, n})
}

func (h *host) stateName(now time.Duration) string {
	switch {
	case h.state == booting:
		return "booting"
	case h.state == returning:
		return "returning"
	case h.expired:
		return "lease over"
	case h.recall > 0:
		return "recalled"
	case h.failed:
		return "faulty"
	case h.deaf:
		return "deaf"
	case h.cordoned:
		return "cordoned"
	case !h.usable(now):
		return "silent"
	}
	return "up"
}

// degraded lists the modes in force and since when.
func (c *Core) degraded() []Degraded {
	var out []Degraded
	add := func(mode string, since float64) { out = append(out, Degraded{mode, since}) }
	if !c.storeWell() && c.storeBadSince > 0 {
		add("state service out of reach", seconds(c.now-c.storeBadSince))
	}
	f, ok := c.fresh()
	if !c.mayStart() {
		add("starting nothing: withdrawals might be missed", seconds(c.now-f))
	}
	if ok && !c.mayAnswer() {
		add("not answering workers: withdrawals might be missed", seconds(c.now-f))
	}
	if c.cloudBadSince > 0 {
		add("cloud out of reach", seconds(c.now-c.cloudBadSince))
	}
	if c.now < c.cutOffUntil {
		add("workers not heard; a part was handed over", seconds(c.now-(c.cutOffUntil-cutOffFor)))
	}
	for _, p := range c.parts {
		if p.known && p.owner == "" {
			add("part "+p.name+" has no owner", seconds(c.now-p.freeSince))
		}
		if p.mine && !c.knowsWithdrawn(p) {
			add("not answering workers of part "+p.name+": its slices are not read", seconds(c.now-p.blindAt))
		}
	}
	return out
}
