package fake

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSampledWalkCasesKeepInvariants runs every 43rd case of the walk and expects no violation. To
// run all cases: go run ./cmd/search walk.
func TestSampledWalkCasesKeepInvariants(t *testing.T) {
	cases, faults, steps := 0, map[string]bool{}, map[Step]bool{}
	for walkCase := range Walk(1) {
		if cases++; cases%43 != 0 {
			continue
		}
		faults[walkCase.Fault], steps[walkCase.Step] = true, true
		t.Run(walkCase.String(), func(t *testing.T) {
			t.Parallel()
			result := walkCase.Scenario().Run(nil)
			assert.Empty(t, result.Violations, walkCase.Scenario().String())
			assert.NotContains(t, result.Injected, false, "every fault was injected")
		})
	}
	assert.Equal(t, WalkSize(1), cases)
	assert.Len(t, steps, len(Steps))
	assert.Len(t, faults, len(Faults))
}

func TestSmallScenarioCoversEveryStepAndPhase(t *testing.T) {
	occurrences := map[Step]map[Phase]int{}
	scenario := SmallScenario()
	sim := scenario.newSimulation()
	sim.OnStepEvent = func(event StepEvent) {
		if occurrences[event.Step] == nil {
			occurrences[event.Step] = map[Phase]int{}
		}
		occurrences[event.Step][event.Phase]++
	}
	scenario.scheduleSubmissions(sim)
	sim.After(secondsToDuration(scenario.Faults[0].AtSeconds), func() { scenario.Faults[0].inject(sim, StepEvent{}) })
	sim.Run(2 * lateEventPeriod)
	for _, step := range Steps {
		for _, phase := range Phases {
			assert.Positive(t, occurrences[step][phase], "%s %s", phase, step)
		}
	}
	require.Empty(t, sim.Checker.Violations)
}
