package fake

import (
	"slices"
	"sort"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

const (
	// waitCheckInterval is how often the invariant checker looks for work that waits needlessly.
	waitCheckInterval = time.Second
	// maxNeedlessWait is how long work may wait once all faults are over while a machine that
	// satisfies its constraints has free capacity and its team is below its limit.
	maxNeedlessWait = 90 * time.Second
	// maxReplicaShortage is how long a service may lack replicas once all faults are over, if
	// machines for them can be rented.
	maxReplicaShortage = 3 * time.Minute
	// slowMachineFactor is the RunTimeFactor from which on a machine is slow. The checker does not
	// expect that tasks are placed on slow machines.
	slowMachineFactor = 1.5
)

// satisfiesConstraints reports whether one of a job's tasks may run on the machine, regardless of
// other tasks: zone, type and kind are allowed, and the whole machine is large enough.
func (w *Worker) satisfiesConstraints(s *model.JobSpec) bool {
	return (s.Zone == "" || s.Zone == w.zone) &&
		(s.Spot || !w.spot) &&
		(len(s.Types) == 0 || slices.Contains(s.Types, w.typeName)) &&
		fitsWithin(s.TaskResources, w.machineType().Capacity)
}

// canTakeTasks reports whether the machine can take tasks: it runs, it has received a controller's
// fencing token, it has no spot notice, and it is neither faulty nor slow.
func (w *Worker) canTakeTasks() bool {
	running := w.processStarted && !w.terminated && w.simulation.Now >= w.pausedUntil
	return running && w.fencingToken > 0 && w.reclaimAt == 0 && !w.FailsEveryTask && w.RunTimeFactor < slowMachineFactor
}

// placements holds the tasks on all machines that have not exited, by job, and the resources that
// they use, by team.
type placements struct {
	machinesByJob map[string][]*Worker // one machine for each task
	usedByTeam    map[string]model.Resources
}

// placements returns the present placements.
func (sim *Simulation) placements() placements {
	p := placements{map[string][]*Worker{}, map[string]model.Resources{}}
	names := make([]string, 0, len(sim.Workers))
	for name := range sim.Workers {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		worker := sim.Workers[name]
		for id, t := range worker.attempts {
			if job := sim.Jobs[id.Job]; job != nil && t.state != core.TaskExited {
				p.machinesByJob[id.Job] = append(p.machinesByJob[id.Job], worker)
				p.usedByTeam[job.Spec.Team] = addResources(p.usedByTeam[job.Spec.Team], job.Spec.TaskResources)
			}
		}
	}
	return p
}

// checkWaiting checks, once all faults are over, that no work waits while a machine that satisfies
// its constraints has free capacity, and that no service lacks replicas that could run on rented
// machines.
func (c *InvariantChecker) checkWaiting() {
	sim := c.simulation
	if sim.Now < c.nextWaitCheckAt {
		return
	}
	c.nextWaitCheckAt = sim.Now + waitCheckInterval
	withoutFaults := sim.Now > sim.FaultsEndAt
	var placed placements
	if withoutFaults {
		placed = sim.placements()
	}
	for _, id := range sortedKeys(sim.Jobs) {
		job := sim.Jobs[id]
		machines := placed.machinesByJob[id]
		missing := job.Spec.Tasks - len(job.CompletedTasks) - len(machines)
		if !withoutFaults || !job.shouldRun() || missing <= 0 {
			job.waitingNeedlesslySince, job.missingReplicasSince = 0, 0
			continue
		}
		used := placed.usedByTeam[job.Spec.Team]
		c.checkDuration(job, &job.waitingNeedlesslySince, sim.hasFreeCapacity(job, machines, used), maxNeedlessWait,
			"left_waiting",
			"%s waits with %d tasks although a suitable machine has free capacity", id, missing)
		c.checkDuration(job, &job.missingReplicasSince, job.Spec.Service && sim.canRentMachine(job, machines, used),
			maxReplicaShortage, "replicas_missing", "%s lacks %d replicas", id, missing)
	}
}

// shouldRun reports whether users may expect the job's tasks to run: the job has been accepted, is
// unfinished and not cancelled, and its tasks do not always fail.
func (j *Job) shouldRun() bool {
	return j.Accepted && !j.ReportedFinal() && !j.CancelRequested && !j.FailsEveryTask
}

// checkDuration checks that a condition of a job does not hold for longer than a limit. It keeps
// the time since which the condition holds in since; 0 means that it does not hold.
func (c *InvariantChecker) checkDuration(
	job *Job, since *time.Duration, holds bool, limit time.Duration, rule, format string, args ...any,
) {
	switch {
	case !holds:
		*since = 0
	case *since == 0:
		*since = c.simulation.Now
	case c.simulation.Now > *since+limit:
		c.recordViolation(rule, format, args...)
		*since = c.simulation.Now
		c.simulation.logExplanation(job)
	}
}

// logExplanation logs a job's spec, how the controllers explain the job's state, and the machines
// that could run its tasks.
func (sim *Simulation) logExplanation(job *Job) {
	sim.Log("spec of %s: %+v", job.Spec.ID, job.Spec)
	for _, node := range sim.Nodes {
		if e, ok := node.Core.Explain(job.Spec.ID); ok && node.isRunning {
			sim.Log("%s as explained by %s: %+v", job.Spec.ID, node.Name, e)
		}
	}
	for _, worker := range sim.AliveWorkers() {
		if worker.canTakeTasks() && worker.satisfiesConstraints(&job.Spec) {
			sim.Log("suitable machine %s of type %s in %s uses %v", worker.name, worker.typeName, worker.zone, worker.usedResources(nil))
		}
	}
}

// hasFreeCapacity reports whether the running machines of one zone have free capacity for one more
// of a job's tasks, or for all of them if the job is a gang, and the team's limit allows the tasks.
// machines are those of the job's running tasks, used is what the team uses already.
func (sim *Simulation) hasFreeCapacity(job *Job, machines []*Worker, used model.Resources) bool {
	s, n := &job.Spec, 1
	if s.Gang {
		n = s.Tasks
	}
	more := used
	for range n {
		more = addResources(more, s.TaskResources)
	}
	if !sim.isWithinTeamLimit(s.Team, more) || s.Gang && len(machines) > 0 {
		return false
	}
	freeSlots := map[string]int{}
	for _, worker := range sim.Workers {
		if worker.canTakeTasks() && worker.satisfiesConstraints(s) && zoneAllows(s, machines, worker.zone) {
			freeSlots[worker.zone] += worker.freeTaskSlots(s.TaskResources, n)
		}
	}
	for _, tasks := range freeSlots {
		if tasks >= n {
			return true
		}
	}
	return false
}

// freeTaskSlots returns for how many more tasks the machine has free capacity, at most n.
func (w *Worker) freeTaskSlots(need model.Resources, n int) int {
	sum := model.Resources{}
	for i := range n {
		sum = addResources(sum, need)
		if !w.hasFreeCapacity(sum, nil) {
			return i
		}
	}
	return n
}

// zoneAllows reports whether one more task of a job may run in a zone, given the machines of its
// other tasks.
func zoneAllows(s *model.JobSpec, machines []*Worker, zone string) bool {
	same := 0
	for _, worker := range machines {
		if worker.zone == zone {
			same++
		}
	}
	return (!s.OneZone || same == len(machines)) && (!s.SpreadZones || same < maxTasksInZone(s))
}

// canRentMachine reports whether the cloud has a machine for one more of a job's tasks, and the
// team's limit allows the task. machines and used are as in hasFreeCapacity.
func (sim *Simulation) canRentMachine(job *Job, machines []*Worker, used model.Resources) bool {
	s := &job.Spec
	if !sim.isWithinTeamLimit(s.Team, addResources(used, s.TaskResources)) {
		return false
	}
	for _, t := range sim.Cloud.MachineTypes {
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				worker := &Worker{simulation: sim, typeName: t.Name, zone: zone, spot: spot}
				available := sim.Cloud.AvailableMachines[machineKindKey(t.Name, zone, spot)] > 0
				if available && worker.satisfiesConstraints(s) && zoneAllows(s, machines, zone) {
					return true
				}
			}
		}
	}
	return false
}
