package peer

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

func TestMessagesArriveAndALinkComesBack(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got := make(chan core.Message, 100)
	serve := func(addr string) (net.Listener, context.CancelFunc) {
		ln, err := net.Listen("tcp", addr)
		require.NoError(t, err)
		sctx, stop := context.WithCancel(ctx)
		go Serve(sctx, ln, []string{"n1", "n2"}, minMessageBytes, func(from int, m core.Message) {
			assert.Equal(t, 1, from)
			got <- m
		}, log)
		return ln, stop
	}
	ln, stop := serve("127.0.0.1:0")
	addr := ln.Addr().String()
	l := NewLink("n2", addr, log)
	go l.Run(ctx)
	l.Send(core.Message{Epoch: 1, Jobs: []core.Item{{Key: "job/1", Value: []byte("{}"), Revision: 4}}})
	m := <-got
	assert.Equal(t, uint64(4), m.Jobs[0].Revision)

	stop()
	time.Sleep(50 * time.Millisecond)
	_, stop = serve(addr)
	defer stop()
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
	l := NewLink("n1", "127.0.0.1:1", slog.New(slog.NewTextHandler(io.Discard, nil)))
	for i := uint64(0); i < queueLength+5; i++ {
		l.Send(core.Message{Epoch: i})
	}
	assert.Equal(t, uint64(5), (<-l.queue).Epoch)
}

func TestALinkThatIsConfirmedStaysAndAMuteOneIsGivenUp(t *testing.T) {
	// Once the age of a confirmation was looked at right after sending, when
	// there is always one outstanding: every link broke every few seconds.
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, mute := range []bool{false, true} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		conns := make(chan net.Conn, 100)
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				conns <- conn
				if !mute {
					go func() { _ = receive(conn, []string{"n2"}, minMessageBytes, func(int, core.Message) {}) }()
				}
			}
		}()
		l := NewLink("n2", ln.Addr().String(), log)
		l.confirmTimeout = 500 * time.Millisecond
		go l.Run(ctx)
		for range 40 {
			l.Send(core.Message{Epoch: 1})
			time.Sleep(40 * time.Millisecond)
		}
		if mute {
			assert.Greater(t, len(conns), 1)
		} else {
			assert.Len(t, conns, 1)
		}
		ln.Close()
	}
}
