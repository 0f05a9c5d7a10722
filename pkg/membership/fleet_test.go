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

// agree reports whether all live nodes see exactly the live nodes.
func agree(f *fleettest.Fleet) bool {
	live := f.RunningNodes()
	var want []string
	for _, n := range live {
		want = append(want, n.Self().Instance)
	}
	slices.Sort(want)
	return !slices.ContainsFunc(live, func(n *fleettest.Node) bool { return !slices.Equal(n.Instances(), want) })
}

func assertAgree(t *testing.T, f *fleettest.Fleet, limit time.Duration) time.Duration {
	t.Helper()
	took, ok := f.AdvanceUntil(100*time.Millisecond, limit, func() bool { return agree(f) })
	if !ok {
		for _, n := range f.RunningNodes() {
			t.Logf("%s sees %v", n.Self().Instance, n.Instances())
		}
		t.Fatalf("the nodes do not agree after %v", limit)
	}
	return took
}

// Each case guards against views that stay wrong after a fault, or are right
// too late. Times are virtual.
func TestFaults(t *testing.T) {
	const size, regions = 24, 3
	otherRegion := func(a, b membership.Member) bool { return a.Region != b.Region }
	cases := []struct {
		name   string
		inject func(f *fleettest.Fleet)
		limit  time.Duration
	}{
		{"a node leaves and stops at once", func(f *fleettest.Fleet) {
			f.Leave(f.RunningNodes()[5])
			f.CrashNode(f.RunningNodes()[5])
		}, time.Second},
		{"one node dies", func(f *fleettest.Fleet) { f.CrashNode(f.RunningNodes()[5]) }, 8 * time.Second},
		{"all nodes of a failure domain die", func(f *fleettest.Fleet) {
			for _, n := range f.RunningNodes() {
				if n.Self().FailureDomain == "d3" {
					f.CrashNode(n)
				}
			}
		}, 20 * time.Second},
		{"a node dies while a fifth of all messages is lost", func(f *fleettest.Fleet) {
			f.LossRate = 0.2
			f.CrashNode(f.RunningNodes()[7])
			f.Advance(30 * time.Second)
			f.LossRate = 0
		}, 15 * time.Second},
		{"a paused node returns before it is dead", func(f *fleettest.Fleet) {
			f.PauseNode(f.RunningNodes()[4])
			f.Advance(4 * time.Second)
			f.ResumeNode(f.RunningNodes()[4])
		}, 8 * time.Second},
		{"a paused node returns after it was declared dead", func(f *fleettest.Fleet) {
			f.PauseNode(f.RunningNodes()[4])
			f.Advance(60 * time.Second)
			f.ResumeNode(f.RunningNodes()[4])
		}, 8 * time.Second},
		{"a paused node returns after its dead record was dropped", func(f *fleettest.Fleet) {
			f.PauseNode(f.RunningNodes()[4])
			f.Advance(time.Minute)
			f.CrashNode(f.RunningNodes()[8])
			f.Advance(15 * time.Minute)
			f.ResumeNode(f.RunningNodes()[4])
		}, 20 * time.Second},
		{"regions lose each other for longer than dead records are kept", func(f *fleettest.Fleet) {
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
		{"regions lose each other and change meanwhile", func(f *fleettest.Fleet) {
			f.IsPartitioned = otherRegion
			f.Advance(5 * time.Second)
			f.CrashNode(f.RunningNodes()[9])
			f.CrashNode(f.RunningNodes()[10])
			f.Advance(5 * time.Minute)
			f.IsPartitioned = nil
		}, 15 * time.Second},
		{"a region replaces all its nodes while it is cut off", func(f *fleettest.Fleet) {
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
		{"half of each region loses the other half", func(f *fleettest.Fleet) {
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
			assertAgree(t, f, 30*time.Second)
			f.Advance(10 * time.Second)
			c.inject(f)
			t.Logf("agreed after %v", assertAgree(t, f, c.limit))
			f.Advance(20 * time.Second)
			assert.Assert(t, agree(f), "agreement does not last")
		})
	}
}

// Guards against a herd of joins that one seed cannot take in.
func TestHerdJoinsThroughOneSeed(t *testing.T) {
	f := fleettest.New(2)
	f.AddNodes(1, 1)
	for i := range 200 {
		n := f.StartNode(fmt.Sprintf("h%03d", i), fmt.Sprint(1000+i), fmt.Sprintf("r%d", i%3), fmt.Sprintf("d%d", i%14))
		f.Join(n, f.RunningNodes()[0])
	}
	t.Logf("agreed after %v", assertAgree(t, f, time.Minute))
}

// Guards against combinations of faults after which views stay wrong.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleettest.New(rapid.Uint64().Draw(t, "seed"))
		f.Seeds = []string{fleettest.Address("0"), fleettest.Address("1")}
		f.AddNodes(rapid.IntRange(3, 14).Draw(t, "nodes"), rapid.IntRange(1, 3).Draw(t, "regions"))
		f.Advance(5 * time.Second)
		for i := range rapid.IntRange(1, 8).Draw(t, "faults") {
			inject(t, f, fmt.Sprintf("x%02d", i))
			f.Advance(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "wait")) * time.Millisecond)
		}
		f.IsPartitioned, f.LossRate = nil, 0
		for _, n := range f.RunningNodes() {
			f.ResumeNode(n)
		}
		if _, ok := f.AdvanceUntil(time.Second, 3*time.Minute, func() bool { return agree(f) }); !ok {
			for _, n := range f.RunningNodes() {
				t.Logf("%s in %s sees %v", n.Self().Instance, n.Self().Region, n.Instances())
			}
			t.Fatalf("the nodes do not agree 3 minutes after the last fault")
		}
	})
}

// inject draws one fault. Instance names what it starts.
func inject(t *rapid.T, f *fleettest.Fleet, instance string) {
	live := f.RunningNodes()
	n := live[rapid.IntRange(0, len(live)-1).Draw(t, "node")]
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		// A region without nodes is judged by nobody until it has nodes again.
		if slices.ContainsFunc(live, func(o *fleettest.Node) bool { return o != n && o.Self().Region == n.Self().Region }) {
			f.CrashNode(n)
		}
	case 1:
		f.PauseNode(n)
	case 2:
		f.ResumeNode(n)
	case 3:
		f.CrashNode(n)
		place, _ := strings.CutPrefix(n.Self().Address, fleettest.Address(""))
		replacement := f.StartNode(instance, place, n.Self().Region, n.Self().FailureDomain)
		f.Join(replacement, live[rapid.IntRange(0, len(live)-1).Draw(t, "contact")])
	case 4:
		f.IsPartitioned = func(a, b membership.Member) bool { return a.Region != b.Region }
	case 5:
		border := n.Self().Instance
		f.IsPartitioned = func(a, b membership.Member) bool { return (a.Instance < border) != (b.Instance < border) }
	case 6:
		f.LossRate = rapid.Float64Range(0, 0.5).Draw(t, "loss")
	}
}
