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
	http     *httpc.Client
	apart    *httpc.Client // open watches and the lease, so that neither waits for the rest nor keeps it waiting
	requests *rate.Limiter
	changes  *rate.Limiter

	allRequests, allChanges float64
	txnOps                  int
}

// New makes a client of a service that takes so many requests and changes a
// second from all controllers together, and so many changes a transaction. It
// starts with the share given.
func New(addr string, requests, changes float64, txnOps int, share float64) *Client {
	c := &Client{
		http:        httpc.New(addr, 24, 24),
		apart:       httpc.New(addr, 4, 4),
		requests:    rate.NewLimiter(0, 1),
		changes:     rate.NewLimiter(0, 1),
		allRequests: requests, allChanges: changes, txnOps: txnOps,
	}
	c.Share(share, share)
	return c
}

// Share sets this controller's share of the budgets.
func (c *Client) Share(requests, changes float64) {
	r, w := c.allRequests*requests, c.allChanges*changes
	c.requests.SetLimit(rate.Limit(r))
	c.requests.SetBurst(max(int(r), 1))
	c.changes.SetLimit(rate.Limit(w))
	c.changes.SetBurst(max(int(w), 2*c.txnOps)) // the largest transaction must pass, and not hold up the next
}

const timeout = 2 * time.Second

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

// admitChanges takes a transaction's tokens for changes. One that spares waits
// until the next submission would find some left.
func (c *Client) admitChanges(ctx context.Context, changes int, spare bool) bool {
	if changes == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	changes = min(changes, c.changes.Burst())
	for spare && c.changes.Limit() > 0 {
		left := min(float64(c.txnOps)/2, float64(c.changes.Limit())/4)
		short := min(float64(changes)+left, float64(c.changes.Burst())) - c.changes.Tokens()
		if short <= 0 {
			break
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Duration((short/float64(c.changes.Limit()) + 0.001) * float64(time.Second))):
		}
	}
	return c.changes.WaitN(ctx, changes) == nil
}

// Commit carries out a transaction.
func (c *Client) Commit(ctx context.Context, op core.CommitOp) core.CommitResult {
	if !c.admitChanges(ctx, len(op.Txn.Apply), op.Spare) || !c.admit(ctx, op.Urgent) {
		return core.CommitResult{Outcome: core.NotSent}
	}
	r := c.http.Do(ctx, timeout, http.MethodPost, "/commit", wire.EncodeTxn(op.Txn))
	switch {
	case r.NotSent || r.Status == 503 || r.Status == 429:
		return core.CommitResult{Outcome: core.NotSent}
	case r.Err != nil:
		return core.CommitResult{Outcome: core.Unknown}
	}
	reply := wire.DecodeTxnReply(r.Body)
	switch r.Status {
	case 200:
		return core.CommitResult{Outcome: core.OK, Revision: reply.Ledger}
	case 409:
		return core.CommitResult{Outcome: core.Refused, Failed: reply.Failed}
	case 400:
		return core.CommitResult{Outcome: core.Refused, NoLease: reply.Error == "no such lease"}
	}
	return core.CommitResult{Outcome: core.Unknown}
}

// Read reads a key.
func (c *Client) Read(ctx context.Context, op core.ReadOp) core.ReadResult {
	if !c.admit(ctx, op.Urgent) {
		return core.ReadResult{Outcome: core.NotSent}
	}
	r := c.http.Do(ctx, timeout, http.MethodGet, "/store/"+op.Key, nil)
	switch {
	case r.Err != nil || r.Status != 200 && r.Status != 404:
		return core.ReadResult{Outcome: core.Unknown}
	case r.Status == 404:
		return core.ReadResult{Outcome: core.OK}
	}
	item, err := wire.DecodeItem(r.Body)
	if err != nil {
		return core.ReadResult{Outcome: core.Unknown}
	}
	return core.ReadResult{Outcome: core.OK, Found: true, Item: item}
}

// List reads all keys with a prefix, page by page.
func (c *Client) List(ctx context.Context, op core.ListOp) core.ListResult {
	var out core.ListResult
	after := ""
	for {
		if !c.admit(ctx, true) {
			return core.ListResult{Outcome: core.NotSent}
		}
		q := url.Values{"Starts": {op.Prefix}, "Page": {"500"}}
		if after != "" {
			q.Set("After", after)
		}
		r := c.http.Do(ctx, timeout, http.MethodGet, "/store?"+q.Encode(), nil)
		if r.Err != nil || r.Status != 200 {
			return core.ListResult{Outcome: core.Unknown}
		}
		items, more, ledger, err := wire.DecodeRows(r.Body)
		if err != nil {
			return core.ListResult{Outcome: core.Unknown}
		}
		if out.Ledger == 0 {
			out.Ledger = ledger // the view is no newer than its first page
		}
		out.Items = append(out.Items, items...)
		if !more || len(items) == 0 {
			out.Outcome = core.OK
			return out
		}
		after = items[len(items)-1].Key
	}
}

// Follow waits for changes.
func (c *Client) Follow(ctx context.Context, op core.FollowOp) core.FollowResult {
	if !c.admit(ctx, true) {
		return core.FollowResult{Outcome: core.NotSent}
	}
	path := fmt.Sprintf("/follow?Starts=%s&After=%d&WaitMs=%d", url.QueryEscape(op.Prefix), op.After, op.Wait.Milliseconds())
	r := c.apart.Do(ctx, op.Wait+timeout, http.MethodGet, path, nil)
	switch {
	case errors.Is(r.Err, httpc.ErrTooLarge):
		// So much has changed while nothing was heard that reading the keys, page by
		// page, costs less. Asked again, the answer would only be larger.
		return core.FollowResult{Outcome: core.Refused}
	case r.Err != nil || r.Status != 200 && r.Status != 410:
		return core.FollowResult{Outcome: core.Unknown}
	case r.Status == 410:
		return core.FollowResult{Outcome: core.Refused}
	}
	news, ledger, err := wire.DecodeNews(r.Body)
	if err != nil {
		return core.FollowResult{Outcome: core.Unknown}
	}
	return core.FollowResult{Outcome: core.OK, Ledger: ledger, News: news}
}

// charge takes a request's token without waiting for it. What keeps a controller
// in office is too little to overdraw the budget, and behind everything else that
// a part's loading or a crowd of users asks for, the lease would run out.
func (c *Client) charge() { c.requests.Reserve() }

// Hold asks for a lease.
func (c *Client) Hold(ctx context.Context, op core.HoldOp) core.HoldResult {
	c.charge()
	r := c.apart.Do(ctx, timeout, http.MethodPost, "/holds", wire.EncodeHold(op.Life.Milliseconds()))
	if reply := wire.DecodeTxnReply(r.Body); r.Err == nil && r.Status == 200 && reply.Tenure > 0 {
		return core.HoldResult{Outcome: core.OK, Lease: reply.Tenure}
	}
	return core.HoldResult{Outcome: core.Unknown}
}

// Renew renews a lease.
func (c *Client) Renew(ctx context.Context, op core.RenewOp) core.RenewResult {
	c.charge()
	r := c.apart.Do(ctx, timeout, http.MethodPost, fmt.Sprintf("/holds/%d/renew", op.Lease), nil)
	switch {
	case r.Err == nil && r.Status == 200:
		return core.RenewResult{Outcome: core.OK}
	case r.Err == nil && r.Status == 404:
		return core.RenewResult{Outcome: core.Refused}
	}
	return core.RenewResult{Outcome: core.Unknown}
}
