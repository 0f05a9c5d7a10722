package quota

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testRule = Rule{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// minUsable is the share of the limit that must be usable after usableAfter of steady
// demand: a refusal below the limit costs the caller its request.
const (
	minUsable   = 0.9
	usableAfter = 2 * time.Second
)

// The share of the limit that can be used must not depend on where the load is: on one
// node, on a tenth of the nodes or on all.
func TestLimitIsUsableWhereverTheLoadIs(t *testing.T) {
	const measured = 10 * time.Second
	for _, count := range []int{24, 88, 3800} {
		for _, load := range []struct {
			name  string
			nodes int
		}{{"one", 1}, {"a tenth", count / 10}, {"all", count}} {
			for _, factor := range []float64{1, 5} {
				name := fmt.Sprintf("%d nodes, load on %s, %.0f times the limit", count, load.name, factor)
				t.Run(name, func(t *testing.T) {
					limit := Limit{Rate: 100, Burst: 20, Rule: testRule}
					f := newSimFleet(count, limit, 1)
					f.run(6 * time.Second)
					for i := range load.nodes {
						f.nodes[i].demand = factor * limit.Rate / float64(load.nodes)
						f.nodes[i].owed = f.random.Float64()
					}
					begin := f.now
					f.run(usableAfter)
					messages, refused := f.messages, f.refused
					f.run(measured)
					usable := float64(f.admittedSince(begin+usableAfter)) / (limit.Rate * measured.Seconds())
					most := f.maxInWindow(0, testRule.Window)
					t.Logf("usable %.3f, refused %d, most in a window %d of %.0f, %.0f messages/s, %d store calls",
						usable, f.refused-refused, most, limit.Allowed(), float64(f.messages-messages)/measured.Seconds(), f.storeCalls)
					assert.Assert(t, usable >= minUsable, "%.3f of the limit was usable", usable)
					assert.Assert(t, float64(most) <= limit.Allowed())
				})
			}
		}
	}
}

// The numbers of the parts of the headroom must fit into it at any limit, or the sum of
// what nodes admit could exceed the rule.
func TestPartsFitIntoTheHeadroom(t *testing.T) {
	for _, rate := range []float64{0.1, 1, 5, 40, 300, 1e4, 1e6} {
		for _, rule := range []Rule{testRule, {Window: time.Second, Overage: 0, Slack: 20}, {Window: time.Minute, Overage: 0.5}} {
			l := Limit{Rate: rate, Burst: rate / 3, Rule: rule}
			inWindow := l.depth() + l.Rate*rule.Window.Seconds() + l.Rate*l.tokenLife().Seconds() +
				poolPart*l.headroom() + poolGainPart*l.headroom()*(1+l.tokenLife().Seconds()/rule.Window.Seconds())
			assert.Assert(t, inWindow <= l.Allowed()+1e-6 || math.Abs(inWindow/l.Allowed()-1) < 1e-9, "%+v: %f of %f", l, inWindow, l.Allowed())
		}
	}
}

// Granters must be on the nodes with the most processor time: one on 0.16 of a core answered
// later than requests wait, so that tenants below their limit were refused. The others must
// follow, in an order of their own for each slot.
func TestGrantersHaveTheMostProcessorTime(t *testing.T) {
	nodes := []Node{{"a", 0.16}, {"b", 0.8}, {"c", 0.16}, {"d", 0.8}, {"e", 0}}
	first := make(map[string]bool)
	for slot := range Slots {
		order := Order(slot, nodes)
		assert.Equal(t, len(order), len(nodes))
		assert.Assert(t, order[0] != order[1] && strings.Contains("bd", order[0]) && strings.Contains("bd", order[1]), "%v", order)
		assert.Equal(t, order[4], "e", "%v", order)
		first[order[0]] = true
	}
	assert.Equal(t, len(first), 2, "one node is granter of all slots")
}
