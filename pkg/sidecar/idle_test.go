package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// pausingListener accepts connections whose Read calls afterRead between the system call
// and its return, as if the goroutine lost the processor there.
type pausingListener struct {
	net.Listener
	afterRead func()
}

// Accept implements net.Listener.
func (l pausingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return pausingConn{TCPConn: c.(*net.TCPConn), afterRead: l.afterRead}, nil
}

type pausingConn struct {
	*net.TCPConn
	afterRead func()
}

// Read implements net.Conn.
func (c pausingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.afterRead()
	}
	return n, err
}

// Guards against a connection that is taken for idle after its request has left the socket
// and before readAhead has put it into the buffer.
func TestConnectionIsNotIdleBetweenSocketAndBuffer(t *testing.T) {
	var server *clientServer
	var checks atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	paused := pausingListener{Listener: listener, afterRead: func() {
		if checks.Add(1) == 1 {
			server.onlySession().closeIfIdle(0) // The idle timer fires here.
		}
	}}
	server = newClientServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }),
		func() mesh.Limits { return mesh.Limits{} }, func(reason any, _ []byte) { t.Error(reason) }, func(cutConnection) {})
	served := make(chan error, 1)
	go func() { served <- server.Serve(paused) }()
	t.Cleanup(func() {
		assert.NilError(t, server.Close())
		<-served
	})
	response, err := http.Get("http://" + listener.Addr().String() + "/")
	assert.NilError(t, err, "the connection was closed under a request that had been read")
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// Guards against a connection that is taken for idle while bytes of a request are in the
// buffer or in the socket and the session has not begun to read them.
func TestConnectionWithUnreadBytesIsNotIdle(t *testing.T) {
	for _, readsAhead := range []bool{true, false} {
		t.Run(fmt.Sprint("read ahead ", readsAhead), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			client, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer client.Close()
			accepted, err := listener.Accept()
			assert.NilError(t, err)
			conn := newClientConn(accepted)
			if readsAhead {
				go conn.readAhead()
			}
			defer conn.Close()
			session := newSession(newClientServer(nil, func() mesh.Limits { return mesh.Limits{} }, nil, nil), conn)
			_, err = client.Write([]byte("GET"))
			assert.NilError(t, err)
			for deadline := time.Now().Add(10 * time.Second); readsAhead && conn.unreadBytes() == 0; time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Now().Before(deadline), "the bytes were not read")
			}
			session.closeInterrupted()
			assert.Assert(t, !session.isClosing, "the connection was closed as idle")
		})
	}
}

// Guards against an idle connection that stays open for ever because its timer is not
// started again after the idle timeout was raised.
func TestIdleConnectionIsClosedAfterRaisedTimeout(t *testing.T) {
	const first, raised = 20 * time.Millisecond, 200 * time.Millisecond
	var reads atomic.Int64
	server := newClientServer(http.NotFoundHandler(), func() mesh.Limits {
		if reads.Add(1) == 1 {
			return mesh.Limits{IdleTimeout: first}
		}
		return mesh.Limits{IdleTimeout: raised}
	}, func(reason any, _ []byte) { t.Error(reason) }, func(cut cutConnection) { t.Error(cut) })
	conn := startClientServer(t, server)
	started := time.Now()
	_ = conn.SetReadDeadline(started.Add(10 * time.Second))
	_, err := conn.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	assert.Assert(t, time.Since(started) >= raised/2, "closed after the old timeout")
}
