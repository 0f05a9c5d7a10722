package sidecar

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/egress"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// EntryHandler handles the requests that enter the mesh on this instance.
type EntryHandler struct {
	deps      *shared
	admission *localAdmission
	hops      *hopClient
	// unlimitedUplink sends responses to peers on this instance, which do not use its
	// link.
	unlimitedUplink *uplink

	inFlight atomic.Int64
	// heldBytes is the size of the responses that are held back until they are complete.
	heldBytes atomic.Int64

	// retryBudgets holds the retry budgets by service, baselines the mean latencies and
	// routeRequestCounts the numbers of requests, both by route.
	mu                 sync.Mutex
	retryBudgets       map[string]*placement.RetryBudget
	baselines          map[string]time.Duration
	routeRequestCounts map[string]uint64

	overflow *overflowControllers
}

func newEntry(deps *shared, admission *localAdmission, hops *hopClient) *EntryHandler {
	return &EntryHandler{
		deps: deps, admission: admission, hops: hops, unlimitedUplink: newUplink(deps.now, 0), retryBudgets: make(map[string]*placement.RetryBudget),
		baselines: make(map[string]time.Duration), routeRequestCounts: make(map[string]uint64),
		overflow: newOverflowControllers(),
	}
}

// retryBudget returns the retry budget of a service.
func (e *EntryHandler) retryBudget(service string) *placement.RetryBudget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.retryBudgets[service]
	if b == nil {
		s := e.deps.settings
		b = placement.NewRetryBudget(s.RetryBudgetRatio, s.RetryBudgetWindow, s.RetryBudgetSlack)
		e.retryBudgets[service] = b
	}
	return b
}

// baselineWeight is the weight of a new sample in the mean latency (EWMA) of a route.
const baselineWeight = 0.1

// updateBaseline adds the latency of a response to the mean latency of the route. It is
// called only for versions that are not under canary analysis.
func (e *EntryHandler) updateBaseline(route string, took time.Duration) {
	if took <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	mean, ok := e.baselines[route]
	if !ok {
		mean = took
	}
	e.baselines[route] = mean + time.Duration(baselineWeight*float64(took-mean))
}

func (e *EntryHandler) baseline(route string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.baselines[route]
}

// pickService distributes the requests of a route over its services by weight. A
// service without free capacity keeps its traffic share: shifting it would put load
// where the operator does not want it.
func (e *EntryHandler) pickService(route *mesh.Route) string {
	if len(route.WeightedServices) == 1 {
		return route.WeightedServices[0].Service
	}
	e.mu.Lock()
	e.routeRequestCounts[route.Name]++
	position := unitPosition(e.routeRequestCounts[route.Name])
	e.mu.Unlock()
	total := 0.0 // A sum of integers may overflow.
	for _, weighted := range route.WeightedServices {
		total += float64(weighted.Weight)
	}
	position *= total
	for _, weighted := range route.WeightedServices {
		if position -= float64(weighted.Weight); position < 0 {
			return weighted.Service
		}
	}
	return route.WeightedServices[len(route.WeightedServices)-1].Service
}

// ServeHTTP implements http.Handler.
func (e *EntryHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	x := &request{entry: e, w: w, r: r, id: r.Header.Get(e.deps.headers.RequestID), started: e.deps.now()}
	defer func() {
		if x.cancel != nil {
			x.cancel()
		}
		x.releaseHeld()
	}()
	resp, failure := x.run()
	x.returnQuota(failure)
	if e.deps.isShuttingDown() {
		w.Header().Set("Connection", "close")
	}
	if failure == nil {
		failure = x.sendResponse(resp)
	}
	x.recordOutcome(failure)
	switch {
	case failure == nil:
	case x.status != 0 || r.Context().Err() != nil:
		// The header has been sent, or the client is gone. Only a broken connection can
		// tell the client that the response is incomplete.
		panic(http.ErrAbortHandler)
	default:
		x.sendProblem(failure)
	}
}

// isNotRunStatus reports whether clients take the status as a statement that the
// request has not run. The same status from an endpoint is no such statement.
func isNotRunStatus(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// sendResponse sends the response of an endpoint to the client.
func (x *request) sendResponse(resp *endpointResponse) *verdict.Error {
	defer resp.body.Close()
	if isNotRunStatus(resp.status) && !x.route.Kind.Idempotent() {
		return verdict.MayHaveRunErrorf(verdict.TargetFailed, nil, "the endpoint answered with status %d", resp.status)
	}
	header := x.w.Header()
	for name, values := range resp.header {
		header[name] = values
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // Prevents net/http from guessing one.
	}
	if resp.isComplete && x.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(resp.buffered)))
	} else if resp.contentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(resp.contentLength, 10))
	}
	x.status = resp.status
	link := x.entry.deps.uplink
	if x.entry.deps.settings.isSameInstance(x.r.RemoteAddr) {
		link = x.entry.unlimitedUplink
	}
	link.countHeader(header)
	x.w.WriteHeader(resp.status)
	if x.r.Method == http.MethodHead {
		return nil
	}
	return x.sendBody(resp, link)
}

// sendBody sends the body of a response. Chunks of a large body are scheduled on the
// uplink.
func (x *request) sendBody(resp *endpointResponse, link *uplink) *verdict.Error {
	writer := &clientWriter{dst: x.w}
	body := io.Reader(bytes.NewReader(resp.buffered))
	length := int64(len(resp.buffered))
	if !resp.isComplete {
		body, length = io.MultiReader(body, resp.body), resp.contentLength
	}
	chunk := egress.Chunk{SoftDeadline: x.started.Add(x.route.TargetLatency), Urgent: x.entry.deps.isShuttingDown()}
	err := link.copyResponse(x.ctx, writer, body, length, chunk)
	switch {
	case writer.err != nil || x.r.Context().Err() != nil:
		return verdict.MayHaveRunErrorf(verdict.Canceled, err, "the client did not take the answer")
	case err == nil && length >= 0 && writer.sentBytes < length:
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return verdict.MayHaveRunErrorf(verdict.AnswerCut, err, "the answer ended early")
	}
	return nil
}

// clientWriter records write errors, to tell a client that stopped reading from a
// response body that ended early.
type clientWriter struct {
	dst       io.Writer
	sentBytes int64
	err       error
}

// Write implements io.Writer.
func (w *clientWriter) Write(p []byte) (int, error) {
	n, err := w.dst.Write(p)
	w.sentBytes += int64(n)
	w.err = err
	return n, err
}

// minRetryAfter is the shortest Retry-After that clients get.
const minRetryAfter = 20 * time.Millisecond

// problem is the body of a local reply: a rejection or failure reported by the node
// itself.
type problem struct {
	Code      verdict.Code `json:"code"`
	Detail    string       `json:"detail"`
	Verdict   string       `json:"verdict"`
	RequestID string       `json:"requestId"`
}

// statusOf returns the status of a local reply. A request that has not run gets a
// status that says so, unless it has no route, no valid key, or is malformed.
func statusOf(failure *verdict.Error) int {
	switch {
	case failure.Code == verdict.UnknownRoute, failure.Code == verdict.BadRequest, failure.Code == verdict.Unauthenticated, failure.Code == verdict.QuotaExceeded:
		return failure.Code.HTTPStatus()
	case failure.Verdict == verdict.NotRun:
		return http.StatusServiceUnavailable
	case failure.Code == verdict.DeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func (x *request) sendProblem(failure *verdict.Error) {
	header := x.w.Header()
	x.status = statusOf(failure)
	if x.status == http.StatusServiceUnavailable || x.status == http.StatusTooManyRequests {
		retryAfter := max(failure.RetryAfter, minRetryAfter)
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if x.status == http.StatusUnauthorized {
		header.Set("Www-Authenticate", x.entry.deps.headers.KeyScheme)
	}
	// The type is a plain struct, which always encodes.
	body, _ := json.Marshal(problem{
		Code: failure.Code, Detail: failure.Detail, Verdict: failure.Verdict.String(), RequestID: x.id,
	})
	header.Set("Content-Type", "application/problem+json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(x.status)
	_, _ = x.w.Write(body)
}

// recordOutcome counts and logs the outcome of a request.
func (x *request) recordOutcome(failure *verdict.Error) {
	deps := x.entry.deps
	took := deps.now().Sub(x.started)
	outcome, kind := "served", "none"
	f := fields{
		"requestId": x.id, "service": x.service, "tookMs": took.Milliseconds(), "tries": x.attempts,
		"arrivals": x.reachedAttempts, "rejections": x.rejections,
	}
	if x.route != nil {
		kind = x.route.Kind.String()
		f["route"], f["kind"] = x.route.Name, kind
	}
	if !x.deadline.IsZero() {
		f["timeoutMs"] = x.deadline.Sub(x.started).Milliseconds()
	}
	if x.tenant != nil {
		f["tenant"] = x.tenant.Name
	}
	name := eventServed
	if failure != nil {
		outcome, name = string(failure.Code), "request_failed"
		f["code"], f["verdict"], f["detail"] = string(failure.Code), failure.Verdict.String(), failure.Error()
		f["retryAfterMs"] = failure.RetryAfter.Milliseconds()
	} else {
		f["status"] = x.status
		if e := x.servedAttempt.endpoint; e != nil {
			f["endpoint"], f["endpointInstance"], f["version"] = e.ID, e.Instance, e.Version
			f["distance"], f["endpointMs"] = distanceNames[e.Distance], x.servedAttempt.response.headerLatency.Milliseconds()
			f["priority"] = x.route.Priority
			f["client"] = x.r.RemoteAddr
		}
		if x.status >= http.StatusInternalServerError {
			name, outcome = "request_failed", "endpoint-failure"
		}
	}
	deps.metrics.request(x.service, kind, outcome, took)
	deps.log.event(name, f)
}
