package core

import "time"

const (
	// budgetUpdateInterval is the interval at which this controller computes its shares.
	budgetUpdateInterval = 500 * time.Millisecond
	// rateSmoothingRatio is the weight of the newest interval in the moving average of the call
	// rate: a burst raises the rate at once, and the rate falls gradually afterwards.
	rateSmoothingRatio = 0.2
	// budgetUpdatesPerSecond converts calls per interval to calls per second.
	budgetUpdatesPerSecond = 2
	// maxCallRateAge is how old a peer's gossip may be for its call rate to be used.
	maxCallRateAge = 3 * time.Second

	// The ratios of the budgets that are divided equally between all controllers. The rest of
	// the state service's requests and writes is divided by recent call rates, and the rest of
	// the cloud's calls by the number of owned shards.
	equalRequestRatio   = 0.3
	equalWriteRatio     = 0.25
	equalCloudCallRatio = 0.2
)

// callBudget is this controller's share of the call budgets of the state service and the cloud,
// which all controllers together must not exceed.
type callBudget struct {
	share            BudgetShare
	nextUpdateAt     time.Duration
	callsSinceUpdate BudgetShare // calls sent since the shares were last computed
	callsPerSecond   BudgetShare // moving average of the calls sent per second
}

// updateBudgetShare computes this controller's shares of the call budgets. Most of the cloud's
// calls go to the owners, by number of shards. The state service's requests and writes are divided
// partly equally and partly by the recent call rates that controllers state in their gossip, because
// users may send most requests to one controller, and an owner's work comes in bursts. All
// controllers apply this rule to almost the same gossip, so the shares add up to hardly more than
// the budget. If they exceed it, the callee refuses a call and the caller retries it.
func (c *Core) updateBudgetShare() {
	b := &c.budget
	if c.now < b.nextUpdateAt {
		return
	}
	b.nextUpdateAt = c.now + budgetUpdateInterval
	b.callsPerSecond.Requests += rateSmoothingRatio * (budgetUpdatesPerSecond*b.callsSinceUpdate.Requests - b.callsPerSecond.Requests)
	b.callsPerSecond.Changes += rateSmoothingRatio * (budgetUpdatesPerSecond*b.callsSinceUpdate.Changes - b.callsPerSecond.Changes)
	b.callsSinceUpdate = BudgetShare{}
	own := BudgetShare{Requests: b.callsPerSecond.Requests + 1, Changes: b.callsPerSecond.Changes + 1}
	sum := own
	for _, peer := range c.peers {
		if peer.gossip != nil && c.now < peer.gossipReceivedAt+maxCallRateAge {
			sum.Requests += peer.gossip.CallRate.Requests + 1
			sum.Changes += peer.gossip.CallRate.Changes + 1
		}
	}
	equalShare, ownedShardRatio := 1/float64(1+len(c.peers)), 0.0
	if len(c.shards) > 0 {
		ownedShardRatio = float64(c.ownedShards()) / float64(len(c.shards))
	}
	share := BudgetShare{
		Requests: equalRequestRatio*equalShare + (1-equalRequestRatio)*own.Requests/sum.Requests,
		Changes:  equalWriteRatio*equalShare + (1-equalWriteRatio)*own.Changes/sum.Changes,
		Calls:    equalCloudCallRatio*equalShare + (1-equalCloudCallRatio)*ownedShardRatio,
	}
	if share != b.share {
		b.share = share
		c.emit(share)
	}
}
