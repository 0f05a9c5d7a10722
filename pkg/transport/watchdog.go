package transport

import (
	"context"
	"errors"
	"maps"
	"math"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	monitorInterval = 250 * time.Millisecond
	// unresponsiveTimeout is how long a connection may receive no packet after a
	// stream was opened on it. Peers acknowledge within 25 ms plus a round trip.
	unresponsiveTimeout = 500 * time.Millisecond
	// minReplacementInterval is the shortest time between two replacements of the
	// connection to an address, so that an overloaded instance does not add handshakes
	// to its load.
	minReplacementInterval = 5 * time.Second
	// addressStateRetention is how long the state of an address without a connection
	// is retained.
	addressStateRetention = time.Minute
)

// monitorConnections runs until the transport closes. It replaces unresponsive
// connections before their idle timeout and closes unused ones.
func (t *Transport) monitorConnections() {
	defer t.tasks.Done()
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	nextReap := time.Now().Add(reapInterval)
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		isReapDue := now.After(nextReap)
		for _, c := range t.connections() {
			if c.isUnresponsive(now) {
				t.pools[c.class].replaceUnresponsive(c, now)
			}
			if isReapDue && c.dialed && c.isUnused(now) {
				t.pools[c.class].remove(c)
				_ = c.quic.CloseWithError(codeUnused, "unused")
			}
		}
		if isReapDue {
			nextReap = now.Add(reapInterval)
			for _, p := range t.pools {
				p.removeExpired(now)
			}
		}
	}
}

// responsiveness is the state of the check for unresponsive connections. Only
// monitorConnections uses it.
type responsiveness struct {
	packetsReceived uint64
	lastReceivedAt  time.Time
	// waitingSince is when monitorConnections first observed that a stream was opened
	// after the last received packet.
	waitingSince time.Time
}

// isUnresponsive reports whether no packet was received for unresponsiveTimeout
// after a stream was opened. Streams that the peer opened do not count: the peer
// checks those itself.
func (c *conn) isUnresponsive(now time.Time) bool {
	s := &c.responsiveness
	lastOpened := time.UnixMilli(c.lastOpenedMillis.Load())
	packetsReceived := c.quic.ConnectionStats().PacketsReceived
	switch {
	case packetsReceived != s.packetsReceived:
		s.packetsReceived, s.lastReceivedAt, s.waitingSince = packetsReceived, now, time.Time{}
	case s.waitingSince.IsZero() && lastOpened.After(s.lastReceivedAt):
		s.waitingSince = now
	}
	return !s.waitingSince.IsZero() && now.Sub(s.waitingSince) >= unresponsiveTimeout
}

// replaceUnresponsive removes an unresponsive connection from the pool, so that
// the next request dials from another socket. The open streams continue until the
// idle timeout closes the connection, in case it recovers.
func (p *pool) replaceUnresponsive(c *conn, now time.Time) {
	state := p.getOrCreate(c.address)
	state.mu.Lock()
	defer state.mu.Unlock()
	if now.Sub(state.lastReplacedAt) < minReplacementInterval || state.conn.Load() != c {
		return
	}
	state.lastReplacedAt = now
	p.transport.sockets.avoidUpTo(c.address, c.socket.generation)
	state.conn.CompareAndSwap(c, nil)
	p.transport.options.Scope.Counter("silent_connections").Inc(1)
	p.transport.options.Logger.WithField("peer", c.address).Info("replacing an unresponsive connection")
}

// connectionEnded removes an ended connection from the pool. The cause determines
// whether later dials have to avoid its socket.
func (p *pool) connectionEnded(c *conn, cause error) {
	if isNoResponse(cause) {
		p.transport.sockets.avoidUpTo(c.address, c.socket.generation)
	} else {
		p.transport.sockets.stopAvoiding(c.address, c.socket.generation)
	}
	p.remove(c)
}

// isNoResponse reports whether err means that no packet of the peer was received.
func isNoResponse(err error) bool {
	var idle *quic.IdleTimeoutError
	var handshake *quic.HandshakeTimeoutError
	return errors.As(err, &idle) || errors.As(err, &handshake) || errors.Is(err, context.DeadlineExceeded)
}

// removeExpired removes the state of addresses that have had no connection for
// addressStateRetention.
func (p *pool) removeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining := maps.Clone(*p.addresses.Load())
	maps.DeleteFunc(remaining, func(address string, state *addressState) bool {
		if !state.isExpired(now) {
			return false
		}
		p.transport.sockets.stopAvoiding(address, math.MaxInt)
		return true
	})
	if len(remaining) != len(*p.addresses.Load()) {
		p.addresses.Store(&remaining)
	}
}

func (s *addressState) isExpired(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn.Load() != nil || s.dialing != nil {
		s.idleSince = time.Time{}
		return false
	}
	if s.idleSince.IsZero() {
		s.idleSince = now
	}
	return now.Sub(s.idleSince) > addressStateRetention
}
