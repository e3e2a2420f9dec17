// Package agent is the client of the workers on the machines.
package agent

import (
	"context"
	"net/http"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/httpc"
	"roadcleat/internal/wire"
)

// Client sends orders straight to workers.
type Client struct{ http *httpc.Client }

// New makes a client that keeps at most so many idle connections.
func New(idle int) *Client { return &Client{httpc.New("", 1, idle)} }

const timeout = 3 * time.Second

// Orders sends orders to a worker.
func (c *Client) Orders(ctx context.Context, op core.OrdersOp) core.WorkerResult {
	return c.ask(ctx, http.MethodPost, "http://"+op.Addr+"/orders", wire.EncodeOrders(op))
}

// Show asks a worker for its report.
func (c *Client) Show(ctx context.Context, addr string) core.WorkerResult {
	return c.ask(ctx, http.MethodGet, "http://"+addr+"/show", nil)
}

func (c *Client) ask(ctx context.Context, method, url string, body []byte) core.WorkerResult {
	r := c.http.Do(ctx, timeout, method, url, body)
	switch {
	case r.NotSent:
		return core.WorkerResult{Outcome: core.NotSent}
	case r.Err != nil:
		return core.WorkerResult{Outcome: core.Unknown}
	}
	rep, err := wire.DecodeReport(r.Body)
	if err != nil {
		rep = nil
	}
	switch r.Status {
	case 200:
		return core.WorkerResult{Outcome: core.OK, Report: rep}
	case 400, 409:
		return core.WorkerResult{Outcome: core.Refused, Report: rep}
	}
	return core.WorkerResult{Outcome: core.Unknown}
}
