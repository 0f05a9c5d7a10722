package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The care rosters: 86 tenants, a few of them large, on 88 nodes, with requests that enter
// at all of them.
const (
	costNodes    = 88
	largeTenants = 4
	smallTenants = 82
)

// maxExchanges bounds the exchanges per second at the granter of a slot, for all tenants of
// the slot, when each small tenant enters at few nodes. Four of 88 nodes are granters.
const maxExchanges = 250

// The exchanges of a node must stay few, so that it spends well under 1% of a core on them.
// They are counted for each tenant alone; in fact those of a node for the tenants of one
// slot are combined.
func TestExchangesOfTheCareRosters(t *testing.T) {
	const measured = 10 * time.Second
	exchanges := func(limit Limit, factor float64, nodes int) (perSecond, refused float64) {
		f := newSimFleet(costNodes, limit, 1)
		f.totalDemand = factor * limit.Rate
		f.loadOnly(f.nodes[:nodes]...)
		for _, n := range f.nodes {
			n.owed = f.random.Float64()
		}
		f.run(10 * time.Second)
		messages, admittedBefore, refusedBefore := f.messages, len(f.admitted), f.refused
		f.run(measured)
		all := len(f.admitted) - admittedBefore + f.refused - refusedBefore
		// An exchange is a request and its response.
		return float64(f.messages-messages) / 2 / measured.Seconds(), float64(f.refused-refusedBefore) / float64(all)
	}
	for _, c := range []struct {
		factor     float64
		smallNodes int
	}{{0.5, 3}, {0.9, 3}, {0.5, costNodes}, {0.9, costNodes}} {
		t.Run(fmt.Sprintf("%.1f times the limits, small tenants on %d nodes", c.factor, c.smallNodes), func(t *testing.T) {
			large, largeRefused := exchanges(Limit{Rate: 200, Burst: 100, Rule: testRule}, c.factor, costNodes)
			small, smallRefused := exchanges(Limit{Rate: 10, Burst: 10, Rule: testRule}, c.factor, c.smallNodes)
			all := largeTenants*large + smallTenants*small
			t.Logf("large tenant: %.1f exchanges/s, %.4f refused; small: %.1f, %.4f; in all %.0f/s, %.1f sent by each node, %.0f at a granter",
				large, largeRefused, small, smallRefused, all, all/costNodes, all/Slots)
			if c.smallNodes < costNodes {
				assert.Assert(t, all/Slots <= maxExchanges)
			}
			assert.Assert(t, largeRefused < 0.01 && smallRefused < 0.01)
		})
	}
}

// BenchmarkReceive measures the granter's part of an exchange of a node with 22 tenants.
func BenchmarkReceive(b *testing.B) {
	limits := make(map[string]Limit)
	var names []string
	for i := 0; len(names) < 22; i++ {
		if name := fmt.Sprint("tenant", i); SlotOf(name) == 0 {
			names = append(names, name)
			limits[name] = Limit{Rate: 10, Burst: 10, Rule: testRule}
		}
	}
	g := NewGranter(0, "g", 1)
	g.SetLimits(limits)
	now := time.Duration(0)
	g.Receive(now, Request{Holder: "n0"})
	for {
		call, ok := g.Step(now)
		if !ok {
			break
		}
		outcome := StoreOK
		if call.Verb == StoreGet {
			outcome = StoreNotFound
		}
		g.Complete(now, call, StoreResult{Outcome: outcome})
	}
	for i := range b.N {
		now += time.Microsecond // The term is held all the time.
		g.term.grantUntil = now + TermTime
		r := Request{Holder: fmt.Sprint("n", i%costNodes), Sequence: uint64(i + 1), Term: 1}
		for _, name := range names {
			r.Tenants = append(r.Tenants, Usage{Tenant: name, Demand: 1, Want: 1})
		}
		g.Receive(now, r)
	}
}
