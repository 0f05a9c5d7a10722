package sidecar_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/platform/platformtest"
)

// crashingFleet is a fleet whose endpoints crash when they begin to run crashingPath. They
// are back after downtime.
type crashingFleet struct {
	*fleet
	mu      sync.Mutex
	crashes []time.Time
}

const (
	crashingPath = "/safe/crash?order=17"
	downtime     = 300 * time.Millisecond
)

func newCrashingFleet(t *testing.T, nodes int, handle func(e *platformtest.Endpoint, w http.ResponseWriter, r *http.Request)) *crashingFleet {
	t.Helper()
	f := &crashingFleet{fleet: newFleet(t)}
	for i := range nodes {
		e := endpoint(fmt.Sprint("e", i))
		e.Handler = func(w http.ResponseWriter, r *http.Request) {
			if r.RequestURI == crashingPath {
				f.crash(e)
				panic(http.ErrAbortHandler)
			}
			handle(e, w, r)
		}
		f.addNode(fmt.Sprint("d", i%2), e)
	}
	f.waitUntilReady()
	return f
}

// crash ends an endpoint and starts it again after downtime.
func (f *crashingFleet) crash(e *platformtest.Endpoint) {
	if !e.Crash() {
		return
	}
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	f.mu.Unlock()
	time.AfterFunc(downtime, func() {
		if err := e.Restart(); err != nil {
			f.t.Errorf("restart: %v", err)
		}
	})
}

// waitUntilBack waits until all endpoints run again and their nodes know that.
func (f *crashingFleet) waitUntilBack() {
	f.t.Helper()
	for _, n := range f.nodes {
		f.waitUntil("the endpoint is back", func() bool {
			status, err := n.endpoint.Announce(f.t.Context(), n.settings.ControlAddress)
			return err == nil && status == http.StatusOK
		})
	}
	f.waitUntilReady()
}

func sign(e *platformtest.Endpoint, w http.ResponseWriter, r *http.Request) {
	e.Sign(w, r)
	_, _ = fmt.Fprint(w, e.ID)
}

// A request that crashes each endpoint that begins it must be kept from the endpoints,
// whichever node it comes to. It was forwarded each time, and took two endpoints away with
// the requests that they were running.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	const settleWindow, allowedLater = 3 * time.Second, 3
	f := newCrashingFleet(t, 5, sign)
	var last result
	for i, end := 0, time.Now().Add(8*time.Second); time.Now().Before(end); i++ {
		last = f.nodes[i%len(f.nodes)].get(crashingPath, fmt.Sprint("crash", i))
		time.Sleep(200 * time.Millisecond)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Assert(t, len(f.crashes) >= 3)
	later := 0
	for _, at := range f.crashes {
		if at.Sub(f.crashes[2]) > settleWindow {
			later++
		}
	}
	assert.Assert(t, later <= allowedLater, "%d crashes, %d of them long after the third", len(f.crashes), later)
	assert.Equal(t, last.status, http.StatusServiceUnavailable)
	assert.Assert(t, last.header.Get("Retry-After") != "")
	got := f.nodes[0].get("/safe/x", "sound")
	assert.Equal(t, got.status, http.StatusOK, got.body)
}

// A sound request that was running each time when endpoints ended for other reasons must
// still be served: it takes longer until their end than a request that causes it.
func TestRequestRunningAtOtherCrashesIsServed(t *testing.T) {
	started := make(chan *platformtest.Endpoint, 16)
	var isReleased sync.Map
	f := newCrashingFleet(t, 4, func(e *platformtest.Endpoint, w http.ResponseWriter, r *http.Request) {
		if r.RequestURI == "/unsafe/slow" {
			if _, ok := isReleased.Load("all"); !ok {
				started <- e
				<-r.Context().Done()
				return
			}
		}
		sign(e, w, r)
	})
	for i := range 4 {
		done := make(chan result, 1)
		go func() { done <- f.nodes[i].post("/unsafe/slow", fmt.Sprint("slow", i)) }()
		e := <-started
		time.Sleep(150 * time.Millisecond) // The request runs for a while.
		f.crash(e)
		got := <-done
		assert.Equal(t, got.status, http.StatusBadGateway, got.body)
	}
	isReleased.Store("all", true)
	f.waitUntilBack()
	for i, n := range f.nodes {
		got := n.post("/unsafe/slow", fmt.Sprint("again", i))
		assert.Equal(t, got.status, http.StatusOK, got.body)
		assert.Equal(t, len(n.log.events("request_quarantined")), 0)
	}
}

// An endpoint that has crashed must be removed when its connections break, long before its
// announcements are missed: other nodes would still send requests there.
func TestCrashedEndpointIsRemovedAtOnce(t *testing.T) {
	started := make(chan struct{}, 1)
	f := newCrashingFleet(t, 2, func(e *platformtest.Endpoint, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unsafe/held" {
			started <- struct{}{}
			<-r.Context().Done()
			return
		}
		sign(e, w, r)
	})
	done := make(chan result, 1)
	go func() { done <- f.nodes[0].post("/unsafe/held", "held") }()
	<-started
	crashed := f.nodes[0]
	if f.nodes[1].endpoint.RunCount() > f.nodes[0].endpoint.RunCount() {
		crashed = f.nodes[1]
	}
	assert.Assert(t, crashed.endpoint.Crash())
	<-done
	for _, n := range f.nodes {
		f.waitUntil("the endpoint is removed", func() bool {
			lines := n.log.events("endpoints_known")
			return lines[len(lines)-1]["endpoints"] == float64(1)
		})
	}
	assert.Equal(t, len(crashed.log.events("endpoint_silent")), 0, "the endpoint was removed because it was silent")
	assert.Equal(t, len(crashed.log.events("endpoint_crashed")), 1)
}

// An endpoint that has crashed while it ran nothing must be removed at the first request that
// it refuses.
func TestEndpointThatRefusesConnectionsIsRemoved(t *testing.T) {
	f := newCrashingFleet(t, 2, sign)
	crashed := f.nodes[0]
	assert.Assert(t, crashed.endpoint.Crash())
	f.waitUntil("the endpoint is removed", func() bool {
		crashed.get("/safe/x", "id")
		lines := f.nodes[1].log.events("endpoints_known")
		return lines[len(lines)-1]["endpoints"] == float64(1)
	})
	assert.Equal(t, len(crashed.log.events("endpoint_silent")), 0, "the endpoint was removed because it was silent")
	assert.Equal(t, len(crashed.log.events("endpoint_crashed")), 0, "no request was running")
}

// A request that is always sent together with the cause of the crashes looks the same in the
// reports. It must be served as soon as it runs alone.
func TestCompanionOfCrashingRequestIsServed(t *testing.T) {
	const companionPath = "/safe/companion"
	f := newCrashingFleet(t, 5, func(e *platformtest.Endpoint, w http.ResponseWriter, r *http.Request) {
		if r.RequestURI == companionPath {
			select {
			case <-time.After(100 * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		sign(e, w, r)
	})
	for i := range 6 {
		n := f.nodes[i%len(f.nodes)]
		var pair sync.WaitGroup
		pair.Go(func() { n.get(companionPath, fmt.Sprint("companion", i)) })
		pair.Go(func() {
			time.Sleep(10 * time.Millisecond)
			n.get(crashingPath, fmt.Sprint("crash", i))
		})
		pair.Wait()
		time.Sleep(downtime + 300*time.Millisecond)
	}
	for i, n := range f.nodes {
		got := n.get(companionPath, fmt.Sprint("alone", i))
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
}

// A request that is served all the time must never be quarantined, though each crash of an
// endpoint hits it soon after its start.
func TestFrequentRequestIsNotSuspected(t *testing.T) {
	f := newCrashingFleet(t, 4, func(e *platformtest.Endpoint, w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(20 * time.Millisecond):
			sign(e, w, r)
		case <-r.Context().Done():
		}
	})
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i, n := range f.nodes {
		clients.Go(func() {
			for j := 0; ctx.Err() == nil; j++ {
				n.get("/safe/hot", fmt.Sprint("hot", i, "-", j))
			}
		})
	}
	for i := range 8 {
		f.crash(f.nodes[i%len(f.nodes)].endpoint)
		time.Sleep(downtime + 100*time.Millisecond)
	}
	stop()
	clients.Wait()
	for _, n := range f.nodes {
		assert.Equal(t, len(n.log.events("request_quarantined")), 0)
	}
}
