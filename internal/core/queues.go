package core

import (
	"cmp"
	"fmt"
	"math"
	"roadcleat/internal/model"
	"slices"
	"time"
)

// Reason is why tasks do not run. Reasons travel in gossip as numbers: new ones come
// at the end.
type Reason int

// Reasons, see reasons for what operators are told.
const (
	ReasonNone Reason = iota
	ReasonOther
	ReasonStoreUnavailable
	ReasonViewStale
	ReasonShardHandover
	ReasonOutcomeUnknown
	ReasonSuspectJob
	ReasonLimitUnknown
	ReasonAtLimit
	ReasonLaunchRefused
	ReasonGangStopping
	ReasonHeldBack
	ReasonRecordFull
	ReasonBooting
	ReasonRenting
	ReasonNoCapacity
	ReasonNoRoom
	ReasonImageFetch
	ReasonLaunching
	ReasonShardSilent
	ReasonShardUnowned
	ReasonOwnerSilent
	ReasonShardLoading
	ReasonTeamUnknown
)

// reasons gives each reason's name, as JSON and metrics have it, and what tables say.
var reasons = [...]struct{ name, text string }{
	ReasonNone:             {"none", "nothing waits"},
	ReasonOther:            {"other", "a reason that only a newer version knows"},
	ReasonStoreUnavailable: {"store_away", "the state service is out of reach"},
	ReasonViewStale:        {"view_stale", "withdrawals may not be heard in time: the view of the jobs is stale"},
	ReasonShardHandover:    {"part_yielding", "the part is being handed over"},
	ReasonOutcomeUnknown:   {"outcome_unknown", "a transaction's outcome is being looked up"},
	ReasonSuspectJob:       {"in_doubt", "its tasks fail on every machine"},
	ReasonLimitUnknown:     {"limit_unknown", "the team's grants are not known yet"},
	ReasonAtLimit:          {"at_limit", "the team's limit is used up"},
	ReasonLaunchRefused:    {"launch_refused", "its last start was refused a moment ago"},
	ReasonGangStopping:     {"gang_leaving", "the gang's last try is still on its machines"},
	ReasonHeldBack:         {"held_back", "it only fills room, and none is left over by others"},
	ReasonRecordFull:       {"record_full", "as many of its tasks are placed as its record can list"},
	ReasonBooting:          {"booting", "no room; machines are booting"},
	ReasonRenting:          {"hiring", "no room; machines are being asked for"},
	ReasonNoCapacity:       {"no_capacity", "no room; the cloud has no machine to give"},
	ReasonNoRoom:           {"no_room", "no room on the machines there are"},
	ReasonImageFetch:       {"image_fetch", "its image is being fetched"},
	ReasonLaunching:        {"launching", "it is placed and not reported running yet"},
	ReasonShardSilent:      {"part_dark", "none of the part's workers is heard"},
	ReasonShardUnowned:     {"part_unowned", "the part has no owner"},
	ReasonOwnerSilent:      {"part_unheard", "the part's owner has not been heard of lately"},
	ReasonShardLoading:     {"part_loading", "the part's new owner is loading it"},
	ReasonTeamUnknown:      {"team_unknown", "the settings do not name its team"},
}

func (r Reason) known() Reason {
	if r < 0 || int(r) >= len(reasons) {
		return ReasonOther
	}
	return r
}

// String is what tables say.
func (r Reason) String() string { return reasons[r.known()].text }

// Name is what JSON and metrics say.
func (r Reason) Name() string { return reasons[r.known()].name }

// MarshalText gives the name.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.Name()), nil }

// UnmarshalText takes a name.
func (r *Reason) UnmarshalText(b []byte) error {
	*r = ReasonOther
	for i := range reasons {
		if reasons[i].name == string(b) {
			*r = Reason(i)
		}
	}
	return nil
}

// TaskCounts counts tasks by how far they have come.
type TaskCounts struct {
	Running  int `json:"up"`       // running
	Starting int `json:"starting"` // placed, not reported by their worker as running or fetching
	Fetching int `json:"fetching"` // on a machine, waiting for their image
	Waiting  int `json:"waiting"`  // not placed
}

func (n TaskCounts) missing() int { return n.Starting + n.Fetching + n.Waiting }

// Add adds another's counts.
func (n *TaskCounts) Add(m TaskCounts) {
	n.Running += m.Running
	n.Starting += m.Starting
	n.Fetching += m.Fetching
	n.Waiting += m.Waiting
}

func (a *Assignment) counts() TaskCounts {
	n := TaskCounts{Waiting: a.waiting.Count()}
	for _, task := range a.tasks {
		switch task.state {
		case TaskRunning, TaskSaving:
			n.Running++
		case TaskFetching:
			n.Fetching++
		default:
			n.Starting++
		}
	}
	return n
}

// Queue is what of a class and team in a part does not run yet.
type Queue struct {
	Shard string `json:"part"`
	Class string `json:"class"`
	Team  string `json:"team"`
	TaskCounts
	WaitSeconds float64 `json:"wait_s"` // of the job that lacks running tasks longest
	Job         string  `json:"job"`    // that one
	Reason      Reason  `json:"why"`    // what it waits for
}

// ServiceStatus is a service in all parts, as far as known here.
type ServiceStatus struct {
	Job    string `json:"job"`
	Class  string `json:"class"`
	Team   string `json:"team"`
	Wanted int    `json:"wanted"`
	TaskCounts
	Unaccounted    int           `json:"unknown"` // nobody who was heard of lately accounts for them
	MissingSeconds float64       `json:"missing_s"`
	Reasons        []ShardReason `json:"why,omitempty"`
}

// ShardReason is why a part's replicas of a service do not all run.
type ShardReason struct {
	Shard  string `json:"part"`
	Reason Reason `json:"why"`
	Detail string `json:"detail,omitempty"`
}

// trackMissing notes since when some of a slice's tasks have not been running. It is
// called twice a second; a slice begins with the time of its job.
func (c *Core) trackMissing(assignment *Assignment, n TaskCounts) {
	switch {
	case n.missing() == 0:
		assignment.missingSince = 0
	case assignment.missingSince == 0:
		assignment.missingSince = c.now
	}
}

func (c *Core) missingSeconds(assignment *Assignment) float64 {
	if assignment.missingSince == 0 {
		return 0
	}
	return seconds(c.now - assignment.missingSince)
}

// whyMissing names what binds a slice of which some tasks do not run: what the waiting ones
// wait for, else what those that are placed do.
func (c *Core) whyMissing(shard *Shard, assignment *Assignment, n TaskCounts, first map[int]*Host) (Reason, string) {
	switch {
	case n.Waiting > 0:
		return c.whyWaiting(shard, assignment, first)
	case n.Fetching > 0:
		return ReasonImageFetch, c.fetchDetail(assignment)
	case n.Starting > 0:
		return ReasonLaunching, ReasonLaunching.String()
	}
	return ReasonNone, ""
}

// fetchDetail says where the last of a slice's images is expected, and when.
func (c *Core) fetchDetail(assignment *Assignment) string {
	var last *Task
	at := time.Duration(-1)
	for _, i := range sorted(assignment.tasks) {
		if t := assignment.tasks[i]; t.state == TaskFetching && t.host.fetching[assignment.job.image] > at {
			last, at = t, t.host.fetching[assignment.job.image]
		}
	}
	if last == nil {
		return ReasonImageFetch.String()
	}
	return fmt.Sprintf("%s; on %s for %.0f s, expected in %.0f s", ReasonImageFetch, last.host.name,
		seconds(c.now-last.fetchStartedAt), seconds(max(at-c.now, 0)))
}

// countTasks counts the tasks of a part owned here by class and team, and gives of each
// the slice that has lacked running tasks longest.
func (c *Core) countTasks(shard *Shard, which func(*Job) bool) ([]Queue, []*Assignment) {
	at := map[[2]int]int{}
	var out []Queue
	var longest []*Assignment
	for _, id := range sorted(shard.assignments) {
		assignment := shard.assignments[id]
		if assignment.job.state != model.JobPending || !which(assignment.job) {
			continue
		}
		of := [2]int{assignment.job.class, assignment.job.team}
		k, seen := at[of]
		if !seen {
			k = len(out)
			at[of] = k
			out = append(out, Queue{Shard: shard.name, Class: assignment.job.spec.Class, Team: assignment.job.spec.Team})
			longest = append(longest, assignment)
		}
		out[k].Add(assignment.counts())
		if c.missingSeconds(assignment) > c.missingSeconds(longest[k]) {
			longest[k] = assignment
		}
	}
	return out, longest
}

// shardQueues sums up what does not run yet in a part owned here, the longest wait first.
func (c *Core) shardQueues(shard *Shard, first map[int]*Host) []Queue {
	out, longest := c.countTasks(shard, func(*Job) bool { return true })
	for k, assignment := range longest {
		if out[k].missing() > 0 {
			out[k].Job, out[k].WaitSeconds = assignment.job.id, math.Round(c.missingSeconds(assignment))
			out[k].Reason, _ = c.whyMissing(shard, assignment, assignment.counts(), first)
		}
	}
	out = slices.DeleteFunc(out, func(q Queue) bool { return q.missing() == 0 })
	slices.SortStableFunc(out, longestFirst)
	return out
}

// Gauges are what operators' graphs show of the parts owned here: summed over all
// controllers they count every task once.
type Gauges struct {
	Stats    Stats
	Queues   []Queue
	Replicas []Queue // of services, by class and team
}

// Gauges reads them.
func (c *Core) Gauges() Gauges {
	g := Gauges{Stats: c.stats}
	for _, shard := range c.shards {
		if shard.servedHere() {
			g.Queues = append(g.Queues, c.shardQueues(shard, c.nextHostsUp(shard))...)
			replicas, _ := c.countTasks(shard, func(j *Job) bool { return j.spec.Service })
			g.Replicas = append(g.Replicas, replicas...)
		}
	}
	return g
}

func longestFirst(a, b Queue) int {
	return cmp.Or(cmp.Compare(b.WaitSeconds, a.WaitSeconds), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Team, b.Team))
}

// gossipValidFor is how old an owner's gossip may be for its counts to be believed.
const gossipValidFor = 5 * time.Second

// whyUnaccounted says why a part's tasks are not accounted for here; NoReason if they are.
func (c *Core) whyUnaccounted(shard *Shard) Reason {
	switch {
	case shard.servedHere():
		return ReasonNone
	case shard.claim.OwnedOrPending():
		return ReasonShardLoading
	case shard.claim.Owner() == "":
		return ReasonShardUnowned
	case shard.view == nil || c.now > shard.viewAt+gossipValidFor:
		return ReasonOwnerSilent
	}
	return ReasonNone
}

// services describes all services, those that miss replicas longest first; only one, if
// its name is given.
func (c *Core) services(only string) []ServiceStatus {
	of := map[string]*ServiceStatus{}
	for id, job := range c.jobs {
		if job.spec.Service && (only == "" || id == only) {
			of[id] = &ServiceStatus{Job: id, Class: job.spec.Class, Team: job.spec.Team, Wanted: job.spec.Tasks}
		}
	}
	if len(of) == 0 {
		return nil
	}
	for _, p := range c.shards {
		c.addReplicas(p, of)
	}
	var out []ServiceStatus
	for _, id := range sorted(of) {
		s := of[id]
		s.Unaccounted = max(s.Wanted-s.Running-s.missing(), 0)
		for _, shard := range c.shards {
			if why := c.whyUnaccounted(shard); s.Unaccounted > 0 && why != ReasonNone {
				s.Reasons = append(s.Reasons, ShardReason{shard.name, why, ""})
			}
		}
		out = append(out, *s)
	}
	slices.SortStableFunc(out, func(a, b ServiceStatus) int { return cmp.Compare(b.MissingSeconds, a.MissingSeconds) })
	return out
}

// addReplicas adds a part's replicas: by own knowledge, or by its owner's last word.
func (c *Core) addReplicas(shard *Shard, of map[string]*ServiceStatus) {
	switch {
	case shard.servedHere():
		first := c.nextHostsUp(shard)
		for id, assignment := range shard.assignments {
			if of[id] != nil {
				n := assignment.counts()
				why, detail := c.whyMissing(shard, assignment, n, first)
				of[id].addShard(n, c.missingSeconds(assignment), ShardReason{shard.name, why, detail})
			}
		}
	case c.whyUnaccounted(shard) == ReasonNone:
		for _, s := range c.jobCounts[shard.name] {
			if of[s.ID] != nil {
				of[s.ID].addShard(s.counts(), s.MissingSeconds, ShardReason{shard.name, s.Reason, ""})
			}
		}
	}
}

func (s *ServiceStatus) addShard(n TaskCounts, missingS float64, why ShardReason) {
	s.Add(n)
	s.MissingSeconds = max(s.MissingSeconds, missingS)
	if n.missing() > 0 {
		s.Reasons = append(s.Reasons, why)
	}
}

// queues are those of all parts, the longest wait first.
func (c *Core) queues() []Queue {
	out := []Queue{}
	for _, shard := range c.shards {
		switch {
		case shard.servedHere():
			out = append(out, c.shardQueues(shard, c.nextHostsUp(shard))...)
		case shard.view != nil && c.whyUnaccounted(shard) == ReasonNone:
			out = append(out, shard.view.Queues...)
		}
	}
	slices.SortStableFunc(out, longestFirst)
	return out
}
