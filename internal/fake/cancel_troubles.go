package fake

import (
	"time"

	"roadcleat/internal/core"
)

// delayed has a request to the state service arrive as late as Late says.
func (s *Store) delayed(node string, op core.Operation, exec func(func(core.Result))) func(func(core.Result)) {
	if s.Late == nil {
		return exec
	}
	late := s.Late(node, op)
	if late == 0 {
		return exec
	}
	return func(answer func(core.Result)) { s.w.After(late, func() { exec(answer) }) }
}

// Heal ends cuts between two hosts; packets held stay held until their time.
func (w *World) Heal(a, b string) {
	delete(w.cuts, [2]string{a, b})
	delete(w.cuts, [2]string{b, a})
}

// CancelAt has the job's user cancel it at one controller, repeated until it is
// confirmed; told, if any, is called then.
func (w *World) CancelAt(node *Node, job *Job, told func()) {
	job.CancelRequested = true
	w.user(node, job.Spec.ID, func(req uint64) core.Event { return core.JobCancellation{RequestID: req, ID: job.Spec.ID} }, func(status int) {
		if status != 200 {
			w.After(time.Second, func() { w.CancelAt(node, job, told) })
		} else if told != nil {
			told()
		}
	})
}
