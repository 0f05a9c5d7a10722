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

// closeCounter counts how often a body is closed.
type closeCounter struct {
	io.Reader
	closed int
}

func (c *closeCounter) Close() error {
	c.closed++
	return nil
}

// Guards against slots and connections that stay taken for ever: the answer of a
// try that ends when the request has been decided is read by nobody.
func TestAnswersOfLateTriesAreClosed(t *testing.T) {
	before, after := &closeCounter{Reader: strings.NewReader("x")}, &closeCounter{Reader: strings.NewReader("x")}
	x := &request{results: make(chan tryResult, 2)}
	x.deliver(tryResult{number: 1, answer: &answer{body: before}})
	x.endTries()
	x.deliver(tryResult{number: 2, answer: &answer{body: after}})
	assert.Equal(t, before.closed, 1, "an answer that waited to be taken")
	assert.Equal(t, after.closed, 1, "an answer that came afterwards")
}

// Guards against a request that is called faulty because the node was paused while it
// read the body (seed 13 of test/soak): clients send nothing again after a 400.
func TestBodyThatComesTooLateIsNoFaultOfTheRequest(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/x", iotest.ErrReader(os.ErrDeadlineExceeded))
	r.ContentLength = 10
	x := &request{r: r, w: httptest.NewRecorder(), ctx: t.Context(), deadline: time.Now()}
	failure := x.readBody()
	assert.Equal(t, failure.Code, verdict.DeadlineExceeded)
	assert.Equal(t, statusOf(failure), http.StatusServiceUnavailable)
}
