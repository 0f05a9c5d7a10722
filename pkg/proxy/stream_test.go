package proxy

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/internal/testtarget"
	"github.com/azurespring/azurespring/pkg/transport"
)

// lateEndStream is a stream whose end arrives after the answer was read.
type lateEndStream struct {
	transport.Stream
	open *atomic.Int64
	done atomic.Bool
}

func (s *lateEndStream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	if err == io.EOF {
		s.finish()
	}
	return n, err
}

func (s *lateEndStream) Cancel() {
	s.finish()
	s.Stream.Cancel()
}

func (s *lateEndStream) finish() {
	if !s.done.Swap(true) {
		s.open.Add(-1)
	}
}

// Guards against streams that the entry node leaves open after a whole answer,
// because the peer's end was still on its way; they held up the shutdown of the
// node until its drain timeout.
func TestStreamsAreReleasedAfterWholeAnswers(t *testing.T) {
	f := newFleet(t, "entry", "beside")
	var open atomic.Int64
	f.breakStreams(func(s transport.Stream) transport.Stream {
		open.Add(1)
		return &lateEndStream{Stream: s, open: &open}
	})
	f.nodes[1].target(testtarget.Options{}, testtarget.Behavior{})
	for _, path := range []string{"/look/1", "/look/2", "/look/3"} {
		answer := f.nodes[0].do("GET", path, nil)
		assert.NilError(t, answer.err)
		assert.Equal(t, answer.StatusCode, http.StatusOK)
	}
	assert.Equal(t, open.Load(), int64(0))
}

// Guards against state of a call that is reused while net/http still reads the
// call's body, which mixes the bodies of different calls: a target may answer
// before it has read the request.
func TestEarlyAnswersDoNotMixBodies(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.nodes[0].target(testtarget.Options{Slots: 64}, testtarget.Behavior{ShedEvery: 2})
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			for range 20 {
				text := strings.Repeat(string(rune('a'+worker)), 200_000)
				r := f.nodes[1].do("POST", "/pay", io.MultiReader(strings.NewReader(text)), testtarget.HeaderEcho, "1")
				if r.err == nil && r.StatusCode == http.StatusOK && r.body != text {
					t.Errorf("worker %d got %d bytes that are not its own", worker, len(r.body))
				}
			}
		})
	}
	wg.Wait()
}
