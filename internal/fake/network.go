package fake

import (
	"time"

	"roadcleat/internal/core"
)

// Host names in the network. Controllers and workers are hosts under their own names.
const (
	stateHost = "state"
	cloudHost = "cloud"
	usersHost = "users"
)

// A packet's latency is uniformly distributed from the minimum to the minimum plus the spread.
const (
	minLatencyMicros    = 500
	latencySpreadMicros = 2500
)

// networkCut is an interruption of the network from one host to another.
type networkCut struct {
	holdPackets bool // packets are delivered when the cut ends; otherwise they are lost
	until       time.Duration
}

// activeCut returns the cut in force now for packets from one host to another, or nil.
func (sim *Simulation) activeCut(from, to string) *networkCut {
	if c := sim.networkCuts[[2]string{from, to}]; c != nil && sim.Now < c.until {
		return c
	}
	return nil
}

// CutNetwork interrupts the network between two hosts in both directions for d. With holdPackets,
// packets are delivered when the cut ends; otherwise they are lost.
func (sim *Simulation) CutNetwork(a, b string, d time.Duration, holdPackets bool) {
	sim.extendFaultPeriod(d)
	c := &networkCut{holdPackets, sim.Now + d}
	sim.networkCuts[[2]string{a, b}] = c
	sim.networkCuts[[2]string{b, a}] = c
	sim.Log("%v network cut between %s and %s for %v, holdPackets=%v", sim.Now, a, b, d, holdPackets)
}

// CutNetworkOneWay drops the packets from one host to another for d. The opposite direction stays
// open.
func (sim *Simulation) CutNetworkOneWay(from, to string, d time.Duration) {
	sim.extendFaultPeriod(d)
	sim.networkCuts[[2]string{from, to}] = &networkCut{false, sim.Now + d}
	sim.Log("%v network cut from %s to %s for %v", sim.Now, from, to, d)
}

// CutWorkerInbound drops all packets from controllers to a machine for d. Its heartbeats still
// reach the controllers.
func (sim *Simulation) CutWorkerInbound(worker *Worker, d time.Duration) {
	for _, n := range sim.Nodes {
		sim.CutNetworkOneWay(n.Name, worker.name, d)
	}
}

// CutWorkerOutbound keeps a machine from opening connections to any controller for d. Connections
// that controllers open still reach it, and it replies on them.
func (sim *Simulation) CutWorkerOutbound(worker *Worker, d time.Duration) {
	sim.extendFaultPeriod(d)
	sim.Log("%v outbound connections of %s cut for %v", sim.Now, worker.name, d)
	worker.outboundCutUntil = sim.Now + d
}

// CutFromStateServiceAndPeers cuts a controller from the state service and the other controllers
// for d, but not from the workers, the cloud and the users.
func (sim *Simulation) CutFromStateServiceAndPeers(node *Node, d time.Duration, holdPackets bool) {
	sim.CutNetwork(node.Name, stateHost, d, holdPackets)
	sim.cutFromPeers(node, d, holdPackets)
}

// EndCut ends the cuts between two hosts. Packets already held are still delivered at the
// time at which the cut was to end.
func (sim *Simulation) EndCut(a, b string) {
	delete(sim.networkCuts, [2]string{a, b})
	delete(sim.networkCuts, [2]string{b, a})
}

// cutFromPeers cuts a controller from all other controllers.
func (sim *Simulation) cutFromPeers(node *Node, d time.Duration, holdPackets bool) {
	for _, other := range sim.Nodes {
		if other != node {
			sim.CutNetwork(node.Name, other.Name, d, holdPackets)
		}
	}
}

// cutFromZoneWorkers cuts a controller from the machines of a zone, or from all machines if
// the zone is empty.
func (sim *Simulation) cutFromZoneWorkers(node *Node, zone string, d time.Duration, holdPackets bool) {
	for _, worker := range sim.AliveWorkers() {
		if zone == "" || worker.zone == zone {
			sim.CutNetwork(node.Name, worker.name, d, holdPackets)
		}
	}
}

// cutFromAllWorkers cuts a controller from all machines.
func (sim *Simulation) cutFromAllWorkers(node *Node, d time.Duration, holdPackets bool) {
	sim.cutFromZoneWorkers(node, "", d, holdPackets)
}

// cutFromEverything cuts a controller from all other hosts.
func (sim *Simulation) cutFromEverything(node *Node, d time.Duration, holdPackets bool) {
	sim.cutFromServicesAndUsers(node, d, holdPackets)
	sim.cutFromPeers(node, d, holdPackets)
	sim.cutFromAllWorkers(node, d, holdPackets)
}

// cutFromServicesAndUsers cuts a controller from the state service, the cloud and the users.
func (sim *Simulation) cutFromServicesAndUsers(node *Node, d time.Duration, holdPackets bool) {
	for _, host := range []string{stateHost, cloudHost, usersHost} {
		sim.CutNetwork(node.Name, host, d, holdPackets)
	}
}

// cutWorkerFromNodes cuts a machine from all controllers. It does nothing if the worker is nil.
func (sim *Simulation) cutWorkerFromNodes(worker *Worker, d time.Duration, holdPackets bool) {
	if worker == nil {
		return
	}
	for _, n := range sim.Nodes {
		sim.CutNetwork(n.Name, worker.name, d, holdPackets)
	}
}

// CutZoneFromOutside cuts the machines and controllers of a zone from all hosts outside it,
// including the state service, the cloud and the users. The network inside the zone works.
func (sim *Simulation) CutZoneFromOutside(zone string, d time.Duration, holdPackets bool) {
	for _, node := range sim.Nodes {
		if node.zone != zone {
			sim.cutFromZoneWorkers(node, zone, d, holdPackets)
			continue
		}
		sim.cutFromServicesAndUsers(node, d, holdPackets)
		for _, other := range sim.Nodes {
			if other.zone != zone {
				sim.CutNetwork(node.Name, other.Name, d, holdPackets)
			}
		}
		for _, worker := range sim.AliveWorkers() {
			if worker.zone != zone {
				sim.CutNetwork(node.Name, worker.name, d, holdPackets)
			}
		}
	}
}

// randomLatency draws a packet's time from its sender to its receiver.
func (sim *Simulation) randomLatency() time.Duration {
	return sim.ExtraLatency + time.Duration(minLatencyMicros+sim.Rand.IntN(latencySpreadMicros))*time.Microsecond
}

// sendPacket runs deliver when a packet from one host arrives at another. It is never run if
// a cut drops the packet.
func (sim *Simulation) sendPacket(from, to string, deliver func()) {
	if c := sim.activeCut(from, to); c != nil {
		if c.holdPackets {
			sim.After(c.until-sim.Now+sim.randomLatency(), deliver)
		}
		return
	}
	sim.After(sim.randomLatency(), deliver)
}

// rpc sends a request to a host, where exec runs and replies through its argument. onResult
// is called once, with the reply or, after the timeout, with timeoutResult. Packets in
// flight at the timeout still arrive.
func rpc[R any](
	sim *Simulation, from, to string, timeout time.Duration, timeoutResult R, exec func(reply func(R)), onResult func(R),
) {
	finished := false
	finish := func(res R) {
		if !finished {
			finished = true
			onResult(res)
		}
	}
	sim.sendPacket(from, to, func() {
		exec(func(res R) {
			sim.sendPacket(to, from, func() { finish(res) })
		})
	})
	sim.After(timeout, func() { finish(timeoutResult) })
}

// deliverDelayed runs deliver after the delay that PacketDelay returns for a worker's packet.
// A negative delay means that the packet is lost.
func (sim *Simulation) deliverDelayed(worker *Worker, packet any, deliver func()) {
	delay := time.Duration(0)
	if sim.PacketDelay != nil && worker != nil {
		delay = sim.PacketDelay(worker, packet)
	}
	switch {
	case delay > 0:
		sim.extendFaultPeriod(delay)
		sim.Log("%v packet of worker %s delayed by %v: %T %+v", sim.Now, worker.name, delay, packet, packet)
		sim.After(delay, deliver)
	case delay == 0:
		deliver()
	}
}

// launchesTaskOf reports whether a packet has a command to launch a task of the job.
func launchesTaskOf(packet any, job string) bool {
	op, _ := packet.(core.SendCommands)
	for _, command := range op.Commands {
		if command.Verb == core.VerbLaunch && command.Task.Job == job {
			return true
		}
	}
	return false
}

// hostOfAddress returns the host name of a worker's address. In this network both are equal.
func hostOfAddress(address string) string { return address }

// runOnWorker runs f on a worker: at once, or when the machine is no longer paused. It does
// nothing if the machine has been terminated.
func (sim *Simulation) runOnWorker(address string, f func(*Worker)) {
	worker := sim.Workers[address]
	switch {
	case worker == nil || worker.terminated:
	case sim.Now < worker.pausedUntil:
		sim.After(worker.pausedUntil-sim.Now+time.Millisecond, func() { sim.runOnWorker(address, f) })
	default:
		worker.expireLease()
		f(worker)
	}
}
