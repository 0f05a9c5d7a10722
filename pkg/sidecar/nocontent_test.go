package sidecar

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A response that has no body by its status must not state a length: for a 204 that is not
// allowed, and a 304 would tell a cache that what it holds is empty. What follows on the
// connection must still be the next response.
func TestResponseWithoutBodyByStatusHasNoLength(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusNotModified} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			conn := startBodyServer(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/next" {
					_, _ = fmt.Fprint(w, "next")
					return
				}
				w.Header().Set("Content-Length", "0")
				w.WriteHeader(status)
			})
			_ = conn.SetDeadline(time.Now().Add(testTimeout))
			reader := bufio.NewReader(conn)
			for _, path := range []string{"/", "/next"} {
				_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
				assert.NilError(t, err)
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				if path == "/next" {
					assert.Equal(t, response.StatusCode, http.StatusOK)
					break
				}
				assert.Equal(t, response.StatusCode, status)
				assert.Equal(t, len(response.Header["Content-Length"]), 0, "%v", response.Header)
			}
		})
	}
}
