package exchange

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times at which idle connections are closed. A peer that names a time in
// Keep-Alive closes then; expiryMargin before that the connection is not used,
// because a request may cross the close.
const (
	defaultIdle  = 8 * time.Second
	expiryMargin = time.Second
)

// Pool holds the connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	dialer  Dialer
	now     func() time.Time
	opened  func()

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewPool returns a pool without connections. opened is called for each
// connection that is made; nil is allowed.
func NewPool(address string, dialer Dialer, opened func()) *Pool {
	return &Pool{address: address, dialer: dialer, now: time.Now, opened: opened}
}

// Do sends a request and returns the head of its answer. The body must be read
// to its end or closed. Do never sends a request twice.
func (p *Pool) Do(ctx context.Context, r Request) (*http.Response, *Error) {
	c := p.take(r.MaxIdleTime)
	if c == nil {
		var err error
		if c, err = p.await(ctx, r.MaxDialWait); err != nil {
			return nil, &Error{DialFailed: true, Err: err}
		}
	}
	response, failure := c.exchange(ctx, r)
	if failure != nil {
		return nil, failure
	}
	body := response.Body.(*answerBody)
	closing := response.Close
	lifetime := lifetime(response.Header)
	body.release = func(reusable bool) {
		if !reusable || closing || !p.put(c, lifetime) {
			_ = c.Conn.Close()
		}
	}
	if response.ContentLength == 0 || response.Body == http.NoBody {
		body.finish(true)
	}
	return response, nil
}

// EnsureIdleConn makes sure that there is an idle connection.
func (p *Pool) EnsureIdleConn(ctx context.Context) error {
	c := p.take(0)
	if c == nil {
		var err error
		if c, err = p.dial(ctx); err != nil {
			return err
		}
	}
	p.keep(c)
	return nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	dialed, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	if p.opened != nil {
		p.opened()
	}
	return newConn(dialed), nil
}

func (p *Pool) keep(c *conn) {
	if !p.put(c, defaultIdle) {
		_ = c.Conn.Close()
	}
}

// errSlowDial is the failure of a request that did not wait for its connection.
var errSlowDial = errors.New("no connection yet")

// await makes a connection. It gives up after longest, if that is not 0, or at the end
// of ctx; the connection is kept for others then.
func (p *Pool) await(ctx context.Context, longest time.Duration) (*conn, error) {
	if longest == 0 {
		return p.dial(ctx)
	}
	type outcome struct {
		c   *conn
		err error
	}
	made, left := make(chan outcome), make(chan struct{})
	defer close(left)
	go func() {
		c, err := p.dial(context.WithoutCancel(ctx))
		select {
		case made <- outcome{c, err}:
		case <-left:
			if err == nil {
				p.keep(c)
			}
		}
	}()
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case o := <-made:
		return o.c, o.err
	case <-timer.C:
		return nil, errSlowDial
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// take returns the most recently used idle connection that is still usable.
func (p *Pool) take(maxIdle time.Duration) *conn {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		if maxIdle > 0 && now.Sub(c.idleSince) > maxIdle {
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if now.Before(c.expires) && c.usable() {
			return c
		}
		_ = c.Conn.Close()
	}
	return nil
}

func (p *Pool) put(c *conn, lifetime time.Duration) bool {
	if lifetime <= 0 || c.reader.Buffered() > 0 {
		return false
	}
	c.idleSince = p.now()
	c.expires = c.idleSince.Add(lifetime)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.idle = append(p.idle, c)
	return true
}

// lifetime returns how long a connection may stay idle after an answer.
func lifetime(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(time.Duration(seconds)*time.Second-expiryMargin, defaultIdle)
		}
	}
	return defaultIdle
}

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.expires) {
			kept = append(kept, c)
			continue
		}
		_ = c.Conn.Close()
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// Close closes idle connections; those in use are closed after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Conn.Close()
	}
	p.idle = nil
}
