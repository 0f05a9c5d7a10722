// Package faultproxy relays traffic between test processes and injects faults.
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

const maxDatagram = 64 << 10

// UDPProxy relays datagrams between clients and one server. Each client has a socket
// of its own towards the server, so that replies find their way back.
type UDPProxy struct {
	front  *net.UDPConn
	target atomic.Pointer[net.UDPAddr]
	tasks  sync.WaitGroup

	loss  atomic.Uint64 // share of lost datagrams in units of 1/lossUnit
	delay atomic.Int64  // nanoseconds

	mu     sync.Mutex
	closed bool
	flows  map[string]*flow
}

const lossUnit = 1_000_000

// flow is the traffic of one client.
type flow struct {
	client *net.UDPAddr
	back   *net.UDPConn
	silent atomic.Bool
}

// NewUDPProxy relays from a free loopback port to the server at target.
func NewUDPProxy(target string) (*UDPProxy, error) {
	u, err := NewUDPProxyWithoutUpstream()
	if err != nil {
		return nil, err
	}
	if err := u.SetUpstream(target); err != nil {
		u.Close()
		return nil, err
	}
	return u, nil
}

// NewUDPProxyWithoutUpstream returns a relay that drops all datagrams until SetUpstream, for a
// server that must know the relay's address before it starts.
func NewUDPProxyWithoutUpstream() (*UDPProxy, error) {
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, eris.Wrap(err, "open relay socket")
	}
	u := &UDPProxy{front: front, flows: make(map[string]*flow)}
	u.tasks.Go(u.readFront)
	return u, nil
}

// SetUpstream sets the server of flows that begin from now on.
func (u *UDPProxy) SetUpstream(target string) error {
	address, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return eris.Wrap(err, "resolve relay target")
	}
	u.target.Store(address)
	return nil
}

// Address returns the IP and port at which clients reach the server.
func (u *UDPProxy) Address() string { return u.front.LocalAddr().String() }

// SetLossRate drops the given share of datagrams, 0 to 1, in both directions.
func (u *UDPProxy) SetLossRate(share float64) { u.loss.Store(uint64(share * lossUnit)) }

// SetDelay delays each datagram by d in each direction.
func (u *UDPProxy) SetDelay(d time.Duration) { u.delay.Store(int64(d)) }

// BlackholeFlows drops all datagrams of flows that exist now. Clients with new ports
// are still served, and so is a client that is forgotten by Heal.
func (u *UDPProxy) BlackholeFlows() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, f := range u.flows {
		f.silent.Store(true)
	}
}

// ClearBlackhole ends Blackhole.
func (u *UDPProxy) ClearBlackhole() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, f := range u.flows {
		f.silent.Store(false)
	}
}

// Close frees all sockets.
func (u *UDPProxy) Close() {
	u.mu.Lock()
	u.closed = true
	_ = u.front.Close()
	for _, f := range u.flows {
		_ = f.back.Close()
	}
	u.mu.Unlock()
	u.tasks.Wait()
}

func (u *UDPProxy) readFront() {
	buffer := make([]byte, maxDatagram)
	for {
		n, client, err := u.front.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		f := u.flow(client)
		if f == nil {
			return
		}
		u.forward(f, buffer[:n], func(data []byte) { _, _ = f.back.Write(data) })
	}
}

func (u *UDPProxy) readBack(f *flow) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := f.back.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		u.forward(f, buffer[:n], func(data []byte) { _, _ = u.front.WriteToUDP(data, f.client) })
	}
}

func (u *UDPProxy) flow(client *net.UDPAddr) *flow {
	u.mu.Lock()
	defer u.mu.Unlock()
	if f, ok := u.flows[client.String()]; ok {
		return f
	}
	target := u.target.Load()
	if u.closed || target == nil {
		return nil
	}
	back, err := net.DialUDP("udp", nil, target)
	if err != nil {
		return nil
	}
	f := &flow{client: client, back: back}
	u.flows[client.String()] = f
	u.tasks.Go(func() { u.readBack(f) })
	return f
}

func (u *UDPProxy) forward(f *flow, data []byte, write func([]byte)) {
	if f.silent.Load() || rand.Uint64N(lossUnit) < u.loss.Load() {
		return
	}
	delay := time.Duration(u.delay.Load())
	if delay == 0 {
		write(data)
		return
	}
	held := append([]byte(nil), data...)
	time.AfterFunc(delay, func() { write(held) })
}
