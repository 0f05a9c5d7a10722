package proxy

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"net/http"
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
	deps     Options
	target   *TargetHandler
	limits   routing.CustomerLimiter
	budget   routing.RetryBudget
	draining atomic.Bool
	inFlight atomic.Int64
	// grace is deadlineGrace but in tests.
	grace time.Duration
}

// NewEntryHandler returns an entry that hands calls for targets beside this node to
// target without a hop.
func NewEntryHandler(deps Options, target *TargetHandler) *EntryHandler {
	return &EntryHandler{deps: deps.withDefaults(), target: target, grace: deadlineGrace}
}

// Drain refuses new calls from outside; calls in flight and the calls nested in
// them go on.
func (e *EntryHandler) Drain() { e.draining.Store(true) }

// InFlight returns the number of calls that have not ended.
func (e *EntryHandler) InFlight() int64 { return e.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (e *EntryHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	c := &call{entry: e, w: w, r: r, started: e.deps.Now()}
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	defer c.release()
	err := c.run()
	c.observe(err)
	switch {
	case err == nil:
	case c.headSent:
		// The status is on its way; only a broken connection or stream tells the
		// caller that the answer is not whole.
		panic(http.ErrAbortHandler)
	default:
		writeProblem(w, c.id, err)
	}
}

// run takes the call through all stages. A nil error means that the caller got
// a whole answer.
func (c *call) run() *verdict.Error {
	if err := c.identify(); err != nil {
		return err
	}
	if err := c.locate(); err != nil {
		return err
	}
	if err := c.admit(); err != nil {
		return err
	}
	if err := c.bound(); err != nil {
		return err
	}
	if key := c.r.Header.Get(headerKey); key != "" {
		return c.runClaimed(key)
	}
	return c.runTries()
}

// identify sets the request id and finds the customer.
func (c *call) identify() *verdict.Error {
	c.id = c.r.Header.Get(headerRequestID)
	if !validID(c.id) {
		c.id = rand.Text()
	}
	c.w.Header()[headerRequestID] = []string{c.id}
	c.sampled = xxhash.Sum64String(c.id)%sampleEvery == 0
	if c.table = c.entry.deps.RoutingTable(); c.table == nil {
		return verdict.NotRunErrorf(verdict.NoTarget, "node has no configuration yet")
	}
	c.snapshot = c.table.Snapshot()
	if parent := c.r.Header.Get(headerCall); parent != "" {
		return c.identifyNested(parent)
	}
	if c.entry.draining.Load() {
		return verdict.NotRunErrorf(verdict.Draining, "node is stopping")
	}
	key, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	if ok {
		c.customer = c.snapshot.CustomerByKey(key)
	}
	if c.customer == nil {
		return verdict.NotRunErrorf(verdict.Unauthenticated, "the request has no valid key")
	}
	return nil
}

// identifyNested takes the customer from the call that the target is serving.
func (c *call) identifyNested(id string) *verdict.Error {
	if c.parent = c.entry.target.find(id); c.parent == nil {
		return verdict.NotRunErrorf(verdict.Unauthenticated, "no call in flight has the id in %s", headerCall)
	}
	c.depth = c.parent.head.Depth + 1
	if c.depth > maxDepth {
		return verdict.NotRunErrorf(verdict.TooDeep, "calls are nested more than %d deep", maxDepth)
	}
	if c.customer = c.table.Customer(c.parent.head.Customer); c.customer == nil {
		return verdict.NotRunErrorf(verdict.NotEntitled, "customer %q no longer exists", c.parent.head.Customer)
	}
	return nil
}

// locate finds service and route and checks the entitlement.
func (c *call) locate() *verdict.Error {
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
	c.idempotent = c.route.Idempotent || c.r.Header.Get(headerIdempotent) == "true"
	return nil
}

// admit applies the limits of the customer's plan. Nested calls are part of a
// call that was admitted; counting them again could block it by itself.
func (c *call) admit() *verdict.Error {
	limits := c.snapshot.Plan(c.customer.Plan).Limits
	c.weight = max(limits.Weight, 1)
	if c.parent != nil {
		c.retries = c.parent.takeRetry()
		return nil
	}
	c.retries = treeRetries
	admission, err := c.entry.limits.Acquire(c.customer.Name, limits, c.started)
	c.admission = admission
	return err
}

// bound sets the deadline and reads the start of the body.
func (c *call) bound() *verdict.Error {
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
		c.unlink = context.AfterFunc(c.parent.ctx, c.cancel)
	}
	if c.ctx.Err() != nil {
		return c.ended(verdict.NotRun)
	}
	c.body = newRequestBody(c.r)
	if err := c.body.prefetch(c.w, c.deadline, !c.entry.deps.Quarantine.Empty()); err != nil {
		if c.ctx.Err() != nil {
			return c.ended(verdict.NotRun)
		}
		return verdict.NotRunErrorf(verdict.BadRequest, "request body: %v", err)
	}
	if _, ok := c.body.whole(); !ok {
		// Without this, net/http would read the rest of the body before it sends the
		// answer's start. HTTP/2 always works both ways and reports an error.
		_ = http.NewResponseController(c.w).EnableFullDuplex()
	}
	c.fillHead()
	return nil
}

// ended returns the error of a call whose context has ended.
func (c *call) ended(v verdict.Verdict) *verdict.Error {
	if errors.Is(c.ctx.Err(), context.DeadlineExceeded) {
		return &verdict.Error{Code: verdict.DeadlineExceeded, Verdict: v, Detail: "the deadline has passed"}
	}
	return &verdict.Error{Code: verdict.Canceled, Verdict: v, Detail: "the caller gave up"}
}

// observe reports the finished call as its caller saw it.
func (c *call) observe(err *verdict.Error) {
	now := c.entry.deps.Now()
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
		if !c.headSent {
			observed.Status = err.Code.HTTPStatus()
		}
	}
	c.entry.deps.Observer.Observe(observed)
	if err != nil || c.sampled {
		c.record(eventVerdict, nil, err)
	}
}

// record adds an event of this call to the time line.
func (c *call) record(kind timeline.Kind, e *routing.Endpoint, err *verdict.Error) {
	fields := map[string]string{"side": "entry", "depth": strconv.Itoa(c.depth)}
	if c.service != nil {
		fields["service"] = c.service.Name
	}
	if e != nil {
		fields["target"], fields["targetInstance"], fields["version"] = e.ID, e.Endpoint.Instance, e.Version
	}
	addError(fields, err)
	event := timeline.Event{Kind: kind, RequestID: c.id, Fields: fields}
	if c.snapshot != nil {
		event.ConfigVersion = c.snapshot.Version()
	}
	c.entry.deps.Timeline.Record(event)
}

func addError(fields map[string]string, err *verdict.Error) {
	if err != nil {
		fields["code"], fields["verdict"], fields["detail"] = string(err.Code), err.Verdict.String(), err.Detail
	}
}

// maxIDBytes bounds request ids taken from callers.
const maxIDBytes = 64

// validID accepts what is safe in logs and headers.
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
