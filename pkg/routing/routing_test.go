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
	epoch     = time.UnixMilli(1_700_000_000_000)
	localNode = Locality{Instance: "self", Region: "r1", FailureDomain: "d1"}
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

func withLocality(region, domain string) func(*membership.Endpoint) {
	return func(e *membership.Endpoint) { e.Region, e.FailureDomain = region, domain }
}

func withState(s membership.TargetState) func(*membership.Endpoint) {
	return func(e *membership.Endpoint) { e.State = s }
}

// chooseMany calls Choose for many customers and counts the chosen targets by ID
// and the rejections by code. The attempts end at once unless
// keepOutstanding is set.
func chooseMany(t *Table, calls int, keepOutstanding bool, now time.Time) map[string]int {
	counts := make(map[string]int)
	for i := range calls {
		e, err := t.Choose("s", fmt.Sprint("c", i), nil, now)
		if err != nil {
			counts[string(err.Code)]++
			continue
		}
		counts[e.ID]++
		if e.BeginAttempt(); !keepOutstanding {
			e.EndAttempt(now, AttemptResult{})
		}
	}
	return counts
}

// Calls must reach only ready targets, never ones that are starting or draining,
// and a new version must receive exactly its share, even if the old version has no
// targets. Services that are unknown or have no target are rejected.
func TestChooseFollowsSplitAndSkipsUnreadyTargets(t *testing.T) {
	split := func(share int) move.TrafficSplits {
		return move.TrafficSplits{"s": {From: "v1", To: "v2", Share: share}}
	}
	both := []membership.Endpoint{endpoint("old", "v1"), endpoint("new", "v2")}
	for _, c := range []struct {
		name      string
		endpoints []membership.Endpoint
		splits    move.TrafficSplits
		want      map[string]float64
	}{
		{"no endpoints", nil, nil, map[string]float64{"no-target": 1}},
		{"no move", both, nil, map[string]float64{"old": 1}},
		{"share", both, split(2000), map[string]float64{"old": 0.8, "new": 0.2}},
		{"smallest share", both, split(1), map[string]float64{"old": 0.9999}},
		{"completed", both, split(move.ShareDenominator), map[string]float64{"new": 1}},
		{"rolled back", both, split(0), map[string]float64{"old": 1}},
		{"new version has no targets", both[:1], split(5000), map[string]float64{"old": 1}},
		{"old version has no targets", both[1:], split(2000), map[string]float64{"no-target": 0.8, "new": 0.2}},
		{"draining", []membership.Endpoint{both[0], endpoint("leaving", "v1", withState(membership.Draining))}, nil, map[string]float64{"old": 1}},
		{"starting", []membership.Endpoint{endpoint("cold", "v1", withState(membership.Starting))}, nil, map[string]float64{"no-target": 1}},
	} {
		const calls = 20_000
		table := NewBuilder(nil).Build(snapshot(t), c.endpoints, c.splits, localNode)
		counts := chooseMany(table, calls, false, epoch)
		for id, want := range c.want {
			got := float64(counts[id]) / calls
			assert.Assert(t, got > want-0.015 && got < want+0.015, "%s: %s got %.4f, want %.4f", c.name, id, got, want)
		}
		if _, ok := c.want["new"]; !ok && c.name != "smallest share" {
			assert.Equal(t, counts["new"], 0, c.name)
		}
	}
	table := NewBuilder(nil).Build(snapshot(t), both, nil, localNode)
	_, err := table.Choose("unknown", "c", nil, epoch)
	assert.Equal(t, err.Code, verdict.UnknownService)
	_, err = table.Choose("empty", "c", nil, epoch)
	assert.Equal(t, err.Code, verdict.NoTarget)
	assert.Equal(t, err.Verdict, verdict.NotRun)
}

// Calls must not leave the failure domain or the region without need, and must not
// queue at a near target while a farther one has free slots.
func TestChooseFillsNearestTierFirst(t *testing.T) {
	table := NewBuilder(nil).Build(snapshot(t), []membership.Endpoint{
		endpoint("other-region", "v1", withLocality("r2", "d9")), endpoint("same-domain", "v1"), endpoint("same-region", "v1", withLocality("r1", "d2")),
	}, nil, localNode)
	for _, want := range []string{"same-domain", "same-region", "other-region"} {
		assert.DeepEqual(t, chooseMany(table, 4, true, epoch), map[string]int{want: 4})
	}
	// All targets are full: calls are still sent to one of them, not rejected.
	assert.Equal(t, chooseMany(table, 6, true, epoch)["no-target"], 0)
}

// A target that has just become ready must not receive its full share of calls
// before the end of its warm-up.
func TestNewTargetRampsUpDuringWarmup(t *testing.T) {
	cold := endpoint("cold", "v1", func(e *membership.Endpoint) {
		e.Slots, e.Warmup, e.ReadySince = 100, 10*time.Second, epoch
	})
	warm := endpoint("warm", "v1", func(e *membership.Endpoint) { e.Slots = 100 })
	for _, c := range []struct {
		age   time.Duration
		share float64
	}{{0, 0.1 / 1.1}, {5 * time.Second, 0.5 / 1.5}, {10 * time.Second, 0.5}} {
		table := NewBuilder(nil).Build(snapshot(t), []membership.Endpoint{cold, warm}, nil, localNode)
		got := float64(chooseMany(table, 100, true, epoch.Add(c.age))["cold"]) / 100
		assert.Assert(t, got > c.share-0.04 && got < c.share+0.04, "share %.3f at age %s, want %.3f", got, c.age, c.share)
	}
}

// A failing endpoint must receive no calls during its ejection, receive calls again
// after it, and stay ejected when the table is rebuilt.
func TestFailuresEjectEndpointAcrossRebuilds(t *testing.T) {
	endpoints := []membership.Endpoint{endpoint("bad", "v1"), endpoint("good", "v1")}
	for _, failure := range []struct {
		result AttemptResult
		times  int
	}{{AttemptResult{Unreachable: true}, 1}, {AttemptResult{ServerError: true}, serverErrorThreshold}} {
		b := NewBuilder(nil)
		table := b.Build(snapshot(t), endpoints, nil, localNode)
		attempts := 0
		for attempts < failure.times {
			if e, _ := table.Choose("s", "c", nil, epoch); e.ID == "bad" {
				e.BeginAttempt()
				e.EndAttempt(epoch, failure.result)
				attempts++
			}
		}
		table = b.Build(snapshot(t), endpoints, nil, localNode)
		assert.Equal(t, chooseMany(table, 100, false, epoch.Add(minEjection/2))["bad"], 0)
		assert.Assert(t, chooseMany(table, 100, false, epoch.Add(2*minEjection))["bad"] > 0)
		// If all endpoints are ejected, calls are sent to them rather than rejected.
		table = b.Build(snapshot(t), endpoints[:1], nil, localNode)
		assert.Equal(t, chooseMany(table, 10, false, epoch)["bad"], 10)
	}
}

// An endpoint whose first calls were slow, for example because of a dial or a cold
// start, must receive further calls, by which its mean latency is corrected.
func TestOutdatedLatencyLosesWeight(t *testing.T) {
	b := NewBuilder(nil)
	table := b.Build(snapshot(t), []membership.Endpoint{endpoint("slow", "v1"), endpoint("fast", "v1")}, nil, localNode)
	for _, e := range table.services["s"].versions["v1"].tiers[sameDomain] {
		latency := time.Millisecond
		if e.ID == "slow" {
			latency = 500 * time.Millisecond
		}
		e.BeginAttempt()
		e.EndAttempt(epoch, AttemptResult{TimeToResponseStart: latency})
	}
	assert.Equal(t, chooseMany(table, 100, false, epoch)["slow"], 0)
	for i := range 20 {
		now := epoch.Add(latencyLifetime * time.Duration(i+1) / 10)
		e, _ := table.Choose("s", "c", nil, now)
		e.BeginAttempt()
		e.EndAttempt(now, AttemptResult{TimeToResponseStart: time.Millisecond})
	}
	later := epoch.Add(2 * latencyLifetime)
	assert.Assert(t, chooseMany(table, 100, false, later)["slow"] > 20, "an endpoint with an outdated latency receives too few calls")
}

// A node must not connect to all targets of a large service, but all nodes together
// must use each target.
func TestCandidatesAreBoundedAndCoverAllTargets(t *testing.T) {
	var endpoints []membership.Endpoint
	for i := range 60 {
		endpoints = append(endpoints, endpoint(fmt.Sprint("t", i), "v1"))
	}
	nodesPerTarget := make(map[string]int)
	for i := range 40 {
		node := localNode
		node.Instance = fmt.Sprint("node", i)
		table := NewBuilder(nil).Build(snapshot(t), endpoints, nil, node)
		counts := chooseMany(table, 300, false, epoch)
		assert.Assert(t, len(counts) <= maxCandidates, "%d candidates", len(counts))
		for id := range counts {
			nodesPerTarget[id]++
		}
	}
	assert.Equal(t, len(nodesPerTarget), len(endpoints), "some targets are not a candidate of any node")
}

// Retries must not multiply an overload: the budget allows one per ten calls.
func TestRetryBudgetAllowsATenthOfCalls(t *testing.T) {
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

// A plan's limits must admit no more calls than they allow, and rejected or ended
// calls must not count as in flight.
func TestCustomerLimiterEnforcesRateAndConcurrency(t *testing.T) {
	var limits CustomerLimiter
	plan := dynamic.Limits{RatePerSecond: 10, Burst: 3, Concurrency: 2}
	first, err := limits.Acquire("c", plan, epoch)
	assert.Assert(t, err == nil)
	_, err = limits.Acquire("c", plan, epoch)
	assert.Assert(t, err == nil)
	_, err = limits.Acquire("c", plan, epoch)
	assert.Equal(t, err.Code, verdict.ConcurrencyLimited)
	first.Release()
	third, err := limits.Acquire("c", plan, epoch)
	assert.Assert(t, err == nil)
	third.Release()
	_, err = limits.Acquire("c", plan, epoch)
	assert.Equal(t, err.Code, verdict.RateLimited)
	assert.Equal(t, err.RetryAfter, 100*time.Millisecond)
	_, err = limits.Acquire("other", plan, epoch)
	assert.Assert(t, err == nil)
	_, err = limits.Acquire("c", plan, epoch.Add(time.Second))
	assert.Assert(t, err == nil)
}
