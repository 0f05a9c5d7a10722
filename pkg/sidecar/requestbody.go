package sidecar

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh/overload"
)

// errBodyEnded is the error of a body that is read after its request has ended.
var errBodyEnded = errors.New("the request has ended")

// requestBody is the body of a client's request. It shares the buffer of the connection
// with the next request, so that nothing may read it once its request has ended: an
// exchange with an endpoint that responds early may still be sending it.
type requestBody struct {
	source io.ReadCloser
	conn   *clientConn

	// isEnded is set before a running read is interrupted; mu is held by each read.
	isEnded atomic.Bool
	mu      sync.Mutex
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isEnded.Load() {
		return 0, errBodyEnded
	}
	waits := b.conn.unreadBytes() == 0
	if waits {
		b.conn.account.Enter(overload.Sending)
	}
	n, err := b.source.Read(p)
	if waits {
		b.conn.account.Enter(overload.Running)
	}
	if err != nil && err != io.EOF && b.isEnded.Load() {
		err = errBodyEnded
	}
	return n, err
}

// Close implements io.Closer. The connection belongs to the server.
func (b *requestBody) Close() error { return nil }

// end lets all later reads fail and waits until none is running.
func (b *requestBody) end() {
	b.isEnded.Store(true)
	_ = b.conn.SetReadDeadline(pastDeadline)
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.conn.SetReadDeadline(time.Time{})
}

// drain reads what is left of a body that has ended. It reports whether the end was
// reached within maxDrainedBodyBytes and bodyDrainTimeout.
func (b *requestBody) drain() bool {
	_ = b.conn.SetReadDeadline(time.Now().Add(bodyDrainTimeout))
	defer func() { _ = b.conn.SetReadDeadline(time.Time{}) }()
	_, err := io.CopyN(io.Discard, b.source, maxDrainedBodyBytes)
	if err == nil {
		// The body may end just here.
		_, err = b.source.Read(make([]byte, 1))
	}
	return err == io.EOF
}
