// Package peer exchanges messages between controllers.
//
// Messages are encoded with encoding/gob and sent over TCP. Each controller keeps one
// connection open to each of its peers and sends on that connection only, so two controllers
// use one connection in each direction. Delivery is not guaranteed: when a peer is slow, the
// oldest queued messages are dropped, and a broken connection loses the messages in flight.
// Messages that arrive on the same connection arrive in the order in which they were sent.
// Controllers of two successive versions can decode each other's messages (see messages.go).
// Link.Run and Serve return when their context is cancelled, after all their goroutines have
// stopped and all their connections are closed.
package peer

import (
	"context"
	"net"
	"time"
)

const (
	// writeTimeout is the time limit for writing one message or one acknowledgement.
	writeTimeout = 4 * time.Second

	// readIdleTimeout is how long a receiver waits for the next message before it closes the
	// connection. Controllers send gossip several times within this time, so a longer silence
	// means that the connection is no longer usable.
	readIdleTimeout = 10 * time.Second
)

const (
	// minMessageLimitBytes is the size limit of messages for a controller whose memory is
	// unknown or small.
	minMessageLimitBytes = 4 << 20

	// memoryToMessageRatio is the ratio of a controller's memory to the size limit of the
	// messages that it accepts.
	memoryToMessageRatio = 16

	bytesPerMB = 1 << 20
)

// MessageLimitBytes returns the size limit, in bytes, of the messages that a controller with
// the given memory accepts. The limit is not a constant because the gossip of a shard's owner
// grows with the number of jobs and with the number of host groups (see gobHostGroup).
func MessageLimitBytes(memoryMB float64) int {
	return max(int(memoryMB/memoryToMessageRatio*bytesPerMB), minMessageLimitBytes)
}

// hello is the first value on a connection. It identifies the sending controller by its label.
// Its field is encoded under its Go name and must keep that name.
type hello struct{ Label string }

// closeWithContext closes the connection when the context is cancelled or stop is called,
// whichever comes first.
func closeWithContext(ctx context.Context, conn net.Conn) (stop func()) {
	cancel := context.AfterFunc(ctx, func() { conn.Close() })
	return func() {
		cancel()
		conn.Close()
	}
}

// sleepContext waits until the delay has passed or the context is cancelled.
func sleepContext(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
