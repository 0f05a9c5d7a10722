package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// bodyOfRequests returns a body of the given size that consists of complete requests, so
// that a server that loses its place in it takes the rest for further requests. Each has
// 64 bytes: bodies are drained in multiples of that.
func bodyOfRequests(size int) []byte {
	const request = "GET /smuggled HTTP/1.1\r\nHost: h\r\nX-Padding: 0123456789abcdef\r\n\r\n"
	return bytes.Repeat([]byte(request), size/len(request))
}

// startBodyServer starts a server with the given handler and returns a connection to it.
func startBodyServer(t *testing.T, handler http.HandlerFunc) net.Conn {
	t.Helper()
	return startClientServer(t, newClientServer(handler, func() mesh.Limits { return mesh.Limits{} },
		func(reason any, stack []byte) { t.Errorf("%v\n%s", reason, stack) }, func(cutConnection) {}))
}

// Guards against the rest of a body that nobody has read being taken for the next request
// of its connection, which then runs although no client sent it.
func TestUnreadBodyIsNotTakenForRequests(t *testing.T) {
	for _, size := range []int{1 << 10, maxDrainedBodyBytes, 2 * maxDrainedBodyBytes} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			var mu sync.Mutex
			var paths []string
			conn := startBodyServer(t, func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				paths = append(paths, r.URL.Path)
				mu.Unlock()
				w.WriteHeader(http.StatusOK)
			})
			body := bodyOfRequests(size)
			_, err := fmt.Fprintf(conn, "POST /sent HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body))
			assert.NilError(t, err)
			_, _ = conn.Write(body) // The server may close the connection before the end.
			_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			_ = conn.SetReadDeadline(time.Now().Add(2 * lingerTimeout))
			rest, _ := io.ReadAll(reader)
			assert.Equal(t, string(rest), "")
			mu.Lock()
			defer mu.Unlock()
			assert.DeepEqual(t, paths, []string{"/sent"})
		})
	}
}

// Guards against a body that is still read after its request has ended: its reader shares
// the buffer of the connection with the next request, which makes it panic or pass the
// bytes of another request on to an endpoint.
func TestBodyReaderEndsBeforeItsRequest(t *testing.T) {
	for _, c := range []struct {
		name string
		// arrives is the part of the body that arrives before the response, of 1 MB.
		arrives int
	}{
		{"body stalls", 100 << 10},
		{"body arrives", 1 << 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			type outcome struct {
				body []byte
				err  error
			}
			results := make(chan outcome, 1)
			conn := startBodyServer(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodPost {
					w.WriteHeader(http.StatusOK)
					return
				}
				started := make(chan struct{})
				go func() {
					close(started)
					var o outcome
					chunk := make([]byte, 100)
					for o.err == nil {
						var n int
						n, o.err = r.Body.Read(chunk)
						o.body = append(o.body, chunk[:n]...)
					}
					results <- o
				}()
				<-started
				w.WriteHeader(http.StatusOK)
			})
			body := bodyOfRequests(1 << 20)
			_, err := fmt.Fprintf(conn, "POST /sent HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body))
			assert.NilError(t, err)
			go func() { _, _ = conn.Write(body[:c.arrives]) }()
			_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			select {
			case o := <-results:
				assert.Equal(t, o.err, errBodyEnded)
				assert.Assert(t, bytes.HasPrefix(body, o.body), "the reader got bytes that are not of the body")
			case <-time.After(bodyDrainTimeout / 2):
				t.Fatal("the body is still read after the response")
			}
		})
	}
}

// Guards against a response without a length that is cut and looks complete to a client
// of HTTP/1.0, for which the end of the connection is the end of the body.
func TestCutResponseWithoutLengthIsReset(t *testing.T) {
	conn := startBodyServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 2*writeBufferBytes))
		panic(http.ErrAbortHandler)
	})
	_, err := fmt.Fprint(conn, "GET / HTTP/1.0\r\n\r\n")
	assert.NilError(t, err)
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	assert.Assert(t, err != nil, "the cut response looks complete")
}
