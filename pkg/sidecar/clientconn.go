package sidecar

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// prefetchBytes bounds what is read ahead of a client's requests.
const prefetchBytes = 64 << 10

// clientConn reads ahead of the server, so that a client's close is noticed
// while further requests of it wait in line.
type clientConn struct {
	net.Conn
	// ctx ends when the client has closed the connection.
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	buffer   []byte
	err      error
	deadline time.Time
	// changed is closed and replaced whenever the state above changes.
	changed chan struct{}
	// room is signalled when the reader may go on.
	room chan struct{}
}

func newClientConn(c net.Conn) *clientConn {
	ctx, cancel := context.WithCancel(context.Background())
	conn := &clientConn{Conn: c, ctx: ctx, cancel: cancel, changed: make(chan struct{}), room: make(chan struct{}, 1)}
	go conn.readAhead()
	return conn
}

// readAhead moves bytes from the connection to the buffer until its end.
func (c *clientConn) readAhead() {
	chunk := make([]byte, 4<<10)
	for {
		n, err := c.Conn.Read(chunk)
		c.mu.Lock()
		c.buffer = append(c.buffer, chunk[:n]...)
		if err != nil {
			c.err = err
		}
		full := len(c.buffer) >= prefetchBytes
		c.notify()
		c.mu.Unlock()
		if err != nil {
			c.cancel()
			return
		}
		if full {
			select {
			case <-c.room:
			case <-c.ctx.Done():
				return
			}
		}
	}
}

// notify wakes readers; c.mu is held.
func (c *clientConn) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
			c.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		if len(c.buffer) > 0 {
			n := copy(p, c.buffer)
			c.buffer = c.buffer[n:]
			if len(c.buffer) == 0 {
				c.buffer = nil
			}
			c.mu.Unlock()
			select {
			case c.room <- struct{}{}:
			default:
			}
			return n, nil
		}
		if c.err != nil {
			err := c.err
			c.mu.Unlock()
			if errors.Is(err, net.ErrClosed) {
				return 0, io.EOF
			}
			return 0, err
		}
		changed, deadline := c.changed, c.deadline
		c.mu.Unlock()
		wait(changed, deadline)
	}
}

// wait returns when changed is closed or the deadline has passed.
func wait(changed <-chan struct{}, deadline time.Time) {
	if deadline.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// SetReadDeadline implements net.Conn for Read; the reader ahead has none.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	c.notify()
	return nil
}

// SetDeadline implements net.Conn.
func (c *clientConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.cancel()
	return c.Conn.Close()
}
