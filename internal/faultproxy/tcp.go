package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Conditions are the faults of a TCP relay. The zero value relays faithfully.
type Conditions struct {
	// Delay is added to each piece of data in each direction.
	Delay time.Duration
	// DropToServer and DropToClient swallow data of one direction. The connection
	// stays open and silent, also after the conditions end.
	DropToServer bool
	DropToClient bool
	// NotRunErrorf closes new connections at once.
	Refuse bool
}

// TCP relays connections to one server and injects faults.
type TCP struct {
	listener net.Listener
	target   string
	tasks    sync.WaitGroup

	mu         sync.Mutex
	conditions Conditions
	open       map[net.Conn]struct{}
	closed     bool
}

// NewTCP relays from a free loopback port to the server at target.
func NewTCP(target string) (*TCP, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "open relay socket")
	}
	p := &TCP{listener: listener, target: target, open: make(map[net.Conn]struct{})}
	p.tasks.Go(p.accept)
	return p, nil
}

// NodeAddress returns the IP and port at which clients reach the server.
func (p *TCP) Address() string { return p.listener.Addr().String() }

// Set replaces the conditions.
func (p *TCP) Set(c Conditions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conditions = c
}

func (p *TCP) current() Conditions {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conditions
}

// Reset breaks all open connections.
func (p *TCP) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Sends a reset instead of an orderly end.
		}
		_ = c.Close()
	}
}

// Close frees all sockets.
func (p *TCP) Close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.mu.Unlock()
	p.Reset()
	p.tasks.Wait()
}

// track registers a connection until release; it reports false after Close.
func (p *TCP) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return false
	}
	p.open[c] = struct{}{}
	return true
}

func (p *TCP) release(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

func (p *TCP) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // Only Close ends the listener.
		}
		if p.current().Refuse || !p.track(client) {
			_ = client.Close()
			continue
		}
		p.tasks.Go(func() { p.relay(client) })
	}
}

func (p *TCP) relay(client net.Conn) {
	defer p.release(client)
	server, err := net.Dial("tcp", p.target)
	if err != nil || !p.track(server) {
		return
	}
	defer p.release(server)
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client, func(c Conditions) bool { return c.DropToServer }) })
	both.Go(func() { p.copy(client, server, func(c Conditions) bool { return c.DropToClient }) })
	both.Wait()
}

// copy moves data of one direction. Once a piece was dropped, nothing may follow it
// on that connection: the peer would read a stream with a hole.
func (p *TCP) copy(to, from net.Conn, drops func(Conditions) bool) {
	silent := false
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		conditions := p.current()
		if n > 0 {
			time.Sleep(conditions.Delay)
			silent = silent || drops(conditions)
			if !silent {
				if _, err := to.Write(buffer[:n]); err != nil {
					_ = from.Close()
					return
				}
			}
		}
		if err != nil {
			if err == io.EOF && !silent {
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
				}
				return
			}
			if !silent {
				_ = to.Close()
			}
			return
		}
	}
}
