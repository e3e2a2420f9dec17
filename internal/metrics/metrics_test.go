package metrics

import (
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil/promlint"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

var seen = core.Gauges{
	Stats: core.Stats{Placed: 7},
	Queues: []core.Queue{{Part: "a", Class: "work", Team: "red", Tally: core.Tally{Up: 9, Fetching: 2, Waiting: 40},
		WaitS: 95, Job: "job-000003", Why: core.AtLimit}},
	Replicas: []core.Queue{{Part: "a", Class: "live", Team: "red", Tally: core.Tally{Up: 5, Starting: 1, Waiting: 2}}},
}

func TestWhatWaitsAndWhyIsMeasured(t *testing.T) {
	w := httptest.NewRecorder()
	New().Handler(seen).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	require.Equal(t, 200, w.Code)
	for _, line := range []string{
		`roadcleat_queue_tasks{class="work",part="a",state="waiting",team="red"} 40`,
		`roadcleat_queue_tasks{class="work",part="a",state="fetching",team="red"} 2`,
		`roadcleat_queue_longest_wait_seconds{class="work",part="a",team="red"} 95`,
		`roadcleat_queue_blocked_tasks{class="work",part="a",reason="at_limit",team="red"} 42`,
		`roadcleat_service_replicas{class="live",part="a",state="up",team="red"} 5`,
		`roadcleat_service_replicas{class="live",part="a",state="waiting",team="red"} 2`,
		`roadcleat_tasks_placed_total 7`,
	} {
		assert.Contains(t, w.Body.String(), line+"\n")
	}
	assert.False(t, strings.Contains(w.Body.String(), "job-000003"), "jobs are too many to be labels")
}

func TestNamesFollowTheConventionsOfPrometheus(t *testing.T) {
	reg := prometheus.NewRegistry()
	reg.MustRegister(queues(seen)...)
	families, err := reg.Gather()
	require.NoError(t, err)
	require.Len(t, families, 4)
	problems, err := promlint.NewWithMetricFamilies(families).Lint()
	require.NoError(t, err)
	assert.Empty(t, problems)
}

// recordedPage is the page that the version of 2 December 2026 (b103dfb) served for the
// gauges, measurements and calls of TestThePageIsAsRecorded. It is never written anew:
// operators' graphs and alerts use its names.
const recordedPage = "testdata/page-b103dfb.txt"

func TestThePageIsAsRecorded(t *testing.T) {
	s := New()
	s.Observe(core.Observed{What: core.Wait, Value: 3})
	s.Observe(core.Observed{What: core.Fetch, Value: 7})
	s.Observe(core.Observed{What: core.Batch, Value: 2})
	s.Call(core.CommitOp{}, core.CommitResult{Outcome: core.OK})
	s.Call(core.ReadOp{}, core.ReadResult{Outcome: core.Unknown})
	s.Call(core.ListOp{}, core.ListResult{Outcome: core.NotSent})
	s.Call(core.FollowOp{}, core.FollowResult{Outcome: core.Refused})
	s.Call(core.HoldOp{}, core.HoldResult{Outcome: core.OK})
	s.Call(core.RenewOp{}, core.RenewResult{Outcome: core.OK})
	s.Call(core.CatalogOp{}, core.CatalogResult{Outcome: core.OK})
	s.Call(core.HostsOp{}, core.HostsResult{Outcome: core.OK})
	s.Call(core.HireOp{}, core.HireResult{Outcome: core.Refused})
	s.Call(core.ReturnOp{}, core.ReturnResult{Outcome: core.OK})
	s.Call(core.OrdersOp{}, core.WorkerResult{Outcome: core.OK})
	s.Call(core.ShowOp{}, core.WorkerResult{Outcome: core.Unknown})
	w := httptest.NewRecorder()
	s.Handler(seen).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	want, err := os.ReadFile(recordedPage)
	require.NoError(t, err)
	assert.Equal(t, string(want), w.Body.String())
}
