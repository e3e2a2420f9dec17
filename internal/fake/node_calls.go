package fake

import (
	"time"

	"roadcleat/internal/core"
)

// Timeouts of a controller's calls.
const (
	stateTimeout  = 2 * time.Second // a watch's own timeout is added to it
	cloudTimeout  = 4 * time.Second
	workerTimeout = 3 * time.Second
	// connectionRefusedDelay is how long after a call to an unreachable worker the caller
	// gets the error that the connection failed.
	connectionRefusedDelay = 1500 * time.Millisecond
)

// Limits of the rate at which a controller calls the state service, like those of internal/service
// and internal/state.
const (
	budgetUseRatio      = 0.93             // the fraction of its share that a controller uses
	minBudgetShareRatio = 0.01             // the rate is computed with at least this share of the budget
	maxBudgetDelay      = time.Second      // calls that would be delayed by more are refused
	budgetRefusalDelay  = time.Millisecond // time until a refused call returns
)

// outgoingCall is a call of a controller's core to the state service, the cloud or a worker.
type outgoingCall struct {
	simulation *Simulation
	node       *Node
	epoch      int // of the process that makes the call
	call       core.Call
	steps      []Step // the protocol steps that the call executes
	job        *Job   // the job that the steps concern, if any
	// commandsExecuted is set once a worker has received the commands of the call.
	commandsExecuted bool
}

// startCall begins to execute a call of the core. The result is delivered to the core later.
func (n *Node) startCall(call core.Call) {
	steps, job := n.simulation.stepsOf(call.Operation)
	x := &outgoingCall{simulation: n.simulation, node: n, epoch: n.processEpoch, call: call, steps: steps, job: job}
	x.emitSteps(PhaseBefore)
	if !n.isRunning {
		return
	}
	x.scheduleDuplicate()
	switch op := call.Operation.(type) {
	case core.CommitTxn, core.ReadKey, core.ListKeys, core.WatchKeys, core.GrantLease, core.RenewLease:
		x.dispatchStateCall()
	case core.ReadCatalog, core.ListHosts, core.RentHosts, core.ReturnHosts:
		x.dispatchCloudCall()
	case core.SendCommands:
		x.sendCommands(op)
	case core.ReadWorkerStatus:
		x.readWorkerStatus(op)
	}
}

// emitSteps emits a phase of the steps that the call executes.
func (x *outgoingCall) emitSteps(phase Phase) {
	for _, step := range x.steps {
		x.simulation.emitStepEvent(StepEvent{step, phase, x.node, nil, x.job})
	}
}

// deliverResult passes the result to the core that made the call, unless its process has
// stopped.
func (x *outgoingCall) deliverResult(res core.Result) {
	if x.node.isRunningEpoch(x.epoch) {
		x.node.handle(core.CallResult{CallID: x.call.ID, Result: res})
		x.emitSteps(PhaseAfter)
	}
}

// emitDuringOnSuccess wraps a reply callback so that it first emits PhaseDuring of the steps if
// the result is a success.
func (x *outgoingCall) emitDuringOnSuccess(reply func(core.Result)) func(core.Result) {
	return func(res core.Result) {
		if res.CallOutcome() == core.OutcomeOK {
			x.emitSteps(PhaseDuring)
		}
		reply(res)
	}
}

// scheduleDuplicate schedules a second execution of the request if RepeatRequest returns a
// delay for it.
func (x *outgoingCall) scheduleDuplicate() {
	if x.simulation.RepeatRequest == nil {
		return
	}
	if delay := x.simulation.RepeatRequest(x.node.Name, x.call.Operation); delay > 0 {
		x.simulation.After(delay, x.executeDuplicate)
	}
}

// executeDuplicate executes the request once more and discards the reply. Commands to a worker are
// duplicated if the worker has received them, or if the process that sent them has stopped.
func (x *outgoingCall) executeDuplicate() {
	discard := func(core.Result) {}
	switch op := x.call.Operation.(type) {
	case core.CommitTxn:
		x.simulation.State.handleCommit(x.node.Name, op.Txn, discard)
	case core.RentHosts:
		x.simulation.Cloud.handleRent(op, discard)
	case core.ReturnHosts:
		x.simulation.Cloud.handleReturn(op.Hosts, discard)
	case core.SendCommands:
		if x.commandsExecuted || x.node.processEpoch != x.epoch {
			x.simulation.runOnWorker(op.Address, func(worker *Worker) { worker.handleCommands(op, discard) })
		}
	}
}

// dispatchStateCall sends the call to the state service.
func (x *outgoingCall) dispatchStateCall() {
	state, node := x.simulation.State, x.node.Name
	switch op := x.call.Operation.(type) {
	case core.CommitTxn:
		x.callStateWithinBudget(stateTimeout, core.CommitResult{}, func(reply func(core.Result)) {
			x.simulation.After(state.TransactionTime, func() { state.handleCommit(node, op.Txn, x.emitDuringOnSuccess(reply)) })
		})
	case core.ReadKey:
		x.callStateWithinBudget(stateTimeout, core.ReadResult{}, func(reply func(core.Result)) {
			state.handleRead(node, op.Key, reply)
		})
	case core.ListKeys:
		x.callStateWithinBudget(stateTimeout, core.ListResult{}, func(reply func(core.Result)) {
			state.handleList(node, op.Prefix, reply)
		})
	case core.WatchKeys:
		x.callStateWithinBudget(op.Timeout+stateTimeout, core.WatchResult{}, func(reply func(core.Result)) {
			state.handleWatch(node, op, reply)
		})
	case core.GrantLease:
		x.callStateWithinBudget(stateTimeout, core.LeaseResult{}, func(reply func(core.Result)) {
			state.handleGrantLease(node, op.TTL, reply)
		})
	case core.RenewLease:
		x.callStateWithinBudget(stateTimeout, core.RenewResult{}, func(reply func(core.Result)) {
			state.handleRenewLease(node, op.Lease, reply)
		})
	}
}

// callStateWithinBudget sends a request to the state service when the node's budget allows.
// Without a reply within the timeout the result is timeoutResult.
func (x *outgoingCall) callStateWithinBudget(
	timeout time.Duration, timeoutResult core.Result, exec func(func(core.Result)),
) {
	exec = x.simulation.State.withDelays(x.node.Name, x.call.Operation, exec)
	send := func() {
		x.node.whenRunning(func() {
			rpc(x.simulation, x.node.Name, stateHost, timeout, timeoutResult, exec, x.deliverResult)
		})
	}
	x.node.sendWithinBudget(send, func() { x.deliverResult(notSentResult(timeoutResult)) })
}

// dispatchCloudCall sends the call to the cloud.
func (x *outgoingCall) dispatchCloudCall() {
	cloud := x.simulation.Cloud
	switch op := x.call.Operation.(type) {
	case core.ReadCatalog:
		x.requestCloud(core.CatalogResult{}, cloud.handleCatalog)
	case core.ListHosts:
		x.requestCloud(core.HostsResult{}, cloud.handleList)
	case core.RentHosts:
		x.requestCloud(core.RentResult{}, func(reply func(core.Result)) {
			cloud.handleRent(op, x.emitDuringOnSuccess(reply))
		})
	case core.ReturnHosts:
		x.requestCloud(core.ReturnResult{}, func(reply func(core.Result)) {
			cloud.handleReturn(op.Hosts, x.emitDuringOnSuccess(reply))
		})
	}
}

// requestCloud sends a request to the cloud, whose result is timeoutResult without a reply.
func (x *outgoingCall) requestCloud(timeoutResult core.Result, exec func(func(core.Result))) {
	rpc(x.simulation, x.node.Name, cloudHost, cloudTimeout, timeoutResult, exec, x.deliverResult)
}

// sendCommands sends commands to a worker, unless the connection fails.
func (x *outgoingCall) sendCommands(op core.SendCommands) {
	host := hostOfAddress(op.Address)
	x.simulation.emitCommandSteps(PhaseBefore, x.node, x.simulation.Workers[host], op.Commands)
	if !x.node.isRunning {
		return
	}
	if c := x.simulation.activeCut(x.node.Name, host); c != nil && !c.holdPackets {
		// Without a connection no command is sent, so none can arrive later.
		x.simulation.After(connectionRefusedDelay, func() {
			x.deliverResult(core.WorkerResult{Outcome: core.OutcomeNotSent})
		})
		return
	}
	x.node.recordSentCommands(op)
	worker := x.simulation.Workers[host]
	x.requestWorker(host, func(reply func(core.Result)) {
		x.simulation.deliverDelayed(worker, op, func() {
			x.simulation.runOnWorker(op.Address, func(worker *Worker) {
				x.commandsExecuted = true
				worker.handleCommands(op, func(res core.Result) {
					x.simulation.deliverDelayed(worker, res, func() { reply(res) })
				})
			})
		})
	})
}

// readWorkerStatus requests a worker's status.
func (x *outgoingCall) readWorkerStatus(op core.ReadWorkerStatus) {
	x.requestWorker(hostOfAddress(op.Address), func(reply func(core.Result)) {
		x.simulation.runOnWorker(op.Address, func(worker *Worker) {
			status := worker.nextStatus()
			reply(core.WorkerResult{Outcome: core.OutcomeOK, Status: &status})
		})
	})
}

// requestWorker sends a request to a worker's host. Without a reply the outcome is unknown.
func (x *outgoingCall) requestWorker(host string, exec func(func(core.Result))) {
	rpc[core.Result](x.simulation, x.node.Name, host, workerTimeout, core.WorkerResult{}, exec, x.deliverResult)
}

// sendWithinBudget calls send when the node's share of the state service's request budget
// allows, or refuse if that would be later than maxBudgetDelay.
func (n *Node) sendWithinBudget(send, refuse func()) {
	sim := n.simulation
	if sim.State.RequestsPerSecond == 0 {
		send()
		return
	}
	n.nextStateCallAt = max(n.nextStateCallAt, sim.Now)
	if n.nextStateCallAt > sim.Now+maxBudgetDelay {
		sim.After(budgetRefusalDelay, refuse)
		return
	}
	sim.After(n.nextStateCallAt-sim.Now, send)
	callsPerSecond := budgetUseRatio * sim.State.RequestsPerSecond * max(n.budgetShare.Requests, minBudgetShareRatio)
	n.nextStateCallAt += time.Duration(float64(time.Second) / callsPerSecond)
}

// notSentResult returns the result of a call that was not sent, of the same type as the
// result given.
func notSentResult(res core.Result) core.Result {
	switch res.(type) {
	case core.CommitResult:
		return core.CommitResult{Outcome: core.OutcomeNotSent}
	case core.ReadResult:
		return core.ReadResult{Outcome: core.OutcomeNotSent}
	case core.ListResult:
		return core.ListResult{Outcome: core.OutcomeNotSent}
	case core.WatchResult:
		return core.WatchResult{Outcome: core.OutcomeNotSent}
	case core.LeaseResult:
		return core.LeaseResult{Outcome: core.OutcomeNotSent}
	}
	return core.RenewResult{Outcome: core.OutcomeNotSent}
}
