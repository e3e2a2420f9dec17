package leadership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestALeaseIsGrantedRenewedInTimeAndGrantedAnew(t *testing.T) {
	const ttl = 8 * time.Second
	l := NewLease(ttl)
	assert.Equal(t, LeaseGrant, l.Next(0))
	l.Begin()
	assert.Equal(t, LeaseWait, l.Next(time.Hour), "a call is open")
	l.Failed(2 * time.Second)
	assert.Equal(t, LeaseWait, l.Next(time.Second))
	assert.Equal(t, LeaseGrant, l.Next(2*time.Second))
	l.Begin()
	l.Granted(5, 2*time.Second)
	assert.True(t, l.Held())
	assert.Equal(t, LeaseWait, l.Next(3*time.Second))
	assert.Equal(t, LeaseRenew, l.Next(4*time.Second), "after a quarter of its life")
	l.Begin()
	l.Renewed(4 * time.Second)
	assert.True(t, l.ConfirmedSince(4*time.Second))
	assert.False(t, l.ConfirmedSince(4*time.Second+1), "the renewal was sent before")
	l.Begin()
	l.Refused()
	assert.False(t, l.Held())
	assert.Equal(t, LeaseGrant, l.Next(5*time.Second))
}
