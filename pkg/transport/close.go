package transport

import (
	"context"
	"io"
	"sync"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// The notices that travel on unidirectional streams, one byte each. A node that
// sent drained opens no more streams on the connection and has read the ends of
// those that it opened, so the peer can close it without cutting an answer off.
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
// ends it aborts what is left and returns an error. Handlers keep running for
// streams that arrive until the peers know.
func (t *Transport) Close(ctx context.Context) error {
	t.mu.Lock()
	first := !t.closing
	t.closing = true
	t.mu.Unlock()
	if !first {
		return ErrClosed
	}
	_ = t.listener.Close()
	var waits sync.WaitGroup
	for _, c := range t.connections() {
		waits.Go(func() { c.shutdown(ctx) })
	}
	waits.Wait()
	cut := ctx.Err()
	t.cancel()
	err := t.release(ctx)
	if cut != nil {
		return eris.Wrap(cut, "streams were cut off")
	}
	return err
}

// release frees the socket and waits for the goroutines.
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
		return eris.Wrap(ctx.Err(), "handlers still run")
	}
}

// shutdown closes one connection after its streams have ended.
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

// retire takes the connection out of use; its open streams go on.
func (c *conn) retire() {
	c.transport.pools[c.class].remove(c)
	c.retired.Store(true)
	if c.opened.Load() == 0 {
		c.finishDrain()
	}
}

// beginOpen counts a stream that is about to be opened. It returns false if the
// connection is retired. The count comes before the look at retired, as retire
// sets retired before it looks at the count, so one of them sees the other.
func (c *conn) beginOpen() bool {
	c.opened.Add(1)
	if c.retired.Load() {
		c.endOpened()
		return false
	}
	return true
}

func (c *conn) endOpened() {
	if c.opened.Add(-1) == 0 && c.retired.Load() {
		c.finishDrain()
	}
}

// finishDrain tells the peer, once, that the streams opened here have ended.
func (c *conn) finishDrain() {
	c.drainOnce.Do(func() {
		close(c.drained)
		c.notify(noticeDrained)
	})
}

// notify sends a notice. If that fails, the connection is broken or closing,
// and the peer learns of its end instead.
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
