package sidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/verdict"
)

// closeCounter is a body that counts how often it is closed.
type closeCounter struct {
	io.Reader
	closed int
}

func (c *closeCounter) Close() error {
	c.closed++
	return nil
}

// Verifies that the response of an attempt that ends after the request was decided is
// closed. Nobody reads such a response; if it stays open, its slot and connection are
// never released.
func TestLateAttemptResponsesAreClosed(t *testing.T) {
	queued, late := &closeCounter{Reader: strings.NewReader("x")}, &closeCounter{Reader: strings.NewReader("x")}
	x := &request{results: make(chan attemptResult, 2)}
	x.deliverResult(attemptResult{number: 1, response: &endpointResponse{body: queued}})
	x.cancelAttempts()
	x.deliverResult(attemptResult{number: 2, response: &endpointResponse{body: late}})
	assert.Equal(t, queued.closed, 1, "response delivered before the request was decided")
	assert.Equal(t, late.closed, 1, "response delivered after the request was decided")
}

// Verifies that a timeout while the body is read is not reported as a bad request. It
// happens when the node is paused while it reads (seed 13 of test/soak), and clients do
// not retry after a 400.
func TestBodyReadTimeoutIsNotBadRequest(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/x", iotest.ErrReader(os.ErrDeadlineExceeded))
	r.ContentLength = 10
	entry := &EntryHandler{deps: &shared{requestsEnd: t.Context()}}
	x := &request{entry: entry, r: r, w: httptest.NewRecorder(), ctx: t.Context(), deadline: time.Now()}
	failure := x.readBody()
	assert.Equal(t, failure.Code, verdict.DeadlineExceeded)
	assert.Equal(t, statusOf(failure), http.StatusServiceUnavailable)
}
