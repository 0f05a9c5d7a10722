package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// TCPFaults are the faults that a TCPProxy injects. The zero value injects none.
type TCPFaults struct {
	// Delay is added to each read chunk in each direction.
	Delay time.Duration
	// DropToServer and DropToClient drop the data of one direction. A connection that
	// has lost data stays open and blackholed in that direction, also after the fault is
	// removed.
	DropToServer bool
	DropToClient bool
	// RefuseConnections closes each new connection at once.
	RefuseConnections bool
}

// TCPProxy forwards connections to one server and injects faults.
type TCPProxy struct {
	listener net.Listener
	upstream string
	tasks    sync.WaitGroup

	mu     sync.Mutex
	faults TCPFaults
	conns  map[net.Conn]struct{}
	closed bool
}

// NewTCPProxy starts a proxy on a free loopback port for the server at upstream.
func NewTCPProxy(upstream string) (*TCPProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "open proxy socket")
	}
	p := &TCPProxy{listener: listener, upstream: upstream, conns: make(map[net.Conn]struct{})}
	p.tasks.Go(p.accept)
	return p, nil
}

// Address returns the IP and port at which clients reach the server.
func (p *TCPProxy) Address() string { return p.listener.Addr().String() }

// SetFaults replaces the injected faults.
func (p *TCPProxy) SetFaults(faults TCPFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

func (p *TCPProxy) currentFaults() TCPFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// ResetConnections resets all open connections.
func (p *TCPProxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Close then sends RST instead of FIN.
		}
		_ = c.Close()
	}
}

// Close resets all connections and waits for the proxy's goroutines.
func (p *TCPProxy) Close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.mu.Unlock()
	p.ResetConnections()
	p.tasks.Wait()
}

// track registers a connection until untrack. After Close it closes the connection and
// returns false.
func (p *TCPProxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *TCPProxy) untrack(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *TCPProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // Only Close ends the listener.
		}
		if p.currentFaults().RefuseConnections || !p.track(client) {
			_ = client.Close()
			continue
		}
		p.tasks.Go(func() { p.proxyConn(client) })
	}
}

func (p *TCPProxy) proxyConn(client net.Conn) {
	defer p.untrack(client)
	server, err := net.Dial("tcp", p.upstream)
	if err != nil || !p.track(server) {
		return
	}
	defer p.untrack(server)
	var directions sync.WaitGroup
	directions.Go(func() { p.copyData(server, client, func(c TCPFaults) bool { return c.DropToServer }) })
	directions.Go(func() { p.copyData(client, server, func(c TCPFaults) bool { return c.DropToClient }) })
	directions.Wait()
}

// copyData forwards the data of one direction. Once it has dropped a chunk, it drops
// all later ones: otherwise the receiver would read a stream with missing bytes.
func (p *TCPProxy) copyData(to, from net.Conn, shouldDrop func(TCPFaults) bool) {
	isBlackholed := false
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		faults := p.currentFaults()
		if n > 0 {
			time.Sleep(faults.Delay)
			isBlackholed = isBlackholed || shouldDrop(faults)
			if !isBlackholed {
				if _, err := to.Write(buffer[:n]); err != nil {
					_ = from.Close()
					return
				}
			}
		}
		if err != nil {
			if err == io.EOF && !isBlackholed {
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
				}
				return
			}
			if !isBlackholed {
				_ = to.Close()
			}
			return
		}
	}
}
