package core

import (
	"time"

	"roadcleat/internal/model"
)

// Condition is a condition of a transaction: the key has this revision. Revision 0 means
// that the key does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Mutation is one change of a transaction. A nil value deletes the key.
type Mutation struct {
	Key   string
	Value []byte
	Lease uint64 // the lease that the key hangs on, 0 for none
}

// Txn is a compare-and-swap at the state service: all mutations are applied if all
// conditions hold, and none otherwise.
type Txn struct {
	Conditions []Condition
	Mutations  []Mutation
}

// Item is a key as the state service holds it.
type Item struct {
	Key      string
	Value    []byte // nil: the key was deleted at this revision
	Revision uint64
}

// Outcome says what is known of a call to something outside.
type Outcome int

// Outcomes of a call.
const (
	OutcomeUnknown Outcome = iota // nobody can tell whether it was or will be carried out
	OutcomeOK                     // it was carried out
	OutcomeRefused                // it was answered, but refused
	OutcomeNotSent                // it certainly was not carried out
)

// Operation is a call to something outside: the state service, the cloud or a worker. The
// set is closed; each operation has one type of result, see operationOf.
type Operation interface {
	// operation names the operation in logs.
	operation() string
}

// Result is the result of an operation.
type Result interface {
	// CallOutcome is the outcome of the call that gave this result.
	CallOutcome() Outcome
}

// operationOf is an operation whose results have the type R.
type operationOf[R Result] interface {
	Operation
	yields(R)
}

// Operations at the state service.
type (
	// CommitTxn commits a transaction. Urgent calls go ahead of the others; one in the
	// background leaves some of the budget to users' submissions.
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
	// WatchKeys waits for changes of keys with a prefix after a revision.
	WatchKeys struct {
		Prefix        string
		AfterRevision uint64
		Timeout       time.Duration
	}
	// GrantLease asks for a lease.
	GrantLease struct{ TTL time.Duration }
	// RenewLease renews a lease.
	RenewLease struct{ Lease uint64 }
)

// Operations at the cloud.
type (
	// ReadCatalog reads the machine types and their prices.
	ReadCatalog struct{}
	// ListHosts lists all machines.
	ListHosts struct{}
	// RentHosts rents machines. A name is used for one rental only, see PROTOCOL.
	RentHosts struct {
		Name, Type, Zone string
		Spot             bool
		Count            int
	}
	// ReturnHosts gives machines back.
	ReturnHosts struct{ Hosts []string }
)

// Operations at a worker.
type (
	// SendCommands sends commands straight to a worker. Without any it only shows the
	// worker the fencing token.
	SendCommands struct {
		Address            string
		Token, Incarnation uint64
		Commands           []Command
	}
	// ReadWorkerStatus asks a worker for its status.
	ReadWorkerStatus struct{ Address string }
)

// Results of the operations.
type (
	// CommitResult is OK with the revision, refused with the keys that differ (or a lease
	// that has expired), not sent or unknown.
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
	// WatchResult holds changes; refused means that the revision asked for is too old.
	WatchResult struct {
		Outcome  Outcome
		Revision uint64
		Changes  []Item
	}
	// LeaseResult holds a new lease.
	LeaseResult struct {
		Outcome Outcome
		Lease   uint64
	}
	// RenewResult says whether the lease goes on; refused means that it has expired.
	RenewResult struct{ Outcome Outcome }
	// CatalogResult holds the machine types.
	CatalogResult struct {
		Outcome Outcome
		Types   []model.MachineType
	}
	// HostsResult holds all machines.
	HostsResult struct {
		Outcome Outcome
		Hosts   []model.ListedHost
	}
	// RentResult holds the names of the machines rented; refused means no capacity.
	RentResult struct {
		Outcome Outcome
		Hosts   []string
	}
	// ReturnResult says whether the machines are gone.
	ReturnResult struct{ Outcome Outcome }
	// WorkerResult is OK when the commands were executed, refused on a mismatch of token
	// or incarnation. Status is nil if the worker gave none.
	WorkerResult struct {
		Outcome Outcome
		Status  *WorkerStatus
	}
)

func (CommitTxn) operation() string        { return "commit" }
func (ReadKey) operation() string          { return "read" }
func (ListKeys) operation() string         { return "list" }
func (WatchKeys) operation() string        { return "watch" }
func (GrantLease) operation() string       { return "grant_lease" }
func (RenewLease) operation() string       { return "renew_lease" }
func (ReadCatalog) operation() string      { return "catalog" }
func (ListHosts) operation() string        { return "hosts" }
func (RentHosts) operation() string        { return "rent" }
func (ReturnHosts) operation() string      { return "return" }
func (SendCommands) operation() string     { return "commands" }
func (ReadWorkerStatus) operation() string { return "worker_status" }

func (CommitTxn) yields(CommitResult)        {}
func (ReadKey) yields(ReadResult)            {}
func (ListKeys) yields(ListResult)           {}
func (WatchKeys) yields(WatchResult)         {}
func (GrantLease) yields(LeaseResult)        {}
func (RenewLease) yields(RenewResult)        {}
func (ReadCatalog) yields(CatalogResult)     {}
func (ListHosts) yields(HostsResult)         {}
func (RentHosts) yields(RentResult)          {}
func (ReturnHosts) yields(ReturnResult)      {}
func (SendCommands) yields(WorkerResult)     {}
func (ReadWorkerStatus) yields(WorkerResult) {}

// CallOutcome implements Result.
func (r CommitResult) CallOutcome() Outcome { return r.Outcome }

// CallOutcome implements Result.
func (r ReadResult) CallOutcome() Outcome { return r.Outcome }

// CallOutcome implements Result.
func (r ListResult) CallOutcome() Outcome { return r.Outcome }

// CallOutcome implements Result.
func (r WatchResult) CallOutcome() Outcome { return r.Outcome }

// CallOutcome implements Result.
func (r LeaseResult) CallOutcome() Outcome { return r.Outcome }

// CallOutcome implements Result.
func (r RenewResult) CallOutcome() Outcome { return r.Outcome }

// CallOutcome implements Result.
func (r CatalogResult) CallOutcome() Outcome { return r.Outcome }

// CallOutcome implements Result.
func (r HostsResult) CallOutcome() Outcome { return r.Outcome }

// CallOutcome implements Result.
func (r RentResult) CallOutcome() Outcome { return r.Outcome }

// CallOutcome implements Result.
func (r ReturnResult) CallOutcome() Outcome { return r.Outcome }

// CallOutcome implements Result.
func (r WorkerResult) CallOutcome() Outcome { return r.Outcome }
