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

func fingerprintOf(text string) Fingerprint { return NewHasher("s", "r", "POST", text).Sum() }

// fakeGossip is an in-memory publisher that merges each item with Merge and
// delivers the result to all registries.
type fakeGossip struct {
	now        time.Time
	items      map[string][]byte
	registries []*Registry
}

func newFakeGossip(n int) *fakeGossip {
	g := &fakeGossip{now: epoch, items: make(map[string][]byte)}
	for range n {
		g.registries = append(g.registries, New(func() time.Time { return g.now }, g, nil))
	}
	return g
}

func (g *fakeGossip) Publish(item gossip.Item) {
	merged, err := Merge(g.items[item.Key], item.Payload)
	if err != nil {
		panic(err)
	}
	g.items[item.Key] = merged
	for _, registry := range g.registries {
		registry.OnItem(gossip.Item{Topic: item.Topic, Key: item.Key, Payload: merged})
	}
}

// A request that crashed two targets must be quarantined on all nodes. Requests that
// were only in flight during one crash, or that completed in between, must not.
func TestTwoCrashesQuarantineOnlyTheCrashingRequest(t *testing.T) {
	g := newFakeGossip(3)
	crashing, concurrent, regular := fingerprintOf("crashing"), fingerprintOf("concurrent"), fingerprintOf("regular")
	assert.Assert(t, g.registries[0].Empty())
	g.registries[0].RecordCrash("a/1", []Fingerprint{crashing, concurrent, regular, crashing})
	for _, registry := range g.registries {
		assert.Assert(t, !registry.Empty())
		assert.Equal(t, registry.Remaining(crashing), time.Duration(0), "one crash must not quarantine a request")
	}
	g.now = g.now.Add(time.Second)
	// The regular request completes, which clears its crash.
	g.registries[1].RecordCompletion(regular)
	g.now = g.now.Add(time.Second)
	g.registries[1].RecordCrash("b/1", []Fingerprint{crashing, regular})
	for _, registry := range g.registries {
		assert.Equal(t, registry.Remaining(crashing), Duration)
		assert.Equal(t, registry.Remaining(concurrent), time.Duration(0))
		assert.Equal(t, registry.Remaining(regular), time.Duration(0))
	}
	g.now = g.now.Add(Duration)
	assert.Equal(t, g.registries[2].Remaining(crashing), time.Duration(0), "the quarantine does not end")
	g.now = g.now.Add(time.Second)
	g.registries[2].step(Tick{})
	assert.Assert(t, g.registries[2].Empty(), "expired records are not removed")
}

// A crash that is reported twice, or by several nodes, must count once, and crashes
// that are further apart than Duration must not count together.
func TestCrashesCountOncePerProcessAndWithinDuration(t *testing.T) {
	for _, c := range []struct {
		name          string
		secondProcess string
		delay         time.Duration
		isQuarantined bool
	}{
		{"same process", "a/1", time.Second, false},
		{"other process", "a/2", time.Second, true},
		{"long after", "a/2", Duration + time.Second, false},
	} {
		g := newFakeGossip(1)
		g.registries[0].RecordCrash("a/1", []Fingerprint{fingerprintOf("x")})
		g.now = g.now.Add(c.delay)
		g.registries[0].RecordCrash(c.secondProcess, []Fingerprint{fingerprintOf("x")})
		assert.Equal(t, g.registries[0].Remaining(fingerprintOf("x")) > 0, c.isQuarantined, c.name)
	}
}

// Different requests must have different fingerprints and equal ones the same,
// however their body is split into writes. Bytes after MaxHashedBodyBytes don't count.
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

// Nodes must converge to the same record in whatever order they receive its updates.
func TestMergeIsIndependentOfOrder(t *testing.T) {
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

// FuzzMerge checks that a malformed item causes an error rather than a panic.
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
