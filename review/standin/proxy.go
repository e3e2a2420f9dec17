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
	refuse           // new connections are refused, the open ones are reset
)

// proxy forwards connections to an address.
type proxy struct {
	mu       sync.Mutex
	mode     proxyMode
	target   string
	address  string
	listener net.Listener // nil while connections are refused
	seen     func([]byte) // called with the bytes that pass to the target, if set
	conns    map[net.Conn]bool
}

func newProxy(target string) *proxy {
	p := &proxy{target: target, address: freeAddr(), conns: map[net.Conn]bool{}}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listen()
	return p
}

// listen opens the listener. The proxy is locked.
func (p *proxy) listen() {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		giveUp("%s: %v", p.address, err)
	}
	p.listener = listener
	go p.accept(listener)
}

func (p *proxy) addr() string { return p.address }

func (p *proxy) set(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode != refuse && p.listener == nil {
		p.listen()
	}
	if mode == refuse && p.listener != nil {
		p.listener.Close()
		p.listener = nil
		for conn := range p.conns {
			reset(conn)
		}
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

func (p *proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
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
	pipe := func(from, to net.Conn, seen func([]byte)) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				if seen != nil {
					seen(buffer[:n])
				}
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		ended <- struct{}{}
	}
	go pipe(conn, out, p.seen)
	go pipe(out, conn, nil)
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
