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

	"github.com/azurespring/azurespring/pkg/clientlimit"
	"github.com/azurespring/azurespring/pkg/mesh/overload"
)

// clientConn reads ahead of the server, so that a close by the client is noticed while
// pipelined requests wait.
type clientConn struct {
	net.Conn
	// account counts what the connection holds.
	account *clientlimit.Account
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
	// storage is the storage of buffer, of the size bufferSizes[sizeIndex], nil if there is
	// none. isShort is set while there is no memory for a larger one.
	storage   *[]byte
	sizeIndex int
	isShort   bool
	err       error
	deadline  time.Time
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
	conn := &clientConn{
		Conn: c, ctx: ctx, cancel: cancel, onInterrupted: func() {}, changed: make(chan struct{}), spaceFreed: make(chan struct{}, 1),
	}
	if counted, ok := c.(*clientlimit.Conn); ok {
		conn.account = counted.Account()
	}
	return conn
}

// readAhead copies bytes from the connection to the buffer until the connection ends.
func (c *clientConn) readAhead() {
	socket := newSocketReader(c.Conn)
	for {
		room := c.awaitRoom()
		if room == 0 {
			return
		}
		err := socket.read(room, func(p []byte) {
			c.account.Move(len(p))
			c.mu.Lock()
			c.put(p)
			c.broadcast()
			c.mu.Unlock()
		})
		if errors.Is(err, os.ErrDeadlineExceeded) {
			_ = c.Conn.SetReadDeadline(time.Time{})
			c.onInterrupted()
			continue
		}
		if err != nil {
			c.mu.Lock()
			c.err = err
			c.broadcast()
			c.mu.Unlock()
			if errors.Is(err, net.ErrClosed) {
				c.cancel(errClosedByNode) // The connection was ended to make room for others.
			}
			c.cancel(errClosedByClient)
			return
		}
	}
}

// awaitRoom waits until bytes can be put into the buffer and returns their number. It
// returns 0 at the end of the connection.
func (c *clientConn) awaitRoom() int {
	for {
		if room := c.room(); room > 0 {
			return room
		}
		select {
		case <-c.spaceFreed:
		case <-c.ctx.Done():
			c.mu.Lock()
			c.err = net.ErrClosed
			c.broadcast()
			c.mu.Unlock()
			return 0
		}
	}
}

// bufferSizes are the sizes of the storage of a buffer: the first suffices for requests
// without a large body, the second for any header section within the limits of the
// configuration. Storage beyond the first size is counted.
var bufferSizes = [...]int{4 << 10, 24 << 10, 72 << 10}

var bufferStorage = [len(bufferSizes)]sync.Pool{}

func newStorage(sizeIndex int) *[]byte {
	if storage, ok := bufferStorage[sizeIndex].Get().(*[]byte); ok {
		return storage
	}
	storage := make([]byte, 0, bufferSizes[sizeIndex])
	return &storage
}

// room returns the number of bytes that fit into the buffer, after it was enlarged if
// little is left and there is memory for that.
func (c *clientConn) room() int {
	c.mu.Lock()
	index := c.sizeIndex
	room := bufferSizes[index] - len(c.buffer) + c.taken
	c.mu.Unlock()
	if index+1 == len(bufferSizes) || room >= bufferSizes[index]/4 {
		return room
	}
	grown := bufferSizes[index+1] - bufferSizes[index]
	isHeld := c.account.Hold(int64(grown))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isShort = !isHeld
	switch {
	case !isHeld:
		c.broadcast()
		return bufferSizes[c.sizeIndex] - len(c.buffer) + c.taken
	case c.sizeIndex != index:
		c.account.Release(int64(grown)) // The storage was released meanwhile.
	default:
		old := c.storage
		c.sizeIndex++
		c.storage = newStorage(c.sizeIndex)
		c.buffer, c.taken = append((*c.storage)[:0], c.buffer[c.taken:]...), 0
		if old != nil {
			bufferStorage[index].Put(old)
		}
	}
	return bufferSizes[c.sizeIndex] - len(c.buffer) + c.taken
}

// put appends bytes for which there is room to the buffer; c.mu must be held.
func (c *clientConn) put(p []byte) {
	if c.storage == nil {
		c.storage = newStorage(c.sizeIndex)
		c.buffer = append((*c.storage)[:0], c.buffer[c.taken:]...)
		c.taken = 0
	}
	if len(c.buffer)+len(p) > cap(c.buffer) {
		c.buffer, c.taken = append(c.buffer[:0], c.buffer[c.taken:]...), 0
	}
	c.buffer = append(c.buffer, p...)
}

// releaseStorage releases the storage of an empty buffer; c.mu must be held.
func (c *clientConn) releaseStorage() {
	c.buffer, c.taken, c.isShort = nil, 0, false
	if c.storage != nil {
		bufferStorage[c.sizeIndex].Put(c.storage)
		c.storage = nil
	}
	if c.sizeIndex > 0 {
		c.account.Release(int64(bufferSizes[c.sizeIndex] - bufferSizes[0]))
		c.sizeIndex = 0
	}
}

// errNoMemory is the error of a request for which there is no memory.
var errNoMemory = errors.New("the node is short of memory")

// awaitHeader waits until the buffer holds the rest of a header section. It takes none of
// it.
func (c *clientConn) awaitHeader(scanner *overload.HeaderScanner) error {
	scanned := 0
	for {
		c.mu.Lock()
		n, isComplete, err := scanner.Scan(c.buffer[c.taken+scanned:])
		scanned += n
		isFull := len(c.buffer)-c.taken >= bufferSizes[c.sizeIndex]
		isLargest := c.sizeIndex+1 == len(bufferSizes)
		endError, changed, deadline, isShort := c.endError(), c.changed, c.deadline, c.isShort
		c.mu.Unlock()
		switch {
		case isComplete || err != nil:
			return err
		case endError != nil:
			return endError
		case !deadline.IsZero() && !time.Now().Before(deadline):
			return os.ErrDeadlineExceeded
		case isFull && isShort:
			return errNoMemory
		case isFull && isLargest:
			return overload.ErrHeaderTooLarge
		}
		awaitChange(changed, deadline)
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
