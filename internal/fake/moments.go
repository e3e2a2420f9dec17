package fake

import (
	"encoding/json"
	"strings"
	"time"

	"roadcleat/internal/core"
)

// Step is something that controllers and the outside do with each other.
type Step string

// Steps of the protocols.
const (
	Accept    Step = "accept"    // a job is written
	Place     Step = "place"     // a task gets a machine in the store
	Launch    Step = "launch"    // a worker is told to start a task
	Reports   Step = "report"    // a worker with tasks reports
	End       Step = "end"       // a task completes
	Forget    Step = "clear"     // a worker is told to forget a task that has ended
	CancelJob Step = "withdraw"  // a cancellation is written
	Grant     Step = "grant"     // a part gets more of a team's limit
	GiveBack  Step = "give back" // a part gives some back
	Move      Step = "move"      // waiting tasks change parts
	Claim     Step = "claim"     // a controller takes a part
	HandOver  Step = "hand over" // an owner gives a part up
	Rent      Step = "hire"      // machines are rented
	Return    Step = "return"    // machines are given back
)

// Steps lists them.
var Steps = []Step{Accept, Place, Launch, Reports, End, Forget, CancelJob, Grant, GiveBack, Move, Claim, HandOver, Rent, Return}

// Phase says how far a step has come.
type Phase string

// Phases: before whoever begins it has sent anything; when it was carried out and
// nobody has heard of that; and when they have.
const (
	Before Phase = "before"
	During Phase = "during"
	After  Phase = "after"
)

// Phases lists them.
var Phases = []Phase{Before, During, After}

// Moment is a phase of a step, and who takes part in it, as far as they are known.
type Moment struct {
	Step   Step
	Phase  Phase
	Node   *Node
	Worker *Worker
	Job    *Job
}

// moment tells whoever listens.
func (w *World) moment(m Moment) {
	if w.OnMoment != nil {
		w.OnMoment(m)
	}
}

// stepsOf says what a controller's call does, as the store stands, and to which job.
func (w *World) stepsOf(op core.Operation) (steps []Step, job *Job) {
	if w.OnMoment == nil {
		return nil, nil
	}
	switch op := op.(type) {
	case core.RentHosts:
		return []Step{Rent}, nil
	case core.ReturnHosts:
		return []Step{Return}, nil
	case core.CommitTxn:
		seen := map[Step]bool{}
		slices := 0
		for _, a := range op.Txn.Mutations {
			kind, rest, _ := strings.Cut(a.Key, "/")
			old, known := w.Store.rows[a.Key]
			switch kind {
			case "job":
				job = w.Jobs[rest]
				seen[Accept] = seen[Accept] || !known
				seen[CancelJob] = seen[CancelJob] || known && isCancelledRecord(a.Value) && !isCancelledRecord(old.value)
			case "slice":
				slices++
				if _, id, _ := strings.Cut(rest, "/"); job == nil {
					job = w.Jobs[id]
				}
				seen[Place] = seen[Place] || core.CountPlaced(a.Value) > core.CountPlaced(old.value)
			case "quota":
				more, less := grants(old.value, a.Value)
				seen[Grant], seen[GiveBack] = seen[Grant] || more, seen[GiveBack] || less
			case "part":
				seen[Claim] = seen[Claim] || a.Value != nil
				seen[HandOver] = seen[HandOver] || a.Value == nil
			}
		}
		seen[Move] = slices == 2 && !seen[Accept] && len(op.Txn.Mutations) == 3 && job != nil && movesOf(op.Txn)
		for _, s := range Steps {
			if seen[s] {
				steps = append(steps, s)
			}
		}
	}
	return steps, job
}

// movesOf says whether a transaction's slices are of one job.
func movesOf(t core.Txn) bool {
	jobs := map[string]bool{}
	for _, a := range t.Mutations {
		jobs[a.Key[strings.LastIndex(a.Key, "/")+1:]] = true
	}
	return len(jobs) == 1
}

func isCancelledRecord(value []byte) bool { return strings.Contains(string(value), `"st":"withdrawn"`) }

// grants says whether any part gets more of a team's limit, or less.
func grants(old, now []byte) (more, less bool) {
	type grant struct{ C, G float64 }
	before, after := map[string]grant{}, map[string]grant{}
	_ = json.Unmarshal(old, &before) // none yet
	_ = json.Unmarshal(now, &after)
	for p, g := range after {
		more = more || g.C > before[p].C || g.G > before[p].G
	}
	for p, g := range before {
		less = less || after[p].C < g.C || after[p].G < g.G
	}
	return more, less
}

// commandMoments tells of the launches and clears among commands.
func (w *World) commandMoments(phase Phase, node *Node, worker *Worker, commands []core.Command) {
	for _, o := range commands {
		switch o.Verb {
		case core.VerbLaunch:
			w.moment(Moment{Launch, phase, node, worker, w.Jobs[o.Task.Job]})
		case core.VerbForget:
			w.moment(Moment{Forget, phase, node, worker, w.Jobs[o.Task.Job]})
		}
	}
}

// OwnerOf is the controller that holds a zone's part, or nil.
func (w *World) OwnerOf(zone string) *Node {
	for _, node := range w.Nodes {
		if !node.up {
			continue
		}
		for _, p := range node.Core.Status().Shards {
			if p.Zone == zone && p.OwnedHere {
				return node
			}
		}
	}
	return nil
}

// soon is the little time by which a moment may be foreseen or looked back on.
const soon = 150 * time.Millisecond
