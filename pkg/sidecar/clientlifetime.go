package sidecar

import "time"

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
	if tcp, ok := s.conn.Conn.(interface{ CloseWrite() error }); ok {
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
