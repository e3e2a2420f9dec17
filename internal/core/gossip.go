package core

import "roadcleat/internal/model"

// Message is a message between controllers. It may be lost or delayed.
type Message struct {
	Epoch          uint64 // epoch of the sender's process
	Gossip         *Gossip
	Jobs           []Item         // job records as just read or written
	Assignments    []Item         // assignment records as just written
	ReleasedShards []string       // zones of the shards that the receiver should claim
	GrantRequests  []GrantRequest // requests for grants of teams whose waiting work needs them
	Quotas         []Item         // team quota records as just written
}

// GrantRequest asks other shards to release grants of a team's limit for waiting work, and
// states the rank of that work. Its fields are encoded under their Go names.
type GrantRequest struct {
	Team  string
	Cores float64 // cores to release for the waiting work
	Rank  float64 // see grantRank; higher ranks go first
}

// Gossip is the state that a controller sends its peers twice a second.
type Gossip struct {
	Seq                   uint64            // sequence number of the sender's gossip; never reused
	Received              map[string]uint64 // newest Seq received from each controller
	Cancellations         []Item            // recent cancellations that the receiver has not confirmed
	StateServiceReachable bool              // the sender reaches the state service
	ValueFormat           int               // newest record format that the sender reads, a records.Format
	CallRate              BudgetShare       // moving averages of the sender's calls to the state service, per second
	Shards                []ShardView       // views of the shards that the sender serves
	// HeartbeatingWorkers is, by zone, the number of workers of other controllers' shards that sent
	// the sender a heartbeat within foreignHeartbeatMaxAge.
	HeartbeatingWorkers map[string]int
	// Isolated is set for isolationPeriod after the sender handed over a shard because it received
	// no heartbeats from the shard's workers.
	Isolated bool
}

// firstGossipSeq returns the number from which a process counts its gossip. Epochs are random numbers
// of 64 bits, so two processes of a controller use the same sequence number only if their epochs are
// nearly equal. The highest bit stays free, so that the numbers never overflow.
func firstGossipSeq(epoch uint64) uint64 { return epoch >> 1 }

// ShardView is a shard's summary by its owner.
type ShardView struct {
	Zone               string
	Token              uint64 // the owner's fencing token
	NoHeartbeats       bool   // no worker of the shard sends heartbeats to the owner
	Hosts              []HostGroup
	Backlog            []Backlog     // waiting work by machine type and priority
	Images             []ImageShare  // images held by the hosts
	OutOfCapacityKinds []MachineKind // kinds of machines of which the cloud has no capacity, see Shard.outOfCapacityUntil
	Jobs               []JobCounts
	TeamUsage          map[string]model.Resources // resources in use by team
	BackfillCores      map[string]float64         // cores that backfill may use, by machine type
	Queues             []Queue                    // tasks that do not run yet, by job class and team
}

// MachineKind is a kind of machine that can be rented. Its fields are encoded under their Go
// names.
type MachineKind struct {
	Type string
	Spot bool
}

// HostGroup is a group of hosts that other controllers need not distinguish: hosts of one kind,
// with the same resources in use for about the same time. Grouping reduces hundreds of hosts to
// a few dozen entries.
type HostGroup struct {
	Type            string
	Spot            bool
	Count           int
	ReadyInSeconds  float64         // until the hosts can start tasks; 0: they are up
	Used            model.Resources // resources in use on each host
	BusySeconds     float64         // until the resources in use are expected to be free again
	FetchingSeconds float64         // until the queued image fetches are expected to finish
}

// Backlog is how long the waiting work of one priority for a machine type would keep all of the
// shard's machines of that type busy. Its fields are encoded under their Go names.
type Backlog struct {
	Type     string
	Priority int // 0 is the most urgent
	Seconds  float64
}

// ImageShare is the share of a type's hosts that hold an image, from 0 to 1. Its fields are
// encoded under their Go names.
type ImageShare struct {
	Image, Type string
	Share       float64
}

// JobCounts are the counts of an assignment's tasks, for display. For the few services with
// missing replicas it also contains the state of those replicas and the reason why they do not
// run.
type JobCounts struct {
	ID                          string
	Done, Running               int
	Starting, Fetching, Waiting int
	MissingSeconds              float64 // for how long replicas have been missing
	Reason                      Reason  // why the missing replicas do not run
}

func (j *JobCounts) counts() TaskCounts {
	return TaskCounts{Running: j.Running, Starting: j.Starting, Fetching: j.Fetching, Waiting: j.Waiting}
}
