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

// ErrDialBackoff means that no connection was tried because a recent dial failed.
var ErrDialBackoff = eris.New("waiting after a failed dial")

// pool holds one connection per address for one class.
type pool struct {
	transport *Transport
	class     class

	// entries is replaced as a whole under mu, so that the request path reads it
	// without a lock or an allocation.
	entries atomic.Pointer[map[string]*entry]
	mu      sync.Mutex
}

func newPool(t *Transport, c class) *pool {
	p := &pool{transport: t, class: c}
	p.entries.Store(&map[string]*entry{})
	return p
}

// entry is the state of one address. The request path only loads conn.
type entry struct {
	conn atomic.Pointer[conn]

	mu        sync.Mutex
	dialing   *dial
	backoff   *backoff.ExponentialBackOff
	retryAt   time.Time
	failure   error
	suspected time.Time
	idleSince time.Time
}

// dial is an attempt that all callers of an address wait for.
type dial struct {
	done chan struct{}
	conn *conn
	err  error
}

// open returns a new stream on the pooled connection, dialing if there is none.
func (p *pool) open(ctx context.Context, address string) (*conn, *quic.Stream, error) {
	// A pooled connection may have ended without the pool's notice; the second
	// round then dials.
	const rounds = 2
	var failure error
	for range rounds {
		c, err := p.get(ctx, address)
		if err != nil {
			return nil, nil, err
		}
		if !c.beginOpen() {
			failure = ErrClosed
			continue
		}
		stream, err := c.quic.OpenStream()
		var limit quic.StreamLimitReachedError
		if errors.As(err, &limit) {
			stream, err = c.quic.OpenStreamSync(ctx)
		}
		if err == nil {
			c.touchOpen()
			return c, stream, nil
		}
		c.endOpened()
		if ctx.Err() != nil {
			return nil, nil, eris.Wrapf(ctx.Err(), "open a stream to %s", address)
		}
		p.remove(c)
		failure = err
	}
	return nil, nil, eris.Wrapf(failure, "open a stream to %s", address)
}

// lookup returns the state of an address, or nil.
func (p *pool) lookup(address string) *entry { return (*p.entries.Load())[address] }

// entry returns the state of an address and creates it if needed.
func (p *pool) entry(address string) *entry {
	if e := p.lookup(address); e != nil {
		return e
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.lookup(address); e != nil {
		return e
	}
	e := &entry{backoff: backoff.NewExponentialBackOff()}
	e.backoff.InitialInterval, e.backoff.MaxInterval = backoffMin, controlBackoffMax
	if p.class == calls {
		e.backoff.MaxInterval = callsBackoffMax
	}
	next := maps.Clone(*p.entries.Load())
	next[address] = e
	p.entries.Store(&next)
	return e
}

func (p *pool) get(ctx context.Context, address string) (*conn, error) {
	e := p.entry(address)
	if c := e.conn.Load(); c != nil {
		return c, nil
	}
	d, err := p.startDial(e, address)
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

// startDial returns the attempt in progress or starts one.
func (p *pool) startDial(e *entry, address string) (*dial, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.conn.Load(); c != nil {
		done := make(chan struct{})
		close(done)
		return &dial{done: done, conn: c}, nil
	}
	if e.dialing != nil {
		return e.dialing, nil
	}
	if time.Now().Before(e.retryAt) {
		return nil, eris.Wrapf(errors.Join(ErrDialBackoff, e.failure), "connect to %s", address)
	}
	if !p.transport.startTask() {
		return nil, ErrClosed
	}
	d := &dial{done: make(chan struct{})}
	e.dialing = d
	go p.dial(e, d, address)
	return d, nil
}

func (p *pool) dial(e *entry, d *dial, address string) {
	defer p.transport.tasks.Done()
	c, err := p.connect(address)
	e.mu.Lock()
	defer e.mu.Unlock()
	defer close(d.done)
	d.conn, d.err = c, err
	e.dialing, e.failure = nil, err
	if err != nil {
		e.retryAt = time.Now().Add(e.backoff.NextBackOff())
		p.transport.stats.failedDials.Add(1)
		p.transport.options.Scope.Counter("dial_failures").Inc(1)
		return
	}
	e.backoff.Reset()
	e.conn.Store(c)
	if c.quic.Context().Err() != nil {
		// The connection ended before it was stored, after watch looked for it.
		e.conn.CompareAndSwap(c, nil)
	}
}

func (p *pool) connect(address string) (*conn, error) {
	t := p.transport
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "resolve %s", address)
	}
	from, err := t.sockets.acquire(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	streams := int64(maxControlStreams)
	if p.class == calls {
		streams = maxCallStreams
	}
	var c *conn
	qc, err := from.quic.Dial(ctx, remote, t.options.TLS.clientConfig(t.alpn, serverNames[p.class]), quicConfig(streams))
	if err == nil {
		c, err = t.adopt(qc, p.class, address, from, true)
	}
	if err != nil {
		if isSilence(err) {
			t.sockets.avoid(address, from.generation)
		}
		t.sockets.release(from)
	}
	return c, eris.Wrapf(err, "connect to %s", address)
}

// offer puts an accepted connection into the pool if there is none for its
// address, so that a pair of nodes needs one connection per class only.
func (p *pool) offer(c *conn) {
	e := p.entry(c.address)
	if e.conn.CompareAndSwap(nil, c) && c.quic.Context().Err() != nil {
		e.conn.CompareAndSwap(c, nil)
	}
}

// remove takes c out of the pool. The entry stays while it carries a backoff.
func (p *pool) remove(c *conn) {
	if e := p.lookup(c.address); e != nil {
		e.conn.CompareAndSwap(c, nil)
	}
}
