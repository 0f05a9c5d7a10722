package transport

import (
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// minSocketAge bounds how often sockets are replaced. It is less than the time
// in which a connection is found silent, so no address is dialed again from the
// port on which it was just found silent.
const minSocketAge = 500 * time.Millisecond

// socket is a UDPProxy port from which connections are dialed. Generation 0 is the
// port that also accepts connections.
type socket struct {
	udp        *net.UDPConn
	quic       *quic.Transport
	generation int
	created    time.Time
	users      int // dials and connections; guarded by sockets.mu
}

func (s *socket) close() {
	_ = s.quic.Close()
	_ = s.udp.Close()
}

// sockets provides ports to dial from. A fault on the path may silence the flow
// between two ports for good while other flows work, and a new connection from
// the same port would be silent too. So an address that was found silent is
// dialed from a newer port.
type sockets struct {
	main *socket

	mu        sync.Mutex
	alternate *socket // the newest beside main, nil if there is none
	old       map[*socket]struct{}
	// lowest holds the lowest generation to dial an address from, if not 0.
	lowest map[string]int
	closed bool
}

func newSockets(main *socket) *sockets {
	return &sockets{main: main, old: make(map[*socket]struct{}), lowest: make(map[string]int)}
}

// avoid lets address be dialed from newer sockets than the given generation.
func (s *sockets) avoid(address string, generation int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lowest[address] = max(s.lowest[address], generation+1)
}

// forgive ends avoid, unless sockets newer than generation are avoided.
func (s *sockets) forgive(address string, generation int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lowest[address] <= generation {
		delete(s.lowest, address)
	}
}

// acquire returns a socket to dial address from; release ends its use.
func (s *sockets) acquire(address string) (*socket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	generation := s.lowest[address]
	if generation == 0 {
		return s.main, nil
	}
	if s.closed {
		return nil, ErrClosed
	}
	if a := s.alternate; a != nil && (a.generation >= generation || time.Since(a.created) < minSocketAge) {
		a.users++
		return a, nil
	}
	next, err := s.open(generation)
	if err != nil {
		return nil, err
	}
	if a := s.alternate; a != nil {
		next.generation = max(generation, a.generation+1)
		s.retire(a)
	}
	s.alternate = next
	return next, nil
}

func (s *sockets) open(generation int) (*socket, error) {
	local := s.main.udp.LocalAddr().(*net.UDPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: local.IP, Zone: local.Zone})
	if err != nil {
		return nil, eris.Wrap(err, "open UDP socket")
	}
	return &socket{
		udp: udp, quic: &quic.Transport{Conn: udp}, generation: generation, created: time.Now(), users: 1,
	}, nil
}

// retire closes a replaced socket as soon as nothing uses it.
func (s *sockets) retire(old *socket) {
	if old.users == 0 {
		old.close()
		return
	}
	s.old[old] = struct{}{}
}

func (s *sockets) release(used *socket) {
	if used == s.main {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	used.users--
	if _, ok := s.old[used]; ok && used.users == 0 {
		delete(s.old, used)
		used.close()
	}
}

func (s *sockets) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.main.close()
	if s.alternate != nil {
		s.alternate.close()
	}
	for old := range s.old {
		old.close()
	}
	s.closed = true
}
