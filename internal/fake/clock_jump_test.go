package fake

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

func TestControllerResumingAfterFailoverReturnsNoMachines(t *testing.T) {
	// Its clock ran on: every machine seemed silent for longer than any lease and
	// every idle one long idle, and it gave all of another owner's machines back.
	cfg := Settings()
	cfg.WorkerLease, cfg.CancelWithin = 36*time.Second, 66*time.Second
	w := New(43, cfg)
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	w.Run(3 * time.Second)
	s := spec("job-1", "red", 6, 2)
	s.Zone = "a"
	job := w.Submit(s, 150*time.Second)
	require.True(t, w.Until(40*time.Second, started(w, "job-1", 6)))
	w.Run(5 * time.Second) // the others hear of it
	starts := w.Referee.Starts
	w.Nodes[0].Freeze(w.Cfg.WorkerLease + 40*time.Second)
	w.Run(w.Cfg.WorkerLease + 39*time.Second)
	owner := 0
	for i, node := range w.Nodes[1:] {
		for _, p := range node.Core.Status().Shards {
			if p.Zone == "a" && p.OwnedHere {
				owner = i + 1
			}
		}
	}
	require.Positive(t, owner, "another controller has taken the part")
	before := returned(w)
	w.Run(10 * time.Second)
	assert.Equal(t, before, returned(w), "waking up returns nobody's machines")
	ends(t, w, job, 2*time.Minute)
	assert.Equal(t, starts, w.Referee.Starts, "nothing had to run again")
}

func TestStalledSoleControllerKeepsItsMachines(t *testing.T) {
	// Nobody else could answer the workers, so their leases did run out. Reports
	// that had waited and that their workers had given up seemed to be answered on
	// waking; the sessions after them then made every machine look deaf.
	w := oneController(t, 44, nil)
	job := w.Submit(spec("job-1", "red", 8, 4), 30*time.Second)
	require.True(t, w.Until(60*time.Second, started(w, "job-1", 8)))
	for _, d := range []time.Duration{4 * time.Second, w.Cfg.WorkerLease / 2, w.Cfg.WorkerLease + 8*time.Second, w.Cfg.WorkerLease + 40*time.Second} {
		before := returned(w)
		w.Nodes[0].Freeze(d)
		w.Run(d + 8*time.Second)
		assert.Equal(t, before, returned(w), "no machine was silent or deaf: %v", d)
	}
	ends(t, w, job, 2*time.Minute)
}

func TestCancellationsAreReadBeforeStartsWhenWatchHistoryIsCompacted(t *testing.T) {
	// All controllers miss more changes than the store keeps, and nobody asks for
	// the job that was withdrawn meanwhile.
	w := day(t, 46)
	w.Store.Keep = 3
	var jobs []*Job
	submit := func(n int, run time.Duration) *Job {
		s := spec(fmt.Sprintf("job-%d", n), "red", 4, 2)
		s.Zone = "a"
		jobs = append(jobs, w.Submit(s, run))
		return jobs[len(jobs)-1]
	}
	cancelled := submit(1, 10*time.Minute)
	submit(2, 20*time.Second)
	require.True(t, w.Until(40*time.Second, started(w, "job-1", 4)))
	for _, node := range w.Nodes {
		w.Cut(node.Name, "state", 5*time.Second, false) // shorter than its lease
		w.Cut("users", node.Name, time.Minute, false)
	}
	// Somebody else changes keys; a controller that ended right after it had
	// carried out the withdrawal is one such.
	r := w.Store.rows["job/job-1"]
	v := strings.Replace(string(r.value), "{", `{"st":"withdrawn",`, 1)
	w.After(time.Second, func() {
		r := w.Store.rows["job/job-1"]
		w.Store.apply(core.Txn{Conditions: []core.Condition{{Key: "job/job-1", Revision: r.revision}}, Mutations: []core.Mutation{{Key: "job/job-1", Value: []byte(v)}}})
		for i := range 8 {
			w.Store.apply(core.Txn{Mutations: []core.Mutation{{Key: fmt.Sprintf("other/%d", i), Value: []byte("1")}}})
		}
	})
	cancelled.Cancelled, cancelled.CancelRequested = w.Now+time.Second, true
	w.Run(6 * time.Second)
	gone := func() bool { return len(w.On("job-1")) == 0 }
	assert.True(t, w.Until(10*time.Second, gone), "what is withdrawn is stopped")
	seen := 0
	for end := w.Now + 40*time.Second; w.Now < end; w.Run(200 * time.Millisecond) {
		seen += len(w.On("job-1"))
	}
	assert.Zero(t, seen, "and starts no more")
	for _, j := range jobs {
		ends(t, w, j, 5*time.Minute)
	}
}
