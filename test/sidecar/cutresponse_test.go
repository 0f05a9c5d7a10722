package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/platform/platformtest"
)

// An endpoint that stops at any byte of its response and closes the connection must not
// cause a success: neither a 200 with an empty or short body that is framed as complete,
// nor a header that was cut. Only a response that ends with its connection may be short.
func TestResponseThatStopsAtAnyByteIsNoSuccess(t *testing.T) {
	const body = "0123456789"
	for _, c := range []struct {
		name, framing, encoded string
		// endsWithConnection is set if the end of the connection is the end of the body.
		endsWithConnection bool
	}{
		{"length", "Content-Length: 10\r\n", body, false},
		{"chunks", "Transfer-Encoding: chunked\r\n", "5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n", false},
		{"end of the connection", "", body, true},
	} {
		for _, remote := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, remote %v", c.name, remote), func(t *testing.T) {
				var position atomic.Int64
				response := func(r *http.Request) (head, whole string) {
					head = signedHeader(r) + "X-Last: 1\r\n" + c.framing + "\r\n"
					return head, head + c.encoded
				}
				e := endpoint("e")
				e.ServeConn = func(conn net.Conn) {
					reader := bufio.NewReader(conn)
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body) // A close with unread bytes would be a reset.
					_, whole := response(r)
					_, _ = io.WriteString(conn, whole[:min(int(position.Load()), len(whole))])
				}
				f, entryNode := startRemoteEndpoint(t, e)
				if !remote {
					entryNode = f.nodes[1]
				}
				sample := &http.Request{Header: http.Header{http.CanonicalHeaderKey(platformtest.HeaderRequestID): {"id000"}}}
				head, whole := response(sample)
				for at := range len(whole) + 1 {
					position.Store(int64(at))
					got := entryNode.post("/unsafe/x", fmt.Sprintf("id%03d", at))
					isComplete := at == len(whole) || c.endsWithConnection && at >= len(head)
					isSuccess := got.err == nil && got.status < 300
					switch {
					case !isComplete:
						assert.Assert(t, !isSuccess, "stopped at byte %d (%q): %d %q", at, whole[:at], got.status, got.body)
					case c.endsWithConnection:
						assert.Assert(t, isSuccess && strings.HasPrefix(body, got.body), "byte %d: %d %q", at, got.status, got.body)
					default:
						assert.Assert(t, isSuccess && got.body == body, "byte %d: %d %q", at, got.status, got.body)
					}
				}
			})
		}
	}
}
