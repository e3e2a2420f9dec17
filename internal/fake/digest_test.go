package fake

import (
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

var recordDigests = flag.Bool("record-digests", false, "write the digests of what the core does anew")

// digestDays are the random days whose digests are recorded: among them are days with
// services and cards, gangs, zones without a controller, restarts, outages and
// cancellations.
const digestDays = 12

const digestFile = "testdata/digests.txt"

// digestOf plays a script and sums up all that the controllers' cores ask for, in order.
// What they log does not count.
func digestOf(t *testing.T, s Script) string {
	w := s.build()
	sum := sha256.New()
	w.OnEffect = func(n *Node, effect any) {
		switch effect.(type) {
		case core.Note, core.Observed:
			return
		}
		text, err := json.Marshal(effect)
		require.NoError(t, err)
		fmt.Fprintf(sum, "%d %s %T %s\n", w.Now, n.Name, effect, text)
	}
	v := s.playIn(w)
	assert.Empty(t, v.Broken, "rules")
	return fmt.Sprintf("%x", sum.Sum(nil)[:16])
}

// TestTheCoreDoesAsRecorded holds that a change which only moves or renames code leaves
// everything that the core does as it was. A change of behaviour records the digests anew,
// and its commit says why:
//
//	go test ./internal/fake -run TestTheCoreDoesAsRecorded -record-digests
func TestTheCoreDoesAsRecorded(t *testing.T) {
	var lock sync.Mutex
	lines := make([]string, digestDays)
	t.Run("days", func(t *testing.T) {
		for i := range lines {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				digest := digestOf(t, RandomDay(uint64(7000+i)))
				lock.Lock()
				defer lock.Unlock()
				lines[i] = fmt.Sprintf("%d %s\n", 7000+i, digest)
			})
		}
	})
	if *recordDigests {
		require.NoError(t, os.MkdirAll(filepath.Dir(digestFile), 0o755))
		require.NoError(t, os.WriteFile(digestFile, []byte(strings.Join(lines, "")), 0o644))
	}
	recorded, err := os.ReadFile(digestFile)
	require.NoError(t, err)
	assert.Equal(t, string(recorded), strings.Join(lines, ""))
}
