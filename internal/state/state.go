// Package state is the client of the state service.
//
// The client stays within this controller's share of the service's budgets and reports the
// outcome of each call: carried out, refused, not sent, or unknown. It never retries a call.
// Lease calls and watches have connections of their own, so that neither waits for other
// calls.
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

	// requestTokenTimeout and writeTokenTimeout limit how long a call waits for its tokens. A
	// call that does not get them within this time is not sent.
	requestTokenTimeout = time.Second
	writeTokenTimeout   = 1500 * time.Millisecond

	// maxConnections and maxDedicatedConnections limit the connections of httpClient and of
	// dedicatedClient.
	maxConnections          = 24
	maxDedicatedConnections = 4
)

// Client calls the state service within this controller's share of the service's budgets. A
// request costs one token of the request budget, and each mutation of a transaction one token
// of the write budget.
type Client struct {
	httpClient      *httpc.Client
	dedicatedClient *httpc.Client // for watches and lease calls, which must not wait for connections of other calls
	requestLimiter  *rate.Limiter
	writeLimiter    *rate.Limiter

	// Budgets of all controllers together.
	totalRequestsPerSecond float64
	totalWritesPerSecond   float64

	maxTxnMutations int // largest transaction that the service accepts
}

// New returns a client of the state service at addr. The service accepts requestsPerSecond and
// writesPerSecond from all controllers together, and at most maxTxnMutations mutations in a
// transaction. The client starts with the given share, from 0 to 1, of both budgets.
func New(addr string, requestsPerSecond, writesPerSecond float64, maxTxnMutations int, share float64) *Client {
	c := &Client{
		httpClient:             httpc.New(addr, maxConnections, maxConnections),
		dedicatedClient:        httpc.New(addr, maxDedicatedConnections, maxDedicatedConnections),
		requestLimiter:         rate.NewLimiter(0, 1),
		writeLimiter:           rate.NewLimiter(0, 1),
		totalRequestsPerSecond: requestsPerSecond,
		totalWritesPerSecond:   writesPerSecond,
		maxTxnMutations:        maxTxnMutations,
	}
	c.SetBudgetShare(share, share)
	return c
}

// SetBudgetShare sets this controller's shares, from 0 to 1, of the request budget and of the
// write budget.
func (c *Client) SetBudgetShare(requestShare, writeShare float64) {
	requestRate := c.totalRequestsPerSecond * requestShare
	c.requestLimiter.SetLimit(rate.Limit(requestRate))
	c.requestLimiter.SetBurst(max(int(requestRate), 1))
	writeRate := c.totalWritesPerSecond * writeShare
	c.writeLimiter.SetLimit(rate.Limit(writeRate))
	// The burst covers two transactions of the largest size, so that one of them does not
	// delay the next transaction.
	c.writeLimiter.SetBurst(max(int(writeRate), 2*c.maxTxnMutations))
}

// waitForRequestToken takes a token of the request budget and reports whether it got one
// within requestTokenTimeout. A call that is not urgent fails at once if less than a quarter of
// the burst is available: that quarter is reserved for urgent calls.
func (c *Client) waitForRequestToken(ctx context.Context, urgent bool) bool {
	if !urgent && c.requestLimiter.Tokens() < float64(c.requestLimiter.Burst())/4 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, requestTokenTimeout)
	defer cancel()
	return c.requestLimiter.Wait(ctx) == nil
}

// waitForWriteTokens takes a token of the write budget for each mutation of a transaction and
// reports whether it got them within writeTokenTimeout. A background transaction waits until the
// budget also has the tokens of a submission, which it leaves there.
func (c *Client) waitForWriteTokens(ctx context.Context, mutations int, background bool) bool {
	if mutations == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, writeTokenTimeout)
	defer cancel()
	mutations = min(mutations, c.writeLimiter.Burst())
	if background && !c.waitForSpareWriteTokens(ctx, mutations) {
		return false
	}
	return c.writeLimiter.WaitN(ctx, mutations) == nil
}

// waitForSpareWriteTokens waits until the write budget has tokens for the given number of
// mutations and for those of a submission. The tokens kept for a submission are half of the largest
// transaction, but at most the tokens of a quarter of a second. It takes no tokens. It returns false
// if the context ends first.
func (c *Client) waitForSpareWriteTokens(ctx context.Context, mutations int) bool {
	for c.writeLimiter.Limit() > 0 {
		tokensPerSecond := float64(c.writeLimiter.Limit())
		spare := min(float64(c.maxTxnMutations)/2, tokensPerSecond/4)
		wanted := min(float64(mutations)+spare, float64(c.writeLimiter.Burst()))
		missing := wanted - c.writeLimiter.Tokens()
		if missing <= 0 {
			return true
		}
		// The extra millisecond makes sure that the missing tokens are available when the timer fires.
		timer := time.NewTimer(time.Duration((missing/tokensPerSecond + 0.001) * float64(time.Second)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		}
	}
	return true
}

// Commit commits a transaction. It is refused if a condition does not hold, or if the lease of
// one of its keys has expired.
func (c *Client) Commit(ctx context.Context, op core.CommitTxn) core.CommitResult {
	if !c.waitForWriteTokens(ctx, len(op.Txn.Mutations), op.Background) || !c.waitForRequestToken(ctx, op.Urgent) {
		return core.CommitResult{Outcome: core.OutcomeNotSent}
	}
	response := c.httpClient.Do(ctx, callTimeout, http.MethodPost, wire.PathCommit, wire.EncodeTxn(op.Txn))
	switch {
	case response.NotSent || response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests:
		return core.CommitResult{Outcome: core.OutcomeNotSent}
	case response.Err != nil:
		return core.CommitResult{Outcome: core.OutcomeUnknown}
	}
	reply := wire.DecodeServiceReply(response.Body)
	switch response.Status {
	case http.StatusOK:
		return core.CommitResult{Outcome: core.OutcomeOK, Revision: reply.Revision}
	case http.StatusConflict:
		return core.CommitResult{Outcome: core.OutcomeRefused, FailedKeys: reply.FailedKeys}
	case http.StatusBadRequest:
		return core.CommitResult{Outcome: core.OutcomeRefused, LeaseExpired: reply.Error == wire.ErrorTextNoSuchLease}
	}
	return core.CommitResult{Outcome: core.OutcomeUnknown}
}

// Read reads a key. A key that does not exist is a result with Found false, not a failure.
func (c *Client) Read(ctx context.Context, op core.ReadKey) core.ReadResult {
	if !c.waitForRequestToken(ctx, op.Urgent) {
		return core.ReadResult{Outcome: core.OutcomeNotSent}
	}
	response := c.httpClient.Do(ctx, callTimeout, http.MethodGet, wire.PathReadKey(op.Key), nil)
	switch {
	case response.Err != nil || response.Status != http.StatusOK && response.Status != http.StatusNotFound:
		return core.ReadResult{Outcome: core.OutcomeUnknown}
	case response.Status == http.StatusNotFound:
		return core.ReadResult{Outcome: core.OutcomeOK}
	}
	item, err := wire.DecodeKey(response.Body)
	if err != nil {
		return core.ReadResult{Outcome: core.OutcomeUnknown}
	}
	return core.ReadResult{Outcome: core.OutcomeOK, Found: true, Item: item}
}

// List reads all keys with a prefix, page by page. The result's revision is that of the first
// page. Later pages may include changes after that revision, but the result lacks no change
// up to it.
func (c *Client) List(ctx context.Context, op core.ListKeys) core.ListResult {
	var result core.ListResult
	after := ""
	for {
		if !c.waitForRequestToken(ctx, true) {
			return core.ListResult{Outcome: core.OutcomeNotSent}
		}
		response := c.httpClient.Do(ctx, callTimeout, http.MethodGet, wire.PathListKeys(op.Prefix, after), nil)
		if response.Err != nil || response.Status != http.StatusOK {
			return core.ListResult{Outcome: core.OutcomeUnknown}
		}
		items, more, revision, err := wire.DecodeKeys(response.Body)
		if err != nil {
			return core.ListResult{Outcome: core.OutcomeUnknown}
		}
		if result.Revision == 0 {
			result.Revision = revision
		}
		result.Items = append(result.Items, items...)
		if !more || len(items) == 0 {
			result.Outcome = core.OutcomeOK
			return result
		}
		after = items[len(items)-1].Key
	}
}

// Watch waits for changes of keys with a prefix after a revision. It is refused if the service
// no longer keeps all of these changes, or if they exceed the size limit of a reply. The
// caller has to list the keys again then.
func (c *Client) Watch(ctx context.Context, op core.WatchKeys) core.WatchResult {
	if !c.waitForRequestToken(ctx, true) {
		return core.WatchResult{Outcome: core.OutcomeNotSent}
	}
	path := wire.PathWatchKeys(op.Prefix, op.AfterRevision, op.Timeout)
	response := c.dedicatedClient.Do(ctx, op.Timeout+callTimeout, http.MethodGet, path, nil)
	switch {
	case errors.Is(response.Err, httpc.ErrReplyTooLarge):
		// A retry can't succeed: the reply would only be larger.
		return core.WatchResult{Outcome: core.OutcomeRefused}
	case response.Err != nil || response.Status != http.StatusOK && response.Status != http.StatusGone:
		return core.WatchResult{Outcome: core.OutcomeUnknown}
	case response.Status == http.StatusGone:
		return core.WatchResult{Outcome: core.OutcomeRefused}
	}
	changes, revision, err := wire.DecodeChanges(response.Body)
	if err != nil {
		return core.WatchResult{Outcome: core.OutcomeUnknown}
	}
	return core.WatchResult{Outcome: core.OutcomeOK, Revision: revision, Changes: changes}
}

// reserveRequestToken takes a token of the request budget without waiting until it is
// available. Lease calls use it: they are too few to exceed the budget, and the lease would
// expire if they waited behind the requests of a failover or of a burst of submissions.
func (c *Client) reserveRequestToken() { c.requestLimiter.Reserve() }

// GrantLease asks the service for a new lease.
func (c *Client) GrantLease(ctx context.Context, op core.GrantLease) core.LeaseResult {
	c.reserveRequestToken()
	body := wire.EncodeLeaseRequest(op.TTL.Milliseconds())
	response := c.dedicatedClient.Do(ctx, callTimeout, http.MethodPost, wire.PathGrantLease, body)
	reply := wire.DecodeServiceReply(response.Body)
	if response.Err != nil || response.Status != http.StatusOK || reply.Lease == 0 {
		return core.LeaseResult{Outcome: core.OutcomeUnknown}
	}
	return core.LeaseResult{Outcome: core.OutcomeOK, Lease: reply.Lease}
}

// RenewLease renews a lease. It is refused if the lease has expired.
func (c *Client) RenewLease(ctx context.Context, op core.RenewLease) core.RenewResult {
	c.reserveRequestToken()
	response := c.dedicatedClient.Do(ctx, callTimeout, http.MethodPost, wire.PathRenewLease(op.Lease), nil)
	switch {
	case response.Err == nil && response.Status == http.StatusOK:
		return core.RenewResult{Outcome: core.OutcomeOK}
	case response.Err == nil && response.Status == http.StatusNotFound:
		return core.RenewResult{Outcome: core.OutcomeRefused}
	}
	return core.RenewResult{Outcome: core.OutcomeUnknown}
}
