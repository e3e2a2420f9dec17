package fake

import (
	"time"

	"roadcleat/internal/core"
)

// sentCommandsPeriod is for how long workers may receive a command again after it was sent.
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

// repeatSentCommands executes again, within d, the commands that the node's newest process has sent,
// whether or not the process still runs.
func (n *Node) repeatSentCommands(d time.Duration) {
	n.simulation.executeCommandsAgain(n.sentCommands, d)
}

// executeCommandsAgain executes direct calls again, each at a random time within d.
func (sim *Simulation) executeCommandsAgain(calls []sentCommands, d time.Duration) {
	for _, sent := range calls {
		delay := time.Duration(sim.Rand.Float64() * float64(d))
		sim.After(delay, func() {
			sim.runOnWorker(sent.operation.Address, func(worker *Worker) {
				worker.handleCommands(sent.operation, func(core.Result) {})
			})
		})
	}
}
