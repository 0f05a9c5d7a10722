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

const topic Topic = "test"

var start = time.UnixMilli(1_700_000_000_000)

// keepLarger merges by byte order and rejects payloads that begin with 0xff.
func keepLarger(current, incoming []byte) ([]byte, error) {
	if len(incoming) != 0 && incoming[0] == 0xff {
		return nil, eris.New("malformed")
	}
	if bytes.Compare(current, incoming) > 0 {
		return current, nil
	}
	return incoming, nil
}

// mesh delivers messages between reducers at once, in random order.
type mesh struct {
	now     time.Time
	random  *rand.Rand
	nodes   map[string]*Reducer
	flights []Send
	largest int
	loss    float64
}

func newMesh(seed uint64, names ...string) *mesh {
	m := &mesh{now: start, random: rand.New(rand.NewPCG(seed, seed)), nodes: make(map[string]*Reducer)}
	for _, name := range names {
		m.nodes[name] = NewReducer(name, seed)
		m.nodes[name].RegisterTopic(topic, keepLarger, nil)
	}
	return m
}

func (m *mesh) link(from string, to ...string) {
	list := make([]Neighbour, 0, len(to))
	for _, name := range to {
		list = append(list, Neighbour{Instance: name, Address: name})
	}
	m.step(from, NeighboursSet{Neighbours: list})
}

func (m *mesh) step(name string, event Event) {
	for _, effect := range m.nodes[name].Step(m.now, event) {
		if send, ok := effect.(Send); ok {
			data, err := cbor.Marshal(send.Message)
			if err != nil {
				panic(err)
			}
			m.largest = max(m.largest, len(data))
			m.flights = append(m.flights, send)
		}
	}
}

// settle flushes and delivers until nothing is under way.
func (m *mesh) settle() {
	for _, name := range sortedNames(m.nodes) {
		m.step(name, FlushDue{})
	}
	for len(m.flights) != 0 {
		i := m.random.IntN(len(m.flights))
		send := m.flights[i]
		m.flights = append(m.flights[:i], m.flights[i+1:]...)
		if m.random.Float64() < m.loss {
			continue
		}
		m.step(send.To, Received{Message: send.Message})
		m.step(send.To, FlushDue{})
	}
}

// pass lets time pass, with a comparison per node and interval.
func (m *mesh) pass(intervals int) {
	for range intervals {
		m.now = m.now.Add(2 * syncInterval)
		for _, name := range sortedNames(m.nodes) {
			m.step(name, Tick{})
		}
		m.settle()
	}
}

func sortedNames(nodes map[string]*Reducer) []string {
	names := make([]string, 0, len(nodes))
	for i := range len(nodes) {
		names = append(names, fmt.Sprintf("n%d", i))
	}
	return names
}

// Guards against copies that stay different after messages were lost or
// reordered.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 6).Draw(t, "nodes")
		m := newMesh(rapid.Uint64().Draw(t, "seed"))
		for i := range size {
			name := fmt.Sprintf("n%d", i)
			m.nodes[name] = NewReducer(name, uint64(i))
			m.nodes[name].RegisterTopic(topic, keepLarger, nil)
		}
		for i := range size {
			m.link(fmt.Sprintf("n%d", i), fmt.Sprintf("n%d", (i+1)%size))
		}
		m.loss = rapid.Float64Range(0, 1).Draw(t, "loss")
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			m.step(fmt.Sprintf("n%d", rapid.IntRange(0, size-1).Draw(t, "node")), Published{Item: Item{
				Topic: topic, Key: rapid.StringN(0, 2, 4).Draw(t, "key"),
				Payload: rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(t, "payload"),
			}})
			if rapid.Bool().Draw(t, "settle") {
				m.settle()
			}
		}
		m.loss = 0
		m.settle()
		m.pass(2 * size)
		want := m.nodes["n0"].Items(topic)
		for name, node := range m.nodes {
			assert.DeepEqual(t, node.Items(topic), want)
			assert.Equal(t, node.topic(topic).sum, m.nodes["n0"].topic(topic).sum, name)
		}
	})
}

// Guards against messages beyond the size bounds, and against a large
// difference that takes more than a few comparisons to repair.
func TestLargeDifferenceIsTransferredInParts(t *testing.T) {
	const count = 8000
	m := newMesh(1, "n0", "n1")
	for i := range count {
		payload := binary.BigEndian.AppendUint64(make([]byte, 300), uint64(i))
		node, key := "n0", fmt.Sprint(i)
		if i%2 == 0 {
			node = "n1"
		}
		m.step(node, Published{Item: Item{Topic: topic, Key: key, Payload: payload}})
	}
	m.link("n0", "n1")
	m.pass(10)
	for name, node := range m.nodes {
		assert.Equal(t, len(node.Items(topic)), count, name)
	}
	assert.Assert(t, m.largest < maxItemsBytes+maxSummaries*summaryBytes, "message of %d bytes", m.largest)
}

// Guards against floods that never end or go back to their sender.
func TestChangeIsPassedOnOnce(t *testing.T) {
	r := NewReducer("self", 1)
	r.RegisterTopic(topic, keepLarger, nil)
	r.Step(start, NeighboursSet{Neighbours: []Neighbour{{Address: "a"}, {Address: "b"}, {Address: "c"}}})
	item := Item{Topic: topic, Key: "k", Payload: []byte{1}}
	received := Received{Message: Message{From: "a", Items: []Item{item}}}
	assert.DeepEqual(t, r.Step(start, received), []Effect{NotifySubscriber{Item: item}, ScheduleFlush{Delay: flushDelay}})
	assert.Equal(t, len(r.Step(start, received)), 0)
	r.Step(start, Received{Message: Message{From: "b", Items: []Item{item}}})
	assert.DeepEqual(t, r.Step(start, FlushDue{}), []Effect{
		Send{To: "c", Message: Message{From: "self", Items: []Item{item}}},
	})
	assert.Equal(t, len(r.Step(start, FlushDue{})), 0)
	older := Item{Topic: topic, Key: "k", Payload: []byte{0}}
	assert.Equal(t, len(r.Step(start, Published{Item: older})), 0)
	malformed := Item{Topic: topic, Key: "other", Payload: []byte{0xff}}
	assert.Equal(t, len(r.Step(start, Published{Item: malformed})), 0)
}

// Guards against items that outlive their time or are revived by an old copy.
func TestExpiry(t *testing.T) {
	r := NewReducer("self", 1)
	r.RegisterTopic(topic, keepLarger, func(payload []byte) (time.Time, bool) {
		return start.Add(time.Duration(payload[0]) * time.Second), payload[0] != 0
	})
	for seconds := range 3 {
		r.Step(start, Published{Item: Item{Topic: topic, Key: fmt.Sprint(seconds), Payload: []byte{byte(seconds)}}})
	}
	for seconds, want := range []int{3, 2, 1} {
		now := start.Add(time.Duration(seconds) * time.Second)
		r.Step(now, Tick{})
		assert.Equal(t, len(r.Items(topic)), want)
	}
	late := start.Add(5 * time.Second)
	assert.Equal(t, len(r.Step(late, Published{Item: Item{Topic: topic, Key: "1", Payload: []byte{1}}})), 0)
	assert.Equal(t, len(r.Items(topic)), 1)
}

// Guards against state machines that a recorded log does not reproduce.
func TestReplay(t *testing.T) {
	build := func() *Reducer {
		r := NewReducer("self", 3)
		r.RegisterTopic(topic, keepLarger, nil)
		return r
	}
	var log []reducer.RecordedEvent[Event]
	record := func(seconds int, event Event) {
		log = append(log, reducer.RecordedEvent[Event]{Time: start.Add(time.Duration(seconds) * time.Second), Event: event})
	}
	record(0, NeighboursSet{Neighbours: []Neighbour{{Address: "a"}, {Address: "b"}}})
	for i := range 30 {
		record(i, Published{Item: Item{Topic: topic, Key: fmt.Sprint(i % 7), Payload: []byte{byte(i)}}})
		record(i, Received{Message: Message{From: "a", BucketSums: []BucketSums{{Topic: topic, Sums: make([]byte, bucketCount*hashBytes)}}}})
		record(i, Tick{})
		record(i, FlushDue{})
	}
	assert.DeepEqual(t, reducer.Replay(build(), log), reducer.Replay(build(), log))
}

// FuzzReceive guards against messages that crash a node.
func FuzzReceive(f *testing.F) {
	seeds := []Message{
		{From: "a", Items: []Item{{Topic: topic, Key: "k", Payload: []byte{1}}}},
		{From: "a", Digests: []Digest{{Topic: topic, HashSum: 1}}},
		{From: "a", BucketSums: []BucketSums{{Topic: topic, Sums: make([]byte, bucketCount*hashBytes)}}},
		{From: "a", ItemHashes: []ItemHashes{{Topic: topic, BucketMask: 3, Hashes: make([]byte, summaryBytes)}}, Truncated: true},
		{From: "a", ItemRequests: []ItemRequest{{Topic: topic, KeyHashes: make([]byte, hashBytes)}}},
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
		r.RegisterTopic(topic, keepLarger, nil)
		r.Step(start, NeighboursSet{Neighbours: []Neighbour{{Address: "a"}}})
		r.Step(start, Published{Item: Item{Topic: topic, Key: "x", Payload: []byte{1}}})
		r.Step(start, Received{Message: message})
		r.Step(start, FlushDue{})
	})
}
