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

// EntryHandler takes the requests that begin on this machine.
type EntryHandler struct {
	deps *shared
	gate *localGate
	hops *hopClient
	// unlimited carries answers to the endpoint beside this node, which do not leave
	// the machine.
	unlimited *uplink

	inFlight atomic.Int64

	mu         sync.Mutex
	budgets    map[string]*placement.RetryBudget
	references map[string]time.Duration
	turns      map[string]uint64
}

func newEntry(deps *shared, gate *localGate, hops *hopClient) *EntryHandler {
	return &EntryHandler{
		deps: deps, gate: gate, hops: hops, unlimited: newUplink(deps.now, 0), budgets: make(map[string]*placement.RetryBudget),
		references: make(map[string]time.Duration), turns: make(map[string]uint64),
	}
}

// budget returns the budget of repeats to a service.
func (e *EntryHandler) budget(service string) *placement.RetryBudget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.budgets[service]
	if b == nil {
		s := e.deps.settings
		b = placement.NewRetryBudget(s.RetryBudgetRatio, s.RetryBudgetWindow, s.RetryBudgetSlack)
		e.budgets[service] = b
	}
	return b
}

// referenceWeight is the weight of a new time in the mean of a route.
const referenceWeight = 0.1

// learnReference takes in the time of an answer of a version in full use.
func (e *EntryHandler) learnReference(route string, took time.Duration) {
	if took <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	mean, ok := e.references[route]
	if !ok {
		mean = took
	}
	e.references[route] = mean + time.Duration(referenceWeight*float64(took-mean))
}

func (e *EntryHandler) reference(route string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.references[route]
}

// pickService spreads the requests of a route over its services by weight. A
// service without room keeps its part: moving it would put load where the
// operator does not want it.
func (e *EntryHandler) pickService(route *mesh.Route) string {
	if len(route.WeightedServices) == 1 {
		return route.WeightedServices[0].Service
	}
	e.mu.Lock()
	e.turns[route.Name]++
	at := position(e.turns[route.Name])
	e.mu.Unlock()
	total := 0
	for _, share := range route.WeightedServices {
		total += share.Weight
	}
	at *= float64(total)
	for _, share := range route.WeightedServices {
		if at -= float64(share.Weight); at < 0 {
			return share.Service
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
	}()
	a, failure := x.run()
	if e.deps.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if failure == nil {
		failure = x.passOn(a)
	}
	x.observe(failure)
	switch {
	case failure == nil:
	case x.status != 0 || failure.Code == verdict.Canceled:
		// The head is on its way, or nobody waits: only a broken connection tells
		// that the answer is not whole.
		panic(http.ErrAbortHandler)
	default:
		x.refuse(failure)
	}
}

// promises are the statuses by which clients learn that a request has not run.
// An endpoint's own answer with one of them makes no such promise.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// passOn sends the answer of an endpoint to the client.
func (x *request) passOn(a *answer) *verdict.Error {
	defer a.body.Close()
	if promises(a.status) && !x.route.Kind.Idempotent() {
		return verdict.MayHaveRunErrorf(verdict.TargetFailed, nil, "the endpoint answered with status %d", a.status)
	}
	header := x.w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // Keeps net/http from guessing one.
	}
	if a.whole && x.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(a.buffered)))
	} else if a.length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	x.status = a.status
	link := x.entry.deps.uplink
	if x.entry.deps.settings.onThisMachine(x.r.RemoteAddr) {
		link = x.entry.unlimited
	}
	link.spendHead(header)
	x.w.WriteHeader(a.status)
	if x.r.Method == http.MethodHead {
		return nil
	}
	return x.passOnBody(a, link)
}

// passOnBody sends the body of an answer; a large one takes its turn on the link.
func (x *request) passOnBody(a *answer, link *uplink) *verdict.Error {
	to := &clientWriter{to: x.w}
	body := io.Reader(bytes.NewReader(a.buffered))
	length := int64(len(a.buffered))
	if !a.whole {
		body, length = io.MultiReader(body, a.body), a.length
	}
	terms := egress.Chunk{SoftDeadline: x.started.Add(x.route.TargetLatency), Urgent: x.entry.deps.stopping.Load()}
	err := link.copyAnswer(x.ctx, to, body, length, terms)
	switch {
	case to.failed != nil || x.r.Context().Err() != nil:
		return verdict.MayHaveRunErrorf(verdict.Canceled, err, "the client did not take the answer")
	case err == nil && length >= 0 && to.sent < length:
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return verdict.MayHaveRunErrorf(verdict.AnswerCut, err, "the answer ended early")
	}
	return nil
}

// clientWriter tells a client that takes no more from an answer that ends early.
type clientWriter struct {
	to     io.Writer
	sent   int64
	failed error
}

// Write implements io.Writer.
func (w *clientWriter) Write(p []byte) (int, error) {
	n, err := w.to.Write(p)
	w.sent += int64(n)
	w.failed = err
	return n, err
}

// leastRetryAfter is the shortest time after which a client is asked to come back.
const leastRetryAfter = 20 * time.Millisecond

// problem is the body of a refusal or failure of the node's own.
type problem struct {
	Code      verdict.Code `json:"code"`
	Detail    string       `json:"detail"`
	Verdict   string       `json:"verdict"`
	RequestID string       `json:"requestId"`
}

// statusOf returns the status of a refusal or failure of the node's own. A
// request that has not run gets a status that promises so.
func statusOf(failure *verdict.Error) int {
	switch {
	case failure.Code == verdict.UnknownRoute, failure.Code == verdict.BadRequest:
		return failure.Code.HTTPStatus()
	case failure.Verdict == verdict.NotRun:
		return http.StatusServiceUnavailable
	case failure.Code == verdict.DeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func (x *request) refuse(failure *verdict.Error) {
	header := x.w.Header()
	x.status = statusOf(failure)
	if x.status == http.StatusServiceUnavailable {
		after := max(failure.RetryAfter, leastRetryAfter)
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
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

// observe counts and logs the end of a request.
func (x *request) observe(failure *verdict.Error) {
	deps := x.entry.deps
	took := deps.now().Sub(x.started)
	outcome, kind := "served", "none"
	f := fields{
		"requestId": x.id, "service": x.service, "tookMs": took.Milliseconds(), "tries": x.tries,
		"arrivals": x.arrivals, "rejections": x.rejections,
	}
	if x.route != nil {
		kind = x.route.Kind.String()
		f["route"], f["kind"], f["timeoutMs"] = x.route.Name, kind, x.deadline.Sub(x.started).Milliseconds()
	}
	name := eventServed
	if failure != nil {
		outcome, name = string(failure.Code), "request_failed"
		f["code"], f["verdict"], f["detail"] = string(failure.Code), failure.Verdict.String(), failure.Error()
		f["retryAfterMs"] = failure.RetryAfter.Milliseconds()
	} else {
		f["status"] = x.status
		if e := x.served.endpoint; e != nil {
			f["endpoint"], f["endpointInstance"], f["version"] = e.ID, e.Instance, e.Version
			f["distance"], f["endpointMs"] = distanceNames[e.Distance], x.served.answer.took.Milliseconds()
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
