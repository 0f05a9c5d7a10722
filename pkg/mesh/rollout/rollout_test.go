package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
)

var (
	epoch      = time.Now()
	usualOrder = mesh.Rollout{Service: "s", Version: "v2", Duration: 12 * time.Second}
)

// Guards against bad versions that stay unnoticed and good ones that are taken
// back. The rates are those of the users' pages: bad versions fail a third or
// more of their requests or are several times slower, good ones 1 in 250.
func TestAnalyzer(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(r *rand.Rand, i int) Result
		// within is the number of answers within which the version is found bad;
		// 0 means that it must not be.
		within int
	}{
		{"good", func(r *rand.Rand, _ int) Result {
			return Result{Route: "a", Failed: r.Float64() < 0.004, Latency: spread(r, 90), Baseline: 90 * time.Millisecond}
		}, 0},
		{"good on a slow host", func(r *rand.Rand, _ int) Result {
			return Result{Route: "a", Failed: r.Float64() < 0.004, Latency: spread(r, 150), Baseline: 90 * time.Millisecond}
		}, 0},
		{"fails a third", func(r *rand.Rand, _ int) Result { return Result{Route: "a", Failed: r.Float64() < 0.35} }, 60},
		{"fails late", func(r *rand.Rand, i int) Result { return Result{Route: "a", Failed: i > 100 && r.Float64() < 0.35} }, 160},
		{"one route of ten requests", func(r *rand.Rand, i int) Result {
			if i%10 == 0 {
				return Result{Route: "b", Failed: r.Float64() < 0.5}
			}
			return Result{Route: "a"}
		}, 300},
		{"eight times slower", func(r *rand.Rand, _ int) Result {
			took := spread(r, 90)
			if r.Float64() < 0.5 {
				took *= 8
			}
			return Result{Route: "a", Latency: took, Baseline: 90 * time.Millisecond}
		}, 100},
		{"eight times slower than callers wait", func(r *rand.Rand, _ int) Result {
			took := spread(r, 290)
			if r.Float64() < 0.5 {
				return Result{Route: "a", Latency: min(8*took, 1300*time.Millisecond), Baseline: 290 * time.Millisecond, Unfinished: true}
			}
			return Result{Route: "a", Latency: took, Baseline: 290 * time.Millisecond}
		}, 100},
		{"slow only under the load of all requests", func(r *rand.Rand, i int) Result {
			took := spread(r, 90)
			if i > 100 && r.Float64() < 0.6 {
				took *= 8
			}
			return Result{Route: "a", Latency: took, Baseline: 90 * time.Millisecond, Shifted: i > 100}
		}, 200},
		{"good, a fifth of the answers waits for a slow call", func(r *rand.Rand, _ int) Result {
			took := spread(r, 90)
			if r.Float64() < 0.2 {
				took += 300 * time.Millisecond
			}
			return Result{Route: "a", Latency: took, Baseline: 90 * time.Millisecond, Shifted: true}
		}, 0},
		{"good, callers that leave early", func(r *rand.Rand, _ int) Result {
			took := spread(r, 290)
			return Result{Route: "a", Latency: took / 2, Baseline: 290 * time.Millisecond, Unfinished: r.Float64() < 0.5}
		}, 0},
	} {
		for seed := range uint64(200) {
			r := rand.New(rand.NewPCG(seed, 1))
			j := NewAnalyzer()
			found := 0
			for i := 1; i <= 400 && found == 0; i++ {
				if j.Add(c.answer(r, i)) {
					found = i
				}
			}
			if c.within == 0 {
				assert.Equal(t, found, 0, "%s, seed %d", c.name, seed)
			} else {
				assert.Assert(t, found > 0 && found <= c.within, "%s, seed %d: found after %d", c.name, seed, found)
			}
		}
	}
}

// Guards against callers that leave early being taken for good answers: they hide
// the failures between them.
func TestUnfinishedAnswersAreNoEvidenceOfAGoodVersion(t *testing.T) {
	j := NewAnalyzer()
	for i := range 10 * failureCount {
		if j.Add(Result{Route: "a", Failed: i%10 == 9, Latency: time.Millisecond, Baseline: time.Second, Unfinished: i%10 != 9}) {
			assert.Equal(t, i, 10*failureCount-1)
			return
		}
	}
	t.Fatal("the failures were not noticed")
}

// spread draws a service time with the given mean in milliseconds; a hundredth
// takes three times as long.
func spread(r *rand.Rand, mean float64) time.Duration {
	x := mean * (0.5 + r.Float64())
	if r.Float64() < 0.01 {
		x *= 3
	}
	return time.Duration(x * float64(time.Millisecond))
}

// tickUntil ticks every 100 ms and returns the first effects other than those
// that begin the order, and the time since the order.
func tickUntil(m *StateMachine, from, until time.Duration, s NodeRole) ([]Effect, time.Duration) {
	for at := from; at <= until; at += 100 * time.Millisecond {
		effects := m.Step(epoch.Add(at), Event{Kind: Tick, Roles: map[string]NodeRole{"s": s}})
		if len(effects) > 0 && effects[0].State != mesh.RolloutRunning {
			return effects, at
		}
	}
	return nil, until
}

func start() *StateMachine {
	m := NewStateMachine()
	m.Step(epoch, Event{Kind: RolloutsReplaced, Rollouts: []mesh.Rollout{usualOrder}})
	return m
}

func withOutcome(state mesh.RolloutState) Event {
	r := usualOrder
	r.State = state
	return Event{Kind: RolloutsReplaced, Rollouts: []mesh.Rollout{r}}
}

// Guards against a good version that is not completed by its time, or before all
// traffic has moved to it.
func TestGoodVersionIsCompletedInTime(t *testing.T) {
	m := start()
	assert.DeepEqual(t, m.Policies()["s"], Policy{Version: "v2", Share: CanaryShare})
	first := m.Step(epoch, Event{Kind: Tick, Roles: map[string]NodeRole{"s": {}}})
	assert.Equal(t, len(first), 2)
	assert.Equal(t, first[0].State, mesh.RolloutRunning)
	m.Step(epoch, withOutcome(mesh.RolloutRunning))
	effects, at := tickUntil(m, time.Second, 12*time.Second, NodeRole{ResultCount: 50})
	assert.Equal(t, effects[0].Progress.Phase, Shift)
	assert.Assert(t, at < 8*time.Second, "%v", at)
	p := effects[0].Progress
	m.Step(epoch.Add(at), Event{Kind: ProgressRead, Progress: p, NowUnixMs: p.StartedUnixMs + at.Milliseconds()})
	assert.Equal(t, m.Policies()["s"].Share, 1.0)
	effects, done := tickUntil(m, at, 12*time.Second, NodeRole{ResultCount: 500})
	assert.Equal(t, effects[0].State, mesh.RolloutCompleted)
	assert.Assert(t, done-at >= minShift && done < 12*time.Second, "%v after the shift at %v", done, at)
	m.Step(epoch.Add(done), withOutcome(mesh.RolloutCompleted))
	assert.Equal(t, m.Policies()["s"].Share, 1.0)
	effects, _ = tickUntil(m, done, 20*time.Second, NodeRole{ResultCount: 500})
	assert.Equal(t, len(effects), 0, "a completed order is not written again")
}

// Guards against requests to a version after it was found bad, at any stage and
// whether or not the store can be written.
func TestBadVersionGetsNothingAtOnce(t *testing.T) {
	for _, phase := range []Phase{Canary, Shift} {
		m := start()
		m.Step(epoch, Event{Kind: ProgressRead, Progress: Progress{Service: "s", Version: "v2", Phase: phase}})
		m.Step(epoch, Event{Kind: VersionFailed, Service: "s", Version: "v2"})
		assert.Equal(t, m.Policies()["s"].Share, 0.0)
		for i := range 3 {
			// The write fails; it is asked for until the state is seen.
			effects, _ := tickUntil(m, time.Duration(i)*time.Second, time.Duration(i+1)*time.Second, NodeRole{Rank: -1})
			assert.Equal(t, effects[0].State, mesh.RolloutRolledBack)
		}
		m.Step(epoch, withOutcome(mesh.RolloutRolledBack))
		assert.Equal(t, m.Policies()["s"].Share, 0.0)
	}
}

// Guards against a version that nobody has seen working getting all traffic, and
// against one that stays undecided when the deciding node is gone.
func TestDecisionsWithoutEvidenceOrDecider(t *testing.T) {
	m := start()
	m.Step(epoch, withOutcome(mesh.RolloutRunning))
	effects, _ := tickUntil(m, 0, 12*time.Second, NodeRole{Rank: 0, ResultCount: minCalls - 1})
	assert.Equal(t, effects[0].State, mesh.RolloutRolledBack)

	m = start()
	m.Step(epoch, withOutcome(mesh.RolloutRunning))
	effects, at := tickUntil(m, 0, 12*time.Second, NodeRole{Rank: 1})
	assert.Equal(t, effects[0].Progress.Phase, Shift)
	assert.Assert(t, at < 9*time.Second, "%v", at)

	effects, _ = tickUntil(start(), 0, 12*time.Second, NodeRole{Rank: -1})
	assert.Equal(t, len(effects), 0, "a node without endpoints of the version decides nothing")
}

// Guards against a restarted node that believes the order has just come.
func TestRolloutAgeSurvivesRestart(t *testing.T) {
	m := start()
	m.Step(epoch, withOutcome(mesh.RolloutRunning))
	m.Step(epoch, Event{Kind: ProgressRead, Progress: Progress{Service: "s", Version: "v2", Phase: Canary, StartedUnixMs: 1000}, NowUnixMs: 8000})
	effects, at := tickUntil(m, 0, 12*time.Second, NodeRole{ResultCount: 50})
	assert.Equal(t, effects[0].Progress.Phase, Shift)
	assert.Assert(t, at <= time.Second, "%v", at)
}

// Guards against findings of an earlier order that are held against a new one.
func TestNewRolloutResetsProgress(t *testing.T) {
	m := start()
	m.Step(epoch, Event{Kind: VersionFailed, Service: "s", Version: "v2"})
	next := usualOrder
	next.Version = "v3"
	m.Step(epoch, Event{Kind: RolloutsReplaced, Rollouts: []mesh.Rollout{next}})
	assert.DeepEqual(t, m.Policies()["s"], Policy{Version: "v3", Share: CanaryShare})
	m.Step(epoch, Event{Kind: VersionFailed, Service: "s", Version: "v2"})
	assert.Equal(t, m.Policies()["s"].Share, CanaryShare)
}
