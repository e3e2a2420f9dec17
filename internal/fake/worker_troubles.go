package fake

import (
	"strings"
	"time"

	"roadcleat/internal/core"
)

// held lets a worker's packet go on when Held says.
func (w *World) held(k *Worker, what any, f func()) {
	d := time.Duration(0)
	if w.Held != nil && k != nil {
		d = w.Held(k, what)
	}
	switch {
	case d > 0:
		w.trouble(d)
		w.Log("%v held for %v: %s %T %+v", w.Now, d, k.name, what, what)
		w.After(d, f)
	case d == 0:
		f()
	}
}

// launches says whether an order starts a task of the job.
func launches(what any, job string) bool {
	op, _ := what.(core.OrdersOp)
	for _, o := range op.Orders {
		if o.Verb == core.Launch && o.Task.Job == job {
			return true
		}
	}
	return false
}

// hears brings the node a report of before. A report taken from its worker but not
// sent stands for one that the network held back or whose original it lost.
func (n *Node) hears(rep core.Report) {
	if n.up {
		n.ask(func(req uint64) any { return core.Beat{Req: req, Report: rep} }, func(any) {})
	}
}

// OnClaim has f told of each claim of a part at the moment it is carried out, before
// its new owner hears of it.
func (w *World) OnClaim(f func(node, zone string)) {
	w.Store.Carried = append(w.Store.Carried, func(node string, t core.Txn, res core.CommitResult) {
		for _, s := range t.Apply {
			if zone, ok := strings.CutPrefix(s.Key, "part/"); ok && s.Value != nil && res.Outcome == core.OK {
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
	w.Store.Carried = append(w.Store.Carried, func(node string, t core.Txn, res core.CommitResult) {
		if node == late.Node && !late.Over && res.Outcome == core.OK {
			for _, s := range t.Apply {
				late.Overtaken = late.Overtaken || changes(late.Txn, s.Key)
			}
		}
	})
	before := w.Store.Lose
	w.Store.Lose = func(node string, t core.Txn) (bool, time.Duration) {
		if late.Node == "" && pick(t) {
			late.Node, late.Txn = node, t
			w.trouble(d)
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
	for _, s := range t.Apply {
		if s.Key == key || strings.HasSuffix(key, "/") && strings.HasPrefix(s.Key, key) {
			return true
		}
	}
	return false
}
