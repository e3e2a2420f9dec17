package peer

import (
	"bufio"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"roadcleat/internal/core"
)

const (
	// maxConnsPerPeer allows for connections that a network cut has left open beside the one
	// in use.
	maxConnsPerPeer = 4

	// acceptRetryDelay is the pause after an error of Accept, such as too many open files.
	acceptRetryDelay = 50 * time.Millisecond
)

// ErrMessageTooLarge is the error of a connection that carries a message beyond the bound.
var ErrMessageTooLarge = errors.New("message too large")

// UnknownControllerError is the error of a connection from none of the other controllers.
type UnknownControllerError struct{ Label string }

func (e *UnknownControllerError) Error() string { return fmt.Sprintf("unknown controller %q", e.Label) }

// Serve accepts connections of the controllers with the labels given, and hands on their
// messages of up to maxMessage bytes; from is the sender's index in labels. It returns when
// the context ends and no message is being delivered any more.
func Serve(ctx context.Context, ln net.Listener, labels []string, maxMessage int,
	deliver func(from int, m core.Message), log *slog.Logger) {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	var receivers sync.WaitGroup
	defer receivers.Wait()
	slots := make(chan struct{}, maxConnsPerPeer*len(labels))
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return
		}
		if err != nil {
			pause(ctx, acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		receivers.Go(func() {
			defer func() { <-slots }()
			defer closeWithContext(ctx, conn)()
			if err := receive(conn, labels, maxMessage, deliver); err != nil {
				log.Debug("peer connection ended", "err", err)
			}
		})
	}
}

// boundedReader reads from a connection, but only so many bytes.
type boundedReader struct {
	conn net.Conn
	left int
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, ErrMessageTooLarge
	}
	n, err := b.conn.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// receive delivers and confirms the messages of a connection until it ends. Its end between
// two messages is no error.
func receive(conn net.Conn, labels []string, maxMessage int, deliver func(from int, m core.Message)) error {
	source := &boundedReader{conn: conn, left: maxMessage}
	decoder := gob.NewDecoder(bufio.NewReader(source))
	from, err := receiveHello(conn, decoder, labels)
	if err != nil {
		return err
	}
	for {
		source.left = maxMessage
		if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return err
		}
		var m gobMessage
		if err := decoder.Decode(&m); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("receive: %w", err)
		}
		deliver(from, decode(m))
		if err := confirm(conn); err != nil {
			return err
		}
	}
}

// receiveHello reads who sends: an index of labels.
func receiveHello(conn net.Conn, decoder *gob.Decoder, labels []string) (from int, err error) {
	if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	var h hello
	if err := decoder.Decode(&h); err != nil {
		return 0, fmt.Errorf("hello: %w", err)
	}
	from = slices.Index(labels, h.Label)
	if from < 0 {
		return 0, &UnknownControllerError{Label: h.Label}
	}
	return from, nil
}

// confirm tells the sender that a message was delivered.
func confirm(conn net.Conn) error {
	if err := conn.SetWriteDeadline(time.Now().Add(ioTimeout)); err != nil {
		return err
	}
	if _, err := conn.Write([]byte{1}); err != nil {
		return fmt.Errorf("confirm: %w", err)
	}
	return nil
}
