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
	// maxConnsPerPeer bounds the number of open connections, as a multiple of the number of
	// peers. It is above 1 because a network cut can leave broken connections open beside the
	// connection in use.
	maxConnsPerPeer = 4

	// acceptRetryDelay is the delay before Accept is called again after it returned an error,
	// such as too many open files.
	acceptRetryDelay = 50 * time.Millisecond
)

// ErrMessageTooLarge is the error of a connection on which a message exceeds the size limit.
var ErrMessageTooLarge = errors.New("peer message exceeds the size limit")

// UnknownControllerError is the error of a connection whose hello contains a label that does
// not belong to any of the configured peers.
type UnknownControllerError struct{ Label string }

func (e *UnknownControllerError) Error() string {
	return fmt.Sprintf("hello from unknown controller %q", e.Label)
}

// Serve accepts connections from the controllers whose labels are in peerLabels and calls
// deliver for each of their messages of up to maxMessageBytes; peerIndex is the index of the
// sender's label in peerLabels. Connections from different peers deliver concurrently. Serve
// returns after the context is cancelled and every call of deliver has returned.
func Serve(ctx context.Context, listener net.Listener, peerLabels []string, maxMessageBytes int,
	deliver func(peerIndex int, m core.Message), log *slog.Logger) {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	var receivers sync.WaitGroup
	defer receivers.Wait()
	slots := make(chan struct{}, maxConnsPerPeer*len(peerLabels))
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return
		}
		if err != nil {
			sleepContext(ctx, acceptRetryDelay)
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
			if err := receiveMessages(conn, peerLabels, maxMessageBytes, deliver); err != nil {
				log.Debug("connection from peer closed", "err", err)
			}
		})
	}
}

// limitedReader reads at most remainingBytes from a connection and then fails with
// ErrMessageTooLarge. The receiver resets remainingBytes before each message.
type limitedReader struct {
	conn           net.Conn
	remainingBytes int
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remainingBytes <= 0 {
		return 0, ErrMessageTooLarge
	}
	n, err := r.conn.Read(p[:min(len(p), r.remainingBytes)])
	r.remainingBytes -= n
	return n, err
}

// receiveMessages delivers and acknowledges the messages of a connection until the peer closes
// it or an error occurs. It returns nil if the peer closes the connection between two messages.
func receiveMessages(conn net.Conn, peerLabels []string, maxMessageBytes int, deliver func(peerIndex int, m core.Message)) error {
	reader := &limitedReader{conn: conn, remainingBytes: maxMessageBytes}
	decoder := gob.NewDecoder(bufio.NewReader(reader))
	peerIndex, err := receiveHello(conn, decoder, peerLabels)
	if err != nil {
		return err
	}
	for {
		reader.remainingBytes = maxMessageBytes
		if err := conn.SetReadDeadline(time.Now().Add(readIdleTimeout)); err != nil {
			return err
		}
		var m gobMessage
		if err := decoder.Decode(&m); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("receive message: %w", err)
		}
		deliver(peerIndex, decodeMessage(m))
		if err := writeAck(conn); err != nil {
			return err
		}
	}
}

// receiveHello reads the hello of a connection and returns the index of the sender's label in
// peerLabels.
func receiveHello(conn net.Conn, decoder *gob.Decoder, peerLabels []string) (peerIndex int, err error) {
	if err := conn.SetReadDeadline(time.Now().Add(readIdleTimeout)); err != nil {
		return 0, err
	}
	var h hello
	if err := decoder.Decode(&h); err != nil {
		return 0, fmt.Errorf("receive hello: %w", err)
	}
	peerIndex = slices.Index(peerLabels, h.Label)
	if peerIndex < 0 {
		return 0, &UnknownControllerError{Label: h.Label}
	}
	return peerIndex, nil
}

// writeAck acknowledges a delivered message to its sender with one byte.
func writeAck(conn net.Conn) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := conn.Write([]byte{1}); err != nil {
		return fmt.Errorf("write acknowledgement: %w", err)
	}
	return nil
}
