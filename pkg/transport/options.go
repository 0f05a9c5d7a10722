package transport

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/azurespring/azurespring/pkg/timeline"
)

// ProtocolV1 is the first version of the node-to-node protocol.
const ProtocolV1 = 1

// alpnPrefix precedes the version in the ALPN identifier.
const alpnPrefix = "azurespring/"

// Times of connections.
const (
	keepAlive = time.Second
	// maxIdle is less than 3 s because the idle time may start with a keep-alive
	// packet that is sent 1 s after the last received packet.
	maxIdle = 2 * time.Second
	// handshakeIdle and dialTimeout bound a handshake. They leave room for the
	// key operations of a restarting herd.
	handshakeIdle = 2 * time.Second
	dialTimeout   = 3 * time.Second
	// unusedAfter is when a connection without streams is closed. It bounds the
	// keep-alive traffic, about 70 B/s per idle connection and direction.
	unusedAfter  = 30 * time.Second
	reapInterval = 5 * time.Second
	// backoffMin and the maximum of the class bound the pause after a failed dial.
	// A dial that nobody answers sends about 10 KB, which counts as control traffic
	// for gateways of regions that lost each other. Calls wait less, because a
	// restarted peer reappears at its old address.
	backoffMin        = 50 * time.Millisecond
	controlBackoffMax = 3 * time.Second
	callsBackoffMax   = time.Second
)

// Bounds of streams per connection.
const (
	maxCallStreams    = 4096
	maxControlStreams = 256
	maxUniStreams     = 4
)

// Options configures a Transport.
type Options struct {
	// ListenAddress is the IP and port of the UDPProxy socket. Port 0 picks a free port.
	ListenAddress string
	TLS           *TLSSource
	// ProtocolVersions are the supported versions; the default is ProtocolV1 alone.
	ProtocolVersions []int
	// Logger and Scope default to ones that discard.
	Logger *logrus.Logger
	Scope  tally.Scope
	// Clock stamps messages; the default uses the system time.
	Clock *timeline.Clock
	// IsOtherRegion says whether the node at address is in another region, for
	// Stats. It must be safe for concurrent use. A nil function means no.
	IsOtherRegion func(address string) bool
}

func (o *Options) setDefaults() {
	if len(o.ProtocolVersions) == 0 {
		o.ProtocolVersions = []int{ProtocolV1}
	}
	if o.Logger == nil {
		o.Logger = logrus.New()
		o.Logger.SetLevel(logrus.PanicLevel)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Clock == nil {
		o.Clock = timeline.NewClock(time.Now)
	}
	if o.IsOtherRegion == nil {
		o.IsOtherRegion = func(string) bool { return false }
	}
}
