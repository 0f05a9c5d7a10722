package transport

import (
	"context"
	"errors"
	"io"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// Bits of the state of a stream's two directions.
const (
	readEnded uint32 = 1 << iota
	writeEnded
	bothEnded = readEnded | writeEnded
)

// openedStream is a stream that this node opened.
type openedStream struct {
	*quic.Stream
	conn  *conn
	state atomic.Uint32
}

func (s *openedStream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	switch {
	case err == nil || isTimeout(err):
	case errors.Is(err, io.EOF):
		s.end(readEnded)
	default:
		// Without an answer there is no use in sending the rest of the request.
		s.Cancel()
	}
	return n, err
}

func (s *openedStream) Write(p []byte) (int, error) {
	n, err := s.Stream.Write(p)
	if err != nil && !isTimeout(err) {
		s.end(writeEnded)
		if isUnneeded(err) {
			return len(p), nil
		}
	}
	return n, err
}

// CloseWrite implements Stream.
func (s *openedStream) CloseWrite() error {
	defer s.end(writeEnded)
	if err := s.Close(); err != nil && !isUnneeded(context.Cause(s.Stream.Context())) {
		return err
	}
	return nil
}

// Cancel implements Stream.
func (s *openedStream) Cancel() {
	if s.state.Load() == bothEnded {
		return // A reset would cost a packet and could cut off what is in flight.
	}
	s.CancelRead(streamCanceled)
	// After CloseWrite, a cancelled writing side could lose the request's end.
	if s.state.Load()&writeEnded == 0 {
		s.CancelWrite(streamCanceled)
	}
	s.end(bothEnded)
}

// Context implements Stream. It ends with the connection only: the QUIC
// stream's own context ends when the request has been sent, and reads report a
// cancellation by the peer at once.
func (s *openedStream) Context() context.Context { return s.conn.quic.Context() }

func (s *openedStream) end(bits uint32) {
	old := s.state.Or(bits)
	if old != bothEnded && old|bits == bothEnded {
		s.conn.endOpened()
	}
}

// acceptedStream is a stream that the peer opened. Its Context ends when the
// peer cancels, when the connection is lost, and after CloseWrite.
type acceptedStream struct {
	*quic.Stream
	closed atomic.Bool
}

// CloseWrite implements Stream.
func (s *acceptedStream) CloseWrite() error {
	s.closed.Store(true)
	return s.Close()
}

// Cancel implements Stream.
func (s *acceptedStream) Cancel() { s.cancel(streamCanceled) }

func (s *acceptedStream) refuse() { s.cancel(streamRefused) }

func (s *acceptedStream) cancel(code quic.StreamErrorCode) {
	if s.closed.Swap(true) {
		// The answer is on its way; the peer need not send the rest.
		s.CancelRead(streamUnneeded)
		return
	}
	s.CancelRead(code)
	s.CancelWrite(code)
}

// finish releases what the handler left open, so that a handler that returns
// early does not leak the stream.
func (s *acceptedStream) finish() { s.cancel(streamCanceled) }

// isUnneeded reports whether err says that the peer answered without reading the
// rest of the request. Writes then count as done, as the answer is what matters.
func isUnneeded(err error) bool {
	var e *quic.StreamError
	return errors.As(err, &e) && e.Remote && e.ErrorCode == streamUnneeded
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	var idle *quic.IdleTimeoutError
	return errors.As(err, &timeout) && timeout.Timeout() && !errors.As(err, &idle)
}

// IsStreamRefused reports whether err of a call stream says that the peer gave the
// stream to no handler, so that the call was not run.
func IsStreamRefused(err error) bool {
	var e *quic.StreamError
	return errors.As(err, &e) && e.Remote && e.ErrorCode == streamRefused
}
