package sidecar

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh/egress"
)

// uplink sends responses on the link of this instance in the order that
// egress.LinkScheduler decides.
type uplink struct {
	now func() time.Time

	mu        sync.Mutex
	scheduler *egress.LinkScheduler
	nextID    uint64
	// waiting holds a channel for each response with a waiting chunk, by response ID. It
	// is closed when the chunk may be sent.
	waiting map[uint64]chan struct{}
	timer   *time.Timer
}

func newUplink(now func() time.Time, bytesPerSecond float64) *uplink {
	u := &uplink{now: now, scheduler: egress.NewLinkScheduler(bytesPerSecond), waiting: make(map[uint64]chan struct{})}
	u.timer = time.AfterFunc(time.Hour, u.releaseDue)
	return u
}

// releaseDue releases the chunks that may be sent now.
func (u *uplink) releaseDue() {
	u.mu.Lock()
	defer u.mu.Unlock()
	released, wait := u.scheduler.Next(u.now())
	for _, id := range released {
		close(u.waiting[id])
		delete(u.waiting, id)
	}
	if wait > 0 {
		u.timer.Reset(wait)
	}
}

// countBytes counts bytes that are sent without scheduling.
func (u *uplink) countBytes(bytes int) {
	u.mu.Lock()
	u.scheduler.AddUnscheduled(u.now(), bytes)
	u.mu.Unlock()
}

// countHeader counts the header section of a request or response. On a narrow link that
// is full of large responses, the headers of rejections alone took 8% of the bandwidth.
func (u *uplink) countHeader(header http.Header) {
	bytes := startLineBytes
	for name, values := range header {
		for _, value := range values {
			bytes += len(name) + len(value) + len(": \r\n")
		}
	}
	u.countBytes(bytes)
}

// startLineBytes is the estimated size of a start line, the Date field and the end of
// the header section.
const startLineBytes = 100

// reserve reserves bandwidth for an expected response. release must be called once the
// response has started or will not come. If the link has no capacity, nothing is
// reserved and lateness is above 0.
func (u *uplink) reserve(e egress.ExpectedResponse) (release func(), lateness time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if lateness = u.scheduler.Lateness(u.now(), e); lateness > 0 {
		return nil, lateness
	}
	u.scheduler.Reserve(e.Bytes)
	return func() {
		u.mu.Lock()
		u.scheduler.Reserve(-e.Bytes)
		u.mu.Unlock()
	}, 0
}

// awaitRelease waits until a chunk may be sent.
func (u *uplink) awaitRelease(ctx context.Context, c egress.Chunk) error {
	u.mu.Lock()
	if u.scheduler.Submit(u.now(), c) {
		u.mu.Unlock()
		return nil
	}
	released := make(chan struct{})
	u.waiting[c.ResponseID] = released
	u.mu.Unlock()
	u.releaseDue()
	select {
	case <-released:
		return nil
	case <-ctx.Done():
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.scheduler.Cancel(c.ResponseID)
	delete(u.waiting, c.ResponseID)
	return ctx.Err()
}

// copyResponse sends a response body whose length is -1 if it is not known. Large
// bodies are sent in scheduled chunks. A truncated response ends with the error of its
// source. chunk holds what all chunks of the response have in common.
func (u *uplink) copyResponse(ctx context.Context, w io.Writer, body io.Reader, length int64, chunk egress.Chunk) error {
	u.mu.Lock()
	u.nextID++
	chunk.ResponseID = u.nextID
	u.mu.Unlock()
	bufferBytes := int64(egress.ChunkBytes)
	if length >= 0 {
		bufferBytes = min(bufferBytes, length+1) // The extra byte lets the first fill see the end.
	}
	buffer := make([]byte, bufferBytes)
	for sent := int64(0); ; {
		n, err := fill(body, buffer)
		if n > 0 {
			chunk.Bytes, chunk.RemainingBytes = n, max(length-sent, int64(n))
			if sent == 0 && err == io.EOF {
				u.countBytes(n)
			} else if err := u.awaitRelease(ctx, chunk); err != nil {
				return err
			}
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			sent += int64(n)
		}
		switch err {
		case nil:
		case io.EOF:
			return nil
		default:
			return err
		}
	}
}

// scheduledBody is the body of a call whose chunks are scheduled on the link.
type scheduledBody struct {
	ctx    context.Context
	uplink *uplink
	source io.ReadCloser
	call   *call
	chunk  egress.Chunk
}

// scheduleBody schedules the body of a call like a large response.
func (u *uplink) scheduleBody(ctx context.Context, c *call, body io.ReadCloser) io.ReadCloser {
	u.mu.Lock()
	u.nextID++
	id := u.nextID
	u.mu.Unlock()
	return &scheduledBody{ctx: ctx, uplink: u, source: body, call: c, chunk: egress.Chunk{
		ResponseID: id, RemainingBytes: c.bodyBytes(), SoftDeadline: c.bodySoftDeadline, Urgent: c.Stopping,
	}}
}

// Read implements io.Reader.
func (b *scheduledBody) Read(p []byte) (int, error) {
	b.call.onBodyStarted()
	n, err := b.source.Read(p[:min(len(p), egress.ChunkBytes)])
	if n == 0 {
		return 0, err
	}
	b.chunk.Bytes, b.chunk.RemainingBytes = n, max(b.chunk.RemainingBytes, int64(n))
	if err := b.uplink.awaitRelease(b.ctx, b.chunk); err != nil {
		return 0, err
	}
	b.chunk.RemainingBytes -= int64(n)
	return n, err
}

// Close implements io.Closer.
func (b *scheduledBody) Close() error { return b.source.Close() }

// fill reads until the buffer is full or the source ends. Unlike io.ReadFull it returns
// the error of the source, which tells a truncated body from a complete one.
func fill(source io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var m int
		m, err = source.Read(buffer[n:])
		n += m
	}
	return n, err
}
