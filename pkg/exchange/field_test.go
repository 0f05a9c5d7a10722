package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A response whose header section has a malformed line must fail the exchange. net/http accepts
// names with blanks, under which neither Content-Length nor Transfer-Encoding counts, so that
// what follows the body was read as a part of it.
func TestResponseWithMalformedFieldIsNoResponse(t *testing.T) {
	for _, c := range []struct {
		name, line string
		isValid    bool
	}{
		{"blank before the colon", "X-Note : 1", false},
		{"blanks before the colon", "X-Note  : 1", false},
		{"blank within", "X Note: 1", false},
		{"blank before a length", "Content-Length : 3", false},
		{"blank before a coding", "Transfer-Encoding : chunked", false},
		{"blank before the ID", idHeader + " : 2", false},
		{"leading blank", " X-Note: 1", false},
		{"leading tab", "\tX-Note: 1", false},
		{"leading blank before a length", " Content-Length: 3", false},
		{"blank only", " ", false},
		{"blank in place of the name", " : 1", false},
		{"tab before the colon", "X-Note\t: 1", false},
		{"tab within", "X\tNote: 1", false},
		{"NUL", "X-\x00Note: 1", false},
		{"SOH", "X-\x01Note: 1", false},
		{"CR", "X-\rNote: 1", false},
		{"CR before the colon", "X-Note\r: 1", false},
		{"vertical tab", "X-Note\v: 1", false},
		{"ESC", "\x1bX-Note: 1", false},
		{"DEL", "X-Note\x7f: 1", false},
		{"byte above ASCII", "X-N\xf6te: 1", false},
		{"delimiter", "X(Note): 1", false},
		{"no name", ": 1", false},
		{"no colon", "X-Note", false},
		{"NUL in a value", "X-Note: \x001", false},
		{"token", "X-Note!#$%&'*+.^_`|~9: 1", true},
		{"no value", "X-Note:", true},
		{"blanks around a value", "X-Note: \t 1 \t", true},
		{"long", "X-Note: " + strings.Repeat("x", 3*bufferBytes), true},
	} {
		for _, isLast := range []bool{false, true} {
			name := c.name
			line, length := c.line+"\r\n", "Content-Length: 3\r\n"
			head := "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n" + line + length
			if isLast {
				name += ", last line"
				head = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n" + length + line
			}
			testField(t, name, head+"\r\none", c.isValid)
		}
		testField(t, c.name+", first line", "HTTP/1.1 200 OK\r\n"+c.line+"\r\n"+idHeader+": 1\r\nContent-Length: 3\r\n\r\none", c.isValid)
		testField(t, c.name+", no length", "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\n"+c.line+"\r\n\r\none", c.isValid)
		testField(t, c.name+", interim response", "HTTP/1.1 103 Early Hints\r\n"+c.line+"\r\n\r\n"+responseText("1", "one"), c.isValid)
	}
}

func testField(t *testing.T, name, text string, isValid bool) {
	t.Run(name, func(t *testing.T) {
		closed := make(chan error, 1)
		p := startPeer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			readRequestID(r)
			_, _ = io.WriteString(conn, text)
			if isValid {
				return // A response without a length ends here.
			}
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, err := r.ReadByte()
			closed <- err
		})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		response, failure := newPool(t, p.address).Do(ctx, newRequest(ctx, "1", nil))
		if isValid {
			assert.Assert(t, failure == nil, "%v", failure)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "one")
			return
		}
		if failure == nil {
			_ = response.Body.Close()
			t.Fatalf("the exchange succeeded with %q", response.Header)
		}
		assert.Assert(t, failure.RequestSent && !failure.DialFailed, "%v", failure)
		err := <-closed
		assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection is still open")
	})
}

// The check of header sections must not depend on how their bytes arrive, and must end with
// the section: a body may begin with a blank.
func TestLeadingBlankIsFoundInAnyPieces(t *testing.T) {
	for _, c := range []struct {
		text    string
		isValid bool
	}{
		{"HTTP/1.1 200 OK\r\nA: 1\r\n\r\n body\r\n line", true},
		{"HTTP/1.1 200 OK\nA: 1\n\n body\n line", true},
		{"HTTP/1.1 200 OK\r\nA: \r\n\r\n\tbody", true},
		{"HTTP/1.1 200 OK\r\nA: 1\r\n B: 1\r\n\r\n", false},
		{"HTTP/1.1 200 OK\nA: 1\n\tB: 1\n\n", false},
		{"HTTP/1.1 200 OK\r\nA: 1\r\n \r\n\r\n", false},
		{" HTTP/1.1 200 OK\r\nA: 1\r\n\r\n", false},
	} {
		for first := range len(c.text) + 1 {
			for second := first; second <= len(c.text); second++ {
				h := newHeadReader(nil)
				err := h.beginHead([]byte(c.text[:first]))
				if err == nil {
					err = h.scan([]byte(c.text[first:second]))
				}
				if err == nil {
					err = h.scan([]byte(c.text[second:]))
				}
				assert.Equal(t, err == nil, c.isValid, "%q, cut at bytes %d and %d", c.text, first, second)
			}
		}
	}
}
