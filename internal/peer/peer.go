// Package peer carries messages between controllers: gob over TCP, one kept
// connection in each direction, newest message first to go when a peer is
// slow. A message may be lost; nothing relies on its arrival.
package peer

import (
	"bufio"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"roadcleat/internal/core"
)

const (
	queueLength     = 64
	maxConnsPerPeer = 4 // from each other controller: one that counts, and ones that a cut has left open
	ioTimeout       = 4 * time.Second
	idleTimeout     = 10 * time.Second

	defaultConfirmTimeout = 2500 * time.Millisecond
)

// minMessageBytes is the largest message where the settings name no memory, or little.
const minMessageBytes = 4 << 20

// MessageBytes is the largest message taken by a controller with so much memory: what
// owners tell grows with jobs and with machines that differ.
func MessageBytes(memoryMB float64) int {
	return max(int(memoryMB/16*(1<<20)), minMessageBytes)
}

// hello opens a connection.
type hello struct{ Label string }

// Link sends to one peer. Send never blocks.
type Link struct {
	self, addr     string
	queue          chan core.Message
	confirmTimeout time.Duration // with a message that is not confirmed
	log            *slog.Logger
}

// NewLink makes a link; Run must be running for it to carry anything.
func NewLink(self, addr string, log *slog.Logger) *Link {
	return &Link{self: self, addr: addr, queue: make(chan core.Message, queueLength), confirmTimeout: defaultConfirmTimeout, log: log}
}

// Send queues a message; when the queue is full the oldest one is dropped.
func (l *Link) Send(m core.Message) {
	for {
		select {
		case l.queue <- m:
			return
		default:
		}
		select {
		case <-l.queue:
		default:
		}
	}
}

// Run carries messages until the context ends.
func (l *Link) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.runConnection(ctx); err != nil {
			l.log.Debug("peer connection ended", "peer", l.addr, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (l *Link) runConnection(ctx context.Context) error {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	defer conn.Close()
	w := bufio.NewWriter(conn)
	enc := gob.NewEncoder(w)
	if err := enc.Encode(hello{l.self}); err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	// The other side confirms each message with a byte. Without that, a
	// connection that a cut has made useless would swallow messages for as
	// long as the kernel takes them.
	var unconfirmed atomic.Int64
	var progress atomic.Int64 // when it last had none, or a byte came, in ms
	start := time.Now()
	now := func() int64 { return time.Since(start).Milliseconds() }
	broken := make(chan error, 1)
	go func() {
		buf := make([]byte, 64)
		for {
			n, err := conn.Read(buf)
			progress.Store(now())
			unconfirmed.Add(int64(-n))
			if err != nil {
				broken <- fmt.Errorf("confirmations: %w", err)
				return
			}
		}
	}()
	look := time.NewTicker(l.confirmTimeout / 5)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-broken:
			return err
		case <-look.C:
			if unconfirmed.Load() > 0 && now()-progress.Load() > l.confirmTimeout.Milliseconds() {
				return fmt.Errorf("no confirmation for %s", l.confirmTimeout)
			}
		case m := <-l.queue:
			if unconfirmed.Add(1) == 1 {
				progress.Store(now())
			}
			if err := conn.SetWriteDeadline(time.Now().Add(ioTimeout)); err != nil {
				return err
			}
			if err := enc.Encode(encode(m)); err != nil {
				return fmt.Errorf("send: %w", err)
			}
			if err := w.Flush(); err != nil {
				return fmt.Errorf("send: %w", err)
			}
		}
	}
}

// Serve takes connections of other controllers and hands on their messages of up to so
// many bytes.
func Serve(ctx context.Context, ln net.Listener, labels []string, maxMessage int, deliver func(from int, m core.Message), log *slog.Logger) {
	slots := make(chan struct{}, maxConnsPerPeer*len(labels))
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		go func() {
			defer func() { conn.Close(); <-slots }()
			if err := receive(conn, labels, maxMessage, deliver); err != nil {
				log.Debug("peer connection ended", "err", err)
			}
		}()
	}
}

// bounded lets a connection carry only so much per message.
type bounded struct {
	conn net.Conn
	left int
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, fmt.Errorf("message too large")
	}
	n, err := b.conn.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

func receive(conn net.Conn, labels []string, maxMessage int, deliver func(int, core.Message)) error {
	src := &bounded{conn: conn, left: maxMessage}
	dec := gob.NewDecoder(bufio.NewReader(src))
	if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return err
	}
	var h hello
	if err := dec.Decode(&h); err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	from := -1
	for i, l := range labels {
		if l == h.Label {
			from = i
		}
	}
	if from < 0 {
		return fmt.Errorf("unknown controller %q", h.Label)
	}
	for {
		src.left = maxMessage
		if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return err
		}
		var m gobMessage
		if err := dec.Decode(&m); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("receive: %w", err)
		}
		deliver(from, decode(m))
		if err := conn.SetWriteDeadline(time.Now().Add(ioTimeout)); err != nil {
			return err
		}
		if _, err := conn.Write([]byte{1}); err != nil {
			return fmt.Errorf("confirm: %w", err)
		}
	}
}
