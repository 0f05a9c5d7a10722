package proxy

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/internal/testtarget"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// verdictCase is one point of failure. Each case runs with a target local to the entry
// node and over one hop, because these are two code paths.
type verdictCase struct {
	name        string
	method      string
	path        string
	headers     []string
	wantStatus  int
	wantCode    verdict.Code
	wantVerdict verdict.Verdict
	// wantRuns is how often the target must have started the call.
	wantRuns int
	// isTruncated is set if the caller must see a truncated response instead of an error
	// response.
	isTruncated bool
}

var verdictCases = []verdictCase{
	{name: "no customer key", path: "/look", headers: []string{"Authorization", "x"}, wantStatus: 401, wantCode: verdict.Unauthenticated, wantVerdict: verdict.NotRun},
	{name: "unknown parent call", path: "/look", headers: []string{headerCall, "x"}, wantStatus: 401, wantCode: verdict.Unauthenticated, wantVerdict: verdict.NotRun},
	{name: "unknown service", path: "/look", headers: []string{headerService, "nope"}, wantStatus: 404, wantCode: verdict.UnknownService, wantVerdict: verdict.NotRun},
	{name: "unknown route", path: "/nope", wantStatus: 404, wantCode: verdict.UnknownRoute, wantVerdict: verdict.NotRun},
	{name: "route outside the plan", path: "/secret", wantStatus: 403, wantCode: verdict.NotEntitled, wantVerdict: verdict.NotRun},
	{name: "malformed timeout", path: "/look", headers: []string{headerTimeout, "soon"}, wantStatus: 400, wantCode: verdict.BadRequest, wantVerdict: verdict.NotRun},
	{name: "no time left", path: "/look", headers: []string{headerTimeout, "0"}, wantStatus: 504, wantCode: verdict.DeadlineExceeded, wantVerdict: verdict.NotRun},
	{name: "idempotency key without store", method: "POST", path: "/pay", headers: []string{headerIdempotencyKey, "k"}, wantStatus: 503, wantCode: verdict.KeyStoreUnavailable, wantVerdict: verdict.NotRun},
	{name: "service without targets", path: "/look", headers: []string{headerService, "other"}, wantStatus: 503, wantCode: verdict.NoTarget, wantVerdict: verdict.NotRun},
	{name: "shed", method: "POST", path: "/pay", headers: []string{testtarget.HeaderShed, "1"}, wantStatus: 503, wantCode: verdict.TargetShed, wantVerdict: verdict.NotRun, wantRuns: 1},
	{name: "truncated before the status", method: "POST", path: "/pay", headers: []string{testtarget.HeaderTruncate, "header"}, wantStatus: 502, wantCode: verdict.TargetFailed, wantVerdict: verdict.MayHaveRun, wantRuns: 1},
	{name: "GET that must not be retried", path: "/pay", headers: []string{testtarget.HeaderTruncate, "header"}, wantStatus: 502, wantCode: verdict.TargetFailed, wantVerdict: verdict.MayHaveRun, wantRuns: 1},
	{name: "truncated small response", method: "POST", path: "/pay", headers: []string{testtarget.HeaderBodySize, "1000", testtarget.HeaderTruncate, "10"}, wantStatus: 502, wantCode: verdict.AnswerCut, wantVerdict: verdict.MayHaveRun, wantRuns: 1},
	{name: "truncated before the first byte of the body", method: "POST", path: "/pay", headers: []string{testtarget.HeaderBodySize, "1000", testtarget.HeaderTruncate, "0"}, wantStatus: 502, wantCode: verdict.AnswerCut, wantVerdict: verdict.MayHaveRun, wantRuns: 1},
	{name: "truncated long response", method: "POST", path: "/pay", headers: []string{testtarget.HeaderBodySize, "1000000", testtarget.HeaderTruncate, "500000"}, wantStatus: 200, wantCode: verdict.AnswerCut, wantVerdict: verdict.MayHaveRun, wantRuns: 1, isTruncated: true},
	{name: "truncated chunked response", path: "/look", headers: []string{testtarget.HeaderChunkCount, "5", testtarget.HeaderTruncate, "3"}, wantStatus: 200, wantCode: verdict.AnswerCut, wantVerdict: verdict.MayHaveRun, wantRuns: 1, isTruncated: true},
	{name: "unresponsive target", method: "POST", path: "/pay", headers: []string{testtarget.HeaderNeverAnswer, "1", headerTimeout, "150"}, wantStatus: 504, wantCode: verdict.DeadlineExceeded, wantVerdict: verdict.MayHaveRun, wantRuns: 1},
	{name: "crash", method: "POST", path: "/pay", headers: []string{testtarget.HeaderCrash, "1"}, wantStatus: 502, wantCode: verdict.TargetCrashed, wantVerdict: verdict.MayHaveRun, wantRuns: 1},
}

// For each point of failure, the status, code and verdict must be true, a truncated
// response must not pass as complete, and a call that is not idempotent must not be
// retried.
func TestVerdictIsTrueAtEveryPointOfFailure(t *testing.T) {
	for _, targetLocation := range []string{"local", "remote"} {
		for _, c := range verdictCases {
			t.Run(targetLocation+"/"+c.name, func(t *testing.T) {
				f := newFleet(t, "a", "b")
				target := f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
				n := f.nodes[0]
				if targetLocation == "remote" {
					n = f.nodes[1]
				}
				c.check(t, n, target)
			})
		}
	}
}

func (c *verdictCase) check(t *testing.T, n *node, target *testtarget.Target) {
	t.Helper()
	method := c.method
	if method == "" {
		method = http.MethodGet
	}
	// net/http retries some requests only on connections that were used before.
	assert.Equal(t, n.send("GET", "/look", nil).StatusCode, http.StatusOK)
	r := n.send(method, c.path, nil, append(c.headers, headerRequestID, "id")...)
	if r.Response == nil {
		t.Fatalf("call without a response: %v", r.err)
	}
	assert.Equal(t, r.StatusCode, c.wantStatus, "%s", r)
	assert.Equal(t, target.RunCount("id"), c.wantRuns)
	if c.isTruncated {
		assert.Assert(t, r.err != nil, "truncated response passed as complete")
		return
	}
	assert.NilError(t, r.err)
	checkProblem(t, r, c.wantCode, c.wantVerdict)
}

func checkProblem(t *testing.T, r callResponse, code verdict.Code, v verdict.Verdict) {
	t.Helper()
	assert.Equal(t, r.Header.Get(headerVerdict), v.String(), "%s", r)
	assert.Equal(t, r.Header.Get("Content-Type"), "application/problem+json")
	var p problem
	assert.NilError(t, json.Unmarshal([]byte(r.body), &p))
	assert.Equal(t, p.Code, code, "%s", r)
	assert.Equal(t, p.Verdict, v.String())
	assert.Equal(t, p.RequestID, r.Header.Get(headerRequestID))
	assert.Equal(t, r.StatusCode, code.HTTPStatus())
}

// A call to a target that refuses connections must end with the verdict not-run,
// because no byte was sent, and the target must be deregistered.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	for entryIndex := range 2 {
		f := newFleet(t, "a", "b")
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		address := listener.Addr().String()
		assert.NilError(t, listener.Close())
		f.nodes[0].targetHandler.RegisterTarget(membership.Target{
			ID: "gone", Service: "stock", Version: "v1", Slots: 1, State: membership.Ready,
		}, address)
		r := f.nodes[entryIndex].send("POST", "/pay", strings.NewReader("x"))
		checkProblem(t, r, verdict.TargetFailed, verdict.NotRun)
		assert.Equal(t, len(f.nodes[0].endpoints()), 0, "unreachable target is still registered")
	}
}

// After a crash of its target, an idempotent call must be retried on another target.
// Any other call must not be sent again.
func TestOnlyIdempotentCallsAreRetriedAfterCrash(t *testing.T) {
	for _, c := range []struct {
		method, path string
		status       int
	}{{"GET", "/look", 200}, {"POST", "/pay", 502}} {
		f := newFleet(t, "a", "b", "c")
		first := f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
		// Neither target responds until the call runs at one of them. That target then
		// crashes and the other one starts to respond.
		second := f.nodes[1].newTarget(testtarget.Options{}, testtarget.Behavior{})
		first.SetBehavior(testtarget.Behavior{NeverAnswer: true})
		second.SetBehavior(testtarget.Behavior{NeverAnswer: true})
		done := make(chan callResponse, 1)
		go func() { done <- f.nodes[2].send(c.method, c.path, nil, headerRequestID, "id") }()
		crashing, other := waitRunning(t, first, second)
		other.SetBehavior(testtarget.Behavior{})
		crashing.Crash()
		r := <-done
		assert.Equal(t, r.StatusCode, c.status, "%s", r)
		assert.Equal(t, other.RunCount("id"), map[int]int{200: 1, 502: 0}[c.status])
	}
}
