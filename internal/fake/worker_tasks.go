package fake

import (
	"cmp"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// failingTaskRunTime is how long an attempt runs before it fails, on a faulty machine or of
// a job whose every task fails.
const failingTaskRunTime = 700 * time.Millisecond

// attemptKey identifies an attempt of a task.
type attemptKey struct {
	model.TaskID
	number uint64
}

// compare orders attempts by job, task and number.
func (k attemptKey) compare(other attemptKey) int {
	return cmp.Or(
		cmp.Compare(k.Job, other.Job),
		cmp.Compare(k.Index, other.Index),
		cmp.Compare(k.number, other.number),
	)
}

// taskAttempt is one attempt of a task on a machine, from its launch until a controller sends
// VerbForgetExited for it.
type taskAttempt struct {
	task            model.TaskID
	number          uint64 // the attempt's number among those of the task
	state           core.TaskState
	exitCause       core.ExitCause // set once the state is TaskExited
	startedAt       time.Duration  // when it began to run
	initialProgress time.Duration  // run time covered by the checkpoint it resumed from
	epoch           int            // incremented to cancel the functions scheduled for the attempt
}

// executeCommands carries out a controller's commands in order. Commands that do not apply
// to the attempt now on the machine are ignored.
func (w *Worker) executeCommands(commands []core.Command) {
	for _, command := range commands {
		id := attemptKey{command.Task, command.Attempt}
		attempt := w.attempts[id]
		switch {
		case command.Verb == core.VerbLaunch && attempt == nil:
			w.launchAttempt(command)
			w.emitCommandStep(PhaseDuring, command)
		case attempt == nil || command.Verb == core.VerbLaunch:
		case command.Verb == core.VerbStop && attempt.state != core.TaskExited:
			w.stopAttempt(attempt, command.GracePeriodSeconds)
		case command.Verb == core.VerbForgetExited && attempt.state == core.TaskExited:
			delete(w.attempts, id)
			w.emitCommandStep(PhaseDuring, command)
			w.simulation.After(unsentPhaseOffset, func() { w.emitCommandStep(PhaseAfter, command) })
		}
	}
}

// emitCommandStep emits a phase of the step that a command to this machine belongs to.
func (w *Worker) emitCommandStep(phase Phase, command core.Command) {
	w.simulation.emitCommandSteps(phase, nil, w, []core.Command{command})
}

// launchAttempt begins an attempt of a task by fetching its image. The attempt exits at once if
// another attempt of the task on this machine has not exited, if the job is unknown, or if the
// machine lacks free capacity.
func (w *Worker) launchAttempt(command core.Command) {
	attempt := &taskAttempt{task: command.Task, number: command.Attempt, state: core.TaskFetching}
	job := w.simulation.Jobs[command.Task.Job]
	w.simulation.Log("%v worker %s received a launch of task %v, attempt %d",
		w.simulation.Now, w.name, command.Task, command.Attempt)
	w.statusChanged = true
	isConflicting := w.hasUnfinishedAttempt(command.Task)
	w.attempts[attemptKey{command.Task, command.Attempt}] = attempt
	if isConflicting {
		w.endAttempt(attempt, core.ExitConflictingAttempt)
		return
	}
	if job == nil {
		w.endAttempt(attempt, core.ExitNoSuchTask)
		return
	}
	if w.simulation.Now < w.refusesUntil || !w.hasFreeCapacity(job.Spec.TaskResources, attempt) {
		w.endAttempt(attempt, core.ExitNoCapacity)
		return
	}
	epoch := attempt.epoch
	w.fetchImage(attempt, func() { w.startAttempt(attempt, epoch, job) })
}

// hasUnfinishedAttempt reports whether an attempt of a task on this machine has not exited.
func (w *Worker) hasUnfinishedAttempt(task model.TaskID) bool {
	for id, attempt := range w.attempts {
		if id.TaskID == task && attempt.state != core.TaskExited {
			return true
		}
	}
	return false
}

// startAttempt runs an attempt whose image has been fetched and schedules its completion.
// Failing tasks exit early, tasks of services run until they are stopped, and a task that
// has completed before exits as done at once.
func (w *Worker) startAttempt(attempt *taskAttempt, epoch int, job *Job) {
	if job.CompletedTasks[attempt.task.Index] {
		w.endAttempt(attempt, core.ExitDone)
		return
	}
	attempt.state, attempt.startedAt, w.statusChanged = core.TaskRunning, w.simulation.Now, true
	w.simulation.Checker.attemptStarted(attemptKey{attempt.task, attempt.number}, w)
	w.simulation.Checker.taskStarted(attempt.task, w)
	w.simulation.emitStepEvent(StepEvent{LaunchTask, PhaseAfter, nil, w, job})
	if job.failsAttempt(attempt.number) || w.FailsEveryTask {
		w.scheduleForAttempt(attempt, epoch, failingTaskRunTime, func() { w.endAttempt(attempt, core.ExitFailed) })
		return
	}
	if job.Spec.Service {
		return
	}
	attempt.initialProgress = job.Checkpoints[attempt.task.Index]
	runTime := time.Duration(float64(job.RunTime-attempt.initialProgress) * w.RunTimeFactor)
	w.scheduleForAttempt(attempt, epoch, max(runTime-unsentPhaseOffset, 0), func() {
		w.simulation.emitStepEvent(StepEvent{CompleteTask, PhaseBefore, nil, w, job})
	})
	w.scheduleForAttempt(attempt, epoch, runTime, func() {
		job.CompletedTasks[attempt.task.Index] = true
		w.endAttempt(attempt, core.ExitDone)
		w.simulation.cancelOnLastCompletion(job)
		w.simulation.emitStepEvent(StepEvent{CompleteTask, PhaseDuring, nil, w, job})
	})
}

// stopAttempt stops an attempt. A running task that saves checkpoints writes one first if the
// grace period is long enough, and an attempt that is already writing one continues to do so
// if the command grants any grace period.
func (w *Worker) stopAttempt(attempt *taskAttempt, gracePeriodSeconds float64) {
	job := w.simulation.Jobs[attempt.task.Job]
	savesCheckpoints := job != nil && job.Spec.CheckpointIntervalSeconds > 0
	if savesCheckpoints && attempt.state == core.TaskRunning && gracePeriodSeconds >= job.Spec.SaveSeconds {
		attempt.state, w.statusChanged = core.TaskSaving, true
		attempt.epoch++
		progress := attempt.initialProgress + w.progressSinceStart(attempt)
		w.scheduleForAttempt(attempt, attempt.epoch, secondsToDuration(job.Spec.SaveSeconds), func() {
			job.saveCheckpoint(attempt.task.Index, progress)
			w.endAttempt(attempt, core.ExitStopped)
		})
		return
	}
	if attempt.state == core.TaskSaving && gracePeriodSeconds > 0 {
		return
	}
	w.endAttempt(attempt, core.ExitStopped)
}

// progressSinceStart returns the run time, on a machine of normal speed, that a running
// attempt has completed since it started.
func (w *Worker) progressSinceStart(attempt *taskAttempt) time.Duration {
	return time.Duration(float64(w.simulation.Now-attempt.startedAt) / w.RunTimeFactor)
}

// saveCheckpoint stores the last periodic checkpoint of a running attempt, if its job saves
// checkpoints.
func (w *Worker) saveCheckpoint(attempt *taskAttempt) {
	job := w.simulation.Jobs[attempt.task.Job]
	if job == nil || job.Spec.CheckpointIntervalSeconds <= 0 || attempt.state != core.TaskRunning {
		return
	}
	interval := secondsToDuration(job.Spec.CheckpointIntervalSeconds)
	job.saveCheckpoint(attempt.task.Index, attempt.initialProgress+w.progressSinceStart(attempt)/interval*interval)
}

// scheduleForAttempt runs f after d, or once the machine is no longer paused. It does nothing
// if the machine has been terminated or the attempt's epoch has changed meanwhile.
func (w *Worker) scheduleForAttempt(attempt *taskAttempt, epoch int, d time.Duration, f func()) {
	w.simulation.After(d, func() {
		if w.terminated || attempt.epoch != epoch {
			return
		}
		if w.simulation.Now < w.pausedUntil {
			w.scheduleForAttempt(attempt, epoch, w.pausedUntil-w.simulation.Now+time.Millisecond, f)
			return
		}
		w.expireLease()
		if attempt.epoch == epoch {
			f()
		}
	})
}

// endAttempt records that an attempt has exited. A running attempt keeps its last periodic
// checkpoint, and an image fetch that no other attempt waits for is aborted.
func (w *Worker) endAttempt(attempt *taskAttempt, cause core.ExitCause) {
	w.simulation.Log("%v worker %s ended task %v, attempt %d, exit cause %d",
		w.simulation.Now, w.name, attempt.task, attempt.number, cause)
	if attempt.state == core.TaskRunning || attempt.state == core.TaskSaving {
		w.saveCheckpoint(attempt)
		w.simulation.Checker.taskStopped(attempt.task, w)
	}
	fetching := attempt.state == core.TaskFetching
	attempt.state, attempt.exitCause, w.statusChanged = core.TaskExited, cause, true
	attempt.epoch++
	if fetching { // perhaps no other attempt waits for its image
		w.updateFetches()
		w.scheduleNextFetchEnd()
	}
}
