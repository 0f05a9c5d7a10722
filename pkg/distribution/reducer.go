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

// VersionSource says where a version came from.
type VersionSource uint8

// The sources of a version.
const (
	// SourceBootstrap means that the node asked for it when it joined.
	SourceBootstrap VersionSource = iota
	// SourcePeer means that it ends a Pull.
	SourcePeer
	// SourcePlatform means that it ends a Fetch.
	SourcePlatform
	// SourceApply means that this node wrote it to the head.
	SourceApply
)

// Event is an input of the reducer.
type Event interface{ event() }

type (
	// Tick lets time pass.
	Tick struct{}
	// AnnouncementReceived is an announcement received by gossip.
	AnnouncementReceived struct{ Announcement VersionAnnouncement }
	// VersionPrepared says that a complete, verified and compiled version is at hand.
	VersionPrepared struct {
		Version Version
		Source  VersionSource
	}
	// PullEnded says that a pull from peers ended without a newer version.
	PullEnded struct{}
	// ReaderLeaseChanged says whether this node is its region's reader.
	ReaderLeaseChanged struct {
		Lease        string
		Held         bool
		FencingToken uint64
	}
	// HeadObserved is the content of the head; the zero Version means there is none.
	HeadObserved struct{ Version Version }
	// FetchFailed says that a version could not be read from the platform.
	FetchFailed struct{ Version Version }
	// VersionRejected says that a version's content is invalid.
	VersionRejected struct {
		Version Version
		Reason  string
	}
	// WriteBackEnded ends a write-back.
	WriteBackEnded struct{}
)

func (Tick) event()                 {}
func (AnnouncementReceived) event() {}
func (VersionPrepared) event()      {}
func (PullEnded) event()            {}
func (ReaderLeaseChanged) event()   {}
func (HeadObserved) event()         {}
func (FetchFailed) event()          {}
func (VersionRejected) event()      {}
func (WriteBackEnded) event()       {}

// Effect is an output of the reducer.
type Effect interface{ effect() }

type (
	// PullVersion asks peers for a version above Base.
	PullVersion struct{ Base Version }
	// FetchVersion reads a version from the platform.
	FetchVersion struct{ Version Version }
	// ActivateVersion puts a prepared version in force.
	ActivateVersion struct{ Version Version }
	// DiscardVersion forgets a prepared version.
	DiscardVersion struct{ Version Version }
	// PublishAnnouncement spreads an announcement. Contested says that the announced version
	// is in force here, while another node has another one under the same number.
	PublishAnnouncement struct {
		Announcement VersionAnnouncement
		Conflict     bool
	}
	// StartWatch begins to watch the head.
	StartWatch struct{ FencingToken uint64 }
	// StopWatch ends it.
	StopWatch struct{}
	// WriteBack stores the version in force in the head. If Raise is set, it does
	// so under the next higher number, because another configuration has the same
	// number.
	WriteBack struct {
		Active           Version
		Head             Version
		IncrementVersion bool
	}
	// RecordEvent records an event.
	RecordEvent struct{ Event timeline.Event }
)

func (PullVersion) effect()         {}
func (FetchVersion) effect()        {}
func (ActivateVersion) effect()     {}
func (DiscardVersion) effect()      {}
func (PublishAnnouncement) effect() {}
func (StartWatch) effect()          {}
func (StopWatch) effect()           {}
func (WriteBack) effect()           {}
func (RecordEvent) effect()         {}

// Bounds of the delay between attempts to pull or fetch.
const (
	minRetry = 100 * time.Millisecond
	maxRetry = 10 * time.Second
)

// StateMachine decides which version is in force. It implements reducer.Reducer.
type StateMachine struct {
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

	role        ReaderLeaseChanged
	headKnown   bool
	head        Version
	fetching    bool
	fetch       schedule
	writingBack bool
	writeBack   schedule
	// published is the last announcement made as reader.
	published VersionAnnouncement
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
func NewStateMachine(seed uint64) *StateMachine {
	return &StateMachine{
		random:   rand.New(rand.NewPCG(seed, seed)),
		rejected: make(map[Version]bool),
		fences:   make(map[string]uint64),
	}
}

// ActiveVersion returns the version in force.
func (m *StateMachine) ActiveVersion() Version { return m.active }

// Step implements reducer.Reducer.
func (m *StateMachine) Step(now time.Time, event Event) []Effect {
	var effects []Effect
	switch e := event.(type) {
	case Tick:
	case AnnouncementReceived:
		effects = m.announced(e.Announcement)
	case VersionPrepared:
		effects = m.prepared(e)
	case PullEnded:
		m.pulling = false
		m.pull.fail(now, m.random)
	case ReaderLeaseChanged:
		effects = m.roleChanged(e)
	case HeadObserved:
		if m.role.Held {
			m.head, m.headKnown = e.Version, true
		}
	case FetchFailed:
		m.fetching = false
		m.fetch.fail(now, m.random)
	case VersionRejected:
		effects = m.reject(e)
	case WriteBackEnded:
		// The head is known again once the watch has reported it; until then the
		// retry delay keeps a second write-back from starting.
		m.writingBack = false
		m.writeBack.fail(now, m.random)
	}
	return append(effects, m.pending(now)...)
}

func (m *StateMachine) announced(a VersionAnnouncement) []Effect {
	if a.Lease != "" {
		if a.FencingToken < m.fences[a.Lease] {
			return []Effect{report(EventStaleFence, a.Version, "announced under a lower fencing number of "+a.Lease)}
		}
		m.fences[a.Lease] = a.FencingToken
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

func (m *StateMachine) prepared(e VersionPrepared) []Effect {
	switch e.Source {
	case SourcePeer:
		m.pulling = false
	case SourcePlatform:
		m.fetching = false
	}
	switch {
	case e.Version == m.active:
		return nil
	case e.Version.Number < m.active.Number:
		return []Effect{DiscardVersion{Version: e.Version}}
	case e.Version.Number == m.active.Number:
		return append([]Effect{DiscardVersion{Version: e.Version}},
			m.contest(e.Version, "received with another digest than the version in force")...)
	}
	m.active = e.Version
	m.pull, m.fetch = schedule{}, schedule{}
	effects := []Effect{ActivateVersion{Version: e.Version}, report(EventActivated, e.Version, "")}
	if e.Source == SourceApply {
		effects = append(effects, PublishAnnouncement{Announcement: VersionAnnouncement{Version: e.Version}})
	}
	return effects
}

// contest takes in that another configuration has the number of the one in
// force. The first time, it tells all nodes, so that a reader that has either of
// the two learns of the other and stores its own under a new number; without that
// the two would stay in force side by side.
func (m *StateMachine) contest(other Version, reason string) []Effect {
	effects := []Effect{report(EventConflict, other, reason)}
	if m.contested != m.active {
		m.contested = m.active
		effects = append(effects, PublishAnnouncement{Announcement: VersionAnnouncement{Version: m.active}, Conflict: true})
	}
	return effects
}

func (m *StateMachine) reject(e VersionRejected) []Effect {
	m.pulling, m.fetching = false, false
	if m.rejected[e.Version] {
		return nil
	}
	m.rejected[e.Version] = true
	return []Effect{report(EventRejected, e.Version, e.Reason)}
}

func (m *StateMachine) roleChanged(e ReaderLeaseChanged) []Effect {
	if m.role == e {
		return nil
	}
	held := m.role.Held
	m.role, m.headKnown, m.head = e, false, Version{}
	m.fetching, m.writingBack = false, false
	m.fetch, m.writeBack = schedule{}, schedule{}
	var effects []Effect
	if held {
		effects = append(effects, StopWatch{}, report(EventReaderStopped, m.active, ""))
	}
	if e.Held {
		m.fences[e.Lease] = max(m.fences[e.Lease], e.FencingToken)
		effects = append(effects, StartWatch{FencingToken: e.FencingToken}, report(EventReaderStarted, m.active, ""))
	}
	return effects
}

// pending returns the work that the state calls for.
func (m *StateMachine) pending(now time.Time) []Effect {
	var effects []Effect
	if m.wanted.Number > m.active.Number && !m.pulling && !m.rejected[m.wanted] && !now.Before(m.pull.at) {
		m.pulling = true
		effects = append(effects, PullVersion{Base: m.active})
	}
	if m.role.Held && m.headKnown {
		effects = append(effects, m.reading(now)...)
	}
	return effects
}

func (m *StateMachine) reading(now time.Time) []Effect {
	switch {
	case m.head == m.active && (m.active.Number == 0 || m.contested != m.active):
		m.writeBack = schedule{}
		a := VersionAnnouncement{Version: m.active, Lease: m.role.Lease, FencingToken: m.role.FencingToken}
		if m.active.Number == 0 || m.published == a {
			return nil
		}
		m.published = a
		return []Effect{PublishAnnouncement{Announcement: a}}
	case m.head.Number > m.active.Number:
		if m.fetching || m.rejected[m.head] || now.Before(m.fetch.at) {
			return nil
		}
		m.fetching = true
		return []Effect{FetchVersion{Version: m.head}}
	}
	if m.writingBack || now.Before(m.writeBack.at) {
		return nil
	}
	m.writingBack = true
	if m.head.Number == m.active.Number {
		return []Effect{
			WriteBack{Active: m.active, Head: m.head, IncrementVersion: true},
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
	return RecordEvent{Event: timeline.Event{Kind: kind, ConfigVersion: v.Number, Fields: fields}}
}
