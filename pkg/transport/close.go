package transport

import (
	"context"
	"io"
	"sync"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// Notices are sent on unidirectional streams, one byte each. noticeGoingAway asks the
// peer to open no more streams on the connection. A node that has sent noticeDrained
// opens no more streams on the connection and has read those that it opened to their
// end, so the peer can close the connection without truncating a response.
const (
	noticeGoingAway byte = 1
	noticeDrained   byte = 2
)

// startTask registers background work unless the transport is closing.
func (t *Transport) startTask() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing {
		return false
	}
	t.tasks.Add(1)
	return true
}

// Close stops accepting connections, tells all peers to open no more streams,
// waits for open streams of both sides and closes the connections. When ctx
// ends it aborts the remaining streams and returns an error. Streams that arrive
// before the peers have received the notice are still served.
func (t *Transport) Close(ctx context.Context) error {
	t.mu.Lock()
	isFirst := !t.closing
	t.closing = true
	t.mu.Unlock()
	if !isFirst {
		return ErrClosed
	}
	_ = t.listener.Close()
	var shutdowns sync.WaitGroup
	for _, c := range t.connections() {
		shutdowns.Go(func() { c.shutdown(ctx) })
	}
	shutdowns.Wait()
	abortCause := ctx.Err()
	t.cancel()
	err := t.release(ctx)
	if abortCause != nil {
		return eris.Wrap(abortCause, "open streams were aborted")
	}
	return err
}

// release closes the sockets and waits for the background goroutines.
func (t *Transport) release(ctx context.Context) error {
	t.sockets.close()
	done := make(chan struct{})
	go func() {
		t.tasks.Wait()
		t.codec.close()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "stream handlers are still running")
	}
}

// shutdown closes one connection after the streams of both sides have ended, or
// when ctx ends.
func (c *conn) shutdown(ctx context.Context) {
	c.retire()
	c.notify(noticeGoingAway)
	for _, ended := range []<-chan struct{}{c.peerDrained, c.drained} {
		select {
		case <-ended:
		case <-c.quic.Context().Done():
			return
		case <-ctx.Done():
		}
	}
	_ = c.quic.CloseWithError(codeClosed, "closed")
}

// retire removes the connection from its pool. Its open streams continue.
func (c *conn) retire() {
	c.transport.pools[c.class].remove(c)
	c.retired.Store(true)
	if c.openedStreams.Load() == 0 {
		c.finishDrain()
	}
}

// beginStream counts a stream that is about to be opened. It returns false if the
// connection is retired. It increments the count before it reads retired, and
// retire sets retired before it reads the count, so at least one of the two
// observes the other.
func (c *conn) beginStream() bool {
	c.openedStreams.Add(1)
	if c.retired.Load() {
		c.endStream()
		return false
	}
	return true
}

func (c *conn) endStream() {
	if c.openedStreams.Add(-1) == 0 && c.retired.Load() {
		c.finishDrain()
	}
}

// finishDrain notifies the peer, once, that the streams opened here have ended.
func (c *conn) finishDrain() {
	c.drainOnce.Do(func() {
		close(c.drained)
		c.notify(noticeDrained)
	})
}

// notify sends a notice. Errors are ignored: if sending fails, the connection is
// broken or closing, which the peer detects by itself.
func (c *conn) notify(notice byte) {
	stream, err := c.quic.OpenUniStream()
	if err != nil {
		return
	}
	if _, err := stream.Write([]byte{notice}); err == nil {
		_ = stream.Close()
	}
}

func (c *conn) acceptNotices() {
	defer c.transport.tasks.Done()
	for {
		stream, err := c.quic.AcceptUniStream(context.Background())
		if err != nil {
			return
		}
		c.readNotice(stream)
	}
}

func (c *conn) readNotice(stream *quic.ReceiveStream) {
	var notice [1]byte
	if _, err := io.ReadFull(stream, notice[:]); err != nil {
		return
	}
	stream.CancelRead(streamCanceled)
	switch notice[0] {
	case noticeGoingAway:
		c.retire()
	case noticeDrained:
		c.peerDrainOnce.Do(func() { close(c.peerDrained) })
	}
}
