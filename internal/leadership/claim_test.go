package leadership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestAClaimKeepsItsTermWhileItsTokenIsRaised(t *testing.T) {
	var c Claim
	c.ObserveAbsence(time.Second)
	c.Begin()
	assert.False(t, c.Accepts(99), "only the outcome of the claim counts while it is on its way")
	c.End()
	require.True(t, c.Succeed("n0", 7), "a new term")
	assert.Equal(t, uint64(7), c.Term())
	c.Begin()
	c.End()
	require.False(t, c.Succeed("n0", 12), "the same term")
	assert.Equal(t, uint64(7), c.Term())
	assert.Equal(t, uint64(12), c.Token())
	assert.Equal(t, uint64(12), c.Revision())
}

func TestOnlyALaterRevisionEndsAnOwnership(t *testing.T) {
	var c Claim
	c.Succeed("n0", 7)
	assert.False(t, c.OutdatedBy(6), "an older claim")
	assert.False(t, c.OutdatedBy(7), "its own")
	assert.True(t, c.OutdatedBy(8))
	c.ObserveRemoval(5, time.Minute)
	assert.Equal(t, "n0", c.Owner(), "the removal before the claim changes nothing")
}

func TestAnOwnersStatementDoesNotOutliveTheRemovalOfItsKey(t *testing.T) {
	var c Claim
	c.ObserveOwner("n1", 7)
	c.ObserveRemoval(9, time.Minute)
	c.ObserveGossip("n1", 7)
	assert.Empty(t, c.Owner(), "n1 lost the state service and still believes that it owns the shard")
	c.ObserveGossip("n2", 10)
	assert.Equal(t, "n2", c.Owner())
	c.ObserveGossip("n1", 8)
	assert.Equal(t, "n2", c.Owner(), "an older token")
	c.Begin()
	c.ObserveGossip("n1", 12)
	assert.Equal(t, "n2", c.Owner(), "a claim is on its way")
}

func TestAHomeControllerMustBeWellForAWhile(t *testing.T) {
	var c Claim
	at := time.Minute
	assert.False(t, c.HomeSeen(true, at))
	assert.False(t, c.HomeSeen(true, at+SteadyAfter-1))
	assert.True(t, c.HomeSeen(true, at+SteadyAfter))
	c.HomeSeen(false, at+SteadyAfter+1)
	assert.False(t, c.HomeSeen(true, at+2*SteadyAfter), "it begins anew")
}

func TestDelaysBeforeAFreeShardIsClaimed(t *testing.T) {
	const takeover = 2 * time.Second
	for name, test := range map[string]struct {
		candidacy Candidacy
		want      time.Duration
	}{
		"home":                       {Candidacy{Home: true, Owned: 3, Rank: 2}, 0},
		"offered":                    {Candidacy{Offered: true, HomeHeard: true, Owned: 3}, 0},
		"home, but isolated":         {Candidacy{Home: true, Isolated: true}, NoHomeDelay},
		"home is heard":              {Candidacy{HomeHeard: true}, takeover},
		"home is away":               {Candidacy{}, NoHomeDelay},
		"owns others":                {Candidacy{Owned: 2}, NoHomeDelay + 2*delayPerOwned},
		"second in rank":             {Candidacy{Rank: 1}, NoHomeDelay + delayPerRank},
		"owns others, home is heard": {Candidacy{HomeHeard: true, Owned: 1, Rank: 1}, takeover + delayPerOwned + delayPerRank},
	} {
		t.Run(name, func(t *testing.T) {
			test.candidacy.TakeoverDelay = takeover
			assert.Equal(t, test.want, test.candidacy.ClaimDelay())
		})
	}
}

func TestTheSuccessorOwnsTwoFewerAndTheFewest(t *testing.T) {
	for name, test := range map[string]struct {
		owned      int
		successors []Successor
		want       int
	}{
		"nobody":                 {3, nil, -1},
		"one fewer":              {3, []Successor{{2, true}}, -1},
		"two fewer":              {3, []Successor{{1, true}}, 0},
		"the fewest":             {5, []Successor{{3, true}, {1, true}, {2, true}}, 1},
		"the first of the alike": {5, []Successor{{4, true}, {1, true}, {1, true}}, 1},
		"not steady":             {5, []Successor{{0, false}, {2, true}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, ChooseSuccessor(test.owned, test.successors))
		})
	}
}
