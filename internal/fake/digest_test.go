package fake

import (
	"cmp"
	"crypto/sha256"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

var recordDigests = flag.Bool("record-digests", false, "overwrite the recorded digests of the core's effects")

// The random scenarios whose digests are recorded. TestRecordedScenariosCoverCoreBehaviour checks
// that they contain every feature and fault that the digests are to cover.
const (
	digestScenarioCount = 24
	firstDigestSeed     = 7000
)

const digestFile = "testdata/digests.txt"

// effectTag returns the name of a kind of effect in a digest, so that the digest does not depend on
// the name of its Go type. Log events and measurements are not part of a digest and have no tag.
func effectTag(t *testing.T, effect core.Effect) string {
	switch e := effect.(type) {
	case core.LogEvent, core.Observation:
		return ""
	case core.Call:
		return "call " + operationTag(t, e.Operation)
	case core.UserReply:
		return "user"
	case core.HeartbeatReply:
		return "worker"
	case core.SendToPeer:
		return "peer"
	case core.BudgetShare:
		return "share"
	}
	require.Failf(t, "unknown effect", "%T", effect)
	return ""
}

// operationTag returns the name of a kind of operation in a digest.
func operationTag(t *testing.T, operation core.Operation) string {
	switch operation.(type) {
	case core.CommitTxn:
		return "commit"
	case core.ReadKey:
		return "read"
	case core.ListKeys:
		return "list"
	case core.WatchKeys:
		return "watch"
	case core.GrantLease:
		return "grant lease"
	case core.RenewLease:
		return "renew lease"
	case core.ReadCatalog:
		return "catalog"
	case core.ListHosts:
		return "hosts"
	case core.RentHosts:
		return "rent"
	case core.ReturnHosts:
		return "return"
	case core.SendCommands:
		return "commands"
	case core.ReadWorkerStatus:
		return "show"
	}
	require.Failf(t, "unknown operation", "%T", operation)
	return ""
}

// writeValue writes a value field by field, without the names of types and fields, so that renaming
// them does not change a digest.
func writeValue(w io.Writer, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			fmt.Fprint(w, "nil")
			return
		}
		writeValue(w, v.Elem())
	case reflect.Struct:
		fmt.Fprint(w, "{")
		for i := range v.NumField() {
			writeValue(w, v.Field(i))
			fmt.Fprint(w, ";")
		}
		fmt.Fprint(w, "}")
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			fmt.Fprintf(w, "%t%q", v.IsNil(), v.Bytes())
			return
		}
		fmt.Fprint(w, "[")
		for i := range v.Len() {
			writeValue(w, v.Index(i))
			fmt.Fprint(w, ",")
		}
		fmt.Fprint(w, "]")
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return cmp.Compare(a.String(), b.String()) })
		fmt.Fprint(w, "(")
		for _, k := range keys {
			fmt.Fprintf(w, "%q=", k.String())
			writeValue(w, v.MapIndex(k))
			fmt.Fprint(w, ",")
		}
		fmt.Fprint(w, ")")
	case reflect.String:
		fmt.Fprintf(w, "%q", v.String())
	case reflect.Bool:
		fmt.Fprint(w, v.Bool())
	case reflect.Float64:
		fmt.Fprint(w, v.Float())
	case reflect.Int, reflect.Int64:
		fmt.Fprint(w, v.Int())
	case reflect.Uint64:
		fmt.Fprint(w, v.Uint())
	default:
		panic(fmt.Sprintf("no digest of a %v", v.Type()))
	}
}

// digestOfScenario runs a scenario and returns a digest of all effects of the controllers' cores,
// in order.
func digestOfScenario(t *testing.T, s Scenario) string {
	t.Helper()
	sim := s.newSimulation()
	sum := sha256.New()
	sim.OnEffect = func(node *Node, effect core.Effect) {
		tag := effectTag(t, effect)
		if tag == "" {
			return
		}
		fmt.Fprintf(sum, "%d %s %s ", sim.Now, node.Name, tag)
		writeValue(sum, reflect.ValueOf(effect))
		fmt.Fprintln(sum)
	}
	result := s.runIn(sim)
	assert.Empty(t, result.Violations, "rules")
	return fmt.Sprintf("%x", sum.Sum(nil)[:16])
}

// TestTheCoreDoesAsRecorded checks that a change which only moves or renames code does not change
// any effect of the core. A commit that changes behaviour records the digests again and states the
// reason:
//
//	go test ./internal/fake -run TestTheCoreDoesAsRecorded -record-digests
func TestTheCoreDoesAsRecorded(t *testing.T) {
	var lock sync.Mutex
	lines := make([]string, digestScenarioCount)
	t.Run("scenarios", func(t *testing.T) {
		for i := range lines {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				digest := digestOfScenario(t, RandomScenario(uint64(firstDigestSeed+i)))
				lock.Lock()
				defer lock.Unlock()
				lines[i] = fmt.Sprintf("%d %s\n", firstDigestSeed+i, digest)
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

// TestRecordedScenariosCoverCoreBehaviour counts the features and faults of the recorded scenarios,
// so that their digests detect a change in any behaviour that the features and faults exercise.
func TestRecordedScenariosCoverCoreBehaviour(t *testing.T) {
	minCounts := map[string]int{
		"service": 20, "gang": 20, "GPU": 5, "cancellation": 20, "checkpoints": 20, "one zone": 20, "spread zones": 20,
		"restart": 10, "restart-all": 3, "all-away": 3, "state-outage": 3, "state-outage-long": 3, "zone-cut": 3,
		"node-cut": 3, "alone": 3, "answers-lost": 3, "recall": 3, "machine-deaf": 3,
	}
	counts := map[string]int{}
	for i := range digestScenarioCount {
		scenario := RandomScenario(uint64(firstDigestSeed + i))
		for _, submitted := range scenario.Jobs {
			for feature, present := range map[string]bool{
				"service":      submitted.Spec.Service,
				"gang":         submitted.Spec.Gang,
				"GPU":          submitted.Spec.TaskResources.GPUs > 0,
				"cancellation": submitted.CancelAfterSeconds > 0,
				"checkpoints":  submitted.Spec.CheckpointIntervalSeconds > 0,
				"one zone":     submitted.Spec.OneZone,
				"spread zones": submitted.Spec.SpreadZones,
			} {
				if present {
					counts[feature]++
				}
			}
		}
		for _, fault := range scenario.Faults {
			counts[fault.FaultName]++
		}
	}
	for feature, minCount := range minCounts {
		assert.GreaterOrEqual(t, counts[feature], minCount, feature)
	}
	// No fault stands for a handover, so handovers are counted as deletions of shard keys by owners.
	assert.GreaterOrEqual(t, countHandovers(RandomScenario(firstDigestSeed+1)), 1, "handovers in the second scenario")
}

// countHandovers runs a scenario and counts the deletions of shard keys that controllers request.
func countHandovers(scenario Scenario) int {
	sim, handovers := scenario.newSimulation(), 0
	sim.OnEffect = func(_ *Node, effect core.Effect) {
		call, ok := effect.(core.Call)
		if !ok {
			return
		}
		commit, ok := call.Operation.(core.CommitTxn)
		if !ok {
			return
		}
		for _, change := range commit.Txn.Mutations {
			if strings.HasPrefix(change.Key, "part/") && change.Value == nil {
				handovers++
			}
		}
	}
	scenario.runIn(sim)
	return handovers
}
