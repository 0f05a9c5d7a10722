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

// decodeResponse decodes a stream of a response header and a body.
func decodeResponse(data []byte, headerFrame *responseHeaderFrame) (body []byte, end endFrame, err error) {
	r := newFrameReader(bytes.NewReader(data))
	defer r.release()
	if err := r.readHeaderFrame(frameResponseHeader, headerFrame); err != nil {
		return nil, end, err
	}
	body, err = io.ReadAll(readerFunc(func(p []byte) (int, error) { return r.readBody(p, &end) }))
	return body, end, err
}

func encodeResponse(t interface{ Fatal(...any) }, headerFrame *responseHeaderFrame, body []byte, trailers []string) []byte {
	b := &frameBuffer{}
	if err := b.appendFrame(frameResponseHeader, headerFrame); err != nil {
		t.Fatal(err)
	}
	b.appendBody(body)
	if err := b.appendFrame(frameEnd, endFrame{Total: int64(len(body)), Trailers: trailers}); err != nil {
		t.Fatal(err)
	}
	return b.data
}

// A stream that is truncated at any byte must not pass as complete.
func TestTruncatedStreamIsDetectedAtEveryByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		headerFrame := responseHeaderFrame{Status: 200, Header: []string{"A", "b"}, ContentLength: -1}
		body := bytes.Repeat([]byte{1}, rapid.IntRange(0, 100_000).Draw(t, "size"))
		data := encodeResponse(t, &headerFrame, body, []string{"T", "v"})
		var got responseHeaderFrame
		decoded, end, err := decodeResponse(data, &got)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(decoded, body))
		assert.Equal(t, got.Status, 200)
		assert.Assert(t, slices.Equal(got.Header, headerFrame.Header) && slices.Equal(end.Trailers, []string{"T", "v"}))
		cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut")
		_, _, err = decodeResponse(data[:cut], &got)
		assert.Assert(t, err != nil, "stream truncated at byte %d of %d passed as complete", cut, len(data))
	})
}

// A total length that does not match, frames out of order and frames above their size
// limit must be rejected. A failure frame must keep its verdict, code and load.
func TestMalformedStreamsAreRejected(t *testing.T) {
	build := func(f func(b *frameBuffer)) []byte {
		b := &frameBuffer{}
		assert.NilError(t, b.appendFrame(frameResponseHeader, &responseHeaderFrame{Status: 200}))
		f(b)
		return b.data
	}
	rejection := verdict.NotRunErrorf(verdict.Overloaded, "full")
	for _, c := range []struct {
		name string
		data []byte
		want error
	}{
		{"empty", nil, errTruncated},
		{"wrong total", build(func(b *frameBuffer) { b.appendBody([]byte("abc")); _ = b.appendFrame(frameEnd, endFrame{Total: 2}) }), errLengthMismatch},
		{"second header frame", build(func(b *frameBuffer) { _ = b.appendFrame(frameResponseHeader, &responseHeaderFrame{}) }), errMalformedFrame},
		{"unknown frame", build(func(b *frameBuffer) { b.data = append(b.data, 99, 0, 0, 0, 0) }), errMalformedFrame},
		{"frame too long", build(func(b *frameBuffer) { b.data = append(b.data, byte(frameBody), 0, 1, 0, 0) }), errMalformedFrame},
		{"failure", build(func(b *frameBuffer) { _ = b.appendFrame(frameFailure, newFailureFrame(rejection, targetLoad(3), 1)) }), rejection},
	} {
		var headerFrame responseHeaderFrame
		_, _, err := decodeResponse(c.data, &headerFrame)
		var remoteErr *remoteError
		if errors.As(err, &remoteErr) {
			assert.Equal(t, remoteErr.verdictErr.Verdict, verdict.NotRun)
			assert.Equal(t, remoteErr.verdictErr.Code, verdict.Overloaded)
			assert.Equal(t, remoteErr.targetLoad.InFlight, 3)
			continue
		}
		assert.ErrorIs(t, err, c.want, c.name)
	}
}

// FuzzResponseStream verifies that no input from a peer panics the node, passes as
// complete with a wrong total, or yields more bytes than it has.
func FuzzResponseStream(f *testing.F) {
	f.Add(encodeResponse(f, &responseHeaderFrame{Status: 200, Header: []string{"A", "b"}}, []byte("body"), []string{"T", "v"}))
	f.Fuzz(func(t *testing.T, data []byte) {
		var headerFrame responseHeaderFrame
		body, end, err := decodeResponse(data, &headerFrame)
		if err == nil && int64(len(body)) != end.Total {
			t.Fatalf("body of %d bytes passed as complete, but the end frame says %d", len(body), end.Total)
		}
		if len(body) > len(data) {
			t.Fatalf("decoded a body of %d bytes from %d bytes of input", len(body), len(data))
		}
	})
}

// FuzzCallHeaderFrame verifies that no header frame panics the target node.
func FuzzCallHeaderFrame(f *testing.F) {
	b := &frameBuffer{}
	if err := b.appendFrame(frameCallHeader, &callHeaderFrame{Customer: "c", Header: []string{"A", "b"}}); err != nil {
		f.Fatal(err)
	}
	f.Add(b.data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := newFrameReader(bytes.NewReader(data))
		defer r.release()
		var headerFrame callHeaderFrame
		_ = r.readHeaderFrame(frameCallHeader, &headerFrame)
		addHeaderPairs(map[string][]string{}, headerFrame.Header)
	})
}
