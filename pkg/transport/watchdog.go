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
	scanInterval = 250 * time.Millisecond
	// silentAfter is how long a connection may receive no packet after a stream
	// was opened on it. Peers acknowledge within 25 ms and a round trip.
	silentAfter = 500 * time.Millisecond
	// suspectInterval bounds the replacements per address, so that an overloaded
	// machine does not add handshakes to its load.
	suspectInterval = 5 * time.Second
	// entryRetention is how long the state of an address without connection is kept.
	entryRetention = time.Minute
)

// scan looks after the connections until the transport closes: it takes silent
// ones out of use before their idle timeout and closes unused ones.
func (t *Transport) scan() {
	defer t.tasks.Done()
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	nextReap := time.Now().Add(reapInterval)
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		reap := now.After(nextReap)
		for _, c := range t.connections() {
			if c.silent(now) {
				t.pools[c.class].suspect(c, now)
			}
			if reap && c.dialed && c.unused(now) {
				t.pools[c.class].remove(c)
				_ = c.quic.CloseWithError(codeUnused, "unused")
			}
		}
		if reap {
			nextReap = now.Add(reapInterval)
			for _, p := range t.pools {
				p.forget(now)
			}
		}
	}
}

// silence is what scan remembers of a connection. Only scan uses it.
type silence struct {
	received uint64
	seenAt   time.Time
	// waiting is when scan first saw a stream opened after the last packet.
	waiting time.Time
}

// silent reports whether a stream was opened and no packet came since. Streams
// of the peer do not count: for them the peer waits.
func (c *conn) silent(now time.Time) bool {
	s := &c.silence
	opened := time.UnixMilli(c.lastOpen.Load())
	received := c.quic.ConnectionStats().PacketsReceived
	switch {
	case received != s.received:
		s.received, s.seenAt, s.waiting = received, now, time.Time{}
	case s.waiting.IsZero() && opened.After(s.seenAt):
		s.waiting = now
	}
	return !s.waiting.IsZero() && now.Sub(s.waiting) >= silentAfter
}

// suspect replaces a silent connection. Its streams go on until it is closed by
// its idle timeout, in case it recovers.
func (p *pool) suspect(c *conn, now time.Time) {
	e := p.entry(c.address)
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.suspected) < suspectInterval || e.conn.Load() != c {
		return
	}
	e.suspected = now
	p.transport.sockets.avoid(c.address, c.socket.generation)
	e.conn.CompareAndSwap(c, nil)
	p.transport.options.Scope.Counter("silent_connections").Inc(1)
	p.transport.options.Logger.WithField("peer", c.address).Info("replacing a silent connection")
}

// ended notes how a connection ended, for the choice of the next socket.
func (p *pool) ended(c *conn, cause error) {
	if isSilence(cause) {
		p.transport.sockets.avoid(c.address, c.socket.generation)
	} else {
		p.transport.sockets.forgive(c.address, c.socket.generation)
	}
	p.remove(c)
}

// isSilence reports whether err says that no packet came from the peer.
func isSilence(err error) bool {
	var idle *quic.IdleTimeoutError
	var handshake *quic.HandshakeTimeoutError
	return errors.As(err, &idle) || errors.As(err, &handshake) || errors.Is(err, context.DeadlineExceeded)
}

// forget drops the state of addresses that have had no connection for a while.
func (p *pool) forget(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := maps.Clone(*p.entries.Load())
	maps.DeleteFunc(kept, func(address string, e *entry) bool {
		if !e.forgettable(now) {
			return false
		}
		p.transport.sockets.forgive(address, math.MaxInt)
		return true
	})
	if len(kept) != len(*p.entries.Load()) {
		p.entries.Store(&kept)
	}
}

func (e *entry) forgettable(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn.Load() != nil || e.dialing != nil {
		e.idleSince = time.Time{}
		return false
	}
	if e.idleSince.IsZero() {
		e.idleSince = now
	}
	return now.Sub(e.idleSince) > entryRetention
}
