// Package state is the client of the state service.
//
// It keeps within this controller's share of the service's budgets and tells its callers
// what became of each call: done, refused, not sent, or unknown. It never repeats a call by
// itself. The lease is renewed and keys are watched on connections of their own, so neither
// waits for other calls.
package state

import (
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"roadcleat/internal/core"
	"roadcleat/internal/httpc"
	"roadcleat/internal/wire"
)

const (
	callTimeout = 2 * time.Second

	// requestTokenTimeout and writeTokenTimeout are how long a call may wait for its tokens.
	requestTokenTimeout = time.Second
	writeTokenTimeout   = 1500 * time.Millisecond

	maxConns          = 24
	maxDedicatedConns = 4
)

// Client calls the state service within this controller's share of its budgets: one token
// a request, one token a change.
type Client struct {
	http      *httpc.Client
	dedicated *httpc.Client // open watches and the lease, which must not wait for other calls
	requests  *rate.Limiter
	writes    *rate.Limiter

	totalRequests float64
	totalWrites   float64
	txnOps        int
}

// New makes a client of a service that takes so many requests and changes a second from all
// controllers together, and so many changes a transaction. It starts with the share given.
func New(addr string, requests, changes float64, txnOps int, share float64) *Client {
	c := &Client{
		http:          httpc.New(addr, maxConns, maxConns),
		dedicated:     httpc.New(addr, maxDedicatedConns, maxDedicatedConns),
		requests:      rate.NewLimiter(0, 1),
		writes:        rate.NewLimiter(0, 1),
		totalRequests: requests,
		totalWrites:   changes,
		txnOps:        txnOps,
	}
	c.Share(share, share)
	return c
}

// Share sets this controller's share of the budgets.
func (c *Client) Share(requests, changes float64) {
	requestRate := c.totalRequests * requests
	c.requests.SetLimit(rate.Limit(requestRate))
	c.requests.SetBurst(max(int(requestRate), 1))
	writeRate := c.totalWrites * changes
	c.writes.SetLimit(rate.Limit(writeRate))
	// The largest transaction must pass without holding up the next one.
	c.writes.SetBurst(max(int(writeRate), 2*c.txnOps))
}

// admit takes a request's token. Calls that are not urgent leave a quarter of the burst to
// the urgent ones.
func (c *Client) admit(ctx context.Context, urgent bool) bool {
	if !urgent && c.requests.Tokens() < float64(c.requests.Burst())/4 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, requestTokenTimeout)
	defer cancel()
	return c.requests.Wait(ctx) == nil
}

// admitWrites takes the tokens of a transaction's changes. A background transaction waits
// until the next submission would find tokens too.
func (c *Client) admitWrites(ctx context.Context, changes int, background bool) bool {
	if changes == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, writeTokenTimeout)
	defer cancel()
	changes = min(changes, c.writes.Burst())
	if background && !c.waitForSpareWrites(ctx, changes) {
		return false
	}
	return c.writes.WaitN(ctx, changes) == nil
}

// waitForSpareWrites waits until there are tokens for a number of changes and for those of a
// submission. It gives up when the context ends.
func (c *Client) waitForSpareWrites(ctx context.Context, changes int) bool {
	for c.writes.Limit() > 0 {
		limit := float64(c.writes.Limit())
		spare := min(float64(c.txnOps)/2, limit/4)
		wanted := min(float64(changes)+spare, float64(c.writes.Burst()))
		missing := wanted - c.writes.Tokens()
		if missing <= 0 {
			return true
		}
		timer := time.NewTimer(time.Duration((missing/limit + 0.001) * float64(time.Second)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		}
	}
	return true
}

// Commit carries out a transaction.
func (c *Client) Commit(ctx context.Context, op core.CommitTxn) core.CommitResult {
	if !c.admitWrites(ctx, len(op.Txn.Mutations), op.Background) || !c.admit(ctx, op.Urgent) {
		return core.CommitResult{Outcome: core.OutcomeNotSent}
	}
	r := c.http.Do(ctx, callTimeout, http.MethodPost, wire.PathCommit, wire.EncodeTxn(op.Txn))
	switch {
	case r.NotSent || r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests:
		return core.CommitResult{Outcome: core.OutcomeNotSent}
	case r.Err != nil:
		return core.CommitResult{Outcome: core.OutcomeUnknown}
	}
	reply := wire.DecodeServiceReply(r.Body)
	switch r.Status {
	case http.StatusOK:
		return core.CommitResult{Outcome: core.OutcomeOK, Revision: reply.Revision}
	case http.StatusConflict:
		return core.CommitResult{Outcome: core.OutcomeRefused, FailedKeys: reply.FailedKeys}
	case http.StatusBadRequest:
		return core.CommitResult{Outcome: core.OutcomeRefused, LeaseExpired: reply.Error == wire.ErrorNoSuchLease}
	}
	return core.CommitResult{Outcome: core.OutcomeUnknown}
}

// Read reads a key.
func (c *Client) Read(ctx context.Context, op core.ReadKey) core.ReadResult {
	if !c.admit(ctx, op.Urgent) {
		return core.ReadResult{Outcome: core.OutcomeNotSent}
	}
	r := c.http.Do(ctx, callTimeout, http.MethodGet, wire.PathKey(op.Key), nil)
	switch {
	case r.Err != nil || r.Status != http.StatusOK && r.Status != http.StatusNotFound:
		return core.ReadResult{Outcome: core.OutcomeUnknown}
	case r.Status == http.StatusNotFound:
		return core.ReadResult{Outcome: core.OutcomeOK}
	}
	item, err := wire.DecodeKey(r.Body)
	if err != nil {
		return core.ReadResult{Outcome: core.OutcomeUnknown}
	}
	return core.ReadResult{Outcome: core.OutcomeOK, Found: true, Item: item}
}

// List reads all keys with a prefix, page by page. The result's revision is that of the
// first page: later pages may show later changes, but none up to that revision is missing.
func (c *Client) List(ctx context.Context, op core.ListKeys) core.ListResult {
	var out core.ListResult
	after := ""
	for {
		if !c.admit(ctx, true) {
			return core.ListResult{Outcome: core.OutcomeNotSent}
		}
		r := c.http.Do(ctx, callTimeout, http.MethodGet, wire.PathKeys(op.Prefix, after), nil)
		if r.Err != nil || r.Status != http.StatusOK {
			return core.ListResult{Outcome: core.OutcomeUnknown}
		}
		items, more, revision, err := wire.DecodeKeys(r.Body)
		if err != nil {
			return core.ListResult{Outcome: core.OutcomeUnknown}
		}
		if out.Revision == 0 {
			out.Revision = revision
		}
		out.Items = append(out.Items, items...)
		if !more || len(items) == 0 {
			out.Outcome = core.OutcomeOK
			return out
		}
		after = items[len(items)-1].Key
	}
}

// Watch waits for changes after a revision. It is refused if the service no longer has all
// of them, or if they are more than a reply may hold; the keys have to be listed again then.
func (c *Client) Watch(ctx context.Context, op core.WatchKeys) core.WatchResult {
	if !c.admit(ctx, true) {
		return core.WatchResult{Outcome: core.OutcomeNotSent}
	}
	path := wire.PathWatch(op.Prefix, op.AfterRevision, op.Timeout)
	r := c.dedicated.Do(ctx, op.Timeout+callTimeout, http.MethodGet, path, nil)
	switch {
	case errors.Is(r.Err, httpc.ErrTooLarge):
		// Asked again, the reply would only be larger.
		return core.WatchResult{Outcome: core.OutcomeRefused}
	case r.Err != nil || r.Status != http.StatusOK && r.Status != http.StatusGone:
		return core.WatchResult{Outcome: core.OutcomeUnknown}
	case r.Status == http.StatusGone:
		return core.WatchResult{Outcome: core.OutcomeRefused}
	}
	changes, revision, err := wire.DecodeChanges(r.Body)
	if err != nil {
		return core.WatchResult{Outcome: core.OutcomeUnknown}
	}
	return core.WatchResult{Outcome: core.OutcomeOK, Revision: revision, Changes: changes}
}

// takeToken takes a request's token without waiting for it. Calls for the lease are too few
// to overdraw the budget, and the lease would expire if they waited behind the requests of a
// failover or a burst of users.
func (c *Client) takeToken() { c.requests.Reserve() }

// GrantLease asks for a lease.
func (c *Client) GrantLease(ctx context.Context, op core.GrantLease) core.LeaseResult {
	c.takeToken()
	body := wire.EncodeLeaseRequest(op.TTL.Milliseconds())
	r := c.dedicated.Do(ctx, callTimeout, http.MethodPost, wire.PathGrantLease, body)
	reply := wire.DecodeServiceReply(r.Body)
	if r.Err != nil || r.Status != http.StatusOK || reply.Lease == 0 {
		return core.LeaseResult{Outcome: core.OutcomeUnknown}
	}
	return core.LeaseResult{Outcome: core.OutcomeOK, Lease: reply.Lease}
}

// RenewLease renews a lease. It is refused if the lease has expired.
func (c *Client) RenewLease(ctx context.Context, op core.RenewLease) core.RenewResult {
	c.takeToken()
	r := c.dedicated.Do(ctx, callTimeout, http.MethodPost, wire.PathRenewLease(op.Lease), nil)
	switch {
	case r.Err == nil && r.Status == http.StatusOK:
		return core.RenewResult{Outcome: core.OutcomeOK}
	case r.Err == nil && r.Status == http.StatusNotFound:
		return core.RenewResult{Outcome: core.OutcomeRefused}
	}
	return core.RenewResult{Outcome: core.OutcomeUnknown}
}
