package api

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/agent"
	"roadcleat/internal/cloud"
	"roadcleat/internal/core"
	"roadcleat/internal/metrics"
	"roadcleat/internal/model"
	"roadcleat/internal/runtime"
	"roadcleat/internal/state"
)

// outside is a cloud with one type and a state service that holds job-1 and takes
// nothing.
func outside(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/catalog":
		_, _ = io.WriteString(w, `{"Breeds":[{"Name":"g8","Cores":96,"Cards":8,"MemGb":768,"BootS":45,"Yards":["a"]}]}`)
	case "/store/job/job-1":
		_, _ = io.WriteString(w, `{"Key":"job/job-1","Value":{"s":{"te":"t","n":1,"a":{"c":1}}},"Stamp":5}`)
	default:
		http.Error(w, `{"Ledger":5}`, http.StatusNotFound)
	}
}

func TestBadBodiesAreNamedAndKnownJobsRecognised(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(outside))
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	rt := runtime.New(core.New(core.Config{Label: "n0", Zone: "a", Zones: []string{"a"}, MaxTxnOps: 12, MaxValueBytes: 4096,
		Teams: []core.Team{{Name: "t", Limit: model.Resources{Cores: 8}}}}),
		state.New(addr, 1000, 500, 12, 1), cloud.New(addr, 50, 1), agent.New(4), runtime.Bounds{WorkerCalls: 4}, nil, metrics.New(), log)
	go rt.Run(t.Context())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = New(rt, metrics.New(), log).Serve(t.Context(), ln, 20, time.Second) }()
	post := func(body string) (int, string) {
		resp, err := http.Post("http://"+ln.Addr().String()+"/v2/runs", "application/json", strings.NewReader(body))
		require.NoError(t, err)
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, strings.TrimSpace(string(b))
	}
	again := func(body string) (status int, why string) { // as users do; the budget fills up at first
		for range 100 {
			if status, why = post(body); status != http.StatusServiceUnavailable {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		return status, why
	}
	const good = `{"Ref":"job-2","Docket":"c","Desk":"t","Form":"array","Urgency":"high","Sheets":2,"Cores":8.0,"Cards":0.0,` +
		`"MemGb":1.0,"Build":"i","PullGb":1.0,"OneZone":false,"Apart":false,"Loaners":true,"ExpectedS":1.0,"BookmarkS":0.0,"StowS":0.0}`
	require.Eventually(t, func() bool { // once the types are known
		status, _ := post(strings.Replace(good, `"Cores":8.0`, `"Cores":9.0`, 1))
		return status == http.StatusUnprocessableEntity
	}, 10*time.Second, 20*time.Millisecond)
	for _, c := range []struct {
		from, to string
		status   int
		why      string
	}{
		{`"Cores":8.0`, `"Cores":9.0`, 422, "team's limit"},
		{`"Cores":8.0`, `"Cores":"8"`, 400, "Cores: "},
		{`"Cores":8.0,`, ``, 400, "Cores: missing"},
		{`"Cards":0.0`, `"Cards":9.0`, 422, "no allowed machine type"},
		{`"Desk":"t"`, `"Desk":"u"`, 422, "unknown team"},
		{`"OneZone":false,"Apart":false`, `"OneZone":true,"Apart":true`, 422, "OneZone and Apart"},
		{`"Apart":false`, `"Apart":true`, 422, "Apart: "},
		{`"Ref":"job-2"`, `"Ref":"run-2"`, 400, "Ref: "},
		{`"StowS":0.0}`, `"StowS":0.0`, 400, "malformed"},
		{`"Build":"i"`, `"Build":"` + strings.Repeat("i", 70000) + `"`, 400, "64 KiB"},
		{`"Build":"i"`, `"Build":"` + strings.Repeat("i", 5000) + `"`, 422, "too long"},
	} {
		body := strings.Replace(good, c.from, c.to, 1)
		status, why := again(body)
		assert.Equal(t, c.status, status, "%.60s", c.to)
		assert.Contains(t, why, c.why)
		if c.to == `"Ref":"run-2"` || c.why == "64 KiB" {
			continue // no job's id, or no request of the protocol whosever it is
		}
		status, why = again(strings.Replace(body, "job-2", "job-1", 1))
		assert.Equal(t, 200, status, "of a job that is known: %.60s", c.to)
		assert.JSONEq(t, `{"Ref":"job-1","Standing":"pending","done":0,"running":0}`, why)
	}
	srv.Close()
	status, _ := post(strings.Replace(good, `"Cores":8.0`, `"Cores":"8"`, 1))
	assert.Equal(t, 503, status, "nobody can tell whether the job is known")
	status, why := post("[]")
	assert.Equal(t, 400, status, "which no id can change")
	assert.Equal(t, "not a JSON object", why)
}
