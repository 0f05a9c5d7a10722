package proxy

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/observation"
	"github.com/azurespring/azurespring/pkg/quarantine"
	"github.com/azurespring/azurespring/pkg/routing"
	"github.com/azurespring/azurespring/pkg/timeline"
	"github.com/azurespring/azurespring/pkg/transport"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// headTimeout bounds the wait for the head of a call stream.
const headTimeout = 5 * time.Second

// TargetHandler runs calls on the targets beside this node.
type TargetHandler struct {
	deps     Options
	targets  sync.Map // of target id to *localTarget
	calls    sync.Map // of call id to *inFlight
	draining atomic.Bool
	running  atomic.Int64
	// progress and grace are progressTimeout and deadlineGrace but in tests.
	progress, grace time.Duration

	announcer atomic.Pointer[Announcer]
	// announcing orders changes of targets.
	announcing sync.Mutex
}

// NewTargetHandler returns a target side without targets.
func NewTargetHandler(deps Options) *TargetHandler {
	return &TargetHandler{deps: deps.withDefaults(), progress: progressTimeout, grace: deadlineGrace}
}

// Drain refuses new calls; calls in flight go on.
func (s *TargetHandler) Drain() { s.draining.Store(true) }

// InFlight returns the number of calls that have not ended.
func (s *TargetHandler) InFlight() int64 { return s.running.Load() }

// inFlight is a call that a target is serving.
type inFlight struct {
	id       string
	head     *callHead
	deadline time.Time
	ctx      context.Context
	started  time.Time
	retries  atomic.Int64
	request  *targetRequest
}

// takeRetry moves one retry of the call tree to a nested call.
func (f *inFlight) takeRetry() int {
	for {
		left := f.retries.Load()
		if left <= 0 {
			return 0
		}
		if f.retries.CompareAndSwap(left, left-1) {
			return 1
		}
	}
}

func (f *inFlight) returnRetry(n int) { f.retries.Add(int64(n)) }

// find returns the call in flight that a nested call names, or nil.
func (s *TargetHandler) find(id string) *inFlight {
	value, ok := s.calls.Load(id)
	if !ok {
		return nil
	}
	return value.(*inFlight)
}

// targetRequest is a call on its way to a local target.
type targetRequest struct {
	head     *callHead
	deadline time.Time
	// whole is the body if isWhole, else body reads it.
	whole   []byte
	isWhole bool
	body    io.Reader
	// trailers are the request's trailers, complete after the end of body.
	trailers func() []string

	// retries is what is left of the call tree's retry budget.
	retries int

	hashing sync.Mutex
	hasher  *quarantine.Hasher
}

// fingerprint covers what is known of the body.
func (r *targetRequest) fingerprint() quarantine.Fingerprint {
	r.hashing.Lock()
	defer r.hashing.Unlock()
	if r.hasher != nil {
		return r.hasher.Sum()
	}
	hasher := quarantine.NewHasher(r.head.Service, r.head.Route, r.head.Method, r.head.URI)
	_, _ = hasher.Write(r.whole)
	return hasher.Sum()
}

// hashBody takes the body into the fingerprint while it is streamed.
func (r *targetRequest) hashBody() {
	r.hasher = quarantine.NewHasher(r.head.Service, r.head.Route, r.head.Method, r.head.URI)
	r.body = io.TeeReader(r.body, lockedHasher{r})
}

type lockedHasher struct{ r *targetRequest }

func (l lockedHasher) Write(p []byte) (int, error) {
	l.r.hashing.Lock()
	defer l.r.hashing.Unlock()
	return l.r.hasher.Write(p)
}

// ServeCall is the transport.CallHandler of calls from entry nodes.
func (s *TargetHandler) ServeCall(ctx context.Context, _ transport.Peer, stream transport.Stream) {
	growStack(0)
	_ = stream.SetDeadline(s.deps.Now().Add(headTimeout))
	reader := newFrameReader(stream)
	head := new(callHead)
	if err := reader.head(frameCall, head); err != nil {
		stream.Cancel()
		return
	}
	request := &targetRequest{head: head, deadline: s.deps.Now().Add(head.Remaining), retries: head.Retries}
	_ = stream.SetDeadline(request.deadline.Add(s.grace))
	callCtx, cancel := context.WithDeadline(stream.Context(), request.deadline)
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	out := &streamAnswer{stream: stream, buffer: newFrameBuffer()}
	defer out.buffer.release()
	load, failure := s.receiveBody(callCtx, request, reader, out)
	if request.isWhole {
		// Otherwise net/http may still read the body: a target may answer before its
		// end, and RoundTrip does not wait for the request to be sent.
		reader.release()
	}
	if failure != nil {
		// The frames that were collected but not sent are dropped: the failure
		// replaces what is still due.
		out.buffer.data = out.buffer.data[:0]
		if out.buffer.encode(frameFailure, newFailure(failure, load, request.retries)) != nil || out.buffer.flush(stream) != nil {
			stream.Cancel()
			return
		}
	}
	if stream.CloseWrite() != nil || (failure != nil && !request.isWhole) {
		stream.Cancel()
	}
}

// stackBytes is what a call needs of its goroutine's stack.
const stackBytes = 12 << 10

// growStack lets the stack of a stream's fresh goroutine grow in one step. With
// several steps, decoding a head took 21 us instead of 7 us.
//
//go:noinline
func growStack(i int) byte {
	var frame [stackBytes]byte
	frame[i] = 1
	return frame[stackBytes-1-i]
}

// receiveBody reads a small body whole before the call asks for a slot.
func (s *TargetHandler) receiveBody(
	ctx context.Context, request *targetRequest, reader *frameReader, out answer,
) (routing.Load, *verdict.Error) {
	finish := new(end)
	request.trailers = func() []string { return finish.Trailers }
	request.body = readerFunc(func(p []byte) (int, error) { return reader.body(p, finish) })
	if length := request.head.ContentLength; length >= 0 && length <= smallBodyBytes {
		whole := make([]byte, length+1)
		n, err := io.ReadFull(request.body, whole)
		if err != io.EOF && err != io.ErrUnexpectedEOF || int64(n) != length {
			if ctx.Err() != nil {
				return routing.Load{}, ctxFailure(ctx, verdict.NotRun)
			}
			return routing.Load{}, verdict.NotRunErrorf(verdict.Canceled, "the request's body was cut")
		}
		request.whole, request.isWhole = whole[:n], true
	}
	return s.run(ctx, request, out)
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// run takes one call through entitlement, quarantine and admission to its
// target, and reports what this side saw.
func (s *TargetHandler) run(ctx context.Context, request *targetRequest, out answer) (routing.Load, *verdict.Error) {
	s.running.Add(1)
	defer s.running.Add(-1)
	target, err := s.check(request)
	if err != nil {
		s.report(request, nil, err)
		return routing.Load{}, err
	}
	if err := target.acquire(ctx, request); err != nil {
		s.report(request, nil, err)
		return target.load(), err
	}
	call := s.begin(ctx, request)
	target.enter(call)
	f := &forwarding{side: s, target: target, call: call, out: out}
	err = f.run()
	s.calls.Delete(call.id)
	request.retries = int(call.retries.Load())
	target.leave(call, err == nil)
	if err == nil && !s.deps.Quarantine.Empty() {
		s.deps.Quarantine.RecordCompletion(request.fingerprint())
	}
	s.report(request, f, err)
	return target.load(), err
}

func (s *TargetHandler) begin(ctx context.Context, request *targetRequest) *inFlight {
	call := &inFlight{
		id: rand.Text(), head: request.head, deadline: request.deadline,
		ctx: ctx, started: s.deps.Now(), request: request,
	}
	call.retries.Store(int64(request.head.Retries))
	s.calls.Store(call.id, call)
	return call
}

// check finds the target and repeats the checks that this node can make itself.
func (s *TargetHandler) check(request *targetRequest) (*localTarget, *verdict.Error) {
	head := request.head
	if s.draining.Load() {
		return nil, verdict.NotRunErrorf(verdict.Draining, "node is stopping")
	}
	if head.Depth > maxDepth {
		return nil, verdict.NotRunErrorf(verdict.TooDeep, "calls are nested more than %d deep", maxDepth)
	}
	value, ok := s.targets.Load(head.TargetID)
	if !ok {
		return nil, verdict.NotRunErrorf(verdict.NoTarget, "target %q is not here", head.TargetID)
	}
	target := value.(*localTarget)
	record := target.record.Load()
	if record.Service != head.Service || record.Version != head.Version {
		return nil, verdict.NotRunErrorf(verdict.NoTarget, "target %q is of another service or version", head.TargetID)
	}
	switch record.State {
	case membership.Ready:
	case membership.Draining:
		return nil, verdict.NotRunErrorf(verdict.Draining, "target %q is draining", head.TargetID)
	default:
		return nil, verdict.NotRunErrorf(verdict.NoTarget, "target %q is not ready", head.TargetID)
	}
	if err := s.checkEntitlement(head); err != nil {
		return nil, err
	}
	if !request.isWhole {
		request.hashBody()
	} else if !s.deps.Quarantine.Empty() {
		return target, refuseQuarantined(s.deps.Quarantine.Remaining(request.fingerprint()))
	}
	return target, nil
}

// checkEntitlement decides by this node's configuration unless the entry node
// had a newer one, which may contain customers that this node does not know yet.
func (s *TargetHandler) checkEntitlement(head *callHead) *verdict.Error {
	snapshot := s.deps.Snapshot()
	if snapshot == nil || snapshot.Version() <= head.ConfigVersion {
		return nil
	}
	if table := s.deps.RoutingTable(); table != nil && table.Snapshot().Version() > head.ConfigVersion {
		customer := table.Customer(head.Customer)
		if customer == nil {
			return verdict.NotRunErrorf(verdict.NotEntitled, "customer %q no longer exists", head.Customer)
		}
		if table.Snapshot().IsEntitled(customer.Plan, head.Service, head.Route) {
			return nil
		}
	}
	if snapshot.IsEntitled(head.Plan, head.Service, head.Route) {
		return nil
	}
	return verdict.NotRunErrorf(verdict.NotEntitled,
		"plan %q no longer allows route %q of service %q", head.Plan, head.Route, head.Service)
}

// report passes on what this side saw. f is nil if the target got nothing.
func (s *TargetHandler) report(request *targetRequest, f *forwarding, err *verdict.Error) {
	now, head := s.deps.Now(), request.head
	observed := observation.Call{
		Reporter: observation.ReporterTargetNode, EndTime: now, Customer: head.Customer, Service: head.Service,
		Route: head.Route, Department: head.Department, Version: head.Version,
	}
	if f != nil {
		observed.Status, observed.Latency = f.status, now.Sub(f.call.started)
	}
	if err != nil {
		observed.Code, observed.Verdict = err.Code, err.Verdict
		observed.TargetCrashed = err.Code == verdict.TargetCrashed
		if observed.Status == 0 {
			observed.Status = err.Code.HTTPStatus()
		}
	}
	s.deps.Observer.Observe(observed)
	if err != nil || head.Sampled {
		fields := map[string]string{
			"side": "target", "target": head.TargetID, "service": head.Service, "version": head.Version,
		}
		addError(fields, err)
		s.deps.Timeline.Record(timeline.Event{Kind: eventServed, RequestID: head.RequestID, Fields: fields})
	}
}

// ctxFailure returns the error of a call whose context has ended.
func ctxFailure(ctx context.Context, v verdict.Verdict) *verdict.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return &verdict.Error{Code: verdict.DeadlineExceeded, Verdict: v, Detail: "the deadline has passed"}
	}
	return &verdict.Error{Code: verdict.Canceled, Verdict: v, Detail: "the caller gave up"}
}

var _ http.Handler = (*EntryHandler)(nil)
