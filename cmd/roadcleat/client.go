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

const (
	requestTimeout = 5 * time.Second
	maxReply       = 8 << 20
)

// errNoAddr is the error of a command without the address of a controller.
var errNoAddr = errors.New("--addr: HOST:PORT of a controller is needed")

// replyError is the error of a reply that is no success.
type replyError struct {
	addr   string
	status int
	text   string
}

func (e *replyError) Error() string {
	return fmt.Sprintf("%s answers %d: %s", e.addr, e.status, e.text)
}

// get asks a controller and decodes its reply.
func get(addr, path string, into any) error {
	if addr == "" {
		return errNoAddr
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return fmt.Errorf("--addr: %q is not HOST:PORT", addr)
	}
	client := http.Client{Timeout: requestTimeout}
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		return fmt.Errorf("%s can't be reached: %w", addr, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return fmt.Errorf("%s: %w", addr, err)
	}
	if resp.StatusCode != http.StatusOK {
		return &replyError{addr: addr, status: resp.StatusCode, text: strings.TrimSpace(string(body))}
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%s: not an answer of roadcleat: %w", addr, err)
	}
	return nil
}
