package move

import (
	"fmt"
	"slices"
	"time"

	"github.com/azurespring/azurespring/pkg/timeline"
)

const (
	// lagPeriods is how long the decider waits for all reports of a period.
	lagPeriods = 3
	// spreadPeriods is the time in which a new share reaches all nodes. Without old
	// calls in it, a common outage would count against the new version alone.
	spreadPeriods = 2
	// silentPeriods is the time without reports after which a node is silent, as
	// in a partition. A step is not carried on what a minority reports.
	silentPeriods = 10
	// restoreWait is how long a decider waits for the platform to say whether the
	// move was already taken back, before it starts the move without an answer.
	restoreWait = 30 * time.Second
	// refresh is the interval at which an unchanged state is published, so that
	// the next decider has recent evidence.
	refresh = time.Minute
	// maxGap is the longest time between ticks after which evidence still counts
	// as current. A longer gap means that the process was paused.
	maxGap = 10 * time.Second
)

// Decider is the reducer of one service's move. Every node with targets of the
// service runs one; only the one that holds the role publishes.
type Decider struct {
	self, service string

	wanted   DesiredMove
	capacity Capacity
	role     Role
	// state is the merged state of the wanted move; Service is empty if none is known.
	state     State
	states    map[string]State
	published time.Time
	chosen    time.Time
	restored  bool
	ticked    time.Time

	ledger    *ledger
	base, cur *assessment
	marks     []mark
	// entry and entryOld are the pooled evidence at the begin of the step.
	entry, entryOld Counts
	// seen is the old and new version's pooled calls at the begin of the step.
	seen  uint64
	fresh time.Time
}

// NewDecider returns the reducer of a service's move at instance self.
func NewDecider(self, service string) *Decider {
	return &Decider{self: self, service: service, states: map[string]State{}}
}

// Step implements reducer.Reducer.
func (d *Decider) Step(now time.Time, event Event) []Effect {
	switch {
	case event.Desired != nil:
		return d.want(now, *event.Desired)
	case event.Capacity != nil:
		d.capacity = *event.Capacity
	case event.Role != nil:
		d.assume(now, *event.Role)
	case event.UpdatedState != nil:
		d.merge(now, *event.UpdatedState)
	case event.Restored != nil:
		return d.restore(now, *event.Restored)
	case event.Report != nil:
		d.report(now, *event.Report)
	case event.Tick:
		return d.tick(now)
	}
	return nil
}

// State returns the state of the wanted move; ok is false if none is known.
func (d *Decider) State() (s State, ok bool) { return d.state, d.state.Service != "" }

// want takes in the configuration. A move that another version replaces is
// taken back; a changed old version or definition of success begins anew.
func (d *Decider) want(now time.Time, w DesiredMove) []Effect {
	before := d.wanted
	d.wanted = w
	var effects []Effect
	if before.To != w.To {
		if s := d.state; d.role.IsDecider && s.Phase == PhaseRunning && s.To != w.From {
			effects = d.takeBack(now, "replaced by "+orNone(w.To))
		}
		d.state = d.states[w.To]
		d.reset(now)
		return effects
	}
	if before.From != w.From || before.CriteriaHash != w.CriteriaHash {
		d.reset(now)
	}
	return effects
}

func orNone(to string) string {
	if to == "" {
		return "no move"
	}
	return "version " + to
}

// assume takes the role or leaves it. A new decider begins with the evidence
// in the state; reporters send the rest again.
func (d *Decider) assume(now time.Time, r Role) {
	began := r.IsDecider && !d.role.IsDecider
	d.role = r
	if began {
		d.chosen = now
		d.reset(now)
	}
}

// reset drops local evidence but for what the state carries.
func (d *Decider) reset(now time.Time) {
	s := d.state
	s.LastPeriod = max(s.LastPeriod, periodOf(now)-ringPeriods)
	if s.Service != "" && (s.From != d.wanted.From || s.CriteriaHash != d.wanted.CriteriaHash) {
		s.Evidence, s.LastPeriod = nil, periodOf(now)
	}
	d.ledger = newLedger(s.LastPeriod)
	d.base, d.marks = newAssessment(s), nil
	d.cur = d.base.clone()
	d.enter(now)
}

// enter begins the evidence of a step.
func (d *Decider) enter(now time.Time) {
	e := d.cur.pool.evidence
	d.entry, d.entryOld, d.seen, d.fresh = e.New, e.Old, e.New.Calls()+e.Old.Calls(), now
}

func (d *Decider) merge(now time.Time, s State) {
	known, ok := d.states[s.To]
	if ok && CompareStates(known, s) >= 0 {
		return
	}
	d.states[s.To] = s
	if s.To != d.wanted.To {
		return
	}
	moved := s.Step != d.state.Step || s.StepStarted != d.state.StepStarted
	d.state = s
	if moved && d.cur != nil {
		d.mark(mark{period: d.cur.through, last: s.Step == len(StepShares)-1})
		d.enter(now)
	}
}

func (d *Decider) restore(now time.Time, r RestoreResult) []Effect {
	if !r.Answered {
		return nil
	}
	d.restored = true
	for _, s := range r.States {
		d.merge(now, s)
	}
	var effects []Effect
	if s := d.state; s.Service != "" {
		effects = append(effects, Effect{Publish: &s})
	}
	return effects
}

func (d *Decider) report(now time.Time, r EvidenceReport) {
	if !d.role.IsDecider || d.wanted.To == "" {
		return
	}
	if earliest := d.ledger.add(r, periodOf(now)); earliest > 0 && earliest <= d.cur.through+1 {
		d.replay()
	}
}

// replay folds the open periods again after a late report.
func (d *Decider) replay() {
	through := d.cur.through
	d.cur = d.base.clone()
	for d.cur.through < through {
		d.cur.fold(d.ledger, d.wanted.From, d.wanted.To, d.marks)
	}
	d.cur.applyAll(d.marks)
}

// advance folds the periods that are complete or overdue, with the one after.
func (d *Decider) advance(now time.Time) {
	current := periodOf(now)
	for next := d.cur.through + 1; next < current; next++ {
		if current-next <= lagPeriods && !d.ledger.complete(next+1, d.capacity.Reporters) {
			break
		}
		d.cur.fold(d.ledger, d.wanted.From, d.wanted.To, d.marks)
	}
	for d.base.through < d.cur.through-ringPeriods {
		d.base.fold(d.ledger, d.wanted.From, d.wanted.To, d.marks)
	}
	d.ledger.drop(d.base.through - 1)
	d.marks = slices.DeleteFunc(d.marks, func(m mark) bool { return m.period < d.base.through })
}

// mark changes the tests from the next period on. It is noted as well, because
// the base comes to the same period later.
func (d *Decider) mark(m mark) {
	d.marks = append(d.marks, m)
	d.cur.apply(m)
}

func (d *Decider) tick(now time.Time) []Effect {
	if !d.ticked.IsZero() && now.Sub(d.ticked) > maxGap {
		d.reset(now)
	}
	d.ticked = now
	w := d.wanted
	if !d.role.IsDecider || w.To == "" || w.To == w.From {
		return nil
	}
	d.advance(now)
	switch {
	case d.state.Service == "":
		return d.start(now)
	case d.state.Phase == PhaseRolledBack:
		return nil
	case w.Canceled:
		return d.takeBack(now, "canceled by an operator")
	case d.state.Phase == PhaseDone:
		return nil
	case d.state.From != w.From:
		return d.restartMove(now)
	}
	return d.decide(now)
}

func (d *Decider) start(now time.Time) []Effect {
	waited := now.Sub(d.chosen) >= restoreWait
	if d.wanted.Canceled || d.wanted.Paused || d.capacity.NewSlots == 0 || !d.restored && !waited {
		return nil
	}
	d.state = State{Service: d.service, To: d.wanted.To, Started: now}
	return d.restartMove(now)
}

// restartMove begins at the first step, as when the move begins or when its
// old version changed.
func (d *Decider) restartMove(now time.Time) []Effect {
	s := d.state
	if s.From != "" {
		d.reset(now)
	}
	s.From, s.FinishBy, s.Phase, s.RecheckCount = d.wanted.From, d.wanted.FinishBy, PhaseRunning, 0
	return d.move(now, s, 0, EventStarted, "targets of version "+s.To+" are ready")
}

// move enters a step and publishes it.
func (d *Decider) move(now time.Time, s State, step int, kind timeline.Kind, reason string) []Effect {
	s.Step, s.Share, s.StepStarted, s.Held, s.Reason = step, d.share(step), now, false, reason
	last := step == len(StepShares)-1
	m := mark{period: d.cur.through, last: last}
	if step < d.state.Step {
		m.restart, m.skip = true, periodOf(now)+spreadPeriods
	}
	d.mark(m)
	d.enter(now)
	return d.publish(now, s, kind)
}

func (d *Decider) share(step int) int { return min(StepShares[step], limit(d.capacity, d.cur.busy)) }

// publish stamps s with this decider's term and makes it the state.
func (d *Decider) publish(now time.Time, s State, kind timeline.Kind) []Effect {
	if d.role.FencingToken > s.FencingToken {
		s.FencingToken, s.TakeoverCount = d.role.FencingToken, 0
	} else if s.Decider != d.self && s.Decider != "" {
		s.TakeoverCount++
	}
	s.Decider, s.CriteriaHash = d.self, d.wanted.CriteriaHash
	s.Sequence++
	s.LastPeriod, s.Evidence, s.MeanBusySlots = d.cur.through, d.cur.evidence(), d.cur.busy
	d.state, d.states[s.To], d.published = s, s, now
	effects := []Effect{{Publish: &s}}
	if kind != "" {
		effects = append(effects, Effect{TimelineEvent: record(s, kind)})
	}
	return effects
}

func record(s State, kind timeline.Kind) *timeline.Event {
	event := &timeline.Event{Kind: kind, Move: s.Key(), Fields: map[string]string{
		"from": s.From, "to": s.To, "share": fmt.Sprintf("%.2f%%", float64(s.Share)*100/ShareDenominator), "reason": s.Reason,
	}}
	if len(s.Evidence) > 0 {
		pool := s.Evidence[0]
		event.Fields["newCalls"] = fmt.Sprint(pool.New.Calls())
		event.Fields["newBad"] = fmt.Sprint(pool.New.Bad())
	}
	return event
}

func (d *Decider) takeBack(now time.Time, reason string) []Effect {
	s := d.state
	s.Phase, s.Share, s.Held, s.Reason = PhaseRolledBack, 0, false, reason
	return d.publish(now, s, EventRolledBack)
}

// hold publishes that the step lasts longer, once per reason. Reasons that
// alternate are not published each time.
func (d *Decider) hold(now time.Time, reason string) []Effect {
	s := d.state
	if s.Held && (s.Reason == reason || now.Sub(d.published) < minDwell) {
		return d.keep(now)
	}
	s.Held, s.Reason = true, reason
	return d.publish(now, s, EventHeld)
}

// keep publishes an unchanged state now and then.
func (d *Decider) keep(now time.Time) []Effect {
	s := d.state
	if s.FinishBy.Equal(d.wanted.FinishBy) && now.Sub(d.published) < refresh {
		return nil
	}
	s.FinishBy = d.wanted.FinishBy
	return d.publish(now, s, "")
}
