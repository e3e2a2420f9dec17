package fake

import (
	"strings"
	"time"

	"roadcleat/internal/core"
)

// delayOnWire lets a worker's packet go on when Held says.
func (w *World) delayOnWire(worker *Worker, what any, f func()) {
	d := time.Duration(0)
	if w.DelayOnWire != nil && worker != nil {
		d = w.DelayOnWire(worker, what)
	}
	switch {
	case d > 0:
		w.extendFaults(d)
		w.Log("%v held for %v: %s %T %+v", w.Now, d, worker.name, what, what)
		w.After(d, f)
	case d == 0:
		f()
	}
}

// isLaunchOf says whether an order starts a task of the job.
func isLaunchOf(what any, job string) bool {
	op, _ := what.(core.SendCommands)
	for _, o := range op.Commands {
		if o.Verb == core.VerbLaunch && o.Task.Job == job {
			return true
		}
	}
	return false
}

// receiveHeartbeat brings the node a report of before. A report taken from its worker but not
// sent stands for one that the network held back or whose original it lost.
func (n *Node) receiveHeartbeat(status core.WorkerStatus) {
	if n.up {
		n.ask(func(req uint64) core.Event { return core.Heartbeat{RequestID: req, Status: status} }, func(core.Effect) {})
	}
}

// OnClaim has f told of each claim of a part at the moment it is carried out, before
// its new owner hears of it.
func (w *World) OnClaim(f func(node, zone string)) {
	w.Store.OnExecuted = append(w.Store.OnExecuted, func(node string, t core.Txn, res core.CommitResult) {
		for _, s := range t.Mutations {
			if zone, ok := strings.CutPrefix(s.Key, "part/"); ok && s.Value != nil && res.Outcome == core.OutcomeOK {
				f(node, zone)
			}
		}
	})
}

// LateWrite is a transaction that got no answer and was carried out late.
type LateWrite struct {
	Node      string
	Txn       core.Txn
	Overtaken bool // the same controller had changed one of its keys meanwhile
	Over      bool
	Result    core.CommitResult
}

// DelayWrite has the first transaction picked stay without an answer and be carried
// out after d.
func (w *World) DelayWrite(d time.Duration, pick func(core.Txn) bool) *LateWrite {
	late := &LateWrite{}
	w.Store.OnExecuted = append(w.Store.OnExecuted, func(node string, t core.Txn, res core.CommitResult) {
		if node == late.Node && !late.Over && res.Outcome == core.OutcomeOK {
			for _, s := range t.Mutations {
				late.Overtaken = late.Overtaken || changes(late.Txn, s.Key)
			}
		}
	})
	before := w.Store.Lose
	w.Store.Lose = func(node string, t core.Txn) (bool, time.Duration) {
		if late.Node == "" && pick(t) {
			late.Node, late.Txn = node, t
			w.extendFaults(d)
			w.After(d, func() {
				late.Result = w.Store.apply(t)
				late.Over = true
			})
			return true, 24 * time.Hour // carried out above, where its result is seen
		}
		if before != nil {
			return before(node, t)
		}
		return false, 0
	}
	return late
}

// changes says whether a transaction changes a key, or any with the prefix if it ends
// with a slash.
func changes(t core.Txn, key string) bool {
	for _, s := range t.Mutations {
		if s.Key == key || strings.HasSuffix(key, "/") && strings.HasPrefix(s.Key, key) {
			return true
		}
	}
	return false
}
