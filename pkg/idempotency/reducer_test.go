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

// simulation simulates a platform and several nodes that all believe they own the same
// shard. Calls to the platform take effect and complete at arbitrary later times, and
// replies get lost.
type simulation struct {
	t                *rapid.T
	now              time.Time
	segments         []segment
	resourceVersions []int
	writeCount       int
	owners           []*owner
	delayedWrites    []WriteSegment
	// granted holds, per key, the request that was granted last. endedClaims holds the
	// claims whose claimants gave up or whose call did not run; further replies to them
	// are ignored.
	granted           map[keyHash]request
	endedClaims       map[claimID]bool
	requests          map[uint64]request
	lastCorrelationID uint64
}

type owner struct {
	machine      *StateMachine
	pendingCalls []Effect
}

func (w *simulation) step(o *owner, event Event) {
	for _, effect := range o.machine.Step(w.now, event) {
		switch e := effect.(type) {
		case LoadSegments, WriteSegment:
			o.pendingCalls = append(o.pendingCalls, effect)
		case Respond:
			w.receiveReply(o, w.requests[e.CorrelationID], e.Reply)
		}
	}
}

func (w *simulation) receiveReply(o *owner, r request, result reply) {
	holder, isHeld := w.granted[r.Key]
	isHeldByRequest := isHeld && holder.ID == r.ID
	switch {
	case w.endedClaims[r.ID] || isHeldByRequest:
	case result.Result == Granted && isHeld:
		w.t.Fatalf("key %x was granted twice", r.Key[0])
	case result.Result == Granted:
		w.granted[r.Key] = r
	case result.Result == StoreUnavailable:
		w.withdrawClaim(o, r)
	}
}

// withdrawClaim releases a claim whose call did not run, at the node that the claimant
// believes to be the owner.
func (w *simulation) withdrawClaim(o *owner, r request) {
	w.endedClaims[r.ID] = true
	r.NotRun = true
	w.step(o, CallCompleted{Request: r})
}

func (w *simulation) resourceVersionAt(sequence uint64) string {
	if sequence >= uint64(len(w.resourceVersions)) {
		return ""
	}
	return fmt.Sprint(w.resourceVersions[sequence])
}

func (w *simulation) store(e WriteSegment) bool {
	if e.ResourceVersion != w.resourceVersionAt(e.Segment.Sequence) || e.Segment.Sequence > uint64(len(w.segments)) {
		return false
	}
	w.writeCount++
	if e.ResourceVersion == "" {
		w.segments, w.resourceVersions = append(w.segments, e.Segment), append(w.resourceVersions, w.writeCount)
		return true
	}
	w.segments[e.Segment.Sequence], w.resourceVersions[e.Segment.Sequence] = e.Segment, w.writeCount
	return true
}

func (w *simulation) execute(call Effect) Event {
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
			Segments: append([]segment(nil), w.segments[from:]...), ResourceVersion: w.resourceVersionAt(uint64(len(w.segments)) - 1),
		}
	case WriteSegment:
		if w.store(e) {
			return WriteEnded{ResourceVersion: w.resourceVersionAt(e.Segment.Sequence)}
		}
	}
	return WriteEnded{}
}

// completeCall completes the oldest pending call of o. By outcome, 0: it takes effect
// but its reply is lost; 1: its reply is lost and a write takes effect later; 2: it has
// no effect; any other: it succeeds.
func (w *simulation) completeCall(o *owner, outcome int) {
	if len(o.pendingCalls) == 0 {
		return
	}
	call := o.pendingCalls[0]
	o.pendingCalls = o.pendingCalls[1:]
	failure := Event(WriteEnded{})
	if _, isLoad := call.(LoadSegments); isLoad {
		failure = LoadEnded{Failed: true}
	}
	switch outcome {
	case 0:
		w.execute(call)
		w.step(o, failure)
	case 1:
		if write, ok := call.(WriteSegment); ok {
			w.delayedWrites = append(w.delayedWrites, write)
		}
		w.step(o, failure)
	case 2:
		if _, isWrite := call.(WriteSegment); isWrite {
			failure = WriteEnded{NotApplied: true}
		}
		w.step(o, failure)
	default:
		w.step(o, w.execute(call))
	}
}

// TestKeyIsGrantedAtMostOnce verifies that no key is granted to a second call while the
// first one may have run, whichever replies are lost or late, however many nodes own
// the shard at once, and however often a claim is retried.
func TestKeyIsGrantedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{
			t: t, now: time.Unix(1_000_000, 0), granted: make(map[keyHash]request), endedClaims: make(map[claimID]bool),
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
					r = w.requests[rapid.Uint64Range(1, w.lastCorrelationID).Draw(t, "correlation ID")]
				}
				w.lastCorrelationID++
				w.requests[w.lastCorrelationID] = r
				w.step(o, ClaimRequested{CorrelationID: w.lastCorrelationID, Request: r, Deadline: w.now.Add(2 * time.Second)})
			case 2:
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				w.step(o, Tick{})
			case 3:
				for _, write := range w.delayedWrites {
					w.store(write)
				}
				w.delayedWrites = nil
			case 4:
				if r, isHeld := w.granted[keyHash{0}]; isHeld && rapid.Bool().Draw(t, "not run") {
					delete(w.granted, r.Key)
					w.withdrawClaim(o, r)
				}
				w.step(o, OwnershipLost{})
			case 5:
				w.completeCall(o, rapid.IntRange(0, 2).Draw(t, "outcome"))
			default:
				w.now = w.now.Add(20 * time.Millisecond)
				w.step(o, Tick{})
				w.completeCall(o, 3)
			}
		}
	})
}

// runUntilIdle runs a state machine against a fault-free platform until it is idle and
// returns the claim results by correlation ID.
func runUntilIdle(m *StateMachine, w *simulation, events ...Event) map[uint64]ClaimStatus {
	statuses := make(map[uint64]ClaimStatus)
	for len(events) > 0 {
		w.now = w.now.Add(20 * time.Millisecond)
		event := events[0]
		events = events[1:]
		for _, effect := range m.Step(w.now, event) {
			switch e := effect.(type) {
			case LoadSegments, WriteSegment:
				events = append(events, w.execute(effect))
			case Respond:
				statuses[e.CorrelationID] = e.Reply.Result
			case ScheduleTick:
				events = append(events, Tick{})
			}
		}
	}
	return statuses
}

func claimEvent(correlationID uint64, key, id byte, fingerprint uint64, now time.Time) Event {
	return ClaimRequested{
		CorrelationID: correlationID, Deadline: now.Add(time.Hour),
		Request: request{Key: keyHash{key}, ID: claimID{id}, Fingerprint: fingerprint},
	}
}

// TestClaimStatusOfRepeatedKey verifies the result of a second claim of a key: in use,
// another fingerprint, recorded response, past its retention, and after a call that did
// not run.
func TestClaimStatusOfRepeatedKey(t *testing.T) {
	m, w := NewStateMachine(), &simulation{now: time.Unix(1_000_000, 0)}
	statuses := runUntilIdle(m, w, claimEvent(1, 1, 1, 7, w.now), claimEvent(2, 1, 2, 7, w.now), claimEvent(3, 1, 3, 8, w.now))
	assert.DeepEqual(t, statuses, map[uint64]ClaimStatus{1: Granted, 2: InUse, 3: FingerprintMismatch})
	assert.Equal(t, w.writeCount, 1, "claims requested within batchDelay share one write")

	r := request{Key: keyHash{1}, ID: claimID{1}, Response: []byte("done")}
	statuses = runUntilIdle(m, w, CallCompleted{Request: r}, claimEvent(4, 1, 4, 7, w.now))
	assert.DeepEqual(t, statuses, map[uint64]ClaimStatus{4: Recorded})
	// Another owner reads the same claims, and the key is free after its retention.
	other := NewStateMachine()
	assert.DeepEqual(t, runUntilIdle(other, w, claimEvent(5, 1, 5, 7, w.now)), map[uint64]ClaimStatus{5: Recorded})
	w.now = w.now.Add(ClaimRetention + time.Minute)
	assert.DeepEqual(t, runUntilIdle(other, w, claimEvent(6, 1, 6, 7, w.now)), map[uint64]ClaimStatus{6: Granted})

	r = request{Key: keyHash{1}, ID: claimID{6}, NotRun: true}
	statuses = runUntilIdle(other, w, CallCompleted{Request: r}, claimEvent(7, 1, 7, 7, w.now))
	assert.DeepEqual(t, statuses, map[uint64]ClaimStatus{7: Granted})
}

// TestNewOwnerReadsClaimsFromClosedSegments verifies that a full segment is closed
// before the next one is written, and that a new owner reads the claims of all
// segments.
func TestNewOwnerReadsClaimsFromClosedSegments(t *testing.T) {
	m, w := NewStateMachine(), &simulation{now: time.Unix(1_000_000, 0)}
	count := maxSegmentEntries*2 + 10
	var events []Event
	for i := range count {
		key := keyHash{1, byte(i), byte(i >> 8)}
		events = append(events, ClaimRequested{
			CorrelationID: uint64(i), Deadline: w.now.Add(time.Hour), Request: request{Key: key, ID: claimID{byte(i), byte(i >> 8)}},
		})
	}
	statuses := runUntilIdle(m, w, events...)
	assert.Equal(t, len(statuses), count)
	assert.Equal(t, len(w.segments), 3)
	assert.Assert(t, w.segments[0].Closed && w.segments[1].Closed && !w.segments[2].Closed)
	assert.Assert(t, len(encode(w.segments[0])) <= maxSegmentBytes)
	repeated := ClaimRequested{CorrelationID: 1, Deadline: w.now.Add(time.Hour), Request: request{Key: keyHash{1}, ID: claimID{99}}}
	assert.DeepEqual(t, runUntilIdle(NewStateMachine(), w, repeated), map[uint64]ClaimStatus{1: InUse})
}

// TestOwnerStoresClaimsLostByRestoreAgain verifies that an owner stores the claims
// again that a platform restored from an older copy has lost.
func TestOwnerStoresClaimsLostByRestoreAgain(t *testing.T) {
	m, w := NewStateMachine(), &simulation{now: time.Unix(1_000_000, 0)}
	runUntilIdle(m, w, claimEvent(1, 1, 1, 0, w.now))
	segments, resourceVersions := append([]segment(nil), w.segments...), append([]int(nil), w.resourceVersions...)
	runUntilIdle(m, w, claimEvent(2, 2, 2, 0, w.now))
	w.segments, w.resourceVersions = segments, resourceVersions
	runUntilIdle(m, w, claimEvent(3, 3, 3, 0, w.now))
	assert.DeepEqual(t, runUntilIdle(NewStateMachine(), w, claimEvent(4, 2, 4, 0, w.now)), map[uint64]ClaimStatus{4: InUse})
}

// FuzzDecode verifies that malformed messages and objects cause errors, not panics.
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
			s.applySegments([]segment{read}, "1")
			s.prune(time.Unix(1_000_000, 0))
		}
		_, _ = decode[reply](data)
		_, _ = decode[segmentIndex](data)
	})
}

// An owner that loaded a shard before the previous owner stored the response to a claim
// must load again rather than report the key as in use: it learned of the response only
// from a conflict of a write of its own (KNOWN-RED, TestClaimIsSharedByNodesAndNextOwner).
func TestResponseStoredAfterLoadIsFound(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	key, first, second := keyHash{1}, claimID{1}, claimID{2}
	claimed := entry{Kind: entryClaim, Key: key, ID: first, At: now.Unix()}
	answered := entry{Kind: entryResponse, Key: key, ID: first, At: now.Unix(), Answer: []byte("response")}
	m := NewStateMachine()
	var load *LoadSegments
	var replies []reply
	step := func(event Event) {
		for _, effect := range m.Step(now, event) {
			switch e := effect.(type) {
			case LoadSegments:
				load = &e
			case Respond:
				replies = append(replies, e.Reply)
			case WriteSegment:
				t.Fatalf("a claim of a key that is in use was written: %v", e)
			}
		}
	}
	claim := func(correlationID uint64) {
		load = nil
		step(ClaimRequested{CorrelationID: correlationID, Deadline: now.Add(time.Minute), Request: request{Op: opClaim, Key: key, ID: second}})
		now = now.Add(batchDelay)
		step(Tick{})
	}
	claim(1)
	assert.Assert(t, load != nil)
	step(LoadEnded{Segments: []segment{{Entries: []entry{claimed}}}, ResourceVersion: "1"})
	assert.Equal(t, len(replies), 1)
	assert.Equal(t, replies[0].Result, InUse)
	claim(2) // The previous owner has stored the response meanwhile.
	assert.Assert(t, load != nil, "the claim was decided without another load: %v", replies)
	step(LoadEnded{Segments: []segment{{Entries: []entry{claimed, answered}}}, ResourceVersion: "2"})
	assert.Equal(t, len(replies), 2)
	assert.Equal(t, replies[1].Result, Recorded)
	assert.Equal(t, string(replies[1].Response), "response")
}
