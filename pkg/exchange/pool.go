package exchange

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times after which idle connections are closed. A peer closes an idle connection
// after the timeout that it sends in Keep-Alive. The connection is not reused
// during the expiryMargin before that, because the peer might close it while a
// request is on its way. defaultIdleTimeout applies if the peer sends no timeout or a
// longer one.
const (
	defaultIdleTimeout = 8 * time.Second
	expiryMargin       = time.Second
)

// Pool holds the connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	dialer  Dialer
	now     func() time.Time
	onOpen  func()

	mu       sync.Mutex
	idle     []*conn
	isClosed bool
}

// NewPool returns a pool without connections. onOpen is called for each new
// connection; nil is allowed.
func NewPool(address string, dialer Dialer, onOpen func()) *Pool {
	return &Pool{address: address, dialer: dialer, now: time.Now, onOpen: onOpen}
}

// Do sends a request and returns its response as soon as the header section is
// read. The body must be read to its end or closed. Do never sends a request twice.
func (p *Pool) Do(ctx context.Context, r Request) (*http.Response, *Error) {
	c := p.take(r)
	if c == nil {
		var err error
		if c, err = p.dialWithin(ctx, r.MaxDialWait); err != nil {
			return nil, &Error{DialFailed: true, Err: err}
		}
	}
	response, failure := c.exchange(ctx, r)
	if failure != nil {
		return nil, failure
	}
	body := response.Body.(*responseBody)
	closeAfterUse := response.Close
	timeout := idleTimeout(response.Header)
	body.release = func(reusable bool) {
		if !reusable || closeAfterUse || !p.put(c, timeout) {
			_ = c.Conn.Close()
		}
	}
	if response.ContentLength == 0 || response.Body == http.NoBody {
		body.finish(true)
	}
	return response, nil
}

// EnsureIdleConn dials if the pool has no usable idle connection.
func (p *Pool) EnsureIdleConn(ctx context.Context) error {
	c := p.take(Request{})
	if c == nil {
		var err error
		if c, err = p.dial(ctx); err != nil {
			return err
		}
	}
	p.putOrClose(c)
	return nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	dialed, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	if p.onOpen != nil {
		p.onOpen()
	}
	return newConn(dialed), nil
}

func (p *Pool) putOrClose(c *conn) {
	if !p.put(c, defaultIdleTimeout) {
		_ = c.Conn.Close()
	}
}

// errDialWait is the error of a request whose connection was not established within
// MaxDialWait.
var errDialWait = errors.New("no connection yet")

// dialWithin opens a connection. If maxWait is not 0, it returns an error after maxWait
// or at the end of ctx, while the dial continues and adds its connection to the idle ones.
func (p *Pool) dialWithin(ctx context.Context, maxWait time.Duration) (*conn, error) {
	if maxWait == 0 {
		return p.dial(ctx)
	}
	type outcome struct {
		c   *conn
		err error
	}
	result, abandoned := make(chan outcome), make(chan struct{})
	defer close(abandoned)
	go func() {
		c, err := p.dial(context.WithoutCancel(ctx))
		select {
		case result <- outcome{c, err}:
		case <-abandoned:
			if err == nil {
				p.putOrClose(c)
			}
		}
	}()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case o := <-result:
		return o.c, o.err
	case <-timer.C:
		return nil, errDialWait
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// take returns the most recently used idle connection that is still usable for r. It
// returns nil if there is none, or if it has been idle for longer than r allows.
func (p *Pool) take(r Request) *conn {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if r.MaxIdleTime > 0 && now.Sub(c.idleSince) > r.MaxIdleTime {
			return nil
		}
		if !c.canMatch(r) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if now.Before(c.expiresAt) && c.isUsable() {
			return c
		}
		_ = c.Conn.Close()
	}
	return nil
}

func (p *Pool) put(c *conn, timeout time.Duration) bool {
	if timeout <= 0 || c.reader.Buffered() > 0 || len(c.sentIDs) >= maxRequestsPerConn {
		return false
	}
	c.idleSince = p.now()
	c.expiresAt = c.idleSince.Add(timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		return false
	}
	p.idle = append(p.idle, c)
	return true
}

// idleTimeout returns how long a connection may stay idle after a response with the
// given header.
func idleTimeout(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(time.Duration(seconds)*time.Second-expiryMargin, defaultIdleTimeout)
		}
	}
	return defaultIdleTimeout
}

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.expiresAt) {
			remaining = append(remaining, c)
			continue
		}
		_ = c.Conn.Close()
	}
	clear(p.idle[len(remaining):])
	p.idle = remaining
}

// Close closes idle connections; those in use are closed after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for _, c := range p.idle {
		_ = c.Conn.Close()
	}
	p.idle = nil
}
