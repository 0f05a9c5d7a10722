package transport

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// ErrDialBackoff means that no dial was attempted because a recent one failed.
var ErrDialBackoff = eris.New("waiting after a failed dial")

// pool holds one connection per address for one traffic class.
type pool struct {
	transport *Transport
	class     trafficClass

	// addresses is copied and replaced under mu, so that the request path reads it
	// without a lock or an allocation.
	addresses atomic.Pointer[map[string]*addressState]
	mu        sync.Mutex
}

func newPool(t *Transport, c trafficClass) *pool {
	p := &pool{transport: t, class: c}
	p.addresses.Store(&map[string]*addressState{})
	return p
}

// addressState is the state of one address. The request path only loads conn.
type addressState struct {
	conn atomic.Pointer[conn]

	mu             sync.Mutex
	dialing        *dial
	backoff        *backoff.ExponentialBackOff
	retryAt        time.Time
	lastDialError  error
	lastReplacedAt time.Time
	idleSince      time.Time
}

// dial is a connection attempt that is shared by all callers for an address.
type dial struct {
	done chan struct{}
	conn *conn
	err  error
}

// openStream returns a new stream on the pooled connection, dialing if there is none.
func (p *pool) openStream(ctx context.Context, address string) (*conn, *quic.Stream, error) {
	// A pooled connection may have ended before the pool removed it. In that case the
	// second attempt dials.
	const maxAttempts = 2
	var lastErr error
	for range maxAttempts {
		c, err := p.getConn(ctx, address)
		if err != nil {
			return nil, nil, err
		}
		if !c.beginStream() {
			lastErr = ErrClosed
			continue
		}
		stream, err := c.quic.OpenStream()
		var limit quic.StreamLimitReachedError
		if errors.As(err, &limit) {
			stream, err = c.quic.OpenStreamSync(ctx)
		}
		if err == nil {
			c.recordStreamOpened()
			return c, stream, nil
		}
		c.endStream()
		if ctx.Err() != nil {
			return nil, nil, eris.Wrapf(ctx.Err(), "open a stream to %s", address)
		}
		p.remove(c)
		lastErr = err
	}
	return nil, nil, eris.Wrapf(lastErr, "open a stream to %s", address)
}

// lookup returns the state of an address, or nil if there is none.
func (p *pool) lookup(address string) *addressState { return (*p.addresses.Load())[address] }

// getOrCreate returns the state of an address and creates it if needed.
func (p *pool) getOrCreate(address string) *addressState {
	if state := p.lookup(address); state != nil {
		return state
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.lookup(address); state != nil {
		return state
	}
	state := &addressState{backoff: backoff.NewExponentialBackOff()}
	state.backoff.InitialInterval, state.backoff.MaxInterval = minDialBackoff, maxControlDialBackoff
	if p.class == callTraffic {
		state.backoff.MaxInterval = maxCallDialBackoff
	}
	next := maps.Clone(*p.addresses.Load())
	next[address] = state
	p.addresses.Store(&next)
	return state
}

func (p *pool) getConn(ctx context.Context, address string) (*conn, error) {
	state := p.getOrCreate(address)
	if c := state.conn.Load(); c != nil {
		return c, nil
	}
	d, err := p.startDial(state, address)
	if err != nil {
		return nil, err
	}
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, eris.Wrapf(ctx.Err(), "wait for a connection to %s", address)
	}
}

// startDial returns the dial in progress or starts one. It returns an error while
// the address is in backoff or the transport is closing.
func (p *pool) startDial(state *addressState, address string) (*dial, error) {
	state.mu.Lock()
	defer state.mu.Unlock()
	if c := state.conn.Load(); c != nil {
		done := make(chan struct{})
		close(done)
		return &dial{done: done, conn: c}, nil
	}
	if state.dialing != nil {
		return state.dialing, nil
	}
	if time.Now().Before(state.retryAt) {
		return nil, eris.Wrapf(errors.Join(ErrDialBackoff, state.lastDialError), "connect to %s", address)
	}
	if !p.transport.startTask() {
		return nil, ErrClosed
	}
	d := &dial{done: make(chan struct{})}
	state.dialing = d
	go p.dial(state, d, address)
	return d, nil
}

func (p *pool) dial(state *addressState, d *dial, address string) {
	defer p.transport.tasks.Done()
	c, err := p.connect(address)
	state.mu.Lock()
	defer state.mu.Unlock()
	defer close(d.done)
	d.conn, d.err = c, err
	state.dialing, state.lastDialError = nil, err
	if err != nil {
		state.retryAt = time.Now().Add(state.backoff.NextBackOff())
		p.transport.stats.failedDials.Add(1)
		p.transport.options.Scope.Counter("dial_failures").Inc(1)
		return
	}
	state.backoff.Reset()
	state.conn.Store(c)
	if c.quic.Context().Err() != nil {
		// The connection ended before it was stored, so removeClosed did not find it.
		state.conn.CompareAndSwap(c, nil)
	}
}

func (p *pool) connect(address string) (*conn, error) {
	t := p.transport
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "resolve %s", address)
	}
	source, err := t.sockets.acquire(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	maxStreams := int64(maxControlStreams)
	if p.class == callTraffic {
		maxStreams = maxCallStreams
	}
	var c *conn
	quicConn, err := source.quic.Dial(ctx, remote, t.options.TLS.clientConfig(t.alpn, serverNames[p.class]), quicConfig(maxStreams))
	if err == nil {
		c, err = t.register(quicConn, p.class, address, source, true)
	}
	if err != nil {
		if isNoResponse(err) {
			t.sockets.avoidUpTo(address, source.generation)
		}
		t.sockets.release(source)
	}
	return c, eris.Wrapf(err, "connect to %s", address)
}

// addIfAbsent adds an accepted connection to the pool if there is none for its
// address, so that a pair of nodes needs only one connection per traffic class.
func (p *pool) addIfAbsent(c *conn) {
	state := p.getOrCreate(c.address)
	if state.conn.CompareAndSwap(nil, c) && c.quic.Context().Err() != nil {
		state.conn.CompareAndSwap(c, nil)
	}
}

// remove removes c from the pool. The state of its address is retained, because it
// holds the dial backoff.
func (p *pool) remove(c *conn) {
	if state := p.lookup(c.address); state != nil {
		state.conn.CompareAndSwap(c, nil)
	}
}
