// Package fake simulates a deployment in memory for tests: the network, the state service, the
// cloud, the workers and the users run in simulated time, faults can be injected, and an
// InvariantChecker reports violations of the scheduler's rules. The controllers in a simulation run
// the real internal/core.
//
// A simulation is deterministic: all of it runs on one goroutine, time is simulated, and all random
// numbers come from the simulation's seeded generator in a fixed order.
package fake

import (
	"fmt"
	"math/rand/v2"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// Simulation is one simulated deployment. All of it runs on one goroutine.
type Simulation struct {
	Now     time.Duration // simulated time since the start
	Rand    *rand.Rand    // the only source of randomness, so that a seed reproduces the run
	Nodes   []*Node       // the controllers, by number
	State   *StateService
	Cloud   *Cloud
	Workers map[string]*Worker               // every machine ever rented, by name
	Jobs    map[string]*Job                  // every job that users submitted, by ID
	Checker *InvariantChecker                // reports violations of the scheduler's rules
	Cfg     core.Config                      // the configuration that all controllers share
	Log     func(format string, args ...any) // receives all log events; discards them by default

	// OnEffect, if set, is called with each effect of a controller's core before it is executed.
	OnEffect func(n *Node, effect core.Effect)
	// HeartbeatCopies, if set, returns the delays after which further copies of a heartbeat arrive.
	HeartbeatCopies func(worker *Worker) []time.Duration
	// RepeatRequest, if set, returns the delay after which a request is executed a second time; 0
	// means not at all. Commands that no worker has received are repeated only once the controller
	// process that sent them has stopped.
	RepeatRequest func(node string, op core.Operation) time.Duration
	// PacketDelay, if set, returns the additional latency of a worker's packet, which is one of:
	// commands (core.SendCommands), the reply to them (core.WorkerResult), a heartbeat
	// (core.WorkerStatus) or the reply to it (core.HeartbeatReply). A negative delay drops the
	// packet.
	PacketDelay func(worker *Worker, packet any) time.Duration
	// ExtraLatency is added to the latency of every packet.
	ExtraLatency time.Duration
	// OnPeerMessage, if set, is called with every message from one controller to another.
	OnPeerMessage func(from, to string, m core.Message)
	// Users counts the users' unusual requests.
	Users Users
	// ChangePeerMessage, if set, returns the message to send in place of one that a controller
	// sends to another.
	ChangePeerMessage func(n *Node, m core.Message) core.Message
	// FaultsEndAt is when the last of the faults injected so far ends. Some invariants hold only after
	// that time.
	FaultsEndAt time.Duration
	// OnStepEvent, if set, is called at every phase of every protocol step.
	OnStepEvent func(StepEvent)

	drawEpoch              func() uint64             // returns the epoch of the next controller process
	heartbeatCopyFaults    heartbeatCopyFaults       // state of the faults that duplicate heartbeats
	cancelFinishingUntil   time.Duration             // until then users cancel some jobs as their last task completes
	eventQueue             eventQueue                // the scheduled events
	lastEventSeq           int                       // sequence number of the event scheduled last
	invalidSubmissionCount int                       // number of invalid jobs that submitInvalid has submitted
	networkCuts            map[[2]string]*networkCut // interrupted connections, by sender and receiver
}

// epochRandStream is the stream number of the random generator that draws epochs. Epochs are random
// numbers, as in a real process, so that a restarted process may have a lower epoch than before.
const epochRandStream = 3

// DefaultConfig returns the configuration of a small deployment: three zones with one controller
// each, and two teams.
func DefaultConfig() core.Config {
	return core.Config{
		Zones: []string{"a", "b", "c"},
		Teams: []core.Team{
			{Name: "red", Guarantee: model.Resources{Cores: 16}, Limit: model.Resources{Cores: 40}},
			{Name: "blue", Guarantee: model.Resources{Cores: 8}, Limit: model.Resources{Cores: 16}},
		},
		HeartbeatInterval: 3 * time.Second,
		WorkerLease:       14 * time.Second,
		CancelWithin:      44 * time.Second,
		HostListLag:       3 * time.Second,
		MaxTxnMutations:   12,
		MaxValueBytes:     16 << 10,
		Tuning: core.Tuning{
			FetchSecondsPerGB:   5,
			MaxPartialSchedules: 32,
			ReturnIdleAfter:     25 * time.Second,
			DemandWindow:        40 * time.Second,
			SpareCapacityRatio:  0.2,
			ReturnSilentAfter:   14 * time.Second,
			LeaseTTL:            8 * time.Second,
			TakeoverDelay:       2 * time.Second,
		},
	}
}

// New returns a simulation in which one controller has been started in each zone.
func New(seed uint64, cfg core.Config) *Simulation {
	return NewWithControllers(seed, cfg, cfg.Zones...)
}

// NewWithControllers returns a simulation in which one controller has been started for each element
// of controllers, which names the controller's zone. Zones may be left out or named more than once.
func NewWithControllers(seed uint64, cfg core.Config, controllers ...string) *Simulation {
	sim := &Simulation{
		Rand:        rand.New(rand.NewPCG(seed, 1)),
		drawEpoch:   rand.New(rand.NewPCG(seed, epochRandStream)).Uint64,
		Workers:     map[string]*Worker{},
		Jobs:        map[string]*Job{},
		Cfg:         cfg,
		Log:         func(string, ...any) {},
		networkCuts: map[[2]string]*networkCut{},
	}
	sim.Checker = newInvariantChecker(sim)
	sim.State = newStateService(sim)
	sim.OnClaim(sim.deliverKeptCopies)
	sim.Cloud = newCloud(sim)
	for i, zone := range controllers {
		node := &Node{simulation: sim, Name: fmt.Sprintf("node-%d", i), zone: zone}
		sim.Nodes = append(sim.Nodes, node)
	}
	for _, n := range sim.Nodes {
		n.Start()
	}
	return sim
}

// extendFaultPeriod records that a fault lasts until d from now.
func (sim *Simulation) extendFaultPeriod(d time.Duration) {
	sim.FaultsEndAt = max(sim.FaultsEndAt, sim.Now+d)
}

// beginFaultPeriod records that a fault lasts until d from now, and returns that time.
func (sim *Simulation) beginFaultPeriod(d time.Duration) time.Duration {
	sim.extendFaultPeriod(d)
	return sim.Now + d
}

// OwnerOf returns the running controller that owns a zone's shard, or nil if there is none.
func (sim *Simulation) OwnerOf(zone string) *Node {
	for _, node := range sim.Nodes {
		if !node.isRunning {
			continue
		}
		for _, shard := range node.Core.Status().Shards {
			if shard.Zone == zone && shard.OwnedHere {
				return node
			}
		}
	}
	return nil
}
