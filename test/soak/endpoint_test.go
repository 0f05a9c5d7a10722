package soak_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/azurespring/azurespring/platform/platformtest"
)

// Ways in which an endpoint misbehaves.
const (
	sound int32 = iota
	failing
	hanging
	cutting
	shedding
	slow
	misbehaviours
)

// endpointSlots is the number of requests that an endpoint runs at once.
const endpointSlots = 8

// endpoint is one start of an application endpoint.
type endpoint struct {
	*platformtest.Endpoint
	machine *machine
	mode    atomic.Int32
	// leaving is when the node acknowledged that the endpoint leaves, in Unix ns.
	leaving atomic.Int64
	cancel  context.CancelFunc
}

// startEndpoint starts an endpoint that announces itself until stop. clockStep shifts
// the time of day that it knows, in milliseconds: it gives its own start.
func startEndpoint(m *machine, id string, clockStep int64) (*endpoint, error) {
	e := &endpoint{Endpoint: &platformtest.Endpoint{
		ID: id, Service: m.service, Version: "v1", Slots: endpointSlots, ClockOffset: time.Duration(clockStep) * time.Millisecond,
	}, machine: m}
	e.Handler = e.run
	if err := e.Start(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go e.announce(ctx)
	return e, nil
}

func (e *endpoint) announce(ctx context.Context) {
	ticker := time.NewTicker(250 * time.Millisecond)
	defer ticker.Stop()
	for {
		// Drawn before the call: the state may change while it is on its way.
		leaves := e.State() == "draining"
		bounded, cancel := context.WithTimeout(ctx, time.Second)
		status, err := e.Announce(bounded, e.machine.control)
		cancel()
		if err == nil && status == http.StatusOK && leaves {
			e.leaving.CompareAndSwap(0, time.Now().UnixNano())
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (e *endpoint) stop() {
	e.cancel()
	e.Close()
}

// leave drains the endpoint and takes it away, as in a planned replacement.
func (e *endpoint) leave() {
	e.SetState("draining")
	for end := time.Now().Add(4 * time.Second); e.leaving.Load() == 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(drain + 500*time.Millisecond)
	e.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// Without an acknowledgement the endpoint ends all the same.
	_, _ = e.Deregister(ctx, e.machine.control)
	e.stop()
}

// run serves one request and records it.
func (e *endpoint) run(w http.ResponseWriter, r *http.Request) {
	mode := e.mode.Load()
	if rand.IntN(3) == 0 {
		mode = sound // Part of the requests succeed all the same.
	}
	id := r.Header.Get(platformtest.HeaderRequestID)
	deadline, err := strconv.ParseFloat(r.Header.Get(platformtest.HeaderDeadline), 64)
	if err != nil {
		deadline = -1
	}
	e.machine.fleet.ledger.ran(id, run{
		at: time.Now(), endpoint: e, mode: mode, path: r.URL.Path, caller: r.Header.Get(platformtest.HeaderCallerService),
		deadline: time.Duration(deadline * float64(time.Millisecond)),
	})
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	work := 5*time.Millisecond + rand.N(20*time.Millisecond)
	switch mode {
	case failing:
		e.Sign(w, r)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case hanging:
		<-r.Context().Done()
		return
	case cutting:
		e.Sign(w, r)
		w.Header().Set("Content-Length", "100000")
		_, _ = io.WriteString(w, body(id, 20000))
		panic(http.ErrAbortHandler)
	case shedding:
		e.machine.fleet.ledger.shed(id)
		w.Header().Set(platformtest.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case slow:
		work *= 20
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	size := 200
	if strings.HasPrefix(r.URL.Path, "/download") {
		size = 120_000
	}
	e.Sign(w, r)
	_, _ = io.WriteString(w, body(id, size))
}

// body is the whole answer to a request: its id again and again.
func body(id string, size int) string { return strings.Repeat(id+" ", size/(len(id)+1)) }
