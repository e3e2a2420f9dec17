package leadership

import "time"

// View is how far a controller has followed a prefix of the state service's keys. It is
// complete up to the moment at which the last answered call was sent.
type View struct {
	Started bool          // From and Until have a meaning
	From    time.Duration // every change after this moment, up to Until, is known
	Until   time.Duration
}

// Begin starts the view anew at a listing that was sent at the moment given.
func (v *View) Begin(sent time.Duration) { *v = View{Started: true, From: sent, Until: sent} }

// Extend records an answered call that was sent at the moment given.
func (v *View) Extend(sent time.Duration) { v.Until = sent }

// gossipRemembered is how many of its messages a controller remembers the times of.
const gossipRemembered = 120

// Confirmations are what the other controllers confirm of cancellations. Each lists in its
// gossip the cancellations it learned of lately, until it has seen a message of mine that was
// sent after I had received them, and names the newest message of mine that it has received.
// What it wrote after receiving that message holds, with what came before, every cancellation
// that it had told anybody of by the time I sent it; packets may be held for long.
type Confirmations struct {
	sentAt map[uint64]time.Duration // when this controller's messages were sent, by number
	peers  []confirmation
}

type confirmation struct {
	epochSince time.Duration // when this process of the peer was first heard
	until      time.Duration // up to when it confirms that all its cancellations are known here
	received   uint64        // the newest of this controller's messages that it has received
}

// NewConfirmations are those of so many other controllers, which have confirmed nothing.
func NewConfirmations(peers int) *Confirmations {
	return &Confirmations{sentAt: map[uint64]time.Duration{}, peers: make([]confirmation, peers)}
}

// NewEpoch records that a peer has been started again: what its former process received and
// confirmed does not count for this one.
func (c *Confirmations) NewEpoch(peer int, now time.Duration) {
	c.peers[peer] = confirmation{epochSince: now}
}

// EpochSince is when the peer's process was first heard.
func (c *Confirmations) EpochSince(peer int) time.Duration { return c.peers[peer].epochSince }

// Sent records that this controller's message of a number is sent.
func (c *Confirmations) Sent(number uint64, now time.Duration) {
	c.sentAt[number] = now
	delete(c.sentAt, number-gossipRemembered)
}

// Received records that a peer has received this controller's message of a number. A peer
// repeats cancellations for a little longer than cancelWithin, so a message after a longer
// gap confirms nothing.
func (c *Confirmations) Received(peer int, number uint64, view View, now, cancelWithin time.Duration) {
	p := &c.peers[peer]
	p.received = max(p.received, number)
	if at, remembered := c.sentAt[number]; remembered && now < max(view.Until, p.until)+cancelWithin {
		p.until = max(p.until, at)
	}
}

// ReceivedBy is the newest of this controller's messages that a peer has received.
func (c *Confirmations) ReceivedBy(peer int) uint64 { return c.peers[peer].received }

// KnownUntil is the moment up to which every accepted cancellation is known here: by this
// controller's own view of the jobs, or because all other controllers confirm it, since users
// can cancel nowhere else. It is false while the view has not started.
func (c *Confirmations) KnownUntil(view View, now time.Duration) (time.Duration, bool) {
	if !view.Started {
		return view.Until, false
	}
	confirmed := now
	for _, p := range c.peers {
		if p.epochSince > view.Until {
			// It was started after this view ended, and does not know what its former
			// process told users.
			return view.Until, true
		}
		confirmed = min(confirmed, p.until)
	}
	return max(view.Until, confirmed), true
}

// AnswerWindow is how long a controller may go on answering workers after its knowledge of
// cancellations has ended. A cancellation may have been accepted elsewhere right after that.
// Once this controller stops answering, its workers' leases end within lease, and that must
// be over cancelWithin after the cancellation, with room for drifting clocks and for the time
// that a heartbeat was under way. At 0 or less no worker can be answered at all.
func AnswerWindow(lease, cancelWithin time.Duration) time.Duration {
	return cancelWithin - lease - 2*time.Second - cancelWithin/100
}

// longestStartWindow bounds StartWindow: a start during a longer outage would mostly be of
// work that is cancelled or decided elsewhere.
const longestStartWindow = 6 * time.Second

// StartWindow is how long tasks may be started after the knowledge of cancellations has
// ended. What is started last, on a machine whose incarnation has only begun, has a whole
// lease before it, so the bound of AnswerWindow holds as well.
func StartWindow(lease, cancelWithin time.Duration) time.Duration {
	return min(longestStartWindow, AnswerWindow(lease, cancelWithin))
}
