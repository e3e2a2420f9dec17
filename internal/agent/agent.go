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

const callTimeout = 3 * time.Second

// SendCommands sends orders to a worker.
func (c *Client) SendCommands(ctx context.Context, op core.SendCommands) core.WorkerResult {
	return c.request(ctx, http.MethodPost, "http://"+op.Address+"/orders", wire.EncodeCommands(op))
}

// ReadStatus asks a worker for its report.
func (c *Client) ReadStatus(ctx context.Context, addr string) core.WorkerResult {
	return c.request(ctx, http.MethodGet, "http://"+addr+"/show", nil)
}

func (c *Client) request(ctx context.Context, method, url string, body []byte) core.WorkerResult {
	r := c.http.Do(ctx, callTimeout, method, url, body)
	switch {
	case r.NotSent:
		return core.WorkerResult{Outcome: core.OutcomeNotSent}
	case r.Err != nil:
		return core.WorkerResult{Outcome: core.OutcomeUnknown}
	}
	status, err := wire.DecodeWorkerStatus(r.Body)
	if err != nil {
		status = nil
	}
	switch r.Status {
	case 200:
		return core.WorkerResult{Outcome: core.OutcomeOK, Status: status}
	case 400, 409:
		return core.WorkerResult{Outcome: core.OutcomeRefused, Status: status}
	}
	return core.WorkerResult{Outcome: core.OutcomeUnknown}
}
