package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

func discardLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func listen(t *testing.T, addr string) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln
}

// start runs f until the context that it is given is cancelled by stop, which returns when f
// has. The test fails if f does not return.
func start(t *testing.T, f func(ctx context.Context)) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f(ctx)
	}()
	stop = func() {
		cancel()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Error("did not end with its context")
		}
	}
	t.Cleanup(stop)
	return stop
}

func TestMessagesArriveAndALinkReconnects(t *testing.T) {
	got := make(chan core.Message, 100)
	serve := func(ln net.Listener) (stop func()) {
		return start(t, func(ctx context.Context) {
			Serve(ctx, ln, []string{"n1", "n2"}, minMessageBytes, func(from int, m core.Message) {
				assert.Equal(t, 1, from)
				got <- m
			}, discardLog())
		})
	}
	ln := listen(t, "127.0.0.1:0")
	addr := ln.Addr().String()
	stop := serve(ln)
	l := NewLink("n2", addr, discardLog())
	start(t, l.Run)
	l.Send(core.Message{Epoch: 1, Jobs: []core.Item{{Key: "job/1", Value: []byte("{}"), Revision: 4}}})
	m := <-got
	assert.Equal(t, uint64(4), m.Jobs[0].Revision)

	stop()
	serve(listen(t, addr))
	require.Eventually(t, func() bool {
		l.Send(core.Message{Epoch: 2})
		select {
		case m := <-got:
			return m.Epoch == 2
		default:
			return false
		}
	}, 15*time.Second, 100*time.Millisecond)
}

func TestAFullQueueDropsTheOldest(t *testing.T) {
	l := NewLink("n1", "127.0.0.1:1", discardLog())
	for i := uint64(0); i < queueLength+5; i++ {
		l.Send(core.Message{Epoch: i})
	}
	assert.Equal(t, uint64(5), (<-l.queue).Epoch)
}

func TestAConfirmedLinkStaysAndAnUnconfirmedOneIsGivenUp(t *testing.T) {
	// A confirmation is outstanding right after every sending, so its mere absence must not
	// end a link.
	for name, confirms := range map[string]bool{"confirmed": true, "unconfirmed": false} {
		t.Run(name, func(t *testing.T) {
			ln := listen(t, "127.0.0.1:0")
			conns := make(chan net.Conn, 100)
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					conns <- conn
					if confirms {
						go func() { _ = receive(conn, []string{"n2"}, minMessageBytes, func(int, core.Message) {}) }()
					}
				}
			}()
			l := NewLink("n2", ln.Addr().String(), discardLog())
			l.confirmTimeout = 500 * time.Millisecond
			start(t, l.Run)
			pace := time.NewTicker(40 * time.Millisecond)
			defer pace.Stop()
			for range 40 {
				l.Send(core.Message{Epoch: 1})
				<-pace.C
			}
			if confirms {
				assert.Len(t, conns, 1)
			} else {
				assert.Greater(t, len(conns), 1)
			}
			ln.Close()
			for len(conns) > 0 {
				(<-conns).Close()
			}
		})
	}
}

func TestALinkEndsWithItsContextWhileAPeerReadsNothing(t *testing.T) {
	ln := listen(t, "127.0.0.1:0")
	l := NewLink("n2", ln.Addr().String(), discardLog())
	l.confirmTimeout = time.Hour
	stop := start(t, l.Run)
	conn, err := ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	large := core.Message{Jobs: []core.Item{{Key: "job/1", Value: make([]byte, 16<<20)}}}
	l.Send(large)
	require.Eventually(t, func() bool { return len(l.queue) == 0 }, 10*time.Second, 5*time.Millisecond)
	began := time.Now()
	stop()
	assert.Less(t, time.Since(began), ioTimeout/2, "a blocked write ends with the context")
}

func TestServeEndsOpenConnectionsWithItsContext(t *testing.T) {
	ln := listen(t, "127.0.0.1:0")
	stop := start(t, func(ctx context.Context) {
		Serve(ctx, ln, []string{"n2"}, minMessageBytes, func(int, core.Message) {}, discardLog())
	})
	conn, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	encoder := gob.NewEncoder(conn)
	require.NoError(t, encoder.Encode(hello{"n2"}))
	require.NoError(t, encoder.Encode(encode(core.Message{Epoch: 1})))
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(idleTimeout/2)))
	_, err = io.ReadFull(conn, make([]byte, 1))
	require.NoError(t, err, "the connection is being served")
	stop()
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

func TestConnectionsThatBreakTheRulesEndWithTypedErrors(t *testing.T) {
	receiveFrom := func(stream []byte, maxMessage int) error {
		here, there := net.Pipe()
		t.Cleanup(func() { here.Close() })
		go func() {
			_, _ = there.Write(stream)
			there.Close()
		}()
		return receive(here, []string{"n1"}, maxMessage, func(int, core.Message) {})
	}
	var unknown *UnknownControllerError
	require.ErrorAs(t, receiveFrom(sentBy(t, core.Message{Epoch: 1}), minMessageBytes), &unknown)
	assert.Equal(t, "n2", unknown.Label)

	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	require.NoError(t, encoder.Encode(hello{"n1"}))
	require.NoError(t, encoder.Encode(encode(core.Message{Jobs: []core.Item{{Value: make([]byte, 100_000)}}})))
	assert.ErrorIs(t, receiveFrom(stream.Bytes(), 50_000), ErrMessageTooLarge)
}
