package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/move"
	"github.com/azurespring/azurespring/pkg/verdict"
)

var (
	epoch = time.UnixMilli(1_700_000_000_000)
	self  = Locality{Instance: "self", Region: "r1", FailureDomain: "d1"}
)

func snapshot(t testing.TB) *dynamic.Snapshot {
	t.Helper()
	s, err := dynamic.Compile(dynamic.Manifest{Version: 1}, dynamic.Config{
		Services: []dynamic.Service{{Name: "s", Version: "v1"}, {Name: "empty", Version: "v1"}},
	})
	assert.NilError(t, err)
	return s
}

// endpoint describes a ready target with 4 slots in region r1 and domain d1.
func endpoint(id, version string, change ...func(*membership.Endpoint)) membership.Endpoint {
	e := membership.Endpoint{
		Target:   membership.Target{ID: id, Service: "s", Version: version, Slots: 4, State: membership.Ready},
		Instance: "i-" + id, Region: "r1", FailureDomain: "d1",
	}
	for _, f := range change {
		f(&e)
	}
	return e
}

func in(region, domain string) func(*membership.Endpoint) {
	return func(e *membership.Endpoint) { e.Region, e.FailureDomain = region, domain }
}

func state(s membership.TargetState) func(*membership.Endpoint) {
	return func(e *membership.Endpoint) { e.State = s }
}

// spread calls Choose for many customers and counts the targets and refusals.
// Chosen endpoints are released at once unless hold is set.
func spread(t *Table, calls int, hold bool, now time.Time) map[string]int {
	counts := make(map[string]int)
	for i := range calls {
		e, err := t.Choose("s", fmt.Sprint("c", i), nil, now)
		if err != nil {
			counts[string(err.Code)]++
			continue
		}
		counts[e.ID]++
		if e.BeginAttempt(); !hold {
			e.EndAttempt(now, AttemptResult{})
		}
	}
	return counts
}

// Guards against routes to what the node lacks, traffic to a new version beyond
// its share, and calls to targets that are starting or draining.
func TestChoiceOfVersionAndState(t *testing.T) {
	split := func(share int) move.TrafficSplits {
		return move.TrafficSplits{"s": {From: "v1", To: "v2", Share: share}}
	}
	both := []membership.Endpoint{endpoint("old", "v1"), endpoint("new", "v2")}
	for _, c := range []struct {
		name      string
		endpoints []membership.Endpoint
		shares    move.TrafficSplits
		want      map[string]float64
	}{
		{"no endpoints", nil, nil, map[string]float64{"no-target": 1}},
		{"no move", both, nil, map[string]float64{"old": 1}},
		{"share", both, split(2000), map[string]float64{"old": 0.8, "new": 0.2}},
		{"smallest share", both, split(1), map[string]float64{"old": 0.9999}},
		{"done", both, split(move.ShareDenominator), map[string]float64{"new": 1}},
		{"taken back", both, split(0), map[string]float64{"old": 1}},
		{"new version lost", both[:1], split(5000), map[string]float64{"old": 1}},
		{"old version lost", both[1:], split(2000), map[string]float64{"no-target": 0.8, "new": 0.2}},
		{"draining", []membership.Endpoint{both[0], endpoint("leaving", "v1", state(membership.Draining))}, nil, map[string]float64{"old": 1}},
		{"starting", []membership.Endpoint{endpoint("cold", "v1", state(membership.Starting))}, nil, map[string]float64{"no-target": 1}},
	} {
		const calls = 20_000
		table := NewBuilder(nil).Build(snapshot(t), c.endpoints, c.shares, self)
		counts := spread(table, calls, false, epoch)
		for id, want := range c.want {
			got := float64(counts[id]) / calls
			assert.Assert(t, got > want-0.015 && got < want+0.015, "%s: %s got %.4f, want %.4f", c.name, id, got, want)
		}
		if _, ok := c.want["new"]; !ok && c.name != "smallest share" {
			assert.Equal(t, counts["new"], 0, c.name)
		}
	}
	table := NewBuilder(nil).Build(snapshot(t), both, nil, self)
	_, err := table.Choose("unknown", "c", nil, epoch)
	assert.Equal(t, err.Code, verdict.UnknownService)
	_, err = table.Choose("empty", "c", nil, epoch)
	assert.Equal(t, err.Code, verdict.NoTarget)
	assert.Equal(t, err.Verdict, verdict.NotRun)
}

// Guards against calls that cross failure domains or regions without need, and
// against queues near by while slots are free farther away.
func TestNearTargetsFirstThenSpill(t *testing.T) {
	table := NewBuilder(nil).Build(snapshot(t), []membership.Endpoint{
		endpoint("far", "v1", in("r2", "d9")), endpoint("near", "v1"), endpoint("region", "v1", in("r1", "d2")),
	}, nil, self)
	for _, want := range []string{"near", "region", "far"} {
		assert.DeepEqual(t, spread(table, 4, true, epoch), map[string]int{want: 4})
	}
	// All are full: load is spread, nothing is refused here.
	assert.Equal(t, spread(table, 6, true, epoch)["no-target"], 0)
}

// Guards against a cold target that gets a full share at once.
func TestColdTargetRampsUp(t *testing.T) {
	cold := endpoint("cold", "v1", func(e *membership.Endpoint) {
		e.Slots, e.Warmup, e.ReadySince = 100, 10*time.Second, epoch
	})
	warm := endpoint("warm", "v1", func(e *membership.Endpoint) { e.Slots = 100 })
	for _, c := range []struct {
		age   time.Duration
		share float64
	}{{0, 0.1 / 1.1}, {5 * time.Second, 0.5 / 1.5}, {10 * time.Second, 0.5}} {
		table := NewBuilder(nil).Build(snapshot(t), []membership.Endpoint{cold, warm}, nil, self)
		got := float64(spread(table, 100, true, epoch.Add(c.age))["cold"]) / 100
		assert.Assert(t, got > c.share-0.04 && got < c.share+0.04, "share %.3f at age %s, want %.3f", got, c.age, c.share)
	}
}

// Guards against calls to a target that just failed, against a target that never
// gets calls again, and against observations lost in a rebuild of the table.
func TestFailuresEjectForAShortTimeAcrossRebuilds(t *testing.T) {
	endpoints := []membership.Endpoint{endpoint("bad", "v1"), endpoint("good", "v1")}
	for _, outcome := range []struct {
		outcome AttemptResult
		times   int
	}{{AttemptResult{Unreachable: true}, 1}, {AttemptResult{ServerError: true}, maxStatusFailures}} {
		b := NewBuilder(nil)
		table := b.Build(snapshot(t), endpoints, nil, self)
		tried := 0
		for tried < outcome.times {
			if e, _ := table.Choose("s", "c", nil, epoch); e.ID == "bad" {
				e.BeginAttempt()
				e.EndAttempt(epoch, outcome.outcome)
				tried++
			}
		}
		table = b.Build(snapshot(t), endpoints, nil, self)
		assert.Equal(t, spread(table, 100, false, epoch.Add(minEjection/2))["bad"], 0)
		assert.Assert(t, spread(table, 100, false, epoch.Add(2*minEjection))["bad"] > 0)
		// If all are ejected, a guess is better than a refusal.
		table = b.Build(snapshot(t), endpoints[:1], nil, self)
		assert.Equal(t, spread(table, 10, false, epoch)["bad"], 10)
	}
}

// Guards against an endpoint whose first calls were slow (a dial, a cold start)
// and that gets no further call by which its latency could be corrected.
func TestSlowStartIsForgotten(t *testing.T) {
	b := NewBuilder(nil)
	table := b.Build(snapshot(t), []membership.Endpoint{endpoint("slow", "v1"), endpoint("fast", "v1")}, nil, self)
	for _, e := range table.services["s"].versions["v1"].tiers[sameDomain] {
		latency := time.Millisecond
		if e.ID == "slow" {
			latency = 500 * time.Millisecond
		}
		e.BeginAttempt()
		e.EndAttempt(epoch, AttemptResult{TimeToResponseStart: latency})
	}
	assert.Equal(t, spread(table, 100, false, epoch)["slow"], 0)
	for i := range 20 {
		now := epoch.Add(latencyLifetime * time.Duration(i+1) / 10)
		e, _ := table.Choose("s", "c", nil, now)
		e.BeginAttempt()
		e.EndAttempt(now, AttemptResult{TimeToResponseStart: time.Millisecond})
	}
	later := epoch.Add(2 * latencyLifetime)
	assert.Assert(t, spread(table, 100, false, later)["slow"] > 20, "an endpoint with an outdated latency stays unused")
}

// Guards against connections from each node to all targets of a large service.
func TestCandidatesAreBoundedAndCoverAllTargets(t *testing.T) {
	var endpoints []membership.Endpoint
	for i := range 60 {
		endpoints = append(endpoints, endpoint(fmt.Sprint("t", i), "v1"))
	}
	used := make(map[string]int)
	for i := range 40 {
		node := self
		node.Instance = fmt.Sprint("node", i)
		table := NewBuilder(nil).Build(snapshot(t), endpoints, nil, node)
		counts := spread(table, 300, false, epoch)
		assert.Assert(t, len(counts) <= maxCandidates, "%d candidates", len(counts))
		for id := range counts {
			used[id]++
		}
	}
	assert.Equal(t, len(used), len(endpoints), "some targets are nobody's candidate")
}

// Guards against retries that multiply an overload.
func TestRetriesAreATenthOfCalls(t *testing.T) {
	var budget RetryBudget
	retries := 0
	for range 10_000 {
		budget.Deposit()
		if budget.TryWithdraw() {
			retries++
		}
	}
	assert.Assert(t, retries >= 1000 && retries <= 1010, "%d retries", retries)
}

// Guards against plan limits that leak slots or let more through.
func TestLimitsPerCustomer(t *testing.T) {
	var limits CustomerLimiter
	plan := dynamic.Limits{RatePerSecond: 10, Burst: 3, Concurrency: 2}
	first, err := limits.Acquire("c", plan, epoch)
	assert.Assert(t, err == nil)
	_, err = limits.Acquire("c", plan, epoch)
	assert.Assert(t, err == nil)
	_, err = limits.Acquire("c", plan, epoch)
	assert.Equal(t, err.Code, verdict.ConcurrencyLimited)
	first.Release()
	again, err := limits.Acquire("c", plan, epoch)
	assert.Assert(t, err == nil)
	again.Release()
	_, err = limits.Acquire("c", plan, epoch)
	assert.Equal(t, err.Code, verdict.RateLimited)
	assert.Equal(t, err.RetryAfter, 100*time.Millisecond)
	_, err = limits.Acquire("other", plan, epoch)
	assert.Assert(t, err == nil)
	_, err = limits.Acquire("c", plan, epoch.Add(time.Second))
	assert.Assert(t, err == nil)
}
