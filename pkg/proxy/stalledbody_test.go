package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/internal/testtarget"
)

// A caller that stops sending its body must get its response at the deadline: without
// the end of reads, net/http waits for the rest of the body before it sends the response.
func TestCallWithStalledBodyIsAnsweredAtItsDeadline(t *testing.T) {
	for _, framing := range []string{"Content-Length: 10", "Content-Length: 2000000", "Transfer-Encoding: chunked"} {
		for entryIndex, where := range []string{"local", "remote"} {
			t.Run(framing+", "+where, func(t *testing.T) {
				f := newFleet(t, "a", "b")
				f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
				conn, err := net.Dial("tcp", strings.TrimPrefix(f.nodes[entryIndex].callServer.URL, "http://"))
				assert.NilError(t, err)
				defer conn.Close()
				start := "x"
				if strings.HasPrefix(framing, "Transfer") {
					start = "1\r\nx\r\n"
				}
				_, err = fmt.Fprintf(conn, "POST /pay HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: stock\r\n%s: 500\r\n%s\r\n\r\n%s",
					testCustomerKey, headerService, headerTimeout, framing, start)
				assert.NilError(t, err)
				_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err, "no response at the deadline")
				assert.Assert(t, response.StatusCode >= 500, "%d", response.StatusCode)
				_ = response.Body.Close()
			})
		}
	}
}
