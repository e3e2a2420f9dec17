package leadership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRaisingTheTokenKeepsTheTerm(t *testing.T) {
	var c Claim
	c.ObserveAbsence(time.Second)
	c.BeginClaim()
	assert.False(t, c.AcceptsRevision(99), "while a claim is pending, only its own outcome is accepted")
	c.EndClaim()
	require.True(t, c.RecordClaimed("n0", 7), "the first claim begins a new term")
	assert.Equal(t, uint64(7), c.Term())
	c.BeginClaim()
	c.EndClaim()
	require.False(t, c.RecordClaimed("n0", 12), "a raised token stays in the same term")
	assert.Equal(t, uint64(7), c.Term())
	assert.Equal(t, uint64(12), c.Token())
	assert.Equal(t, uint64(12), c.Revision())
}

func TestOnlyNewerRevisionEndsOwnership(t *testing.T) {
	var c Claim
	c.RecordClaimed("n0", 7)
	assert.False(t, c.OutdatedBy(6), "revision of an older claim")
	assert.False(t, c.OutdatedBy(7), "revision of its own claim")
	assert.True(t, c.OutdatedBy(8))
	c.ObserveRemoval(5, time.Minute)
	assert.Equal(t, "n0", c.Owner(), "a removal older than the claim is ignored")
}

func TestGossipWithTokenOlderThanKeyRemovalIsIgnored(t *testing.T) {
	var c Claim
	c.ObserveOwner("n1", 7)
	c.ObserveRemoval(9, time.Minute)
	c.ObserveGossip("n1", 7)
	assert.Empty(t, c.Owner(), "n1 cannot reach the state service and still states its ownership")
	c.ObserveGossip("n2", 10)
	assert.Equal(t, "n2", c.Owner())
	c.ObserveGossip("n1", 8)
	assert.Equal(t, "n2", c.Owner(), "the gossip has an older token")
	c.BeginClaim()
	c.ObserveGossip("n1", 12)
	assert.Equal(t, "n2", c.Owner(), "gossip is ignored while a claim is pending")
}

// A read that is answered after the watch has reported the key's removal must not make the shard count
// as owned: nobody would claim it.
func TestValueReadBeforeObservedRemovalIsOutdated(t *testing.T) {
	var c Claim
	assert.False(t, c.IsRemovedSince(7), "nothing has been observed")
	c.ObserveOwner("n1", 7)
	c.ObserveRemoval(9, time.Minute)
	assert.True(t, c.IsRemovedSince(7))
	assert.False(t, c.IsRemovedSince(10), "a claim after the removal")
}

func TestHomeControllerIsStableAfterStabilityPeriod(t *testing.T) {
	var c Claim
	at := time.Minute
	assert.False(t, c.ObserveHomeHealth(true, at))
	assert.False(t, c.ObserveHomeHealth(true, at+StabilityPeriod-1))
	assert.True(t, c.ObserveHomeHealth(true, at+StabilityPeriod))
	c.ObserveHomeHealth(false, at+StabilityPeriod+1)
	assert.False(t, c.ObserveHomeHealth(true, at+2*StabilityPeriod), "an unhealthy observation restarts the period")
}

func TestEarliestRequestedTokenRaiseIsKept(t *testing.T) {
	var c Claim
	assert.False(t, c.TokenRaiseDue(time.Hour), "no raise is requested")
	c.RequestTokenRaise(10 * time.Second)
	c.RequestTokenRaise(2 * time.Second)
	c.RequestTokenRaise(20 * time.Second)
	assert.False(t, c.TokenRaiseDue(2*time.Second-1))
	assert.True(t, c.TokenRaiseDue(2*time.Second))
	c.DropTokenRaise()
	assert.False(t, c.TokenRaiseDue(time.Hour))
}

func TestClaimDelayOfFreeShard(t *testing.T) {
	const takeover = 2 * time.Second
	for name, test := range map[string]struct {
		candidate ClaimCandidate
		want      time.Duration
	}{
		"home":                                 {ClaimCandidate{IsHome: true, OwnedShards: 3, LabelRank: 2}, 0},
		"offered":                              {ClaimCandidate{IsOffered: true, IsHomeReachable: true, OwnedShards: 3}, 0},
		"home, but isolated":                   {ClaimCandidate{IsHome: true, IsIsolated: true}, MaxDelayWithoutHome},
		"home is reachable":                    {ClaimCandidate{IsHomeReachable: true}, takeover},
		"home is unreachable":                  {ClaimCandidate{}, MaxDelayWithoutHome},
		"owns other shards":                    {ClaimCandidate{OwnedShards: 2}, MaxDelayWithoutHome + 2*delayPerOwnedShard},
		"second by label":                      {ClaimCandidate{LabelRank: 1}, MaxDelayWithoutHome + delayPerRank},
		"owns other shards, home is reachable": {ClaimCandidate{IsHomeReachable: true, OwnedShards: 1, LabelRank: 1}, takeover + delayPerOwnedShard + delayPerRank},
	} {
		t.Run(name, func(t *testing.T) {
			test.candidate.TakeoverDelay = takeover
			assert.Equal(t, test.want, test.candidate.ClaimDelay())
		})
	}
}

func TestHandoverTargetOwnsFewestAndAtLeastTwoFewerShards(t *testing.T) {
	for name, test := range map[string]struct {
		ownedShards int
		candidates  []HandoverCandidate
		want        int
	}{
		"no candidates":                {3, nil, -1},
		"one shard fewer":              {3, []HandoverCandidate{{2, true}}, -1},
		"two shards fewer":             {3, []HandoverCandidate{{1, true}}, 0},
		"fewest shards":                {5, []HandoverCandidate{{3, true}, {1, true}, {2, true}}, 1},
		"first of two with the fewest": {5, []HandoverCandidate{{4, true}, {1, true}, {1, true}}, 1},
		"unstable candidate":           {5, []HandoverCandidate{{0, false}, {2, true}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, ChooseHandoverTarget(test.ownedShards, test.candidates))
		})
	}
}
