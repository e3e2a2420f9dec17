package fake

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

// returnedAfterSilence has a third of the machines reach no controller for a while, in a zone
// whose owner turns requests away or does not, and returns how many were given back.
func returnedAfterSilence(t *testing.T, seed uint64, overloaded bool) int {
	w := gpuDay(t, seed, 8*time.Second, 40)
	for i := range 12 {
		w.Submit(sweep(fmt.Sprintf("job-%02d", i), 24, 200), 200*time.Second)
	}
	require.True(t, w.Until(2*time.Minute, func() bool { return w.Referee.Starts >= 12*24 }))
	w.Run(20 * time.Second)
	before := returned(w)
	const silence = 25 * time.Second // beyond the silence that machines are returned for, within a lease
	for i, worker := range w.Alive() {
		if i%3 == 0 {
			w.CutOutbound(worker, silence)
		}
	}
	for end := w.Now + silence; w.Now < end; w.Run(time.Second) {
		if overloaded {
			for _, n := range w.Nodes {
				n.handle(core.Overloaded{})
			}
		}
	}
	return returned(w) - before
}

func TestOverloadedOwnerReturnsNoSilentMachine(t *testing.T) {
	// One small owner of 6,000 machines turned reports away and returned 3,220 machines
	// whose reports it had not taken.
	assert.Zero(t, returnedAfterSilence(t, 930, true))
	assert.Positive(t, returnedAfterSilence(t, 930, false), "without it they are silent for too long")
}

func TestShardsWithoutHomeMoveToControllersThatOwnFewer(t *testing.T) {
	// All controllers are in zone a. One that was left alone for a while kept the machines
	// of all zones for ever, while the others stood by.
	w := gpuDay(t, 931, 8*time.Second, 40)
	job := w.Submit(sweep("job-1", 60, 100), 100*time.Second)
	require.True(t, w.Until(time.Minute, started(w, "job-1", 60)))
	w.Nodes[1].Restart(15 * time.Second)
	w.Nodes[2].Restart(15 * time.Second)
	w.Run(14 * time.Second)
	for _, zone := range w.Cfg.Zones {
		require.Equal(t, w.Nodes[0], w.OwnerOf(zone), "owner of zone %s", zone)
	}
	w.Run(40 * time.Second)
	owners := map[*Node]int{}
	for _, zone := range w.Cfg.Zones {
		owners[w.OwnerOf(zone)]++
	}
	assert.Len(t, owners, 3, "one part each")
	assert.Equal(t, w.Nodes[0], w.OwnerOf("a"), "a controller keeps the part of its own zone")
	ends(t, w, job, 3*time.Minute)
	assert.Equal(t, 60, job.Starts, "nothing is lost by it")
}
