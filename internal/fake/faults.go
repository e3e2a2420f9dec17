package fake

import (
	"slices"
	"time"
)

// Target is what a fault applies to. Fields that a fault does not use may be nil.
type Target struct {
	Node   *Node
	Worker *Worker
	Job    *Job
}

// zone returns the zone of the target's machine or, without a machine, of its controller.
func (target Target) zone() string {
	if target.Worker != nil {
		return target.Worker.zone
	}
	return target.Node.zone
}

// injectFunc injects a fault of duration d.
type injectFunc func(sim *Simulation, target Target, d time.Duration)

// Fault is a kind of fault that scenarios can inject.
type Fault struct {
	Name string // the name in scenario files
	// MinDuration and MaxDuration are the shortest and the longest duration in random scenarios. The
	// duration of a restart is how long the controller process is down.
	MinDuration, MaxDuration time.Duration
	// Weight is how often random scenarios choose the fault, relative to the others; 0 means never.
	Weight int
	inject injectFunc
}

// Short names of the units in the table of faults.
const (
	millisecond = time.Millisecond
	second      = time.Second
)

// Faults lists all faults: of controllers, the state service, the network, machines and the cloud,
// and requests that users send at critical times. Random scenarios select a fault by its position,
// so a change of the order changes every random scenario.
var Faults = []Fault{
	{"restart-at-once", 0, 100 * millisecond, 2, restartNode},
	{"restart", 0, 8 * second, 2, restartNode},
	{"restart-late", 60 * second, 90 * second, 1, restartNode},
	{"restart-repeats", 1 * second, 8 * second, 2, restartNodeAndRepeatCommands},
	{"restart-all", 0, 6 * second, 1, restartAllInTurn},
	{"all-away", 16 * second, 25 * second, 1, restartAllTogether},
	{"freeze", 0, 60 * second, 1, freezeNode},
	{"freeze-short", 0, 4 * second, 1, freezeNode},
	{"state-outage", 2 * second, 35 * second, 1, stateOutage},
	{"state-outage-long", 48 * second, 70 * second, 1, stateOutage},
	{"state-refuses", 2 * second, 60 * second, 1, stateRefusesNode},
	{"state-refuses-then-outage", 14 * second, 14 * second, 1, stateRefusesThenOutage},
	{"cancel-in-refusal", 14 * second, 14 * second, 2, cancelDuringRefusal},
	{"state-cut", 1 * second, 60 * second, 1, cutFromState(false)},
	{"state-held", 1 * second, 60 * second, 1, cutFromState(true)},
	{"state-slow", 5 * second, 30 * second, 1, slowState},
	{"late-writes", 300 * millisecond, 20 * second, 2, loseReplies(false)},
	{"answers-lost", 300 * millisecond, 20 * second, 2, loseReplies(true)},
	{"peers-cut", 1 * second, 50 * second, 1, cutNodeWith((*Simulation).cutFromPeers, false)},
	{"peers-held", 1 * second, 50 * second, 1, cutNodeWith((*Simulation).cutFromPeers, true)},
	{"alone", 2 * second, 60 * second, 1, cutNodeWith((*Simulation).CutFromStateServiceAndPeers, false)},
	{"alone-held", 2 * second, 60 * second, 1, cutNodeWith((*Simulation).CutFromStateServiceAndPeers, true)},
	{"workers-cut", 2 * second, 50 * second, 1, cutNodeWith((*Simulation).cutFromAllWorkers, false)},
	{"workers-held", 2 * second, 50 * second, 1, cutNodeWith((*Simulation).cutFromAllWorkers, true)},
	{"node-cut", 2 * second, 50 * second, 1, cutNodeWith((*Simulation).cutFromEverything, false)},
	{"node-held", 2 * second, 50 * second, 1, cutNodeWith((*Simulation).cutFromEverything, true)},
	{"zone-cut", 16 * second, 40 * second, 1, cutZone},
	{"machine-dies", 0, 0, 1, onMachine(func(worker *Worker, _ time.Duration) { worker.Terminate() })},
	{"bound-dies", 0, 0, 1, killZoneBoundMachine},
	{"machine-hangs", 1 * second, 40 * second, 2, onMachine((*Worker).Pause)},
	{"machine-cut", 2 * second, 60 * second, 1, cutMachine(false)},
	{"machine-held", 2 * second, 60 * second, 1, cutMachine(true)},
	{"machine-deaf", 2 * second, 90 * second, 1, onMachine(func(worker *Worker, d time.Duration) { worker.simulation.CutWorkerInbound(worker, d) })},
	{"machine-mute", 2 * second, 60 * second, 1, onMachine(func(worker *Worker, d time.Duration) { worker.simulation.CutWorkerOutbound(worker, d) })},
	{"recall", 0, 15 * second, 1, onMachine(reclaimSpot)},
	{"late-reports", 5 * second, 30 * second, 1, copyHeartbeatsLate},
	{"reports-for-next", 5 * second, 30 * second, 2, keepHeartbeatCopies},
	{"cloud-outage", 2 * second, 20 * second, 1, cloudOutage},
	{"cancel", 0, 0, 0, cancelTarget},
	{"cancel-now", 0, 20 * second, 1, cancelRunning},
	{"cancel-at-end", 10 * second, 60 * second, 1, cancelFinishing},
	{"close-looks", 5 * second, 60 * second, 2, startPollBursts},
	{"odd-requests", 5 * second, 60 * second, 2, sendUnusualRequests},
	{"slow-answers", 5 * second, 30 * second, 0, slowAnswersOfState},
	{"restart-isolated", 0, 20 * second, 0, restartWithoutMessages},
}

// FaultByName returns the fault with a name, and whether there is one.
func FaultByName(name string) (Fault, bool) {
	i := slices.IndexFunc(Faults, func(f Fault) bool { return f.Name == name })
	if i < 0 {
		return Fault{}, false
	}
	return Faults[i], true
}

// Inject injects the fault now, for a duration of d.
func (f Fault) Inject(sim *Simulation, target Target, d time.Duration) {
	sim.Log("%v injecting fault %s for %v", sim.Now, f.Name, d)
	sim.extendFaultPeriod(d)
	f.inject(sim, target, d)
}

// Faults of controllers.

// restartNode stops the controller's process and starts it again after d, without the state that it
// kept in memory.
func restartNode(_ *Simulation, target Target, d time.Duration) { target.Node.Restart(d) }

// restartNodeAndRepeatCommands stops the controller's process and starts it again after d. Workers
// receive again the commands that the process sent them in direct calls.
func restartNodeAndRepeatCommands(_ *Simulation, target Target, d time.Duration) {
	target.Node.Restart(d)
	target.Node.repeatSentCommands(d)
}

const (
	// maxIsolatedRestartTime is how long the process is down at most in restartWithoutMessages.
	maxIsolatedRestartTime = second
	// slowStartTime is how long after its start the process gets slow answers.
	slowStartTime = 5 * second
)

// restartWithoutMessages stops the controller's process and starts it again within
// maxIsolatedRestartTime. For d after that, all messages between it and the other controllers are lost.
// The state service answers its first requests slowly, each by a delay of its own.
func restartWithoutMessages(sim *Simulation, target Target, d time.Duration) {
	downTime := time.Duration(sim.Rand.Float64() * float64(maxIsolatedRestartTime))
	sim.cutFromPeers(target.Node, downTime+d, false)
	target.Node.Restart(downTime)
	sim.State.slowResponsesFor(target.Node.Name, downTime+slowStartTime)
}

// restartAllInTurn stops all controllers at once and starts them again one after the other within
// d.
func restartAllInTurn(sim *Simulation, _ Target, d time.Duration) {
	for i, n := range sim.Nodes {
		n.Restart(d * time.Duration(i+1) / time.Duration(len(sim.Nodes)))
	}
}

// restartAllTogether stops all controllers at once and starts them again together after d.
func restartAllTogether(sim *Simulation, _ Target, d time.Duration) {
	for _, n := range sim.Nodes {
		n.Restart(d)
	}
}

// freezeNode pauses the controller's process for d.
func freezeNode(_ *Simulation, target Target, d time.Duration) { target.Node.Freeze(d) }

// Faults of the state service and of the network to it.

const (
	// slowTransactionTime is how long a transaction takes while the state service is slow.
	slowTransactionTime = 1200 * millisecond
	// outageAfterRefusal is the time from the start of the refusal to the outage that follows it.
	// outageBeyondCancel is by how much the outage lasts longer than a cancellation may take.
	outageAfterRefusal = 2 * second
	outageBeyondCancel = 8 * second
)

func stateOutage(sim *Simulation, _ Target, d time.Duration) { sim.State.Outage(d) }

func stateRefusesNode(sim *Simulation, target Target, d time.Duration) {
	sim.State.Refuse(target.Node.Name, d)
}

// stateRefusesThenOutage makes the state service refuse one controller's requests, and then be
// unavailable to all for longer than a cancellation may take.
func stateRefusesThenOutage(sim *Simulation, target Target, d time.Duration) {
	sim.State.Refuse(target.Node.Name, d)
	sim.After(outageAfterRefusal, func() { sim.State.Outage(sim.Cfg.CancelWithin + outageBeyondCancel) })
}

// cancelDuringRefusal is stateRefusesThenOutage, and users cancel running jobs at its start. The
// transactions of the first second are executed, and their replies are lost.
func cancelDuringRefusal(sim *Simulation, target Target, d time.Duration) {
	stateRefusesThenOutage(sim, target, d)
	sim.State.replyLoss.start(sim, maxTotalLossDuration, true)
	sim.CancelRunningJobs(maxCancelledJobs, 0)
}

// cutFromState returns a fault that cuts a controller from the state service. With holdPackets,
// packets are delivered when the cut ends; otherwise they are lost.
func cutFromState(holdPackets bool) injectFunc {
	return func(sim *Simulation, target Target, d time.Duration) {
		sim.CutNetwork(target.Node.Name, stateHost, d, holdPackets)
	}
}

// slowAnswersOfState makes the state service answer all controllers' requests late, each by a delay of
// its own.
func slowAnswersOfState(sim *Simulation, _ Target, d time.Duration) {
	sim.State.slowResponsesFor("", d)
}

func slowState(sim *Simulation, _ Target, d time.Duration) {
	sim.State.slowTransactionsFor(slowTransactionTime, d)
}

// loseReplies returns a fault that loses replies to transactions. The transactions are executed
// immediately (atOnce) or late.
func loseReplies(atOnce bool) injectFunc {
	return func(sim *Simulation, _ Target, d time.Duration) { sim.State.replyLoss.start(sim, d, atOnce) }
}

// Faults of the network.

// cutNodeWith returns a fault that cuts a controller's connections with a method of Simulation.
func cutNodeWith(cut func(sim *Simulation, node *Node, d time.Duration, holdPackets bool), holdPackets bool) injectFunc {
	return func(sim *Simulation, target Target, d time.Duration) { cut(sim, target.Node, d, holdPackets) }
}

// cutZone cuts a zone from everything outside it, and holds the packets until the cut ends.
func cutZone(sim *Simulation, target Target, d time.Duration) {
	sim.CutZoneFromOutside(target.zone(), d, true)
}

// cutMachine returns a fault that cuts a machine from all controllers.
func cutMachine(holdPackets bool) injectFunc {
	return func(sim *Simulation, target Target, d time.Duration) {
		sim.cutWorkerFromNodes(target.Worker, d, holdPackets)
	}
}

// Faults of machines and of the cloud.

// onMachine returns a fault that does nothing if the target has no machine.
func onMachine(inject func(worker *Worker, d time.Duration)) injectFunc {
	return func(_ *Simulation, target Target, d time.Duration) {
		if target.Worker != nil {
			inject(target.Worker, d)
		}
	}
}

// killZoneBoundMachine terminates a machine that runs a task of a job with a constraint on zones.
func killZoneBoundMachine(sim *Simulation, _ Target, _ time.Duration) {
	for _, worker := range sim.AliveWorkers() {
		for id := range worker.attempts {
			if s := sim.Jobs[id.Job].Spec; s.Zone != "" || s.OneZone || s.SpreadZones {
				worker.Terminate()
				return
			}
		}
	}
}

// reclaimSpot gives a spot instance a spot notice with a notice period of d, unless it has received
// one already.
func reclaimSpot(worker *Worker, d time.Duration) {
	if worker.spot && worker.reclaimAt == 0 {
		worker.GiveSpotNotice(d)
	}
}

// copyHeartbeatsLate makes late copies of some heartbeats arrive.
func copyHeartbeatsLate(sim *Simulation, _ Target, d time.Duration) {
	sim.heartbeatCopyFaults.lateCopiesUntil = sim.beginFaultPeriod(d)
}

// keepHeartbeatCopies keeps copies of heartbeats, which arrive once a controller claims the shard.
func keepHeartbeatCopies(sim *Simulation, _ Target, d time.Duration) {
	sim.heartbeatCopyFaults.keepCopiesUntil = sim.beginFaultPeriod(d)
}

func cloudOutage(sim *Simulation, _ Target, d time.Duration) { sim.Cloud.StartOutage(d) }

// Requests of users at critical times.

const (
	// maxCancelledJobs is how many running jobs are cancelled at the same time.
	maxCancelledJobs = 8
	// cancelOnAcceptanceShare is the share of jobs that their users cancel as soon as they are
	// accepted.
	cancelOnAcceptanceShare = 0.1
)

// cancelTarget cancels the target's job.
func cancelTarget(sim *Simulation, target Target, _ time.Duration) {
	if target.Job != nil && !target.Job.CancelRequested {
		sim.Cancel(target.Job)
	}
}

func cancelRunning(sim *Simulation, _ Target, d time.Duration) {
	sim.CancelRunningJobs(maxCancelledJobs, d)
}

// cancelFinishing makes users cancel some jobs as their last task completes.
func cancelFinishing(sim *Simulation, _ Target, d time.Duration) {
	sim.cancelFinishingUntil = sim.beginFaultPeriod(d)
}

func startPollBursts(sim *Simulation, _ Target, d time.Duration) {
	sim.StartPollBursts(d, cancelOnAcceptanceShare)
}

func sendUnusualRequests(sim *Simulation, _ Target, d time.Duration) { sim.SendUnusualRequests(d) }
