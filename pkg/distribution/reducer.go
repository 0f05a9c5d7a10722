package distribution

import (
	"math/rand/v2"
	"time"

	"github.com/azurespring/azurespring/pkg/timeline"
)

// Kinds of events that distribution records on the timeline.
const (
	EventActivated     timeline.Kind = "config-activated"
	EventConflict      timeline.Kind = "config-conflict"
	EventRejected      timeline.Kind = "config-rejected"
	EventStaleFence    timeline.Kind = "config-stale-fence"
	EventWriteBack     timeline.Kind = "config-write-back"
	EventReaderStarted timeline.Kind = "config-reader-started"
	EventReaderStopped timeline.Kind = "config-reader-stopped"
)

// Source says where a version came from.
type Source uint8

// The sources of a version.
const (
	// Joined means that the node asked for it when it joined.
	Joined Source = iota
	// Pulled means that it ends a Pull.
	Pulled
	// Fetched means that it ends a Fetch.
	Fetched
	// Accepted means that this node wrote it to the head.
	Accepted
)

// Event is an input of the reducer.
type Event interface{ event() }

type (
	// RemoveExpired lets time pass.
	Tick struct{}
	// Announced is an announcement received by gossip.
	Announced struct{ Announcement Announcement }
	// Prepared says that a complete, verified and compiled version is at hand.
	Prepared struct {
		Version Version
		Source  Source
	}
	// PullEnded says that a pull from peers ended without a newer version.
	PullEnded struct{}
	// RoleChanged says whether this node is its region's reader.
	RoleChanged struct {
		Lease string
		Held  bool
		Fence uint64
	}
	// HeadSeen is the content of the head; the zero Version means there is none.
	HeadSeen struct{ Version Version }
	// FetchFailed says that a version could not be read from the platform.
	FetchFailed struct{ Version Version }
	// Rejections says that a version's content is invalid.
	Rejected struct {
		Version Version
		Reason  string
	}
	// WriteBackEnded ends a write-back.
	WriteBackEnded struct{}
)

func (Tick) event()           {}
func (Announced) event()      {}
func (Prepared) event()       {}
func (PullEnded) event()      {}
func (RoleChanged) event()    {}
func (HeadSeen) event()       {}
func (FetchFailed) event()    {}
func (Rejected) event()       {}
func (WriteBackEnded) event() {}

// Effect is an output of the reducer.
type Effect interface{ effect() }

type (
	// Pull asks peers for a version above Base.
	Pull struct{ Base Version }
	// Fetch reads a version from the platform.
	Fetch struct{ Version Version }
	// Activate puts a prepared version in force.
	Activate struct{ Version Version }
	// Drop forgets a prepared version.
	Drop struct{ Version Version }
	// Publish spreads an announcement. Contested says that the announced version
	// is in force here, while another node has another one under the same number.
	Publish struct {
		Announcement Announcement
		Contested    bool
	}
	// StartReading begins to watch the head.
	StartReading struct{ Fence uint64 }
	// StopReading ends it.
	StopReading struct{}
	// WriteBack stores the version in force in the head. If Raise is set, it does
	// so under the next higher number, because another configuration has the same
	// number.
	WriteBack struct {
		Active Version
		Head   Version
		Raise  bool
	}
	// RecordLoad records an event.
	Report struct{ Event timeline.Event }
)

func (Pull) effect()         {}
func (Fetch) effect()        {}
func (Activate) effect()     {}
func (Drop) effect()         {}
func (Publish) effect()      {}
func (StartReading) effect() {}
func (StopReading) effect()  {}
func (WriteBack) effect()    {}
func (Report) effect()       {}

// Bounds of the delay between attempts to pull or fetch.
const (
	minRetry = 100 * time.Millisecond
	maxRetry = 10 * time.Second
)

// StateMachine decides which version is in force. It implements reducer.Reducer.
type Machine struct {
	random *rand.Rand
	// active only ever rises.
	active Version
	// contested is the last version in force under whose number another
	// configuration was seen.
	contested Version
	// wanted is the highest version announced.
	wanted   Version
	rejected map[Version]bool
	// fences holds the highest fencing number seen per lease.
	fences map[string]uint64

	pulling bool
	pull    schedule

	role        RoleChanged
	headKnown   bool
	head        Version
	fetching    bool
	fetch       schedule
	writingBack bool
	writeBack   schedule
	// published is the last announcement made as reader.
	published Announcement
}

// schedule spaces attempts.
type schedule struct {
	attempts int
	at       time.Time
}

func (r *schedule) fail(now time.Time, random *rand.Rand) {
	delay := min(minRetry<<min(r.attempts, 10), maxRetry)
	r.attempts++
	r.at = now.Add(delay/2 + time.Duration(random.Int64N(int64(delay))))
}

// NewStateMachine returns a machine with nothing in force.
func NewMachine(seed uint64) *Machine {
	return &Machine{
		random:   rand.New(rand.NewPCG(seed, seed)),
		rejected: make(map[Version]bool),
		fences:   make(map[string]uint64),
	}
}

// Active returns the version in force.
func (m *Machine) Active() Version { return m.active }

// Step implements reducer.Reducer.
func (m *Machine) Step(now time.Time, event Event) []Effect {
	var effects []Effect
	switch e := event.(type) {
	case Tick:
	case Announced:
		effects = m.announced(e.Announcement)
	case Prepared:
		effects = m.prepared(e)
	case PullEnded:
		m.pulling = false
		m.pull.fail(now, m.random)
	case RoleChanged:
		effects = m.roleChanged(e)
	case HeadSeen:
		if m.role.Held {
			m.head, m.headKnown = e.Version, true
		}
	case FetchFailed:
		m.fetching = false
		m.fetch.fail(now, m.random)
	case Rejected:
		effects = m.reject(e)
	case WriteBackEnded:
		// The head is known again once the watch has reported it; until then the
		// retry delay keeps a second write-back from starting.
		m.writingBack = false
		m.writeBack.fail(now, m.random)
	}
	return append(effects, m.pending(now)...)
}

func (m *Machine) announced(a Announcement) []Effect {
	if a.Lease != "" {
		if a.Fence < m.fences[a.Lease] {
			return []Effect{report(EventStaleFence, a.Version, "announced under a lower fencing number of "+a.Lease)}
		}
		m.fences[a.Lease] = a.Fence
	}
	if a.Version.Number == m.active.Number && a.Version.Digest != m.active.Digest {
		return m.contest(a.Version, "announced with another digest than the version in force")
	}
	if a.Version.Number > m.wanted.Number {
		m.wanted = a.Version
		m.pull = schedule{}
	}
	return nil
}

func (m *Machine) prepared(e Prepared) []Effect {
	switch e.Source {
	case Pulled:
		m.pulling = false
	case Fetched:
		m.fetching = false
	}
	switch {
	case e.Version == m.active:
		return nil
	case e.Version.Number < m.active.Number:
		return []Effect{Drop{Version: e.Version}}
	case e.Version.Number == m.active.Number:
		return append([]Effect{Drop{Version: e.Version}},
			m.contest(e.Version, "received with another digest than the version in force")...)
	}
	m.active = e.Version
	m.pull, m.fetch = schedule{}, schedule{}
	effects := []Effect{Activate{Version: e.Version}, report(EventActivated, e.Version, "")}
	if e.Source == Accepted {
		effects = append(effects, Publish{Announcement: Announcement{Version: e.Version}})
	}
	return effects
}

// contest takes in that another configuration has the number of the one in
// force. The first time, it tells all nodes, so that a reader that has either of
// the two learns of the other and stores its own under a new number; without that
// the two would stay in force side by side.
func (m *Machine) contest(other Version, reason string) []Effect {
	effects := []Effect{report(EventConflict, other, reason)}
	if m.contested != m.active {
		m.contested = m.active
		effects = append(effects, Publish{Announcement: Announcement{Version: m.active}, Contested: true})
	}
	return effects
}

func (m *Machine) reject(e Rejected) []Effect {
	m.pulling, m.fetching = false, false
	if m.rejected[e.Version] {
		return nil
	}
	m.rejected[e.Version] = true
	return []Effect{report(EventRejected, e.Version, e.Reason)}
}

func (m *Machine) roleChanged(e RoleChanged) []Effect {
	if m.role == e {
		return nil
	}
	held := m.role.Held
	m.role, m.headKnown, m.head = e, false, Version{}
	m.fetching, m.writingBack = false, false
	m.fetch, m.writeBack = schedule{}, schedule{}
	var effects []Effect
	if held {
		effects = append(effects, StopReading{}, report(EventReaderStopped, m.active, ""))
	}
	if e.Held {
		m.fences[e.Lease] = max(m.fences[e.Lease], e.Fence)
		effects = append(effects, StartReading{Fence: e.Fence}, report(EventReaderStarted, m.active, ""))
	}
	return effects
}

// pending returns the work that the state calls for.
func (m *Machine) pending(now time.Time) []Effect {
	var effects []Effect
	if m.wanted.Number > m.active.Number && !m.pulling && !m.rejected[m.wanted] && !now.Before(m.pull.at) {
		m.pulling = true
		effects = append(effects, Pull{Base: m.active})
	}
	if m.role.Held && m.headKnown {
		effects = append(effects, m.reading(now)...)
	}
	return effects
}

func (m *Machine) reading(now time.Time) []Effect {
	switch {
	case m.head == m.active && (m.active.Number == 0 || m.contested != m.active):
		m.writeBack = schedule{}
		a := Announcement{Version: m.active, Lease: m.role.Lease, Fence: m.role.Fence}
		if m.active.Number == 0 || m.published == a {
			return nil
		}
		m.published = a
		return []Effect{Publish{Announcement: a}}
	case m.head.Number > m.active.Number:
		if m.fetching || m.rejected[m.head] || now.Before(m.fetch.at) {
			return nil
		}
		m.fetching = true
		return []Effect{Fetch{Version: m.head}}
	}
	if m.writingBack || now.Before(m.writeBack.at) {
		return nil
	}
	m.writingBack = true
	if m.head.Number == m.active.Number {
		return []Effect{
			WriteBack{Active: m.active, Head: m.head, Raise: true},
			report(EventConflict, m.head, "another configuration has the number of the version in force"),
		}
	}
	return []Effect{
		WriteBack{Active: m.active, Head: m.head},
		report(EventWriteBack, m.active, "the head is older than the version in force"),
	}
}

func report(kind timeline.Kind, v Version, reason string) Effect {
	fields := map[string]string{"digest": v.Digest}
	if reason != "" {
		fields["reason"] = reason
	}
	return Report{Event: timeline.Event{Kind: kind, ConfigVersion: v.Number, Fields: fields}}
}
