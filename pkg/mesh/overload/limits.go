// Package overload decides which connections of clients a node accepts, and which it ends,
// while its memory or its descriptors are short.
package overload

import "time"

// Listener is one of the addresses at which a node accepts connections.
type Listener uint8

// The listeners of a node.
const (
	Outbound Listener = iota
	Inbound
	Readiness
	Control
	Metrics
	listenerCount
)

// String returns the name of the listener in logs and metrics.
func (l Listener) String() string {
	return [...]string{"outbound", "inbound", "readiness", "control", "metrics"}[l]
}

// Limits bounds what clients may hold. The zero value has no limits.
type Limits struct {
	// MemoryBytes bounds the memory that clients hold together, as Ledger.Hold counts it.
	MemoryBytes int64
	// Descriptors bounds the connections of each listener, and at Outbound also the requests
	// that run, each of which may need a connection of its own to an endpoint.
	Descriptors [listenerCount]int
	// SlowAfter is the time after which a peer that owes bytes is slow if it has moved fewer
	// than MinBytesPerSecond. A slow peer is ended first while something is short.
	SlowAfter         time.Duration
	MinBytesPerSecond float64
}

const (
	// filesReserve is the part of an instance's descriptors that is for files.
	filesReserve = 200
	// defaultDescriptors is assumed for an instance whose limit is not known: instances have
	// 4,100 to 8,192.
	defaultDescriptors = 4100
	// memoryFraction is the part of an instance's memory that clients may hold. The garbage
	// collector lets the heap grow to twice of what is in use, and the heap may use 0.6.
	memoryFraction = 0.25
	// defaultMemoryBytes is the part of an instance whose memory is not known.
	defaultMemoryBytes = 64 << 20
	// minLocalDescriptors is the least number of connections of a local listener.
	minLocalDescriptors = 8
)

// Fractions of the descriptors that are not for files. 160 clients with 16 requests each
// need 2,720 of 3,900. What is left is for the store, the endpoint and the listeners.
const (
	outboundFraction = 0.7
	inboundFraction  = 0.12
	localFraction    = 0.02
)

// DefaultMemoryBytes returns the memory that clients may hold on an instance with the given
// memory in bytes, 0 if it is not known.
func DefaultMemoryBytes(instanceBytes int64) int64 {
	if instanceBytes <= 0 {
		return defaultMemoryBytes
	}
	return int64(memoryFraction * float64(instanceBytes))
}

// DefaultDescriptors returns the descriptors of each listener on an instance with the given
// number of descriptors, 0 if it is not known.
func DefaultDescriptors(instanceDescriptors int) [listenerCount]int {
	if instanceDescriptors <= 0 {
		instanceDescriptors = defaultDescriptors
	}
	usable := float64(max(instanceDescriptors-filesReserve, filesReserve/4))
	local := max(int(localFraction*usable), minLocalDescriptors)
	return [listenerCount]int{
		Outbound: int(outboundFraction * usable), Inbound: int(inboundFraction * usable),
		Readiness: local, Control: local, Metrics: local,
	}
}
