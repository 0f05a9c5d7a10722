package sidecar

import (
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/clientlimit"
	"github.com/azurespring/azurespring/pkg/mesh/overload"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// ClientLimits bounds what the clients of a node may hold and how slow they may be. Zero
// values get defaults that depend on the instance.
type ClientLimits struct {
	// MemoryBytes is the memory of all clients together.
	MemoryBytes int64
	// OutboundDescriptors, InboundDescriptors and LocalDescriptors bound the connections of
	// the outbound, the inbound and each other listener. The requests that run at the outbound
	// listener count too.
	OutboundDescriptors, InboundDescriptors, LocalDescriptors int
	// HeaderBytes and HeaderFields bound a header section, HeaderTimeout the time in which it
	// arrives.
	HeaderBytes, HeaderFields int
	HeaderTimeout             time.Duration
	// PipelinedRequests is the number of requests of one connection that run or whose
	// responses are not yet read at the same time.
	PipelinedRequests int
	// WriteStall is the time within which a client takes 16 KB of a response.
	WriteStall time.Duration
	// SlowAfter is the time after which a client that moves fewer than MinBytesPerSecond may
	// be ended while memory or descriptors are short.
	SlowAfter         time.Duration
	MinBytesPerSecond float64
}

const (
	// maxHeaderFields is the number of fields that fit into 16,384 bytes, the limit of the
	// configurations.
	maxHeaderFields = 4096
	// writeStall lets a client read 1.6 KB a second.
	writeStall = 10 * time.Second
	// slowAfter is longer than an ordinary client pauses within a request.
	slowAfter         = time.Second
	minBytesPerSecond = 4 << 10
)

// withDefaults fills in the values that are not set.
func (c ClientLimits) withDefaults(memoryBytes int64, descriptors int) ClientLimits {
	d := overload.DefaultDescriptors(descriptors)
	fillInt := func(value *int, byDefault int) {
		if *value <= 0 {
			*value = byDefault
		}
	}
	fillDuration := func(value *time.Duration, byDefault time.Duration) {
		if *value <= 0 {
			*value = byDefault
		}
	}
	if c.MemoryBytes <= 0 {
		c.MemoryBytes = overload.DefaultMemoryBytes(memoryBytes)
	}
	fillInt(&c.OutboundDescriptors, d[overload.Outbound])
	fillInt(&c.InboundDescriptors, d[overload.Inbound])
	fillInt(&c.LocalDescriptors, d[overload.Readiness])
	fillInt(&c.HeaderBytes, maxClientHeaderBytes)
	fillInt(&c.HeaderFields, maxHeaderFields)
	fillInt(&c.PipelinedRequests, maxPipelinedRequests)
	fillDuration(&c.HeaderTimeout, clientHeaderTimeout)
	fillDuration(&c.WriteStall, writeStall)
	fillDuration(&c.SlowAfter, slowAfter)
	if c.MinBytesPerSecond <= 0 {
		c.MinBytesPerSecond = minBytesPerSecond
	}
	return c
}

// Validate returns an error that joins all limits that cannot be used; 0 stands for the
// default.
func (c ClientLimits) Validate() error {
	var errs []error
	for name, value := range map[string]float64{
		"client memory": float64(c.MemoryBytes), "outbound descriptors": float64(c.OutboundDescriptors),
		"inbound descriptors": float64(c.InboundDescriptors), "local descriptors": float64(c.LocalDescriptors),
		"header bytes": float64(c.HeaderBytes), "header fields": float64(c.HeaderFields), "header timeout": float64(c.HeaderTimeout),
		"pipelined requests": float64(c.PipelinedRequests), "write stall": float64(c.WriteStall), "slow after": float64(c.SlowAfter),
		"bytes per second": c.MinBytesPerSecond,
	} {
		if value < 0 {
			errs = append(errs, eris.Errorf("client limits: %s is negative", name))
		}
	}
	if c.HeaderBytes > maxClientHeaderBytes {
		errs = append(errs, eris.Errorf("client limits: header bytes are above %d", maxClientHeaderBytes))
	}
	return errors.Join(errs...)
}

// maxReadAheadBytes is the memory for reading ahead of all responses.
func (s Settings) maxReadAheadBytes() int64 {
	if s.Clients.MemoryBytes <= 0 {
		return maxReadAheadTotalBytes
	}
	return min(maxReadAheadTotalBytes, s.Clients.MemoryBytes/2)
}

// maxHeldBytes is the memory for responses that are held back until they are complete.
func (s Settings) maxHeldBytes() int64 {
	if s.Clients.MemoryBytes <= 0 {
		return maxHeldTotalBytes
	}
	return min(maxHeldTotalBytes, s.Clients.MemoryBytes/4)
}

// newClientGuard returns the guard of a node's listeners.
func newClientGuard(s *shared) *clientlimit.Guard {
	c := s.settings.Clients
	options := clientlimit.Options{
		Limits:      overload.Limits{MemoryBytes: c.MemoryBytes, SlowAfter: c.SlowAfter, MinBytesPerSecond: c.MinBytesPerSecond},
		HeaderBytes: 2 * c.HeaderBytes, HeaderFields: 2 * c.HeaderFields, HeaderTimeout: c.HeaderTimeout, WriteStall: c.WriteStall,
	}
	refusal := verdict.NotRunErrorf(verdict.Overloaded, "the endpoint's node is short of memory or descriptors")
	refusal.RetryAfter = memoryRetryAfter
	options.RefusalFields = map[overload.Listener]string{
		overload.Inbound: hopErrorHeader + ": " + encodeHopHeader(newHopError(refusal)) + "\r\n",
	}
	options.Descriptors[overload.Outbound], options.Descriptors[overload.Inbound] = c.OutboundDescriptors, c.InboundDescriptors
	for _, local := range []overload.Listener{overload.Readiness, overload.Control, overload.Metrics} {
		options.Descriptors[local] = c.LocalDescriptors
	}
	isPeer := func(host string) bool {
		_, port, err := net.SplitHostPort(s.settings.InboundAddress)
		return err == nil && s.hasNodeAt != nil && s.hasNodeAt(net.JoinHostPort(host, port))
	}
	return clientlimit.New(options, s.now, isPeer, func(listener overload.Listener, reason string) {
		s.metrics.clientRefused(listener.String(), reason)
		s.log.event("client_refused", fields{"listener": listener.String(), "reason": reason})
	})
}

// newOutboundServer returns the server for clients.
func (n *Node) newOutboundServer() *clientServer {
	server := newClientServer(n.entry, n.limits, n.logPanic, n.logCut)
	c := n.shared.settings.Clients
	server.headers = overload.HeaderScanner{MaxBytes: c.HeaderBytes, MaxFields: c.HeaderFields}
	server.headerTimeout, server.maxPipelined = c.HeaderTimeout, c.PipelinedRequests
	return server
}
