package fake

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/model"
)

// requireLastViolation requires that the last violation recorded is one of the given rule, and
// clears the list.
func requireLastViolation(t *testing.T, sim *Simulation, rule string) {
	t.Helper()
	require.NotEmpty(t, sim.Checker.Violations, rule)
	assert.Contains(t, sim.Checker.Violations[len(sim.Checker.Violations)-1], rule)
	sim.Checker.Violations = nil
}

func TestInvariantCheckerReportsEachViolation(t *testing.T) {
	sim := New(1, DefaultConfig())
	sim.Now = time.Second
	s := newJobSpec("job-1", "blue", 9, 2)
	s.Zone = "a"
	job := &Job{Spec: s, CompletedTasks: map[int]bool{}, Accepted: true}
	sim.Jobs["job-1"] = job
	inZone, alsoInZone := newWorker(sim, "vm-1", "large", "a", false), newWorker(sim, "vm-2", "large", "a", false)
	otherZone := newWorker(sim, "vm-3", "large", "b", false)
	task := func(i int) model.TaskID { return model.TaskID{Job: "job-1", Index: i} }

	sim.Checker.taskStarted(task(0), inZone)
	require.Empty(t, sim.Checker.Violations)
	sim.Checker.taskStarted(task(0), alsoInZone)
	requireLastViolation(t, sim, "ran_twice")
	sim.Checker.taskStopped(task(0), alsoInZone)
	sim.Checker.taskStarted(task(1), otherZone)
	requireLastViolation(t, sim, "wrong_place")
	sim.Checker.taskStopped(task(1), otherZone)
	for i := 2; i < 8; i++ {
		sim.Checker.taskStarted(task(i), inZone)
	}
	require.Empty(t, sim.Checker.Violations)
	sim.Checker.taskStarted(task(8), inZone)
	sim.Checker.taskStarted(task(1), inZone)
	requireLastViolation(t, sim, "quota")

	sim.Checker.checkReply("job-1", 200, model.JobDone, sim.Checker.lastReply("job-1"))
	requireLastViolation(t, sim, "not_done")
	sim.Checker.checkReply("job-1", 200, model.JobPending, sim.Checker.lastReply("job-1"))
	requireLastViolation(t, sim, "went_back")
	sim.Checker.checkReply("job-1", 404, 0, sim.Checker.lastReply("job-1"))
	requireLastViolation(t, sim, "forgotten")
	sim.Checker.checkReply("job-7", 200, model.JobPending, sim.Checker.lastReply("job-7"))
	requireLastViolation(t, sim, "invented")

	job.ReportedState, job.CancelRequested = model.JobPending, true
	sim.Checker.checkReply("job-1", 200, model.JobCancelled, sim.Checker.lastReply("job-1"))
	require.Empty(t, sim.Checker.Violations)
	sim.Now += sim.Cfg.CancelWithin + time.Second
	sim.Checker.checkTimedRules()
	requireLastViolation(t, sim, "ran_cancelled")
}

func TestInvariantCheckerReportsForgottenAndStarvedJobs(t *testing.T) {
	sim := New(1, DefaultConfig())
	sim.Now = time.Second
	add := func(id, team string, tasks int, reported model.JobState, started time.Duration) *Job {
		job := &Job{Spec: newJobSpec(id, team, tasks, 1), CompletedTasks: map[int]bool{}, Accepted: true,
			LastReplyAt: sim.Now, ReportedState: reported, StartedAt: started}
		sim.Jobs[id] = job
		return job
	}
	violations := func() string { return strings.Join(sim.Checker.Violations, "; ") }
	unanswered := add("job-1", "red", 1, model.JobPending, time.Second)
	sim.FaultsEndAt = 100 * time.Second
	sim.Now = 100*time.Second + maxTimeWithoutReply
	sim.Checker.checkTimedRules()
	require.Empty(t, sim.Checker.Violations, "the bound counts from the end of all faults")
	sim.Now += time.Second
	sim.Checker.checkTimedRules()
	assert.Contains(t, violations(), "forgotten: no request about job-1")
	sim.Checker.Violations = nil

	unanswered.ReportedState = model.JobDone
	add("job-2", "blue", 2, model.JobDone, time.Second)
	add("job-3", "red", 1, model.JobDone, time.Second)
	sim.Checker.CheckStarvation()
	require.Empty(t, sim.Checker.Violations)
	large := add("job-4", "red", 50, model.JobDone, maxLargeJobStartDelay+time.Minute)
	sim.Checker.CheckStarvation()
	assert.Contains(t, violations(), "job-4, one of the largest of work, started after")
	sim.Checker.Violations = nil
	large.ReportedState, large.StartedAt = model.JobPending, time.Second
	sim.Checker.CheckStarvation()
	assert.Contains(t, violations(), "largest of class work: 0 of 1")
	sim.Checker.Violations = nil
	for _, id := range []string{"job-5", "job-6"} {
		add(id, "blue", 1, model.JobPending, time.Second)
	}
	sim.Checker.CheckStarvation()
	assert.Contains(t, violations(), "team blue: 1 of 3")
}

// checkerFixture is a simulation without controllers, with one large machine that has booted. Its
// clock advances only when a test advances it.
type checkerFixture struct {
	simulation *Simulation
	worker     *Worker
}

func newCheckerFixture() *checkerFixture {
	sim := New(1, DefaultConfig())
	sim.Nodes = nil
	sim.Cloud.AvailableMachines = map[string]int{}
	sim.Now = time.Second
	worker := newWorker(sim, "vm-1", "large", "a", false)
	worker.processStarted, worker.fencingToken = true, 1
	sim.Workers[worker.name] = worker
	return &checkerFixture{sim, worker}
}

// add adds an accepted job of team red whose tasks need four cores.
func (f *checkerFixture) add(id string, tasks int, change func(*model.JobSpec)) *Job {
	s := newJobSpec(id, "red", tasks, 4)
	if change != nil {
		change(&s)
	}
	job := &Job{Spec: s, Accepted: true, CompletedTasks: map[int]bool{}}
	f.simulation.Jobs[id] = job
	return job
}

// violationsWithin advances the clock by d in steps of a second, during which queries about all
// jobs are answered, and returns the violations recorded in that time.
func (f *checkerFixture) violationsWithin(d time.Duration) []string {
	sim := f.simulation
	for end := sim.Now + d; sim.Now < end; sim.Now += time.Second {
		for _, job := range sim.Jobs {
			job.LastReplyAt = sim.Now
		}
		sim.Checker.checkTimedRules()
	}
	violations := sim.Checker.Violations
	sim.Checker.Violations = nil
	return violations
}

// TestInvariantCheckerReportsNeedlessWaitsAndLateStarts runs its checks in order in one simulation,
// each from the state that the previous one left.
func TestInvariantCheckerReportsNeedlessWaitsAndLateStarts(t *testing.T) {
	f := newCheckerFixture()
	checkNeedlessWaitIsReported(t, f)
	checkNeedlessWaitCountsFromFaultsEnd(t, f)
	checkMissingReplicasAreReported(t, f)
	checkStartsAfterCancelAreReported(t, f)
	checkGPUViolationsAreReported(t, f)
}

// checkNeedlessWaitIsReported lets one job after another wait for longer than maxNeedlessWait. Only
// those must be reported for which the machine has free capacity and the team's limit allows the
// tasks.
func checkNeedlessWaitIsReported(t *testing.T, f *checkerFixture) {
	t.Helper()
	sim := f.simulation
	for _, test := range []struct {
		name     string
		change   func(*model.JobSpec)
		prepare  func(*Job)
		reported bool
	}{
		{"free capacity", nil, nil, true},
		{"machine in another zone", func(s *model.JobSpec) { s.Zone = "b" }, nil, false},
		{"machine without GPUs", func(s *model.JobSpec) { s.TaskResources.GPUs = 1 }, nil, false},
		{"a gang too large", func(s *model.JobSpec) { s.Gang, s.Tasks = true, 5 }, nil, false},
		{"a gang that fits", func(s *model.JobSpec) { s.Gang, s.Tasks = true, 4 }, nil, true},
		{"cancelled", nil, func(job *Job) { job.CancelRequested = true }, false},
		{"over the team's limit", func(s *model.JobSpec) { s.TaskResources.Cores, s.Team = 16, "blue" },
			func(*Job) { sim.Cfg.Teams[1].Limit.Cores = 15 }, false},
		{"GPUs over the team's limit", nil, func(job *Job) {
			sim.Cloud.MachineTypes[1].Capacity.GPUs, job.Spec.TaskResources.GPUs, sim.Cfg.Teams[0].Limit.GPUs = 4, 2, 1
		}, false},
		{"GPUs within the team's limit", func(s *model.JobSpec) { s.TaskResources.GPUs = 1 }, nil, true},
		{"spot machine with a spot notice", nil, func(*Job) { f.worker.reclaimAt = time.Hour }, false},
	} {
		job := f.add("job-1", 1, test.change)
		if test.prepare != nil {
			test.prepare(job)
		}
		assert.Empty(t, f.violationsWithin(maxNeedlessWait), test.name)
		if violations := f.violationsWithin(3 * time.Second); test.reported {
			require.Len(t, violations, 1, test.name)
			assert.Contains(t, violations[0], "left_waiting", test.name)
		} else {
			assert.Empty(t, violations, test.name)
		}
	}
}

// checkNeedlessWaitCountsFromFaultsEnd expects maxNeedlessWait to count from the end of all faults.
func checkNeedlessWaitCountsFromFaultsEnd(t *testing.T, f *checkerFixture) {
	t.Helper()
	f.worker.reclaimAt = 0
	f.simulation.FaultsEndAt = f.simulation.Now + time.Minute
	f.add("job-1", 1, nil)
	assert.Empty(t, f.violationsWithin(time.Minute+maxNeedlessWait), "during the faults and for maxNeedlessWait after them")
	assert.NotEmpty(t, f.violationsWithin(4*time.Second))
}

// checkMissingReplicasAreReported expects a report about a service that has no replicas although a
// machine for them can be rented.
func checkMissingReplicasAreReported(t *testing.T, f *checkerFixture) {
	t.Helper()
	sim := f.simulation
	delete(sim.Jobs, "job-1")
	f.worker.terminated = true
	sim.Cloud.AvailableMachines[machineKindKey("small", "b", true)] = 1
	f.add("job-2", 2, func(s *model.JobSpec) { s.Service = true })
	assert.Empty(t, f.violationsWithin(maxReplicaShortage))
	violations := f.violationsWithin(3 * time.Second)
	require.Len(t, violations, 1)
	assert.Contains(t, violations[0], "replicas_missing: job-2 lacks 2")
}

// checkStartsAfterCancelAreReported expects a start later than maxStartAfterCancel after the
// confirmed cancellation to be reported if there are no faults, and only to be counted during them.
func checkStartsAfterCancelAreReported(t *testing.T, f *checkerFixture) {
	t.Helper()
	sim := f.simulation
	f.worker.terminated = false
	job := f.add("job-3", 9, nil)
	task := func(i int) model.TaskID { return model.TaskID{Job: "job-3", Index: i} }
	job.CancelConfirmedAt = sim.Now
	sim.Now += maxStartAfterCancel
	sim.Checker.taskStarted(task(0), f.worker)
	require.Empty(t, sim.Checker.Violations, "a start command that was in flight")
	sim.Now++
	sim.Checker.taskStarted(task(1), f.worker)
	require.Len(t, sim.Checker.Violations, 1)
	assert.Contains(t, sim.Checker.Violations[0], "started_cancelled")
	assert.Equal(t, 2, sim.Checker.StartsAfterCancel)
	sim.Checker.Violations, job.CancelConfirmedAt, sim.FaultsEndAt = nil, sim.Now, sim.Now
	sim.Now += maxStartAfterCancel + time.Second
	sim.Checker.taskStarted(task(2), f.worker)
	assert.Empty(t, sim.Checker.Violations, "during faults only the bound CancelWithin applies")
}

// checkGPUViolationsAreReported expects reports when a team uses more GPUs than its limit, and when
// a task that needs a GPU runs on a machine without any.
func checkGPUViolationsAreReported(t *testing.T, f *checkerFixture) {
	t.Helper()
	sim := f.simulation
	s := newJobSpec("job-4", "red", 3, 1)
	s.TaskResources.GPUs = 1
	sim.Jobs["job-4"] = &Job{Spec: s, Accepted: true}
	sim.Cfg.Teams[0].Limit.GPUs = 2
	for i := range 2 {
		sim.Checker.taskStarted(model.TaskID{Job: "job-4", Index: i}, f.worker)
	}
	require.Empty(t, sim.Checker.Violations)
	sim.Checker.taskStarted(model.TaskID{Job: "job-4", Index: 2}, f.worker)
	require.Len(t, sim.Checker.Violations, 1)
	assert.Contains(t, sim.Checker.Violations[0], "quota: red uses")
	sim.Checker.Violations = nil
	sim.Cloud.MachineTypes[1].Capacity.GPUs = 0
	sim.Cfg.Teams[0].Limit.GPUs = 0
	sim.Checker.taskStarted(model.TaskID{Job: "job-4", Index: 2}, f.worker)
	require.Len(t, sim.Checker.Violations, 1)
	assert.Contains(t, sim.Checker.Violations[0], "wrong_place", "the machine has no GPUs")
}

func TestInvariantCheckerReportsUnknownAssignments(t *testing.T) {
	for _, ownerIsCut := range []bool{false, true} {
		sim := New(1, DefaultConfig())
		sim.Run(3 * time.Second)
		spec := newJobSpec("job-1", "red", 1, 2)
		spec.Zone = "a"
		job := sim.Submit(spec, time.Hour)
		require.True(t, sim.RunUntil(time.Minute, allAccepted([]*Job{job})))
		// An assignment that no change in the watch has reported.
		sim.State.entries["job/job-2"] = sim.State.entries["job/job-1"]
		sim.State.entries["slice/a/job-2"] = sim.State.entries["slice/a/job-1"]
		if ownerIsCut {
			sim.CutNetwork(sim.OwnerOf("a").Name, stateHost, time.Minute, true)
		}
		sim.Run(maxUnknownAssignment - time.Second)
		require.Empty(t, sim.Checker.Violations)
		sim.Run(2*assignmentCheckInterval + time.Second)
		if ownerIsCut {
			assert.Empty(t, sim.Checker.Violations, "the owner can't read it")
			continue
		}
		requireLastViolation(t, sim, "unknown_assignment")
	}
}

func TestInvariantCheckerReportsAttemptThatStartsAgain(t *testing.T) {
	sim := New(1, DefaultConfig())
	worker := newWorker(sim, "vm-1", "large", "a", false)
	attempt := attemptKey{model.TaskID{Job: "job-1"}, 1}
	sim.Checker.attemptStarted(attempt, worker)
	attempt.number++
	sim.Checker.attemptStarted(attempt, worker)
	require.Empty(t, sim.Checker.Violations)
	sim.Checker.attemptStarted(attempt, worker)
	requireLastViolation(t, sim, "started_again")
}
