package core

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Reason is why tasks do not run. Reasons travel in gossip as numbers: new ones come
// at the end.
type Reason int

// Reasons, see reasons for what operators are told.
const (
	NoReason Reason = iota
	OtherReason
	StoreAway
	ViewStale
	PartHandingOver
	OutcomeUnknown
	InDoubt
	LimitUnknown
	AtLimit
	LaunchRefused
	GangLeaving
	HeldBack
	RecordFull
	Booting
	Hiring
	NoCapacity
	OutOfRoom
	ImageFetch
	Launching
	PartDark
	PartUnowned
	PartUnheard
	PartLoading
	TeamUnknown
)

// reasons gives each reason's name, as JSON and metrics have it, and what tables say.
var reasons = [...]struct{ name, text string }{
	NoReason:        {"none", "nothing waits"},
	OtherReason:     {"other", "a reason that only a newer version knows"},
	StoreAway:       {"store_away", "the state service is out of reach"},
	ViewStale:       {"view_stale", "withdrawals may not be heard in time: the view of the jobs is stale"},
	PartHandingOver: {"part_yielding", "the part is being handed over"},
	OutcomeUnknown:  {"outcome_unknown", "a transaction's outcome is being looked up"},
	InDoubt:         {"in_doubt", "its tasks fail on every machine"},
	LimitUnknown:    {"limit_unknown", "the team's grants are not known yet"},
	AtLimit:         {"at_limit", "the team's limit is used up"},
	LaunchRefused:   {"launch_refused", "its last start was refused a moment ago"},
	GangLeaving:     {"gang_leaving", "the gang's last try is still on its machines"},
	HeldBack:        {"held_back", "it only fills room, and none is left over by others"},
	RecordFull:      {"record_full", "as many of its tasks are placed as its record can list"},
	Booting:         {"booting", "no room; machines are booting"},
	Hiring:          {"hiring", "no room; machines are being asked for"},
	NoCapacity:      {"no_capacity", "no room; the cloud has no machine to give"},
	OutOfRoom:       {"no_room", "no room on the machines there are"},
	ImageFetch:      {"image_fetch", "its image is being fetched"},
	Launching:       {"launching", "it is placed and not reported running yet"},
	PartDark:        {"part_dark", "none of the part's workers is heard"},
	PartUnowned:     {"part_unowned", "the part has no owner"},
	PartUnheard:     {"part_unheard", "the part's owner has not been heard of lately"},
	PartLoading:     {"part_loading", "the part's new owner is loading it"},
	TeamUnknown:     {"team_unknown", "the settings do not name its team"},
}

func (r Reason) known() Reason {
	if r < 0 || int(r) >= len(reasons) {
		return OtherReason
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
	*r = OtherReason
	for i := range reasons {
		if reasons[i].name == string(b) {
			*r = Reason(i)
		}
	}
	return nil
}

// Tally counts tasks by how far they have come.
type Tally struct {
	Up       int `json:"up"`       // running
	Starting int `json:"starting"` // placed, not reported by their worker as running or fetching
	Fetching int `json:"fetching"` // on a machine, waiting for their image
	Waiting  int `json:"waiting"`  // not placed
}

func (n Tally) missing() int { return n.Starting + n.Fetching + n.Waiting }

// Add adds another's counts.
func (n *Tally) Add(m Tally) {
	n.Up += m.Up
	n.Starting += m.Starting
	n.Fetching += m.Fetching
	n.Waiting += m.Waiting
}

func (s *slice) tally() Tally {
	n := Tally{Waiting: s.waiting.count()}
	for _, t := range s.tasks {
		switch t.state {
		case Running, Saving:
			n.Up++
		case Fetching:
			n.Fetching++
		default:
			n.Starting++
		}
	}
	return n
}

// Queue is what of a class and team in a part does not run yet.
type Queue struct {
	Part  string `json:"part"`
	Class string `json:"class"`
	Team  string `json:"team"`
	Tally
	WaitS float64 `json:"wait_s"` // of the job that lacks running tasks longest
	Job   string  `json:"job"`    // that one
	Why   Reason  `json:"why"`    // what it waits for
}

// ServiceStatus is a service in all parts, as far as known here.
type ServiceStatus struct {
	Job    string `json:"job"`
	Class  string `json:"class"`
	Team   string `json:"team"`
	Wanted int    `json:"wanted"`
	Tally
	Unknown  int       `json:"unknown"` // nobody who was heard of lately accounts for them
	MissingS float64   `json:"missing_s"`
	Why      []PartWhy `json:"why,omitempty"`
}

// PartWhy is why a part's replicas of a service do not all run.
type PartWhy struct {
	Part   string `json:"part"`
	Why    Reason `json:"why"`
	Detail string `json:"detail,omitempty"`
}

// seeMissing notes since when some of a slice's tasks have not been running. It is
// called twice a second; a slice begins with the time of its job.
func (c *Core) seeMissing(s *slice, n Tally) {
	switch {
	case n.missing() == 0:
		s.missingAt = 0
	case s.missingAt == 0:
		s.missingAt = c.now
	}
}

func (c *Core) missingS(s *slice) float64 {
	if s.missingAt == 0 {
		return 0
	}
	return seconds(c.now - s.missingAt)
}

// why names what binds a slice of which some tasks do not run: what the waiting ones
// wait for, else what those that are placed do.
func (c *Core) why(p *part, s *slice, n Tally, first map[int]*host) (Reason, string) {
	switch {
	case n.Waiting > 0:
		return c.whyWaiting(p, s, first)
	case n.Fetching > 0:
		return ImageFetch, c.fetchDetail(s)
	case n.Starting > 0:
		return Launching, Launching.String()
	}
	return NoReason, ""
}

// fetchDetail says where the last of a slice's images is expected, and when.
func (c *Core) fetchDetail(s *slice) string {
	var last *task
	at := time.Duration(-1)
	for _, i := range sorted(s.tasks) {
		if t := s.tasks[i]; t.state == Fetching && t.host.fetching[s.job.image] > at {
			last, at = t, t.host.fetching[s.job.image]
		}
	}
	if last == nil {
		return ImageFetch.String()
	}
	return fmt.Sprintf("%s; on %s for %.0f s, expected in %.0f s", ImageFetch, last.host.name,
		seconds(c.now-last.fetchFrom), seconds(max(at-c.now, 0)))
}

// tallies counts the tasks of a part owned here by class and team, and gives of each
// the slice that has lacked running tasks longest.
func (c *Core) tallies(p *part, which func(*job) bool) ([]Queue, []*slice) {
	at := map[[2]int]int{}
	var out []Queue
	var longest []*slice
	for _, id := range sorted(p.slices) {
		s := p.slices[id]
		if s.job.standing != Pending || !which(s.job) {
			continue
		}
		of := [2]int{s.job.class, s.job.team}
		k, seen := at[of]
		if !seen {
			k = len(out)
			at[of] = k
			out = append(out, Queue{Part: p.name, Class: s.job.spec.Class, Team: s.job.spec.Team})
			longest = append(longest, s)
		}
		out[k].Add(s.tally())
		if c.missingS(s) > c.missingS(longest[k]) {
			longest[k] = s
		}
	}
	return out, longest
}

// queuesOf sums up what does not run yet in a part owned here, the longest wait first.
func (c *Core) queuesOf(p *part, first map[int]*host) []Queue {
	out, longest := c.tallies(p, func(*job) bool { return true })
	for k, s := range longest {
		if out[k].missing() > 0 {
			out[k].Job, out[k].WaitS = s.job.id, math.Round(c.missingS(s))
			out[k].Why, _ = c.why(p, s, s.tally(), first)
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
	for _, p := range c.parts {
		if p.mine && p.loaded {
			g.Queues = append(g.Queues, c.queuesOf(p, c.firstUp(p))...)
			replicas, _ := c.tallies(p, func(j *job) bool { return j.spec.Service })
			g.Replicas = append(g.Replicas, replicas...)
		}
	}
	return g
}

func longestFirst(a, b Queue) int {
	return cmp.Or(cmp.Compare(b.WaitS, a.WaitS), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Team, b.Team))
}

// heardWithin is how old an owner's gossip may be for its counts to be believed.
const heardWithin = 5 * time.Second

// unheard says why a part's tasks are not accounted for here; NoReason if they are.
func (c *Core) unheard(p *part) Reason {
	switch {
	case p.mine && p.loaded:
		return NoReason
	case p.mine || p.claiming:
		return PartLoading
	case p.owner == "":
		return PartUnowned
	case p.view == nil || c.now > p.viewAt+heardWithin:
		return PartUnheard
	}
	return NoReason
}

// services describes all services, those that miss replicas longest first; only one, if
// its name is given.
func (c *Core) services(only string) []ServiceStatus {
	of := map[string]*ServiceStatus{}
	for id, j := range c.jobs {
		if j.spec.Service && (only == "" || id == only) {
			of[id] = &ServiceStatus{Job: id, Class: j.spec.Class, Team: j.spec.Team, Wanted: j.spec.Tasks}
		}
	}
	if len(of) == 0 {
		return nil
	}
	for _, p := range c.parts {
		c.addReplicas(p, of)
	}
	var out []ServiceStatus
	for _, id := range sorted(of) {
		s := of[id]
		s.Unknown = max(s.Wanted-s.Up-s.missing(), 0)
		for _, p := range c.parts {
			if why := c.unheard(p); s.Unknown > 0 && why != NoReason {
				s.Why = append(s.Why, PartWhy{p.name, why, ""})
			}
		}
		out = append(out, *s)
	}
	slices.SortStableFunc(out, func(a, b ServiceStatus) int { return cmp.Compare(b.MissingS, a.MissingS) })
	return out
}

// addReplicas adds a part's replicas: by own knowledge, or by its owner's last word.
func (c *Core) addReplicas(p *part, of map[string]*ServiceStatus) {
	switch {
	case p.mine && p.loaded:
		first := c.firstUp(p)
		for id, s := range p.slices {
			if of[id] != nil {
				n := s.tally()
				why, detail := c.why(p, s, n, first)
				of[id].addPart(n, c.missingS(s), PartWhy{p.name, why, detail})
			}
		}
	case c.unheard(p) == NoReason:
		for _, s := range c.shown[p.name] {
			if of[s.ID] != nil {
				of[s.ID].addPart(s.tally(), s.MissingS, PartWhy{p.name, s.Why, ""})
			}
		}
	}
}

func (s *ServiceStatus) addPart(n Tally, missingS float64, why PartWhy) {
	s.Add(n)
	s.MissingS = max(s.MissingS, missingS)
	if n.missing() > 0 {
		s.Why = append(s.Why, why)
	}
}

// queues are those of all parts, the longest wait first.
func (c *Core) queues() []Queue {
	out := []Queue{}
	for _, p := range c.parts {
		switch {
		case p.mine && p.loaded:
			out = append(out, c.queuesOf(p, c.firstUp(p))...)
		case p.view != nil && c.unheard(p) == NoReason:
			out = append(out, p.view.Queues...)
		}
	}
	slices.SortStableFunc(out, longestFirst)
	return out
}
