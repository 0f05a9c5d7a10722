package clientlimit

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/azurespring/azurespring/pkg/mesh/overload"
)

// Conn is a connection of a client whose use is counted.
type Conn struct {
	net.Conn
	account   *Account
	closeOnce sync.Once

	// headerBuffer keeps header sections back until they are complete; nil if the server does that.
	headerBuffer *headerBuffer
}

// maxUnsentBytes bounds what the kernel takes of a response before it can send it, and lets a
// writer go on once half of that has been sent. Without it a writer waits until a third of the
// socket's buffer is free, which grows to 4 MB: a client that takes its response steadily
// would look stalled, and slow while memory is short, between two of these steps.
const maxUnsentBytes = 32 << 10

func newConn(c net.Conn, account *Account) *Conn {
	if socket, ok := c.(*net.TCPConn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
			})
		}
	}
	return &Conn{Conn: c, account: account}
}

// Account returns the account of the connection.
func (c *Conn) Account() *Account { return c.account }

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.account.close)
	return err
}

// CloseWrite ends the sending side.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with unsent bytes, as net.TCPConn does.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// writePieceBytes is the part of a write that a peer takes within the write stall.
const writePieceBytes = 16 << 10

// Write implements net.Conn. A peer that takes no piece within the write stall is given up.
func (c *Conn) Write(p []byte) (n int, err error) {
	c.account.Enter(overload.Reading)
	defer c.account.Enter(overload.Running)
	for {
		piece := p[n:min(len(p), n+writePieceBytes)]
		if stall := c.account.guard.options.WriteStall; stall > 0 {
			_ = c.Conn.SetWriteDeadline(time.Now().Add(stall))
		}
		m, err := c.Conn.Write(piece)
		n += m
		c.account.Move(m)
		if err != nil || n == len(p) {
			return n, err
		}
	}
}
