package core

import (
	"time"

	"roadcleat/internal/model"
)

// Condition is a condition of a transaction: the key must have the given revision. Revision 0
// means that the key must not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Mutation is one change that a transaction makes. A nil Value deletes the key.
type Mutation struct {
	Key   string
	Value []byte
	Lease uint64 // lease that the key is attached to, 0 for none
}

// Txn is a compare-and-swap transaction at the state service: all mutations are applied if all
// conditions hold, and none is applied otherwise.
type Txn struct {
	Conditions []Condition
	Mutations  []Mutation
}

// Item is a key with its value and revision in the state service.
type Item struct {
	Key      string
	Value    []byte // nil: the key was deleted at this revision
	Revision uint64 // revision of the last change or deletion
}

// Outcome is what the controller knows about the result of a call to the state service, the cloud
// or a worker.
type Outcome int

// The outcomes of a call.
const (
	OutcomeUnknown Outcome = iota // the call may have been executed, or may still be
	OutcomeOK                     // the call was executed
	OutcomeRefused                // the callee refused the call
	OutcomeNotSent                // the call was not executed and will not be
)

// Operation is a request to the state service, the cloud or a worker. Only the types of this
// package implement it. Each operation has one type of result, see operationOf.
type Operation interface {
	// operation is the name of the operation in logs.
	operation() string
}

// Result is the result of an operation.
type Result interface {
	// CallOutcome is the outcome of the call that gave this result.
	CallOutcome() Outcome
}

// operationOf is an operation whose result has the type R. The method yields only ties the two
// types together at compile time.
type operationOf[R Result] interface {
	Operation
	yields(R)
}

// Operations at the state service.
type (
	// CommitTxn commits a transaction. An urgent transaction is sent before other calls; a
	// background transaction leaves some of the call budget to users' submissions.
	CommitTxn struct {
		Txn                Txn
		Urgent, Background bool
	}
	// ReadKey reads one key. An urgent read is sent before other calls.
	ReadKey struct {
		Key    string
		Urgent bool
	}
	// ListKeys lists all keys that have the prefix.
	ListKeys struct{ Prefix string }
	// WatchKeys waits up to Timeout for changes, after a revision, of keys that have the
	// prefix.
	WatchKeys struct {
		Prefix        string
		AfterRevision uint64
		Timeout       time.Duration
	}
	// GrantLease requests a new lease with the given time to live.
	GrantLease struct{ TTL time.Duration }
	// RenewLease renews the lease with the given id.
	RenewLease struct{ Lease uint64 }
)

// Operations at the cloud.
type (
	// ReadCatalog reads the machine types and their prices.
	ReadCatalog struct{}
	// ListHosts lists all machines that are rented.
	ListHosts struct{}
	// RentHosts rents Count machines. The name identifies the rental and must not be used
	// for another one, see PROTOCOL.
	RentHosts struct {
		Name, Type, Zone string
		Spot             bool
		Count            int
	}
	// ReturnHosts returns machines to the cloud.
	ReturnHosts struct{ Hosts []string }
)

// Operations at a worker.
type (
	// SendCommands sends commands to a worker without waiting for its next heartbeat. With
	// no commands the call only shows the worker the fencing token.
	SendCommands struct {
		Address            string
		Token, Incarnation uint64
		Commands           []Command
	}
	// ReadWorkerStatus reads the status of a worker.
	ReadWorkerStatus struct{ Address string }
)

// The results of operations.
type (
	// CommitResult is the result of CommitTxn. OutcomeOK comes with the revision of the
	// commit, OutcomeRefused with the keys whose conditions failed or with LeaseExpired.
	CommitResult struct {
		Outcome      Outcome
		Revision     uint64
		FailedKeys   []string
		LeaseExpired bool
	}
	// ReadResult is the result of ReadKey. For a key that does not exist the outcome is
	// OutcomeOK and Found is false.
	ReadResult struct {
		Outcome Outcome
		Found   bool
		Item    Item
	}
	// ListResult holds all keys with the prefix. They were read at Revision or later.
	ListResult struct {
		Outcome  Outcome
		Items    []Item
		Revision uint64
	}
	// WatchResult holds the changes up to Revision. OutcomeRefused means that the revision
	// to watch from is too old, so the keys must be listed again.
	WatchResult struct {
		Outcome  Outcome
		Revision uint64
		Changes  []Item
	}
	// LeaseResult holds the id of the new lease.
	LeaseResult struct {
		Outcome Outcome
		Lease   uint64
	}
	// RenewResult is the result of RenewLease. OutcomeRefused means that the lease has
	// expired.
	RenewResult struct{ Outcome Outcome }
	// CatalogResult holds the machine types that the cloud offers.
	CatalogResult struct {
		Outcome Outcome
		Types   []model.MachineType
	}
	// HostsResult holds all rented machines.
	HostsResult struct {
		Outcome Outcome
		Hosts   []model.ListedHost
	}
	// RentResult holds the names of the rented machines. OutcomeRefused means that the cloud
	// has no capacity.
	RentResult struct {
		Outcome Outcome
		Hosts   []string
	}
	// ReturnResult is the result of ReturnHosts. OutcomeOK means that the machines have been
	// returned.
	ReturnResult struct{ Outcome Outcome }
	// WorkerResult is the result of both operations at a worker. OutcomeOK means that the
	// commands were executed, OutcomeRefused that the token or the incarnation does not
	// match. Status is nil if the response had none.
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
