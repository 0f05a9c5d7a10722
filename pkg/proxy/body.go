package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// requestBody is the body of a caller's request. It buffers what was read, up to
// maxBufferedBodyBytes, so that another attempt can send it again.
type requestBody struct {
	request *http.Request
	// bufferExceeded is set once bytes were read that did not fit into the buffer.
	bufferExceeded atomic.Bool

	// deadlineMu guards areReadsEnded and the order of changes of the read deadline.
	deadlineMu    sync.Mutex
	controller    *http.ResponseController
	areReadsEnded bool

	mu        sync.Mutex
	buffered  []byte
	totalRead int64
	readErr   error
}

var errBodyNotReplayable = eris.New("start of the request body is no longer buffered")

func newRequestBody(w http.ResponseWriter, request *http.Request) *requestBody {
	b := &requestBody{request: request, controller: http.NewResponseController(w)}
	if request.Body == nil || request.Body == http.NoBody || request.ContentLength == 0 {
		b.readErr = io.EOF
	}
	return b
}

// endReadsWith makes reads of the body fail when the stop of the node or the deadline ends
// ctx. Otherwise a caller that stops sending would delay the response: net/http returns
// from a round trip only after it has read the request's body. The caller must call
// release before the end of its handler, after which the connection is not its own.
func (b *requestBody) endReadsWith(ctx context.Context) (release func()) {
	if b.readErr != nil {
		return func() {}
	}
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		if isEndedByStop(ctx) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			b.endReads()
		}
	})
	return func() {
		if !stop() {
			<-done
		}
	}
}

func (b *requestBody) endReads() {
	b.deadlineMu.Lock()
	defer b.deadlineMu.Unlock()
	b.areReadsEnded = true
	_ = b.controller.SetReadDeadline(time.Unix(1, 0))
}

// setReadDeadline sets the deadline of reads that have not been ended.
func (b *requestBody) setReadDeadline(deadline time.Time) error {
	b.deadlineMu.Lock()
	defer b.deadlineMu.Unlock()
	if b.areReadsEnded {
		return nil
	}
	return b.controller.SetReadDeadline(deadline)
}

// prefetch reads a small body completely, and the start of any other body if the
// fingerprint is needed. The deadline bounds the wait for a caller that stops
// sending.
func (b *requestBody) prefetch(deadline time.Time, needFingerprint bool) error {
	if b.readErr != nil {
		return nil
	}
	length := b.request.ContentLength
	switch {
	case length < 0 && needFingerprint:
		b.readAhead()
		return nil
	case (length < 0 || length > maxBufferedBodyBytes) && !needFingerprint:
		return nil
	}
	if b.setReadDeadline(deadline) == nil {
		defer func() { _ = b.setReadDeadline(time.Time{}) }()
	}
	buffer := make([]byte, min(maxBufferedBodyBytes, length))
	n, err := io.ReadFull(b.request.Body, buffer)
	b.buffered, b.totalRead = buffer[:n], int64(n)
	switch {
	case err != nil:
		// net/http would read on before it sends the response.
		b.endReads()
		return eris.Wrap(err, "read")
	case int64(n) == length:
		b.readErr = io.EOF
	}
	return nil
}

// readAhead waits at most readAheadTimeout for the start of a body of unknown
// length, because its sender may wait for the start of the response before it
// sends more. A read that has not returned by then continues in the background;
// later reads of the body wait for it.
func (b *requestBody) readAhead() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.CopyN(io.Discard, &bodyReader{body: b}, maxBufferedBodyBytes)
	}()
	timer := time.NewTimer(readAheadTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// complete returns the body and true if all of it is buffered. It returns false
// while another goroutine is reading the body.
func (b *requestBody) complete() ([]byte, bool) {
	if !b.mu.TryLock() {
		return nil, false
	}
	defer b.mu.Unlock()
	return b.buffered, b.readErr == io.EOF && b.totalRead == int64(len(b.buffered))
}

// replayable reports whether another attempt can send the body from its start.
func (b *requestBody) replayable() bool { return !b.bufferExceeded.Load() }

// trailers returns the request's trailers; they are complete after io.EOF.
func (b *requestBody) trailers() []string {
	if len(b.request.Trailer) == 0 {
		return nil
	}
	return flattenHeader(b.request.Trailer, nil)
}

// bodyReader reads a requestBody from its start.
type bodyReader struct {
	body   *requestBody
	offset int64
}

// Read implements io.Reader. A pending read of an earlier attempt holds the lock;
// what it reads is buffered for the other readers.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.offset < int64(len(b.buffered)) {
		n := copy(p, b.buffered[r.offset:])
		r.offset += int64(n)
		return n, nil
	}
	if r.offset != b.totalRead {
		return 0, errBodyNotReplayable
	}
	if b.readErr != nil {
		return 0, b.readErr
	}
	n, err := b.request.Body.Read(p)
	if b.totalRead+int64(n) <= maxBufferedBodyBytes {
		b.buffered = append(b.buffered, p[:n]...)
	} else if n > 0 {
		b.bufferExceeded.Store(true)
	}
	b.totalRead += int64(n)
	r.offset += int64(n)
	b.readErr = err
	return n, err
}
