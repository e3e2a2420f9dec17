package fake

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// gpuDay is a world of machines with eight cards that boot and fetch slowly and report
// rarely. All controllers are in zone a; each zone has room for so many machines of each
// kind.
func gpuDay(t *testing.T, seed uint64, boot time.Duration, room int) *World {
	cfg := Settings()
	cfg.Teams = []core.Team{{Name: "flow", Guarantee: model.Resources{GPUs: 600}, Limit: model.Resources{GPUs: 2000}}}
	cfg.HeartbeatInterval, cfg.WorkerLease, cfg.CancelWithin = 8*time.Second, 38*time.Second, 58*time.Second
	w := NewWith(seed, cfg, "a", "a", "a")
	w.Cloud.Types = []model.MachineType{{Name: "cards", Capacity: model.Resources{Cores: 96, GPUs: 8, MemoryGB: 768}, CacheGB: 120,
		FetchGBPerSecond: 0.5, Price: 27, SpotPrice: 6.5, BootSeconds: boot.Seconds(), Zones: cfg.Zones}}
	w.Cloud.BootS = func(string) float64 { return boot.Seconds() }
	for _, z := range cfg.Zones {
		w.Cloud.Room[roomKey("cards", z, true)], w.Cloud.Room[roomKey("cards", z, false)] = room, room
	}
	if testing.Verbose() {
		w.Log = t.Logf
	}
	w.Run(5 * time.Second)
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	return w
}

// sweep is an array of tasks with a card each.
func sweep(id string, tasks int, estimate float64) model.JobSpec {
	return model.JobSpec{ID: id, Class: "sweep", Team: "flow", Priority: 2, Tasks: tasks, Need: model.Resources{Cores: 10, GPUs: 1, MemoryGB: 72},
		Spot: true, Image: "img", ImageGB: 1, EstimateSeconds: estimate}
}

// liveService is replicas with a card each that must be apart, on ordinary machines.
func liveService(id string, tasks int) model.JobSpec {
	return model.JobSpec{ID: id, Class: "live", Team: "flow", Priority: 0, Service: true, Tasks: tasks, Need: model.Resources{Cores: 8, GPUs: 1, MemoryGB: 58},
		SpreadZones: true, Image: "svc", ImageGB: 1}
}

func moves(w *World) (n uint64) {
	for _, node := range w.Nodes {
		n += node.Core.Stats().Rebalanced
	}
	return n
}

func TestAPartWhoseMachinesAllBootIsNotDark(t *testing.T) {
	w := gpuDay(t, 901, 60*time.Second, 20)
	for i := range 9 {
		w.Submit(sweep(fmt.Sprintf("job-%d", i), 24, 30), 30*time.Second)
		w.Run(time.Second)
	}
	w.Run(40 * time.Second)
	for _, z := range []string{"b", "c"} {
		require.GreaterOrEqual(t, w.machines(func(k *Worker) bool { return k.zone == z && !k.started }), 3, "machines boot in zone %s", z)
	}
	assert.Zero(t, moves(w), "work waits for the machines that boot for it")
}

func TestACrowdsMachinesAreAskedForAtOnce(t *testing.T) {
	w := gpuDay(t, 902, 60*time.Second, 40)
	requests := 0
	w.Cloud.LateRental = func(core.RentHosts) time.Duration {
		requests++
		return 0
	}
	var jobs []*Job
	for i := range 30 {
		jobs = append(jobs, w.Submit(sweep(fmt.Sprintf("job-%d", i), 8, 30), 30*time.Second))
	}
	require.True(t, w.Until(10*time.Second, accepted(jobs)))
	w.Run(3 * time.Second)
	assert.GreaterOrEqual(t, len(w.Workers), 30, "each job has a machine on its way")
	assert.Less(t, requests, 20, "not one request per job")
}

func TestServicesThatWaitAreNoQueue(t *testing.T) {
	w := gpuDay(t, 903, 60*time.Second, 60)
	var jobs []*Job
	for i := range 30 {
		jobs = append(jobs, w.Submit(liveService(fmt.Sprintf("job-s%d", i), 4), 0))
		jobs = append(jobs, w.Submit(sweep(fmt.Sprintf("job-%d", i), 40, 60), 60*time.Second))
		w.Run(time.Second)
	}
	require.True(t, w.Until(10*time.Second, accepted(jobs)))
	w.Run(5 * time.Second)
	spot := func(zone string) int {
		return w.machines(func(k *Worker) bool { return k.spot && (zone == "" || k.zone == zone) })
	}
	require.GreaterOrEqual(t, spot(""), 120, "machines for all sweeps")
	for _, z := range w.Cfg.Zones {
		assert.Less(t, spot(z), spot("")*6/10, "machines in zone %s", z)
	}
}

func TestWorkGoesToCheapMachinesThatAreYetToBoot(t *testing.T) {
	w := gpuDay(t, 904, 60*time.Second, 80)
	w.Cloud.Room[roomKey("cards", "a", true)] = 4
	w.Cloud.Room[roomKey("cards", "b", true)] = 4
	var jobs []*Job
	for i := range 24 {
		jobs = append(jobs, w.Submit(sweep(fmt.Sprintf("job-%d", i), 24, 120), 120*time.Second))
	}
	require.True(t, w.Until(10*time.Second, accepted(jobs)))
	w.Run(45 * time.Second)
	require.Positive(t, moves(w), "zones without cheap machines give work away")
	require.GreaterOrEqual(t, w.machines(func(k *Worker) bool { return k.zone == "c" && k.spot }), 40)
	assert.LessOrEqual(t, w.machines(func(k *Worker) bool { return !k.spot }), 6, "dear machines while cheap ones are to be had")
}

func TestAPoorEstimateOfOneJobGivesNoMachineUp(t *testing.T) {
	w := gpuDay(t, 905, 8*time.Second, 3)
	good := w.Submit(sweep("job-1", 24, 10), 10*time.Second)
	ends(t, w, good, 90*time.Second)
	poor := w.Submit(sweep("job-2", 6, 2), 20*time.Second)
	require.True(t, w.Until(20*time.Second, started(w, "job-2", 6)))
	require.Len(t, w.On("job-2"), 1, "all on one machine")
	long := w.Submit(sweep("job-3", 24, 60), 60*time.Second)
	require.True(t, w.Until(20*time.Second, started(w, "job-3", 18)))
	ends(t, w, poor, 60*time.Second)
	ends(t, w, long, 150*time.Second)
	assert.Equal(t, 24, long.Starts, "nothing is lost to a verdict on its machine")
}

func TestReplicasTakeTheRoomOfArrays(t *testing.T) {
	w := gpuDay(t, 906, 60*time.Second, 0)
	for _, z := range w.Cfg.Zones {
		w.Cloud.Room[roomKey("cards", z, false)] = 2
	}
	var arrays []*Job
	for _, z := range w.Cfg.Zones {
		array := sweep("job-"+z, 16, 300)
		array.Zone = z
		arrays = append(arrays, w.Submit(array, 300*time.Second))
	}
	running := func() bool {
		return started(w, "job-a", 16)() && started(w, "job-b", 16)() && started(w, "job-c", 16)()
	}
	require.True(t, w.Until(150*time.Second, running), "arrays have all machines")
	w.Submit(liveService("job-2", 6), 0)
	require.True(t, w.Until(15*time.Second, started(w, "job-2", 6)), "replicas need not wait for a machine")
	w.Run(20 * time.Second)
	starts := 0
	for _, j := range arrays {
		starts += j.Starts
	}
	assert.LessOrEqual(t, starts, 48+6, "no more is stopped than the replicas need")
	for _, j := range arrays {
		ends(t, w, j, 15*time.Minute)
	}
}

func TestMachinesWithoutACardLeftAreFull(t *testing.T) {
	w := gpuDay(t, 907, 10*time.Second, 20)
	array := sweep("job-1", 64, 200)
	array.Zone = "a"
	w.Submit(array, 200*time.Second)
	require.True(t, w.Until(60*time.Second, started(w, "job-1", 64)))
	require.True(t, w.Until(60*time.Second, func() bool {
		return w.machines(func(k *Worker) bool { return !k.gone }) > 8
	}), "room is kept for more: sixteen cores without a card are none")
}

func TestReplicasFindOrdinaryRoomReady(t *testing.T) {
	w := gpuDay(t, 908, 60*time.Second, 60)
	w.Submit(liveService("job-1", 80), 0)
	require.True(t, w.Until(150*time.Second, started(w, "job-1", 80)))
	w.Run(90 * time.Second)
	require.LessOrEqual(t, w.machines(func(k *Worker) bool { return !k.gone && !k.spot }), 15, "not more than a machine or two too many in a zone")
	w.Submit(liveService("job-2", 8), 0)
	assert.True(t, w.Until(15*time.Second, started(w, "job-2", 8)), "no replica waits for a machine to boot")
}

func TestANewOwnerGivesMachinesBackThatAreNoLongerListed(t *testing.T) {
	w := gpuDay(t, 909, 8*time.Second, 6)
	array := sweep("job-1", 8, 300)
	array.Zone = "b"
	w.Submit(array, 300*time.Second)
	require.True(t, w.Until(60*time.Second, started(w, "job-1", 8)))
	w.Run(20 * time.Second)
	for k := range w.On("job-1") {
		w.Cloud.Take(k.name) // without a notice
	}
	for _, n := range w.Nodes {
		n.Restart(time.Second)
	}
	claimed := w.Now + 4*time.Second // about then
	require.True(t, w.Until(time.Minute, started(w, "job-1", 8)))
	assert.Less(t, w.Now-claimed, 30*time.Second, "found gone, and started again on a machine that boots in eight seconds")
}
