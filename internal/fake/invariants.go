package fake

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

const (
	// checkInterval is how often the rules that hold over time are checked.
	checkInterval = 500 * time.Millisecond
	// maxTimeWithoutReply is how long requests about a job may go unanswered once all faults are
	// over. After that the job is reported as forgotten.
	maxTimeWithoutReply = 75 * time.Second
	// maxLargeJobStartDelay is the time from the submission within which the largest jobs of a
	// class must have started.
	maxLargeJobStartDelay = 4 * time.Minute
	// maxStartAfterCancel is how long after a confirmed cancellation a task may still start when
	// there is no fault, because its start command was in flight.
	maxStartAfterCancel = 2 * time.Second
)

// InvariantChecker checks the scheduler's rules while a simulation runs, and records the
// violations. Each violation starts with the simulated time and the name of the rule.
type InvariantChecker struct {
	simulation *Simulation
	runningOn  map[model.TaskID]map[*Worker]bool // the machines on which each task runs
	Violations []string
	Starts     int // task starts
	// StartsAfterCancel counts the task starts after a confirmed cancellation. While there are
	// faults, starts within CancelWithin are no violations; Result reports their number.
	StartsAfterCancel int

	attemptStarts   map[attemptKey]int // how often each attempt has started
	nextWaitCheckAt time.Duration
	// unknownAssignments are the keys of stored assignments that the owners lack, with the time since
	// when.
	unknownAssignments map[string]time.Duration
}

// newInvariantChecker returns a checker and schedules its regular checks.
func newInvariantChecker(sim *Simulation) *InvariantChecker {
	c := &InvariantChecker{
		simulation:    sim,
		runningOn:     map[model.TaskID]map[*Worker]bool{},
		attemptStarts: map[attemptKey]int{},
	}
	sim.After(0, func() {
		sim.repeatEvery(checkInterval, c.checkTimedRules)
		sim.repeatEvery(assignmentCheckInterval, c.checkAssignments)
	})
	return c
}

// recordViolation records a violation of a rule.
func (c *InvariantChecker) recordViolation(rule, format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%v %s: %s", c.simulation.Now, rule, fmt.Sprintf(format, args...)))
}

// taskStarted checks and records the start of a task on a machine. A task must not run on two
// machines at the same time.
func (c *InvariantChecker) taskStarted(id model.TaskID, worker *Worker) {
	c.Starts++
	job := c.simulation.Jobs[id.Job]
	job.TaskStarts++
	job.waitingNeedlesslySince = 0
	if job.StartedAt == 0 {
		job.StartedAt = c.simulation.Now
	}
	if len(c.runningOn[id]) > 0 && !c.runningOn[id][worker] {
		c.recordViolation("ran_twice", "%v starts on %s", id, worker.name)
	}
	if c.runningOn[id] == nil {
		c.runningOn[id] = map[*Worker]bool{}
	}
	c.runningOn[id][worker] = true
	c.checkPlacement(job, id, worker)
	c.checkStartAfterCancel(job, id, worker)
	if c.simulation.hasTeamLimit(job.Spec.Team) {
		c.checkQuota(job, id, worker)
	}
}

// taskStopped records that a task no longer runs on a machine.
func (c *InvariantChecker) taskStopped(id model.TaskID, worker *Worker) {
	delete(c.runningOn[id], worker)
	if len(c.runningOn[id]) == 0 {
		delete(c.runningOn, id)
	}
}

// checkPlacement checks that the type, the zone and the kind (spot or on demand) of a started
// task's machine comply with the job's constraints, given where its other tasks run.
func (c *InvariantChecker) checkPlacement(job *Job, id model.TaskID, worker *Worker) {
	s := &job.Spec
	misplaced := !worker.satisfiesConstraints(s)
	if s.OneZone || s.SpreadZones {
		here, elsewhere := c.countTasksByZone(id.Job, worker.zone)
		misplaced = misplaced || s.OneZone && elsewhere > 0 || s.SpreadZones && here > maxTasksInZone(s)
	}
	if misplaced {
		c.recordViolation("wrong_place", "%v starts on %s in %s", id, worker.name, worker.zone)
	}
}

// maxTasksInZone returns how many tasks of a job that is spread over zones may run in one zone:
// half of them, rounded up.
func maxTasksInZone(s *model.JobSpec) int { return (s.Tasks + 1) / 2 }

// countTasksByZone returns how many of a job's tasks run in a zone, and how many elsewhere.
func (c *InvariantChecker) countTasksByZone(job, zone string) (here, elsewhere int) {
	for task, workers := range c.runningOn {
		if task.Job != job {
			continue
		}
		for worker := range workers {
			if worker.zone == zone {
				here++
			} else {
				elsewhere++
			}
		}
	}
	return here, elsewhere
}

// checkStartAfterCancel checks that no task starts later than CancelWithin after its job's user
// received the confirmation of the cancellation. The bound is maxStartAfterCancel if all faults ended
// more than maxStartAfterCancel before the confirmation.
func (c *InvariantChecker) checkStartAfterCancel(job *Job, id model.TaskID, worker *Worker) {
	now := c.simulation.Now
	if job.CancelConfirmedAt > 0 && now > job.CancelConfirmedAt+c.simulation.Cfg.CancelWithin {
		c.recordViolation("ran_cancelled", "%v starts on %s", id, worker.name)
	}
	if job.CancelConfirmedAt == 0 || now == job.CancelConfirmedAt {
		return
	}
	c.StartsAfterCancel++
	withoutFaults := c.simulation.FaultsEndAt+maxStartAfterCancel < job.CancelConfirmedAt
	if withoutFaults && now > job.CancelConfirmedAt+maxStartAfterCancel {
		c.recordViolation("started_cancelled", "%v starts on %s %v after its cancellation was confirmed",
			id, worker.name, now-job.CancelConfirmedAt)
	}
}

// checkQuota checks that a started task does not take its team over the limit. It logs the team's
// tasks if it does.
func (c *InvariantChecker) checkQuota(job *Job, id model.TaskID, worker *Worker) {
	team := job.Spec.Team
	var used model.Resources
	for task, workers := range c.runningOn {
		if other := c.simulation.Jobs[task.Job]; other.Spec.Team == team {
			for range workers {
				used = addResources(used, other.Spec.TaskResources)
			}
		}
	}
	if c.simulation.isWithinTeamLimit(team, used) {
		return
	}
	c.recordViolation("quota", "%s uses %v with %v on %s", team, used, id, worker.name)
	for task, workers := range c.runningOn {
		other := c.simulation.Jobs[task.Job]
		if other.Spec.Team != team {
			continue
		}
		for otherWorker := range workers {
			c.simulation.Log("counted against the quota: %v on %s in %s needs %v",
				task, otherWorker.name, otherWorker.zone, other.Spec.TaskResources)
		}
	}
}

// teamLimit returns a team's limit, or no limit if the configuration does not name the team.
func (sim *Simulation) teamLimit(team string) model.Resources {
	i := slices.IndexFunc(sim.Cfg.Teams, func(t core.Team) bool { return t.Name == team })
	if i < 0 {
		return model.Resources{}
	}
	return sim.Cfg.Teams[i].Limit
}

// hasTeamLimit reports whether a team's use of any resource is limited.
func (sim *Simulation) hasTeamLimit(team string) bool {
	limit := sim.teamLimit(team)
	return limit.Cores > 0 || limit.GPUs > 0
}

// isWithinTeamLimit reports whether a team may use the given resources. A limit of 0 means that the
// resource is not limited.
func (sim *Simulation) isWithinTeamLimit(team string, used model.Resources) bool {
	limit := sim.teamLimit(team)
	return (limit.Cores == 0 || used.Cores <= limit.Cores+resourceTolerance) &&
		(limit.GPUs == 0 || used.GPUs <= limit.GPUs+resourceTolerance)
}

// checkTimedRules checks the rules that can be violated without any event: that work does not wait
// needlessly, that users get replies, and that the tasks of cancelled jobs are stopped within
// CancelWithin.
func (c *InvariantChecker) checkTimedRules() {
	c.checkWaiting()
	for _, id := range sortedKeys(c.simulation.Jobs) {
		job := c.simulation.Jobs[id]
		if job.Accepted && !job.ReportedFinal() &&
			c.simulation.Now > max(c.simulation.FaultsEndAt, job.LastReplyAt)+maxTimeWithoutReply {
			c.recordViolation("forgotten", "no request about %s is answered", id)
			job.LastReplyAt = c.simulation.Now
		}
	}
	for id := range c.runningOn {
		job := c.simulation.Jobs[id.Job]
		if job.CancelConfirmedAt > 0 && c.simulation.Now > job.CancelConfirmedAt+c.simulation.Cfg.CancelWithin {
			c.recordViolation("ran_cancelled", "%v is still on a machine", id)
			job.CancelConfirmedAt = 0
		}
	}
}

// replySnapshot is what a job's user had received in replies when a request was sent. The reply to
// the request must not contradict it.
type replySnapshot struct {
	accepted bool
	state    model.JobState
}

// lastReply returns what the user of a job has received in replies so far.
func (c *InvariantChecker) lastReply(id string) replySnapshot {
	if job := c.simulation.Jobs[id]; job != nil {
		return replySnapshot{job.Accepted, job.ReportedState}
	}
	return replySnapshot{}
}

// checkReply checks a reply to a user about a job and records the state that it reports. before is
// the snapshot from when the request was sent.
func (c *InvariantChecker) checkReply(id string, status int, state model.JobState, before replySnapshot) {
	job := c.simulation.Jobs[id]
	if job == nil {
		if status == http.StatusOK {
			c.recordViolation("invented", "%s was never submitted and is answered 200", id)
		}
		return
	}
	switch status {
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		c.checkRefusal(job, status, before)
	case http.StatusOK, http.StatusCreated:
		c.checkAcceptedReply(job, status, state, before)
		c.recordReply(job, state, before)
	}
}

// checkRefusal checks a reply that a job is unknown or can't be accepted.
func (c *InvariantChecker) checkRefusal(job *Job, status int, before replySnapshot) {
	if before.accepted {
		c.recordViolation("forgotten", "%s is answered %d", job.Spec.ID, status)
	}
	if status != http.StatusNotFound && !job.MustBeRefused && c.simulation.isRunnable(&job.Spec) {
		c.recordViolation("refused", "%s, which can run, is answered %d", job.Spec.ID, status)
	}
}

// checkAcceptedReply checks a reply that contains a job's state.
func (c *InvariantChecker) checkAcceptedReply(job *Job, status int, state model.JobState, before replySnapshot) {
	id := job.Spec.ID
	if job.MustBeRefused || !c.simulation.isRunnable(&job.Spec) {
		c.recordViolation("bad_accepted", "%s is answered %d", id, status)
	}
	if status == http.StatusCreated && before.accepted {
		c.recordViolation("went_back", "%s was accepted before and is answered as newly accepted", id)
	}
	if isFinal(before.state) && state != before.state || state == model.JobCancelled && !job.CancelRequested {
		c.recordViolation("went_back", "%s was reported in state %d and is now in state %d", id, job.ReportedState, state)
	}
	if state == model.JobDone && len(job.CompletedTasks) < job.Spec.Tasks {
		c.recordViolation("not_done", "%s has %d of %d tasks done", id, len(job.CompletedTasks), job.Spec.Tasks)
	}
}

// recordReply records the state that a user received for a job. A reply to a request that was sent
// before the user received a final state does not replace that state.
func (c *InvariantChecker) recordReply(job *Job, state model.JobState, before replySnapshot) {
	job.Accepted, job.LastReplyAt = true, c.simulation.Now
	if state == model.JobCancelled && job.CancelConfirmedAt == 0 && job.ReportedState != model.JobCancelled {
		job.CancelConfirmedAt = c.simulation.Now
	}
	if state == model.JobDone && job.DoneReportedAt == 0 {
		job.DoneReportedAt = c.simulation.Now
	}
	if !isFinal(before.state) && (isFinal(state) || !job.ReportedFinal()) {
		job.ReportedState = state
	}
}

// isRunnable reports whether a job can ever run. The invariant checker computes it independently of
// the core, which refuses jobs that can't.
func (sim *Simulation) isRunnable(s *model.JobSpec) bool {
	i := slices.IndexFunc(sim.Cfg.Teams, func(t core.Team) bool { return t.Name == s.Team })
	if i < 0 {
		return false
	}
	zones := sim.eligibleZones(s)
	if s.SpreadZones && s.Tasks > 1 && (s.OneZone || len(zones) < 2) {
		return false
	}
	simultaneousTasks := 1.0 // number of tasks that must run at the same time
	if s.Service || s.Gang {
		simultaneousTasks = float64(s.Tasks)
	}
	limit := sim.Cfg.Teams[i].Limit
	exceedsLimit := limit.Cores > 0 && simultaneousTasks*s.TaskResources.Cores > limit.Cores ||
		limit.GPUs > 0 && simultaneousTasks*s.TaskResources.GPUs > limit.GPUs
	return !exceedsLimit && len(zones) > 0
}

// eligibleZones returns the zones that have a machine type for a job's tasks.
func (sim *Simulation) eligibleZones(s *model.JobSpec) map[string]bool {
	zones := map[string]bool{}
	for _, t := range sim.Cloud.MachineTypes {
		fits := s.TaskResources.Cores <= t.Capacity.Cores &&
			s.TaskResources.GPUs <= t.Capacity.GPUs &&
			s.TaskResources.MemoryGB <= t.Capacity.MemoryGB
		if !fits || len(s.Types) > 0 && !slices.Contains(s.Types, t.Name) {
			continue
		}
		for _, zone := range t.Zones {
			if s.Zone == "" || s.Zone == zone {
				zones[zone] = true
			}
		}
	}
	return zones
}

// CheckStarvation checks at the end of a run that no class, no team and none of the largest jobs of
// a class starved. The largest jobs are the quarter of the class's jobs, rounded up, that have the
// most tasks.
func (c *InvariantChecker) CheckStarvation() {
	groups := map[string][]*Job{}
	byClass := map[string][]*Job{}
	for _, id := range sortedKeys(c.simulation.Jobs) {
		job := c.simulation.Jobs[id]
		if !job.Accepted || job.CancelRequested || job.Spec.Service {
			continue
		}
		groups["class "+job.Spec.Class] = append(groups["class "+job.Spec.Class], job)
		groups["team "+job.Spec.Team] = append(groups["team "+job.Spec.Team], job)
		byClass[job.Spec.Class] = append(byClass[job.Spec.Class], job)
	}
	for class, jobs := range byClass {
		sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].Spec.Tasks > jobs[b].Spec.Tasks })
		largest := jobs[:(len(jobs)+3)/4]
		groups["largest of class "+class] = largest
		c.checkStartDelays(class, largest)
	}
	c.checkDoneShare(groups)
}

// checkStartDelays checks that the largest jobs of a class started within maxLargeJobStartDelay.
func (c *InvariantChecker) checkStartDelays(class string, largest []*Job) {
	for _, job := range largest {
		latest := job.SubmittedAt + maxLargeJobStartDelay
		if job.StartedAt == 0 && c.simulation.Now > latest || job.StartedAt > latest {
			c.recordViolation("starved", "%s, one of the largest of %s, started after %v",
				job.Spec.ID, class, job.StartedAt-job.SubmittedAt)
		}
	}
}

// checkDoneShare checks that at least half of the jobs of each group were reported done.
func (c *InvariantChecker) checkDoneShare(groups map[string][]*Job) {
	var names []string
	for name := range groups {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		done := 0
		for _, job := range groups[name] {
			if job.ReportedState == model.JobDone {
				done++
			}
		}
		if 2*done < len(groups[name]) {
			c.recordViolation("starved", "%s: %d of %d jobs done", name, done, len(groups[name]))
		}
	}
}
