package proxy

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurespring/azurespring/pkg/observation"
	"github.com/azurespring/azurespring/pkg/routing"
	"github.com/azurespring/azurespring/pkg/timeline"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// EntryHandler serves callers: it is the http.Handler of the entry node.
type EntryHandler struct {
	options         Options
	targetHandler   *TargetHandler
	customerLimiter routing.CustomerLimiter
	retryBudget     routing.RetryBudget
	isDraining      atomic.Bool
	inFlight        atomic.Int64
	// deadlineGrace is the constant deadlineGrace except in tests.
	deadlineGrace time.Duration
}

// NewEntryHandler returns a handler that passes calls for local targets to
// targetHandler without a hop.
func NewEntryHandler(options Options, targetHandler *TargetHandler) *EntryHandler {
	return &EntryHandler{options: options.withDefaults(), targetHandler: targetHandler, deadlineGrace: deadlineGrace}
}

// Drain rejects new calls from outside; calls in flight and the calls nested in
// them continue.
func (h *EntryHandler) Drain() { h.isDraining.Store(true) }

// InFlight returns the number of calls that have not ended.
func (h *EntryHandler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (h *EntryHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	c := &call{handler: h, w: w, r: r, started: h.options.Now()}
	if h.isDraining.Load() {
		w.Header().Set("Connection", "close")
	}
	defer c.release()
	err := c.run()
	c.observe(err)
	switch {
	case err == nil:
	case c.headerSent:
		// The status was sent already. Only a reset connection or stream tells the
		// caller that the response is truncated.
		panic(http.ErrAbortHandler)
	default:
		writeProblem(w, c.id, err)
	}
}

// run executes all stages of the call. A nil error means that the caller got a
// complete response.
func (c *call) run() *verdict.Error {
	if err := c.authenticate(); err != nil {
		return err
	}
	if err := c.resolveRoute(); err != nil {
		return err
	}
	if err := c.admit(); err != nil {
		return err
	}
	if err := c.prepare(); err != nil {
		return err
	}
	if idempotencyKey := c.r.Header.Get(headerIdempotencyKey); idempotencyKey != "" {
		return c.runWithIdempotencyKey(idempotencyKey)
	}
	return c.runAttempts()
}

// authenticate sets the request ID and finds the customer.
func (c *call) authenticate() *verdict.Error {
	c.id = c.r.Header.Get(headerRequestID)
	if !validID(c.id) {
		c.id = rand.Text()
	}
	c.w.Header()[headerRequestID] = []string{c.id}
	c.isSampled = xxhash.Sum64String(c.id)%sampleEvery == 0
	if c.table = c.handler.options.RoutingTable(); c.table == nil {
		return verdict.NotRunErrorf(verdict.NoTarget, "node has no configuration yet")
	}
	c.snapshot = c.table.Snapshot()
	if parent := c.r.Header.Get(headerCall); parent != "" {
		return c.authenticateNested(parent)
	}
	if c.handler.isDraining.Load() {
		return verdict.NotRunErrorf(verdict.Draining, "node is stopping")
	}
	customerKey, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	if ok {
		c.customer = c.snapshot.CustomerByKey(customerKey)
	}
	if c.customer == nil {
		return verdict.NotRunErrorf(verdict.Unauthenticated, "the request has no valid key")
	}
	return nil
}

// authenticateNested takes the customer from the parent call, which the calling target
// is serving.
func (c *call) authenticateNested(parentID string) *verdict.Error {
	if c.parent = c.handler.targetHandler.findCall(parentID); c.parent == nil {
		return verdict.NotRunErrorf(verdict.Unauthenticated, "no call in flight has the id in %s", headerCall)
	}
	c.depth = c.parent.headerFrame.Depth + 1
	if c.depth > maxNestingDepth {
		return verdict.NotRunErrorf(verdict.TooDeep, "calls are nested more than %d deep", maxNestingDepth)
	}
	if c.customer = c.table.Customer(c.parent.headerFrame.Customer); c.customer == nil {
		return verdict.NotRunErrorf(verdict.NotEntitled, "customer %q no longer exists", c.parent.headerFrame.Customer)
	}
	return nil
}

// resolveRoute finds service and route and checks the entitlement.
func (c *call) resolveRoute() *verdict.Error {
	name := c.r.Header.Get(headerService)
	if name == "" {
		name, _, _ = strings.Cut(c.r.Host, ".")
		if host, _, err := net.SplitHostPort(name); err == nil {
			name = host
		}
	}
	if c.service = c.snapshot.Service(name); c.service == nil {
		return verdict.NotRunErrorf(verdict.UnknownService, "no service is called %q", name)
	}
	if c.route = c.service.MatchRoute(c.r.Method, c.r.URL.Path); c.route == nil {
		return verdict.NotRunErrorf(verdict.UnknownRoute, "service %q has no route for %s %s", name, c.r.Method, c.r.URL.Path)
	}
	if !c.snapshot.IsEntitled(c.customer.Plan, name, c.route.Name) {
		return verdict.NotRunErrorf(verdict.NotEntitled,
			"plan %q does not allow route %q of service %q", c.customer.Plan, c.route.Name, name)
	}
	c.isIdempotent = c.route.Idempotent || c.r.Header.Get(headerIdempotent) == "true"
	return nil
}

// admit applies the limits of the customer's plan. Nested calls are part of a
// call that was admitted; if they counted again, a call could block itself.
func (c *call) admit() *verdict.Error {
	limits := c.snapshot.Plan(c.customer.Plan).Limits
	c.weight = max(limits.Weight, 1)
	if c.parent != nil {
		c.remainingRetries = c.parent.takeRetry()
		return nil
	}
	c.remainingRetries = callTreeRetries
	permit, err := c.handler.customerLimiter.Acquire(c.customer.Name, limits, c.started)
	c.permit = permit
	return err
}

// prepare sets the deadline and reads the start of the body.
func (c *call) prepare() *verdict.Error {
	timeout := c.route.Deadline
	if timeout <= 0 {
		timeout = defaultDeadline
	}
	if text := c.r.Header.Get(headerTimeout); text != "" {
		millis, err := strconv.ParseInt(text, 10, 32)
		if err != nil || millis < 0 {
			return verdict.NotRunErrorf(verdict.BadRequest, "%s is not a number of milliseconds", headerTimeout)
		}
		timeout = min(timeout, time.Duration(millis)*time.Millisecond)
	}
	c.deadline = c.started.Add(timeout)
	if c.parent != nil && c.parent.deadline.Before(c.deadline) {
		c.deadline = c.parent.deadline
	}
	c.ctx, c.cancel = context.WithDeadline(c.r.Context(), c.deadline)
	if c.parent != nil {
		c.stopParentWatch = context.AfterFunc(c.parent.ctx, c.cancel)
	}
	if c.ctx.Err() != nil {
		return c.contextError(verdict.NotRun)
	}
	c.body = newRequestBody(c.w, c.r)
	c.stopBodyWatch = c.body.endReadsWith(c.ctx)
	if err := c.body.prefetch(c.deadline, !c.handler.options.Quarantine.Empty()); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) && !isEndedByStop(c.ctx) {
			// net/http cancels the context when a read times out.
			return verdict.NotRunErrorf(verdict.DeadlineExceeded, "the body did not arrive in time")
		}
		if c.ctx.Err() != nil {
			return c.contextError(verdict.NotRun)
		}
		return verdict.NotRunErrorf(verdict.BadRequest, "request body: %v", err)
	}
	if _, ok := c.body.complete(); !ok {
		// Without full duplex, net/http would read the rest of the body before it sends
		// the start of the response. HTTP/2 is always full duplex and returns an error
		// here.
		_ = http.NewResponseController(c.w).EnableFullDuplex()
	}
	c.fillHeaderFrame()
	return nil
}

// contextError returns the error of a call whose context has ended.
func (c *call) contextError(v verdict.Verdict) *verdict.Error { return contextError(c.ctx, v) }

// observe reports the finished call as the caller saw it to the observer.
func (c *call) observe(err *verdict.Error) {
	now := c.handler.options.Now()
	observed := observation.Call{
		Reporter: observation.ReporterEntryNode, EndTime: now, Status: c.status, Version: c.version, Latency: now.Sub(c.started),
	}
	if c.customer != nil {
		observed.Customer = c.customer.Name
	}
	if c.route != nil {
		observed.Service, observed.Route, observed.Department = c.service.Name, c.route.Name, c.route.Department
	}
	if err != nil {
		observed.Code, observed.Verdict = err.Code, err.Verdict
		observed.TargetCrashed = err.Code == verdict.TargetCrashed
		if !c.headerSent {
			observed.Status = err.Code.HTTPStatus()
		}
	}
	c.handler.options.Observer.Observe(observed)
	if err != nil || c.isSampled {
		c.recordEvent(eventVerdict, nil, err)
	}
}

// recordEvent adds an event of this call to the timeline.
func (c *call) recordEvent(kind timeline.Kind, endpoint *routing.Endpoint, err *verdict.Error) {
	fields := map[string]string{"side": "entry", "depth": strconv.Itoa(c.depth)}
	if c.service != nil {
		fields["service"] = c.service.Name
	}
	if endpoint != nil {
		fields["target"], fields["targetInstance"], fields["version"] = endpoint.ID, endpoint.Endpoint.Instance, endpoint.Version
	}
	addErrorFields(fields, err)
	event := timeline.Event{Kind: kind, RequestID: c.id, Fields: fields}
	if c.snapshot != nil {
		event.ConfigVersion = c.snapshot.Version()
	}
	c.handler.options.Timeline.Record(event)
}

func addErrorFields(fields map[string]string, err *verdict.Error) {
	if err != nil {
		fields["code"], fields["verdict"], fields["detail"] = string(err.Code), err.Verdict.String(), err.Detail
	}
}

// maxIDBytes is the maximum length of request and target IDs.
const maxIDBytes = 64

// validID reports whether id is safe to use in logs and headers.
func validID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for i := range len(id) {
		switch b := id[i]; {
		case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9', b == '-', b == '_', b == '.':
		default:
			return false
		}
	}
	return true
}
