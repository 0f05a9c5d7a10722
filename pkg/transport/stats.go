package transport

import (
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// packetOverhead is the size of the UDPProxy and IPv4 headers of a packet in bytes.
const packetOverhead = 28

// Traffic counts bytes on the wire, with UDPProxy and IP headers and handshakes.
type Traffic struct {
	SentBytes     uint64
	ReceivedBytes uint64
}

// Stats is what a Transport has sent and received since it was opened.
type Stats struct {
	// Control is the traffic of control connections, and CrossRegionBytes the part of
	// it with nodes of other regions.
	Control     Traffic
	CrossRegion Traffic
	// Calls is the traffic of call connections.
	Calls Traffic
	// MessagesSent and MessagesReceived count control messages without replies.
	MessagesSent     uint64
	MessagesReceived uint64
	// FailedDials counts dials without a connection. Their traffic, about 10 KB
	// each if nobody answers, is not part of the other counters.
	FailedDials uint64
	// OpenConnections is the number of open connections.
	OpenConnections int
}

type counters struct {
	messagesSent     atomic.Uint64
	messagesReceived atomic.Uint64
	failedDials      atomic.Uint64

	mu     sync.Mutex
	closed Stats
}

func (t *Traffic) add(s quic.ConnectionStats) {
	t.SentBytes += s.BytesSent + s.PacketsSent*packetOverhead
	t.ReceivedBytes += s.BytesReceived + s.PacketsReceived*packetOverhead
}

func (s *Stats) addConn(c *conn, otherRegion bool) {
	stats := c.quic.ConnectionStats()
	if c.class == calls {
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
	k.closed.addConn(c, otherRegion)
}

// Stats returns the counters. A connection that closes during the call may be
// counted twice or not at all in this one result.
func (t *Transport) Stats() Stats {
	t.stats.mu.Lock()
	total := t.stats.closed
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
