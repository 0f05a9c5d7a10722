package soak_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/azurespring/azurespring/platform/platformtest"
)

// Modes in which an endpoint serves requests.
const (
	modeHealthy int32 = iota
	modeFailing
	modeHanging
	modeTruncating
	modeShedding
	modeSlow
	modeCount
)

// endpointSlots is the number of requests that an endpoint runs at once.
const endpointSlots = 8

// endpoint is an application endpoint from its start to its stop.
type endpoint struct {
	*platformtest.Endpoint
	instance *instance
	mode     atomic.Int32
	// drainAcknowledgedAt is when the node acknowledged an announcement of the draining
	// state, in Unix nanoseconds; 0 before that.
	drainAcknowledgedAt atomic.Int64
	cancel              context.CancelFunc
	// isStopped is set before the endpoint closes its connections.
	isStopped atomic.Bool
}

// startEndpoint starts an endpoint that announces itself until stop. clockOffsetMillis shifts
// its wall clock, and with it the start time that it announces.
func startEndpoint(inst *instance, id string, clockOffsetMillis int64) (*endpoint, error) {
	e := &endpoint{Endpoint: &platformtest.Endpoint{
		ID: id, Service: inst.service, Version: "v1", Slots: endpointSlots, ClockOffset: time.Duration(clockOffsetMillis) * time.Millisecond,
	}, instance: inst}
	e.Handler = e.serve
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
		// Read before the call: the state may change while the announcement is in flight.
		isDraining := e.State() == "draining"
		bounded, cancel := context.WithTimeout(ctx, time.Second)
		status, err := e.Announce(bounded, e.instance.control)
		cancel()
		if err == nil && status == http.StatusOK && isDraining {
			e.drainAcknowledgedAt.CompareAndSwap(0, time.Now().UnixNano())
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
	e.isStopped.Store(true)
	e.Close()
}

// drainAndStop drains, deregisters and stops the endpoint, as in a planned replacement.
func (e *endpoint) drainAndStop() {
	e.SetState("draining")
	for end := time.Now().Add(4 * time.Second); e.drainAcknowledgedAt.Load() == 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(drainTimeout + 500*time.Millisecond)
	e.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// The endpoint stops even if the deregistration is not acknowledged.
	_, _ = e.Deregister(ctx, e.instance.control)
	e.stop()
}

// serve records one request and responds according to the endpoint's mode.
func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	mode := e.mode.Load()
	if rand.IntN(3) == 0 {
		mode = modeHealthy // A third of the requests succeed in every mode.
	}
	id := r.Header.Get(platformtest.HeaderRequestID)
	deadline, err := strconv.ParseFloat(r.Header.Get(platformtest.HeaderDeadline), 64)
	if err != nil {
		deadline = -1
	}
	started := &run{
		receivedAt: time.Now(), endpoint: e, mode: mode, path: r.URL.Path, caller: r.Header.Get(platformtest.HeaderCallerService),
		deadline: time.Duration(deadline * float64(time.Millisecond)),
	}
	e.instance.fleet.requestLog.recordRun(id, started)
	defer e.instance.fleet.requestLog.recordRunEnd(started)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	serviceTime, err := time.ParseDuration(path.Base(r.URL.Path))
	if err != nil {
		serviceTime = 5*time.Millisecond + rand.N(20*time.Millisecond)
	}
	switch mode {
	case modeFailing:
		e.Sign(w, r)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case modeHanging:
		<-r.Context().Done()
		return
	case modeTruncating:
		e.Sign(w, r)
		w.Header().Set("Content-Length", "100000")
		_, _ = io.WriteString(w, body(id, 20000))
		panic(http.ErrAbortHandler)
	case modeShedding:
		e.instance.fleet.requestLog.recordShed(id)
		w.Header().Set(platformtest.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case modeSlow:
		serviceTime = max(serviceTime, 20*(5*time.Millisecond+rand.N(20*time.Millisecond)))
	}
	select {
	case <-time.After(serviceTime):
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

// body returns the complete response body of a request: its ID, repeated.
func body(id string, size int) string { return strings.Repeat(id+" ", size/(len(id)+1)) }
