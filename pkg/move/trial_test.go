package move

import (
	"testing"
	"time"
)

// simulation drives one decider in virtual time. Each second it generates the calls
// of each route, split by the share of the state; failureRate says how many fail.
type simulation struct {
	t        *testing.T
	now      time.Time
	d        *Decider
	desired  DesiredMove
	capacity Capacity
	// rates are the calls per second by route.
	rates map[string]float64
	// fractions carry the rounding remainders of takeWhole.
	fractions   map[string]float64
	failureRate func(x *simulation, version, route string) float64
	// deliver replaces the delivery of reports in order if it is set.
	deliver  func(x *simulation, reports []EvidenceReport)
	effects  []Effect
	maxShare int
	// callMillis is the service time of each call in milliseconds.
	callMillis uint64
}

const moveDuration = 10 * time.Minute

func newSimulation(t *testing.T) *simulation {
	x := &simulation{
		t: t, now: epoch, d: NewDecider("n1", "stock"), fractions: map[string]float64{},
		desired:  DesiredMove{From: "v1", To: "v2", FinishBy: epoch.Add(moveDuration)},
		capacity: Capacity{OldSlots: 12, NewSlots: 12, Reporters: []string{"old", "new"}},
		rates:    map[string]float64{"check": 40, "draw": 5},
	}
	x.becomeDecider(1)
	return x
}

// becomeDecider gives the decider its role, with no earlier states restored.
func (x *simulation) becomeDecider(fencingToken uint64) {
	x.step(Event{Desired: &x.desired})
	x.step(Event{Capacity: &x.capacity})
	x.step(Event{Role: &Role{IsDecider: true, FencingToken: fencingToken}})
	x.step(Event{Restored: &RestoreResult{Answered: true}})
}

func (x *simulation) step(event Event) {
	event.Service = "stock"
	x.effects = append(x.effects, x.d.Step(x.now, event)...)
}

func (x *simulation) changeDesired(change func(w *DesiredMove)) {
	change(&x.desired)
	desired := x.desired
	x.step(Event{Desired: &desired})
}

func (x *simulation) state() State { s, _ := x.d.State(); return s }

func (x *simulation) elapsed() time.Duration { return x.now.Sub(epoch) }

// takeWhole rounds a rate down and carries the remainder, so that the sum over time
// is exact.
func (x *simulation) takeWhole(key string, rate float64) uint64 {
	x.fractions[key] += rate
	n := uint64(x.fractions[key])
	x.fractions[key] -= float64(n)
	return n
}

func (x *simulation) run(duration time.Duration) *simulation {
	for end := x.now.Add(duration); x.now.Before(end); {
		period := periodOf(x.now)
		reports := []EvidenceReport{
			{Service: "stock", Reporter: "old", Incarnation: 1, LastClosedPeriod: period},
			{Service: "stock", Reporter: "new", Incarnation: 1, LastClosedPeriod: period},
		}
		share := float64(x.state().Share) / ShareDenominator
		for route, rate := range x.rates {
			for i, fraction := range []float64{1 - share, share} {
				version, failureRate := []string{"v1", x.desired.To}[i], 0.0
				if x.failureRate != nil {
					failureRate = x.failureRate(x, version, route)
				}
				counts := Counts{
					Good:   x.takeWhole(route+version+"good", rate*fraction*(1-failureRate)),
					Failed: x.takeWhole(route+version+"bad", rate*fraction*failureRate),
				}
				if counts.BusyMillis = x.callMillis * counts.Calls(); counts != (Counts{}) {
					sample := Sample{PeriodIndex: period, Route: route, Department: "sales", Version: version, Counts: counts}
					reports[i].Samples = append(reports[i].Samples, sample)
				}
			}
		}
		x.now = x.now.Add(EvidencePeriod)
		if x.deliver != nil {
			x.deliver(x, reports)
		} else {
			x.receive(reports...)
		}
		x.step(Event{Tick: true})
		x.maxShare = max(x.maxShare, x.state().Share)
	}
	return x
}

func (x *simulation) receive(reports ...EvidenceReport) {
	for i := range reports {
		x.step(Event{Report: &reports[i]})
	}
}

// newCalls is the number of calls on the new version.
func (x *simulation) newCalls() uint64 { return x.d.current.pool.evidence.New.Calls() }

func failWith(version string, rate float64, when func(x *simulation) bool) func(*simulation, string, string) float64 {
	return func(x *simulation, v, _ string) float64 {
		if (version == "" || v == version) && (when == nil || when(x)) {
			return rate
		}
		return 0
	}
}
