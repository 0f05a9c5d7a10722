package idempotency

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// world is a simulated platform with several nodes that all believe they own a
// shard. Calls take effect and are answered at arbitrary later times, and
// replies get lost.
type world struct {
	t        *rapid.T
	now      time.Time
	segments []segment
	versions []int
	changes  int
	owners   []*owner
	late     []WriteSegment
	// granted holds the request that was let through last per key. Claimants that
	// gave up, or whose call did not run, are in ended and ignore further answers.
	granted  map[keyHash]request
	ended    map[claimID]bool
	requests map[uint64]request
	ticket   uint64
}

type owner struct {
	machine *StateMachine
	calls   []Effect
}

func (w *world) step(o *owner, event Event) {
	for _, effect := range o.machine.Step(w.now, event) {
		switch e := effect.(type) {
		case LoadSegments, WriteSegment:
			o.calls = append(o.calls, effect)
		case Respond:
			w.answered(o, w.requests[e.CorrelationID], e.Reply)
		}
	}
}

func (w *world) answered(o *owner, r request, answer reply) {
	holder, held := w.granted[r.Key]
	mine := held && holder.ID == r.ID
	switch {
	case w.ended[r.ID] || mine:
	case answer.Result == Granted && held:
		w.t.Fatalf("key %x was let through twice", r.Key[0])
	case answer.Result == Granted:
		w.granted[r.Key] = r
	case answer.Result == StoreUnavailable:
		w.end(o, r)
	}
}

// end lets a claimant whose call did not run take its claim back, at whichever
// node it believes to be the owner.
func (w *world) end(o *owner, r request) {
	w.ended[r.ID] = true
	r.NotRun = true
	w.step(o, CallCompleted{Request: r})
}

func (w *world) versionAt(sequence uint64) string {
	if sequence >= uint64(len(w.versions)) {
		return ""
	}
	return fmt.Sprint(w.versions[sequence])
}

func (w *world) store(e WriteSegment) bool {
	if e.ResourceVersion != w.versionAt(e.Segment.Sequence) || e.Segment.Sequence > uint64(len(w.segments)) {
		return false
	}
	w.changes++
	if e.ResourceVersion == "" {
		w.segments, w.versions = append(w.segments, e.Segment), append(w.versions, w.changes)
		return true
	}
	w.segments[e.Segment.Sequence], w.versions[e.Segment.Sequence] = e.Segment, w.changes
	return true
}

func (w *world) run(call Effect) Event {
	switch e := call.(type) {
	case LoadSegments:
		from := e.FromSequence
		if e.Full {
			from = 0
		}
		if from > 0 && from >= uint64(len(w.segments)) {
			from = uint64(len(w.segments)) - 1
		}
		if len(w.segments) == 0 {
			return LoadEnded{}
		}
		return LoadEnded{
			Segments: append([]segment(nil), w.segments[from:]...), ResourceVersion: w.versionAt(uint64(len(w.segments)) - 1),
		}
	case WriteSegment:
		if w.store(e) {
			return WriteEnded{ResourceVersion: w.versionAt(e.Segment.Sequence)}
		}
	}
	return WriteEnded{}
}

// finish ends the oldest call of o; it may have no effect, take effect late, or
// lose its reply.
func (w *world) finish(o *owner, how int) {
	if len(o.calls) == 0 {
		return
	}
	call := o.calls[0]
	o.calls = o.calls[1:]
	lost := Event(WriteEnded{})
	if _, load := call.(LoadSegments); load {
		lost = LoadEnded{Failed: true}
	}
	switch how {
	case 0:
		w.run(call)
		w.step(o, lost)
	case 1:
		if write, ok := call.(WriteSegment); ok {
			w.late = append(w.late, write)
		}
		w.step(o, lost)
	case 2:
		if _, write := call.(WriteSegment); write {
			lost = WriteEnded{NotApplied: true}
		}
		w.step(o, lost)
	default:
		w.step(o, w.run(call))
	}
}

// TestOneGrant guards the invariant of keyed calls: no key is let through twice
// while its first call may have run, whatever replies are lost or late, however
// many nodes own the shard at once, and however often a claim is repeated.
func TestOneGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t: t, now: time.Unix(1_000_000, 0), granted: make(map[keyHash]request), ended: make(map[claimID]bool),
			requests: make(map[uint64]request),
		}
		for range rapid.IntRange(1, 3).Draw(t, "owners") {
			w.owners = append(w.owners, &owner{machine: NewStateMachine()})
		}
		for i := range rapid.IntRange(1, 500).Draw(t, "steps") {
			o := rapid.SampledFrom(w.owners).Draw(t, "owner")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1:
				r := request{Key: keyHash{byte(rapid.IntRange(0, 3).Draw(t, "key"))}, ID: claimID{byte(i), byte(i >> 8)}}
				if len(w.requests) > 0 && rapid.Bool().Draw(t, "again") {
					r = w.requests[rapid.Uint64Range(1, w.ticket).Draw(t, "ticket")]
				}
				w.ticket++
				w.requests[w.ticket] = r
				w.step(o, ClaimRequested{CorrelationID: w.ticket, Request: r, Deadline: w.now.Add(2 * time.Second)})
			case 2:
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				w.step(o, Tick{})
			case 3:
				for _, write := range w.late {
					w.store(write)
				}
				w.late = nil
			case 4:
				if r, held := w.granted[keyHash{0}]; held && rapid.Bool().Draw(t, "not run") {
					delete(w.granted, r.Key)
					w.end(o, r)
				}
				w.step(o, OwnershipLost{})
			case 5:
				w.finish(o, rapid.IntRange(0, 2).Draw(t, "how"))
			default:
				w.now = w.now.Add(20 * time.Millisecond)
				w.step(o, Tick{})
				w.finish(o, 3)
			}
		}
	})
}

// play runs a machine against an obliging platform until it is idle and returns
// the answers by ticket.
func play(m *StateMachine, w *world, events ...Event) map[uint64]ClaimStatus {
	answers := make(map[uint64]ClaimStatus)
	for len(events) > 0 {
		w.now = w.now.Add(20 * time.Millisecond)
		event := events[0]
		events = events[1:]
		for _, effect := range m.Step(w.now, event) {
			switch e := effect.(type) {
			case LoadSegments, WriteSegment:
				events = append(events, w.run(effect))
			case Respond:
				answers[e.CorrelationID] = e.Reply.Result
			case ScheduleTick:
				events = append(events, Tick{})
			}
		}
	}
	return answers
}

func claimEvent(ticket uint64, key, id byte, fingerprint uint64, now time.Time) Event {
	return ClaimRequested{
		CorrelationID: ticket, Deadline: now.Add(time.Hour),
		Request: request{Key: keyHash{key}, ID: claimID{id}, Fingerprint: fingerprint},
	}
}

// TestResults guards what a resend is told.
func TestResults(t *testing.T) {
	m, w := NewStateMachine(), &world{now: time.Unix(1_000_000, 0)}
	answers := play(m, w, claimEvent(1, 1, 1, 7, w.now), claimEvent(2, 1, 2, 7, w.now), claimEvent(3, 1, 3, 8, w.now))
	assert.DeepEqual(t, answers, map[uint64]ClaimStatus{1: Granted, 2: InUse, 3: FingerprintMismatch})
	assert.Equal(t, w.changes, 1, "claims that arrive together share one write")

	r := request{Key: keyHash{1}, ID: claimID{1}, Answer: []byte("done")}
	answers = play(m, w, CallCompleted{Request: r}, claimEvent(4, 1, 4, 7, w.now))
	assert.DeepEqual(t, answers, map[uint64]ClaimStatus{4: Recorded})
	// Another owner reads the same, and the key is free after its retention.
	other := NewStateMachine()
	assert.DeepEqual(t, play(other, w, claimEvent(5, 1, 5, 7, w.now)), map[uint64]ClaimStatus{5: Recorded})
	w.now = w.now.Add(ClaimRetention + time.Minute)
	assert.DeepEqual(t, play(other, w, claimEvent(6, 1, 6, 7, w.now)), map[uint64]ClaimStatus{6: Granted})

	r = request{Key: keyHash{1}, ID: claimID{6}, NotRun: true}
	answers = play(other, w, CallCompleted{Request: r}, claimEvent(7, 1, 7, 7, w.now))
	assert.DeepEqual(t, answers, map[uint64]ClaimStatus{7: Granted})
}

// TestSegmentsRoll guards that full segments are closed before the next one and
// that a new owner reads claims from all of them.
func TestSegmentsRoll(t *testing.T) {
	m, w := NewStateMachine(), &world{now: time.Unix(1_000_000, 0)}
	count := segmentEntries*2 + 10
	var events []Event
	for i := range count {
		key := keyHash{1, byte(i), byte(i >> 8)}
		events = append(events, ClaimRequested{
			CorrelationID: uint64(i), Deadline: w.now.Add(time.Hour), Request: request{Key: key, ID: claimID{byte(i), byte(i >> 8)}},
		})
	}
	answers := play(m, w, events...)
	assert.Equal(t, len(answers), count)
	assert.Equal(t, len(w.segments), 3)
	assert.Assert(t, w.segments[0].Closed && w.segments[1].Closed && !w.segments[2].Closed)
	assert.Assert(t, len(encode(w.segments[0])) <= maxSegmentBytes)
	resent := ClaimRequested{CorrelationID: 1, Deadline: w.now.Add(time.Hour), Request: request{Key: keyHash{1}, ID: claimID{99}}}
	assert.DeepEqual(t, play(NewStateMachine(), w, resent), map[uint64]ClaimStatus{1: InUse})
}

// TestRestoredPlatform guards that an owner stores claims again which a platform
// restored from an older copy has lost.
func TestRestoredPlatform(t *testing.T) {
	m, w := NewStateMachine(), &world{now: time.Unix(1_000_000, 0)}
	play(m, w, claimEvent(1, 1, 1, 0, w.now))
	segments, versions := append([]segment(nil), w.segments...), append([]int(nil), w.versions...)
	play(m, w, claimEvent(2, 2, 2, 0, w.now))
	w.segments, w.versions = segments, versions
	play(m, w, claimEvent(3, 3, 3, 0, w.now))
	assert.DeepEqual(t, play(NewStateMachine(), w, claimEvent(4, 2, 4, 0, w.now)), map[uint64]ClaimStatus{4: InUse})
}

// FuzzDecode guards that malformed messages and objects cause errors, not panics.
func FuzzDecode(f *testing.F) {
	f.Add(encode(request{Op: opClaim, Shard: 3}))
	f.Add(encode(segment{Sequence: 1, Entries: []entry{{Kind: entryClaim}}}))
	f.Add(encode(reply{Result: Granted}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := decodeRequest(data); err == nil {
			m := NewStateMachine()
			m.Step(time.Unix(1, 0), ClaimRequested{CorrelationID: 1, Request: r, Deadline: time.Unix(2, 0)})
			m.Step(time.Unix(1, 0), CallCompleted{Request: r})
		}
		if read, err := decode[segment](data); err == nil {
			s := newShard(0)
			s.load([]segment{read}, "1")
			s.prune(time.Unix(1_000_000, 0))
		}
		_, _ = decode[reply](data)
		_, _ = decode[index](data)
	})
}
