package fake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// Free capacity is reserved for a more urgent job that cannot use it, since its team's limit forbids
// that. A less urgent job must get the capacity within 90 s.
func TestCapacityUnusableByUrgentJobIsNotReservedForever(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Teams[1] = core.Team{Name: "blue", Guarantee: model.Resources{Cores: 4}, Limit: model.Resources{Cores: 8}}
	sim := New(71, cfg)
	t.Cleanup(func() { assert.Empty(t, sim.Checker.Violations, "invariant violations") })
	sim.Run(3 * time.Second)
	submitInZone := func(id, zone string, tasks, priority int, cores float64) *Job {
		jobSpec := newJobSpec(id, "blue", tasks, cores)
		jobSpec.Zone, jobSpec.Priority = zone, priority
		return sim.Submit(jobSpec, 4*time.Minute)
	}
	submitInZone("job-1", "c", 1, 1, 3)
	require.True(t, sim.RunUntil(40*time.Second, hasRunningTasks(sim, "job-1", 1)))
	large := submitInZone("job-2", "b", 2, 1, 3) // its second task would exceed the team's limit of 8 cores
	require.True(t, sim.RunUntil(40*time.Second, hasRunningTasks(sim, "job-2", 1)))
	small := submitInZone("job-3", "a", 1, 2, 0.5)
	assert.True(t, sim.RunUntil(90*time.Second, hasRunningTasks(sim, "job-3", 1)), "the less urgent job uses the capacity that the urgent job cannot use")
	assert.False(t, hasRunningTasks(sim, "job-2", 2)() || large.ReportedFinal(), "the urgent job still waits for its second task")
	requireJobEnds(t, sim, small, 10*time.Minute)
	requireJobEnds(t, sim, large, 15*time.Minute)
}

// The free cores of a machine are reserved for jobs of teams with guarantees. A backfill job must
// not get them in its first 20 s and must end within 90 s after that.
func TestBackfillJobStartsDespiteReservedCapacity(t *testing.T) {
	sim := newSingleControllerSimulation(t, 72, func(c *core.Config) { *c = withGuestTeam(*c) })
	for kind := range sim.Cloud.AvailableMachines {
		sim.Cloud.AvailableMachines[kind] = 0
	}
	sim.Cloud.AvailableMachines[machineKindKey("large", "a", false)] = 1
	busy := sim.Submit(newJobSpec("job-1", "red", 3, 4), 10*time.Minute)
	require.True(t, sim.RunUntil(60*time.Second, hasRunningTasks(sim, "job-1", 3)))
	jobSpec := newJobSpec("job-2", "guest", 1, 4)
	jobSpec.Class, jobSpec.Priority = "visit", 3
	backfill := sim.Submit(jobSpec, 5*time.Second)
	sim.Run(20 * time.Second)
	require.Zero(t, backfill.TaskStarts, "the free cores of the machine are reserved for other jobs")
	requireJobEnds(t, sim, backfill, 90*time.Second)
	assert.False(t, busy.ReportedFinal())
}

// newSimulationWithReplicaToMove returns a simulation of two zones in which a service has a replica on
// the only machine of each zone. The machine of zone b is lost and can't be replaced, and a larger one
// is rented in zone a, so the replica of zone b is about to move there.
func newSimulationWithReplicaToMove(t *testing.T, seed uint64, controllers ...string) *Simulation {
	t.Helper()
	cfg := DefaultConfig()
	cfg.Zones = []string{"a", "b"}
	sim := NewWithControllers(seed, cfg, controllers...)
	t.Cleanup(func() { assert.Empty(t, sim.Checker.Violations, "invariant violations") })
	available := sim.Cloud.AvailableMachines
	for kind := range available {
		available[kind] = 0
	}
	smallInA, smallInB, largeInA := machineKindKey("small", "a", true), machineKindKey("small", "b", true), machineKindKey("large", "a", true)
	available[smallInA], available[smallInB] = 1, 1
	sim.Run(3 * time.Second)
	for _, zone := range cfg.Zones { // makes the owner rent the machine of each zone
		spec := newJobSpec("job-"+zone, "red", 1, 1)
		spec.Zone = zone
		requireJobEnds(t, sim, sim.Submit(spec, time.Second), time.Minute)
	}
	spec := newJobSpec("job-1", "red", 2, 3)
	spec.Service, spec.EstimatedRunSeconds = true, 0
	sim.Submit(spec, time.Hour)
	require.True(t, sim.RunUntil(time.Minute, hasRunningTasks(sim, "job-1", 2)))
	for _, worker := range sim.AliveWorkers() {
		if worker.zone == "b" {
			worker.Terminate()
			worker.removedFromCloud = true // so the cloud does not offer a replacement
		}
	}
	available[smallInB], available[largeInA] = 0, 1
	extraDemand := newJobSpec("job-2", "red", 1, 2)
	extraDemand.Zone = "a"
	sim.Submit(extraDemand, 5*time.Minute)
	return sim
}

// A transaction moves a replica to another shard of the same owner. It is applied, and its reply is
// lost. The owner must find the replica in the other shard and launch it.
func TestReplicaMovedByTransactionWithLostReplyIsLaunched(t *testing.T) {
	sim := newSimulationWithReplicaToMove(t, 73, "a") // one owner of both shards
	service := sim.Jobs["job-1"]
	lost := 0
	sim.State.LoseReply = func(_ string, txn core.Txn) (bool, time.Duration) {
		if changesKey(txn, "slice/a/job-1") && changesKey(txn, "slice/b/job-1") {
			lost++
		}
		return lost == 1 && changesKey(txn, "slice/a/job-1"), 0 // the transaction is applied
	}
	require.True(t, sim.RunUntil(2*time.Minute, func() bool { return lost > 0 }), "the reply to the move is lost")
	assert.True(t, sim.RunUntil(time.Minute, hasRunningTasks(sim, "job-1", 2)), "the owner launches the moved replica")
	sim.Cancel(service)
	requireJobEnds(t, sim, service, time.Minute)
}
