package main

import (
	"fmt"
	"time"

	"github.com/azurespring/azurespring/pkg/move"
)

// sequential is the policy of pkg/move.
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
		{Desired: &move.DesiredMove{From: "v1", To: "v2", FinishBy: startTime.Add(d.moveDuration)}},
		{Capacity: &move.Capacity{OldSlots: d.endpoints * d.slots, NewSlots: d.endpoints * d.slots, Reporters: reporters}},
		{Role: &move.Role{IsDecider: true, FencingToken: 1}},
		{Restored: &move.RestoreResult{Answered: true}},
	} {
		decider.Step(startTime, event)
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

// Parameters of the baseline policy.
const (
	baselineWindowPeriods  = 60
	baselineMaxFailureRate = 0.05
	baselineMinCalls       = 20
)

// threshold is the baseline policy: steps of equal duration, and a rollback if the
// failure rate of the new version in the last minute exceeds a threshold.
type threshold struct {
	moveDuration time.Duration
	window       []move.Counts
}

func newThreshold(d deployment) policy { return &threshold{moveDuration: d.moveDuration} }

func (t *threshold) step(now time.Time, reports []move.EvidenceReport) (int, move.Phase) {
	var period move.Counts
	for _, report := range reports {
		for _, sample := range report.Samples {
			if sample.Version == "v2" {
				period.Good += sample.Counts.Good
				period.Failed += sample.Counts.Bad()
			}
		}
	}
	t.window = append(t.window, period)
	t.window = t.window[max(0, len(t.window)-baselineWindowPeriods):]
	var sum move.Counts
	for _, c := range t.window {
		sum.Good, sum.Failed = sum.Good+c.Good, sum.Failed+c.Failed
	}
	if sum.Calls() >= baselineMinCalls && float64(sum.Bad()) > baselineMaxFailureRate*float64(sum.Calls()) {
		return 0, move.PhaseRolledBack
	}
	step := int(now.Sub(startTime) * time.Duration(len(move.StepShares)) / t.moveDuration)
	if step >= len(move.StepShares) {
		return move.ShareDenominator, move.PhaseDone
	}
	return move.StepShares[step], move.PhaseRunning
}

func (t *threshold) describe() string { return fmt.Sprintf("%d periods", len(t.window)) }
