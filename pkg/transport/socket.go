package transport

import (
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// minSocketAge bounds how often sockets are replaced. It is less than the time
// that it takes to detect an unresponsive connection, so no address is dialed
// again from the port on which it was just unresponsive.
const minSocketAge = 500 * time.Millisecond

// socket is a UDP socket from which connections are dialed. Generation 0 is the
// socket that also accepts connections.
type socket struct {
	udp        *net.UDPConn
	quic       *quic.Transport
	generation int
	createdAt  time.Time
	useCount   int // dials and connections; guarded by socketSet.mu
}

func (s *socket) close() {
	_ = s.quic.Close()
	_ = s.udp.Close()
}

// socketSet provides the sockets to dial from. A fault on the network path may
// blackhole the flow between two ports permanently while other flows work, and a
// new connection from the same port would be blackholed too. Therefore an address
// that was unresponsive is dialed from a socket of a newer generation, on another
// port.
type socketSet struct {
	main *socket

	mu       sync.Mutex
	newest   *socket // the newest after main, nil if there is none
	replaced map[*socket]struct{}
	// minGeneration holds, by address, the lowest generation to dial from if that
	// is not 0.
	minGeneration map[string]int
	closed        bool
}

func newSocketSet(main *socket) *socketSet {
	return &socketSet{main: main, replaced: make(map[*socket]struct{}), minGeneration: make(map[string]int)}
}

// avoidUpTo makes later dials to address use sockets of a newer generation than
// the given one.
func (s *socketSet) avoidUpTo(address string, generation int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.minGeneration[address] = max(s.minGeneration[address], generation+1)
}

// stopAvoiding allows dials to address from all sockets again, unless sockets of the
// given generation are still to be avoided.
func (s *socketSet) stopAvoiding(address string, generation int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.minGeneration[address] <= generation {
		delete(s.minGeneration, address)
	}
}

// acquire returns a socket to dial address from. The caller must release it.
func (s *socketSet) acquire(address string) (*socket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	generation := s.minGeneration[address]
	if generation == 0 {
		return s.main, nil
	}
	if s.closed {
		return nil, ErrClosed
	}
	if newest := s.newest; newest != nil && (newest.generation >= generation || time.Since(newest.createdAt) < minSocketAge) {
		newest.useCount++
		return newest, nil
	}
	next, err := s.open(generation)
	if err != nil {
		return nil, err
	}
	if newest := s.newest; newest != nil {
		next.generation = max(generation, newest.generation+1)
		s.retire(newest)
	}
	s.newest = next
	return next, nil
}

func (s *socketSet) open(generation int) (*socket, error) {
	local := s.main.udp.LocalAddr().(*net.UDPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: local.IP, Zone: local.Zone})
	if err != nil {
		return nil, eris.Wrap(err, "open UDP socket")
	}
	return &socket{
		udp: udp, quic: &quic.Transport{Conn: udp}, generation: generation, createdAt: time.Now(), useCount: 1,
	}, nil
}

// retire closes a replaced socket as soon as nothing uses it.
func (s *socketSet) retire(old *socket) {
	if old.useCount == 0 {
		old.close()
		return
	}
	s.replaced[old] = struct{}{}
}

func (s *socketSet) release(used *socket) {
	if used == s.main {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	used.useCount--
	if _, ok := s.replaced[used]; ok && used.useCount == 0 {
		delete(s.replaced, used)
		used.close()
	}
}

func (s *socketSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.main.close()
	if s.newest != nil {
		s.newest.close()
	}
	for old := range s.replaced {
		old.close()
	}
	s.closed = true
}
