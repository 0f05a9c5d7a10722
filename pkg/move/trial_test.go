package move

import (
	"testing"
	"time"
)

// trial drives one decider in virtual time. Every second each route gets its
// calls, divided by the share of the state; bad says which of them fail.
type trial struct {
	t       *testing.T
	now     time.Time
	d       *Decider
	wanted  DesiredMove
	slots   Capacity
	rates   map[string]float64
	carry   map[string]float64
	bad     func(x *trial, version, route string) float64
	deliver func(x *trial, reports []EvidenceReport)
	effects []Effect
	peak    int
	// busy is the time that each call takes at its target in milliseconds.
	busy uint64
}

const span = 10 * time.Minute

func newTrial(t *testing.T) *trial {
	x := &trial{
		t: t, now: epoch, d: NewDecider("n1", "stock"), carry: map[string]float64{},
		wanted: DesiredMove{From: "v1", To: "v2", FinishBy: epoch.Add(span)},
		slots:  Capacity{OldSlots: 12, NewSlots: 12, Reporters: []string{"old", "new"}},
		rates:  map[string]float64{"check": 40, "draw": 5},
	}
	x.begin(1)
	return x
}

// begin hands the role to the decider, with an answer of the platform.
func (x *trial) begin(fence uint64) {
	x.step(Event{Desired: &x.wanted})
	x.step(Event{Capacity: &x.slots})
	x.step(Event{Role: &Role{IsDecider: true, FencingToken: fence}})
	x.step(Event{Restored: &RestoreResult{Answered: true}})
}

func (x *trial) step(event Event) {
	event.Service = "stock"
	x.effects = append(x.effects, x.d.Step(x.now, event)...)
}

func (x *trial) want(change func(w *DesiredMove)) {
	change(&x.wanted)
	w := x.wanted
	x.step(Event{Desired: &w})
}

func (x *trial) state() State { s, _ := x.d.State(); return s }

func (x *trial) since() time.Duration { return x.now.Sub(epoch) }

// draw rounds a rate so that the sum over time is exact.
func (x *trial) draw(key string, rate float64) uint64 {
	x.carry[key] += rate
	n := uint64(x.carry[key])
	x.carry[key] -= float64(n)
	return n
}

func (x *trial) run(length time.Duration) *trial {
	for end := x.now.Add(length); x.now.Before(end); {
		period := periodOf(x.now)
		reports := []EvidenceReport{
			{Service: "stock", Reporter: "old", Incarnation: 1, LastClosedPeriod: period},
			{Service: "stock", Reporter: "new", Incarnation: 1, LastClosedPeriod: period},
		}
		share := float64(x.state().Share) / ShareDenominator
		for route, rate := range x.rates {
			for i, part := range []float64{1 - share, share} {
				version, odds := []string{"v1", x.wanted.To}[i], 0.0
				if x.bad != nil {
					odds = x.bad(x, version, route)
				}
				counts := Counts{
					Good:   x.draw(route+version+"good", rate*part*(1-odds)),
					Failed: x.draw(route+version+"bad", rate*part*odds),
				}
				if counts.BusyMillis = x.busy * counts.Calls(); counts != (Counts{}) {
					line := Sample{PeriodIndex: period, Route: route, Department: "sales", Version: version, Counts: counts}
					reports[i].Samples = append(reports[i].Samples, line)
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
		x.peak = max(x.peak, x.state().Share)
	}
	return x
}

func (x *trial) receive(reports ...EvidenceReport) {
	for i := range reports {
		x.step(Event{Report: &reports[i]})
	}
}

// newCalls is the number of calls that the new version got.
func (x *trial) newCalls() uint64 { return x.d.cur.pool.evidence.New.Calls() }

func fails(version string, odds float64, when func(x *trial) bool) func(*trial, string, string) float64 {
	return func(x *trial, v, _ string) float64 {
		if (version == "" || v == version) && (when == nil || when(x)) {
			return odds
		}
		return 0
	}
}
