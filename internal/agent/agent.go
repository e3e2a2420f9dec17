// Package agent is the client of the workers on the machines.
//
// It tells its callers what became of each call: done, refused, not sent, or unknown, and the
// worker's status if the reply has one. It never repeats a call by itself.
package agent

import (
	"context"
	"net/http"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/httpc"
	"roadcleat/internal/wire"
)

const (
	callTimeout = 3 * time.Second

	// connsPerWorker is 1 since there may be more workers than sockets.
	connsPerWorker = 1
)

// Client calls workers.
type Client struct{ http *httpc.Client }

// New makes a client that keeps at most so many idle connections.
func New(idle int) *Client { return &Client{httpc.New("", connsPerWorker, idle)} }

// SendCommands sends commands to a worker, which refuses those of a former owner or for
// another incarnation.
func (c *Client) SendCommands(ctx context.Context, op core.SendCommands) core.WorkerResult {
	return c.request(ctx, http.MethodPost, op.Address, wire.PathCommands, wire.EncodeCommands(op))
}

// ReadStatus asks a worker for its status.
func (c *Client) ReadStatus(ctx context.Context, addr string) core.WorkerResult {
	return c.request(ctx, http.MethodGet, addr, wire.PathWorkerStatus, nil)
}

func (c *Client) request(ctx context.Context, method, addr, path string, body []byte) core.WorkerResult {
	r := c.http.Do(ctx, callTimeout, method, "http://"+addr+path, body)
	switch {
	case r.NotSent:
		return core.WorkerResult{Outcome: core.OutcomeNotSent}
	case r.Err != nil:
		return core.WorkerResult{Outcome: core.OutcomeUnknown}
	}
	status, err := wire.DecodeWorkerStatus(r.Body)
	if err != nil {
		status = nil // the outcome counts also without a status
	}
	switch r.Status {
	case http.StatusOK:
		return core.WorkerResult{Outcome: core.OutcomeOK, Status: status}
	case http.StatusBadRequest, http.StatusConflict:
		return core.WorkerResult{Outcome: core.OutcomeRefused, Status: status}
	}
	return core.WorkerResult{Outcome: core.OutcomeUnknown}
}
