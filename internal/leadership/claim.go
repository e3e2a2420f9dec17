package leadership

import "time"

// Claim is what a controller knows of a shard's key in the state service, and its own claim
// to it. The zero value knows nothing.
type Claim struct {
	known           bool   // the key has been read
	owner           string // empty while the shard is free
	revision        uint64 // of the key, 0 while the shard is free
	freeSince       time.Duration
	removedRevision uint64 // at which the key was last seen removed
	offered         bool   // its last owner named this controller as the next one

	owned         bool
	token         uint64
	term          uint64 // first token of the unbroken ownership
	pending       bool   // a claim is on its way
	handingOver   bool
	raiseTokenAt  time.Duration // 0: not asked for
	homeWellSince time.Duration // 0: the home controller is not well
}

// Known reports whether the shard's key has been read.
func (c *Claim) Known() bool { return c.known }

// Owner is the label of the shard's owner, or empty while it is free.
func (c *Claim) Owner() string { return c.owner }

// Revision is the revision of the shard's key, 0 while it does not exist.
func (c *Claim) Revision() uint64 { return c.revision }

// FreeSince is when the shard was first seen free.
func (c *Claim) FreeSince() time.Duration { return c.freeSince }

// Owned reports whether this controller owns the shard, as far as it knows.
func (c *Claim) Owned() bool { return c.owned }

// Token is the fencing token of this controller's ownership.
func (c *Claim) Token() uint64 { return c.token }

// Term is the first token of this controller's unbroken ownership.
func (c *Claim) Term() uint64 { return c.term }

// Pending reports whether a claim is on its way.
func (c *Claim) Pending() bool { return c.pending }

// HandingOver reports whether the shard is being handed over: its owner commits nothing and
// answers nobody any more.
func (c *Claim) HandingOver() bool { return c.handingOver }

// OwnedOrPending reports whether the shard counts as this controller's when shards are
// compared.
func (c *Claim) OwnedOrPending() bool { return c.owned || c.pending }

// Accepts reports whether what was read at a revision is news. While a claim is on its way,
// only its own outcome counts.
func (c *Claim) Accepts(revision uint64) bool { return revision >= c.revision && !c.pending }

// OutdatedBy reports whether a revision of the key ends this controller's ownership.
func (c *Claim) OutdatedBy(revision uint64) bool { return c.owned && revision > c.token }

// ObserveOwner records the owner at a revision.
func (c *Claim) ObserveOwner(owner string, revision uint64) {
	c.known, c.owner, c.revision, c.freeSince = true, owner, revision, 0
}

// ObserveRemoval records that the key was removed at a revision. An owner whose token is
// newer than that ignores it.
func (c *Claim) ObserveRemoval(revision uint64, now time.Duration) {
	if c.owned {
		return
	}
	c.known, c.removedRevision = true, max(c.removedRevision, revision)
	if c.owner != "" || c.freeSince == 0 {
		c.freeSince = now
	}
	c.owner, c.revision = "", 0
}

// ObserveAbsence records that a read found no key.
func (c *Claim) ObserveAbsence(now time.Duration) {
	c.known, c.owner, c.revision, c.freeSince = true, "", 0, now
}

// ObserveGossip records an owner's own statement. An owner that lost the state service goes
// on claiming a key that is gone: believed, it would keep a shard in which it may start
// nothing from the others. So a removal seen here counts for more.
func (c *Claim) ObserveGossip(owner string, token uint64) {
	if token > c.revision && token > c.removedRevision && !c.pending {
		c.ObserveOwner(owner, token)
	}
}

// Forget has the key read again before anything is decided on it.
func (c *Claim) Forget() { c.known = false }

// Read notes that the key has been read. What was read is observed if it is news.
func (c *Claim) Read() { c.known = true }

// Offer records that the last owner released the shard to this controller.
func (c *Claim) Offer() { c.offered = true }

// Offered reports whether the last owner released the shard to this controller.
func (c *Claim) Offered() bool { return c.offered }

// Begin starts a claim, or the raising of the token of a shard owned already.
func (c *Claim) Begin() { c.pending = true }

// End notes that the outcome of the claim is known, or known to be unknown.
func (c *Claim) End() { c.pending = false }

// Succeed records a claim that was carried out. It reports whether a new term begins.
func (c *Claim) Succeed(label string, revision uint64) (newTerm bool) {
	newTerm = !c.owned
	if newTerm {
		c.term = revision
	}
	c.owned, c.known, c.offered = true, true, false
	c.owner, c.revision, c.token, c.freeSince = label, revision, revision, 0
	return newTerm
}

// BeginHandover stops this controller's ownership from having any further effect.
func (c *Claim) BeginHandover() { c.handingOver = true }

// RaiseTokenAt has the token raised at the moment given, in place of any earlier request.
func (c *Claim) RaiseTokenAt(at time.Duration) { c.raiseTokenAt = at }

// TokenRaiseRequested reports whether the token is to be raised.
func (c *Claim) TokenRaiseRequested() bool { return c.raiseTokenAt > 0 }

// TokenRaiseDue reports whether the token is to be raised now.
func (c *Claim) TokenRaiseDue(now time.Duration) bool {
	return c.raiseTokenAt > 0 && now >= c.raiseTokenAt
}

// HomeSeen follows the shard's home controller. It reports whether that one has been well
// for long enough to be handed the shard.
func (c *Claim) HomeSeen(well bool, now time.Duration) (steady bool) {
	if !well {
		c.homeWellSince = 0
		return false
	}
	if c.homeWellSince == 0 {
		c.homeWellSince = now
	}
	return now >= c.homeWellSince+SteadyAfter
}

// ResetHome has the home controller prove itself again, after this controller stood still.
func (c *Claim) ResetHome() { c.homeWellSince = 0 }
