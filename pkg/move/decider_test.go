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

func TestDeciderCarriesOutMoves(t *testing.T) {
	for _, test := range []struct {
		guards string
		setup  func(x *trial)
		phase  Phase
		reason string
		// peak bounds the highest share.
		peak int
	}{
		{"a good version that is not done in time", func(x *trial) { x.run(span) }, PhaseDone, "soak", ShareDenominator},
		{"a bad version that gets more than the first share", func(x *trial) {
			x.bad = fails("v2", 1, nil)
			x.run(span)
		}, PhaseRolledBack, "bad", 100},
		{"a version that is bad only later", func(x *trial) {
			x.bad = fails("v2", 0.3, func(x *trial) bool { return x.since() > span/2 })
			x.run(span)
		}, PhaseRolledBack, "bad", 5000},
		{"a version that is bad only while it takes all calls", func(x *trial) {
			x.bad = fails("v2", 0.3, func(x *trial) bool { return x.state().Share == ShareDenominator })
			x.run(span)
			assert.Equal(x.t, x.state().RecheckCount, 1)
		}, PhaseRolledBack, "bad", ShareDenominator},
		{"a version that is bad on one quiet route", func(x *trial) {
			x.bad = func(_ *trial, version, route string) float64 {
				if version == "v2" && route == "draw" {
					return 1
				}
				return 0
			}
			x.run(span)
		}, PhaseRolledBack, "route draw", 500},
		{"a common outage that takes a good version back", func(x *trial) {
			x.bad = fails("", 0.7, func(x *trial) bool { return x.since()%(3*time.Minute) > 170*time.Second })
			x.run(span)
		}, PhaseDone, "soak", ShareDenominator},
		{"a common outage in the soak that takes a good version back", func(x *trial) {
			x.bad = fails("", 1, func(x *trial) bool { return x.since() > 7*time.Minute && x.since() < 7*time.Minute+20*time.Second })
			x.run(span)
		}, PhaseDone, "soak", ShareDenominator},
		{"a quiet service that never finishes", func(x *trial) {
			x.rates = map[string]float64{"check": 0.4, "draw": 0.02}
			x.run(span)
		}, PhaseDone, "soak", ShareDenominator},
		{"a version that is done on hardly any calls", func(x *trial) {
			x.rates = map[string]float64{"check": 0.04}
			x.run(span + time.Minute)
		}, PhaseRolledBack, "only", 5000},
		{"a step without any call", func(x *trial) {
			x.rates = nil
			x.run(span - time.Second)
		}, PhaseRunning, "no calls", 100},
		{"a finishing time in the past that skips the steps", func(x *trial) {
			x.want(func(w *DesiredMove) { w.FinishBy = epoch.Add(-time.Hour) })
			x.run(30 * time.Second)
			assert.Assert(x.t, x.state().Share < ShareDenominator)
			x.run(2 * time.Minute)
		}, PhaseDone, "soak", ShareDenominator},
		{"more calls than the new version has slots for", func(x *trial) {
			x.step(Event{Capacity: &Capacity{OldSlots: 12, NewSlots: 4, Reporters: x.slots.Reporters}})
			x.run(span)
		}, PhaseRunning, "slots", 3300},
		{"fewer but sufficient slots that hold a move", func(x *trial) {
			x.step(Event{Capacity: &Capacity{OldSlots: 12, NewSlots: 4, Reporters: x.slots.Reporters}})
			x.busy = 50
			x.run(span)
		}, PhaseDone, "soak", ShareDenominator},
		{"a load that is too much for the new version's slots", func(x *trial) {
			x.step(Event{Capacity: &Capacity{OldSlots: 12, NewSlots: 4, Reporters: x.slots.Reporters}})
			x.busy = 90
			x.run(span)
		}, PhaseRunning, "slots", 7500},
		{"a step in a partition that hides most nodes", func(x *trial) {
			x.run(2 * time.Minute)
			x.step(Event{Capacity: &Capacity{OldSlots: 12, NewSlots: 12, Reporters: []string{"old", "new", "a", "b"}}})
			x.run(span)
		}, PhaseRunning, "do not report", 500},
		{"a share that stays when targets of the new version leave", func(x *trial) {
			x.run(span / 2)
			x.step(Event{Capacity: &Capacity{OldSlots: 12, NewSlots: 1, Reporters: x.slots.Reporters}})
			x.run(time.Second)
			assert.Assert(x.t, x.state().Share <= 800, "share %d", x.state().Share)
		}, PhaseRunning, "slots", 5000},
		{"a paused move that goes on", func(x *trial) {
			x.run(time.Minute)
			x.want(func(w *DesiredMove) { w.Paused = true })
			x.run(span)
		}, PhaseRunning, "paused", 500},
		{"a paused move whose badness is overlooked", func(x *trial) {
			x.bad = fails("v2", 1, func(x *trial) bool { return x.wanted.Paused })
			x.run(time.Minute)
			x.want(func(w *DesiredMove) { w.Paused = true })
			x.run(time.Minute)
		}, PhaseRolledBack, "bad", 500},
		{"a resumed move that stays held", func(x *trial) {
			x.want(func(w *DesiredMove) { w.Paused = true })
			x.run(time.Minute)
			x.want(func(w *DesiredMove) { w.Paused = false })
			x.run(span)
		}, PhaseDone, "soak", ShareDenominator},
		{"a canceled move that keeps traffic, and a resume that revives it", func(x *trial) {
			x.run(span / 2)
			x.want(func(w *DesiredMove) { w.Canceled = true })
			x.run(time.Second)
			x.want(func(w *DesiredMove) { w.Canceled = false })
			x.run(span)
		}, PhaseRolledBack, "canceled", 5000},
		{"a cancel after the end that leaves the state done", func(x *trial) {
			x.run(span)
			x.want(func(w *DesiredMove) { w.Canceled = true })
			x.run(time.Second)
		}, PhaseRolledBack, "canceled", ShareDenominator},
		{"a version that becomes the only one and is taken back", func(x *trial) {
			x.run(span / 2)
			x.step(Event{Desired: &DesiredMove{From: "v2"}})
			assert.Equal(x.t, x.d.states["v2"].Phase, PhaseRunning)
			x.want(func(*DesiredMove) {})
		}, PhaseRunning, "", 5000},
		{"a move that outlives its removal from the configuration", func(x *trial) {
			x.run(span / 2)
			x.step(Event{Desired: &DesiredMove{From: "v1"}})
			x.want(func(*DesiredMove) {})
		}, PhaseRolledBack, "no move", 5000},
		{"a held step that is published over and over", func(x *trial) {
			x.rates = map[string]float64{"check": 40}
			x.bad = fails("v2", 0.02, nil)
			x.run(span / 2)
			published := len(lo.Filter(x.effects, func(e Effect, _ int) bool { return e.Publish != nil }))
			assert.Assert(x.t, published < 30, "%d states published", published)
			x.bad = fails("v2", 1, nil)
			x.run(time.Minute)
		}, PhaseRolledBack, "bad", 5000},
		{"a changed old version that is compared with evidence of the former one", func(x *trial) {
			x.run(span / 2)
			x.want(func(w *DesiredMove) { w.From = "v0" })
			x.run(time.Second)
			assert.Equal(x.t, x.state().Share, 100)
			assert.Equal(x.t, x.newCalls(), uint64(0))
		}, PhaseRunning, "ready", 5000},
		{"evidence by a former definition of success", func(x *trial) {
			x.run(span / 2)
			x.want(func(w *DesiredMove) { w.CriteriaHash++ })
			assert.Equal(x.t, x.newCalls(), uint64(0))
			x.run(span / 2)
		}, PhaseDone, "soak", ShareDenominator},
		{"an earlier finishing time that is not heeded", func(x *trial) {
			x.run(time.Minute)
			x.want(func(w *DesiredMove) { w.FinishBy = epoch.Add(3 * time.Minute) })
			x.run(2 * time.Minute)
		}, PhaseDone, "soak", ShareDenominator},
		{"crashes that hide among few failures", func(x *trial) {
			x.deliver = func(x *trial, reports []EvidenceReport) {
				if x.since()%(20*time.Second) == 0 {
					reports[1].Samples = append(reports[1].Samples, Sample{
						PeriodIndex: reports[1].LastClosedPeriod, Route: "pay", Version: "v2", Counts: Counts{CrashedCalls: 3, CrashPeriods: 1},
					})
				}
				x.receive(reports...)
			}
			x.run(span)
		}, PhaseRolledBack, "crashes", 500},
		{"a request that crashes two targets and takes a good version back", func(x *trial) {
			x.deliver = func(x *trial, reports []EvidenceReport) {
				if x.since() == time.Minute {
					crash := Sample{PeriodIndex: reports[1].LastClosedPeriod, Route: "pay", Version: "v2", Counts: Counts{CrashedCalls: 18, CrashPeriods: 1}}
					reports[1].Samples = append(reports[1].Samples, crash)
					reports = append(reports, EvidenceReport{Reporter: "new2", LastClosedPeriod: crash.PeriodIndex, Samples: []Sample{crash}})
				}
				x.receive(reports...)
			}
			x.run(span)
		}, PhaseDone, "soak", ShareDenominator},
	} {
		t.Run(test.guards, func(t *testing.T) {
			x := newTrial(t)
			test.setup(x)
			s := x.state()
			assert.Equal(t, s.Phase, test.phase, "%+v", s)
			assert.Assert(t, strings.Contains(s.Reason, test.reason), s.Reason)
			assert.Assert(t, x.peak <= test.peak, "peak %d", x.peak)
		})
	}
}

// Guards against counts that depend on how often, how late and in which order
// reports arrive.
func TestEvidenceCountsOnce(t *testing.T) {
	var kept []EvidenceReport
	random := rand.New(rand.NewPCG(1, 2))
	for name, deliver := range map[string]func(x *trial, reports []EvidenceReport){
		"in order": nil,
		"doubled":  func(x *trial, reports []EvidenceReport) { x.receive(reports...); x.receive(reports...) },
		"late and crossed": func(x *trial, reports []EvidenceReport) {
			kept = append(kept, reports...)
			if len(kept) >= 16 {
				random.Shuffle(len(kept), func(i, j int) { kept[i], kept[j] = kept[j], kept[i] })
				x.receive(kept...)
				kept = nil
			}
		},
		"grown on resending": func(x *trial, reports []EvidenceReport) {
			lesser := reports[0]
			lesser.Samples = append([]Sample{}, lesser.Samples...)
			for i := range lesser.Samples {
				lesser.Samples[i].Counts.Good /= 2
			}
			x.receive(lesser, reports[0], reports[1], lesser)
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := newTrial(t)
			x.rates = map[string]float64{"check": 100}
			x.want(func(w *DesiredMove) { w.Paused = true })
			x.deliver = deliver
			x.run(64 * time.Second)
			x.deliver = nil
			x.run(4 * time.Second)
			// The last period waits for the one after it.
			assert.Equal(t, x.d.cur.pool.evidence.Old.Calls(), uint64(6700))
		})
	}
}

// Guards against evidence from before a pause of the process, and from clocks
// that are wrong, which must not carry a step.
func TestStaleEvidenceHolds(t *testing.T) {
	x := newTrial(t).run(time.Minute)
	before := x.state()
	x.now = x.now.Add(span / 2)
	x.step(Event{Tick: true})
	assert.Equal(t, x.state().Step, before.Step)
	ahead := periodOf(x.now) + 1000
	x.receive(EvidenceReport{Reporter: "new", LastClosedPeriod: ahead, Samples: []Sample{{PeriodIndex: ahead, Version: "v2", Counts: Counts{Failed: 500}}}})
	x.receive(EvidenceReport{Reporter: "old", LastClosedPeriod: periodOf(x.now), Samples: []Sample{
		{PeriodIndex: periodOf(x.now) - ringPeriods - 1, Version: "v2", Counts: Counts{Failed: 500}},
	}})
	assert.Equal(t, len(x.d.ledger.periods[ahead]), 0)
	x.run(time.Second)
	assert.Equal(t, x.state().Phase, PhaseRunning)
}

// Guards against a next decider that begins anew, loses what is known, or
// revives a version that was taken back.
func TestNextDeciderContinues(t *testing.T) {
	first := newTrial(t).run(span / 2)
	for _, test := range []struct {
		guards          string
		state           State
		restored        []State
		fence, takeover uint64
		phase           Phase
	}{
		{"a takeover without the platform", first.state(), nil, 0, 1, PhaseDone},
		{"a takeover with a new lease", first.state(), nil, 7, 0, PhaseDone},
		{"a version revived after all nodes were replaced", State{}, []State{{
			Service: "stock", From: "v1", To: "v2", Phase: PhaseRolledBack, Reason: "crashes", FencingToken: 3,
		}}, 9, 0, PhaseRolledBack},
	} {
		t.Run(test.guards, func(t *testing.T) {
			x := newTrial(t)
			x.now, x.carry = first.now, map[string]float64{}
			x.d = NewDecider("n2", "stock")
			x.step(Event{Desired: &x.wanted})
			if test.state.Service != "" {
				x.step(Event{UpdatedState: &test.state})
			}
			x.step(Event{Capacity: &x.slots})
			x.step(Event{Role: &Role{IsDecider: true, FencingToken: test.fence}})
			x.step(Event{Restored: &RestoreResult{Answered: true, States: test.restored}})
			assert.Equal(t, x.newCalls(), pooledNew(test.state))
			x.run(time.Second)
			assert.Equal(t, x.state().Step, test.state.Step)
			x.run(span / 2)
			assert.Equal(t, x.state().Phase, test.phase, x.state().Reason)
			if test.phase == PhaseDone {
				assert.Equal(t, x.state().TakeoverCount, test.takeover)
				assert.Assert(t, CompareStates(x.state(), test.state) > 0)
			}
		})
	}
}

func pooledNew(s State) uint64 {
	if len(s.Evidence) == 0 {
		return 0
	}
	return s.Evidence[0].New.Calls()
}

// Guards against a decider that was paused, or cut off, and overrides its
// successor when it returns, and against two deciders that never agree.
func TestDecidersRace(t *testing.T) {
	a := newTrial(t).run(span / 2)
	b := newTrial(t)
	b.d, b.now = NewDecider("n2", "stock"), a.now
	old := a.state()
	b.step(Event{Desired: &b.wanted})
	b.step(Event{UpdatedState: &old})
	b.begin(0)
	b.bad = fails("v2", 1, nil)
	b.run(20 * time.Second)
	a.run(20 * time.Second)
	assert.Equal(t, b.state().Phase, PhaseRolledBack, b.state().Reason)
	assert.Equal(t, a.state().Phase, PhaseRunning)
	fromA, fromB := a.state(), b.state()
	a.step(Event{UpdatedState: &fromB})
	b.step(Event{UpdatedState: &fromA})
	a.run(span)
	b.run(span)
	assert.Equal(t, a.state().Phase, PhaseRolledBack)
	assert.DeepEqual(t, a.state(), b.state())
}

// Guards against a version that keeps its traffic when a newer one replaces it.
func TestNewerVersionReplacesMove(t *testing.T) {
	x := newTrial(t).run(span / 2)
	x.want(func(w *DesiredMove) { w.To, w.FinishBy = "v3", x.now.Add(span) })
	assert.Equal(t, x.d.states["v2"].Phase, PhaseRolledBack)
	assert.Equal(t, x.d.states["v2"].Reason, "replaced by version v3")
	x.run(time.Second)
	assert.Equal(t, x.state().To, "v3")
	assert.Equal(t, x.state().Share, StepShares[0])
	x.run(span)
	assert.Equal(t, x.state().Phase, PhaseDone, x.state().Reason)
}

// Guards against moves at the same time that share evidence or a verdict.
func TestMovesAtOnce(t *testing.T) {
	g, now := NewDeciderSet("n1"), epoch
	for _, service := range []string{"stock", "draw"} {
		g.Step(now, Event{Service: service, Desired: &DesiredMove{From: "v1", To: "v2", FinishBy: epoch.Add(span)}})
		g.Step(now, Event{Service: service, Capacity: &Capacity{OldSlots: 6, NewSlots: 6, Reporters: []string{"n1"}}})
		g.Step(now, Event{Service: service, Role: &Role{IsDecider: true, FencingToken: 1}})
		g.Step(now, Event{Service: service, Restored: &RestoreResult{Answered: true}})
	}
	for range int(span / EvidencePeriod) {
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

// Guards against a good version that random failures on many routes take back.
func TestChanceFailuresDoNotTakeBack(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 3))
		x := newTrial(t)
		for i := range 8 {
			x.rates[fmt.Sprintf("r%d", i)] = 0.5
		}
		x.bad = func(*trial, string, string) float64 { return random.ExpFloat64() * 0.02 }
		x.run(span)
		assert.Assert(t, x.state().Phase != PhaseRolledBack, "seed %d: %s", seed, x.state().Reason)
	}
}

// Guards against a reducer that depends on more than its events: a recorded
// log must replay to the same effects and state.
func TestGroupReplays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []reducer.RecordedEvent[Event]
		now := epoch
		for i := range rapid.IntRange(1, 150).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			period := periodOf(now) - rapid.Int64Range(1, 5).Draw(t, "late")
			line := func(version string) Sample {
				return Sample{PeriodIndex: period, Route: fmt.Sprint("r", i%3), Version: version, Counts: Counts{
					Good: rapid.Uint64Range(0, 30).Draw(t, "good"), Failed: rapid.Uint64Range(0, 3).Draw(t, "failed"),
				}}
			}
			event := rapid.SampledFrom([]Event{
				{Tick: true},
				{Tick: true},
				{Desired: &DesiredMove{From: "v1", To: "v2", FinishBy: epoch.Add(span), Paused: i%7 == 0}},
				{Capacity: &Capacity{OldSlots: 6, NewSlots: 1 + i%6, Reporters: []string{"old"}}},
				{Role: &Role{IsDecider: i%9 != 0, FencingToken: uint64(i % 2)}},
				{Restored: &RestoreResult{Answered: true}},
				{Report: &EvidenceReport{Reporter: "old", LastClosedPeriod: period, Samples: []Sample{line("v1"), line("v2")}}},
				{UpdatedState: &State{Service: "stock", From: "v1", To: "v2", Phase: PhaseRunning, TakeoverCount: uint64(i), Share: 500, Step: 1}},
			}).Draw(t, "event")
			event.Service = "stock"
			log = append(log, reducer.RecordedEvent[Event]{Time: now, Event: event})
		}
		first, second := NewDeciderSet("n1"), NewDeciderSet("n1")
		if !reflect.DeepEqual(reducer.Replay(first, log), reducer.Replay(second, log)) || !reflect.DeepEqual(first, second) {
			t.Fatal("a replay differs")
		}
	})
}

// BenchmarkDeciderSecond is the work of one second for one service's move with
// 12 reporters and 12 routes.
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
