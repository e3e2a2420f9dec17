package api

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/agent"
	"roadcleat/internal/cloud"
	"roadcleat/internal/core"
	"roadcleat/internal/metrics"
	"roadcleat/internal/runtime"
	"roadcleat/internal/state"
)

func TestWorkersLeaveRoomForUsersWhenSocketsRunShort(t *testing.T) {
	// One owner of everything has more workers than sockets. They report one after
	// the other then, and users and health checks still find room.
	const nobody, conns = "127.0.0.1:1", 9
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	rt := runtime.New(core.New(core.Config{Label: "n0", Zone: "a", Zones: []string{"a"}}), state.New(nobody, 100, 50, 12, 1),
		cloud.New(nobody, 5, 1), agent.New(4), runtime.Bounds{WorkerCalls: 4}, nil, metrics.New(), log)
	go rt.Run(t.Context())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = New(rt, metrics.New(), log).Serve(t.Context(), ln, conns, time.Second) }()
	url := "http://" + ln.Addr().String()
	// Each of them would keep its connection.
	kept, refused := 0, 0
	for range 4 * conns {
		worker := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
		resp, err := worker.Post(url+"/agent/beat", "application/json",
			strings.NewReader(`{"Host":"vm-1","Yard":"a","Shift":1,"Tally":1,"Baton":0,"Sheets":[]}`))
		if err != nil {
			refused++
			continue
		}
		if !resp.Close {
			kept++
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	assert.Zero(t, refused)
	assert.Positive(t, kept)
	assert.LessOrEqual(t, kept, conns*2/3)
	resp, err := (&http.Client{Timeout: 5 * time.Second}).Get(url + "/healthz")
	require.NoError(t, err, "a health check finds room")
	resp.Body.Close()
}
