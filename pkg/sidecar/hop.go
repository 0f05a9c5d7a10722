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
	"github.com/azurespring/azurespring/pkg/quotasync"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// nodeDialTimeout bounds the time to connect to another node. The longest round trip
// between regions takes about 20 ms; an instance without power does not reply at all.
const nodeDialTimeout = 300 * time.Millisecond

// maxNodeDialWait is how long a request waits for a connection to another node before
// another endpoint is chosen: five times the longest round trip.
const maxNodeDialWait = 100 * time.Millisecond

// Pauses between two attempts to connect to an unreachable node. No request waits for
// these attempts. At the longest pause, 270 unreachable instances cost each node fewer
// than 70 dials a second.
const (
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = 4 * time.Second
)

// poolIdleTimeout is how long the connections to a node are kept without a request.
const poolIdleTimeout = 30 * time.Second

// hopClient sends calls to the nodes of other instances.
type hopClient struct {
	deps  *shared
	mu    sync.Mutex
	pools map[string]*hopPool
	// stateSentAt holds the time of the last state transfer to each address.
	stateSentAt map[string]time.Time
	// unreachable holds the unreachable endpoints by the address of their node.
	unreachable map[string][]*placement.Endpoint
}

// hopPool holds the connections to one node.
type hopPool struct {
	*exchange.Pool
	lastUsed time.Time
}

func newHopClient(deps *shared) *hopClient {
	return &hopClient{
		deps: deps, pools: make(map[string]*hopPool), stateSentAt: make(map[string]time.Time),
		unreachable: make(map[string][]*placement.Endpoint),
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
		if now.Sub(p.lastUsed) > poolIdleTimeout {
			p.Close()
			delete(h.pools, address)
			delete(h.stateSentAt, address)
		}
	}
}

// markUnreachable excludes an endpoint whose node could not be reached from endpoint
// selection until a connection to the node succeeds.
func (h *hopClient) markUnreachable(e *placement.Endpoint) {
	if !e.MarkUnreachable() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.unreachable[e.NodeAddress]) == 0 {
		h.deps.log.event("node_lost", fields{"address": e.NodeAddress, "endpointInstance": e.Instance})
		go h.reconnect(e.NodeAddress)
	}
	h.unreachable[e.NodeAddress] = append(h.unreachable[e.NodeAddress], e)
}

// reconnect dials an unreachable node until it succeeds, the node is no longer listed
// in the store, or this node has closed its inbound side.
func (h *hopClient) reconnect(address string) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval, retry.RandomizationFactor = minReconnectDelay, maxReconnectDelay, 0.5
	started, attempts := h.deps.now(), 0
	for {
		time.Sleep(retry.NextBackOff())
		attempts++
		table := h.deps.table.Load()
		stop := h.deps.isInboundClosed.Load() || table != nil && !table.HasAddress(address)
		if stop || h.pool(address).EnsureIdleConn(context.Background()) == nil {
			break
		}
	}
	h.mu.Lock()
	endpoints := h.unreachable[address]
	delete(h.unreachable, address)
	h.mu.Unlock()
	for _, e := range endpoints {
		e.MarkReachable()
	}
	h.deps.log.event("node_regained", fields{"address": address, "tries": attempts, "afterMs": h.deps.now().Sub(started).Milliseconds()})
}

// sendOverLink sends a call to the node at address. A large body is scheduled on the link
// of this instance and rejected, unsent, if the link would deliver it too late for an
// endpoint that takes the expected time for its response.
func (h *hopClient) sendOverLink(
	ctx context.Context, address string, c *call, expected time.Duration,
) (*endpointResponse, placement.Load, *verdict.Error) {
	if c.bodyBytes() < largeResponseBytes {
		return h.send(ctx, address, c)
	}
	softTimeout := time.Duration(c.SoftTimeoutUs) * time.Microsecond
	c.bodySoftDeadline = h.deps.now().Add(softTimeout - expected)
	release, lateness := h.deps.uplink.reserve(egress.ExpectedResponse{
		Bytes: c.bodyBytes(), SoftDeadline: c.bodySoftDeadline, Deadline: c.deadline.Add(-expected),
	})
	if lateness > 0 {
		rejection := verdict.NotRunErrorf(verdict.Overloaded, "the machine's link is full for longer than the body can wait")
		rejection.RetryAfter = lateness
		return nil, placement.Load{}, rejection
	}
	c.onBodyStarted = sync.OnceFunc(release)
	defer c.onBodyStarted()
	return h.send(ctx, address, c)
}

// send sends a call to the node at address.
func (h *hopClient) send(ctx context.Context, address string, c *call) (*endpointResponse, placement.Load, *verdict.Error) {
	request, err := c.request(ctx)
	if err != nil {
		return nil, placement.Load{}, verdict.NotRunErrorf(verdict.BadRequest, "request: %v", err)
	}
	metadata := c.hopMetadata
	metadata.TimeoutUs = c.deadline.Sub(h.deps.now()).Microseconds()
	metadata.Stopping = h.deps.isShuttingDown()
	metadata.ConfigurationVersion, metadata.RolloutRevision = h.deps.newestConfigVersion.Load(), h.deps.newestRolloutRevision.Load()
	metadata.EvacuationRevision = h.deps.newestEvacuationRevision.Load()
	request.Header[hopMetadataHeader] = []string{encodeHopHeader(metadata)}
	exchangeRequest := exchange.Request{Request: request, MaxDialWait: maxNodeDialWait}
	if !c.Idempotent {
		exchangeRequest.MaxIdleTime = maxReuseIdleTime
	}
	h.deps.uplink.countHeader(request.Header)
	if c.bodyBytes() < largeResponseBytes {
		h.deps.uplink.countBytes(len(c.body))
	} else {
		request.Body = h.deps.uplink.scheduleBody(ctx, c, request.Body)
		exchangeRequest.ExpectContinue = c.remainingBody != nil
	}
	httpResponse, failure := h.pool(address).Do(ctx, exchangeRequest)
	if failure != nil {
		return nil, placement.Load{}, exchangeFailure(ctx, failure, "the endpoint's node")
	}
	load := parseLoad(httpResponse.Header.Get(hopLoadHeader))
	load.FailureRate = parseFailurePercent(httpResponse.Header.Get(hopFailurePercentHeader))
	if h.deps.settings.ZoneOverflow != OverflowOff {
		load.Slowdown = parseSlowdown(h.deps.now(), httpResponse.Header.Get(hopSlowdownHeader))
	}
	h.deps.recordRemoteRevisions(parseRevision(httpResponse.Header.Get(hopConfigVersionHeader)), parseRevision(httpResponse.Header.Get(hopRolloutRevisionHeader)), address)
	h.deps.recordRemoteEvacuations(parseRevision(httpResponse.Header.Get(hopEvacuationHeader)), address)
	if httpResponse.Header.Get(hopLacksStateHeader) != "" {
		h.sendStateIfDue(address)
	}
	if text := httpResponse.Header.Get(hopErrorHeader); text != "" {
		_ = discardBody(httpResponse.Body)
		var e hopError
		if err := json.Unmarshal([]byte(text), &e); err != nil {
			return nil, load, verdict.MayHaveRunErrorf(verdict.Internal, err, "the node's answer cannot be read")
		}
		return nil, load, e.verdictError()
	}
	headerLatency, err := strconv.ParseInt(httpResponse.Header.Get(hopLatencyHeader), 10, 64)
	if err != nil {
		_ = httpResponse.Body.Close()
		return nil, load, verdict.MayHaveRunErrorf(verdict.Internal, err, "the answer is not a node's")
	}
	return &endpointResponse{
		status: httpResponse.StatusCode, header: forwardableHeader(httpResponse.Header), contentLength: httpResponse.ContentLength,
		body: httpResponse.Body, notRun: httpResponse.Header.Get(hopNotRunHeader) != "", load: load,
		headerLatency: time.Duration(headerLatency) * time.Microsecond,
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

// formatLoad formats a load for the header Azurespring-Hop-Load.
func formatLoad(l placement.Load) string {
	return strconv.Itoa(l.Running) + "," + strconv.Itoa(l.Waiting) + "," + strconv.Itoa(l.Slots) + "," +
		strconv.FormatInt(l.MeanServiceTime.Microseconds(), 10) + "," + strconv.FormatInt(l.MeanRouteLatency.Microseconds(), 10)
}

// parseLoad parses the output of formatLoad; any other text gives a zero load.
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

// setLoad sets the headers that tell the load of an endpoint. The failure rate is not part
// of the first, whose format older nodes know, and is left out while it is low.
func setLoad(header http.Header, now time.Time, load placement.Load) {
	header.Set(hopLoadHeader, formatLoad(load))
	if percent := int(100 * load.FailureRate); percent >= minFailurePercent {
		header.Set(hopFailurePercentHeader, strconv.Itoa(percent))
	}
	if load.Slowdown.IsKnown() {
		header.Set(hopSlowdownHeader, formatSlowdown(now, load.Slowdown))
	}
}

// minFailurePercent is above the failures of sound endpoints, some in a thousand.
const minFailurePercent = 5

// parseFailurePercent returns the failure rate in a header, 0 without a valid one.
func parseFailurePercent(text string) float64 {
	percent, err := strconv.Atoi(text)
	if err != nil || percent < 0 || percent > 100 {
		return 0 // Most responses have no such header.
	}
	return float64(percent) / 100
}

// parseRevision parses a version or revision number; it returns 0 if text is not a
// number.
func parseRevision(text string) uint64 {
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0 // A response that was not sent by a node has no such header.
	}
	return revision
}

// hopServer handles the calls of other nodes to the local endpoints.
type hopServer struct {
	deps      *shared
	admission *localAdmission
	tracker   *tracker
	inFlight  atomic.Int64
	// stateTransfers is the number of state transfers that are being received.
	stateTransfers atomic.Int64
}

// ServeHTTP implements http.Handler.
func (s *hopServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && r.RequestURI == followPath {
		s.serveFollower(w, r) // Not in flight: a shutdown does not wait for followers.
		return
	}
	if quotasync.IsMessage(r) {
		s.deps.quota.ServeHTTP(w, r) // Not in flight: a shutdown does not wait for other nodes.
		return
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if r.Body != nil && r.Body != http.NoBody {
		// net/http reads what is left of a body that was not read to its end.
		controller := http.NewResponseController(w)
		defer func() { _ = controller.SetReadDeadline(time.Now().Add(bodyDrainTimeout)) }()
	}
	if r.Method == http.MethodPost && r.RequestURI == statePath {
		s.receiveState(w, r)
		return
	}
	w.Header().Set(hopConfigVersionHeader, strconv.FormatUint(s.deps.newestConfigVersion.Load(), 10))
	w.Header().Set(hopRolloutRevisionHeader, strconv.FormatUint(s.deps.newestRolloutRevision.Load(), 10))
	if revision := s.deps.newestEvacuationRevision.Load(); revision > 0 {
		w.Header().Set(hopEvacuationHeader, strconv.FormatUint(revision, 10))
	}
	if !s.deps.isLoaded() {
		w.Header().Set(hopLacksStateHeader, "1")
	}
	c, err := s.decode(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.deps.recordRemoteRevisions(c.ConfigurationVersion, c.RolloutRevision, s.deps.callerAddress(r))
	if c.EvacuationRevision > s.deps.evacuationRevision.Load() {
		s.deps.recordRemoteEvacuations(c.EvacuationRevision, s.deps.callerAddress(r))
	}
	if s.deps.isInboundClosed.Load() {
		s.reject(w, placement.Load{}, verdict.NotRunErrorf(verdict.NoTarget, "the endpoint's node is stopping"))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	bodyBytes := int64(0)
	if r.ContentLength > 0 && r.ContentLength <= bufferedRequestBytes {
		bodyBytes = r.ContentLength
	}
	if !s.deps.guard.HoldShared(bodyBytes) {
		s.reject(w, placement.Load{}, verdict.NotRunErrorf(verdict.Overloaded, "the node is short of memory for the body"))
		return
	}
	defer s.deps.guard.ReleaseShared(bodyBytes)
	if failure := c.readBody(w, r); failure != nil {
		s.reject(w, placement.Load{}, failure)
		return
	}
	resp, load, failure := s.admission.serve(ctx, c)
	if failure != nil {
		if failure.Code != verdict.Overloaded && failure.Code != verdict.Canceled {
			s.deps.log.event("call_failed", fields{
				"requestId": c.id, "endpoint": c.Endpoint, "code": string(failure.Code),
				"verdict": failure.Verdict.String(), "detail": failure.Error(), "running": load.Running, "waiting": load.Waiting,
			})
		}
		s.reject(w, load, failure)
		return
	}
	defer resp.body.Close()
	header := w.Header()
	for name, values := range resp.header {
		header[name] = values
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // Prevents net/http from guessing one.
	}
	setLoad(header, s.deps.now(), load)
	header.Set(hopLatencyHeader, strconv.FormatInt(resp.headerLatency.Microseconds(), 10))
	if resp.notRun {
		header.Set(hopNotRunHeader, "1")
	}
	if resp.contentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(resp.contentLength, 10))
	}
	s.deps.uplink.countHeader(header)
	w.WriteHeader(resp.status)
	softDeadline := s.deps.now().Add(time.Duration(c.SoftTimeoutUs) * time.Microsecond)
	chunk := egress.Chunk{SoftDeadline: softDeadline, Urgent: c.Stopping}
	if err := s.deps.uplink.copyResponse(ctx, w, resp.body, resp.contentLength, chunk); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *hopServer) decode(r *http.Request) (*call, error) {
	c := &call{
		id: r.Header.Get(s.deps.headers.RequestID), method: r.Method, uri: r.RequestURI, host: r.Host,
		header: forwardableHeader(r.Header), contentLength: r.ContentLength,
	}
	if err := json.Unmarshal([]byte(r.Header.Get(hopMetadataHeader)), &c.hopMetadata); err != nil {
		return nil, err
	}
	c.deadline = s.deps.now().Add(time.Duration(c.TimeoutUs) * time.Microsecond)
	return c, nil
}

// readBody reads a small body completely before the call asks for a slot. A larger one is
// read after that. Reading any body ends at the deadline of the call.
func (c *call) readBody(w http.ResponseWriter, r *http.Request) *verdict.Error {
	controller := http.NewResponseController(w)
	switch {
	case r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody:
		return nil
	case r.ContentLength > 0 && r.ContentLength <= bufferedRequestBytes:
		_ = controller.SetReadDeadline(c.deadline)
		c.body = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, c.body); err != nil {
			return verdict.NotRunErrorf(verdict.Canceled, "the body was cut: %v", err)
		}
		_ = controller.SetReadDeadline(time.Time{})
		return nil
	}
	// The first read asks the entry node for the body, if it waits for that.
	c.remainingBody = &streamedBody{source: r.Body}
	_ = controller.SetReadDeadline(c.deadline)
	_ = controller.EnableFullDuplex()
	return nil
}

func (s *hopServer) reject(w http.ResponseWriter, load placement.Load, failure *verdict.Error) {
	header := w.Header()
	header.Set(hopErrorHeader, encodeHopHeader(newHopError(failure)))
	setLoad(header, s.deps.now(), load)
	header.Set("Content-Length", "0")
	s.deps.uplink.countHeader(header)
	w.WriteHeader(http.StatusServiceUnavailable)
}
