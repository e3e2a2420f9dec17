package fake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/records"
)

// restartWithLowerEpochs restarts all controllers but the owner, one after the other. Each new
// process has a lower epoch than the one before, and receives messages that acknowledge gossip of
// the one before. Then all controllers are healthy again.
func (sim *missedCancellationSimulation) restartWithLowerEpochs() {
	epoch := uint64(1_000_000)
	sim.drawEpoch = func() uint64 {
		epoch -= 100_000
		return epoch
	}
	for _, node := range sim.Nodes[1:] {
		node.Restart(3 * time.Second)
		sim.Run(12 * time.Second)
	}
	require.Equal(sim.t, sim.owner, loadedOwnerOf(sim.Simulation, "a"))
}

// cancelWithLostReply cancels the job at the peer. The transaction is executed, and its reply is
// lost. From the confirmation to the user on, the state service refuses all controllers for 25 s
// longer than CancelWithin.
func (sim *missedCancellationSimulation) cancelWithLostReply() {
	sim.t.Helper()
	lost, confirmed := false, false
	sim.State.LoseReply = func(_ string, txn core.Txn) (bool, time.Duration) {
		lose := !lost && changesKey(txn, records.JobKey("job-1"))
		lost = lost || lose
		return lose, 0
	}
	sim.CancelAt(sim.peer, sim.jobToCancel, func() {
		confirmed = true
		sim.State.Outage(sim.Cfg.CancelWithin + 25*time.Second)
	})
	require.True(sim.t, sim.RunUntil(5*time.Second, func() bool { return confirmed }), "the cancellation is confirmed")
	require.True(sim.t, lost)
}

// A restarted controller takes an acknowledgement of its former process's gossip for one of its
// own gossip, and omits a cancellation from the gossip to a controller that has not received it
// (rule ran_cancelled).
func TestMissedCancellationIsRepeatedInGossipAfterRestart(t *testing.T) {
	sim := newMissedCancellationSimulation(t, 120, "a", "b", "c")
	sim.restartWithLowerEpochs()
	sim.refuseOwnerRequests()
	for _, node := range sim.Nodes[1:] { // messages that are sent once are lost
		sim.CutNetworkOneWay(node.Name, sim.owner.Name, 4*time.Second)
	}
	sim.cancelWithLostReply()
	assert.Less(t, sim.timeUntilTasksStopped(), 8*time.Second, "the owner receives the cancellation after the cut")
	assert.NotEmpty(t, sim.TasksByWorker("job-2"), "other tasks keep running")
}

// A message that a former process of the peer sent arrives late, during an outage of the state service.
// It must not be taken for a restart of the peer, whose new process would confirm nothing until the
// end of the outage: the owner would stop answering its workers, and tasks that nobody cancelled
// would end.
func TestLateMessageOfFormerProcessIsNoRestart(t *testing.T) {
	sim := newMissedCancellationSimulation(t, 122, "a", "b")
	var former core.Message
	sim.OnPeerMessage = func(from, _ string, message core.Message) {
		if from == sim.peer.Name && message.Gossip != nil {
			former = message
		}
	}
	sim.Run(time.Second)
	sim.OnPeerMessage = nil
	sim.restartWithLowerEpochs()
	sim.State.Outage(sim.Cfg.CancelWithin + 25*time.Second)
	sim.Run(3 * time.Second)
	sim.owner.handle(core.PeerMessage{PeerIndex: 0, Message: former})
	sim.Run(sim.Cfg.CancelWithin + 20*time.Second)
	assert.NotEmpty(t, sim.TasksByWorker("job-1"), "no task ends")
	assert.Equal(t, 2, sim.jobToCancel.TaskStarts)
}

// A cancellation whose transaction got no reply is found when the job is read again. The other
// controllers must receive it at once, as after a reply, and not only with the next gossip.
func TestCancellationWithLostReplyIsSentToPeers(t *testing.T) {
	sim := newMissedCancellationSimulation(t, 121, "a", "b", "c")
	sim.refuseOwnerRequests()
	sentTo := map[string]bool{}
	sim.OnPeerMessage = func(from, to string, message core.Message) {
		for _, item := range message.Jobs {
			sentTo[to] = sentTo[to] || from == sim.peer.Name && item.Key == records.JobKey("job-1")
		}
	}
	sim.cancelWithLostReply()
	assert.Equal(t, map[string]bool{"node-0": true, "node-2": true}, sentTo)
	sim.assertStoppedByPeerMessage()
}
