package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Tenants below their limit must hardly ever be refused, also after their demand has risen
// tenfold at once, and although the load is spread so thinly that shares are near the
// smallest. Guards against shares that are given for the demand at the moment of a single
// request and taken away shortly after: the tokens in them are lost.
func TestTenantBelowItsLimitIsHardlyEverRefused(t *testing.T) {
	const low, high, measured = 0.09, 0.9, 8 * time.Second
	const maxRefusedRising, maxRefused = 0.02, 0.0125
	refusedRising, refusedAfter, admittedRising, admittedAfter := 0, 0, 0, 0
	for _, rate := range []float64{5, 20, 50, 100, 200} {
		for _, burst := range []float64{0, 20, 100} {
			for _, warmUp := range []time.Duration{0, 6 * time.Second} {
				for _, nodes := range []int{3, 8, 24, 60} {
					limit := Limit{Rate: rate, Burst: burst, Rule: testRule}
					f := newSimFleet(60, limit, 1)
					f.run(warmUp)
					count := func(part float64, d time.Duration) (refused, admitted int) {
						f.totalDemand = part * rate
						f.loadOnly(f.nodes[:nodes]...)
						for _, n := range f.nodes[:nodes] {
							n.owed = f.random.Float64()
						}
						refused, admitted = f.refused, len(f.admitted)
						f.run(d)
						return f.refused - refused, len(f.admitted) - admitted
					}
					count(low, measured)
					refused, admitted := count(high, usableAfter)
					refusedRising, admittedRising = refusedRising+refused, admittedRising+admitted
					refused, admitted = count(high, measured)
					refusedAfter, admittedAfter = refusedAfter+refused, admittedAfter+admitted
					assert.Assert(t, float64(f.maxInWindow(0, testRule.Window)) <= limit.Allowed())
				}
			}
		}
	}
	t.Logf("refused %d, admitted %d in the 2 s after the rise; refused %d, admitted %d after that",
		refusedRising, admittedRising, refusedAfter, admittedAfter)
	assert.Assert(t, float64(refusedRising) <= maxRefusedRising*float64(admittedRising))
	assert.Assert(t, float64(refusedAfter) <= maxRefused*float64(admittedAfter))
}

// A tenant with a request every 25 s finds no granter each time, because terms end without
// use. Its request waits 100 ms at most: the take-over has to be asked for the result in
// time, or the tenant is refused again and again.
func TestRareRequestsAreNotRefused(t *testing.T) {
	for seed := range uint64(4) {
		f := newSimFleet(24, Limit{Rate: 2, Burst: 4, Rule: testRule}, seed)
		f.nodes[3].demand = 0.04
		f.run(400 * time.Second)
		assert.Equal(t, f.refused, 0, "of %d requests", f.refused+len(f.admitted))
	}
}
