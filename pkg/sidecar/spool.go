package sidecar

import (
	"io"
	"sync"

	"golang.org/x/sync/semaphore"

	"github.com/azurespring/azurespring/pkg/mesh/egress"
)

// Bounds of what is read ahead of endpoints' answers: of one, and of all of a
// node. Machines have 184 MB or more, of which answers on their way to narrow
// links may take a part.
const (
	maxSpooledAnswer = 1 << 20
	maxSpooled       = 24 << 20
)

// spoolChunk is how much is read from the endpoint at once.
const spoolChunk = 16 << 10

// largeAnswer is the size from which an answer is read ahead and sent in turn with
// others.
const largeAnswer = egress.ChunkBytes

// spools bounds the memory of all spools of a node.
type spools struct{ free *semaphore.Weighted }

func newSpools() *spools { return &spools{free: semaphore.NewWeighted(maxSpooled)} }

// spool reads an answer from its endpoint as fast as that delivers it, so that the
// endpoint's slot is free while the answer waits for the link. It ends as the
// answer does: a cut comes out at the same place.
type spool struct {
	source io.ReadCloser
	cancel func()

	mu      sync.Mutex
	changed *sync.Cond
	// content was read from the source and not yet from here; err is how the source
	// ended.
	content []byte
	err     error
	closed  bool
}

// wrap reads ahead of source, whose length is -1 if it is not known. Small answers,
// and those for which no memory is left, stay as they are. cancel must make a read
// of source end.
func (s *spools) wrap(source io.ReadCloser, length int64, cancel func()) io.ReadCloser {
	size := int64(maxSpooledAnswer)
	if length >= 0 {
		size = min(size, length)
	}
	if size < largeAnswer || !s.free.TryAcquire(size) {
		return source
	}
	p := &spool{source: source, cancel: cancel}
	p.changed = sync.NewCond(&p.mu)
	go func() {
		p.fill()
		_ = source.Close()
		p.awaitReader()
		s.free.Release(size)
	}()
	return p
}

func (p *spool) fill() {
	chunk := make([]byte, spoolChunk)
	for {
		n, err := p.source.Read(chunk)
		p.mu.Lock()
		p.content = append(p.content, chunk[:n]...)
		p.err = err
		p.changed.Broadcast()
		for len(p.content)+spoolChunk > maxSpooledAnswer && !p.closed && err == nil {
			p.changed.Wait()
		}
		done := p.closed || err != nil
		p.mu.Unlock()
		if done {
			return
		}
	}
}

// awaitReader waits until the content is no longer needed.
func (p *spool) awaitReader() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed && (p.err == nil || len(p.content) > 0) {
		p.changed.Wait()
	}
}

// Read implements io.Reader.
func (p *spool) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.content) == 0 && p.err == nil && !p.closed {
		p.changed.Wait()
	}
	switch {
	case p.closed:
		return 0, io.ErrClosedPipe
	case len(p.content) == 0:
		return 0, p.err
	}
	n := copy(b, p.content)
	p.content = p.content[n:]
	p.changed.Broadcast()
	return n, nil
}

// Close implements io.Closer.
func (p *spool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.changed.Broadcast()
	return nil
}
