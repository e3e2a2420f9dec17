// Package peer carries messages between controllers.
//
// Messages are gob over TCP, on one kept connection in each direction. A message may be lost:
// when a peer is slow, the oldest queued ones are dropped. Those that arrive on one
// connection arrive in order. Controllers of two successive versions understand each other
// (messages.go). Link.Run and Serve end, with all their goroutines and connections, when
// their context does.
package peer

import (
	"context"
	"net"
	"time"
)

const (
	ioTimeout   = 4 * time.Second
	idleTimeout = 10 * time.Second
)

const (
	// minMessageBytes is the largest message of a controller whose memory is unknown or small.
	minMessageBytes = 4 << 20

	// memoryPerMessage is how many times the largest message must fit into the memory.
	memoryPerMessage = 16
)

// MessageBytes is the largest message that a controller with so much memory accepts. What
// owners gossip grows with the number of jobs and of machines that differ.
func MessageBytes(memoryMB float64) int {
	return max(int(memoryMB/memoryPerMessage*(1<<20)), minMessageBytes)
}

// hello is the first value on a connection; it says who sends.
type hello struct{ Label string }

// closeWithContext closes the connection when the context ends or stop is called.
func closeWithContext(ctx context.Context, conn net.Conn) (stop func()) {
	cancel := context.AfterFunc(ctx, func() { conn.Close() })
	return func() {
		cancel()
		conn.Close()
	}
}

// pause waits for a time, or less if the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
