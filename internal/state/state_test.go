package state

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"roadcleat/internal/core"
)

func TestRecordsLeaveChangesToSubmissionsAndStillComeThrough(t *testing.T) {
	// An owner's transaction that had to wait for more tokens than its share
	// brings while a call may wait was given up and tried again for seconds.
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"Ledger":7}`))
	}))
	defer srv.Close()
	c := New(strings.TrimPrefix(srv.URL, "http://"), 1000, 80, 48, 0.3) // 24 changes a second
	txn := func(n int) core.Txn { return core.Txn{Mutations: make([]core.Mutation, n)} }
	ctx := context.Background()
	c.writes.AllowN(time.Now(), c.writes.Burst()) // a burst has used all there was
	res := c.Commit(ctx, core.CommitTxn{Txn: txn(12), Urgent: true, Background: true})
	assert.Equal(t, core.OutcomeOK, res.Outcome, "half a second's share comes through")
	assert.GreaterOrEqual(t, c.writes.Tokens(), 4.0, "a submission finds changes left")
	res = c.Commit(ctx, core.CommitTxn{Txn: txn(4), Urgent: true})
	assert.Equal(t, core.OutcomeOK, res.Outcome)
	res = c.Commit(ctx, core.CommitTxn{Txn: txn(48), Urgent: true, Background: true})
	assert.Equal(t, core.OutcomeNotSent, res.Outcome, "what would wait too long is not sent")
}

func TestTheLeaseIsRenewedWhileEverythingElseWaitsForTokens(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{}`))
	}))
	defer srv.Close()
	c := New(strings.TrimPrefix(srv.URL, "http://"), 4, 4, 12, 1)
	c.requests.ReserveN(time.Now(), c.requests.Burst()) // used up, and more is waiting
	c.requests.ReserveN(time.Now(), c.requests.Burst())
	ctx := context.Background()
	assert.Equal(t, core.OutcomeNotSent, c.Read(ctx, core.ReadKey{Key: "job/1", Urgent: true}).Outcome)
	start := time.Now()
	assert.Equal(t, core.OutcomeOK, c.RenewLease(ctx, core.RenewLease{Lease: 7}).Outcome)
	assert.Less(t, time.Since(start), time.Second)
}

func TestTheLeaseIsRenewedWhileEveryOtherConnectionHangs(t *testing.T) {
	hang := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/holds") {
			<-hang
		}
		_, _ = w.Write([]byte(`{}`))
	}))
	defer srv.Close()
	defer close(hang)
	c := New(strings.TrimPrefix(srv.URL, "http://"), 1000, 1000, 12, 1)
	ctx := t.Context()
	for range 60 {
		go c.Read(ctx, core.ReadKey{Key: "job/1", Urgent: true})
	}
	time.Sleep(100 * time.Millisecond) // they have taken what there is
	start := time.Now()
	assert.Equal(t, core.OutcomeOK, c.RenewLease(ctx, core.RenewLease{Lease: 7}).Outcome)
	assert.Less(t, time.Since(start), time.Second)
}

func TestAWatchWithMoreNewsThanCanBeReadIsTooOld(t *testing.T) {
	// Its answer was cut off, could not be understood and was asked for again, for
	// ever: the next one is only larger.
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"Ledger":9,"News":[`))
		change := `{"Set":"job/1","Value":{"x":"` + strings.Repeat("y", 1<<20) + `"},"Stamp":8},`
		for range 9 {
			_, _ = w.Write([]byte(change))
		}
		_, _ = w.Write([]byte(`{"Drop":"job/2","Stamp":9}]}`))
	}))
	defer srv.Close()
	c := New(strings.TrimPrefix(srv.URL, "http://"), 1000, 1000, 12, 1)
	res := c.Watch(t.Context(), core.WatchKeys{Prefix: "job/", AfterRevision: 7, Timeout: time.Second})
	assert.Equal(t, core.OutcomeRefused, res.Outcome, "read the keys again")
}
