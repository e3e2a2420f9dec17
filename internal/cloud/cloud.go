// Package cloud is the client of the cloud that rents machines.
package cloud

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"roadcleat/internal/core"
	"roadcleat/internal/httpc"
	"roadcleat/internal/wire"
)

// Client calls the cloud within this controller's share of its budget. Returns
// and hires may use all of it; listings leave some.
type Client struct {
	http           *httpc.Client
	tokens         *rate.Limiter
	callsPerSecond float64
}

// New makes a client of a cloud that takes so many calls a second from all
// controllers together. It starts with the share given.
func New(addr string, calls, share float64) *Client {
	c := &Client{http: httpc.New(addr, 6, 6), tokens: rate.NewLimiter(0, 1), callsPerSecond: calls}
	c.Share(share)
	return c
}

// Share sets this controller's share of the calls.
func (c *Client) Share(share float64) {
	calls := c.callsPerSecond * share
	c.tokens.SetLimit(rate.Limit(calls))
	c.tokens.SetBurst(max(int(2*calls), 1))
}

const callTimeout = 4 * time.Second

// tokenTimeout is how long a call may wait for its token.
const tokenTimeout = 3 * time.Second

func (c *Client) admit(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	return c.tokens.Wait(ctx) == nil
}

// A page of a listing is asked for when it leaves half a token to the next hire or
// return, which it looks for so often. A listing that finds none for so long is given up.
const (
	spareTokens       = 1.5
	sparePollInterval = 100 * time.Millisecond
	spareTimeout      = 20 * time.Second
)

// admitPage waits for a token that nothing more urgent needs.
func (c *Client) admitPage(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, spareTimeout)
	defer cancel()
	for c.tokens.Burst() > 1 && c.tokens.Tokens() < spareTokens {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(sparePollInterval):
		}
	}
	return c.tokens.Wait(ctx) == nil
}

// Catalog reads the machine types.
func (c *Client) Catalog(ctx context.Context) core.CatalogResult {
	if !c.admit(ctx) {
		return core.CatalogResult{Outcome: core.OutcomeNotSent}
	}
	r := c.http.Do(ctx, callTimeout, http.MethodGet, "/catalog", nil)
	if r.Err != nil || r.Status != 200 {
		return core.CatalogResult{Outcome: core.OutcomeUnknown}
	}
	types, err := wire.DecodeCatalog(r.Body)
	if err != nil {
		return core.CatalogResult{Outcome: core.OutcomeUnknown}
	}
	return core.CatalogResult{Outcome: core.OutcomeOK, Types: types}
}

// Hosts lists all machines, page by page. Each page waits for its own token: a listing
// that was given up when the second page found none began anew for ever where the fleet
// had more pages than a second brings tokens.
func (c *Client) Hosts(ctx context.Context) core.HostsResult {
	var out core.HostsResult
	after := ""
	for {
		if !c.admitPage(ctx) {
			return core.HostsResult{Outcome: core.OutcomeNotSent}
		}
		path := "/hosts?Page=500"
		if after != "" {
			path += "&After=" + url.QueryEscape(after)
		}
		r := c.http.Do(ctx, callTimeout, http.MethodGet, path, nil)
		if r.Err != nil || r.Status != 200 {
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

// Rent rents machines.
func (c *Client) Rent(ctx context.Context, op core.RentHosts) core.RentResult {
	if !c.admit(ctx) {
		return core.RentResult{Outcome: core.OutcomeNotSent}
	}
	r := c.http.Do(ctx, callTimeout, http.MethodPost, "/hosts", wire.EncodeRentRequest(op))
	reply := wire.DecodeTxnReply(r.Body)
	switch {
	case r.Err != nil:
		return core.RentResult{Outcome: core.OutcomeUnknown}
	case r.Status == 200:
		hosts, err := wire.DecodeRented(r.Body)
		if err != nil {
			return core.RentResult{Outcome: core.OutcomeUnknown}
		}
		return core.RentResult{Outcome: core.OutcomeOK, Hosts: hosts}
	case r.Status == 503 && reply.Error == "no capacity", r.Status == 400:
		return core.RentResult{Outcome: core.OutcomeRefused}
	}
	return core.RentResult{Outcome: core.OutcomeNotSent}
}

// Return gives machines back.
func (c *Client) Return(ctx context.Context, hosts []string) core.ReturnResult {
	if !c.admit(ctx) {
		return core.ReturnResult{Outcome: core.OutcomeNotSent}
	}
	r := c.http.Do(ctx, callTimeout, http.MethodPost, "/hosts/return", wire.EncodeReturnRequest(hosts))
	if r.Err == nil && r.Status == 200 {
		return core.ReturnResult{Outcome: core.OutcomeOK}
	}
	return core.ReturnResult{Outcome: core.OutcomeUnknown}
}
