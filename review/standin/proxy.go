package main

import (
	"net"
	"sync"
	"time"
)

// proxyMode says what a proxy does with connections.
type proxyMode int

const (
	pass   proxyMode = iota
	hold             // bytes are held back and delivered in order afterwards
	refuse           // new connections are closed at once, the open ones are reset
)

// proxy forwards connections to an address.
type proxy struct {
	mu       sync.Mutex
	changed  *sync.Cond
	mode     proxyMode
	delay    time.Duration
	target   string
	listener net.Listener
	conns    map[net.Conn]bool
}

func newProxy(target string) *proxy {
	p := &proxy{target: target, listener: listenLoopback(), conns: map[net.Conn]bool{}}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) set(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == refuse {
		for conn := range p.conns {
			reset(conn)
		}
	}
	p.changed.Broadcast()
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// waitWhileHeld returns when bytes may pass. It reports false if the connection is to be reset.
func (p *proxy) waitWhileHeld() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.mode == hold {
		p.changed.Wait()
	}
	return p.mode == pass
}

func (p *proxy) forward(conn net.Conn) {
	p.mu.Lock()
	p.conns[conn] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, conn)
		p.mu.Unlock()
		conn.Close()
	}()
	if !p.waitWhileHeld() {
		reset(conn)
		return
	}
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(conn)
		return
	}
	defer out.Close()
	p.mu.Lock()
	p.conns[out] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, out)
		p.mu.Unlock()
	}()
	ended := make(chan struct{}, 2)
	pipe := func(from, to net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				if !p.waitWhileHeld() {
					break
				}
				if p.delay > 0 {
					time.Sleep(p.delay)
				}
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		p.waitWhileHeld()
		ended <- struct{}{}
	}
	go pipe(conn, out)
	go pipe(out, conn)
	<-ended
}

// listenLoopback listens on a free loopback port.
func listenLoopback() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		giveUp("no free port: %v", err)
	}
	return l
}
