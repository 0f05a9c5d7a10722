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

// VersionSource is the source that a version was obtained from.
type VersionSource uint8

// The sources of a version.
const (
	// SourceBootstrap means that the node requested the version when it joined.
	SourceBootstrap VersionSource = iota
	// SourcePeer means that a PullVersion effect obtained it.
	SourcePeer
	// SourcePlatform means that a FetchVersion effect obtained it.
	SourcePlatform
	// SourceApply means that this node wrote the version to the head.
	SourceApply
)

// Event is an input of the reducer.
type Event interface{ event() }

type (
	// Tick starts the work that is due at the current time.
	Tick struct{}
	// AnnouncementReceived is an announcement received by gossip.
	AnnouncementReceived struct{ Announcement VersionAnnouncement }
	// VersionPrepared reports that a complete, verified and compiled version is ready
	// to be activated.
	VersionPrepared struct {
		Version Version
		Source  VersionSource
	}
	// PullEnded reports that a pull from peers ended without a newer version.
	PullEnded struct{}
	// ReaderLeaseChanged reports whether this node holds the reader lease of its
	// region.
	ReaderLeaseChanged struct {
		Lease        string
		Held         bool
		FencingToken uint64
	}
	// HeadObserved reports the version in the head; the zero Version means that there
	// is no head.
	HeadObserved struct{ Version Version }
	// FetchFailed reports that a version could not be read from the platform.
	FetchFailed struct{ Version Version }
	// VersionRejected reports that the content of a version is invalid.
	VersionRejected struct {
		Version Version
		Reason  string
	}
	// WriteBackEnded reports the end of a write-back, successful or not.
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
	// PullVersion requests a version above Base from peers.
	PullVersion struct{ Base Version }
	// FetchVersion reads a version from the platform.
	FetchVersion struct{ Version Version }
	// ActivateVersion makes a prepared version the active one.
	ActivateVersion struct{ Version Version }
	// DiscardVersion deletes a prepared version.
	DiscardVersion struct{ Version Version }
	// PublishAnnouncement publishes an announcement by gossip. Conflict means that the
	// announced version is active on this node, while another node has a version with
	// the same number and another digest.
	PublishAnnouncement struct {
		Announcement VersionAnnouncement
		Conflict     bool
	}
	// StartWatch starts the watch of the head and the other tasks of a reader.
	StartWatch struct{ FencingToken uint64 }
	// StopWatch ends the tasks of a reader.
	StopWatch struct{}
	// WriteBack stores the active version in the head. If IncrementVersion is set, it
	// stores it under the next version number, because another configuration has the
	// same number.
	WriteBack struct {
		Active           Version
		Head             Version
		IncrementVersion bool
	}
	// RecordEvent records an event on the timeline.
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
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 10 * time.Second
)

// StateMachine decides which version becomes active. It implements reducer.Reducer.
type StateMachine struct {
	random *rand.Rand
	// active is the active version; its number never decreases.
	active Version
	// conflicting is the last active version whose number was also seen with another
	// digest.
	conflicting Version
	// highestAnnounced is the highest version announced by gossip.
	highestAnnounced Version
	rejected         map[Version]bool
	// fencingTokens holds the highest fencing token seen per lease.
	fencingTokens map[string]uint64

	isPulling bool
	pullRetry retrySchedule

	readerLease    ReaderLeaseChanged
	isHeadKnown    bool
	head           Version
	isFetching     bool
	fetchRetry     retrySchedule
	isWritingBack  bool
	writeBackRetry retrySchedule
	// lastPublished is the last announcement that this node published as reader.
	lastPublished VersionAnnouncement
}

// retrySchedule delays further attempts after failed ones, with exponential backoff and
// jitter.
type retrySchedule struct {
	failedAttempts int
	nextAttempt    time.Time
}

func (r *retrySchedule) recordFailure(now time.Time, random *rand.Rand) {
	delay := min(minRetryDelay<<min(r.failedAttempts, 10), maxRetryDelay)
	r.failedAttempts++
	r.nextAttempt = now.Add(delay/2 + time.Duration(random.Int64N(int64(delay))))
}

// NewStateMachine returns a state machine without an active version.
func NewStateMachine(seed uint64) *StateMachine {
	return &StateMachine{
		random:        rand.New(rand.NewPCG(seed, seed)),
		rejected:      make(map[Version]bool),
		fencingTokens: make(map[string]uint64),
	}
}

// ActiveVersion returns the active version.
func (m *StateMachine) ActiveVersion() Version { return m.active }

// Step implements reducer.Reducer.
func (m *StateMachine) Step(now time.Time, event Event) []Effect {
	var effects []Effect
	switch e := event.(type) {
	case Tick:
	case AnnouncementReceived:
		effects = m.handleAnnouncement(e.Announcement)
	case VersionPrepared:
		effects = m.handlePrepared(e)
	case PullEnded:
		m.isPulling = false
		m.pullRetry.recordFailure(now, m.random)
	case ReaderLeaseChanged:
		effects = m.handleLeaseChanged(e)
	case HeadObserved:
		if m.readerLease.Held {
			m.head, m.isHeadKnown = e.Version, true
		}
	case FetchFailed:
		m.isFetching = false
		m.fetchRetry.recordFailure(now, m.random)
	case VersionRejected:
		effects = m.handleRejected(e)
	case WriteBackEnded:
		// The watch reports the new head; until then the retry delay prevents a second
		// write-back.
		m.isWritingBack = false
		m.writeBackRetry.recordFailure(now, m.random)
	}
	return append(effects, m.startPending(now)...)
}

func (m *StateMachine) handleAnnouncement(a VersionAnnouncement) []Effect {
	if a.Lease != "" {
		if a.FencingToken < m.fencingTokens[a.Lease] {
			return []Effect{recordEvent(EventStaleFence, a.Version, "announced under a lower fencing number of "+a.Lease)}
		}
		m.fencingTokens[a.Lease] = a.FencingToken
	}
	if a.Version.Number == m.active.Number && a.Version.Digest != m.active.Digest {
		return m.reportConflict(a.Version, "announced with another digest than the version in force")
	}
	if a.Version.Number > m.highestAnnounced.Number {
		m.highestAnnounced = a.Version
		m.pullRetry = retrySchedule{}
	}
	return nil
}

func (m *StateMachine) handlePrepared(e VersionPrepared) []Effect {
	switch e.Source {
	case SourcePeer:
		m.isPulling = false
	case SourcePlatform:
		m.isFetching = false
	}
	switch {
	case e.Version == m.active:
		return nil
	case e.Version.Number < m.active.Number:
		return []Effect{DiscardVersion{Version: e.Version}}
	case e.Version.Number == m.active.Number:
		return append([]Effect{DiscardVersion{Version: e.Version}},
			m.reportConflict(e.Version, "received with another digest than the version in force")...)
	}
	m.active = e.Version
	m.pullRetry, m.fetchRetry = retrySchedule{}, retrySchedule{}
	effects := []Effect{ActivateVersion{Version: e.Version}, recordEvent(EventActivated, e.Version, "")}
	if e.Source == SourceApply {
		effects = append(effects, PublishAnnouncement{Announcement: VersionAnnouncement{Version: e.Version}})
	}
	return effects
}

// reportConflict handles a version with the number of the active version and another
// digest. The first time, it announces the active version to all nodes under the
// conflict key. A reader that has either of the two versions thereby learns of the
// conflict and stores its own under a new number; otherwise both would stay active on
// different nodes.
func (m *StateMachine) reportConflict(other Version, reason string) []Effect {
	effects := []Effect{recordEvent(EventConflict, other, reason)}
	if m.conflicting != m.active {
		m.conflicting = m.active
		effects = append(effects, PublishAnnouncement{Announcement: VersionAnnouncement{Version: m.active}, Conflict: true})
	}
	return effects
}

func (m *StateMachine) handleRejected(e VersionRejected) []Effect {
	m.isPulling, m.isFetching = false, false
	if m.rejected[e.Version] {
		return nil
	}
	m.rejected[e.Version] = true
	return []Effect{recordEvent(EventRejected, e.Version, e.Reason)}
}

func (m *StateMachine) handleLeaseChanged(e ReaderLeaseChanged) []Effect {
	if m.readerLease == e {
		return nil
	}
	wasHeld := m.readerLease.Held
	m.readerLease, m.isHeadKnown, m.head = e, false, Version{}
	m.isFetching, m.isWritingBack = false, false
	m.fetchRetry, m.writeBackRetry = retrySchedule{}, retrySchedule{}
	var effects []Effect
	if wasHeld {
		effects = append(effects, StopWatch{}, recordEvent(EventReaderStopped, m.active, ""))
	}
	if e.Held {
		m.fencingTokens[e.Lease] = max(m.fencingTokens[e.Lease], e.FencingToken)
		effects = append(effects, StartWatch{FencingToken: e.FencingToken}, recordEvent(EventReaderStarted, m.active, ""))
	}
	return effects
}

// startPending returns effects for all work that is due and not in progress.
func (m *StateMachine) startPending(now time.Time) []Effect {
	var effects []Effect
	if m.highestAnnounced.Number > m.active.Number && !m.isPulling && !m.rejected[m.highestAnnounced] && !now.Before(m.pullRetry.nextAttempt) {
		m.isPulling = true
		effects = append(effects, PullVersion{Base: m.active})
	}
	if m.readerLease.Held && m.isHeadKnown {
		effects = append(effects, m.readerEffects(now)...)
	}
	return effects
}

func (m *StateMachine) readerEffects(now time.Time) []Effect {
	switch {
	case m.head == m.active && (m.active.Number == 0 || m.conflicting != m.active):
		m.writeBackRetry = retrySchedule{}
		a := VersionAnnouncement{Version: m.active, Lease: m.readerLease.Lease, FencingToken: m.readerLease.FencingToken}
		if m.active.Number == 0 || m.lastPublished == a {
			return nil
		}
		m.lastPublished = a
		return []Effect{PublishAnnouncement{Announcement: a}}
	case m.head.Number > m.active.Number:
		if m.isFetching || m.rejected[m.head] || now.Before(m.fetchRetry.nextAttempt) {
			return nil
		}
		m.isFetching = true
		return []Effect{FetchVersion{Version: m.head}}
	}
	if m.isWritingBack || now.Before(m.writeBackRetry.nextAttempt) {
		return nil
	}
	m.isWritingBack = true
	if m.head.Number == m.active.Number {
		return []Effect{
			WriteBack{Active: m.active, Head: m.head, IncrementVersion: true},
			recordEvent(EventConflict, m.head, "another configuration has the number of the version in force"),
		}
	}
	return []Effect{
		WriteBack{Active: m.active, Head: m.head},
		recordEvent(EventWriteBack, m.active, "the head is older than the version in force"),
	}
}

func recordEvent(kind timeline.Kind, v Version, reason string) Effect {
	fields := map[string]string{"digest": v.Digest}
	if reason != "" {
		fields["reason"] = reason
	}
	return RecordEvent{Event: timeline.Event{Kind: kind, ConfigVersion: v.Number, Fields: fields}}
}
