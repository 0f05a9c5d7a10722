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
	testDuration = 15 * time.Second
	testRenew    = 5 * time.Second
)

// world is a simulated platform with several contenders for one lease. Calls
// take effect and are answered at arbitrary later times, replies get lost, and
// contenders pause.
type world struct {
	t       *rapid.T
	now     time.Time
	record  Record
	version int
	nodes   []*contender
	// late are writes that take effect after their senders gave them up.
	late    []Write
	highest uint64
}

type contender struct {
	machine *StateMachine
	pending Effect
	applied bool
	answer  Event
	until   time.Time
	fence   uint64
}

func (w *world) versionName() string {
	if w.version == 0 {
		return ""
	}
	return fmt.Sprint(w.version)
}

func (w *world) step(n *contender, event Event) {
	for _, effect := range n.machine.Step(w.now, event) {
		c, ok := effect.(HoldingChanged)
		if !ok {
			if n.pending != nil {
				w.t.Fatalf("second call while one is open: %#v", effect)
			}
			n.pending, n.applied = effect, false
			continue
		}
		n.until = time.Time{}
		if c.Held {
			w.acquired(n, c)
		}
	}
}

func (w *world) acquired(n *contender, c HoldingChanged) {
	for _, other := range w.nodes {
		if other != n && w.now.Before(other.until) {
			w.t.Fatalf("fences %d and %d are held at the same time", other.fence, c.FencingToken)
		}
	}
	if c.FencingToken < w.highest {
		w.t.Fatalf("fence %d after %d", c.FencingToken, w.highest)
	}
	w.highest = c.FencingToken
	n.until, n.fence = c.HeldUntil, c.FencingToken
}

// apply lets the open call of n take effect in the platform.
func (w *world) apply(n *contender) {
	if n.pending == nil || n.applied {
		return
	}
	n.applied = true
	switch e := n.pending.(type) {
	case Read:
		n.answer = ReadEnded{Record: w.record, ResourceVersion: w.versionName()}
	case Write:
		n.answer = WriteEnded{}
		if w.store(e) {
			n.answer = WriteEnded{ResourceVersion: w.versionName()}
		}
	}
}

func (w *world) store(e Write) bool {
	if e.ResourceVersion != w.versionName() {
		return false
	}
	w.version++
	w.record = e.Record
	return true
}

func (w *world) applyLate() {
	for _, write := range w.late {
		w.store(write)
	}
	w.late = nil
}

// finish answers the open call of n, or loses the answer.
func (w *world) finish(n *contender, lose bool) {
	if n.pending == nil {
		return
	}
	if !n.applied || lose {
		n.answer = WriteEnded{}
		if _, read := n.pending.(Read); read {
			n.answer = ReadEnded{Failed: true}
		}
	}
	n.pending = nil
	w.step(n, n.answer)
}

// TestOneHolder guards the invariant of leases: no two instances act under one
// lease at the same time and fencing numbers never fall, whatever calls are
// slow, lost or late and however long an instance pauses.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Unix(1_000_000, 0)}
		for i := range rapid.IntRange(2, 3).Draw(t, "contenders") {
			w.nodes = append(w.nodes, &contender{machine: NewStateMachine(fmt.Sprint("n", i), testDuration, testRenew)})
		}
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			n := rapid.SampledFrom(w.nodes).Draw(t, "contender")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			case 3:
				w.now = w.now.Add(rapid.SampledFrom([]time.Duration{5 * time.Second, 20 * time.Second}).Draw(t, "pause"))
			case 4:
				if rapid.Bool().Draw(t, "applied") {
					w.apply(n)
				} else if write, ok := n.pending.(Write); ok {
					w.late = append(w.late, write)
				}
				w.finish(n, true)
			case 5:
				w.apply(n)
				w.applyLate()
			case 6, 7:
				w.apply(n)
				w.finish(n, false)
			default:
				w.step(n, Tick{Candidate: rapid.IntRange(0, 19).Draw(t, "wants") > 0})
			}
		}
	})
}

// TestLateWrite guards the case that a write takes effect after its sender gave
// it up: the sender must not act on it beyond the time counted from sending.
func TestLateWrite(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	m := NewStateMachine("a", testDuration, testRenew)
	assert.DeepEqual(t, m.Step(start, Tick{Candidate: true}), []Effect{Read{}})
	write := m.Step(start, ReadEnded{})[0].(Write)
	assert.Equal(t, write.Record.FencingToken, uint64(1))
	assert.Equal(t, len(m.Step(start.Add(time.Second), WriteEnded{})), 0)
	later := start.Add(14 * time.Second)
	assert.DeepEqual(t, m.Step(later, Tick{Candidate: true}), []Effect{Read{}})
	effects := m.Step(later, ReadEnded{Record: write.Record, ResourceVersion: "1"})
	next, ok := effects[0].(Write)
	assert.Assert(t, ok, "the lease is over and must be acquired anew, got %v", effects)
	assert.Equal(t, next.Record.FencingToken, uint64(2))
}

// TestMinFence guards that numbers keep rising after the platform lost some.
func TestMinFence(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	m := NewStateMachine("a", testDuration, testRenew)
	m.Step(now, Tick{Candidate: true, MinFencingToken: 41})
	write := m.Step(now, ReadEnded{Record: Record{FencingToken: 7, Duration: testDuration}, ResourceVersion: "1"})[0].(Write)
	assert.Equal(t, write.Record.FencingToken, uint64(42))
	m.Step(now, WriteEnded{ResourceVersion: "2"})
	effects := m.Step(now, Tick{Candidate: true, MinFencingToken: 50})
	assert.DeepEqual(t, effects[0], Effect(HoldingChanged{FencingToken: 42}))
}

// FuzzDecodeRecord guards that a malformed lease causes an error, not a panic.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(Record{Holder: "a", FencingToken: 1, Duration: time.Second}.encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := decodeRecord(data); err == nil && r.Duration < 0 {
			t.Fatal("negative duration accepted")
		}
	})
}
