package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
)

var (
	epoch = time.Now()
	self  = Locality{Instance: "self", FailureDomain: "d1", Region: "r1"}
)

func instance(name, domain, region string, endpoints ...mesh.Endpoint) mesh.Instance {
	return mesh.Instance{Name: name, Address: name, FailureDomain: domain, Region: region, Endpoints: endpoints}
}

func endpoint(id string) mesh.Endpoint {
	return mesh.Endpoint{ID: id, Service: "s", Version: "v1", Slots: 4}
}

func table(instances ...mesh.Instance) *Table { return NewBuilder(self).Build(epoch, instances) }

func threeDistances() *Table {
	return table(
		instance("far", "d9", "r2", endpoint("far")), instance("near", "d1", "r1", endpoint("near")),
		instance("region", "d2", "r1", endpoint("region")),
	)
}

func find(t *testing.T, b *Table, id string) *Endpoint {
	t.Helper()
	for _, e := range b.EndpointsByVersion("s")["v1"] {
		if e.ID == id {
			return e
		}
	}
	t.Fatalf("no endpoint %q", id)
	return nil
}

// choose counts where n requests go; each stays outstanding if hold is set.
func choose(t *testing.T, b *Table, now time.Time, n int, hold bool, r Request) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for range n {
		c, ok := Choose(now, b.EndpointsByVersion("s")["v1"], r)
		assert.Assert(t, ok)
		counts[c.Endpoint.ID]++
		if hold {
			c.Endpoint.BeginAttempt()
		}
	}
	return counts
}

// usual is a request without exploration.
var usual = Request{Kind: mesh.Unsafe, Timeout: time.Second, SoftTimeout: 100 * time.Millisecond}

// Guards against requests that cross failure domains or regions while there is
// room near by, and against queues near by while there is room elsewhere.
func TestSpilloverByDistance(t *testing.T) {
	b := threeDistances()
	assert.DeepEqual(t, choose(t, b, epoch, 3, true, usual), map[string]int{"near": 3})
	next := choose(t, b, epoch, 5, true, usual)
	assert.Assert(t, next["region"] >= 3, "%v", next)
	more := choose(t, b, epoch, 24, true, usual)
	assert.Assert(t, more["far"] > 0, "no request left the region: %v", more)
	assert.Assert(t, more["near"] > 0 && more["region"] > 0, "all requests left the region: %v", more)
}

// Guards against requests that cross a border to a faster endpoint although the
// near one answers well in time, and against late answers of a slow one near by.
func TestSpeedCountsOnlyNearTheTarget(t *testing.T) {
	for _, c := range []struct {
		target time.Duration
		want   string
	}{{800 * time.Millisecond, "near"}, {130 * time.Millisecond, "region"}} {
		b := threeDistances()
		find(t, b, "near").RecordLoad(epoch, "", Load{Slots: 4, MeanServiceTime: 100 * time.Millisecond, MeanRouteLatency: 100 * time.Millisecond})
		find(t, b, "region").RecordLoad(epoch, "", Load{Slots: 4, MeanServiceTime: 50 * time.Millisecond, MeanRouteLatency: 50 * time.Millisecond})
		find(t, b, "far").RecordLoad(epoch, "", Load{Slots: 4, MeanServiceTime: 50 * time.Millisecond, MeanRouteLatency: 50 * time.Millisecond})
		counts := choose(t, b, epoch, 20, false, Request{Timeout: time.Second, SoftTimeout: c.target})
		assert.Equal(t, counts[c.want], 20, "%v: %v", c.target, counts)
	}
}

// Guards against an endpoint that is slow, or fails, and keeps its traffic, and
// against one that recovered and never gets any again.
func TestSlowAndFailingEndpointsLoseTrafficForATime(t *testing.T) {
	for _, c := range []struct {
		name string
		harm func(e *Endpoint)
	}{
		{"slow", func(e *Endpoint) {
			e.RecordLoad(epoch, "", Load{Slots: 4, MeanServiceTime: 600 * time.Millisecond, MeanRouteLatency: 600 * time.Millisecond})
		}},
		{"failing", func(e *Endpoint) {
			for range 5 {
				e.RecordOutcome(epoch, false)
			}
		}},
		{"unreachable", func(e *Endpoint) { e.Eject(epoch) }},
	} {
		b := threeDistances()
		find(t, b, "region").RecordLoad(epoch, "", Load{Slots: 4, MeanServiceTime: 50 * time.Millisecond, MeanRouteLatency: 50 * time.Millisecond})
		c.harm(find(t, b, "near"))
		assert.Equal(t, choose(t, b, epoch, 20, false, usual)["near"], 0, c.name)
		later := epoch.Add(10 * failureHalving)
		assert.Assert(t, later.Sub(epoch) >= speedLifetime)
		assert.Equal(t, choose(t, b, later, 20, false, usual)["near"], 20, c.name)
	}
}

// Guards against a refusal while an endpoint is left, and against a second send
// to an endpoint that has had the request.
func TestEjectedEndpointsAreTheLastResort(t *testing.T) {
	b := table(instance("near", "d1", "r1", endpoint("near")))
	e := find(t, b, "near")
	e.Eject(epoch)
	c, ok := Choose(epoch, b.EndpointsByVersion("s")["v1"], usual)
	assert.Assert(t, ok && c.Endpoint == e)
	_, ok = Choose(epoch, b.EndpointsByVersion("s")["v1"], Request{Timeout: time.Second, Tried: []*Endpoint{e}})
	assert.Assert(t, !ok)
}

// Guards against a wait at a full endpoint that is longer than the way to a free
// one, and against no wait at all where there is no other.
func TestMaxWaitEndsWhereAnotherEndpointIsBetter(t *testing.T) {
	one := table(instance("near", "d1", "r1", endpoint("near")))
	c, _ := Choose(epoch, one.EndpointsByVersion("s")["v1"], usual)
	assert.Assert(t, c.MaxQueueWait > 900*time.Millisecond, "%v", c.MaxQueueWait)
	c, _ = Choose(epoch, threeDistances().EndpointsByVersion("s")["v1"], usual)
	assert.Equal(t, c.Endpoint.ID, "near")
	assert.Assert(t, c.MaxQueueWait < 2*penaltySameRegion, "%v", c.MaxQueueWait)
	download := usual
	download.Kind = mesh.Download
	c, _ = Choose(epoch, threeDistances().EndpointsByVersion("s")["v1"], download)
	assert.Assert(t, c.MaxQueueWait > 3*penaltySameRegion, "%v", c.MaxQueueWait)
}

// Guards against connections from each node to all endpoints of a large service,
// and against endpoints that no node uses.
func TestCandidatesAreBoundedAndCoverAll(t *testing.T) {
	var instances []mesh.Instance
	for i := range 60 {
		instances = append(instances, instance(fmt.Sprint("n", i), "d1", "r1", endpoint(fmt.Sprint("e", i))))
	}
	used := make(map[string]bool)
	for i := range 60 {
		b := NewBuilder(Locality{Instance: fmt.Sprint("entry", i), FailureDomain: "d1", Region: "r1"}).Build(epoch, instances)
		list := b.EndpointsByVersion("s")["v1"]
		assert.Equal(t, len(list), maxCandidates)
		for _, e := range list {
			used[e.ID] = true
		}
		assert.Equal(t, len(b.RankedInstances("s", "v1")), 60)
	}
	assert.Equal(t, len(used), 60)
}

// Guards against observations lost when the table is built anew.
func TestStatsOutliveTables(t *testing.T) {
	builder := NewBuilder(self)
	list := []mesh.Instance{instance("near", "d1", "r1", endpoint("near"))}
	first := builder.Build(epoch, list).EndpointsByVersion("s")["v1"][0]
	first.BeginAttempt()
	second := builder.Build(epoch.Add(time.Second), list).EndpointsByVersion("s")["v1"][0]
	assert.Equal(t, second.view(epoch, "").load, 1.0)
}

// Guards against a faster endpoint elsewhere that nobody knows of, against
// exploration that costs more than its share, and against requests that explore
// although they may run only once or have large answers.
func TestExplorationIsBounded(t *testing.T) {
	for _, c := range []struct {
		kind mesh.RequestKind
		most int
	}{{mesh.Safe, 200}, {mesh.Unsafe, 0}, {mesh.Download, 0}} {
		b := threeDistances()
		elsewhere := 0
		const n = 5000
		for id, count := range choose(t, b, epoch, n, false, Request{Kind: c.kind, Timeout: time.Second, SoftTimeout: 300 * time.Millisecond}) {
			if id != "near" {
				elsewhere += count
			}
		}
		assert.Assert(t, elsewhere <= c.most, "%v: %d", c.kind, elsewhere)
		assert.Assert(t, c.most == 0 || elsewhere > 0, "nothing was explored")
	}
}

// Guards against hosts that are taken for slow because their requests are of a
// slower route.
func TestRoutesAreComparedWithThemselves(t *testing.T) {
	b := threeDistances()
	near, region := find(t, b, "near"), find(t, b, "region")
	near.RecordLoad(epoch, "long", Load{Slots: 4, MeanServiceTime: 90 * time.Millisecond, MeanRouteLatency: 90 * time.Millisecond})
	near.RecordLoad(epoch, "short", Load{Slots: 4, MeanServiceTime: 90 * time.Millisecond, MeanRouteLatency: 20 * time.Millisecond})
	region.RecordLoad(epoch, "short", Load{Slots: 4, MeanServiceTime: 20 * time.Millisecond, MeanRouteLatency: 20 * time.Millisecond})
	r := usual
	r.Route = "short"
	assert.Equal(t, choose(t, b, epoch, 20, false, r)["near"], 20)
}

// Guards against a request that goes to the same full endpoint again and again,
// because its gate knows of a longer wait than the node that places it.
func TestRejectionsCountInTheNextChoice(t *testing.T) {
	b := threeDistances()
	near := find(t, b, "near")
	r := usual
	r.Rejections = []Rejection{{near, 300 * time.Millisecond}}
	assert.Equal(t, choose(t, b, epoch, 20, false, r)["near"], 0)
	// Where there is no other endpoint, the wait is accepted.
	one := table(instance("near", "d1", "r1", endpoint("near")))
	r.Rejections = []Rejection{{find(t, one, "near"), 300 * time.Millisecond}}
	c, ok := Choose(epoch, one.EndpointsByVersion("s")["v1"], r)
	assert.Assert(t, ok && c.MaxQueueWait >= 300*time.Millisecond, "%v", c.MaxQueueWait)
}

// Guards against a second send to the same endpoint after the table was rebuilt.
func TestTriedEndpointStaysTriedOnANewTable(t *testing.T) {
	builder := NewBuilder(self)
	list := []mesh.Instance{instance("near", "d1", "r1", endpoint("near"))}
	first := builder.Build(epoch, list).EndpointsByVersion("s")["v1"][0]
	second := builder.Build(epoch, list)
	_, ok := Choose(epoch, second.EndpointsByVersion("s")["v1"], Request{Timeout: time.Second, Tried: []*Endpoint{first}})
	assert.Assert(t, !ok)
}

// Replays failures of all endpoints and guards against repeats beyond the share
// of requests and the part of the slack, in any window.
func TestRetryBudget(t *testing.T) {
	const nodes = 24
	b := NewRetryBudget(0.2, 10*time.Second, 58)
	repeats, requests := 0, 0
	for ms := 0; ms < 10_000; ms += 10 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		b.RecordRequest(now)
		requests++
		if b.TryWithdraw(now, nodes) {
			repeats++
		}
	}
	allowed := 0.2*float64(requests) + 58.0/nodes
	assert.Assert(t, float64(repeats) <= allowed, "%d repeats, %.0f allowed", repeats, allowed)
	assert.Assert(t, float64(repeats) > 0.3*allowed, "%d repeats of %.0f", repeats, allowed)
	// After a pause of a window, nothing of it counts.
	assert.Assert(t, b.TryWithdraw(epoch.Add(25*time.Second), nodes))
	b.Refund(epoch.Add(25 * time.Second))
	assert.Assert(t, b.TryWithdraw(epoch.Add(25*time.Second), nodes))
}
