package sidecar

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/azurespring/azurespring/pkg/exchange"
	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/egress"
	"github.com/azurespring/azurespring/pkg/mesh/gate"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/mesh/rollout"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// endpointDialTimeout bounds the time to connect to a local endpoint.
const endpointDialTimeout = 500 * time.Millisecond

// maxReuseIdleTime is the longest idle time of a connection that is reused for a
// request that may run only once. Endpoints close idle connections without notice, and
// a request lost that way cannot be told from one that ran.
const maxReuseIdleTime = time.Second

// localAdmission admits calls to the local endpoints; no call reaches them by another
// way.
type localAdmission struct {
	deps       *shared
	mu         sync.Mutex
	registry   *mesh.EndpointRegistry
	admissions map[string]*endpointAdmission
	nextID     uint64
	// restored is set once the deregistrations that an earlier process acknowledged have been
	// read, endsMayBeLost if the store may have lost later ones. Until they are known, an
	// endpoint that started before this process, at startedUnixMs, takes requests only after
	// requiredAnnouncements announcements: a single late announcement may be from an endpoint
	// that has deregistered.
	restored           bool
	endsMayBeLost      bool
	startedUnixMs      int64
	announcementCounts map[string]announcementCount
	// warmth holds the limits of cold endpoints by the ID of the endpoint.
	warmth    map[string]*endpointWarmth
	readAhead *readAheadPool
	crashes   *crashRecorder
}

// announcementCount counts the announcements of one process of an endpoint, which its
// start time identifies.
type announcementCount struct {
	startUnixMs, sequence int64
	count                 int
	lastAt                time.Time
}

// requiredAnnouncements is the number of announcements, each at least half a heartbeat
// interval after the one before, that show that an endpoint is still running.
const requiredAnnouncements = 3

// endpointAdmission holds the admission queue and the connections of one endpoint.
type endpointAdmission struct {
	endpoint *mesh.LocalEndpoint
	queue    *gate.Queue
	pool     *exchange.Pool
	// waiting holds the channels on which waiting calls get their decision, by ID. A nil
	// value on a channel admits the call.
	waiting  map[uint64]chan *verdict.Error
	analyzer *rollout.Analyzer
	// routeLatencies holds the mean latency until the response header at usual speed and
	// responseSizes the mean size of the response body in bytes, both by route.
	routeLatencies map[string]time.Duration
	responseSizes  map[string]int64
	// failureRate is the fraction of the latest calls that the endpoint failed or turned
	// away. Each sender sees too few calls to know it.
	failureRate float64
	// runningRetries is the number of running calls that count as retries.
	runningRetries int
	warmth         *endpointWarmth
}

func newLocalAdmission(deps *shared) *localAdmission {
	la := &localAdmission{
		deps: deps, registry: mesh.NewEndpointRegistry(deps.settings.HeartbeatInterval), admissions: make(map[string]*endpointAdmission),
		startedUnixMs: deps.now().UnixMilli(), announcementCounts: make(map[string]announcementCount), warmth: make(map[string]*endpointWarmth),
		readAhead: newReadAheadPool(deps.settings.maxReadAheadBytes(), deps.guard), crashes: newCrashRecorder(deps),
	}
	la.crashes.isInUse, la.crashes.onCrash = la.isInUse, la.removeCrashed
	return la
}

// deliverDecisions passes decisions of the queue to the calls that wait for them.
func (ea *endpointAdmission) deliverDecisions(decisions []gate.Decision) {
	for _, decision := range decisions {
		if decided := ea.waiting[decision.ID]; decided != nil {
			delete(ea.waiting, decision.ID)
			decided <- decision.Rejection
		}
	}
}

func (ea *endpointAdmission) load(now time.Time, route string) placement.Load {
	return placement.Load{
		Running: ea.queue.Running(), Waiting: ea.queue.Waiting(), Slots: ea.queue.Slots(), MeanServiceTime: ea.queue.AtSpeed(now, ea.queue.MeanServiceTime()),
		MeanRouteLatency: ea.queue.AtSpeed(now, ea.routeLatencies[route]), Slowdown: ea.queue.Slowdown(), FailureRate: ea.failureRate,
	}
}

// countRetry counts a running call if it is a retry.
func (la *localAdmission) countRetry(ea *endpointAdmission, c *call, delta int) {
	if c.Retry {
		la.mu.Lock()
		ea.runningRetries += delta
		la.mu.Unlock()
	}
}

// retryShare returns the share of retries among the calls that the local endpoints run.
func (la *localAdmission) retryShare() float64 {
	la.mu.Lock()
	defer la.mu.Unlock()
	running, retries := 0, 0
	for _, ea := range la.admissions {
		running += ea.queue.Running()
		retries += ea.runningRetries
	}
	return float64(retries) / float64(max(running, 1))
}

// recordOutcome updates the failure rate of an endpoint.
func (la *localAdmission) recordOutcome(ea *endpointAdmission, success bool) {
	la.mu.Lock()
	defer la.mu.Unlock()
	ea.failureRate = placement.UpdateFailureRate(ea.failureRate, success)
}

// ewmaWeight is the weight of a new sample in the mean (EWMA) of a route. maxRoutes is
// the number of routes whose means are kept; a further route discards them all.
const (
	ewmaWeight = 0.1
	maxRoutes  = 1000
)

// updateRouteLatency adds the time until a response header to the mean of the route.
// The transmission time on the link is left out: when it was included, downloads moved
// to other failure domains because the links in their own were full, filled the links
// there, and were not served better.
func (ea *endpointAdmission) updateRouteLatency(route string, took time.Duration) {
	mean, ok := ea.routeLatencies[route]
	if !ok {
		if len(ea.routeLatencies) >= maxRoutes {
			clear(ea.routeLatencies)
		}
		mean = took
	}
	ea.routeLatencies[route] = mean + time.Duration(ewmaWeight*float64(took-mean))
}

// updateResponseSize adds the size of a complete response body to the mean of the
// route.
func (ea *endpointAdmission) updateResponseSize(route string, bytes int64) {
	mean, ok := ea.responseSizes[route]
	if !ok {
		if len(ea.responseSizes) >= maxRoutes {
			clear(ea.responseSizes)
		}
		mean = bytes
	}
	ea.responseSizes[route] = mean + int64(ewmaWeight*float64(bytes-mean))
}

// endpointsToPublish returns the local endpoints that take requests, and the
// deregistrations that the next process of this node must know.
func (la *localAdmission) endpointsToPublish() ([]mesh.Endpoint, []mesh.EndedEndpoint) {
	la.mu.Lock()
	defer la.mu.Unlock()
	var usable []mesh.Endpoint
	for _, e := range la.registry.ReadyEndpoints(la.deps.now()) {
		if la.isUsable(e) {
			usable = append(usable, e)
		}
	}
	return usable, la.registry.EndedEndpoints()
}

// occupancy returns the numbers of running requests, waiting requests and slots, each
// summed over all local endpoints.
func (la *localAdmission) occupancy() (running, waiting, slots float64) {
	la.mu.Lock()
	defer la.mu.Unlock()
	for _, ea := range la.admissions {
		running += float64(ea.queue.Running())
		waiting += float64(ea.queue.Waiting())
		slots += float64(ea.queue.Slots())
	}
	return running, waiting, slots
}

// fairnessCounts returns the decisions of the order between tenants, summed over all local
// endpoints.
func (la *localAdmission) fairnessCounts() (sum gate.FairnessCounts) {
	la.mu.Lock()
	defer la.mu.Unlock()
	for _, ea := range la.admissions {
		counts := ea.queue.FairnessCounts()
		sum.Displaced += counts.Displaced
		sum.Guarded += counts.Guarded
	}
	return sum
}

// analysis returns the state of the canary analysis of a version on this node.
func (la *localAdmission) analysis(service, version string) (sum rollout.Summary) {
	la.mu.Lock()
	defer la.mu.Unlock()
	for _, ea := range la.admissions {
		if ea.endpoint.Service == service && ea.endpoint.Version == version {
			sum = sum.Add(ea.analyzer.Summary())
		}
	}
	return sum
}

// serve runs a call at the endpoint that it names. The returned load is the endpoint's
// current load for the sender, also after a rejection.
func (la *localAdmission) serve(ctx context.Context, c *call) (*endpointResponse, placement.Load, *verdict.Error) {
	release, load, rejection := la.reserveLink(c)
	if rejection != nil {
		return nil, load, rejection
	}
	defer release()
	return la.run(ctx, c)
}

// reserveLink reserves bandwidth on the link of this instance if a large response is
// expected. load is set only with a rejection.
func (la *localAdmission) reserveLink(c *call) (release func(), load placement.Load, rejection *verdict.Error) {
	la.mu.Lock()
	ea := la.admissions[c.Endpoint]
	expected := egress.ExpectedResponse{Deadline: c.deadline}
	if ea != nil {
		expected.Bytes, expected.TimeToFirstByte = ea.responseSizes[c.Route], ea.queue.AtSpeed(la.deps.now(), ea.routeLatencies[c.Route])
	}
	la.mu.Unlock()
	if expected.Bytes < largeResponseBytes {
		return func() {}, load, nil
	}
	expected.SoftDeadline = la.deps.now().Add(time.Duration(c.SoftTimeoutUs) * time.Microsecond)
	release, lateness := la.deps.uplink.reserve(expected)
	if lateness > 0 {
		rejection = verdict.NotRunErrorf(verdict.Overloaded, "the machine's link is full for longer than the answer can wait")
		rejection.RetryAfter = lateness
		load = la.loadOf(ea, c.Route)
	}
	return release, load, rejection
}

// run waits for a slot and runs the call.
func (la *localAdmission) run(ctx context.Context, c *call) (*endpointResponse, placement.Load, *verdict.Error) {
	arrived := la.deps.now()
	ea, load, rejection := la.admit(ctx, c)
	if rejection != nil {
		return nil, load, rejection
	}
	if rejection := la.awaitColdLimit(ctx, ea, c, arrived); rejection != nil {
		la.releaseSlot(ea, 0)
		return nil, la.loadOf(ea, c.Route), rejection
	}
	started := la.deps.now()
	running, rejection := la.recheck(ea, c, started)
	if rejection != nil {
		la.releaseSlot(ea, 0)
		return nil, la.loadOf(ea, c.Route), rejection
	}
	la.countRetry(ea, c, 1)
	callerCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	resp, failure := la.send(ctx, ea, c)
	if failure != nil {
		defer cancel()
		busyTime := time.Duration(0)
		if failure.Verdict == verdict.MayHaveRun && ctx.Err() == nil {
			busyTime = la.deps.now().Sub(started)
		}
		la.releaseSlot(ea, busyTime)
		la.countRetry(ea, c, -1)
		if failure.Verdict == verdict.MayHaveRun && ctx.Err() == nil {
			la.recordOutcome(ea, false)
			la.crashes.connectionBroke(ea, running)
		} else {
			la.crashes.end(ea, running, false)
		}
		if failure.Cause != nil && ctx.Err() == nil {
			la.doubtAfterFailure(ea)
		}
		if errors.Is(failure.Cause, syscall.ECONNREFUSED) {
			la.crashes.connectionRefused(ea)
		}
		la.analyzeFailure(ctx, ea, c, failure, la.deps.now().Sub(started))
		return nil, la.loadOf(ea, c.Route), failure
	}
	resp.headerLatency = la.deps.now().Sub(started)
	la.recordOutcome(ea, !resp.notRun && resp.status < http.StatusInternalServerError)
	if !resp.notRun {
		la.mu.Lock()
		ea.updateRouteLatency(c.Route, ea.queue.AtUsualSpeed(la.deps.now(), resp.headerLatency))
		la.mu.Unlock()
	}
	la.analyzeResponse(ea, c, resp)
	resp.load = la.loadOf(ea, c.Route)
	body := &slotBody{ReadCloser: resp.body}
	body.onDone = func(complete bool, bytes int64) {
		if body.isCut && callerCtx.Err() == nil {
			la.doubtAfterFailure(ea)
			la.crashes.connectionBroke(ea, running)
		} else {
			la.crashes.end(ea, running, complete && !resp.notRun)
		}
		cancel()
		la.releaseSlot(ea, la.deps.now().Sub(started))
		la.countRetry(ea, c, -1)
		if complete && !resp.notRun {
			la.mu.Lock()
			ea.updateResponseSize(c.Route, bytes)
			la.mu.Unlock()
		}
	}
	context.AfterFunc(callerCtx, body.abort)
	resp.body = la.readAhead.wrap(body, resp.contentLength, cancel)
	return resp, resp.load, nil
}

// recheck rejects a call that may no longer be sent although it has a slot. It may have
// waited for that, or the process may have been paused. Otherwise the call counts as sent.
func (la *localAdmission) recheck(ea *endpointAdmission, c *call, now time.Time) (*endpointCall, *verdict.Error) {
	switch {
	case !now.Before(c.deadline):
		return nil, verdict.NotRunErrorf(verdict.DeadlineUnreachable, "the deadline passed before the call was sent")
	case !la.deps.rollouts.isAllowed(c.Service, c.Version):
		return nil, verdict.NotRunErrorf(verdict.VersionClosed, "version %q takes no requests any more", c.Version)
	}
	if rejection := la.evacuationRejection(); rejection != nil {
		return nil, rejection
	}
	la.mu.Lock()
	load := float64(ea.queue.Running()-1) / float64(max(ea.queue.Slots(), 1))
	la.mu.Unlock()
	return la.crashes.begin(ea, c.Fingerprint, load)
}

func (la *localAdmission) loadOf(ea *endpointAdmission, route string) placement.Load {
	la.mu.Lock()
	defer la.mu.Unlock()
	return ea.load(la.deps.now(), route)
}

// rejectionMargin is the time before its deadline at which a call without a slot is
// rejected, so that the entry node learns that the call has not run. The longest round
// trip between nodes takes about 20 ms.
const rejectionMargin = 30 * time.Millisecond

// admit waits for a slot of the endpoint.
func (la *localAdmission) admit(ctx context.Context, c *call) (*endpointAdmission, placement.Load, *verdict.Error) {
	now := la.deps.now()
	la.mu.Lock()
	ea := la.admissions[c.Endpoint]
	switch {
	case ea == nil:
		la.mu.Unlock()
		return nil, placement.Load{}, verdict.NotRunErrorf(verdict.NoTarget, "endpoint %q takes no requests here", c.Endpoint)
	case ea.endpoint.Service != c.Service || ea.endpoint.Version != c.Version:
		la.mu.Unlock()
		return nil, placement.Load{}, verdict.NotRunErrorf(verdict.NoTarget, "endpoint %q is of another service or version", c.Endpoint)
	}
	if rejection := la.evacuationRejection(); rejection != nil {
		la.mu.Unlock()
		return nil, placement.Load{}, rejection
	}
	if !la.deps.rollouts.isAllowed(c.Service, c.Version) {
		load := ea.load(now, c.Route)
		la.mu.Unlock()
		return nil, load, verdict.NotRunErrorf(verdict.VersionClosed, "version %q takes no requests", c.Version)
	}
	if rejection := la.coldRejection(ea, c, now); rejection != nil {
		load := ea.load(now, c.Route)
		la.mu.Unlock()
		return nil, load, rejection
	}
	la.nextID++
	id := la.nextID
	admitted, rejection := ea.queue.Admit(now, gate.Request{
		ID: id, Nested: c.Nested, Priority: c.Priority, Deadline: c.deadline,
		SoftDeadline: now.Add(time.Duration(c.SoftTimeoutUs) * time.Microsecond),
		MaxWait:      time.Duration(c.MaxQueueWaitUs) * time.Microsecond,
		ServiceTime:  ea.routeLatencies[c.Route],
		Route:        c.Route, Tenant: c.Tenant, TenantPriority: c.TenantPriority,
	})
	ea.deliverDecisions(ea.queue.TakeDisplaced())
	if rejection != nil {
		rejection.RetryAfter = max(rejection.RetryAfter, la.coldWait(ea, c, now))
	}
	if admitted || rejection != nil {
		load := ea.load(now, c.Route)
		la.mu.Unlock()
		return ea, load, rejection
	}
	decided := make(chan *verdict.Error, 1)
	ea.waiting[id] = decided
	la.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, c.deadline.Add(-rejectionMargin))
	defer cancel()
	return la.awaitAdmission(ctx, ea, id, decided, c.Route)
}

// awaitAdmission waits until the queue has decided about a call or ctx ends.
func (la *localAdmission) awaitAdmission(
	ctx context.Context, ea *endpointAdmission, id uint64, decided chan *verdict.Error, route string,
) (*endpointAdmission, placement.Load, *verdict.Error) {
	select {
	case rejection := <-decided:
		return ea, la.loadOf(ea, route), rejection
	case <-ctx.Done():
	}
	la.mu.Lock()
	delete(ea.waiting, id)
	wasWaiting := ea.queue.Cancel(id)
	la.mu.Unlock()
	if !wasWaiting {
		// The queue decided in the meantime; a slot that it assigned is released.
		if rejection := <-decided; rejection == nil {
			la.releaseSlot(ea, 0)
		}
	}
	return ea, la.loadOf(ea, route), contextRejection(ctx)
}

// contextRejection returns the error of a call whose context ended before the call was
// sent.
func contextRejection(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.NotRunErrorf(verdict.DeadlineUnreachable, "the deadline passed before a slot was free")
	}
	return verdict.NotRunErrorf(verdict.Canceled, "the caller gave up")
}

func (la *localAdmission) releaseSlot(ea *endpointAdmission, busyTime time.Duration) {
	la.mu.Lock()
	ea.deliverDecisions(ea.queue.Release(la.deps.now(), busyTime))
	la.adjustSlots(ea)
	la.mu.Unlock()
}
