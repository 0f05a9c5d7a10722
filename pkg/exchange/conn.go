// Package exchange sends HTTP/1.1 requests over pooled connections, one at a
// time on each. Unlike net/http's transport it never repeats a request, says of
// each failure whether the request was sent, and drops answers that belong to
// earlier requests.
package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times after which a connection without acknowledgements counts as lost.
// Connections may go silent for good without a reset.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	unackedTimeout    = 1500 * time.Millisecond
)

const bufferBytes = 8 << 10

// maxStaleBytes bounds the body of an answer to an earlier request that is read
// past; a longer one ends the connection.
const maxStaleBytes = 1 << 20

// Dialer opens TCPProxy connections that notice a silent peer.
type Dialer struct {
	// Timeout bounds the time to establish a connection.
	Timeout time.Duration
}

// DialContext opens a connection. It has the form that net/http's transport takes.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: d.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failure error
			err := c.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}
	return dialer.DialContext(ctx, network, address)
}

// Error is a failed exchange.
type Error struct {
	// RequestSent is set if any byte of the request was handed to the connection.
	RequestSent bool
	// DialFailed is set if no connection could be made.
	DialFailed bool
	Err        error
}

// Error implements error.
func (e *Error) Error() string {
	switch {
	case e.DialFailed:
		return fmt.Sprintf("connect: %v", e.Err)
	case e.RequestSent:
		return fmt.Sprintf("after the request was sent: %v", e.Err)
	}
	return fmt.Sprintf("before the request was sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// conn is one connection. It is used by one exchange at a time.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	written int64
	// idleSince is when the connection became idle, expires when the peer may
	// close it; zero if it named no time.
	idleSince time.Time
	expires   time.Time
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, reader: bufio.NewReaderSize(c, bufferBytes)} }

// Write counts bytes, so that a failure can be told from one before sending.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// usable reports whether an idle connection is open and silent, as it must be
// before the next request.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = err == unix.EAGAIN
		return true
	})
	return err == nil && silent
}

// Request is one request to send.
type Request struct {
	*http.Request
	// IDHeader names the header that the peer echoes; answers with another value
	// belong to earlier requests. Empty means that answers are not checked.
	IDHeader string
	// MaxIdleTime is the longest time that a reused connection may have been idle;
	// 0 means no bound.
	MaxIdleTime time.Duration
	// MaxDialWait is the longest time that the request waits for a new connection, which
	// the pool goes on making for later requests; 0 means the time of the Dialer.
	MaxDialWait time.Duration
}

// exchange sends the request and reads the head of its answer.
func (c *conn) exchange(ctx context.Context, r Request) (*http.Response, *Error) {
	before := c.written
	stop := context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	fail := func(err error) *Error {
		stop()
		_ = c.Conn.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return &Error{RequestSent: c.written != before, Err: err}
	}
	sending := newSender(c, r.Request)
	if sending.whole {
		if err := sending.run(); err != nil {
			return nil, fail(err)
		}
	} else {
		go func() { _ = sending.run() }()
	}
	response, err := c.readAnswer(r)
	if err != nil {
		return nil, fail(err)
	}
	response.Body = &answerBody{ReadCloser: response.Body, conn: c, stop: stop, sending: sending}
	return response, nil
}

func (c *conn) readAnswer(r Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, r.Request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if r.IDHeader == "" {
			return response, nil
		}
		id := response.Header.Get(r.IDHeader)
		if id == "" || id == r.Header.Get(r.IDHeader) {
			return response, nil
		}
		// An answer to an earlier request.
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBytes))
		if err != nil {
			return nil, err
		}
		if n == maxStaleBytes || response.Close {
			return nil, errStaleAnswer
		}
	}
}

var errStaleAnswer = fmt.Errorf("an answer to another request fills the connection")

// sender writes a request. A body that is not in memory is written beside the
// reading of the answer, which may come before its end.
type sender struct {
	conn    *conn
	request *http.Request
	whole   bool
	mu      sync.Mutex
	done    bool
	err     error
}

func newSender(c *conn, r *http.Request) *sender {
	_, inMemory := r.Body.(wholeBody)
	return &sender{conn: c, request: r, whole: r.Body == nil || r.Body == http.NoBody || inMemory}
}

func (s *sender) run() error {
	writer := bufio.NewWriterSize(s.conn, bufferBytes)
	err := s.request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	s.mu.Lock()
	s.done, s.err = true, err
	s.mu.Unlock()
	if err != nil && !s.whole {
		// The answer's reader must not wait for an answer to half a request.
		_ = s.conn.Conn.Close()
	}
	return err
}

// complete reports whether the whole request was written.
func (s *sender) complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done && s.err == nil
}

// wholeBody marks a body in memory.
type wholeBody struct{ io.Reader }

// Close implements io.Closer.
func (wholeBody) Close() error { return nil }

// InMemoryBody returns a request body for bytes in memory.
func InMemoryBody(r io.Reader) io.ReadCloser { return wholeBody{r} }

// answerBody returns the connection to its pool after a whole answer.
type answerBody struct {
	io.ReadCloser
	conn     *conn
	stop     func() bool
	sending  *sender
	release  func(reusable bool)
	finished bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.finish(err == io.EOF)
	}
	return n, err
}

// Close ends the exchange; before the end of the answer it closes the connection.
func (b *answerBody) Close() error {
	b.finish(false)
	return nil
}

func (b *answerBody) finish(whole bool) {
	if b.finished {
		return
	}
	b.finished = true
	open := b.stop()
	b.release(whole && open && b.sending.complete())
}
