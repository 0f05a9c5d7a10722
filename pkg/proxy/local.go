package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurespring/azurespring/pkg/admission"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/routing"
	"github.com/azurespring/azurespring/pkg/verdict"
)

const (
	// dialTimeout bounds dialing a local target.
	dialTimeout = time.Second
	// idleTimeout is shorter than that of usual HTTP servers, so that a call rarely
	// uses a connection that its target is closing.
	idleTimeout = 3 * time.Second
	// maxResponseHeaderBytes is less than transport.MaxCallHeaderBytes, because the
	// frame also holds the encoding.
	maxResponseHeaderBytes = 48 << 10
	// spareIdleConns is the number of idle connections kept in addition to one per
	// slot.
	spareIdleConns = 8
)

// localTarget is a target on the same instance as this node.
type localTarget struct {
	announced   atomic.Pointer[membership.Target]
	address     string
	now         func() time.Time
	transport   *http.Transport
	conns       connTracker
	expiryTimer *time.Timer

	mu             sync.Mutex
	admissionQueue *admission.Queue
	waiters        map[uint64]chan *verdict.Error // by call ID
	lastCallID     uint64
	inFlightCalls  map[*inFlightCall]struct{}
	crashCheck     *crashCheck
	crashCount     int
	// lastCrashedConnNumber is the number of the newest connection to the process that
	// crashed last. Calls on connections up to it do not record that crash again.
	lastCrashedConnNumber uint64
}

func newLocalTarget(announced membership.Target, address string, now func() time.Time) *localTarget {
	t := &localTarget{
		address: address, now: now, admissionQueue: admission.New(announced.Slots),
		waiters: make(map[uint64]chan *verdict.Error), inFlightCalls: make(map[*inFlightCall]struct{}),
	}
	t.announced.Store(&announced)
	dialer := &net.Dialer{Timeout: dialTimeout}
	t.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, &dialError{cause: err}
			}
			return t.conns.add(conn), nil
		},
		DisableCompression:  true,
		MaxIdleConns:        announced.Slots + spareIdleConns,
		MaxIdleConnsPerHost: announced.Slots + spareIdleConns,
		IdleConnTimeout:     idleTimeout,
		// The response header must fit into one frame.
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return t
}

// update applies a renewed announcement.
func (t *localTarget) update(announced membership.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announced.Store(&announced)
	t.applyEffects(t.admissionQueue.Step(t.now(), admission.Event{Kind: admission.Resize, Slots: announced.Slots}), 0)
}

// drain rejects waiting and new calls.
func (t *localTarget) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyEffects(t.admissionQueue.Step(t.now(), admission.Event{Kind: admission.Drain}), 0)
}

// acquire waits for a slot. It returns an error if the call is rejected or its
// context ends.
func (t *localTarget) acquire(ctx context.Context, request *targetRequest) *verdict.Error {
	t.mu.Lock()
	t.lastCallID++
	callID := t.lastCallID
	isDecided, rejection := t.applyEffects(t.admissionQueue.Step(t.now(), admission.Event{
		Kind: admission.Arrive, CallID: callID, Customer: request.headerFrame.Customer, Weight: request.headerFrame.Weight,
		ServiceTimeClass: request.headerFrame.Route, Deadline: request.deadline,
	}), callID)
	if isDecided {
		t.mu.Unlock()
		return rejection
	}
	decision := make(chan *verdict.Error, 1)
	t.waiters[callID] = decision
	t.mu.Unlock()
	select {
	case rejection := <-decision:
		return rejection
	case <-ctx.Done():
		return t.cancelWait(ctx, callID, decision)
	}
}

// cancelWait removes a waiting call from the queue, or returns the slot if the call
// was admitted in the meantime.
func (t *localTarget) cancelWait(ctx context.Context, callID uint64, decision chan *verdict.Error) *verdict.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, isWaiting := t.waiters[callID]; isWaiting {
		delete(t.waiters, callID)
		t.applyEffects(t.admissionQueue.Step(t.now(), admission.Event{Kind: admission.Cancel, CallID: callID}), 0)
	} else if rejection := <-decision; rejection != nil {
		return rejection
	} else {
		t.applyEffects(t.admissionQueue.Step(t.now(), admission.Event{Kind: admission.Finish}), 0)
	}
	return contextError(ctx, verdict.NotRun)
}

// applyEffects delivers admission decisions to the waiting calls and returns the one
// for call callID.
func (t *localTarget) applyEffects(effects []admission.Effect, callID uint64) (isDecided bool, rejection *verdict.Error) {
	for _, effect := range effects {
		if effect.CallID == callID {
			isDecided, rejection = true, effect.Rejection
			continue
		}
		if decision, ok := t.waiters[effect.CallID]; ok {
			delete(t.waiters, effect.CallID)
			decision <- effect.Rejection
		}
	}
	return isDecided, rejection
}

// addCall registers a call that holds a slot.
func (t *localTarget) addCall(call *inFlightCall) {
	t.mu.Lock()
	t.inFlightCalls[call] = struct{}{}
	t.mu.Unlock()
}

// finishCall returns the slot. Only a call with a complete response counts towards
// the service time.
func (t *localTarget) finishCall(call *inFlightCall, isComplete bool) {
	now := t.now()
	event := admission.Event{Kind: admission.Finish, ServiceTimeClass: call.headerFrame.Route}
	if isComplete {
		event.ServiceTime = max(now.Sub(call.started), 1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlightCalls, call)
	t.applyEffects(t.admissionQueue.Step(now, event), 0)
}

func (t *localTarget) load() routing.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return routing.Load{InFlight: t.admissionQueue.InFlight(), Queued: t.admissionQueue.Queued(), Slots: t.admissionQueue.Slots()}
}

// closeIdleConnections closes idle connections; calls in flight continue.
func (t *localTarget) closeIdleConnections() { t.transport.CloseIdleConnections() }
