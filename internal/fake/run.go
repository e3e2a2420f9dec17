package fake

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Result is the outcome of running a scenario.
type Result struct {
	Violations []string     // the violations in the order in which they were detected
	Injected   []bool       // by position in Scenario.Faults: whether the fault was injected
	StepsSeen  map[Step]int // how often each step was executed
	Starts     int          // task starts
	// StartsAfterCancel counts the task starts after a confirmed cancellation. They are not
	// violations in themselves: a start command may have been in flight.
	StartsAfterCancel int
	EndedAt           time.Duration // simulated time at the end of the run
}

// FirstRule returns the name of the rule that was violated first, or "" if there is no violation.
func (result Result) FirstRule() string {
	if len(result.Violations) == 0 {
		return ""
	}
	_, rest, _ := strings.Cut(result.Violations[0], " ") // removes the time
	rule, _, _ := strings.Cut(rest, ":")
	return rule
}

// How long a run continues after its last fault.
const (
	baseSettleTimeout = 10 * time.Minute // within which every job that can finish must have finished
	lateEventPeriod   = time.Minute      // for packets and commands that are still in flight
	// replicaCheckMargin is added to the time within which services must have all replicas, so that
	// the invariant checker can report those that have not.
	replicaCheckMargin = 15 * time.Second
)

// settleTimeout returns how long the jobs may take to finish. The timeout is doubled if a team has
// a lower limit than in DefaultConfig, because its jobs then arrive faster than its limit lets them
// run.
func (s Scenario) settleTimeout() time.Duration {
	defaultTeams := DefaultConfig().Teams
	for i, t := range s.Cluster.Teams {
		if i < len(defaultTeams) && t.Limit.Cores < defaultTeams[i].Limit.Cores {
			return 2 * baseSettleTimeout
		}
	}
	return baseSettleTimeout
}

// Run runs the scenario. A panic during the run is reported as a violation. If log is not nil, it
// receives all log events.
func (s Scenario) Run(log func(string, ...any)) Result {
	sim := s.newSimulation()
	if log != nil {
		sim.Log = log
	}
	return s.runIn(sim)
}

// runIn runs the scenario in a simulation that newSimulation made for it.
func (s Scenario) runIn(sim *Simulation) (result Result) {
	result = Result{Injected: make([]bool, len(s.Faults)), StepsSeen: map[Step]int{}}
	defer func() {
		if p := recover(); p != nil {
			result.Violations = append(result.Violations, fmt.Sprintf("%v panic: %v", sim.Now, p))
		}
	}()
	jobs := s.scheduleSubmissions(sim)
	s.scheduleFaults(sim, &result)
	sim.Run(s.lastScheduledTime() + time.Second)
	s.runUntilSettled(sim, jobs)
	for _, j := range jobs {
		if !j.isOver() {
			sim.Checker.recordViolation("not_over", "%s has %d of %d tasks done", j.Spec.ID, len(j.CompletedTasks), j.Spec.Tasks)
			sim.logExplanation(j)
		}
	}
	sim.Run(lateEventPeriod)
	result.Violations = append(result.Violations, sim.Checker.Violations...)
	result.Starts, result.StartsAfterCancel, result.EndedAt = sim.Checker.Starts, sim.Checker.StartsAfterCancel, sim.Now
	return result
}

// runUntilSettled runs the simulation until the faults are over and all jobs have finished.
// Services never finish by themselves, so they get the time to start all their replicas and are
// cancelled then.
func (s Scenario) runUntilSettled(sim *Simulation, jobs []*Job) {
	allEnded := func() bool {
		return !slices.ContainsFunc(jobs, func(j *Job) bool { return !j.isOver() })
	}
	sim.RunUntil(s.settleTimeout(), func() bool {
		return sim.Now > sim.FaultsEndAt && (allEnded() || len(activeServices(jobs)) > 0)
	})
	if !allEnded() {
		sim.Run(maxReplicaShortage + replicaCheckMargin)
	}
	for _, j := range activeServices(jobs) {
		sim.Cancel(j)
	}
	sim.RunUntil(s.settleTimeout(), allEnded)
}

// scheduleSubmissions schedules the submissions and cancellations of the scenario's jobs.
func (s Scenario) scheduleSubmissions(sim *Simulation) []*Job {
	jobs := make([]*Job, len(s.Jobs))
	for i, submitted := range s.Jobs {
		spec := submitted.Spec
		spec.ID = submitted.ID
		jobs[i] = &Job{Spec: spec, RunTime: secondsToDuration(submitted.RunSeconds), FailsEveryTask: submitted.FailsEveryTask, FailsFirstAttempt: submitted.FailsFirstAttempt}
		sim.After(secondsToDuration(submitted.SubmitAtSeconds), func() {
			sim.submitJob(jobs[i])
			if submitted.CancelAfterSeconds > 0 {
				sim.After(secondsToDuration(submitted.CancelAfterSeconds), func() { sim.cancelOnceAccepted(jobs[i]) })
			}
		})
	}
	return jobs
}

// cancelOnceAccepted has the job's user cancel it as soon as its acceptance has been confirmed.
func (sim *Simulation) cancelOnceAccepted(job *Job) {
	switch {
	case job.Accepted && !job.CancelRequested:
		sim.Cancel(job)
	case !job.isOver():
		sim.After(time.Second, func() { sim.cancelOnceAccepted(job) })
	}
}

// activeServices returns the unfinished services that nobody has asked to cancel.
func activeServices(jobs []*Job) (list []*Job) {
	for _, j := range jobs {
		if !j.isOver() && j.Spec.Service && !j.CancelRequested {
			list = append(list, j)
		}
	}
	return list
}

// lastScheduledTime returns when the last scheduled submission, cancellation and fault have happened
// and the background faults have ended.
func (s Scenario) lastScheduledTime() time.Duration {
	last := s.Cluster.NoiseSeconds
	for _, j := range s.Jobs {
		last = max(last, j.SubmitAtSeconds+j.CancelAfterSeconds)
	}
	for _, f := range s.Faults {
		last = max(last, f.AtSeconds)
	}
	return secondsToDuration(last)
}

// scheduleFaults schedules the faults that have a time and injects the others at their step events.
// It records in result which faults were injected and which steps were executed.
func (s Scenario) scheduleFaults(sim *Simulation, result *Result) {
	for i, f := range s.Faults {
		if f.Step == "" {
			sim.After(secondsToDuration(f.AtSeconds), func() {
				result.Injected[i] = true
				f.inject(sim, StepEvent{})
			})
		}
	}
	type stepPhase struct {
		step  Step
		phase Phase
	}
	counts := map[stepPhase]int{}
	sim.OnStepEvent = func(event StepEvent) {
		key := stepPhase{event.Step, event.Phase}
		counts[key]++
		if event.Phase == PhaseDuring {
			result.StepsSeen[event.Step]++
		}
		for i, f := range s.Faults {
			// An injected fault may cause further step events, so the count can change here.
			if !result.Injected[i] && f.Step == event.Step && f.Phase == event.Phase && f.Occurrence == counts[key] {
				result.Injected[i] = true
				f.inject(sim, event)
			}
		}
	}
}

// inject injects the fault, after its delay if it has one.
func (f InjectedFault) inject(sim *Simulation, event StepEvent) {
	target := f.target(sim, event)
	fault, _ := FaultByName(f.FaultName)
	if f.DelaySeconds > 0 {
		sim.extendFaultPeriod(secondsToDuration(f.DelaySeconds))
		sim.After(secondsToDuration(f.DelaySeconds), func() { fault.Inject(sim, target, secondsToDuration(f.DurationSeconds)) })
		return
	}
	fault.Inject(sim, target, secondsToDuration(f.DurationSeconds))
}

// target returns the target that the fault names or, where it names none, that of the step event.
func (f InjectedFault) target(sim *Simulation, event StepEvent) Target {
	target := Target{event.Node, event.Worker, event.Job}
	if target.Node == nil && target.Worker != nil {
		target.Node = sim.OwnerOf(target.Worker.zone)
	}
	if target.Node == nil {
		target.Node = sim.Nodes[0]
	}
	target.Node = f.targetNode(sim, target.Node)
	if alive := sim.AliveWorkers(); f.MachineNumber > 0 && len(alive) > 0 {
		target.Worker = alive[(f.MachineNumber-1)%len(alive)]
	} else if target.Worker == nil {
		target.Worker = sim.busyMachine(target)
	}
	return target
}

// nextNodeName as a fault's NodeName means the controller after that of the step event.
const nextNodeName = "other"

// targetNode returns the controller that the fault names, or defaultNode if it names none.
func (f InjectedFault) targetNode(sim *Simulation, defaultNode *Node) *Node {
	for i, node := range sim.Nodes {
		if node.Name == f.NodeName {
			return node
		}
		if f.NodeName == nextNodeName && node == defaultNode {
			return sim.Nodes[(i+1)%len(sim.Nodes)]
		}
	}
	return defaultNode
}

// busyMachine returns a machine with tasks: one that runs a task of the target's job, else one in a
// zone whose shard the target's controller owns, else any. It returns nil if there is none.
func (sim *Simulation) busyMachine(target Target) *Worker {
	var owned, first *Worker
	for _, worker := range sim.AliveWorkers() {
		if len(worker.attempts) == 0 {
			continue
		}
		for id := range worker.attempts {
			if target.Job != nil && id.Job == target.Job.Spec.ID {
				return worker
			}
		}
		if first == nil {
			first = worker
		}
		if owned == nil && sim.OwnerOf(worker.zone) == target.Node {
			owned = worker
		}
	}
	if owned != nil {
		return owned
	}
	return first
}
