package exchange

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// earlyResponseTimeout bounds the time until the end of a response to a request whose body
// has not been written completely.
const earlyResponseTimeout = time.Second

// WriteResult is the result of the write of one request. It is safe for concurrent use.
type WriteResult struct {
	done    chan struct{}
	onceSet sync.Once
	err     error
}

// NewWriteResult returns the result of a write that has not ended.
func NewWriteResult() *WriteResult { return &WriteResult{done: make(chan struct{})} }

// Set ends the write. Only the first call has an effect.
func (r *WriteResult) Set(err error) {
	r.onceSet.Do(func() {
		r.err = err
		close(r.done)
	})
}

// get returns the result, if the write has ended.
func (r *WriteResult) get() (isDone bool, err error) {
	select {
	case <-r.done:
		return true, r.err
	default:
		return false, nil
	}
}

// ErrAborted is the error of a response whose body may be cut, because the connection ended
// before its request could be written completely. The header section is complete.
var ErrAborted = errors.New("the connection was aborted while the request was written")

// ConfirmEnd returns nil if the end of the connection, which was read before, completes a
// response that has no other end. It returns ErrAborted if the request cannot be written
// completely: the peer has then aborted the connection. The reader alone cannot see that,
// because the kernel reports the error of a connection to one system call, which may be a
// write, and because a peer that closes a connection without unread bytes sends an ordinary
// end, and a reset only in reply to the bytes that follow.
//
// The write has earlyResponseTimeout to end. A peer that has closed its side and neither
// resets the connection nor takes the rest of the request by then has ended its response in
// order.
func (r *WriteResult) ConfirmEnd(ctx context.Context) error {
	timer := time.NewTimer(earlyResponseTimeout)
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	if _, err := r.get(); err != nil {
		return fmt.Errorf("%w: %w", ErrAborted, err)
	}
	return nil
}

// IsCloseDelimited reports whether only the end of its connection ends a response (RFC 9112,
// section 6.3).
func IsCloseDelimited(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}
