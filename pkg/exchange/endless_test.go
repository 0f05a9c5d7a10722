package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// endlessBytes is what an endless peer sends at most; socket buffers hold far less.
const endlessBytes = 32 << 20

// startEndlessPeer starts a peer that answers each request with prefix and then part,
// again and again, until the caller closes or endlessBytes are sent. done receives the
// number of bytes that were sent.
func startEndlessPeer(t *testing.T, prefix, part string) (p *peer, done <-chan int) {
	t.Helper()
	sentBytes := make(chan int, 1)
	part = strings.Repeat(part, max(1, 32<<10/len(part)))
	return startPeer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		readRequestID(r)
		sent := 0
		for text := prefix; sent < endlessBytes; text = part {
			n, err := io.WriteString(conn, text)
			sent += n
			if err != nil {
				break
			}
		}
		sentBytes <- sent
	}), sentBytes
}

// Bytes without end in place of a response header must be cut off, before they fill the
// memory and long before the deadline of the request.
func TestEndlessResponseHeaderIsCutOff(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct{ name, prefix, part string }{
		{"no line end", "", "x"},
		{"status line", "HTTP/1.1 200 ", "x"},
		{"name of a field", status, "x"},
		{"value of a field", status + "X-Field: ", "x"},
		{"folded value of a field", status + "X-Field: x\r\n", " x\r\n"},
		{"fields", status, "X-Field: x\r\n"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"fields of an interim response", "HTTP/1.1 103 Early Hints\r\n", "Link: x\r\n"},
		{"responses to an earlier request", "", responseText("old", "")},
		{"body of a response to an earlier request", status + idHeader + ": old\r\n\r\n", "x"},
		{"chunks of a response to an earlier request", status + idHeader + ": old\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, done := startEndlessPeer(t, c.prefix, c.part)
			ctx := context.Background()
			_, failure := newPool(t, p.address).Do(ctx, newRequest(ctx, "1", nil))
			assert.Assert(t, failure != nil && failure.RequestSent && !failure.DialFailed, "%v", failure)
			sent := <-done
			assert.Assert(t, sent < endlessBytes, "the caller read all %d bytes", sent)
		})
	}
}

// The framing of a chunked body must not grow without limit either.
func TestEndlessChunkFramingIsCutOff(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct{ name, prefix, part string }{
		{"size of a chunk", header, "0"},
		{"extension of a chunk", header + "1;", "x"},
		{"extensions of chunks", header, "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		{"trailer field", header + "0\r\nX-Field: ", "x"},
		{"trailer fields", header + "0\r\n", "X-Field: x\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, done := startEndlessPeer(t, c.prefix, c.part)
			ctx := context.Background()
			response, failure := newPool(t, p.address).Do(ctx, newRequest(ctx, "1", nil))
			assert.Assert(t, failure == nil, "%v", failure)
			_, err := io.Copy(io.Discard, response.Body)
			assert.Assert(t, err != nil)
			sent := <-done
			assert.Assert(t, sent < endlessBytes, "the caller read all %d bytes", sent)
		})
	}
}

// A body without end must end with the context of its request.
func TestEndlessBodyEndsWithItsReader(t *testing.T) {
	p, done := startEndlessPeer(t, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\n\r\n", "x")
	ctx, cancel := context.WithCancel(context.Background())
	read := 0
	response, failure := newPool(t, p.address).Do(ctx, newRequest(ctx, "1", nil))
	assert.Assert(t, failure == nil, "%v", failure)
	_, err := io.Copy(writerFunc(func(b []byte) (int, error) {
		if read += len(b); read > 2*maxStaleResponseBytes {
			cancel() // The deadline of the request passes.
		}
		return len(b), nil
	}), response.Body)
	assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
	sent := <-done
	assert.Assert(t, sent < endlessBytes, "the caller read all %d bytes", sent)
}

type writerFunc func(b []byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }
