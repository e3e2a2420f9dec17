package main

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
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
