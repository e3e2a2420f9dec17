package core

import "roadcleat/internal/model"

// Message is what controllers send each other.
type Message struct {
	Epoch          uint64 // which life of the sender
	Gossip         *Gossip
	Jobs           []Item // job/ keys as just read or written
	Assignments    []Item // slice/ keys as just written
	ReleasedShards []string
	GrantRequests  []GrantRequest // of teams whose grants the sender needs
	Quotas         []Item         // quota/ keys as just written
}

// GrantRequest asks for room within a team's limit for work that waits, and says how
// it ranks.
type GrantRequest struct {
	Team  string
	Cores float64
	Rank  float64
}

// Gossip is what a controller tells the others twice a second.
type Gossip struct {
	Seq           uint64            // counts the sender's gossip
	Received      map[string]uint64 // the newest Seq heard of each other controller
	Cancellations []Item            // withdrawals the sender learned of lately and the receiver may not have heard of
	StoreOK       bool
	ValueFormat   int         // the newest form of the store's values that the sender reads
	CallRate      BudgetShare // what it asked of the state service lately, a second
	Shards        []ShardView
	WorkersHeard  map[string]int // workers of parts not its own heard lately
	Isolated      bool           // it gave a part up because it did not hear its workers
}

// ShardView is a summary of a part by its owner.
type ShardView struct {
	Zone         string
	Token        uint64
	NoHeartbeats bool // its owner hears none of its workers
	Hosts        []HostGroup
	Backlog      []Backlog
	Images       []ImageShare
	Exhausted    []MachineKind // machines that were refused lately
	Jobs         []JobCounts
	TeamUsage    map[string]model.Resources
	BackfillRoom map[string]float64 // cores that backfill may take, by type
	Queues       []Queue            // what does not run yet, by class and team
}

// MachineKind names a kind of machine.
type MachineKind struct {
	Type string
	Spot bool
}

// HostGroup is machines that look alike to another controller: of one type and
// kind, with as much in use for about as long. Hundreds of machines make a few
// dozen groups.
type HostGroup struct {
	Type            string
	Spot            bool
	Count           int
	ReadyInSeconds  float64         // seconds until they can take work
	Used            model.Resources // of each
	BusySeconds     float64         // seconds until that is free again
	FetchingSeconds float64         // seconds until fetches queued are through
}

// Backlog is how long work of a priority that waits for a type of machine keeps
// all those of the part busy.
type Backlog struct {
	Type     string
	Priority int
	Seconds  float64
}

// ImageShare is the share of a type's machines that hold an image.
type ImageShare struct {
	Image, Type string
	Share       float64
}

// JobCounts holds a job's counts for display. Of services with replicas missing, which
// are few, it also says what has become of those and why.
type JobCounts struct {
	ID                          string
	Done, Running               int
	Starting, Fetching, Waiting int
	MissingSeconds              float64
	Reason                      Reason
}

func (s *JobCounts) counts() TaskCounts {
	return TaskCounts{s.Running, s.Starting, s.Fetching, s.Waiting}
}
