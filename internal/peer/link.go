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
	// queueLength is how many messages wait for a slow peer before the oldest are dropped.
	queueLength = 64

	dialTimeout           = time.Second
	reconnectDelay        = 200 * time.Millisecond
	defaultConfirmTimeout = 2500 * time.Millisecond

	// confirmChecks is how often within the timeout confirmations are looked at.
	confirmChecks = 5
)

// Link sends to one peer.
type Link struct {
	self, addr     string
	queue          chan core.Message
	confirmTimeout time.Duration // after which a connection with an unconfirmed message is given up
	log            *slog.Logger
}

// NewLink makes a link from the controller self to the one at addr. Run must be running for
// it to carry anything.
func NewLink(self, addr string, log *slog.Logger) *Link {
	return &Link{
		self:           self,
		addr:           addr,
		queue:          make(chan core.Message, queueLength),
		confirmTimeout: defaultConfirmTimeout,
		log:            log,
	}
}

// Send queues a message and never blocks. When the queue is full, the oldest message is
// dropped.
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

// Run carries messages until the context ends. It has ended all its goroutines when it
// returns.
func (l *Link) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.runConnection(ctx); err != nil {
			l.log.Debug("peer connection ended", "peer", l.addr, "err", err)
		}
		pause(ctx, reconnectDelay)
	}
}

// runConnection makes a connection and carries messages until it breaks or the context ends.
func (l *Link) runConnection(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	stop := closeWithContext(ctx, conn)
	defer stop()
	sender := newSender(conn)
	if err := sender.encoder.Encode(hello{l.self}); err != nil {
		return fmt.Errorf("hello: %w", err)
	}

	unconfirmed := &unconfirmedMessages{start: time.Now()}
	broken := make(chan error, 1)
	var reader sync.WaitGroup
	reader.Go(func() { broken <- unconfirmed.readConfirmations(conn) })
	defer func() {
		conn.Close() // ends the reader
		reader.Wait()
	}()

	check := time.NewTicker(l.confirmTimeout / confirmChecks)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-broken:
			return err
		case <-check.C:
			if unconfirmed.age() > l.confirmTimeout {
				return fmt.Errorf("no confirmation for %s", l.confirmTimeout)
			}
		case m := <-l.queue:
			unconfirmed.add()
			if err := sender.send(m); err != nil {
				return err
			}
		}
	}
}

// sender writes messages to a connection.
type sender struct {
	conn    net.Conn
	buffer  *bufio.Writer
	encoder *gob.Encoder
}

func newSender(conn net.Conn) *sender {
	buffer := bufio.NewWriter(conn)
	return &sender{conn: conn, buffer: buffer, encoder: gob.NewEncoder(buffer)}
}

func (s *sender) send(m core.Message) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(ioTimeout)); err != nil {
		return err
	}
	if err := s.encoder.Encode(encode(m)); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	if err := s.buffer.Flush(); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	return nil
}

// unconfirmedMessages counts the messages that were sent on a connection and not confirmed.
// The other side confirms each with a byte. Without that, messages would be lost on a
// connection that a network cut has made useless for as long as the kernel accepts them.
type unconfirmedMessages struct {
	start    time.Time
	count    atomic.Int64
	progress atomic.Int64 // time since start when the count was last 0 or went down
}

// add counts a message that is about to be sent.
func (u *unconfirmedMessages) add() {
	if u.count.Add(1) == 1 {
		u.progress.Store(int64(time.Since(u.start)))
	}
}

// age is for how long no confirmation has come though one is due. It is not the time since
// the last confirmation, since on a link that was idle the first message is unconfirmed for
// a moment after any pause.
func (u *unconfirmedMessages) age() time.Duration {
	if u.count.Load() <= 0 {
		return 0
	}
	return time.Since(u.start) - time.Duration(u.progress.Load())
}

// readConfirmations counts confirmations until the connection breaks.
func (u *unconfirmedMessages) readConfirmations(conn net.Conn) error {
	buf := make([]byte, queueLength)
	for {
		n, err := conn.Read(buf)
		u.progress.Store(int64(time.Since(u.start)))
		u.count.Add(int64(-n))
		if err != nil {
			return fmt.Errorf("confirmations: %w", err)
		}
	}
}
