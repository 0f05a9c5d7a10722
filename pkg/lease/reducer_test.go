package lease

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testDuration      = 15 * time.Second
	testRenewInterval = 5 * time.Second
)

// simulation is a simulated platform with several candidates for one lease. Calls
// take effect and get their reply at arbitrary later times, replies are dropped, and
// candidates pause.
type simulation struct {
	t          *rapid.T
	now        time.Time
	record     Record
	writeCount int
	candidates []*candidate
	// lateWrites are writes that take effect after they timed out at their sender.
	lateWrites      []Write
	maxFencingToken uint64
}

type candidate struct {
	machine      *StateMachine
	pending      Effect
	isApplied    bool
	result       Event
	heldUntil    time.Time
	fencingToken uint64
}

func (w *simulation) resourceVersion() string {
	if w.writeCount == 0 {
		return ""
	}
	return fmt.Sprint(w.writeCount)
}

func (w *simulation) step(n *candidate, event Event) {
	for _, effect := range n.machine.Step(w.now, event) {
		c, ok := effect.(HoldingChanged)
		if !ok {
			if n.pending != nil {
				w.t.Fatalf("second call while one is in flight: %#v", effect)
			}
			n.pending, n.isApplied = effect, false
			continue
		}
		n.heldUntil = time.Time{}
		if c.Held {
			w.checkAcquisition(n, c)
		}
	}
}

func (w *simulation) checkAcquisition(n *candidate, c HoldingChanged) {
	for _, other := range w.candidates {
		if other != n && w.now.Before(other.heldUntil) {
			w.t.Fatalf("fencing tokens %d and %d are held at the same time", other.fencingToken, c.FencingToken)
		}
	}
	if c.FencingToken < w.maxFencingToken {
		w.t.Fatalf("fencing token %d after %d", c.FencingToken, w.maxFencingToken)
	}
	w.maxFencingToken = c.FencingToken
	n.heldUntil, n.fencingToken = c.HeldUntil, c.FencingToken
}

// applyCall lets the call in flight of n take effect in the platform.
func (w *simulation) applyCall(n *candidate) {
	if n.pending == nil || n.isApplied {
		return
	}
	n.isApplied = true
	switch e := n.pending.(type) {
	case Read:
		n.result = ReadEnded{Record: w.record, ResourceVersion: w.resourceVersion()}
	case Write:
		n.result = WriteEnded{}
		if w.storeRecord(e) {
			n.result = WriteEnded{ResourceVersion: w.resourceVersion()}
		}
	}
}

func (w *simulation) storeRecord(e Write) bool {
	if e.ResourceVersion != w.resourceVersion() {
		return false
	}
	w.writeCount++
	w.record = e.Record
	return true
}

func (w *simulation) applyLateWrites() {
	for _, write := range w.lateWrites {
		w.storeRecord(write)
	}
	w.lateWrites = nil
}

// finishCall ends the call in flight of n with its reply, or without one.
func (w *simulation) finishCall(n *candidate, loseReply bool) {
	if n.pending == nil {
		return
	}
	if !n.isApplied || loseReply {
		n.result = WriteEnded{}
		if _, read := n.pending.(Read); read {
			n.result = ReadEnded{Failed: true}
		}
	}
	n.pending = nil
	w.step(n, n.result)
}

// No two instances may hold a lease at the same time, and fencing tokens must never
// decrease, whichever calls are slow, lost or late and however long an instance pauses.
func TestOnlyOneInstanceHoldsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{t: t, now: time.Unix(1_000_000, 0)}
		for i := range rapid.IntRange(2, 3).Draw(t, "candidates") {
			w.candidates = append(w.candidates, &candidate{machine: NewStateMachine(fmt.Sprint("n", i), testDuration, testRenewInterval)})
		}
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			n := rapid.SampledFrom(w.candidates).Draw(t, "candidate")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			case 3:
				w.now = w.now.Add(rapid.SampledFrom([]time.Duration{5 * time.Second, 20 * time.Second}).Draw(t, "pause"))
			case 4:
				if rapid.Bool().Draw(t, "applied") {
					w.applyCall(n)
				} else if write, ok := n.pending.(Write); ok {
					w.lateWrites = append(w.lateWrites, write)
				}
				w.finishCall(n, true)
			case 5:
				w.applyCall(n)
				w.applyLateWrites()
			case 6, 7:
				w.applyCall(n)
				w.finishCall(n, false)
			default:
				w.step(n, Tick{Candidate: rapid.IntRange(0, 19).Draw(t, "wants") > 0})
			}
		}
	})
}

// If a write takes effect after it timed out at its sender, the sender must not hold
// the lease for longer than its duration from the time of sending.
func TestLateWriteDoesNotExtendLease(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	m := NewStateMachine("a", testDuration, testRenewInterval)
	assert.DeepEqual(t, m.Step(start, Tick{Candidate: true}), []Effect{Read{}})
	write := m.Step(start, ReadEnded{})[0].(Write)
	assert.Equal(t, write.Record.FencingToken, uint64(1))
	assert.Equal(t, len(m.Step(start.Add(time.Second), WriteEnded{})), 0)
	later := start.Add(14 * time.Second)
	assert.DeepEqual(t, m.Step(later, Tick{Candidate: true}), []Effect{Read{}})
	effects := m.Step(later, ReadEnded{Record: write.Record, ResourceVersion: "1"})
	next, ok := effects[0].(Write)
	assert.Assert(t, ok, "the lease has expired and must be acquired again, got %v", effects)
	assert.Equal(t, next.Record.FencingToken, uint64(2))
}

// A new fencing token must exceed the minimum learned from another source, and a holder
// must give up a token below it. Otherwise tokens would be used twice after the platform
// was restored from an older copy.
func TestFencingTokenExceedsMinimum(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	m := NewStateMachine("a", testDuration, testRenewInterval)
	m.Step(now, Tick{Candidate: true, MinFencingToken: 41})
	write := m.Step(now, ReadEnded{Record: Record{FencingToken: 7, Duration: testDuration}, ResourceVersion: "1"})[0].(Write)
	assert.Equal(t, write.Record.FencingToken, uint64(42))
	m.Step(now, WriteEnded{ResourceVersion: "2"})
	effects := m.Step(now, Tick{Candidate: true, MinFencingToken: 50})
	assert.DeepEqual(t, effects[0], Effect(HoldingChanged{FencingToken: 42}))
}

// FuzzDecodeRecord checks that a malformed lease causes an error, not a panic.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(Record{Holder: "a", FencingToken: 1, Duration: time.Second}.encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := decodeRecord(data); err == nil && r.Duration < 0 {
			t.Fatal("negative duration accepted")
		}
	})
}
