package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Limits of a request to a controller.
const (
	requestTimeout = 5 * time.Second
	maxReplyBytes  = 8 << 20
)

// errMissingAddr is returned if the command line has no address of a controller.
var errMissingAddr = errors.New("--addr: must be HOST:PORT of a controller, got nothing")

// statusCodeError reports a reply with an HTTP status other than 200.
type statusCodeError struct {
	addr       string
	statusCode int
	text       string // body of the reply
}

func (e *statusCodeError) Error() string {
	return fmt.Sprintf("%s: expected HTTP status 200, got %d: %s", e.addr, e.statusCode, e.text)
}

// getJSON sends a GET request to a controller and decodes the JSON of its reply into target.
func getJSON(addr, path string, target any) error {
	if addr == "" {
		return errMissingAddr
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return fmt.Errorf("--addr: must be HOST:PORT of a controller, got %q", addr)
	}
	client := http.Client{Timeout: requestTimeout}
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		return fmt.Errorf("%s: sending the request: %w", addr, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("%s: reading the reply to GET %s: %w", addr, path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return &statusCodeError{addr: addr, statusCode: resp.StatusCode, text: strings.TrimSpace(string(body))}
	}
	if err := json.Unmarshal(body, target); err != nil {
		return fmt.Errorf("%s: expected JSON in the reply to GET %s: %w", addr, path, err)
	}
	return nil
}
