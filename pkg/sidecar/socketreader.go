package sidecar

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketReadBytes is the size of one read from a client's connection.
const socketReadBytes = 32 << 10

// socketReads holds the memory of reads. A connection holds some only while bytes are
// copied, not while it waits for them.
var socketReads = sync.Pool{New: func() any { b := make([]byte, socketReadBytes); return &b }}

// socketReader reads from a connection.
type socketReader struct {
	conn net.Conn
	// raw is nil if the connection gives no access to its socket.
	raw syscall.RawConn
}

func newSocketReader(c net.Conn) socketReader {
	r := socketReader{conn: c}
	if socket, ok := c.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			r.raw = raw
		}
	}
	return r
}

// read waits for bytes and passes at most maxBytes to take, which must not keep them.
func (r socketReader) read(maxBytes int, take func(p []byte)) error {
	if r.raw == nil {
		chunk := make([]byte, min(maxBytes, bufferSizes[0]))
		n, err := r.conn.Read(chunk)
		if n > 0 {
			take(chunk[:n])
		}
		return err
	}
	var readErr error
	err := r.raw.Read(func(fd uintptr) bool {
		chunk := socketReads.Get().(*[]byte)
		defer socketReads.Put(chunk)
		for {
			n, err := unix.Read(int(fd), (*chunk)[:min(maxBytes, socketReadBytes)])
			switch {
			case err == unix.EINTR:
				continue
			case err == unix.EAGAIN:
				return false
			case err != nil:
				readErr = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)}
			case n == 0:
				readErr = io.EOF
			default:
				take((*chunk)[:n])
			}
			return true
		}
	})
	if err != nil {
		return err
	}
	return readErr
}
