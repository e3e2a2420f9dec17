package fake

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	seedCount = flag.Uint64("seeds", 60, "how many random days to play")
	seedFirst = flag.Uint64("seed", 1, "the first of them")
)

func TestRandomDaysKeepTheRules(t *testing.T) {
	for seed := *seedFirst; seed < *seedFirst+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var log func(string, ...any)
			if testing.Verbose() && *seedCount == 1 {
				log = t.Logf
			}
			wrong := RandomDay(seed).Play(log).Broken
			require.Empty(t, wrong, "replay with: go test ./internal/fake -run TestRandomDays -v -seeds 1 -seed %d", seed)
		})
	}
}
