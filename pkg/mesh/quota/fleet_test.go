package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// simStep is the resolution of the simulated time.
const simStep = 5 * time.Millisecond

// maxCheckedNodes bounds the fleets of which the sum of the shares is checked.
const maxCheckedNodes = 10

// maxGrantWait is how long the simulated requests wait for a grant.
const maxGrantWait = 100 * time.Millisecond

// simEvent is something that happens at a later time.
type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simNode is a node with its holder and granters. Its clock has its own start.
type simNode struct {
	name        string
	index       int
	clockOffset time.Duration
	startedAt   time.Duration
	holder      *Holder
	granters    [Slots]*Granter
	isDead      bool
	pausedUntil time.Duration
	waiting     []time.Duration
	announcedAt map[string]time.Duration
	limits      map[string]Limit
	// group numbers the part of a partitioned network that the node is in.
	group int
	// demand is the number of requests per second, and owed what has not been sent of it.
	demand, owed float64
}

// simFleet is a simulated fleet with a store and a network, for one tenant.
type simFleet struct {
	random   *rand.Rand
	orders   [Slots][]string
	now      time.Duration
	nodes    []*simNode
	queue    simQueue
	order    int
	starts   uint64
	tenant   string
	admitted []time.Duration
	refused  int
	// totalDemand is what loadOnly spreads.
	totalDemand float64
	// batch is the number of requests that come together, at random times; 0 if each comes
	// alone and evenly.
	batch float64

	// mostShared is the largest sum of the shares in use and of the rest that a granter's
	// bucket fills with.
	mostShared float64
	record     Record
	version    int
	hasRecord  bool
	era        uint64
	// written holds the states of the store after each write, the latest last.
	written      []simCopy
	isStoreDown  bool
	storeCalls   int
	messages     int
	lossRate     float64
	lateRate     float64
	dupRate      float64
	maxLate      time.Duration
	networkDelay time.Duration
}

// simCopy is the state of the store from a time on.
type simCopy struct {
	at        time.Duration
	record    Record
	version   int
	hasRecord bool
}

// restoreStore replaces what is stored by a copy that is as old as age, in a new era.
func (f *simFleet) restoreStore(age time.Duration) {
	c := simCopy{}
	for _, each := range f.written {
		if each.at <= f.now-age {
			c = each
		}
	}
	f.record, f.version, f.hasRecord = c.record, c.version, c.hasRecord
	f.era++
	f.written = append(f.written, simCopy{f.now, f.record, f.version, f.hasRecord})
}

func newSimFleet(count int, limit Limit, seed uint64) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), tenant: "t", maxLate: 3 * time.Second, networkDelay: 8 * time.Millisecond}
	for i := range count {
		n := &simNode{name: fmt.Sprint("n", i), index: i, clockOffset: time.Duration(f.random.Int64N(int64(time.Hour))), isDead: true}
		n.limits = map[string]Limit{f.tenant: limit}
		f.nodes = append(f.nodes, n)
	}
	for slot := range Slots {
		f.orders[slot] = Order(slot, nodesOf(f.names()...))
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	return f
}

func (f *simFleet) clock(n *simNode) time.Duration { return f.now + n.clockOffset }

func (f *simFleet) names() []string {
	names := make([]string, len(f.nodes))
	for i, n := range f.nodes {
		names[i] = n.name
	}
	return names
}

// start starts a new process of a node.
func (f *simFleet) start(n *simNode) {
	f.starts++
	n.isDead, n.waiting, n.announcedAt = false, nil, make(map[string]time.Duration)
	n.holder = NewHolder(n.name, f.starts)
	n.startedAt = f.clock(n)
	for slot := range Slots {
		n.holder.slots[slot].order = f.orders[slot]
		n.granters[slot] = NewGranter(slot, n.name, f.starts)
	}
	f.setLimits(n, n.limits)
}

// granter returns the granter of a slot at a node. Its list of nodes is filled at the first
// call, because few of a large fleet ever need it.
func (f *simFleet) granter(n *simNode, slot int) *Granter {
	g := n.granters[slot]
	if g.order == nil {
		g.SetNodes(n.startedAt, f.orders[slot])
	}
	return g
}

func (f *simFleet) setLimits(n *simNode, limits map[string]Limit) {
	n.limits = limits
	n.holder.SetLimits(limits)
	for _, g := range n.granters {
		g.SetLimits(limits)
	}
}

func (f *simFleet) kill(n *simNode) { n.isDead = true }

func (f *simFleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, simEvent{at: f.now + d, order: f.order, run: run})
}

// deliver runs receive at a node when a message of from arrives, possibly never, late or
// twice. A paused node receives it when it goes on; a process that has ended does not.
func (f *simFleet) deliver(from, to *simNode, receive func()) {
	if from == to {
		f.after(0, receive)
		return
	}
	f.messages++
	copies := 1
	if f.random.Float64() < f.dupRate {
		copies = 2
	}
	holder := to.holder
	for range copies {
		delay := f.networkDelay/4 + time.Duration(f.random.Int64N(int64(f.networkDelay)))
		if f.random.Float64() < f.lateRate {
			delay += time.Duration(f.random.Int64N(int64(f.maxLate)))
		}
		if f.random.Float64() < f.lossRate || from.group != to.group {
			continue
		}
		var arrive func()
		arrive = func() {
			switch {
			case to.isDead || to.holder != holder:
			case f.now < to.pausedUntil:
				f.after(to.pausedUntil-f.now, arrive)
			default:
				receive()
			}
		}
		f.after(delay, arrive)
	}
}

func (f *simFleet) nodeCalled(name string) *simNode {
	index, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
	if err != nil {
		panic(err) // Names are made by newSimFleet.
	}
	return f.nodes[index]
}

func (f *simFleet) send(n *simNode, s Sending) {
	to := f.nodeCalled(s.To)
	holder := n.holder
	f.deliver(n, to, func() {
		response := f.granter(to, s.Request.Slot).Receive(f.clock(to), s.Request)
		f.deliver(to, n, func() {
			if n.holder == holder {
				n.holder.Accept(f.clock(n), response)
			}
		})
	})
}

func (f *simFleet) announce(n *simNode, g *Granter) {
	number, grants := g.Term(f.clock(n))
	if !grants {
		return
	}
	for _, name := range g.Unreported() {
		key := fmt.Sprint(name, "/", number)
		if at, ok := n.announcedAt[key]; ok && f.now < at+200*time.Millisecond {
			continue
		}
		n.announcedAt[key] = f.now
		to := f.nodeCalled(name)
		f.deliver(n, to, func() {
			request, ok := to.holder.Announced(f.clock(to), Announcement{Slot: g.slot, Term: number, Granter: n.name})
			if ok {
				f.deliver(to, n, func() { g.Report(f.clock(n), request) })
			}
		})
	}
}

// callStore performs a call of the store. While that is down, the outcome is unknown, and a
// write may have taken effect.
func (f *simFleet) callStore(n *simNode, g *Granter, call StoreCall) {
	f.storeCalls++
	holder := n.holder
	complete := func(result StoreResult) {
		var run func()
		run = func() {
			switch {
			case n.isDead || n.holder != holder:
			case f.now < n.pausedUntil:
				f.after(n.pausedUntil-f.now, run)
			default:
				g.Complete(f.clock(n), call, result)
			}
		}
		f.after(time.Duration(1+f.random.IntN(5))*time.Millisecond, run)
	}
	delay := time.Duration(1+f.random.IntN(5)) * time.Millisecond
	if f.isStoreDown && f.random.IntN(2) == 0 {
		f.after(delay+time.Duration(f.random.Int64N(int64(5*time.Second))), func() { f.execute(call) })
		f.after(time.Second, func() { complete(StoreResult{Outcome: StoreUnknown}) })
		return
	}
	if f.isStoreDown {
		f.after(delay, func() { complete(StoreResult{Outcome: StoreUnknown}) })
		return
	}
	f.after(delay, func() { complete(f.execute(call)) })
}

func (f *simFleet) execute(call StoreCall) StoreResult {
	switch {
	case call.Verb == StoreGet && !f.hasRecord:
		return StoreResult{Outcome: StoreNotFound, Era: f.era}
	case call.Verb == StoreGet:
		return StoreResult{Outcome: StoreOK, Record: f.record, Version: fmt.Sprint(f.version), Era: f.era}
	case call.Verb == StoreCreate && f.hasRecord, call.Verb == StoreUpdate && call.Version != fmt.Sprint(f.version):
		return StoreResult{Outcome: StoreConflict, Era: f.era}
	}
	f.version++
	f.record, f.hasRecord = call.Record, true
	f.written = append(f.written, simCopy{f.now, f.record, f.version, f.hasRecord})
	return StoreResult{Outcome: StoreOK, Version: fmt.Sprint(f.version), Era: f.era}
}

// run advances the simulated time by d.
func (f *simFleet) run(d time.Duration) {
	slot := SlotOf(f.tenant)
	for end := f.now + d; f.now < end; f.now += simStep {
		for len(f.queue) > 0 && f.queue[0].at <= f.now {
			heap.Pop(&f.queue).(simEvent).run()
		}
		f.addShares()
		for _, n := range f.nodes {
			if n.isDead || f.now < n.pausedUntil {
				continue
			}
			now := f.clock(n)
			f.admit(n, now)
			if n.holder.NextPoll() <= now {
				for _, s := range n.holder.Poll(now) {
					f.send(n, s)
				}
			}
			g := n.granters[slot]
			if call, ok := g.Step(now); ok {
				f.callStore(n, g, call)
			}
			if len(g.unreported) > 0 {
				f.announce(n, g)
			}
		}
	}
}

// addShares updates mostShared. A paused node may still use its shares when it goes on,
// until their leases end; a granter that is paused grants nothing meanwhile.
func (f *simFleet) addShares() {
	if len(f.nodes) > maxCheckedNodes {
		return
	}
	sum := 0.0
	for _, n := range f.nodes {
		if n.isDead {
			continue
		}
		if s := n.holder.shares[f.tenant]; s != nil {
			if f.now >= n.pausedUntil {
				s.advance(f.clock(n), n.limits[f.tenant]) // What the next request would see.
			}
			if f.now >= n.pausedUntil || f.clock(n) < s.leaseEnd {
				sum += s.fraction
			}
		}
		g := n.granters[SlotOf(f.tenant)]
		if t := g.tenants[f.tenant]; t != nil && g.term.grants(f.clock(n)) && f.now >= n.pausedUntil {
			sum += g.rest(t)
		}
	}
	f.mostShared = max(f.mostShared, sum)
}

// admit offers the requests of a node that are due to its holder.
func (f *simFleet) admit(n *simNode, now time.Duration) {
	still := n.waiting[:0]
	for _, until := range n.waiting {
		switch outcome := n.holder.TakeWaiting(now, f.tenant); {
		case outcome.Admitted:
			f.admitted = append(f.admitted, f.now)
		case now >= until:
			n.holder.StopWaiting(f.tenant)
			f.refused++
		default:
			still = append(still, until)
		}
	}
	n.waiting = still
	switch due := n.demand * simStep.Seconds(); {
	case f.batch == 0:
		n.owed += due
	case f.random.Float64() < due/f.batch:
		n.owed += f.batch
	}
	for ; n.owed >= 1; n.owed-- {
		switch outcome := n.holder.Take(now, maxGrantWait, f.tenant); {
		case outcome.Admitted && f.random.IntN(50) == 0:
			n.holder.Return(now, outcome.Permit) // It has not run.
			if outcome.Permit == (Permit{}) {
				f.admitted = append(f.admitted, f.now)
			}
		case outcome.Admitted:
			f.admitted = append(f.admitted, f.now)
		case outcome.Wait:
			n.waiting = append(n.waiting, now+maxGrantWait)
		default:
			f.refused++
		}
	}
}

// maxInWindow returns the largest number of requests admitted in any window that begins
// at from or later.
func (f *simFleet) maxInWindow(from, window time.Duration) int {
	most, first := 0, 0
	for i, at := range f.admitted {
		for f.admitted[first] < from && first < i || at-f.admitted[first] > window {
			first++
		}
		if f.admitted[first] >= from {
			most = max(most, i-first+1)
		}
	}
	return most
}

// admittedSince returns the number of requests admitted at from or later.
func (f *simFleet) admittedSince(from time.Duration) int {
	count := 0
	for _, at := range f.admitted {
		if at >= from {
			count++
		}
	}
	return count
}

// nodesOf returns nodes with equal parts of a core.
func nodesOf(names ...string) []Node {
	nodes := make([]Node, len(names))
	for i, name := range names {
		nodes[i].Name = name
	}
	return nodes
}
