// Package httpc is the one way in which this service calls others over HTTP:
// kept connections, a timeout on everything, bodies with a bound, and a clear
// word on whether a call can have reached the other side.
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

// maxBody bounds what is read of an answer.
const maxBody = 8 << 20

// ErrTooLarge says that an answer was larger than what is read of one.
var ErrTooLarge = errors.New("answer too large")

// Client calls servers, by default one at a fixed address.
type Client struct {
	base string
	http *http.Client
}

// New makes a client with at most conns connections to a host, and at most idle
// ones to all. With an empty address, paths are whole URLs.
func New(addr string, conns, idle int) *Client {
	base := ""
	if addr != "" {
		base = "http://" + addr
	}
	dialer := &net.Dialer{Timeout: 1500 * time.Millisecond, KeepAlive: 15 * time.Second}
	return &Client{base: base, http: &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, addr)
				if err != nil {
					return nil, &dialError{err}
				}
				return conn, nil
			},
			MaxConnsPerHost: conns, MaxIdleConnsPerHost: conns, MaxIdleConns: idle,
			IdleConnTimeout: 60 * time.Second, DisableCompression: true,
			ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// dialError marks failures before anything was sent.
type dialError struct{ error }

func (e *dialError) Unwrap() error { return e.error }

// Result is an answer, or why there is none.
type Result struct {
	Status  int
	Body    []byte
	Err     error
	NotSent bool // no connection came about: the call has reached nobody
}

// Do makes a call.
func (c *Client) Do(ctx context.Context, timeout time.Duration, method, path string, body []byte) Result {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var rd io.Reader
	if body != nil {
		rd = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, rd)
	if err != nil {
		return Result{Err: fmt.Errorf("request: %w", err), NotSent: true}
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
		if method != http.MethodGet {
			// The transport must never repeat a call by itself: whether to
			// repeat is decided where the call's meaning is known.
			req.GetBody = nil
		}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var d *dialError
		return Result{Err: err, NotSent: errors.As(err, &d)}
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
