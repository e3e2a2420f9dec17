package fake

import (
	"time"

	"roadcleat/internal/core"
)

// sentCommandsPeriod is how long before its end a process has sent the commands that workers may
// receive again after its end.
const sentCommandsPeriod = 90 * time.Second

// sentCommands is a direct call with commands that a controller process has sent.
type sentCommands struct {
	sentAt    time.Duration
	operation core.SendCommands
}

// recordSentCommands records a direct call and drops those before sentCommandsPeriod.
func (n *Node) recordSentCommands(operation core.SendCommands) {
	now := n.simulation.Now
	for len(n.sentCommands) > 0 && now > n.sentCommands[0].sentAt+sentCommandsPeriod {
		n.sentCommands = n.sentCommands[1:]
	}
	if len(operation.Commands) > 0 {
		n.sentCommands = append(n.sentCommands, sentCommands{now, operation})
	}
}

// repeatSentCommands executes again, within d, the commands that the node's process has sent. The
// process must have stopped: only the requests of an ended process are repeated.
func (n *Node) repeatSentCommands(d time.Duration) {
	sim := n.simulation
	for _, sent := range n.sentCommands {
		delay := time.Duration(sim.Rand.Float64() * float64(d))
		sim.After(delay, func() {
			sim.runOnWorker(sent.operation.Address, func(worker *Worker) {
				worker.handleCommands(sent.operation, func(core.Result) {})
			})
		})
	}
	n.sentCommands = nil
}
