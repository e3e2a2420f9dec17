package core

import (
	"fmt"
	"sort"

	"roadcleat/internal/model"
)

// Explanation shows where the tasks of one job are and why some of them do not run, as far as this
// controller has the data.
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
	Text         string   `json:"why,omitempty"`     // the reason in words, with details
	PlacedTasks  []string `json:"running,omitempty"` // index, machine and state of each task on a machine
}

// Explain explains a job. known is false if this controller has no record of the job.
func (c *Core) Explain(id string) (explanation Explanation, known bool) {
	explanation = Explanation{Job: id, State: "unfinished"}
	finalState, finished := c.finalJobStates[id]
	if finished {
		explanation.State = map[model.JobState]string{model.JobDone: "done", model.JobCancelled: "withdrawn"}[finalState]
	}
	job := c.jobs[id]
	assignedTo := map[string]bool{}
	if job != nil {
		for zone := range job.rangesByZone {
			assignedTo[zone] = true
		}
	}
	for _, shard := range c.shards {
		if assignment := shard.assignments[id]; assignment != nil {
			explanation.Shards = append(explanation.Shards, c.explainAssignment(shard, assignment))
			continue
		}
		share, inGossip := c.peerExplanation(shard, id)
		if inGossip || assignedTo[shard.name] && !shard.claim.Owned() {
			explanation.Shards = append(explanation.Shards, share)
		}
	}
	if services := c.serviceStatuses(id); len(services) > 0 {
		explanation.Service = &services[0]
	}
	return explanation, finished || job != nil || len(explanation.Shards) > 0
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
	share.Reason, share.Text = c.reasonNotRunning(shard, assignment, counts, c.nextHostsUp(shard))
	for _, task := range assignment.tasks {
		share.PlacedTasks = append(share.PlacedTasks, fmt.Sprintf("%d on %s (%s)", task.id.Index, task.host.name, task.stateName()))
	}
	sort.Strings(share.PlacedTasks)
	return share
}

// peerExplanation explains the share of a shard owned by another controller, using the owner's
// newest gossip. inGossip is false if the gossip does not contain the job.
func (c *Core) peerExplanation(shard *Shard, id string) (share ShardExplanation, inGossip bool) {
	share = ShardExplanation{Shard: shard.name, Owner: shard.claim.Owner(), Reason: c.reasonUnaccounted(shard)}
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

// stateName describes the task's state for operators.
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

// DescribePlacements lists the team usage and the tasks on machines of the shards owned here, for
// tests and logs.
func (c *Core) DescribePlacements() []string {
	var lines []string
	for _, shard := range c.shards {
		if !shard.claim.Owned() {
			continue
		}
		for team, usage := range shard.teamUsage {
			if usage.Cores > 1e-6 { // below that, the usage is a rounding error
				lines = append(lines, fmt.Sprintf("%s: %s uses %g cores", shard.name, c.teamConfigs[team].Name, usage.Cores))
			}
		}
		for _, host := range shard.sortedHosts() {
			for _, id := range sortedTaskIDs(host.tasks) {
				task := host.tasks[id]
				lines = append(lines, fmt.Sprintf("%s: %v attempt %d on %s (%s, host %s)",
					shard.name, id, task.attempt, host.name, task.stateName(), host.state))
			}
		}
	}
	return lines
}
