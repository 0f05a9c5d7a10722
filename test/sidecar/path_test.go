package sidecar_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/platform/platformtest"
)

func endpoint(id string) *platformtest.Endpoint {
	return &platformtest.Endpoint{ID: id, Service: "s", Version: "v1"}
}

// startRemoteEndpoint returns a fleet whose only endpoint of service s is e, and an
// entry node that reaches e through another node.
func startRemoteEndpoint(t *testing.T, e *platformtest.Endpoint) (*fleet, *testNode) {
	t.Helper()
	f := newFleet(t)
	entryNode := f.addNode("a", &platformtest.Endpoint{ID: "other", Service: "t", Version: "v1"})
	f.addNode("a", e)
	f.waitUntilReady()
	return f, entryNode
}

// Requests and responses must pass unchanged, and endpoints must receive the headers
// that they rely on, with values set by the node and not by the client. Headers for
// calls between nodes must not reach the client.
func TestRequestsAndResponsesPassUnchanged(t *testing.T) {
	e := endpoint("e")
	e.Handler = func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		e.Sign(w, r)
		w.Header().Set("X-Own", "kept")
		w.WriteHeader(http.StatusCreated)
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
	}
	_, entryNode := startRemoteEndpoint(t, e)
	r := entryNode.request(context.Background(), http.MethodPost, "/unsafe/a%2Fb?q=1", "id1", strings.NewReader("body"))
	r.Header.Set(platformtest.HeaderCallerService, "forged")
	r.Header.Set("X-Client", "kept")
	r.Header.Set("Azurespring-Hop-Terms", "forged")
	got := do(r)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusCreated)
	assert.Equal(t, got.body, "POST /unsafe/a%2Fb?q=1 body")
	assert.Equal(t, got.header.Get("X-Own"), "kept")
	assert.Equal(t, got.header.Get(platformtest.HeaderSignature), "sig.e.id1")
	for name := range got.header {
		assert.Assert(t, !strings.HasPrefix(name, "Azurespring-Hop"), name)
	}
	received := e.Requests()[0].Header
	assert.Equal(t, received.Get(platformtest.HeaderCallerService), "t")
	assert.Equal(t, received.Get(platformtest.HeaderExpectedEndpoint), "e")
	assert.Equal(t, received.Get("X-Client"), "kept")
	assert.Equal(t, received.Get("Accept-Encoding"), "")
	remainingMs, err := strconv.Atoi(received.Get(platformtest.HeaderDeadline))
	assert.NilError(t, err)
	assert.Assert(t, remainingMs > 0 && remainingMs <= 2000, "%d", remainingMs)
	assert.Equal(t, entryNode.get("/nowhere/", "id2").status, http.StatusNotFound)
}

// Only a signed response counts as success. A status that means that the request has
// not run must not be sent if it may have run, and an unsafe request must not be
// retried after it may have run.
func TestFaultyEndpointsGiveCorrectStatusAndRunCount(t *testing.T) {
	truncate := func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }
	type want struct {
		status int
		runs   int
	}
	for _, c := range []struct {
		name   string
		handle func(e *platformtest.Endpoint, first bool, w http.ResponseWriter, r *http.Request)
		safe   want
		unsafe want
	}{
		{"resets the connection once", func(e *platformtest.Endpoint, first bool, w http.ResponseWriter, r *http.Request) {
			if first {
				truncate(w, r)
			}
			e.Sign(w, r)
		}, want{200, 2}, want{502, 1}},
		{"sheds once", func(e *platformtest.Endpoint, first bool, w http.ResponseWriter, r *http.Request) {
			if first {
				w.Header().Set(platformtest.HeaderNotRun, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			e.Sign(w, r)
		}, want{200, 2}, want{200, 2}},
		{"runs the request and responds with a status that means not run", func(e *platformtest.Endpoint, _ bool, w http.ResponseWriter, r *http.Request) {
			e.Sign(w, r)
			w.WriteHeader(http.StatusServiceUnavailable)
		}, want{503, 2}, want{502, 1}},
		{"responds without a signature", func(_ *platformtest.Endpoint, _ bool, w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "not mine")
		}, want{502, 2}, want{502, 1}},
		{"truncates its response once", func(e *platformtest.Endpoint, first bool, w http.ResponseWriter, r *http.Request) {
			e.Sign(w, r)
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "12345")
			if !first {
				_, _ = io.WriteString(w, "67890")
			}
		}, want{200, 2}, want{502, 1}},
		{"responds with an internal error once", func(e *platformtest.Endpoint, first bool, w http.ResponseWriter, r *http.Request) {
			e.Sign(w, r)
			if first {
				w.WriteHeader(http.StatusInternalServerError)
			}
		}, want{200, 2}, want{500, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			var calls atomic.Int64
			var endpoints []*platformtest.Endpoint
			for _, id := range []string{"e1", "e2"} {
				e := endpoint(id)
				e.Handler = func(w http.ResponseWriter, r *http.Request) { c.handle(e, calls.Add(1) == 1, w, r) }
				endpoints = append(endpoints, e)
				f.addNode("a", e)
			}
			f.waitUntilReady()
			runs := func() int { return endpoints[0].RunCount() + endpoints[1].RunCount() }
			got := f.nodes[0].get("/safe/x", "id1")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, c.safe.status)
			assert.Equal(t, runs(), c.safe.runs)
			before := runs()
			calls.Store(0)
			got = f.nodes[0].post("/unsafe/x", "id2")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, c.unsafe.status)
			assert.Equal(t, runs()-before, c.unsafe.runs)
		})
	}
}

// When a client closes its connection, the node must cancel the requests on it, so that
// endpoints stop working on them, also if further pipelined requests of the client wait.
func TestClosedClientConnectionCancelsRequests(t *testing.T) {
	for _, pipelined := range []int{0, 3} {
		t.Run(fmt.Sprint(pipelined, " pipelined"), func(t *testing.T) {
			arrived, canceled := make(chan struct{}, 8), make(chan struct{}, 8)
			e := endpoint("e")
			e.Handler = func(_ http.ResponseWriter, r *http.Request) {
				arrived <- struct{}{}
				<-r.Context().Done()
				canceled <- struct{}{}
				panic(http.ErrAbortHandler)
			}
			_, entryNode := startRemoteEndpoint(t, e)
			c := entryNode.dial(t)
			ids := []string{"id0", "id1", "id2", "id3"}
			c.send(t, "/safe/x", ids[:pipelined+1]...)
			<-arrived
			started := time.Now()
			assert.NilError(t, c.Close())
			select {
			case <-canceled:
			case <-time.After(waitTimeout):
				t.Fatalf("with %d further pipelined requests: the request at the endpoint is not canceled", pipelined)
			}
			assert.Assert(t, time.Since(started) < 1500*time.Millisecond, "the cancellation took until the deadline")
		})
	}
}

// Responses must be sent in the order of the requests on one connection, even if the
// first request takes longer.
func TestPipelinedResponsesKeepRequestOrder(t *testing.T) {
	e := endpoint("e")
	e.Handler = func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platformtest.HeaderRequestID) == "id0" {
			time.Sleep(50 * time.Millisecond)
		}
		e.Sign(w, r)
	}
	_, entryNode := startRemoteEndpoint(t, e)
	c := entryNode.dial(t)
	ids := []string{"id0", "id1", "id2"}
	c.send(t, "/safe/x", ids...)
	for _, id := range ids {
		assert.Equal(t, c.read(t).header.Get(platformtest.HeaderRequestID), id)
	}
}

// Pipelined requests must run concurrently: none may wait until the ones before it on
// the connection have completed.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	const concurrent = 4
	var arrived sync.WaitGroup
	arrived.Add(concurrent)
	e := endpoint("e")
	e.Slots = concurrent
	e.Handler = func(w http.ResponseWriter, r *http.Request) {
		arrived.Done()
		arrived.Wait()
		e.Sign(w, r)
	}
	_, entryNode := startRemoteEndpoint(t, e)
	c := entryNode.dial(t)
	ids := []string{"id0", "id1", "id2", "id3"}
	c.send(t, "/safe/x", ids...)
	for _, id := range ids {
		got := c.read(t)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.header.Get(platformtest.HeaderRequestID), id)
	}
}

// Malformed requests must get an error response, not just a closed connection, and must
// not affect the node. The connection is closed after them and after HTTP/1.0 requests.
func TestMalformedRequestsAreRejectedAndConnectionClosed(t *testing.T) {
	_, entryNode := startRemoteEndpoint(t, endpoint("e"))
	for _, c := range []struct {
		bytes  string
		status int
	}{
		{"garbage\r\n\r\n", http.StatusBadRequest},
		{"GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		{"GET / HTTP/2.0\r\nHost: h\r\n\r\n", http.StatusBadRequest},
		{"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 100<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"GET /safe/x HTTP/1.0\r\nHost: h.example\r\n\r\n", http.StatusOK},
	} {
		conn := entryNode.dial(t)
		_, _ = io.WriteString(conn, c.bytes)
		got := conn.read(t)
		assert.Equal(t, got.status, c.status, "%.40q", c.bytes)
		assert.Assert(t, got.closesConnection, "%.40q", c.bytes)
	}
}

// The end of a body must be recognized whatever its framing, so that it is not mixed up
// with the next request on the connection.
func TestBodiesAreNotMixedUpOnOneConnection(t *testing.T) {
	e := endpoint("e")
	e.Handler = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unsafe/unread" {
			e.Sign(w, r)
			return
		}
		body, _ := io.ReadAll(r.Body)
		e.Sign(w, r)
		_, _ = fmt.Fprint(w, len(body))
	}
	_, entryNode := startRemoteEndpoint(t, e)
	c := entryNode.dial(t)
	for i, size := range []int{0, 10, 100_000, 200_000} {
		for _, chunked := range []bool{false, true} {
			header := fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\n%s: id%d%v\r\n%s: 2000\r\n",
				platformtest.HeaderRequestID, i, chunked, platformtest.HeaderDeadline)
			body := strings.Repeat("b", size)
			if chunked {
				chunk := ""
				if size > 0 {
					chunk = fmt.Sprintf("%x\r\n%s\r\n", size, body)
				}
				_, _ = io.WriteString(c, header+"Transfer-Encoding: chunked\r\n\r\n"+chunk+"0\r\n\r\n")
			} else {
				_, _ = io.WriteString(c, header+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body))
			}
			got := c.read(t)
			assert.Equal(t, got.status, http.StatusOK, "%d bytes, chunked %v", size, chunked)
			assert.Equal(t, got.body, strconv.Itoa(size), "chunked %v", chunked)
		}
	}
}

// A client must be able to detect that a response was truncated.
func TestTruncatedLongResponseIsAnError(t *testing.T) {
	for _, length := range []string{"1000000", ""} {
		t.Run("length "+length, func(t *testing.T) {
			e := endpoint("e")
			e.Handler = func(w http.ResponseWriter, r *http.Request) {
				e.Sign(w, r)
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				_, _ = io.WriteString(w, strings.Repeat("x", 300_000))
				http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			_, entryNode := startRemoteEndpoint(t, e)
			got := entryNode.get("/download/x", "id")
			assert.Assert(t, got.err != nil, "length %q: a truncated response of %d bytes with status %d looks complete", length, len(got.body), got.status)
		})
	}
}

// A request to a service without an endpoint must be rejected at once with Retry-After,
// rather than held until the client's deadline.
func TestRequestWithoutEndpointIsRejectedAtOnce(t *testing.T) {
	f := newFleet(t)
	n := f.addNode("a", &platformtest.Endpoint{ID: "other", Service: "t", Version: "v1"})
	f.waitUntilReady()
	started := time.Now()
	got := n.post("/unsafe/x", "id")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 0 && seconds < 1)
	assert.Assert(t, time.Since(started) < time.Second)
}

// A request to a slow endpoint must end at its route's timeout, before the client's
// deadline.
func TestRouteTimeoutEndsRequest(t *testing.T) {
	e := endpoint("e")
	e.Handler = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	f, entryNode := startRemoteEndpoint(t, e)
	f.storeConfiguration(strings.Replace(routeRule("unsafe", "/unsafe/", `"kind":"unsafe"`), `"3000ms"`, `"300ms"`, 1))
	f.waitUntil("the configuration is active", func() bool { return len(entryNode.log.events("configuration_activated")) > 1 })
	started := time.Now()
	got := entryNode.post("/unsafe/x", "id")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(started) < 1500*time.Millisecond)
	assert.Equal(t, e.RunCount(), 1)
}

// An endpoint whose deregistration was acknowledged must receive no more requests, also
// after its node restarts and receives a late announcement of the endpoint.
func TestAcknowledgedDeregistrationSurvivesRestart(t *testing.T) {
	f := newFleet(t)
	deregistered, other := endpoint("leaving"), endpoint("other")
	n := f.addNode("a", deregistered)
	f.addNode("b", other)
	f.waitUntilReady()
	n.stop()
	status, err := deregistered.Deregister(context.Background(), n.settings.ControlAddress)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	<-n.done
	runs := deregistered.RunCount()
	// The endpoint's announcements continue, as late ones would arrive.
	f.startNode(n)
	f.waitUntil("the node is ready again", n.isReady)
	for i := range 50 {
		got := f.nodes[i%2].get("/safe/x", fmt.Sprint("id", i))
		assert.NilError(t, got.err)
	}
	assert.Equal(t, deregistered.RunCount(), runs, "a deregistered endpoint received requests")
}

// After its node restarts, an endpoint must be used again without a new announcement.
// While the node is down, requests to the endpoint are rejected.
func TestEndpointIsUsedAfterRestartOfItsNode(t *testing.T) {
	f := newFleet(t)
	entryNode := f.addNode("a", &platformtest.Endpoint{ID: "other", Service: "t", Version: "v1"})
	n := f.addNode("a", endpoint("e"))
	f.waitUntilReady()
	n.stop()
	<-n.done
	got := entryNode.get("/safe/x", "id1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable, "the endpoint's node is down")
	f.runNode(n)
	f.waitUntil("the endpoint responds without a new announcement", func() bool { return entryNode.get("/safe/x", "id2").status == http.StatusOK })
}

// A graceful shutdown must complete all pipelined requests of a connection that have
// started: only the last response may close the connection.
func TestShutdownCompletesAllPipelinedRequests(t *testing.T) {
	var arrived sync.WaitGroup
	arrived.Add(3)
	release := make(chan struct{})
	e := endpoint("e")
	e.Handler = func(w http.ResponseWriter, r *http.Request) {
		arrived.Done()
		<-release
		e.Sign(w, r)
	}
	_, entryNode := startRemoteEndpoint(t, e)
	c := entryNode.dial(t)
	c.send(t, "/safe/x", "id0", "id1", "id2")
	arrived.Wait()
	entryNode.stop()
	for entryNode.isReady() {
		time.Sleep(time.Millisecond)
	}
	close(release)
	for i := range 3 {
		got := c.read(t)
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.closesConnection, i == 2, "response %d", i)
	}
}

// Guards against a request that waited for a slot until its route's timeout and is then
// reported as one that may have run, so that the client must not send it again.
func TestRequestThatNeverGotASlotIsReportedAsNotRun(t *testing.T) {
	for _, remote := range []bool{true, false} {
		t.Run(fmt.Sprint("remote ", remote), func(t *testing.T) {
			arrived, release := make(chan struct{}), make(chan struct{})
			e := endpoint("e")
			e.Slots = 1
			e.Handler = func(w http.ResponseWriter, r *http.Request) {
				close(arrived)
				<-release
				e.Sign(w, r)
			}
			f, entryNode := startRemoteEndpoint(t, e)
			holder := f.nodes[1]
			if !remote {
				holder, entryNode = entryNode, holder
			}
			unsafe := routeRule("unsafe", "/unsafe/", `"kind":"unsafe"`)
			f.storeConfiguration(strings.Replace(unsafe, `"3000ms"`, `"20000ms"`, 1), strings.Replace(strings.Replace(unsafe, "/unsafe/", "/unsafe/short/", 1), `"3000ms"`, `"700ms"`, 1))
			for _, n := range f.nodes {
				f.waitUntil("the configuration is active", func() bool { return n.gauge("configuration_version") == float64(f.version) })
			}
			held := make(chan result, 1)
			go func() {
				r := holder.request(context.Background(), http.MethodPost, "/unsafe/x", "held", strings.NewReader("a booking"))
				r.Header.Set(platformtest.HeaderDeadline, "20000")
				held <- do(r)
			}()
			<-arrived
			got := entryNode.post("/unsafe/short/x", "id")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			close(release)
			assert.Equal(t, (<-held).status, http.StatusOK)
			assert.Equal(t, e.RunCount(), 1, "a request that got 503 ran")
		})
	}
}
