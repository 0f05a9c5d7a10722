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

// lateEndStream counts a stream as open until its end was read or it was canceled.
type lateEndStream struct {
	transport.Stream
	openStreams *atomic.Int64
	isFinished  atomic.Bool
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
	if !s.isFinished.Swap(true) {
		s.openStreams.Add(-1)
	}
}

// The entry node must release a stream after a complete response even if the peer's
// end of the stream has not arrived yet. Streams left open delayed the shutdown of
// the node until its drain timeout.
func TestStreamsAreReleasedAfterCompleteResponses(t *testing.T) {
	f := newFleet(t, "entry", "target")
	var openStreams atomic.Int64
	f.wrapStreams(func(s transport.Stream) transport.Stream {
		openStreams.Add(1)
		return &lateEndStream{Stream: s, openStreams: &openStreams}
	})
	f.nodes[1].newTarget(testtarget.Options{}, testtarget.Behavior{})
	for _, path := range []string{"/look/1", "/look/2", "/look/3"} {
		r := f.nodes[0].send("GET", path, nil)
		assert.NilError(t, r.err)
		assert.Equal(t, r.StatusCode, http.StatusOK)
	}
	assert.Equal(t, openStreams.Load(), int64(0))
}

// A target may respond before it has read the request, while net/http still reads the
// request body. The buffers of such a call must not be reused yet, or the bodies of
// different calls get mixed.
func TestEarlyResponsesDoNotMixRequestBodies(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.nodes[0].newTarget(testtarget.Options{Slots: 64}, testtarget.Behavior{ShedEvery: 2})
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			for range 20 {
				text := strings.Repeat(string(rune('a'+worker)), 200_000)
				r := f.nodes[1].send("POST", "/pay", io.MultiReader(strings.NewReader(text)), testtarget.HeaderEcho, "1")
				if r.err == nil && r.StatusCode == http.StatusOK && r.body != text {
					t.Errorf("worker %d got %d bytes that are not its own", worker, len(r.body))
				}
			}
		})
	}
	wg.Wait()
}
