// Package core holds the truth of one controller. It does no input or output
// and knows no clock: events and the time go in, effects come out.
package core

import "time"

// Amount is what a task takes of its machine.
type Amount struct {
	Cores float64 `json:"c,omitempty"`
	Cards float64 `json:"g,omitempty"`
	Mem   float64 `json:"m,omitempty"`
}

// Spec is a job as its user described it.
type Spec struct {
	ID         string   `json:"-"`
	Class      string   `json:"cl,omitempty"`
	Team       string   `json:"te"`
	Service    bool     `json:"sv,omitempty"`
	Gang       bool     `json:"ga,omitempty"` // tasks run together or not at all
	Priority   int      `json:"pr"`           // 0 is the most urgent
	Tasks      int      `json:"n"`
	Need       Amount   `json:"a"`
	Types      []string `json:"ty,omitempty"`
	Zone       string   `json:"z,omitempty"`
	OneZone    bool     `json:"oz,omitempty"`
	Apart      bool     `json:"ap,omitempty"`
	Spot       bool     `json:"sp,omitempty"`
	Image      string   `json:"im,omitempty"`
	ImageGB    float64  `json:"gb,omitempty"`
	Estimate   float64  `json:"es,omitempty"`
	Checkpoint float64  `json:"cp,omitempty"`
	Save       float64  `json:"sa,omitempty"`
	Deadline   float64  `json:"dl,omitempty"`
}

// TaskID names one task of a job.
type TaskID struct {
	Job   string
	Index int
}

// States of a task on a machine, as a worker reports them.
const (
	Fetching  = iota + 1
	Gathering // has its image and waits for the rest of its gang
	Running
	Saving
	Ended
)

// Causes of a task's end.
const (
	Done = iota + 1
	Stopped
	Failed
	NoRoom
	InUse
	NoSuch
	Lonely // the rest of its gang did not come, or left
)

// Reported is one task in a worker's report.
type Reported struct {
	Task    TaskID
	Attempt uint64
	State   int
	Cause   int
	Saved   bool
}

// Report is a worker's report.
type Report struct {
	Host, Addr, Type, Zone string
	Spot                   bool
	Session, Seq, Token    uint64
	Notice                 float64 // seconds until the machine is taken, or negative
	Tasks                  []Reported
}

// Verbs of an order.
const (
	Launch = iota + 1
	Halt
	Clear
)

// Order is a command to a worker.
type Order struct {
	Verb    int
	Task    TaskID
	Attempt uint64
	Leeway  float64
}

// Guard is a condition of a transaction; stamp 0 means the key does not exist.
type Guard struct {
	Key   string
	Stamp uint64
}

// Set is one change of a transaction. A nil value deletes the key.
type Set struct {
	Key   string
	Value []byte
	Lease uint64
}

// Txn is a transaction at the state service.
type Txn struct {
	Guards []Guard
	Apply  []Set
}

// Item is a key as the state service holds it.
type Item struct {
	Key   string
	Value []byte
	Stamp uint64
}

// Outcome of a call to something outside.
type Outcome int

// Outcomes: the call was carried out; it was answered but refused; it
// certainly was not carried out; or nobody can tell.
const (
	Unknown Outcome = iota
	OK
	Refused
	NotSent
)

// Calls to the outside. Each is answered by exactly one Answer whose Result
// is the matching type below.
type (
	// CommitOp commits a transaction. Urgent calls go ahead of the others; one
	// that spares leaves some of the budget to users' submissions.
	CommitOp struct {
		Txn           Txn
		Urgent, Spare bool
	}
	// ReadOp reads a key.
	ReadOp struct {
		Key    string
		Urgent bool
	}
	// ListOp lists all keys with a prefix.
	ListOp struct{ Prefix string }
	// FollowOp waits for changes.
	FollowOp struct {
		Prefix string
		After  uint64
		Wait   time.Duration
	}
	// HoldOp asks for a lease.
	HoldOp struct{ Life time.Duration }
	// RenewOp renews it.
	RenewOp struct{ Lease uint64 }
	// CatalogOp reads the machine types.
	CatalogOp struct{}
	// HostsOp lists all machines.
	HostsOp struct{}
	// HireOp rents machines.
	HireOp struct {
		Name, Type, Zone string
		Spot             bool
		Number           int
	}
	// ReturnOp gives machines back.
	ReturnOp struct{ Hosts []string }
	// OrdersOp sends orders straight to a worker.
	OrdersOp struct {
		Addr           string
		Token, Session uint64
		Orders         []Order
	}
	// ShowOp asks a worker for its report.
	ShowOp struct{ Addr string }
)

// Results of the calls.
type (
	// CommitResult is OK with the revision, Refused with the keys that differ
	// (or a lease that ended), NotSent or Unknown.
	CommitResult struct {
		Outcome  Outcome
		Revision uint64
		Failed   []string
		NoLease  bool
	}
	// ReadResult is OK, with Found false for a key that does not exist.
	ReadResult struct {
		Outcome Outcome
		Found   bool
		Item    Item
	}
	// ListResult holds all keys and the revision they were read at or after.
	ListResult struct {
		Outcome Outcome
		Items   []Item
		Ledger  uint64
	}
	// FollowResult holds changes; Refused means that After is too old.
	FollowResult struct {
		Outcome Outcome
		Ledger  uint64
		News    []Item // Value nil: deleted
	}
	// HoldResult is a lease.
	HoldResult struct {
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
		Hosts   []Listed
	}
	// HireResult holds the machines rented; Refused means no capacity.
	HireResult struct {
		Outcome Outcome
		Hosts   []string
	}
	// ReturnResult says whether the machines are gone.
	ReturnResult struct{ Outcome Outcome }
	// WorkerResult is OK when executed, Refused on a token or session mismatch.
	WorkerResult struct {
		Outcome Outcome
		Report  *Report
	}
)

// MachineType is one row of the cloud's catalogue.
type MachineType struct {
	Name             string
	Total            Amount
	CacheGB, GBPerS  float64
	Price, SpotPrice float64
	BootS            float64
	Zones            []string
}

// Listed is a machine in the cloud's list.
type Listed struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	State                  string // booting, running or failed
	HeldS                  float64
}

// Events. Req numbers are given by the runtime and come back in the replies.
type (
	// Tick lets time pass.
	Tick struct{}
	// Answer is the result of a call.
	Answer struct {
		ID     uint64
		Result any
	}
	// Submit is a submission. Bad is set when the body was malformed.
	Submit struct {
		Req  uint64
		Spec Spec
		Bad  string
	}
	// Poll asks for a job's state.
	Poll struct {
		Req uint64
		ID  string
	}
	// Withdraw cancels a job.
	Withdraw struct {
		Req uint64
		ID  string
	}
	// Overloaded says that requests were turned away here for want of sockets or room, or
	// dropped because their senders had given up before they were looked at.
	Overloaded struct{}
	// Beat is a worker's report.
	Beat struct {
		Req    uint64
		Report Report
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
		ID uint64
		Op any
	}
	// Reply answers a user. Status 200 and 201 carry Run.
	Reply struct {
		Req        uint64
		Status     int
		Run        RunState
		RetryAfter int
		Why        string
	}
	// BeatReply answers a worker.
	BeatReply struct {
		Req     uint64
		Status  int
		Token   uint64
		Orders  []Order
		Foreman string
	}
	// Tell sends a message to another controller.
	Tell struct {
		To      int
		Message Message
	}
	// Share is this controller's share of what all of them may ask of the state
	// service and the cloud: from 0 to 1.
	Share struct{ Requests, Changes, Calls float64 }
	// Observed is a measurement for the operators.
	Observed struct {
		What  int
		Value float64
	}
	// Note is a line for the log.
	Note struct {
		Level int // 0 debug, 1 info, 2 warning
		Text  string
		Args  []any
	}
)

// What is observed: seconds from a job's coming to a task's start, seconds of
// a fetch, jobs committed together.
const (
	Wait = iota
	Fetch
	Batch
)

// Standing is a job's state as users see it.
type Standing int

// Standings.
const (
	Pending Standing = iota
	Active
	Complete
	Withdrawn
)

// RunState is the answer to a user.
type RunState struct {
	ID            string
	Standing      Standing
	Done, Running int
}

// Message is what controllers send each other.
type Message struct {
	Boot   uint64 // which life of the sender
	Gossip *Gossip
	Jobs   []Item // job/ keys as just read or written
	Slices []Item // slice/ keys as just written
	Freed  []string
	Asks   []GrantAsk // of teams whose grants the sender needs
	Quotas []Item     // quota/ keys as just written
}

// GrantAsk asks for room within a team's limit for work that waits, and says how
// it ranks.
type GrantAsk struct {
	Team  string
	Cores float64
	Rank  float64
}

// Gossip is what a controller tells the others twice a second.
type Gossip struct {
	Seq       uint64            // counts the sender's gossip
	Echo      map[string]uint64 // the newest Seq heard of each other controller
	Withdrawn []Item            // withdrawals the sender learned of lately and the receiver may not have heard of
	StoreOK   bool
	Reads     int   // the newest form of the store's values that the sender reads
	Wants     Share // what it asked of the state service lately, a second
	Parts     []PartView
	Heard     map[string]int // workers of parts not its own heard lately
	CutOff    bool           // it gave a part up because it did not hear its workers
}

// PartView is a summary of a part by its owner.
type PartView struct {
	Zone   string
	Token  uint64
	Dark   bool // its owner hears none of its workers
	Hosts  []HostGroup
	Queue  []Backlog
	Images []ImageShare
	Scarce []Offer // machines that were refused lately
	Show   []Shown
	Used   map[string]Amount
	Fill   map[string]float64 // cores that backfill may take, by type
	Queues []Queue            // what does not run yet, by class and team
}

// Offer names a kind of machine.
type Offer struct {
	Type string
	Spot bool
}

// HostGroup is machines that look alike to another controller: of one type and
// kind, with as much in use for about as long. Hundreds of machines make a few
// dozen groups.
type HostGroup struct {
	Type    string
	Spot    bool
	Count   int
	Up      float64 // seconds until they can take work
	Used    Amount  // of each
	For     float64 // seconds until that is free again
	FetchAt float64 // seconds until fetches queued are through
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

// Shown holds a job's counts for display. Of services with replicas missing, which
// are few, it also says what has become of those and why.
type Shown struct {
	ID                          string
	Done, Running               int
	Starting, Fetching, Waiting int
	MissingS                    float64
	Why                         Reason
}

func (s *Shown) tally() Tally { return Tally{s.Running, s.Starting, s.Fetching, s.Waiting} }
