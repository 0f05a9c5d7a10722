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

// Timeouts and intervals of connections.
const (
	keepAliveInterval = time.Second
	// idleTimeout is 2 s so that an unresponsive connection ends within 3 s: the idle
	// time may start with a keep-alive packet that is sent 1 s after the last
	// received packet.
	idleTimeout = 2 * time.Second
	// handshakeIdleTimeout and dialTimeout bound a handshake. They leave time for
	// the key operations of a mass restart.
	handshakeIdleTimeout = 2 * time.Second
	dialTimeout          = 3 * time.Second
	// unusedTimeout is the time without streams after which a connection is closed. It
	// bounds the keep-alive traffic, about 70 B/s per idle connection and direction.
	unusedTimeout = 30 * time.Second
	// reapInterval is the interval between two checks for unused connections and expired
	// address states.
	reapInterval = 5 * time.Second
	// minDialBackoff and the maximum of the traffic class bound the delay after a
	// failed dial. A dial to an unresponsive peer sends about 10 KB, which counts as
	// control traffic for gateways of partitioned regions. The delay for calls is
	// shorter, because a restarted peer is reachable again at its old address.
	minDialBackoff        = 50 * time.Millisecond
	maxControlDialBackoff = 3 * time.Second
	maxCallDialBackoff    = time.Second
)

// Limits of concurrent streams per connection.
const (
	maxCallStreams    = 4096
	maxControlStreams = 256
	maxUniStreams     = 4
)

// Options configures a Transport.
type Options struct {
	// ListenAddress is the IP and port of the UDP socket. Port 0 picks a free port.
	ListenAddress string
	TLS           *TLSSource
	// ProtocolVersions are the supported versions; the default is ProtocolV1 alone.
	ProtocolVersions []int
	// Logger and Scope default to implementations that discard their input.
	Logger *logrus.Logger
	Scope  tally.Scope
	// Clock stamps messages; the default uses the system time.
	Clock *timeline.Clock
	// IsOtherRegion reports whether the node at address is in another region, for
	// Stats. It must be safe for concurrent use. The default reports false.
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
