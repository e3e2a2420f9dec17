package api

import (
	"net"
	"sync"
)

// limitedListener limits the number of open connections. It closes each connection beyond the
// limit immediately, so that the load balancer tries another controller.
type limitedListener struct {
	net.Listener
	slots      chan struct{} // holds one element for each open connection
	onRejected func()        // called for each connection that is closed because of the limit
}

// Accept waits for a connection and takes a slot for it. The slot is released when the
// connection is closed. Connections that arrive while no slot is free are closed.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: conn, slots: l.slots}, nil
		default:
			l.onRejected()
			conn.Close()
		}
	}
}

// isNearLimit reports whether more than two thirds of the slots are in use. Workers are then
// asked to close their connections: there may be more workers than slots, and users and health
// checks need free slots however many workers there are.
func (l *limitedListener) isNearLimit() bool { return l != nil && len(l.slots) > cap(l.slots)*2/3 }

// limitedConn is a connection that holds a slot of a limitedListener.
type limitedConn struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

// Close closes the connection. The first call releases its slot.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}
