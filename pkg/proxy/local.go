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
	// dialTimeout bounds the opening of a connection to a target on this instance.
	dialTimeout = time.Second
	// idleTimeout is shorter than that of usual HTTP servers, so that a call rarely
	// meets a connection that its target is just closing.
	idleTimeout = 3 * time.Second
	// maxAnswerHeaderBytes leaves room for the encoding in a frame of
	// transport.MaxCallHeaderBytes.
	maxAnswerHeaderBytes = 48 << 10
	// spareConns are idle connections kept beyond one per slot.
	spareConns = 8
)

// localTarget is a target beside this node.
type localTarget struct {
	record    atomic.Pointer[membership.Target]
	address   string
	now       func() time.Time
	transport *http.Transport
	conns     connTracker
	expiry    *time.Timer

	mu       sync.Mutex
	queue    *admission.Queue
	waiting  map[uint64]chan *verdict.Error
	nextCall uint64
	serving  map[*inFlight]struct{}
	crash    *crashCheck
	crashes  int
	// crashedUpTo is the newest connection to the process that crashed last, so
	// that calls which notice it later do not count it again.
	crashedUpTo uint64
}

func newLocalTarget(record membership.Target, address string, now func() time.Time) *localTarget {
	t := &localTarget{
		address: address, now: now, queue: admission.New(record.Slots),
		waiting: make(map[uint64]chan *verdict.Error), serving: make(map[*inFlight]struct{}),
	}
	t.record.Store(&record)
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
		MaxIdleConns:        record.Slots + spareConns,
		MaxIdleConnsPerHost: record.Slots + spareConns,
		IdleConnTimeout:     idleTimeout,
		// The head of an answer must fit into its frame.
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
	return t
}

// update takes in a renewed announcement.
func (t *localTarget) update(record membership.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record.Store(&record)
	t.deliver(t.queue.Step(t.now(), admission.Event{Kind: admission.Resize, Slots: record.Slots}), 0)
}

// drain refuses waiting and new calls.
func (t *localTarget) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliver(t.queue.Step(t.now(), admission.Event{Kind: admission.Drain}), 0)
}

// acquire waits for a slot.
func (t *localTarget) acquire(ctx context.Context, request *targetRequest) *verdict.Error {
	t.mu.Lock()
	t.nextCall++
	id := t.nextCall
	done, refusal := t.deliver(t.queue.Step(t.now(), admission.Event{
		Kind: admission.Arrive, CallID: id, Customer: request.head.Customer, Weight: request.head.Weight,
		ServiceTimeClass: request.head.Route, Deadline: request.deadline,
	}), id)
	if done {
		t.mu.Unlock()
		return refusal
	}
	granted := make(chan *verdict.Error, 1)
	t.waiting[id] = granted
	t.mu.Unlock()
	select {
	case refusal := <-granted:
		return refusal
	case <-ctx.Done():
		return t.withdraw(ctx, id, granted)
	}
}

// withdraw takes a waiting call back, or returns the slot that it was granted
// in the meantime.
func (t *localTarget) withdraw(ctx context.Context, id uint64, granted chan *verdict.Error) *verdict.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, waits := t.waiting[id]; waits {
		delete(t.waiting, id)
		t.deliver(t.queue.Step(t.now(), admission.Event{Kind: admission.Cancel, CallID: id}), 0)
	} else if refusal := <-granted; refusal != nil {
		return refusal
	} else {
		t.deliver(t.queue.Step(t.now(), admission.Event{Kind: admission.Finish}), 0)
	}
	return ctxFailure(ctx, verdict.NotRun)
}

// deliver passes effects to the waiting calls and returns that of call own.
func (t *localTarget) deliver(effects []admission.Effect, own uint64) (done bool, refusal *verdict.Error) {
	for _, effect := range effects {
		if effect.CallID == own {
			done, refusal = true, effect.Refusal
			continue
		}
		if granted, ok := t.waiting[effect.CallID]; ok {
			delete(t.waiting, effect.CallID)
			granted <- effect.Refusal
		}
	}
	return done, refusal
}

// enter registers a call that holds a slot.
func (t *localTarget) enter(call *inFlight) {
	t.mu.Lock()
	t.serving[call] = struct{}{}
	t.mu.Unlock()
}

// leave returns the slot. Only whole answers tell a service time.
func (t *localTarget) leave(call *inFlight, whole bool) {
	now := t.now()
	event := admission.Event{Kind: admission.Finish, ServiceTimeClass: call.head.Route}
	if whole {
		event.ServiceTime = max(now.Sub(call.started), 1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.serving, call)
	t.deliver(t.queue.Step(now, event), 0)
}

func (t *localTarget) load() routing.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return routing.Load{InFlight: t.queue.InFlight(), Queued: t.queue.Queued(), Slots: t.queue.Slots()}
}

// close ends idle connections; calls in flight go on.
func (t *localTarget) close() { t.transport.CloseIdleConnections() }
