package fake

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestAScriptReadsBackAndGivesTheSameVerdictAgain(t *testing.T) {
	for _, seed := range []uint64{3, 14, 25} {
		s := RandomDay(seed)
		again, err := ReadScript(strings.NewReader(s.String()))
		require.NoError(t, err)
		require.Equal(t, s.String(), again.String())
		var first, second strings.Builder
		log := func(b *strings.Builder) func(string, ...any) {
			return func(format string, args ...any) { fmt.Fprintf(b, format+"\n", args...) }
		}
		a, b := s.Play(log(&first)), again.Play(log(&second))
		assert.Equal(t, a, b)
		require.True(t, first.String() == second.String(), "all that happens is the same, seed %d", seed)
	}
}

func TestScriptsThatCannotBePlayedAreRefused(t *testing.T) {
	for bad, why := range map[string]string{
		`{"jobs":[{"id":"job-1"},{"id":"job-1"}]}`:                          "named twice",
		`{"steps":[{"trouble":"rain"}]}`:                                    `unknown trouble "rain"`,
		`{"steps":[{"trouble":"freeze","step":"place","phase":"during"}]}`:  "occurrence 0",
		`{"steps":[{"trouble":"freeze","step":"dance","phase":"x","n":1}]}`: "no such moment",
		`{"wrld":{}}`: "unknown field",
		`{`:           "unexpected EOF",
	} {
		_, err := ReadScript(strings.NewReader(bad))
		require.Error(t, err, bad)
		assert.Contains(t, err.Error(), why)
	}
}

func TestAFailingScriptShrinksToWhatBreaksTheRule(t *testing.T) {
	s := RandomDay(3)
	s.Steps = append(s.Steps, InjectedFault{At: 30, Fault: "freeze", For: 12, Node: "node-1"})
	// Stands for a fault that needs one job of several tasks and a long standstill.
	play := func(s Script) (v Verdict) {
		for _, j := range s.Jobs {
			for _, x := range s.Steps {
				if j.ID == "job-7" && j.Spec.Tasks >= 1 && x.Fault == "freeze" && x.For >= 5 && x.Node == "node-1" {
					v.Broken = []string{"31s ran_twice: {job-7 0} starts on vm-1"}
				}
			}
		}
		return v
	}
	short, played := s.Shrink(2000, play)
	assert.Equal(t, "ran_twice", play(short).Rule())
	require.Len(t, short.Jobs, 1)
	require.Len(t, short.Steps, 1)
	assert.Equal(t, 1, short.Jobs[0].Spec.Tasks)
	assert.Less(t, short.Steps[0].For, 10.0)
	assert.Zero(t, short.World.Lost+short.World.Noise+short.World.Copies)
	assert.Less(t, played, 1000)

	few, played := s.Shrink(10, play)
	assert.LessOrEqual(t, played, 11)
	assert.Equal(t, "ran_twice", play(few).Rule(), "however few days it may play")
	same, _ := short.Shrink(100, func(Script) Verdict { return Verdict{} })
	assert.Equal(t, short.String(), same.String(), "what breaks nothing stays as it is")
}
