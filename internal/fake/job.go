package fake

import (
	"maps"
	"slices"
	"time"

	"roadcleat/internal/model"
)

// Job is a submitted job with its true properties, which the controllers cannot see, and
// what they have replied to its user. A time of 0 means that the event has not happened.
type Job struct {
	Spec                   model.JobSpec
	RunTime                time.Duration         // the true run time of each task at normal speed
	FailsEveryTask         bool                  // its tasks fail on every machine
	FailsFirstAttempt      bool                  // the first attempt in each shard fails on every machine
	MustBeRefused          bool                  // its submission is invalid, or it can never run
	lastPolledStage        pollStage             // the newest stage after which its user sent a burst of polls
	TaskStarts             int                   // how often its tasks started running
	CompletedTasks         map[int]bool          // which tasks have completed, by task index
	Checkpoints            map[int]time.Duration // run time saved in the newest checkpoint, by task index
	Accepted               bool                  // a reply has confirmed that the job is accepted
	Refused                bool                  // a reply has refused the job as invalid or unable to run
	ReportedState          model.JobState        // last state reported to its user; a final state is kept
	CancelConfirmedAt      time.Duration         // when its user got the reply that it is cancelled
	CancelRequested        bool                  // its user has asked to cancel it
	SubmittedAt            time.Duration         // when it was first submitted
	StartedAt              time.Duration         // when its first task started
	LastReplyAt            time.Duration         // when a request about it last got a reply
	DoneReportedAt         time.Duration         // when its user got the reply that it is done
	node                   *Node                 // the controller to which its user's connection goes; nil: none is open
	waitingNeedlesslySince time.Duration         // since when tasks have waited although they could run
	missingReplicasSince   time.Duration         // since when the service has lacked replicas
}

// failsAttempt reports whether the attempt with the given number fails on every machine. An
// assignment numbers the attempts of all its tasks together, from 1.
func (j *Job) failsAttempt(number uint64) bool {
	return j.FailsEveryTask || j.FailsFirstAttempt && number == 1
}

// saveCheckpoint records a checkpoint of a task, unless an earlier one covers more run time.
func (j *Job) saveCheckpoint(task int, progress time.Duration) {
	j.Checkpoints[task] = max(j.Checkpoints[task], progress)
}

// ReportedFinal reports whether the last reply to the job's user gave a final state.
func (j *Job) ReportedFinal() bool { return isFinal(j.ReportedState) }

// isOver reports whether the job is over for its user: a final state was reported, or the
// job was refused.
func (j *Job) isOver() bool { return j.ReportedFinal() || j.Refused }

// isFinal reports whether a job in this state never changes its state again.
func isFinal(s model.JobState) bool { return s == model.JobDone || s == model.JobCancelled }

// sortedKeys returns a map's keys in order, so that every run of a seed is the same.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// TasksByWorker counts a job's running tasks by the machine that they run on.
func (sim *Simulation) TasksByWorker(id string) map[*Worker]int {
	tasks := map[*Worker]int{}
	for task, workers := range sim.Checker.runningOn {
		if task.Job != id {
			continue
		}
		for worker := range workers {
			tasks[worker]++
		}
	}
	return tasks
}
