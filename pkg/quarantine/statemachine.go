package quarantine

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurespring/azurespring/pkg/gossip"
	"github.com/azurespring/azurespring/pkg/reducer"
)

// Event is one input of StateMachine: Crashed, Completed, Received or Tick.
type Event interface{ event() }

// Crashed reports the crash of a target process with calls in flight.
type Crashed struct {
	Process      string
	Fingerprints []Fingerprint
}

// Completed reports that a request with recorded crashes completed.
type Completed struct{ Fingerprint Fingerprint }

// Received carries the merged record that gossip delivered.
type Received struct {
	Fingerprint Fingerprint
	Record      Record
}

// Tick removes expired records.
type Tick struct{}

func (Crashed) event()   {}
func (Completed) event() {}
func (Received) event()  {}
func (Tick) event()      {}

// Publish is the effect that sends a changed record to all nodes.
type Publish struct {
	Fingerprint Fingerprint
	Record      Record
}

// StateMachine is the deterministic state machine of the quarantine.
type StateMachine struct{ records map[Fingerprint]Record }

// NewStateMachine returns a state machine without records.
func NewStateMachine() *StateMachine { return &StateMachine{records: make(map[Fingerprint]Record)} }

var _ reducer.Reducer[Event, Publish] = (*StateMachine)(nil)

// Step implements reducer.Reducer.
func (s *StateMachine) Step(now time.Time, event Event) []Publish {
	switch e := event.(type) {
	case Crashed:
		crash := Record{Crashes: []Crash{{Process: e.Process, AtMicros: now.UnixMicro()}}}
		var effects []Publish
		for _, fingerprint := range e.Fingerprints {
			effects = append(effects, s.mergeRecord(fingerprint, crash)...)
		}
		return effects
	case Completed:
		if record, ok := s.records[e.Fingerprint]; ok && len(record.Crashes) > 0 {
			return s.mergeRecord(e.Fingerprint, Record{ClearedAtMicros: now.UnixMicro()})
		}
	case Received:
		s.mergeRecord(e.Fingerprint, e.Record)
	case Tick:
		for fingerprint, record := range s.records {
			if record.isExpired(now) {
				delete(s.records, fingerprint)
			}
		}
	}
	return nil
}

func (s *StateMachine) mergeRecord(fingerprint Fingerprint, incoming Record) []Publish {
	current := s.records[fingerprint]
	merged := current.merge(incoming)
	if merged.equal(current) {
		return nil
	}
	s.records[fingerprint] = merged
	return []Publish{{Fingerprint: fingerprint, Record: merged}}
}

// Registry is the node's copy of the quarantine, which the request path queries. It
// is safe for concurrent use.
type Registry struct {
	now       func() time.Time
	publisher gossip.Publisher

	mu       sync.Mutex
	state    *StateMachine
	recorder reducer.Recorder[Event]
	// records is a copy for lock-free reads on the request path; nil if there are none.
	records atomic.Pointer[map[Fingerprint]Record]
}

// New returns an empty registry. A nil now is time.Now; publisher may be nil.
func New(now func() time.Time, publisher gossip.Publisher, recorder reducer.Recorder[Event]) *Registry {
	if now == nil {
		now = time.Now
	}
	return &Registry{now: now, publisher: publisher, recorder: recorder, state: NewStateMachine()}
}

// Empty reports whether there are no records, so that calls need no fingerprint.
func (r *Registry) Empty() bool { return r == nil || r.records.Load() == nil }

// Remaining returns how long the fingerprint stays quarantined, or 0.
func (r *Registry) Remaining(f Fingerprint) time.Duration {
	records := r.records.Load()
	if records == nil {
		return 0
	}
	record, ok := (*records)[f]
	if !ok {
		return 0
	}
	return max(0, record.QuarantinedUntil().Sub(r.now()))
}

// RecordCrash records the crash of a process for the fingerprints of its calls in
// flight.
func (r *Registry) RecordCrash(process string, fingerprints []Fingerprint) {
	if r != nil && len(fingerprints) > 0 {
		slices.SortFunc(fingerprints, func(a, b Fingerprint) int { return cmp.Compare(a.String(), b.String()) })
		r.step(Crashed{Process: process, Fingerprints: slices.Compact(fingerprints)})
	}
}

// RecordCompletion clears the crashes of a fingerprint whose call just completed.
func (r *Registry) RecordCompletion(f Fingerprint) {
	records := r.records.Load()
	if records == nil {
		return
	}
	if record, ok := (*records)[f]; ok && len(record.Crashes) > 0 {
		r.step(Completed{Fingerprint: f})
	}
}

// OnItem receives the gossip items of gossip.TopicQuarantine.
func (r *Registry) OnItem(item gossip.Item) {
	fingerprint, err := ParseFingerprint(item.Key)
	if err != nil {
		return
	}
	if record, err := decode(item.Payload); err == nil {
		r.step(Received{Fingerprint: fingerprint, Record: record})
	}
}

// Run removes expired records until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	ticker := time.NewTicker(Duration / 20)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.step(Tick{})
		}
	}
}

func (r *Registry) step(event Event) {
	r.mu.Lock()
	now := r.now()
	if r.recorder != nil {
		r.recorder.Record(reducer.RecordedEvent[Event]{Time: now, Event: event})
	}
	effects := r.state.Step(now, event)
	r.copyRecords()
	r.mu.Unlock()
	if r.publisher == nil {
		return
	}
	for _, effect := range effects {
		if payload, err := encode(effect.Record); err == nil {
			r.publisher.Publish(gossip.Item{Topic: gossip.TopicQuarantine, Key: effect.Fingerprint.String(), Payload: payload})
		}
	}
}

func (r *Registry) copyRecords() {
	if len(r.state.records) == 0 {
		r.records.Store(nil)
		return
	}
	records := make(map[Fingerprint]Record, len(r.state.records))
	for fingerprint, record := range r.state.records {
		records[fingerprint] = record
	}
	r.records.Store(&records)
}
