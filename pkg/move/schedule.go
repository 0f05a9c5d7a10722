package move

import (
	"math"
	"time"
)

// StepShares are the traffic shares of a move's steps in units of
// 1/ShareDenominator.
var StepShares = []int{100, 500, 2000, 5000, ShareDenominator}

// stepWeights divide the time until the finishing time among the steps. The last
// step is the soak time, in which the new version takes all traffic and is still
// tested.
var stepWeights = []float64{1, 1, 1, 1, 2}

// fullStepCalls is the number of calls on the new version that each step requires
// if there is enough traffic. maxFailureRateExcess bounds how far the upper
// confidence bound of its failure rate may exceed the old version's rate.
var (
	fullStepCalls        = []uint64{30, 60, 100, 200, 200}
	maxFailureRateExcess = []float64{0.15, 0.10, 0.05, 0.03, 0.03}
)

const (
	// plannedFraction is the fraction of the remaining time that is planned for
	// steps. The rest is a reserve for stalled steps.
	plannedFraction = 0.9
	// plannedFractionAfterRecheck is lower, to leave time for another recheck.
	plannedFractionAfterRecheck = 0.7
	// minStepDuration spans several evidence periods and the propagation of a new
	// share to all nodes.
	minStepDuration = 5 * time.Second
	// minSoakTime is the minimum duration of the last step and of a recheck.
	minSoakTime = 10 * time.Second
	// minMoveDuration is the time for a move whose finishing time is too close or in
	// the past.
	minMoveDuration = time.Minute
	// minCallsToFinish is the number of calls on the new version that a move needs to
	// finish.
	minCallsToFinish = 30
	// confidenceQuantile is the normal quantile of a one-sided 95% bound.
	confidenceQuantile = 1.645
	// stallThresholdRatio is the fraction of its threshold above which a test stalls
	// the step.
	stallThresholdRatio = 0.3
	// rollbackThresholdRatio is the fraction above which a test causes a rollback at
	// the finishing time.
	rollbackThresholdRatio = 0.5
	// maxRechecks bounds the consecutive rechecks that no outage explains. A test
	// that fails within recurrenceWindow or recurrenceCalls of entering the last
	// step after a recheck is taken to fail for the same cause, as outages are
	// minutes apart.
	maxRechecks      = 3
	recurrenceWindow = 15 * time.Second
	recurrenceCalls  = 300
	// minRecheckOutageFailures is the number of failures of the old version from which
	// a recheck shows a common outage.
	minRecheckOutageFailures = 3
	// maxRejectionRateExcess is the excess of the new version's rejection rate over
	// the old one's above which a step stalls, once minRejectedCalls were rejected.
	maxRejectionRateExcess = 0.05
	minRejectedCalls       = 10
)

// finishTime is the time by which the move should end.
func finishTime(s State) time.Time {
	if earliest := s.Started.Add(minMoveDuration); s.FinishBy.Before(earliest) {
		return earliest
	}
	return s.FinishBy
}

// stepDuration is the planned duration of a step that starts at start: its part of
// the time until the finishing time.
func stepDuration(s State, step int, start time.Time) time.Duration {
	fraction := plannedFraction
	if s.RecheckCount > 0 {
		if step < len(StepShares)-1 {
			return minSoakTime
		}
		fraction = plannedFractionAfterRecheck
	}
	var remainingWeight float64
	for _, w := range stepWeights[step:] {
		remainingWeight += w
	}
	duration := time.Duration(float64(finishTime(s).Sub(start)) * fraction * stepWeights[step] / remainingWeight)
	return max(duration, minDurationOf(s, step))
}

func minDurationOf(s State, step int) time.Duration {
	if step == len(StepShares)-1 || s.RecheckCount > 0 {
		return minSoakTime
	}
	return minStepDuration
}

// latestStepEnd is the time by which the step must end to leave the later steps
// their minimum durations.
func latestStepEnd(s State, step int) time.Time {
	remaining := time.Duration(0)
	for later := step + 1; later < len(StepShares); later++ {
		remaining += minDurationOf(s, later)
	}
	return finishTime(s).Add(-remaining)
}

// requiredCalls is the number of calls on the new version that a step requires. With
// little traffic it is half of the calls expected in the step's duration, and none
// if fewer than two are expected: the step then ends on the old version's traffic
// alone, and the next step exposes about ten calls at most.
func requiredCalls(step int, callRate float64, duration time.Duration) uint64 {
	expected := callRate * float64(StepShares[step]) / ShareDenominator * duration.Seconds()
	return min(fullStepCalls[step], uint64(expected/2))
}

// failureRateUpperBound is the one-sided upper Wilson bound of a failure rate.
func failureRateUpperBound(c Counts) float64 {
	n := float64(c.Calls())
	if n == 0 {
		return 1
	}
	p, z := failureRate(c), confidenceQuantile
	center := p + z*z/(2*n)
	halfWidth := z * math.Sqrt(p*(1-p)/n+z*z/(4*n*n))
	return (center + halfWidth) / (1 + z*z/n)
}

// shareLimitUnit is the granularity of share limits. It keeps single targets that
// come and go from changing the share all the time.
const shareLimitUnit = ShareDenominator / 100

// shareLimitTolerance is the relative change of the limit up to which the share
// stays as it is. It is well below the slots that maxSlotUtilization leaves free.
const shareLimitTolerance = 0.1

// maxSlotUtilization is the fraction of the new version's slots that its share of
// the measured load may occupy.
const maxSlotUtilization = 0.7

// shareLimit is the traffic share that the new version has slots for: the ratio of
// its slots to the old version's or, if higher, the share of the measured load
// that its slots can take.
func shareLimit(c Capacity, busySlots float64) int {
	if c.NewSlots == 0 {
		return 0
	}
	if c.NewSlots >= c.OldSlots {
		return ShareDenominator
	}
	fraction := float64(c.NewSlots) / float64(c.OldSlots)
	if busySlots > 0 {
		fraction = min(1, max(fraction, maxSlotUtilization*float64(c.NewSlots)/busySlots))
	}
	return int(fraction*ShareDenominator) / shareLimitUnit * shareLimitUnit
}
