package core

import (
	"fmt"
	"sort"

	"roadcleat/internal/model"
)

// Explanation says of one job, as far as this controller can tell, where its tasks are and why
// the waiting ones wait.
type Explanation struct {
	Job     string             `json:"job"`
	State   string             `json:"standing"`
	Service *ServiceStatus     `json:"service,omitempty"`
	Shards  []ShardExplanation `json:"parts,omitempty"`
}

// ShardExplanation is a shard's share of a job.
type ShardExplanation struct {
	Shard        string   `json:"part"`
	Owner        string   `json:"owner"`
	OwnedHere    bool     `json:"here"`
	Done         int      `json:"done"`
	Waiting      int      `json:"waiting"`
	RunningCount int      `json:"up"`
	Reason       Reason   `json:"reason,omitempty"`
	Text         string   `json:"why,omitempty"` // the reason in words
	Running      []string `json:"running,omitempty"`
}

// Explain explains a job. known is false when this controller does not know it.
func (c *Core) Explain(id string) (e Explanation, known bool) {
	e = Explanation{Job: id, State: "unfinished"}
	final, finished := c.finished[id]
	if finished {
		e.State = map[model.JobState]string{model.JobDone: "done", model.JobCancelled: "withdrawn"}[final]
	}
	job := c.jobs[id]
	assignedTo := map[string]bool{}
	if job != nil {
		for zone := range job.split {
			assignedTo[zone] = true
		}
	}
	for _, shard := range c.shards {
		if assignment := shard.assignments[id]; assignment != nil {
			e.Shards = append(e.Shards, c.explainAssignment(shard, assignment))
			continue
		}
		share, inGossip := c.peerExplanation(shard, id)
		if inGossip || assignedTo[shard.name] && !shard.claim.Owned() {
			e.Shards = append(e.Shards, share)
		}
	}
	if services := c.services(id); len(services) > 0 {
		e.Service = &services[0]
	}
	return e, finished || job != nil || len(e.Shards) > 0
}

// explainAssignment explains the share of a shard that is owned here.
func (c *Core) explainAssignment(shard *Shard, assignment *Assignment) ShardExplanation {
	counts := assignment.counts()
	share := ShardExplanation{
		Shard:        shard.name,
		Owner:        c.cfg.Label,
		OwnedHere:    true,
		Done:         assignment.done.Count(),
		Waiting:      counts.Waiting,
		RunningCount: counts.Running,
	}
	share.Reason, share.Text = c.whyMissing(shard, assignment, counts, c.nextHostsUp(shard))
	for _, task := range assignment.tasks {
		share.Running = append(share.Running, fmt.Sprintf("%d on %s (%s)", task.id.Index, task.host.name, task.stateName()))
	}
	sort.Strings(share.Running)
	return share
}

// peerExplanation explains the share of another controller's shard by its owner's newest
// gossip. inGossip is false if that does not mention the job.
func (c *Core) peerExplanation(shard *Shard, id string) (share ShardExplanation, inGossip bool) {
	share = ShardExplanation{Shard: shard.name, Owner: shard.claim.Owner(), Reason: c.whyUnaccounted(shard)}
	if share.Reason != ReasonNone {
		share.Text = share.Reason.String()
		return share, false
	}
	if shard.claim.Owned() {
		return share, false
	}
	for _, counts := range c.jobCounts[shard.name] {
		if counts.ID != id {
			continue
		}
		share.Done, share.Waiting, share.RunningCount = counts.Done, counts.Waiting, counts.Running
		if share.Reason = counts.Reason; share.Reason != ReasonNone {
			share.Text = share.Reason.String()
		}
		return share, true
	}
	return share, false
}

// stateName describes the task for operators.
func (t *Task) stateName() string {
	switch {
	case t.stopping:
		return "being stopped"
	case t.phase == taskPlacing:
		return "placement not durable yet"
	case t.state == 0:
		return "launched, not reported yet"
	}
	return t.state.String()
}

// DescribePlacements lists what the shards owned here hold on machines, for tests and logs.
func (c *Core) DescribePlacements() []string {
	var lines []string
	for _, shard := range c.shards {
		if !shard.claim.Owned() {
			continue
		}
		for team, usage := range shard.teamUsage {
			if usage.Cores > 1e-6 {
				lines = append(lines, fmt.Sprintf("%s: %s uses %g cores", shard.name, c.teamConfigs[team].Name, usage.Cores))
			}
		}
		for _, host := range shard.hostList() {
			for _, id := range sortedTasks(host.tasks) {
				task := host.tasks[id]
				lines = append(lines, fmt.Sprintf("%s: %v attempt %d on %s (%s, host %s)",
					shard.name, id, task.attempt, host.name, task.stateName(), host.state))
			}
		}
	}
	return lines
}
