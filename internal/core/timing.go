package core

import (
	"roadcleat/internal/leadership"
	"time"
)

// What follows from the workers' times. A deployment may have its workers report every
// 3 s with a lease of 14 s, or every 8 s with one of 38 s, and cancellations may end long
// after a lease or soon after one.

// leaseTTLShare is the part of a worker's lease that a controller's may last at most.
// When a controller stands still or is cut off, its lease must run out, its part be
// claimed and its workers find the new owner before theirs have run out too; they
// first wait for an answer, then go through the others one by one. With 8 s of 14
// most workers' leases were lost to each controller that stood still.
const leaseTTLShare = 0.28

// minLeaseTTL is what it lasts in any case: a renewal must be able to go wrong once.
const minLeaseTTL = 3 * time.Second

// Reports come a quarter late at most. One that is lost is given up after 4 s; the next
// goes to another controller a second later, which names the owner.
const lostHeartbeatTime = 7 * time.Second

// Effective is what the operators' settings come to with these workers.
func (k Tuning) Effective(report, lease time.Duration) Tuning {
	k.LeaseTTL = min(k.LeaseTTL, max(time.Duration(leaseTTLShare*float64(lease)), minLeaseTTL))
	k.ReturnSilentAfter = max(k.ReturnSilentAfter, report*5/4+lostHeartbeatTime)
	return k
}

// FailoverTime is how long workers are without an answer at least when their controller
// ends just before a late report of theirs: they must give that report up and ask another,
// and one must have taken the part, once the controller's lease has run out. Whoever asks
// before that goes round all controllers once more, the ended one among them, which takes a
// second each and 5 s. A worker's lease must be longer. The whole grace is waited for if
// the part's home is heard.
func (k Tuning) FailoverTime(report, lease time.Duration, homeHeard bool) time.Duration {
	k = k.Effective(report, lease)
	grace := k.TakeoverDelay
	if !homeHeard {
		grace = min(grace, leadership.NoHomeDelay)
	}
	return report*5/4 + max(5500*time.Millisecond, k.LeaseTTL+grace+time.Second)
}
