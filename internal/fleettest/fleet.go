// Package fleettest runs the reducers of gossip and membership of several nodes
// in virtual time with a simulated network, for tests and measurements.
package fleettest

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/azurespring/azurespring/pkg/gossip"
	"github.com/azurespring/azurespring/pkg/membership"
)

const (
	// sendTimeout and pingTimeout are those of the services.
	sendTimeout = 2 * time.Second
	pingTimeout = 900 * time.Millisecond
	// One-way delays of the design, up to half as much again at random.
	nearDelay = time.Millisecond
	farDelay  = 8 * time.Millisecond
	// pingBytes is the size of the payloads of a ping and its reply.
	pingBytes = 60
)

// Traffic counts what one node or all nodes sent.
type Traffic struct {
	Messages uint64
	// Bytes are payloads before compression, without the transport's overhead.
	Bytes            uint64
	CrossRegionBytes uint64
	Pings            uint64
}

// Node is one simulated node.
type Node struct {
	Gossip     *gossip.Reducer
	Membership *membership.Reducer
	// View is the newest view.
	View    *membership.View
	Traffic Traffic

	self    membership.Member
	epoch   int // raised by Stop, so that events of the past are dropped
	stopped bool
	paused  bool
}

// Self returns the static part of the node's record.
func (n *Node) Self() membership.Member { return n.self }

// Instances returns the instances of the node's view in order.
func (n *Node) Instances() []string {
	names := make([]string, 0, len(n.View.Members))
	for _, m := range n.View.Members {
		names = append(names, m.Instance)
	}
	return names
}

// Fleet is a set of nodes and the network between them.
type Fleet struct {
	// LossRate is the share of messages and pings that are lost.
	LossRate float64
	// Cut, if set, says whether no message passes between two nodes.
	IsPartitioned func(a, b membership.Member) bool
	// OnItemChanged, if set, is told of each change of an item at a node, and of the
	// address of the node that sent it, empty for the node itself.
	OnItemChanged func(n *Node, item gossip.Item, from string)
	// Seeds are handed to nodes that start later.
	Seeds []string

	now    time.Time
	random *rand.Rand
	events eventHeap
	order  uint64
	nodes  []*Node
}

// New returns an empty fleet. Equal seeds and calls give equal runs.
func New(seed uint64) *Fleet {
	return &Fleet{
		now: time.UnixMilli(1_700_000_000_000), random: rand.New(rand.NewPCG(seed, 7)),
	}
}

// Now returns the virtual time.
func (f *Fleet) Now() time.Time { return f.now }

// RunningNodes returns the nodes that are not stopped.
func (f *Fleet) RunningNodes() []*Node {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *Node) bool { return n.stopped })
}

// StartNode boots a node that has not joined yet. Its address is derived from place,
// so that a replacement at the same place has the same address.
func (f *Fleet) StartNode(instance, place, region, domain string) *Node {
	self := membership.Member{
		Instance: instance, Address: Address(place), AdminAddress: Address(place) + "0",
		Region: region, FailureDomain: domain, ProtocolVersion: 1,
	}
	n := &Node{
		Gossip: gossip.NewReducer(self.Address, f.random.Uint64()), self: self,
		Membership: membership.NewReducer(membership.ReducerOptions{
			Self: self, BootTime: f.now, Seeds: f.Seeds, RandomSeed: f.random.Uint64(),
		}),
	}
	n.View = &membership.View{Self: n.Membership.Self()}
	n.Gossip.RegisterTopic(gossip.TopicMembers, membership.MergeRecords, membership.RecordExpiry)
	n.Gossip.RegisterTopic(gossip.TopicConfig, MergeMax, nil)
	f.nodes = append(f.nodes, n)
	f.tick(n, membership.TickInterval, func() { f.member(n, membership.Tick{}) })
	f.tick(n, gossip.TickInterval, func() { f.StepGossip(n, gossip.Tick{}) })
	return n
}

// Address returns the address of a place.
func Address(place string) string { return "10.0.0.1:" + place }

// MergeMax keeps the larger payload.
func MergeMax(current, incoming []byte) ([]byte, error) {
	if current == nil || slices.Compare(current, incoming) < 0 {
		return incoming, nil
	}
	return current, nil
}

// AddNodes starts size nodes, spread over regions and failure domains, each joining
// through a random earlier one, 10 ms apart.
func (f *Fleet) AddNodes(size, regions int) {
	for i := range size {
		n := f.StartNode(fmt.Sprintf("n%04d", len(f.nodes)), fmt.Sprint(len(f.nodes)),
			fmt.Sprintf("r%d", i%regions), fmt.Sprintf("d%d", i%14))
		f.Join(n, f.nodes[f.random.IntN(max(len(f.nodes)-1, 1))])
		f.Advance(10 * time.Millisecond)
	}
}

// Join makes n a member through seed, or starts it alone if seed is n itself. It
// repeats the attempt at seed or at an alternative while it is not admitted.
func (f *Fleet) Join(n, seed *Node) { f.join(n, seed, seed) }

func (f *Fleet) join(n, seed, contact *Node) {
	if n == seed {
		f.member(n, membership.Started{})
		return
	}
	f.after(n, f.delay(n, contact), func() {
		if contact.stopped || contact.paused || f.cut(n, contact) {
			next := seed
			if live := f.RunningNodes(); seed.stopped {
				next = live[f.random.IntN(len(live))]
			}
			f.after(n, time.Second, func() { f.join(n, next, next) })
			return
		}
		for _, effect := range f.member(contact, membership.JoinRequested{Member: n.Membership.Self()}) {
			if answer, ok := effect.(membership.ReplyToJoin); ok {
				f.answered(n, seed, contact, answer.Decision)
			}
		}
	})
}

func (f *Fleet) answered(n, seed, contact *Node, answer membership.JoinDecision) {
	if answer.Admitted {
		items := contact.Gossip.Items(gossip.TopicMembers)
		f.StepGossip(n, gossip.Received{Message: gossip.Message{From: contact.self.Address, Items: items}})
		f.member(n, membership.Started{})
		return
	}
	next := seed
	if len(answer.Alternatives) != 0 {
		if other := f.at(answer.Alternatives[f.random.IntN(len(answer.Alternatives))]); other != nil {
			next = other
		}
	}
	f.after(n, answer.RetryAfter, func() { f.join(n, seed, next) })
}

// CrashNode ends a node without notice.
func (f *Fleet) CrashNode(n *Node) { n.stopped = true; n.epoch++ }

// PauseNode stops a node's timers and drops what is sent to it until Resume.
func (f *Fleet) PauseNode(n *Node) { n.paused = true }

// ResumeNode ends a pause.
func (f *Fleet) ResumeNode(n *Node) { n.paused = false }

// Advance passes d of virtual time.
func (f *Fleet) Advance(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) != 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(*event)
		f.now = e.at
		if e.node == nil || !e.node.stopped && e.node.epoch == e.epoch {
			e.run()
		}
	}
	f.now = end
}

// AdvanceUntil passes time until done holds, looking every step, or limit has
// passed. It returns the time that passed and whether done holds.
func (f *Fleet) AdvanceUntil(step, limit time.Duration, done func() bool) (time.Duration, bool) {
	start := f.now
	for !done() {
		if f.now.Sub(start) >= limit {
			return f.now.Sub(start), false
		}
		f.Advance(step)
	}
	return f.now.Sub(start), true
}

// Announce announces a target at n and renews it every second.
func (f *Fleet) Announce(n *Node, target membership.Target) {
	if !n.paused {
		f.member(n, membership.TargetAnnounced{Target: target})
	}
	f.after(n, time.Second, func() { f.Announce(n, target) })
}

// Leave makes n leave; it still runs.
func (f *Fleet) Leave(n *Node) { f.member(n, membership.LeaveRequested{}) }

// StepGossip applies an event to the gossip of n.
func (f *Fleet) StepGossip(n *Node, event gossip.Event) {
	var changed []membership.Member
	from := ""
	if received, ok := event.(gossip.Received); ok {
		from = received.Message.From
	}
	for _, effect := range n.Gossip.Step(f.now, event) {
		switch e := effect.(type) {
		case gossip.Send:
			f.send(n, e)
		case gossip.ScheduleFlush:
			f.after(n, e.Delay, func() { f.StepGossip(n, gossip.FlushDue{}) })
		case gossip.NotifySubscriber:
			if f.OnItemChanged != nil {
				f.OnItemChanged(n, e.Item, from)
			}
			if e.Item.Topic != gossip.TopicMembers {
				continue
			}
			if m, err := membership.DecodeMember(e.Item.Payload); err == nil {
				changed = append(changed, m)
			}
		}
	}
	if len(changed) != 0 {
		f.member(n, membership.RecordsChanged{Members: changed})
	}
}

// member applies an event to the membership of n and returns the effects.
func (f *Fleet) member(n *Node, event membership.Event) []membership.Effect {
	effects := n.Membership.Step(f.now, event)
	for _, effect := range effects {
		switch e := effect.(type) {
		case membership.Publish:
			if item, err := membership.EncodeMember(e.Member); err == nil {
				f.StepGossip(n, gossip.Published{Item: item})
			}
		case membership.Ping:
			f.ping(n, e.Member)
		case membership.Sync:
			f.StepGossip(n, gossip.SyncRequested{Address: e.Address})
		case membership.SetNeighbours:
			f.StepGossip(n, gossip.NeighboursSet{Neighbours: e.Neighbours})
		case membership.PublishView:
			n.View = e.View
		case membership.CompleteLeave:
			f.StepGossip(n, gossip.FlushDue{})
		}
	}
	return effects
}

func (f *Fleet) send(n *Node, e gossip.Send) {
	payload, err := cbor.Marshal(e.Message)
	if err != nil {
		panic(err)
	}
	n.Traffic.Messages++
	n.Traffic.Bytes += uint64(len(payload))
	to := f.at(e.To)
	if to != nil && to.self.Region != n.self.Region {
		n.Traffic.CrossRegionBytes += uint64(len(payload))
	}
	if to == nil || f.lost(n, to) {
		f.after(n, sendTimeout, func() { f.StepGossip(n, gossip.SendFailed{Address: e.To}) })
		return
	}
	f.after(to, f.delay(n, to), func() {
		if !to.paused {
			f.StepGossip(to, gossip.Received{Message: e.Message})
		}
	})
}

// ping does what membership.Service does with a ping and its answer.
func (f *Fleet) ping(n *Node, m membership.Member) {
	n.Traffic.Pings++
	n.Traffic.Bytes += pingBytes
	to := f.at(m.Address)
	if to == nil || to.self.Instance != m.Instance || f.lost(n, to) {
		f.after(n, pingTimeout, func() { f.member(n, membership.PingFailed{Instance: m.Instance}) })
		return
	}
	if m.State > membership.Alive {
		f.member(to, membership.SelfSuspected{Incarnation: m.Incarnation})
	}
	state, incarnation := to.Membership.MemberState(n.self.Instance)
	f.after(n, 2*f.delay(n, to), func() {
		f.member(n, membership.PingAnswered{Instance: m.Instance})
		if state > membership.Alive {
			f.member(n, membership.SelfSuspected{Incarnation: incarnation})
		}
	})
}

func (f *Fleet) at(address string) *Node {
	for _, n := range slices.Backward(f.nodes) {
		if n.self.Address == address && !n.stopped {
			return n
		}
	}
	return nil
}

func (f *Fleet) cut(a, b *Node) bool {
	return f.IsPartitioned != nil && f.IsPartitioned(a.self, b.self)
}

func (f *Fleet) lost(a, b *Node) bool {
	return a.paused || b.paused || f.cut(a, b) || f.random.Float64() < f.LossRate
}

func (f *Fleet) delay(a, b *Node) time.Duration {
	base := nearDelay
	if a.self.Region != b.self.Region {
		base = farDelay
	}
	return base + time.Duration(f.random.Int64N(int64(base/2)))
}

func (f *Fleet) tick(n *Node, interval time.Duration, step func()) {
	var next func()
	next = func() {
		if !n.paused {
			step()
		}
		f.after(n, interval, next)
	}
	f.after(n, time.Duration(f.random.Int64N(int64(interval))), next)
}

// after runs a function at a later time unless the node has stopped by then.
func (f *Fleet) after(n *Node, d time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, &event{at: f.now.Add(d), order: f.order, node: n, epoch: n.epoch, run: run})
}

type event struct {
	at    time.Time
	order uint64
	node  *Node
	epoch int
	run   func()
}

// eventHeap orders events by time, and by insertion within a time.
type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(h[i].at.Compare(h[j].at), cmp.Compare(h[i].order, h[j].order)) < 0
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
