package transport

import (
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// packetOverhead is the size of the UDP and IPv4 headers of a packet in bytes.
const packetOverhead = 28

// Traffic counts bytes on the wire, including UDP and IP headers and handshakes.
type Traffic struct {
	SentBytes     uint64
	ReceivedBytes uint64
}

// Stats is what a Transport has sent and received since it was opened.
type Stats struct {
	// Control is the traffic of control connections, and CrossRegion the part of it
	// that is exchanged with nodes of other regions.
	Control     Traffic
	CrossRegion Traffic
	// Calls is the traffic of call connections.
	Calls Traffic
	// MessagesSent and MessagesReceived count control messages, excluding replies.
	MessagesSent     uint64
	MessagesReceived uint64
	// FailedDials counts dials that did not establish a connection. Their traffic,
	// about 10 KB each if the peer is unresponsive, is not part of the other counters.
	FailedDials uint64
	// OpenConnections is the number of open connections.
	OpenConnections int
}

type counters struct {
	messagesSent     atomic.Uint64
	messagesReceived atomic.Uint64
	failedDials      atomic.Uint64

	mu                sync.Mutex
	closedConnections Stats
}

func (t *Traffic) add(s quic.ConnectionStats) {
	t.SentBytes += s.BytesSent + s.PacketsSent*packetOverhead
	t.ReceivedBytes += s.BytesReceived + s.PacketsReceived*packetOverhead
}

func (s *Stats) addConn(c *conn, otherRegion bool) {
	stats := c.quic.ConnectionStats()
	if c.class == callTraffic {
		s.Calls.add(stats)
		return
	}
	s.Control.add(stats)
	if otherRegion {
		s.CrossRegion.add(stats)
	}
}

func (k *counters) addClosed(c *conn, otherRegion bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closedConnections.addConn(c, otherRegion)
}

// Stats returns the counters. A connection that closes during the call may be
// counted twice or not at all in the result; later results are correct.
func (t *Transport) Stats() Stats {
	t.stats.mu.Lock()
	total := t.stats.closedConnections
	t.stats.mu.Unlock()
	for _, c := range t.connections() {
		total.addConn(c, t.options.IsOtherRegion(c.address))
		total.OpenConnections++
	}
	total.FailedDials = t.stats.failedDials.Load()
	total.MessagesSent = t.stats.messagesSent.Load()
	total.MessagesReceived = t.stats.messagesReceived.Load()
	return total
}
