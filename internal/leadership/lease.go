package leadership

import "time"

// renewalsPerTTL is how often a lease is renewed within its life, so that one renewal may go
// wrong.
const renewalsPerTTL = 4

// LeaseStep is what a controller should do about its lease.
type LeaseStep int

// Steps of a lease.
const (
	LeaseWait  LeaseStep = iota // nothing now
	LeaseGrant                  // ask for a lease
	LeaseRenew                  // renew the one there is
)

// Lease is a controller's lease at the state service. All its claims hang on it.
type Lease struct {
	ttl       time.Duration
	id        uint64        // 0: none
	renewedAt time.Duration // when the last good renewal was sent
	pending   bool          // a call is open
	retryAt   time.Duration
}

// NewLease is a lease that has not been granted yet.
func NewLease(ttl time.Duration) Lease { return Lease{ttl: ttl} }

// ID is the lease's id at the state service, 0 while there is none.
func (l *Lease) ID() uint64 { return l.id }

// Held reports whether there is a lease, as far as this controller knows.
func (l *Lease) Held() bool { return l.id != 0 }

// ConfirmedSince reports whether a renewal sent at the moment given or later has succeeded.
func (l *Lease) ConfirmedSince(t time.Duration) bool { return l.renewedAt >= t }

// Next is what is due now.
func (l *Lease) Next(now time.Duration) LeaseStep {
	switch {
	case l.pending || now < l.retryAt:
		return LeaseWait
	case l.id == 0:
		return LeaseGrant
	case now < l.renewedAt+l.ttl/renewalsPerTTL:
		return LeaseWait
	}
	return LeaseRenew
}

// Begin notes that a call is open; exactly one of the methods below ends it.
func (l *Lease) Begin() { l.pending = true }

// Granted records a new lease that was asked for at the moment given.
func (l *Lease) Granted(id uint64, sent time.Duration) {
	l.pending, l.id, l.renewedAt = false, id, sent
}

// Renewed records a renewal that was sent at the moment given.
func (l *Lease) Renewed(sent time.Duration) { l.pending, l.renewedAt = false, sent }

// Failed records a call without a good answer; the next one waits until retryAt.
func (l *Lease) Failed(retryAt time.Duration) { l.pending, l.retryAt = false, retryAt }

// Refused records that the state service does not know the lease any more.
func (l *Lease) Refused() {
	l.pending = false
	l.Expire()
}

// Expire forgets the lease. The keys that hung on it are gone; another controller may have
// held them since.
func (l *Lease) Expire() { l.id = 0 }
