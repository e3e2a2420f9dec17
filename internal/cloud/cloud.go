// Package cloud is the client of the cloud that rents out machines.
//
// The client stays within this controller's share of the cloud's call budget and reports the
// outcome of each call: carried out, refused, not sent, or unknown. It never retries a call.
// Listing the machines leaves tokens for the calls that rent and return machines.
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

	// tokenTimeout limits how long a call waits for its token. A call that does not get one
	// within this time is not sent.
	tokenTimeout = 3 * time.Second

	maxConnections = 6
)

// Tokens for the pages of a machine list. A page is requested only while the budget has
// minSpareTokens, so that half a token remains for a call to rent or return machines. The
// budget is checked every spareTokenPollInterval. If a page gets no token within
// spareTokenTimeout, the list is abandoned.
const (
	minSpareTokens         = 1.5
	spareTokenPollInterval = 100 * time.Millisecond
	spareTokenTimeout      = 20 * time.Second
)

// Client calls the cloud within this controller's share of the cloud's call budget. A call
// costs one token.
type Client struct {
	httpClient          *httpc.Client
	limiter             *rate.Limiter
	totalCallsPerSecond float64 // budget of all controllers together
}

// New returns a client of the cloud at addr. The cloud accepts callsPerSecond from all
// controllers together. The client starts with the given share, from 0 to 1, of this budget.
func New(addr string, callsPerSecond, share float64) *Client {
	c := &Client{
		httpClient:          httpc.New(addr, maxConnections, maxConnections),
		limiter:             rate.NewLimiter(0, 1),
		totalCallsPerSecond: callsPerSecond,
	}
	c.SetBudgetShare(share)
	return c
}

// SetBudgetShare sets this controller's share, from 0 to 1, of the call budget. The burst is
// the share of two seconds.
func (c *Client) SetBudgetShare(share float64) {
	callsPerSecond := c.totalCallsPerSecond * share
	c.limiter.SetLimit(rate.Limit(callsPerSecond))
	c.limiter.SetBurst(max(int(2*callsPerSecond), 1))
}

// waitForToken takes a token and reports whether it got one within tokenTimeout.
func (c *Client) waitForToken(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	return c.limiter.Wait(ctx) == nil
}

// waitForSpareToken takes a token once the budget has minSpareTokens, and reports whether it
// got one within spareTokenTimeout. A budget whose burst is a single token never has
// minSpareTokens; its token is taken without the check.
func (c *Client) waitForSpareToken(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, spareTokenTimeout)
	defer cancel()
	poll := time.NewTicker(spareTokenPollInterval)
	defer poll.Stop()
	for c.limiter.Burst() > 1 && c.limiter.Tokens() < minSpareTokens {
		select {
		case <-ctx.Done():
			return false
		case <-poll.C:
		}
	}
	return c.limiter.Wait(ctx) == nil
}

// Catalog reads the machine types and their prices.
func (c *Client) Catalog(ctx context.Context) core.CatalogResult {
	if !c.waitForToken(ctx) {
		return core.CatalogResult{Outcome: core.OutcomeNotSent}
	}
	response := c.httpClient.Do(ctx, callTimeout, http.MethodGet, wire.PathCatalog, nil)
	if response.Err != nil || response.Status != http.StatusOK {
		return core.CatalogResult{Outcome: core.OutcomeUnknown}
	}
	types, err := wire.DecodeCatalog(response.Body)
	if err != nil {
		return core.CatalogResult{Outcome: core.OutcomeUnknown}
	}
	return core.CatalogResult{Outcome: core.OutcomeOK, Types: types}
}

// Hosts lists all rented machines, page by page. Each page waits for a token of its own,
// since the machines of a large fleet fill more pages than the budget allows calls within
// tokenTimeout.
func (c *Client) Hosts(ctx context.Context) core.HostsResult {
	var result core.HostsResult
	after := ""
	for {
		if !c.waitForSpareToken(ctx) {
			return core.HostsResult{Outcome: core.OutcomeNotSent}
		}
		response := c.httpClient.Do(ctx, callTimeout, http.MethodGet, wire.PathListHosts(after), nil)
		if response.Err != nil || response.Status != http.StatusOK {
			return core.HostsResult{Outcome: core.OutcomeUnknown}
		}
		hosts, more, err := wire.DecodeHosts(response.Body)
		if err != nil {
			return core.HostsResult{Outcome: core.OutcomeUnknown}
		}
		result.Hosts = append(result.Hosts, hosts...)
		if !more || len(hosts) == 0 {
			result.Outcome = core.OutcomeOK
			return result
		}
		after = hosts[len(hosts)-1].Name
	}
}

// Rent rents machines. It is refused if the cloud has no capacity, or if the request is one
// that the cloud never accepts.
func (c *Client) Rent(ctx context.Context, op core.RentHosts) core.RentResult {
	if !c.waitForToken(ctx) {
		return core.RentResult{Outcome: core.OutcomeNotSent}
	}
	response := c.httpClient.Do(ctx, callTimeout, http.MethodPost, wire.PathHosts, wire.EncodeRentRequest(op))
	if response.Err != nil {
		return core.RentResult{Outcome: core.OutcomeUnknown}
	}
	switch response.Status {
	case http.StatusOK:
		hosts, err := wire.DecodeRentedHosts(response.Body)
		if err != nil {
			return core.RentResult{Outcome: core.OutcomeUnknown}
		}
		return core.RentResult{Outcome: core.OutcomeOK, Hosts: hosts}
	case http.StatusBadRequest:
		return core.RentResult{Outcome: core.OutcomeRefused}
	case http.StatusServiceUnavailable:
		if wire.DecodeServiceReply(response.Body).Error == wire.ErrorTextNoCapacity {
			return core.RentResult{Outcome: core.OutcomeRefused}
		}
	}
	return core.RentResult{Outcome: core.OutcomeNotSent}
}

// Return returns machines to the cloud.
func (c *Client) Return(ctx context.Context, hosts []string) core.ReturnResult {
	if !c.waitForToken(ctx) {
		return core.ReturnResult{Outcome: core.OutcomeNotSent}
	}
	response := c.httpClient.Do(ctx, callTimeout, http.MethodPost, wire.PathReturnHosts, wire.EncodeReturnRequest(hosts))
	if response.Err != nil || response.Status != http.StatusOK {
		return core.ReturnResult{Outcome: core.OutcomeUnknown}
	}
	return core.ReturnResult{Outcome: core.OutcomeOK}
}
