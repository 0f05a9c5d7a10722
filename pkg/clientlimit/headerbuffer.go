package clientlimit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh/overload"
)

// headerBuffer keeps the header sections of one connection of a net/http server back until they are
// complete. net/http reads on one goroutine at a time and calls ConnState between reads;
// only deadline is set at other times.
type headerBuffer struct {
	scanner overload.HeaderScanner
	// isHeader is set while a header section arrives.
	isHeader bool
	// buffer holds bytes that have arrived and were not returned. The first scanned of them
	// were given to the scanner, the first released may be returned.
	buffer            []byte
	scanned, released int
	// heldBytes is what the account holds for the request.
	heldBytes int64

	// mu guards deadline, which is that of the server.
	mu       sync.Mutex
	deadline time.Time
}

// headerReadBytes is the size of one read of a header section. Few are longer.
const headerReadBytes = 2 << 10

var headerReads = sync.Pool{New: func() any { b := make([]byte, headerReadBytes); return &b }}

// KeepHeaders lets a server keep the header sections of its connections back until they are
// complete. Its listener must be one of the guard.
func (g *Guard) KeepHeaders(server *http.Server) *http.Server {
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*Conn); ok {
			conn.changeState(state)
		}
	}
	return server
}

func (c *Conn) changeState(state http.ConnState) {
	switch state {
	case http.StateNew:
		o := c.account.guard.options
		c.headerBuffer = &headerBuffer{scanner: overload.HeaderScanner{MaxBytes: o.HeaderBytes, MaxFields: o.HeaderFields}, isHeader: true}
	case http.StateActive:
		c.headerBuffer.isHeader = false
		c.account.Enter(overload.Running)
	case http.StateIdle:
		c.account.Release(c.headerBuffer.heldBytes)
		c.headerBuffer.heldBytes, c.headerBuffer.scanned, c.headerBuffer.released, c.headerBuffer.isHeader = 0, 0, 0, true
		c.headerBuffer.scanner.Reset()
		c.account.Enter(overload.Idle)
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.headerBuffer != nil {
		c.headerBuffer.mu.Lock()
		defer c.headerBuffer.mu.Unlock()
		c.headerBuffer.deadline = t
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	g := c.headerBuffer
	if g == nil {
		return c.Conn.Read(p)
	}
	switch {
	case g.released > 0:
	case !g.isHeader:
		g.released = len(g.buffer) // The body, or what arrived behind it.
	default:
		if err := c.awaitHeader(); err != nil {
			return 0, err
		}
	}
	if g.released > 0 {
		n := copy(p, g.buffer[:g.released])
		g.released -= n
		if g.buffer = g.buffer[n:]; len(g.buffer) == 0 {
			g.buffer = nil
		}
		return n, nil
	}
	if len(p) == 1 {
		return c.Conn.Read(p) // Waits for the client to leave while the request runs.
	}
	c.account.Enter(overload.Sending)
	n, err := c.Conn.Read(p)
	c.account.Move(n)
	c.account.Enter(overload.Running)
	return n, err
}

// awaitHeader reads until a header section is complete and releases it.
func (c *Conn) awaitHeader() error {
	g := c.headerBuffer
	for {
		if g.scanned < len(g.buffer) {
			if g.scanner.Bytes() == 0 {
				c.startHeader()
			}
			n, isComplete, err := g.scanner.Scan(g.buffer[g.scanned:])
			g.scanned += n
			switch {
			case err != nil:
				c.account.Refuse(ReasonHeader)
				return c.refuse(http.StatusRequestHeaderFieldsTooLarge)
			case isComplete:
				return c.releaseHeader()
			}
		}
		if err := c.readMore(); err != nil {
			return err
		}
	}
}

// startHeader sets the time in which the header section has to arrive.
func (c *Conn) startHeader() {
	c.account.Enter(overload.Sending)
	timeout := c.account.guard.options.HeaderTimeout
	if timeout <= 0 {
		return
	}
	c.headerBuffer.mu.Lock()
	defer c.headerBuffer.mu.Unlock()
	if deadline := time.Now().Add(timeout); c.headerBuffer.deadline.IsZero() || deadline.Before(c.headerBuffer.deadline) {
		_ = c.Conn.SetReadDeadline(deadline)
	}
}

// readMore reads the next bytes of a header section. Its memory is held until the request
// has ended.
func (c *Conn) readMore() error {
	g := c.headerBuffer
	chunk := headerReads.Get().(*[]byte)
	defer headerReads.Put(chunk)
	n, err := c.Conn.Read(*chunk)
	if n == 0 {
		switch {
		case err == nil:
			return nil
		case g.scanner.Bytes() > 0 && errors.Is(err, os.ErrDeadlineExceeded):
			c.account.Refuse(ReasonSlowHeader)
			return c.refuse(http.StatusRequestTimeout)
		}
		return err
	}
	c.account.Move(n)
	if !c.account.Hold(int64(n)) {
		c.account.Refuse(ReasonMemory)
		return c.refuse(http.StatusServiceUnavailable)
	}
	g.heldBytes += int64(n)
	g.buffer = append(g.buffer, (*chunk)[:n]...)
	return nil
}

// releaseHeader lets the server read the complete header section.
func (c *Conn) releaseHeader() error {
	g := c.headerBuffer
	bytes := overload.RequestBytes(g.scanner.Bytes(), g.scanner.Fields())
	if !c.account.Hold(bytes) {
		c.account.Refuse(ReasonMemory)
		return c.refuse(http.StatusServiceUnavailable)
	}
	g.heldBytes += bytes
	g.isHeader, g.released = false, g.scanned
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.Conn.SetReadDeadline(g.deadline)
}

// Bounds of what a client may still send once its request was refused. Other nodes send
// bodies of up to 64 KB with the header section.
const (
	maxRefusedBytes = 128 << 10
	refusalLinger   = 200 * time.Millisecond
)

// refuse answers a request that the server has not seen. It returns an error after which
// net/http sends nothing and closes the connection. What the client is still sending is
// read before: a connection that is closed under it is reset, and the refusal may be lost.
func (c *Conn) refuse(status int) error {
	_ = WriteRefusal(c, status, c.account.guard.options.RefusalFields[c.account.listener])
	c.account.Release(c.headerBuffer.heldBytes)
	c.headerBuffer.heldBytes, c.headerBuffer.buffer, c.headerBuffer.released = 0, nil, 0
	_ = c.Conn.SetReadDeadline(time.Now().Add(refusalLinger))
	_, _ = io.CopyN(io.Discard, c.Conn, maxRefusedBytes)
	return os.ErrDeadlineExceeded
}

// retryAfterSeconds is the Retry-After of refusals: the memory or the descriptors are those
// of requests that end within seconds.
const retryAfterSeconds = "1"

// WriteRefusal writes a response that refuses a request and says that the connection ends.
// fields are further header fields of a 503.
func WriteRefusal(w io.Writer, status int, fields string) error {
	if status == http.StatusServiceUnavailable {
		fields += "Retry-After: " + retryAfterSeconds + "\r\n"
	} else {
		fields = ""
	}
	_, err := io.WriteString(w, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+
		"\r\nConnection: close\r\n"+fields+"Content-Length: 0\r\n\r\n")
	return err
}
