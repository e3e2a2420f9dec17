// Package httpc is the HTTP client with which a controller calls all other programs.
//
// It keeps connections, bounds the time of each call and the size of each reply, never
// repeats a call or follows a redirect by itself, and says whether a failed call can have
// reached the server.
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

// maxBody is the largest reply that is read, in bytes.
const maxBody = 8 << 20

const (
	dialTimeout     = 1500 * time.Millisecond
	keepAlive       = 15 * time.Second
	idleConnTimeout = 60 * time.Second
	bufferBytes     = 4 << 10
)

// ErrTooLarge is the error of a reply that is larger than is read.
var ErrTooLarge = errors.New("answer too large")

// DialError is the error of a call for which no connection could be made, so that it has
// reached nobody.
type DialError struct {
	Addr string
	Err  error
}

func (e *DialError) Error() string { return e.Err.Error() }

func (e *DialError) Unwrap() error { return e.Err }

// Client calls servers, by default one at a fixed address.
type Client struct {
	base string
	http *http.Client
}

// New makes a client with at most conns connections to a host, and at most idle ones to all.
// With an empty address, paths are whole URLs.
func New(addr string, conns, idle int) *Client {
	base := ""
	if addr != "" {
		base = "http://" + addr
	}
	transport := &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		MaxIdleConns:        idle,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{base: base, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// dial makes a connection; its errors are DialErrors.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, &DialError{Addr: addr, Err: err}
	}
	return conn, nil
}

// Result is a reply, or why there is none.
type Result struct {
	Status  int
	Body    []byte
	Err     error
	NotSent bool // the call has reached nobody
}

// Do makes a call. A body is sent as JSON.
func (c *Client) Do(ctx context.Context, timeout time.Duration, method, path string, body []byte) Result {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := newRequest(ctx, method, c.base+path, body)
	if err != nil {
		return Result{Err: fmt.Errorf("request: %w", err), NotSent: true}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var dialErr *DialError
		return Result{Err: err, NotSent: errors.As(err, &dialErr)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return Result{Err: fmt.Errorf("answer: %w", err)}
	}
	if len(data) > maxBody {
		return Result{Status: resp.StatusCode, Err: ErrTooLarge}
	}
	return Result{Status: resp.StatusCode, Body: data}
}

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
		// Without GetBody the transport can't repeat the call. Whether to repeat it is
		// decided where its meaning is known.
		req.GetBody = nil
	}
	return req, nil
}
