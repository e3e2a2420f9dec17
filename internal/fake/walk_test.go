package fake

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestAWalkOverPairsKeepsTheRules plays a fixed part of the walk: every 53rd pair. All of
// it: go run ./cmd/search walk.
func TestAWalkOverPairsKeepsTheRules(t *testing.T) {
	i, faults, steps := 0, map[string]bool{}, map[Step]bool{}
	for p := range Walk(1) {
		if i++; i%53 != 0 {
			continue
		}
		faults[p.Fault], steps[p.Step] = true, true
		t.Run(p.String(), func(t *testing.T) {
			t.Parallel()
			v := p.Script().Play(nil)
			assert.Empty(t, v.Broken, p.Script().String())
			assert.NotContains(t, v.Injected, false, "the moment came")
		})
	}
	assert.Equal(t, WalkSize(1), i)
	assert.Len(t, steps, len(Steps))
	assert.Len(t, faults, len(Faults))
}

func TestTheSmallDayBringsAboutEveryStep(t *testing.T) {
	phases := map[Step]map[Phase]int{}
	s := SmallDay()
	w := s.build()
	w.OnMoment = func(m Moment) {
		if phases[m.Step] == nil {
			phases[m.Step] = map[Phase]int{}
		}
		phases[m.Step][m.Phase]++
	}
	s.submit(w)
	w.After(seconds(s.Steps[0].At), func() { s.Steps[0].inject(w, Moment{}) })
	w.Run(2 * afterwards)
	for _, step := range Steps {
		for _, phase := range Phases {
			assert.Positive(t, phases[step][phase], "%s %s", phase, step)
		}
	}
	require.Empty(t, w.Referee.Broken)
}
