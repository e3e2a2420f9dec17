package fake

import (
	"net/http"
	"slices"
	"time"

	"roadcleat/internal/core"
)

const (
	// minHeartbeatInterval is the shortest time between two heartbeats of a worker.
	minHeartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is how long a worker waits for the reply to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// nextNodeDelay is how long a worker waits before it sends to the next controller.
	nextNodeDelay = time.Second
)

// sentHeartbeat is a heartbeat whose reply is outstanding.
type sentHeartbeat struct {
	worker      *Worker
	node        *Node // the controller that it was sent to
	status      core.WorkerStatus
	sentAt      time.Duration
	incarnation uint64 // the worker's incarnation when it was sent
}

// isHeartbeatDue reports whether a heartbeat must be sent now: none is outstanding, the
// minimum interval has passed, and the status has changed or the regular interval is over.
func (w *Worker) isHeartbeatDue() bool {
	sinceLast := w.simulation.Now - w.lastHeartbeatAt
	if w.heartbeatPending || w.simulation.Now < w.nextHeartbeatAt || sinceLast < minHeartbeatInterval {
		return false
	}
	return w.statusChanged || sinceLast >= w.simulation.Cfg.HeartbeatInterval
}

// sendHeartbeatIfDue sends a heartbeat if one is due. While outbound connections are cut, it
// selects the next controller instead.
func (w *Worker) sendHeartbeatIfDue() {
	if !w.isHeartbeatDue() {
		return
	}
	if w.simulation.Now < w.outboundCutUntil {
		w.tryNextNode()
		return
	}
	w.heartbeatPending, w.statusChanged, w.lastHeartbeatAt = true, false, w.simulation.Now
	h := &sentHeartbeat{
		worker: w, node: w.simulation.Nodes[w.nodeIndex],
		status: w.nextStatus(), sentAt: w.simulation.Now, incarnation: w.incarnation,
	}
	w.emitHeartbeatSteps(PhaseBefore, h.status)
	w.simulation.makeHeartbeatCopies(w, h.status)
	if w.simulation.HeartbeatCopies != nil {
		for _, delay := range w.simulation.HeartbeatCopies(w) {
			w.simulation.After(delay, func() { h.node.receiveHeartbeat(h.status) })
		}
	}
	rpc(w.simulation, w.name, h.node.Name, heartbeatTimeout, nil, h.deliver, func(reply core.Effect) {
		w.simulation.runOnWorker(w.name, func(*Worker) { h.handleReply(reply) })
	})
}

// deliver passes the heartbeat to its controller. If the controller's process does not run,
// the reply is empty, as for a refused connection.
func (h *sentHeartbeat) deliver(reply func(core.Effect)) {
	if !h.node.isRunning {
		reply(core.HeartbeatReply{}) // connection refused
		return
	}
	sim := h.worker.simulation
	sim.deliverDelayed(h.worker, h.status, func() {
		h.node.sendRequest(heartbeatEvent(h.status), func(effect core.Effect) {
			sim.deliverDelayed(h.worker, effect, func() { reply(effect) })
		})
		h.worker.emitHeartbeatSteps(PhaseDuring, h.status)
	})
}

// handleReply renews the lease and executes the commands of an accepted reply, or selects
// the controller for the next heartbeat. The effect is nil if no reply came within
// heartbeatTimeout.
func (h *sentHeartbeat) handleReply(effect core.Effect) {
	k := h.worker
	k.heartbeatPending = false
	reply, ok := effect.(core.HeartbeatReply)
	switch {
	case !ok:
		k.tryNextNode()
	case reply.HTTPStatus == http.StatusOK:
		if h.isAcceptable(reply) {
			k.observeToken(reply.Token)
			k.leaseRenewedAt = h.sentAt
			k.executeCommands(reply.Commands)
			k.emitHeartbeatSteps(PhaseAfter, h.status)
		}
	case reply.HTTPStatus == http.StatusMisdirectedRequest:
		k.followOwnerHint(reply.Owner)
	default:
		k.tryNextNode()
	}
}

// isAcceptable reports whether a reply may renew the lease and have its commands executed:
// it arrived within heartbeatTimeout, is for the current incarnation, and has no older fencing
// token.
func (h *sentHeartbeat) isAcceptable(reply core.HeartbeatReply) bool {
	k := h.worker
	return k.simulation.Now <= h.sentAt+heartbeatTimeout && h.incarnation == k.incarnation && reply.Token >= k.fencingToken
}

// followOwnerHint directs the next heartbeat to the named owner of the shard. If no controller
// has the name, or it is that of the controller that replied, the next controller in order is
// tried.
func (w *Worker) followOwnerHint(owner string) {
	i := slices.IndexFunc(w.simulation.Nodes, func(n *Node) bool { return n.Name == owner })
	if owner == "" || i < 0 || i == w.nodeIndex {
		w.tryNextNode()
		return
	}
	w.nodeIndex, w.statusChanged = i, true
}

// tryNextNode directs the next heartbeat to the next controller in order, after a delay.
func (w *Worker) tryNextNode() {
	w.nodeIndex = (w.nodeIndex + 1) % len(w.simulation.Nodes)
	w.nextHeartbeatAt, w.statusChanged = w.simulation.Now+nextNodeDelay, true
}

// emitHeartbeatSteps emits a phase of the ReportStatus step if the status has tasks. The arrival
// of the heartbeat (PhaseDuring) is also PhaseAfter of the CompleteTask step of each completed task
// in it, as the controller has then received the completion.
func (w *Worker) emitHeartbeatSteps(phase Phase, status core.WorkerStatus) {
	if len(status.Tasks) > 0 {
		w.simulation.emitStepEvent(StepEvent{ReportStatus, phase, nil, w, nil})
	}
	for _, t := range status.Tasks {
		if phase == PhaseDuring && t.Cause == core.ExitDone {
			w.simulation.emitStepEvent(StepEvent{CompleteTask, PhaseAfter, nil, w, w.simulation.Jobs[t.Task.Job]})
		}
	}
}
