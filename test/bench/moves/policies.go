package main

import (
	"fmt"
	"time"

	"github.com/azurespring/azurespring/pkg/move"
)

// sequential is the decider of pkg/move.
type sequential struct{ decider *move.Decider }

func newSequential(d deployment) policy {
	decider := move.NewDecider("n1", "s")
	var reporters []string
	for version := range 2 {
		for i := range d.endpoints {
			reporters = append(reporters, reporterName(version, i))
		}
	}
	for _, event := range []move.Event{
		{Desired: &move.DesiredMove{From: "v1", To: "v2", FinishBy: begin.Add(d.span)}},
		{Capacity: &move.Capacity{OldSlots: d.endpoints * d.slots, NewSlots: d.endpoints * d.slots, Reporters: reporters}},
		{Role: &move.Role{IsDecider: true, FencingToken: 1}},
		{Restored: &move.RestoreResult{Answered: true}},
	} {
		decider.Step(begin, event)
	}
	return &sequential{decider}
}

func (s *sequential) step(now time.Time, reports []move.EvidenceReport) (int, move.Phase) {
	for i := range reports {
		s.decider.Step(now, move.Event{Report: &reports[i]})
	}
	s.decider.Step(now, move.Event{Tick: true})
	state, _ := s.decider.State()
	return state.Share, state.Phase
}

func (s *sequential) describe() string {
	state, _ := s.decider.State()
	return fmt.Sprintf("share %d, %d rechecks, %s", state.Share, state.RecheckCount, state.Reason)
}

// Parameters of the baseline.
const (
	baselineWindow    = 60
	baselineThreshold = 0.05
	baselineMinCalls  = 20
)

// threshold is the plain baseline: equal steps by the clock, taken back if the
// failure rate of the new version in the last minute passes a threshold.
type threshold struct {
	span   time.Duration
	window []move.Counts
}

func newThreshold(d deployment) policy { return &threshold{span: d.span} }

func (t *threshold) step(now time.Time, reports []move.EvidenceReport) (int, move.Phase) {
	var period move.Counts
	for _, report := range reports {
		for _, line := range report.Samples {
			if line.Version == "v2" {
				period.Good += line.Counts.Good
				period.Failed += line.Counts.Bad()
			}
		}
	}
	t.window = append(t.window, period)
	t.window = t.window[max(0, len(t.window)-baselineWindow):]
	var sum move.Counts
	for _, c := range t.window {
		sum.Good, sum.Failed = sum.Good+c.Good, sum.Failed+c.Failed
	}
	if sum.Calls() >= baselineMinCalls && float64(sum.Bad()) > baselineThreshold*float64(sum.Calls()) {
		return 0, move.PhaseRolledBack
	}
	step := int(now.Sub(begin) * time.Duration(len(move.StepShares)) / t.span)
	if step >= len(move.StepShares) {
		return move.ShareDenominator, move.PhaseDone
	}
	return move.StepShares[step], move.PhaseRunning
}

func (t *threshold) describe() string { return fmt.Sprintf("%d periods", len(t.window)) }
