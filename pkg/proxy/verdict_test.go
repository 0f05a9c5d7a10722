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

// verdictCase is one point of failure. Each case runs with the target beside the
// entry node and over one hop, because the two take different code.
type verdictCase struct {
	name    string
	method  string
	path    string
	headers []string
	status  int
	code    verdict.Code
	verdict verdict.Verdict
	// runs is how often the target may have begun the call.
	runs int
	// cut is set if the caller must see a broken answer instead of a refusal.
	cut bool
}

var verdictCases = []verdictCase{
	{name: "no key", path: "/look", headers: []string{"Authorization", "x"}, status: 401, code: verdict.Unauthenticated, verdict: verdict.NotRun},
	{name: "unknown parent", path: "/look", headers: []string{headerCall, "x"}, status: 401, code: verdict.Unauthenticated, verdict: verdict.NotRun},
	{name: "unknown service", path: "/look", headers: []string{headerService, "nope"}, status: 404, code: verdict.UnknownService, verdict: verdict.NotRun},
	{name: "unknown route", path: "/nope", status: 404, code: verdict.UnknownRoute, verdict: verdict.NotRun},
	{name: "route outside the plan", path: "/secret", status: 403, code: verdict.NotEntitled, verdict: verdict.NotRun},
	{name: "malformed timeout", path: "/look", headers: []string{headerTimeout, "soon"}, status: 400, code: verdict.BadRequest, verdict: verdict.NotRun},
	{name: "no time left", path: "/look", headers: []string{headerTimeout, "0"}, status: 504, code: verdict.DeadlineExceeded, verdict: verdict.NotRun},
	{name: "key without store", method: "POST", path: "/pay", headers: []string{headerKey, "k"}, status: 503, code: verdict.KeyStoreUnavailable, verdict: verdict.NotRun},
	{name: "service without targets", path: "/look", headers: []string{headerService, "other"}, status: 503, code: verdict.NoTarget, verdict: verdict.NotRun},
	{name: "shed", method: "POST", path: "/pay", headers: []string{testtarget.HeaderShed, "1"}, status: 503, code: verdict.TargetShed, verdict: verdict.NotRun, runs: 1},
	{name: "cut before the status", method: "POST", path: "/pay", headers: []string{testtarget.HeaderTruncate, "header"}, status: 502, code: verdict.TargetFailed, verdict: verdict.MayHaveRun, runs: 1},
	{name: "GET that must not be repeated", path: "/pay", headers: []string{testtarget.HeaderTruncate, "header"}, status: 502, code: verdict.TargetFailed, verdict: verdict.MayHaveRun, runs: 1},
	{name: "cut small answer", method: "POST", path: "/pay", headers: []string{testtarget.HeaderBodySize, "1000", testtarget.HeaderTruncate, "10"}, status: 502, code: verdict.AnswerCut, verdict: verdict.MayHaveRun, runs: 1},
	{name: "cut at the first byte", method: "POST", path: "/pay", headers: []string{testtarget.HeaderBodySize, "1000", testtarget.HeaderTruncate, "0"}, status: 502, code: verdict.AnswerCut, verdict: verdict.MayHaveRun, runs: 1},
	{name: "cut long answer", method: "POST", path: "/pay", headers: []string{testtarget.HeaderBodySize, "1000000", testtarget.HeaderTruncate, "500000"}, status: 200, code: verdict.AnswerCut, verdict: verdict.MayHaveRun, runs: 1, cut: true},
	{name: "cut answer in chunks", path: "/look", headers: []string{testtarget.HeaderChunkCount, "5", testtarget.HeaderTruncate, "3"}, status: 200, code: verdict.AnswerCut, verdict: verdict.MayHaveRun, runs: 1, cut: true},
	{name: "silent target", method: "POST", path: "/pay", headers: []string{testtarget.HeaderNeverAnswer, "1", headerTimeout, "150"}, status: 504, code: verdict.DeadlineExceeded, verdict: verdict.MayHaveRun, runs: 1},
	{name: "crash", method: "POST", path: "/pay", headers: []string{testtarget.HeaderCrash, "1"}, status: 502, code: verdict.TargetCrashed, verdict: verdict.MayHaveRun, runs: 1},
}

// Guards against refusals whose verdict, code or status is untrue, against cut
// answers that pass as whole, and against calls that the system itself repeats.
func TestVerdictIsTrueAtEveryPointOfFailure(t *testing.T) {
	for _, entry := range []string{"local", "remote"} {
		for _, c := range verdictCases {
			t.Run(entry+"/"+c.name, func(t *testing.T) {
				f := newFleet(t, "a", "b")
				target := f.nodes[0].target(testtarget.Options{}, testtarget.Behavior{})
				n := f.nodes[0]
				if entry == "remote" {
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
	// net/http repeats some requests only on connections that were used before.
	assert.Equal(t, n.do("GET", "/look", nil).StatusCode, http.StatusOK)
	r := n.do(method, c.path, nil, append(c.headers, headerRequestID, "id")...)
	if r.Response == nil {
		t.Fatalf("no answer: %v", r.err)
	}
	assert.Equal(t, r.StatusCode, c.status, "%s", r)
	assert.Equal(t, target.RunCount("id"), c.runs)
	if c.cut {
		assert.Assert(t, r.err != nil, "a cut answer passed as whole")
		return
	}
	assert.NilError(t, r.err)
	checkProblem(t, r, c.code, c.verdict)
}

func checkProblem(t *testing.T, r reply, code verdict.Code, v verdict.Verdict) {
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

// Guards against blaming a call for bytes that were never handed over: a target
// that refuses connections has run nothing.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	for i := range 2 {
		f := newFleet(t, "a", "b")
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		address := listener.Addr().String()
		assert.NilError(t, listener.Close())
		f.nodes[0].side.RegisterTarget(membership.Target{
			ID: "gone", Service: "stock", Version: "v1", Slots: 1, State: membership.Ready,
		}, address)
		r := f.nodes[i].do("POST", "/pay", strings.NewReader("x"))
		checkProblem(t, r, verdict.TargetFailed, verdict.NotRun)
		assert.Equal(t, len(f.nodes[0].endpoints()), 0, "the loss was not announced")
	}
}

// Guards against giving up on an idempotent call that another target can answer,
// and against sending any other call again.
func TestOnlyIdempotentCallsGoElsewhereAfterACrash(t *testing.T) {
	for _, c := range []struct {
		method, path string
		status       int
	}{{"GET", "/look", 200}, {"POST", "/pay", 502}} {
		f := newFleet(t, "a", "b", "c")
		first := f.nodes[0].target(testtarget.Options{}, testtarget.Behavior{})
		// The first target crashes; the second starts only now, so that the table has
		// both but the call tries the one that it can choose at first.
		second := f.nodes[1].target(testtarget.Options{}, testtarget.Behavior{})
		first.SetBehavior(testtarget.Behavior{NeverAnswer: true})
		second.SetBehavior(testtarget.Behavior{NeverAnswer: true})
		done := make(chan reply, 1)
		go func() { done <- f.nodes[2].do(c.method, c.path, nil, headerRequestID, "id") }()
		victim, other := waitRunning(t, first, second)
		other.SetBehavior(testtarget.Behavior{})
		victim.Crash()
		r := <-done
		assert.Equal(t, r.StatusCode, c.status, "%s", r)
		assert.Equal(t, other.RunCount("id"), map[int]int{200: 1, 502: 0}[c.status])
	}
}
