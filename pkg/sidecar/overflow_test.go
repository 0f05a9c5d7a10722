package sidecar

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/exchange"
	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/gate"
	"github.com/azurespring/azurespring/pkg/mesh/overflow"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// A malformed figure must not make an endpoint seem fast or slow, and a load without one
// must not switch the controllers on.
func TestServerLoadIsDecodedTolerantly(t *testing.T) {
	now := time.Unix(9, 0)
	for text, want := range map[string]float64{
		"": 0, "3,0,12": 0, "x": 0, "3,0,12,250": 2.5, " 3 , 0 , 12 , 80 ": 0.8, "3,0,12,250,7": 2.5, "3,0,12,62.5": 0.625,
		"3,0,12,": 1, "3,0,12,slow": 1, "3,0,12,-5": 1, "3,0,12,0": 1, "3,0,12,NaN": 1, "3,0,12,Inf": 1, "3,0,12,1e300": 1, "3,0,12,1e-300": 1, "3,0,12,1": 0.01, "?,?,?,250": 2.5,
	} {
		assert.Equal(t, parseServerLoad(now, text).Factor, want, "%q", text)
	}
}

// The age of a speed must cross a hop, because the clocks of nodes differ, and the header
// that older nodes read must keep its format.
func TestSpeedCrossesHopsWithItsAge(t *testing.T) {
	readAt := time.Unix(100, 0)
	header := make(http.Header)
	load := placement.Load{Running: 1, Waiting: 2, Slots: 3, MeanServiceTime: 4 * time.Microsecond, MeanRouteLatency: 5 * time.Microsecond}
	setLoad(header, readAt, load)
	assert.Equal(t, header.Get(hopSlowdownHeader), "", "an endpoint without the figure costs no bytes")
	load.Slowdown = mesh.Slowdown{Factor: 2.5, At: readAt}
	setLoad(header, readAt.Add(120*time.Millisecond), load)
	assert.Equal(t, header.Get(hopLoadHeader), "1,2,3,4,5")
	heardAt := time.Unix(7, 0)
	heard := parseSlowdown(heardAt, header.Get(hopSlowdownHeader))
	assert.Equal(t, heard, mesh.Slowdown{Factor: 2.5, At: heardAt.Add(-120 * time.Millisecond)})
	assert.Assert(t, heard.Estimate(heardAt) < 2.5)
	for _, text := range []string{"", "x", "250", "250,", "250,-1", "250,x", "-250,1", "0,1", "250,99999999999999999999"} {
		assert.Assert(t, !parseSlowdown(heardAt, text).IsKnown(), "%q", text)
	}
}

// An unknown mode must be refused at start, not act as another one.
func TestZoneOverflowModes(t *testing.T) {
	for text, want := range map[string]ZoneOverflow{"": OverflowAuto, "auto": OverflowAuto, "on": OverflowOn, "off": OverflowOff} {
		mode, err := ParseZoneOverflow(text)
		assert.NilError(t, err)
		assert.Equal(t, mode, want)
	}
	_, err := ParseZoneOverflow("maybe")
	assert.ErrorContains(t, err, "maybe")
}

// overflowRequest returns a request whose node runs in the given mode.
func overflowRequest(t *testing.T, mode ZoneOverflow, tenants ...mesh.Tenant) *request {
	t.Helper()
	deps := &shared{settings: Settings{ZoneOverflow: mode}, now: time.Now}
	return &request{
		entry: newEntry(deps, nil, nil), r: httptest.NewRequest(http.MethodGet, "/x", nil), service: "s", hasTenants: len(tenants) > 0,
		route: &mesh.Route{Name: "r", TargetLatency: time.Second}, started: deps.now(), deadline: deps.now().Add(time.Minute),
	}
}

// Deployments that neither have tenants nor endpoints with the fourth figure must be served
// as before, unless the mode says otherwise.
func TestControllersActOnlyWhereAskedFor(t *testing.T) {
	e := &placement.Endpoint{Stats: &placement.Stats{}, Distance: placement.SameFailureDomain}
	usual := placement.Load{Running: 1, Slots: 4, MeanServiceTime: time.Millisecond, MeanRouteLatency: time.Millisecond}
	stated := usual
	stated.Slowdown = mesh.Slowdown{Factor: 1, At: time.Now()}
	tenant := mesh.Tenant{Name: "t"}
	for _, c := range []struct {
		name     string
		x        *request
		load     placement.Load
		isActive bool
	}{
		{"auto", overflowRequest(t, OverflowAuto), usual, false},
		{"unset", overflowRequest(t, ""), usual, false},
		{"auto, tenants", overflowRequest(t, OverflowAuto, tenant), usual, true},
		{"auto, figures", overflowRequest(t, OverflowAuto), stated, true},
		{"on", overflowRequest(t, OverflowOn), usual, true},
		{"off, tenants and figures", overflowRequest(t, OverflowOff, tenant), stated, false},
	} {
		c.x.observeOverflow(time.Now(), attemptResult{endpoint: e, response: &endpointResponse{}}, c.load)
		d := c.x.decideOverflow(time.Now(), []*placement.Endpoint{e})
		assert.Equal(t, d != nil, c.isActive, c.name)
	}
}

// The share of requests that leaves must fall when the other failure domain refuses them,
// and must not when a hedged attempt is canceled.
func TestRefusalsReachTheController(t *testing.T) {
	shareAfter := func(failure *verdict.Error) (count int) {
		x, now := overflowRequest(t, OverflowOn), time.Now()
		near := &placement.Endpoint{Stats: &placement.Stats{}, Distance: placement.SameFailureDomain}
		far := &placement.Endpoint{Stats: &placement.Stats{}, Distance: placement.SameRegion}
		for range 30 {
			now = now.Add(200 * time.Millisecond)
			full := placement.Load{Running: 4, Waiting: 40, Slots: 4, MeanServiceTime: 80 * time.Millisecond, MeanRouteLatency: 80 * time.Millisecond}
			x.observeOverflow(now, attemptResult{endpoint: near, response: &endpointResponse{}}, full)
			result := attemptResult{endpoint: far, failure: failure}
			load := placement.Load{}
			if failure == nil {
				result.response, load = &endpointResponse{}, placement.Load{Slots: 4}
			}
			x.observeOverflow(now, result, load)
		}
		for i := range 1000 {
			x.overflowDraw = float64(i+1) / 1001
			x.started = now
			if x.decideOverflow(now, []*placement.Endpoint{near, far}).Tier == overflow.Region {
				count++
			}
		}
		return count
	}
	served := shareAfter(nil)
	refused := shareAfter(verdict.NotRunErrorf(verdict.Overloaded, "full"))
	canceled := shareAfter(verdict.NotRunErrorf(verdict.Canceled, "the caller gave up"))
	assert.Assert(t, served > 300 && refused < 20 && canceled > refused, "%d served, %d refused, %d canceled", served, refused, canceled)
}

// Responses on routes without a target latency must not count as late, or no request of
// their service would leave a full zone.
func TestResponsesWithoutTargetAreNotLate(t *testing.T) {
	x, now := overflowRequest(t, OverflowOn), time.Now()
	x.route.TargetLatency = 0
	x.started = now.Add(-time.Second)
	near := &placement.Endpoint{Stats: &placement.Stats{}, Distance: placement.SameFailureDomain}
	far := &placement.Endpoint{Stats: &placement.Stats{}, Distance: placement.SameRegion}
	full := placement.Load{Running: 4, Waiting: 40, Slots: 4, MeanServiceTime: 3 * time.Second, MeanRouteLatency: 3 * time.Second}
	left := 0
	for i := range 1000 {
		now = now.Add(20 * time.Millisecond)
		x.observeOverflow(now, attemptResult{endpoint: near, response: &endpointResponse{}}, full)
		x.observeOverflow(now, attemptResult{endpoint: far, response: &endpointResponse{}}, placement.Load{Slots: 4})
		x.overflowDraw = float64(i+1) / 1001
		if x.decideOverflow(now, []*placement.Endpoint{near, far}).Tier == overflow.Region {
			left++
		}
	}
	assert.Assert(t, left > 500, "%d of 1000", left)
}

// The gate must use the figure of its endpoint and report times at the current speed, which
// older nodes use as they are; with the mode off it must ignore it.
func TestGateReportsTheSpeed(t *testing.T) {
	now := time.Unix(50, 0)
	for mode, isKnown := range map[ZoneOverflow]bool{OverflowAuto: true, OverflowOff: false} {
		la := newLocalAdmission(&shared{settings: Settings{ZoneOverflow: mode}, now: func() time.Time { return now }})
		ea := &endpointAdmission{queue: gate.NewQueue(2), routeLatencies: map[string]time.Duration{"r": 10 * time.Millisecond}}
		la.recordSpeed(ea, "0,0,2,100")
		la.recordSpeed(ea, "0,0,2,300")
		load := ea.load(now, "r")
		assert.Equal(t, load.Slowdown.IsKnown(), isKnown, mode)
		want := 10 * time.Millisecond
		if isKnown {
			want *= 3
		}
		assert.Equal(t, load.MeanRouteLatency, want, mode)
	}
}

// The speed that an endpoint states in its response must reach the load that its gate
// reports, also when the endpoint did not run the request.
func TestSpeedIsReadFromResponses(t *testing.T) {
	names := HeaderNames{RequestID: "Id", ServerLoad: "Server-Load", Signature: "Signed", NotRun: "Not-Run", Deadline: "Deadline"}
	for _, marker := range []string{names.Signature, names.NotRun} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(names.ServerLoad, "1,0,2,250")
			w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
			w.Header().Set(marker, "1")
		}))
		defer server.Close()
		la := newLocalAdmission(&shared{headers: names, now: time.Now})
		ea := &endpointAdmission{queue: gate.NewQueue(2), pool: exchange.NewPool(server.Listener.Addr().String(), exchange.Dialer{Timeout: time.Second}, func() {})}
		defer ea.pool.Close()
		c := &call{method: http.MethodGet, uri: "/x", host: "h", header: http.Header{names.RequestID: {"1"}}, deadline: time.Now().Add(testTimeout)}
		_, failure := la.send(t.Context(), ea, c)
		assert.Assert(t, failure == nil, "%v", failure)
		assert.Assert(t, ea.load(time.Now(), "r").Slowdown.IsKnown(), marker)
	}
}
