package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// quietService simulates the rollout of a version of a service with few requests: two routes, an
// endpoint on each of six nodes, response times that are spread widely, and a mean latency of the
// old version that each entry node knows only roughly.
type quietService struct {
	r *rand.Rand
	// slowShare is the share of requests that take eight times as long at the new version.
	slowShare float64
	perSecond int

	machines  []*StateMachine
	analyzers []*Analyzer
	// exposed counts the requests that reach the new version.
	exposed int
	state   mesh.RolloutState
}

func (q *quietService) latency(work time.Duration) time.Duration {
	return time.Duration((0.3 + 0.7*q.r.ExpFloat64()) * float64(work))
}

// request sends a request to the new version with the probability share.
func (q *quietService) request(share float64) {
	if q.r.Float64() >= share {
		return
	}
	q.exposed++
	endpoint := 0
	if share == 1 {
		endpoint = q.r.IntN(len(q.analyzers))
	}
	result := Result{Route: "download", Shifted: share == 1, Timeout: 3 * time.Second}
	work := 130 * time.Millisecond
	if q.r.IntN(3) > 0 {
		result.Route, result.Timeout, work = "lookup", 500*time.Millisecond, 40*time.Millisecond
	}
	result.Latency = q.latency(work)
	result.Baseline = time.Duration((0.7 + 0.9*q.r.Float64()) * float64(work))
	if q.r.Float64() < q.slowShare {
		result.Latency *= 8
	}
	if result.slow() {
		result.Latency = min(result.Latency, SlowThreshold(result.Baseline, result.Timeout)+time.Millisecond)
		result.Unfinished = true // The caller has left or asked another endpoint.
	}
	if q.analyzers[endpoint].Add(result) {
		q.machines[endpoint].Step(epoch, Event{Kind: VersionFailed, Service: "s", Version: "v2"})
	}
}

func (q *quietService) run(duration time.Duration) {
	r := mesh.Rollout{Service: "s", Version: "v2", Duration: duration}
	for range 6 {
		m := NewStateMachine()
		m.Step(epoch, Event{Kind: RolloutsReplaced, Rollouts: []mesh.Rollout{r}})
		q.machines, q.analyzers = append(q.machines, m), append(q.analyzers, NewAnalyzer())
	}
	const tick = 100 * time.Millisecond
	for elapsed := 1500 * time.Millisecond; elapsed < duration && !q.state.Terminal(); elapsed += tick {
		for range q.perSecond / int(time.Second/tick) {
			q.request(q.machines[0].Policies()["s"].Share)
		}
		now := epoch.Add(elapsed)
		for rank, m := range q.machines {
			for _, e := range m.Step(now, Event{Kind: Tick, Roles: map[string]NodeRole{"s": {Rank: rank, Analysis: q.analyzers[rank].Summary()}}}) {
				q.apply(now, r, e)
			}
		}
	}
}

// apply applies a write of one node at all nodes.
func (q *quietService) apply(now time.Time, r mesh.Rollout, e Effect) {
	if e.Kind == WriteState && !q.state.Terminal() {
		q.state = e.State
	}
	r.State = q.state
	for _, m := range q.machines {
		if e.Kind == WriteState {
			m.Step(now, Event{Kind: RolloutsReplaced, Rollouts: []mesh.Rollout{r}})
		} else {
			m.Step(now, Event{Kind: ProgressRead, Progress: e.Progress})
		}
	}
}

// A version that is slow for half of its requests must be rolled back also if its service has few
// requests, before it has got more than operators allow: a tenth of all requests and 50. It used
// to be completed (review/7).
func TestSlowVersionOfQuietServiceIsRolledBack(t *testing.T) {
	const duration, perSecond = 16 * time.Second, 30
	for seed := range uint64(300) {
		q := quietService{r: rand.New(rand.NewPCG(seed, 7)), slowShare: 0.5, perSecond: perSecond}
		q.run(duration)
		assert.Equal(t, q.state, mesh.RolloutRolledBack, "seed %d", seed)
		allowed := int(0.1*perSecond*duration.Seconds()) + 50
		assert.Assert(t, q.exposed <= allowed, "seed %d: %d requests, allowed %d", seed, q.exposed, allowed)
	}
}

// A good version of a service with few requests must still be completed in time: its analysis
// needs enough results.
func TestGoodVersionOfQuietServiceIsCompleted(t *testing.T) {
	completed := 0
	for seed := range uint64(300) {
		q := quietService{r: rand.New(rand.NewPCG(seed, 7)), perSecond: 30}
		q.run(16 * time.Second)
		if q.state == mesh.RolloutCompleted {
			completed++
		}
	}
	assert.Assert(t, completed >= 297, "%d of 300", completed)
}

// A service with many requests must not send more of them to a version that is not yet analyzed.
func TestBusyServiceKeepsCanaryShare(t *testing.T) {
	m := newMachine()
	m.Step(epoch, rolloutInState(mesh.RolloutRunning))
	effects, _ := tickUntil(m, 0, 12*time.Second, NodeRole{Analysis: goodAnalysis})
	assert.Equal(t, effects[0].Progress.Phase, Shift)
	assert.Equal(t, m.Policies()["s"].Share, CanaryShare)
}

// A share of a foreign or damaged object must not expose more requests than a canary may get.
func TestImplausibleCanaryShareIsIgnored(t *testing.T) {
	for _, share := range []float64{-1, 0.01, 0.5, 1, 1e300} {
		m := newMachine()
		m.Step(epoch, Event{Kind: ProgressRead, Progress: Progress{Service: "s", Version: "v2", Phase: Canary, Share: share}})
		assert.Equal(t, m.Policies()["s"].Share, CanaryShare, "%v", share)
	}
}
