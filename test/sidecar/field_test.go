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
)

// A response of an endpoint in whose header section the name of a field holds a blank or a
// control byte must not reach the client. The client got a signed 200, some with what followed
// the body as a part of it. The request may have run, so that an unsafe one is not sent again.
func TestResponseWithMalformedFieldDoesNotReachClient(t *testing.T) {
	const length = "Content-Length: 6\r\n"
	for _, c := range []struct{ name, fields string }{
		{"blank before the colon", "X-Note : 1\r\n" + length},
		{"blank within", "X Note: 1\r\n" + length},
		{"blank before the length", "Content-Length : 6\r\n"},
		{"blank before the coding", "Transfer-Encoding : chunked\r\n"},
		{"leading blank", length + "X-Other: 1\r\n X-Note: 1\r\n"},
		{"leading blank before the length", "X-Other: 1\r\n Content-Length: 6\r\n"},
		{"tab before the colon", "X-Note\t: 1\r\n" + length},
		{"NUL", "X-\x00Note: 1\r\n" + length},
		{"SOH", "X-\x01Note: 1\r\n" + length},
		{"CR", "X-\rNote: 1\r\n" + length},
		{"ESC", "\x1bX-Note: 1\r\n" + length},
		{"DEL", "X-Note\x7f: 1\r\n" + length},
	} {
		for _, remote := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, remote %v", c.name, remote), func(t *testing.T) {
				var faulty atomic.Int64
				e := endpoint("e")
				e.ServeConn = func(conn net.Conn) {
					reader := bufio.NewReader(conn)
					for {
						r, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, r.Body)
						if strings.HasSuffix(r.URL.Path, "/faulty") {
							faulty.Add(1)
							_, _ = io.WriteString(conn, signedHeader(r)+c.fields+"\r\nquoted, and bytes that are none")
							return
						}
						_, _ = io.WriteString(conn, signedHeader(r)+length+"\r\nquoted")
					}
				}
				f, entryNode := startRemoteEndpoint(t, e)
				if !remote {
					entryNode = f.nodes[1]
				}
				f.waitUntil("requests are served", func() bool { return entryNode.get("/safe/x", "probe").status == http.StatusOK })
				unsafe := entryNode.post("/unsafe/faulty", "unsafe")
				assert.Equal(t, faulty.Load(), int64(1), "the request may have run and was sent again")
				safe := entryNode.get("/safe/faulty", "safe")
				assert.Assert(t, faulty.Load() > 1, "the request has not reached the endpoint")
				for _, got := range []result{unsafe, safe} {
					assert.NilError(t, got.err)
					assert.Equal(t, got.status, http.StatusBadGateway, "%q %s", got.header, got.body)
					assert.Assert(t, !strings.Contains(got.body, "quoted"), "%s", got.body)
					for name := range got.header {
						assert.Assert(t, !strings.Contains(strings.ToLower(name), "note"), "%q", name)
					}
				}
				f.waitUntil("later requests are served", func() bool { return entryNode.get("/safe/x", "later").status == http.StatusOK })
			})
		}
	}
}
