package sidecar

import (
	"net"
	"time"

	"github.com/azurespring/azurespring/pkg/clientlimit"
	"github.com/azurespring/azurespring/pkg/mesh/overload"
)

// benchListener counts what the clients of a listener use, as a node does.
func benchListener(l net.Listener) net.Listener {
	limits := overload.Limits{MemoryBytes: 64 << 20, Descriptors: overload.DefaultDescriptors(0), SlowAfter: time.Second, MinBytesPerSecond: 4096}
	guard := clientlimit.New(clientlimit.Options{Limits: limits, WriteStall: 10 * time.Second}, time.Now,
		func(string) bool { return false }, func(overload.Listener, string) {})
	return guard.Listen(l, overload.Outbound)
}
