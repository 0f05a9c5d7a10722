package overflow_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/overflow"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
)

// outcome holds fractions of the offered requests: those that left the zone and the region,
// those answered in time, late and not at all, and attempts that left the zone in vain.
type outcome struct{ left, leftRegion, inTime, late, refused, wasted float64 }

func (f *fleet) outcome(zones ...int) outcome {
	var sum totals
	for _, i := range zones {
		z := f.zones[i]
		sum.offered, sum.inTime, sum.late = sum.offered+z.offered, sum.inTime+z.inTime, sum.late+z.late
		sum.refused, sum.wasted = sum.refused+z.refused, sum.wasted+z.wasted
		sum.leftZone, sum.leftRegion = sum.leftZone+z.leftZone, sum.leftRegion+z.leftRegion
	}
	n := sum.offered
	return outcome{sum.leftZone / n, sum.leftRegion / n, sum.inTime / n, sum.late / n, sum.refused / n, sum.wasted / n}
}

// compare replays a scenario with the controllers off and on, and logs a row of the table
// in docs/design/overflow.md.
func compare(t *testing.T, name string, s scenario, zones ...int) (off, on outcome, fleetOn *fleet) {
	t.Helper()
	s.on = false
	figures := s.figures
	s.figures = false
	off = replay(s).outcome(zones...)
	s.on, s.figures = true, figures
	fleetOn = replay(s)
	on = fleetOn.outcome(zones...)
	row := func(o outcome) string {
		return fmt.Sprintf("%.3f | %.3f | %.3f | %.3f | %.3f", o.left, o.leftRegion, o.inTime, o.late, o.wasted)
	}
	t.Logf("| %s | %s | %s |", name, row(off), row(on))
	return off, on, fleetOn
}

var allZones = []int{0, 1, 2, 3, 4, 5}

func everywhere(load float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return load }
}

// atZone0 is a load of zone 0 while the others have 0.5 of their capacity.
func atZone0(load float64) func(int, time.Duration) float64 {
	return func(zone int, _ time.Duration) float64 {
		if zone == 0 {
			return load
		}
		return 0.5
	}
}

// One zone has 0.5 to 2 times its capacity, the others half of theirs. The surplus must
// leave, no more, and without attempts in vain; a zone below its capacity must keep all.
func TestOnlyTheSurplusLeavesTheZone(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 1, 1.2, 1.5, 2} {
		off, on, f := compare(t, fmt.Sprintf("one zone at %.1f", load), scenario{load: atZone0(load)}, 0)
		surplus := max(1-1/load, 0)
		assert.Assert(t, on.left <= surplus+0.06 && on.left >= surplus-0.05, "%v leave, surplus %v", on.left, surplus)
		assert.Assert(t, on.inTime >= 0.98 && on.inTime >= off.inTime-0.002, "%+v, off %+v", on, off)
		assert.Assert(t, on.wasted <= 0.02 && on.wasted <= off.wasted+0.001, "%+v, off %+v", on, off)
		if load <= 1.2 {
			assert.Assert(t, on.leftRegion < 0.01, "%+v", on)
		}
		// The share must not swing from second to second.
		for second := 2; second < 5; second++ {
			share := f.left[second] / f.entered[second]
			assert.Assert(t, math.Abs(share-on.left) < 0.12, "load %v, second %d: %v of %v", load, second, share, on.left)
		}
	}
}

// A zone at 1.5 times its capacity falls to half of it after 4 s. Its requests must be back
// within a second.
func TestRequestsReturnToTheirZone(t *testing.T) {
	load := func(zone int, at time.Duration) float64 {
		if zone == 0 && at < 4*time.Second {
			return 1.5
		}
		return 0.5
	}
	f := replay(scenario{on: true, load: load, lasts: 8 * time.Second})
	assert.Assert(t, f.left[3]/f.entered[3] > 0.2, "%v", f.left)
	for second := 5; second < 8; second++ {
		assert.Assert(t, f.left[second]/f.entered[second] < 0.01, "second %d: %v of %v", second, f.left, f.entered)
	}
}

// A zone has lost its endpoints. Its requests must go to the other zone of the region as
// far as there is room, and only the rest to other regions.
func TestLostZone(t *testing.T) {
	for _, load := range []float64{0.4, 0.8} {
		off, on, _ := compare(t, fmt.Sprintf("lost zone, all at %.1f", load), scenario{load: everywhere(load), lostZone: 1}, allZones...)
		assert.Assert(t, on.inTime >= 0.98 && on.inTime >= off.inTime-0.002, "%+v, off %+v", on, off)
		assert.Assert(t, on.wasted < 0.02, "%+v", on)
		if load < 0.5 {
			assert.Assert(t, on.leftRegion < 0.01, "%+v", on)
		}
	}
}

// The load of six zones is a wave with a period of 11 s, out of phase, as on the photo
// platform.
func TestWavesOutOfPhase(t *testing.T) {
	for _, swing := range []float64{0.15, 0.3, 0.6} {
		wave := func(zone int, at time.Duration) float64 {
			return 0.8 * (1 + swing*math.Sin(2*math.Pi*(at.Seconds()/11+float64(zone)/zones)))
		}
		off, on, _ := compare(t, fmt.Sprintf("waves around 0.8, swing %.0f%%", 100*swing), scenario{load: wave, lasts: 13 * time.Second}, allZones...)
		assert.Assert(t, on.inTime >= 0.97 && on.inTime >= off.inTime, "%+v, off %+v", on, off)
		assert.Assert(t, on.left < 0.2 && on.leftRegion < 0.08 && on.wasted < 0.02, "%+v", on)
	}
}

// slowInTurn makes one in seven endpoints slower for 600 ms at a time.
func slowInTurn(factor float64) func(int, time.Duration) float64 {
	return func(endpoint int, at time.Duration) float64 {
		const slow = 600 * time.Millisecond
		if (at+time.Duration(endpoint/zones)*slow+time.Duration(endpoint%zones)*97*time.Millisecond)%(7*slow) < slow {
			return factor
		}
		return 1
	}
}

// Endpoints share their machines: one in seven is slower by 2.5 for 600 ms, or one in seven
// is slower by 4.5 all the time. The others of the zone must take its requests.
func TestSlowEndpoints(t *testing.T) {
	slowForever := func(endpoint int, _ time.Duration) float64 {
		if endpoint/zones == 3 {
			return 4.5
		}
		return 1
	}
	for _, c := range []struct {
		name  string
		load  float64
		speed func(int, time.Duration) float64
	}{
		{"one in seven slower by 2.5 for 600 ms, load 0.5", 0.5, slowInTurn(2.5)},
		{"one in seven slower by 2.5 for 600 ms, load 0.8", 0.8, slowInTurn(2.5)},
		{"one in seven slower by 4.5, load 0.5", 0.5, slowForever},
		{"one in seven slower by 4.5, load 0.8", 0.8, slowForever},
	} {
		off, on, _ := compare(t, c.name, scenario{load: everywhere(c.load), speed: c.speed, figures: true}, allZones...)
		assert.Assert(t, on.inTime >= 0.98 && on.inTime >= off.inTime-0.002, "%+v, off %+v", on, off)
		assert.Assert(t, on.left < 0.05 && on.leftRegion < 0.005, "%+v", on)
	}
}

// All zones have 1.0 to 1.7 times their capacity, so that leaving does not help. Almost
// nothing may cross regions, and no less may be answered in time.
func TestOverloadEverywhereStays(t *testing.T) {
	for _, load := range []float64{1, 1.3, 1.7} {
		off, on, _ := compare(t, fmt.Sprintf("all zones at %.1f", load), scenario{load: everywhere(load)}, allZones...)
		assert.Assert(t, on.inTime >= off.inTime-0.015, "%+v, off %+v", on, off)
		assert.Assert(t, on.leftRegion < 0.01 && on.left < 0.05 && on.wasted < 0.05, "%+v", on)
		if load == 1.7 {
			assert.Assert(t, on.leftRegion < 0.006 && on.wasted < off.wasted/20, "%+v, off %+v", on, off)
		}
	}
}

// 80 senders have heard at once, 100 ms ago, that one of seven endpoints is 2.5 times as
// fast as the others, and each has a request. They must not all go to it.
func TestGoodFiguresCauseNoHerd(t *testing.T) {
	mostAtOne := func(d *overflow.Decision) int {
		f := &fleet{scenario: scenario{inZone0: true}, random: rand.New(rand.NewPCG(3, 5))}
		f.build()
		chosen, most := make(map[string]int), 0
		for _, from := range f.senders[0] {
			for _, e := range from.endpoints {
				speed := mesh.Slowdown{Factor: 1, At: f.time().Add(-100 * time.Millisecond)}
				if e.ID == "e0" {
					speed.Factor = 0.4
				}
				took := time.Duration(float64(work) * speed.Estimate(f.time()))
				e.RecordLoad(f.time(), "r", placement.Load{Running: slots / 2, Slots: slots, MeanServiceTime: took, MeanRouteLatency: took, Slowdown: speed})
			}
			p := placement.Request{Route: "r", Timeout: timeout, SoftTimeout: target, Overflow: d, Random: f.random}
			choice, ok := placement.Choose(f.time(), from.endpoints, p)
			assert.Assert(t, ok)
			chosen[choice.Endpoint.ID]++
			most = max(most, chosen[choice.Endpoint.ID])
		}
		return most
	}
	best, ofTwo := mostAtOne(nil), mostAtOne(&overflow.Decision{})
	t.Logf("most of %d requests at one endpoint: %d with the best of all, %d with the better of two", senderCount, best, ofTwo)
	assert.Assert(t, best > senderCount/2, "%d: the scenario causes no herd", best)
	assert.Assert(t, ofTwo <= senderCount*2/5, "%d, best of all %d", ofTwo, best)
}

// 80 senders in one zone hear of loads and speeds 100 ms late, while six of seven endpoints
// are slower by 2.5 and the seventh changes each 600 ms. It must not be worse than without
// figures.
func TestStaleFiguresOfManySenders(t *testing.T) {
	s := scenario{
		load: atZone0(0.35), inZone0: true, figures: true, staleness: 100 * time.Millisecond,
		speed: func(endpoint int, at time.Duration) float64 {
			if endpoint/zones == int(at/(600*time.Millisecond))%endpointsPerZone {
				return 1
			}
			return 2.5
		},
	}
	off, on, _ := compare(t, "80 senders, figures 100 ms late", s, 0)
	assert.Assert(t, on.inTime >= off.inTime, "%+v, off %+v", on, off)
}

// The same scenario must give the same result, or a failure could not be repeated.
func TestReplayIsDeterministic(t *testing.T) {
	s := scenario{on: true, figures: true, load: atZone0(1.5), speed: slowInTurn(2.5)}
	assert.Equal(t, replay(s).outcome(0), replay(s).outcome(0))
}

// decide returns the decision about a request with a small draw, which leaves if any does,
// at a zone with a wait of 300 ms and a target latency of 500 ms.
func decide(t *testing.T, bytes int64, regionWaiting int, usable overflow.Tiers) overflow.Decision {
	t.Helper()
	c, now := overflow.New(), time.Unix(0, 0)
	for range 50 {
		now = now.Add(50 * time.Millisecond)
		o := overflow.Observation{Running: 10, Waiting: 50, Slots: 10, ServiceTime: 60 * time.Millisecond, RouteLatency: 60 * time.Millisecond, Route: "r"}
		c.Observe(now, overflow.Zone, o)
		o.Waiting = regionWaiting
		if regionWaiting == 0 {
			o.Running = 0
		}
		c.Observe(now, overflow.Region, o)
		c.Observe(now, overflow.Elsewhere, o)
	}
	return c.Decide(now, overflow.Request{Route: "r", BodyBytes: bytes, Target: 500 * time.Millisecond, Usable: usable})
}

// Leaving must pay for the bytes, must not end in another full queue, and must happen at
// once where the own zone has no endpoints.
func TestDecision(t *testing.T) {
	all := overflow.Tiers{true, true, true}
	assert.Equal(t, decide(t, 1000, 0, all).Tier, overflow.Region)
	assert.Equal(t, decide(t, 50<<20, 0, all).Tier, overflow.Zone, "the bytes cost more than the time")
	assert.Equal(t, decide(t, 1000, 50, all).Tier, overflow.Zone, "the other zones are as full")
	assert.Equal(t, decide(t, 1000, 200, all).Tier, overflow.Zone, "the response would be late")
	assert.Equal(t, decide(t, 1000, 0, overflow.Tiers{true, false, true}).Tier, overflow.Elsewhere)
	assert.Equal(t, decide(t, 50<<20, 50, overflow.Tiers{false, true, true}).Tier, overflow.Region)
	assert.Equal(t, decide(t, 1000, 0, overflow.Tiers{false, false, true}).Tier, overflow.Elsewhere)
	assert.Equal(t, decide(t, 1000, 0, overflow.Tiers{true, false, false}).Tier, overflow.Zone)
}

// Refusals must take back what responses in time have allowed, and the controller must know
// whether endpoints state their speed.
func TestRefusalsReduceTheShare(t *testing.T) {
	c, now := overflow.New(), time.Unix(0, 0)
	assert.Assert(t, !c.KnowsSpeeds())
	leaving := func() (n int) {
		for i := range 1000 {
			d := c.Decide(now, overflow.Request{Route: "r", Target: 500 * time.Millisecond, Draw: float64(i) / 1000, Usable: overflow.Tiers{true, true, false}})
			n += int(d.Tier)
		}
		return n
	}
	observe := func(refused bool) {
		for range 40 {
			now = now.Add(100 * time.Millisecond)
			c.Observe(now, overflow.Zone, overflow.Observation{Running: 10, Waiting: 50, Slots: 10, ServiceTime: 60 * time.Millisecond, Route: "r"})
			c.Observe(now, overflow.Region, overflow.Observation{Slots: 10, Refused: refused, Route: "r", Slowdown: mesh.Slowdown{Factor: 1, At: now}})
		}
	}
	observe(false)
	grown := leaving()
	observe(true)
	reduced := leaving()
	assert.Assert(t, grown > 300 && reduced > 0 && reduced < 20, "%d, %d after refusals", grown, reduced)
	assert.Assert(t, c.KnowsSpeeds())
}
