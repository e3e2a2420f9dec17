package core

import (
	"time"

	"roadcleat/internal/model"
)

// Status is what operators are shown of a controller. It is a copy of what the controller has
// in memory; no calls are made for it.
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

// DataAge is the age of what is known of an outside service. It is negative when nothing is
// known.
type DataAge struct {
	AgeSeconds float64 `json:"age_s"`
}

// DegradedMode is a fault that limits what the controller does, and since when.
type DegradedMode struct {
	Mode         string  `json:"mode"`
	SinceSeconds float64 `json:"since_s"`
}

// ShardStatus is a shard as known here.
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

// TeamStatus is a team's use in all shards, as far as known here.
type TeamStatus struct {
	Team          string  `json:"team"`
	Cores         float64 `json:"cores"`
	Guarantee     float64 `json:"guarantee"`
	Limit         float64 `json:"limit"`
	GPUs          float64 `json:"cards"`
	GPUsGuarantee float64 `json:"cards_guarantee"`
	GPUsLimit     float64 `json:"cards_limit"`
}

// ClassCount counts the tasks of a class in the shards owned here.
type ClassCount struct {
	Class   string `json:"class"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
}

// SuspectJob is a job whose tasks fail on every machine, as of one that was submitted with a
// mistake.
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
	s := Status{
		Label:        c.cfg.Label,
		Zone:         c.cfg.Zone,
		Healthy:      c.Healthy(),
		StateService: DataAge{-1},
		Cloud:        DataAge{-1},
		Degraded:     c.degradedModes(),
		Classes:      c.classCounts(),
		Queues:       c.queues(),
		Services:     c.services(""),
		SuspectJobs:  c.suspectJobs(),
		Stats:        c.stats,
	}
	if known, ok := c.cancellationsKnownUntil(); ok {
		s.StateService.AgeSeconds = seconds(c.now - known)
	}
	if c.catalogReadAt > 0 {
		s.Cloud.AgeSeconds = seconds(c.now - c.cloudOKAt)
	}
	for _, shard := range c.shards {
		s.Shards = append(s.Shards, c.shardStatus(shard))
	}
	for i, team := range c.teamConfigs {
		usage := c.teamUsage(i)
		s.Teams = append(s.Teams, TeamStatus{
			Team:          team.Name,
			Cores:         usage.Cores,
			Guarantee:     team.Guarantee.Cores,
			Limit:         team.Limit.Cores,
			GPUs:          usage.GPUs,
			GPUsGuarantee: team.Guarantee.GPUs,
			GPUsLimit:     team.Limit.GPUs,
		})
	}
	for _, peer := range c.peers {
		status := PeerStatus{Label: peer.Label, AgeSeconds: -1}
		if peer.gossip != nil {
			status.AgeSeconds, status.StateServiceOK = seconds(c.now-peer.gossipAt), peer.gossip.StoreOK
		}
		s.Peers = append(s.Peers, status)
	}
	return s
}

// shardStatus describes a shard: the machines and work of one that is owned here, else the
// machines of which its owner's gossip tells.
func (c *Core) shardStatus(shard *Shard) ShardStatus {
	status := ShardStatus{
		Zone:      shard.name,
		Owner:     shard.claim.Owner(),
		Token:     shard.claim.Revision(),
		OwnedHere: shard.claim.Owned(),
		Loaded:    shard.loaded,
	}
	if !shard.claim.Owned() && shard.view != nil {
		for _, group := range shard.view.Hosts {
			state := "up"
			if group.ReadyInSeconds > 0 {
				state = "booting"
			}
			status.addHosts(group.Type, group.Spot, state, group.Count)
		}
	}
	for _, host := range shard.hostList() {
		status.addHosts(c.typeName(host), host.spot, host.stateName(c.now), 1)
	}
	for _, assignment := range shard.assignments {
		if assignment.job.state == model.JobPending {
			status.Jobs++
			status.Waiting += assignment.waiting.Count()
			status.Running += len(assignment.tasks)
		}
	}
	return status
}

// classCounts counts the tasks of each class that has some in the shards owned here.
func (c *Core) classCounts() []ClassCount {
	byClass := make([]ClassCount, len(c.classes.names))
	for _, shard := range c.shards {
		for _, assignment := range shard.assignments {
			if assignment.job.state == model.JobPending {
				count := &byClass[assignment.job.class]
				count.Waiting += assignment.waiting.Count()
				count.Running += len(assignment.tasks)
			}
		}
	}
	var counts []ClassCount
	for i, count := range byClass {
		if count.Waiting+count.Running > 0 {
			count.Class = c.classes.names[i]
			counts = append(counts, count)
		}
	}
	return counts
}

// suspectJobs lists the suspect jobs by name.
func (c *Core) suspectJobs() []SuspectJob {
	var jobs []SuspectJob
	for _, id := range sorted(c.jobs) {
		job := c.jobs[id]
		if job.failedTrials == 0 {
			continue
		}
		jobs = append(jobs, SuspectJob{
			Job:              id,
			Team:             job.spec.Team,
			Class:            job.spec.Class,
			Failures:         job.failures,
			Hosts:            job.failedHosts(),
			NextTrialSeconds: seconds(max(job.nextTrialAt-c.now, 0)),
		})
	}
	return jobs
}

// addHosts counts machines, together with those that are alike.
func (s *ShardStatus) addHosts(typ string, spot bool, state string, n int) {
	for i := range s.Hosts {
		if group := &s.Hosts[i]; group.Type == typ && group.Spot == spot && group.State == state {
			group.Count += n
			return
		}
	}
	s.Hosts = append(s.Hosts, HostCount{typ, spot, state, n})
}

// stateName is the machine's state for operators.
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
	var modes []DegradedMode
	add := func(mode string, since time.Duration) {
		modes = append(modes, DegradedMode{mode, seconds(c.now - since)})
	}
	if !c.storeReachable() && c.storeBadSince > 0 {
		add("state service out of reach", c.storeBadSince)
	}
	knownUntil, known := c.cancellationsKnownUntil()
	if !c.mayStartTasks() {
		add("starting nothing: withdrawals might be missed", knownUntil)
	}
	if known && !c.mayAnswerWorkers() {
		add("not answering workers: withdrawals might be missed", knownUntil)
	}
	if c.cloudBadSince > 0 {
		add("cloud out of reach", c.cloudBadSince)
	}
	if c.now < c.isolatedUntil {
		add("workers not heard; a part was handed over", c.isolatedUntil-isolatedFor)
	}
	for _, shard := range c.shards {
		if shard.claim.Known() && shard.claim.Owner() == "" {
			add("part "+shard.name+" has no owner", shard.claim.FreeSince())
		}
		if shard.claim.Owned() && !c.knowsCancellations(shard) {
			add("not answering workers of part "+shard.name+": its slices are not read", shard.unloadedSince)
		}
	}
	return modes
}
