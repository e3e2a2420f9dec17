package fake

import (
	"maps"
	"slices"
	"sort"
	"time"

	"roadcleat/internal/core"
)

// workerTickInterval is how often a worker checks whether its lease has expired and whether
// a heartbeat is due.
const workerTickInterval = 100 * time.Millisecond

// Worker is a rented machine together with its worker process. All times are simulated
// times since the start of the simulation.
type Worker struct {
	simulation           *Simulation
	name, typeName, zone string // typeName is the name of the machine type
	spot                 bool   // the machine is a spot instance

	rentedAt, terminatedAt time.Duration // when the machine was rented, and when it was terminated
	processStarted         bool          // the worker process has started
	terminated             bool          // the machine was terminated, by a fault or by the cloud
	removedFromCloud       bool          // the cloud has removed the machine: returned or reclaimed
	pausedUntil            time.Duration // the machine is paused until then
	outboundCutUntil       time.Duration // the worker can open no connection until then
	RunTimeFactor          float64       // factor on the run times of tasks, 1 on a normal machine
	FailsEveryTask         bool          // every task fails on the machine
	refusesUntil           time.Duration // launches are refused until then, as for lack of free capacity
	reclaimAt              time.Duration // when the cloud reclaims the machine, 0 without a spot notice

	// incarnation starts at 1 and increases whenever the lease expires, which drops all
	// tasks. statusSeq is the sequence number of the newest status, and fencingToken the
	// highest fencing token received.
	incarnation, statusSeq, fencingToken uint64
	leaseRenewedAt                       time.Duration // when the lease was last renewed
	nodeIndex                            int           // index of the controller that heartbeats are sent to
	heartbeatPending                     bool          // the reply to the last heartbeat is outstanding
	lastHeartbeatAt                      time.Duration // when the last heartbeat was sent
	nextHeartbeatAt                      time.Duration // no heartbeat is sent before then
	statusChanged                        bool          // the status has changed since the last heartbeat

	attempts   map[attemptKey]*taskAttempt // includes exited attempts until a controller sends VerbForgetExited
	imageCache imageCache
}

// newWorker returns a machine rented now, whose worker process has not started yet.
func newWorker(sim *Simulation, name, typeName, zone string, spot bool) *Worker {
	return &Worker{
		simulation: sim, name: name, typeName: typeName, zone: zone, spot: spot,
		rentedAt:      sim.Now,
		incarnation:   1,
		RunTimeFactor: 1,
		attempts:      map[attemptKey]*taskAttempt{},
	}
}

// startProcess starts the worker process, unless the machine has been terminated. The first
// heartbeat goes to a random controller.
func (w *Worker) startProcess() {
	if w.terminated {
		return
	}
	w.processStarted = true
	w.leaseRenewedAt = w.simulation.Now
	w.nodeIndex = w.simulation.Rand.IntN(len(w.simulation.Nodes))
	w.statusChanged = true
	w.simulation.repeatWhile(workerTickInterval, w.tick)
}

// tick runs the worker's periodic checks. It reports whether the machine still exists.
func (w *Worker) tick() bool {
	if w.terminated {
		return false
	}
	// The lease of a paused machine expires too.
	w.expireLease()
	if w.simulation.Now >= w.pausedUntil {
		w.sendHeartbeatIfDue()
	}
	return true
}

// Terminate terminates the machine and all tasks on it. A machine that the cloud has not removed
// stays in the cloud's list, which shows it as failed after failedStateDelay.
func (w *Worker) Terminate() {
	if !w.terminated {
		w.terminated, w.terminatedAt = true, w.simulation.Now
		w.dropAttempts()
	}
}

// Pause pauses the machine for d. Tasks and requests that are due during the pause continue when it
// ends.
func (w *Worker) Pause(d time.Duration) {
	w.simulation.extendFaultPeriod(d)
	w.pausedUntil = w.simulation.Now + d
}

// GiveSpotNotice announces that the cloud reclaims the machine after the notice period, and
// schedules the reclaim.
func (w *Worker) GiveSpotNotice(noticePeriod time.Duration) {
	w.reclaimAt, w.statusChanged = w.simulation.Now+noticePeriod, true
	w.simulation.After(noticePeriod, func() { w.simulation.Cloud.RemoveMachine(w.name) })
}

// expireLease starts a new incarnation without tasks if the lease has expired.
func (w *Worker) expireLease() {
	if w.processStarted && !w.terminated && w.simulation.Now > w.leaseRenewedAt+w.simulation.Cfg.WorkerLease {
		w.dropAttempts()
		w.incarnation++
		w.leaseRenewedAt = w.simulation.Now
		w.statusChanged = true
	}
}

// dropAttempts discards all attempts without reporting an exit. Only the tasks' periodic
// checkpoints remain.
func (w *Worker) dropAttempts() {
	for id, attempt := range w.attempts {
		w.saveCheckpoint(attempt)
		w.simulation.Checker.taskStopped(id.TaskID, w)
		attempt.epoch++
	}
	clear(w.attempts)
	w.updateFetches()
	w.scheduleNextFetchEnd()
}

// nextStatus returns the worker's current status under the next sequence number.
func (w *Worker) nextStatus() core.WorkerStatus {
	w.statusSeq++
	status := core.WorkerStatus{
		Host: w.name, Address: w.name, Type: w.typeName, Zone: w.zone, Spot: w.spot,
		Incarnation: w.incarnation, Seq: w.statusSeq, Token: w.fencingToken,
		SpotNoticeSeconds: -1, // no spot notice
	}
	if w.reclaimAt > 0 {
		status.SpotNoticeSeconds = max((w.reclaimAt - w.simulation.Now).Seconds(), 0)
	}
	for _, id := range slices.SortedFunc(maps.Keys(w.attempts), attemptKey.compare) {
		attempt := w.attempts[id]
		status.Tasks = append(status.Tasks, core.TaskStatus{
			Task: id.TaskID, Attempt: id.number, State: attempt.state, Cause: attempt.exitCause,
		})
	}
	return status
}

// observeToken records the highest fencing token that the worker has received.
func (w *Worker) observeToken(token uint64) {
	if token > w.fencingToken {
		w.fencingToken, w.statusChanged = token, true
	}
}

// handleCommands executes commands and replies with the resulting status. It refuses
// commands with an older fencing token or for another incarnation.
func (w *Worker) handleCommands(op core.SendCommands, reply func(core.Result)) {
	if op.Token < w.fencingToken || op.Incarnation != w.incarnation {
		status := w.nextStatus()
		reply(core.WorkerResult{Outcome: core.OutcomeRefused, Status: &status})
		return
	}
	w.observeToken(op.Token)
	w.executeCommands(op.Commands)
	status := w.nextStatus()
	reply(core.WorkerResult{Outcome: core.OutcomeOK, Status: &status})
}

// AliveWorkers returns the machines that have not been terminated, ordered by name.
func (sim *Simulation) AliveWorkers() []*Worker {
	var alive []*Worker
	for _, worker := range sim.Workers {
		if !worker.terminated {
			alive = append(alive, worker)
		}
	}
	sort.Slice(alive, func(i, j int) bool { return alive[i].name < alive[j].name })
	return alive
}
