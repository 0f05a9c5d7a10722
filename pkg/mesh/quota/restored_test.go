package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A store that comes back from a copy without the term of the granter, or with one that ended
// before, must not make another node granter beside it: the tenant got its burst twice
// (review/8).
func TestRestoredStoreMakesNoSecondGranter(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(f *simFleet)
	}{
		{"no term", func(f *simFleet) { f.run(time.Second) }},
		{"idle term", func(f *simFleet) {
			f.loadOnly(f.nodes[3])
			f.run(2 * time.Second)
			f.loadOnly()
			f.run(20 * time.Second)
			assert.Equal(t, f.record.State, StateIdle)
		}},
		{"released term", func(f *simFleet) {
			f.loadOnly(f.nodes[3])
			f.run(2 * time.Second)
			f.loadOnly()
			f.run(time.Second)
			f.stop(f.granterOr(nil))
			f.run(2 * time.Second)
			assert.Equal(t, f.record.State, StateReleased)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(40) {
				limit := Limit{Rate: 50, Burst: 300, Rule: testRule}
				f := newSimFleet(5, limit, seed)
				f.totalDemand = 20 * limit.Rate
				c.prepare(f)
				begin := f.now
				f.loadOnly(f.nodes[1])
				f.run(2800 * time.Millisecond)
				f.restoreStore(f.now - begin)
				// The node that begins to send knows of no granter, and asks one that knows of none.
				asked := f.nodes[2]
				f.restart(f.nodes[4])
				asked.holder.slots[SlotOf(f.tenant)].order = []string{f.nodes[4].name}
				f.loadOnly(f.nodes[1], asked)
				f.run(10 * time.Second)
				most := f.maxInWindow(begin, testRule.Window)
				assert.Assert(t, float64(most) <= limit.Allowed(), "seed %d: %d requests in a window, %.0f allowed", seed, most, limit.Allowed())
			}
		})
	}
}

// A granter whose term the store has lost must store it again and go on: its tenants would be
// refused for seconds otherwise.
func TestGranterStoresLostTermAgain(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 20, Rule: testRule}
	f := newSimFleet(5, limit, 1)
	f.totalDemand = 2 * limit.Rate
	f.run(time.Second)
	f.loadOnly(f.nodes...)
	f.run(6 * time.Second)
	before := f.record
	f.restoreStore(f.now)
	assert.Assert(t, !f.hasRecord)
	begin := f.now
	f.run(4 * time.Second)
	assert.Equal(t, f.record.Node, before.Node)
	assert.Equal(t, f.record.Term, before.Term)
	assert.Equal(t, f.record.Era, f.era)
	usable := float64(f.admittedSince(begin)) / (limit.Rate * 4)
	assert.Assert(t, usable >= minUsable, "%.3f of the limit was usable", usable)
}

// A slot that is used for the first time long after the store was restored must have its burst
// at once.
func TestFirstTermLongAfterRestoreIsFresh(t *testing.T) {
	limit := Limit{Rate: 50, Burst: 300, Rule: testRule}
	f := newSimFleet(3, limit, 1)
	f.restoreStore(0)
	for _, n := range f.nodes {
		f.granter(n, SlotOf(f.tenant)).SetEra(f.clock(n), f.era)
	}
	f.run(25 * time.Second)
	f.totalDemand = 1000
	f.loadOnly(f.nodes[0])
	f.run(time.Second)
	assert.Assert(t, len(f.admitted) >= 300, "%d requests were admitted", len(f.admitted))
}
