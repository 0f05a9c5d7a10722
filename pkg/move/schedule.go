package move

import (
	"math"
	"time"
)

// StepShares are the shares of a move in units of 1/ShareDenominator.
var StepShares = []int{100, 500, 2000, 5000, ShareDenominator}

// weights divide the time to finish by among the steps. The last step is the
// soak time, in which the new version takes all traffic and is still watched.
var weights = []float64{1, 1, 1, 1, 2}

// fullEvidence is the number of calls on the new version that each step needs
// where traffic allows, and margins bound the excess of its failure rate, as
// an upper confidence bound, over the old version's.
var (
	fullEvidence = []uint64{30, 60, 100, 200, 200}
	margins      = []float64{0.15, 0.10, 0.05, 0.03, 0.03}
)

const (
	// planned is the part of the time to finish by that steps use; the rest
	// makes up for held steps.
	planned = 0.9
	// plannedAfterRecheck leaves time for another recheck.
	plannedAfterRecheck = 0.7
	// minDwell is the shortest step. It spans several evidence periods and the
	// spreading of a step to all nodes.
	minDwell = 5 * time.Second
	// minSoak is the shortest last step, and the shortest recheck.
	minSoak = 10 * time.Second
	// minSpan is the time that a move gets whose finishing time is too near or past.
	minSpan = time.Minute
	// minCalls is the number of calls on the new version below which a move is
	// not finished.
	minCalls = 30
	// confidence is the normal quantile of the one-sided 95% bounds.
	confidence = 1.645
	// suspicion is the part of a threshold above which a test holds a step.
	suspicion = 0.3
	// strongSuspicion is the part that takes a version back at the finishing time.
	strongSuspicion = 0.5
	// maxRechecks bounds the rechecks that no outage explains. A finding within
	// recurrenceTime or recurrenceCalls after a recheck recurs for the same cause;
	// outages are minutes apart.
	maxRechecks     = 3
	recurrenceTime  = 15 * time.Second
	recurrenceCalls = 300
	// minOutageFailures is the number of failures of the old version in a recheck
	// that shows a common outage.
	minOutageFailures = 3
	// shedMargin is the excess share of refused calls that holds a step, once
	// minShed calls were refused.
	shedMargin = 0.05
	minShed    = 10
)

// finish is the time by which the move ends.
func finish(s State) time.Time {
	if earliest := s.Started.Add(minSpan); s.FinishBy.Before(earliest) {
		return earliest
	}
	return s.FinishBy
}

// dwell is the planned length of step at its begin, worked out backwards from
// the finishing time.
func dwell(s State, step int, begin time.Time) time.Duration {
	part := planned
	if s.RecheckCount > 0 {
		if step < len(StepShares)-1 {
			return minSoak
		}
		part = plannedAfterRecheck
	}
	var rest float64
	for _, w := range weights[step:] {
		rest += w
	}
	left := time.Duration(float64(finish(s).Sub(begin)) * part * weights[step] / rest)
	return max(left, shortest(s, step))
}

func shortest(s State, step int) time.Duration {
	if step == len(StepShares)-1 || s.RecheckCount > 0 {
		return minSoak
	}
	return minDwell
}

// lastCall is the time at which the step must end for the rest to fit in.
func lastCall(s State, step int) time.Time {
	rest := time.Duration(0)
	for later := step + 1; later < len(StepShares); later++ {
		rest += shortest(s, later)
	}
	return finish(s).Add(-rest)
}

// needed is the number of calls on the new version that a step needs. Where
// traffic is low it is half of what the step can give in its time, so that a
// step which cannot give two calls is passed on the old version's traffic
// alone. The next step then exposes some ten calls at most.
func needed(step int, rate float64, length time.Duration) uint64 {
	expected := rate * float64(StepShares[step]) / ShareDenominator * length.Seconds()
	return min(fullEvidence[step], uint64(expected/2))
}

// upperBound is the one-sided Wilson bound of a failure rate.
func upperBound(c Counts) float64 {
	n := float64(c.Calls())
	if n == 0 {
		return 1
	}
	p, z := badRate(c), confidence
	center := p + z*z/(2*n)
	spread := z * math.Sqrt(p*(1-p)/n+z*z/(4*n*n))
	return (center + spread) / (1 + z*z/n)
}

// limitUnit is the granularity of limits, so that single targets which come and
// go do not change the share all the time.
const limitUnit = ShareDenominator / 100

// limitSlack is the relative change of the limit that the share does not follow.
// It is well below the spare slots.
const limitSlack = 0.1

// spareSlots is the part of the new version's slots that its share may occupy.
const spareSlots = 0.7

// limit is the share that the new version's slots can take: that of the old
// version's slots which it has as well, or, if more, the share of the calls'
// measured load that fits into its slots.
func limit(c Capacity, busy float64) int {
	if c.NewSlots == 0 {
		return 0
	}
	if c.NewSlots >= c.OldSlots {
		return ShareDenominator
	}
	part := float64(c.NewSlots) / float64(c.OldSlots)
	if busy > 0 {
		part = min(1, max(part, spareSlots*float64(c.NewSlots)/busy))
	}
	return int(part*ShareDenominator) / limitUnit * limitUnit
}
