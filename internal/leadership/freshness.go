package leadership

import "time"

// PrefixView is the period for which a controller has read all changes of the keys with a
// prefix in the state service. It ends at the moment at which the last answered call was sent:
// a call that is still pending may have missed changes.
type PrefixView struct {
	Started bool          // a listing has been read; From and Until are valid
	From    time.Duration // every change after this moment, up to Until, has been read
	Until   time.Duration
}

// Restart starts the view again from a listing that was sent and answered at the given moments. The
// watch that continues the listing reports no change before the listing was made, which may have been
// just before its answer, so From is the moment of the answer. It may be after Until.
func (v *PrefixView) Restart(sent, answered time.Duration) {
	*v = PrefixView{Started: true, From: answered, Until: sent}
}

// Extend records an answered call that was sent at the given moment.
func (v *PrefixView) Extend(sent time.Duration) { v.Until = sent }

// rememberedMessages is the number of this controller's newest gossip messages whose send times
// are kept.
const rememberedMessages = 120

// Confirmations holds what the other controllers (peers) confirm about cancellations.
//
// In its gossip a peer lists the cancellations that it has accepted or received recently. It
// repeats each one until it has received a message that this controller sent after receiving the
// cancellation. The gossip also contains the number of the newest message of this controller that
// the peer has received. If that number is N, this message of the peer and its earlier ones
// together contain every cancellation that the peer had acknowledged to any user or controller by
// the time message N was sent. This holds however long the network delays packets.
//
// Numbers are compared only within one process of this controller. A restarted process still
// receives messages that contain numbers of its former process, which say nothing about what the
// peer has received since; see RecordReceipt.
type Confirmations struct {
	sentAt                map[uint64]time.Duration // send times of this controller's messages, by number
	firstSent, newestSent uint64                   // numbers of this process's first and newest message; 0: none was sent
	peers                 []peerConfirmation       // by peer index
}

// peerConfirmation is what one peer has confirmed.
type peerConfirmation struct {
	epochFirstSeenAt time.Duration // when the first message of the peer's current process was received
	confirmedUntil   time.Duration // all cancellations of the peer up to this moment have been received here
	lastReceived     uint64        // number of the newest of this controller's messages that the peer has received
}

// NewConfirmations returns the state for the given number of peers, none of which has confirmed
// anything.
func NewConfirmations(peers int) *Confirmations {
	return &Confirmations{sentAt: map[uint64]time.Duration{}, peers: make([]peerConfirmation, peers)}
}

// RecordRestart records that a peer's process has restarted. Confirmations of the former process do
// not apply to the new one.
func (c *Confirmations) RecordRestart(peer int, now time.Duration) {
	c.peers[peer] = peerConfirmation{epochFirstSeenAt: now}
}

// EpochFirstSeenAt is when the first message of the peer's current process was received.
func (c *Confirmations) EpochFirstSeenAt(peer int) time.Duration {
	return c.peers[peer].epochFirstSeenAt
}

// RecordSent records when this controller sends the message with the given number. Numbers increase
// by one from message to message.
func (c *Confirmations) RecordSent(number uint64, now time.Duration) {
	if c.firstSent == 0 {
		c.firstSent = number
	}
	c.newestSent = number
	c.sentAt[number] = now
	delete(c.sentAt, number-rememberedMessages)
}

// isSent reports whether this process has sent the message with the given number.
func (c *Confirmations) isSent(number uint64) bool {
	return c.firstSent > 0 && number >= c.firstSent && number <= c.newestSent
}

// RecordReceipt records that a peer has received this controller's message with the given number. A
// peer repeats cancellations for slightly longer than cancelWithin, so a message that arrives
// after a longer gap confirms nothing.
//
// It reports whether this process has sent that message. If not, the message was one of a former
// process, and nothing is recorded. If its number were recorded and were the higher one, this
// controller would omit all further cancellations from its messages to the peer, and the peer
// would continue to conclude from these messages that it has received every cancellation (rule
// ran_cancelled).
func (c *Confirmations) RecordReceipt(peer int, number uint64, view PrefixView, now, cancelWithin time.Duration) bool {
	if !c.isSent(number) {
		return false
	}
	p := &c.peers[peer]
	p.lastReceived = max(p.lastReceived, number)
	if at, remembered := c.sentAt[number]; remembered && now < max(view.Until, p.confirmedUntil)+cancelWithin {
		p.confirmedUntil = max(p.confirmedUntil, at)
	}
	return true
}

// LastReceivedBy is the number of the newest of this controller's messages that a peer has received.
func (c *Confirmations) LastReceivedBy(peer int) uint64 { return c.peers[peer].lastReceived }

// AllReceivedUntil is the moment up to which this controller has received every accepted
// cancellation: either from its own view of the jobs, or because all peers confirm it, since
// users can cancel a job only at a controller. The result is false while the view has not started.
func (c *Confirmations) AllReceivedUntil(view PrefixView, now time.Duration) (time.Duration, bool) {
	if !view.Started {
		return view.Until, false
	}
	confirmed := now
	for _, p := range c.peers {
		if p.epochFirstSeenAt > view.Until {
			// The peer restarted after this view ended, so its new process does not have the
			// cancellations that its former process acknowledged to users.
			return view.Until, true
		}
		confirmed = min(confirmed, p.confirmedUntil)
	}
	return max(view.Until, confirmed), true
}

// LeaseRenewalWindow is how long a controller may continue to answer heartbeats, and so renew the
// workers' leases, after the moment up to which it has received every cancellation.
//
// Another controller may have accepted a cancellation right after that moment. Once this controller
// stops answering, its workers' leases expire within lease, and they must have expired
// cancelWithin after the cancellation. The window subtracts maxHeartbeatDelay for the time that a
// heartbeat was in transit, and a clock drift of cancelWithin/clockDriftDivisor. If the result is
// 0 or negative, no heartbeat may be answered.
func LeaseRenewalWindow(lease, cancelWithin time.Duration) time.Duration {
	return cancelWithin - lease - maxHeartbeatDelay - cancelWithin/clockDriftDivisor
}

// Margins of LeaseRenewalWindow.
const (
	maxHeartbeatDelay = 2 * time.Second
	clockDriftDivisor = 100 // clocks may drift by 1 %
)

// maxStartWindow bounds StartWindow. During a longer outage most of the tasks started would
// belong to jobs that have been cancelled or decided on by another controller.
const maxStartWindow = 6 * time.Second

// StartWindow is how long tasks may be started after the moment up to which the controller has
// received every cancellation. The last task started, on a worker whose incarnation has just
// begun, may run for a whole worker lease, so the bound of LeaseRenewalWindow applies as well.
func StartWindow(lease, cancelWithin time.Duration) time.Duration {
	return min(maxStartWindow, LeaseRenewalWindow(lease, cancelWithin))
}
