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
	// streamCanceled is the code that Cancel sends.
	streamCanceled quic.StreamErrorCode = iota + 1
	// streamRefused means that the stream was not passed to a handler.
	streamRefused
	// streamRestUnneeded means that the handler responded without reading the rest
	// of the request.
	streamRestUnneeded
)

// conn is one QUIC connection. Both ends may open streams on it.
type conn struct {
	transport *Transport
	quic      *quic.Conn
	class     trafficClass
	address   string
	socket    *socket
	peer      Peer
	dialed    bool

	openedStreams    atomic.Int64 // streams opened here that have not ended
	runningHandlers  atomic.Int64 // handlers of streams that the peer opened
	lastUsedMillis   atomic.Int64 // Unix milliseconds
	lastOpenedMillis atomic.Int64 // Unix milliseconds
	responsiveness   responsiveness

	// retired is set when no more streams may be opened. drained and peerDrained
	// are closed when the streams opened here and by the peer have ended.
	retired       atomic.Bool
	drained       chan struct{}
	drainOnce     sync.Once
	peerDrained   chan struct{}
	peerDrainOnce sync.Once
}

func (c *conn) recordUse() { c.lastUsedMillis.Store(time.Now().UnixMilli()) }

func (c *conn) recordStreamOpened() {
	now := time.Now().UnixMilli()
	c.lastUsedMillis.Store(now)
	c.lastOpenedMillis.Store(now)
}

func (c *conn) isUnused(now time.Time) bool {
	return c.openedStreams.Load() == 0 && c.runningHandlers.Load() == 0 &&
		now.Sub(time.UnixMilli(c.lastUsedMillis.Load())) > unusedTimeout
}

// removeClosed is called when the connection has ended.
func (c *conn) removeClosed() {
	defer c.transport.tasks.Done()
	c.transport.removeConnection(c)
}

func (c *conn) acceptStreams() {
	defer c.transport.tasks.Done()
	for {
		stream, err := c.quic.AcceptStream(context.Background())
		if err != nil {
			return
		}
		c.runningHandlers.Add(1)
		c.transport.tasks.Add(1)
		go c.serve(stream)
	}
}

// serve runs the handler of one stream. A panic of the handler ends only that
// stream.
func (c *conn) serve(stream *quic.Stream) {
	s := &acceptedStream{Stream: stream}
	defer func() {
		if r := recover(); r != nil {
			c.transport.options.Scope.Counter("handler_panics").Inc(1)
			c.transport.options.Logger.WithField("peer", c.peer.Instance).
				Errorf("panic in a stream handler: %v\n%s", r, debug.Stack())
		}
		s.finish()
		c.recordUse()
		c.runningHandlers.Add(-1)
		c.transport.tasks.Done()
	}()
	if c.class == controlTraffic {
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
