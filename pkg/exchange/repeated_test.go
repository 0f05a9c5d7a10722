package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

func refusalText(id string) string {
	if id != "" {
		id = idHeader + ": " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + id + "Content-Length: 0\r\n\r\n"
}

// A peer that refuses the first request of a connection and repeats that refusal before
// its response to the second must not make the second look refused, because it runs.
func TestRepeatedRefusalIsNotTakenForResponse(t *testing.T) {
	for _, c := range []struct {
		name, firstID, secondID string
		refusalHasID            bool
		// wantBody is the body that the second request gets, "" for a failed exchange.
		wantBody        string
		wantConnections int64
	}{
		{"of another request", "1", "2", true, "ran", 1},
		{"without an ID", "1", "2", false, "", 1},
		{"of a request that is sent again", "1", "1", true, "ran", 2},
		{"of a request without an ID", "", "", false, "ran", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			var requests atomic.Int64
			p := startPeer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				repeated := ""
				for {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					id := request.Header.Get(idHeader)
					text := repeated + responseText(id, "ran")
					if requests.Add(1) == 1 {
						if !c.refusalHasID {
							id = ""
						}
						repeated = refusalText(id)
						text = repeated
					}
					_, _ = io.WriteString(conn, text)
				}
			})
			pool := newPool(t, p.address)
			ctx := context.Background()
			response, failure := pool.Do(ctx, newRequest(ctx, c.firstID, nil))
			assert.Assert(t, failure == nil, "%v", failure)
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			response, failure = pool.Do(ctx, newRequest(ctx, c.secondID, nil))
			assert.Equal(t, p.connections.Load(), c.wantConnections)
			if c.wantBody == "" {
				assert.Assert(t, failure != nil && failure.RequestSent, "%v", failure)
				return
			}
			assert.Assert(t, failure == nil, "%v", failure)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), c.wantBody)
		})
	}
}

// The IDs that are kept for a connection must not grow without limit, and requests with
// new IDs must share connections.
func TestConnectionIsReplacedAfterMaxRequests(t *testing.T) {
	p := startPeer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		for id := readRequestID(r); id != ""; id = readRequestID(r) {
			_, _ = io.WriteString(conn, responseText(id, ""))
		}
	})
	pool := newPool(t, p.address)
	for i := range maxRequestsPerConn + 1 {
		_, err := exchangeOnce(t, pool, fmt.Sprint("id", i))
		assert.NilError(t, err)
	}
	assert.Equal(t, p.connections.Load(), int64(2))
}

// A failed exchange must say that the request was sent if the peer has any byte of it,
// also if a stray response arrives while the body is written in the background.
func TestStrayResponseWhileBodyIsWritten(t *testing.T) {
	for range 300 {
		received := make(chan int, 1)
		p := startPeer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			_, _ = io.WriteString(conn, "garbage\r\n\r\n")
			n, _ := io.Copy(io.Discard, r)
			received <- int(n)
		})
		ctx := context.Background()
		_, failure := newPool(t, p.address).Do(ctx, newRequest(ctx, "1", io.NopCloser(strings.NewReader(strings.Repeat("x", 100_000)))))
		assert.Assert(t, failure != nil)
		if n := <-received; n > 0 {
			assert.Assert(t, failure.RequestSent, "the peer received %d bytes", n)
		}
	}
}

// A repeated response to a HEAD request has a length but no body. The response to the
// current request must not be discarded as that body, which held the caller until its
// deadline.
func TestRepeatedHeadResponseDoesNotHideNextResponse(t *testing.T) {
	p := startPeer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		head := "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 1000\r\n\r\n"
		readRequestID(r)
		_, _ = io.WriteString(conn, head)
		_, _ = io.WriteString(conn, head+responseText(readRequestID(r), "two"))
		_, _ = io.Copy(io.Discard, conn)
	})
	pool := newPool(t, p.address)
	request := newRequest(context.Background(), "1", nil)
	request.Method = http.MethodHead
	response, failure := pool.Do(context.Background(), request)
	assert.Assert(t, failure == nil, "%v", failure)
	_, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	_, err = exchangeOnce(t, pool, "2")
	assert.Equal(t, p.connections.Load(), int64(1))
	assert.ErrorContains(t, err, errStaleResponse.Error())
}
