package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// Verifies that no request is started on a connection that is being closed, whether
// because it was idle or because the server shuts down. Such a request would run and
// its response would be lost; a request that was not started can be sent again.
func TestRequestDuringConnectionCloseIsNotStarted(t *testing.T) {
	const idle = 20 * time.Millisecond
	for _, shutdown := range []bool{false, true} {
		t.Run(fmt.Sprint("shutdown ", shutdown), func(t *testing.T) {
			for range 40 {
				sendRequestsDuringClose(t, idle, shutdown)
			}
		})
	}
}

// sendRequestsDuringClose lets clients send their second requests at about the time at
// which their connections are closed.
func sendRequestsDuringClose(t *testing.T, idle time.Duration, shutdown bool) {
	t.Helper()
	var mu sync.Mutex
	started := make(map[string]bool)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		started[r.URL.Path] = true
		mu.Unlock()
		time.Sleep(time.Millisecond)
		w.WriteHeader(http.StatusOK)
	})
	limits := mesh.Limits{IdleTimeout: idle}
	if shutdown {
		limits.IdleTimeout = time.Minute
	}
	server := newClientServer(handler, func() mesh.Limits { return limits }, func(reason any, _ []byte) { t.Error(reason) }, func(cutConnection) {})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()

	const clients = 40
	var responded sync.Map
	var running, firstRequests sync.WaitGroup
	firstRequests.Add(clients)
	for i := range clients {
		running.Go(func() {
			c, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				firstRequests.Done()
				t.Error(err)
				return
			}
			defer c.Close()
			reader := bufio.NewReader(c)
			sendRequest := func(path string) bool {
				if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
					return false
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					return false
				}
				return response.Body.Close() == nil
			}
			// On a busy instance, the first request may also arrive during a close.
			responded.Store(fmt.Sprintf("/first/%d", i), sendRequest(fmt.Sprintf("/first/%d", i)))
			firstRequests.Done()
			time.Sleep(idle - 500*time.Microsecond + rand.N(time.Millisecond))
			responded.Store(fmt.Sprintf("/second/%d", i), sendRequest(fmt.Sprintf("/second/%d", i)))
		})
	}
	if shutdown {
		firstRequests.Wait()
		time.Sleep(idle)
		assert.NilError(t, server.Shutdown(t.Context()))
	}
	running.Wait()
	assert.NilError(t, server.Shutdown(t.Context()))
	assert.Equal(t, <-served, http.ErrServerClosed)
	mu.Lock()
	defer mu.Unlock()
	for path := range started {
		if ok, _ := responded.Load(path); ok != true {
			t.Fatalf("request %s was started but got no response", path)
		}
	}
}

// Verifies that a connection that the node closes under a request is reported and told
// apart from a client that leaves. Otherwise a lost request looks like an impatient client.
func TestCutConnectionIsReported(t *testing.T) {
	for _, byNode := range []bool{false, true} {
		t.Run(fmt.Sprint("by node ", byNode), func(t *testing.T) {
			started, cause := make(chan struct{}), make(chan error, 1)
			handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				close(started)
				<-r.Context().Done()
				cause <- context.Cause(r.Context())
				panic(http.ErrAbortHandler)
			})
			var cuts []cutConnection
			server := newClientServer(handler, func() mesh.Limits { return mesh.Limits{} },
				func(reason any, _ []byte) { t.Error(reason) }, func(c cutConnection) { cuts = append(cuts, c) })
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			served := make(chan error, 1)
			go func() { served <- server.Serve(listener) }()
			c, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer c.Close()
			_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
			<-started
			if byNode {
				assert.NilError(t, server.Close())
				assert.Equal(t, <-cause, errClosedByNode)
			} else {
				assert.NilError(t, c.Close())
				assert.Equal(t, <-cause, errClosedByClient)
				assert.NilError(t, server.Shutdown(t.Context()))
			}
			assert.Equal(t, <-served, http.ErrServerClosed)
			want := []cutConnection{}
			if byNode {
				want = append(want, cutConnection{reason: cutByShutdown, client: c.LocalAddr().String(), inFlight: 1})
			}
			assert.Equal(t, len(cuts), len(want))
			for i := range want {
				cuts[i].idle = 0
				assert.Equal(t, cuts[i], want[i])
			}
		})
	}
}

// startClientServer starts a server on a loopback address and returns a connection to it.
func startClientServer(t *testing.T, server *clientServer) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	c, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = c.Close()
		assert.NilError(t, server.Shutdown(context.Background()))
		assert.Equal(t, <-served, http.ErrServerClosed)
	})
	return c
}

// onlySession waits for the session of the only connection.
func (s *clientServer) onlySession() *session {
	for {
		s.mu.Lock()
		for session := range s.sessions {
			s.mu.Unlock()
			return session
		}
		s.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

// Guards against a connection that is taken for idle and closed while a request on it is
// arriving or has been read but not begun.
func TestConnectionWithArrivingRequestIsNotClosedAsIdle(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, c := range []struct {
		name string
		// arrived is the part of the request that has arrived when the connection is checked.
		arrived int
	}{
		{"first byte", 1},
		{"all but the last byte", len(request) - 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := newClientServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }),
				func() mesh.Limits { return mesh.Limits{} }, func(reason any, _ []byte) { t.Error(reason) }, func(cut cutConnection) { t.Error(cut) })
			conn := startClientServer(t, server)
			_, err := conn.Write([]byte(request[:c.arrived]))
			assert.NilError(t, err)
			session := server.onlySession()
			for isReading := false; !isReading; time.Sleep(time.Millisecond) {
				session.mu.Lock()
				isReading = session.isReading
				session.mu.Unlock()
			}
			session.closeIfIdle(0)
			_, err = conn.Write([]byte(request[c.arrived:]))
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err, "the connection was closed under the request")
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, http.StatusOK)
		})
	}
}

// Guards against a connection that is closed after an idle timeout that a configuration
// has raised in the meantime.
func TestRaisedIdleTimeoutAppliesToIdleConnections(t *testing.T) {
	var reads atomic.Int64
	limits := func() mesh.Limits {
		// The timeout is raised after the timers were started: at the accept and at the end
		// of the first request.
		if reads.Add(1) <= 2 {
			return mesh.Limits{IdleTimeout: 50 * time.Millisecond}
		}
		return mesh.Limits{IdleTimeout: time.Minute}
	}
	server := newClientServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }),
		limits, func(reason any, _ []byte) { t.Error(reason) }, func(cut cutConnection) { t.Error(cut) })
	conn := startClientServer(t, server)
	reader := bufio.NewReader(conn)
	for i := range 2 {
		_, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err, "request %d", i)
		assert.NilError(t, response.Body.Close())
		if i == 0 {
			_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
			_, err = reader.Peek(1)
			assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "the connection was closed: %v", err)
			_ = conn.SetReadDeadline(time.Time{})
		}
	}
}

// failingListener fails with the given errors before it accepts connections.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.Listener.Accept()
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
}

// A server must go on after an error that passes, such as a lack of descriptors. It took no
// client any more, while the node said that it was ready.
func TestServerOutlivesTemporaryAcceptErrors(t *testing.T) {
	server := newClientServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }),
		func() mesh.Limits { return mesh.Limits{} }, func(reason any, _ []byte) { t.Error(reason) }, func(cutConnection) {})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() {
		served <- server.Serve(&failingListener{Listener: listener, errs: []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED}})
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.NilError(t, server.Close())
	assert.ErrorIs(t, <-served, http.ErrServerClosed)
}
