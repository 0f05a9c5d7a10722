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

// peer is a raw server: for each connection it calls serve with the number of
// the connection, from 1.
type peer struct {
	address string
	opened  atomic.Int64
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
			n := p.opened.Add(1)
			go func() {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	t.Cleanup(func() { _ = listener.Close(); <-done })
	return p
}

// read reads one request and returns its id; "" at the end of the connection.
func read(r *bufio.Reader) string {
	request, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get(idHeader)
}

func reply(id, body string) string {
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

// send does one exchange and returns the body of the answer.
func send(t *testing.T, p *Pool, id string) (string, error) {
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

// Guards against an answer that is taken for another request's, or a cut one
// that looks whole, whatever a faulty endpoint sends.
func TestFaultyAnswers(t *testing.T) {
	for _, c := range []struct {
		name string
		// answer is sent for the first request; later ones get a proper answer.
		answer func(id string) string
		// end closes the connection after the answer.
		end bool
		// want is the body that the first request gets, "" for an error.
		want string
		// connections is how many two requests in a row need.
		connections int64
	}{
		{"proper", func(id string) string { return reply(id, "one") }, false, "one", 1},
		{"a second answer at once", func(id string) string { return reply(id, "one") + reply(id, "again") }, false, "one", 2},
		{"an answer to an earlier request first", func(id string) string { return reply("old", "old") + reply(id, "one") }, false, "one", 1},
		{"no id", func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none" }, false, "one", 1},
		{"cut", func(id string) string { return reply(id, "one")[:len(reply(id, "one"))-1] }, true, "", 2},
		{"no bytes", func(string) string { return "" }, true, "", 2},
		{"not HTTP", func(string) string { return "garbage\r\n\r\n" }, true, "", 2},
		{"ends with the connection", func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\n\r\none"
		}, true, "one", 2},
		{"cut in chunks", func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n"
		}, true, "", 2},
		{"an interim answer first", func(id string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + reply(id, "one") }, false, "one", 1},
		{"closes", func(id string) string {
			return strings.Replace(reply(id, "one"), "\r\n", "\r\nConnection: close\r\n", 1)
		}, false, "one", 2},
	} {
		p := startPeer(t, func(n int64, conn net.Conn, r *bufio.Reader) {
			for i := 0; ; i++ {
				id := read(r)
				if id == "" {
					return
				}
				text := reply(id, "two")
				if n == 1 && i == 0 {
					text = c.answer(id)
				}
				if _, err := io.WriteString(conn, text); err != nil || n == 1 && i == 0 && c.end {
					return
				}
			}
		})
		pool := newPool(t, p.address)
		got, err := send(t, pool, "1")
		if c.want == "" {
			assert.Assert(t, err != nil, c.name)
		} else {
			assert.NilError(t, err, c.name)
			assert.Equal(t, got, c.want, c.name)
		}
		got, err = send(t, pool, "2")
		assert.NilError(t, err, c.name)
		assert.Equal(t, got, "two", c.name)
		assert.Equal(t, p.opened.Load(), c.connections, c.name)
	}
}

// Guards against a failure that claims that a request was not sent although its
// endpoint may have run it, and the other way round.
func TestFailureSaysWhetherItWasSent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := closed.Addr().String()
	assert.NilError(t, closed.Close())
	_, failure := newPool(t, address).Do(context.Background(), newRequest(context.Background(), "1", nil))
	assert.Assert(t, failure != nil && failure.DialFailed && !failure.RequestSent)

	p := startPeer(t, func(_ int64, _ net.Conn, r *bufio.Reader) { read(r) })
	_, failure = newPool(t, p.address).Do(context.Background(), newRequest(context.Background(), "1", nil))
	assert.Assert(t, failure != nil && failure.RequestSent)
	assert.Equal(t, p.opened.Load(), int64(1), "a request was sent twice")
}

// Guards against requests on connections that the peer has closed meanwhile, or
// may close at any moment.
func TestIdleConnectionsThatEndedAreNotUsed(t *testing.T) {
	for _, c := range []struct {
		name        string
		keepAlive   string
		close       bool
		maxIdle     time.Duration
		connections int64
	}{
		{"open", "timeout=10", false, 0, 1},
		{"closed by the peer", "timeout=10", true, 0, 2},
		{"closes soon", "timeout=1", false, 0, 2},
		{"idle for longer than the request allows", "timeout=10", false, time.Nanosecond, 2},
	} {
		ended := make(chan struct{}, 1)
		p := startPeer(t, func(n int64, conn net.Conn, r *bufio.Reader) {
			for {
				id := read(r)
				if id == "" {
					return
				}
				text := strings.Replace(reply(id, "x"), "\r\n", "\r\nKeep-Alive: "+c.keepAlive+"\r\n", 1)
				_, _ = io.WriteString(conn, text)
				if c.close && n == 1 {
					_ = conn.Close()
					ended <- struct{}{}
					return
				}
			}
		})
		pool := newPool(t, p.address)
		_, err := send(t, pool, "1")
		assert.NilError(t, err, c.name)
		if c.close {
			<-ended
			waitClosed(t, pool)
		}
		ctx := context.Background()
		request := newRequest(ctx, "2", nil)
		request.MaxIdleTime = c.maxIdle
		response, failure := pool.Do(ctx, request)
		assert.Assert(t, failure == nil, "%s: %v", c.name, failure)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, p.opened.Load(), c.connections, c.name)
	}
}

// waitClosed waits until the close of the idle connection has arrived here.
func waitClosed(t *testing.T, p *Pool) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := c.reader.Peek(1)
		assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	}
}

// Guards against a connection that is used again although the rest of a body is
// still due on it, after an answer that came early.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	p := startPeer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, reply(request.Header.Get(idHeader), "early"))
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

// Guards against work that goes on at the peer after the caller gave up, and
// against goroutines that stay behind.
func TestCancelClosesTheConnection(t *testing.T) {
	current := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, current) })
	ended := make(chan struct{})
	arrived := make(chan struct{})
	p := startPeer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		read(r)
		close(arrived)
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
	})
	pool := newPool(t, p.address)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-arrived; cancel() }()
	_, failure := pool.Do(ctx, newRequest(ctx, "1", InMemoryBody(bytes.NewReader([]byte("x")))))
	assert.Assert(t, failure != nil && failure.RequestSent && errors.Is(failure, context.Canceled), "%v", failure)
	<-ended
}

// silentListener listens on loopback and answers no attempt to connect, like a machine
// without power, until accept is called.
func silentListener(t *testing.T) (address string, accept func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	raw, err := listener.(*net.TCPListener).SyscallConn()
	assert.NilError(t, err)
	// With a full queue of length 0, the kernel drops further attempts.
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

// Guards against requests that wait for a machine which is gone, 300 ms each, although
// other endpoints are free; and against connections that are made in vain.
func TestRequestDoesNotWaitForASlowConnection(t *testing.T) {
	address, accept := silentListener(t)
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
	<-opened // The system tries again a second after the first attempt.
	assert.NilError(t, pool.EnsureIdleConn(context.Background()))
	assert.Equal(t, len(opened), 0, "the connection of the first request was not kept")
}
