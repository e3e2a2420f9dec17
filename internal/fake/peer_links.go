package fake

import (
	"slices"
	"time"

	"roadcleat/internal/core"
)

// Connections between controllers, like those of internal/peer.
const (
	maxQueuedPeerMessages = 64 // per connection; beyond it the oldest message is dropped
	peerReconnectDelay    = 200 * time.Millisecond
)

// peerLink is a controller process's connection to another controller. While the other controller's
// process does not run, messages to it are queued. Its next process receives them.
type peerLink struct {
	isDown bool
	queue  []core.Message
}

// enqueue queues a message until the link is connected again.
func (l *peerLink) enqueue(message core.Message) {
	if len(l.queue) == maxQueuedPeerMessages {
		l.queue = l.queue[1:]
	}
	l.queue = append(l.queue, message)
}

// peers returns the other nodes, in the order in which the node's core numbers its peers.
func (n *Node) peers() []*Node {
	var peers []*Node
	for _, other := range n.simulation.Nodes {
		if other != n {
			peers = append(peers, other)
		}
	}
	return peers
}

// hasStopped reports whether the node's process has stopped. Before the first process has started,
// messages to the node are lost instead of being queued.
func (n *Node) hasStopped() bool { return n.processEpoch > 0 && !n.isRunning }

// linkTo returns the process's connection to another controller.
func (n *Node) linkTo(to *Node) *peerLink {
	link := n.peerLinks[to.Name]
	if link == nil {
		link = &peerLink{}
		n.peerLinks[to.Name] = link
	}
	return link
}

// sendToPeer sends a message to another controller, or queues it while that controller's process
// does not run.
func (n *Node) sendToPeer(send core.SendToPeer) {
	to := n.peers()[send.PeerIndex]
	if n.simulation.OnPeerMessage != nil {
		n.simulation.OnPeerMessage(n.Name, to.Name, send.Message)
	}
	if n.simulation.ChangePeerMessage != nil {
		send.Message = n.simulation.ChangePeerMessage(n, send.Message)
	}
	link := n.linkTo(to)
	link.isDown = link.isDown || to.hasStopped()
	if link.isDown {
		link.enqueue(send.Message)
		return
	}
	n.transmitToPeer(to, send.Message)
}

// transmitToPeer sends a message over the network. The message is lost if the receiver restarts
// before it arrives, because that breaks the connection.
func (n *Node) transmitToPeer(to *Node, message core.Message) {
	from := slices.Index(to.peers(), n)
	receiverEpoch := to.processEpoch
	n.simulation.sendPacket(n.Name, to.Name, func() {
		if to.isRunningEpoch(receiverEpoch) {
			to.handle(core.PeerMessage{PeerIndex: from, Message: message})
		}
	})
}

// reconnectPeersTo makes the other controllers connect to a process that has just started, and
// send it the messages that they have queued.
func (sim *Simulation) reconnectPeersTo(started *Node) {
	for _, other := range sim.Nodes {
		if other == started || !other.isRunning {
			continue
		}
		epoch := other.processEpoch
		if link := other.linkTo(started); link.isDown {
			sim.After(peerReconnectDelay, func() {
				if other.isRunningEpoch(epoch) {
					other.reconnectTo(started, link)
				}
			})
		}
	}
}

// reconnectTo sends the messages queued for another controller, unless its process has stopped
// again.
func (n *Node) reconnectTo(to *Node, link *peerLink) {
	if !to.isRunning {
		return
	}
	queue := link.queue
	link.isDown, link.queue = false, nil
	for _, message := range queue {
		n.transmitToPeer(to, message)
	}
}
