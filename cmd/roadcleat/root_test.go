package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

func run(args ...string) (int, string, string) {
	var out, errs strings.Builder
	code := execute(args, &out, &errs)
	return code, out.String(), errs.String()
}

func TestWrongSettingsEndWithTwoAndOneLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"label":"n0"}`), 0o600))
	for _, args := range [][]string{{"--config", path}, {"check", "--config", path}, {"check"}, {"check", "--config", path + ".none"}} {
		code, _, errs := run(args...)
		assert.Equal(t, 2, code, args)
		assert.Equal(t, 1, strings.Count(errs, "\n"), errs)
	}
	code, out, _ := run("version")
	assert.Zero(t, code)
	assert.Contains(t, out, version)
}

func TestCheckWarnsAndPrintsWhatIsInForce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"label":"n0","location":"z","api_addr":"127.0.0.1:1","peer_listen":"127.0.0.1:2",
"external":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},"deployment":{"zones":["z","y"],
"workers":{"report_s":8,"lease_s":20,"cancel_s":58},"state":{"rps":150,"write_rps":50,"value_kb":16,"txn_ops":12},"cloud":{"rps":5}}}`), 0o600))
	code, out, errs := run("check", "--config", path)
	assert.Zero(t, code, errs)
	for _, want := range []string{"warning: deployment.workers.report_s: 8 is more than a third", "warning: deployment.zones: no controller is in y",
		"[parts] hold_s = 8 (5.6 in force)\n", "[hiring] silent_return_s = 14 (17 in force)\n", "[parts] grace_s = 2\n"} {
		assert.Contains(t, out, want)
	}
}

func TestOperatorsCommands(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/status":
			_, _ = w.Write([]byte(`{"label":"n0","store":{"age_s":1.5},"cloud":{"age_s":-1},"parts":[{"zone":"z","owner":"n0","token":41,"here":true,
"hosts":[{"type":"m","spot":true,"state":"up","count":3}],"waiting":7}],
"doubtful":[{"job":"job-000007","team":"red","class":"work","failures":5,"hosts":["vm-1","vm-2"],"next_s":4}]}`))
		case "/explain/job-000001":
			_, _ = w.Write([]byte(`{"job":"job-000001","standing":"unfinished","parts":[{"part":"z","here":true,"waiting":2,"why":"no room"}]}`))
		default:
			http.Error(w, "no such job known here", http.StatusNotFound)
		}
	}))
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	code, out, _ := run("status", "--addr", addr)
	assert.Zero(t, code)
	for _, want := range []string{"41", "3 m spot up", "store seen: 1.5s ago", "cloud seen: never", "job-000007", "in 4s", "vm-1, vm-2"} {
		assert.Contains(t, out, want)
	}
	code, out, _ = run("explain", "--addr", addr, "job-000001")
	assert.Zero(t, code)
	assert.Contains(t, out, "waiting: no room")
	for _, args := range [][]string{{"explain", "--addr", addr, "job-000009"}, {"status", "--addr", "nowhere"}, {"status", "--addr", "127.0.0.1:1"}} {
		code, _, errs := run(args...)
		assert.Equal(t, 1, code, args)
		assert.Equal(t, 1, strings.Count(errs, "\n"), errs)
	}
}

// serving answers operators' questions with a fixed status and explanation.
func serving(t *testing.T, status, explanation string) (addr string) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := status
		if strings.HasPrefix(r.URL.Path, "/explain/") {
			body = explanation
		}
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

const stuckStatus = `{"label":"n0","queues":[
{"part":"z","class":"work","team":"red","waiting":40,"fetching":2,"wait_s":95,"job":"job-000003","why":"at_limit"},
{"part":"y","class":"work","team":"red","waiting":7,"wait_s":50,"job":"job-000005","why":"booting"},
{"part":"y","class":"work","team":"blue","waiting":1,"wait_s":4,"job":"job-000004","why":"of_a_later_version"}],
"services":[
{"job":"job-000007","class":"live","team":"red","wanted":8,"up":5,"starting":0,"fetching":1,"waiting":1,"unknown":1,"missing_s":31,
"why":[{"part":"z","why":"image_fetch","detail":"its image is being fetched; on vm-9 for 12 s, expected in 8 s"},{"part":"y","why":"part_unheard"}]},
{"job":"job-000008","class":"live","team":"red","wanted":6,"up":6}]}`

func TestStatusShowsWhatIsStuck(t *testing.T) {
	addr := serving(t, stuckStatus, "")
	code, out, _ := run("status", "--addr", addr)
	assert.Zero(t, code)
	for _, want := range []string{"the team's limit is used up", "95s", "job-000003", "only a newer version knows",
		"z: its image is being fetched; on vm-9 for 12 s, expected in 8 s; y: the part's owner has not been heard of lately",
		"1 of 2 services whole, with 6 replicas"} {
		assert.Contains(t, out, want)
	}
	assert.NotContains(t, out, "job-000008", "nothing is missing there")
	assert.Less(t, strings.Index(out, "job-000003"), strings.Index(out, "OWNER"), "what waits comes first")
	assert.Regexp(t, `work +red +z \(\+1\) +95s +47 +2 `, out, "parts together, with the longest wait of them")
	assert.NotContains(t, out, "job-000005")
	_, out, _ = run("status", "--addr", addr, "--all")
	assert.Regexp(t, `work +red +y +50s +7 `, out)
	assert.Contains(t, out, "job-000008")
	code, out, _ = run("status", "--addr", addr, "--json")
	assert.Zero(t, code)
	var s core.Status
	require.NoError(t, json.Unmarshal([]byte(out), &s))
	assert.Equal(t, core.ReasonAtLimit, s.Queues[0].Reason)
	assert.Equal(t, 5, s.Services[0].Running)
}

func TestStatusEndsWithThreeWhenSomethingHasWaitedTooLong(t *testing.T) {
	addr := serving(t, stuckStatus, "")
	for _, c := range []struct {
		after string
		code  int
		says  string
	}{{"0", 0, ""}, {"100", 0, ""}, {"60", 3, "1 waited for more than 60s, the longest 95s, work of red in z: the team's limit is used up"}, {"30", 3, "4 waited"}} {
		code, _, errs := run("status", "--addr", addr, "--stuck-after", c.after)
		assert.Equal(t, c.code, code, c.after)
		assert.Contains(t, errs, c.says)
		assert.Equal(t, min(c.code, 1), strings.Count(errs, "\n"))
	}
}

func TestExplainOfAServiceCountsItsReplicas(t *testing.T) {
	addr := serving(t, "", `{"job":"job-000007","standing":"unfinished",
"service":{"wanted":8,"up":5,"fetching":1,"waiting":1,"unknown":1,"missing_s":31},
"parts":[{"part":"z","here":true,"up":3,"waiting":1,"reason":"no_capacity","why":"no room; the cloud has no machine to give"},{"part":"y","owner":"n1","up":2},{"part":"x"}]}`)
	code, out, _ := run("explain", "--addr", addr, "job-000007")
	assert.Zero(t, code)
	for _, want := range []string{"wanted 8, up 5, starting 0, fetching 1, waiting 1, unknown 1", "missing for 31s", "no machine to give", "it said: 0 done, 2 running", "has no owner"} {
		assert.Contains(t, out, want)
	}
	_, out, _ = run("explain", "--addr", addr, "--json", "job-000007")
	var e core.Explanation
	require.NoError(t, json.Unmarshal([]byte(out), &e))
	assert.Equal(t, 8, e.Service.Wanted)
}

func TestQuestionsWithoutAnAddressSaySo(t *testing.T) {
	for _, args := range [][]string{{"status"}, {"explain", "job-000001"}, {"explain"}, {"status", "--all=maybe"}} {
		code, _, errs := run(args...)
		assert.Equal(t, 1, code, args)
		assert.Equal(t, 1, strings.Count(errs, "\n"), errs)
	}
	_, _, errs := run("status")
	assert.Contains(t, errs, "--addr: HOST:PORT of a controller is needed")
}
