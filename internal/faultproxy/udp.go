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

// UDP relays datagrams between clients and one server. Each client has a socket
// of its own towards the server, so that replies find their way back.
type UDP struct {
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

// NewUDP relays from a free loopback port to the server at target.
func NewUDP(target string) (*UDP, error) {
	u, err := NewPendingUDP()
	if err != nil {
		return nil, err
	}
	if err := u.SetTarget(target); err != nil {
		u.Close()
		return nil, err
	}
	return u, nil
}

// NewPendingUDP returns a relay that drops all datagrams until SetTarget, for a
// server that must know the relay's address before it starts.
func NewPendingUDP() (*UDP, error) {
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, eris.Wrap(err, "open relay socket")
	}
	u := &UDP{front: front, flows: make(map[string]*flow)}
	u.tasks.Go(u.readFront)
	return u, nil
}

// SetTarget sets the server of flows that begin from now on.
func (u *UDP) SetTarget(target string) error {
	address, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return eris.Wrap(err, "resolve relay target")
	}
	u.target.Store(address)
	return nil
}

// NodeAddress returns the IP and port at which clients reach the server.
func (u *UDP) Address() string { return u.front.LocalAddr().String() }

// SetLoss drops the given share of datagrams, 0 to 1, in both directions.
func (u *UDP) SetLoss(share float64) { u.loss.Store(uint64(share * lossUnit)) }

// SetDelay delays each datagram by d in each direction.
func (u *UDP) SetDelay(d time.Duration) { u.delay.Store(int64(d)) }

// Blackhole drops all datagrams of flows that exist now. Clients with new ports
// are still served, and so is a client that is forgotten by Heal.
func (u *UDP) Blackhole() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, f := range u.flows {
		f.silent.Store(true)
	}
}

// Heal ends Blackhole.
func (u *UDP) Heal() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, f := range u.flows {
		f.silent.Store(false)
	}
}

// Close frees all sockets.
func (u *UDP) Close() {
	u.mu.Lock()
	u.closed = true
	_ = u.front.Close()
	for _, f := range u.flows {
		_ = f.back.Close()
	}
	u.mu.Unlock()
	u.tasks.Wait()
}

func (u *UDP) readFront() {
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

func (u *UDP) readBack(f *flow) {
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

func (u *UDP) flow(client *net.UDPAddr) *flow {
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

func (u *UDP) forward(f *flow, data []byte, write func([]byte)) {
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
