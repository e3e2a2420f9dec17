package core

import "time"

const (
	// budgetInterval is how often the budgets are divided anew.
	budgetInterval = 500 * time.Millisecond
	// rateSmoothing is the weight of the newest interval in the mean rate of calls: a burst
	// counts at once and is not forgotten at once.
	rateSmoothing      = 0.2
	intervalsPerSecond = 2
	// callRateFresh is how old a peer's rate of calls may be.
	callRateFresh = 3 * time.Second

	// The parts of the budgets that all controllers share alike; the rest goes by need, or,
	// of the cloud's calls, by owned shards.
	equalRequests = 0.3
	equalWrites   = 0.25
	equalCalls    = 0.2
)

// callBudget is this controller's share of what all may ask of the state service and the
// cloud.
type callBudget struct {
	share      BudgetShare
	nextAt     time.Duration
	sinceShare BudgetShare // calls made since the shares were last computed
	rate       BudgetShare // calls a second, of late
}

// updateBudgetShare divides the budgets. Of the cloud's calls most go to owners, by shards.
// Of the state service's requests and writes a part goes to all alike and the rest by what
// each needed lately, as its gossip says: users gather at one controller, and an owner's work
// comes in bursts. By one rule on nearly one view the shares hardly add up to more than the
// whole; where they do, a refused call is repeated.
func (c *Core) updateBudgetShare() {
	b := &c.budget
	if c.now < b.nextAt {
		return
	}
	b.nextAt = c.now + budgetInterval
	b.rate.Requests += rateSmoothing * (intervalsPerSecond*b.sinceShare.Requests - b.rate.Requests)
	b.rate.Changes += rateSmoothing * (intervalsPerSecond*b.sinceShare.Changes - b.rate.Changes)
	b.sinceShare = BudgetShare{}
	own := BudgetShare{Requests: b.rate.Requests + 1, Changes: b.rate.Changes + 1}
	sum := own
	for _, peer := range c.peers {
		if peer.gossip != nil && c.now < peer.gossipAt+callRateFresh {
			sum.Requests += peer.gossip.CallRate.Requests + 1
			sum.Changes += peer.gossip.CallRate.Changes + 1
		}
	}
	equal, byShards := 1/float64(1+len(c.peers)), 0.0
	if len(c.shards) > 0 {
		byShards = float64(c.ownedShards()) / float64(len(c.shards))
	}
	share := BudgetShare{
		Requests: equalRequests*equal + (1-equalRequests)*own.Requests/sum.Requests,
		Changes:  equalWrites*equal + (1-equalWrites)*own.Changes/sum.Changes,
		Calls:    equalCalls*equal + (1-equalCalls)*byShards,
	}
	if share != b.share {
		b.share = share
		c.emit(share)
	}
}
