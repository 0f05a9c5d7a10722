package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/azurespring/azurespring/pkg/mesh/egress"
)

// trackedBody is the response body of an endpoint. Close closes the channel closed.
type trackedBody struct {
	io.Reader
	closed chan struct{}
}

func newTrackedBody(r io.Reader) *trackedBody {
	return &trackedBody{Reader: r, closed: make(chan struct{})}
}

func (b *trackedBody) Close() error {
	close(b.closed)
	return nil
}

func awaitClosed(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		t.Fatal(what)
	}
}

var largeBody = bytes.Repeat([]byte("0123456789abcdef"), 8<<10)

// Verifies that the slot of an endpoint is released while its response waits for a slow
// link or client.
func TestSlotIsReleasedBeforeResponseIsSent(t *testing.T) {
	source := newTrackedBody(bytes.NewReader(largeBody))
	body := newReadAheadPool(maxReadAheadTotalBytes, nil).wrap(source, int64(len(largeBody)), func() {})
	awaitClosed(t, "the response was not read ahead", source.closed)
	content, err := io.ReadAll(body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(content, largeBody))
}

// Verifies that a truncated response still ends with the error of its source and keeps
// all bytes before it. Otherwise it looks complete to the client, or loses data.
func TestTruncatedResponseStaysTruncated(t *testing.T) {
	broken := errors.New("connection reset")
	for _, length := range []int64{int64(len(largeBody)) + 1, -1} {
		source := newTrackedBody(io.MultiReader(bytes.NewReader(largeBody), iotest.ErrReader(broken)))
		body := newReadAheadPool(maxReadAheadTotalBytes, nil).wrap(source, length, func() {})
		var sent bytes.Buffer
		err := newUplink(time.Now, 0).copyResponse(t.Context(), &sent, body, length, egress.Chunk{SoftDeadline: time.Now()})
		assert.Assert(t, errors.Is(err, broken), "%v", err)
		assert.Assert(t, bytes.Equal(sent.Bytes(), largeBody))
	}
}

// Verifies that reading ahead of a response of unknown length stops at the memory limit
// and continues once the client reads. Otherwise it fills the memory, or long responses
// end early.
func TestReadAheadOfLongResponseWaitsForReader(t *testing.T) {
	const size = 5 * maxReadAheadResponseBytes
	body := newReadAheadPool(maxReadAheadTotalBytes, nil).wrap(newTrackedBody(io.LimitReader(endlessReader{}, size)), -1, func() {})
	buffer := body.(*readAheadBuffer)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		buffer.mu.Lock()
		defer buffer.mu.Unlock()
		if len(buffer.buffered) > maxReadAheadResponseBytes-2*readAheadChunkBytes {
			return poll.Success()
		}
		return poll.Continue("%d bytes read ahead", len(buffer.buffered))
	}, poll.WithTimeout(testTimeout))
	buffer.mu.Lock()
	assert.Assert(t, len(buffer.buffered) <= maxReadAheadResponseBytes)
	buffer.mu.Unlock()
	n, err := io.Copy(io.Discard, body)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(size))
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// Verifies that the memory of responses that nobody reads to the end, and of those that
// are read but not closed, is released.
func TestReadAheadMemoryIsReleased(t *testing.T) {
	pool := newReadAheadPool(maxReadAheadTotalBytes, nil)
	const responseBytes = maxReadAheadResponseBytes
	for range 3 * maxReadAheadTotalBytes / responseBytes {
		ctx, cancel := context.WithCancel(t.Context())
		blocked := newTrackedBody(readerFunc(func([]byte) (int, error) {
			<-ctx.Done()
			return 0, ctx.Err()
		}))
		body := pool.wrap(blocked, responseBytes, cancel)
		assert.NilError(t, body.Close())
		awaitClosed(t, "the endpoint's response was not closed", blocked.closed)

		consumed := pool.wrap(newTrackedBody(bytes.NewReader(largeBody)), responseBytes, func() {})
		_, err := io.ReadAll(consumed)
		assert.NilError(t, err)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if pool.freeBytes.TryAcquire(maxReadAheadTotalBytes) {
			return poll.Success()
		}
		return poll.Continue("memory is still reserved")
	}, poll.WithTimeout(testTimeout))
	// If no memory is free, the response is passed on without reading ahead.
	body := pool.wrap(newTrackedBody(strings.NewReader("x")), responseBytes, func() {})
	_, isReadAhead := body.(*readAheadBuffer)
	assert.Assert(t, !isReadAhead)
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Verifies that a small response does not wait behind large ones, and that large ones
// keep to the rate of the link and complete.
func TestSmallResponseIsNotDelayedByLargeOnes(t *testing.T) {
	const rate = 4 << 20
	u := newUplink(time.Now, rate)
	started := time.Now()
	done := make(chan error, 8)
	for range cap(done) {
		go func() {
			done <- u.copyResponse(t.Context(), io.Discard, bytes.NewReader(largeBody), int64(len(largeBody)), egress.Chunk{SoftDeadline: started.Add(time.Second)})
		}()
	}
	smallStarted := time.Now()
	assert.NilError(t, u.copyResponse(t.Context(), io.Discard, strings.NewReader("small"), 5, egress.Chunk{SoftDeadline: started}))
	waited := time.Since(smallStarted)
	for range cap(done) {
		assert.NilError(t, <-done)
	}
	took := time.Since(started)
	minDuration := time.Duration(float64(cap(done)*len(largeBody)) / rate * float64(time.Second))
	assert.Assert(t, took > minDuration*9/10, "1 MiB took %v at 4 MiB/s", took)
	assert.Assert(t, waited < took/2, "the small response waited %v of %v", waited, took)
}

// Verifies that a response whose caller is gone is removed from the queue of the link.
func TestCanceledResponseLeavesLinkQueue(t *testing.T) {
	u := newUplink(time.Now, 1)
	u.countBytes(1 << 20)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := u.copyResponse(ctx, io.Discard, bytes.NewReader(largeBody), int64(len(largeBody)), egress.Chunk{SoftDeadline: time.Now()})
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
	assert.Equal(t, len(u.waiting), 0)
}
