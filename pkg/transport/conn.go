package transport

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// Application error codes of connections and streams.
const (
	codeClosed quic.ApplicationErrorCode = iota
	codeProtocol
	codeUnused
)

const (
	// streamCanceled is sent by Cancel.
	streamCanceled quic.StreamErrorCode = iota + 1
	// streamRefused means that no handler saw the stream.
	streamRefused
	// streamUnneeded means that the handler answered without reading the rest.
	streamUnneeded
)

// conn is one QUIC connection. Both ends may open streams on it.
type conn struct {
	transport *Transport
	quic      *quic.Conn
	class     class
	address   string
	socket    *socket
	peer      Peer
	dialed    bool

	opened   atomic.Int64 // streams opened here that have not ended
	accepted atomic.Int64 // streams whose handler runs
	lastUse  atomic.Int64 // Unix milliseconds
	lastOpen atomic.Int64 // Unix milliseconds
	silence  silence

	// retired is set when no more streams may be opened. drained and peerDrained
	// are closed when the streams opened here and by the peer have ended.
	retired       atomic.Bool
	drained       chan struct{}
	drainOnce     sync.Once
	peerDrained   chan struct{}
	peerDrainOnce sync.Once
}

func (c *conn) touch() { c.lastUse.Store(time.Now().UnixMilli()) }

func (c *conn) touchOpen() {
	now := time.Now().UnixMilli()
	c.lastUse.Store(now)
	c.lastOpen.Store(now)
}

func (c *conn) unused(now time.Time) bool {
	return c.opened.Load() == 0 && c.accepted.Load() == 0 &&
		now.Sub(time.UnixMilli(c.lastUse.Load())) > unusedAfter
}

// watch runs when the connection has ended.
func (c *conn) watch() {
	defer c.transport.tasks.Done()
	c.transport.forget(c)
}

func (c *conn) acceptStreams() {
	defer c.transport.tasks.Done()
	for {
		stream, err := c.quic.AcceptStream(context.Background())
		if err != nil {
			return
		}
		c.accepted.Add(1)
		c.transport.tasks.Add(1)
		go c.serve(stream)
	}
}

// serve runs the handler of one stream. A panic ends the stream only.
func (c *conn) serve(stream *quic.Stream) {
	s := &acceptedStream{Stream: stream}
	defer func() {
		if r := recover(); r != nil {
			c.transport.options.Scope.Counter("handler_panics").Inc(1)
			c.transport.options.Logger.WithField("peer", c.peer.Instance).
				Errorf("panic in a stream handler: %v\n%s", r, debug.Stack())
		}
		s.finish()
		c.touch()
		c.accepted.Add(-1)
		c.transport.tasks.Done()
	}()
	if c.class == control {
		c.serveMessage(s)
		return
	}
	handler := c.transport.callHandler.Load()
	if handler == nil {
		s.refuse()
		return
	}
	(*handler)(stream.Context(), c.peer, s)
}
