package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// faults are what may happen in a simulated fleet. Each is undone after its time.
var faults = []struct {
	name  string
	begin func(f *simFleet, n *simNode, d time.Duration) (undo func())
}{
	{"kill", func(f *simFleet, n *simNode, _ time.Duration) func() {
		f.kill(n)
		return func() { f.restart(n) }
	}},
	{"restart", func(f *simFleet, n *simNode, _ time.Duration) func() {
		f.restart(n)
		return func() {}
	}},
	{"kill the granter", func(f *simFleet, n *simNode, _ time.Duration) func() {
		n = f.granterOr(n)
		f.kill(n)
		return func() { f.restart(n) }
	}},
	{"restart the granter", func(f *simFleet, n *simNode, _ time.Duration) func() {
		f.restart(f.granterOr(n))
		return func() {}
	}},
	{"pause", func(f *simFleet, n *simNode, d time.Duration) func() {
		n.pausedUntil = f.now + d
		return func() {}
	}},
	{"pause the granter", func(f *simFleet, n *simNode, d time.Duration) func() {
		f.granterOr(n).pausedUntil = f.now + d
		return func() {}
	}},
	{"stop", func(f *simFleet, n *simNode, _ time.Duration) func() {
		f.stop(n)
		return func() { f.restart(n) }
	}},
	{"stop the granter", func(f *simFleet, n *simNode, _ time.Duration) func() {
		n = f.granterOr(n)
		f.stop(n)
		return func() { f.restart(n) }
	}},
	{"restart all", func(f *simFleet, _ *simNode, _ time.Duration) func() {
		for _, n := range f.nodes {
			f.restart(n)
		}
		return func() {}
	}},
	{"partition", func(f *simFleet, n *simNode, _ time.Duration) func() {
		n.group = 1 + n.index%2
		return func() { n.group = 0 }
	}},
	{"partition the granter", func(f *simFleet, n *simNode, _ time.Duration) func() {
		n = f.granterOr(n)
		n.group = 3
		return func() { n.group = 0 }
	}},
	{"messages lost, late and twice", func(f *simFleet, _ *simNode, _ time.Duration) func() {
		f.lossRate, f.lateRate, f.dupRate = 0.2, 0.3, 0.2
		return func() { f.lossRate, f.lateRate, f.dupRate = 0, 0, 0 }
	}},
	{"store outage", func(f *simFleet, _ *simNode, _ time.Duration) func() {
		f.isStoreDown = true
		return func() { f.isStoreDown = false }
	}},
	{"store restored from a copy", func(f *simFleet, _ *simNode, d time.Duration) func() {
		f.restoreStore(d / 2)
		return func() {}
	}},
	{"store away and restored from a copy", func(f *simFleet, _ *simNode, d time.Duration) func() {
		f.isStoreDown = true
		return func() {
			f.restoreStore(d + time.Second)
			f.isStoreDown = false
		}
	}},
	{"demand moves", func(f *simFleet, n *simNode, _ time.Duration) func() {
		f.loadOnly(n)
		return func() {}
	}},
	{"demand everywhere", func(f *simFleet, _ *simNode, _ time.Duration) func() {
		f.loadOnly(f.nodes...)
		return func() {}
	}},
	{"no demand", func(f *simFleet, _ *simNode, _ time.Duration) func() {
		f.loadOnly()
		return func() {}
	}},
}

// granterOr returns the node that has the stored term, otherwise n.
func (f *simFleet) granterOr(n *simNode) *simNode {
	if f.hasRecord {
		return f.nodeCalled(f.record.Node)
	}
	return n
}

func (f *simFleet) restart(n *simNode) {
	n.pausedUntil = 0
	f.start(n)
}

// stop stops a node in order, as a shutdown does.
func (f *simFleet) stop(n *simNode) {
	if n.isDead || f.now < n.pausedUntil {
		return
	}
	for _, g := range n.granters {
		g.Release()
	}
	for _, s := range n.holder.Stop(f.clock(n)) {
		f.send(n, s)
	}
	f.after(300*time.Millisecond, func() { f.kill(n) })
}

// loadOnly spreads the demand over the given nodes.
func (f *simFleet) loadOnly(nodes ...*simNode) {
	for _, n := range f.nodes {
		n.demand = 0
		if slices.Contains(nodes, n) {
			n.demand = f.totalDemand / float64(len(nodes))
		}
	}
}

// The rule must hold in every window, whatever happens to nodes, messages and the store.
func TestRuleHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Rate:  rapid.SampledFrom([]float64{2, 20, 100, 400}).Draw(t, "rate"),
			Burst: rapid.SampledFrom([]float64{0, 10, 200}).Draw(t, "burst"), Rule: testRule,
		}
		f := newSimFleet(rapid.IntRange(1, 7).Draw(t, "nodes"), limit, rapid.Uint64().Draw(t, "seed"))
		f.totalDemand = limit.Rate * rapid.SampledFrom([]float64{0.5, 1.2, 4}).Draw(t, "demand")
		f.loadOnly(f.nodes...)
		f.run(time.Duration(rapid.IntRange(0, 9000).Draw(t, "warmUpMs")) * time.Millisecond)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			fault := faults[rapid.IntRange(0, len(faults)-1).Draw(t, "fault")]
			n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
			d := time.Duration(rapid.IntRange(1, 14000).Draw(t, "ms")) * time.Millisecond
			f.after(d, fault.begin(f, n, d))
			f.run(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pauseMs")) * time.Millisecond)
		}
		f.run(5 * time.Second)
		if f.mostShared > 1+1e-6 {
			t.Fatalf("the shares in use summed to %f", f.mostShared)
		}
		most := f.maxInWindow(0, testRule.Window)
		if float64(most) > limit.Allowed() {
			t.Fatalf("%d requests in a window, %.0f allowed", most, limit.Allowed())
		}
	})
}

// A lowered limit must be binding as soon as all nodes have it, although the demand stays
// far above it and shares were granted under the old one.
func TestLoweredLimitIsBinding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := Limit{Rate: 300, Burst: 100, Rule: testRule}
		after := Limit{Rate: rapid.SampledFrom([]float64{1, 10, 50}).Draw(t, "rate"), Burst: 5, Rule: testRule}
		f := newSimFleet(rapid.IntRange(1, 7).Draw(t, "nodes"), before, rapid.Uint64().Draw(t, "seed"))
		f.totalDemand = 900
		f.loadOnly(f.nodes...)
		f.run(time.Duration(rapid.IntRange(0, 9000).Draw(t, "warmUpMs")) * time.Millisecond)
		for _, n := range f.nodes {
			f.after(time.Duration(f.random.Int64N(int64(3*time.Second))), func() {
				f.setLimits(n, map[string]Limit{f.tenant: after})
			})
		}
		f.run(3 * time.Second)
		known := f.now
		f.run(12 * time.Second)
		if most := f.maxInWindow(0, testRule.Window); float64(most) > before.Allowed() {
			t.Fatalf("%d requests in a window, %.0f allowed before", most, before.Allowed())
		}
		if most := f.maxInWindow(known+maxTokenLife, testRule.Window); float64(most) > after.Allowed() {
			t.Fatalf("%d requests in a window, %.0f allowed after", most, after.Allowed())
		}
	})
}

// Each kind of fault must leave the limit usable again, within the bound that its cause
// implies: leases and a take-over end within 15 s.
func TestLimitIsUsableAgainAfterFaults(t *testing.T) {
	const outage, recovery, measured = 6 * time.Second, 16 * time.Second, 5 * time.Second
	for i, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			limit := Limit{Rate: 100, Burst: 20, Rule: testRule}
			f := newSimFleet(6, limit, uint64(i))
			f.totalDemand = 2 * limit.Rate
			f.loadOnly(f.nodes...)
			f.run(8 * time.Second)
			f.after(outage, fault.begin(f, f.nodes[0], outage))
			f.run(outage)
			duringFault := f.admittedSince(f.now - outage)
			f.loadOnly(f.nodes...)
			f.run(recovery)
			begin := f.now
			f.run(measured)
			usable := float64(f.admittedSince(begin)) / (limit.Rate * measured.Seconds())
			t.Logf("usable %.2f during the fault, %.2f after it", float64(duringFault)/(limit.Rate*outage.Seconds()), usable)
			assert.Assert(t, usable >= minUsable, "%.3f of the limit was usable", usable)
			assert.Assert(t, float64(f.maxInWindow(0, testRule.Window)) <= limit.Allowed())
		})
	}
}

// When the demand moves to another node, as a key that moves to another client, the limit
// must be usable there within two seconds.
func TestLimitFollowsTheDemand(t *testing.T) {
	for _, count := range []int{2, 24, 88} {
		t.Run(fmt.Sprint(count, " nodes"), func(t *testing.T) {
			limit := Limit{Rate: 100, Burst: 20, Rule: testRule}
			f := newSimFleet(count, limit, 1)
			f.totalDemand = 2 * limit.Rate
			for move := range 6 {
				f.loadOnly(f.nodes[move%2])
				f.run(usableAfter)
				begin := f.now
				f.run(3 * time.Second)
				usable := float64(f.admittedSince(begin)) / (limit.Rate * 3)
				assert.Assert(t, usable >= minUsable, "move %d: %.3f of the limit was usable", move, usable)
			}
		})
	}
}

// While no request comes, nothing may be sent or stored: calls of the store are billed.
func TestNothingIsSentWithoutDemand(t *testing.T) {
	f := newSimFleet(5, Limit{Rate: 100, Burst: 20, Rule: testRule}, 1)
	f.run(30 * time.Second)
	assert.Equal(t, f.messages+f.storeCalls, 0)
	f.totalDemand = 50
	f.loadOnly(f.nodes...)
	f.run(20 * time.Second)
	assert.Assert(t, f.storeCalls <= 22, "%d calls of the store in 20 s", f.storeCalls)
	f.loadOnly()
	f.run(25 * time.Second)
	assert.Equal(t, f.record.State, StateIdle)
	messages, storeCalls := f.messages, f.storeCalls
	f.run(60 * time.Second)
	assert.Equal(t, f.messages, messages)
	assert.Equal(t, f.storeCalls, storeCalls)
	// After that, the burst must be there at once.
	f.totalDemand = 1000
	f.loadOnly(f.nodes[0])
	admitted := len(f.admitted)
	f.run(time.Second)
	assert.Assert(t, len(f.admitted)-admitted >= 100, "%d requests were admitted", len(f.admitted)-admitted)
}
