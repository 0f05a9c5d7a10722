package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/azurespring/azurespring/pkg/gossip"
)

var epoch = time.UnixMilli(1_700_000_000_000)

func print(text string) Fingerprint { return NewHasher("s", "r", "POST", text).Sum() }

// wire connects registries as gossip would: an item is merged with Merge and
// handed to all.
type wire struct {
	now     time.Time
	items   map[string][]byte
	members []*Registry
}

func newWire(n int) *wire {
	w := &wire{now: epoch, items: make(map[string][]byte)}
	for range n {
		w.members = append(w.members, New(func() time.Time { return w.now }, w, nil))
	}
	return w
}

func (w *wire) Publish(item gossip.Item) {
	merged, err := Merge(w.items[item.Key], item.Payload)
	if err != nil {
		panic(err)
	}
	w.items[item.Key] = merged
	for _, member := range w.members {
		member.OnItem(gossip.Item{Topic: item.Topic, Key: item.Key, Payload: merged})
	}
}

// Guards against a request that crashes target after target, and against equal
// harm to the calls that ran beside it.
func TestTwoCrashesQuarantineEverywhereAndSpareNeighbours(t *testing.T) {
	w := newWire(3)
	poison, neighbour, regular := print("poison"), print("neighbour"), print("regular")
	assert.Assert(t, w.members[0].Empty())
	w.members[0].RecordCrash("a/1", []Fingerprint{poison, neighbour, regular, poison})
	for _, m := range w.members {
		assert.Assert(t, !m.Empty())
		assert.Equal(t, m.Remaining(poison), time.Duration(0), "one crash is no proof")
	}
	w.now = w.now.Add(time.Second)
	// The regular request runs through, as it did before; that clears it.
	w.members[1].RecordCompletion(regular)
	w.now = w.now.Add(time.Second)
	w.members[1].RecordCrash("b/1", []Fingerprint{poison, regular})
	for _, m := range w.members {
		assert.Equal(t, m.Remaining(poison), Duration)
		assert.Equal(t, m.Remaining(neighbour), time.Duration(0))
		assert.Equal(t, m.Remaining(regular), time.Duration(0))
	}
	w.now = w.now.Add(Duration)
	assert.Equal(t, w.members[2].Remaining(poison), time.Duration(0), "the quarantine does not end")
	w.now = w.now.Add(time.Second)
	w.members[2].step(Tick{})
	assert.Assert(t, w.members[2].Empty(), "expired records stay")
}

// Guards against one crash that several nodes report, or one that is reported
// twice, counting as two, and against crashes that have nothing to do with each
// other.
func TestCrashesCountOncePerProcessAndWithinTheTime(t *testing.T) {
	for _, c := range []struct {
		name    string
		second  string
		later   time.Duration
		blocked bool
	}{
		{"same process", "a/1", time.Second, false},
		{"other process", "a/2", time.Second, true},
		{"long after", "a/2", Duration + time.Second, false},
	} {
		w := newWire(1)
		w.members[0].RecordCrash("a/1", []Fingerprint{print("x")})
		w.now = w.now.Add(c.later)
		w.members[0].RecordCrash(c.second, []Fingerprint{print("x")})
		assert.Equal(t, w.members[0].Remaining(print("x")) > 0, c.blocked, c.name)
	}
}

// Guards against requests that share a fingerprint although they differ, and the
// reverse.
func TestFingerprintCoversRequestAndStartOfBody(t *testing.T) {
	sum := func(method, uri string, body ...string) Fingerprint {
		h := NewHasher("s", "r", method, uri)
		for _, part := range body {
			_, _ = h.Write([]byte(part))
		}
		return h.Sum()
	}
	long := string(make([]byte, MaxHashedBodyBytes))
	assert.Equal(t, sum("POST", "/a", "bo", "dy"), sum("POST", "/a", "body"))
	assert.Equal(t, sum("POST", "/a", long, "x"), sum("POST", "/a", long, "y"))
	seen := map[Fingerprint]bool{}
	for _, f := range []Fingerprint{
		sum("POST", "/a"), sum("GET", "/a"), sum("POST", "/a?b"), sum("POST", "/a", "b"), sum("POST", "/a", long),
	} {
		assert.Assert(t, !seen[f])
		seen[f] = true
		parsed, err := ParseFingerprint(f.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, f)
	}
}

// Guards against nodes that disagree for good because of the order in which
// records reached them.
func TestMergeIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) []byte {
			r := Record{ClearedAtMicros: rapid.Int64Range(0, 20).Draw(t, name+"-cleared")}
			for i := range rapid.IntRange(0, 6).Draw(t, name) {
				at := rapid.Int64Range(1, 30).Draw(t, fmt.Sprint(name, i))
				// A process crashes once, so its crash has one time.
				r = r.merge(Record{Crashes: []Crash{{Process: fmt.Sprint("p", at, "/", i%3), AtMicros: at}}})
			}
			payload, err := encode(r)
			assert.NilError(t, err)
			return payload
		}
		merge := func(a, b []byte) []byte {
			merged, err := Merge(a, b)
			assert.NilError(t, err)
			return merged
		}
		a, b, c := draw("a"), draw("b"), draw("c")
		assert.DeepEqual(t, merge(a, b), merge(b, a))
		assert.DeepEqual(t, merge(merge(a, b), c), merge(a, merge(b, c)))
		assert.DeepEqual(t, merge(merge(a, b), b), merge(a, b))
		assert.DeepEqual(t, merge(nil, merge(a, a)), merge(a, nil))
	})
}

// FuzzMerge guards against a malformed item that stops the node.
func FuzzMerge(f *testing.F) {
	valid, err := encode(Record{Crashes: []Crash{{Process: "p", AtMicros: 1}}})
	assert.NilError(f, err)
	f.Add(valid, []byte{})
	f.Fuzz(func(t *testing.T, a, b []byte) {
		merged, err := Merge(a, b)
		if err == nil {
			_, err = Merge(merged, a)
			assert.NilError(t, err)
		}
	})
}
