package core

import (
	"log/slog"
	"time"
)

// callLogInterval is the interval at which the numbers of calls are logged.
const callLogInterval = 15 * time.Second

// callTable holds the pending calls to the state service, the cloud and workers, and counts the
// calls for the log.
type callTable struct {
	pending        map[uint64]func(Result) // handlers of results, by call id
	lastID         uint64                  // id of the newest call
	countsSinceLog map[string]int          // by operation, since the counts were last logged
	nextLogAt      time.Duration
}

// emit adds an effect to those of the current event.
func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) debug(message string, args ...any) {
	c.emit(LogEvent{slog.LevelDebug, message, args})
}

func (c *Core) info(message string, args ...any) { c.emit(LogEvent{slog.LevelInfo, message, args}) }

func (c *Core) warn(message string, args ...any) { c.emit(LogEvent{slog.LevelWarn, message, args}) }

// call requests an operation and runs onResult with its result. The type of the result follows
// from the operation.
func call[R Result](c *Core, op operationOf[R], onResult func(R)) {
	c.calls.lastID++
	c.calls.pending[c.calls.lastID] = func(result Result) { onResult(result.(R)) }
	c.countCall(op)
	c.emit(Call{c.calls.lastID, op})
}

// finishCall passes a result to the handler of its call.
func (c *Core) finishCall(e CallResult) {
	if onResult := c.calls.pending[e.CallID]; onResult != nil {
		delete(c.calls.pending, e.CallID)
		onResult(e.Result)
	}
}

// countCall counts a call for the log, and a call to the state service also for the budget.
func (c *Core) countCall(op Operation) {
	c.calls.countsSinceLog[op.operation()]++
	switch op := op.(type) {
	case CommitTxn:
		c.budget.callsSinceUpdate.Requests++
		c.budget.callsSinceUpdate.Changes += float64(len(op.Txn.Mutations))
	case ReadKey, ListKeys, WatchKeys, GrantLease, RenewLease:
		c.budget.callsSinceUpdate.Requests++
	}
}

// logCallCounts logs the number of calls per operation since the last such log line.
func (c *Core) logCallCounts() {
	if c.now < c.calls.nextLogAt {
		return
	}
	c.calls.nextLogAt = c.now + callLogInterval
	args := []any{"share", c.budget.share.Requests}
	for _, operation := range sortedKeys(c.calls.countsSinceLog) {
		args = append(args, operation, c.calls.countsSinceLog[operation])
	}
	clear(c.calls.countsSinceLog)
	c.info("calls sent in the last 15 s", args...)
}

// readKey reads a key of the state service and records whether the service responded.
func (c *Core) readKey(key string, urgent bool, onResult func(ReadResult)) {
	sent := c.now
	call(c, ReadKey{key, urgent}, func(res ReadResult) {
		c.recordStateServiceOutcome(sent, res.Outcome == OutcomeOK)
		onResult(res)
	})
}

// commit sends a transaction to the state service that is not a background transaction.
func (c *Core) commit(txn Txn, urgent bool, onResult func(CommitResult)) {
	c.commitWith(CommitTxn{Txn: txn, Urgent: urgent}, onResult)
}

// commitWith sends a transaction to the state service and records whether the service responded.
func (c *Core) commitWith(op CommitTxn, onResult func(CommitResult)) {
	sent := c.now
	call(c, op, func(res CommitResult) {
		c.recordStateServiceOutcome(sent, res.Outcome == OutcomeOK || res.Outcome == OutcomeRefused)
		onResult(res)
	})
}
