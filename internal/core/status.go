package core

import (
	"roadcleat/internal/model"
	"time"
)

// Status is what operators are shown of a controller. It is a copy: reading it
// costs the owner goroutine one short walk and the state service nothing.
type Status struct {
	Label        string          `json:"label"`
	Zone         string          `json:"zone"`
	Healthy      bool            `json:"healthy"`
	StateService DataAge         `json:"store"`
	Cloud        DataAge         `json:"cloud"`
	Degraded     []DegradedMode  `json:"degraded"`
	Shards       []ShardStatus   `json:"parts"`
	Teams        []TeamStatus    `json:"teams"`
	Classes      []ClassCount    `json:"classes"`
	Queues       []Queue         `json:"queues"`
	Services     []ServiceStatus `json:"services"`
	SuspectJobs  []SuspectJob    `json:"doubtful"`
	Peers        []PeerStatus    `json:"peers"`
	Stats        Stats           `json:"stats"`
}

// DataAge is how old a view is, in seconds; negative when there is none.
type DataAge struct {
	AgeSeconds float64 `json:"age_s"`
}

// DegradedMode is a mode other than the ordinary one.
type DegradedMode struct {
	Mode         string  `json:"mode"`
	SinceSeconds float64 `json:"since_s"`
}

// ShardStatus is a part as known here.
type ShardStatus struct {
	Zone      string      `json:"zone"`
	Owner     string      `json:"owner"`
	Token     uint64      `json:"token"`
	OwnedHere bool        `json:"here"`
	Loaded    bool        `json:"loaded"`
	Hosts     []HostCount `json:"hosts,omitempty"`
	Jobs      int         `json:"jobs"`
	Waiting   int         `json:"waiting"`
	Running   int         `json:"running"`
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
	Team          string  `json:"team"`
	Cores         float64 `json:"cores"`
	Guarantee     float64 `json:"guarantee"`
	Limit         float64 `json:"limit"`
	GPUs          float64 `json:"cards"`
	GPUsGuarantee float64 `json:"cards_guarantee"`
	GPUsLimit     float64 `json:"cards_limit"`
}

// ClassCount counts the tasks of a class in the parts owned here.
type ClassCount struct {
	Class   string `json:"class"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
}

// SuspectJob is a job whose tasks fail on every machine, as one does that was
// submitted with a mistake.
type SuspectJob struct {
	Job              string   `json:"job"`
	Team             string   `json:"team"`
	Class            string   `json:"class"`
	Failures         int      `json:"failures"`
	Hosts            []string `json:"hosts"`
	NextTrialSeconds float64  `json:"next_s"`
}

// PeerStatus is another controller as seen from here.
type PeerStatus struct {
	Label          string  `json:"label"`
	AgeSeconds     float64 `json:"age_s"`
	StateServiceOK bool    `json:"store_ok"`
}

// Stats returns the counters.
func (c *Core) Stats() Stats { return c.stats }

// Status describes the controller.
func (c *Core) Status() Status {
	s := Status{Label: c.cfg.Label, Zone: c.cfg.Zone, Healthy: c.Healthy(), Stats: c.stats,
		StateService: DataAge{-1}, Cloud: DataAge{-1}}
	if f, ok := c.cancellationsKnownUntil(); ok {
		s.StateService.AgeSeconds = seconds(c.now - f)
	}
	if c.catalogReadAt > 0 {
		s.Cloud.AgeSeconds = seconds(c.now - c.cloudOKAt)
	}
	s.Degraded = c.degradedModes()
	waiting, running := map[int]int{}, map[int]int{}
	for _, shard := range c.shards {
		ps := ShardStatus{Zone: shard.name, Owner: shard.claim.Owner(), Token: shard.claim.Revision(), OwnedHere: shard.claim.Owned(), Loaded: shard.loaded}
		if !shard.claim.Owned() && shard.view != nil {
			for _, h := range shard.view.Hosts {
				state := "up"
				if h.ReadyInSeconds > 0 {
					state = "booting"
				}
				ps.addHosts(h.Type, h.Spot, state, h.Count)
			}
		}
		for _, host := range shard.hostList() {
			typ := "unknown"
			if host.typeIndex >= 0 {
				typ = c.types[host.typeIndex].Name
			}
			ps.addHosts(typ, host.spot, host.stateName(c.now), 1)
		}
		for _, assignment := range shard.assignments {
			if assignment.job.state != model.JobPending {
				continue
			}
			ps.Jobs++
			w, r := assignment.waiting.Count(), len(assignment.tasks)
			ps.Waiting += w
			ps.Running += r
			waiting[assignment.job.class] += w
			running[assignment.job.class] += r
		}
		s.Shards = append(s.Shards, ps)
	}
	for t, l := range c.teamConfigs {
		s.Teams = append(s.Teams, TeamStatus{l.Name, c.teamUsage(t).Cores, l.Guarantee.Cores, l.Limit.Cores,
			c.teamUsage(t).GPUs, l.Guarantee.GPUs, l.Limit.GPUs})
	}
	for i, name := range c.classes.names {
		if waiting[i]+running[i] > 0 {
			s.Classes = append(s.Classes, ClassCount{name, waiting[i], running[i]})
		}
	}
	s.Queues, s.Services = c.queues(), c.services("")
	for _, id := range sorted(c.jobs) {
		if j := c.jobs[id]; j.failedTrials > 0 {
			s.SuspectJobs = append(s.SuspectJobs, SuspectJob{id, j.spec.Team, j.spec.Class, j.failures, j.failedHosts(), seconds(max(j.nextTrialAt-c.now, 0))})
		}
	}
	for _, peer := range c.peers {
		ps := PeerStatus{Label: peer.Label, AgeSeconds: -1}
		if peer.gossip != nil {
			ps.AgeSeconds, ps.StateServiceOK = seconds(c.now-peer.gossipAt), peer.gossip.StoreOK
		}
		s.Peers = append(s.Peers, ps)
	}
	return s
}

func (p *ShardStatus) addHosts(typ string, spot bool, state string, n int) {
	for i := range p.Hosts {
		if h := &p.Hosts[i]; h.Type == typ && h.Spot == spot && h.State == state {
			h.Count += n
			return
		}
	}
	p.Hosts = append(p.Hosts, HostCount{typ, spot, state, n})
}

func (h *Host) stateName(now time.Duration) string {
	switch {
	case h.state == hostBooting:
		return "booting"
	case h.state == hostReturning:
		return "returning"
	case h.leaseExpired:
		return "lease over"
	case h.reclaimedAt > 0:
		return "recalled"
	case h.faulty:
		return "faulty"
	case h.unreachable:
		return "deaf"
	case h.cordoned:
		return "cordoned"
	case !h.isUsable(now):
		return "silent"
	}
	return "up"
}

// degradedModes lists the modes in force and since when.
func (c *Core) degradedModes() []DegradedMode {
	var out []DegradedMode
	add := func(mode string, since float64) { out = append(out, DegradedMode{mode, since}) }
	if !c.storeReachable() && c.storeBadSince > 0 {
		add("state service out of reach", seconds(c.now-c.storeBadSince))
	}
	f, ok := c.cancellationsKnownUntil()
	if !c.mayStartTasks() {
		add("starting nothing: withdrawals might be missed", seconds(c.now-f))
	}
	if ok && !c.mayAnswerWorkers() {
		add("not answering workers: withdrawals might be missed", seconds(c.now-f))
	}
	if c.cloudBadSince > 0 {
		add("cloud out of reach", seconds(c.now-c.cloudBadSince))
	}
	if c.now < c.isolatedUntil {
		add("workers not heard; a part was handed over", seconds(c.now-(c.isolatedUntil-isolatedFor)))
	}
	for _, shard := range c.shards {
		if shard.claim.Known() && shard.claim.Owner() == "" {
			add("part "+shard.name+" has no owner", seconds(c.now-shard.claim.FreeSince()))
		}
		if shard.claim.Owned() && !c.knowsCancellations(shard) {
			add("not answering workers of part "+shard.name+": its slices are not read", seconds(c.now-shard.unloadedSince))
		}
	}
	return out
}
