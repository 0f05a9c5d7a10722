// Package fleettest runs the gossip and membership reducers of several nodes in
// virtual time over a simulated network, for tests and measurements.
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
	// sendTimeout and pingTimeout are those of the gossip and membership services.
	sendTimeout = 2 * time.Second
	pingTimeout = 900 * time.Millisecond
	// Minimum one-way network delays; up to 50% is added at random.
	sameRegionDelay  = time.Millisecond
	crossRegionDelay = 8 * time.Millisecond
	// pingBytes is the size of the payloads of a ping and its reply.
	pingBytes = 60
)

// Traffic counts the messages and bytes that one or all nodes sent.
type Traffic struct {
	Messages uint64
	// Bytes counts payloads before compression, without transport overhead.
	Bytes            uint64
	CrossRegionBytes uint64
	Pings            uint64
}

// Node is one simulated node.
type Node struct {
	Gossip     *gossip.Reducer
	Membership *membership.Reducer
	// View is the node's newest membership view.
	View    *membership.View
	Traffic Traffic

	self      membership.Member
	epoch     int // incremented by CrashNode, so that events scheduled before are dropped
	isStopped bool
	isPaused  bool
	// standalone decides when the joining node gives up to find a fleet.
	standalone *membership.StandaloneTimer
}

// Self returns the static fields of the node's member record.
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
	// LossRate is the fraction of messages and pings that is lost.
	LossRate float64
	// IsPartitioned, if set, reports whether the network drops all messages between two
	// nodes.
	IsPartitioned func(a, b membership.Member) bool
	// OnItemChanged, if set, is called for each change of an item at a node. from is the
	// address of the node that sent the change, empty for the node itself.
	OnItemChanged func(n *Node, item gossip.Item, from string)
	// Seeds are the seed addresses of nodes that start later.
	Seeds []string

	now       time.Time
	random    *rand.Rand
	events    eventHeap
	nextOrder uint64
	nodes     []*Node
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
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *Node) bool { return n.isStopped })
}

// StartNode starts a node that has not joined yet. Its address is derived from port,
// so that a replacement with the same port has the same address.
func (f *Fleet) StartNode(instance, port, region, domain string) *Node {
	self := membership.Member{
		Instance: instance, Address: Address(port), AdminAddress: Address(port) + "0",
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
	f.startTicker(n, membership.TickInterval, func() { f.stepMembership(n, membership.Tick{}) })
	f.startTicker(n, gossip.TickInterval, func() { f.StepGossip(n, gossip.Tick{}) })
	return n
}

// Address returns the address of a node with the given port.
func Address(port string) string { return "10.0.0.1:" + port }

// MergeMax keeps the larger payload.
func MergeMax(current, incoming []byte) ([]byte, error) {
	if current == nil || slices.Compare(current, incoming) < 0 {
		return incoming, nil
	}
	return current, nil
}

// AddNodes starts count nodes, spread over regions and failure domains, each joining
// through a random earlier one, 10 ms apart.
func (f *Fleet) AddNodes(count, regions int) {
	for i := range count {
		n := f.StartNode(fmt.Sprintf("n%04d", len(f.nodes)), fmt.Sprint(len(f.nodes)),
			fmt.Sprintf("r%d", i%regions), fmt.Sprintf("d%d", i%14))
		f.Join(n, f.nodes[f.random.IntN(max(len(f.nodes)-1, 1))])
		f.Advance(10 * time.Millisecond)
	}
}

// Join makes n a member through seed, or starts it standalone if seed is n itself. It
// retries through seed or an alternative until n is admitted.
func (f *Fleet) Join(n, seed *Node) {
	n.standalone = membership.NewStandaloneTimer(f.now, standaloneTimeout)
	f.join(n, seed, seed)
}

// standaloneTimeout is after how long without a reply of a fleet a joining node starts
// standalone.
const standaloneTimeout = 12 * time.Second

func (f *Fleet) join(n, seed, bootstrap *Node) {
	if n == seed || n.standalone.IsExpired(f.now) {
		f.stepMembership(n, membership.Started{})
		return
	}
	f.schedule(n, f.networkDelay(n, bootstrap), func() {
		if bootstrap.isStopped || bootstrap.isPaused || f.isPartitioned(n, bootstrap) {
			next := seed
			if running := f.RunningNodes(); seed.isStopped {
				next = running[f.random.IntN(len(running))]
			}
			f.schedule(n, time.Second, func() { f.join(n, next, next) })
			return
		}
		for _, effect := range f.stepMembership(bootstrap, membership.JoinRequested{Member: n.Membership.Self()}) {
			if reply, ok := effect.(membership.ReplyToJoin); ok {
				f.handleJoinDecision(n, seed, bootstrap, reply.Decision)
			}
		}
	})
}

func (f *Fleet) handleJoinDecision(n, seed, bootstrap *Node, decision membership.JoinDecision) {
	if decision.Admitted {
		items := bootstrap.Gossip.Items(gossip.TopicMembers)
		f.StepGossip(n, gossip.Received{Message: gossip.Message{From: bootstrap.self.Address, Items: items}})
		f.stepMembership(n, membership.Started{})
		return
	}
	if decision.Started {
		n.standalone.FleetReplied(f.now)
	}
	next := seed
	if len(decision.Alternatives) != 0 {
		if alternative := f.nodeAt(decision.Alternatives[f.random.IntN(len(decision.Alternatives))]); alternative != nil {
			next = alternative
		}
	}
	f.schedule(n, decision.RetryAfter, func() { f.join(n, seed, next) })
}

// CrashNode stops a node without a leave.
func (f *Fleet) CrashNode(n *Node) { n.isStopped = true; n.epoch++ }

// PauseNode stops a node's timers and drops messages to it until ResumeNode.
func (f *Fleet) PauseNode(n *Node) { n.isPaused = true }

// ResumeNode ends a pause.
func (f *Fleet) ResumeNode(n *Node) { n.isPaused = false }

// Advance runs the events of the next d of virtual time.
func (f *Fleet) Advance(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) != 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(*event)
		f.now = e.at
		if e.node == nil || !e.node.isStopped && e.node.epoch == e.epoch {
			e.run()
		}
	}
	f.now = end
}

// AdvanceUntil advances the virtual time in steps until done returns true or limit has
// passed. It returns the virtual time that passed and whether done returned true.
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
	if !n.isPaused {
		f.stepMembership(n, membership.TargetAnnounced{Target: target})
	}
	f.schedule(n, time.Second, func() { f.Announce(n, target) })
}

// Leave makes n leave the cluster; it keeps running.
func (f *Fleet) Leave(n *Node) { f.stepMembership(n, membership.LeaveRequested{}) }

// StepGossip applies an event to the gossip reducer of n.
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
			f.schedule(n, e.Delay, func() { f.StepGossip(n, gossip.FlushDue{}) })
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
		f.stepMembership(n, membership.RecordsChanged{Members: changed})
	}
}

// stepMembership applies an event to the membership reducer of n and returns the
// effects.
func (f *Fleet) stepMembership(n *Node, event membership.Event) []membership.Effect {
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
	to := f.nodeAt(e.To)
	if to != nil && to.self.Region != n.self.Region {
		n.Traffic.CrossRegionBytes += uint64(len(payload))
	}
	if to == nil || f.dropsMessage(n, to) {
		f.schedule(n, sendTimeout, func() { f.StepGossip(n, gossip.SendFailed{Address: e.To}) })
		return
	}
	f.schedule(to, f.networkDelay(n, to), func() {
		if !to.isPaused {
			f.StepGossip(to, gossip.Received{Message: e.Message})
		}
	})
}

// ping simulates how membership.Service handles a ping and its reply.
func (f *Fleet) ping(n *Node, m membership.Member) {
	n.Traffic.Pings++
	n.Traffic.Bytes += pingBytes
	to := f.nodeAt(m.Address)
	if to == nil || to.self.Instance != m.Instance || f.dropsMessage(n, to) {
		f.schedule(n, pingTimeout, func() { f.stepMembership(n, membership.PingFailed{Instance: m.Instance}) })
		return
	}
	if m.State > membership.Alive {
		f.stepMembership(to, membership.SelfSuspected{Incarnation: m.Incarnation})
	}
	state, incarnation := to.Membership.MemberState(n.self.Instance)
	f.schedule(n, 2*f.networkDelay(n, to), func() {
		f.stepMembership(n, membership.PingAnswered{Instance: m.Instance})
		if state > membership.Alive {
			f.stepMembership(n, membership.SelfSuspected{Incarnation: incarnation})
		}
	})
}

func (f *Fleet) nodeAt(address string) *Node {
	for _, n := range slices.Backward(f.nodes) {
		if n.self.Address == address && !n.isStopped {
			return n
		}
	}
	return nil
}

func (f *Fleet) isPartitioned(a, b *Node) bool {
	return f.IsPartitioned != nil && f.IsPartitioned(a.self, b.self)
}

func (f *Fleet) dropsMessage(a, b *Node) bool {
	return a.isPaused || b.isPaused || f.isPartitioned(a, b) || f.random.Float64() < f.LossRate
}

func (f *Fleet) networkDelay(a, b *Node) time.Duration {
	base := sameRegionDelay
	if a.self.Region != b.self.Region {
		base = crossRegionDelay
	}
	return base + time.Duration(f.random.Int64N(int64(base/2)))
}

func (f *Fleet) startTicker(n *Node, interval time.Duration, step func()) {
	var next func()
	next = func() {
		if !n.isPaused {
			step()
		}
		f.schedule(n, interval, next)
	}
	f.schedule(n, time.Duration(f.random.Int64N(int64(interval))), next)
}

// schedule runs a function after d unless the node has stopped by then.
func (f *Fleet) schedule(n *Node, d time.Duration, run func()) {
	f.nextOrder++
	heap.Push(&f.events, &event{at: f.now.Add(d), order: f.nextOrder, node: n, epoch: n.epoch, run: run})
}

type event struct {
	at    time.Time
	order uint64
	node  *Node
	epoch int
	run   func()
}

// eventHeap orders events by time, and those of equal time by insertion.
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
