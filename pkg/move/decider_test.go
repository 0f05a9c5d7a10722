package move

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/azurespring/azurespring/pkg/reducer"
)

// A move to a good version must finish in time, and a move to a bad one must be rolled
// back. Common outages, few calls, missing slots and changes of the configuration
// must not change that.
func TestDeciderFinishesGoodAndRollsBackBadVersions(t *testing.T) {
	for _, test := range []struct {
		name   string
		setup  func(x *simulation)
		phase  Phase
		reason string
		// maxShare bounds the highest share that the new version may reach.
		maxShare int
	}{
		{"good version finishes in time", func(x *simulation) { x.run(moveDuration) }, PhaseDone, "soak", ShareDenominator},
		{"bad version is rolled back on the first step", func(x *simulation) {
			x.failureRate = failWith("v2", 1, nil)
			x.run(moveDuration)
		}, PhaseRolledBack, "bad", 100},
		{"version that fails later is rolled back", func(x *simulation) {
			x.failureRate = failWith("v2", 0.3, func(x *simulation) bool { return x.elapsed() > moveDuration/2 })
			x.run(moveDuration)
		}, PhaseRolledBack, "bad", 5000},
		{"version that fails only at full share is rolled back after one recheck", func(x *simulation) {
			x.failureRate = failWith("v2", 0.3, func(x *simulation) bool { return x.state().Share == ShareDenominator })
			x.run(moveDuration)
			assert.Equal(x.t, x.state().RecheckCount, 1)
		}, PhaseRolledBack, "bad", ShareDenominator},
		{"version that fails on one quiet route is rolled back", func(x *simulation) {
			x.failureRate = func(_ *simulation, version, route string) float64 {
				if version == "v2" && route == "draw" {
					return 1
				}
				return 0
			}
			x.run(moveDuration)
		}, PhaseRolledBack, "route draw", 500},
		{"common outages do not roll back a good version", func(x *simulation) {
			x.failureRate = failWith("", 0.7, func(x *simulation) bool { return x.elapsed()%(3*time.Minute) > 170*time.Second })
			x.run(moveDuration)
		}, PhaseDone, "soak", ShareDenominator},
		{"common outage in the soak time does not roll back a good version", func(x *simulation) {
			x.failureRate = failWith("", 1, func(x *simulation) bool {
				return x.elapsed() > 7*time.Minute && x.elapsed() < 7*time.Minute+20*time.Second
			})
			x.run(moveDuration)
		}, PhaseDone, "soak", ShareDenominator},
		{"good version of a service with few calls finishes", func(x *simulation) {
			x.rates = map[string]float64{"check": 0.4, "draw": 0.02}
			x.run(moveDuration)
		}, PhaseDone, "soak", ShareDenominator},
		{"too few calls by the finishing time cause a rollback", func(x *simulation) {
			x.rates = map[string]float64{"check": 0.04}
			x.run(moveDuration + time.Minute)
		}, PhaseRolledBack, "only", 5000},
		{"step without calls stalls", func(x *simulation) {
			x.rates = nil
			x.run(moveDuration - time.Second)
		}, PhaseRunning, "no calls", 100},
		{"finishing time in the past does not skip steps", func(x *simulation) {
			x.changeDesired(func(w *DesiredMove) { w.FinishBy = epoch.Add(-time.Hour) })
			x.run(30 * time.Second)
			assert.Assert(x.t, x.state().Share < ShareDenominator)
			x.run(2 * time.Minute)
		}, PhaseDone, "soak", ShareDenominator},
		{"share is limited by the new version's slots", func(x *simulation) {
			x.step(Event{Capacity: &Capacity{OldSlots: 12, NewSlots: 4, Reporters: x.capacity.Reporters}})
			x.run(moveDuration)
		}, PhaseRunning, "slots", 3300},
		{"fewer but sufficient slots do not stall the move", func(x *simulation) {
			x.step(Event{Capacity: &Capacity{OldSlots: 12, NewSlots: 4, Reporters: x.capacity.Reporters}})
			x.callMillis = 50
			x.run(moveDuration)
		}, PhaseDone, "soak", ShareDenominator},
		{"share is limited by the measured load", func(x *simulation) {
			x.step(Event{Capacity: &Capacity{OldSlots: 12, NewSlots: 4, Reporters: x.capacity.Reporters}})
			x.callMillis = 90
			x.run(moveDuration)
		}, PhaseRunning, "slots", 7500},
		{"step stalls while half of the nodes do not report", func(x *simulation) {
			x.run(2 * time.Minute)
			x.step(Event{Capacity: &Capacity{OldSlots: 12, NewSlots: 12, Reporters: []string{"old", "new", "a", "b"}}})
			x.run(moveDuration)
		}, PhaseRunning, "do not report", 500},
		{"share drops when targets of the new version leave", func(x *simulation) {
			x.run(moveDuration / 2)
			x.step(Event{Capacity: &Capacity{OldSlots: 12, NewSlots: 1, Reporters: x.capacity.Reporters}})
			x.run(time.Second)
			assert.Assert(x.t, x.state().Share <= 800, "share %d", x.state().Share)
		}, PhaseRunning, "slots", 5000},
		{"paused move keeps its step", func(x *simulation) {
			x.run(time.Minute)
			x.changeDesired(func(w *DesiredMove) { w.Paused = true })
			x.run(moveDuration)
		}, PhaseRunning, "paused", 500},
		{"paused move of a failing version is rolled back", func(x *simulation) {
			x.failureRate = failWith("v2", 1, func(x *simulation) bool { return x.desired.Paused })
			x.run(time.Minute)
			x.changeDesired(func(w *DesiredMove) { w.Paused = true })
			x.run(time.Minute)
		}, PhaseRolledBack, "bad", 500},
		{"resumed move finishes", func(x *simulation) {
			x.changeDesired(func(w *DesiredMove) { w.Paused = true })
			x.run(time.Minute)
			x.changeDesired(func(w *DesiredMove) { w.Paused = false })
			x.run(moveDuration)
		}, PhaseDone, "soak", ShareDenominator},
		{"canceled move is rolled back for good", func(x *simulation) {
			x.run(moveDuration / 2)
			x.changeDesired(func(w *DesiredMove) { w.Canceled = true })
			x.run(time.Second)
			x.changeDesired(func(w *DesiredMove) { w.Canceled = false })
			x.run(moveDuration)
		}, PhaseRolledBack, "canceled", 5000},
		{"cancel after the end rolls back", func(x *simulation) {
			x.run(moveDuration)
			x.changeDesired(func(w *DesiredMove) { w.Canceled = true })
			x.run(time.Second)
		}, PhaseRolledBack, "canceled", ShareDenominator},
		{"new version that becomes the configured one is not rolled back", func(x *simulation) {
			x.run(moveDuration / 2)
			x.step(Event{Desired: &DesiredMove{From: "v2"}})
			assert.Equal(x.t, x.d.states["v2"].Phase, PhaseRunning)
			x.changeDesired(func(*DesiredMove) {})
		}, PhaseRunning, "", 5000},
		{"move removed from the configuration is rolled back", func(x *simulation) {
			x.run(moveDuration / 2)
			x.step(Event{Desired: &DesiredMove{From: "v1"}})
			x.changeDesired(func(*DesiredMove) {})
		}, PhaseRolledBack, "no move", 5000},
		{"stalled step is not published repeatedly", func(x *simulation) {
			x.rates = map[string]float64{"check": 40}
			x.failureRate = failWith("v2", 0.02, nil)
			x.run(moveDuration / 2)
			published := len(lo.Filter(x.effects, func(e Effect, _ int) bool { return e.Publish != nil }))
			assert.Assert(x.t, published < 30, "%d states published", published)
			x.failureRate = failWith("v2", 1, nil)
			x.run(time.Minute)
		}, PhaseRolledBack, "bad", 5000},
		{"changed old version discards the evidence", func(x *simulation) {
			x.run(moveDuration / 2)
			x.changeDesired(func(w *DesiredMove) { w.From = "v0" })
			x.run(time.Second)
			assert.Equal(x.t, x.state().Share, 100)
			assert.Equal(x.t, x.newCalls(), uint64(0))
		}, PhaseRunning, "ready", 5000},
		{"changed definition of success discards the evidence", func(x *simulation) {
			x.run(moveDuration / 2)
			x.changeDesired(func(w *DesiredMove) { w.CriteriaHash++ })
			assert.Equal(x.t, x.newCalls(), uint64(0))
			x.run(moveDuration / 2)
		}, PhaseDone, "soak", ShareDenominator},
		{"earlier finishing time shortens the move", func(x *simulation) {
			x.run(time.Minute)
			x.changeDesired(func(w *DesiredMove) { w.FinishBy = epoch.Add(3 * time.Minute) })
			x.run(2 * time.Minute)
		}, PhaseDone, "soak", ShareDenominator},
		{"crashes among few failures cause a rollback", func(x *simulation) {
			x.deliver = func(x *simulation, reports []EvidenceReport) {
				if x.elapsed()%(20*time.Second) == 0 {
					reports[1].Samples = append(reports[1].Samples, Sample{
						PeriodIndex: reports[1].LastClosedPeriod, Route: "pay", Version: "v2", Counts: Counts{CrashedCalls: 3, CrashPeriods: 1},
					})
				}
				x.receive(reports...)
			}
			x.run(moveDuration)
		}, PhaseRolledBack, "crashes", 500},
		{"two crashes by one request do not roll back a good version", func(x *simulation) {
			x.deliver = func(x *simulation, reports []EvidenceReport) {
				if x.elapsed() == time.Minute {
					crash := Sample{PeriodIndex: reports[1].LastClosedPeriod, Route: "pay", Version: "v2", Counts: Counts{CrashedCalls: 18, CrashPeriods: 1}}
					reports[1].Samples = append(reports[1].Samples, crash)
					reports = append(reports, EvidenceReport{Reporter: "new2", LastClosedPeriod: crash.PeriodIndex, Samples: []Sample{crash}})
				}
				x.receive(reports...)
			}
			x.run(moveDuration)
		}, PhaseDone, "soak", ShareDenominator},
	} {
		t.Run(test.name, func(t *testing.T) {
			x := newSimulation(t)
			test.setup(x)
			s := x.state()
			assert.Equal(t, s.Phase, test.phase, "%+v", s)
			assert.Assert(t, strings.Contains(s.Reason, test.reason), s.Reason)
			assert.Assert(t, x.maxShare <= test.maxShare, "highest share %d", x.maxShare)
		})
	}
}

// Reports that are duplicated, delayed, reordered or extended must count the same
// calls as reports in order.
func TestEvidenceIgnoresDuplicateAndLateReports(t *testing.T) {
	var delayed []EvidenceReport
	random := rand.New(rand.NewPCG(1, 2))
	for name, deliver := range map[string]func(x *simulation, reports []EvidenceReport){
		"in order":   nil,
		"duplicated": func(x *simulation, reports []EvidenceReport) { x.receive(reports...); x.receive(reports...) },
		"late and reordered": func(x *simulation, reports []EvidenceReport) {
			delayed = append(delayed, reports...)
			if len(delayed) >= 16 {
				random.Shuffle(len(delayed), func(i, j int) { delayed[i], delayed[j] = delayed[j], delayed[i] })
				x.receive(delayed...)
				delayed = nil
			}
		},
		"extended when sent again": func(x *simulation, reports []EvidenceReport) {
			partial := reports[0]
			partial.Samples = append([]Sample{}, partial.Samples...)
			for i := range partial.Samples {
				partial.Samples[i].Counts.Good /= 2
			}
			x.receive(partial, reports[0], reports[1], partial)
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := newSimulation(t)
			x.rates = map[string]float64{"check": 100}
			x.changeDesired(func(w *DesiredMove) { w.Paused = true })
			x.deliver = deliver
			x.run(64 * time.Second)
			x.deliver = nil
			x.run(4 * time.Second)
			// The last of 68 periods is not yet included, as its successor is not closed.
			assert.Equal(t, x.d.current.pool.evidence.Old.Calls(), uint64(6700))
		})
	}
}

// Evidence from before a pause of the process, or from reporters whose clocks are
// far ahead or behind, must neither end a step nor cause a rollback.
func TestStaleEvidenceDoesNotAdvanceStep(t *testing.T) {
	x := newSimulation(t).run(time.Minute)
	previous := x.state()
	x.now = x.now.Add(moveDuration / 2)
	x.step(Event{Tick: true})
	assert.Equal(t, x.state().Step, previous.Step)
	ahead := periodOf(x.now) + 1000
	x.receive(EvidenceReport{Reporter: "new", LastClosedPeriod: ahead, Samples: []Sample{{PeriodIndex: ahead, Version: "v2", Counts: Counts{Failed: 500}}}})
	x.receive(EvidenceReport{Reporter: "old", LastClosedPeriod: periodOf(x.now), Samples: []Sample{
		{PeriodIndex: periodOf(x.now) - retainedPeriods - 1, Version: "v2", Counts: Counts{Failed: 500}},
	}})
	assert.Equal(t, len(x.d.evidenceStore.periods[ahead]), 0)
	x.run(time.Second)
	assert.Equal(t, x.state().Phase, PhaseRunning)
}

// A new decider must resume the move with the evidence of its predecessor, and must
// not start a move again that was rolled back.
func TestNewDeciderResumesMove(t *testing.T) {
	first := newSimulation(t).run(moveDuration / 2)
	for _, test := range []struct {
		name            string
		state           State
		restored        []State
		fence, takeover uint64
		phase           Phase
	}{
		{"without a lease", first.state(), nil, 0, 1, PhaseDone},
		{"with a new lease", first.state(), nil, 7, 0, PhaseDone},
		{"rolled back before all nodes were replaced", State{}, []State{{
			Service: "stock", From: "v1", To: "v2", Phase: PhaseRolledBack, Reason: "crashes", FencingToken: 3,
		}}, 9, 0, PhaseRolledBack},
	} {
		t.Run(test.name, func(t *testing.T) {
			x := newSimulation(t)
			x.now, x.fractions = first.now, map[string]float64{}
			x.d = NewDecider("n2", "stock")
			x.step(Event{Desired: &x.desired})
			if test.state.Service != "" {
				x.step(Event{UpdatedState: &test.state})
			}
			x.step(Event{Capacity: &x.capacity})
			x.step(Event{Role: &Role{IsDecider: true, FencingToken: test.fence}})
			x.step(Event{Restored: &RestoreResult{Answered: true, States: test.restored}})
			assert.Equal(t, x.newCalls(), pooledNewCalls(test.state))
			x.run(time.Second)
			assert.Equal(t, x.state().Step, test.state.Step)
			x.run(moveDuration / 2)
			assert.Equal(t, x.state().Phase, test.phase, x.state().Reason)
			if test.phase == PhaseDone {
				assert.Equal(t, x.state().TakeoverCount, test.takeover)
				assert.Assert(t, CompareStates(x.state(), test.state) > 0)
			}
		})
	}
}

func pooledNewCalls(s State) uint64 {
	if len(s.Evidence) == 0 {
		return 0
	}
	return s.Evidence[0].New.Calls()
}

// A decider that returns after a pause or a network partition must not override
// its successor, and both must converge on the same state.
func TestPausedDeciderDoesNotOverrideSuccessor(t *testing.T) {
	a := newSimulation(t).run(moveDuration / 2)
	b := newSimulation(t)
	b.d, b.now = NewDecider("n2", "stock"), a.now
	old := a.state()
	b.step(Event{Desired: &b.desired})
	b.step(Event{UpdatedState: &old})
	b.becomeDecider(0)
	b.failureRate = failWith("v2", 1, nil)
	b.run(20 * time.Second)
	a.run(20 * time.Second)
	assert.Equal(t, b.state().Phase, PhaseRolledBack, b.state().Reason)
	assert.Equal(t, a.state().Phase, PhaseRunning)
	fromA, fromB := a.state(), b.state()
	a.step(Event{UpdatedState: &fromB})
	b.step(Event{UpdatedState: &fromA})
	a.run(moveDuration)
	b.run(moveDuration)
	assert.Equal(t, a.state().Phase, PhaseRolledBack)
	assert.DeepEqual(t, a.state(), b.state())
}

// When the configured move changes to another target version, the running move must
// be rolled back and the new one must start at the first step.
func TestNewTargetVersionRollsBackRunningMove(t *testing.T) {
	x := newSimulation(t).run(moveDuration / 2)
	x.changeDesired(func(w *DesiredMove) { w.To, w.FinishBy = "v3", x.now.Add(moveDuration) })
	assert.Equal(t, x.d.states["v2"].Phase, PhaseRolledBack)
	assert.Equal(t, x.d.states["v2"].Reason, "replaced by version v3")
	x.run(time.Second)
	assert.Equal(t, x.state().To, "v3")
	assert.Equal(t, x.state().Share, StepShares[0])
	x.run(moveDuration)
	assert.Equal(t, x.state().Phase, PhaseDone, x.state().Reason)
}

// Concurrent moves of two services must not share evidence or results.
func TestConcurrentMovesAreIndependent(t *testing.T) {
	g, now := NewDeciderSet("n1"), epoch
	for _, service := range []string{"stock", "draw"} {
		g.Step(now, Event{Service: service, Desired: &DesiredMove{From: "v1", To: "v2", FinishBy: epoch.Add(moveDuration)}})
		g.Step(now, Event{Service: service, Capacity: &Capacity{OldSlots: 6, NewSlots: 6, Reporters: []string{"n1"}}})
		g.Step(now, Event{Service: service, Role: &Role{IsDecider: true, FencingToken: 1}})
		g.Step(now, Event{Service: service, Restored: &RestoreResult{Answered: true}})
	}
	for range int(moveDuration / EvidencePeriod) {
		period := periodOf(now)
		now = now.Add(EvidencePeriod)
		for service, counts := range map[string]Counts{"stock": {Good: 20}, "draw": {Failed: 20}} {
			g.Step(now, Event{Service: service, Report: &EvidenceReport{Reporter: "n1", LastClosedPeriod: period, Samples: []Sample{
				{PeriodIndex: period, Route: "r", Version: "v1", Counts: Counts{Good: 20}},
				{PeriodIndex: period, Route: "r", Version: "v2", Counts: counts},
			}}})
		}
		g.Step(now, Event{Tick: true})
	}
	assert.Equal(t, g.deciders["stock"].state.Phase, PhaseDone)
	assert.Equal(t, g.deciders["draw"].state.Phase, PhaseRolledBack)
}

// Random failures on many routes must not roll back a good version.
func TestRandomFailuresDoNotRollBack(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 3))
		x := newSimulation(t)
		for i := range 8 {
			x.rates[fmt.Sprintf("r%d", i)] = 0.5
		}
		x.failureRate = func(*simulation, string, string) float64 { return random.ExpFloat64() * 0.02 }
		x.run(moveDuration)
		assert.Assert(t, x.state().Phase != PhaseRolledBack, "seed %d: %s", seed, x.state().Reason)
	}
}

// The state machine must depend on its events only: a recorded log must replay to
// the same effects and state.
func TestDeciderSetReplayIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []reducer.RecordedEvent[Event]
		now := epoch
		for i := range rapid.IntRange(1, 150).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			period := periodOf(now) - rapid.Int64Range(1, 5).Draw(t, "late")
			sample := func(version string) Sample {
				return Sample{PeriodIndex: period, Route: fmt.Sprint("r", i%3), Version: version, Counts: Counts{
					Good: rapid.Uint64Range(0, 30).Draw(t, "good"), Failed: rapid.Uint64Range(0, 3).Draw(t, "failed"),
				}}
			}
			event := rapid.SampledFrom([]Event{
				{Tick: true},
				{Tick: true},
				{Desired: &DesiredMove{From: "v1", To: "v2", FinishBy: epoch.Add(moveDuration), Paused: i%7 == 0}},
				{Capacity: &Capacity{OldSlots: 6, NewSlots: 1 + i%6, Reporters: []string{"old"}}},
				{Role: &Role{IsDecider: i%9 != 0, FencingToken: uint64(i % 2)}},
				{Restored: &RestoreResult{Answered: true}},
				{Report: &EvidenceReport{Reporter: "old", LastClosedPeriod: period, Samples: []Sample{sample("v1"), sample("v2")}}},
				{UpdatedState: &State{Service: "stock", From: "v1", To: "v2", Phase: PhaseRunning, TakeoverCount: uint64(i), Share: 500, Step: 1}},
			}).Draw(t, "event")
			event.Service = "stock"
			log = append(log, reducer.RecordedEvent[Event]{Time: now, Event: event})
		}
		first, second := NewDeciderSet("n1"), NewDeciderSet("n1")
		if !reflect.DeepEqual(reducer.Replay(first, log), reducer.Replay(second, log)) || !reflect.DeepEqual(first, second) {
			t.Fatal("two replays of the same log differ in effects or state")
		}
	})
}

// BenchmarkDeciderSecond measures the work of one second for one service's move
// with 12 reporters and 12 routes.
func BenchmarkDeciderSecond(b *testing.B) {
	d, now := NewDecider("n1", "stock"), epoch
	var reporters []string
	for i := range 12 {
		reporters = append(reporters, fmt.Sprint("n", i))
	}
	for _, event := range []Event{
		{Desired: &DesiredMove{From: "v1", To: "v2", FinishBy: epoch.Add(1 << 62)}},
		{Capacity: &Capacity{OldSlots: 6, NewSlots: 6, Reporters: reporters}},
		{Role: &Role{IsDecider: true}},
		{Restored: &RestoreResult{Answered: true}},
	} {
		d.Step(now, event)
	}
	b.ReportAllocs()
	for b.Loop() {
		period := periodOf(now)
		now = now.Add(EvidencePeriod)
		for i, reporter := range reporters {
			report := EvidenceReport{Reporter: reporter, LastClosedPeriod: period}
			for route := range 12 {
				report.Samples = append(report.Samples, Sample{
					PeriodIndex: period, Route: fmt.Sprint("r", route), Version: []string{"v1", "v2"}[i%2], Counts: Counts{Good: 20},
				})
			}
			d.Step(now, Event{Report: &report})
		}
		d.Step(now, Event{Tick: true})
	}
}
