package sidecar

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/azurespring/azurespring/pkg/clientlimit"
	"github.com/azurespring/azurespring/pkg/mesh/overload"
)

// readRequest waits for the next request and reads its header.
func (s *session) readRequest() (*http.Request, error) {
	s.headerReader.RemainingBytes = maxClientHeaderBytes
	if s.reader.Buffered() == 0 {
		s.setReading(false)
		if err := s.conn.awaitData(); err != nil {
			return nil, err
		}
	}
	s.setReading(true)
	_ = s.conn.SetReadDeadline(time.Now().Add(s.server.headerTimeout))
	if err := s.awaitHeader(); err != nil {
		return nil, err
	}
	r, err := http.ReadRequest(s.reader)
	if err != nil {
		return nil, err
	}
	_ = s.conn.SetReadDeadline(time.Time{})
	s.headerReader.RemainingBytes = math.MaxInt64
	if r.ProtoMajor != 1 || r.Host == "" && r.ProtoMinor > 0 {
		return nil, errMalformed
	}
	r.RemoteAddr = s.conn.RemoteAddr().String()
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = &requestBody{source: r.Body, conn: s.conn}
	}
	return r.WithContext(s.conn.ctx), nil
}

// awaitHeader waits until a header section is complete and counts the memory that its
// request takes.
func (s *session) awaitHeader() error {
	s.scanner.Reset()
	buffered, _ := s.reader.Peek(s.reader.Buffered())
	_, isComplete, err := s.scanner.Scan(buffered)
	if err == nil && !isComplete {
		err = s.conn.awaitHeader(&s.scanner)
	}
	if err == nil && !s.conn.account.Hold(s.requestBytes()) {
		err = errNoMemory
	}
	return err
}

// requestBytes is the memory that the request whose header section was scanned last takes.
func (s *session) requestBytes() int64 {
	return overload.RequestBytes(s.scanner.Bytes(), s.scanner.Fields())
}

func (s *session) setReading(isReading bool) {
	s.mu.Lock()
	s.isReading = isReading
	if s.inFlight == 0 {
		s.enterPhase()
	}
	s.mu.Unlock()
}

// errNoDescriptor is the error of a request that might need a descriptor that is not free.
var errNoDescriptor = errors.New("too many requests run")

var errMalformed = errors.New("malformed request")

// rejectUnreadable sends the status for a request that could not be read, and ends the
// connection.
func (s *session) rejectUnreadable(err error) {
	status, reason := http.StatusBadRequest, ""
	var netErr net.Error
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), s.conn.ctx.Err() != nil:
		return
	case errors.Is(err, errNoMemory):
		status, reason = http.StatusServiceUnavailable, clientlimit.ReasonMemory
	case errors.Is(err, errNoDescriptor):
		status, reason = http.StatusServiceUnavailable, clientlimit.ReasonCalls
	case errors.Is(err, errHeaderTooLarge), errors.Is(err, overload.ErrHeaderTooLarge), errors.Is(err, overload.ErrTooManyFields):
		status, reason = http.StatusRequestHeaderFieldsTooLarge, clientlimit.ReasonHeader
	case errors.As(err, &netErr):
		status, reason = http.StatusRequestTimeout, clientlimit.ReasonSlowHeader
	}
	if reason != "" {
		s.conn.account.Refuse(reason)
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	_ = clientlimit.WriteRefusal(s.conn, status, "")
	s.linger()
}
