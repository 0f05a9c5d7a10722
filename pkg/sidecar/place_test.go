package sidecar

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
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
