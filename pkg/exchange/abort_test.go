package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A response without a length ends with its connection. If that is aborted while the request
// body is still written, a write may take the error of the connection, or the reset may only
// follow an ordinary end: the part that had arrived counted as the complete response.
func TestResponseCutByAbortIsNotComplete(t *testing.T) {
	const part = "part of the response"
	for _, c := range []struct {
		name string
		// end is what the peer does after it has sent the response, or the part of it, and
		// before it closes the connection.
		end        func(conn *net.TCPConn)
		isComplete bool
		exchanges  int
	}{
		{"reset", func(conn *net.TCPConn) { _ = conn.SetLinger(0) }, false, 20},
		{"closed", func(*net.TCPConn) {}, false, 20},
		{"half-closed, then closed", func(conn *net.TCPConn) { _ = conn.CloseWrite() }, false, 20},
		// The kernel gives up a connection whose peer accepts no bytes for unackedTimeout.
		{"stalled", func(*net.TCPConn) { time.Sleep(3 * unackedTimeout) }, false, 1},
		{"half-closed, request read to its end", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}, true, 20},
	} {
		for _, readsAtOnce := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reads at once %v", c.name, readsAtOnce), func(t *testing.T) {
				t.Parallel()
				p := startPeer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idHeader+": "+request.Header.Get(idHeader)+"\r\n\r\n"+part)
					c.end(conn.(*net.TCPConn))
				})
				for i := range c.exchanges {
					pool := newPool(t, p.address)
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
					body := &closeSignalBody{Reader: io.LimitReader(zeroReader{}, 64<<20), closed: make(chan struct{})}
					response, failure := pool.Do(ctx, newRequest(ctx, fmt.Sprint(i), body))
					assert.Assert(t, failure == nil, "exchange %d: %v", i, failure)
					if !readsAtOnce && !c.isComplete {
						<-body.closed
					}
					content, err := io.ReadAll(response.Body)
					if c.isComplete {
						assert.NilError(t, err, "exchange %d", i)
						assert.Equal(t, string(content), part)
					} else {
						assert.Assert(t, err != nil, "exchange %d: %q counts as complete", i, content)
						assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "exchange %d: %v", i, err)
					}
					cancel()
				}
			})
		}
	}
}

// closeSignalBody is a request body that tells when net/http has written it or given it up.
type closeSignalBody struct {
	io.Reader
	closed chan struct{}
	once   sync.Once
}

// Close implements io.Closer.
func (b *closeSignalBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// A peer that has closed its side in order, while the body of the request is still awaited
// from the client, has completed a response without a length. It must not wait for the body.
func TestResponseEndsBeforeRequestBody(t *testing.T) {
	p := startPeer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\n\r\nearly")
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, r)
	})
	body, writer := io.Pipe()
	defer writer.Close()
	ctx := context.Background()
	response, failure := newPool(t, p.address).Do(ctx, newRequest(ctx, "1", body))
	assert.Assert(t, failure == nil, "%v", failure)
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(content), "early")
}
