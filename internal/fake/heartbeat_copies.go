package fake

import (
	"sort"
	"time"

	"roadcleat/internal/core"
)

const (
	// heartbeatsPerLateCopy means that one in so many heartbeats is duplicated with a delay.
	heartbeatsPerLateCopy = 3
	// minLateCopyDelay is the minimum delay of a late copy. The maximum is two worker leases
	// more.
	minLateCopyDelay = 2 * time.Second
	// keptCopySpreadMillis is the period over which kept copies arrive.
	keptCopySpreadMillis = 1500
)

// heartbeatCopyFaults is the state of the injected faults that duplicate heartbeats. A copy
// arrives after the original heartbeat, and its reply is discarded.
type heartbeatCopyFaults struct {
	lateCopiesUntil time.Duration              // some heartbeats are duplicated with a delay until then
	keepCopiesUntil time.Duration              // copies are kept for the shard's next owner until then
	keptByZone      map[string][]keptHeartbeat // the kept copies in the order in which they were sent
}

// keptHeartbeat is a copy of a heartbeat kept until the shard's next owner claims it.
type keptHeartbeat struct {
	workerName string
	status     core.WorkerStatus
}

// makeHeartbeatCopies applies the faults in force to a heartbeat that is being sent.
func (sim *Simulation) makeHeartbeatCopies(worker *Worker, status core.WorkerStatus) {
	c := &sim.heartbeatCopyFaults
	if sim.Now < c.lateCopiesUntil && sim.Rand.IntN(heartbeatsPerLateCopy) == 0 {
		node := sim.Nodes[worker.nodeIndex]
		delay := minLateCopyDelay + time.Duration(sim.Rand.Float64()*float64(2*sim.Cfg.WorkerLease))
		sim.extendFaultPeriod(delay)
		sim.After(delay, func() { node.receiveHeartbeat(status) })
	}
	if sim.Now < c.keepCopiesUntil {
		if c.keptByZone == nil {
			c.keptByZone = map[string][]keptHeartbeat{}
		}
		c.keptByZone[worker.zone] = append(c.keptByZone[worker.zone], keptHeartbeat{worker.name, status})
	}
}

// deliverKeptCopies delivers kept heartbeats of a zone to every controller after a claim of
// the zone's shard: the oldest and the newest of each machine, with random delays.
func (sim *Simulation) deliverKeptCopies(_, zone string) {
	oldest, newest := map[string]core.WorkerStatus{}, map[string]core.WorkerStatus{}
	for _, copied := range sim.heartbeatCopyFaults.keptByZone[zone] {
		if _, ok := oldest[copied.workerName]; !ok {
			oldest[copied.workerName] = copied.status
		}
		newest[copied.workerName] = copied.status
	}
	delete(sim.heartbeatCopyFaults.keptByZone, zone)
	var machines []string
	for name := range oldest {
		machines = append(machines, name)
	}
	sort.Strings(machines)
	for _, name := range machines {
		for _, status := range []core.WorkerStatus{oldest[name], newest[name]} {
			for _, n := range sim.Nodes {
				delay := time.Duration(sim.Rand.IntN(keptCopySpreadMillis)) * time.Millisecond
				sim.After(delay, func() { n.receiveHeartbeat(status) })
			}
		}
	}
}
