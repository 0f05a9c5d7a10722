package proxy

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/observation"
	"github.com/azurespring/azurespring/pkg/quarantine"
	"github.com/azurespring/azurespring/pkg/routing"
	"github.com/azurespring/azurespring/pkg/timeline"
	"github.com/azurespring/azurespring/pkg/transport"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// headerFrameTimeout bounds the wait for the header frame of a call stream.
const headerFrameTimeout = 5 * time.Second

// TargetHandler runs calls on the local targets of this node.
type TargetHandler struct {
	options     Options
	targetsByID sync.Map // *localTarget by target ID
	callsByID   sync.Map // *inFlightCall by call ID
	isDraining  atomic.Bool
	inFlight    atomic.Int64
	// progressTimeout and deadlineGrace are the constants of these names except in
	// tests.
	progressTimeout, deadlineGrace time.Duration

	announcer atomic.Pointer[Announcer]
	// targetUpdateMu serializes registration and removal of targets.
	targetUpdateMu sync.Mutex
}

// NewTargetHandler returns a handler without targets.
func NewTargetHandler(options Options) *TargetHandler {
	return &TargetHandler{options: options.withDefaults(), progressTimeout: progressTimeout, deadlineGrace: deadlineGrace}
}

// Drain rejects new calls; calls in flight continue.
func (h *TargetHandler) Drain() { h.isDraining.Store(true) }

// InFlight returns the number of calls that have not ended.
func (h *TargetHandler) InFlight() int64 { return h.inFlight.Load() }

// inFlightCall is a call that a target is serving.
type inFlightCall struct {
	id               string
	headerFrame      *callHeaderFrame
	deadline         time.Time
	ctx              context.Context
	started          time.Time
	remainingRetries atomic.Int64
	request          *targetRequest
}

// takeRetry moves one retry of the call tree to a nested call.
func (c *inFlightCall) takeRetry() int {
	for {
		remaining := c.remainingRetries.Load()
		if remaining <= 0 {
			return 0
		}
		if c.remainingRetries.CompareAndSwap(remaining, remaining-1) {
			return 1
		}
	}
}

func (c *inFlightCall) returnRetries(n int) { c.remainingRetries.Add(int64(n)) }

// findCall returns the call in flight with the given ID, or nil.
func (h *TargetHandler) findCall(id string) *inFlightCall {
	value, ok := h.callsByID.Load(id)
	if !ok {
		return nil
	}
	return value.(*inFlightCall)
}

// targetRequest is a call on its way to a local target.
type targetRequest struct {
	headerFrame *callHeaderFrame
	deadline    time.Time
	// completeBody is the body if isBodyComplete is set; otherwise body reads it.
	completeBody   []byte
	isBodyComplete bool
	body           io.Reader
	// trailers returns the request's trailers, which are complete after the end of
	// body.
	trailers func() []string

	// remainingRetries is the number of retries left to this call and all calls
	// nested in it.
	remainingRetries int

	hasherMu sync.Mutex
	hasher   *quarantine.Hasher
}

// fingerprint covers the part of the body that was read so far.
func (r *targetRequest) fingerprint() quarantine.Fingerprint {
	r.hasherMu.Lock()
	defer r.hasherMu.Unlock()
	if r.hasher != nil {
		return r.hasher.Sum()
	}
	hasher := quarantine.NewHasher(r.headerFrame.Service, r.headerFrame.Route, r.headerFrame.Method, r.headerFrame.URI)
	_, _ = hasher.Write(r.completeBody)
	return hasher.Sum()
}

// hashBody adds the body to the fingerprint while it is streamed.
func (r *targetRequest) hashBody() {
	r.hasher = quarantine.NewHasher(r.headerFrame.Service, r.headerFrame.Route, r.headerFrame.Method, r.headerFrame.URI)
	r.body = io.TeeReader(r.body, lockedHasher{r})
}

type lockedHasher struct{ request *targetRequest }

func (l lockedHasher) Write(p []byte) (int, error) {
	l.request.hasherMu.Lock()
	defer l.request.hasherMu.Unlock()
	return l.request.hasher.Write(p)
}

// ServeCall is the transport.CallHandler of calls from entry nodes.
func (h *TargetHandler) ServeCall(ctx context.Context, _ transport.Peer, stream transport.Stream) {
	growStack(0)
	_ = stream.SetDeadline(h.options.Now().Add(headerFrameTimeout))
	reader := newFrameReader(stream)
	headerFrame := new(callHeaderFrame)
	if err := reader.readHeaderFrame(frameCallHeader, headerFrame); err != nil {
		stream.Cancel()
		return
	}
	request := &targetRequest{
		headerFrame: headerFrame, deadline: h.options.Now().Add(headerFrame.RemainingTime),
		remainingRetries: headerFrame.RemainingRetries,
	}
	_ = stream.SetDeadline(request.deadline.Add(h.deadlineGrace))
	callCtx, cancel := context.WithDeadline(stream.Context(), request.deadline)
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	response := &streamResponse{stream: stream, buffer: newFrameBuffer()}
	defer response.buffer.release()
	targetLoad, failure := h.receiveAndRun(callCtx, request, reader, response)
	if request.isBodyComplete {
		// An incomplete body may still be read by net/http: a target may respond before
		// the end of the body, and RoundTrip does not wait until the request is sent.
		reader.release()
	}
	if failure != nil {
		// The failure frame replaces all frames that were buffered but not sent.
		response.buffer.data = response.buffer.data[:0]
		if response.buffer.appendFrame(frameFailure, newFailureFrame(failure, targetLoad, request.remainingRetries)) != nil ||
			response.buffer.flush(stream) != nil {
			stream.Cancel()
			return
		}
	}
	if stream.CloseWrite() != nil || (failure != nil && !request.isBodyComplete) {
		stream.Cancel()
	}
}

// callStackBytes is the stack size that serving a call needs.
const callStackBytes = 12 << 10

// growStack grows the stack of a stream's new goroutine in one step. With several
// steps, decoding a header frame took 21 us instead of 7 us.
//
//go:noinline
func growStack(i int) byte {
	var frame [callStackBytes]byte
	frame[i] = 1
	return frame[callStackBytes-1-i]
}

// receiveAndRun runs a call from an entry node. It reads a small body completely
// before the call waits for a slot.
func (h *TargetHandler) receiveAndRun(
	ctx context.Context, request *targetRequest, reader *frameReader, writer responseWriter,
) (routing.Load, *verdict.Error) {
	end := new(endFrame)
	request.trailers = func() []string { return end.Trailers }
	request.body = readerFunc(func(p []byte) (int, error) { return reader.readBody(p, end) })
	if length := request.headerFrame.ContentLength; length >= 0 && length <= maxBufferedBodyBytes {
		body := make([]byte, length+1)
		n, err := io.ReadFull(request.body, body)
		if err != io.EOF && err != io.ErrUnexpectedEOF || int64(n) != length {
			if ctx.Err() != nil {
				return routing.Load{}, contextError(ctx, verdict.NotRun)
			}
			return routing.Load{}, verdict.NotRunErrorf(verdict.Canceled, "the request's body was cut")
		}
		request.completeBody, request.isBodyComplete = body[:n], true
	}
	return h.runCall(ctx, request, writer)
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// runCall checks entitlement, quarantine and admission of a call, forwards it to its
// target and reports the outcome.
func (h *TargetHandler) runCall(ctx context.Context, request *targetRequest, writer responseWriter) (routing.Load, *verdict.Error) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	target, err := h.checkRequest(request)
	if err != nil {
		h.reportCall(request, nil, err)
		return routing.Load{}, err
	}
	if err := target.acquire(ctx, request); err != nil {
		h.reportCall(request, nil, err)
		return target.load(), err
	}
	call := h.registerCall(ctx, request)
	target.addCall(call)
	forwarded := &forwardedCall{handler: h, target: target, call: call, writer: writer}
	err = forwarded.run()
	h.callsByID.Delete(call.id)
	request.remainingRetries = int(call.remainingRetries.Load())
	target.finishCall(call, err == nil)
	if err == nil && !h.options.Quarantine.Empty() {
		h.options.Quarantine.RecordCompletion(request.fingerprint())
	}
	h.reportCall(request, forwarded, err)
	return target.load(), err
}

func (h *TargetHandler) registerCall(ctx context.Context, request *targetRequest) *inFlightCall {
	call := &inFlightCall{
		id: rand.Text(), headerFrame: request.headerFrame, deadline: request.deadline,
		ctx: ctx, started: h.options.Now(), request: request,
	}
	call.remainingRetries.Store(int64(request.headerFrame.RemainingRetries))
	h.callsByID.Store(call.id, call)
	return call
}

// checkRequest finds the target of a call. It rejects the call if this node or the
// target takes no calls, and repeats the entry node's checks of depth, entitlement
// and quarantine.
func (h *TargetHandler) checkRequest(request *targetRequest) (*localTarget, *verdict.Error) {
	headerFrame := request.headerFrame
	if h.isDraining.Load() {
		return nil, verdict.NotRunErrorf(verdict.Draining, "node is stopping")
	}
	if headerFrame.Depth > maxNestingDepth {
		return nil, verdict.NotRunErrorf(verdict.TooDeep, "calls are nested more than %d deep", maxNestingDepth)
	}
	value, ok := h.targetsByID.Load(headerFrame.TargetID)
	if !ok {
		return nil, verdict.NotRunErrorf(verdict.NoTarget, "target %q is not here", headerFrame.TargetID)
	}
	target := value.(*localTarget)
	announced := target.announced.Load()
	if announced.Service != headerFrame.Service || announced.Version != headerFrame.Version {
		return nil, verdict.NotRunErrorf(verdict.NoTarget, "target %q is of another service or version", headerFrame.TargetID)
	}
	switch announced.State {
	case membership.Ready:
	case membership.Draining:
		return nil, verdict.NotRunErrorf(verdict.Draining, "target %q is draining", headerFrame.TargetID)
	default:
		return nil, verdict.NotRunErrorf(verdict.NoTarget, "target %q is not ready", headerFrame.TargetID)
	}
	if err := h.checkEntitlement(headerFrame); err != nil {
		return nil, err
	}
	if !request.isBodyComplete {
		request.hashBody()
	} else if !h.options.Quarantine.Empty() {
		return target, rejectQuarantined(h.options.Quarantine.Remaining(request.fingerprint()))
	}
	return target, nil
}

// checkEntitlement checks the entitlement against this node's configuration if that
// is newer than the entry node's. An older one may lack customers of the entry node's
// configuration.
func (h *TargetHandler) checkEntitlement(headerFrame *callHeaderFrame) *verdict.Error {
	snapshot := h.options.Snapshot()
	if snapshot == nil || snapshot.Version() <= headerFrame.ConfigVersion {
		return nil
	}
	if table := h.options.RoutingTable(); table != nil && table.Snapshot().Version() > headerFrame.ConfigVersion {
		customer := table.Customer(headerFrame.Customer)
		if customer == nil {
			return verdict.NotRunErrorf(verdict.NotEntitled, "customer %q no longer exists", headerFrame.Customer)
		}
		if table.Snapshot().IsEntitled(customer.Plan, headerFrame.Service, headerFrame.Route) {
			return nil
		}
	}
	if snapshot.IsEntitled(headerFrame.Plan, headerFrame.Service, headerFrame.Route) {
		return nil
	}
	return verdict.NotRunErrorf(verdict.NotEntitled,
		"plan %q no longer allows route %q of service %q", headerFrame.Plan, headerFrame.Route, headerFrame.Service)
}

// reportCall reports the outcome of a call to the observer and the timeline.
// forwarded is nil if the call was not forwarded to the target.
func (h *TargetHandler) reportCall(request *targetRequest, forwarded *forwardedCall, err *verdict.Error) {
	now, headerFrame := h.options.Now(), request.headerFrame
	observed := observation.Call{
		Reporter: observation.ReporterTargetNode, EndTime: now, Customer: headerFrame.Customer, Service: headerFrame.Service,
		Route: headerFrame.Route, Department: headerFrame.Department, Version: headerFrame.Version,
	}
	if forwarded != nil {
		observed.Status, observed.Latency = forwarded.status, now.Sub(forwarded.call.started)
	}
	if err != nil {
		observed.Code, observed.Verdict = err.Code, err.Verdict
		observed.TargetCrashed = err.Code == verdict.TargetCrashed
		if observed.Status == 0 {
			observed.Status = err.Code.HTTPStatus()
		}
	}
	h.options.Observer.Observe(observed)
	if err != nil || headerFrame.Sampled {
		fields := map[string]string{
			"side": "target", "target": headerFrame.TargetID, "service": headerFrame.Service, "version": headerFrame.Version,
		}
		addErrorFields(fields, err)
		h.options.Timeline.Record(timeline.Event{Kind: eventServed, RequestID: headerFrame.RequestID, Fields: fields})
	}
}

// ErrNodeStopping is the cause with which a node that is stopping ends the contexts of
// the calls that would outlast it.
var ErrNodeStopping = eris.New("node is stopping")

// isEndedByStop reports whether ctx was ended with ErrNodeStopping.
func isEndedByStop(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrNodeStopping) }

// contextError returns the error of a call whose context has ended.
func contextError(ctx context.Context, v verdict.Verdict) *verdict.Error {
	switch {
	case isEndedByStop(ctx) && v == verdict.NotRun:
		return verdict.NotRunErrorf(verdict.Draining, "node is stopping")
	case isEndedByStop(ctx):
		// Draining tells callers that the call did not run.
		return &verdict.Error{Code: verdict.DeadlineExceeded, Verdict: v, Detail: "node is stopping"}
	case ctx.Err() == context.DeadlineExceeded:
		return &verdict.Error{Code: verdict.DeadlineExceeded, Verdict: v, Detail: "the deadline has passed"}
	}
	return &verdict.Error{Code: verdict.Canceled, Verdict: v, Detail: "the caller gave up"}
}

var _ http.Handler = (*EntryHandler)(nil)
