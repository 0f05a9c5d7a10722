package move

import (
	"fmt"
	"time"
)

// Texts that reasons are made of.
const (
	reasonPaused      = "paused by an operator"
	reasonTooFewSlots = "ready slots"
)

// decide rolls the new version back, adjusts its traffic share, stalls the step
// or enters the next one.
func (d *Decider) decide(now time.Time) []Effect {
	s, result := d.state, d.current.evaluateTests()
	isLastStep := s.Step == len(StepShares)-1
	if result.isFailing {
		return d.rollBackOrRecheck(now, result, isLastStep)
	}
	if share := d.stepShare(s.Step); d.shareNeedsUpdate(now, share) {
		s.Share, s.Reason = share, d.slotsReason()
		d.recordShareChange(shareChange{period: d.current.lastPeriod, isLastStep: isLastStep})
		return d.publish(now, s, EventStepChanged)
	}
	if d.desired.Paused {
		return d.stall(now, reasonPaused)
	}
	if s.Held && s.Reason == reasonPaused {
		s.Held, s.Reason = false, "resumed by an operator"
		return d.publish(now, s, EventStepChanged)
	}
	s.FinishBy = d.desired.FinishBy
	if now.Before(s.StepStarted.Add(stepDuration(s, s.Step, s.StepStarted))) || now.Before(d.evidenceSince.Add(minStepDuration)) {
		return d.publishRefresh(now)
	}
	if reason := d.stallReason(now, s, result); reason != "" {
		return d.stallOrRollBack(now, s, result, reason)
	}
	if isLastStep {
		s.Phase, s.Held, s.Reason = PhaseDone, false, "soak time is over: "+describeEvidence(d.current.pool.evidence)
		return d.publish(now, s, EventDone)
	}
	if d.recheckShowedOutage() {
		s.RecheckCount = 0
	}
	return d.enterStep(now, s, s.Step+1, EventStepChanged, describeEvidence(d.current.pool.evidence))
}

// shareNeedsUpdate reports whether the published share must change to share, the
// limit by the available slots. Small changes of the measured load are ignored.
func (d *Decider) shareNeedsUpdate(now time.Time, share int) bool {
	s := d.state
	if share < s.Share {
		return float64(share) < (1-shareLimitTolerance)*float64(s.Share)
	}
	hasGrown := share == StepShares[s.Step] || float64(share) > (1+shareLimitTolerance)*float64(s.Share)
	return share > s.Share && hasGrown && now.Sub(d.lastPublished) >= minStepDuration
}

// rollBackOrRecheck rolls back a version whose tests failed. On the last step no
// calls run on the old version, so a common outage looks like a failing new
// version: the move returns to the step before and compares both again. A version
// that fails again soon after such a recheck is rolled back, because it may fail
// only while it takes all traffic.
func (d *Decider) rollBackOrRecheck(now time.Time, result testResult, isLastStep bool) []Effect {
	s := d.state
	calls := d.current.pool.evidence.New.minus(d.newAtStepStart).Calls()
	hasRecurred := s.RecheckCount > 0 && (now.Sub(s.StepStarted) < recurrenceWindow || calls < recurrenceCalls)
	if !isLastStep || hasRecurred || s.RecheckCount >= maxRechecks {
		return d.rollBack(now, result.reason)
	}
	s.RecheckCount++
	return d.enterStep(now, s, s.Step-1, EventStepChanged, "compare again: "+result.reason)
}

// recheckShowedOutage reports whether the recheck that is ending showed a common
// outage: the old version failed as well, and more than before.
func (d *Decider) recheckShowedOutage() bool {
	pool := d.current.pool.evidence
	oldCounts, newCounts := pool.Old.minus(d.oldAtStepStart), pool.New.minus(d.newAtStepStart)
	return oldCounts.Bad() >= minRecheckOutageFailures && failureRate(oldCounts) >= failureRate(newCounts)/2 &&
		failureRate(oldCounts) >= 2*failureRate(d.oldAtStepStart)
}

func (d *Decider) slotsReason() string {
	return fmt.Sprintf("%s: %d on the new version, %d on the old, %.1f occupied",
		reasonTooFewSlots, d.capacity.NewSlots, d.capacity.OldSlots, d.current.meanBusySlots)
}

// stallReason returns why the step may not end yet, or "".
func (d *Decider) stallReason(now time.Time, s State, result testResult) string {
	pool := d.current.pool.evidence
	step := pool.New.minus(d.newAtStepStart)
	if result.thresholdRatio > stallThresholdRatio {
		return "failures that may be chance: " + result.scope
	}
	if rate := rejectionRate(step); step.Refused >= minRejectedCalls && rate > rejectionRate(pool.Old)+maxRejectionRateExcess {
		return "the new version refuses more calls than the old"
	}
	if reporting := d.evidenceStore.countReportersThrough(periodOf(now)-unresponsivePeriods, d.capacity.Reporters); 2*reporting <= len(d.capacity.Reporters) {
		return "half of the nodes or more do not report"
	}
	if s.Share < StepShares[s.Step] {
		return "too few " + reasonTooFewSlots
	}
	if !now.Before(latestStepEnd(s, s.Step)) && pool.New.Calls() >= minCallsToFinish {
		return ""
	}
	if pool.New.Calls()+pool.Old.Calls() == d.callsAtStepStart {
		return "no calls"
	}
	plannedDuration := stepDuration(s, s.Step, s.StepStarted)
	elapsed := max(now.Sub(d.evidenceSince), time.Second)
	callRate := float64(pool.New.Calls()+pool.Old.Calls()-d.callsAtStepStart) / elapsed.Seconds()
	required := requiredCalls(s.Step, callRate, plannedDuration)
	if step.Calls() < required {
		return "too few calls on the new version"
	}
	if s.Step >= len(StepShares)-2 && pool.New.Calls() < minCallsToFinish {
		return "too few calls on the new version"
	}
	if required == fullStepCalls[s.Step] && failureRateUpperBound(step) > failureRate(pool.Old)+maxFailureRateExcess[s.Step] {
		return "failure rate of the new version is not yet certain"
	}
	return ""
}

func rejectionRate(c Counts) float64 {
	if c.Refused == 0 {
		return 0
	}
	return float64(c.Refused) / float64(c.Refused+c.Calls())
}

// stallOrRollBack stalls the step. Once the finishing time has passed, too few
// calls or suspicious test results cause a rollback or a recheck. Missing slots
// alone only stall the step.
func (d *Decider) stallOrRollBack(now time.Time, s State, result testResult, reason string) []Effect {
	calls := d.current.pool.evidence.New.Calls()
	if now.Before(finishTime(s)) {
		return d.stall(now, reason)
	}
	if calls < minCallsToFinish {
		return d.rollBack(now, fmt.Sprintf("only %d calls on the new version by the finishing time", calls))
	}
	if result.thresholdRatio > rollbackThresholdRatio && s.Step == len(StepShares)-1 {
		return d.rollBackOrRecheck(now, result, true)
	}
	if result.thresholdRatio > rollbackThresholdRatio {
		return d.rollBack(now, "not proved good by the finishing time: "+result.reason)
	}
	return d.stall(now, reason)
}
