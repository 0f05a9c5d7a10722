package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A response whose status is none must fail the exchange, and what follows it must not be
// parsed as a response. Every status below 200 counted as an interim response: the body of
// a response with status 000 was read as the response if it looked like one.
func TestResponseWithoutStatusIsNoResponse(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 3\r\n\r\none"
	for _, c := range []struct {
		name, text string
		isValid    bool
	}{
		{"000 without a body", "HTTP/1.1 000 None\r\n\r\n", false},
		{"000 with the request's ID", "HTTP/1.1 000 None\r\n" + idHeader + ": 1\r\nContent-Length: 0\r\n\r\n", false},
		{"001", "HTTP/1.1 001 None\r\n\r\n", false},
		{"099", "HTTP/1.1 099 None\r\n\r\n", false},
		{"two digits", "HTTP/1.1 99 None\r\n\r\n", false},
		{"four digits", "HTTP/1.1 2000 None\r\n\r\n", false},
		{"sign", "HTTP/1.1 +20 None\r\n\r\n", false},
		{"negative", "HTTP/1.1 -20 None\r\n\r\n", false},
		{"letters", "HTTP/1.1 abc None\r\n\r\n", false},
		{"no status", "HTTP/1.1 \r\n\r\n", false},
		{"600", "HTTP/1.1 600 None\r\n" + idHeader + ": 1\r\nContent-Length: 0\r\n\r\n", false},
		{"999", "HTTP/1.1 999 None\r\n" + idHeader + ": 1\r\nContent-Length: 0\r\n\r\n", false},
		{"101 without an upgrade", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", false},
		{"104", "HTTP/1.1 104 None\r\n\r\n", false},
		{"199", "HTTP/1.1 199 None\r\n\r\n", false},
		{"interim response with a length", "HTTP/1.1 103 Early Hints\r\nContent-Length: 200\r\n\r\n", false},
		{"interim response in chunks", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"too many interim responses", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterimResponses+1), false},
		{"100", "HTTP/1.1 100 Continue\r\n\r\n", true},
		{"102", "HTTP/1.1 102 Processing\r\n\r\n", true},
		{"103", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", true},
		{"several interim responses", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterimResponses), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			closed := make(chan error, 1)
			p := startPeer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				readRequestID(r)
				_, _ = io.WriteString(conn, c.text+valid)
				_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				_, err := r.ReadByte()
				closed <- err
			})
			ctx := context.Background()
			response, failure := newPool(t, p.address).Do(ctx, newRequest(ctx, "1", nil))
			if c.isValid {
				assert.Assert(t, failure == nil, "%v", failure)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), "one")
				return
			}
			if failure == nil {
				t.Fatalf("the exchange succeeded with status %d", response.StatusCode)
			}
			assert.Assert(t, failure.RequestSent && !failure.DialFailed, "%v", failure)
			err := <-closed
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection is still open")
		})
	}
}

// A response that has no body by its status must end its connection if its header
// announces one: the next exchange would take these bytes for its own response.
func TestBytesBehindResponseWithoutBodyEndConnection(t *testing.T) {
	for _, c := range []struct{ name, header string }{
		{"204 with a length", "HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n"},
		{"204 in chunks", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n"},
		{"304 in chunks", "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startPeer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				for n := 0; ; n++ {
					id := readRequestID(r)
					if id == "" {
						return
					}
					if n > 0 {
						_, _ = io.WriteString(conn, responseText(id, "reused"))
						return
					}
					_, _ = io.WriteString(conn, c.header+idHeader+": "+id+"\r\n\r\n")
				}
			})
			pool := newPool(t, p.address)
			ctx := context.Background()
			for _, id := range []string{"1", "2"} {
				response, failure := pool.Do(ctx, newRequest(ctx, id, nil))
				assert.Assert(t, failure == nil, "%v", failure)
				assert.Assert(t, response.StatusCode != http.StatusOK, "the connection was used again")
				assert.NilError(t, response.Body.Close())
			}
			assert.Equal(t, p.connections.Load(), int64(2))
		})
	}
}
