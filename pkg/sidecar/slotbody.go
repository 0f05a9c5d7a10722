package sidecar

import (
	"io"
	"sync"
)

// slotBody is a response body that releases the slot of its call when the body ends.
type slotBody struct {
	io.ReadCloser
	once sync.Once
	// onDone is called once, when the body has ended or is closed. complete is set if it
	// was read to its end; bytes is then the size of the body.
	onDone func(complete bool, bytes int64)
	bytes  int64
	// isCut is set if the body ended with an error.
	isCut bool
}

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	if err != nil {
		b.once.Do(func() {
			b.isCut = err != io.EOF
			b.onDone(err == io.EOF, b.bytes)
		})
	}
	return n, err
}

// abort releases the slot without waiting for the reader, which may be blocked by a
// client that does not read. The end of the call's context closes the connection.
func (b *slotBody) abort() { b.once.Do(func() { b.onDone(false, 0) }) }

// Close implements io.Closer.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.abort()
	return err
}
