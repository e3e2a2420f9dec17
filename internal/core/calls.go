package core

import (
	"log/slog"
	"time"
)

// callLogInterval is how often the counts of calls are logged.
const callLogInterval = 15 * time.Second

// callTable holds the calls to the outside that have no answer yet, and counts them for the
// log.
type callTable struct {
	pending   map[uint64]func(Result)
	lastID    uint64
	counts    map[string]int // by operation, since they were last logged
	nextLogAt time.Duration
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) debug(text string, args ...any) { c.emit(LogEvent{slog.LevelDebug, text, args}) }

func (c *Core) info(text string, args ...any) { c.emit(LogEvent{slog.LevelInfo, text, args}) }

func (c *Core) warn(text string, args ...any) { c.emit(LogEvent{slog.LevelWarn, text, args}) }

// call asks for an operation outside; then runs with its result. The type of the result
// follows from the operation.
func call[R Result](c *Core, op operationOf[R], then func(R)) {
	c.calls.lastID++
	c.calls.pending[c.calls.lastID] = func(result Result) { then(result.(R)) }
	c.countCall(op)
	c.emit(Call{c.calls.lastID, op})
}

// finishCall hands a result to whoever asked for it.
func (c *Core) finishCall(e CallResult) {
	if then := c.calls.pending[e.CallID]; then != nil {
		delete(c.calls.pending, e.CallID)
		then(e.Result)
	}
}

// countCall counts a call for the log, and those to the state service for the budget.
func (c *Core) countCall(op Operation) {
	c.calls.counts[op.operation()]++
	switch op := op.(type) {
	case CommitTxn:
		c.budget.sinceShare.Requests++
		c.budget.sinceShare.Changes += float64(len(op.Txn.Mutations))
	case ReadKey, ListKeys, WatchKeys, GrantLease, RenewLease:
		c.budget.sinceShare.Requests++
	}
}

// logCallCounts logs what was asked of the outside lately.
func (c *Core) logCallCounts() {
	if c.now < c.calls.nextLogAt {
		return
	}
	c.calls.nextLogAt = c.now + callLogInterval
	args := []any{"share", c.budget.share.Requests}
	for _, operation := range sorted(c.calls.counts) {
		args = append(args, operation, c.calls.counts[operation])
	}
	clear(c.calls.counts)
	c.info("calls in 15 s", args...)
}

// readKey reads a key of the state service.
func (c *Core) readKey(key string, urgent bool, then func(ReadResult)) {
	sent := c.now
	call(c, ReadKey{key, urgent}, func(res ReadResult) {
		c.recordStoreOutcome(sent, res.Outcome == OutcomeOK)
		then(res)
	})
}

// commit sends a transaction to the state service.
func (c *Core) commit(txn Txn, urgent bool, then func(CommitResult)) {
	c.commitWith(CommitTxn{Txn: txn, Urgent: urgent}, then)
}

func (c *Core) commitWith(op CommitTxn, then func(CommitResult)) {
	sent := c.now
	call(c, op, func(res CommitResult) {
		c.recordStoreOutcome(sent, res.Outcome == OutcomeOK || res.Outcome == OutcomeRefused)
		then(res)
	})
}
