// Package core holds the truth of one controller. It does no input or output
// and knows no clock: events and the time go in, effects come out.
package core

import "time"

// Resources is what a task takes of its machine.
type Resources struct {
	Cores    float64 `json:"c,omitempty"`
	GPUs     float64 `json:"g,omitempty"`
	MemoryGB float64 `json:"m,omitempty"`
}

// JobSpec is a job as its user described it.
type JobSpec struct {
	ID                string    `json:"-"`
	Class             string    `json:"cl,omitempty"`
	Team              string    `json:"te"`
	Service           bool      `json:"sv,omitempty"`
	Gang              bool      `json:"ga,omitempty"` // tasks run together or not at all
	Priority          int       `json:"pr"`           // 0 is the most urgent
	Tasks             int       `json:"n"`
	Need              Resources `json:"a"`
	Types             []string  `json:"ty,omitempty"`
	Zone              string    `json:"z,omitempty"`
	OneZone           bool      `json:"oz,omitempty"`
	SpreadZones       bool      `json:"ap,omitempty"`
	Spot              bool      `json:"sp,omitempty"`
	Image             string    `json:"im,omitempty"`
	ImageGB           float64   `json:"gb,omitempty"`
	EstimateSeconds   float64   `json:"es,omitempty"`
	CheckpointSeconds float64   `json:"cp,omitempty"`
	SaveSeconds       float64   `json:"sa,omitempty"`
	DeadlineSeconds   float64   `json:"dl,omitempty"`
}

// TaskID names one task of a job.
type TaskID struct {
	Job   string
	Index int
}

// States of a task on a machine, as a worker reports them.
const (
	TaskFetching       = iota + 1
	TaskWaitingForGang // has its image and waits for the rest of its gang
	TaskRunning
	TaskSaving
	TaskExited
)

// Causes of a task's end.
const (
	ExitDone = iota + 1
	ExitStopped
	ExitFailed
	ExitNoRoom
	ExitInUse
	ExitNoSuchTask
	ExitGangIncomplete // the rest of its gang did not come, or left
)

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Task    TaskID
	Attempt uint64
	State   int
	Cause   int
	Saved   bool
}

// WorkerStatus is a worker's report.
type WorkerStatus struct {
	Host, Address, Type, Zone string
	Spot                      bool
	Incarnation, Seq, Token   uint64
	SpotNotice                float64 // seconds until the machine is taken, or negative
	Tasks                     []TaskStatus
}

// Verbs of an order.
const (
	VerbLaunch = iota + 1
	VerbStop
	VerbForget
)

// Command is a command to a worker.
type Command struct {
	Verb        int
	Task        TaskID
	Attempt     uint64
	GracePeriod float64
}

// Condition is a condition of a transaction; stamp 0 means the key does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Mutation is one change of a transaction. A nil value deletes the key.
type Mutation struct {
	Key   string
	Value []byte
	Lease uint64
}

// Txn is a transaction at the state service.
type Txn struct {
	Conditions []Condition
	Mutations  []Mutation
}

// Item is a key as the state service holds it.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Outcome of a call to something outside.
type Outcome int

// Outcomes: the call was carried out; it was answered but refused; it
// certainly was not carried out; or nobody can tell.
const (
	OutcomeUnknown Outcome = iota
	OutcomeOK
	OutcomeRefused
	OutcomeNotSent
)

// Calls to the outside. Each is answered by exactly one Answer whose Result
// is the matching type below.
type (
	// CommitTxn commits a transaction. Urgent calls go ahead of the others; one
	// that spares leaves some of the budget to users' submissions.
	CommitTxn struct {
		Txn                Txn
		Urgent, Background bool
	}
	// ReadKey reads a key.
	ReadKey struct {
		Key    string
		Urgent bool
	}
	// ListKeys lists all keys with a prefix.
	ListKeys struct{ Prefix string }
	// WatchKeys waits for changes.
	WatchKeys struct {
		Prefix        string
		AfterRevision uint64
		Timeout       time.Duration
	}
	// GrantLease asks for a lease.
	GrantLease struct{ TTL time.Duration }
	// RenewLease renews it.
	RenewLease struct{ Lease uint64 }
	// ReadCatalog reads the machine types.
	ReadCatalog struct{}
	// ListHosts lists all machines.
	ListHosts struct{}
	// RentHosts rents machines.
	RentHosts struct {
		Name, Type, Zone string
		Spot             bool
		Count            int
	}
	// ReturnHosts gives machines back.
	ReturnHosts struct{ Hosts []string }
	// SendCommands sends orders straight to a worker.
	SendCommands struct {
		Address            string
		Token, Incarnation uint64
		Commands           []Command
	}
	// ReadWorkerStatus asks a worker for its report.
	ReadWorkerStatus struct{ Address string }
)

// Results of the calls.
type (
	// CommitResult is OK with the revision, Refused with the keys that differ
	// (or a lease that ended), NotSent or Unknown.
	CommitResult struct {
		Outcome      Outcome
		Revision     uint64
		FailedKeys   []string
		LeaseExpired bool
	}
	// ReadResult is OK, with Found false for a key that does not exist.
	ReadResult struct {
		Outcome Outcome
		Found   bool
		Item    Item
	}
	// ListResult holds all keys and the revision they were read at or after.
	ListResult struct {
		Outcome  Outcome
		Items    []Item
		Revision uint64
	}
	// WatchResult holds changes; Refused means that After is too old.
	WatchResult struct {
		Outcome  Outcome
		Revision uint64
		Changes  []Item // Value nil: deleted
	}
	// LeaseResult is a lease.
	LeaseResult struct {
		Outcome Outcome
		Lease   uint64
	}
	// RenewResult says whether the lease goes on; Refused means that the lease has ended.
	RenewResult struct{ Outcome Outcome }
	// CatalogResult holds the machine types.
	CatalogResult struct {
		Outcome Outcome
		Types   []MachineType
	}
	// HostsResult is a whole listing.
	HostsResult struct {
		Outcome Outcome
		Hosts   []ListedHost
	}
	// RentResult holds the machines rented; Refused means no capacity.
	RentResult struct {
		Outcome Outcome
		Hosts   []string
	}
	// ReturnResult says whether the machines are gone.
	ReturnResult struct{ Outcome Outcome }
	// WorkerResult is OK when executed, Refused on a token or session mismatch.
	WorkerResult struct {
		Outcome Outcome
		Status  *WorkerStatus
	}
)

// MachineType is one row of the cloud's catalogue.
type MachineType struct {
	Name             string    `json:"Name"`
	Capacity         Resources `json:"Total"`
	CacheGB          float64   `json:"CacheGB"`
	FetchGBPerSecond float64   `json:"GBPerS"`
	Price            float64   `json:"Price"`
	SpotPrice        float64   `json:"SpotPrice"`
	BootSeconds      float64   `json:"BootS"`
	Zones            []string  `json:"Zones"`
}

// ListedHost is a machine in the cloud's list.
type ListedHost struct {
	Name, Address, Type, Zone string
	Spot                      bool
	State                     string // booting, running or failed
	RentedSeconds             float64
}

// Events. Req numbers are given by the runtime and come back in the replies.
type (
	// Tick lets time pass.
	Tick struct{}
	// CallResult is the result of a call.
	CallResult struct {
		CallID uint64
		Result any
	}
	// JobSubmission is a submission. Bad is set when the body was malformed.
	JobSubmission struct {
		RequestID uint64
		Spec      JobSpec
		Malformed string
	}
	// JobQuery asks for a job's state.
	JobQuery struct {
		RequestID uint64
		ID        string
	}
	// JobCancellation cancels a job.
	JobCancellation struct {
		RequestID uint64
		ID        string
	}
	// Overloaded says that requests were turned away here for want of sockets or room, or
	// dropped because their senders had given up before they were looked at.
	Overloaded struct{}
	// Heartbeat is a worker's report.
	Heartbeat struct {
		RequestID uint64
		Status    WorkerStatus
	}
	// PeerMessage came from another controller.
	PeerMessage struct {
		From    int
		Message Message
	}
)

// Effects.
type (
	// Call asks for something outside.
	Call struct {
		ID        uint64
		Operation any
	}
	// UserReply answers a user. Status 200 and 201 carry Run.
	UserReply struct {
		RequestID  uint64
		Status     int
		Job        JobStatus
		RetryAfter int
		Text       string
	}
	// HeartbeatReply answers a worker.
	HeartbeatReply struct {
		RequestID uint64
		Status    int
		Token     uint64
		Commands  []Command
		Owner     string
	}
	// SendToPeer sends a message to another controller.
	SendToPeer struct {
		To      int
		Message Message
	}
	// BudgetShare is this controller's share of what all of them may ask of the state
	// service and the cloud: from 0 to 1.
	BudgetShare struct{ Requests, Changes, Calls float64 }
	// Observation is a measurement for the operators.
	Observation struct {
		Metric int
		Value  float64
	}
	// LogEvent is a line for the log.
	LogEvent struct {
		Level   int // 0 debug, 1 info, 2 warning
		Message string
		Args    []any
	}
)

// What is observed: seconds from a job's coming to a task's start, seconds of
// a fetch, jobs committed together.
const (
	MetricTaskWait = iota
	MetricImageFetch
	MetricCommitBatch
)

// JobState is a job's state as users see it.
type JobState int

// Standings.
const (
	JobPending JobState = iota
	JobRunning
	JobDone
	JobCancelled
)

// JobStatus is the answer to a user.
type JobStatus struct {
	ID            string
	State         JobState
	Done, Running int
}

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
	TeamUsage    map[string]Resources
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
	ReadyInSeconds  float64   // seconds until they can take work
	Used            Resources // of each
	BusySeconds     float64   // seconds until that is free again
	FetchingSeconds float64   // seconds until fetches queued are through
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
