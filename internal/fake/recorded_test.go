package fake

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

var recordValues = flag.Bool("record-values", false, "overwrite the recorded values and operators' JSON of the current version")

const (
	// earlierFile holds what the version of 2 December 2026 (b103dfb) wrote to the state service and
	// returned to operators in a recorded scenario. The file is never written again: deployed state
	// services hold such values, and operators' programs read such JSON.
	earlierFile = "testdata/recorded-b103dfb.json"
	// currentFile holds the same of the current version. A commit that changes the behaviour of the
	// core or of the simulation writes it again and states the reason.
	currentFile = "testdata/recorded-current.json"
)

// recorded is the content of a recorded file.
type recorded struct {
	Stored  map[string]json.RawMessage            // the state service's values by key
	Status  map[string]json.RawMessage            // GET /status by controller
	Explain map[string]map[string]json.RawMessage // GET /explain/{id} by controller and job
}

// recordedSeed is the seed of the random scenario that the files were recorded from.
const recordedSeed = 7001

// recordingTime is the simulated time of the recording, while faults were active.
const recordingTime = 150 * time.Second

func runRecordedScenario(t *testing.T) recorded {
	t.Helper()
	scenario := RandomScenario(recordedSeed)
	sim := scenario.newSimulation()
	jobs := scenario.scheduleSubmissions(sim)
	result := Result{Injected: make([]bool, len(scenario.Faults)), StepsSeen: map[Step]int{}}
	scenario.scheduleFaults(sim, &result)
	sim.Run(recordingTime)
	marshal := func(value any) json.RawMessage {
		b, err := json.Marshal(value)
		require.NoError(t, err)
		return b
	}
	r := recorded{
		Stored:  map[string]json.RawMessage{},
		Status:  map[string]json.RawMessage{},
		Explain: map[string]map[string]json.RawMessage{},
	}
	for key, stored := range sim.State.entries {
		r.Stored[key] = stored.value
	}
	for _, node := range sim.Nodes {
		if !node.isRunning {
			continue
		}
		r.Status[node.Name] = marshal(node.Core.Status())
		r.Explain[node.Name] = map[string]json.RawMessage{}
		for _, job := range jobs {
			if explanation, found := node.Core.Explain(job.Spec.ID); found {
				r.Explain[node.Name][job.Spec.ID] = marshal(explanation)
			}
		}
	}
	return r
}

func readRecorded(t *testing.T, file string) recorded {
	t.Helper()
	b, err := os.ReadFile(file)
	require.NoError(t, err)
	var r recorded
	require.NoError(t, json.Unmarshal(b, &r))
	return r
}

// TestValuesAndOperatorsJSONAreAsRecorded checks that a change which only moves or renames code does
// not change a value in the state service or a reply to operators.
//
//	go test ./internal/fake -run TestValuesAndOperatorsJSONAreAsRecorded -record-values
func TestValuesAndOperatorsJSONAreAsRecorded(t *testing.T) {
	got := runRecordedScenario(t)
	if *recordValues {
		b, err := json.Marshal(got)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(currentFile, b, 0o644))
	}
	want := readRecorded(t, currentFile)
	assert.NotEmpty(t, want.Status)
	compare := func(kind string, want, got map[string]json.RawMessage) {
		assert.Len(t, got, len(want), kind)
		for key, value := range want {
			var compact bytes.Buffer
			require.NoError(t, json.Compact(&compact, value))
			assert.Equal(t, compact.String(), string(got[key]), "%s %s", kind, key)
		}
	}
	compare("stored", want.Stored, got.Stored)
	compare("status", want.Status, got.Status)
	for node, jobs := range want.Explain {
		compare("explain at "+node, jobs, got.Explain[node])
	}
}

// addFieldPaths adds the paths of all fields in a JSON value. Names that are data rather than fields,
// such as those of zones, machines and jobs, are replaced by a placeholder.
func addFieldPaths(paths map[string]bool, path string, value any) {
	if path == "slice.j" {
		path = "job" // an assignment embeds its job
	}
	switch value := value.(type) {
	case map[string]any:
		for name, field := range value {
			if dataName.MatchString(name) {
				name = "*"
			}
			addFieldPaths(paths, path+"."+name, field)
		}
	case []any:
		for _, element := range value {
			addFieldPaths(paths, path+"[]", element)
		}
	default:
		paths[fmt.Sprintf("%s %T", path, value)] = true
	}
}

// dataName matches the names of zones, teams and machines in recorded values.
var dataName = regexp.MustCompile("^([a-c]|red|blue|vm-.*)$")

// fieldPaths returns the paths and types of all fields in a recording, by kind of value.
func (r recorded) fieldPaths(t *testing.T) map[string]bool {
	t.Helper()
	paths := map[string]bool{}
	add := func(kind string, raw json.RawMessage) {
		var value any
		require.NoError(t, json.Unmarshal(raw, &value))
		addFieldPaths(paths, kind, value)
	}
	for key, value := range r.Stored {
		kind, _, _ := strings.Cut(key, "/")
		add(kind, value)
	}
	for _, status := range r.Status {
		add("status", status)
	}
	for _, jobs := range r.Explain {
		for _, explanation := range jobs {
			add("explain", explanation)
		}
	}
	return paths
}

// The fields of values and of replies to operators have the names and types of the earlier version.
func TestRecordedFieldsAreThoseOfEarlierVersion(t *testing.T) {
	earlier := readRecorded(t, earlierFile).fieldPaths(t)
	earlier["part.from float64"] = true // added since; versions that do not know it ignore it
	for path := range readRecorded(t, currentFile).fieldPaths(t) {
		assert.True(t, earlier[path], "the earlier version has no field %s", path)
	}
}

// TestControllersLoadStateOfEarlierVersion starts controllers on a state service that holds the
// recorded values. They must load all shards that they own, and find the recorded jobs.
func TestControllersLoadStateOfEarlierVersion(t *testing.T) {
	sim := RandomScenario(recordedSeed).newSimulation()
	for _, n := range sim.Nodes {
		n.Crash()
	}
	sim.State.revision++
	placed := 0
	for key, value := range readRecorded(t, earlierFile).Stored {
		sim.State.entries[key] = entry{value: value, revision: sim.State.revision}
		placed += core.CountPlaced(value)
	}
	require.Positive(t, placed, "the recorded values contain placed tasks")
	for _, n := range sim.Nodes {
		n.Start()
	}
	sim.Run(30 * time.Second)
	loadedJobs := 0
	for _, node := range sim.Nodes {
		for _, shard := range node.Core.Status().Shards {
			if shard.OwnedHere {
				assert.True(t, shard.Loaded, "%s has loaded shard %s, which it owns", node.Name, shard.Zone)
				loadedJobs += shard.Jobs
			}
		}
	}
	assert.Positive(t, loadedJobs, "jobs loaded from the recorded values")
}
