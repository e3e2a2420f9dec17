package state

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

// serve starts a state service and returns its address.
func serve(t *testing.T, handler http.HandlerFunc) (addr string) {
	t.Helper()
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// replyWith replies to everything with one body.
func replyWith(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }
}

func TestBackgroundTransactionsLeaveTokensToSubmissions(t *testing.T) {
	// A background transaction larger than the share of a call's longest wait must be
	// committed all the same, and not be given up and retried for seconds.
	c := New(serve(t, replyWith(`{"Ledger":7}`)), 1000, 80, 48, 0.3) // 24 changes a second
	txn := func(changes int) core.Txn { return core.Txn{Mutations: make([]core.Mutation, changes)} }
	ctx := t.Context()
	c.writes.AllowN(time.Now(), c.writes.Burst()) // no token is left
	res := c.Commit(ctx, core.CommitTxn{Txn: txn(12), Urgent: true, Background: true})
	assert.Equal(t, core.OutcomeOK, res.Outcome, "half a second's share is committed")
	assert.GreaterOrEqual(t, c.writes.Tokens(), 4.0, "a submission finds tokens")
	res = c.Commit(ctx, core.CommitTxn{Txn: txn(4), Urgent: true})
	assert.Equal(t, core.OutcomeOK, res.Outcome)
	res = c.Commit(ctx, core.CommitTxn{Txn: txn(48), Urgent: true, Background: true})
	assert.Equal(t, core.OutcomeNotSent, res.Outcome, "a transaction that would wait too long is not sent")
}

func TestTheLeaseIsRenewedWhileAllOtherCallsWaitForTokens(t *testing.T) {
	c := New(serve(t, replyWith(`{}`)), 4, 4, 12, 1)
	c.requests.ReserveN(time.Now(), c.requests.Burst()) // no token is left, and others wait for the next ones
	c.requests.ReserveN(time.Now(), c.requests.Burst())
	ctx := t.Context()
	assert.Equal(t, core.OutcomeNotSent, c.Read(ctx, core.ReadKey{Key: "job/1", Urgent: true}).Outcome)
	start := time.Now()
	assert.Equal(t, core.OutcomeOK, c.RenewLease(ctx, core.RenewLease{Lease: 7}).Outcome)
	assert.Less(t, time.Since(start), time.Second)
}

func TestTheLeaseIsRenewedWhileAllOtherConnectionsHang(t *testing.T) {
	release := make(chan struct{})
	var hanging atomic.Int64
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/holds") {
			hanging.Add(1)
			<-release
		}
		_, _ = io.WriteString(w, `{}`)
	})
	t.Cleanup(func() { close(release) }) // before the server is closed, which waits for its requests
	c := New(addr, 1000, 1000, 12, 1)
	ctx := t.Context()
	for range 60 {
		go c.Read(ctx, core.ReadKey{Key: "job/1", Urgent: true})
	}
	require.Eventually(t, func() bool { return hanging.Load() == maxConns }, 10*time.Second, 5*time.Millisecond)
	start := time.Now()
	assert.Equal(t, core.OutcomeOK, c.RenewLease(ctx, core.RenewLease{Lease: 7}).Outcome)
	assert.Less(t, time.Since(start), time.Second)
}

func TestAWatchWithMoreChangesThanCanBeReadIsRefused(t *testing.T) {
	// Reported as unknown, it would be repeated for ever: the next reply is only larger.
	c := New(serve(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"Ledger":9,"News":[`)
		change := `{"Set":"job/1","Value":{"x":"` + strings.Repeat("y", 1<<20) + `"},"Stamp":8},`
		for range 9 {
			_, _ = io.WriteString(w, change)
		}
		_, _ = io.WriteString(w, `{"Drop":"job/2","Stamp":9}]}`)
	}), 1000, 1000, 12, 1)
	res := c.Watch(t.Context(), core.WatchKeys{Prefix: "job/", AfterRevision: 7, Timeout: time.Second})
	assert.Equal(t, core.OutcomeRefused, res.Outcome, "the keys are to be listed again")
}
