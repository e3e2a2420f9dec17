package fake

import (
	"slices"
	"time"

	"roadcleat/internal/core"
)

// timerInterval is how often the timers of a controller's core are advanced.
const timerInterval = 50 * time.Millisecond

// Node is a host with a controller process that can crash, be restarted and be frozen.
type Node struct {
	Name         string
	Core         *core.Core // of the newest process
	simulation   *Simulation
	zone         string // the zone that the controller is in
	processEpoch int    // number of the newest process from 1; the core's epoch is random
	isRunning    bool   // the process runs, though perhaps frozen
	// frozenUntil is when a frozen process resumes. Its clock advances meanwhile, and its
	// events are deferred.
	frozenUntil    time.Duration
	lastRequestID  uint64                       // ID of the newest request to the node
	pendingReplies map[uint64]func(core.Effect) // reply callbacks of open requests, by request ID
	peerLinks      map[string]*peerLink         // the process's connections to other controllers, by name
	sentCommands   []sentCommands               // the newest process's direct calls with commands, the oldest first

	budgetShare     core.BudgetShare // this controller's share of the state service's budget
	nextStateCallAt time.Duration    // when the budget allows the next call to the state service
}

// Start starts a new process unless one runs. Replies to requests of earlier processes are
// discarded.
func (n *Node) Start() {
	if n.isRunning {
		return
	}
	n.isRunning, n.frozenUntil = true, 0
	n.processEpoch++
	n.Core = core.New(n.coreConfig())
	n.pendingReplies = map[uint64]func(core.Effect){}
	n.peerLinks = map[string]*peerLink{}
	n.sentCommands = nil
	n.startTimer(n.processEpoch)
	n.simulation.reconnectPeersTo(n)
}

// coreConfig returns the configuration of the process about to start.
func (n *Node) coreConfig() core.Config {
	cfg := n.simulation.Cfg
	cfg.Label = n.Name
	cfg.Zone = n.zone
	cfg.Epoch = n.simulation.drawEpoch()
	cfg.Seed = uint64(len(n.Name))
	for _, other := range n.simulation.Nodes {
		if other != n {
			cfg.Peers = append(cfg.Peers, core.PeerConfig{Label: other.Name, Zone: other.zone})
		}
	}
	return cfg
}

// startTimer advances the core's timers at regular intervals until the process of the epoch
// stops.
func (n *Node) startTimer(epoch int) {
	n.simulation.repeatWhile(timerInterval, func() bool {
		if !n.isRunningEpoch(epoch) {
			return false
		}
		n.advanceTimers()
		return true
	})
}

// isRunningEpoch reports whether the process of an epoch is running.
func (n *Node) isRunningEpoch(epoch int) bool { return n.isRunning && n.processEpoch == epoch }

// Crash kills the process. Packets that it has sent are still delivered.
func (n *Node) Crash() {
	n.simulation.Log("%v controller %s crashed", n.simulation.Now, n.Name)
	n.isRunning = false
}

// Restart kills the process and starts a new one after a delay.
func (n *Node) Restart(delay time.Duration) {
	n.simulation.extendFaultPeriod(delay)
	n.Crash()
	n.simulation.After(delay, n.Start)
}

// Freeze suspends the process for d.
func (n *Node) Freeze(d time.Duration) {
	n.simulation.extendFaultPeriod(d)
	n.simulation.Log("%v controller %s frozen for %v", n.simulation.Now, n.Name, d)
	n.frozenUntil = n.simulation.Now + d
	// Due timers run before the deferred events, an order that is possible in a real process.
	n.simulation.After(d, n.advanceTimers)
}

// whenRunning runs f in the current process: now, or once it is no longer frozen. It does
// nothing if the process stops before.
func (n *Node) whenRunning(f func()) {
	if n.simulation.Now >= n.frozenUntil {
		f()
		return
	}
	epoch := n.processEpoch
	n.simulation.After(n.frozenUntil-n.simulation.Now, func() {
		if n.isRunningEpoch(epoch) {
			n.whenRunning(f)
		}
	})
}

// advanceTimers advances the core's timers to the present, unless the process is stopped or frozen.
func (n *Node) advanceTimers() {
	if n.isRunning && n.simulation.Now >= n.frozenUntil {
		n.executeEffects(n.Core.Advance(n.simulation.Now))
	}
}

// handle passes an event to the core once the process is not frozen.
func (n *Node) handle(ev core.Event) {
	n.whenRunning(func() { n.handleNow(ev) })
}

// handleNow passes an event to the core now, even to a frozen one, and then advances its timers.
func (n *Node) handleNow(ev core.Event) {
	n.executeEffects(n.Core.Handle(n.simulation.Now, ev))
	n.advanceTimers()
}

// sendRequest delivers a request to the node under a new request ID. The reply callback is not
// called if the process stops before it replies.
func (n *Node) sendRequest(request func(requestID uint64) core.Event, reply func(core.Effect)) {
	n.lastRequestID++
	n.pendingReplies[n.lastRequestID] = reply
	n.handle(request(n.lastRequestID))
}

// receiveHeartbeat delivers a heartbeat whose reply is discarded: a duplicate, or one that a
// test took from the worker as if the network had delayed it.
func (n *Node) receiveHeartbeat(status core.WorkerStatus) {
	if n.isRunning {
		n.sendRequest(heartbeatEvent(status), func(core.Effect) {})
	}
}

// heartbeatEvent returns a function that makes a heartbeat's event from its request ID.
func heartbeatEvent(status core.WorkerStatus) func(requestID uint64) core.Event {
	return func(requestID uint64) core.Event { return core.Heartbeat{RequestID: requestID, Status: status} }
}

// executeEffects carries out the core's effects in order until the process stops.
func (n *Node) executeEffects(effects []core.Effect) {
	epoch := n.processEpoch
	for _, effect := range slices.Clone(effects) { // the core reuses the slice
		if !n.isRunningEpoch(epoch) {
			return // a fault injected at a step of an earlier effect stopped the process
		}
		if n.simulation.OnEffect != nil {
			n.simulation.OnEffect(n, effect)
		}
		n.executeEffect(effect)
	}
}

// executeEffect carries out one effect of the core.
func (n *Node) executeEffect(effect core.Effect) {
	switch effect := effect.(type) {
	case core.Call:
		n.startCall(effect)
	case core.UserReply:
		n.deliverReply(effect.RequestID, effect)
	case core.HeartbeatReply:
		n.simulation.emitCommandSteps(PhaseBefore, n, nil, effect.Commands)
		if n.isRunning { // a fault injected at that step may have stopped the process
			n.deliverReply(effect.RequestID, effect)
		}
	case core.SendToPeer:
		n.sendToPeer(effect)
	case core.BudgetShare:
		n.budgetShare = effect
	case core.LogEvent:
		n.simulation.Log("%v %s %s %v", n.simulation.Now, n.Name, effect.Message, effect.Args)
	}
}

// deliverReply passes a reply to the callback of its request, if the request is still open.
func (n *Node) deliverReply(requestID uint64, effect core.Effect) {
	if reply := n.pendingReplies[requestID]; reply != nil {
		delete(n.pendingReplies, requestID)
		reply(effect)
	}
}
