package transport

import (
	"context"
	"errors"
	"io"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// Bits of openedStream.ended, one for each direction of the stream.
const (
	readEnded uint32 = 1 << iota
	writeEnded
	bothEnded = readEnded | writeEnded
)

// openedStream is a stream that this node opened.
type openedStream struct {
	*quic.Stream
	conn  *conn
	ended atomic.Uint32
}

func (s *openedStream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	switch {
	case err == nil || isTimeout(err):
	case errors.Is(err, io.EOF):
		s.markEnded(readEnded)
	default:
		// Without a response there is no use in sending the rest of the request.
		s.Cancel()
	}
	return n, err
}

func (s *openedStream) Write(p []byte) (int, error) {
	n, err := s.Stream.Write(p)
	if err != nil && !isTimeout(err) {
		s.markEnded(writeEnded)
		if isRestUnneeded(err) {
			return len(p), nil
		}
	}
	return n, err
}

// CloseWrite implements Stream.
func (s *openedStream) CloseWrite() error {
	defer s.markEnded(writeEnded)
	if err := s.Close(); err != nil && !isRestUnneeded(context.Cause(s.Stream.Context())) {
		return err
	}
	return nil
}

// Cancel implements Stream.
func (s *openedStream) Cancel() {
	if s.ended.Load() == bothEnded {
		return // A reset would cost a packet and could truncate data in flight.
	}
	s.CancelRead(streamCanceled)
	// After CloseWrite, canceling the sending side could drop the end of the request.
	if s.ended.Load()&writeEnded == 0 {
		s.CancelWrite(streamCanceled)
	}
	s.markEnded(bothEnded)
}

// Context implements Stream. It ends only with the connection: the context of the
// QUIC stream ends as soon as the request has been sent, and reads report a
// cancellation by the peer immediately.
func (s *openedStream) Context() context.Context { return s.conn.quic.Context() }

func (s *openedStream) markEnded(bits uint32) {
	old := s.ended.Or(bits)
	if old != bothEnded && old|bits == bothEnded {
		s.conn.endStream()
	}
}

// acceptedStream is a stream that the peer opened. Its Context ends when the
// peer cancels, when the connection is lost, and after CloseWrite.
type acceptedStream struct {
	*quic.Stream
	isWriteClosed atomic.Bool
}

// CloseWrite implements Stream.
func (s *acceptedStream) CloseWrite() error {
	s.isWriteClosed.Store(true)
	return s.Close()
}

// Cancel implements Stream.
func (s *acceptedStream) Cancel() { s.cancel(streamCanceled) }

func (s *acceptedStream) refuse() { s.cancel(streamRefused) }

func (s *acceptedStream) cancel(code quic.StreamErrorCode) {
	if s.isWriteClosed.Swap(true) {
		// The response has been sent, so the peer need not send the rest of the request.
		s.CancelRead(streamRestUnneeded)
		return
	}
	s.CancelRead(code)
	s.CancelWrite(code)
}

// finish cancels the directions that the handler left open, so that a handler that
// returns early does not leak the stream.
func (s *acceptedStream) finish() { s.cancel(streamCanceled) }

// isRestUnneeded reports whether err means that the peer responded without reading
// the rest of the request. Writes then count as successful, so that the caller
// reads the response.
func isRestUnneeded(err error) bool {
	var e *quic.StreamError
	return errors.As(err, &e) && e.Remote && e.ErrorCode == streamRestUnneeded
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	var idle *quic.IdleTimeoutError
	return errors.As(err, &timeout) && timeout.Timeout() && !errors.As(err, &idle)
}

// IsStreamRefused reports whether err of a call stream means that the peer did not
// pass the stream to a handler, so that the call did not run.
func IsStreamRefused(err error) bool {
	var e *quic.StreamError
	return errors.As(err, &e) && e.Remote && e.ErrorCode == streamRefused
}
