package leadership

import "time"

// renewalsPerTTL is how many times a lease is renewed within its time to live, so that the lease
// survives a failed renewal.
const renewalsPerTTL = 4

// LeaseAction is what a controller should do about its lease.
type LeaseAction int

// Actions on a lease.
const (
	LeaseWait  LeaseAction = iota // do nothing yet
	LeaseGrant                    // request a new lease
	LeaseRenew                    // renew the current lease
)

// Lease is a controller's lease at the state service. The keys of all shards that the controller
// has claimed are attached to it.
type Lease struct {
	ttl         time.Duration // time to live after a renewal
	id          uint64        // 0 while there is no lease
	renewedAt   time.Duration // when the last successful grant or renewal was sent
	callPending bool          // a grant or renewal has been sent and not been answered
	retryAt     time.Duration // no call is made before this moment
}

// NewLease returns a lease that has not been granted yet.
func NewLease(ttl time.Duration) Lease { return Lease{ttl: ttl} }

// ID is the lease's id at the state service, or 0 while there is none.
func (l *Lease) ID() uint64 { return l.id }

// Held reports whether this controller holds a lease, according to the last response it received.
func (l *Lease) Held() bool { return l.id != 0 }

// ConfirmedSince reports whether a grant or renewal that was sent at the given moment or later
// has succeeded.
func (l *Lease) ConfirmedSince(t time.Duration) bool { return l.renewedAt >= t }

// NextAction is the action that is due now.
func (l *Lease) NextAction(now time.Duration) LeaseAction {
	switch {
	case l.callPending || now < l.retryAt:
		return LeaseWait
	case l.id == 0:
		return LeaseGrant
	case now < l.renewedAt+l.ttl/renewalsPerTTL:
		return LeaseWait
	}
	return LeaseRenew
}

// BeginCall records that a grant or renewal has been sent. Exactly one of RecordGrant,
// RecordRenewal, RecordFailure and RecordRefusal ends the call.
func (l *Lease) BeginCall() { l.callPending = true }

// RecordGrant records a new lease that was requested at the given moment.
func (l *Lease) RecordGrant(id uint64, sent time.Duration) {
	l.callPending, l.id, l.renewedAt = false, id, sent
}

// RecordRenewal records a successful renewal that was sent at the given moment.
func (l *Lease) RecordRenewal(sent time.Duration) { l.callPending, l.renewedAt = false, sent }

// RecordFailure records a call that did not succeed. No call is made before retryAt.
func (l *Lease) RecordFailure(retryAt time.Duration) { l.callPending, l.retryAt = false, retryAt }

// RecordRefusal records that the state service refused a renewal because the lease has expired.
func (l *Lease) RecordRefusal() {
	l.callPending = false
	l.Expire()
}

// Expire drops the lease. The state service has deleted the keys that were attached to it, and
// another controller may have claimed them since.
func (l *Lease) Expire() { l.id = 0 }
