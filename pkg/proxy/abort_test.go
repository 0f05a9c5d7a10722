package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/internal/testtarget"
)

// A target that responds to an upload at once, without a length, and closes the connection
// within its response while the upload is still sent must not cause a success: the caller got
// the part of the response as a complete one.
func TestUploadWithCutResponseIsNoSuccess(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
	cut := url.QueryEscape("HTTP/1.1 200 OK\r\n\r\npart of the response")
	// The buffers of the connections hold less, so that the upload is still sent at the reset.
	body := make([]byte, 16<<20)
	for entryIndex, n := range f.nodes {
		begunResponses := 0
		for i := range 20 {
			conn, err := net.Dial("tcp", n.callServer.Listener.Addr().String())
			assert.NilError(t, err)
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _ = fmt.Fprintf(conn, "POST /pay HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: stock\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
					testCustomerKey, headerService, testtarget.HeaderRaw, cut, len(body))
				_, _ = conn.Write(body)
			}()
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil && response.StatusCode == http.StatusOK {
				begunResponses++
				content, err := io.ReadAll(response.Body)
				assert.Assert(t, err != nil, "entry node %d, upload %d: %q counts as complete", entryIndex, i, content)
			}
			_ = conn.Close()
			<-done
		}
		assert.Assert(t, begunResponses > 0, "entry node %d has passed on no part of a response", entryIndex)
	}
}
