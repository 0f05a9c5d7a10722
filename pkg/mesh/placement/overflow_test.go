package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/overflow"
)

// overflowTo is a request that the overflow controller sends to a tier.
func overflowTo(tier overflow.Tier) Request {
	r := baseRequest
	r.Overflow, r.Random = &overflow.Decision{Tier: tier}, rand.New(rand.NewPCG(1, 2))
	return r
}

// A request must go to the tier that the controller names, but not to an endpoint there that
// has refused it, is known to be full, or would be late: it then stays.
func TestRequestsLeaveOnlyForRoom(t *testing.T) {
	load := Load{Slots: 4, MeanServiceTime: 20 * time.Millisecond, MeanRouteLatency: 20 * time.Millisecond}
	full, slow, slowNow := load, load, load
	full.Running, full.Waiting = 4, 8
	slow.MeanServiceTime, slow.MeanRouteLatency = 95*time.Millisecond, 95*time.Millisecond
	slowNow.Slowdown = mesh.Slowdown{Factor: 5, At: epoch}
	slowNow.MeanServiceTime, slowNow.MeanRouteLatency = slow.MeanServiceTime, slow.MeanRouteLatency
	for _, c := range []struct {
		name     string
		far      Load
		rejected bool
		want     string
	}{
		{"room", load, false, "same-region"},
		{"refused", load, true, "same-domain"},
		{"full", full, false, "same-domain"},
		{"late", slow, false, "same-domain"},
		{"slow at the moment", slowNow, false, "same-domain"},
	} {
		b := threeDistances()
		findEndpoint(t, b, "same-domain").RecordLoad(epoch, "", load)
		far := findEndpoint(t, b, "same-region")
		far.RecordLoad(epoch, "", c.far)
		r := overflowTo(overflow.Region)
		if c.rejected {
			r.Rejections = []Rejection{{far, 10 * time.Millisecond}}
		}
		assert.DeepEqual(t, choose(t, b, epoch, 20, false, r), map[string]int{c.want: 20})
	}
}

// A request whose failure domain has no usable endpoint must go to another one, and to an
// ejected endpoint rather than fail.
func TestRequestsWithoutLocalEndpointLeave(t *testing.T) {
	b := threeDistances()
	all := b.EndpointsByVersion("s")["v1"]
	assert.Equal(t, UsableTiers(epoch, all, nil), overflow.Tiers{true, true, true})
	findEndpoint(t, b, "same-domain").Eject(epoch)
	assert.Equal(t, UsableTiers(epoch, all, nil), overflow.Tiers{false, true, true})
	assert.Equal(t, UsableTiers(epoch, all, []*Endpoint{findEndpoint(t, b, "same-region")}), overflow.Tiers{false, false, true})
	assert.DeepEqual(t, choose(t, b, epoch, 20, false, overflowTo(overflow.Zone)), map[string]int{"same-region": 20})
	for _, e := range all {
		e.Eject(epoch)
	}
	choose(t, b, epoch, 20, false, overflowTo(overflow.Zone))
}

// Cold endpoints refuse requests without a queue, which the controller takes for room. A
// request must leave a zone whose endpoints are all cold and busy while there is room
// elsewhere: it would be refused there until it fails. Otherwise it stays.
func TestRequestsLeaveBusyColdEndpoints(t *testing.T) {
	load := Load{Slots: 4, MeanServiceTime: 20 * time.Millisecond, MeanRouteLatency: 20 * time.Millisecond}
	cold, full := load, load
	cold.Slots = 1
	full.Running, full.Waiting = 4, 8
	for _, c := range []struct {
		name string
		far  Load
		want string
	}{{"room elsewhere", load, "same-region"}, {"full elsewhere", full, "same-domain"}} {
		b := threeDistances()
		near := findEndpoint(t, b, "same-domain")
		near.RecordLoad(epoch, "", cold)
		findEndpoint(t, b, "same-region").RecordLoad(epoch, "", c.far)
		findEndpoint(t, b, "other-region").RecordLoad(epoch, "", full)
		assert.DeepEqual(t, choose(t, b, epoch, 20, false, overflowTo(overflow.Zone)), map[string]int{"same-domain": 20})
		near.RecordRejection(epoch, 300*time.Millisecond)
		assert.DeepEqual(t, choose(t, b, epoch, 20, false, overflowTo(overflow.Zone)), map[string]int{c.want: 20})
		// Once the told wait is over, the endpoint is tried again.
		assert.DeepEqual(t, choose(t, b, epoch.Add(time.Second), 20, false, overflowTo(overflow.Zone)), map[string]int{"same-domain": 20})
	}
}

// A download that the full links of its zone reject must go to another zone: the controller
// knows the waits for slots only, and the client would get the last rejection.
func TestLargeRequestsLeaveFullLinks(t *testing.T) {
	for kind, want := range map[mesh.RequestKind]string{mesh.Download: "same-region", mesh.Upload: "same-region", mesh.Safe: "same-domain"} {
		b := threeDistances()
		r := overflowTo(overflow.Zone)
		r.Kind = kind
		assert.DeepEqual(t, choose(t, b, epoch, 20, false, r), map[string]int{"same-domain": 20})
		r.Rejections = []Rejection{{findEndpoint(t, b, "same-domain"), 40 * time.Millisecond}}
		assert.DeepEqual(t, choose(t, b, epoch, 20, false, r), map[string]int{want: 20})
		r.Rejections = append(r.Rejections, Rejection{findEndpoint(t, b, "same-region"), 40 * time.Millisecond})
		if kind.Large() {
			assert.DeepEqual(t, choose(t, b, epoch, 20, false, r), map[string]int{"other-region": 20})
		}
	}
}

// Requests for which leaving does not pay must not be spread over other failure domains to
// explore them: each costs its bytes.
func TestNoExplorationUnderOverflowControl(t *testing.T) {
	r := overflowTo(overflow.Zone)
	r.Kind = mesh.Safe
	assert.DeepEqual(t, choose(t, threeDistances(), epoch, 2000, false, r), map[string]int{"same-domain": 2000})
}

// Endpoints that fail often must get few requests although they are drawn at random.
func TestFailingEndpointsAreRarelyDrawn(t *testing.T) {
	var instances []mesh.Instance
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		instances = append(instances, instance(name, "d1", "r1", endpoint(name)))
	}
	b := table(instances...)
	for _, name := range []string{"a", "b", "c"} {
		findEndpoint(t, b, name).RecordLoad(epoch, "", Load{Slots: 4, FailureRate: 0.5})
	}
	counts := choose(t, b, epoch, 2000, false, overflowTo(overflow.Zone))
	assert.Assert(t, counts["a"]+counts["b"]+counts["c"] < 100, "%v", counts)
	assert.Assert(t, counts["d"] > 500 && counts["e"] > 500, "%v", counts)
}

// A request that stays must accept the usual wait, or gates would refuse it one after the
// other, and must not wait until it is late.
func TestStayingRequestsAcceptTheUsualWait(t *testing.T) {
	b := table(instance("a", "d1", "r1", endpoint("a")), instance("b", "d1", "r1", endpoint("b")))
	r := overflowTo(overflow.Zone)
	r.Timeout, r.SoftTimeout = 3*time.Second, time.Second
	r.Overflow.ZoneWait = 200 * time.Millisecond
	c, _ := Choose(epoch, b.EndpointsByVersion("s")["v1"], r)
	assert.Assert(t, c.MaxQueueWait >= 200*time.Millisecond && c.MaxQueueWait < time.Second, "%v", c.MaxQueueWait)
	r.Overflow.ZoneWait = 10 * time.Second
	c, _ = Choose(epoch, b.EndpointsByVersion("s")["v1"], r)
	assert.Assert(t, c.MaxQueueWait+c.ExpectedLatency < time.Second, "%v", c.MaxQueueWait)
}

// BenchmarkChoose measures a choice among the most candidates that a service can have, with
// fixed penalties and under overflow control.
func BenchmarkChoose(b *testing.B) {
	var instances []mesh.Instance
	for i := range 3 * maxCandidates {
		name, domain, region := fmt.Sprint("e", i), fmt.Sprint("d", 1+i%2), "r1"
		if i%3 == 0 {
			domain, region = "d9", "r2"
		}
		instances = append(instances, instance(name, domain, region, endpoint(name)))
	}
	candidates := table(instances...).EndpointsByVersion("s")["v1"]
	for _, e := range candidates {
		e.RecordLoad(epoch, "", Load{Slots: 4, MeanServiceTime: 20 * time.Millisecond, MeanRouteLatency: 20 * time.Millisecond})
	}
	for name, isControlled := range map[string]bool{"Penalties": false, "Overflow": true} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			controller, r := overflow.New(), baseRequest
			for range b.N {
				if isControlled {
					d := controller.Decide(epoch, overflow.Request{Target: r.SoftTimeout, Usable: UsableTiers(epoch, candidates, nil)})
					r.Overflow = &d
				}
				Choose(epoch, candidates, r)
			}
		})
	}
}
