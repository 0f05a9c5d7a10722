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
	// FencingToken increases with each acquisition.
	FencingToken uint64        `cbor:"2,keyasint"`
	Duration     time.Duration `cbor:"3,keyasint"`
	// Renewals makes each write of a holder distinct, so that the holder can recognise
	// a write whose reply was dropped.
	Renewals uint64 `cbor:"4,keyasint"`
}

func (r Record) encode() []byte {
	data, err := cbor.Marshal(r)
	if err != nil {
		// A Record can always be encoded; only a programming error leads here.
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
		return Record{}, eris.Errorf("lease duration %v is negative", r.Duration)
	}
	return r, nil
}

// Event is an input of StateMachine.
type Event interface{ event() }

type (
	// Tick advances the time and reports whether this instance wants the lease.
	Tick struct {
		Candidate bool
		// MinFencingToken is a fencing token learned from another source, which the
		// token of the next acquisition must exceed.
		MinFencingToken uint64
	}
	// ReadEnded is the result of Read. ResourceVersion is empty if the object does not
	// exist.
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

// Effect is an output of StateMachine.
type Effect interface{ effect() }

type (
	// Read requests the stored lease.
	Read struct{}
	// Write replaces the lease if it is stored under ResourceVersion, or creates it if
	// ResourceVersion is empty.
	Write struct {
		Record          Record
		ResourceVersion string
	}
	// HoldingChanged reports that this instance holds the lease until HeldUntil, or
	// that it no longer holds it.
	HoldingChanged struct {
		Held         bool
		FencingToken uint64
		HeldUntil    time.Time
	}
)

func (Read) effect()           {}
func (Write) effect()          {}
func (HoldingChanged) effect() {}

// clockDriftDivisor is the inverse of the fraction of the duration by which a holder
// stops earlier and the next one waits longer, to allow for clocks that run at
// different rates.
const clockDriftDivisor = 10

// retryDivisor is the inverse of the fraction of the renew interval after which a
// failed call is retried.
const retryDivisor = 4

// StateMachine holds the state of one instance with regard to one lease. It
// implements reducer.Reducer. It compares only times of the local clock: a lease
// expires when this instance has seen no change of the stored object for the lease's
// duration and a margin.
type StateMachine struct {
	holder        string
	duration      time.Duration
	renewInterval time.Duration

	isCandidate bool
	// maxFencingToken is the highest fencing token seen, ownFencingToken the one held last.
	maxFencingToken, ownFencingToken uint64

	// stored is the lease as last read or written, unchangedSince the time at which its
	// present version was first seen.
	isStoredKnown         bool
	stored                Record
	storedResourceVersion string
	unchangedSince        time.Time

	isHeld    bool
	heldUntil time.Time

	// pendingWrite is the write whose result is unknown, sent at writeSentAt.
	pendingWrite   *Write
	writeSentAt    time.Time
	isCallInFlight bool
	nextCallAt     time.Time
}

// NewStateMachine returns a state machine that does not hold the lease.
func NewStateMachine(holder string, duration, renewInterval time.Duration) *StateMachine {
	return &StateMachine{holder: holder, duration: duration, renewInterval: renewInterval}
}

// Step implements reducer.Reducer.
func (m *StateMachine) Step(now time.Time, event Event) []Effect {
	effects := m.expire(now)
	switch e := event.(type) {
	case Tick:
		m.isCandidate = e.Candidate
		m.maxFencingToken = max(m.maxFencingToken, e.MinFencingToken)
		if m.isHeld && m.maxFencingToken > m.ownFencingToken {
			// Another instance acquired the lease, or the platform was restored from a
			// copy that is older than tokens already in use.
			effects = append(effects, m.stopHolding()...)
			m.isStoredKnown = false
		}
	case ReadEnded:
		m.isCallInFlight = false
		effects = append(effects, m.readEnded(now, e)...)
	case WriteEnded:
		m.isCallInFlight = false
		effects = append(effects, m.writeEnded(now, e)...)
	}
	if m.isCallInFlight {
		return effects
	}
	return append(effects, m.nextCall(now)...)
}

// expire stops holding the lease once it has expired, whatever the platform stores.
func (m *StateMachine) expire(now time.Time) []Effect {
	if !m.isHeld || now.Before(m.heldUntil) {
		return nil
	}
	return m.stopHolding()
}

func (m *StateMachine) stopHolding() []Effect {
	m.isHeld = false
	return []Effect{HoldingChanged{FencingToken: m.ownFencingToken}}
}

func (m *StateMachine) readEnded(now time.Time, e ReadEnded) []Effect {
	if e.Failed {
		m.nextCallAt = now.Add(m.renewInterval / retryDivisor)
		return nil
	}
	m.updateStored(now, e.Record, e.ResourceVersion)
	write := m.pendingWrite
	m.pendingWrite = nil
	if write != nil && write.Record == e.Record && e.ResourceVersion != "" {
		return m.writeConfirmed(now, *write)
	}
	if m.isHeld && (e.Record.Holder != m.holder || e.Record.FencingToken != m.ownFencingToken) {
		return m.stopHolding()
	}
	return nil
}

func (m *StateMachine) updateStored(now time.Time, record Record, resourceVersion string) {
	if !m.isStoredKnown || resourceVersion != m.storedResourceVersion || record != m.stored {
		m.unchangedSince = now
	}
	m.isStoredKnown, m.stored, m.storedResourceVersion = true, record, resourceVersion
	m.maxFencingToken = max(m.maxFencingToken, record.FencingToken)
	if record.Holder == m.holder || record.Holder == "" {
		return
	}
	m.nextCallAt = now.Add(m.renewInterval)
	if expiry := m.expiry(); expiry.After(now) && expiry.Before(m.nextCallAt) {
		m.nextCallAt = expiry
	}
}

// expiry returns the time from which another instance may acquire the stored lease.
func (m *StateMachine) expiry() time.Time {
	return m.unchangedSince.Add(m.stored.Duration + m.stored.Duration/clockDriftDivisor)
}

func (m *StateMachine) writeEnded(now time.Time, e WriteEnded) []Effect {
	if e.ResourceVersion == "" || m.pendingWrite == nil {
		// The next step reads what is stored, which shows whether the write took effect.
		m.isStoredKnown = false
		m.nextCallAt = now.Add(m.renewInterval / retryDivisor)
		return nil
	}
	write := *m.pendingWrite
	m.pendingWrite = nil
	m.updateStored(now, write.Record, e.ResourceVersion)
	return m.writeConfirmed(now, write)
}

// writeConfirmed records that a write of this instance took effect. The lease's
// duration starts when the write was sent, which is before any other instance saw it.
func (m *StateMachine) writeConfirmed(now time.Time, write Write) []Effect {
	m.nextCallAt = m.writeSentAt.Add(m.renewInterval)
	if write.Record.Holder != m.holder {
		return nil
	}
	heldUntil := m.writeSentAt.Add(m.duration - m.duration/clockDriftDivisor)
	if !now.Before(heldUntil) {
		return nil
	}
	m.isHeld, m.heldUntil, m.ownFencingToken = true, heldUntil, write.Record.FencingToken
	return []Effect{HoldingChanged{Held: true, FencingToken: m.ownFencingToken, HeldUntil: heldUntil}}
}

// nextCall returns the next call to the platform if one is due.
func (m *StateMachine) nextCall(now time.Time) []Effect {
	switch {
	case m.isHeld && !m.isCandidate:
		return m.release(now)
	case !m.isCandidate && m.pendingWrite == nil:
		m.isStoredKnown = false
		return nil
	case now.Before(m.nextCallAt):
		return nil
	case !m.isStoredKnown || m.pendingWrite != nil:
		return m.read()
	case m.isHeld:
		record := m.stored
		record.Renewals++
		return m.write(now, record)
	case m.isAvailable(now):
		return m.write(now, Record{Holder: m.holder, FencingToken: max(m.maxFencingToken, m.stored.FencingToken) + 1, Duration: m.duration})
	}
	return m.read()
}

// isAvailable reports whether this instance may acquire the lease: it was never held,
// was released, was last held by this instance, or has expired.
func (m *StateMachine) isAvailable(now time.Time) bool {
	if m.storedResourceVersion == "" || m.stored.Holder == "" || m.stored.Holder == m.holder {
		return true
	}
	return !now.Before(m.expiry())
}

// release stops holding the lease first and then makes it available to others.
func (m *StateMachine) release(now time.Time) []Effect {
	effects := m.stopHolding()
	if !m.isStoredKnown || m.pendingWrite != nil {
		return effects
	}
	record := m.stored
	record.Holder = ""
	record.Renewals++
	return append(effects, m.write(now, record)...)
}

func (m *StateMachine) read() []Effect {
	m.isCallInFlight = true
	return []Effect{Read{}}
}

func (m *StateMachine) write(now time.Time, record Record) []Effect {
	m.isCallInFlight = true
	m.pendingWrite = &Write{Record: record, ResourceVersion: m.storedResourceVersion}
	m.writeSentAt = now
	return []Effect{*m.pendingWrite}
}
