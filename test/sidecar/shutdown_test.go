package sidecar_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/platform/platformtest"
)

// longRouteRule routes /safe/ with a timeout that is longer than a graceful shutdown.
func longRouteRule() string {
	return strings.Replace(routeRule("safe", "/safe/", `"kind":"safe"`), `"3000ms"`, `"30000ms"`, 1)
}

// Guards against a node that begins requests with a deadline after its own end and closes
// their connections without a response.
func TestRequestIsAnsweredBeforeItsNodeStops(t *testing.T) {
	for _, c := range []struct {
		name string
		// remote is set if the endpoint is at another instance than the stopping node.
		remote bool
		// afterSignal is set if the request is sent once the node is stopping.
		afterSignal bool
		// waits is set if all slots of the endpoint are taken.
		waits bool
	}{
		{"running at a remote endpoint, sent before the stop", true, false, false},
		{"running at a remote endpoint, sent during the stop", true, true, false},
		{"running at the local endpoint, sent during the stop", false, true, false},
		{"waiting for a remote endpoint, sent before the stop", true, false, true},
		{"waiting for a remote endpoint, sent during the stop", true, true, true},
		{"waiting for the local endpoint, sent during the stop", false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			arrived := make(chan string, 8)
			e := endpoint("e")
			e.Slots = 1
			e.Handler = func(_ http.ResponseWriter, r *http.Request) {
				arrived <- r.Header.Get(platformtest.HeaderRequestID)
				<-r.Context().Done()
			}
			endpointNode := f.addNode("a", e)
			other := f.addNode("a", &platformtest.Endpoint{ID: "other", Service: "t", Version: "v1"})
			f.storeConfiguration(longRouteRule())
			f.waitUntilReady()
			f.waitUntil("the configuration is active everywhere", func() bool {
				return endpointNode.gauge("configuration_version") == float64(f.version) && other.gauge("configuration_version") == float64(f.version)
			})
			stopping := endpointNode
			if c.remote {
				stopping = other
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			send := func(n *testNode, id string) <-chan result {
				r := n.request(ctx, http.MethodGet, "/safe/x", id, nil)
				r.Header.Set(platformtest.HeaderDeadline, "25000")
				done := make(chan result, 1)
				go func() { done <- do(r) }()
				return done
			}
			if c.waits {
				// The request that takes the slot enters at the endpoint's node, or, if that
				// stops, at the other one.
				holder := endpointNode
				if !c.remote {
					holder = other
				}
				send(holder, "holder")
				assert.Equal(t, <-arrived, "holder")
			}
			if c.afterSignal {
				stopping.stop()
				f.waitUntil("the node is stopping", func() bool { return !stopping.isReady() })
			}
			done := send(stopping, "id")
			if c.waits {
				f.waitUntil("the request waits", func() bool { return endpointNode.gauge("endpoints_waiting") == 1 })
			} else {
				assert.Equal(t, <-arrived, "id")
			}
			if !c.afterSignal {
				stopping.stop()
			}
			got := <-done
			assert.NilError(t, got.err, "the connection was closed without a response")
			want := []int{http.StatusBadGateway, http.StatusGatewayTimeout}
			if c.waits && c.afterSignal {
				want = []int{http.StatusServiceUnavailable}
			}
			assert.Assert(t, slices.Contains(want, got.status), "status %d, want one of %d", got.status, want)
			<-stopping.done
			assert.Equal(t, len(stopping.log.events("connection_cut")), 0)
		})
	}
}

// Guards against a connection to a client that is closed without a response because
// another node reports that a call was canceled.
func TestCancellationReportedByAnotherNodeIsAnswered(t *testing.T) {
	for _, c := range []struct {
		notRun bool
		status int
	}{{true, http.StatusServiceUnavailable}, {false, http.StatusBadGateway}} {
		t.Run(fmt.Sprint("not run ", c.notRun), func(t *testing.T) {
			f := newFleet(t)
			n := f.addNode("a", &platformtest.Endpoint{ID: "other", Service: "t", Version: "v1"})
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Azurespring-Hop-Error", fmt.Sprintf(`{"code":"canceled","notRun":%v,"detail":"the caller gave up"}`, c.notRun))
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			t.Cleanup(peer.Close)
			f.store.Put("azurespring-mesh", "instance-peer", fmt.Sprintf(`{"name":"peer","address":%q,"failureDomain":"a","region":"r-a",`+
				`"endpoints":[{"id":"e","service":"s","version":"v1","slots":1}]}`, strings.TrimPrefix(peer.URL, "http://")))
			f.waitUntil("the node knows the endpoint", func() bool { return n.gauge("instances_known") == 2 })
			got := n.post("/unsafe/x", "id")
			assert.NilError(t, got.err, "the connection was closed without a response")
			assert.Equal(t, got.status, c.status)
		})
	}
}

// Guards against a request that entered before the shutdown, whose body is still being
// read, and whose connection is closed at the end of the process without a response.
func TestRequestWithUnfinishedBodyIsAnsweredBeforeItsNodeStops(t *testing.T) {
	f := newFleet(t)
	n := f.addNode("a", endpoint("e"))
	f.storeConfiguration(longRouteRule())
	f.waitUntilReady()
	f.waitUntil("the configuration is active", func() bool { return n.gauge("configuration_version") == float64(f.version) })
	c := n.dial(t)
	_, err := fmt.Fprintf(c, "POST /safe/x HTTP/1.1\r\nHost: h.example\r\n%s: id\r\n%s: 25000\r\nContent-Length: 10\r\n\r\nhalf",
		platformtest.HeaderRequestID, platformtest.HeaderDeadline)
	assert.NilError(t, err)
	f.waitUntil("the request is in flight", func() bool { return n.gauge("requests_in_flight") == 1 })
	n.stop()
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err, "the connection was closed without a response")
	_ = response.Body.Close()
	<-n.done
	assert.Equal(t, len(n.log.events("connection_cut")), 0)
}

// Guards against a stopping node that begins a request late which may outlast it, instead
// of rejecting it at once.
func TestLateRequestThatOutlastsTheNodeIsRejectedAtOnce(t *testing.T) {
	f := newFleet(t)
	running := make(chan struct{}, 1)
	e := endpoint("e")
	e.Handler = func(_ http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		<-r.Context().Done()
	}
	n := f.addNode("a", e)
	f.storeConfiguration(longRouteRule())
	f.waitUntilReady()
	f.waitUntil("the configuration is active", func() bool { return n.gauge("configuration_version") == float64(f.version) })
	send := func(id string) <-chan result {
		r := n.request(context.Background(), http.MethodGet, "/safe/x", id, nil)
		r.Header.Set(platformtest.HeaderDeadline, "25000")
		done := make(chan result, 1)
		go func() { done <- do(r) }()
		return done
	}
	held := send("held") // Keeps the node from ending early.
	<-running
	stopped := time.Now()
	n.stop()
	time.Sleep(time.Until(stopped.Add(n.settings.GracePeriod * 6 / 10)))
	got := <-send("late")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, e.RunCount(), 1)
	assert.NilError(t, (<-held).err)
}
