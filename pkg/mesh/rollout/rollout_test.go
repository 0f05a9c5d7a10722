package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
)

var (
	epoch       = time.Now()
	baseRollout = mesh.Rollout{Service: "s", Version: "v2", Duration: 12 * time.Second}
)

// Bad versions must fail their analysis and good ones must not. The rates are those of
// the users' specification: bad versions fail a third or more of their requests or are
// several times slower, good ones fail 1 in 250.
func TestAnalyzerFailsOnlyBadVersions(t *testing.T) {
	for _, c := range []struct {
		name   string
		result func(r *rand.Rand, i int) Result
		// maxResults is the number of results within which the analysis must fail; 0 means
		// that it must not fail.
		maxResults int
	}{
		{"good", func(r *rand.Rand, _ int) Result {
			return Result{Route: "a", Failed: r.Float64() < 0.004, Latency: randomLatency(r, 90), Baseline: 90 * time.Millisecond}
		}, 0},
		{"good on a slow host", func(r *rand.Rand, _ int) Result {
			return Result{Route: "a", Failed: r.Float64() < 0.004, Latency: randomLatency(r, 150), Baseline: 90 * time.Millisecond}
		}, 0},
		{"fails a third of its requests", func(r *rand.Rand, _ int) Result { return Result{Route: "a", Failed: r.Float64() < 0.35} }, 60},
		{"fails after 100 requests", func(r *rand.Rand, i int) Result { return Result{Route: "a", Failed: i > 100 && r.Float64() < 0.35} }, 160},
		{"fails on a route with a tenth of the requests", func(r *rand.Rand, i int) Result {
			if i%10 == 0 {
				return Result{Route: "b", Failed: r.Float64() < 0.5}
			}
			return Result{Route: "a"}
		}, 300},
		{"eight times slower", func(r *rand.Rand, _ int) Result {
			latency := randomLatency(r, 90)
			if r.Float64() < 0.5 {
				latency *= 8
			}
			return Result{Route: "a", Latency: latency, Baseline: 90 * time.Millisecond}
		}, 100},
		{"eight times slower, and callers cancel", func(r *rand.Rand, _ int) Result {
			latency := randomLatency(r, 290)
			if r.Float64() < 0.5 {
				return Result{Route: "a", Latency: min(8*latency, 1300*time.Millisecond), Baseline: 290 * time.Millisecond, Unfinished: true}
			}
			return Result{Route: "a", Latency: latency, Baseline: 290 * time.Millisecond}
		}, 100},
		{"slow only under the load of all requests", func(r *rand.Rand, i int) Result {
			latency := randomLatency(r, 90)
			if i > 100 && r.Float64() < 0.6 {
				latency *= 8
			}
			return Result{Route: "a", Latency: latency, Baseline: 90 * time.Millisecond, Shifted: i > 100}
		}, 200},
		{"good, a fifth of the requests waits for a slow call", func(r *rand.Rand, _ int) Result {
			latency := randomLatency(r, 90)
			if r.Float64() < 0.2 {
				latency += 300 * time.Millisecond
			}
			return Result{Route: "a", Latency: latency, Baseline: 90 * time.Millisecond, Shifted: true}
		}, 0},
		{"good, and callers cancel early", func(r *rand.Rand, _ int) Result {
			latency := randomLatency(r, 290)
			return Result{Route: "a", Latency: latency / 2, Baseline: 290 * time.Millisecond, Unfinished: r.Float64() < 0.5}
		}, 0},
	} {
		for seed := range uint64(200) {
			r := rand.New(rand.NewPCG(seed, 1))
			analyzer := NewAnalyzer()
			failedAfter := 0
			for i := 1; i <= 400 && failedAfter == 0; i++ {
				if analyzer.Add(c.result(r, i)) {
					failedAfter = i
				}
			}
			if c.maxResults == 0 {
				assert.Equal(t, failedAfter, 0, "%s, seed %d", c.name, seed)
			} else {
				assert.Assert(t, failedAfter > 0 && failedAfter <= c.maxResults, "%s, seed %d: failed after %d results", c.name, seed, failedAfter)
			}
		}
	}
}

// A version whose requests mostly end without showing anything must not pass its analysis
// for want of failures.
func TestUnknownResultsAreNoEvidence(t *testing.T) {
	analyzer := NewAnalyzer()
	for i := range 30 {
		analyzer.Add(Result{Route: "a", Latency: time.Millisecond, Baseline: time.Second, Unfinished: i%3 != 0})
	}
	assert.Equal(t, analyzer.Summary().Results, 0)
	for range minResults + 10 {
		analyzer.Add(Result{Route: "a", Latency: time.Millisecond, Baseline: time.Second})
	}
	assert.Equal(t, analyzer.Summary().Results, minResults)
}

// Requests that callers cancel must not count as successes, which would hide the
// failures between them.
func TestUnfinishedResultsDoNotCountAsSuccesses(t *testing.T) {
	analyzer := NewAnalyzer()
	for i := range 10 * failureLimit {
		if analyzer.Add(Result{Route: "a", Failed: i%10 == 9, Latency: time.Millisecond, Baseline: time.Second, Unfinished: i%10 != 9}) {
			assert.Equal(t, i, 10*failureLimit-1)
			return
		}
	}
	t.Fatal("the failures were not detected")
}

// randomLatency draws a latency with the given mean in milliseconds; one in a hundred
// is three times as long.
func randomLatency(r *rand.Rand, mean float64) time.Duration {
	x := mean * (0.5 + r.Float64())
	if r.Float64() < 0.01 {
		x *= 3
	}
	return time.Duration(x * float64(time.Millisecond))
}

// tickUntil ticks every 100 ms and returns the first effects other than those that
// start the rollout, and the time since its start.
func tickUntil(m *StateMachine, begin, until time.Duration, role NodeRole) ([]Effect, time.Duration) {
	for elapsed := begin; elapsed <= until; elapsed += 100 * time.Millisecond {
		effects := m.Step(epoch.Add(elapsed), Event{Kind: Tick, Roles: map[string]NodeRole{"s": role}})
		if len(effects) > 0 && effects[0].State != mesh.RolloutRunning {
			return effects, elapsed
		}
	}
	return nil, until
}

// goodAnalysis is an analysis that a version has passed.
var goodAnalysis = Summary{Results: 50, Compared: 50, Fast: 50, Support: 50 * -fastStep}

func newMachine() *StateMachine {
	m := NewStateMachine()
	m.Step(epoch, Event{Kind: RolloutsReplaced, Rollouts: []mesh.Rollout{baseRollout}})
	return m
}

func rolloutInState(state mesh.RolloutState) Event {
	r := baseRollout
	r.State = state
	return Event{Kind: RolloutsReplaced, Rollouts: []mesh.Rollout{r}}
}

// A good version must be completed within the rollout's duration, but not before all
// traffic has shifted to it.
func TestGoodVersionCompletesInTime(t *testing.T) {
	m := newMachine()
	assert.DeepEqual(t, m.Policies()["s"], Policy{Version: "v2", Share: CanaryShare})
	first := m.Step(epoch, Event{Kind: Tick, Roles: map[string]NodeRole{"s": {}}})
	assert.Equal(t, len(first), 2)
	assert.Equal(t, first[0].State, mesh.RolloutRunning)
	m.Step(epoch, rolloutInState(mesh.RolloutRunning))
	effects, shiftedAt := tickUntil(m, time.Second, 12*time.Second, NodeRole{Analysis: goodAnalysis})
	assert.Equal(t, effects[0].Progress.Phase, Shift)
	assert.Assert(t, shiftedAt < 8*time.Second, "%v", shiftedAt)
	p := effects[0].Progress
	m.Step(epoch.Add(shiftedAt), Event{Kind: ProgressRead, Progress: p, NowUnixMs: p.StartedUnixMs + shiftedAt.Milliseconds()})
	assert.Equal(t, m.Policies()["s"].Share, 1.0)
	effects, completedAt := tickUntil(m, shiftedAt, 12*time.Second, NodeRole{Analysis: goodAnalysis})
	assert.Equal(t, effects[0].State, mesh.RolloutCompleted)
	assert.Assert(t, completedAt-shiftedAt >= minShiftDuration && completedAt < 12*time.Second, "%v after the shift at %v", completedAt, shiftedAt)
	m.Step(epoch.Add(completedAt), rolloutInState(mesh.RolloutCompleted))
	assert.Equal(t, m.Policies()["s"].Share, 1.0)
	effects, _ = tickUntil(m, completedAt, 20*time.Second, NodeRole{Analysis: goodAnalysis})
	assert.Equal(t, len(effects), 0, "a completed rollout must not be written again")
}

// A version must get no requests after its analysis failed, in any phase and even if
// the store cannot be written.
func TestFailedVersionGetsNoRequests(t *testing.T) {
	for _, phase := range []Phase{Canary, Shift} {
		m := newMachine()
		m.Step(epoch, Event{Kind: ProgressRead, Progress: Progress{Service: "s", Version: "v2", Phase: phase}})
		m.Step(epoch, Event{Kind: VersionFailed, Service: "s", Version: "v2"})
		assert.Equal(t, m.Policies()["s"].Share, 0.0)
		for i := range 3 {
			// The write fails; it is requested again until the state has been read.
			effects, _ := tickUntil(m, time.Duration(i)*time.Second, time.Duration(i+1)*time.Second, NodeRole{Rank: -1})
			assert.Equal(t, effects[0].State, mesh.RolloutRolledBack)
		}
		m.Step(epoch, rolloutInState(mesh.RolloutRolledBack))
		assert.Equal(t, m.Policies()["s"].Share, 0.0)
	}
}

// A version with too few results must not get all traffic, whatever the rank of the node that
// decides, and a rollout must not remain undecided if the node of rank 0 is gone. The node of
// rank 1 used to shift all traffic without a result.
func TestRolloutEndsWithoutResultsOrLeadingNode(t *testing.T) {
	fewResults := goodAnalysis
	fewResults.Results = minResults - 1
	for _, role := range []NodeRole{{Analysis: fewResults}, {}, {Rank: 1}, {Rank: 1, Analysis: fewResults}} {
		m := newMachine()
		m.Step(epoch, rolloutInState(mesh.RolloutRunning))
		m.Step(epoch, Event{Kind: ProgressRead, Progress: Progress{Service: "s", Version: "v2", Phase: Canary, Share: maxCanaryShare}})
		effects, at := tickUntil(m, 0, 12*time.Second, role)
		assert.Equal(t, effects[0].State, mesh.RolloutRolledBack, "%+v", role)
		assert.Assert(t, at < 11*time.Second, "%v", at)
	}

	m := newMachine()
	m.Step(epoch, rolloutInState(mesh.RolloutRunning))
	effects, at := tickUntil(m, 0, 12*time.Second, NodeRole{Rank: 1, Analysis: goodAnalysis})
	assert.Equal(t, effects[0].Progress.Phase, Shift)
	assert.Assert(t, at < 9*time.Second, "%v", at)

	effects, _ = tickUntil(newMachine(), 0, 12*time.Second, NodeRole{Rank: -1})
	assert.Equal(t, len(effects), 0, "a node without endpoints of the version must not decide")
}

// A restarted node must not treat a running rollout as new.
func TestRolloutAgeSurvivesRestart(t *testing.T) {
	m := newMachine()
	m.Step(epoch, rolloutInState(mesh.RolloutRunning))
	m.Step(epoch, Event{Kind: ProgressRead, Progress: Progress{Service: "s", Version: "v2", Phase: Canary, StartedUnixMs: 1000}, NowUnixMs: 8000})
	effects, at := tickUntil(m, 0, 12*time.Second, NodeRole{Analysis: goodAnalysis})
	assert.Equal(t, effects[0].Progress.Phase, Shift)
	assert.Assert(t, at <= time.Second, "%v", at)
}

// The failed analysis of an earlier version must not affect a new rollout.
func TestNewRolloutIgnoresFailureOfEarlierVersion(t *testing.T) {
	m := newMachine()
	m.Step(epoch, Event{Kind: VersionFailed, Service: "s", Version: "v2"})
	next := baseRollout
	next.Version = "v3"
	m.Step(epoch, Event{Kind: RolloutsReplaced, Rollouts: []mesh.Rollout{next}})
	assert.DeepEqual(t, m.Policies()["s"], Policy{Version: "v3", Share: CanaryShare})
	m.Step(epoch, Event{Kind: VersionFailed, Service: "s", Version: "v2"})
	assert.Equal(t, m.Policies()["s"].Share, CanaryShare)
}

// Progress with a start beyond any clock must not advance a rollout: its age overflowed a
// time.Duration to a plausible value.
func TestProgressBeyondAnyClockDoesNotAdvanceRollout(t *testing.T) {
	nowUnixMs := epoch.UnixMilli()
	// 2^58 ms are a multiple of 2^64 ns.
	for _, started := range []int64{nowUnixMs - 11_000 - 1<<58, nowUnixMs - 11_000 + 1<<58, math.MinInt64, math.MaxInt64} {
		m := NewStateMachine()
		m.Step(epoch, Event{Kind: RolloutsReplaced, Rollouts: []mesh.Rollout{baseRollout}})
		m.Step(epoch, Event{Kind: ProgressRead, Progress: Progress{Service: "s", Version: "v2", Phase: Canary, StartedUnixMs: started}, NowUnixMs: nowUnixMs})
		effects := m.Step(epoch, Event{Kind: Tick, Roles: map[string]NodeRole{"s": {Rank: 0}}, NowUnixMs: nowUnixMs})
		assert.Equal(t, len(effects), 2)
		assert.Equal(t, effects[0].State, mesh.RolloutRunning, "started at %d", started)
	}
}
