package leadership

import "time"

// Claim is what a controller has observed of a shard's key in the state service, and the state
// of the controller's own claim to that shard. The zero value has observed nothing.
type Claim struct {
	keyRead         bool          // the key has been read since the last InvalidateKey
	owner           string        // label of the owner, empty while the shard is free
	revision        uint64        // revision of the key, 0 while the shard is free
	freeSince       time.Duration // when the shard was first observed to be free
	removalRevision uint64        // newest revision at which the key was removed
	offered         bool          // the last owner released the shard to this controller

	owned            bool
	token            uint64        // fencing token of this controller's ownership
	term             uint64        // first token of this controller's uninterrupted ownership
	pending          bool          // a claim has been sent and its outcome is not known yet
	handingOver      bool          // this controller is releasing the shard
	raiseTokenAt     time.Duration // when the token is to be raised, 0 if that is not requested
	homeHealthySince time.Duration // start of the home controller's healthy period, 0 while it is unhealthy
}

// KeyRead reports whether the shard's key has been read.
func (c *Claim) KeyRead() bool { return c.keyRead }

// Owner is the label of the shard's owner, or empty while the shard is free.
func (c *Claim) Owner() string { return c.owner }

// Revision is the revision of the shard's key, or 0 while the key does not exist.
func (c *Claim) Revision() uint64 { return c.revision }

// FreeSince is when this controller first observed that the shard is free.
func (c *Claim) FreeSince() time.Duration { return c.freeSince }

// Owned reports whether this controller owns the shard, according to what it has observed.
func (c *Claim) Owned() bool { return c.owned }

// Token is the fencing token of this controller's ownership.
func (c *Claim) Token() uint64 { return c.token }

// Term is the first token of this controller's uninterrupted ownership. It identifies the
// leadership term.
func (c *Claim) Term() uint64 { return c.term }

// Pending reports whether a claim has been sent whose outcome is not known yet.
func (c *Claim) Pending() bool { return c.pending }

// HandingOver reports whether the shard is being handed over. During a handover its owner
// commits no transactions and answers no workers.
func (c *Claim) HandingOver() bool { return c.handingOver }

// OwnedOrPending reports whether the shard counts as this controller's when the controllers'
// numbers of shards are compared.
func (c *Claim) OwnedOrPending() bool { return c.owned || c.pending }

// AcceptsRevision reports whether a value read at the given revision is at least as new as the
// last observed one. While a claim is pending, only the outcome of that claim is accepted.
func (c *Claim) AcceptsRevision(revision uint64) bool { return revision >= c.revision && !c.pending }

// IsRemovedSince reports whether a value that the key had at the given revision has been observed to
// be removed since. A read that is answered late may return such a value. If it were accepted, the
// shard would count as owned although nobody owns it, and nobody would claim it.
func (c *Claim) IsRemovedSince(revision uint64) bool { return revision <= c.removalRevision }

// OutdatedBy reports whether the given revision of the key ends this controller's ownership.
func (c *Claim) OutdatedBy(revision uint64) bool { return c.owned && revision > c.token }

// ObserveOwner records the owner that the key names at the given revision.
func (c *Claim) ObserveOwner(owner string, revision uint64) {
	c.keyRead, c.owner, c.revision, c.freeSince = true, owner, revision, 0
}

// ObserveRemoval records that the key was removed at the given revision. A controller that owns
// the shard ignores the removal: its callers first end an ownership that the removal outdates.
func (c *Claim) ObserveRemoval(revision uint64, now time.Duration) {
	if c.owned {
		return
	}
	c.keyRead, c.removalRevision = true, max(c.removalRevision, revision)
	if c.owner != "" || c.freeSince == 0 {
		c.freeSince = now
	}
	c.owner, c.revision = "", 0
}

// ObserveAbsence records that a read found no key.
func (c *Claim) ObserveAbsence(now time.Duration) {
	c.keyRead, c.owner, c.revision, c.freeSince = true, "", 0, now
}

// ObserveGossip records the ownership that another controller states in its gossip. An owner
// that cannot reach the state service keeps stating its ownership after its key was removed.
// If the others accepted that statement, nobody would claim the shard, although its owner may
// start no tasks in it. A removal observed here therefore takes precedence over an older token.
func (c *Claim) ObserveGossip(owner string, token uint64) {
	if token > c.revision && !c.IsRemovedSince(token) && !c.pending {
		c.ObserveOwner(owner, token)
	}
}

// InvalidateKey marks the observed key as outdated: nothing is decided on it until it is read
// again.
func (c *Claim) InvalidateKey() { c.keyRead = false }

// MarkKeyRead records that the key has been read. The caller then observes the value that was
// read if AcceptsRevision accepts its revision.
func (c *Claim) MarkKeyRead() { c.keyRead = true }

// RecordOffer records that the last owner released the shard to this controller.
func (c *Claim) RecordOffer() { c.offered = true }

// Offered reports whether the last owner released the shard to this controller.
func (c *Claim) Offered() bool { return c.offered }

// BeginClaim records that a claim has been sent, or, for a shard that this controller owns
// already, a request to raise the token.
func (c *Claim) BeginClaim() { c.pending = true }

// EndClaim records that the call of the claim has ended, also if its outcome is unknown.
func (c *Claim) EndClaim() { c.pending = false }

// RecordClaimed records a claim that was committed at the given revision by the controller with
// the given label. It reports whether this begins a new term.
func (c *Claim) RecordClaimed(label string, revision uint64) (newTerm bool) {
	newTerm = !c.owned
	if newTerm {
		c.term = revision
	}
	c.owned, c.keyRead, c.offered = true, true, false
	c.owner, c.revision, c.token, c.freeSince = label, revision, revision, 0
	return newTerm
}

// BeginHandover stops this controller's ownership from having any further effect.
func (c *Claim) BeginHandover() { c.handingOver = true }

// RequestTokenRaise requests a raise of the token at the given moment, or earlier if an earlier raise
// has been requested already.
func (c *Claim) RequestTokenRaise(at time.Duration) {
	if c.raiseTokenAt == 0 || at < c.raiseTokenAt {
		c.raiseTokenAt = at
	}
}

// DropTokenRaise drops the request for a raise of the token.
func (c *Claim) DropTokenRaise() { c.raiseTokenAt = 0 }

// TokenRaiseDue reports whether the scheduled raise of the token is due.
func (c *Claim) TokenRaiseDue(now time.Duration) bool {
	return c.raiseTokenAt > 0 && now >= c.raiseTokenAt
}

// ObserveHomeHealth records whether the shard's home controller is healthy now. It reports
// whether the home controller has been healthy for StabilityPeriod, so that the shard can be
// handed over to it.
func (c *Claim) ObserveHomeHealth(isHealthy bool, now time.Duration) (isStable bool) {
	if !isHealthy {
		c.homeHealthySince = 0
		return false
	}
	if c.homeHealthySince == 0 {
		c.homeHealthySince = now
	}
	return now >= c.homeHealthySince+StabilityPeriod
}

// ResetHomeHealth restarts the home controller's StabilityPeriod. It is called after this
// process was paused, because the home controller was not observed during the pause.
func (c *Claim) ResetHomeHealth() { c.homeHealthySince = 0 }
