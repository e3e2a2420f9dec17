package fake

import (
	"strings"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/records"
)

// replyLoss is a fault of limited duration that loses replies to transactions.
type replyLoss struct {
	until          time.Duration // end of the fault
	share          float64       // share of the replies that are lost
	executesAtOnce bool          // the transactions are executed immediately, otherwise late
}

// How many replies are lost, and how late their transactions are executed.
const (
	lostReplyShare       = 0.3         // share of the replies that a fault loses
	maxTotalLossDuration = time.Second // a fault that lasts no longer loses every reply
	minExecutionDelay    = 2 * time.Second
	maxExecutionDelay    = 12 * time.Second
)

// start starts to lose replies: all of them if the fault is short, otherwise a share of them.
func (l *replyLoss) start(sim *Simulation, d time.Duration, atOnce bool) {
	*l = replyLoss{until: sim.beginFaultPeriod(d), share: lostReplyShare, executesAtOnce: atOnce}
	if d <= maxTotalLossDuration {
		l.share = 1
	}
	if !atOnce {
		sim.extendFaultPeriod(d + maxExecutionDelay)
	}
}

// drawLoss draws whether the reply to a transaction is lost. If so, it returns the delay after
// which the transaction is executed.
func (l *replyLoss) drawLoss(sim *Simulation) (lost bool, delay time.Duration) {
	if sim.Now >= l.until || sim.Rand.Float64() >= l.share {
		return false, 0
	}
	if l.executesAtOnce {
		return true, 0
	}
	spread := float64(maxExecutionDelay - minExecutionDelay)
	return true, minExecutionDelay + time.Duration(sim.Rand.Float64()*spread)
}

// losesReply reports whether the reply to a transaction is lost. If so, it returns the delay after
// which the transaction is executed.
func (s *StateService) losesReply(node string, t core.Txn) (lost bool, delay time.Duration) {
	if s.LoseReply != nil {
		if lost, delay := s.LoseReply(node, t); lost {
			return true, delay
		}
	}
	return s.replyLoss.drawLoss(s.simulation)
}

// Outage makes the state service refuse all requests for a duration of d. When the outage ends,
// every lease is renewed for its full time to live.
func (s *StateService) Outage(d time.Duration) {
	s.simulation.Log("%v state service: outage for %v", s.simulation.Now, d)
	s.simulation.extendFaultPeriod(d)
	s.outageUntil = max(s.outageUntil, s.simulation.Now+d)
	s.simulation.After(s.outageUntil-s.simulation.Now, func() {
		for _, l := range s.leases {
			l.expiresAt = s.simulation.Now + l.ttl
		}
	})
}

// Refuse makes the state service refuse all requests of one controller for a duration of d.
func (s *StateService) Refuse(node string, d time.Duration) {
	s.simulation.Log("%v state service: refusing requests of %s for %v", s.simulation.Now, node, d)
	s.simulation.extendFaultPeriod(d)
	s.refusedUntil[node] = s.simulation.Now + d
}

// slowTransactionsFor makes each transaction take a certain time, for a duration of d.
func (s *StateService) slowTransactionsFor(each, d time.Duration) {
	s.simulation.extendFaultPeriod(d)
	s.TransactionTime = each
	s.simulation.After(d, func() { s.TransactionTime = 0 })
}

// OnClaim has f called when a claim of a shard has been executed, before the new owner receives the
// reply.
func (sim *Simulation) OnClaim(f func(node, zone string)) {
	sim.State.OnTxnExecuted = append(sim.State.OnTxnExecuted, func(node string, t core.Txn, res core.CommitResult) {
		for _, m := range t.Mutations {
			key := records.ParseKey(m.Key)
			if key.Kind == records.KindShard && m.Value != nil && res.Outcome == core.OutcomeOK {
				f(node, key.Zone)
			}
		}
	})
}

// LateWrite is a transaction that got no reply and was executed late.
type LateWrite struct {
	Node      string // the controller that sent it; empty until pick has accepted a transaction
	Txn       core.Txn
	Overtaken bool // the same controller changed one of its keys before it was executed
	Executed  bool // it has been executed
	Result    core.CommitResult
}

// beyondSimulationEnd is a delay longer than any simulation runs.
const beyondSimulationEnd = 24 * time.Hour

// DelayWrite loses the reply to the first transaction that pick accepts, and has the transaction
// executed after d.
func (sim *Simulation) DelayWrite(d time.Duration, pick func(core.Txn) bool) *LateWrite {
	late := &LateWrite{}
	sim.State.OnTxnExecuted = append(sim.State.OnTxnExecuted, func(node string, t core.Txn, res core.CommitResult) {
		if node == late.Node && !late.Executed && res.Outcome == core.OutcomeOK {
			for _, m := range t.Mutations {
				late.Overtaken = late.Overtaken || changesKey(late.Txn, m.Key)
			}
		}
	})
	lose := sim.State.LoseReply
	sim.State.LoseReply = func(node string, t core.Txn) (bool, time.Duration) {
		if late.Node == "" && pick(t) {
			late.Node, late.Txn = node, t
			sim.extendFaultPeriod(d)
			sim.After(d, func() {
				late.Result = sim.State.applyTxn(t)
				late.Executed = true
			})
			// The state service must not execute the transaction too, because it does not keep the
			// result of a late execution.
			return true, beyondSimulationEnd
		}
		if lose != nil {
			return lose(node, t)
		}
		return false, 0
	}
	return late
}

// changesKey reports whether a transaction changes a key or, if key ends with a slash, any key with
// that prefix.
func changesKey(t core.Txn, key string) bool {
	for _, m := range t.Mutations {
		if m.Key == key || strings.HasSuffix(key, "/") && strings.HasPrefix(m.Key, key) {
			return true
		}
	}
	return false
}
