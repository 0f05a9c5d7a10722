package sidecar

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// acceptRetryDelay is the pause after a connection could not be accepted. net/http waits for
// between 5 ms and a second.
const acceptRetryDelay = 20 * time.Millisecond

// isTemporary reports whether accepting a connection may succeed later: the process or the
// machine is short of descriptors or memory, or the client has left.
func isTemporary(err error) bool {
	for _, temporary := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

// setClosing lets no further request start on the connection.
func (s *session) setClosing() {
	s.mu.Lock()
	s.isClosing, s.isLingering = true, true
	s.mu.Unlock()
}

func (s *session) setLingering() {
	s.mu.Lock()
	s.isLingering = true
	s.mu.Unlock()
}

// linger gives the client time to read the last response, then closes the connection.
func (s *session) linger() {
	s.setLingering()
	if tcp, ok := s.conn.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	timer := time.NewTimer(lingerTimeout)
	defer timer.Stop()
	select {
	case <-s.conn.ctx.Done():
	case <-timer.C:
	}
	_ = s.conn.Close()
}
