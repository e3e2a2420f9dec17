package fake

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestLookingChangesNothing(t *testing.T) {
	// Operators look in every moment of a change of hands. What a look asked of the
	// outside would never be carried out, and the answer be waited for for ever.
	w := day(t, 8304)
	var jobs []*Job
	for i := range 6 { // more than the limits allow, in every zone
		s := spec(fmt.Sprintf("job-%d", i), []string{"red", "blue"}[i%2], 12, 2)
		s.Zone = w.Cfg.Zones[i/2]
		jobs = append(jobs, w.Submit(s, 10*time.Second))
	}
	w.Run(12 * time.Second)
	w.Nodes[0].Restart(30 * time.Second)
	looks, changing := 0, 0
	for end := w.Now + 15*time.Second; w.Now < end; w.Run(time.Millisecond) {
		for _, n := range w.Nodes[1:] {
			for _, p := range n.Core.Status().Parts {
				if p.Here && !p.Loaded {
					changing++
				}
			}
			for _, j := range jobs {
				n.Core.Explain(j.Spec.ID)
			}
			looks++
		}
	}
	assert.Positive(t, changing, "the part changed hands under their eyes")
	assert.Greater(t, looks, 20000)
	for _, j := range jobs {
		ends(t, w, j, 3*time.Minute)
	}
}
