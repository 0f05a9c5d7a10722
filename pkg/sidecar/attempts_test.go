package sidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/gate"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/mesh/rollout"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// closeCounter is a body that counts how often it is closed.
type closeCounter struct {
	io.Reader
	closed int
}

func (c *closeCounter) Close() error {
	c.closed++
	return nil
}

// Verifies that the response of an attempt that ends after the request was decided is
// closed. Nobody reads such a response; if it stays open, its slot and connection are
// never released.
func TestLateAttemptResponsesAreClosed(t *testing.T) {
	queued, late := &closeCounter{Reader: strings.NewReader("x")}, &closeCounter{Reader: strings.NewReader("x")}
	x := &request{results: make(chan attemptResult, 2)}
	x.deliverResult(attemptResult{number: 1, response: &endpointResponse{body: queued}})
	x.cancelAttempts()
	x.deliverResult(attemptResult{number: 2, response: &endpointResponse{body: late}})
	assert.Equal(t, queued.closed, 1, "response delivered before the request was decided")
	assert.Equal(t, late.closed, 1, "response delivered after the request was decided")
}

// Verifies that a timeout while the body is read is not reported as a bad request. It
// happens when the node is paused while it reads (seed 13 of test/soak), and clients do
// not retry after a 400.
func TestBodyReadTimeoutIsNotBadRequest(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/x", iotest.ErrReader(os.ErrDeadlineExceeded))
	r.ContentLength = 10
	entry := &EntryHandler{deps: &shared{requestsEnd: t.Context()}}
	x := &request{entry: entry, r: r, w: httptest.NewRecorder(), ctx: t.Context(), deadline: time.Now()}
	failure := x.readBody()
	assert.Equal(t, failure.Code, verdict.DeadlineExceeded)
	assert.Equal(t, statusOf(failure), http.StatusServiceUnavailable)
}

// Verifies that a request that waits for a slow new version is hedged only after its
// response would count as slow. Hedged earlier, the slow responses are canceled before
// they can be counted, and the version passes its analysis (EXPOSURE on trouble-2 of grown
// priecka, seed 442675553950: stock checks have 2 s, their baseline was above 250 ms).
func TestSlowVersionIsSeenBeforeItsRequestsAreHedged(t *testing.T) {
	for _, timeout := range []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
		for baseline := timeout / 20; baseline <= timeout/3; baseline += timeout / 100 {
			started := time.Now()
			x := &request{
				started: started, deadline: started.Add(timeout), route: &mesh.Route{Kind: mesh.Safe},
				canaryHedgeDelay: rollout.SlowThreshold(baseline, timeout),
			}
			hedgedAfter := x.hedgeDelay(baseline)
			assert.Assert(t, hedgedAfter <= timeout*7/10, "timeout %v, baseline %v: no time is left after %v", timeout, baseline, hedgedAfter)
			analyzer, failed := rollout.NewAnalyzer(), false
			for i := range 40 {
				// Half of the responses are slow; the old version answers hedged requests after the
				// baseline at the earliest.
				result := rollout.Result{Latency: baseline, Baseline: baseline, Timeout: timeout}
				if i%2 == 0 {
					result.Latency, result.Unfinished = hedgedAfter+baseline/2, true
				}
				failed = failed || analyzer.Add(result)
			}
			assert.Assert(t, failed, "timeout %v, baseline %v: hedged after %v", timeout, baseline, hedgedAfter)
		}
	}
}

// Calls that an endpoint makes while it runs a request must take precedence at gates:
// when they are turned away, the work of the request is lost. On scale-1 of grown
// pearlwell 12,775 attempts ended with 500 for that reason.
func TestCallsOfTheLocalEndpointAreNested(t *testing.T) {
	log := newEventLog(io.Discard, testOrigin, func() uint64 { return 0 })
	defer log.close(time.Second)
	service := "s"
	deps := &shared{settings: Settings{InboundAddress: "10.0.0.9:1"}, now: time.Now, log: log}
	deps.service.Store(&service)
	deps.rollouts = newRolloutTracker(deps.now, log, func() {})
	for address, isNested := range map[string]bool{"10.0.0.9:4711": true, "10.0.0.8:4711": false} {
		r := httptest.NewRequest(http.MethodGet, "/x", nil)
		r.RemoteAddr = address
		x := &request{entry: &EntryHandler{deps: deps}, r: r, route: &mesh.Route{Kind: mesh.Safe}}
		c := x.newCall(time.Now(), placement.Choice{Endpoint: &placement.Endpoint{}}, false)
		assert.Equal(t, c.Nested, isNested, address)
	}
}

// Calls that retried requests make count as retries at the called service. The node of the
// endpoint can charge them only if the call that it runs says that it is a retry, and the
// calls that those make in turn.
func TestRetriedCallsAreMarked(t *testing.T) {
	log := newEventLog(io.Discard, testOrigin, func() uint64 { return 0 })
	defer log.close(time.Second)
	service := "s"
	deps := &shared{settings: Settings{InboundAddress: "10.0.0.9:1", RetryBudgetRatio: 0.2, RetryBudgetWindow: time.Second}, now: time.Now, log: log}
	deps.service.Store(&service)
	deps.rollouts = newRolloutTracker(deps.now, log, func() {})
	admission := newLocalAdmission(deps)
	entry := newEntry(deps, admission, nil)
	queue := gate.NewQueue(1)
	_, _ = queue.Admit(time.Now(), gate.Request{ID: 1, Deadline: time.Now().Add(time.Minute)})
	ea := &endpointAdmission{queue: queue}
	admission.admissions["e"] = ea
	for _, isRetryRunning := range []bool{false, true} {
		if isRetryRunning {
			admission.countRetry(ea, &call{hopMetadata: hopMetadata{Retry: true}}, 1)
		}
		for _, isRetry := range []bool{false, true} {
			r := httptest.NewRequest(http.MethodGet, "/x", nil)
			r.RemoteAddr = "10.0.0.9:4711"
			x := &request{entry: entry, r: r, route: &mesh.Route{Kind: mesh.Safe}, service: "t"}
			x.recordRequest()
			c := x.newCall(time.Now(), placement.Choice{Endpoint: &placement.Endpoint{}}, isRetry)
			assert.Equal(t, c.Retry, isRetry || isRetryRunning, "retry %v, made by a retry %v", isRetry, isRetryRunning)
		}
	}
}
