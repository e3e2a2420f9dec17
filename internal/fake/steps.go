package fake

import (
	"strings"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/records"
)

// Step is a step of the protocols between the controllers and the rest of the system. Its value is
// the name in scenario files.
type Step string

// Steps of the protocols.
const (
	AcceptJob      Step = "accept"    // a transaction writes a new job
	PlaceTask      Step = "place"     // a transaction assigns a task to a machine
	LaunchTask     Step = "launch"    // a worker receives the command to start a task
	ReportStatus   Step = "report"    // a worker with tasks sends a heartbeat
	CompleteTask   Step = "end"       // a task completes
	ForgetTask     Step = "clear"     // a worker receives the command to drop the state of an exited task
	CancelJob      Step = "withdraw"  // a transaction writes a cancellation
	IncreaseGrant  Step = "grant"     // a transaction grants a shard more of a team's quota
	ReleaseGrant   Step = "give back" // a transaction releases some of a shard's grant
	MoveTasks      Step = "move"      // a transaction moves waiting tasks to another shard
	ClaimShard     Step = "claim"     // a controller claims a shard
	HandOverShard  Step = "hand over" // an owner releases a shard
	RentMachines   Step = "hire"      // the cloud rents out machines
	ReturnMachines Step = "return"    // machines are returned to the cloud
)

// Steps lists all steps.
var Steps = []Step{
	AcceptJob, PlaceTask, LaunchTask, ReportStatus, CompleteTask, ForgetTask, CancelJob,
	IncreaseGrant, ReleaseGrant, MoveTasks, ClaimShard, HandOverShard, RentMachines, ReturnMachines,
}

// Phase is how far a step has been executed. Its value is the name in scenario files.
type Phase string

// Phases of a step.
const (
	// PhaseBefore is before the request is sent.
	PhaseBefore Phase = "before"
	// PhaseDuring is when the request has been executed and its sender has received no reply yet.
	PhaseDuring Phase = "during"
	// PhaseAfter is when the sender has received the reply.
	PhaseAfter Phase = "after"
)

// Phases lists all phases.
var Phases = []Phase{PhaseBefore, PhaseDuring, PhaseAfter}

// unsentPhaseOffset is the time between the phases of a step without request or reply: how long
// before the step's execution PhaseBefore is emitted if no request is sent, and how long after it
// PhaseAfter is emitted if no reply is received.
const unsentPhaseOffset = 150 * time.Millisecond

// StepEvent is the event that a step has reached a phase. It names the controller, the machine and
// the job that the step concerns. A field is nil if the step concerns no such object or the emitter
// has no reference to it.
type StepEvent struct {
	Step   Step
	Phase  Phase
	Node   *Node
	Worker *Worker
	Job    *Job
}

// emitStepEvent passes an event to OnStepEvent.
func (sim *Simulation) emitStepEvent(event StepEvent) {
	if sim.OnStepEvent != nil {
		sim.OnStepEvent(event)
	}
}

// emitCommandSteps emits the step events of a phase for the launch and forget commands among
// commands.
func (sim *Simulation) emitCommandSteps(phase Phase, node *Node, worker *Worker, commands []core.Command) {
	for _, command := range commands {
		switch command.Verb {
		case core.VerbLaunch:
			sim.emitStepEvent(StepEvent{LaunchTask, phase, node, worker, sim.Jobs[command.Task.Job]})
		case core.VerbForgetExited:
			sim.emitStepEvent(StepEvent{ForgetTask, phase, node, worker, sim.Jobs[command.Task.Job]})
		}
	}
}

// stepsOf returns the steps that a controller's operation executes, given the current content of
// the state service, and the job that the operation concerns, if any.
func (sim *Simulation) stepsOf(op core.Operation) (steps []Step, job *Job) {
	if sim.OnStepEvent == nil {
		return nil, nil
	}
	switch op := op.(type) {
	case core.RentHosts:
		return []Step{RentMachines}, nil
	case core.ReturnHosts:
		return []Step{ReturnMachines}, nil
	case core.CommitTxn:
		return sim.stepsOfTxn(op.Txn)
	}
	return nil, nil
}

// stepsOfTxn is stepsOf for a transaction. It compares the new values with the stored ones.
func (sim *Simulation) stepsOfTxn(t core.Txn) (steps []Step, job *Job) {
	executed := map[Step]bool{}
	for _, m := range t.Mutations {
		key := records.ParseKey(m.Key)
		old, exists := sim.State.entries[m.Key]
		switch key.Kind {
		case records.KindJob:
			job = sim.Jobs[key.Job]
			if !exists {
				executed[AcceptJob] = true
			} else if isCancelledRecord(m.Value) && !isCancelledRecord(old.value) {
				executed[CancelJob] = true
			}
		case records.KindAssignment:
			if job == nil {
				job = sim.Jobs[key.Job]
			}
			if core.CountPlaced(m.Value) > core.CountPlaced(old.value) {
				executed[PlaceTask] = true
			}
		case records.KindQuota:
			more, less := compareGrants(old.value, m.Value)
			executed[IncreaseGrant] = executed[IncreaseGrant] || more
			executed[ReleaseGrant] = executed[ReleaseGrant] || less
		case records.KindShard:
			if m.Value != nil {
				executed[ClaimShard] = true
			} else {
				executed[HandOverShard] = true
			}
		}
	}
	executed[MoveTasks] = !executed[AcceptJob] && job != nil && isMove(t)
	for _, step := range Steps {
		if executed[step] {
			steps = append(steps, step)
		}
	}
	return steps, job
}

// isMove reports whether a transaction moves tasks between shards: it changes a job's record and
// the job's assignments in two shards.
func isMove(t core.Txn) bool {
	assignments := 0
	jobs := map[string]bool{}
	for _, m := range t.Mutations {
		if records.ParseKey(m.Key).Kind == records.KindAssignment {
			assignments++
		}
		jobs[m.Key[strings.LastIndex(m.Key, "/")+1:]] = true
	}
	return len(t.Mutations) == 3 && assignments == 2 && len(jobs) == 1
}

// isCancelledRecord reports whether a job's record has the state "cancelled".
func isCancelledRecord(value []byte) bool {
	return strings.Contains(string(value), `"st":"`+records.StateCancelled+`"`)
}

// compareGrants reports whether a change of a team's grants gives any shard more or less of the
// quota.
func compareGrants(old, now []byte) (more, less bool) {
	before, _ := records.DecodeGrants(old) // empty if the team has no grants yet
	after, _ := records.DecodeGrants(now)
	for zone, grant := range after {
		more = more || grant.Cores > before[zone].Cores || grant.GPUs > before[zone].GPUs
	}
	for zone, grant := range before {
		less = less || after[zone].Cores < grant.Cores || after[zone].GPUs < grant.GPUs
	}
	return more, less
}
