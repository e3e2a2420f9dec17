package core

import (
	"fmt"
	"roadcleat/internal/model"
	"slices"
	"sort"
)

// Explanation says of one job, as far as this controller can tell, where its
// tasks are and why the waiting ones wait.
type Explanation struct {
	Job     string             `json:"job"`
	State   string             `json:"standing"`
	Service *ServiceStatus     `json:"service,omitempty"`
	Shards  []ShardExplanation `json:"parts,omitempty"`
}

// ShardExplanation is a part's share of a job.
type ShardExplanation struct {
	Shard        string   `json:"part"`
	Owner        string   `json:"owner"`
	OwnedHere    bool     `json:"here"`
	Done         int      `json:"done"`
	Waiting      int      `json:"waiting"`
	RunningCount int      `json:"up"`
	Reason       Reason   `json:"reason,omitempty"`
	Text         string   `json:"why,omitempty"` // the same in words
	Running      []string `json:"running,omitempty"`
}

// Explain explains a job; ok is false when this controller knows nothing of it.
func (c *Core) Explain(id string) (Explanation, bool) {
	e := Explanation{Job: id, State: "unfinished"}
	if s, over := c.finished[id]; over {
		e.State = map[model.JobState]string{model.JobDone: "done", model.JobCancelled: "withdrawn"}[s]
	}
	job := c.jobs[id]
	zones := map[string]bool{}
	if job != nil {
		for z := range job.split {
			zones[z] = true
		}
	}
	for _, shard := range c.shards {
		assignment := shard.assignments[id]
		if assignment == nil {
			if share, heard := c.peerExplanation(shard, id); heard || zones[shard.name] && !shard.claim.Owned() {
				e.Shards = append(e.Shards, share)
			}
			continue
		}
		n := assignment.counts()
		share := ShardExplanation{Shard: shard.name, Owner: c.cfg.Label, OwnedHere: true, Done: assignment.done.Count(), Waiting: n.Waiting, RunningCount: n.Running}
		share.Reason, share.Text = c.whyMissing(shard, assignment, n, c.nextHostsUp(shard))
		for _, t := range assignment.tasks {
			share.Running = append(share.Running, fmt.Sprintf("%d on %s (%s)", t.id.Index, t.host.name, t.stateName()))
		}
		sort.Strings(share.Running)
		e.Shards = append(e.Shards, share)
	}
	if all := c.services(id); len(all) > 0 {
		e.Service = &all[0]
	}
	_, over := c.finished[id]
	return e, over || job != nil || len(e.Shards) > 0
}

// peerExplanation is what another part's owner said lately of its share of a job.
func (c *Core) peerExplanation(shard *Shard, id string) (ShardExplanation, bool) {
	share := ShardExplanation{Shard: shard.name, Owner: shard.claim.Owner(), Reason: c.whyUnaccounted(shard)}
	if share.Reason != ReasonNone {
		share.Text = share.Reason.String()
		return share, false
	}
	for _, s := range c.jobCounts[shard.name] {
		if s.ID == id && !shard.claim.Owned() {
			share.Done, share.Waiting, share.RunningCount, share.Reason = s.Done, s.Waiting, s.Running, s.Reason
			if s.Reason != ReasonNone {
				share.Text = s.Reason.String()
			}
			return share, true
		}
	}
	return share, false
}

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

// DescribePlacements lists what this controller holds for on machines, for tests and logs.
func (c *Core) DescribePlacements() []string {
	var out []string
	for _, shard := range c.shards {
		if !shard.claim.Owned() {
			continue
		}
		for t, u := range shard.teamUsage {
			if u.Cores > 1e-6 {
				out = append(out, fmt.Sprintf("%s: %s uses %g cores", shard.name, c.teamConfigs[t].Name, u.Cores))
			}
		}
		for _, host := range shard.hostList() {
			for _, id := range sortedTasks(host.tasks) {
				task := host.tasks[id]
				out = append(out, fmt.Sprintf("%s: %v attempt %d on %s (%s, host %s)", shard.name, id, task.attempt, host.name, task.stateName(), host.state))
			}
		}
	}
	return out
}

// whyWaiting names the first thing that a slice's waiting tasks wait for, and says
// more of it. It changes nothing.
func (c *Core) whyWaiting(shard *Shard, assignment *Assignment, first map[int]*Host) (Reason, string) {
	job := assignment.job
	plain := func(r Reason) (Reason, string) { return r, r.String() }
	limited := job.team >= 0 && limitConcerns(c.teamConfigs[job.team].Limit, job.spec.Need)
	switch {
	case job.state != model.JobPending:
		return ReasonNone, "the job is over"
	case job.team < 0:
		return plain(ReasonTeamUnknown)
	case !c.storeReachable():
		return plain(ReasonStoreUnavailable)
	case !c.mayStartTasks():
		return plain(ReasonViewStale)
	case shard.claim.HandingOver():
		return plain(ReasonShardHandover)
	case len(shard.unknownKeys) > 0:
		return plain(ReasonOutcomeUnknown)
	case job.failedTrials > 0:
		return ReasonSuspectJob, fmt.Sprintf("its tasks fail on every machine (%d so far, last on %v), as if submitted with a mistake; one at a time is tried, the next in %.0f s",
			job.failures, job.failedHosts(), seconds(max(job.nextTrialAt-c.now, 0)))
	case limited && (!c.quotas[job.team].known || c.quotas[job.team].mustReread):
		return plain(ReasonLimitUnknown)
	case c.knownTeamRoom(shard, job.team, job.spec.Need) == 0:
		return plain(ReasonAtLimit)
	case c.now < job.holdUntil:
		return plain(ReasonLaunchRefused)
	case job.spec.Gang && len(assignment.tasks) > 0:
		return plain(ReasonGangStopping)
	case c.sizeBudgetOf(assignment).MaxTasks(c.tasksPerUsualMachine(job), shard.longestHostName()) == 0:
		return ReasonRecordFull, fmt.Sprintf("%s (%d)", ReasonRecordFull, len(assignment.tasks))
	case c.noHeartbeats(shard):
		return plain(ReasonShardSilent)
	}
	return c.whyNoRoom(shard, assignment, first)
}

// whyNoRoom says what has become of room for a slice: machines on their way, asked
// for, refused by the cloud, or kept for others.
func (c *Core) whyNoRoom(shard *Shard, assignment *Assignment, first map[int]*Host) (Reason, string) {
	var next *Host
	toHire, refused := 0, 0
	for t := range c.types {
		for _, spot := range []bool{true, false} {
			kind := c.kindIndex(shard.zone, t, spot)
			if c.tasksPerMachine(t, assignment.job.spec.Need) == 0 || !c.allowedOn(assignment.job, kind) {
				continue
			}
			if h := first[kind]; h != nil && (next == nil || h.expectedUpAt < next.expectedUpAt) {
				next = h
			}
			if slices.Contains(c.types[t].Zones, shard.name) {
				toHire++
				if c.now < shard.exhaustedUntil[MachineKind{c.types[t].Name, spot}] {
					refused++
				}
			}
		}
	}
	switch {
	case next != nil:
		return ReasonBooting, fmt.Sprintf("no room; %s should be up in about %.0f s", next.name, seconds(max(next.expectedUpAt-c.now, 0)))
	case c.leavesReserve(assignment):
		return ReasonHeldBack, ReasonHeldBack.String()
	case len(shard.rentals) > 0:
		return ReasonRenting, ReasonRenting.String()
	case toHire == refused:
		return ReasonNoCapacity, ReasonNoCapacity.String()
	}
	return ReasonNoRoom, ReasonNoRoom.String()
}

// nextHostsUp is the part's booting machine that is expected first, by kind.
func (c *Core) nextHostsUp(shard *Shard) map[int]*Host {
	first := map[int]*Host{}
	for _, host := range shard.hostList() {
		if host.state == hostBooting && host.typeIndex >= 0 {
			if k := c.kindIndex(shard.zone, host.typeIndex, host.spot); first[k] == nil || host.expectedUpAt < first[k].expectedUpAt {
				first[k] = host
			}
		}
	}
	return first
}
