package sidecar

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/azurespring/azurespring/pkg/exchange"
	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/mesh/quota"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// Limits of the part of a body that is buffered in memory. A request or response up to
// this size can be retried or replaced.
const (
	bufferedRequestBytes  = 64 << 10
	bufferedResponseBytes = 64 << 10
	// streamedPrefixBytes is the part of a longer body that is read before an endpoint is
	// chosen, so that a caller that sends no body at all takes no slot.
	streamedPrefixBytes = 4 << 10
)

// defaultRequestTimeout bounds requests without a deadline on routes without a timeout.
const defaultRequestTimeout = 30 * time.Second

// maxRejections bounds how often another endpoint is chosen after a rejection. A
// rejection costs a round trip between nodes but no work at an endpoint.
const maxRejections = 6

// maxHopelessRejections bounds the rejections because no slot will be free in time.
const maxHopelessRejections = 2

// A request that may run more than once is hedged because its response may be lost:
// after hedgeFactor times the expected latency, but not before minHedgeDelay.
const (
	hedgeFactor   = 3
	minHedgeDelay = 60 * time.Millisecond
	// maxHedgeFraction is the fraction of the request's timeout after which a hedged
	// request is sent at the latest, so that it can still help.
	maxHedgeFraction = 0.5
)

// request is one client request at its entry node.
type request struct {
	entry   *EntryHandler
	w       http.ResponseWriter
	r       *http.Request
	id      string
	started time.Time

	snapshot *mesh.Snapshot
	route    *mesh.Route
	// tenant is nil for requests without a tenant. hasTenants is set if the configuration has
	// tenants.
	tenant     *mesh.Tenant
	hasTenants bool
	// quotaPermit is the admission under the quota of the tenant.
	quotaPermit quota.Permit
	service     string
	ctx         context.Context
	cancel      context.CancelFunc
	// deadline is that of the attempts. It is earlier than that of ctx if the node shuts
	// down before.
	deadline      time.Time
	header        http.Header
	fingerprint   mesh.Fingerprint
	body          []byte
	remainingBody *streamedBody

	// attempted holds the endpoints that the request was sent to, without those that
	// rejected it for lack of capacity; rejectedBy holds these. attempts is the number
	// of all attempts and pendingAttempts the number of those that have not ended. Of
	// the ended ones, reachedAttempts reached the endpoint; rejections were rejected
	// before or could not reach its node.
	attempted       []*placement.Endpoint
	reachedAttempts int
	pendingAttempts int
	rejections      int
	rejectedBy      []placement.Rejection
	attempts        int
	// overflowDraw is the random number that decides about leaving the failure domain; 0
	// before the first attempt.
	overflowDraw float64
	// cancels holds the cancel functions of the attempts that have not ended, by
	// number.
	cancels map[int]context.CancelFunc
	results chan attemptResult
	// isInduced is set if the request is taken for one that a retried request made.
	isInduced bool
	// canaryHedgeDelay is the minimum hedge delay of an attempt at a version under
	// canary analysis, so that a slow response is noticed; 0 for other attempts.
	canaryHedgeDelay time.Duration
	// isDecided is set once no further result is used; mu guards it and heldBytes.
	mu        sync.Mutex
	isDecided bool
	// mayHaveRun is set once a failed attempt may have run at an endpoint.
	mayHaveRun bool
	// fallbackResponse is an error response of an endpoint, sent to the client if no
	// retry succeeds.
	fallbackResponse *endpointResponse
	status           int
	// heldBytes is the part of the entry's heldBytes that belongs to the request.
	heldBytes int64
	// sharedBytes is what the request holds of the memory for clients.
	sharedBytes int64
	// servedAttempt is the attempt whose response was chosen; it is empty if the client
	// gets fallbackResponse.
	servedAttempt attemptResult
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	number   int
	endpoint *placement.Endpoint
	// isRetry is set if an earlier attempt has reached an endpoint or was still pending;
	// the attempt then counts against the retry budget.
	isRetry  bool
	response *endpointResponse
	failure  *verdict.Error
}

// run handles the request until a response of an endpoint has been chosen or the
// request has failed.
func (x *request) run() (*endpointResponse, *verdict.Error) {
	if err := x.matchRoute(); err != nil {
		return nil, err
	}
	if err := x.authenticate(); err != nil {
		return nil, err
	}
	if err := x.setDeadline(); err != nil {
		return nil, err
	}
	if err := x.checkEligible(); err != nil {
		return nil, err
	}
	if err := x.takeQuota(); err != nil {
		return nil, err
	}
	if err := x.readBody(); err != nil {
		return nil, err
	}
	x.fingerprint = x.fingerprintOf()
	x.service = x.entry.pickService(x.route)
	x.recordRequest()
	return x.runAttempts()
}

// fingerprintOf returns the fingerprint of the request. Of a body that is not in memory it
// covers the start only, as far as it is read however the body is sent.
func (x *request) fingerprintOf() mesh.Fingerprint {
	bodyBytes, start := int64(len(x.body)), x.body
	if x.remainingBody != nil {
		bodyBytes, start = -1, x.body[:min(len(x.body), streamedPrefixBytes)]
	}
	return mesh.FingerprintOf(*x.entry.deps.service.Load(), x.r.Host, x.r.Method, x.r.RequestURI, bodyBytes, start)
}

// recordRequest counts the request for the retry budget of its service. A nested request
// may have been made by a retried one; which one is not known.
func (x *request) recordRequest() {
	now, budget := x.entry.deps.now(), x.entry.retryBudget(x.service)
	budget.RecordRequest(now)
	if !x.isNested() {
		return
	}
	if share := x.entry.admission.retryShare(); share > 0 {
		budget.RecordInduced(now, share)
		x.isInduced = rand.Float64() < share
	}
}

// isNested reports whether the local endpoint made the request while it runs another.
func (x *request) isNested() bool { return x.entry.deps.settings.isSameInstance(x.r.RemoteAddr) }

// matchRoute finds the route of the request.
func (x *request) matchRoute() *verdict.Error {
	if x.entry.deps.isRejectingNew.Load() {
		return verdict.NotRunErrorf(verdict.Draining, "the node is stopping")
	}
	if x.snapshot = x.entry.deps.snapshot.Load(); x.snapshot == nil || x.entry.deps.table.Load() == nil || x.entry.deps.evacuations.Load() == nil {
		err := verdict.NotRunErrorf(verdict.NoTarget, "the node has no configuration yet")
		err.RetryAfter = startRetryAfter
		return err
	}
	if x.route = x.snapshot.Match(x.r.Host, x.r.URL.Path); x.route == nil {
		return verdict.NotRunErrorf(verdict.UnknownRoute, "no route for %s%s", x.r.Host, x.r.URL.Path)
	}
	if limit := x.snapshot.Limits().MaxBodyBytes; limit > 0 && x.r.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	return nil
}

func bodyTooLarge(limit int64) *verdict.Error {
	return verdict.NotRunErrorf(verdict.BadRequest, "the body is larger than %d bytes", limit)
}

var errBodyTooLarge = errors.New("the body is larger than the configuration allows")

// limitBody returns the rest of a body of which n bytes have been read. A body in chunks
// fails at the limit of the configuration.
func (x *request) limitBody(n int64) io.Reader {
	limit := x.snapshot.Limits().MaxBodyBytes
	if limit <= 0 {
		return x.r.Body
	}
	return &exchange.LimitedReader{Source: x.r.Body, RemainingBytes: max(limit-n, 0), Err: errBodyTooLarge}
}

// memoryRetryAfter is the time within which requests end that hold the memory for clients.
const memoryRetryAfter = time.Second

// startRetryAfter is the usual time until a node that has just started has read its
// configuration.
const startRetryAfter = 200 * time.Millisecond

// setDeadline sets the deadline of the request: that of the client or the timeout of
// the route, whichever is earlier. A shutdown ends the attempts of the request earlier, or
// the request is rejected.
func (x *request) setDeadline() *verdict.Error {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultRequestTimeout
	}
	if text := x.r.Header.Get(x.entry.deps.headers.Deadline); text != "" {
		timeoutMs, err := strconv.ParseFloat(text, 64)
		if err != nil || timeoutMs < 0 {
			return verdict.NotRunErrorf(verdict.BadRequest, "the deadline %q is not a number of milliseconds", text)
		}
		timeout = min(timeout, time.Duration(timeoutMs*float64(time.Millisecond)))
	}
	x.deadline = x.started.Add(timeout)
	x.ctx, x.cancel = context.WithDeadline(x.r.Context(), x.deadline)
	schedule := x.entry.deps.shutdown.Load()
	if schedule == nil || !schedule.attemptsEndAt.Before(x.deadline) {
		return nil
	}
	if !schedule.admits(x.started, x.deadline) {
		return verdict.NotRunErrorf(verdict.Draining, "the node stops before the deadline of the request")
	}
	x.deadline = schedule.attemptsEndAt
	return nil
}

// readBody reads the start of the body, or all of a small one.
func (x *request) readBody() *verdict.Error {
	x.header = x.forwardedHeader()
	if x.r.ContentLength == 0 || x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	controller := http.NewResponseController(x.w)
	_ = controller.SetReadDeadline(x.deadline)
	stopWatch := context.AfterFunc(x.entry.deps.requestsEnd, func() { _ = controller.SetReadDeadline(pastDeadline) })
	defer stopWatch()
	size := int64(bufferedRequestBytes)
	if length := x.r.ContentLength; length > bufferedRequestBytes {
		size = streamedPrefixBytes
	} else if length > 0 {
		size = length
	}
	if !holdMemory(x.w, size) {
		err := verdict.NotRunErrorf(verdict.Overloaded, "the node is short of memory for the body")
		err.RetryAfter = memoryRetryAfter
		return err
	}
	buffer := make([]byte, size)
	n, err := fill(x.r.Body, buffer)
	x.body = buffer[:n]
	switch {
	case err == io.EOF:
	case err != nil:
		switch {
		case x.ctx.Err() != nil:
			return x.contextError()
		case errors.Is(err, os.ErrDeadlineExceeded):
			// The deadline of the connection is noticed before that of the context.
			return verdict.NotRunErrorf(verdict.DeadlineExceeded, "the body did not arrive in time")
		}
		return verdict.NotRunErrorf(verdict.BadRequest, "the body was cut: %v", err)
	case x.r.ContentLength < 0 || x.r.ContentLength > int64(n):
		x.remainingBody = &streamedBody{source: x.limitBody(int64(n))}
		_ = controller.EnableFullDuplex()
	}
	if limit := x.snapshot.Limits().MaxBodyBytes; limit > 0 && int64(n) > limit {
		return bodyTooLarge(limit)
	}
	_ = controller.SetReadDeadline(time.Time{})
	return nil
}

// contextError returns the error of a request whose context has ended.
func (x *request) contextError() *verdict.Error {
	v := verdict.NotRun
	if x.mayHaveRun {
		v = verdict.MayHaveRun
	}
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		return &verdict.Error{Code: verdict.DeadlineExceeded, Verdict: v, Detail: "the deadline has passed"}
	}
	return &verdict.Error{Code: verdict.Canceled, Verdict: v, Detail: context.Cause(x.ctx).Error()}
}
