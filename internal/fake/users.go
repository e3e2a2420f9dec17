package fake

import (
	"net/http"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

const (
	// userRequestTimeout is how long a user waits for the reply to a request.
	userRequestTimeout = 5 * time.Second
	// userRetryDelay is how long a user waits before it repeats a failed request.
	userRetryDelay = time.Second
	// jobPollInterval is how often a user queries a job until its final state is reported.
	jobPollInterval = 2 * time.Second
	// maxNodeDraws is how many random controllers a user tries to find one that runs.
	maxNodeDraws = 5
)

// sendUserRequest sends a user's request about a job to a controller and passes the reply to the
// invariant checker. onReply then gets the reply's HTTP status, or 0 if none came.
func (sim *Simulation) sendUserRequest(
	node *Node, id string, request func(requestID uint64) core.Event, onReply func(status int),
) {
	lastReply := sim.Checker.lastReply(id)
	exec := func(reply func(core.Effect)) {
		if !node.isRunning {
			reply(core.UserReply{}) // connection refused
			return
		}
		node.sendRequest(request, reply)
	}
	rpc[core.Effect](sim, usersHost, node.Name, userRequestTimeout, core.UserReply{}, exec, func(effect core.Effect) {
		reply, _ := effect.(core.UserReply)
		sim.Checker.checkReply(id, reply.HTTPStatus, reply.Job.State, lastReply)
		if job := sim.Jobs[id]; job != nil {
			if job.ReportedState == model.JobCancelled && lastReply.state != model.JobCancelled {
				sim.emitStepEvent(StepEvent{CancelJob, PhaseAfter, node, nil, job})
			}
			sim.pollAtNewStage(job)
		}
		onReply(reply.HTTPStatus)
	})
}

// randomNode returns a random controller that runs. If none of maxNodeDraws drawn controllers
// runs, it returns the first controller.
func (sim *Simulation) randomNode() *Node {
	for range maxNodeDraws {
		if node := sim.Nodes[sim.Rand.IntN(len(sim.Nodes))]; node.isRunning {
			return node
		}
	}
	return sim.Nodes[0]
}

// nodeFor returns the controller to which the job's user sends the next request. If users keep their
// connections it is the one that received the last request, as long as its process runs.
func (sim *Simulation) nodeFor(job *Job) *Node {
	if !sim.Users.keepConnections {
		return sim.randomNode()
	}
	if job.node == nil || !job.node.isRunning {
		job.node = sim.randomNode()
	}
	return job.node
}

// Submit has a user submit a job, retrying until it is accepted or refused, and poll an
// accepted job until a final state is reported. Each task runs for runTime.
func (sim *Simulation) Submit(spec model.JobSpec, runTime time.Duration) *Job {
	job := &Job{Spec: spec, RunTime: runTime}
	sim.submitJob(job)
	return job
}

// submitJob adds a job to the simulation and starts its submission.
func (sim *Simulation) submitJob(job *Job) {
	sim.addJob(job)
	sim.submitUntilAnswered(job)
}

// addJob adds a job to the simulation before its user submits it.
func (sim *Simulation) addJob(job *Job) {
	job.CompletedTasks = map[int]bool{}
	job.Checkpoints = map[int]time.Duration{}
	job.SubmittedAt = sim.Now
	sim.Jobs[job.Spec.ID] = job
}

// submitUntilAnswered submits a job to the controllers that nodeFor returns, repeatedly until it is
// accepted or refused. The user then polls an accepted job.
func (sim *Simulation) submitUntilAnswered(job *Job) {
	sim.sendSubmissionTo(sim.nodeFor(job), job, func(status int) {
		switch status {
		case http.StatusOK, http.StatusCreated:
			sim.pollUntilFinal(job)
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			job.Refused = true
		default:
			job.node = nil
			sim.After(userRetryDelay, func() { sim.submitUntilAnswered(job) })
		}
	})
}

// pollUntilFinal has the job's user query the controllers that nodeFor returns for the job at regular
// intervals until its final state is reported.
func (sim *Simulation) pollUntilFinal(job *Job) {
	sim.queryJob(sim.nodeFor(job), job.Spec.ID, func(status int) {
		if status == 0 {
			job.node = nil // the connection has failed
		}
		if !job.ReportedFinal() {
			sim.After(jobPollInterval, func() { sim.pollUntilFinal(job) })
		}
	})
}

// queryJob sends a query of a job to a controller.
func (sim *Simulation) queryJob(node *Node, id string, onReply func(status int)) {
	sim.sendUserRequest(node, id, func(requestID uint64) core.Event {
		return core.JobQuery{RequestID: requestID, ID: id}
	}, onReply)
}

// sendSubmissionTo sends a job's submission to a controller, either the first one or a repetition.
func (sim *Simulation) sendSubmissionTo(node *Node, job *Job, onReply func(status int)) {
	spec := job.Spec
	sim.sendUserRequest(node, spec.ID, func(requestID uint64) core.Event {
		return core.JobSubmission{RequestID: requestID, Spec: spec}
	}, onReply)
}

// sendCancellation sends a job's cancellation to a controller.
func (sim *Simulation) sendCancellation(node *Node, id string, onReply func(status int)) {
	sim.sendUserRequest(node, id, func(requestID uint64) core.Event {
		return core.JobCancellation{RequestID: requestID, ID: id}
	}, onReply)
}

// Cancel has the job's user cancel it at the controllers that nodeFor returns, retrying until the
// cancellation is confirmed or the job is reported as not found.
func (sim *Simulation) Cancel(job *Job) {
	job.CancelRequested = true
	sim.sendCancellation(sim.nodeFor(job), job.Spec.ID, func(status int) {
		if status != http.StatusOK && status != http.StatusNotFound {
			job.node = nil
			sim.After(userRetryDelay, func() { sim.Cancel(job) })
		}
	})
}

// CancelAt has the job's user cancel it at one controller, retrying until the cancellation is
// confirmed. onConfirmed, unless nil, is called then.
func (sim *Simulation) CancelAt(node *Node, job *Job, onConfirmed func()) {
	job.CancelRequested = true
	sim.sendCancellation(node, job.Spec.ID, func(status int) {
		if status != http.StatusOK {
			sim.After(userRetryDelay, func() { sim.CancelAt(node, job, onConfirmed) })
		} else if onConfirmed != nil {
			onConfirmed()
		}
	})
}
