package leadership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const cancelWithin = 44 * time.Second

// at converts a number of seconds to a moment.
func at(seconds int) time.Duration { return time.Duration(seconds) * time.Second }

// viewUntil is a view that started at 1 s and ended at the given number of seconds.
func viewUntil(seconds int) PrefixView {
	var v PrefixView
	v.Restart(at(1), at(1))
	v.Extend(at(seconds))
	return v
}

// A watch reports no change before the listing that it continues, and the listing is made at any moment
// between its call and its answer.
func TestViewBeginsAtAnswerOfListing(t *testing.T) {
	var v PrefixView
	v.Restart(at(3), at(5))
	assert.Equal(t, at(5), v.From)
	assert.Equal(t, at(3), v.Until)
}

func TestAllReceivedUntilIsFalseBeforeViewStarts(t *testing.T) {
	_, ok := NewConfirmations(0).AllReceivedUntil(PrefixView{}, at(5))
	assert.False(t, ok)
}

func TestAllReceivedUntilAdvancesWhenAllPeersConfirm(t *testing.T) {
	c := NewConfirmations(2)
	view := viewUntil(10)
	c.RecordRestart(0, at(2))
	c.RecordRestart(1, at(2))
	c.RecordSent(100, at(18))
	c.RecordReceipt(0, 100, view, at(19), cancelWithin)
	until, ok := c.AllReceivedUntil(view, at(20))
	assert.True(t, ok)
	assert.Equal(t, at(10), until, "the second peer has confirmed nothing yet")
	c.RecordReceipt(1, 100, view, at(19), cancelWithin)
	until, _ = c.AllReceivedUntil(view, at(20))
	assert.Equal(t, at(18), until, "the send time of the message that both peers have received")
}

func TestPeerRestartedAfterViewEndConfirmsNothing(t *testing.T) {
	c := NewConfirmations(1)
	view := viewUntil(10)
	c.RecordRestart(0, at(12))
	c.RecordSent(100, at(18))
	c.RecordReceipt(0, 100, view, at(19), cancelWithin)
	until, _ := c.AllReceivedUntil(view, at(20))
	assert.Equal(t, at(10), until)
}

func TestMessageAfterGapOfCancelWithinConfirmsNothing(t *testing.T) {
	c := NewConfirmations(1)
	view := viewUntil(10)
	c.RecordRestart(0, at(2))
	c.RecordSent(100, at(53))
	c.RecordReceipt(0, 100, view, at(54), cancelWithin)
	until, _ := c.AllReceivedUntil(view, at(55))
	assert.Equal(t, at(10), until, "the peer may have stopped repeating cancellations during the gap")
	assert.Equal(t, uint64(100), c.LastReceivedBy(0))
}

func TestMessageWithForgottenSendTimeConfirmsNothing(t *testing.T) {
	c := NewConfirmations(1)
	view := viewUntil(10)
	c.RecordRestart(0, at(2))
	for n := range uint64(rememberedMessages + 1) {
		c.RecordSent(1000+n, at(11))
	}
	c.RecordReceipt(0, 1000, view, at(12), cancelWithin)
	until, _ := c.AllReceivedUntil(view, at(12))
	assert.Equal(t, at(10), until)
}

// A restarted controller takes the receipt of its former process's message, with a higher number, for
// one of its own messages, and so omits cancellations that the peer has not received.
func TestReceiptOfFormerProcessIsIgnored(t *testing.T) {
	c := NewConfirmations(1)
	view := viewUntil(10)
	c.RecordRestart(0, at(2))
	assert.False(t, c.RecordReceipt(0, 500, view, at(11), cancelWithin), "nothing has been sent yet")
	c.RecordSent(100, at(12))
	c.RecordSent(101, at(13))
	for _, number := range []uint64{99, 102, 500} {
		assert.False(t, c.RecordReceipt(0, number, view, at(14), cancelWithin), "message %d was never sent", number)
	}
	assert.Zero(t, c.LastReceivedBy(0))
	assert.True(t, c.RecordReceipt(0, 101, view, at(14), cancelWithin))
	assert.Equal(t, uint64(101), c.LastReceivedBy(0))
}

func TestWorkerLeasesExpireBeforeMissedCancellationIsDue(t *testing.T) {
	for _, lease := range []time.Duration{at(14), at(36)} {
		window := LeaseRenewalWindow(lease, cancelWithin)
		assert.LessOrEqual(t, window+lease, cancelWithin-2*time.Second)
		assert.LessOrEqual(t, StartWindow(lease, cancelWithin), window)
	}
	assert.Equal(t, maxStartWindow, StartWindow(at(14), cancelWithin))
	assert.Negative(t, LeaseRenewalWindow(cancelWithin, cancelWithin), "a lease as long as cancelWithin leaves no time to answer heartbeats")
}
