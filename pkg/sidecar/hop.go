package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/azurespring/azurespring/pkg/exchange"
	"github.com/azurespring/azurespring/pkg/mesh/egress"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// nodeDialTimeout bounds a connection to another node. The longest round trip
// between regions is about 20 ms; a machine without power does not answer.
const nodeDialTimeout = 300 * time.Millisecond

// nodeDialPatience is how long a request waits for a connection to another node before
// it is placed elsewhere: five of the longest round trips.
const nodeDialPatience = 100 * time.Millisecond

// Pauses between two tries to reach a node that could not be reached. They cost no
// request; with the longest, 270 lost machines cost each node fewer than 70 dials a second.
const (
	firstReconnect = 100 * time.Millisecond
	lastReconnect  = 4 * time.Second
)

// poolLifetime is how long the connections to a node are kept without a request.
const poolLifetime = 30 * time.Second

// hopClient sends calls to the nodes beside other endpoints.
type hopClient struct {
	deps  *shared
	mu    sync.Mutex
	pools map[string]*hopPool
	// offered is when state was last offered to an address.
	offered map[string]time.Time
	// lost holds the endpoints of each address that cannot be reached.
	lost map[string][]*placement.Endpoint
}

type hopPool struct {
	*exchange.Pool
	lastUsed time.Time
}

func newHopClient(deps *shared) *hopClient {
	return &hopClient{
		deps: deps, pools: make(map[string]*hopPool), offered: make(map[string]time.Time),
		lost: make(map[string][]*placement.Endpoint),
	}
}

func (h *hopClient) pool(address string) *exchange.Pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pools[address]
	if p == nil {
		p = &hopPool{Pool: exchange.NewPool(address, exchange.Dialer{Timeout: nodeDialTimeout}, h.deps.metrics.nodeConnection)}
		h.pools[address] = p
	}
	p.lastUsed = h.deps.now()
	return p.Pool
}

// sweep closes connections that are no longer used.
func (h *hopClient) sweep() {
	now := h.deps.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for address, p := range h.pools {
		p.CloseExpired()
		if now.Sub(p.lastUsed) > poolLifetime {
			p.Close()
			delete(h.pools, address)
			delete(h.offered, address)
		}
	}
}

// lose keeps requests away from an endpoint whose node could not be reached until a
// connection to it can be made.
func (h *hopClient) lose(e *placement.Endpoint) {
	if !e.MarkUnreachable() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.lost[e.NodeAddress]) == 0 {
		h.deps.log.event("node_lost", fields{"address": e.NodeAddress, "endpointInstance": e.Instance})
		go h.reconnect(e.NodeAddress)
	}
	h.lost[e.NodeAddress] = append(h.lost[e.NodeAddress], e)
}

// reconnect tries to reach a lost node until it can, or its entry or this node is gone.
func (h *hopClient) reconnect(address string) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval, retry.RandomizationFactor = firstReconnect, lastReconnect, 0.5
	started, tries := h.deps.now(), 0
	for {
		time.Sleep(retry.NextBackOff())
		tries++
		table := h.deps.table.Load()
		gone := h.deps.withdrawn.Load() || table != nil && !table.HasAddress(address)
		if gone || h.pool(address).EnsureIdleConn(context.Background()) == nil {
			break
		}
	}
	h.mu.Lock()
	lost := h.lost[address]
	delete(h.lost, address)
	h.mu.Unlock()
	for _, e := range lost {
		e.MarkReachable()
	}
	h.deps.log.event("node_regained", fields{"address": address, "tries": tries, "afterMs": h.deps.now().Sub(started).Milliseconds()})
}

// send hands a call to the node at address.
func (h *hopClient) send(ctx context.Context, address string, c *call) (*answer, placement.Load, *verdict.Error) {
	request, err := c.request(ctx)
	if err != nil {
		return nil, placement.Load{}, verdict.NotRunErrorf(verdict.BadRequest, "request: %v", err)
	}
	terms := c.hopTerms
	terms.TimeoutUs = c.deadline.Sub(h.deps.now()).Microseconds()
	terms.Stopping = h.deps.stopping.Load()
	terms.ConfigurationVersion, terms.RolloutRevision = h.deps.heardConfig.Load(), h.deps.heardOrders.Load()
	request.Header[hopTermsName] = []string{encodeHop(terms)}
	sending := exchange.Request{Request: request, MaxDialWait: nodeDialPatience}
	if !c.Idempotent {
		sending.MaxIdleTime = maxReusedIdle
	}
	h.deps.uplink.spendHead(request.Header)
	h.deps.uplink.spend(len(c.body))
	response, failure := h.pool(address).Do(ctx, sending)
	if failure != nil {
		return nil, placement.Load{}, exchangeFailure(ctx, failure, "the endpoint's node")
	}
	load := parseLoad(response.Header.Get(hopLoadName))
	h.deps.observe(parseRevision(response.Header.Get(hopConfig)), parseRevision(response.Header.Get(hopOrders)))
	if response.Header.Get(hopLacks) != "" {
		h.offer(address)
	}
	if text := response.Header.Get(hopErrorName); text != "" {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		var e hopError
		if err := json.Unmarshal([]byte(text), &e); err != nil {
			return nil, load, verdict.MayHaveRunErrorf(verdict.Internal, err, "the node's answer cannot be read")
		}
		return nil, load, e.failure()
	}
	took, err := strconv.ParseInt(response.Header.Get(hopTookName), 10, 64)
	if err != nil {
		_ = response.Body.Close()
		return nil, load, verdict.MayHaveRunErrorf(verdict.Internal, err, "the answer is not a node's")
	}
	return &answer{
		status: response.StatusCode, header: forwardable(response.Header), length: response.ContentLength,
		body: response.Body, notRun: response.Header.Get(hopNotRun) != "", load: load,
		took: time.Duration(took) * time.Microsecond,
	}, load, nil
}

// exchangeFailure translates a failed exchange with peer.
func exchangeFailure(ctx context.Context, failure *exchange.Error, peer string) *verdict.Error {
	v := verdict.NotRun
	if failure.RequestSent {
		v = verdict.MayHaveRun
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &verdict.Error{Code: verdict.DeadlineExceeded, Verdict: v, Detail: "the deadline has passed"}
	case ctx.Err() != nil:
		return &verdict.Error{Code: verdict.Canceled, Verdict: v, Detail: "the caller gave up"}
	case v == verdict.NotRun:
		return &verdict.Error{Code: verdict.NoTarget, Verdict: v, Detail: peer + " cannot be reached", Cause: failure}
	}
	return &verdict.Error{Code: verdict.TargetFailed, Verdict: v, Detail: peer + " did not answer", Cause: failure}
}

func formatLoad(l placement.Load) string {
	return strconv.Itoa(l.Running) + "," + strconv.Itoa(l.Waiting) + "," + strconv.Itoa(l.Slots) + "," +
		strconv.FormatInt(l.MeanServiceTime.Microseconds(), 10) + "," + strconv.FormatInt(l.MeanRouteLatency.Microseconds(), 10)
}

// parseLoad reads what formatLoad wrote; anything else is an unknown load.
func parseLoad(text string) placement.Load {
	parts := strings.Split(text, ",")
	var n [5]int
	if len(parts) != len(n) {
		return placement.Load{}
	}
	for i, part := range parts {
		value, err := strconv.Atoi(part)
		if err != nil {
			return placement.Load{}
		}
		n[i] = value
	}
	return placement.Load{
		Running: n[0], Waiting: n[1], Slots: n[2],
		MeanServiceTime: time.Duration(n[3]) * time.Microsecond, MeanRouteLatency: time.Duration(n[4]) * time.Microsecond,
	}
}

// parseRevision reads a number that another node sent; 0 if there is none.
func parseRevision(text string) uint64 {
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0 // An answer that did not come from a node has no such header.
	}
	return revision
}

// hopServer takes the calls of other nodes for the endpoints beside this one.
type hopServer struct {
	deps     *shared
	gate     *localGate
	inFlight atomic.Int64
}

// ServeHTTP implements http.Handler.
func (s *hopServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if r.Method == http.MethodPost && r.RequestURI == offerPath {
		s.takeOffer(w, r)
		return
	}
	w.Header().Set(hopConfig, strconv.FormatUint(s.deps.heardConfig.Load(), 10))
	w.Header().Set(hopOrders, strconv.FormatUint(s.deps.heardOrders.Load(), 10))
	if !s.deps.known() {
		w.Header().Set(hopLacks, "1")
	}
	c, err := s.decode(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.deps.observe(c.ConfigurationVersion, c.RolloutRevision)
	if s.deps.withdrawn.Load() {
		s.refuse(w, placement.Load{}, verdict.NotRunErrorf(verdict.NoTarget, "the endpoint's node is stopping"))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if failure := c.readBody(w, r); failure != nil {
		s.refuse(w, placement.Load{}, failure)
		return
	}
	a, load, failure := s.gate.serve(ctx, c)
	if failure != nil {
		if failure.Code != verdict.Overloaded && failure.Code != verdict.Canceled {
			s.deps.log.event("call_failed", fields{
				"requestId": c.id, "endpoint": c.Endpoint, "code": string(failure.Code),
				"verdict": failure.Verdict.String(), "detail": failure.Error(), "running": load.Running, "waiting": load.Waiting,
			})
		}
		s.refuse(w, load, failure)
		return
	}
	defer a.body.Close()
	header := w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil
	}
	header.Set(hopLoadName, formatLoad(load))
	header.Set(hopTookName, strconv.FormatInt(a.took.Microseconds(), 10))
	if a.notRun {
		header.Set(hopNotRun, "1")
	}
	if a.length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	s.deps.uplink.spendHead(header)
	w.WriteHeader(a.status)
	target := s.deps.now().Add(time.Duration(c.SoftTimeoutUs) * time.Microsecond)
	terms := egress.Chunk{SoftDeadline: target, Urgent: c.Stopping}
	if err := s.deps.uplink.copyAnswer(ctx, w, a.body, a.length, terms); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *hopServer) decode(r *http.Request) (*call, error) {
	c := &call{
		id: r.Header.Get(s.deps.headers.RequestID), method: r.Method, uri: r.RequestURI, host: r.Host,
		header: forwardable(r.Header), length: r.ContentLength,
	}
	if err := json.Unmarshal([]byte(r.Header.Get(hopTermsName)), &c.hopTerms); err != nil {
		return nil, err
	}
	c.deadline = s.deps.now().Add(time.Duration(c.TimeoutUs) * time.Microsecond)
	return c, nil
}

// readBody reads a small body whole before the call asks for a slot.
func (c *call) readBody(w http.ResponseWriter, r *http.Request) *verdict.Error {
	switch {
	case r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody:
		return nil
	case r.ContentLength > 0 && r.ContentLength <= bufferedRequestBytes:
		c.body = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, c.body); err != nil {
			return verdict.NotRunErrorf(verdict.Canceled, "the body was cut: %v", err)
		}
		return nil
	}
	c.rest = r.Body
	_ = http.NewResponseController(w).EnableFullDuplex()
	return nil
}

func (s *hopServer) refuse(w http.ResponseWriter, load placement.Load, failure *verdict.Error) {
	header := w.Header()
	header.Set(hopErrorName, encodeHop(newHopError(failure)))
	header.Set(hopLoadName, formatLoad(load))
	header.Set("Content-Length", "0")
	s.deps.uplink.spendHead(header)
	w.WriteHeader(http.StatusServiceUnavailable)
}
