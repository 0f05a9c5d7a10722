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

// gateKeeper is the only way to the endpoints beside this node.
type gateKeeper struct {
	deps  *shared
	mu    sync.Mutex
	local *mesh.Local
	doors map[string]*door
	next  uint64
	// restored is set once the ends that an earlier process was told of are known.
	// Until then an endpoint takes requests only after provenBy announcements: a
	// single late one may be of an endpoint that has ended.
	restored bool
	heard    map[string]hearing
}

// hearing counts the announcements of one start.
type hearing struct {
	born, sequence int64
	count          int
	last           time.Time
}

// provenBy is the number of announcements, half an interval apart or more, that
// prove that an endpoint still announces itself.
const provenBy = 3

// door holds the admission and the connections of one endpoint.
type door struct {
	endpoint *mesh.LocalEndpoint
	queue    *gate.Queue
	pool     *exchange.Pool
	waiting  map[uint64]chan *verdict.Error
	judge    *rollout.Judge
	// routes are the mean times until the answer, by route.
	routes map[string]time.Duration
}

func newGateKeeper(deps *shared) *gateKeeper {
	return &gateKeeper{deps: deps, local: mesh.NewLocal(deps.settings.HeartbeatInterval), doors: make(map[string]*door), heard: make(map[string]hearing)}
}

// Announce implements Registry.
func (g *gateKeeper) Announce(a mesh.Announcement) bool {
	g.change("announcement", a.ID, string(a.State), func(now time.Time) bool {
		changed := g.local.Announce(now, a)
		return g.hear(now, a) || changed
	})
	return a.State != mesh.Draining || g.endStored(a.ID)
}

// hear counts an announcement while the stored entry is not known, and reports
// whether the endpoint has become proven by it.
func (g *gateKeeper) hear(now time.Time, a mesh.Announcement) bool {
	h := g.heard[a.ID]
	switch {
	case g.restored || a.State != mesh.Ready:
		delete(g.heard, a.ID)
		return false
	case h.born != a.Born:
		h = hearing{born: a.Born}
	case a.Sequence <= h.sequence || now.Sub(h.last) < g.deps.settings.HeartbeatInterval/2:
		return false
	}
	h.sequence, h.last = a.Sequence, now
	h.count++
	g.heard[a.ID] = h
	return h.count == provenBy
}

// usable reports whether what is known of the endpoint allows requests to it.
func (g *gateKeeper) usable(id string) bool { return g.restored || g.heard[id].count >= provenBy }

// isRestored reports whether the stored entry of this node is known.
func (g *gateKeeper) isRestored() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.restored
}

// Leave implements Registry.
func (g *gateKeeper) Leave(id string, born int64) bool {
	g.change("announcement", id, "gone", func(now time.Time) bool {
		g.local.Leave(now, id, born)
		return true
	})
	return g.endStored(id)
}

// endStored reports whether the end of an endpoint is stored. Only then may it
// be acknowledged, because the acknowledgement binds the next process as well.
func (g *gateKeeper) endStored(id string) bool {
	stored := g.deps.awaitPublished(ackWait)
	if !stored {
		g.deps.log.event("end_not_stored", fields{"endpoint": id, "waitedMs": ackWait.Milliseconds()})
	}
	return stored
}

// ackWait is how long an acknowledgement waits for the store. Endpoints turn to
// nobody else, and take an answer within a second.
const ackWait = 700 * time.Millisecond

// restore takes in what an earlier process of this node stored.
func (g *gateKeeper) restore(entry mesh.Instance) {
	g.change("endpoints_restored", "", "ready", func(now time.Time) bool {
		if g.restored {
			return false
		}
		g.restored = true
		g.local.Restore(now, entry)
		return true
	})
}

// Malformed implements Registry.
func (g *gateKeeper) Malformed(id string, err error) {
	g.deps.log.event("announcement_malformed", fields{"endpoint": id, "error": err.Error()})
}

// tick removes endpoints that have gone silent and closes idle connections.
func (g *gateKeeper) tick() {
	g.change("endpoint_silent", "", "gone", func(now time.Time) bool { return g.local.Tick(now) })
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range g.doors {
		d.pool.Sweep()
	}
}

// change applies a change of the local endpoints and brings the doors in line.
func (g *gateKeeper) change(event, id, state string, apply func(now time.Time) bool) bool {
	now := g.deps.now()
	g.mu.Lock()
	changed := apply(now)
	if changed {
		g.syncDoors()
	}
	g.mu.Unlock()
	if changed {
		g.deps.log.event(event, fields{"endpoint": id, "state": state})
		g.deps.endpointsChanged()
	}
	return changed
}

// syncDoors opens a door for each endpoint that takes requests, and rejects what
// waits at the others. Running requests go on.
func (g *gateKeeper) syncDoors() {
	for id, d := range g.doors {
		e := g.local.Ready(id)
		if e != nil && e.Born == d.endpoint.Born && e.Address == d.endpoint.Address {
			d.endpoint = e
			if e.Slots != d.queue.Slots() {
				d.deliver(d.queue.Resize(g.deps.now(), e.Slots))
			}
			continue
		}
		d.deliver(d.queue.Drain())
		d.pool.Close()
		delete(g.doors, id)
	}
	for _, published := range g.local.Published(g.deps.now()) {
		if g.doors[published.ID] != nil || !g.usable(published.ID) {
			continue
		}
		e := g.local.Ready(published.ID)
		g.doors[published.ID] = &door{
			endpoint: e, queue: gate.NewQueue(e.Slots),
			pool:    exchange.NewPool(e.Address, exchange.Dialer{Timeout: endpointDialTimeout}, g.deps.metrics.endpointConnection),
			waiting: make(map[uint64]chan *verdict.Error), judge: rollout.NewJudge(),
			routes: make(map[string]time.Duration),
		}
	}
}

func (d *door) deliver(grants []gate.Grant) {
	for _, grant := range grants {
		if waiting := d.waiting[grant.ID]; waiting != nil {
			delete(d.waiting, grant.ID)
			waiting <- grant.Rejection
		}
	}
}

func (d *door) load(route string) placement.Load {
	return placement.Load{
		Running: d.queue.Running(), Waiting: d.queue.Waiting(), Slots: d.queue.Slots(), Service: d.queue.Service(),
		Route: d.routes[route],
	}
}

// routeWeight is the weight of a new time in the mean of a route, maxRoutes the
// number of routes of which a mean is kept.
const (
	routeWeight = 0.1
	maxRoutes   = 1000
)

// learn takes the time until an answer into the mean of its route.
func (d *door) learn(route string, took time.Duration) {
	mean, ok := d.routes[route]
	if !ok {
		if len(d.routes) >= maxRoutes {
			clear(d.routes)
		}
		mean = took
	}
	d.routes[route] = mean + time.Duration(routeWeight*float64(took-mean))
}

// published returns the endpoints beside this node that take requests, and the
// ends that the next process must know.
func (g *gateKeeper) published() ([]mesh.Endpoint, []mesh.Ended) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var usable []mesh.Endpoint
	for _, e := range g.local.Published(g.deps.now()) {
		if g.usable(e.ID) {
			usable = append(usable, e)
		}
	}
	return usable, g.local.Ended()
}

// occupancy returns the running and waiting requests and the slots of all
// endpoints beside this node.
func (g *gateKeeper) occupancy() (running, waiting, slots float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range g.doors {
		running += float64(d.queue.Running())
		waiting += float64(d.queue.Waiting())
		slots += float64(d.queue.Slots())
	}
	return running, waiting, slots
}

// judged returns the number of answers that the judge of a version saw here.
func (g *gateKeeper) judged(service, version string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	calls := 0
	for _, d := range g.doors {
		if d.endpoint.Service == service && d.endpoint.Version == version {
			calls += d.judge.Calls()
		}
	}
	return calls
}

// serve runs a call at the endpoint that it names. load is what the sender
// should know of the endpoint, also after a rejection.
func (g *gateKeeper) serve(ctx context.Context, c *call) (*answer, placement.Load, *verdict.Error) {
	d, load, rejection := g.admit(ctx, c)
	if rejection != nil {
		return nil, load, rejection
	}
	started := g.deps.now()
	a, failure := g.send(ctx, d, c)
	if failure != nil {
		held := time.Duration(0)
		if failure.Verdict == verdict.MayHaveRun && ctx.Err() == nil {
			held = g.deps.now().Sub(started)
		}
		g.finish(d, held)
		g.judge(d, c, rollout.Answer{Route: c.Route, Failed: failure.Verdict == verdict.MayHaveRun && ctx.Err() == nil})
		return nil, g.loadOf(d, c.Route), failure
	}
	a.took = g.deps.now().Sub(started)
	if !a.notRun {
		g.mu.Lock()
		d.learn(c.Route, a.took)
		g.mu.Unlock()
	}
	g.judgeAnswer(d, c, a)
	a.load = g.loadOf(d, c.Route)
	a.body = &slotBody{ReadCloser: a.body, done: func() { g.finish(d, g.deps.now().Sub(started)) }}
	return a, a.load, nil
}

func (g *gateKeeper) loadOf(d *door, route string) placement.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d.load(route)
}

// admit waits for a slot of the endpoint.
func (g *gateKeeper) admit(ctx context.Context, c *call) (*door, placement.Load, *verdict.Error) {
	now := g.deps.now()
	g.mu.Lock()
	d := g.doors[c.Endpoint]
	switch {
	case d == nil:
		g.mu.Unlock()
		return nil, placement.Load{}, verdict.Refuse(verdict.NoTarget, "endpoint %q takes no requests here", c.Endpoint)
	case d.endpoint.Service != c.Service || d.endpoint.Version != c.Version:
		g.mu.Unlock()
		return nil, placement.Load{}, verdict.Refuse(verdict.NoTarget, "endpoint %q is of another service or version", c.Endpoint)
	}
	if !g.deps.rollouts.allowed(c.Service, c.Version) {
		load := d.load(c.Route)
		g.mu.Unlock()
		return nil, load, verdict.Refuse(verdict.Draining, "version %q takes no requests", c.Version)
	}
	g.next++
	id := g.next
	admitted, rejection := d.queue.Arrive(now, gate.Request{
		ID: id, Nested: c.Nested, Priority: c.Priority, Deadline: c.deadline,
		TargetAt: now.Add(time.Duration(c.TargetUs) * time.Microsecond),
		MaxWait:  time.Duration(c.MaxWaitUs) * time.Microsecond,
	})
	if admitted || rejection != nil {
		load := d.load(c.Route)
		g.mu.Unlock()
		return d, load, rejection
	}
	granted := make(chan *verdict.Error, 1)
	d.waiting[id] = granted
	g.mu.Unlock()
	return g.await(ctx, d, id, granted, c.Route)
}

func (g *gateKeeper) await(
	ctx context.Context, d *door, id uint64, granted chan *verdict.Error, route string,
) (*door, placement.Load, *verdict.Error) {
	select {
	case rejection := <-granted:
		return d, g.loadOf(d, route), rejection
	case <-ctx.Done():
	}
	g.mu.Lock()
	delete(d.waiting, id)
	withdrawn := d.queue.Cancel(id)
	g.mu.Unlock()
	if !withdrawn {
		// The outcome was decided meanwhile; a slot that was granted is returned.
		if rejection := <-granted; rejection == nil {
			g.finish(d, 0)
		}
	}
	return d, g.loadOf(d, route), contextRejection(ctx)
}

// contextRejection is the error of a call that ended before it was sent.
func contextRejection(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Refuse(verdict.DeadlineUnreachable, "the deadline passed before a slot was free")
	}
	return verdict.Refuse(verdict.Canceled, "the caller gave up")
}

func (g *gateKeeper) finish(d *door, held time.Duration) {
	g.mu.Lock()
	d.deliver(d.queue.Finish(g.deps.now(), held))
	g.mu.Unlock()
}

// slotBody returns the slot once the answer has ended.
type slotBody struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(b.done)
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.done)
	return err
}

// send hands the call to the endpoint and reads the head of its answer.
func (g *gateKeeper) send(ctx context.Context, d *door, c *call) (*answer, *verdict.Error) {
	h := g.deps.headers
	request, err := c.request(ctx)
	if err != nil {
		return nil, verdict.Refuse(verdict.BadRequest, "request: %v", err)
	}
	request.Header[h.ExpectedEndpoint] = []string{c.Endpoint}
	request.Header[h.Caller] = []string{c.Caller}
	left := max(c.deadline.Sub(g.deps.now()).Milliseconds(), 1)
	request.Header[h.Deadline] = []string{strconv.FormatInt(left, 10)}
	sending := exchange.Request{Request: request, IDHeader: h.RequestID}
	if !c.Idempotent {
		sending.MaxIdle = maxReusedIdle
	}
	response, failure := d.pool.Do(ctx, sending)
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
		return nil, verdict.Fail(verdict.TargetFailed, nil, "the answer with status %d is not signed", response.StatusCode)
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
		request.Body, request.ContentLength = exchange.WholeBody(bytes.NewReader(c.body)), int64(len(c.body))
	default:
		request.Body, request.ContentLength = nil, 0
		if c.length == 0 {
			request.Body = http.NoBody
		}
	}
	return request, nil
}

func (g *gateKeeper) judgeAnswer(d *door, c *call, a *answer) {
	judged := rollout.Answer{Route: c.Route, Failed: !a.notRun && a.status >= http.StatusInternalServerError}
	if a.notRun {
		return
	}
	if g.deps.now().After(d.endpoint.WarmUntil) {
		judged.Took, judged.Reference = a.took, time.Duration(c.ReferenceUs)*time.Microsecond
	}
	g.judge(d, c, judged)
}

// judge counts an answer of a version that is being rolled out.
func (g *gateKeeper) judge(d *door, c *call, judged rollout.Answer) {
	if !g.deps.rollouts.judging(c.Service, c.Version) {
		return
	}
	g.mu.Lock()
	bad := d.judge.Add(judged)
	calls := d.judge.Calls()
	g.mu.Unlock()
	if bad {
		g.deps.rollouts.foundBad(c.Service, c.Version, fields{
			"request": c.id, "route": c.Route, "answers": calls, "tookMs": judged.Took.Milliseconds(),
			"referenceMs": judged.Reference.Milliseconds(), "failed": judged.Failed,
		})
	}
}
