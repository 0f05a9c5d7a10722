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

// A tenant whose requests come four at a time and at random from all of 100 nodes
// must not be refused at 0.62 of its limit. Guards against shallow shares: they keep most of
// the limit at nodes that do not need it at the moment.
func TestThinLoadBelowTheLimitIsHardlyEverRefused(t *testing.T) {
	const nodes, batch, part, maxRefused = 100, 4, 0.62, 0.01
	for _, rate := range []float64{8, 38, 81, 106, 243} {
		f := newSimFleet(nodes, Limit{Rate: rate, Burst: rate, Rule: testRule}, 1)
		f.batch, f.totalDemand = batch, part*rate
		f.loadOnly(f.nodes...)
		f.run(20 * time.Second)
		t.Logf("limit %g: refused %d, admitted %d", rate, f.refused, len(f.admitted))
		assert.Assert(t, float64(f.refused) <= maxRefused*float64(len(f.admitted)), "limit %g: %d of %d", rate, f.refused, len(f.admitted)+f.refused)
	}
}

// A tenant with a request every 25 s finds no granter each time, because terms end without
// use. Its request waits a short time only: the take-over has to be asked for the result in
// time, or the tenant is refused again and again.
func TestRareRequestsAreNotRefused(t *testing.T) {
	for seed := range uint64(4) {
		f := newSimFleet(24, Limit{Rate: 2, Burst: 4, Rule: testRule}, seed)
		f.nodes[3].demand = 0.04
		f.run(400 * time.Second)
		assert.Equal(t, f.refused, 0, "of %d requests", f.refused+len(f.admitted))
	}
}

// A caller that retries when Retry-After says so must be able to get a token then. With few
// requests per second, that is later than the time after which a holder asks the granter again.
func TestRetryAfterIsNotBeforeTheNextToken(t *testing.T) {
	const now = time.Minute
	limit := Limit{Rate: 0.5, Rule: Rule{Window: 5 * time.Second, Overage: 0.1, Slack: 2}}
	limits := map[string]Limit{"t": limit}
	g := newTestGranter(t, 0, "h")
	g.SetLimits(limits)
	h := NewHolder("h", 1)
	h.SetLimits(limits)
	h.SetNodes(nodesOf("g"))
	h.slots[g.slot].term = 8
	g.Receive(0, Request{Slot: g.slot, Holder: "h", Incarnation: 1, Sequence: 1, Term: 8})
	g.term.grantUntil = now + TermTime
	h.slots[g.slot].sequence = 1
	for range 10 {
		h.Take(now, maxGrantWait, "t")
	}
	h.Accept(now, g.Receive(now, h.Poll(now)[0].Request))
	refused := h.Take(now, maxGrantWait, "t")
	for h.TakeWaiting(now, "t").Admitted {
		refused = h.Take(now, maxGrantWait, "t")
	}
	assert.Assert(t, !refused.Admitted)
	s := g.tenants["t"]
	next := min(s.bucket.wait(limit.depth()), s.pool.wait(limit.headroom()))
	assert.Assert(t, next > time.Second, "%v", next)
	assert.Assert(t, refused.RetryAfter >= next-time.Millisecond && refused.RetryAfter <= next+time.Second,
		"Retry-After %v, the next token is there after %v", refused.RetryAfter, next)
}
