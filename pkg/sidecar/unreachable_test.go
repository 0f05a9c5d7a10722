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

// Verifies that an unreachable node gets no requests until a connection succeeds.
// Ejection alone ends after a while, so that requests fail on a permanently lost
// instance again and again: about ten a second, each delayed by 300 ms, in a recorded
// incident (inc-478e).
func TestUnreachableNodeGetsNoRequestsUntilReachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())

	log := newEventLog(io.Discard, testOrigin, func() uint64 { return 1 })
	defer log.close(time.Second)
	deps := &shared{now: time.Now, log: log, metrics: &metrics{scope: tally.NoopScope}}
	hops := newHopClient(deps)
	entry := func(name, address string) mesh.Instance {
		return mesh.Instance{
			Name: name, Address: address, FailureDomain: "d", Region: "r",
			Endpoints: []mesh.Endpoint{{ID: name, Service: "s", Version: "v", Slots: 100}},
		}
	}
	builder := placement.NewBuilder(placement.Locality{Instance: "x", FailureDomain: "d", Region: "r"})
	deps.table.Store(builder.Build(time.Now(), []mesh.Instance{entry("gone", address), entry("there", "127.0.0.1:1")}))
	countChoices := func() map[string]int {
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
	assert.Assert(t, countChoices()["gone"] > 0)
	for _, e := range deps.table.Load().EndpointsByVersion("s")["v"] {
		if e.ID == "gone" {
			hops.markUnreachable(e)
			hops.markUnreachable(e) // A second request that failed at the same time.
		}
	}
	// Longer than the first ejection, which ends after 250 ms.
	for end := time.Now().Add(800 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		assert.Equal(t, countChoices()["gone"], 0)
	}
	listener, err = net.Listen("tcp", address)
	assert.NilError(t, err)
	defer listener.Close()
	for end := time.Now().Add(testTimeout); countChoices()["gone"] == 0; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the node is reachable again but gets no requests")
	}

	// A node that is no longer in the store is not dialed any more.
	assert.NilError(t, listener.Close())
	for _, e := range deps.table.Load().EndpointsByVersion("s")["v"] {
		if e.ID == "gone" {
			hops.markUnreachable(e)
		}
	}
	deps.table.Store(builder.Build(time.Now(), []mesh.Instance{entry("there", "127.0.0.1:1")}))
	for end := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		hops.mu.Lock()
		unreachable := len(hops.unreachable)
		hops.mu.Unlock()
		if unreachable == 0 {
			return
		}
		assert.Assert(t, time.Now().Before(end), "the removed node is still dialed")
	}
}
