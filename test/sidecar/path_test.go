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

// remote returns a fleet whose only endpoint of service s is one hop away from
// the node returned.
func remote(t *testing.T, e *platformtest.Endpoint) (*fleet, *node) {
	t.Helper()
	f := newFleet(t)
	entry := f.add("a", &platformtest.Endpoint{ID: "other", Service: "t", Version: "v1"})
	f.add("a", e)
	f.ready()
	return f, entry
}

// Guards against requests and answers that are changed on their way, and against
// headers that endpoints rely on.
func TestRequestsAndAnswersPassUnchanged(t *testing.T) {
	e := endpoint("e")
	e.Handler = func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		e.Sign(w, r)
		w.Header().Set("X-Own", "kept")
		w.WriteHeader(http.StatusCreated)
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
	}
	_, entry := remote(t, e)
	r := entry.request(context.Background(), http.MethodPost, "/unsafe/a%2Fb?q=1", "id1", strings.NewReader("body"))
	r.Header.Set(platformtest.HeaderCallerService, "forged")
	r.Header.Set("X-Client", "kept")
	r.Header.Set("Azurespring-Hop-Terms", "forged")
	a := do(r)
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusCreated)
	assert.Equal(t, a.body, "POST /unsafe/a%2Fb?q=1 body")
	assert.Equal(t, a.header.Get("X-Own"), "kept")
	assert.Equal(t, a.header.Get(platformtest.HeaderSignature), "sig.e.id1")
	for name := range a.header {
		assert.Assert(t, !strings.HasPrefix(name, "Azurespring-Hop"), name)
	}
	seen := e.Requests()[0].Header
	assert.Equal(t, seen.Get(platformtest.HeaderCallerService), "t")
	assert.Equal(t, seen.Get(platformtest.HeaderExpectedEndpoint), "e")
	assert.Equal(t, seen.Get("X-Client"), "kept")
	assert.Equal(t, seen.Get("Accept-Encoding"), "")
	left, err := strconv.Atoi(seen.Get(platformtest.HeaderDeadline))
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 2000, "%d", left)
	assert.Equal(t, entry.get("/nowhere/", "id2").status, http.StatusNotFound)
}

// Guards against a success that is no endpoint's, against a refusal that says
// that a request has not run although it may have, and against a second run of a
// request that may run once.
func TestFaultyEndpoints(t *testing.T) {
	cut := func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }
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
		{"breaks off once", func(e *platformtest.Endpoint, first bool, w http.ResponseWriter, r *http.Request) {
			if first {
				cut(w, r)
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
		{"fails with a status that promises not to have run", func(e *platformtest.Endpoint, _ bool, w http.ResponseWriter, r *http.Request) {
			e.Sign(w, r)
			w.WriteHeader(http.StatusServiceUnavailable)
		}, want{503, 2}, want{502, 1}},
		{"answers without a signature", func(_ *platformtest.Endpoint, _ bool, w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "not mine")
		}, want{502, 2}, want{502, 1}},
		{"sends half of its answer once", func(e *platformtest.Endpoint, first bool, w http.ResponseWriter, r *http.Request) {
			e.Sign(w, r)
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "12345")
			if !first {
				_, _ = io.WriteString(w, "67890")
			}
		}, want{200, 2}, want{502, 1}},
		{"fails of its own", func(e *platformtest.Endpoint, first bool, w http.ResponseWriter, r *http.Request) {
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
				f.add("a", e)
			}
			f.ready()
			runs := func() int { return endpoints[0].RunCount() + endpoints[1].RunCount() }
			a := f.nodes[0].get("/safe/x", "id1")
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, c.safe.status)
			assert.Equal(t, runs(), c.safe.runs)
			before := runs()
			calls.Store(0)
			a = f.nodes[0].post("/unsafe/x", "id2")
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, c.unsafe.status)
			assert.Equal(t, runs()-before, c.unsafe.runs)
		})
	}
}

// Guards against endpoints that work on for clients that have left, also where
// further requests of the client wait behind the first.
func TestClientThatLeavesEndsItsWork(t *testing.T) {
	for _, behind := range []int{0, 3} {
		t.Run(fmt.Sprint(behind, " behind"), func(t *testing.T) {
			arrived, ended := make(chan struct{}, 8), make(chan struct{}, 8)
			e := endpoint("e")
			e.Handler = func(_ http.ResponseWriter, r *http.Request) {
				arrived <- struct{}{}
				<-r.Context().Done()
				ended <- struct{}{}
				panic(http.ErrAbortHandler)
			}
			_, entry := remote(t, e)
			c := entry.dial(t)
			ids := []string{"id0", "id1", "id2", "id3"}
			c.send(t, "/safe/x", ids[:behind+1]...)
			<-arrived
			started := time.Now()
			assert.NilError(t, c.Close())
			select {
			case <-ended:
			case <-time.After(deadline):
				t.Fatalf("with %d requests behind: the endpoint still works", behind)
			}
			assert.Assert(t, time.Since(started) < 1500*time.Millisecond, "the end took until the deadline")
		})
	}
}

// Guards against answers that overtake each other on one connection.
func TestPipelinedAnswersKeepTheirOrder(t *testing.T) {
	e := endpoint("e")
	e.Handler = func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platformtest.HeaderRequestID) == "id0" {
			time.Sleep(50 * time.Millisecond)
		}
		e.Sign(w, r)
	}
	_, entry := remote(t, e)
	c := entry.dial(t)
	ids := []string{"id0", "id1", "id2"}
	c.send(t, "/safe/x", ids...)
	for _, id := range ids {
		assert.Equal(t, c.read(t).header.Get(platformtest.HeaderRequestID), id)
	}
}

// Replays clients that send requests one behind the other, and guards against
// requests that wait for the work on those in front of them.
func TestPipelinedRequestsAreWorkedOnTogether(t *testing.T) {
	const together = 4
	var arrived sync.WaitGroup
	arrived.Add(together)
	e := endpoint("e")
	e.Slots = together
	e.Handler = func(w http.ResponseWriter, r *http.Request) {
		arrived.Done()
		arrived.Wait()
		e.Sign(w, r)
	}
	_, entry := remote(t, e)
	c := entry.dial(t)
	ids := []string{"id0", "id1", "id2", "id3"}
	c.send(t, "/safe/x", ids...)
	for _, id := range ids {
		a := c.read(t)
		assert.Equal(t, a.status, http.StatusOK)
		assert.Equal(t, a.header.Get(platformtest.HeaderRequestID), id)
	}
}

// Guards against bytes that are no request and harm a node or get a silent end.
func TestMalformedRequests(t *testing.T) {
	_, entry := remote(t, endpoint("e"))
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
		conn := entry.dial(t)
		_, _ = io.WriteString(conn, c.bytes)
		a := conn.read(t)
		assert.Equal(t, a.status, c.status, "%.40q", c.bytes)
		assert.Assert(t, a.closes, "%.40q", c.bytes)
	}
}

// Guards against bodies that are mixed up with the next request, whatever their
// framing and whether or not the endpoint reads them.
func TestBodiesOnOneConnection(t *testing.T) {
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
	_, entry := remote(t, e)
	c := entry.dial(t)
	for i, size := range []int{0, 10, 100_000, 200_000} {
		for _, chunked := range []bool{false, true} {
			head := fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\n%s: id%d%v\r\n%s: 2000\r\n",
				platformtest.HeaderRequestID, i, chunked, platformtest.HeaderDeadline)
			body := strings.Repeat("b", size)
			if chunked {
				chunk := ""
				if size > 0 {
					chunk = fmt.Sprintf("%x\r\n%s\r\n", size, body)
				}
				_, _ = io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n"+chunk+"0\r\n\r\n")
			} else {
				_, _ = io.WriteString(c, head+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body))
			}
			a := c.read(t)
			assert.Equal(t, a.status, http.StatusOK, "%d bytes, chunked %v", size, chunked)
			assert.Equal(t, a.body, strconv.Itoa(size), "chunked %v", chunked)
		}
	}
}

// Guards against an answer that ends early and looks complete.
func TestLongAnswerThatIsCutDoesNotLookWhole(t *testing.T) {
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
			_, entry := remote(t, e)
			a := entry.get("/download/x", "id")
			assert.Assert(t, a.err != nil, "length %q: %d bytes with status %d look whole", length, len(a.body), a.status)
		})
	}
}

// Guards against work that is held until the client's deadline although it can
// get no answer, and against a request held beyond its route's timeout.
func TestRefusalsComeAtOnce(t *testing.T) {
	f := newFleet(t)
	n := f.add("a", &platformtest.Endpoint{ID: "other", Service: "t", Version: "v1"})
	f.ready()
	started := time.Now()
	a := n.post("/unsafe/x", "id")
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 0 && seconds < 1)
	assert.Assert(t, time.Since(started) < time.Second)
}

// Guards against requests that a slow endpoint keeps beyond the route's timeout.
func TestTimeoutOfRoute(t *testing.T) {
	e := endpoint("e")
	e.Handler = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	f, entry := remote(t, e)
	f.configure(strings.Replace(route("unsafe", "/unsafe/", `"kind":"unsafe"`), `"3000ms"`, `"300ms"`, 1))
	f.wait("the configuration is in force", func() bool { return len(entry.output.lines("configuration_activated")) > 1 })
	started := time.Now()
	a := entry.post("/unsafe/x", "id")
	assert.Equal(t, a.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(started) < 1500*time.Millisecond)
	assert.Equal(t, e.RunCount(), 1)
}

// Guards against requests to an endpoint whose end was acknowledged: the node's
// next process took a late announcement for a new endpoint.
func TestAcknowledgedDeregistrationSurvivesRestart(t *testing.T) {
	f := newFleet(t)
	leaving, other := endpoint("leaving"), endpoint("other")
	n := f.add("a", leaving)
	f.add("b", other)
	f.ready()
	n.stop()
	status, err := leaving.Deregister(context.Background(), n.settings.ControlAddress)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	<-n.done
	runs := leaving.RunCount()
	// The endpoint's announcements go on as if they were late.
	f.start(n)
	f.wait("the node is ready again", n.isReady)
	for i := range 50 {
		a := f.nodes[i%2].get("/safe/x", fmt.Sprint("id", i))
		assert.NilError(t, a.err)
	}
	assert.Equal(t, leaving.RunCount(), runs, "an endpoint that has ended got requests")
}

// Guards against an endpoint that stays unused after its node was replaced until
// it announces itself again, and against calls that reach a stopping node.
func TestEndpointIsUsedAfterARestartOfItsNode(t *testing.T) {
	f := newFleet(t)
	entry := f.add("a", &platformtest.Endpoint{ID: "other", Service: "t", Version: "v1"})
	n := f.add("a", endpoint("e"))
	f.ready()
	n.stop()
	<-n.done
	a := entry.get("/safe/x", "id1")
	assert.Equal(t, a.status, http.StatusServiceUnavailable, "the endpoint's node is away")
	f.run(n)
	f.wait("the endpoint answers without a new announcement", func() bool { return entry.get("/safe/x", "id2").status == http.StatusOK })
}

// Guards against a stop that cuts requests which were begun behind another one of
// the same client: the answer in front closed the connection.
func TestStopAnswersAllPipelinedRequests(t *testing.T) {
	var arrived sync.WaitGroup
	arrived.Add(3)
	release := make(chan struct{})
	e := endpoint("e")
	e.Handler = func(w http.ResponseWriter, r *http.Request) {
		arrived.Done()
		<-release
		e.Sign(w, r)
	}
	_, entry := remote(t, e)
	c := entry.dial(t)
	c.send(t, "/safe/x", "id0", "id1", "id2")
	arrived.Wait()
	entry.stop()
	for entry.isReady() {
		time.Sleep(time.Millisecond)
	}
	close(release)
	for i := range 3 {
		a := c.read(t)
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, http.StatusOK)
		assert.Equal(t, a.closes, i == 2, "answer %d", i)
	}
}
