package leadership

import "time"

// StabilityPeriod is how long a controller must have been healthy before a shard is handed over
// to it.
const StabilityPeriod = 5 * time.Second

// Delays before a free shard is claimed. They differ between controllers, so that two controllers
// rarely claim the same shard at the same time.
const (
	// HomeUnreachableAfter is the time without a message after which a home controller counts
	// as unreachable.
	HomeUnreachableAfter = 2 * time.Second
	// MaxDelayWithoutHome bounds the takeover delay while the home controller is unreachable.
	// An unreachable home controller will not claim the shard, and the leases of the shard's
	// workers are running out.
	MaxDelayWithoutHome = 300 * time.Millisecond

	// delayPerOwnedShard is added for each shard that a controller owns already.
	delayPerOwnedShard = 700 * time.Millisecond
	// delayPerRank is added for each controller whose label sorts before this controller's.
	delayPerRank = 200 * time.Millisecond
)

// ClaimCandidate is a controller that could claim a free shard.
type ClaimCandidate struct {
	IsHome          bool          // the controller is in the shard's zone
	IsIsolated      bool          // it handed a shard over, within isolationPeriod of package core, because it received no heartbeats
	IsOffered       bool          // the last owner released the shard to it
	IsHomeReachable bool          // the zone has another controller, which sent a message within HomeUnreachableAfter
	OwnedShards     int           // shards that it owns or is claiming
	LabelRank       int           // number of controllers whose labels sort before its own
	TakeoverDelay   time.Duration // the operators' setting: how long the shard is left to the home controller
}

// ClaimDelay is how long this controller leaves a free shard to others: first to the shard's home
// controller, then to the controller that owns the fewest shards.
func (c ClaimCandidate) ClaimDelay() time.Duration {
	if c.IsHome && !c.IsIsolated || c.IsOffered {
		return 0
	}
	delay := c.TakeoverDelay
	if !c.IsHomeReachable {
		delay = min(delay, MaxDelayWithoutHome)
	}
	return delay + time.Duration(c.OwnedShards)*delayPerOwnedShard + time.Duration(c.LabelRank)*delayPerRank
}

// minShardDifference is how many shards fewer than the owner a controller must own to be handed a
// shard of a zone without a controller. With a difference of 1 the two controllers would hand the
// shard back and forth.
const minShardDifference = 2

// HandoverCandidate is a controller to which a shard could be handed over.
type HandoverCandidate struct {
	OwnedShards int  // shards that it owns
	IsStable    bool // it is healthy and its process has run for StabilityPeriod
}

// ChooseHandoverTarget is the index of the candidate to which a shard of a zone without a
// controller should be handed over: the stable one with the fewest shards, if it owns at least
// minShardDifference fewer than the given number of shards owned here. It is -1 if there is none.
//
// Such a shard has no home controller that gets it back. Without this handover, one controller
// would keep the shards of all zones after an outage of all other controllers.
func ChooseHandoverTarget(ownedShards int, candidates []HandoverCandidate) int {
	best := -1
	for i, candidate := range candidates {
		if !candidate.IsStable || candidate.OwnedShards+minShardDifference > ownedShards {
			continue
		}
		if best < 0 || candidate.OwnedShards < candidates[best].OwnedShards {
			best = i
		}
	}
	return best
}
