package fake

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// placedIn reads which tasks a slice's value has on machines, in either of its forms.
func placedIn(value []byte) json.RawMessage {
	var v struct {
		Placed json.RawMessage `json:"p"`
	}
	_ = json.Unmarshal(value, &v)
	return v.Placed
}

// places says whether a change is of a slice with tasks on machines.
func places(s core.Mutation) bool {
	return strings.HasPrefix(s.Key, "slice/") && len(placedIn(s.Value)) > 0
}

// small is a day of one part whose store keeps values of so many bytes, with machines
// for some four hundred tasks of two cores.
func small(t *testing.T, seed uint64, bytes int) *World {
	w := oneController(t, seed, func(c *core.Config) {
		c.MaxValueBytes = bytes
		c.Teams[0].Limit = model.Resources{Cores: 400}
	})
	for k := range w.Cloud.Room {
		w.Cloud.Room[k] = 20
	}
	return w
}

func TestMoreTasksThanEverArePlacedWithinASmallValue(t *testing.T) {
	w := small(t, 401, 4<<10)
	job := w.Submit(spec("job-1", "red", 200, 2), 40*time.Second)
	require.True(t, w.Until(90*time.Second, started(w, "job-1", 150)), "the listed form holds 64")
	punch(t, w, job)
}

func TestAValueTooSmallForAllTasksTakesThemInTurns(t *testing.T) {
	w := small(t, 405, 1<<10)
	s := spec("job-1", "red", 120, 2)
	s.Types = []string{"small"} // two tasks each
	job := w.Submit(s, 15*time.Second)
	require.True(t, w.Until(60*time.Second, started(w, "job-1", 8)))
	punch(t, w, job)
}

// punch has machines of a job die, so that its slice's value gets holes, and waits for
// its end.
func punch(t *testing.T, w *World, job *Job) {
	// Runs are broken, and every task that comes back gets an attempt out of turn. The
	// world panics on a value over the limit.
	for range 6 {
		if k := anyOn(w, job.Spec.ID); k != nil {
			k.Die()
		}
		w.Run(4 * time.Second)
	}
	ends(t, w, job, 10*time.Minute)
}

// listed puts every slice in the store into the form in which each placed task is an
// entry of its own, and says how many tasks that were.
func listed(t *testing.T, w *World) int {
	n := 0
	for key, r := range w.Store.rows {
		var v map[string]any
		if !strings.HasPrefix(key, "slice/") || len(placedIn(r.value)) == 0 {
			continue
		}
		require.NoError(t, json.Unmarshal(r.value, &v))
		var list []any
		for host, runs := range v["p"].(map[string]any) {
			for _, x := range runs.([]any) {
				first, count, attempt := x.([]any)[0].(float64), x.([]any)[1].(float64), x.([]any)[2].(float64)
				for k := range int(count) {
					list = append(list, map[string]any{"i": int(first) + k, "h": host, "a": int(attempt) + k})
					n++
				}
			}
		}
		v["p"] = list
		r.value, _ = json.Marshal(v)
		w.Store.rows[key] = r
	}
	return n
}

func TestAnOwnerReadsValuesOfTheListedForm(t *testing.T) {
	w := day(t, 402)
	job := w.Submit(spec("job-1", "red", 6, 2), 40*time.Second)
	require.True(t, w.Until(40*time.Second, started(w, "job-1", 6)))
	for _, n := range w.Nodes {
		n.Crash()
	}
	require.Equal(t, 6, listed(t, w))
	for _, n := range w.Nodes {
		n.Start()
	}
	ends(t, w, job, 90*time.Second)
	assert.Equal(t, 6, job.Starts, "running work goes on")
}

func TestGroupedValuesAreWrittenOnceAllControllersReadThem(t *testing.T) {
	w := day(t, 403)
	old := true
	w.ChangePeerMessage = func(node *Node, m core.Message) core.Message {
		if g := m.Gossip; g != nil && old && node == w.Nodes[2] {
			older := *g
			older.ValueFormat = 0
			m.Gossip = &older
		}
		return m
	}
	w.Run(2 * time.Second)
	forms := func(id string) (list, grouped int) {
		for _, h := range w.Store.history {
			if p := placedIn(h.Value); strings.HasSuffix(h.Key, "/"+id) && strings.HasPrefix(h.Key, "slice/") && len(p) > 0 {
				if p[0] == '[' {
					list++
				} else {
					grouped++
				}
			}
		}
		return list, grouped
	}
	for i, id := range []string{"job-1", "job-2"} {
		s := spec(id, "red", 4, 2)
		s.Zone = "a"
		ends(t, w, w.Submit(s, 5*time.Second), 60*time.Second)
		list, grouped := forms(id)
		assert.Equal(t, i == 0, list > 0, "%s listed", id)
		assert.Equal(t, i == 1, grouped > 0, "%s grouped", id)
		old = false // the last one has been replaced
		w.Run(2 * time.Second)
	}
}

func TestAPartWithAnUnreadableSliceIsNotServed(t *testing.T) {
	w := oneController(t, 404, nil)
	job := w.Submit(spec("job-1", "red", 4, 2), 30*time.Second)
	require.True(t, w.Until(40*time.Second, started(w, "job-1", 4)))
	w.Nodes[0].Crash()
	key := "slice/a/job-1"
	kept := w.Store.rows[key]
	w.Store.rows[key] = row{value: []byte(`{"p":7}`), revision: kept.revision}
	w.Nodes[0].Start()
	starts, grants := w.Referee.Starts, string(w.Store.rows["quota/red"].value)
	more := w.Submit(spec("job-2", "red", 2, 2), 5*time.Second)
	w.Run(8 * time.Second)
	require.True(t, more.Accepted)
	assert.Equal(t, starts, w.Referee.Starts, "nothing starts in it")
	assert.True(t, started(w, "job-1", 4)(), "and nothing is stopped")
	assert.Equal(t, grants, string(w.Store.rows["quota/red"].value), "and no grant is given back")
	w.Store.rows[key] = kept
	ends(t, w, job, 2*time.Minute)
	ends(t, w, more, 2*time.Minute)
}
