package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// TCPFaults are the faults of a TCPProxy relay. The zero value relays faithfully.
type TCPFaults struct {
	// Delay is added to each piece of data in each direction.
	Delay time.Duration
	// DropToServer and DropToClient swallow data of one direction. The connection
	// stays open and silent, also after the conditions end.
	DropToServer bool
	DropToClient bool
	// RefuseConnections closes new connections at once.
	RefuseConnections bool
}

// TCPProxy relays connections to one server and injects faults.
type TCPProxy struct {
	listener net.Listener
	target   string
	tasks    sync.WaitGroup

	mu         sync.Mutex
	conditions TCPFaults
	open       map[net.Conn]struct{}
	closed     bool
}

// NewTCPProxy relays from a free loopback port to the server at target.
func NewTCPProxy(target string) (*TCPProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "open relay socket")
	}
	p := &TCPProxy{listener: listener, target: target, open: make(map[net.Conn]struct{})}
	p.tasks.Go(p.accept)
	return p, nil
}

// Address returns the IP and port at which clients reach the server.
func (p *TCPProxy) Address() string { return p.listener.Addr().String() }

// SetFaults replaces the conditions.
func (p *TCPProxy) SetFaults(c TCPFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conditions = c
}

func (p *TCPProxy) current() TCPFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conditions
}

// ResetConnections breaks all open connections.
func (p *TCPProxy) ResetConnections() {
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
func (p *TCPProxy) Close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.mu.Unlock()
	p.ResetConnections()
	p.tasks.Wait()
}

// track registers a connection until release; it reports false after Close.
func (p *TCPProxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return false
	}
	p.open[c] = struct{}{}
	return true
}

func (p *TCPProxy) release(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

func (p *TCPProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // Only Close ends the listener.
		}
		if p.current().RefuseConnections || !p.track(client) {
			_ = client.Close()
			continue
		}
		p.tasks.Go(func() { p.relay(client) })
	}
}

func (p *TCPProxy) relay(client net.Conn) {
	defer p.release(client)
	server, err := net.Dial("tcp", p.target)
	if err != nil || !p.track(server) {
		return
	}
	defer p.release(server)
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client, func(c TCPFaults) bool { return c.DropToServer }) })
	both.Go(func() { p.copy(client, server, func(c TCPFaults) bool { return c.DropToClient }) })
	both.Wait()
}

// copy moves data of one direction. Once a piece was dropped, nothing may follow it
// on that connection: the peer would read a stream with a hole.
func (p *TCPProxy) copy(to, from net.Conn, drops func(TCPFaults) bool) {
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
