package overload

import (
	"cmp"
	"slices"
	"time"
)

// Phase is what a connection does.
type Phase uint8

// The phases of a connection. A peer owes bytes in Sending and room in Reading; Running and
// Idle cannot be its fault.
const (
	Idle Phase = iota
	Sending
	Reading
	Running
)

// ID identifies a connection in a Ledger.
type ID uint64

// connection is what a Ledger knows of a connection.
type connection struct {
	id       ID
	listener Listener
	// isPeer is set for connections of other nodes.
	isPeer bool
	phase  Phase
	// since is when the phase began, phaseMoved the bytes that were moved in it. Since the
	// connection was idle last, the node has waited for its peer for the time waited, in
	// earlier phases, and moved bytes were moved.
	since             time.Time
	waited            time.Duration
	phaseMoved, moved int64
	held              int64
	calls             int
	// hasServed is set once a request has ended.
	hasServed bool
	// isEnding is set once the connection was chosen to be ended.
	isEnding bool
}

// Ledger holds what the connections of a node use. It is not safe for concurrent use.
type Ledger struct {
	limits      Limits
	lastID      ID
	connections map[ID]*connection
	// shared is memory that belongs to no connection. ending is the part of held that the
	// connections hold that are being ended.
	held, shared, ending int64
	// descriptors counts by listener, peers those of other nodes.
	descriptors, peers [listenerCount]int
	// memoryChosenAt and descriptorsChosenAt are when there was last nothing to end.
	memoryChosenAt      time.Time
	descriptorsChosenAt [listenerCount]time.Time
}

// choiceInterval is the pause after no connection could be ended: comparing thousands for
// each request that is refused would take more time than the requests.
const choiceInterval = 20 * time.Millisecond

// New returns an empty ledger.
func New(limits Limits) *Ledger {
	return &Ledger{limits: limits, connections: make(map[ID]*connection)}
}

// Held returns the memory that clients hold, in bytes.
func (l *Ledger) Held() int64 { return l.held + l.shared }

// Descriptors returns the descriptors that the clients of a listener use.
func (l *Ledger) Descriptors(listener Listener) int { return l.descriptors[listener] }

// Open admits a connection and returns those that have to be ended for it. Without room
// and without one that may be ended, the connection is refused. Connections that are not of
// other nodes use at most half of the descriptors of Inbound; other nodes may also use those
// that Outbound does not, up to half of them.
func (l *Ledger) Open(now time.Time, listener Listener, isPeer bool) (id ID, victims []ID, isAdmitted bool) {
	if l.isShort(listener, isPeer) {
		if victims = l.chooseForDescriptor(now, listener, isPeer); len(victims) == 0 {
			return 0, nil, false
		}
	}
	l.lastID++
	c := &connection{id: l.lastID, listener: listener, isPeer: isPeer, since: now}
	l.connections[c.id] = c
	l.descriptors[listener]++
	if isPeer {
		l.peers[listener]++
	}
	return c.id, victims, true
}

// isShort reports whether a listener has no descriptor for a further connection or request.
func (l *Ledger) isShort(listener Listener, isPeer bool) bool {
	limit, used := l.limits.Descriptors[listener], l.descriptors[listener]
	outbound, inbound := l.limits.Descriptors[Outbound], l.limits.Descriptors[Inbound]
	switch {
	case limit <= 0:
		return false
	case listener == Outbound && inbound > 0:
		return used >= limit-max(0, l.descriptors[Inbound]-inbound)
	case listener != Inbound:
		return used >= limit
	case !isPeer:
		return used-l.peers[Inbound] >= (limit+1)/2 || used >= limit && l.isShort(Inbound, true)
	}
	return used >= limit+min(outbound/2, max(0, outbound-l.descriptors[Outbound]))
}

// Close removes a connection with all that it holds.
func (l *Ledger) Close(id ID) {
	c := l.connections[id]
	if c == nil {
		return
	}
	delete(l.connections, id)
	l.held -= c.held
	if c.isEnding {
		l.ending -= c.held
	} else {
		l.countDescriptors(c, -1)
	}
}

func (l *Ledger) countDescriptors(c *connection, sign int) {
	l.descriptors[c.listener] += sign * (1 + c.calls)
	if c.isPeer {
		l.peers[c.listener] += sign
	}
}

// Enter records that a connection enters a phase.
func (l *Ledger) Enter(now time.Time, id ID, phase Phase) {
	c := l.connections[id]
	if c == nil || c.phase == phase {
		return
	}
	if c.isWaiting() {
		c.waited += now.Sub(c.since)
	}
	if phase == Idle {
		c.hasServed, c.waited, c.moved = true, 0, 0
	}
	c.phase, c.since, c.phaseMoved = phase, now, 0
}

// isWaiting reports whether the node waits for the peer of a connection.
func (c *connection) isWaiting() bool { return c.phase == Sending || c.phase == Reading }

// Move records that a connection has moved bytes.
func (l *Ledger) Move(id ID, bytes int) {
	if c := l.connections[id]; c != nil {
		c.moved += int64(bytes)
		c.phaseMoved += int64(bytes)
	}
}

// BeginCall counts a request of a connection that runs and may need a descriptor of its
// own. It reports whether there is room, after the returned connections have been ended.
func (l *Ledger) BeginCall(now time.Time, id ID) (victims []ID, isAdmitted bool) {
	c := l.connections[id]
	if c == nil || c.isEnding {
		return nil, false
	}
	if l.isShort(c.listener, c.isPeer) {
		if victims = l.chooseForDescriptor(now, c.listener, c.isPeer); len(victims) == 0 {
			return nil, false
		}
		if c.isEnding {
			return victims, false
		}
	}
	c.calls++
	l.descriptors[c.listener]++
	return victims, true
}

// EndCall ends what BeginCall admitted.
func (l *Ledger) EndCall(id ID) {
	if c := l.connections[id]; c != nil && c.calls > 0 {
		c.calls--
		if !c.isEnding {
			l.descriptors[c.listener]--
		}
	}
}

// Hold counts memory of a connection. It reports whether there is room, after the returned
// connections have been ended.
func (l *Ledger) Hold(now time.Time, id ID, bytes int64) (victims []ID, isAdmitted bool) {
	c := l.connections[id]
	if c == nil || c.isEnding {
		return nil, false
	}
	if !l.hasRoom(bytes) {
		victims = l.chooseForMemory(now, bytes, c)
		if c.isEnding || !l.hasRoom(bytes) {
			return victims, false
		}
	}
	c.held += bytes
	l.held += bytes
	return victims, true
}

// Release releases memory of a connection.
func (l *Ledger) Release(id ID, bytes int64) {
	if c := l.connections[id]; c != nil {
		bytes = min(bytes, c.held)
		c.held -= bytes
		l.held -= bytes
		if c.isEnding {
			l.ending -= bytes
		}
	}
}

// HoldShared counts memory that belongs to no connection, such as responses that are read
// ahead, and reports whether there is room. No connection is ended for it.
func (l *Ledger) HoldShared(bytes int64) bool {
	if !l.hasRoom(bytes) {
		return false
	}
	l.shared += bytes
	return true
}

// ReleaseShared releases what HoldShared admitted.
func (l *Ledger) ReleaseShared(bytes int64) { l.shared -= bytes }

func (l *Ledger) hasRoom(bytes int64) bool {
	return l.limits.MemoryBytes <= 0 || l.held-l.ending+l.shared+bytes <= l.limits.MemoryBytes
}

// isSlow reports whether the peer of a connection owes bytes or room and has moved too
// little for the time that the node has waited for it, now or since it was idle last. A
// client that has taken much and stops would else keep its place for minutes. The time in which the node did not
// read or write is not the peer's.
func (l *Ledger) isSlow(now time.Time, c *connection) bool {
	isSlow := func(moved int64, elapsed time.Duration) bool {
		return elapsed >= l.limits.SlowAfter && float64(moved) < l.limits.MinBytesPerSecond*elapsed.Seconds()
	}
	inPhase := now.Sub(c.since)
	return c.isWaiting() && (isSlow(c.phaseMoved, inPhase) || isSlow(c.moved, c.waited+inPhase))
}

// victimBatch is the part of a limit that is freed at once, so that connections are not
// compared for each new one while something is short.
const victimBatch = 16

// chooseForDescriptor returns connections of a listener to end for another descriptor:
// slow ones, then idle ones that never had a request, then idle ones; those that use most
// descriptors first, other nodes last. Those of other nodes end only for another node.
func (l *Ledger) chooseForDescriptor(now time.Time, listener Listener, isPeer bool) []ID {
	if now.Sub(l.descriptorsChosenAt[listener]) < choiceInterval && !isPeer {
		return nil
	}
	var candidates []*connection
	for _, c := range l.connections {
		if c.listener == listener && !c.isEnding && (isPeer || !c.isPeer) && (c.phase == Idle || l.isSlow(now, c)) {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b *connection) int {
		return cmp.Or(cmpBool(a.isPeer, b.isPeer), cmp.Compare(a.rank(), b.rank()), cmp.Compare(b.calls, a.calls),
			a.since.Compare(b.since), cmp.Compare(a.id, b.id))
	})
	freed := 0
	var victims []ID
	for _, c := range candidates {
		if freed > 0 && (freed >= l.limits.Descriptors[listener]/victimBatch || c.isPeer || c.phase == Idle && c.hasServed) {
			break
		}
		freed += 1 + c.calls
		victims = append(victims, l.end(c))
	}
	if freed == 0 {
		l.descriptorsChosenAt[listener] = now
	}
	return victims
}

// rank orders connections that may be ended.
func (c *connection) rank() int {
	switch {
	case c.phase != Idle:
		return 0
	case !c.hasServed:
		return 1
	}
	return 2
}

func cmpBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// chooseForMemory returns connections to end for bytes of another one: slow ones, those that
// hold most first. It ends none that holds less than a fair part if the connection that
// asks holds more than that itself.
func (l *Ledger) chooseForMemory(now time.Time, bytes int64, asking *connection) []ID {
	if now.Sub(l.memoryChosenAt) < choiceInterval {
		return nil
	}
	var candidates []*connection
	for _, c := range l.connections {
		if c != asking && !c.isEnding && c.held > 0 && l.isSlow(now, c) {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b *connection) int {
		return cmp.Or(cmpBool(a.isPeer, b.isPeer), cmp.Compare(b.held, a.held), cmp.Compare(a.id, b.id))
	})
	wanted := max(bytes, l.limits.MemoryBytes/victimBatch)
	freed := int64(0)
	var victims []ID
	for _, c := range candidates {
		if freed >= wanted || freed >= bytes && c.held < asking.held {
			break
		}
		freed += c.held
		victims = append(victims, l.end(c))
	}
	if freed < bytes {
		l.memoryChosenAt = now
	}
	return victims
}

// end marks a connection as one that is being ended. Its descriptors count as free at once.
func (l *Ledger) end(c *connection) ID {
	c.isEnding = true
	l.ending += c.held
	l.countDescriptors(c, -1)
	return c.id
}
