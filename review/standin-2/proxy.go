package main

import (
	"net"
	"sync"
	"time"
)

// peerAddr is the address at which one node reaches another: a proxy of the case.
func (b *Bed) peerAddr(from, to *Node) string {
	p := &proxy{bed: b, from: from.i, to: to, addr: freeAddr()}
	p.open()
	b.proxies = append(b.proxies, p)
	return p.addr
}

// proxy forwards one node's connections to another.
type proxy struct {
	bed      *Bed
	from     int
	to       *Node
	addr     string
	mu       sync.Mutex
	hold     bool
	listener net.Listener
}

func (p *proxy) held() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hold
}

func (p *proxy) waitHeld() {
	for p.held() {
		time.Sleep(10 * time.Millisecond)
	}
}

func (p *proxy) open() {
	var err error
	for range 50 {
		var l net.Listener
		if l, err = net.Listen("tcp", p.addr); err == nil {
			p.mu.Lock()
			p.listener = l
			p.mu.Unlock()
			go p.serve(l)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.bed.cannotRun("proxy: %v", err)
}

// setHold holds back what is sent on open connections, also their end, and lets no connection
// through while it lasts. A connection attempt that fails in this time never completes later.
func (p *proxy) setHold(on bool) {
	p.mu.Lock()
	was, l := p.hold, p.listener
	p.hold = on
	p.mu.Unlock()
	if on && !was {
		l.Close()
	} else if !on && was {
		p.open()
	}
}

func (p *proxy) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			out, err := net.DialTimeout("tcp", p.to.peer, time.Second)
			if err != nil {
				return
			}
			defer out.Close()
			go func() { p.copy(c, out); c.Close() }()
			p.copy(out, c)
		}()
	}
}

func (p *proxy) copy(dst, src net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		p.waitHeld()
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// HoldPeers holds back what a node and the others send each other.
func (b *Bed) HoldPeers(node int, on bool) {
	for _, p := range b.proxies {
		if p.from == node || p.to.i == node {
			p.setHold(on)
		}
	}
	b.note("peers of paddock-%d held=%v", node, on)
}

// HoldPair holds back what two nodes send each other.
func (b *Bed) HoldPair(x, y int, on bool) {
	for _, p := range b.proxies {
		if p.from == x && p.to.i == y || p.from == y && p.to.i == x {
			p.setHold(on)
		}
	}
	b.note("paddock-%d and paddock-%d can't reach each other=%v", x, y, on)
}
