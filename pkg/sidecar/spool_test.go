package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/azurespring/azurespring/pkg/mesh/egress"
)

// source is an endpoint's answer that tells when it has been read and closed.
type source struct {
	io.Reader
	closed chan struct{}
}

func newSource(r io.Reader) *source { return &source{Reader: r, closed: make(chan struct{})} }

func (s *source) Close() error {
	close(s.closed)
	return nil
}

func await(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(deadline):
		t.Fatal(what)
	}
}

var large = bytes.Repeat([]byte("0123456789abcdef"), 8<<10)

// Guards against endpoints' slots that stay taken while an answer waits for a slow
// link or client.
func TestEndpointIsFreeBeforeItsAnswerIsSent(t *testing.T) {
	s := newSource(bytes.NewReader(large))
	body := newSpools().wrap(s, int64(len(large)), func() {})
	await(t, "the answer was not read ahead", s.closed)
	content, err := io.ReadAll(body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(content, large))
}

// Guards against a cut answer that looks whole, or loses what came before the cut.
func TestCutAnswerStaysCut(t *testing.T) {
	broken := errors.New("connection reset")
	for _, length := range []int64{int64(len(large)) + 1, -1} {
		s := newSource(io.MultiReader(bytes.NewReader(large), iotest.ErrReader(broken)))
		body := newSpools().wrap(s, length, func() {})
		var sent bytes.Buffer
		err := newUplink(time.Now, 0).copyAnswer(t.Context(), &sent, body, length, egress.Chunk{SoftDeadline: time.Now()})
		assert.Assert(t, errors.Is(err, broken), "%v", err)
		assert.Assert(t, bytes.Equal(sent.Bytes(), large))
	}
}

// Guards against answers of unknown length that fill the memory, and against those
// that end because they are long.
func TestLongAnswersWaitForTheirReader(t *testing.T) {
	const size = 5 * maxSpooledAnswer
	body := newSpools().wrap(newSource(io.LimitReader(endless{}, size)), -1, func() {})
	p := body.(*spool)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		p.mu.Lock()
		defer p.mu.Unlock()
		if len(p.content) > maxSpooledAnswer-2*spoolChunk {
			return poll.Success()
		}
		return poll.Continue("%d bytes read ahead", len(p.content))
	}, poll.WithTimeout(deadline))
	p.mu.Lock()
	assert.Assert(t, len(p.content) <= maxSpooledAnswer)
	p.mu.Unlock()
	n, err := io.Copy(io.Discard, body)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(size))
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against memory that is never given back: of answers that nobody reads to
// the end, and of those that are read but not closed.
func TestReadAheadMemoryIsReleased(t *testing.T) {
	s := newSpools()
	const each = maxSpooledAnswer
	for range 3 * maxSpooled / each {
		ctx, cancel := context.WithCancel(t.Context())
		given := newSource(readerFunc(func([]byte) (int, error) {
			<-ctx.Done()
			return 0, ctx.Err()
		}))
		body := s.wrap(given, each, cancel)
		assert.NilError(t, body.Close())
		await(t, "the endpoint's answer was not closed", given.closed)

		read := s.wrap(newSource(bytes.NewReader(large)), each, func() {})
		_, err := io.ReadAll(read)
		assert.NilError(t, err)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.free.TryAcquire(maxSpooled) {
			return poll.Success()
		}
		return poll.Continue("memory is still taken")
	}, poll.WithTimeout(deadline))
	// Without memory, an answer passes without being read ahead.
	body := s.wrap(newSource(strings.NewReader("x")), each, func() {})
	_, spooled := body.(*spool)
	assert.Assert(t, !spooled)
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against small answers that wait behind large ones, and large ones that
// exceed the link's rate or never end.
func TestAnswersShareTheLinkInTurn(t *testing.T) {
	const rate = 4 << 20
	u := newUplink(time.Now, rate)
	started := time.Now()
	done := make(chan error, 8)
	for range cap(done) {
		go func() {
			done <- u.copyAnswer(t.Context(), io.Discard, bytes.NewReader(large), int64(len(large)), egress.Chunk{SoftDeadline: started.Add(time.Second)})
		}()
	}
	small := time.Now()
	assert.NilError(t, u.copyAnswer(t.Context(), io.Discard, strings.NewReader("small"), 5, egress.Chunk{SoftDeadline: started}))
	waited := time.Since(small)
	for range cap(done) {
		assert.NilError(t, <-done)
	}
	took := time.Since(started)
	least := time.Duration(float64(cap(done)*len(large)) / rate * float64(time.Second))
	assert.Assert(t, took > least*9/10, "1 MiB took %v at 4 MiB/s", took)
	assert.Assert(t, waited < took/2, "the small answer waited %v of %v", waited, took)
}

// Guards against an answer whose caller left and that keeps its place in the turn.
func TestCanceledResponseLeavesTheLinkQueue(t *testing.T) {
	u := newUplink(time.Now, 1)
	u.spend(1 << 20)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := u.copyAnswer(ctx, io.Discard, bytes.NewReader(large), int64(len(large)), egress.Chunk{SoftDeadline: time.Now()})
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
	assert.Equal(t, len(u.waiting), 0)
}
