package gossip

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/azurespring/azurespring/pkg/reducer"
)

const testTopic Topic = "test"

var startTime = time.UnixMilli(1_700_000_000_000)

// mergeLarger returns the larger payload in byte order and rejects payloads that
// begin with 0xff.
func mergeLarger(current, incoming []byte) ([]byte, error) {
	if len(incoming) != 0 && incoming[0] == 0xff {
		return nil, eris.New("malformed")
	}
	if bytes.Compare(current, incoming) > 0 {
		return current, nil
	}
	return incoming, nil
}

// network delivers messages between reducers without delay and in random order,
// and drops them at lossRate.
type network struct {
	now             time.Time
	random          *rand.Rand
	nodes           map[string]*Reducer
	inFlight        []Send
	maxMessageBytes int
	lossRate        float64
}

func newNetwork(seed uint64, names ...string) *network {
	m := &network{now: startTime, random: rand.New(rand.NewPCG(seed, seed)), nodes: make(map[string]*Reducer)}
	for _, name := range names {
		m.nodes[name] = NewReducer(name, seed)
		m.nodes[name].RegisterTopic(testTopic, mergeLarger, nil)
	}
	return m
}

func (m *network) link(from string, to ...string) {
	list := make([]Neighbour, 0, len(to))
	for _, name := range to {
		list = append(list, Neighbour{Instance: name, Address: name})
	}
	m.step(from, NeighboursSet{Neighbours: list})
}

func (m *network) step(name string, event Event) {
	for _, effect := range m.nodes[name].Step(m.now, event) {
		if send, ok := effect.(Send); ok {
			data, err := cbor.Marshal(send.Message)
			if err != nil {
				panic(err)
			}
			m.maxMessageBytes = max(m.maxMessageBytes, len(data))
			m.inFlight = append(m.inFlight, send)
		}
	}
}

// deliverAll flushes all nodes and delivers messages until none is in flight.
func (m *network) deliverAll() {
	for _, name := range sortedNames(m.nodes) {
		m.step(name, FlushDue{})
	}
	for len(m.inFlight) != 0 {
		i := m.random.IntN(len(m.inFlight))
		send := m.inFlight[i]
		m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
		if m.random.Float64() < m.lossRate {
			continue
		}
		m.step(send.To, Received{Message: send.Message})
		m.step(send.To, FlushDue{})
	}
}

// passSyncIntervals advances time so that each node starts one sync per interval.
func (m *network) passSyncIntervals(intervals int) {
	for range intervals {
		m.now = m.now.Add(2 * syncInterval)
		for _, name := range sortedNames(m.nodes) {
			m.step(name, Tick{})
		}
		m.deliverAll()
	}
}

func sortedNames(nodes map[string]*Reducer) []string {
	names := make([]string, 0, len(nodes))
	for i := range len(nodes) {
		names = append(names, fmt.Sprintf("n%d", i))
	}
	return names
}

// All copies must converge after messages were lost or reordered.
func TestCopiesConvergeAfterMessageLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 6).Draw(t, "nodes")
		m := newNetwork(rapid.Uint64().Draw(t, "seed"))
		for i := range size {
			name := fmt.Sprintf("n%d", i)
			m.nodes[name] = NewReducer(name, uint64(i))
			m.nodes[name].RegisterTopic(testTopic, mergeLarger, nil)
		}
		for i := range size {
			m.link(fmt.Sprintf("n%d", i), fmt.Sprintf("n%d", (i+1)%size))
		}
		m.lossRate = rapid.Float64Range(0, 1).Draw(t, "loss")
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			m.step(fmt.Sprintf("n%d", rapid.IntRange(0, size-1).Draw(t, "node")), Published{Item: Item{
				Topic: testTopic, Key: rapid.StringN(0, 2, 4).Draw(t, "key"),
				Payload: rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(t, "payload"),
			}})
			if rapid.Bool().Draw(t, "deliver") {
				m.deliverAll()
			}
		}
		m.lossRate = 0
		m.deliverAll()
		m.passSyncIntervals(2 * size)
		want := m.nodes["n0"].Items(testTopic)
		for name, node := range m.nodes {
			assert.DeepEqual(t, node.Items(testTopic), want)
			assert.Equal(t, node.topic(testTopic).hashSum, m.nodes["n0"].topic(testTopic).hashSum, name)
		}
	})
}

// A large difference between two nodes must be transferred within 10 syncs, and
// no message may exceed the size limits.
func TestLargeDifferenceIsTransferredInParts(t *testing.T) {
	const count = 8000
	m := newNetwork(1, "n0", "n1")
	for i := range count {
		payload := binary.BigEndian.AppendUint64(make([]byte, 300), uint64(i))
		node, key := "n0", fmt.Sprint(i)
		if i%2 == 0 {
			node = "n1"
		}
		m.step(node, Published{Item: Item{Topic: testTopic, Key: key, Payload: payload}})
	}
	m.link("n0", "n1")
	m.passSyncIntervals(10)
	for name, node := range m.nodes {
		assert.Equal(t, len(node.Items(testTopic)), count, name)
	}
	assert.Assert(t, m.maxMessageBytes < maxItemsBytes+maxSummaries*summaryBytes, "largest message is %d bytes, beyond the limit", m.maxMessageBytes)
}

// A change must be forwarded once to each neighbour that has not sent it itself.
// Items that change nothing or are malformed must not be forwarded, or floods
// would never end.
func TestChangeIsForwardedOnce(t *testing.T) {
	r := NewReducer("self", 1)
	r.RegisterTopic(testTopic, mergeLarger, nil)
	r.Step(startTime, NeighboursSet{Neighbours: []Neighbour{{Address: "a"}, {Address: "b"}, {Address: "c"}}})
	item := Item{Topic: testTopic, Key: "k", Payload: []byte{1}}
	received := Received{Message: Message{From: "a", Items: []Item{item}}}
	assert.DeepEqual(t, r.Step(startTime, received), []Effect{NotifySubscriber{Item: item}, ScheduleFlush{Delay: flushDelay}})
	assert.Equal(t, len(r.Step(startTime, received)), 0)
	r.Step(startTime, Received{Message: Message{From: "b", Items: []Item{item}}})
	assert.DeepEqual(t, r.Step(startTime, FlushDue{}), []Effect{
		Send{To: "c", Message: Message{From: "self", Items: []Item{item}}},
	})
	assert.Equal(t, len(r.Step(startTime, FlushDue{})), 0)
	older := Item{Topic: testTopic, Key: "k", Payload: []byte{0}}
	assert.Equal(t, len(r.Step(startTime, Published{Item: older})), 0)
	malformed := Item{Topic: testTopic, Key: "other", Payload: []byte{0xff}}
	assert.Equal(t, len(r.Step(startTime, Published{Item: malformed})), 0)
}

// Items must be removed when they expire, and an old copy must not revive them.
func TestItemsExpireAndStayExpired(t *testing.T) {
	r := NewReducer("self", 1)
	r.RegisterTopic(testTopic, mergeLarger, func(payload []byte) (time.Time, bool) {
		return startTime.Add(time.Duration(payload[0]) * time.Second), payload[0] != 0
	})
	for seconds := range 3 {
		r.Step(startTime, Published{Item: Item{Topic: testTopic, Key: fmt.Sprint(seconds), Payload: []byte{byte(seconds)}}})
	}
	for seconds, want := range []int{3, 2, 1} {
		now := startTime.Add(time.Duration(seconds) * time.Second)
		r.Step(now, Tick{})
		assert.Equal(t, len(r.Items(testTopic)), want)
	}
	late := startTime.Add(5 * time.Second)
	assert.Equal(t, len(r.Step(late, Published{Item: Item{Topic: testTopic, Key: "1", Payload: []byte{1}}})), 0)
	assert.Equal(t, len(r.Items(testTopic)), 1)
}

// Replaying a recorded event log must reproduce the same effects, so the reducer
// must not depend on map order, the system clock or unseeded randomness.
func TestReplayReproducesEffects(t *testing.T) {
	build := func() *Reducer {
		r := NewReducer("self", 3)
		r.RegisterTopic(testTopic, mergeLarger, nil)
		return r
	}
	var log []reducer.RecordedEvent[Event]
	record := func(seconds int, event Event) {
		log = append(log, reducer.RecordedEvent[Event]{Time: startTime.Add(time.Duration(seconds) * time.Second), Event: event})
	}
	record(0, NeighboursSet{Neighbours: []Neighbour{{Address: "a"}, {Address: "b"}}})
	for i := range 30 {
		record(i, Published{Item: Item{Topic: testTopic, Key: fmt.Sprint(i % 7), Payload: []byte{byte(i)}}})
		record(i, Received{Message: Message{From: "a", BucketSums: []BucketSums{{Topic: testTopic, Sums: make([]byte, bucketCount*hashBytes)}}}})
		record(i, Tick{})
		record(i, FlushDue{})
	}
	assert.DeepEqual(t, reducer.Replay(build(), log), reducer.Replay(build(), log))
}

// FuzzReceive checks that no message makes the decoder or the reducer panic.
func FuzzReceive(f *testing.F) {
	seeds := []Message{
		{From: "a", Items: []Item{{Topic: testTopic, Key: "k", Payload: []byte{1}}}},
		{From: "a", Digests: []Digest{{Topic: testTopic, HashSum: 1}}},
		{From: "a", BucketSums: []BucketSums{{Topic: testTopic, Sums: make([]byte, bucketCount*hashBytes)}}},
		{From: "a", ItemHashes: []ItemHashes{{Topic: testTopic, BucketMask: 3, Hashes: make([]byte, summaryBytes)}}, Truncated: true},
		{From: "a", ItemRequests: []ItemRequest{{Topic: testTopic, KeyHashes: make([]byte, hashBytes)}}},
	}
	for _, message := range seeds {
		data, err := cbor.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := DecodeMessage(data)
		if err != nil {
			return
		}
		r := NewReducer("self", 1)
		r.RegisterTopic(testTopic, mergeLarger, nil)
		r.Step(startTime, NeighboursSet{Neighbours: []Neighbour{{Address: "a"}}})
		r.Step(startTime, Published{Item: Item{Topic: testTopic, Key: "x", Payload: []byte{1}}})
		r.Step(startTime, Received{Message: message})
		r.Step(startTime, FlushDue{})
	})
}
