package faultproxy

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startEchoProxy starts an echo server and returns a proxy in front of it.
func startEchoProxy(t *testing.T) *TCPProxy {
	t.Helper()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	p, err := NewTCPProxy(server.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return p
}

// Verifies that each fault has the effect that other tests rely on.
func TestTCPProxyInjectsFaults(t *testing.T) {
	p := startEchoProxy(t)
	c, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	defer c.Close()
	reader := bufio.NewReader(c)
	roundTrip := func(timeout time.Duration) error {
		_, err := c.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(timeout)))
		_, err = reader.ReadString('\n')
		return err
	}
	assert.NilError(t, roundTrip(10*time.Second))
	p.SetFaults(TCPFaults{DropToClient: true})
	assert.ErrorContains(t, roundTrip(100*time.Millisecond), "timeout")
	p.SetFaults(TCPFaults{})
	assert.ErrorContains(t, roundTrip(100*time.Millisecond), "timeout", "a blackholed connection must stay blackholed")
	p.ResetConnections()
	_, err = reader.ReadString('\n')
	assert.Assert(t, err != nil)
	p.SetFaults(TCPFaults{RefuseConnections: true})
	refused, err := net.Dial("tcp", p.Address())
	if err == nil {
		_, err = refused.Read(make([]byte, 1))
	}
	assert.Assert(t, err != nil)
}
