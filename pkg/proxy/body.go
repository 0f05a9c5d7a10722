package proxy

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// requestBody is a caller's body. It keeps what was read, up to smallBodyBytes,
// so that another try can send it again.
type requestBody struct {
	r *http.Request
	// lost is set once bytes were read that are not kept.
	lost atomic.Bool

	mu    sync.Mutex
	kept  []byte
	total int64
	err   error
}

var errBodyLost = eris.New("the start of the body was not kept")

func newRequestBody(r *http.Request) *requestBody {
	b := &requestBody{r: r}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.err = io.EOF
	}
	return b
}

// prefetch reads a small body whole, and the start of others if the fingerprint
// is needed. The deadline also ends the wait for a caller that stops sending.
func (b *requestBody) prefetch(w http.ResponseWriter, deadline time.Time, needFingerprint bool) error {
	if b.err != nil {
		return nil
	}
	length := b.r.ContentLength
	switch {
	case length < 0 && needFingerprint:
		b.readAhead()
		return nil
	case (length < 0 || length > smallBodyBytes) && !needFingerprint:
		return nil
	}
	control := http.NewResponseController(w)
	if control.SetReadDeadline(deadline) == nil {
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	buffer := make([]byte, min(smallBodyBytes, length))
	n, err := io.ReadFull(b.r.Body, buffer)
	b.kept, b.total = buffer[:n], int64(n)
	switch {
	case err != nil:
		return eris.Wrap(err, "read")
	case int64(n) == length:
		b.err = io.EOF
	}
	return nil
}

// readAhead waits for the start of a body of unknown length, but not for long:
// its sender may wait for the answer's start before it sends more. Reads of the
// body go on behind the one that is left.
func (b *requestBody) readAhead() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.CopyN(io.Discard, &bodyReader{body: b}, smallBodyBytes)
	}()
	timer := time.NewTimer(readAheadTime)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// whole returns the body if all of it is kept. A body that is just being read is
// not whole.
func (b *requestBody) whole() ([]byte, bool) {
	if !b.mu.TryLock() {
		return nil, false
	}
	defer b.mu.Unlock()
	return b.kept, b.err == io.EOF && b.total == int64(len(b.kept))
}

// replayable reports whether another try can send the body from its start.
func (b *requestBody) replayable() bool { return !b.lost.Load() }

// trailers returns the caller's trailers; they are complete after io.EOF.
func (b *requestBody) trailers() []string {
	if len(b.r.Trailer) == 0 {
		return nil
	}
	return flatten(b.r.Trailer, nil)
}

// bodyReader reads a requestBody from its start.
type bodyReader struct {
	body   *requestBody
	offset int64
}

// Read implements io.Reader. A read that an earlier try left behind holds the
// lock, and what it reads is kept for the others.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.offset < int64(len(b.kept)) {
		n := copy(p, b.kept[r.offset:])
		r.offset += int64(n)
		return n, nil
	}
	if r.offset != b.total {
		return 0, errBodyLost
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.r.Body.Read(p)
	if b.total+int64(n) <= smallBodyBytes {
		b.kept = append(b.kept, p[:n]...)
	} else if n > 0 {
		b.lost.Store(true)
	}
	b.total += int64(n)
	r.offset += int64(n)
	b.err = err
	return n, err
}
