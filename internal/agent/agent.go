// Package agent is the client of the workers on the machines.
//
// The client reports the outcome of each call (carried out, refused, not sent, or unknown)
// and the worker's status if the reply contains one. It never retries a call.
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

	// maxConnectionsPerWorker is 1 because a controller may have more workers than sockets.
	maxConnectionsPerWorker = 1
)

// Client calls workers at the addresses that they report.
type Client struct{ httpClient *httpc.Client }

// New returns a client that keeps at most maxIdleConnections idle connections to all workers
// together.
func New(maxIdleConnections int) *Client {
	return &Client{httpc.New("", maxConnectionsPerWorker, maxIdleConnections)}
}

// SendCommands sends commands to a worker. The worker refuses them if the fencing token is one
// of a former owner, or if they are for another incarnation.
func (c *Client) SendCommands(ctx context.Context, op core.SendCommands) core.WorkerResult {
	return c.call(ctx, http.MethodPost, op.Address, wire.PathCommands, wire.EncodeCommands(op))
}

// ReadStatus reads a worker's status.
func (c *Client) ReadStatus(ctx context.Context, addr string) core.WorkerResult {
	return c.call(ctx, http.MethodGet, addr, wire.PathWorkerStatus, nil)
}

// call calls a worker and derives the outcome from the HTTP status of its reply.
func (c *Client) call(ctx context.Context, method, addr, path string, body []byte) core.WorkerResult {
	response := c.httpClient.Do(ctx, callTimeout, method, "http://"+addr+path, body)
	switch {
	case response.NotSent:
		return core.WorkerResult{Outcome: core.OutcomeNotSent}
	case response.Err != nil:
		return core.WorkerResult{Outcome: core.OutcomeUnknown}
	}
	status, err := wire.DecodeWorkerStatus(response.Body)
	if err != nil {
		status = nil // the outcome is valid without a status
	}
	switch response.Status {
	case http.StatusOK:
		return core.WorkerResult{Outcome: core.OutcomeOK, Status: status}
	case http.StatusBadRequest, http.StatusConflict:
		return core.WorkerResult{Outcome: core.OutcomeRefused, Status: status}
	}
	return core.WorkerResult{Outcome: core.OutcomeUnknown}
}
