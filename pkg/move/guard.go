package move

import (
	"fmt"
	"time"
)

// Rules of the guard. A node sees the new version alone, so that it can not tell
// a common outage from badness; it leaves failures to the decider while that
// answers, and needs far stronger evidence than the decider.
const (
	// guardPeriods is the span in which crashes are counted, guardRecent the one
	// for failures: shorter, so that good calls before them do not hide badness
	// that comes late.
	guardPeriods = 60
	guardRecent  = 10
	// guardSilence is how long the decider must be silent before failures count.
	guardSilence = 5 * time.Second
	// guardCalls and guardRate are the bad calls and their rate that are strong
	// badness, guardSpread the number of periods that they must be spread over.
	guardCalls  = 20
	guardRate   = 0.9
	guardSpread = 3
	// guardCrashes counts whether the decider answers or not: an outage elsewhere
	// does not crash targets.
	guardCrashes = 3
	// guardOldRate is the old version's failure rate above which the guard leaves
	// failures alone.
	guardOldRate = 0.2
)

// LocalGuard is the rule by which a target node takes a version back by itself. It
// is not safe for concurrent use.
type LocalGuard struct {
	periods  []guardPeriod
	answered time.Time
}

type guardPeriod struct {
	number int64
	counts Counts
}

// RecordAck notes that the decider took in a report.
func (g *LocalGuard) RecordAck(now time.Time) { g.answered = now }

// AddPeriod takes in the new version's calls of a period at this node.
func (g *LocalGuard) AddPeriod(period int64, counts Counts) {
	if counts == (Counts{}) {
		return
	}
	g.periods = append(g.periods, guardPeriod{period, counts})
	for len(g.periods) > 0 && g.periods[0].number <= period-guardPeriods {
		g.periods = g.periods[1:]
	}
}

// RollbackReason returns why s must be taken back, or "".
func (g *LocalGuard) RollbackReason(now time.Time, s State) string {
	if g.answered.IsZero() {
		g.answered = now
	}
	var sum Counts
	var crashes uint64
	spread := 0
	for _, p := range g.periods {
		if p.number > periodOf(now)-guardPeriods {
			crashes += p.counts.CrashPeriods
		}
		if p.number <= periodOf(now)-guardRecent-1 {
			continue
		}
		sum = sum.plus(p.counts)
		if p.counts.Bad() > 0 {
			spread++
		}
	}
	if crashes >= guardCrashes {
		return fmt.Sprintf("%d crashes beside one node", crashes)
	}
	silent := now.Sub(g.answered)
	oldBad := len(s.Evidence) > 0 && badRate(s.Evidence[0].Old) > guardOldRate
	if silent < guardSilence || oldBad || spread < guardSpread || sum.Bad() < guardCalls ||
		float64(sum.Bad()) < guardRate*float64(sum.Calls()) {
		return ""
	}
	return fmt.Sprintf("%d of %d calls bad beside one node, and no decider for %s",
		sum.Bad(), sum.Calls(), silent.Round(time.Second))
}
