package transport

import (
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// ErrClosed is returned once Close has been called.
var ErrClosed = eris.New("transport closed")

// trafficClass separates control messages from calls, so that a large transfer of
// control messages does not delay calls. The dialer sends the class as the TLS
// server name.
type trafficClass uint8

const (
	controlTraffic trafficClass = iota
	callTraffic
	trafficClassCount
)

var serverNames = [trafficClassCount]string{controlTraffic: "control.azurespring", callTraffic: "calls.azurespring"}

// Transport exchanges messages and call streams with other nodes over QUIC. It is
// safe for concurrent use.
type Transport struct {
	options  Options
	codec    *codec
	alpn     []string
	sockets  *socketSet
	listener *quic.Listener
	pools    [trafficClassCount]*pool
	stats    counters

	messageHandlers sync.Map // Kind to MessageHandler
	callHandler     atomic.Pointer[CallHandler]

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu      sync.Mutex
	closing bool
	conns   map[*conn]struct{}
}

var (
	_ Requester  = (*Transport)(nil)
	_ CallOpener = (*Transport)(nil)
)

// Listen opens the UDP socket and accepts connections. It fails if the listen
// address cannot be resolved or bound.
func Listen(o Options) (*Transport, error) {
	o.setDefaults()
	address, err := net.ResolveUDPAddr("udp", o.ListenAddress)
	if err != nil {
		return nil, eris.Wrap(err, "resolve listen address")
	}
	codec, err := newCodec()
	if err != nil {
		return nil, err
	}
	resetKey, err := o.TLS.resetKey()
	if err != nil {
		return nil, err
	}
	udp, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, eris.Wrap(err, "open UDP socket")
	}
	main := &socket{udp: udp, quic: &quic.Transport{Conn: udp, StatelessResetKey: resetKey}}
	t := &Transport{
		options: o, codec: codec, alpn: alpn(o.ProtocolVersions),
		sockets: newSocketSet(main), conns: make(map[*conn]struct{}),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	for c := range trafficClassCount {
		t.pools[c] = newPool(t, c)
	}
	t.listener, err = main.quic.Listen(o.TLS.serverConfig(t.alpn), quicConfig(maxCallStreams))
	if err != nil {
		t.cancel()
		main.close()
		return nil, eris.Wrap(err, "listen")
	}
	t.tasks.Add(2)
	go t.acceptConnections()
	go t.monitorConnections()
	return t, nil
}

// alpn returns the ALPN identifiers of the protocol versions, newest first. A TLS
// server selects the first of its own list that the client also offers.
func alpn(protocols []int) []string {
	sorted := slices.Sorted(slices.Values(protocols))
	slices.Reverse(sorted)
	names := make([]string, 0, len(sorted))
	for _, version := range sorted {
		names = append(names, alpnPrefix+strconv.Itoa(version))
	}
	return names
}

func quicConfig(maxStreams int64) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeIdleTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAliveInterval,
		MaxIncomingStreams:   maxStreams,
		// The windows bound the data that a node buffers for a peer: 1 MB per call and
		// 4 MB per connection, enough for 60 MB/s over a round trip of 16 ms.
		InitialStreamReceiveWindow:     256 << 10,
		MaxStreamReceiveWindow:         1 << 20,
		InitialConnectionReceiveWindow: 512 << 10,
		MaxConnectionReceiveWindow:     4 << 20,
		MaxIncomingUniStreams:          maxUniStreams,
	}
}

// Address returns the bound IP and port.
func (t *Transport) Address() string { return t.sockets.main.udp.LocalAddr().String() }

// HandleMessage sets the handler of messages of a kind.
func (t *Transport) HandleMessage(kind Kind, h MessageHandler) { t.messageHandlers.Store(kind, h) }

// HandleCalls sets the handler of call streams. Streams that arrive before it is
// set are rejected; IsStreamRefused is then true for the error that the peer gets.
func (t *Transport) HandleCalls(h CallHandler) { t.callHandler.Store(&h) }

// OpenCall implements CallOpener. The caller reads the stream to its end and
// calls CloseWrite, or calls Cancel; until then Close waits for the stream.
func (t *Transport) OpenCall(ctx context.Context, address string) (Stream, error) {
	c, stream, err := t.pools[callTraffic].openStream(ctx, address)
	if err != nil {
		return nil, err
	}
	return &openedStream{Stream: stream, conn: c}, nil
}

func (t *Transport) acceptConnections() {
	defer t.tasks.Done()
	for {
		quicConn, err := t.listener.Accept(t.ctx)
		if err != nil {
			if !errors.Is(err, quic.ErrServerClosed) && t.ctx.Err() == nil {
				t.options.Logger.WithError(err).Error("stopped accepting connections")
			}
			return
		}
		class := controlTraffic
		if quicConn.ConnectionState().TLS.ServerName == serverNames[callTraffic] {
			class = callTraffic
		}
		c, err := t.register(quicConn, class, quicConn.RemoteAddr().String(), t.sockets.main, false)
		if err != nil {
			continue
		}
		t.pools[class].addIfAbsent(c)
	}
}

// register adds an established connection and starts to serve its streams.
func (t *Transport) register(quicConn *quic.Conn, connClass trafficClass, address string, source *socket, dialed bool) (*conn, error) {
	state := quicConn.ConnectionState().TLS
	protocol, err := strconv.Atoi(strings.TrimPrefix(state.NegotiatedProtocol, alpnPrefix))
	if err != nil || len(state.PeerCertificates) == 0 {
		_ = quicConn.CloseWithError(codeProtocol, "no protocol version or certificate")
		return nil, eris.Errorf("connection with %s has no protocol version or certificate", address)
	}
	c := &conn{
		transport: t, quic: quicConn, class: connClass, address: address, socket: source, dialed: dialed,
		drained: make(chan struct{}), peerDrained: make(chan struct{}),
		peer: Peer{
			Instance: instanceName(state.PeerCertificates[0]),
			Address:  quicConn.RemoteAddr().String(), ProtocolVersion: protocol,
		},
	}
	c.recordUse()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing {
		_ = quicConn.CloseWithError(codeClosed, "closing")
		return nil, ErrClosed
	}
	t.conns[c] = struct{}{}
	t.tasks.Add(3)
	go c.acceptStreams()
	go c.acceptNotices()
	context.AfterFunc(quicConn.Context(), c.removeClosed)
	return c, nil
}

func (t *Transport) removeConnection(c *conn) {
	t.pools[c.class].connectionEnded(c, context.Cause(c.quic.Context()))
	t.mu.Lock()
	delete(t.conns, c)
	t.mu.Unlock()
	t.stats.addClosed(c, t.options.IsOtherRegion(c.address))
	if c.dialed {
		t.sockets.release(c.socket)
	}
}

func (t *Transport) connections() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		list = append(list, c)
	}
	return list
}
