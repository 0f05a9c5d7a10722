package move

import (
	"fmt"
	"time"
)

// Parts of reasons.
const (
	reasonPaused = "paused by an operator"
	reasonSlots  = "ready slots"
)

// decide takes the version back, changes its share, or holds the step.
func (d *Decider) decide(now time.Time) []Effect {
	s, f := d.state, d.cur.judge()
	last := s.Step == len(StepShares)-1
	if f.bad {
		return d.condemn(now, f, last)
	}
	if share := d.share(s.Step); d.differs(now, share) {
		s.Share, s.Reason = share, d.slots()
		d.mark(mark{period: d.cur.through, last: last})
		return d.publish(now, s, EventStepChanged)
	}
	if d.wanted.Paused {
		return d.hold(now, reasonPaused)
	}
	if s.Held && s.Reason == reasonPaused {
		s.Held, s.Reason = false, "resumed by an operator"
		return d.publish(now, s, EventStepChanged)
	}
	s.FinishBy = d.wanted.FinishBy
	if now.Before(s.StepStarted.Add(dwell(s, s.Step, s.StepStarted))) || now.Before(d.fresh.Add(minDwell)) {
		return d.keep(now)
	}
	if reason := d.lacking(now, s, f); reason != "" {
		return d.overdue(now, s, f, reason)
	}
	if last {
		s.Phase, s.Held, s.Reason = PhaseDone, false, "soak time is over: "+describe(d.cur.pool.evidence)
		return d.publish(now, s, EventDone)
	}
	if d.explained() {
		s.RecheckCount = 0
	}
	return d.move(now, s, s.Step+1, EventStepChanged, describe(d.cur.pool.evidence))
}

// differs reports whether the share must follow the slots. Small changes of the
// measured load are left alone.
func (d *Decider) differs(now time.Time, share int) bool {
	s := d.state
	if share < s.Share {
		return float64(share) < (1-limitSlack)*float64(s.Share)
	}
	grown := share == StepShares[s.Step] || float64(share) > (1+limitSlack)*float64(s.Share)
	return share > s.Share && grown && now.Sub(d.published) >= minDwell
}

// condemn takes the version back. On the last step no calls run on the old
// version, so that a common outage looks like badness: the share goes back one
// step to compare both. A version that is bad again soon after is taken back,
// because it may be bad only while it takes all traffic.
func (d *Decider) condemn(now time.Time, f finding, last bool) []Effect {
	s := d.state
	calls := d.cur.pool.evidence.New.minus(d.entry).Calls()
	recurred := s.RecheckCount > 0 && (now.Sub(s.StepStarted) < recurrenceTime || calls < recurrenceCalls)
	if !last || recurred || s.RecheckCount >= maxRechecks {
		return d.takeBack(now, f.reason)
	}
	s.RecheckCount++
	return d.move(now, s, s.Step-1, EventStepChanged, "compare again: "+f.reason)
}

// explained reports whether the recheck that ends showed a common outage: the
// old version failed as well, and more than before.
func (d *Decider) explained() bool {
	pool := d.cur.pool.evidence
	old, fresh := pool.Old.minus(d.entryOld), pool.New.minus(d.entry)
	return old.Bad() >= minOutageFailures && badRate(old) >= badRate(fresh)/2 &&
		badRate(old) >= 2*badRate(d.entryOld)
}

func (d *Decider) slots() string {
	return fmt.Sprintf("%s: %d on the new version, %d on the old, %.1f occupied",
		reasonSlots, d.capacity.NewSlots, d.capacity.OldSlots, d.cur.busy)
}

// lacking returns what evidence the step lacks, or "".
func (d *Decider) lacking(now time.Time, s State, f finding) string {
	pool := d.cur.pool.evidence
	step := pool.New.minus(d.entry)
	if f.weight > suspicion {
		return "failures that may be chance: " + f.where
	}
	if ratio := refusedShare(step); step.Refused >= minShed && ratio > refusedShare(pool.Old)+shedMargin {
		return "the new version refuses more calls than the old"
	}
	if heard := d.ledger.heard(periodOf(now)-silentPeriods, d.capacity.Reporters); 2*heard <= len(d.capacity.Reporters) {
		return "half of the nodes or more do not report"
	}
	if s.Share < StepShares[s.Step] {
		return "too few " + reasonSlots
	}
	if !now.Before(lastCall(s, s.Step)) && pool.New.Calls() >= minCalls {
		return ""
	}
	if pool.New.Calls()+pool.Old.Calls() == d.seen {
		return "no calls"
	}
	length := dwell(s, s.Step, s.StepStarted)
	elapsed := max(now.Sub(d.fresh), time.Second)
	rate := float64(pool.New.Calls()+pool.Old.Calls()-d.seen) / elapsed.Seconds()
	need := needed(s.Step, rate, length)
	if step.Calls() < need {
		return "too few calls on the new version"
	}
	if s.Step >= len(StepShares)-2 && pool.New.Calls() < minCalls {
		return "too few calls on the new version"
	}
	if need == fullEvidence[s.Step] && upperBound(step) > badRate(pool.Old)+margins[s.Step] {
		return "failure rate of the new version is not yet certain"
	}
	return ""
}

func refusedShare(c Counts) float64 {
	if c.Refused == 0 {
		return 0
	}
	return float64(c.Refused) / float64(c.Refused+c.Calls())
}

// overdue holds the step, and takes the version back at the finishing time if
// it has not proved good. Lacking slots only hold.
func (d *Decider) overdue(now time.Time, s State, f finding, reason string) []Effect {
	calls := d.cur.pool.evidence.New.Calls()
	if now.Before(finish(s)) {
		return d.hold(now, reason)
	}
	if calls < minCalls {
		return d.takeBack(now, fmt.Sprintf("only %d calls on the new version by the finishing time", calls))
	}
	if f.weight > strongSuspicion && s.Step == len(StepShares)-1 {
		return d.condemn(now, f, true)
	}
	if f.weight > strongSuspicion {
		return d.takeBack(now, "not proved good by the finishing time: "+f.reason)
	}
	return d.hold(now, reason)
}
