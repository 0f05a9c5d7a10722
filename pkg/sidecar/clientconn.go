package sidecar

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxReadAheadRequestBytes is the number of unread bytes from which a connection is not
// read further until the server has taken some.
const maxReadAheadRequestBytes = 64 << 10

// clientConn reads ahead of the server, so that a close by the client is noticed while
// pipelined requests wait.
type clientConn struct {
	net.Conn
	// ctx is canceled when either side has closed the connection. Its cause tells which.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// onInterrupted is called by readAhead after interruptRead, when all bytes that were
	// taken from the socket are in the buffer.
	onInterrupted func()

	// mu guards the fields below. buffer holds the bytes that have arrived; the first taken
	// of them were returned by Read.
	mu     sync.Mutex
	buffer []byte
	taken  int
	// storage is the storage of buffer if it is taken from bufferStorage.
	storage  *[]byte
	err      error
	deadline time.Time
	// changed is closed and replaced whenever bytes arrive, the connection ends or the
	// deadline is set.
	changed chan struct{}
	// spaceFreed is signaled when bytes have been taken from the buffer.
	spaceFreed chan struct{}
}

// Causes of the end of a connection.
var (
	errClosedByClient = errors.New("the client closed the connection")
	errClosedByNode   = errors.New("the node closed the connection")
)

func newClientConn(c net.Conn) *clientConn {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &clientConn{
		Conn: c, ctx: ctx, cancel: cancel, onInterrupted: func() {}, changed: make(chan struct{}), spaceFreed: make(chan struct{}, 1),
	}
}

// Sizes of one read from the connection: the first suffices for requests without a large
// body, the second saves system calls where more arrives.
const (
	smallReadBytes = 4 << 10
	largeReadBytes = 32 << 10
)

// readAhead copies bytes from the connection to the buffer until the connection ends.
func (c *clientConn) readAhead() {
	small := make([]byte, smallReadBytes)
	chunk := small
	for {
		n, err := c.Conn.Read(chunk)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			_ = c.Conn.SetReadDeadline(time.Time{})
			c.onInterrupted()
			continue
		}
		c.mu.Lock()
		c.put(chunk[:n])
		if err != nil {
			c.err = err
		}
		isFull := len(c.buffer)-c.taken >= maxReadAheadRequestBytes
		c.broadcast()
		c.mu.Unlock()
		switch {
		case n == len(small) && len(chunk) == len(small):
			chunk = make([]byte, largeReadBytes)
		case n < len(small):
			chunk = small
		}
		if err != nil {
			c.cancel(errClosedByClient)
			return
		}
		for isFull {
			select {
			case <-c.spaceFreed:
			case <-c.ctx.Done():
				c.mu.Lock()
				c.err = net.ErrClosed
				c.broadcast()
				c.mu.Unlock()
				return
			}
			isFull = c.unreadBytes() >= maxReadAheadRequestBytes
		}
	}
}

// bufferStorage holds storage for buffers of connections on which a large body arrives.
var bufferStorage = sync.Pool{New: func() any {
	storage := make([]byte, 0, maxReadAheadRequestBytes+largeReadBytes)
	return &storage
}}

// put appends bytes to the buffer; c.mu must be held.
func (c *clientConn) put(p []byte) {
	unread := c.buffer[c.taken:]
	if len(c.buffer)+len(p) > cap(c.buffer) {
		if len(unread)+len(p) > smallReadBytes && c.storage == nil {
			c.storage = bufferStorage.Get().(*[]byte)
			c.buffer = append((*c.storage)[:0], unread...)
		} else {
			c.buffer = append(c.buffer[:0], unread...)
		}
		c.taken = 0
	}
	c.buffer = append(c.buffer, p...)
}

// releaseStorage releases the storage of an empty buffer; c.mu must be held.
func (c *clientConn) releaseStorage() {
	c.buffer, c.taken = nil, 0
	if c.storage != nil {
		bufferStorage.Put(c.storage)
		c.storage = nil
	}
}

// pastDeadline is a read deadline that ends a pending read.
var pastDeadline = time.Unix(1, 0)

// interruptRead lets readAhead call onInterrupted.
func (c *clientConn) interruptRead() { _ = c.Conn.SetReadDeadline(pastDeadline) }

// broadcast wakes all waiting readers; c.mu must be held.
func (c *clientConn) broadcast() {
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
		if len(c.buffer) > c.taken {
			n := copy(p, c.buffer[c.taken:])
			c.taken += n
			if c.taken == len(c.buffer) {
				c.buffer, c.taken = c.buffer[:0], 0
			}
			c.mu.Unlock()
			select {
			case c.spaceFreed <- struct{}{}:
			default:
			}
			return n, nil
		}
		if err := c.endError(); err != nil {
			c.mu.Unlock()
			return 0, err
		}
		changed, deadline := c.changed, c.deadline
		c.mu.Unlock()
		awaitChange(changed, deadline)
	}
}

// endError returns the error that the connection ended with, or nil; c.mu must be held.
func (c *clientConn) endError() error {
	if errors.Is(c.err, net.ErrClosed) {
		return io.EOF
	}
	return c.err
}

// awaitData waits until Read has bytes to return. It takes none, so that they stay visible
// to hasUnread. The storage of an empty buffer is released.
func (c *clientConn) awaitData() error {
	for {
		c.mu.Lock()
		hasData, err, changed := len(c.buffer) > c.taken, c.endError(), c.changed
		if !hasData {
			c.releaseStorage()
		}
		c.mu.Unlock()
		switch {
		case hasData:
			return nil
		case err != nil:
			return err
		}
		<-changed
	}
}

// awaitChange waits until changed is closed or the deadline has passed.
func awaitChange(changed <-chan struct{}, deadline time.Time) {
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

// SetReadDeadline implements net.Conn. It applies to Read; readAhead has no deadline.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	c.broadcast()
	return nil
}

// SetDeadline implements net.Conn.
func (c *clientConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// unreadBytes returns the number of bytes that have arrived and were not taken by Read.
func (c *clientConn) unreadBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.buffer) - c.taken
}

// hasUnread reports whether bytes have arrived that Read has not returned, in the buffer
// or in the socket.
func (c *clientConn) hasUnread() bool {
	if c.unreadBytes() > 0 {
		return true
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	// Control does not wait for readAhead, which Read of the raw connection would.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.cancel(errClosedByNode)
	return c.Conn.Close()
}
