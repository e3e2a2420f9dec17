package fake

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/records"
)

// Each of these tests guards the invariant of the core's watchState: a job that is accepted, moved or
// ended between the listing of a shard and the start of the watch must not be missed by the owner. No
// message between the controllers arrives, so the owner learns of it from the state service only.

// slowStart says by how much the state service delays the requests of a controller that has just
// started.
type slowStart struct {
	watchStart     time.Duration // execution of the listing that starts the watch on the jobs
	listingReply   time.Duration // reply to the listing of a shard's assignments
	comparison     time.Duration // execution of transactions that only compare
	watchExecution time.Duration // execution of each watch on the jobs
}

// apply makes the delays apply to the next process of the controller. onShardListed is called when the
// listing of a shard's assignments has been executed.
func (s slowStart) apply(sim *Simulation, node *Node, onShardListed func(zone string)) {
	shardListings := 0
	sim.State.RequestDelay = func(name string, op core.Operation) time.Duration {
		if name != node.Name {
			return 0
		}
		switch op := op.(type) {
		case core.ListKeys:
			if op.Prefix == records.ShardPrefix {
				if shardListings++; shardListings == 2 { // the first one starts the watch on the shards
					return s.watchStart
				}
				return 0
			}
			sim.After(maxLatency, func() { onShardListed(records.ParseKey(op.Prefix + "x").Zone) })
		case core.CommitTxn:
			if len(op.Txn.Mutations) == 0 {
				return s.comparison
			}
		case core.WatchKeys:
			if op.Prefix == records.JobPrefix {
				return s.watchExecution
			}
		}
		return 0
	}
	sim.State.ReplyDelay = func(name string, op core.Operation) time.Duration {
		if list, isList := op.(core.ListKeys); isList && name == node.Name && list.Prefix != records.ShardPrefix {
			return s.listingReply
		}
		return 0
	}
}

// maxLatency is longer than any packet takes to the state service.
const maxLatency = 5 * time.Millisecond

// submitAt has a user submit a job of one task, bound to a zone, to a controller, and keep the
// connection.
func submitAt(sim *Simulation, node *Node, id, zone string) *Job {
	spec := newJobSpec(id, "red", 1, 2)
	spec.Zone = zone
	job := &Job{Spec: spec, RunTime: 2 * time.Second, node: node}
	sim.submitJob(job)
	return job
}

// runJobAcceptedAfterListing restarts the owner of zone a's shard and submits a job for the zone once
// the shard's assignments have been listed. It requires that the job ends.
func runJobAcceptedAfterListing(t *testing.T, sim *Simulation, delays slowStart, onAccepted func()) {
	t.Helper()
	sim.Users.keepConnections = true
	owner := sim.OwnerOf("a")
	require.NotNil(t, owner)
	other := owner.peers()[0]
	submitAt(sim, other, "job-1", "a").RunTime = 5 * time.Minute // the load has an assignment to restore
	require.True(t, sim.RunUntil(time.Minute, hasRunningTasks(sim, "job-1", 1)))
	sim.cutFromPeers(owner, 3*time.Minute, false)
	var job *Job
	delays.apply(sim, owner, func(zone string) {
		if zone == "a" && job == nil {
			job = submitAt(sim, other, "job-2", "a")
			callOnceAccepted(sim, job, onAccepted)
		}
	})
	owner.Restart(300 * time.Millisecond)
	sim.Run(3 * time.Second)
	require.NotNil(t, job, "the shard was listed")
	require.True(t, job.Accepted)
	requireJobEnds(t, sim, job, 90*time.Second)
}

// callOnceAccepted calls f, unless nil, as soon as the job has been accepted.
func callOnceAccepted(sim *Simulation, job *Job, f func()) {
	sim.State.OnTxnExecuted = append(sim.State.OnTxnExecuted, func(_ string, t core.Txn, res core.CommitResult) {
		if f != nil && res.Outcome == core.OutcomeOK && changesKey(t, records.JobKey(job.Spec.ID)) {
			f()
			f = nil
		}
	})
}

// The restarted owner lists a shard, a job is accepted, and only then the owner's watch on the jobs
// starts.
func TestJobAcceptedBetweenListingAndWatchStartRuns(t *testing.T) {
	const ms = time.Millisecond
	for _, controllers := range [][]string{{"a", "b", "c"}, {"a", "b"}, {"a", "a"}, {"a", "b", "b"}} {
		for _, delays := range []slowStart{
			{watchStart: 300 * ms, comparison: 400 * ms},
			{watchStart: 900 * ms, comparison: 1500 * ms},
			{watchStart: 300 * ms, listingReply: 700 * ms},
			{watchStart: 1200 * ms, listingReply: 1700 * ms, comparison: 100 * ms},
			{watchStart: 600 * ms}, // the shard is loaded before the watch starts
		} {
			t.Run(fmt.Sprintf("%v %+v", controllers, delays), func(t *testing.T) {
				sim := NewWithControllers(140, DefaultConfig(), controllers...)
				sim.Run(3 * time.Second)
				runJobAcceptedAfterListing(t, sim, delays, nil)
				assert.Empty(t, sim.Checker.Violations)
			})
		}
	}
}

// While a shard is being loaded, the watch on the jobs is refused because the changes that it needs
// have been compacted, among them the acceptance of a job. It starts again before the load ends.
func TestJobAcceptedBeforeWatchRestartDuringLoadRuns(t *testing.T) {
	const ms = time.Millisecond
	for _, delays := range []slowStart{
		{listingReply: 900 * ms, watchExecution: 400 * ms},
		{comparison: 1200 * ms, watchExecution: 500 * ms},
	} {
		sim := newSettledSimulation(t, 141)
		compacted := false
		runJobAcceptedAfterListing(t, sim, delays, func() {
			sim.State.compactedRevision, compacted = sim.State.revision, true
		})
		assert.True(t, compacted)
	}
}

// The restarted owner is sent a message, queued for its former process, about the acceptance of a job
// that has been done since. The owner must not rent a machine for it.
func TestLateMessageAboutAcceptanceOfDoneJobIsCompared(t *testing.T) {
	sim := newSettledSimulation(t, 142)
	owner := sim.OwnerOf("a")
	other := owner.peers()[0] // its index is 0 in the owner's messages
	var acceptance core.Message
	sim.OnPeerMessage = func(from, to string, m core.Message) {
		if from == other.Name && to == owner.Name && len(m.Jobs) > 0 && acceptance.Jobs == nil {
			acceptance = m
		}
	}
	job := submitAt(sim, other, "job-1", "a")
	requireJobEnds(t, sim, job, time.Minute)
	require.NotEmpty(t, acceptance.Jobs)
	require.True(t, sim.RunUntil(2*time.Minute, allMachinesTerminated(sim)))
	owner.Restart(300 * time.Millisecond)
	sim.Run(5 * time.Second)
	require.Equal(t, owner, sim.OwnerOf("a"))
	_, known := owner.Core.Explain("job-1")
	require.False(t, known, "the new process has no record of the job")
	owner.handle(core.PeerMessage{PeerIndex: 0, Message: acceptance})
	sim.Run(3 * time.Second)
	explanation, known := owner.Core.Explain("job-1")
	assert.True(t, known)
	assert.Equal(t, "done", explanation.State)
	sim.Run(10 * time.Second)
	assert.True(t, allMachinesTerminated(sim)(), "no machine is rented for the job")
}

// A replica is moved to a shard while the shard's restarted owner loads it: after the listing of its
// assignments and before the end of the load. The owner must launch the replica.
func TestReplicaMovedToShardWhileItIsLoadedIsLaunched(t *testing.T) {
	sim := newSimulationWithReplicaToMove(t, 143, "a", "b")
	target := sim.OwnerOf("a")
	const moveDelay, comparisonDelay = time.Second, 1700 * time.Millisecond
	var listedAt, movedAt time.Duration
	sim.OnStepEvent = func(event StepEvent) {
		switch {
		case event.Step != MoveTasks || movedAt > 0:
		case event.Phase == PhaseBefore:
			sim.cutFromPeers(target, 10*time.Second, false)
			slowStart{comparison: comparisonDelay}.apply(sim, target, func(string) { listedAt = sim.Now })
			delayTarget := sim.State.RequestDelay
			sim.State.RequestDelay = func(name string, op core.Operation) time.Duration {
				if txn, isTxn := op.(core.CommitTxn); isTxn && isMove(txn.Txn) {
					return moveDelay
				}
				return delayTarget(name, op)
			}
			target.Restart(100 * time.Millisecond)
		case event.Phase == PhaseDuring:
			movedAt = sim.Now
		}
	}
	require.True(t, sim.RunUntil(2*time.Minute, func() bool { return movedAt > 0 }), "a replica is moved")
	require.Less(t, listedAt, movedAt, "the shard was listed before")
	require.NotZero(t, listedAt)
	assert.True(t, sim.RunUntil(time.Minute, hasRunningTasks(sim, "job-1", 2)), "the owner launches the moved replica")
}

// A late message makes a controller read the key of a shard whose owner has crashed. The reply arrives
// just after the watch has reported that the key was removed with the owner's lease. The controller
// must claim the shard nevertheless.
func TestShardIsClaimedThoughItsKeyWasReadBeforeRemoval(t *testing.T) {
	const readBeforeExpiry, maxReplyAfterExpiry, step = time.Second, 300 * time.Millisecond, 10 * time.Millisecond
	for after := time.Duration(0); after <= maxReplyAfterExpiry; after += step {
		sim := NewWithControllers(144, DefaultConfig(), "a", "b")
		sim.Run(3 * time.Second)
		owner, other := sim.Nodes[0], sim.Nodes[1]
		require.Equal(t, owner, sim.OwnerOf("a"))
		var epoch uint64
		sim.OnPeerMessage = func(from, _ string, m core.Message) {
			if from == owner.Name {
				epoch = m.Epoch
			}
		}
		sim.Run(time.Second)
		owner.Restart(time.Minute)
		sim.Run(50 * time.Millisecond) // a renewal of the lease may be on its way
		shardKey := records.ShardKey("a")
		expiresAt := sim.State.leases[sim.State.entries[shardKey].leaseID].expiresAt
		sim.Run(expiresAt - readBeforeExpiry - sim.Now)
		delayed := 0
		sim.State.ReplyDelay = func(name string, op core.Operation) time.Duration {
			if read, isRead := op.(core.ReadKey); isRead && name == other.Name && read.Key == shardKey {
				delayed++
				return readBeforeExpiry + after
			}
			return 0
		}
		other.handle(core.PeerMessage{Message: core.Message{Epoch: epoch, ReleasedShards: []string{"a"}}})
		require.Equal(t, 1, delayed)
		isClaimed := func() bool { return sim.OwnerOf("a") == other }
		assert.True(t, sim.RunUntil(20*time.Second, isClaimed), "the reply arrives %v after the expiry", after)
		assert.Empty(t, sim.Checker.Violations)
	}
}
