package placement

import (
	"fmt"
	"math/rand/v2"
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
		instance("other-region", "d9", "r2", endpoint("other-region")), instance("same-domain", "d1", "r1", endpoint("same-domain")),
		instance("same-region", "d2", "r1", endpoint("same-region")),
	)
}

func findEndpoint(t *testing.T, b *Table, id string) *Endpoint {
	t.Helper()
	for _, e := range b.EndpointsByVersion("s")["v1"] {
		if e.ID == id {
			return e
		}
	}
	t.Fatalf("no endpoint %q", id)
	return nil
}

// choose counts the chosen endpoints of n requests; with keepOutstanding no request ends.
func choose(t *testing.T, b *Table, now time.Time, n int, keepOutstanding bool, r Request) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for range n {
		c, ok := Choose(now, b.EndpointsByVersion("s")["v1"], r)
		assert.Assert(t, ok)
		counts[c.Endpoint.ID]++
		if keepOutstanding {
			c.Endpoint.BeginAttempt()
		}
	}
	return counts
}

// baseRequest is a request without exploration.
var baseRequest = Request{Kind: mesh.Unsafe, Timeout: time.Second, SoftTimeout: 100 * time.Millisecond}

// Requests must stay in their failure domain and region while slots are free there,
// and must not queue there while slots are free elsewhere.
func TestRequestsSpillOverByDistance(t *testing.T) {
	b := threeDistances()
	assert.DeepEqual(t, choose(t, b, epoch, 3, true, baseRequest), map[string]int{"same-domain": 3})
	next := choose(t, b, epoch, 5, true, baseRequest)
	assert.Assert(t, next["same-region"] >= 3, "%v", next)
	more := choose(t, b, epoch, 24, true, baseRequest)
	assert.Assert(t, more["other-region"] > 0, "no request left the region: %v", more)
	assert.Assert(t, more["same-domain"] > 0 && more["same-region"] > 0, "all requests left the region: %v", more)
}

// Requests must not go to a faster endpoint farther away if the closer one responds
// well in time, but must do so if the closer one would be late.
func TestLatencyMattersOnlyCloseToSoftDeadline(t *testing.T) {
	for _, c := range []struct {
		softTimeout time.Duration
		want        string
	}{{800 * time.Millisecond, "same-domain"}, {130 * time.Millisecond, "same-region"}} {
		b := threeDistances()
		findEndpoint(t, b, "same-domain").RecordLoad(epoch, "", Load{Slots: 4, MeanServiceTime: 100 * time.Millisecond, MeanRouteLatency: 100 * time.Millisecond})
		findEndpoint(t, b, "same-region").RecordLoad(epoch, "", Load{Slots: 4, MeanServiceTime: 50 * time.Millisecond, MeanRouteLatency: 50 * time.Millisecond})
		findEndpoint(t, b, "other-region").RecordLoad(epoch, "", Load{Slots: 4, MeanServiceTime: 50 * time.Millisecond, MeanRouteLatency: 50 * time.Millisecond})
		counts := choose(t, b, epoch, 20, false, Request{Timeout: time.Second, SoftTimeout: c.softTimeout})
		assert.Equal(t, counts[c.want], 20, "%v: %v", c.softTimeout, counts)
	}
}

// Requests must stay in their failure domain while they would be in time there, on
// services that take long as on others, large ones still longer, and must leave it before
// they would be late. (Of 1.2 GB of uploads on scale-1 of grown pearlwell, 0.3 GB crossed
// failure domains and 0.5 GB regions.)
func TestRequestsStayCloseWhileInTime(t *testing.T) {
	const target = 1500 * time.Millisecond
	for _, c := range []struct {
		kind    mesh.RequestKind
		closeBy time.Duration
		want    string
	}{
		{mesh.Unsafe, 600 * time.Millisecond, "same-domain"},
		{mesh.Unsafe, 1200 * time.Millisecond, "same-region"},
		{mesh.Upload, 1000 * time.Millisecond, "same-domain"},
		{mesh.Upload, 1400 * time.Millisecond, "same-region"},
		{mesh.Download, 1000 * time.Millisecond, "same-domain"},
		{mesh.Download, 1400 * time.Millisecond, "same-region"},
	} {
		b := threeDistances()
		for id, latency := range map[string]time.Duration{"same-domain": c.closeBy, "same-region": 450 * time.Millisecond, "other-region": 450 * time.Millisecond} {
			findEndpoint(t, b, id).RecordLoad(epoch, "", Load{Slots: 4, MeanServiceTime: latency, MeanRouteLatency: latency})
		}
		counts := choose(t, b, epoch, 20, false, Request{Kind: c.kind, Timeout: 5 * time.Second, SoftTimeout: target})
		assert.Equal(t, counts[c.want], 20, "%v, %v close by: %v", c.kind, c.closeBy, counts)
	}
}

// A slow or failing endpoint must lose its traffic, and must get requests again after
// the observations have expired.
func TestSlowAndFailingEndpointsLoseTrafficTemporarily(t *testing.T) {
	for _, c := range []struct {
		name    string
		degrade func(e *Endpoint)
	}{
		{"slow", func(e *Endpoint) {
			e.RecordLoad(epoch, "", Load{Slots: 4, MeanServiceTime: 600 * time.Millisecond, MeanRouteLatency: 600 * time.Millisecond})
		}},
		{"failing", func(e *Endpoint) {
			for range 5 {
				e.RecordOutcome(epoch, false)
			}
		}},
		{"ejected", func(e *Endpoint) { e.Eject(epoch) }},
	} {
		b := threeDistances()
		findEndpoint(t, b, "same-region").RecordLoad(epoch, "", Load{Slots: 4, MeanServiceTime: 50 * time.Millisecond, MeanRouteLatency: 50 * time.Millisecond})
		c.degrade(findEndpoint(t, b, "same-domain"))
		assert.Equal(t, choose(t, b, epoch, 20, false, baseRequest)["same-domain"], 0, c.name)
		later := epoch.Add(10 * failureHalfLife)
		assert.Assert(t, later.Sub(epoch) >= latencyLifetime)
		assert.Equal(t, choose(t, b, later, 20, false, baseRequest)["same-domain"], 20, c.name)
	}
}

// A request must go to an ejected endpoint rather than fail, but never twice to the
// same endpoint.
func TestEjectedEndpointsAreTheLastResort(t *testing.T) {
	b := table(instance("same-domain", "d1", "r1", endpoint("same-domain")))
	e := findEndpoint(t, b, "same-domain")
	e.Eject(epoch)
	c, ok := Choose(epoch, b.EndpointsByVersion("s")["v1"], baseRequest)
	assert.Assert(t, ok && c.Endpoint == e)
	_, ok = Choose(epoch, b.EndpointsByVersion("s")["v1"], Request{Timeout: time.Second, Tried: []*Endpoint{e}})
	assert.Assert(t, !ok)
}

// A request must not wait at a full endpoint longer than a free one would take, and
// must wait where there is no other.
func TestMaxQueueWaitEndsWhereNextEndpointIsBetter(t *testing.T) {
	distanceCost := time.Duration(penaltySameRegion * float64(baseRequest.SoftTimeout))
	one := table(instance("same-domain", "d1", "r1", endpoint("same-domain")))
	c, _ := Choose(epoch, one.EndpointsByVersion("s")["v1"], baseRequest)
	assert.Assert(t, c.MaxQueueWait > 900*time.Millisecond, "%v", c.MaxQueueWait)
	c, _ = Choose(epoch, threeDistances().EndpointsByVersion("s")["v1"], baseRequest)
	assert.Equal(t, c.Endpoint.ID, "same-domain")
	assert.Assert(t, c.MaxQueueWait < 2*distanceCost, "%v", c.MaxQueueWait)
	download := baseRequest
	download.Kind = mesh.Download
	c, _ = Choose(epoch, threeDistances().EndpointsByVersion("s")["v1"], download)
	assert.Assert(t, c.MaxQueueWait > 3*distanceCost, "%v", c.MaxQueueWait)
}

// A node must not connect to all endpoints of a large service, and each endpoint must
// be a candidate of some node.
func TestCandidatesAreBoundedAndCoverAllEndpoints(t *testing.T) {
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

// Observations must not be lost when the table is rebuilt.
func TestStatsSurviveTableRebuild(t *testing.T) {
	builder := NewBuilder(self)
	list := []mesh.Instance{instance("same-domain", "d1", "r1", endpoint("same-domain"))}
	first := builder.Build(epoch, list).EndpointsByVersion("s")["v1"][0]
	first.BeginAttempt()
	second := builder.Build(epoch.Add(time.Second), list).EndpointsByVersion("s")["v1"][0]
	assert.Equal(t, second.view(epoch, "").load, 1.0)
}

// Exploration must reach endpoints that are not the best, take no more than its share
// of the requests, and leave out unsafe requests and downloads.
func TestExplorationIsBounded(t *testing.T) {
	for _, c := range []struct {
		kind        mesh.RequestKind
		maxExplored int
	}{{mesh.Safe, 200}, {mesh.Unsafe, 0}, {mesh.Download, 0}} {
		b := threeDistances()
		explored := 0
		const n = 5000
		for id, count := range choose(t, b, epoch, n, false, Request{Kind: c.kind, Timeout: time.Second, SoftTimeout: 300 * time.Millisecond}) {
			if id != "same-domain" {
				explored += count
			}
		}
		assert.Assert(t, explored <= c.maxExplored, "%v: %d", c.kind, explored)
		assert.Assert(t, c.maxExplored == 0 || explored > 0, "no request explored another endpoint")
	}
}

// An endpoint must not count as slow because its requests are on a slower route.
func TestLatencyIsComparedPerRoute(t *testing.T) {
	b := threeDistances()
	sameDomain, sameRegion := findEndpoint(t, b, "same-domain"), findEndpoint(t, b, "same-region")
	sameDomain.RecordLoad(epoch, "long", Load{Slots: 4, MeanServiceTime: 90 * time.Millisecond, MeanRouteLatency: 90 * time.Millisecond})
	sameDomain.RecordLoad(epoch, "short", Load{Slots: 4, MeanServiceTime: 90 * time.Millisecond, MeanRouteLatency: 20 * time.Millisecond})
	sameRegion.RecordLoad(epoch, "short", Load{Slots: 4, MeanServiceTime: 20 * time.Millisecond, MeanRouteLatency: 20 * time.Millisecond})
	r := baseRequest
	r.Route = "short"
	assert.Equal(t, choose(t, b, epoch, 20, false, r)["same-domain"], 20)
}

// A request must not return to a full endpoint whose admission queue has reported a
// longer wait than the sender estimates.
func TestReportedQueueWaitCountsInNextChoice(t *testing.T) {
	b := threeDistances()
	sameDomain := findEndpoint(t, b, "same-domain")
	r := baseRequest
	r.Rejections = []Rejection{{sameDomain, 300 * time.Millisecond}}
	assert.Equal(t, choose(t, b, epoch, 20, false, r)["same-domain"], 0)
	// Where there is no other endpoint, the wait is accepted.
	one := table(instance("same-domain", "d1", "r1", endpoint("same-domain")))
	r.Rejections = []Rejection{{findEndpoint(t, one, "same-domain"), 300 * time.Millisecond}}
	c, ok := Choose(epoch, one.EndpointsByVersion("s")["v1"], r)
	assert.Assert(t, ok && c.MaxQueueWait >= 300*time.Millisecond, "%v", c.MaxQueueWait)
}

// A request must not be sent twice to the same endpoint after the table was rebuilt.
func TestAttemptedEndpointStaysExcludedAfterTableRebuild(t *testing.T) {
	builder := NewBuilder(self)
	list := []mesh.Instance{instance("same-domain", "d1", "r1", endpoint("same-domain"))}
	first := builder.Build(epoch, list).EndpointsByVersion("s")["v1"][0]
	second := builder.Build(epoch, list)
	_, ok := Choose(epoch, second.EndpointsByVersion("s")["v1"], Request{Timeout: time.Second, Tried: []*Endpoint{first}})
	assert.Assert(t, !ok)
}

// While all requests fail, the retries must stay within the ratio and the node's part
// of the slack.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	const nodes = 24
	b := NewRetryBudget(0.2, 10*time.Second, 58)
	retries, requests := 0, 0
	for ms := 0; ms < 10_000; ms += 10 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		b.RecordRequest(now)
		requests++
		if b.TryWithdraw(now, nodes) {
			retries++
		}
	}
	allowed := 0.2*float64(requests) + 58.0/nodes
	assert.Assert(t, float64(retries) <= allowed, "%d retries, %.0f allowed", retries, allowed)
	assert.Assert(t, float64(retries) > 0.3*allowed, "%d retries of %.0f allowed", retries, allowed)
	// After a pause of one window, none of its retries count.
	assert.Assert(t, b.TryWithdraw(epoch.Add(25*time.Second), nodes))
	b.Refund(epoch.Add(25 * time.Second))
	assert.Assert(t, b.TryWithdraw(epoch.Add(25*time.Second), nodes))
}

// Replays the load of scale-1 of large priecka: 71 of 91 endpoints of a service turn away
// 55% of what reaches them, and each of 200 senders sends them 4 requests a second. What
// the endpoints' own nodes know must keep requests off them sooner than what a sender
// learns alone: each request that is turned away counts toward the retry budget.
func TestSharedFailureRatesSaveAttempts(t *testing.T) {
	const (
		senders, endpoints, turningAway = 200, 91, 71
		perSecond, seconds              = 4, 8
	)
	turnedAway := func(isShared bool) int {
		random := rand.New(rand.NewPCG(1, 2))
		gateRates := make(map[string]float64)
		var instances []mesh.Instance
		for i := range endpoints {
			instances = append(instances, instance(fmt.Sprint("i", i), fmt.Sprint("d", i%9), fmt.Sprint("r", i%3), mesh.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Version: "v1", Slots: 16}))
		}
		var tables []*Table
		for i := range senders {
			builder := NewBuilder(Locality{Instance: fmt.Sprint("s", i), FailureDomain: fmt.Sprint("d", i%9), Region: fmt.Sprint("r", i%3)})
			tables = append(tables, builder.Build(epoch, instances))
		}
		count := 0
		for round := range perSecond * seconds {
			now := epoch.Add(time.Duration(round) * time.Second / perSecond)
			for _, table := range tables {
				c, ok := Choose(now, table.EndpointsByVersion("s")["v1"], Request{Kind: mesh.Unsafe, Timeout: 6 * time.Second, SoftTimeout: 2500 * time.Millisecond})
				assert.Assert(t, ok)
				var number int
				_, err := fmt.Sscanf(c.Endpoint.ID, "e%d", &number)
				assert.NilError(t, err)
				success := number >= turningAway || random.Float64() >= 0.55
				if !success {
					count++
				}
				load := Load{Slots: 16, MeanServiceTime: 900 * time.Millisecond, MeanRouteLatency: 900 * time.Millisecond}
				if gateRates[c.Endpoint.ID] = UpdateFailureRate(gateRates[c.Endpoint.ID], success); isShared {
					load.FailureRate = gateRates[c.Endpoint.ID]
				}
				c.Endpoint.RecordLoad(now, "", load)
				c.Endpoint.RecordOutcome(now, success)
			}
		}
		return count
	}
	alone, shared := turnedAway(false), turnedAway(true)
	t.Logf("turned away: %d alone, %d with shared rates, of %d", alone, shared, senders*perSecond*seconds)
	assert.Assert(t, shared < alone, "%d, %d alone", shared, alone)
}
