package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/azurespring/azurespring/pkg/exchange"
	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/egress"
	"github.com/azurespring/azurespring/pkg/mesh/gate"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/mesh/rollout"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// endpointDialTimeout bounds a connection to the endpoint on the same machine.
const endpointDialTimeout = 500 * time.Millisecond

// maxReusedIdle is the longest idle time of a connection that a request which
// may run only once is sent on: endpoints drop idle connections without notice,
// and a request lost that way cannot be told from one that ran.
const maxReusedIdle = time.Second

// localGate is the only way to the endpoints beside this node.
type localGate struct {
	deps  *shared
	mu    sync.Mutex
	local *mesh.EndpointRegistry
	gates map[string]*endpointGate
	next  uint64
	// restored is set once the ends that an earlier process was told of are known.
	// Until then an endpoint takes requests only after provenBy announcements: a
	// single late one may be of an endpoint that has ended.
	restored  bool
	announced map[string]announcementCount
	spools    *spools
}

// announcementCount counts the announcements of one start.
type announcementCount struct {
	born, sequence int64
	count          int
	last           time.Time
}

// provenBy is the number of announcements, half an interval apart or more, that
// prove that an endpoint still announces itself.
const provenBy = 3

// endpointGate holds the admission and the connections of one endpoint.
type endpointGate struct {
	endpoint *mesh.LocalEndpoint
	queue    *gate.Queue
	pool     *exchange.Pool
	waiting  map[uint64]chan *verdict.Error
	judge    *rollout.Analyzer
	// routes are the mean times until the answer and sizes the mean numbers of bytes of
	// its body, by route.
	routes map[string]time.Duration
	sizes  map[string]int64
}

func newLocalGate(deps *shared) *localGate {
	return &localGate{deps: deps, local: mesh.NewEndpointRegistry(deps.settings.HeartbeatInterval), gates: make(map[string]*endpointGate), announced: make(map[string]announcementCount), spools: newSpools()}
}

func (eg *endpointGate) deliver(grants []gate.Decision) {
	for _, grant := range grants {
		if waiting := eg.waiting[grant.ID]; waiting != nil {
			delete(eg.waiting, grant.ID)
			waiting <- grant.Rejection
		}
	}
}

func (eg *endpointGate) load(route string) placement.Load {
	return placement.Load{
		Running: eg.queue.Running(), Waiting: eg.queue.Waiting(), Slots: eg.queue.Slots(), MeanServiceTime: eg.queue.MeanServiceTime(),
		MeanRouteLatency: eg.routes[route],
	}
}

// routeWeight is the weight of a new time in the mean of a route, maxRoutes the
// number of routes of which a mean is kept.
const (
	routeWeight = 0.1
	maxRoutes   = 1000
)

// learn takes the time until an answer into the mean of its route. The time on the
// link is left out: with it, downloads left their failure domain because its links
// were full, filled those of others, and were not served better.
func (eg *endpointGate) learn(route string, took time.Duration) {
	mean, ok := eg.routes[route]
	if !ok {
		if len(eg.routes) >= maxRoutes {
			clear(eg.routes)
		}
		mean = took
	}
	eg.routes[route] = mean + time.Duration(routeWeight*float64(took-mean))
}

// learnSize takes the size of a whole answer into the mean of its route.
func (eg *endpointGate) learnSize(route string, bytes int64) {
	mean, ok := eg.sizes[route]
	if !ok {
		if len(eg.sizes) >= maxRoutes {
			clear(eg.sizes)
		}
		mean = bytes
	}
	eg.sizes[route] = mean + int64(routeWeight*float64(bytes-mean))
}

// published returns the endpoints beside this node that take requests, and the
// ends that the next process must know.
func (g *localGate) published() ([]mesh.Endpoint, []mesh.EndedEndpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var usable []mesh.Endpoint
	for _, e := range g.local.ReadyEndpoints(g.deps.now()) {
		if g.usable(e.ID) {
			usable = append(usable, e)
		}
	}
	return usable, g.local.EndedEndpoints()
}

// occupancy returns the running and waiting requests and the slots of all
// endpoints beside this node.
func (g *localGate) occupancy() (running, waiting, slots float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, eg := range g.gates {
		running += float64(eg.queue.Running())
		waiting += float64(eg.queue.Waiting())
		slots += float64(eg.queue.Slots())
	}
	return running, waiting, slots
}

// judged returns the number of answers that the judge of a version saw here.
func (g *localGate) judged(service, version string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	calls := 0
	for _, eg := range g.gates {
		if eg.endpoint.Service == service && eg.endpoint.Version == version {
			calls += eg.judge.ResultCount()
		}
	}
	return calls
}

// serve runs a call at the endpoint that it names. load is what the sender
// should know of the endpoint, also after a rejection.
func (g *localGate) serve(ctx context.Context, c *call) (*answer, placement.Load, *verdict.Error) {
	taken, load, rejection := g.promise(c)
	if rejection != nil {
		return nil, load, rejection
	}
	defer taken()
	return g.run(ctx, c)
}

// promise asks for room on the link of this machine if the answer will be large. load is
// set with a rejection only.
func (g *localGate) promise(c *call) (taken func(), load placement.Load, rejection *verdict.Error) {
	g.mu.Lock()
	eg := g.gates[c.Endpoint]
	expected := egress.ExpectedResponse{Deadline: c.deadline}
	if eg != nil {
		expected.Bytes, expected.TimeToFirstByte = eg.sizes[c.Route], eg.routes[c.Route]
	}
	g.mu.Unlock()
	if expected.Bytes < largeAnswer {
		return func() {}, load, nil
	}
	expected.SoftDeadline = g.deps.now().Add(time.Duration(c.SoftTimeoutUs) * time.Microsecond)
	taken, late := g.deps.uplink.promise(expected)
	if late > 0 {
		rejection = verdict.NotRunErrorf(verdict.Overloaded, "the machine's link is full for longer than the answer can wait")
		rejection.RetryAfter = late
		load = g.loadOf(eg, c.Route)
	}
	return taken, load, rejection
}

// run waits for a slot and runs the call.
func (g *localGate) run(ctx context.Context, c *call) (*answer, placement.Load, *verdict.Error) {
	eg, load, rejection := g.admit(ctx, c)
	if rejection != nil {
		return nil, load, rejection
	}
	started := g.deps.now()
	ctx, cancel := context.WithCancel(ctx)
	a, failure := g.send(ctx, eg, c)
	if failure != nil {
		defer cancel()
		held := time.Duration(0)
		if failure.Verdict == verdict.MayHaveRun && ctx.Err() == nil {
			held = g.deps.now().Sub(started)
		}
		g.finish(eg, held)
		g.judgeFailure(ctx, eg, c, failure, g.deps.now().Sub(started))
		return nil, g.loadOf(eg, c.Route), failure
	}
	a.took = g.deps.now().Sub(started)
	if !a.notRun {
		g.mu.Lock()
		eg.learn(c.Route, a.took)
		g.mu.Unlock()
	}
	g.judgeAnswer(eg, c, a)
	a.load = g.loadOf(eg, c.Route)
	a.body = g.spools.wrap(&slotBody{ReadCloser: a.body, done: func(whole bool, bytes int64) {
		cancel()
		g.finish(eg, g.deps.now().Sub(started))
		if whole && !a.notRun {
			g.mu.Lock()
			eg.learnSize(c.Route, bytes)
			g.mu.Unlock()
		}
	}}, a.length, cancel)
	return a, a.load, nil
}

func (g *localGate) loadOf(eg *endpointGate, route string) placement.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return eg.load(route)
}

// admit waits for a slot of the endpoint.
func (g *localGate) admit(ctx context.Context, c *call) (*endpointGate, placement.Load, *verdict.Error) {
	now := g.deps.now()
	g.mu.Lock()
	eg := g.gates[c.Endpoint]
	switch {
	case eg == nil:
		g.mu.Unlock()
		return nil, placement.Load{}, verdict.NotRunErrorf(verdict.NoTarget, "endpoint %q takes no requests here", c.Endpoint)
	case eg.endpoint.Service != c.Service || eg.endpoint.Version != c.Version:
		g.mu.Unlock()
		return nil, placement.Load{}, verdict.NotRunErrorf(verdict.NoTarget, "endpoint %q is of another service or version", c.Endpoint)
	}
	if !g.deps.rollouts.allowed(c.Service, c.Version) {
		load := eg.load(c.Route)
		g.mu.Unlock()
		return nil, load, verdict.NotRunErrorf(verdict.VersionClosed, "version %q takes no requests", c.Version)
	}
	g.next++
	id := g.next
	admitted, rejection := eg.queue.Admit(now, gate.Request{
		ID: id, Nested: c.Nested, Priority: c.Priority, Deadline: c.deadline,
		SoftDeadline: now.Add(time.Duration(c.SoftTimeoutUs) * time.Microsecond),
		MaxWait:      time.Duration(c.MaxQueueWaitUs) * time.Microsecond,
	})
	if admitted || rejection != nil {
		load := eg.load(c.Route)
		g.mu.Unlock()
		return eg, load, rejection
	}
	granted := make(chan *verdict.Error, 1)
	eg.waiting[id] = granted
	g.mu.Unlock()
	return g.await(ctx, eg, id, granted, c.Route)
}

func (g *localGate) await(
	ctx context.Context, eg *endpointGate, id uint64, granted chan *verdict.Error, route string,
) (*endpointGate, placement.Load, *verdict.Error) {
	select {
	case rejection := <-granted:
		return eg, g.loadOf(eg, route), rejection
	case <-ctx.Done():
	}
	g.mu.Lock()
	delete(eg.waiting, id)
	withdrawn := eg.queue.Cancel(id)
	g.mu.Unlock()
	if !withdrawn {
		// The outcome was decided meanwhile; a slot that was granted is returned.
		if rejection := <-granted; rejection == nil {
			g.finish(eg, 0)
		}
	}
	return eg, g.loadOf(eg, route), contextRejection(ctx)
}

// contextRejection is the error of a call that ended before it was sent.
func contextRejection(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.NotRunErrorf(verdict.DeadlineUnreachable, "the deadline passed before a slot was free")
	}
	return verdict.NotRunErrorf(verdict.Canceled, "the caller gave up")
}

func (g *localGate) finish(eg *endpointGate, held time.Duration) {
	g.mu.Lock()
	eg.deliver(eg.queue.Release(g.deps.now(), held))
	g.mu.Unlock()
}

// slotBody returns the slot once the answer has ended.
type slotBody struct {
	io.ReadCloser
	once sync.Once
	// done is told whether the answer was read to its end, and how many bytes it had.
	done  func(whole bool, bytes int64)
	bytes int64
}

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	if err != nil {
		b.once.Do(func() { b.done(err == io.EOF, b.bytes) })
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.done(false, 0) })
	return err
}

// send hands the call to the endpoint and reads the head of its answer.
func (g *localGate) send(ctx context.Context, eg *endpointGate, c *call) (*answer, *verdict.Error) {
	h := g.deps.headers
	request, err := c.request(ctx)
	if err != nil {
		return nil, verdict.NotRunErrorf(verdict.BadRequest, "request: %v", err)
	}
	request.Header[h.ExpectedEndpoint] = []string{c.Endpoint}
	request.Header[h.CallerService] = []string{c.Caller}
	left := max(c.deadline.Sub(g.deps.now()).Milliseconds(), 1)
	request.Header[h.Deadline] = []string{strconv.FormatInt(left, 10)}
	sending := exchange.Request{Request: request, IDHeader: h.RequestID}
	if !c.Idempotent {
		sending.MaxIdleTime = maxReusedIdle
	}
	response, failure := eg.pool.Do(ctx, sending)
	if failure != nil {
		return nil, exchangeFailure(ctx, failure, "the endpoint")
	}
	a := &answer{
		status: response.StatusCode, header: forwardable(response.Header),
		length: response.ContentLength, body: response.Body,
	}
	a.notRun = response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(h.NotRun) != ""
	if !a.notRun && response.Header.Get(h.Signature) == "" {
		_ = response.Body.Close()
		return nil, verdict.MayHaveRunErrorf(verdict.TargetFailed, nil, "the answer with status %d is not signed", response.StatusCode)
	}
	return a, nil
}

// request builds the request to the endpoint or to its node.
func (c *call) request(ctx context.Context) (*http.Request, error) {
	uri, err := url.ParseRequestURI(c.uri)
	if err != nil {
		return nil, err
	}
	header := make(http.Header, len(c.header)+6)
	for name, values := range c.header {
		header[name] = values
	}
	if header["User-Agent"] == nil {
		// Keeps net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	request := (&http.Request{
		Method: c.method, URL: uri, Host: c.host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: c.length,
	}).WithContext(ctx)
	// Opaque keeps the path as the client spelled it.
	request.URL = &url.URL{Opaque: c.uri, Host: c.host, Scheme: ""}
	switch {
	case c.rest != nil:
		request.Body = io.NopCloser(io.MultiReader(bytes.NewReader(c.body), c.rest))
	case len(c.body) > 0:
		request.Body, request.ContentLength = exchange.InMemoryBody(bytes.NewReader(c.body)), int64(len(c.body))
	default:
		request.Body, request.ContentLength = nil, 0
		if c.length == 0 {
			request.Body = http.NoBody
		}
	}
	return request, nil
}

func (g *localGate) judgeAnswer(eg *endpointGate, c *call, a *answer) {
	if a.notRun {
		return
	}
	judged := rollout.Result{Route: c.Route, Failed: a.status >= http.StatusInternalServerError}
	g.judge(eg, c, g.timed(judged, eg, c, a.took))
}

// judgeFailure judges a call that ended without an answer after took.
func (g *localGate) judgeFailure(ctx context.Context, eg *endpointGate, c *call, failure *verdict.Error, took time.Duration) {
	switch {
	case failure.Verdict != verdict.MayHaveRun:
	case ctx.Err() != nil:
		g.judge(eg, c, g.timed(rollout.Result{Route: c.Route, Unfinished: true}, eg, c, took))
	default:
		g.judge(eg, c, rollout.Result{Route: c.Route, Failed: true})
	}
}

// timed adds the time to a judged answer, unless the endpoint is still warming up.
func (g *localGate) timed(judged rollout.Result, eg *endpointGate, c *call, took time.Duration) rollout.Result {
	if g.deps.now().After(eg.endpoint.WarmUntil) {
		judged.Latency, judged.Baseline = took, time.Duration(c.BaselineUs)*time.Microsecond
	}
	return judged
}

// judge counts an answer of a version that is being rolled out.
func (g *localGate) judge(eg *endpointGate, c *call, judged rollout.Result) {
	judging, shifted := g.deps.rollouts.judging(c.Service, c.Version)
	if !judging {
		return
	}
	judged.Shifted = shifted
	g.mu.Lock()
	bad := eg.judge.Add(judged)
	calls := eg.judge.ResultCount()
	g.mu.Unlock()
	if bad {
		g.deps.rollouts.foundBad(c.Service, c.Version, fields{
			"requestId": c.id, "route": c.Route, "answers": calls, "tookMs": judged.Latency.Milliseconds(),
			"referenceMs": judged.Baseline.Milliseconds(), "failed": judged.Failed, "unfinished": judged.Unfinished, "shifted": shifted,
		})
	}
}
