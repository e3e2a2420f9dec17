// Package state is the client of the state service.
package state

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"roadcleat/internal/core"
	"roadcleat/internal/httpc"
	"roadcleat/internal/wire"
)

// Client calls the state service within this controller's share of its
// budgets: one token a request, one token a change.
type Client struct {
	http      *httpc.Client
	dedicated *httpc.Client // open watches and the lease, so that neither waits for the rest nor keeps it waiting
	requests  *rate.Limiter
	writes    *rate.Limiter

	totalRequests, totalWrites float64
	txnOps                     int
}

// New makes a client of a service that takes so many requests and changes a
// second from all controllers together, and so many changes a transaction. It
// starts with the share given.
func New(addr string, requests, changes float64, txnOps int, share float64) *Client {
	c := &Client{
		http:          httpc.New(addr, 24, 24),
		dedicated:     httpc.New(addr, 4, 4),
		requests:      rate.NewLimiter(0, 1),
		writes:        rate.NewLimiter(0, 1),
		totalRequests: requests, totalWrites: changes, txnOps: txnOps,
	}
	c.Share(share, share)
	return c
}

// Share sets this controller's share of the budgets.
func (c *Client) Share(requests, changes float64) {
	r, w := c.totalRequests*requests, c.totalWrites*changes
	c.requests.SetLimit(rate.Limit(r))
	c.requests.SetBurst(max(int(r), 1))
	c.writes.SetLimit(rate.Limit(w))
	c.writes.SetBurst(max(int(w), 2*c.txnOps)) // the largest transaction must pass, and not hold up the next
}

const callTimeout = 2 * time.Second

// admit takes the tokens of a call. Calls that are not urgent leave a quarter
// of the burst to the urgent ones and do not wait for long.
func (c *Client) admit(ctx context.Context, urgent bool) bool {
	if !urgent && c.requests.Tokens() < float64(c.requests.Burst())/4 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return c.requests.Wait(ctx) == nil
}

// admitWrites takes a transaction's tokens for changes. One that spares waits
// until the next submission would find some left.
func (c *Client) admitWrites(ctx context.Context, changes int, spare bool) bool {
	if changes == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	changes = min(changes, c.writes.Burst())
	for spare && c.writes.Limit() > 0 {
		left := min(float64(c.txnOps)/2, float64(c.writes.Limit())/4)
		short := min(float64(changes)+left, float64(c.writes.Burst())) - c.writes.Tokens()
		if short <= 0 {
			break
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Duration((short/float64(c.writes.Limit()) + 0.001) * float64(time.Second))):
		}
	}
	return c.writes.WaitN(ctx, changes) == nil
}

// Commit carries out a transaction.
func (c *Client) Commit(ctx context.Context, op core.CommitTxn) core.CommitResult {
	if !c.admitWrites(ctx, len(op.Txn.Mutations), op.Background) || !c.admit(ctx, op.Urgent) {
		return core.CommitResult{Outcome: core.OutcomeNotSent}
	}
	r := c.http.Do(ctx, callTimeout, http.MethodPost, "/commit", wire.EncodeTxn(op.Txn))
	switch {
	case r.NotSent || r.Status == 503 || r.Status == 429:
		return core.CommitResult{Outcome: core.OutcomeNotSent}
	case r.Err != nil:
		return core.CommitResult{Outcome: core.OutcomeUnknown}
	}
	reply := wire.DecodeTxnReply(r.Body)
	switch r.Status {
	case 200:
		return core.CommitResult{Outcome: core.OutcomeOK, Revision: reply.Ledger}
	case 409:
		return core.CommitResult{Outcome: core.OutcomeRefused, FailedKeys: reply.Failed}
	case 400:
		return core.CommitResult{Outcome: core.OutcomeRefused, LeaseExpired: reply.Error == "no such lease"}
	}
	return core.CommitResult{Outcome: core.OutcomeUnknown}
}

// Read reads a key.
func (c *Client) Read(ctx context.Context, op core.ReadKey) core.ReadResult {
	if !c.admit(ctx, op.Urgent) {
		return core.ReadResult{Outcome: core.OutcomeNotSent}
	}
	r := c.http.Do(ctx, callTimeout, http.MethodGet, "/store/"+op.Key, nil)
	switch {
	case r.Err != nil || r.Status != 200 && r.Status != 404:
		return core.ReadResult{Outcome: core.OutcomeUnknown}
	case r.Status == 404:
		return core.ReadResult{Outcome: core.OutcomeOK}
	}
	item, err := wire.DecodeKey(r.Body)
	if err != nil {
		return core.ReadResult{Outcome: core.OutcomeUnknown}
	}
	return core.ReadResult{Outcome: core.OutcomeOK, Found: true, Item: item}
}

// List reads all keys with a prefix, page by page.
func (c *Client) List(ctx context.Context, op core.ListKeys) core.ListResult {
	var out core.ListResult
	after := ""
	for {
		if !c.admit(ctx, true) {
			return core.ListResult{Outcome: core.OutcomeNotSent}
		}
		q := url.Values{"Starts": {op.Prefix}, "Page": {"500"}}
		if after != "" {
			q.Set("After", after)
		}
		r := c.http.Do(ctx, callTimeout, http.MethodGet, "/store?"+q.Encode(), nil)
		if r.Err != nil || r.Status != 200 {
			return core.ListResult{Outcome: core.OutcomeUnknown}
		}
		items, more, revision, err := wire.DecodeKeys(r.Body)
		if err != nil {
			return core.ListResult{Outcome: core.OutcomeUnknown}
		}
		if out.Revision == 0 {
			out.Revision = revision // the view is no newer than its first page
		}
		out.Items = append(out.Items, items...)
		if !more || len(items) == 0 {
			out.Outcome = core.OutcomeOK
			return out
		}
		after = items[len(items)-1].Key
	}
}

// Watch waits for changes.
func (c *Client) Watch(ctx context.Context, op core.WatchKeys) core.WatchResult {
	if !c.admit(ctx, true) {
		return core.WatchResult{Outcome: core.OutcomeNotSent}
	}
	path := fmt.Sprintf("/follow?Starts=%s&After=%d&WaitMs=%d", url.QueryEscape(op.Prefix), op.AfterRevision, op.Timeout.Milliseconds())
	r := c.dedicated.Do(ctx, op.Timeout+callTimeout, http.MethodGet, path, nil)
	switch {
	case errors.Is(r.Err, httpc.ErrTooLarge):
		// So much has changed while nothing was heard that reading the keys, page by
		// page, costs less. Asked again, the answer would only be larger.
		return core.WatchResult{Outcome: core.OutcomeRefused}
	case r.Err != nil || r.Status != 200 && r.Status != 410:
		return core.WatchResult{Outcome: core.OutcomeUnknown}
	case r.Status == 410:
		return core.WatchResult{Outcome: core.OutcomeRefused}
	}
	changes, revision, err := wire.DecodeChanges(r.Body)
	if err != nil {
		return core.WatchResult{Outcome: core.OutcomeUnknown}
	}
	return core.WatchResult{Outcome: core.OutcomeOK, Revision: revision, Changes: changes}
}

// takeToken takes a request's token without waiting for it. What keeps a controller
// in office is too little to overdraw the budget, and behind everything else that
// a part's loading or a crowd of users asks for, the lease would run out.
func (c *Client) takeToken() { c.requests.Reserve() }

// GrantLease asks for a lease.
func (c *Client) GrantLease(ctx context.Context, op core.GrantLease) core.LeaseResult {
	c.takeToken()
	r := c.dedicated.Do(ctx, callTimeout, http.MethodPost, "/holds", wire.EncodeLeaseRequest(op.TTL.Milliseconds()))
	if reply := wire.DecodeTxnReply(r.Body); r.Err == nil && r.Status == 200 && reply.Tenure > 0 {
		return core.LeaseResult{Outcome: core.OutcomeOK, Lease: reply.Tenure}
	}
	return core.LeaseResult{Outcome: core.OutcomeUnknown}
}

// RenewLease renews a lease.
func (c *Client) RenewLease(ctx context.Context, op core.RenewLease) core.RenewResult {
	c.takeToken()
	r := c.dedicated.Do(ctx, callTimeout, http.MethodPost, fmt.Sprintf("/holds/%d/renew", op.Lease), nil)
	switch {
	case r.Err == nil && r.Status == 200:
		return core.RenewResult{Outcome: core.OutcomeOK}
	case r.Err == nil && r.Status == 404:
		return core.RenewResult{Outcome: core.OutcomeRefused}
	}
	return core.RenewResult{Outcome: core.OutcomeUnknown}
}
