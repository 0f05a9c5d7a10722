package sidecar

import (
	"errors"
	"io"
	"net/http"

	"github.com/azurespring/azurespring/pkg/verdict"
)

// Limits of the memory for responses that are held back until they are complete because
// later requests of their connection have been started: of one response, and of all of a
// node. Instances have at least 184 MB.
const (
	maxHeldResponseBytes = 1 << 20
	maxHeldTotalBytes    = 16 << 20
)

// streamStarter is implemented by the writer of a response on a connection whose requests
// run at the same time.
type streamStarter interface {
	// BeginStreaming reports whether a response may be sent before it is complete.
	BeginStreaming() bool
}

// mayStream reports whether the client may get the response while it arrives.
func (x *request) mayStream() bool {
	starter, ok := x.w.(streamStarter)
	return !ok || starter.BeginStreaming()
}

// hold reserves memory for n more bytes of responses until the request has ended.
func (x *request) hold(n int64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.isDecided {
		return false // Another attempt has been chosen, or the request has ended.
	}
	if x.entry.heldBytes.Add(n) > x.entry.deps.settings.maxHeldBytes() {
		x.entry.heldBytes.Add(-n)
		return false
	}
	if !x.entry.deps.guard.HoldShared(n) {
		x.entry.heldBytes.Add(-n)
		return false
	}
	x.heldBytes += n
	x.sharedBytes += n
	return true
}

// holdStart reserves memory for the start of a response until the request has ended.
func (x *request) holdStart(n int64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.isDecided || !x.entry.deps.guard.HoldShared(n) {
		return false
	}
	x.sharedBytes += n
	return true
}

// releaseHeld releases the memory of the response once the request has ended.
func (x *request) releaseHeld() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.entry.heldBytes.Add(-x.heldBytes)
	x.entry.deps.guard.ReleaseShared(x.sharedBytes)
	x.heldBytes, x.sharedBytes = 0, 0
}

// bufferBody reads the start of a response body, or all of a short one, so that a truncated
// response can be retried or replaced. A longer body is read completely if the response may
// not be sent while it arrives, as far as memory allows.
func (x *request) bufferBody(resp *endpointResponse) *verdict.Error {
	if x.r.Method == http.MethodHead || resp.contentLength == 0 {
		_ = resp.body.Close()
		resp.isComplete = true
		return nil
	}
	withinLength := func(size int64) int64 {
		if resp.contentLength > 0 {
			return min(size, resp.contentLength)
		}
		return size
	}
	size := withinLength(bufferedResponseBytes)
	if !x.holdStart(size) {
		size = min(size, streamedPrefixBytes)
	}
	resp.buffered = make([]byte, 0, size)
	for {
		if failure := resp.readTo(size); failure != nil || resp.isComplete {
			return failure
		}
		if resp.contentLength == size {
			resp.finishBody()
			return nil
		}
		if x.mayStream() || max(size, resp.contentLength) >= maxHeldResponseBytes || !x.hold(bufferedResponseBytes) {
			return nil
		}
		size = withinLength(size + bufferedResponseBytes)
	}
}

// readTo reads until size bytes of the body are buffered or the body has ended.
func (resp *endpointResponse) readTo(size int64) *verdict.Error {
	chunk := make([]byte, min(size-int64(len(resp.buffered)), 16<<10))
	for int64(len(resp.buffered)) < size {
		n, err := resp.body.Read(chunk[:min(int64(len(chunk)), size-int64(len(resp.buffered)))])
		resp.buffered = append(resp.buffered, chunk[:n]...)
		if errors.Is(err, io.EOF) {
			resp.isComplete = true
			if resp.contentLength > int64(len(resp.buffered)) {
				return verdict.MayHaveRunErrorf(verdict.AnswerCut, io.ErrUnexpectedEOF, "the answer was cut")
			}
			return nil
		}
		if err != nil {
			_ = resp.body.Close()
			return verdict.MayHaveRunErrorf(verdict.AnswerCut, err, "the answer was cut")
		}
	}
	return nil
}

// finishBody reads the end of a body that is buffered completely, which frees the
// connection.
func (resp *endpointResponse) finishBody() {
	n, err := resp.body.Read(make([]byte, 1))
	if n > 0 || err != io.EOF {
		_ = resp.body.Close()
	}
	resp.isComplete = true
}
