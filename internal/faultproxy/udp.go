// Package faultproxy forwards traffic between test processes and injects faults.
package faultproxy

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const maxDatagramBytes = 64 << 10

// UDPProxy forwards datagrams between clients and one server. It uses one upstream
// socket per client, so that replies are forwarded to the right client.
type UDPProxy struct {
	clientConn *net.UDPConn
	upstream   atomic.Pointer[net.UDPAddr]
	tasks      sync.WaitGroup

	lossRate   atomic.Uint64 // in units of 1/lossRateScale
	delayNanos atomic.Int64

	mu     sync.Mutex
	closed bool
	flows  map[string]*flow
}

const lossRateScale = 1_000_000

// flow is the state of one client.
type flow struct {
	client       *net.UDPAddr
	upstreamConn *net.UDPConn
	isBlackholed atomic.Bool
}

// NewUDPProxy starts a proxy on a free loopback port for the server at upstream.
func NewUDPProxy(upstream string) (*UDPProxy, error) {
	u, err := NewUDPProxyWithoutUpstream()
	if err != nil {
		return nil, err
	}
	if err := u.SetUpstream(upstream); err != nil {
		u.Close()
		return nil, err
	}
	return u, nil
}

// NewUDPProxyWithoutUpstream starts a proxy that has no server until SetUpstream, for a
// server that must know the proxy's address before it starts. A datagram that arrives
// before SetUpstream stops the forwarding for good.
func NewUDPProxyWithoutUpstream() (*UDPProxy, error) {
	clientConn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, eris.Wrap(err, "open proxy socket")
	}
	u := &UDPProxy{clientConn: clientConn, flows: make(map[string]*flow)}
	u.tasks.Go(u.readFromClients)
	return u, nil
}

// SetUpstream sets the server of new flows; existing flows keep theirs.
func (u *UDPProxy) SetUpstream(upstream string) error {
	address, err := net.ResolveUDPAddr("udp", upstream)
	if err != nil {
		return eris.Wrap(err, "resolve upstream address")
	}
	u.upstream.Store(address)
	return nil
}

// Address returns the IP and port at which clients reach the server.
func (u *UDPProxy) Address() string { return u.clientConn.LocalAddr().String() }

// SetLossRate sets the fraction of datagrams, 0 to 1, that is dropped in each direction.
func (u *UDPProxy) SetLossRate(rate float64) { u.lossRate.Store(uint64(rate * lossRateScale)) }

// SetDelay delays each datagram by d in each direction.
func (u *UDPProxy) SetDelay(d time.Duration) { u.delayNanos.Store(int64(d)) }

// BlackholeFlows drops all datagrams of existing flows until ClearBlackhole. Datagrams
// from new client ports are still forwarded.
func (u *UDPProxy) BlackholeFlows() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, f := range u.flows {
		f.isBlackholed.Store(true)
	}
}

// ClearBlackhole ends the effect of BlackholeFlows.
func (u *UDPProxy) ClearBlackhole() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, f := range u.flows {
		f.isBlackholed.Store(false)
	}
}

// Close closes all sockets and waits for the proxy's goroutines.
func (u *UDPProxy) Close() {
	u.mu.Lock()
	u.closed = true
	_ = u.clientConn.Close()
	for _, f := range u.flows {
		_ = f.upstreamConn.Close()
	}
	u.mu.Unlock()
	u.tasks.Wait()
}

func (u *UDPProxy) readFromClients() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, client, err := u.clientConn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		f := u.flowFor(client)
		if f == nil {
			return
		}
		u.forward(f, buffer[:n], func(data []byte) { _, _ = f.upstreamConn.Write(data) })
	}
}

func (u *UDPProxy) readFromUpstream(f *flow) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := f.upstreamConn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		u.forward(f, buffer[:n], func(data []byte) { _, _ = u.clientConn.WriteToUDP(data, f.client) })
	}
}

func (u *UDPProxy) flowFor(client *net.UDPAddr) *flow {
	u.mu.Lock()
	defer u.mu.Unlock()
	if f, ok := u.flows[client.String()]; ok {
		return f
	}
	upstream := u.upstream.Load()
	if u.closed || upstream == nil {
		return nil
	}
	upstreamConn, err := net.DialUDP("udp", nil, upstream)
	if err != nil {
		return nil
	}
	f := &flow{client: client, upstreamConn: upstreamConn}
	u.flows[client.String()] = f
	u.tasks.Go(func() { u.readFromUpstream(f) })
	return f
}

func (u *UDPProxy) forward(f *flow, data []byte, write func([]byte)) {
	if f.isBlackholed.Load() || rand.Uint64N(lossRateScale) < u.lossRate.Load() {
		return
	}
	delay := time.Duration(u.delayNanos.Load())
	if delay == 0 {
		write(data)
		return
	}
	buffered := append([]byte(nil), data...)
	time.AfterFunc(delay, func() { write(buffered) })
}
