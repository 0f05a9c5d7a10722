package proxy

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/azurespring/azurespring/pkg/verdict"
)

// readAll decodes a stream: a head and a body.
func readAll(data []byte, head *answerHead) (body []byte, finish end, err error) {
	r := newFrameReader(bytes.NewReader(data))
	defer r.release()
	if err := r.head(frameAnswer, head); err != nil {
		return nil, finish, err
	}
	body, err = io.ReadAll(readerFunc(func(p []byte) (int, error) { return r.body(p, &finish) }))
	return body, finish, err
}

func encodeAll(t interface{ Fatal(...any) }, head *answerHead, body []byte, trailers []string) []byte {
	b := &frameBuffer{}
	if err := b.encode(frameAnswer, head); err != nil {
		t.Fatal(err)
	}
	b.body(body)
	if err := b.encode(frameEnd, end{Total: int64(len(body)), Trailers: trailers}); err != nil {
		t.Fatal(err)
	}
	return b.data
}

// Guards against a stream that lost its end, or any byte before it, passing as
// whole.
func TestEveryCutOfAStreamIsSeen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		head := answerHead{Status: 200, Header: []string{"A", "b"}, ContentLength: -1}
		body := bytes.Repeat([]byte{1}, rapid.IntRange(0, 100_000).Draw(t, "size"))
		data := encodeAll(t, &head, body, []string{"T", "v"})
		var got answerHead
		whole, finish, err := readAll(data, &got)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(whole, body))
		assert.Equal(t, got.Status, 200)
		assert.Assert(t, slices.Equal(got.Header, head.Header) && slices.Equal(finish.Trailers, []string{"T", "v"}))
		cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut")
		_, _, err = readAll(data[:cut], &got)
		assert.Assert(t, err != nil, "a stream cut at %d of %d bytes passed as whole", cut, len(data))
	})
}

// Guards against an end frame whose total does not match, against frames out of
// place and above their limits, and against a failure that loses its verdict.
func TestMalformedStreams(t *testing.T) {
	build := func(f func(b *frameBuffer)) []byte {
		b := &frameBuffer{}
		assert.NilError(t, b.encode(frameAnswer, &answerHead{Status: 200}))
		f(b)
		return b.data
	}
	refusal := verdict.NotRunErrorf(verdict.Overloaded, "full")
	for _, c := range []struct {
		name string
		data []byte
		want error
	}{
		{"empty", nil, errCut},
		{"wrong total", build(func(b *frameBuffer) { b.body([]byte("abc")); _ = b.encode(frameEnd, end{Total: 2}) }), errLength},
		{"second head", build(func(b *frameBuffer) { _ = b.encode(frameAnswer, &answerHead{}) }), errBadFrame},
		{"unknown frame", build(func(b *frameBuffer) { b.data = append(b.data, 99, 0, 0, 0, 0) }), errBadFrame},
		{"frame too long", build(func(b *frameBuffer) { b.data = append(b.data, byte(frameBody), 0, 1, 0, 0) }), errBadFrame},
		{"failure", build(func(b *frameBuffer) { _ = b.encode(frameFailure, newFailure(refusal, targetLoad(3), 1)) }), refusal},
	} {
		var head answerHead
		_, _, err := readAll(c.data, &head)
		var told *remoteError
		if errors.As(err, &told) {
			assert.Equal(t, told.failure.Verdict, verdict.NotRun)
			assert.Equal(t, told.failure.Code, verdict.Overloaded)
			assert.Equal(t, told.load.InFlight, 3)
			continue
		}
		assert.ErrorIs(t, err, c.want, c.name)
	}
}

// FuzzAnswerStream guards against input of a peer that stops the node or that is
// read beyond its limits.
func FuzzAnswerStream(f *testing.F) {
	f.Add(encodeAll(f, &answerHead{Status: 200, Header: []string{"A", "b"}}, []byte("body"), []string{"T", "v"}))
	f.Fuzz(func(t *testing.T, data []byte) {
		var head answerHead
		body, finish, err := readAll(data, &head)
		if err == nil && int64(len(body)) != finish.Total {
			t.Fatalf("%d bytes passed as whole, the end frame says %d", len(body), finish.Total)
		}
		if len(body) > len(data) {
			t.Fatalf("%d bytes from %d", len(body), len(data))
		}
	})
}

// FuzzCallHead guards against a head that stops the target node.
func FuzzCallHead(f *testing.F) {
	b := &frameBuffer{}
	if err := b.encode(frameCall, &callHead{Customer: "c", Header: []string{"A", "b"}}); err != nil {
		f.Fatal(err)
	}
	f.Add(b.data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := newFrameReader(bytes.NewReader(data))
		defer r.release()
		var head callHead
		_ = r.head(frameCall, &head)
		unflatten(map[string][]string{}, head.Header)
	})
}
