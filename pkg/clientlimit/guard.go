// Package clientlimit applies the decisions of package overload to the listeners of a node:
// it counts connections and what they hold, keeps header sections unparsed until they are
// complete, and ends connections while memory or descriptors are short.
package clientlimit

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh/overload"
)

// Options are the limits of a Guard.
type Options struct {
	overload.Limits
	// HeaderBytes and HeaderFields bound a header section, HeaderTimeout the time in which it
	// arrives, from its first byte; 0 means no bound.
	HeaderBytes, HeaderFields int
	HeaderTimeout             time.Duration
	// WriteStall is the time within which a peer takes the bytes of one write.
	WriteStall time.Duration
	// RefusalFields are header fields of 503 responses by listener, each with its line end:
	// other nodes need more than the status to know that a call has not run.
	RefusalFields map[overload.Listener]string
}

// Reasons of what a Guard refused or ended, in metrics and logs.
const (
	// ReasonConnections: a listener has as many connections as it may.
	ReasonConnections = "connections"
	// ReasonShort: the connection was ended to make room for others.
	ReasonShort = "short"
	// ReasonMemory: there was no memory for a request.
	ReasonMemory = "memory"
	// ReasonHeader: a header section is too large or has too many fields.
	ReasonHeader = "header"
	// ReasonSlowHeader: a header section did not arrive in time.
	ReasonSlowHeader = "slow-header"
	// ReasonCalls: too many requests run.
	ReasonCalls = "calls"
)

// Guard holds what the clients of a node use. Its methods are safe for concurrent use and
// for a nil Guard, which has no limits.
type Guard struct {
	options Options
	now     func() time.Time
	// isPeer reports whether an address, without its port, is that of another node.
	isPeer func(host string) bool
	// onRefused is called for each connection or request that is refused or ended.
	onRefused func(listener overload.Listener, reason string)

	mu     sync.Mutex
	ledger *overload.Ledger
	conns  map[overload.ID]net.Conn
}

// New returns a guard without connections.
func New(options Options, now func() time.Time, isPeer func(host string) bool, onRefused func(listener overload.Listener, reason string)) *Guard {
	return &Guard{
		options: options, now: now, isPeer: isPeer, onRefused: onRefused,
		ledger: overload.New(options.Limits), conns: make(map[overload.ID]net.Conn),
	}
}

// HeldBytes returns the memory that clients hold.
func (g *Guard) HeldBytes() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Held()
}

// Descriptors returns the descriptors that the clients of a listener use.
func (g *Guard) Descriptors(listener overload.Listener) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Descriptors(listener)
}

// HoldShared counts memory that belongs to no connection and reports whether there is room.
func (g *Guard) HoldShared(bytes int64) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.HoldShared(bytes)
}

// ReleaseShared releases what HoldShared admitted.
func (g *Guard) ReleaseShared(bytes int64) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.ReleaseShared(bytes)
}

// take returns the connections to end and forgets them; g.mu must be held.
func (g *Guard) take(victims []overload.ID) []net.Conn {
	var conns []net.Conn
	for _, id := range victims {
		if c := g.conns[id]; c != nil {
			conns = append(conns, c)
			delete(g.conns, id)
		}
	}
	return conns
}

func (g *Guard) endAll(listener overload.Listener, conns []net.Conn) {
	for _, c := range conns {
		g.onRefused(listener, ReasonShort)
		abort(c)
	}
}

// Account is what one connection uses. Its methods are safe for concurrent use and for a nil
// Account, which has no limits.
type Account struct {
	guard    *Guard
	id       overload.ID
	listener overload.Listener
}

// Hold counts memory and reports whether there is room.
func (a *Account) Hold(bytes int64) bool {
	if a == nil {
		return true
	}
	g := a.guard
	g.mu.Lock()
	victims, isAdmitted := g.ledger.Hold(g.now(), a.id, bytes)
	conns := g.take(victims)
	g.mu.Unlock()
	g.endAll(a.listener, conns)
	return isAdmitted
}

// Release releases memory.
func (a *Account) Release(bytes int64) {
	if a == nil {
		return
	}
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	a.guard.ledger.Release(a.id, bytes)
}

// BeginCall counts a request that may need a descriptor and reports whether there is room.
func (a *Account) BeginCall() bool {
	if a == nil {
		return true
	}
	g := a.guard
	g.mu.Lock()
	victims, isAdmitted := g.ledger.BeginCall(g.now(), a.id)
	conns := g.take(victims)
	g.mu.Unlock()
	g.endAll(a.listener, conns)
	return isAdmitted
}

// EndCall ends what BeginCall admitted.
func (a *Account) EndCall() {
	if a == nil {
		return
	}
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	a.guard.ledger.EndCall(a.id)
}

// Enter records the phase of the connection.
func (a *Account) Enter(phase overload.Phase) {
	if a == nil {
		return
	}
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	a.guard.ledger.Enter(a.guard.now(), a.id, phase)
}

// Move records that the peer has sent or taken bytes.
func (a *Account) Move(bytes int) {
	if a == nil || bytes <= 0 {
		return
	}
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	a.guard.ledger.Move(a.id, bytes)
}

// Refuse records that something was refused.
func (a *Account) Refuse(reason string) {
	if a != nil {
		a.guard.onRefused(a.listener, reason)
	}
}

func (a *Account) close() {
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	a.guard.ledger.Close(a.id)
	delete(a.guard.conns, a.id)
}

// acceptRetryDelay is the pause after a connection could not be accepted. net/http waits for
// between 5 ms and a second.
const acceptRetryDelay = 20 * time.Millisecond

// listener admits connections.
type listener struct {
	net.Listener
	guard *Guard
	name  overload.Listener
}

// Listen returns a listener that admits the connections of l, which are *Conn.
func (g *Guard) Listen(l net.Listener, name overload.Listener) net.Listener {
	return &listener{Listener: l, guard: g, name: name}
}

// Accept implements net.Listener. A lack of descriptors does not end it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			if !IsTemporary(err) {
				return nil, err
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		if admitted := l.admit(c); admitted != nil {
			return admitted, nil
		}
		l.guard.onRefused(l.name, ReasonConnections)
		// A new socket takes these bytes at once. The client may have sent a request.
		_ = c.SetWriteDeadline(time.Now().Add(acceptRetryDelay))
		_ = WriteRefusal(c, http.StatusServiceUnavailable, l.guard.options.RefusalFields[l.name])
		_ = c.Close()
	}
}

func (l *listener) admit(c net.Conn) *Conn {
	g := l.guard
	isPeer := l.name == overload.Inbound && g.isPeerAddress(c.RemoteAddr())
	g.mu.Lock()
	id, victims, isAdmitted := g.ledger.Open(g.now(), l.name, isPeer)
	conns := g.take(victims)
	if isAdmitted {
		g.conns[id] = c
	}
	g.mu.Unlock()
	g.endAll(l.name, conns)
	if !isAdmitted {
		return nil
	}
	return newConn(c, &Account{guard: g, id: id, listener: l.name})
}

func (g *Guard) isPeerAddress(address net.Addr) bool {
	host, _, err := net.SplitHostPort(address.String())
	return err == nil && g.isPeer(host)
}

// abort closes a connection with a reset: a peer that does not read would keep the memory of
// the socket.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// IsTemporary reports whether accepting a connection may succeed later: the process or the
// machine is short of descriptors or memory, or the client has left.
func IsTemporary(err error) bool {
	for _, temporary := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR,
	} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}
