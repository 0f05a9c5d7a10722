// Package exchange sends HTTP/1.1 requests over pooled connections, one at a
// time on each. Unlike net/http's transport it never retries a request, reports
// with each error whether the request was sent, and drops responses that belong
// to earlier requests.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive settings and the time after which a connection without
// acknowledgements is closed. A peer may become unreachable without a reset.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	unackedTimeout    = 1500 * time.Millisecond
)

const bufferBytes = 8 << 10

// Limits of what an exchange reads before the body of its response; a peer that sends
// more fails the exchange.
const (
	// maxResponseHeaderBytes bounds the header section of the response together with
	// those of interim responses and of responses to earlier requests.
	maxResponseHeaderBytes = 64 << 10
	// maxStaleResponseBytes bounds the discarded bodies of responses to earlier requests.
	maxStaleResponseBytes = 1 << 20
)

// Dialer opens TCP connections that fail when the peer becomes unresponsive.
type Dialer struct {
	// Timeout bounds the time to establish a connection.
	Timeout time.Duration
}

// DialContext opens a connection. It has the signature of DialContext in
// http.Transport.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: d.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var setErr error
			err := c.Control(func(fd uintptr) {
				setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return setErr
		},
	}
	return dialer.DialContext(ctx, network, address)
}

// Error is a failed exchange.
type Error struct {
	// RequestSent is set if any byte of the request was written to the connection; with
	// ExpectContinue, if the peer has asked for the body.
	RequestSent bool
	// DialFailed is set if no connection could be established.
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

// maxRequestsPerConn bounds the number of request IDs that are kept for a connection.
const maxRequestsPerConn = 2048

// conn is one connection. It is used by one exchange at a time.
type conn struct {
	net.Conn
	head   *headReader
	input  *LimitedReader
	reader *bufio.Reader
	// writeMu guards bytesWritten while a request body is written in the background.
	writeMu      sync.Mutex
	bytesWritten int64
	// sentIDs holds the hashes of the IDs of all requests that were sent. requestCount
	// also counts requests whose responses are not checked.
	sentIDs      map[uint64]struct{}
	requestCount int
	// carriedHead is set once a HEAD request was sent. Whether a response to another
	// request has a body is then not known.
	carriedHead bool
	// idleSince is when the connection became idle, expiresAt when it may no longer
	// be reused.
	idleSince time.Time
	expiresAt time.Time
}

func newConn(c net.Conn) *conn {
	head := newHeadReader(c)
	input := &LimitedReader{Source: head, RemainingBytes: math.MaxInt64, Err: errResponseTooLarge}
	return &conn{Conn: c, head: head, input: input, reader: bufio.NewReaderSize(input, bufferBytes), sentIDs: make(map[uint64]struct{})}
}

var idHashSeed = maphash.MakeSeed()

// canMatch reports whether the response to r can be told from responses to requests that
// the connection has already carried, which a faulty peer may repeat.
func (c *conn) canMatch(r Request) bool {
	if r.IDHeader == "" || c.requestCount == 0 {
		return true
	}
	id := r.id()
	_, isSent := c.sentIDs[maphash.String(idHashSeed, id)]
	return id != "" && !isSent
}

var errResponseTooLarge = errors.New("the response header, or what was sent before it, is too large")

// Write counts the bytes written, so that an error can tell whether any byte of
// the request was sent.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	c.bytesWritten += int64(n)
	return n, err
}

// isUsable reports whether an idle connection is open and has no unread data, as
// is required before the next request.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN
		return true
	})
	return err == nil && noData
}

// Request is one request to send.
type Request struct {
	*http.Request
	// IDHeader names the header that the peer echoes; responses with another value
	// belong to earlier requests. A connection carries each ID at most once, and a request
	// without one only as its first. If IDHeader is empty, responses are not checked.
	IDHeader string
	// MaxIdleTime is the longest time that a reused connection may have been idle;
	// 0 means no limit.
	MaxIdleTime time.Duration
	// MaxDialWait is the longest time that the request waits for a new connection; the
	// pool continues the dial for later requests. 0 means the timeout of the Dialer.
	MaxDialWait time.Duration
	// ExpectContinue sends a body that is not in memory only after the peer has asked for
	// it with the interim response 100. Otherwise the body is left unread, and the request
	// counts as not sent. The peer must not run a request before it has got a part of the
	// body.
	ExpectContinue bool
}

// id returns the ID of the request.
func (r Request) id() string { return r.Header.Get(r.IDHeader) }

// exchange sends the request and reads the header section of its response.
func (c *conn) exchange(ctx context.Context, r Request) (*http.Response, *Error) {
	if ctx.Err() != nil {
		// The cancellation would close the connection only after the first bytes.
		_ = c.Conn.Close()
		return nil, &Error{Err: ctx.Err()}
	}
	bytesBefore := c.bytesWritten
	c.requestCount++
	c.carriedHead = c.carriedHead || r.Method == http.MethodHead
	if r.IDHeader != "" {
		c.sentIDs[maphash.String(idHashSeed, r.id())] = struct{}{}
	}
	stopCancelWatch := context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	var writer *requestWriter
	fail := func(err error) *Error {
		stopCancelWatch()
		writer.abandonBody()
		_ = c.Conn.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		// A write that is still running ends because the connection is closed.
		c.writeMu.Lock()
		defer c.writeMu.Unlock()
		return &Error{RequestSent: c.bytesWritten != bytesBefore && writer.mayHaveSentBody(), Err: err}
	}
	writer = newRequestWriter(c, r)
	if writer.isInMemory {
		if err := writer.run(); err != nil {
			return nil, fail(err)
		}
	} else {
		go func() { _ = writer.run() }()
	}
	response, err := c.readResponse(r, writer.startBody)
	if err != nil {
		return nil, fail(err)
	}
	response.Body = &responseBody{
		ReadCloser: response.Body, ctx: ctx, conn: c, stopCancelWatch: stopCancelWatch, writer: writer,
		isCloseDelimited: IsCloseDelimited(response),
	}
	return response, nil
}

// readResponse reads the header section of the response to r. On a connection that has
// carried other requests, only the ID tells the response from a repeated earlier one.
// onContinue is called for each interim response 100.
func (c *conn) readResponse(r Request, onContinue func()) (*http.Response, error) {
	c.input.RemainingBytes = maxResponseHeaderBytes
	defer func() { c.input.RemainingBytes = math.MaxInt64 }()
	remainingStaleBytes := int64(maxStaleResponseBytes)
	mayOmitID, interimResponses := c.requestCount == 1, 0
	for {
		response, err := c.readHead(r.Request)
		if err != nil {
			return nil, err
		}
		isInterim, err := checkStatus(response)
		if err != nil {
			return nil, err
		}
		if isInterim {
			if interimResponses++; interimResponses > maxInterimResponses {
				return nil, errTooManyInterim
			}
			if response.StatusCode == http.StatusContinue {
				onContinue()
			}
			continue
		}
		response.Close = response.Close || mayBytesFollow(response)
		if r.IDHeader == "" {
			return response, nil
		}
		switch id := response.Header.Get(r.IDHeader); {
		case id == "" && !mayOmitID:
			return nil, errUnidentifiedResponse
		case id == "" || id == r.id():
			return response, nil
		case response.Close || c.carriedHead:
			return nil, errStaleResponse
		}
		mayOmitID = false
		// The response belongs to an earlier request; discard it.
		remainingHeaderBytes := c.input.RemainingBytes
		c.input.RemainingBytes = remainingStaleBytes
		_, err = io.Copy(io.Discard, response.Body)
		remainingStaleBytes, c.input.RemainingBytes = c.input.RemainingBytes, remainingHeaderBytes
		if err != nil {
			return nil, err
		}
	}
}

// readHead reads a header section and checks its fields.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.head.beginHead(buffered); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return nil, err
	}
	return response, CheckFieldNames(response.Header)
}

var (
	errStaleResponse        = errors.New("received a response to another request that cannot be discarded")
	errUnidentifiedResponse = errors.New("received a response without an ID on a connection that was used before")
)

// requestWriter writes a request. A body that is not in memory is written while the
// response is read, because the response may arrive before the end of the body.
type requestWriter struct {
	conn       *conn
	request    *http.Request
	isInMemory bool
	// body is set if the peer has to ask for the body.
	body   *heldBody
	result *WriteResult
}

func newRequestWriter(c *conn, r Request) *requestWriter {
	body, inMemory := r.Body.(inMemoryBody)
	if inMemory {
		// net/http flushes the header on its own unless it knows that the body is in memory.
		r.Body = io.NopCloser(body.Reader)
	}
	w := &requestWriter{
		conn: c, request: r.Request, isInMemory: r.Body == nil || r.Body == http.NoBody || inMemory, result: NewWriteResult(),
	}
	if r.ExpectContinue && !w.isInMemory {
		w.body = &heldBody{ReadCloser: r.Body, wanted: make(chan struct{}), abandoned: make(chan struct{})}
		w.request.Body = w.body
		w.request.Header.Set("Expect", "100-continue")
	}
	return w
}

// startBody lets the body be written.
func (w *requestWriter) startBody() {
	if w.body != nil {
		w.body.onceWanted.Do(func() { close(w.body.wanted) })
	}
}

// abandonBody ends a body that the peer has not asked for.
func (w *requestWriter) abandonBody() {
	if w.body != nil {
		w.body.onceAbandoned.Do(func() { close(w.body.abandoned) })
	}
}

// mayHaveSentBody reports whether the peer may have got a part of the body. A peer that
// asks for the body runs no request without it.
func (w *requestWriter) mayHaveSentBody() bool {
	if w.body == nil {
		return true
	}
	select {
	case <-w.body.wanted:
		return true
	default:
		return false
	}
}

// heldBody is a body that is not read before the peer has asked for it.
type heldBody struct {
	io.ReadCloser
	wanted, abandoned         chan struct{}
	onceWanted, onceAbandoned sync.Once
}

// errBodyNotWanted is the error of a body that the peer has not asked for.
var errBodyNotWanted = errors.New("the peer did not ask for the body")

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	select {
	case <-b.wanted:
		return b.ReadCloser.Read(p)
	case <-b.abandoned:
		return 0, errBodyNotWanted
	}
}

// Buffers of requests that are being written. A body that is not in memory is written in
// larger pieces, to save system calls.
const bodyBufferBytes = 32 << 10

var (
	smallWriters = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}
	bodyWriters  = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bodyBufferBytes) }}
)

func (w *requestWriter) run() error {
	writers := &smallWriters
	if !w.isInMemory {
		writers = &bodyWriters
	}
	writer := writers.Get().(*bufio.Writer)
	writer.Reset(w.conn)
	defer func() {
		writer.Reset(nil)
		writers.Put(writer)
	}()
	err := w.request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	w.result.Set(err)
	if err != nil && !w.isInMemory {
		// The peer may have responded before it closed the connection under the body. The
		// reader must not wait long for a response to a truncated request.
		_ = w.conn.Conn.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
	}
	return err
}

// inMemoryBody marks a body in memory.
type inMemoryBody struct{ io.Reader }

// Close implements io.Closer.
func (inMemoryBody) Close() error { return nil }

// InMemoryBody returns a request body for bytes in memory.
func InMemoryBody(r io.Reader) io.ReadCloser { return inMemoryBody{r} }

// responseBody returns the connection to its pool after a complete response.
type responseBody struct {
	io.ReadCloser
	ctx             context.Context
	conn            *conn
	stopCancelWatch func() bool
	writer          *requestWriter
	// isCloseDelimited is set if the end of the connection is the end of the body, endErr if
	// that end does not complete it.
	isCloseDelimited bool
	endErr           error
	// release returns the connection to its pool, or closes it if it is not reusable.
	release    func(reusable bool)
	isFinished bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.isCloseDelimited {
		if !b.isFinished {
			b.endErr = b.writer.result.ConfirmEnd(b.ctx)
		}
		if b.endErr != nil {
			err = b.endErr
		}
	}
	if err != nil {
		b.finish(err == io.EOF)
	}
	return n, err
}

// Close ends the exchange. Before the end of the response it closes the connection.
func (b *responseBody) Close() error {
	b.finish(false)
	return nil
}

// finish releases the connection once. complete is set if the response was read to its
// end.
func (b *responseBody) finish(complete bool) {
	if b.isFinished {
		return
	}
	b.isFinished = true
	b.writer.abandonBody()
	notCanceled := b.stopCancelWatch()
	isWritten, writeErr := b.writer.result.get()
	b.release(complete && notCanceled && isWritten && writeErr == nil)
}
