package sidecar

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/coldstart"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// coldService is the service of the deployment with cold endpoints, without a health check.
var coldService = mesh.Service{Name: "s", ColdStart: 3 * time.Second, ColdPerSecond: 17}

// testGate is the gate of one endpoint, called e, in failure domain d.
type testGate struct {
	t        *testing.T
	tracker  *tracker
	la       *localAdmission
	address  string
	start    int64
	sequence int64
	// mu guards arrivals, the times at which requests reached the endpoint.
	mu           sync.Mutex
	arrivals     []time.Time
	healthChecks atomic.Int64
	coldMs       atomic.Int64
}

// newTestGate returns a gate that knows its configuration and evacuations. handler serves
// the requests; nil responds at once.
func newTestGate(t *testing.T, service mesh.Service, handler http.HandlerFunc) *testGate {
	t.Helper()
	g := &testGate{t: t, tracker: newEvacuationTracker(t), start: time.Now().UnixMilli()}
	g.la = g.tracker.admission
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthy" {
			g.healthChecks.Add(1)
			w.Header().Set("X-Cold", fmt.Sprint(g.coldMs.Load()))
			return
		}
		g.mu.Lock()
		g.arrivals = append(g.arrivals, time.Now())
		g.mu.Unlock()
		if handler != nil {
			handler(w, r)
			return
		}
		w.Header().Set("X-Sig", "1")
	}))
	t.Cleanup(server.Close)
	g.address = strings.TrimPrefix(server.URL, "http://")
	deps := g.tracker.deps
	deps.settings.ColdOverage, deps.settings.ColdSlack = 1.5, 8
	deps.headers = HeaderNames{
		RequestID: "X-Id", Deadline: "X-Deadline", Signature: "X-Sig", NotRun: "X-Not-Run", ExpectedEndpoint: "X-Expected", CallerService: "X-Caller", ColdRemaining: "X-Cold",
	}
	snapshot, err := mesh.Compile(mesh.Configuration{Version: 1, Services: []mesh.Service{service}})
	assert.NilError(t, err)
	deps.snapshot.Store(snapshot)
	loadAll(t, g.tracker, 10, 1)
	g.tracker.replaceView(platform.KindEvacuation, nil, 10)
	g.tracker.refresh(platform.KindEvacuation)
	g.la.restore(mesh.Instance{}, false)
	return g
}

// announce announces the endpoint with the given slots and remaining cold time.
func (g *testGate) announce(slots int, start int64, remaining time.Duration) {
	g.sequence++
	g.la.Announce(mesh.Announcement{
		ID: "e", Service: "s", Version: "v", Address: g.address, Slots: slots, State: mesh.EndpointReady,
		StartUnixMs: start, Sequence: g.sequence, WarmupRemaining: remaining,
	})
}

func (g *testGate) call(timeout time.Duration) *call {
	return &call{
		id: "id", method: http.MethodGet, uri: "/x", host: "h", header: http.Header{}, deadline: time.Now().Add(timeout),
		hopMetadata: hopMetadata{Endpoint: "e", Service: "s", Version: "v", MaxQueueWaitUs: timeout.Microseconds(), SoftTimeoutUs: timeout.Microseconds()},
	}
}

// load sends calls at the given rate for a time and returns how many were served, and the
// failures of the others.
func (g *testGate) load(perSecond int, d, timeout time.Duration) (served int, failures []*verdict.Error) {
	var mu sync.Mutex
	var running sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-ticker.C {
		running.Go(func() {
			resp, _, failure := g.la.run(context.Background(), g.call(timeout))
			if failure == nil {
				failure = discardFailure(resp)
			}
			mu.Lock()
			defer mu.Unlock()
			if failure != nil {
				failures = append(failures, failure)
			} else {
				served++
			}
		})
	}
	running.Wait()
	return served, failures
}

func discardFailure(resp *endpointResponse) *verdict.Error {
	if err := discardBody(resp.body); err != nil {
		return verdict.MayHaveRunErrorf(verdict.AnswerCut, err, "cut")
	}
	return nil
}

func (g *testGate) mostArrivals() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	most := 0
	for i, first := range g.arrivals {
		end := i
		for end < len(g.arrivals) && g.arrivals[end].Sub(first) <= time.Second {
			end++
		}
		most = max(most, end-i)
	}
	return most
}

func (g *testGate) state() coldstart.State {
	g.la.mu.Lock()
	defer g.la.mu.Unlock()
	return g.la.admissions["e"].warmth.State(time.Now(), g.la.deps.coldLimits("s"))
}

// maxColdArrivals is cold_per_s * cold_overage + cold_slack for coldService.
const maxColdArrivals = 33

// An endpoint that is cold, or of which the node knows nothing, must not get more than its
// limit in any second. Calls beyond it wait or are refused as not run with the true wait,
// and the load shows the reduced capacity.
func TestColdEndpointGetsNoMoreThanItsLimit(t *testing.T) {
	g := newTestGate(t, coldService, nil)
	g.announce(12, g.start, 3*time.Second)
	served, failures := g.load(150, 2*time.Second, 400*time.Millisecond)
	assert.Assert(t, g.mostArrivals() <= maxColdArrivals, "%d", g.mostArrivals())
	assert.Assert(t, served >= 25, "%d", served)
	assert.Assert(t, len(failures) > 100)
	for _, failure := range failures {
		assert.Equal(t, failure.Verdict, verdict.NotRun, "%v", failure)
	}
	load := g.la.loadOf(g.la.admissions["e"], "")
	assert.Assert(t, load.Slots < 12, "%v", load)
	assert.Equal(t, failures[len(failures)/2].Code, verdict.Overloaded)
	assert.Assert(t, failures[len(failures)/2].RetryAfter > 0)
}

// A call that cannot be in time behind the limit must be refused before it takes a slot, so
// that its sender learns at once that another endpoint is better.
func TestHopelessCallOfColdEndpointIsRefusedAtOnce(t *testing.T) {
	g := newTestGate(t, coldService, nil)
	g.announce(12, g.start, 3*time.Second)
	for range 16 {
		resp, _, failure := g.la.run(t.Context(), g.call(time.Second))
		assert.Assert(t, failure == nil, "%v", failure)
		assert.Assert(t, discardFailure(resp) == nil)
	}
	_, load, rejection := g.la.admit(t.Context(), g.call(300*time.Millisecond))
	assert.Equal(t, rejection.Code, verdict.Overloaded)
	assert.Assert(t, rejection.RetryAfter > 300*time.Millisecond && rejection.RetryAfter < 1100*time.Millisecond, "%v", rejection.RetryAfter)
	assert.Equal(t, load.Running, 0)
	_, _, failure := g.la.run(t.Context(), g.call(3*time.Second))
	assert.Assert(t, failure == nil, "a call with enough time waits: %v", failure)
	assert.Assert(t, g.mostArrivals() <= maxColdArrivals)
}

// A warm endpoint, and one of a service without the limit, must be served as before.
func TestWarmEndpointIsNotLimited(t *testing.T) {
	for name, service := range map[string]mesh.Service{"no limit": {Name: "s"}, "warm": coldService} {
		g := newTestGate(t, service, nil)
		remaining := time.Duration(0)
		if name == "no limit" {
			remaining = 3 * time.Second
		}
		g.announce(12, g.start, remaining)
		served, failures := g.load(150, 500*time.Millisecond, 400*time.Millisecond)
		assert.Equal(t, len(failures), 0, "%s: %v", name, failures)
		assert.Assert(t, served > 50, name)
		assert.Equal(t, g.la.loadOf(g.la.admissions["e"], "").Slots, 12)
		assert.Equal(t, g.healthChecks.Load(), int64(0), name)
	}
}

// When an announcement is lost, or the node has just restored an endpoint, the health check
// must be asked, once, and only under load.
func TestHealthCheckReplacesAnnouncement(t *testing.T) {
	service := coldService
	service.HealthCheckPath = "/healthy"
	g := newTestGate(t, service, nil)
	g.announce(12, g.start, 0)
	g.la.doubtWarmth("test")
	assert.Equal(t, g.state(), coldstart.Unknown)
	_, failures := g.load(5, 600*time.Millisecond, 400*time.Millisecond)
	assert.Equal(t, len(failures), 0)
	assert.Equal(t, g.healthChecks.Load(), int64(0), "low load")
	served, _ := g.load(150, 1500*time.Millisecond, 400*time.Millisecond)
	assert.Equal(t, g.healthChecks.Load(), int64(1))
	assert.Equal(t, g.state(), coldstart.Warm)
	assert.Assert(t, served > 150, "%d", served)
}

// An endpoint that has become cold before the end of an evacuation must not get the load of
// a warm one, although its last announcement told that it is warm.
func TestEndpointIsColdAfterEvacuation(t *testing.T) {
	service := coldService
	service.HealthCheckPath = "/healthy"
	g := newTestGate(t, service, nil)
	g.tracker.deps.settings.HeartbeatInterval = 1500 * time.Millisecond
	g.announce(12, g.start, 0)
	g.tracker.apply(platform.KindEvacuation, put(evacuationObject("d", 11)))
	g.coldMs.Store(3000)
	g.tracker.apply(platform.KindEvacuation, platform.Event{Type: platform.EventDeleted, Object: evacuationObject("d", 11), AsOf: "12"})
	g.announce(12, g.start, 0) // Made before the end, and delivered late.
	assert.Equal(t, g.state(), coldstart.Unknown)
	g.load(150, 1500*time.Millisecond, 400*time.Millisecond)
	assert.Assert(t, g.mostArrivals() <= maxColdArrivals, "%d", g.mostArrivals())
	assert.Equal(t, g.state(), coldstart.Cold)
	assert.Equal(t, g.healthChecks.Load(), int64(1))
}

// A broken connection, and another process under the same id, must put an end to what was
// known; an older announcement must not.
func TestBrokenConnectionAndRestartAreCold(t *testing.T) {
	breaks := atomic.Bool{}
	g := newTestGate(t, coldService, func(w http.ResponseWriter, _ *http.Request) {
		if breaks.Load() {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Sig", "1")
	})
	g.announce(12, g.start, 0)
	assert.Equal(t, g.state(), coldstart.Warm)
	breaks.Store(true)
	_, _, failure := g.la.run(t.Context(), g.call(time.Second))
	assert.Equal(t, failure.Verdict, verdict.MayHaveRun)
	assert.Equal(t, g.state(), coldstart.Unknown)
	breaks.Store(false)
	_, failures := g.load(150, 300*time.Millisecond, 200*time.Millisecond)
	assert.Assert(t, len(failures) > 0)

	g.announce(12, g.start+5000, 2*time.Second)
	assert.Equal(t, g.state(), coldstart.Cold)
	g.announce(12, g.start, 0) // Of the process that has ended.
	assert.Equal(t, g.state(), coldstart.Cold)
	g.announce(12, g.start+5000, 0)
	assert.Equal(t, g.state(), coldstart.Warm)
}

// Calls that wait for a slot must not be released together once slots are free: they were
// not counted when they came.
func TestReleasedCallsKeepTheLimit(t *testing.T) {
	var holdFirst sync.Once
	release := make(chan struct{})
	g := newTestGate(t, coldService, func(w http.ResponseWriter, _ *http.Request) {
		holdFirst.Do(func() { <-release })
		w.Header().Set("X-Sig", "1")
	})
	g.announce(1, g.start, 10*time.Second)
	time.AfterFunc(700*time.Millisecond, func() { close(release) })
	g.load(100, 1200*time.Millisecond, 3*time.Second)
	assert.Assert(t, g.mostArrivals() <= maxColdArrivals, "%d", g.mostArrivals())
}

// A gate without a configuration does not know the limits, and must refuse where the
// deployment has them.
func TestGateWithoutConfigurationRefuses(t *testing.T) {
	g := newTestGate(t, coldService, nil)
	g.announce(12, g.start, 0)
	g.tracker.deps.snapshot.Store(nil)
	_, _, failure := g.la.run(t.Context(), g.call(time.Second))
	assert.Equal(t, failure.Code, verdict.NoTarget)
	assert.Equal(t, failure.Verdict, verdict.NotRun)
	g.tracker.deps.settings.ColdOverage, g.tracker.deps.settings.ColdSlack = 0, 0
	_, _, failure = g.la.run(t.Context(), g.call(time.Second))
	assert.Assert(t, failure == nil, "%v", failure)
}

// A call whose body arrives late must be counted when it is sent, and must not be sent to a
// domain that was evacuated meanwhile.
func TestLateBodyIsCheckedAgain(t *testing.T) {
	g := newTestGate(t, coldService, nil)
	g.announce(12, g.start, 10*time.Second)
	late := func(during func()) *verdict.Error {
		c := g.call(5 * time.Second)
		c.method, c.contentLength = http.MethodPost, 4
		isRead := false
		c.remainingBody = &streamedBody{source: readerFunc(func(p []byte) (int, error) {
			if isRead {
				return 0, io.EOF
			}
			isRead = true
			time.Sleep(2 * lateSendTime)
			if during != nil {
				during()
			}
			return copy(p, "body"), io.EOF
		})}
		resp, _, failure := g.la.run(t.Context(), c)
		if failure == nil {
			failure = discardFailure(resp)
		}
		return failure
	}
	assert.Assert(t, late(nil) == nil)
	g.la.mu.Lock()
	limits := g.la.deps.coldLimits("s")
	wait := g.la.admissions["e"].warmth.Wait(time.Now(), limits, 15)
	g.la.mu.Unlock()
	assert.Assert(t, wait > 0, "the call counts twice")
	failure := late(func() { g.tracker.apply(platform.KindEvacuation, put(evacuationObject("d", 11))) })
	assert.Equal(t, failure.Code, verdict.NoTarget)
	assert.Equal(t, failure.Verdict, verdict.NotRun)
	assert.Equal(t, g.mostArrivals(), 1)
}

// A call that waits for the limit of a cold endpoint must not be sent after the endpoint has
// deregistered, nor to the next process at its address, whose requests are counted apart.
func TestCallsWaitingForColdLimitEndWithTheEndpoint(t *testing.T) {
	for name, end := range map[string]func(g *testGate){
		"deregistered": func(g *testGate) {
			g.la.change("announcement", "e", "gone", func(now time.Time) bool { return g.la.registry.Deregister(now, "e", g.start) })
		},
		"replaced": func(g *testGate) { g.announce(12, g.start+5000, 10*time.Second) },
	} {
		g := newTestGate(t, coldService, nil)
		g.announce(12, g.start, 10*time.Second)
		for range 16 {
			resp, _, failure := g.la.run(t.Context(), g.call(time.Second))
			assert.Assert(t, failure == nil, "%s: %v", name, failure)
			assert.Assert(t, discardFailure(resp) == nil)
		}
		ea := g.la.admissions["e"]
		waiting := make(chan *verdict.Error, 1)
		go func() {
			_, _, failure := g.la.run(t.Context(), g.call(3*time.Second))
			waiting <- failure
		}()
		waitFor(t, "a call waits", func() bool {
			g.la.mu.Lock()
			defer g.la.mu.Unlock()
			return ea.warmth.waiting == 1
		})
		end(g)
		failure := <-waiting
		assert.Assert(t, failure != nil, name)
		assert.Equal(t, failure.Verdict, verdict.NotRun, name)
		assert.Equal(t, len(g.arrivals), 16, name)
	}
}

// An endpoint that has deregistered must get no health queries, although calls still end
// there.
func TestEndedEndpointGetsNoHealthQueries(t *testing.T) {
	service := coldService
	service.HealthCheckPath = "/healthy"
	g := newTestGate(t, service, nil)
	g.announce(12, g.start, 0)
	for range 16 {
		resp, _, failure := g.la.run(t.Context(), g.call(time.Second))
		assert.Assert(t, failure == nil, "%v", failure)
		assert.Assert(t, discardFailure(resp) == nil)
	}
	ea := g.la.admissions["e"]
	g.la.change("announcement", "e", "gone", func(now time.Time) bool { return g.la.registry.Deregister(now, "e", g.start) })
	g.la.doubtAfterFailure(ea)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, g.healthChecks.Load(), int64(0))
}

// A request that is more urgent than those that wait for a slot of a cold endpoint goes ahead
// of them, and must not be refused because of them.
func TestUrgentCallGoesAheadAtColdEndpoint(t *testing.T) {
	isHeld, release := atomic.Bool{}, make(chan struct{})
	defer close(release)
	g := newTestGate(t, coldService, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Sig", "1")
		if isHeld.Load() {
			<-release
		}
	})
	g.announce(1, g.start, 10*time.Second)
	run := func() *verdict.Error {
		c := g.call(3 * time.Second)
		c.Priority, c.Tenant, c.TenantPriority = 2, "t", 5
		resp, _, failure := g.la.run(t.Context(), c)
		if failure == nil {
			failure = discardFailure(resp)
		}
		return failure
	}
	for range 9 {
		assert.Assert(t, run() == nil)
	}
	isHeld.Store(true)
	for range 8 {
		go run()
	}
	waitFor(t, "calls wait", func() bool { return g.la.loadOf(g.la.admissions["e"], "").Waiting == 7 })
	for _, c := range []struct {
		priority, tenantPriority int
		nested, wantRejected     bool
	}{{2, 5, false, true}, {3, 5, false, true}, {2, 4, false, false}, {1, 5, false, false}, {3, 6, true, false}} {
		urgent := g.call(300 * time.Millisecond)
		urgent.Priority, urgent.Tenant, urgent.TenantPriority, urgent.Nested = c.priority, "u", c.tenantPriority, c.nested
		g.la.mu.Lock()
		rejection := g.la.coldRejection(g.la.admissions["e"], urgent, time.Now())
		g.la.mu.Unlock()
		assert.Equal(t, rejection != nil, c.wantRejected, "%+v: %v", c, rejection)
	}
}
