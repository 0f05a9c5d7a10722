package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

const idHeader = "X-Id"

// peer is a raw TCP server: for each connection it calls serve with the number of
// the connection, from 1.
type peer struct {
	address     string
	connections atomic.Int64
}

func startPeer(t *testing.T, serve func(n int64, c net.Conn, r *bufio.Reader)) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &peer{address: listener.Addr().String()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			n := p.connections.Add(1)
			go func() {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	t.Cleanup(func() { _ = listener.Close(); <-done })
	return p
}

// readRequestID reads one request and returns its ID, or "" at the end of the
// connection.
func readRequestID(r *bufio.Reader) string {
	request, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get(idHeader)
}

func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func newRequest(ctx context.Context, id string, body io.ReadCloser) Request {
	request := (&http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "h",
		Header: http.Header{idHeader: {id}}, Body: body, ContentLength: -1,
	}).WithContext(ctx)
	if body == nil {
		request.ContentLength = 0
	}
	return Request{Request: request, IDHeader: idHeader}
}

// exchangeOnce sends one request and returns the body of its response.
func exchangeOnce(t *testing.T, p *Pool, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, failure := p.Do(ctx, newRequest(ctx, id, InMemoryBody(strings.NewReader("body"))))
	if failure != nil {
		return "", failure
	}
	content, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return string(content), err
}

func newPool(t *testing.T, address string) *Pool {
	t.Helper()
	p := NewPool(address, Dialer{Timeout: time.Second}, nil)
	t.Cleanup(p.Close)
	return p
}

// A response must never be taken for that of another request, and a truncated one
// must cause an error, whatever a faulty endpoint sends.
func TestFaultyResponseIsNotTakenForValidOne(t *testing.T) {
	for _, c := range []struct {
		name string
		// response is sent for the first request; later requests get a valid one.
		response func(id string) string
		// closeAfter closes the connection after the response.
		closeAfter bool
		// wantBody is the body that the first request gets, "" for an error.
		wantBody string
		// wantConnections is the number of connections that two requests use in turn.
		wantConnections int64
	}{
		{"valid", func(id string) string { return responseText(id, "one") }, false, "one", 1},
		{"a second response to the same request", func(id string) string { return responseText(id, "one") + responseText(id, "again") }, false, "one", 2},
		{"a response to an earlier request first", func(id string) string { return responseText("old", "old") + responseText(id, "one") }, false, "one", 1},
		{"no ID header", func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none" }, false, "one", 1},
		{"truncated", func(id string) string { return responseText(id, "one")[:len(responseText(id, "one"))-1] }, true, "", 2},
		{"no bytes", func(string) string { return "" }, true, "", 2},
		{"not HTTP", func(string) string { return "garbage\r\n\r\n" }, true, "", 2},
		{"body ends with the connection", func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\n\r\none"
		}, true, "one", 2},
		{"truncated chunked body", func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n"
		}, true, "", 2},
		{"an interim response first", func(id string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + responseText(id, "one") }, false, "one", 1},
		{"Connection: close", func(id string) string {
			return strings.Replace(responseText(id, "one"), "\r\n", "\r\nConnection: close\r\n", 1)
		}, false, "one", 2},
	} {
		p := startPeer(t, func(n int64, conn net.Conn, r *bufio.Reader) {
			for i := 0; ; i++ {
				id := readRequestID(r)
				if id == "" {
					return
				}
				text := responseText(id, "two")
				if n == 1 && i == 0 {
					text = c.response(id)
				}
				if _, err := io.WriteString(conn, text); err != nil || n == 1 && i == 0 && c.closeAfter {
					return
				}
			}
		})
		pool := newPool(t, p.address)
		got, err := exchangeOnce(t, pool, "1")
		if c.wantBody == "" {
			assert.Assert(t, err != nil, c.name)
		} else {
			assert.NilError(t, err, c.name)
			assert.Equal(t, got, c.wantBody, c.name)
		}
		got, err = exchangeOnce(t, pool, "2")
		assert.NilError(t, err, c.name)
		assert.Equal(t, got, "two", c.name)
		assert.Equal(t, p.connections.Load(), c.wantConnections, c.name)
	}
}

// An error must say that the request was not sent only if the endpoint cannot have
// run it, and that it was sent if any byte was.
func TestErrorSaysWhetherRequestWasSent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := closed.Addr().String()
	assert.NilError(t, closed.Close())
	_, failure := newPool(t, address).Do(context.Background(), newRequest(context.Background(), "1", nil))
	assert.Assert(t, failure != nil && failure.DialFailed && !failure.RequestSent)

	p := startPeer(t, func(_ int64, _ net.Conn, r *bufio.Reader) { readRequestID(r) })
	_, failure = newPool(t, p.address).Do(context.Background(), newRequest(context.Background(), "1", nil))
	assert.Assert(t, failure != nil && failure.RequestSent)
	assert.Equal(t, p.connections.Load(), int64(1), "a request was sent twice")
}

// A request must not be sent on an idle connection that the peer has closed, may be
// about to close, or that has been idle for longer than the request allows.
func TestClosedOrExpiringConnectionsAreNotReused(t *testing.T) {
	for _, c := range []struct {
		name            string
		keepAlive       string
		peerCloses      bool
		maxIdle         time.Duration
		wantConnections int64
	}{
		{"open", "timeout=10", false, 0, 1},
		{"closed by the peer", "timeout=10", true, 0, 2},
		{"closes soon", "timeout=1", false, 0, 2},
		{"idle for longer than the request allows", "timeout=10", false, time.Nanosecond, 2},
	} {
		closed := make(chan struct{}, 1)
		p := startPeer(t, func(n int64, conn net.Conn, r *bufio.Reader) {
			for {
				id := readRequestID(r)
				if id == "" {
					return
				}
				text := strings.Replace(responseText(id, "x"), "\r\n", "\r\nKeep-Alive: "+c.keepAlive+"\r\n", 1)
				_, _ = io.WriteString(conn, text)
				if c.peerCloses && n == 1 {
					_ = conn.Close()
					closed <- struct{}{}
					return
				}
			}
		})
		pool := newPool(t, p.address)
		_, err := exchangeOnce(t, pool, "1")
		assert.NilError(t, err, c.name)
		if c.peerCloses {
			<-closed
			waitForPeerClose(t, pool)
		}
		ctx := context.Background()
		request := newRequest(ctx, "2", nil)
		request.MaxIdleTime = c.maxIdle
		response, failure := pool.Do(ctx, request)
		assert.Assert(t, failure == nil, "%s: %v", c.name, failure)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, p.connections.Load(), c.wantConnections, c.name)
	}
}

// waitForPeerClose waits until the idle connections show that the peer closed them.
func waitForPeerClose(t *testing.T, p *Pool) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := c.reader.Peek(1)
		assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	}
}

// If a response ends before the request body is written, the connection must not be
// reused, because the peer still expects the rest of the body on it.
func TestConnectionIsNotReusedAfterEarlyResponse(t *testing.T) {
	p := startPeer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, responseText(request.Header.Get(idHeader), "early"))
		_, _ = io.Copy(io.Discard, conn)
	})
	pool := newPool(t, p.address)
	body, writer := io.Pipe()
	ctx := context.Background()
	response, failure := pool.Do(ctx, newRequest(ctx, "1", body))
	assert.Assert(t, failure == nil, "%v", failure)
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(content), "early")
	assert.Equal(t, len(pool.idle), 0)
	_ = writer.Close()
}

// A canceled request must close its connection, so that the peer can stop its work,
// and must leave no goroutine behind.
func TestCancelClosesTheConnection(t *testing.T) {
	current := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, current) })
	connectionClosed := make(chan struct{})
	requestArrived := make(chan struct{})
	p := startPeer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		readRequestID(r)
		close(requestArrived)
		_, _ = io.Copy(io.Discard, conn)
		close(connectionClosed)
	})
	pool := newPool(t, p.address)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-requestArrived; cancel() }()
	_, failure := pool.Do(ctx, newRequest(ctx, "1", InMemoryBody(bytes.NewReader([]byte("x")))))
	assert.Assert(t, failure != nil && failure.RequestSent && errors.Is(failure, context.Canceled), "%v", failure)
	<-connectionClosed
}

// blackholeListener listens on loopback and does not respond to connection attempts,
// like an instance without power, until accept is called.
func blackholeListener(t *testing.T) (address string, accept func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	raw, err := listener.(*net.TCPListener).SyscallConn()
	assert.NilError(t, err)
	// With a full accept queue of length 0, the kernel drops further attempts.
	assert.NilError(t, raw.Control(func(fd uintptr) { assert.NilError(t, unix.Listen(int(fd), 0)) }))
	for range 2 {
		dialer := net.Dialer{Timeout: 100 * time.Millisecond}
		if c, err := dialer.Dial("tcp", listener.Addr().String()); err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	return listener.Addr().String(), func() {
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					_, _ = io.Copy(io.Discard, c)
					_ = c.Close()
				}()
			}
		}()
	}
}

// A request must not wait longer than MaxDialWait for an unreachable instance (it was
// 300 ms for each request) while other endpoints are available. The connection, once
// established, must stay in the pool for later requests.
func TestRequestWaitsForDialOnlyUpToMaxDialWait(t *testing.T) {
	address, accept := blackholeListener(t)
	opened := make(chan struct{}, 1)
	pool := NewPool(address, Dialer{Timeout: 10 * time.Second}, func() { opened <- struct{}{} })
	defer pool.Close()
	r := newRequest(context.Background(), "1", nil)
	r.MaxDialWait = 50 * time.Millisecond
	started := time.Now()
	_, failure := pool.Do(context.Background(), r)
	assert.Assert(t, failure != nil && failure.DialFailed && !failure.RequestSent, "%v", failure)
	assert.Assert(t, time.Since(started) < time.Second, "the request waited for %v", time.Since(started))

	accept()
	<-opened // The kernel retries the connection a second after the first attempt.
	for isPooled := false; !isPooled; time.Sleep(time.Millisecond) {
		pool.mu.Lock()
		isPooled = len(pool.idle) == 1
		pool.mu.Unlock()
	}
	assert.NilError(t, pool.EnsureIdleConn(context.Background()))
	assert.Equal(t, len(opened), 0, "the connection of the first request was not reused")
}

// A peer that responds before it has read the body, and then closes the connection, must
// not lose its response: the failed write of the body closed the connection under it.
func TestEarlyResponseIsReadAfterFailedWrite(t *testing.T) {
	p := startPeer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, responseText(request.Header.Get(idHeader), "early"))
	})
	for i := range 50 {
		pool := newPool(t, p.address)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		body := struct{ io.Reader }{io.LimitReader(zeroReader{}, 8<<20)}
		response, failure := pool.Do(ctx, newRequest(ctx, fmt.Sprint(i), io.NopCloser(body)))
		assert.Assert(t, failure == nil, "exchange %d: %v", i, failure)
		content, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(content), "early")
		cancel()
	}
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }
