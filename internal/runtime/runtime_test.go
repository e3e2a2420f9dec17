package runtime

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime/pprof"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/agent"
	"roadcleat/internal/cloud"
	"roadcleat/internal/core"
	"roadcleat/internal/metrics"
	"roadcleat/internal/state"
)

// newRuntime is a runtime whose state service and cloud refuse all connections.
func newRuntime(workerCalls int) *Runtime {
	const nobody = "127.0.0.1:1"
	return New(core.New(core.Config{Label: "n0", Zone: "a", Zones: []string{"a"}}), state.New(nobody, 100, 50, 12, 1),
		cloud.New(nobody, 5, 1), agent.New(workerCalls), Bounds{WorkerCalls: workerCalls}, nil, metrics.New(),
		slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func TestARequestWhoseSenderHasGivenUpIsNotCarriedOut(t *testing.T) {
	// Counted as answered, a heartbeat that had waited too long would make its worker's next
	// incarnation look like that of an unreachable machine.
	r := newRuntime(4)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	heartbeat := command{event: core.Heartbeat{Status: core.WorkerStatus{Host: "vm-1", Zone: "a"}}, reply: make(chan core.Effect, 1)}
	heartbeat.ctx = ctx
	r.process(context.Background(), heartbeat)
	assert.Empty(t, heartbeat.reply)
	assert.Zero(t, r.lastRequestID, "the core has not seen it")
	heartbeat.ctx = context.Background()
	r.process(context.Background(), heartbeat)
	assert.Len(t, heartbeat.reply, 1)
}

func TestCallsThatHangDoNotDelayTheLease(t *testing.T) {
	// Hundreds of machines behind a cut take all slots; the lease must be renewed all the same.
	r := newRuntime(1)
	r.workerCallSlots <- struct{}{} // a call that hangs
	for range cap(r.callSlots) {
		r.callSlots <- struct{}{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.call(ctx, core.Call{ID: 1, Operation: core.ReadWorkerStatus{Address: "127.0.0.1:1"}})
	go r.call(ctx, core.Call{ID: 2, Operation: core.RenewLease{Lease: 7}})
	select {
	case cmd := <-r.queue:
		assert.Equal(t, uint64(2), cmd.event.(core.CallResult).CallID)
	case <-time.After(5 * time.Second):
		t.Fatal("the renewal waits for a worker")
	}
	<-r.workerCallSlots
	assert.Equal(t, uint64(1), (<-r.queue).event.(core.CallResult).CallID, "the other goes on when there is room")
}

func TestCallsThatHangTakeNoThreads(t *testing.T) {
	// A process may have 2,000 threads; machines behind a cut let calls hang by the hundred.
	const calls = 200
	r := newRuntime(calls)
	var workers []string // connections come about and nobody answers
	for range calls {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer ln.Close()
		workers = append(workers, ln.Addr().String())
	}
	ctx, cancel := context.WithCancel(context.Background())
	before := pprof.Lookup("threadcreate").Count()
	for i, addr := range workers {
		go r.call(ctx, core.Call{ID: uint64(i), Operation: core.ReadWorkerStatus{Address: addr}})
	}
	require.Eventually(t, func() bool { return len(r.workerCallSlots) == calls }, 5*time.Second, 10*time.Millisecond)
	time.Sleep(200 * time.Millisecond) // they are under way
	assert.Less(t, pprof.Lookup("threadcreate").Count()-before, 64)
	cancel()
}

func TestEveryWorkerOfALargeFleetMayReportAtOnce(t *testing.T) {
	// With a queue of 1,024 commands, most heartbeats after a clock jump would be refused.
	const workers = 6000
	r := New(core.New(core.Config{Label: "n0", Zone: "a", Zones: []string{"a"}}), state.New("127.0.0.1:1", 100, 50, 12, 1),
		cloud.New("127.0.0.1:1", 5, 1), agent.New(4), Bounds{WorkerCalls: 4, Requests: workers}, nil, metrics.New(),
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, workers)
	for i := range workers {
		go func() {
			_, err := r.Submit(ctx, core.Heartbeat{Status: core.WorkerStatus{Host: fmt.Sprintf("vm-%d", i), Zone: "a"}})
			done <- err
		}()
	}
	require.Eventually(t, func() bool { return len(r.queue) == workers || len(done) > 0 }, 10*time.Second, 5*time.Millisecond)
	assert.Empty(t, done, "none is refused")
	go r.Run(ctx)
	for range workers {
		assert.NoError(t, <-done)
	}
}

func TestTheCoreLearnsOfRejectedRequests(t *testing.T) {
	r := newRuntime(4)
	for range cap(r.queue) {
		r.queue <- command{inspect: func(*core.Core) {}, reply: make(chan core.Effect)}
	}
	_, err := r.Submit(t.Context(), core.Heartbeat{})
	assert.ErrorIs(t, err, ErrBusy)
	assert.True(t, r.rejected.Load())
}
