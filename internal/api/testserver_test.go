package api

import (
	"context"
	"io"
	"log/slog"
	"net"
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

// startServer starts a controller's runtime and server and returns the server's URL. They
// end with the test, which fails if they end otherwise.
func startServer(t *testing.T, cfg core.Config, st *state.Client, cl *cloud.Client, conns int) (url string) {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	rt := runtime.New(core.New(cfg), st, cl, agent.New(4), runtime.Bounds{WorkerCalls: 4}, nil, metrics.New(), log)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	go rt.Run(ctx)
	ended := make(chan error, 1)
	go func() { ended <- New(rt, metrics.New(), log).Serve(ctx, ln, conns, time.Second) }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-ended:
			assert.NoError(t, err)
		case <-time.After(10 * time.Second):
			t.Error("Serve did not end with its context")
		}
	})
	return "http://" + ln.Addr().String()
}
