package fake

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// lateCopyCase is a combination of what the pages say about copies of launches that were executed
// before.
type lateCopyCase struct {
	back          comeback      // what is back within a second
	change        ownerChange   // how the shard gets its next owner
	outcome       launchOutcome // how the attempt ends
	launchInReply bool          // a reply to a heartbeat launches the attempt, and not the direct call
	when          copyTime      // when the copy of the direct call arrives
}

// String returns the name of the case's test.
func (c lateCopyCase) String() string {
	channel := "direct call"
	if c.launchInReply {
		channel = "reply"
	}
	return fmt.Sprintf("%s/%s/%s/%s/%s", c.back.name, c.change.name, c.outcome.name, channel, c.when)
}

// comeback is what comes back within a second.
type comeback struct {
	name   string
	inject func(sim *Simulation, worker *Worker)
}

const (
	// comebackTime is how long a process or machine is away.
	comebackTime = 900 * time.Millisecond
	// lateCopyDelay is the time from the next owner's token to the last copy.
	lateCopyDelay = 20 * time.Second
)

// comebacks lists what may come back. The pages do not describe a restart of a worker process. They
// say that a worker keeps the highest token it has seen, its session until its lease expires, and its
// tasks until the end of the session or a command to forget them. So a worker process that comes back
// either continues its session or begins the next one.
var comebacks = []comeback{
	{"only the controller", func(*Simulation, *Worker) {}},
	{"machine hangs", func(_ *Simulation, worker *Worker) { worker.Pause(comebackTime) }},
	{"worker process continues its session", func(sim *Simulation, worker *Worker) {
		sim.cutWorkerFromNodes(worker, comebackTime, false)
		worker.heartbeatPending, worker.statusChanged = false, true
	}},
	{"worker process begins the next session", func(sim *Simulation, worker *Worker) {
		worker.leaseRenewedAt = sim.Now - sim.Cfg.WorkerLease - 1
		worker.expireLease()
	}},
}

// ownerChange is how the shard gets its next owner.
type ownerChange struct {
	name   string
	inject func(sim *Simulation, owner *Node) // nil: the owner stays
}

// ownerChanges lists what becomes of the process that sent the launch: it stops, and a new one comes
// back within a second; it lives on while another controller claims the shard; or it stays the owner.
var ownerChanges = []ownerChange{
	{"sender stops", func(_ *Simulation, owner *Node) { owner.Restart(comebackTime) }},
	{"sender lives on", func(sim *Simulation, owner *Node) { sim.State.Refuse(owner.Name, 8*time.Second) }},
	{"sender stays the owner", nil},
}

// launchOutcome is how the first attempt of job-1 ends.
type launchOutcome struct {
	name string
	// change prepares the job and an idle machine of zone a for the outcome.
	change func(job *Job, worker *Worker)
	// reach runs the simulation until the outcome is reached. The worker has received the attempt.
	reach func(t *testing.T, sim *Simulation, job *Job, worker *Worker)
}

// firstAttempt is the first attempt of job-1.
var firstAttempt = attemptKey{model.TaskID{Job: "job-1"}, 1}

// attemptEnds returns a condition that holds once the first attempt of job-1 has exited on the worker.
func attemptEnds(worker *Worker) func() bool {
	return func() bool {
		attempt := worker.attempts[firstAttempt]
		return attempt == nil || attempt.state == core.TaskExited
	}
}

var launchOutcomes = []launchOutcome{
	{
		name:   "completed",
		change: func(job *Job, _ *Worker) { job.RunTime = 3 * time.Second },
		reach: func(t *testing.T, sim *Simulation, job *Job, _ *Worker) {
			requireJobEnds(t, sim, job, 30*time.Second)
		},
	},
	{
		name:   "failed",
		change: func(job *Job, _ *Worker) { job.FailsFirstAttempt = true },
		reach: func(t *testing.T, sim *Simulation, job *Job, _ *Worker) {
			require.True(t, sim.RunUntil(30*time.Second, func() bool { return job.TaskStarts == 2 }))
		},
	},
	{
		name:   "refused",
		change: func(_ *Job, worker *Worker) { worker.refusesUntil = worker.simulation.Now + time.Minute },
		reach: func(t *testing.T, sim *Simulation, job *Job, worker *Worker) {
			for _, other := range startedWorkersIn(sim, "a") {
				if other != worker { // the task starts there
					other.refusesUntil = 0
				}
			}
			require.True(t, sim.RunUntil(30*time.Second, func() bool { return job.TaskStarts == 1 }))
		},
	},
	{
		name:   "moved",
		change: func(_ *Job, worker *Worker) { worker.refusesUntil = worker.simulation.Now + time.Minute },
		reach: func(t *testing.T, sim *Simulation, _ *Job, _ *Worker) {
			isMoved := func() bool {
				runsOn := firstWorkerOf(sim, "job-1")
				return runsOn != nil && runsOn.zone == "b"
			}
			require.True(t, sim.RunUntil(45*time.Second, isMoved))
		},
	},
	{
		name:   "cancelled",
		change: func(*Job, *Worker) {},
		reach: func(t *testing.T, sim *Simulation, job *Job, worker *Worker) {
			sim.RunUntil(5*time.Second, hasRunningTasks(sim, "job-1", 1)) // not if its launch was lost and the job is cancelled first
			sim.Cancel(job)
			requireJobEnds(t, sim, job, 10*time.Second)
			require.True(t, sim.RunUntil(20*time.Second, attemptEnds(worker)))
		},
	},
}

// copyTime is when the copies arrive.
type copyTime string

const (
	copyAtOnce      copyTime = "right after the outcome"
	copyBeforeToken copyTime = "before the next owner's token" // if the owner stays: once the attempt is forgotten
	copyAfterToken  copyTime = "after the next owner's token"  // if the owner stays: also after lateCopyDelay
)

// newMatrixSimulation returns a simulation in which one machine each is idle in the zones a and b. No
// other machine can be rented. The cloud has a second one in zone a if the task is to start again there.
func newMatrixSimulation(t *testing.T, seed uint64, outcome string) *Simulation {
	t.Helper()
	cfg := DefaultConfig()
	cfg.Tuning.ReturnSilentAfter, cfg.Tuning.ReturnIdleAfter = 10*time.Minute, 10*time.Minute
	sim := New(seed, cfg)
	if testing.Verbose() {
		sim.Log = t.Logf
	}
	t.Cleanup(func() { assert.Empty(t, sim.Checker.Violations, "invariant violations") })
	available := sim.Cloud.AvailableMachines
	for kind := range available {
		available[kind] = 0
	}
	sim.Run(3 * time.Second)
	machines := map[string]int{"a": 1, "b": 1}
	if outcome == "failed" || outcome == "refused" {
		machines["a"] = 2
	}
	for _, zone := range []string{"a", "b"} {
		available[machineKindKey("small", zone, true)] = machines[zone]
		spec := smallMachineJobSpec("job-9"+zone, machines[zone])
		spec.Zone = zone
		requireJobEnds(t, sim, sim.Submit(spec, 3*time.Second), time.Minute)
	}
	sim.Run(15 * time.Second) // the shards' tokens are raised, and the workers forget what they ran
	return sim
}

// loseDirectLaunch makes the first direct call with a launch of job-1 get lost, so that a reply to a
// heartbeat launches it.
func loseDirectLaunch(sim *Simulation) {
	lost := false
	sim.PacketDelay = func(_ *Worker, packet any) time.Duration {
		if lost || !launchesTaskOf(packet, "job-1") {
			return 0
		}
		lost = true
		return -1
	}
}

// start submits job-1 and runs the simulation until its first attempt has ended as the case says. It
// returns the job and the machine that received the attempt.
func (c lateCopyCase) start(t *testing.T, sim *Simulation) (*Job, *Worker) {
	t.Helper()
	if c.launchInReply {
		loseDirectLaunch(sim)
	}
	job := &Job{Spec: smallMachineJobSpec("job-1", 1), RunTime: time.Minute}
	for _, idle := range startedWorkersIn(sim, "a") {
		c.outcome.change(job, idle)
	}
	if c.outcome.name == "moved" { // the machine of zone b is busy at first, so the task starts in zone a
		job.Spec.Zone = ""
		busy := smallMachineJobSpec("job-3", 1)
		busy.Zone = "b"
		sim.Submit(busy, 4*time.Second)
		require.True(t, sim.RunUntil(10*time.Second, hasRunningTasks(sim, "job-3", 1)))
	}
	var worker *Worker
	sim.OnStepEvent = func(event StepEvent) {
		if event.Step == LaunchTask && event.Phase == PhaseDuring && event.Job == job && worker == nil {
			worker = event.Worker
		}
	}
	sim.submitJob(job)
	require.True(t, sim.RunUntil(10*time.Second, func() bool { return worker != nil }))
	c.outcome.reach(t, sim, job, worker)
	worker.refusesUntil = 0 // a copy would start the attempt
	return job, worker
}

// run runs the case. The invariant checker reports an attempt that starts a second time, a task that
// runs twice and a cancelled task that runs.
func (c lateCopyCase) run(t *testing.T, seed uint64) {
	sim := newMatrixSimulation(t, seed, c.outcome.name)
	owner := sim.OwnerOf("a")
	job, worker := c.start(t, sim)
	copies := launchesOfFirstAttempt(owner.sentCommands, worker)
	require.Len(t, copies, 1, "the owner has sent the launch in a direct call")
	repeat := func() { sim.executeCommandsAgain(copies, comebackTime/2) }
	if c.when == copyAtOnce {
		repeat()
		sim.Run(comebackTime)
	} else {
		require.True(t, sim.RunUntil(30*time.Second, hasForgotten(sim, "job-1")), "the worker forgets the attempt")
	}
	token := worker.fencingToken
	if c.change.inject != nil {
		c.change.inject(sim, owner)
	}
	c.back.inject(sim, worker)
	if c.when == copyBeforeToken {
		repeat()
	}
	// A machine whose session ended although its heartbeats were answered is returned to the cloud.
	hasNextToken := func() bool { return c.change.inject == nil || worker.fencingToken > token || worker.terminated }
	require.True(t, sim.RunUntil(20*time.Second, hasNextToken), "the worker receives the next owner's token")
	if c.when == copyAfterToken {
		repeat()
	}
	sim.Run(lateCopyDelay)
	if c.when == copyAfterToken { // also once the next owner has had the worker forget its attempts
		repeat()
		sim.Run(5 * time.Second)
	}
	requireJobEnds(t, sim, job, 4*time.Minute)
	sim.Run(sim.Cfg.CancelWithin)
}

// launchesOfFirstAttempt returns the calls to the worker that launch the first attempt of job-1.
func launchesOfFirstAttempt(calls []sentCommands, worker *Worker) (launches []sentCommands) {
	launch := core.Command{Verb: core.VerbLaunch, Task: firstAttempt.TaskID, Attempt: firstAttempt.number}
	for _, call := range calls {
		if call.operation.Address == worker.name && slices.Contains(call.operation.Commands, launch) {
			launches = append(launches, call)
		}
	}
	return launches
}

// A late copy of a launch that was executed before must start nothing (rules ran_twice,
// ran_cancelled).
func TestLateCopyOfLaunchStartsNothing(t *testing.T) {
	const seed = 150
	for _, back := range comebacks {
		for _, change := range ownerChanges {
			for _, outcome := range launchOutcomes {
				for _, launchInReply := range []bool{false, true} {
					for _, when := range []copyTime{copyAtOnce, copyBeforeToken, copyAfterToken} {
						c := lateCopyCase{back, change, outcome, launchInReply, when}
						t.Run(c.String(), func(t *testing.T) {
							t.Parallel()
							c.run(t, seed)
						})
					}
				}
			}
		}
	}
}
