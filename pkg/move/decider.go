package move

import (
	"fmt"
	"slices"
	"time"

	"github.com/azurespring/azurespring/pkg/timeline"
)

const (
	// maxReportDelayPeriods is how long the decider waits for the reports of all
	// reporters on a period.
	maxReportDelayPeriods = 3
	// propagationPeriods is the time in which a new share reaches all nodes. Until
	// then the old version may get no calls, and a common outage would count
	// against the new version alone.
	propagationPeriods = 2
	// unresponsivePeriods is the time without reports after which a node counts as
	// unresponsive, as in a network partition. A step does not end on the reports
	// of half of the nodes or fewer.
	unresponsivePeriods = 10
	// restoreTimeout is how long a decider waits for the stored states, which tell
	// whether the move was already rolled back, before it starts the move without
	// them.
	restoreTimeout = 30 * time.Second
	// refreshInterval is the interval at which an unchanged state is published, so
	// that the next decider has recent evidence.
	refreshInterval = time.Minute
	// maxTickGap is the longest time between two ticks for which local evidence
	// stays valid. A longer gap means that the process was paused.
	maxTickGap = 10 * time.Second
)

// Decider is the state machine of one service's move. Every node with targets of
// the service runs one; only the one with the decider role publishes states.
type Decider struct {
	self, service string

	desired  DesiredMove
	capacity Capacity
	role     Role
	// state is the merged state of the desired move; Service is empty if none is known.
	state         State
	states        map[string]State
	lastPublished time.Time
	electedAt     time.Time
	restored      bool
	lastTick      time.Time

	evidenceStore *evidenceStore
	// current includes all periods added so far. checkpoint trails it by retainedPeriods;
	// current is computed again from there when a late report arrives.
	checkpoint, current *assessment
	shareChanges        []shareChange
	// newAtStepStart and oldAtStepStart are the pooled counts at the start of the step.
	newAtStepStart, oldAtStepStart Counts
	// callsAtStepStart is the number of calls of both versions at the start of the step.
	callsAtStepStart uint64
	evidenceSince    time.Time
}

// NewDecider returns the decider of a service's move on instance self.
func NewDecider(self, service string) *Decider {
	return &Decider{self: self, service: service, states: map[string]State{}}
}

// Step implements reducer.Reducer.
func (d *Decider) Step(now time.Time, event Event) []Effect {
	switch {
	case event.Desired != nil:
		return d.applyDesired(now, *event.Desired)
	case event.Capacity != nil:
		d.capacity = *event.Capacity
	case event.Role != nil:
		d.applyRole(now, *event.Role)
	case event.UpdatedState != nil:
		d.applyState(now, *event.UpdatedState)
	case event.Restored != nil:
		return d.applyRestored(now, *event.Restored)
	case event.Report != nil:
		d.applyReport(now, *event.Report)
	case event.Tick:
		return d.tick(now)
	}
	return nil
}

// State returns the state of the desired move; ok is false if none is known.
func (d *Decider) State() (s State, ok bool) { return d.state, d.state.Service != "" }

// applyDesired applies the configured move. A running move that is replaced or
// removed is rolled back, unless its version has become the configured one. A
// changed old version or definition of success discards the evidence.
func (d *Decider) applyDesired(now time.Time, desired DesiredMove) []Effect {
	previous := d.desired
	d.desired = desired
	var effects []Effect
	if previous.To != desired.To {
		if s := d.state; d.role.IsDecider && s.Phase == PhaseRunning && s.To != desired.From {
			effects = d.rollBack(now, "replaced by "+describeVersion(desired.To))
		}
		d.state = d.states[desired.To]
		d.resetEvidence(now)
		return effects
	}
	if previous.From != desired.From || previous.CriteriaHash != desired.CriteriaHash {
		d.resetEvidence(now)
	}
	return effects
}

func describeVersion(to string) string {
	if to == "" {
		return "no move"
	}
	return "version " + to
}

// applyRole takes up or gives up the decider role. A new decider starts with the
// evidence in the replicated state; reporters send later periods again.
func (d *Decider) applyRole(now time.Time, r Role) {
	isElected := r.IsDecider && !d.role.IsDecider
	d.role = r
	if isElected {
		d.electedAt = now
		d.resetEvidence(now)
	}
}

// resetEvidence drops all evidence except what the replicated state contains.
func (d *Decider) resetEvidence(now time.Time) {
	s := d.state
	s.LastPeriod = max(s.LastPeriod, periodOf(now)-retainedPeriods)
	if s.Service != "" && (s.From != d.desired.From || s.CriteriaHash != d.desired.CriteriaHash) {
		s.Evidence, s.LastPeriod = nil, periodOf(now)
	}
	d.evidenceStore = newEvidenceStore(s.LastPeriod)
	d.checkpoint, d.shareChanges = newAssessment(s), nil
	d.current = d.checkpoint.clone()
	d.startStepEvidence(now)
}

// startStepEvidence records the counts that the evidence of a step starts from.
func (d *Decider) startStepEvidence(now time.Time) {
	e := d.current.pool.evidence
	d.newAtStepStart, d.oldAtStepStart, d.callsAtStepStart, d.evidenceSince = e.New, e.Old, e.New.Calls()+e.Old.Calls(), now
}

func (d *Decider) applyState(now time.Time, s State) {
	known, ok := d.states[s.To]
	if ok && CompareStates(known, s) >= 0 {
		return
	}
	d.states[s.To] = s
	if s.To != d.desired.To {
		return
	}
	stepChanged := s.Step != d.state.Step || s.StepStarted != d.state.StepStarted
	d.state = s
	if stepChanged && d.current != nil {
		d.recordShareChange(shareChange{period: d.current.lastPeriod, isLastStep: s.Step == len(StepShares)-1})
		d.startStepEvidence(now)
	}
}

func (d *Decider) applyRestored(now time.Time, r RestoreResult) []Effect {
	if !r.Answered {
		return nil
	}
	d.restored = true
	for _, s := range r.States {
		d.applyState(now, s)
	}
	var effects []Effect
	if s := d.state; s.Service != "" {
		effects = append(effects, Effect{Publish: &s})
	}
	return effects
}

func (d *Decider) applyReport(now time.Time, r EvidenceReport) {
	if !d.role.IsDecider || d.desired.To == "" {
		return
	}
	if earliest := d.evidenceStore.add(r, periodOf(now)); earliest > 0 && earliest <= d.current.lastPeriod+1 {
		d.recomputeCurrent()
	}
}

// recomputeCurrent adds the periods after the checkpoint again after a late report.
func (d *Decider) recomputeCurrent() {
	lastPeriod := d.current.lastPeriod
	d.current = d.checkpoint.clone()
	for d.current.lastPeriod < lastPeriod {
		d.current.addPeriod(d.evidenceStore, d.desired.From, d.desired.To, d.shareChanges)
	}
	d.current.applyShareChanges(d.shareChanges)
}

// addClosedPeriods adds each period whose successor all reporters have closed, as
// isCommonOutage needs the neighboring periods too, or whose reports are overdue.
func (d *Decider) addClosedPeriods(now time.Time) {
	current := periodOf(now)
	for next := d.current.lastPeriod + 1; next < current; next++ {
		if current-next <= maxReportDelayPeriods && !d.evidenceStore.isComplete(next+1, d.capacity.Reporters) {
			break
		}
		d.current.addPeriod(d.evidenceStore, d.desired.From, d.desired.To, d.shareChanges)
	}
	for d.checkpoint.lastPeriod < d.current.lastPeriod-retainedPeriods {
		d.checkpoint.addPeriod(d.evidenceStore, d.desired.From, d.desired.To, d.shareChanges)
	}
	d.evidenceStore.dropThrough(d.checkpoint.lastPeriod - 1)
	d.shareChanges = slices.DeleteFunc(d.shareChanges, func(c shareChange) bool { return c.period < d.checkpoint.lastPeriod })
}

// recordShareChange applies change to the tests from the next period on. It also
// keeps change, because the checkpoint reaches the same period later.
func (d *Decider) recordShareChange(change shareChange) {
	d.shareChanges = append(d.shareChanges, change)
	d.current.applyShareChange(change)
}

func (d *Decider) tick(now time.Time) []Effect {
	if !d.lastTick.IsZero() && now.Sub(d.lastTick) > maxTickGap {
		d.resetEvidence(now)
	}
	d.lastTick = now
	desired := d.desired
	if !d.role.IsDecider || desired.To == "" || desired.To == desired.From {
		return nil
	}
	d.addClosedPeriods(now)
	switch {
	case d.state.Service == "":
		return d.startMove(now)
	case d.state.Phase == PhaseRolledBack:
		return nil
	case desired.Canceled:
		return d.rollBack(now, "canceled by an operator")
	case d.state.Phase == PhaseDone:
		return nil
	case d.state.From != desired.From:
		return d.startFirstStep(now)
	}
	return d.decide(now)
}

func (d *Decider) startMove(now time.Time) []Effect {
	timedOut := now.Sub(d.electedAt) >= restoreTimeout
	if d.desired.Canceled || d.desired.Paused || d.capacity.NewSlots == 0 || !d.restored && !timedOut {
		return nil
	}
	d.state = State{Service: d.service, To: d.desired.To, Started: now}
	return d.startFirstStep(now)
}

// startFirstStep enters the first step, at the start of a move or after its old
// version changed.
func (d *Decider) startFirstStep(now time.Time) []Effect {
	s := d.state
	if s.From != "" {
		d.resetEvidence(now)
	}
	s.From, s.FinishBy, s.Phase, s.RecheckCount = d.desired.From, d.desired.FinishBy, PhaseRunning, 0
	return d.enterStep(now, s, 0, EventStarted, "targets of version "+s.To+" are ready")
}

// enterStep enters a step and publishes it.
func (d *Decider) enterStep(now time.Time, s State, step int, kind timeline.Kind, reason string) []Effect {
	s.Step, s.Share, s.StepStarted, s.Held, s.Reason = step, d.stepShare(step), now, false, reason
	isLastStep := step == len(StepShares)-1
	change := shareChange{period: d.current.lastPeriod, isLastStep: isLastStep}
	if step < d.state.Step {
		change.restartTests, change.lastSkippedPeriod = true, periodOf(now)+propagationPeriods
	}
	d.recordShareChange(change)
	d.startStepEvidence(now)
	return d.publish(now, s, kind)
}

func (d *Decider) stepShare(step int) int {
	return min(StepShares[step], shareLimit(d.capacity, d.current.meanBusySlots))
}

// publish sets the fencing token, sequence and evidence of s and makes it the
// current state.
func (d *Decider) publish(now time.Time, s State, kind timeline.Kind) []Effect {
	if d.role.FencingToken > s.FencingToken {
		s.FencingToken, s.TakeoverCount = d.role.FencingToken, 0
	} else if s.Decider != d.self && s.Decider != "" {
		s.TakeoverCount++
	}
	s.Decider, s.CriteriaHash = d.self, d.desired.CriteriaHash
	s.Sequence++
	s.LastPeriod, s.Evidence, s.MeanBusySlots = d.current.lastPeriod, d.current.routeEvidence(), d.current.meanBusySlots
	d.state, d.states[s.To], d.lastPublished = s, s, now
	effects := []Effect{{Publish: &s}}
	if kind != "" {
		effects = append(effects, Effect{TimelineEvent: newTimelineEvent(s, kind)})
	}
	return effects
}

func newTimelineEvent(s State, kind timeline.Kind) *timeline.Event {
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

func (d *Decider) rollBack(now time.Time, reason string) []Effect {
	s := d.state
	s.Phase, s.Share, s.Held, s.Reason = PhaseRolledBack, 0, false, reason
	return d.publish(now, s, EventRolledBack)
}

// stall publishes once per reason that the step lasts longer than planned. Reasons
// that alternate quickly are not published each time.
func (d *Decider) stall(now time.Time, reason string) []Effect {
	s := d.state
	if s.Held && (s.Reason == reason || now.Sub(d.lastPublished) < minStepDuration) {
		return d.publishRefresh(now)
	}
	s.Held, s.Reason = true, reason
	return d.publish(now, s, EventHeld)
}

// publishRefresh publishes the state if its finishing time changed or
// refreshInterval has passed.
func (d *Decider) publishRefresh(now time.Time) []Effect {
	s := d.state
	if s.FinishBy.Equal(d.desired.FinishBy) && now.Sub(d.lastPublished) < refreshInterval {
		return nil
	}
	s.FinishBy = d.desired.FinishBy
	return d.publish(now, s, "")
}
