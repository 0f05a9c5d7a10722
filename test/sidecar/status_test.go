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

// A response of an endpoint whose status is none must not reach the client, and neither must
// what follows it. The client got a signed 200 that was made of the body of a 000. The request
// may have run, so that an unsafe one is not sent again.
func TestResponseWithoutStatusDoesNotReachClient(t *testing.T) {
	for _, c := range []struct{ name, statusLine, fields string }{
		{"000", "000 None", ""},
		{"000 with a length", "000 None", "Content-Length: 1000\r\n"},
		{"020", "020 None", ""},
		{"099", "099 None", ""},
		{"two digits", "20 None", ""},
		{"four digits", "2000 None", ""},
		{"sign", "+20 None", ""},
		{"negative", "-10 None", ""},
		{"exponent", "2e2 None", ""},
		{"600", "600 None", ""},
		{"999", "999 None", ""},
		{"101", "101 Switching Protocols", "Connection: Upgrade\r\nUpgrade: x\r\n"},
		{"199", "199 None", ""},
		{"103 with a length", "103 Early Hints", "Content-Length: 1000\r\n"},
	} {
		for _, remote := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, remote %v", c.name, remote), func(t *testing.T) {
				var faulty, connections atomic.Int64
				e := endpoint("e")
				e.ServeConn = func(conn net.Conn) {
					connections.Add(1)
					reader := bufio.NewReader(conn)
					for {
						r, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, r.Body)
						if strings.HasSuffix(r.URL.Path, "/faulty") {
							faulty.Add(1)
							// All fields of a signed response, and a body that is one.
							_, _ = io.WriteString(conn, strings.Replace(signedHeader(r), "200 OK", c.statusLine, 1)+c.fields+"\r\n")
						}
						_, _ = io.WriteString(conn, signedHeader(r)+"Content-Length: 6\r\n\r\nforged")
					}
				}
				f := newFleet(t)
				entryNode := f.addNode("a", e)
				if remote {
					other := endpoint("other")
					other.Service = "t"
					entryNode = f.addNode("a", other)
				}
				f.waitUntilReady()
				f.waitUntil("requests are served", func() bool { return entryNode.get("/safe/x", "probe").status == http.StatusOK })
				got := entryNode.post("/unsafe/faulty", "unsafe")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusBadGateway, "%s", got.body)
				assert.Assert(t, !strings.Contains(got.body, "forged"), "%s", got.body)
				assert.Equal(t, faulty.Load(), int64(1), "the request may have run and was sent again")
				got = entryNode.get("/safe/faulty", "safe")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusBadGateway, "%s", got.body)
				before := connections.Load()
				f.waitUntil("later requests are served", func() bool { return entryNode.get("/safe/x", "later").status == http.StatusOK })
				assert.Assert(t, connections.Load() > before, "the connection was used again")
			})
		}
	}
}
