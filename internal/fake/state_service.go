package fake

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/records"
)

const (
	// stateTickInterval is how often expired leases are removed and open watches are checked.
	stateTickInterval = 20 * time.Millisecond
	// conditionsPerMutation times the limit of mutations is the limit of conditions in a
	// transaction.
	conditionsPerMutation = 4
)

// StateService is the simulated state service: a key-value store with compare-and-swap transactions,
// watches and leases.
type StateService struct {
	simulation  *Simulation
	entries     map[string]entry // the stored values by key
	revision    uint64           // the revision of the newest change
	changes     []core.Item      // the changes kept for watches, ordered by revision
	leases      map[uint64]*lease
	lastLeaseID uint64
	openWatches []*openWatch

	// RequestsPerSecond, if set, is the budget of requests per second from all controllers
	// together. Each controller limits itself to its share of the budget, as internal/state does.
	RequestsPerSecond float64
	// TransactionTime is the time between a transaction's arrival and its execution.
	TransactionTime time.Duration
	// RequestDelay, if set, returns the additional delay after which a request arrives. It does not
	// extend the sender's timeout.
	RequestDelay func(node string, op core.Operation) time.Duration
	// ReplyDelay, if set, returns the additional delay between the execution of a request and the reply
	// to it. It does not extend the sender's timeout.
	ReplyDelay func(node string, op core.Operation) time.Duration
	// WatchHistoryLimit, if set, is how many changes are kept for watches. Older changes are
	// compacted, and a watch that needs them is refused.
	WatchHistoryLimit int
	// compactedRevision is the revision of the newest change that is no longer kept.
	compactedRevision uint64

	outageUntil  time.Duration            // requests of all controllers are refused until then
	refusedUntil map[string]time.Duration // requests of a controller are refused until then, by its name
	// LoseReply, if set, reports for each transaction whether its reply is lost, and the delay
	// after which such a transaction is executed.
	LoseReply func(node string, t core.Txn) (lost bool, delay time.Duration)
	// ReadDelay, if set, returns the additional delay after which a read is executed.
	ReadDelay func(node, key string) time.Duration
	// OnTxnExecuted functions are called with each transaction that was executed or refused.
	OnTxnExecuted []func(node string, t core.Txn, res core.CommitResult)
	replyLoss     replyLoss       // the injected fault that loses replies to transactions
	slowResponses []slowResponses // the injected faults that delay responses
}

// entry is the stored value of a key.
type entry struct {
	value    []byte
	revision uint64 // of the key's last change
	leaseID  uint64 // the lease that the key is attached to, or 0
}

// lease is a lease granted to a controller. Keys attached to it are deleted when it expires.
type lease struct {
	ttl       time.Duration
	expiresAt time.Duration
}

// openWatch is a watch that has not been replied to.
type openWatch struct {
	node      string
	request   core.WatchKeys
	expiresAt time.Duration
	reply     func(core.Result)
}

// newStateService returns an empty state service and schedules its periodic checks.
func newStateService(sim *Simulation) *StateService {
	s := &StateService{
		simulation:   sim,
		entries:      map[string]entry{},
		leases:       map[uint64]*lease{},
		refusedUntil: map[string]time.Duration{},
	}
	sim.repeatEvery(stateTickInterval, func() {
		s.expireLeases()
		s.replyToWatches()
	})
	return s
}

// isUnavailable reports whether requests of a controller are refused now.
func (s *StateService) isUnavailable(node string) bool {
	return s.simulation.Now < s.outageUntil || s.simulation.Now < s.refusedUntil[node]
}

// expireLeases removes the expired leases and deletes the keys attached to them, with one
// revision for each lease. No lease expires during an outage.
func (s *StateService) expireLeases() {
	if s.simulation.Now < s.outageUntil {
		return
	}
	var expired []uint64
	for id, l := range s.leases {
		if s.simulation.Now > l.expiresAt {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired { // in order, so that each run of a seed is the same
		delete(s.leases, id)
		s.deleteKeysOfLease(id)
	}
}

// deleteKeysOfLease deletes the keys attached to a lease, if any, at the next revision.
func (s *StateService) deleteKeysOfLease(leaseID uint64) {
	var keys []string
	for key, stored := range s.entries {
		if stored.leaseID == leaseID {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.revision++
	for _, key := range keys {
		s.applyMutation(key, nil, 0)
	}
}

// applyMutation sets a key at the current revision, or deletes it if the value is nil, and
// compacts the kept changes.
func (s *StateService) applyMutation(key string, value []byte, leaseID uint64) {
	if value == nil {
		delete(s.entries, key)
	} else {
		s.entries[key] = entry{value, s.revision, leaseID}
	}
	s.changes = append(s.changes, core.Item{Key: key, Value: value, Revision: s.revision})
	if n := len(s.changes); s.WatchHistoryLimit > 0 && n > s.WatchHistoryLimit {
		s.compactedRevision = s.changes[n-s.WatchHistoryLimit-1].Revision
		s.changes = s.changes[n-s.WatchHistoryLimit:]
	}
}

// replyToWatches replies to the open watches that have changes or have expired, and refuses
// those that need compacted changes. Watches of refused controllers stay open.
func (s *StateService) replyToWatches() {
	var stillOpen []*openWatch
	for _, watch := range s.openWatches {
		if s.isUnavailable(watch.node) {
			stillOpen = append(stillOpen, watch)
			continue
		}
		if watch.request.AfterRevision < s.compactedRevision {
			watch.reply(core.WatchResult{Outcome: core.OutcomeRefused})
			continue
		}
		changes := s.changesAfter(watch.request.AfterRevision, watch.request.Prefix)
		if len(changes) == 0 && s.simulation.Now < watch.expiresAt {
			stillOpen = append(stillOpen, watch)
			continue
		}
		watch.reply(core.WatchResult{Outcome: core.OutcomeOK, Revision: s.revision, Changes: changes})
	}
	s.openWatches = stillOpen
}

// changesAfter returns the changes of keys with a prefix after a revision.
func (s *StateService) changesAfter(revision uint64, prefix string) []core.Item {
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Revision > revision })
	var changes []core.Item
	for _, change := range s.changes[first:] {
		if strings.HasPrefix(change.Key, prefix) {
			changes = append(changes, change)
		}
	}
	return changes
}

// handleCommit executes a transaction and replies, or executes it after a delay without a
// reply if an injected fault loses the reply.
func (s *StateService) handleCommit(node string, t core.Txn, reply func(core.Result)) {
	if s.isUnavailable(node) {
		reply(core.CommitResult{Outcome: core.OutcomeNotSent})
		return
	}
	if lost, delay := s.losesReply(node, t); lost {
		s.simulation.After(delay, func() {
			if !s.isUnavailable(node) {
				s.executeTxn(node, t)
			}
		})
		return
	}
	reply(s.executeTxn(node, t))
}

// executeTxn applies a transaction and passes its result to the OnTxnExecuted functions.
func (s *StateService) executeTxn(node string, t core.Txn) core.CommitResult {
	res := s.applyTxn(t)
	for _, f := range s.OnTxnExecuted {
		f(node, t, res)
	}
	return res
}

// applyTxn executes a transaction if the leases in its mutations exist and its conditions hold.
// It panics if the transaction exceeds a limit, which a controller must never send.
func (s *StateService) applyTxn(t core.Txn) core.CommitResult {
	maxMutations := s.simulation.Cfg.MaxTxnMutations
	maxConditions := conditionsPerMutation * maxMutations
	if len(t.Mutations) > maxMutations || len(t.Conditions) > maxConditions {
		panic(fmt.Sprintf("transaction exceeds its limits: %d mutations of at most %d, %d conditions of at most %d",
			len(t.Mutations), maxMutations, len(t.Conditions), maxConditions))
	}
	s.expireLeases()
	for _, m := range t.Mutations {
		if len(m.Value) > s.simulation.Cfg.MaxValueBytes {
			panic(fmt.Sprintf("value of key %s exceeds its limit: %d bytes of at most %d",
				m.Key, len(m.Value), s.simulation.Cfg.MaxValueBytes))
		}
		if m.Lease != 0 && s.leases[m.Lease] == nil {
			return core.CommitResult{Outcome: core.OutcomeRefused, LeaseExpired: true}
		}
	}
	if failed := s.failedConditions(t); len(failed) > 0 {
		return core.CommitResult{Outcome: core.OutcomeRefused, FailedKeys: failed}
	}
	s.revision++
	for _, m := range t.Mutations {
		s.applyMutation(m.Key, m.Value, m.Lease)
		if records.ParseKey(m.Key).Kind == records.KindQuota {
			s.simulation.Log("%v state service set %s to %s at revision %d", s.simulation.Now, m.Key, m.Value, s.revision)
		}
	}
	s.replyToWatches()
	return core.CommitResult{Outcome: core.OutcomeOK, Revision: s.revision}
}

// failedConditions returns the keys whose revision is not the one that the transaction's
// condition requires.
func (s *StateService) failedConditions(t core.Txn) []string {
	var failed []string
	for _, condition := range t.Conditions {
		if s.entries[condition.Key].revision != condition.Revision {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// handleRead replies with a key's value, after the delay that ReadDelay returns.
func (s *StateService) handleRead(node, key string, reply func(core.Result)) {
	if s.ReadDelay != nil {
		if delay := s.ReadDelay(node, key); delay > 0 {
			s.simulation.After(delay, func() { s.executeRead(node, key, reply) })
			return
		}
	}
	s.executeRead(node, key, reply)
}

// executeRead replies with a key's current value.
func (s *StateService) executeRead(node, key string, reply func(core.Result)) {
	if s.isUnavailable(node) {
		reply(core.ReadResult{Outcome: core.OutcomeNotSent})
		return
	}
	s.expireLeases()
	stored, ok := s.entries[key]
	reply(core.ReadResult{
		Outcome: core.OutcomeOK,
		Found:   ok,
		Item:    core.Item{Key: key, Value: stored.value, Revision: stored.revision},
	})
}

// handleList replies with the keys with a prefix, in order, and the current revision.
func (s *StateService) handleList(node, prefix string, reply func(core.Result)) {
	if s.isUnavailable(node) {
		reply(core.ListResult{Outcome: core.OutcomeNotSent})
		return
	}
	s.expireLeases()
	res := core.ListResult{Outcome: core.OutcomeOK, Revision: s.revision}
	for key, stored := range s.entries {
		if strings.HasPrefix(key, prefix) {
			res.Items = append(res.Items, core.Item{Key: key, Value: stored.value, Revision: stored.revision})
		}
	}
	sort.Slice(res.Items, func(i, j int) bool { return res.Items[i].Key < res.Items[j].Key })
	reply(res)
}

// handleWatch opens a watch, which is replied to at its first change or timeout.
func (s *StateService) handleWatch(node string, op core.WatchKeys, reply func(core.Result)) {
	if s.isUnavailable(node) {
		reply(core.WatchResult{Outcome: core.OutcomeNotSent})
		return
	}
	s.openWatches = append(s.openWatches, &openWatch{node, op, s.simulation.Now + op.Timeout, reply})
}

// handleGrantLease grants a new lease.
func (s *StateService) handleGrantLease(node string, ttl time.Duration, reply func(core.Result)) {
	if s.isUnavailable(node) {
		reply(core.LeaseResult{Outcome: core.OutcomeNotSent})
		return
	}
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl, s.simulation.Now + ttl}
	reply(core.LeaseResult{Outcome: core.OutcomeOK, Lease: s.lastLeaseID})
}

// handleRenewLease extends a lease to its full TTL from now, or refuses if it has expired.
func (s *StateService) handleRenewLease(node string, id uint64, reply func(core.Result)) {
	if s.isUnavailable(node) {
		reply(core.RenewResult{Outcome: core.OutcomeNotSent})
		return
	}
	s.expireLeases()
	l := s.leases[id]
	if l == nil {
		reply(core.RenewResult{Outcome: core.OutcomeRefused})
		return
	}
	l.expiresAt = s.simulation.Now + l.ttl
	reply(core.RenewResult{Outcome: core.OutcomeOK})
}
