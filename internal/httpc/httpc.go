// Package httpc is the HTTP client with which a controller calls the state service, the cloud
// and the workers.
//
// The client reuses connections, limits the duration of each call and the size of each reply,
// never retries a call that may have an effect, follows no redirect, and reports whether a
// failed call may have reached the server.
package httpc

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// maxReplyBytes is the size of the largest reply body that is read.
const maxReplyBytes = 8 << 20

const (
	dialTimeout           = 1500 * time.Millisecond
	keepAliveInterval     = 15 * time.Second
	idleConnectionTimeout = 60 * time.Second
	connectionBufferBytes = 4 << 10
)

// ErrReplyTooLarge is the error of a call whose reply body exceeds maxReplyBytes.
var ErrReplyTooLarge = errors.New("reply body exceeds 8 MiB")

// DialError is the error of a call for which no connection could be established. The call has
// certainly not reached the server.
type DialError struct {
	Address string
	Err     error
}

func (e *DialError) Error() string { return e.Err.Error() }

func (e *DialError) Unwrap() error { return e.Err }

// Client calls the server at a fixed address, or any server if it has no base URL.
type Client struct {
	baseURL    string // prefix of all paths; empty if paths are whole URLs
	httpClient *http.Client
}

// New returns a client with at most maxConnectionsPerHost connections to a host, and at most
// maxIdleConnections idle connections to all hosts together. If addr is empty, the paths given
// to Do are whole URLs.
func New(addr string, maxConnectionsPerHost, maxIdleConnections int) *Client {
	baseURL := ""
	if addr != "" {
		baseURL = "http://" + addr
	}
	transport := &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     maxConnectionsPerHost,
		MaxIdleConnsPerHost: maxConnectionsPerHost,
		MaxIdleConns:        maxIdleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
		ReadBufferSize:      connectionBufferBytes,
		WriteBufferSize:     connectionBufferBytes,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{baseURL: baseURL, httpClient: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// dial establishes a connection. Its errors have the type *DialError.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, &DialError{Address: addr, Err: err}
	}
	return conn, nil
}

// Result is the reply to a call, or the error if there is no complete reply.
type Result struct {
	Status  int
	Body    []byte
	Err     error
	NotSent bool // the call has certainly not reached the server
}

// Do makes a call and waits for its reply, at most for the timeout. A body is sent with the
// content type of JSON.
func (c *Client) Do(ctx context.Context, timeout time.Duration, method, path string, body []byte) Result {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := newRequest(ctx, method, c.baseURL+path, body)
	if err != nil {
		return Result{Err: fmt.Errorf("invalid request: %w", err), NotSent: true}
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		var dialErr *DialError
		return Result{Err: err, NotSent: errors.As(err, &dialErr)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return Result{Err: fmt.Errorf("reading the reply body: %w", err)}
	}
	if len(data) > maxReplyBytes {
		return Result{Status: resp.StatusCode, Err: ErrReplyTooLarge}
	}
	return Result{Status: resp.StatusCode, Body: data}
}

// newRequest builds a request. Only a GET can be resent by the transport, which does so when a
// reused connection breaks; a GET has no effect at the server.
func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if method != http.MethodGet {
		// Without GetBody the transport can't retry the call by itself. Whether a retry is safe
		// depends on the operation, so the caller decides it.
		req.GetBody = nil
	}
	return req, nil
}
