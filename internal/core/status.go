package core

import (
	"time"

	"roadcleat/internal/model"
)

// Status is a controller's status as shown to operators. It is copied from the controller's memory,
// without any calls.
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

// DataAge is the age of the data from an external service in seconds. It is negative while no data
// has been received.
type DataAge struct {
	AgeSeconds float64 `json:"age_s"`
}

// DegradedMode is a fault that limits the controller's work, with its duration so far.
type DegradedMode struct {
	Mode         string  `json:"mode"`
	SinceSeconds float64 `json:"since_s"`
}

// ShardStatus is a shard as observed by this controller. Token is the fencing token of the owner.
// Jobs and tasks are counted only for a shard owned here. Running counts all tasks on machines.
type ShardStatus struct {
	Zone      string      `json:"zone"`
	Owner     string      `json:"owner"`
	Token     uint64      `json:"token"`
	OwnedHere bool        `json:"here"`
	Loaded    bool        `json:"loaded"`
	Hosts     []HostCount `json:"hosts,omitempty"`
	Jobs      int         `json:"jobs"`
	Waiting   int         `json:"waiting"`
	Placed    int         `json:"running"`
}

// HostCount is the number of machines of the same type, market (spot or on demand) and state.
type HostCount struct {
	Type  string `json:"type"`
	Spot  bool   `json:"spot"`
	State string `json:"state"`
	Count int    `json:"count"`
}

// TeamStatus is a team's usage in all shards, as far as this controller has received it, with the
// team's guarantee and limit. Guarantee and Limit are numbers of cores.
type TeamStatus struct {
	Team           string  `json:"team"`
	Cores          float64 `json:"cores"`
	CoresGuarantee float64 `json:"guarantee"`
	CoresLimit     float64 `json:"limit"`
	GPUs           float64 `json:"cards"`
	GPUsGuarantee  float64 `json:"cards_guarantee"`
	GPUsLimit      float64 `json:"cards_limit"`
}

// ClassCount is the number of tasks of a class in the shards owned here. Running counts all tasks
// on machines.
type ClassCount struct {
	Class   string `json:"class"`
	Waiting int    `json:"waiting"`
	Placed  int    `json:"running"`
}

// SuspectJob is a job whose tasks fail on every machine, usually because it was submitted with a
// mistake.
type SuspectJob struct {
	Job              string   `json:"job"`
	Team             string   `json:"team"`
	Class            string   `json:"class"`
	Failures         int      `json:"failures"`
	Hosts            []string `json:"hosts"`
	NextTrialSeconds float64  `json:"next_s"`
}

// PeerStatus is another controller as observed by this one. AgeSeconds is the age of its newest
// gossip, negative if none was received.
type PeerStatus struct {
	Label          string  `json:"label"`
	AgeSeconds     float64 `json:"age_s"`
	StateServiceOK bool    `json:"store_ok"`
}

// Stats returns the controller's counters.
func (c *Core) Stats() Stats { return c.stats }

// HasAssignment reports whether this controller serves the shard of a zone and, if it does, whether it
// has an assignment of the job there.
func (c *Core) HasAssignment(zone, job string) (served, known bool) {
	z := c.zones.lookup(zone)
	if z < 0 || !c.shards[z].isServedHere() {
		return false, false
	}
	return true, c.shards[z].assignments[job] != nil
}

// Status returns the controller's status.
func (c *Core) Status() Status {
	status := Status{
		Label:        c.cfg.Label,
		Zone:         c.cfg.Zone,
		Healthy:      c.Healthy(),
		StateService: DataAge{-1},
		Cloud:        DataAge{-1},
		Degraded:     c.degradedModes(),
		Classes:      c.classCounts(),
		Queues:       c.queueStatuses(),
		Services:     c.serviceStatuses(""),
		SuspectJobs:  c.suspectJobs(),
		Stats:        c.stats,
	}
	if receivedUntil, ok := c.cancellationsReceivedUntil(); ok {
		status.StateService.AgeSeconds = toSeconds(c.now - receivedUntil)
	}
	if c.catalogReadAt > 0 {
		status.Cloud.AgeSeconds = toSeconds(c.now - c.lastCloudSuccessAt)
	}
	for _, shard := range c.shards {
		status.Shards = append(status.Shards, c.shardStatus(shard))
	}
	for i, team := range c.teamConfigs {
		usage := c.teamUsage(i)
		status.Teams = append(status.Teams, TeamStatus{
			Team:           team.Name,
			Cores:          usage.Cores,
			CoresGuarantee: team.Guarantee.Cores,
			CoresLimit:     team.Limit.Cores,
			GPUs:           usage.GPUs,
			GPUsGuarantee:  team.Guarantee.GPUs,
			GPUsLimit:      team.Limit.GPUs,
		})
	}
	for _, peer := range c.peers {
		peerStatus := PeerStatus{Label: peer.Label, AgeSeconds: -1}
		if peer.gossip != nil {
			peerStatus.AgeSeconds, peerStatus.StateServiceOK = toSeconds(c.now-peer.gossipReceivedAt), peer.gossip.StateServiceReachable
		}
		status.Peers = append(status.Peers, peerStatus)
	}
	return status
}

// shardStatus describes a shard: the machines and tasks of a shard owned here, otherwise the
// machines in its owner's newest gossip.
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
	for _, host := range shard.sortedHosts() {
		status.addHosts(c.hostTypeName(host), host.spot, host.stateName(c.now), 1)
	}
	for _, assignment := range shard.assignments {
		if assignment.job.state == model.JobPending {
			status.Jobs++
			status.Waiting += assignment.waiting.Count()
			status.Placed += len(assignment.tasks)
		}
	}
	return status
}

// classCounts counts the tasks of each class that has any in the shards owned here.
func (c *Core) classCounts() []ClassCount {
	byClass := make([]ClassCount, len(c.classes.names))
	for _, shard := range c.shards {
		for _, assignment := range shard.assignments {
			if assignment.job.state == model.JobPending {
				count := &byClass[assignment.job.class]
				count.Waiting += assignment.waiting.Count()
				count.Placed += len(assignment.tasks)
			}
		}
	}
	var counts []ClassCount
	for i, count := range byClass {
		if count.Waiting+count.Placed > 0 {
			count.Class = c.classes.names[i]
			counts = append(counts, count)
		}
	}
	return counts
}

// suspectJobs lists the suspect jobs by name.
func (c *Core) suspectJobs() []SuspectJob {
	var jobs []SuspectJob
	for _, id := range sortedKeys(c.jobs) {
		job := c.jobs[id]
		if job.failedTrials == 0 {
			continue
		}
		jobs = append(jobs, SuspectJob{
			Job:              id,
			Team:             job.spec.Team,
			Class:            job.spec.Class,
			Failures:         job.failures,
			Hosts:            job.failedHostNames(),
			NextTrialSeconds: toSeconds(max(job.nextTrialAt-c.now, 0)),
		})
	}
	return jobs
}

// addHosts adds machines to the count of those with the same type, market and state.
func (s *ShardStatus) addHosts(typeName string, spot bool, state string, count int) {
	for i := range s.Hosts {
		if group := &s.Hosts[i]; group.Type == typeName && group.Spot == spot && group.State == state {
			group.Count += count
			return
		}
	}
	s.Hosts = append(s.Hosts, HostCount{typeName, spot, state, count})
}

// stateName names the machine's state for operators. The texts are part of the interface for
// operators and must not change.
func (h *Host) stateName(now time.Duration) string {
	switch {
	case h.state == hostBooting:
		return "booting"
	case h.state == hostReturning:
		return "returning"
	case h.leaseExpired:
		return "lease over"
	case h.reclaimAt > 0:
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

// degradedModes lists the degraded modes in effect and their durations. The texts are part of the
// interface for operators and must not change.
func (c *Core) degradedModes() []DegradedMode {
	var modes []DegradedMode
	addMode := func(mode string, since time.Duration) {
		modes = append(modes, DegradedMode{mode, toSeconds(c.now - since)})
	}
	if !c.stateServiceReachable() && c.stateServiceFailingSince > 0 {
		addMode("state service out of reach", c.stateServiceFailingSince)
	}
	receivedUntil, ok := c.cancellationsReceivedUntil()
	if !c.canStartTasks() {
		addMode("starting nothing: withdrawals might be missed", receivedUntil)
	}
	if ok && !c.canRenewWorkerLeases() {
		addMode("not answering workers: withdrawals might be missed", receivedUntil)
	}
	if c.cloudFailingSince > 0 {
		addMode("cloud out of reach", c.cloudFailingSince)
	}
	if c.now < c.isolatedUntil {
		addMode("workers not heard; a part was handed over", c.isolatedUntil-isolationPeriod)
	}
	for _, shard := range c.shards {
		if shard.claim.KeyRead() && shard.claim.Owner() == "" {
			addMode("part "+shard.name+" has no owner", shard.claim.FreeSince())
		}
		if shard.claim.Owned() && !c.hasAllCancellations(shard) {
			addMode("not answering workers of part "+shard.name+": its slices are not read", shard.unloadedSince)
		}
	}
	return modes
}
