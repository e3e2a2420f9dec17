package leadership

import "time"

// SteadyAfter is how long a controller must have been well to be handed a shard.
const SteadyAfter = 5 * time.Second

// Delays before a free shard is claimed. The controllers' delays differ, so that they do not
// race for it.
const (
	// HomeSilentAfter is when a home controller that is not heard counts as away.
	HomeSilentAfter = 2 * time.Second
	// NoHomeDelay bounds the wait for a home controller that is away: there is nobody to
	// wait for, and its workers' leases run.
	NoHomeDelay = 300 * time.Millisecond

	delayPerOwned = 700 * time.Millisecond
	delayPerRank  = 200 * time.Millisecond
)

// Candidacy is a controller's situation when a shard is free.
type Candidacy struct {
	Home          bool          // the shard is this controller's own zone
	Isolated      bool          // it gave a shard up lately because it heard no workers
	Offered       bool          // the last owner released the shard to it
	HomeHeard     bool          // another controller is at home in the zone and was heard lately
	Owned         int           // shards that it owns or claims
	Rank          int           // its place among all controllers
	TakeoverDelay time.Duration // operators' setting: how long the home controller has
}

// ClaimDelay is how long a free shard is left to controllers with a better claim: its home
// controller first, then the one that owns the fewest.
func (c Candidacy) ClaimDelay() time.Duration {
	if c.Home && !c.Isolated || c.Offered {
		return 0
	}
	delay := c.TakeoverDelay
	if !c.HomeHeard {
		delay = min(delay, NoHomeDelay)
	}
	return delay + time.Duration(c.Owned)*delayPerOwned + time.Duration(c.Rank)*delayPerRank
}

// fewerToTakeOver is how many shards fewer a controller must own to be handed one of a zone
// without a controller; with one fewer the shard would go back and forth.
const fewerToTakeOver = 2

// Successor is a controller that could be handed a shard.
type Successor struct {
	Owned  int  // shards that it owns
	Steady bool // it has been well, and running, for SteadyAfter
}

// ChooseSuccessor is the index of the controller that a shard of a zone without a controller
// goes to: the one with the fewest shards, if it owns enough fewer than this one. It is -1
// if there is none. Such a shard has no home to return to: after the others had ended for a
// while, one controller would keep the machines of all zones.
func ChooseSuccessor(owned int, successors []Successor) int {
	best := -1
	for i, s := range successors {
		if !s.Steady || s.Owned+fewerToTakeOver > owned {
			continue
		}
		if best < 0 || s.Owned < successors[best].Owned {
			best = i
		}
	}
	return best
}
