package sidecar

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
)

// Guards against requests that are lost on a machine which is gone for good, again and
// again after each ejection: on a recorded day (inc-478e) about ten a second, each
// 300 ms late.
func TestLostNodeGetsNoRequestsUntilItCanBeReached(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())

	log := newEventLog(io.Discard, testOrigin, func() uint64 { return 1 })
	defer log.close(time.Second)
	deps := &shared{now: time.Now, log: log, metrics: &metrics{scope: tally.NoopScope}}
	hops := newHopClient(deps)
	entry := func(name, at string) mesh.Instance {
		return mesh.Instance{
			Name: name, Address: at, FailureDomain: "d", Region: "r",
			Endpoints: []mesh.Endpoint{{ID: name, Service: "s", Version: "v", Slots: 100}},
		}
	}
	builder := placement.NewBuilder(placement.Locality{Instance: "x", FailureDomain: "d", Region: "r"})
	deps.table.Store(builder.Build(time.Now(), []mesh.Instance{entry("gone", address), entry("there", "127.0.0.1:1")}))
	chosen := func() map[string]int {
		counts := make(map[string]int)
		for range 200 {
			choice, ok := placement.Choose(time.Now(), deps.table.Load().EndpointsByVersion("s")["v"], placement.Request{
				Route: "a", Kind: mesh.Safe, Timeout: time.Second, SoftTimeout: time.Second,
			})
			assert.Assert(t, ok)
			counts[choice.Endpoint.ID]++
		}
		return counts
	}
	assert.Assert(t, chosen()["gone"] > 0)
	for _, e := range deps.table.Load().EndpointsByVersion("s")["v"] {
		if e.ID == "gone" {
			hops.lose(e)
			hops.lose(e) // A second request that failed at the same time.
		}
	}
	// Longer than an ejection, which ended after 250 ms at first.
	for end := time.Now().Add(800 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		assert.Equal(t, chosen()["gone"], 0)
	}
	listener, err = net.Listen("tcp", address)
	assert.NilError(t, err)
	defer listener.Close()
	for end := time.Now().Add(deadline); chosen()["gone"] == 0; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the node that is back gets no requests")
	}

	// A node that left the store is not dialled for ever.
	assert.NilError(t, listener.Close())
	for _, e := range deps.table.Load().EndpointsByVersion("s")["v"] {
		if e.ID == "gone" {
			hops.lose(e)
		}
	}
	deps.table.Store(builder.Build(time.Now(), []mesh.Instance{entry("there", "127.0.0.1:1")}))
	for end := time.Now().Add(deadline); ; time.Sleep(20 * time.Millisecond) {
		hops.mu.Lock()
		left := len(hops.lost)
		hops.mu.Unlock()
		if left == 0 {
			return
		}
		assert.Assert(t, time.Now().Before(end), "the node is still dialled")
	}
}
