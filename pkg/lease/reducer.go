package lease

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Record is the value of a lease object.
type Record struct {
	// Holder is empty once the lease is released.
	Holder string `cbor:"1,keyasint"`
	// FencingToken rises with each acquisition.
	FencingToken uint64        `cbor:"2,keyasint"`
	Duration     time.Duration `cbor:"3,keyasint"`
	// Renewals makes each write of a holder distinct, so that it can recognise a
	// write whose reply was lost.
	Renewals uint64 `cbor:"4,keyasint"`
}

func (r Record) encode() []byte {
	data, err := cbor.Marshal(r)
	if err != nil {
		// A Record always encodes; only a programming error can get here.
		panic(err)
	}
	return data
}

func decodeRecord(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, eris.Wrap(err, "decode lease")
	}
	if r.Duration < 0 {
		return Record{}, eris.Errorf("lease with duration %v", r.Duration)
	}
	return r, nil
}

// Event is an input of the reducer.
type Event interface{ event() }

type (
	// Tick lets time pass and says whether this instance wants the lease.
	Tick struct {
		Candidate bool
		// MinFencingToken is a fencing number known from elsewhere, which the next
		// acquisition must exceed.
		MinFencingToken uint64
	}
	// ReadEnded is the result of Read. Version is empty if the object does not exist.
	ReadEnded struct {
		Record          Record
		ResourceVersion string
		Failed          bool
	}
	// WriteEnded is the result of Write.
	WriteEnded struct {
		// ResourceVersion is that of the stored object if the write is known to have taken effect.
		ResourceVersion string
	}
)

func (Tick) event()       {}
func (ReadEnded) event()  {}
func (WriteEnded) event() {}

// Effect is an output of the reducer.
type Effect interface{ effect() }

type (
	// Read asks for the stored lease.
	Read struct{}
	// Write replaces the lease if its stored version is Version, or creates it if
	// Version is empty.
	Write struct {
		Record          Record
		ResourceVersion string
	}
	// HoldingChanged says that this instance holds the lease until Until, or no longer
	// holds it.
	HoldingChanged struct {
		Held         bool
		FencingToken uint64
		HeldUntil    time.Time
	}
)

func (Read) effect()           {}
func (Write) effect()          {}
func (HoldingChanged) effect() {}

// marginShare is the inverse of the share of the duration by which a holder
// stops early and a taker waits longer, against clocks that run at different rates.
const marginShare = 10

// retryShare is the inverse of the share of the renewal interval that passes
// before a failed call is repeated.
const retryShare = 4

// StateMachine is the state of one instance towards one lease. It implements
// reducer.Reducer. It compares only times of its own clock: a lease lapses when
// no change of the stored object was observed here for its duration.
type StateMachine struct {
	holder     string
	duration   time.Duration
	renewEvery time.Duration

	candidate bool
	// fence is the highest fencing number seen, own the one held last.
	fence, own uint64

	// stored is the last observed object, since is when that version was first observed.
	known   bool
	stored  Record
	version string
	since   time.Time

	held  bool
	until time.Time

	// attempt is the write whose outcome is open, sent at attemptAt.
	attempt   *Write
	attemptAt time.Time
	busy      bool
	nextAt    time.Time
}

// NewStateMachine returns a machine that does not hold the lease.
func NewStateMachine(holder string, duration, renewEvery time.Duration) *StateMachine {
	return &StateMachine{holder: holder, duration: duration, renewEvery: renewEvery}
}

// Step implements reducer.Reducer.
func (m *StateMachine) Step(now time.Time, event Event) []Effect {
	effects := m.expire(now)
	switch e := event.(type) {
	case Tick:
		m.candidate = e.Candidate
		m.fence = max(m.fence, e.MinFencingToken)
		if m.held && m.fence > m.own {
			// Another instance acquired the lease, or the platform was restored to a
			// state before numbers that are already in use.
			effects = append(effects, m.lose()...)
			m.known = false
		}
	case ReadEnded:
		m.busy = false
		effects = append(effects, m.readEnded(now, e)...)
	case WriteEnded:
		m.busy = false
		effects = append(effects, m.writeEnded(now, e)...)
	}
	if m.busy {
		return effects
	}
	return append(effects, m.next(now)...)
}

// expire gives the lease up once its time is over, whatever the platform holds.
func (m *StateMachine) expire(now time.Time) []Effect {
	if !m.held || now.Before(m.until) {
		return nil
	}
	return m.lose()
}

func (m *StateMachine) lose() []Effect {
	m.held = false
	return []Effect{HoldingChanged{FencingToken: m.own}}
}

func (m *StateMachine) readEnded(now time.Time, e ReadEnded) []Effect {
	if e.Failed {
		m.nextAt = now.Add(m.renewEvery / retryShare)
		return nil
	}
	m.observe(now, e.Record, e.ResourceVersion)
	attempt := m.attempt
	m.attempt = nil
	if attempt != nil && attempt.Record == e.Record && e.ResourceVersion != "" {
		return m.stands(now, *attempt)
	}
	if m.held && (e.Record.Holder != m.holder || e.Record.FencingToken != m.own) {
		return m.lose()
	}
	return nil
}

func (m *StateMachine) observe(now time.Time, record Record, version string) {
	if !m.known || version != m.version || record != m.stored {
		m.since = now
	}
	m.known, m.stored, m.version = true, record, version
	m.fence = max(m.fence, record.FencingToken)
	if record.Holder == m.holder || record.Holder == "" {
		return
	}
	m.nextAt = now.Add(m.renewEvery)
	if lapse := m.lapse(); lapse.After(now) && lapse.Before(m.nextAt) {
		m.nextAt = lapse
	}
}

// lapse is the time at which the stored lease may be taken.
func (m *StateMachine) lapse() time.Time {
	return m.since.Add(m.stored.Duration + m.stored.Duration/marginShare)
}

func (m *StateMachine) writeEnded(now time.Time, e WriteEnded) []Effect {
	if e.ResourceVersion == "" || m.attempt == nil {
		// The next step reads what is stored, which shows whether the write took effect.
		m.known = false
		m.nextAt = now.Add(m.renewEvery / retryShare)
		return nil
	}
	attempt := *m.attempt
	m.attempt = nil
	m.observe(now, attempt.Record, e.ResourceVersion)
	return m.stands(now, attempt)
}

// stands takes in that a write of this instance took effect. The lease counts
// from when the write was sent, which is before any other instance saw it.
func (m *StateMachine) stands(now time.Time, write Write) []Effect {
	m.nextAt = m.attemptAt.Add(m.renewEvery)
	if write.Record.Holder != m.holder {
		return nil
	}
	until := m.attemptAt.Add(m.duration - m.duration/marginShare)
	if !now.Before(until) {
		return nil
	}
	m.held, m.until, m.own = true, until, write.Record.FencingToken
	return []Effect{HoldingChanged{Held: true, FencingToken: m.own, HeldUntil: until}}
}

// next returns the next call to the platform, if one is due.
func (m *StateMachine) next(now time.Time) []Effect {
	switch {
	case m.held && !m.candidate:
		return m.release(now)
	case !m.candidate && m.attempt == nil:
		m.known = false
		return nil
	case now.Before(m.nextAt):
		return nil
	case !m.known || m.attempt != nil:
		return m.read()
	case m.held:
		record := m.stored
		record.Renewals++
		return m.write(now, record)
	case m.free(now):
		return m.write(now, Record{Holder: m.holder, FencingToken: max(m.fence, m.stored.FencingToken) + 1, Duration: m.duration})
	}
	return m.read()
}

// free reports whether the lease may be taken: it was never held, was released,
// was this instance's own, or no change was observed for its duration and a margin.
func (m *StateMachine) free(now time.Time) bool {
	if m.version == "" || m.stored.Holder == "" || m.stored.Holder == m.holder {
		return true
	}
	return !now.Before(m.lapse())
}

// release stops acting first and then frees the lease for others.
func (m *StateMachine) release(now time.Time) []Effect {
	effects := m.lose()
	if !m.known || m.attempt != nil {
		return effects
	}
	record := m.stored
	record.Holder = ""
	record.Renewals++
	return append(effects, m.write(now, record)...)
}

func (m *StateMachine) read() []Effect {
	m.busy = true
	return []Effect{Read{}}
}

func (m *StateMachine) write(now time.Time, record Record) []Effect {
	m.busy = true
	m.attempt = &Write{Record: record, ResourceVersion: m.version}
	m.attemptAt = now
	return []Effect{*m.attempt}
}
