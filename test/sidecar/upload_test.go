package sidecar_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/platform/platformtest"
)

// uploadBody returns a body without repetitions within the sizes of buffers.
func uploadBody(size int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		_, _ = fmt.Fprintf(&b, "%d,", i)
	}
	return b.Bytes()[:size]
}

func digest(body []byte) string { return fmt.Sprintf("%d %x", len(body), sha256.Sum256(body)) }

// uploadEndpoint returns an endpoint that responds with the digest of the body. A body
// that it cannot read completely is recorded as truncated.
func uploadEndpoint(id string) (e *platformtest.Endpoint, truncated func() []string) {
	var mu sync.Mutex
	var ids []string
	e = endpoint(id)
	e.Handler = func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			mu.Lock()
			ids = append(ids, r.Header.Get(platformtest.HeaderRequestID))
			mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		e.Sign(w, r)
		_, _ = io.WriteString(w, digest(body))
	}
	return e, func() []string {
		mu.Lock()
		defer mu.Unlock()
		return append([]string(nil), ids...)
	}
}

// storeUploadRoute adds a route of kind upload.
func (f *fleet) storeUploadRoute() {
	f.storeConfiguration(routeRule("safe", "/safe/", `"kind":"safe"`), routeRule("upload", "/upload/", `"kind":"upload"`))
	for _, n := range f.nodes {
		f.waitUntil("the route is active", func() bool { return n.get("/upload/x", "probe").status != http.StatusNotFound })
	}
}

// withoutLength hides the size of a body, so that it is sent in chunks.
type withoutLength struct{ io.Reader }

// Bodies of any size must reach the endpoint unchanged, over a hop and locally, with a
// length and in chunks.
func TestUploadsPassUnchanged(t *testing.T) {
	for _, remote := range []bool{false, true} {
		t.Run(fmt.Sprint("remote ", remote), func(t *testing.T) {
			e, _ := uploadEndpoint("e")
			f, entryNode := startRemoteEndpoint(t, e)
			if !remote {
				entryNode = f.nodes[1]
			}
			f.storeUploadRoute()
			for i, size := range []int{1, 16 << 10, 64<<10 - 1, 64 << 10, 64<<10 + 1, 360_000, 3 << 20} {
				for _, hasLength := range []bool{true, false} {
					body := uploadBody(size)
					reader := io.Reader(bytes.NewReader(body))
					if !hasLength {
						reader = withoutLength{reader}
					}
					got := do(entryNode.request(context.Background(), http.MethodPost, "/upload/x", fmt.Sprint("id", i, hasLength), reader))
					assert.NilError(t, got.err)
					assert.Equal(t, got.status, http.StatusOK, "%d bytes: %s", size, got.body)
					assert.Equal(t, got.body, digest(body))
				}
			}
		})
	}
}

// A node whose endpoint takes no requests must reject an upload before its body is sent,
// so that another endpoint gets the body whole.
func TestRejectedUploadGoesToAnotherEndpoint(t *testing.T) {
	f := newFleet(t)
	entryNode := f.addNode("a", &platformtest.Endpoint{ID: "other", Service: "t", Version: "v1"})
	leaving, _ := uploadEndpoint("leaving")
	leavingNode := f.addNode("a", leaving)
	staying, _ := uploadEndpoint("staying")
	f.addNode("b", staying)
	f.waitUntilReady()
	f.storeUploadRoute()
	f.store.SuspendWatches() // The entry node still sends to the endpoint that is leaving.
	leaving.SetState("draining")
	f.waitUntil("the endpoint's node knows that it is leaving", func() bool {
		status, err := leaving.Announce(context.Background(), leavingNode.settings.ControlAddress)
		return err == nil && status == http.StatusOK
	})
	body := uploadBody(360_000)
	got := do(entryNode.request(context.Background(), http.MethodPost, "/upload/x", "id1", bytes.NewReader(body)))
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Equal(t, got.body, digest(body))
	assert.Equal(t, len(entryNode.log.events("try_failed")), 1, "the upload was not rejected first")
}

// A body that stalls or is cut must not look complete to the endpoint, and a client that
// still waits must get its response by the deadline.
func TestUnfinishedUploadNeverLooksComplete(t *testing.T) {
	for _, remote := range []bool{false, true} {
		t.Run(fmt.Sprint("remote ", remote), func(t *testing.T) {
			e, truncated := uploadEndpoint("e")
			f, entryNode := startRemoteEndpoint(t, e)
			if !remote {
				entryNode = f.nodes[1]
			}
			f.storeUploadRoute()
			before := e.RunCount()
			for _, c := range []struct {
				name, framing string
				body          string
				// closes is set if the client ends its side of the connection within the body.
				closes bool
			}{
				{"cut with a length", "Content-Length: 200000", strings.Repeat("x", 150_000), true},
				{"cut in chunks", "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", 150_000, strings.Repeat("x", 150_000)), true},
				{"stalled with a length", "Content-Length: 200000", strings.Repeat("x", 150_000), false},
				{"stalled in chunks", "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", 150_000, strings.Repeat("x", 150_000)), false},
			} {
				conn := entryNode.dial(t)
				_, err := fmt.Fprintf(conn, "POST /upload/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 700\r\n%s\r\n\r\n%s",
					platformtest.HeaderRequestID, c.name, platformtest.HeaderDeadline, c.framing, c.body)
				assert.NilError(t, err)
				if c.closes {
					assert.NilError(t, conn.Conn.(*net.TCPConn).CloseWrite())
					continue
				}
				got := conn.read(t)
				assert.Assert(t, got.status == http.StatusGatewayTimeout || got.status == http.StatusBadGateway, "%s: %d %s", c.name, got.status, got.body)
			}
			f.waitUntil("the endpoint has noticed each unfinished body", func() bool { return len(truncated()) == e.RunCount()-before })
			assert.Assert(t, e.RunCount()-before >= 2, "no unfinished body reached the endpoint")
		})
	}
}

// A small body in chunks whose client leaves before its end must not run as if the part that
// arrived were the whole. net/http reports such an end and io.ReadFull a short body alike.
func TestCutBodyInChunksIsNotRun(t *testing.T) {
	const requests = 20
	for _, remote := range []bool{false, true} {
		t.Run(fmt.Sprint("remote ", remote), func(t *testing.T) {
			e, truncated := uploadEndpoint("e")
			f, entryNode := startRemoteEndpoint(t, e)
			if !remote {
				entryNode = f.nodes[1]
			}
			send := func(id, rest string) *rawConn {
				conn := entryNode.dial(t)
				_, err := fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 2000\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n%s",
					platformtest.HeaderRequestID, id, platformtest.HeaderDeadline, rest)
				assert.NilError(t, err)
				return conn
			}
			assert.Equal(t, send("whole", "0\r\n\r\n").read(t).body, digest([]byte("first")))
			for i := range requests {
				conn := send(fmt.Sprint("cut", i), []string{"", "7\r\nsec", "0\r\n"}[i%3])
				assert.NilError(t, conn.Conn.(*net.TCPConn).CloseWrite())
			}
			f.waitUntil("the node has ended all requests", func() bool {
				return len(entryNode.log.events("request_failed"))+len(entryNode.log.events("request_served")) >= requests+1
			})
			assert.Equal(t, e.RunCount(), 1, "a cut body was run")
			assert.Equal(t, len(truncated()), 0)
		})
	}
}

// The limit on bodies must hold for a body in chunks as well: the endpoint must not take
// the part below the limit for the whole.
func TestBodyInChunksBeyondLimitIsRejected(t *testing.T) {
	e, _ := uploadEndpoint("e")
	f, entryNode := startRemoteEndpoint(t, e)
	f.maxBodyBytes = 100_000
	f.storeUploadRoute()
	for _, c := range []struct{ size, status int }{
		{99_999, http.StatusOK}, {100_000, http.StatusOK}, {100_001, http.StatusBadGateway}, {300_000, http.StatusBadGateway},
	} {
		body := uploadBody(c.size)
		got := do(entryNode.request(context.Background(), http.MethodPost, "/upload/x", fmt.Sprint(c.size), withoutLength{bytes.NewReader(body)}))
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, c.status, "%d bytes: %s", c.size, got.body)
	}
	f.maxBodyBytes = 1000
	f.storeUploadRoute()
	f.waitUntil("the lower limit is active", func() bool {
		return do(entryNode.request(context.Background(), http.MethodPost, "/upload/x", "low", withoutLength{bytes.NewReader(uploadBody(1001))})).status == http.StatusBadRequest
	})
}

// An endpoint that responds before it has read the body keeps its connection and reads
// on: it must get neither other bytes nor requests that were within the body.
func TestEarlyResponseLeavesNoBytesBehind(t *testing.T) {
	for _, remote := range []bool{false, true} {
		t.Run(fmt.Sprint("remote ", remote), func(t *testing.T) {
			var mu sync.Mutex
			var ids []string
			e := endpoint("e")
			e.ServeConn = func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					mu.Lock()
					ids = append(ids, r.Header.Get(platformtest.HeaderRequestID))
					mu.Unlock()
					_, _ = io.WriteString(conn, signedHeader(r)+"Content-Length: 2\r\n\r\nok")
					// Without all of the body, the next bytes would be taken for a request.
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
				}
			}
			f, entryNode := startRemoteEndpoint(t, e)
			if !remote {
				entryNode = f.nodes[1]
			}
			f.storeUploadRoute()
			smuggled := fmt.Sprintf("POST /upload/x HTTP/1.1\r\nHost: h.example\r\n%s: smuggled\r\nContent-Length: 0\r\n\r\n", platformtest.HeaderRequestID)
			for i := range 10 {
				conn := entryNode.dial(t)
				body := strings.Repeat(smuggled, 800_000/len(smuggled))
				go func() {
					_, _ = fmt.Fprintf(conn, "POST /upload/x HTTP/1.1\r\nHost: h.example\r\n%s: early%d\r\n%s: 2000\r\nContent-Length: %d\r\n\r\n%s",
						platformtest.HeaderRequestID, i, platformtest.HeaderDeadline, len(body), body)
				}()
				got := conn.read(t)
				assert.Equal(t, got.status, http.StatusOK, got.body)
				// The node closes the connection, unless it has read all of the body.
				_ = conn.SetReadDeadline(time.Now().Add(time.Second))
				_, _ = io.Copy(io.Discard, conn.reader)
				_ = conn.Close()
				assert.Equal(t, entryNode.post("/upload/x", fmt.Sprint("next", i)).status, http.StatusOK)
			}
			mu.Lock()
			defer mu.Unlock()
			for _, id := range ids {
				assert.Assert(t, id != "smuggled", "a request within a body has reached the endpoint")
			}
		})
	}
}
