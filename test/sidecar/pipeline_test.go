package sidecar_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/platform/platformtest"
)

// largeFleet has an endpoint whose responses to downloads are large, and an entry node.
func largeFleet(t *testing.T, download func(e *platformtest.Endpoint, w http.ResponseWriter)) (*platformtest.Endpoint, *testNode) {
	t.Helper()
	e := endpoint("e")
	e.Slots = 8
	e.Handler = func(w http.ResponseWriter, r *http.Request) {
		e.Sign(w, r)
		if strings.HasPrefix(r.URL.Path, "/download/") {
			download(e, w)
		}
	}
	_, entryNode := startRemoteEndpoint(t, e)
	return e, entryNode
}

// A large response that breaks off must not take the responses to the requests behind it
// with it: they have been started, and ran at sound endpoints.
func TestRequestsBehindCutResponseAreAnswered(t *testing.T) {
	for _, length := range []string{"", "90000"} {
		t.Run("length "+length, func(t *testing.T) {
			_, entryNode := largeFleet(t, func(_ *platformtest.Endpoint, w http.ResponseWriter) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				_, _ = io.WriteString(w, strings.Repeat("x", 80_000))
				_ = http.NewResponseController(w).Flush()
				time.Sleep(50 * time.Millisecond)
				panic(http.ErrAbortHandler)
			})
			c := entryNode.dial(t)
			c.send(t, "/download/x", "large")
			c.send(t, "/safe/x", "id1", "id2", "id3")
			assert.Equal(t, c.read(t).status, http.StatusBadGateway)
			for _, id := range []string{"id1", "id2", "id3"} {
				got := c.read(t)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.header.Get(platformtest.HeaderRequestID), id)
			}
		})
	}
}

// While a large response is sent as it arrives, no request behind it may be started: its
// response would be lost if the large one breaks off.
func TestNoRequestIsStartedBehindStreamedResponse(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run("cut "+map[bool]string{false: "no", true: "yes"}[cut], func(t *testing.T) {
			release := make(chan struct{})
			var released atomic.Bool
			e, entryNode := largeFleet(t, func(_ *platformtest.Endpoint, w http.ResponseWriter) {
				_, _ = io.WriteString(w, strings.Repeat("x", 200_000))
				_ = http.NewResponseController(w).Flush()
				<-release
				if cut {
					panic(http.ErrAbortHandler)
				}
			})
			defer func() {
				if !released.Load() {
					close(release)
				}
			}()
			c := entryNode.dial(t)
			c.send(t, "/download/x", "large")
			// The response is being sent once its first bytes arrive.
			_, err := c.reader.Peek(1)
			assert.NilError(t, err)
			c.send(t, "/safe/x", "id1")
			time.Sleep(100 * time.Millisecond) // A request that is started reaches the endpoint within this time.
			assert.Equal(t, e.RunCount(), 1, "the request was started")
			released.Store(true)
			close(release)
			got := c.read(t)
			if cut {
				assert.Assert(t, got.err != nil)
				return
			}
			assert.NilError(t, got.err)
			assert.Equal(t, len(got.body), 200_000)
			got = c.read(t)
			assert.NilError(t, got.err)
			assert.Equal(t, got.header.Get(platformtest.HeaderRequestID), "id1")
		})
	}
}
