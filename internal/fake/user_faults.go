package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
	"roadcleat/internal/wire"
)

// Users counts the unusual requests of users by their outcome, so that tests can check that there
// were any.
type Users struct {
	AnsweredPolls           int // replies with status 200 to bursts of polls
	CancelledOnAcceptance   int // jobs cancelled as soon as they were accepted
	AnsweredResubmissions   int // repeated submissions of unfinished jobs that were answered 200
	CancellationsOfDoneJobs int // cancellations of done jobs that were answered 200
	UnknownJobQueries       int // queries of jobs that were never submitted, answered 404
	RefusedSubmissions      int // invalid submissions that were refused

	keepConnections         bool          // users keep their connections, see nodeFor
	pollBurstsUntil         time.Duration // end of the period in which users poll in bursts
	cancelOnAcceptanceShare float64       // share of the jobs accepted in that period that users cancel at once
}

const (
	// pollsPerBurst is how many times a user polls all controllers in a burst.
	pollsPerBurst = 4
	// pollBurstInterval is the time between the polls of a burst.
	pollBurstInterval = 4 * time.Millisecond
)

// Time in ms between unusual requests: a minimum, to which a random share of the spread is added.
const (
	minUnusualIntervalMillis    = 50
	unusualIntervalSpreadMillis = 400
)

// Job numbers of unusual requests. They are higher than any that tests and scenarios use.
const (
	firstInvalidJobNumber = 800000
	firstUnknownJobNumber = 900000
	unknownJobCount       = 1000
)

const (
	// cancelSpreadMillis is the time in ms over which CancelRunningJobs spreads its requests.
	cancelSpreadMillis = 200
	// maxPausedMachines is how many machines of the cancelled jobs CancelRunningJobs pauses at most.
	maxPausedMachines = 8
	// oversizedMemoryGB is more memory than any machine has.
	oversizedMemoryGB = 1e6
)

// pollStage is the stage of a job that the replies to its user have reported.
type pollStage int

const (
	stageSubmitted pollStage = iota
	stageAccepted
	stageFinal // done or cancelled
)

// StartPollBursts makes users poll in bursts for a duration of d: right after the reply that a job
// was accepted, done or cancelled, its user queries all controllers and repeats the submission there
// several times within milliseconds. The replies to a burst must not contradict the earlier reply.
// Users cancel a share of the jobs as soon as these are accepted.
func (sim *Simulation) StartPollBursts(d time.Duration, share float64) {
	sim.Users.pollBurstsUntil, sim.Users.cancelOnAcceptanceShare = sim.Now+d, share
}

// pollAtNewStage starts a burst of polls if the job's user has just received the reply that it was
// accepted, done or cancelled.
func (sim *Simulation) pollAtNewStage(job *Job) {
	if sim.Now >= sim.Users.pollBurstsUntil || job.MustBeRefused {
		return
	}
	stage := stageSubmitted
	switch {
	case job.ReportedFinal():
		stage = stageFinal
	case job.Accepted:
		stage = stageAccepted
	}
	if stage <= job.lastPolledStage {
		return
	}
	job.lastPolledStage = stage
	sim.PollAllNodes(job, pollsPerBurst)
	if stage == stageAccepted && sim.Rand.Float64() < sim.Users.cancelOnAcceptanceShare {
		sim.Users.CancelledOnAcceptance++
		sim.Cancel(job)
	}
}

// PollAllNodes has the job's user query all controllers and repeat the submission there, the given
// number of times within milliseconds.
func (sim *Simulation) PollAllNodes(job *Job, times int) {
	count := func(status int) {
		if status == http.StatusOK {
			sim.Users.AnsweredPolls++
		}
	}
	for i := range times {
		sim.After(time.Duration(i)*pollBurstInterval, func() {
			for _, node := range sim.Nodes {
				sim.queryJob(node, job.Spec.ID, count)
				sim.sendSubmissionTo(node, job, count)
			}
		})
	}
}

// sendSubmission has a user send a body to a controller as a job's submission.
func (sim *Simulation) sendSubmission(node *Node, id string, body []byte, onReply func(status int)) {
	sim.sendUserRequest(node, id, func(requestID uint64) core.Event {
		spec, err := wire.DecodeSubmission(body)
		submission := core.JobSubmission{RequestID: requestID, Spec: spec}
		if err != nil {
			submission.MalformedReason = err.Error()
		}
		return submission
	}, onReply)
}

// submissionFields returns a submission's JSON fields under their names in the HTTP API.
func submissionFields(s model.JobSpec) map[string]any {
	form := "array"
	if s.Service {
		form = "daemon"
	}
	return map[string]any{
		"Ref": s.ID, "Docket": s.Class, "Desk": s.Team, "Form": form,
		"Urgency": []string{"production", "high", "normal", "low"}[s.Priority],
		"Sheets":  s.Tasks,
		"Cores":   s.TaskResources.Cores, "Cards": s.TaskResources.GPUs, "MemGb": s.TaskResources.MemoryGB,
		"Build": s.Image, "PullGb": s.ImageGB,
		"OneZone": s.OneZone, "Apart": s.SpreadZones, "Loaners": s.Spot,
		"ExpectedS": s.EstimatedRunSeconds, "BookmarkS": s.CheckpointIntervalSeconds, "StowS": s.SaveSeconds,
	}
}

// requiredFields lists the fields that every submission must have.
var requiredFields = []string{"Docket", "Desk", "Form", "Urgency", "Sheets", "Cores", "Cards", "MemGb", "Build", "PullGb",
	"OneZone", "Apart", "Loaners", "ExpectedS", "BookmarkS", "StowS"}

// submissionWithout returns a submission's body without one field, or with all fields if field is
// empty.
func submissionWithout(s model.JobSpec, field string) []byte {
	f := submissionFields(s)
	delete(f, field)
	body, _ := json.Marshal(f) // can't fail: a submission's numbers are finite
	return body
}

// SendUnusualRequests makes users send unusual requests for a duration of d: they repeat submissions
// of unfinished jobs, complete or with a missing field, cancel jobs that are done, query jobs that
// were never submitted, and submit jobs that fit no machine or lack a field.
func (sim *Simulation) SendUnusualRequests(d time.Duration) {
	sim.sendUnusualRequestsUntil(sim.Now + d)
}

// sendUnusualRequestsUntil sends unusual requests at random intervals until a time.
func (sim *Simulation) sendUnusualRequestsUntil(end time.Duration) {
	if sim.Now >= end {
		return
	}
	sim.sendUnusualRequest()
	pause := time.Duration(minUnusualIntervalMillis+sim.Rand.IntN(unusualIntervalSpreadMillis)) * time.Millisecond
	sim.After(pause, func() { sim.sendUnusualRequestsUntil(end) })
}

// Kinds of unusual requests, in the order in which they are drawn. If there is no job for a drawn
// kind, or the number drawn has no name here, a submission that lacks a field is sent.
const (
	repeatSubmission = iota
	repeatMalformed
	cancelDone
	queryUnknown
	submitTooLarge
	unusualRequestKinds = 6
)

// sendUnusualRequest sends one unusual request of a random kind to a random controller.
func (sim *Simulation) sendUnusualRequest() {
	node := sim.Nodes[sim.Rand.IntN(len(sim.Nodes))]
	field := requiredFields[sim.Rand.IntN(len(requiredFields))]
	unfinished, done := sim.acceptedJobs()
	switch kind := sim.Rand.IntN(unusualRequestKinds); {
	case kind == repeatSubmission && len(unfinished) > 0:
		sim.sendSubmissionTo(node, unfinished[sim.Rand.IntN(len(unfinished))], countStatus(&sim.Users.AnsweredResubmissions, http.StatusOK))
	case kind == repeatMalformed && len(unfinished) > 0:
		job := unfinished[sim.Rand.IntN(len(unfinished))]
		sim.sendSubmission(node, job.Spec.ID, submissionWithout(job.Spec, field), countStatus(&sim.Users.AnsweredResubmissions, http.StatusOK))
	case kind == cancelDone && len(done) > 0:
		job := done[sim.Rand.IntN(len(done))]
		sim.sendCancellation(node, job.Spec.ID, countStatus(&sim.Users.CancellationsOfDoneJobs, http.StatusOK))
	case kind == queryUnknown:
		id := fmt.Sprintf("job-%d", firstUnknownJobNumber+sim.Rand.IntN(unknownJobCount))
		sim.queryJob(node, id, countStatus(&sim.Users.UnknownJobQueries, http.StatusNotFound))
	default:
		sim.submitInvalid(kind == submitTooLarge, field)
	}
}

// acceptedJobs returns the accepted jobs that are unfinished, and those that are done, according to
// the replies that their users received.
func (sim *Simulation) acceptedJobs() (unfinished, done []*Job) {
	for _, id := range sortedKeys(sim.Jobs) {
		switch job := sim.Jobs[id]; {
		case job.ReportedState == model.JobDone:
			done = append(done, job)
		case job.Accepted && !job.ReportedFinal():
			unfinished = append(unfinished, job)
		}
	}
	return unfinished, done
}

// countStatus returns a reply handler that counts the replies with a status.
func countStatus(counter *int, want int) func(status int) {
	return func(status int) {
		if status == want {
			*counter++
		}
	}
}

// submitInvalid has a user submit a job that fits no machine or lacks a field.
func (sim *Simulation) submitInvalid(tooLarge bool, field string) {
	sim.invalidSubmissionCount++
	s := model.JobSpec{
		ID:            fmt.Sprintf("job-%d", firstInvalidJobNumber+sim.invalidSubmissionCount),
		Class:         "odd",
		Team:          sim.Cfg.Teams[0].Name,
		Tasks:         1,
		TaskResources: model.Resources{Cores: 1, MemoryGB: 1},
		Spot:          true,
		Image:         "img",
	}
	if tooLarge {
		s.TaskResources.MemoryGB, field = oversizedMemoryGB, ""
	}
	sim.SubmitInvalid(s, submissionWithout(s, field))
}

// SubmitInvalid has a user submit a job that can't run or lacks a field, and repeat the submission
// until it is refused. The invariant checker reports it if the job is accepted.
func (sim *Simulation) SubmitInvalid(s model.JobSpec, body []byte) *Job {
	job := &Job{Spec: s, MustBeRefused: true}
	sim.addJob(job)
	sim.trySubmitInvalid(job, body)
	return job
}

// trySubmitInvalid submits an invalid job and retries until there is a reply to the submission.
func (sim *Simulation) trySubmitInvalid(job *Job, body []byte) {
	sim.sendSubmission(sim.randomNode(), job.Spec.ID, body, func(status int) {
		switch status {
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			sim.Users.RefusedSubmissions++
			job.Refused = true
		case http.StatusOK, http.StatusCreated: // the invariant checker reports the violation
		default:
			sim.After(userRetryDelay, func() { sim.trySubmitInvalid(job, body) })
		}
	})
}

// CancelRunningJobs has users cancel at most maxJobs running jobs within cancelSpreadMillis, and
// returns these jobs. Up to maxPausedMachines of the jobs' machines are paused for pauseDuration.
func (sim *Simulation) CancelRunningJobs(maxJobs int, pauseDuration time.Duration) (jobs []*Job) {
	machines := map[string]*Worker{}
	for _, id := range sortedKeys(sim.Jobs) {
		job, machinesOfJob := sim.Jobs[id], sim.TasksByWorker(id)
		if len(jobs) == maxJobs || len(machinesOfJob) == 0 || !job.Accepted || job.ReportedFinal() || job.CancelRequested {
			continue
		}
		jobs = append(jobs, job)
		for worker := range machinesOfJob {
			machines[worker.name] = worker
		}
		sim.After(time.Duration(sim.Rand.IntN(cancelSpreadMillis))*time.Millisecond, func() { sim.Cancel(job) })
	}
	for i, name := range sortedKeys(machines) {
		if i < maxPausedMachines && pauseDuration > 0 {
			machines[name].Pause(pauseDuration)
		}
	}
	return jobs
}

// cancelOnLastCompletion makes the job's user cancel it as its last task completes, with a
// probability of 1/2, while the fault cancel-at-end lasts.
func (sim *Simulation) cancelOnLastCompletion(job *Job) {
	isLastTask := len(job.CompletedTasks) == job.Spec.Tasks
	if sim.Now < sim.cancelFinishingUntil && isLastTask && !job.CancelRequested && sim.Rand.IntN(2) == 0 {
		sim.Cancel(job)
	}
}
