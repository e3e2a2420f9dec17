// Package cloud is the client of the cloud that rents machines.
//
// It keeps within this controller's share of the cloud's budget of calls and tells its
// callers what became of each call: done, refused, not sent, or unknown. It never repeats a
// call by itself. Listing the machines leaves tokens to calls that rent and return them.
package cloud

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"roadcleat/internal/core"
	"roadcleat/internal/httpc"
	"roadcleat/internal/wire"
)

const (
	callTimeout = 4 * time.Second

	// tokenTimeout is how long a call may wait for its token.
	tokenTimeout = 3 * time.Second

	maxConns = 6
)

// A page of a listing is asked for only while there are spareTokens, so that the next call
// to rent or return finds half a token. This is looked at every sparePollInterval. A listing
// that finds too few tokens for spareTimeout is given up.
const (
	spareTokens       = 1.5
	sparePollInterval = 100 * time.Millisecond
	spareTimeout      = 20 * time.Second
)

// Client calls the cloud within this controller's share of its budget.
type Client struct {
	http           *httpc.Client
	tokens         *rate.Limiter
	callsPerSecond float64 // of all controllers together
}

// New makes a client of a cloud that takes so many calls a second from all controllers
// together. It starts with the share given.
func New(addr string, calls, share float64) *Client {
	c := &Client{
		http:           httpc.New(addr, maxConns, maxConns),
		tokens:         rate.NewLimiter(0, 1),
		callsPerSecond: calls,
	}
	c.Share(share)
	return c
}

// Share sets this controller's share of the calls.
func (c *Client) Share(share float64) {
	calls := c.callsPerSecond * share
	c.tokens.SetLimit(rate.Limit(calls))
	c.tokens.SetBurst(max(int(2*calls), 1))
}

// admit takes a call's token.
func (c *Client) admit(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	return c.tokens.Wait(ctx) == nil
}

// admitPage takes a token that no more urgent call needs.
func (c *Client) admitPage(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, spareTimeout)
	defer cancel()
	poll := time.NewTicker(sparePollInterval)
	defer poll.Stop()
	for c.tokens.Burst() > 1 && c.tokens.Tokens() < spareTokens {
		select {
		case <-ctx.Done():
			return false
		case <-poll.C:
		}
	}
	return c.tokens.Wait(ctx) == nil
}

// Catalog reads the machine types.
func (c *Client) Catalog(ctx context.Context) core.CatalogResult {
	if !c.admit(ctx) {
		return core.CatalogResult{Outcome: core.OutcomeNotSent}
	}
	r := c.http.Do(ctx, callTimeout, http.MethodGet, wire.PathCatalog, nil)
	if r.Err != nil || r.Status != http.StatusOK {
		return core.CatalogResult{Outcome: core.OutcomeUnknown}
	}
	types, err := wire.DecodeCatalog(r.Body)
	if err != nil {
		return core.CatalogResult{Outcome: core.OutcomeUnknown}
	}
	return core.CatalogResult{Outcome: core.OutcomeOK, Types: types}
}

// Hosts lists all machines, page by page. Each page waits for its own token, since a fleet
// may have more pages than the budget has calls in tokenTimeout.
func (c *Client) Hosts(ctx context.Context) core.HostsResult {
	var out core.HostsResult
	after := ""
	for {
		if !c.admitPage(ctx) {
			return core.HostsResult{Outcome: core.OutcomeNotSent}
		}
		r := c.http.Do(ctx, callTimeout, http.MethodGet, wire.PathHostsPage(after), nil)
		if r.Err != nil || r.Status != http.StatusOK {
			return core.HostsResult{Outcome: core.OutcomeUnknown}
		}
		hosts, more, err := wire.DecodeHosts(r.Body)
		if err != nil {
			return core.HostsResult{Outcome: core.OutcomeUnknown}
		}
		out.Hosts = append(out.Hosts, hosts...)
		if !more || len(hosts) == 0 {
			out.Outcome = core.OutcomeOK
			return out
		}
		after = hosts[len(hosts)-1].Name
	}
}

// Rent rents machines. It is refused if the cloud has none to give, or the request is one
// that it never fulfils.
func (c *Client) Rent(ctx context.Context, op core.RentHosts) core.RentResult {
	if !c.admit(ctx) {
		return core.RentResult{Outcome: core.OutcomeNotSent}
	}
	r := c.http.Do(ctx, callTimeout, http.MethodPost, wire.PathHosts, wire.EncodeRentRequest(op))
	if r.Err != nil {
		return core.RentResult{Outcome: core.OutcomeUnknown}
	}
	switch r.Status {
	case http.StatusOK:
		hosts, err := wire.DecodeRented(r.Body)
		if err != nil {
			return core.RentResult{Outcome: core.OutcomeUnknown}
		}
		return core.RentResult{Outcome: core.OutcomeOK, Hosts: hosts}
	case http.StatusBadRequest:
		return core.RentResult{Outcome: core.OutcomeRefused}
	case http.StatusServiceUnavailable:
		if wire.DecodeServiceReply(r.Body).Error == wire.ErrorNoCapacity {
			return core.RentResult{Outcome: core.OutcomeRefused}
		}
	}
	return core.RentResult{Outcome: core.OutcomeNotSent}
}

// Return returns machines to the cloud.
func (c *Client) Return(ctx context.Context, hosts []string) core.ReturnResult {
	if !c.admit(ctx) {
		return core.ReturnResult{Outcome: core.OutcomeNotSent}
	}
	r := c.http.Do(ctx, callTimeout, http.MethodPost, wire.PathReturnHosts, wire.EncodeReturnRequest(hosts))
	if r.Err != nil || r.Status != http.StatusOK {
		return core.ReturnResult{Outcome: core.OutcomeUnknown}
	}
	return core.ReturnResult{Outcome: core.OutcomeOK}
}
