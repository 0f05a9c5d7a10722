package membership_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/azurespring/azurespring/internal/fleettest"
	"github.com/azurespring/azurespring/pkg/membership"
)

// viewsMatchRunningNodes reports whether the view of each running node holds
// exactly the running nodes.
func viewsMatchRunningNodes(f *fleettest.Fleet) bool {
	running := f.RunningNodes()
	var want []string
	for _, n := range running {
		want = append(want, n.Self().Instance)
	}
	slices.Sort(want)
	return !slices.ContainsFunc(running, func(n *fleettest.Node) bool { return !slices.Equal(n.Instances(), want) })
}

func assertConverges(t *testing.T, f *fleettest.Fleet, timeout time.Duration) time.Duration {
	t.Helper()
	took, ok := f.AdvanceUntil(100*time.Millisecond, timeout, func() bool { return viewsMatchRunningNodes(f) })
	if !ok {
		for _, n := range f.RunningNodes() {
			t.Logf("view of %s: %v", n.Self().Instance, n.Instances())
		}
		t.Fatalf("views do not match the running nodes after %v", timeout)
	}
	return took
}

// After each fault, the views of all running nodes must converge within the
// timeout of the case and stay converged. Times are virtual.
func TestViewsConvergeAfterFault(t *testing.T) {
	const size, regions = 24, 3
	otherRegion := func(a, b membership.Member) bool { return a.Region != b.Region }
	cases := []struct {
		name    string
		inject  func(f *fleettest.Fleet)
		timeout time.Duration
	}{
		{"a node leaves and stops immediately", func(f *fleettest.Fleet) {
			f.Leave(f.RunningNodes()[5])
			f.CrashNode(f.RunningNodes()[5])
		}, time.Second},
		{"one node crashes", func(f *fleettest.Fleet) { f.CrashNode(f.RunningNodes()[5]) }, 8 * time.Second},
		{"all nodes of a failure domain crash", func(f *fleettest.Fleet) {
			for _, n := range f.RunningNodes() {
				if n.Self().FailureDomain == "d3" {
					f.CrashNode(n)
				}
			}
		}, 20 * time.Second},
		{"a node crashes while a fifth of all messages is lost", func(f *fleettest.Fleet) {
			f.LossRate = 0.2
			f.CrashNode(f.RunningNodes()[7])
			f.Advance(30 * time.Second)
			f.LossRate = 0
		}, 15 * time.Second},
		{"a paused node resumes before it is declared dead", func(f *fleettest.Fleet) {
			f.PauseNode(f.RunningNodes()[4])
			f.Advance(4 * time.Second)
			f.ResumeNode(f.RunningNodes()[4])
		}, 8 * time.Second},
		{"a paused node resumes after it was declared dead", func(f *fleettest.Fleet) {
			f.PauseNode(f.RunningNodes()[4])
			f.Advance(60 * time.Second)
			f.ResumeNode(f.RunningNodes()[4])
		}, 8 * time.Second},
		{"a paused node resumes after its dead record expired", func(f *fleettest.Fleet) {
			f.PauseNode(f.RunningNodes()[4])
			f.Advance(time.Minute)
			f.CrashNode(f.RunningNodes()[8])
			f.Advance(15 * time.Minute)
			f.ResumeNode(f.RunningNodes()[4])
		}, 20 * time.Second},
		{"regions are partitioned for longer than dead records are retained", func(f *fleettest.Fleet) {
			f.IsPartitioned = otherRegion
			f.Advance(5 * time.Second)
			f.CrashNode(f.RunningNodes()[9])
			f.Advance(15 * time.Minute)
			f.IsPartitioned = nil
		}, 30 * time.Second},
		{"an instance is replaced at the same address", func(f *fleettest.Fleet) {
			old := f.RunningNodes()[6]
			f.CrashNode(old)
			f.Advance(time.Second)
			f.Join(f.StartNode("replacement", "6", old.Self().Region, old.Self().FailureDomain), f.RunningNodes()[0])
		}, 3 * time.Second},
		{"nodes crash while regions are partitioned", func(f *fleettest.Fleet) {
			f.IsPartitioned = otherRegion
			f.Advance(5 * time.Second)
			f.CrashNode(f.RunningNodes()[9])
			f.CrashNode(f.RunningNodes()[10])
			f.Advance(5 * time.Minute)
			f.IsPartitioned = nil
		}, 15 * time.Second},
		{"a region replaces all its nodes while it is partitioned", func(f *fleettest.Fleet) {
			f.IsPartitioned = otherRegion
			var seed *fleettest.Node
			for i, n := range f.RunningNodes() {
				if n.Self().Region != "r1" {
					continue
				}
				f.CrashNode(n)
				next := f.StartNode(fmt.Sprintf("new%02d", i), fmt.Sprint(100+i), "r1", n.Self().FailureDomain)
				if seed == nil {
					seed = next
				}
				f.Join(next, seed)
			}
			f.Advance(2 * time.Minute)
			f.IsPartitioned = nil
		}, 2 * time.Minute},
		{"each region is partitioned into two halves", func(f *fleettest.Fleet) {
			half := func(m membership.Member) bool { return m.Instance < "n0012" }
			f.IsPartitioned = func(a, b membership.Member) bool { return half(a) != half(b) }
			f.Advance(2 * time.Minute)
			f.IsPartitioned = nil
		}, time.Minute},
		{"all nodes restart as separate fleets", func(f *fleettest.Fleet) {
			f.Seeds = []string{fleettest.Address("0"), fleettest.Address("1")}
			old := f.RunningNodes()
			for _, n := range old {
				f.CrashNode(n)
			}
			f.Advance(5 * time.Second)
			for i, n := range old {
				next := f.StartNode(n.Self().Instance+"b", fmt.Sprint(i), n.Self().Region, n.Self().FailureDomain)
				f.Join(next, next)
			}
		}, time.Minute},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := fleettest.New(1)
			f.Seeds = []string{fleettest.Address("0"), fleettest.Address("1")}
			f.AddNodes(size, regions)
			assertConverges(t, f, 30*time.Second)
			f.Advance(10 * time.Second)
			c.inject(f)
			t.Logf("converged after %v", assertConverges(t, f, c.timeout))
			f.Advance(20 * time.Second)
			assert.Assert(t, viewsMatchRunningNodes(f), "views diverged again after they had converged")
		})
	}
}

// 200 nodes that join at once through one seed must all be admitted and converge,
// although the seed admits a bounded number of joins per second.
func TestMassJoinThroughOneSeedConverges(t *testing.T) {
	f := fleettest.New(2)
	f.AddNodes(1, 1)
	for i := range 200 {
		n := f.StartNode(fmt.Sprintf("h%03d", i), fmt.Sprint(1000+i), fmt.Sprintf("r%d", i%3), fmt.Sprintf("d%d", i%14))
		f.Join(n, f.RunningNodes()[0])
	}
	t.Logf("converged after %v", assertConverges(t, f, time.Minute))
}

// Joining nodes that have found a fleet whose last started member then dies must not wait
// for each other for ever: nobody would find out that it is gone (seed
// 5789381175252132393 of TestViewsConvergeAfterRandomFaults).
func TestJoiningNodesStartWhenTheirFleetIsGone(t *testing.T) {
	for seed := range uint64(20) {
		f := fleettest.New(seed)
		f.Seeds = []string{fleettest.Address("0"), fleettest.Address("1")}
		f.AddNodes(3, 1)
		f.Advance(5 * time.Second)
		nodes := f.RunningNodes()
		f.CrashNode(nodes[1])
		f.CrashNode(nodes[2])
		for i, n := range nodes[1:] {
			replacement := f.StartNode(fmt.Sprint("x", i), fmt.Sprint(i+1), n.Self().Region, n.Self().FailureDomain)
			f.Join(replacement, n)
		}
		f.Advance(time.Duration(seed) * 100 * time.Millisecond)
		f.CrashNode(nodes[0])
		_, ok := f.AdvanceUntil(time.Second, 3*time.Minute, func() bool { return viewsMatchRunningNodes(f) })
		assert.Assert(t, ok, "seed %d: views still hold a node that is gone", seed)
	}
}

// Views must converge within 3 minutes after any random sequence of crashes,
// pauses, replacements, partitions and message loss.
func TestViewsConvergeAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleettest.New(rapid.Uint64().Draw(t, "seed"))
		f.Seeds = []string{fleettest.Address("0"), fleettest.Address("1")}
		f.AddNodes(rapid.IntRange(3, 14).Draw(t, "nodes"), rapid.IntRange(1, 3).Draw(t, "regions"))
		f.Advance(5 * time.Second)
		for i := range rapid.IntRange(1, 8).Draw(t, "faults") {
			injectRandomFault(t, f, fmt.Sprintf("x%02d", i))
			f.Advance(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "wait")) * time.Millisecond)
		}
		f.IsPartitioned, f.LossRate = nil, 0
		for _, n := range f.RunningNodes() {
			f.ResumeNode(n)
		}
		if _, ok := f.AdvanceUntil(time.Second, 3*time.Minute, func() bool { return viewsMatchRunningNodes(f) }); !ok {
			for _, n := range f.RunningNodes() {
				t.Logf("view of %s in %s: %v", n.Self().Instance, n.Self().Region, n.Instances())
			}
			t.Fatalf("views do not match the running nodes 3 minutes after the last fault")
		}
	})
}

// injectRandomFault draws and injects one fault. If it starts a replacement node,
// instance is its name.
func injectRandomFault(t *rapid.T, f *fleettest.Fleet, instance string) {
	running := f.RunningNodes()
	n := running[rapid.IntRange(0, len(running)-1).Draw(t, "node")]
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		// The last node of a region keeps running: only nodes of the same region can
		// declare it dead.
		if slices.ContainsFunc(running, func(o *fleettest.Node) bool { return o != n && o.Self().Region == n.Self().Region }) {
			f.CrashNode(n)
		}
	case 1:
		f.PauseNode(n)
	case 2:
		f.ResumeNode(n)
	case 3:
		f.CrashNode(n)
		nodeNumber, _ := strings.CutPrefix(n.Self().Address, fleettest.Address(""))
		replacement := f.StartNode(instance, nodeNumber, n.Self().Region, n.Self().FailureDomain)
		f.Join(replacement, running[rapid.IntRange(0, len(running)-1).Draw(t, "joinAddress")])
	case 4:
		f.IsPartitioned = func(a, b membership.Member) bool { return a.Region != b.Region }
	case 5:
		boundary := n.Self().Instance
		f.IsPartitioned = func(a, b membership.Member) bool { return (a.Instance < boundary) != (b.Instance < boundary) }
	case 6:
		f.LossRate = rapid.Float64Range(0, 0.5).Draw(t, "loss")
	}
}
