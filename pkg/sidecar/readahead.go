package sidecar

import (
	"io"
	"sync"

	"golang.org/x/sync/semaphore"

	"github.com/azurespring/azurespring/pkg/clientlimit"
	"github.com/azurespring/azurespring/pkg/mesh/egress"
)

// Limits of the memory for reading ahead, for one response and for all responses of a
// node. Instances have at least 184 MB, of which responses on their way to narrow links
// may use a part.
const (
	maxReadAheadResponseBytes = 1 << 20
	maxReadAheadTotalBytes    = 24 << 20
)

// readAheadChunkBytes is the size of one read from the endpoint.
const readAheadChunkBytes = 16 << 10

// largeResponseBytes is the size from which a response is read ahead and scheduled on
// the uplink.
const largeResponseBytes = egress.ChunkBytes

// readAheadPool bounds the memory of all read-ahead buffers of a node.
type readAheadPool struct {
	freeBytes *semaphore.Weighted
	// guard counts them as memory that clients hold.
	guard *clientlimit.Guard
}

func newReadAheadPool(totalBytes int64, guard *clientlimit.Guard) *readAheadPool {
	return &readAheadPool{freeBytes: semaphore.NewWeighted(totalBytes), guard: guard}
}

// readAheadBuffer reads a response body as fast as the endpoint delivers it, so that
// the slot of the endpoint is freed while the response waits for the link. Its reader
// sees the same bytes and the same final error: a response that was truncated ends at
// the same offset.
type readAheadBuffer struct {
	source io.ReadCloser
	cancel func()

	mu      sync.Mutex
	changed *sync.Cond
	// buffered holds the bytes that were read from source and not yet by the reader.
	// err is the error that source ended with.
	buffered []byte
	err      error
	closed   bool
}

// wrap reads ahead of source, whose length is -1 if it is not known. It returns source
// itself if the response is small or no memory is free. cancel must make a pending read
// of source return.
func (p *readAheadPool) wrap(source io.ReadCloser, length int64, cancel func()) io.ReadCloser {
	size := int64(maxReadAheadResponseBytes)
	if length >= 0 {
		size = min(size, length)
	}
	if size < largeResponseBytes || !p.freeBytes.TryAcquire(size) {
		return source
	}
	if !p.guard.HoldShared(size) {
		p.freeBytes.Release(size)
		return source
	}
	b := &readAheadBuffer{source: source, cancel: cancel}
	b.changed = sync.NewCond(&b.mu)
	go func() {
		b.fill()
		_ = source.Close()
		b.awaitReader()
		p.guard.ReleaseShared(size)
		p.freeBytes.Release(size)
	}()
	return b
}

func (b *readAheadBuffer) fill() {
	chunk := make([]byte, readAheadChunkBytes)
	for {
		n, err := b.source.Read(chunk)
		b.mu.Lock()
		b.buffered = append(b.buffered, chunk[:n]...)
		b.err = err
		b.changed.Broadcast()
		for len(b.buffered)+readAheadChunkBytes > maxReadAheadResponseBytes && !b.closed && err == nil {
			b.changed.Wait()
		}
		done := b.closed || err != nil
		b.mu.Unlock()
		if done {
			return
		}
	}
}

// awaitReader waits until the buffered bytes are no longer needed.
func (b *readAheadBuffer) awaitReader() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed && (b.err == nil || len(b.buffered) > 0) {
		b.changed.Wait()
	}
}

// Read implements io.Reader.
func (b *readAheadBuffer) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.buffered) == 0 && b.err == nil && !b.closed {
		b.changed.Wait()
	}
	switch {
	case b.closed:
		return 0, io.ErrClosedPipe
	case len(b.buffered) == 0:
		return 0, b.err
	}
	n := copy(p, b.buffered)
	b.buffered = b.buffered[n:]
	b.changed.Broadcast()
	return n, nil
}

// Close implements io.Closer.
func (b *readAheadBuffer) Close() error {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.cancel()
	b.changed.Broadcast()
	return nil
}
