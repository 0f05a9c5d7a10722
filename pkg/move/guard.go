package move

import (
	"fmt"
	"time"
)

// Rules of the local guard. A node sees the calls of its local targets only, not
// those of the old version, so it can't tell a common outage from a failing
// version. It therefore leaves failures to the decider while that acknowledges
// reports, and needs far stronger evidence.
const (
	// guardCrashPeriods is the window in which crashes are counted.
	// guardFailurePeriods is the window for failures. It is shorter, so that earlier
	// good calls don't hide a version that starts to fail late.
	guardCrashPeriods   = 60
	guardFailurePeriods = 10
	// guardDeciderTimeout is the time without acknowledgment from the decider after
	// which failures count.
	guardDeciderTimeout = 5 * time.Second
	// guardMinBadCalls and guardMinBadRate are the number and the rate of bad calls
	// that cause a rollback, guardMinBadPeriods the number of periods with bad calls.
	guardMinBadCalls   = 20
	guardMinBadRate    = 0.9
	guardMinBadPeriods = 3
	// guardMinCrashPeriods is the number of periods with a crash that causes a
	// rollback, whether the decider responds or not: an outage elsewhere does not
	// crash targets.
	guardMinCrashPeriods = 3
	// guardMaxOldRate is the old version's failure rate above which the guard ignores
	// failures.
	guardMaxOldRate = 0.2
)

// LocalGuard is the rule by which a target's node rolls a version back without the
// decider. It is not safe for concurrent use.
type LocalGuard struct {
	periods []guardPeriod
	lastAck time.Time
}

type guardPeriod struct {
	index  int64
	counts Counts
}

// RecordAck records that the decider acknowledged a report.
func (g *LocalGuard) RecordAck(now time.Time) { g.lastAck = now }

// AddPeriod adds the new version's counts of a period on this node.
func (g *LocalGuard) AddPeriod(period int64, counts Counts) {
	if counts == (Counts{}) {
		return
	}
	g.periods = append(g.periods, guardPeriod{period, counts})
	for len(g.periods) > 0 && g.periods[0].index <= period-guardCrashPeriods {
		g.periods = g.periods[1:]
	}
}

// RollbackReason returns why the move in s must be rolled back, or "".
func (g *LocalGuard) RollbackReason(now time.Time, s State) string {
	if g.lastAck.IsZero() {
		g.lastAck = now
	}
	var sum Counts
	var crashes uint64
	badPeriods := 0
	for _, p := range g.periods {
		if p.index > periodOf(now)-guardCrashPeriods {
			crashes += p.counts.CrashPeriods
		}
		if p.index <= periodOf(now)-guardFailurePeriods-1 {
			continue
		}
		sum = sum.plus(p.counts)
		if p.counts.Bad() > 0 {
			badPeriods++
		}
	}
	if crashes >= guardMinCrashPeriods {
		return fmt.Sprintf("%d crashes beside one node", crashes)
	}
	sinceAck := now.Sub(g.lastAck)
	oldIsFailing := len(s.Evidence) > 0 && failureRate(s.Evidence[0].Old) > guardMaxOldRate
	if sinceAck < guardDeciderTimeout || oldIsFailing || badPeriods < guardMinBadPeriods || sum.Bad() < guardMinBadCalls ||
		float64(sum.Bad()) < guardMinBadRate*float64(sum.Calls()) {
		return ""
	}
	return fmt.Sprintf("%d of %d calls bad beside one node, and no decider for %s",
		sum.Bad(), sum.Calls(), sinceAck.Round(time.Second))
}
