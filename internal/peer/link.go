package peer

import (
	"bufio"
	"context"
	"encoding/gob"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"roadcleat/internal/core"
)

const (
	// maxQueuedMessages is the number of messages that may be queued for a slow peer. Beyond
	// it the oldest message is dropped.
	maxQueuedMessages = 64

	dialTimeout    = time.Second
	reconnectDelay = 200 * time.Millisecond

	// defaultAckTimeout is how long an acknowledgement may be outstanding before a link
	// closes its connection and makes a new one.
	defaultAckTimeout = 2500 * time.Millisecond

	// ackChecksPerTimeout is the number of times within the acknowledgement timeout that a
	// link checks for overdue acknowledgements.
	ackChecksPerTimeout = 5
)

// Link sends messages to one peer over a connection that it re-establishes when it breaks.
type Link struct {
	localLabel, peerAddr string
	queue                chan core.Message // messages not yet written to a connection
	ackTimeout           time.Duration     // closes a connection whose acknowledgements are overdue
	log                  *slog.Logger
}

// NewLink returns a link from the controller with the label localLabel to the peer that
// listens on peerAddr. The link sends queued messages only while Run is running.
func NewLink(localLabel, peerAddr string, log *slog.Logger) *Link {
	return &Link{
		localLabel: localLabel,
		peerAddr:   peerAddr,
		queue:      make(chan core.Message, maxQueuedMessages),
		ackTimeout: defaultAckTimeout,
		log:        log,
	}
}

// Send queues a message and never blocks. When the queue is full, it drops the oldest queued
// message to make space for the new one.
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

// Run sends queued messages until the context is cancelled and reconnects after each failure.
// All goroutines that it started have stopped when it returns.
func (l *Link) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.runConnection(ctx); err != nil {
			l.log.Debug("connection to peer failed or was closed", "peer", l.peerAddr, "err", err)
		}
		sleepContext(ctx, reconnectDelay)
	}
}

// runConnection connects to the peer and sends queued messages until the connection breaks, an
// acknowledgement is overdue or the context is cancelled. It returns the reason as an error.
func (l *Link) runConnection(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", l.peerAddr)
	if err != nil {
		return fmt.Errorf("connect to peer: %w", err)
	}
	stop := closeWithContext(ctx, conn)
	defer stop()
	sender := newMessageSender(conn)
	if err := sender.encoder.Encode(hello{l.localLabel}); err != nil {
		return fmt.Errorf("send hello: %w", err)
	}

	unacked := &unackedMessages{startTime: time.Now()}
	readErr := make(chan error, 1)
	var ackReader sync.WaitGroup
	ackReader.Go(func() { readErr <- unacked.readAcks(conn) })
	defer func() {
		conn.Close() // makes readAcks return
		ackReader.Wait()
	}()

	ackCheck := time.NewTicker(l.ackTimeout / ackChecksPerTimeout)
	defer ackCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-readErr:
			return err
		case <-ackCheck.C:
			if unacked.ackDelay() > l.ackTimeout {
				return fmt.Errorf("no acknowledgement from the peer for %s", l.ackTimeout)
			}
		case m := <-l.queue:
			unacked.add()
			if err := sender.send(m); err != nil {
				return err
			}
		}
	}
}

// messageSender encodes messages and writes them to a connection. All messages of a connection
// pass through one gob encoder, because gob describes a type only once in each stream.
type messageSender struct {
	conn    net.Conn
	buffer  *bufio.Writer
	encoder *gob.Encoder
}

func newMessageSender(conn net.Conn) *messageSender {
	buffer := bufio.NewWriter(conn)
	return &messageSender{conn: conn, buffer: buffer, encoder: gob.NewEncoder(buffer)}
}

// send writes one message and flushes the buffer.
func (s *messageSender) send(m core.Message) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := s.encoder.Encode(encodeMessage(m)); err != nil {
		return fmt.Errorf("send message: %w", err)
	}
	if err := s.buffer.Flush(); err != nil {
		return fmt.Errorf("send message: %w", err)
	}
	return nil
}

// unackedMessages counts the messages of one connection that were sent and not acknowledged.
// The receiver acknowledges each message with one byte. The acknowledgements detect a
// connection that a network cut has made unusable: on such a connection writes keep succeeding
// until the kernel's send buffer is full, and all messages written until then are lost.
type unackedMessages struct {
	startTime time.Time
	count     atomic.Int64

	// lastProgress is the time of the last acknowledgement, or the time at which the count
	// last rose above 0 if that was later. It is a time.Duration since startTime.
	lastProgress atomic.Int64
}

// add counts a message that is about to be sent.
func (u *unackedMessages) add() {
	if u.count.Add(1) == 1 {
		u.lastProgress.Store(int64(time.Since(u.startTime)))
	}
}

// ackDelay returns for how long an acknowledgement has been outstanding without any arriving,
// or 0 if every message is acknowledged. It is not the time since the last acknowledgement:
// the first message after an idle period is always unacknowledged for a short time, and the
// idle period must not count towards the timeout.
func (u *unackedMessages) ackDelay() time.Duration {
	if u.count.Load() <= 0 {
		return 0
	}
	return time.Since(u.startTime) - time.Duration(u.lastProgress.Load())
}

// readAcks reads acknowledgements and subtracts them from the count until the connection breaks.
func (u *unackedMessages) readAcks(conn net.Conn) error {
	acks := make([]byte, maxQueuedMessages)
	for {
		n, err := conn.Read(acks)
		u.lastProgress.Store(int64(time.Since(u.startTime)))
		u.count.Add(int64(-n))
		if err != nil {
			return fmt.Errorf("read acknowledgements: %w", err)
		}
	}
}
