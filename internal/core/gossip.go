package core

import "roadcleat/internal/model"

// Message is what controllers send each other. Any of it may be lost, or arrive late.
type Message struct {
	Epoch          uint64 // of the sender's process
	Gossip         *Gossip
	Jobs           []Item         // jobs' keys as just read or written
	Assignments    []Item         // assignments' keys as just written
	ReleasedShards []string       // zones whose shards the receiver should claim
	GrantRequests  []GrantRequest // for teams of which the sender needs grants
	Quotas         []Item         // quotas' keys as just written
}

// GrantRequest asks for room within a team's limit for work that waits, and says how it
// ranks.
type GrantRequest struct {
	Team  string
	Cores float64
	Rank  float64 // see grantRank
}

// Gossip is what a controller sends the others twice a second.
type Gossip struct {
	Seq           uint64            // counts the sender's gossip; no number comes again
	Received      map[string]uint64 // the newest Seq received, by controller
	Cancellations []Item            // that the sender learned of lately and the receiver may not know
	StoreOK       bool              // the sender reaches the state service
	ValueFormat   int               // the newest format of records that the sender reads
	CallRate      BudgetShare       // calls to the state service of late, a second
	Shards        []ShardView       // that the sender owns
	WorkersHeard  map[string]int    // workers of others' shards heard lately, by zone
	Isolated      bool              // the sender gave up a shard because it heard none of its workers
}

// ShardView is a summary of a shard by its owner.
type ShardView struct {
	Zone         string
	Token        uint64
	NoHeartbeats bool // the owner hears none of its workers
	Hosts        []HostGroup
	Backlog      []Backlog
	Images       []ImageShare
	Exhausted    []MachineKind // of which the cloud refused machines lately
	Jobs         []JobCounts
	TeamUsage    map[string]model.Resources
	BackfillRoom map[string]float64 // cores that backfill may take, by type
	Queues       []Queue            // what does not run yet, by class and team
}

// MachineKind names a kind of machine that can be rented.
type MachineKind struct {
	Type string
	Spot bool
}

// HostGroup is machines that look alike to another controller: of one kind, with as much in
// use for about as long. Hundreds of machines make a few dozen groups.
type HostGroup struct {
	Type            string
	Spot            bool
	Count           int
	ReadyInSeconds  float64         // until they can take work
	Used            model.Resources // of each
	BusySeconds     float64         // until that is free again
	FetchingSeconds float64         // until the queued fetches are through
}

// Backlog is for how long work of a priority that waits for a type of machine keeps all those
// of the shard busy.
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

// JobCounts are the counts of an assignment's tasks, for display. Of services with replicas
// missing, which are few, it also says what has become of those and why.
type JobCounts struct {
	ID                          string
	Done, Running               int
	Starting, Fetching, Waiting int
	MissingSeconds              float64
	Reason                      Reason
}

func (j *JobCounts) counts() TaskCounts {
	return TaskCounts{Running: j.Running, Starting: j.Starting, Fetching: j.Fetching, Waiting: j.Waiting}
}
