package rollout

import (
	"time"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// CanaryShare is the share of a service's requests that a new version gets until it
// is analyzed. It is below the share that a bad version may get in total. The rest
// allows for a version that fails only under the load of the shift, which is rolled
// back within a fraction of a second.
const CanaryShare = 0.06

// A service with few requests gets a larger share, so that its canary is analyzed by about
// wantedResults. At maxCanaryShare until the shift, a bad version of such a service still
// gets less than operators allow (a tenth of all requests and 50).
const (
	wantedResults  = 40
	maxCanaryShare = 0.15
	// minShareRise is the least factor by which the share is raised.
	minShareRise = 1.25
	// measuredAt is the fraction of a rollout's duration after which the rate of the
	// service is estimated from the results so far.
	measuredAt = 0.2
)

// Fractions of a rollout's duration: the shift of all traffic begins at shiftAt if the
// version has passed its analysis by then, and at lastShiftAt at the latest if it is likely
// to be good. The rollout is completed at completeAt. The time between them must cover the
// requests that the old version still runs, because its endpoints are stopped at completion.
const (
	shiftAt     = 0.55
	lastShiftAt = 0.75
	completeAt  = 0.85
	// abortAt rolls back a version that has not passed its analysis.
	abortAt = 0.8
	// minResults is the number of results that a version needs to pass its analysis.
	minResults = 10
)

// minShiftDuration is the least time between the shift and the completion.
const minShiftDuration = 1500 * time.Millisecond

// rankDelay is the delay of a step per rank of a node, so that usually only one node
// writes; writeRetryDelay is the delay between two writes of the same step.
const (
	rankDelay       = 700 * time.Millisecond
	writeRetryDelay = 500 * time.Millisecond
)

// Phase is a stage of a rollout.
type Phase string

// The phases. In the Shift phase all requests go to the new version.
const (
	Canary Phase = "canary"
	Shift  Phase = "shift"
)

// Progress is the stored progress of a rollout.
type Progress struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Phase   Phase  `json:"phase"`
	// Share is the share of requests that go to the version in the Canary phase; 0 stands
	// for CanaryShare.
	Share float64 `json:"share,omitempty"`
	// StartedUnixMs is when the rollout was first seen, in Unix milliseconds.
	StartedUnixMs int64 `json:"startedMs"`
	// Era is the era of the store in which the object was written.
	Era uint64 `json:"era,omitempty"`
}

// Policy determines which version of a service a request may be sent to.
type Policy struct {
	// Version is the new version.
	Version string
	// Share is the share of requests that go to the new version; the others never do.
	// At 1 no request goes to another version.
	Share float64
}

// EventKind says what an Event reports.
type EventKind uint8

// The kinds of events.
const (
	// RolloutsReplaced replaces all rollouts by those of the event.
	RolloutsReplaced EventKind = iota + 1
	// ProgressRead reports stored progress.
	ProgressRead
	// VersionFailed reports that the local analysis of the version failed.
	VersionFailed
	// Tick advances the time.
	Tick
)

// Event is one input of the state machine.
type Event struct {
	Kind     EventKind
	Rollouts []mesh.Rollout
	// Era is the era of the store in which Rollouts were read.
	Era      uint64
	Progress Progress
	// Service and Version identify the rollout of VersionFailed.
	Service string
	Version string
	// NowUnixMs is the time of day of ProgressRead and Tick in Unix milliseconds.
	NowUnixMs int64
	// Roles holds this node's role in each rollout by service, for Tick.
	Roles map[string]NodeRole
}

// NodeRole is a node's role in a rollout.
type NodeRole struct {
	// Rank orders the nodes with endpoints of the new version; -1 for other nodes.
	// The node of rank 0 gets the canary requests.
	Rank int
	// Analysis is the state of the local analysis.
	Analysis Summary
	// RestoreRank orders the nodes that may write a decided state again after the store
	// has lost it; -1 for other nodes.
	RestoreRank int
}

// EffectKind says what an Effect asks for.
type EffectKind uint8

// The kinds of effects.
const (
	// WriteState stores the state of the rollout for operators.
	WriteState EffectKind = iota + 1
	// WriteProgress stores the progress for the nodes.
	WriteProgress
)

// Effect is a write that the state machine requests.
type Effect struct {
	Kind     EffectKind
	Rollout  mesh.Rollout
	State    mesh.RolloutState
	Progress Progress
	// Reason is the cause of the write, for logs.
	Reason string
}

// StateMachine is the deterministic state machine of all rollouts at one node. It is
// not safe for concurrent use.
//
// Invariants: a version that failed its analysis gets no more requests from this node;
// no rollout is completed before the shift has lasted minShiftDuration. A state that was
// decided holds after the store has been restored from a copy that lacks it.
type StateMachine struct {
	rollouts map[string]*trackedRollout
	// era is that of the rollouts that were read last, restoredAt when it rose.
	era        uint64
	restoredAt time.Time
}

// restorePeriod is the time after the store has been restored in which operators and nodes
// write again what it has lost.
const restorePeriod = 30 * time.Second

type trackedRollout struct {
	rollout mesh.Rollout
	// startedAt is when the rollout was first seen, corrected by stored progress.
	startedAt time.Time
	phase     Phase
	// canaryShare is the share in the Canary phase if it was raised, 0 if not.
	canaryShare float64
	shiftedAt   time.Time
	failed      bool
	lastWrite   time.Time
	// lostState is the decided state that the store has lost; "" if it has not. isMissing
	// is set while the store lacks the rollout itself.
	lostState mesh.RolloutState
	isMissing bool
}

// state returns the state of the rollout, also if the store has lost it.
func (t *trackedRollout) state() mesh.RolloutState {
	if t.lostState != "" {
		return t.lostState
	}
	return t.rollout.State
}

// NewStateMachine returns a state machine without rollouts.
func NewStateMachine() *StateMachine {
	return &StateMachine{rollouts: make(map[string]*trackedRollout)}
}

// Step applies one event. Only a Tick returns effects.
func (m *StateMachine) Step(now time.Time, event Event) []Effect {
	switch event.Kind {
	case RolloutsReplaced:
		m.replaceRollouts(now, event.Rollouts, event.Era)
	case ProgressRead:
		m.applyProgress(now, event)
	case VersionFailed:
		if t := m.rollouts[event.Service]; t != nil && t.rollout.Version == event.Version {
			t.failed = true
			t.lastWrite = time.Time{}
		}
	case Tick:
		return m.tick(now, event)
	}
	return nil
}

func (m *StateMachine) replaceRollouts(now time.Time, rollouts []mesh.Rollout, era uint64) {
	if era > m.era {
		if m.era > 0 || len(m.rollouts) > 0 {
			m.restoredAt = now
		}
		m.era = era
	}
	seen := make(map[string]bool, len(rollouts))
	for _, r := range rollouts {
		seen[r.Service] = true
		t := m.rollouts[r.Service]
		if t == nil || t.rollout.Version != r.Version {
			t = &trackedRollout{startedAt: now, phase: Canary}
			m.rollouts[r.Service] = t
		}
		switch {
		case r.State.Terminal():
			t.lostState = ""
		case m.isRestoring(now) && t.rollout.State.Terminal():
			t.lostState = t.rollout.State
		}
		t.rollout, t.isMissing = r, false
	}
	for service, t := range m.rollouts {
		switch {
		case seen[service]:
		case m.isRestoring(now):
			// The operator writes the rollout again.
			t.lostState, t.isMissing = t.state(), true
			if !t.lostState.Terminal() {
				t.lostState = ""
			}
		default:
			delete(m.rollouts, service)
		}
	}
}

// isRestoring reports whether the store has been restored a short time ago.
func (m *StateMachine) isRestoring(now time.Time) bool {
	return !m.restoredAt.IsZero() && now.Sub(m.restoredAt) < restorePeriod
}

func (m *StateMachine) applyProgress(now time.Time, event Event) {
	p := event.Progress
	t := m.rollouts[p.Service]
	if t == nil || t.rollout.Version != p.Version {
		return
	}
	// A node that started after the rollout adopts its stored age. Wall clocks may
	// differ, so an age beyond the rollout's duration is ignored.
	ageMs := event.NowUnixMs - p.StartedUnixMs
	if ageMs > now.Sub(t.startedAt).Milliseconds() && ageMs <= t.rollout.Duration.Milliseconds() {
		t.startedAt = now.Add(-time.Duration(ageMs) * time.Millisecond)
	}
	if p.Share > CanaryShare && p.Share <= maxCanaryShare {
		t.canaryShare = p.Share
	}
	if p.Phase == Shift && t.phase != Shift {
		t.phase, t.shiftedAt = Shift, now
	}
}

// Policies returns the policy of each service with a rollout.
func (m *StateMachine) Policies() map[string]Policy {
	policies := make(map[string]Policy, len(m.rollouts))
	for service, t := range m.rollouts {
		p := Policy{Version: t.rollout.Version, Share: max(t.canaryShare, CanaryShare)}
		switch {
		case t.state() == mesh.RolloutCompleted:
			p.Share = 1
		case t.state() == mesh.RolloutRolledBack || t.failed:
			p.Share = 0
		case t.phase == Shift:
			p.Share = 1
		}
		policies[service] = p
	}
	return policies
}

// Rollout returns the rollout of a service, whatever its state; ok is false if there is none.
func (m *StateMachine) Rollout(service string) (r mesh.Rollout, ok bool) {
	t := m.rollouts[service]
	if t == nil {
		return mesh.Rollout{}, false
	}
	r = t.rollout
	r.State = t.state()
	return r, true
}

// Active returns the rollouts that are neither completed nor rolled back.
func (m *StateMachine) Active() []mesh.Rollout {
	var active []mesh.Rollout
	for _, t := range m.rollouts {
		if !t.state().Terminal() {
			active = append(active, t.rollout)
		}
	}
	return active
}

// Unstored returns the rollouts whose decided state the store has lost.
func (m *StateMachine) Unstored() []mesh.Rollout {
	var unstored []mesh.Rollout
	for _, t := range m.rollouts {
		if t.lostState != "" && !t.isMissing {
			unstored = append(unstored, t.rollout)
		}
	}
	return unstored
}

func (m *StateMachine) tick(now time.Time, event Event) []Effect {
	var effects []Effect
	for service, t := range m.rollouts {
		if t.isMissing && !m.isRestoring(now) {
			delete(m.rollouts, service)
			continue
		}
		if t.rollout.State.Terminal() || t.isMissing || now.Sub(t.lastWrite) < writeRetryDelay {
			continue
		}
		role, ok := event.Roles[service]
		if !ok {
			role.Rank, role.RestoreRank = -1, -1
		}
		var due []Effect
		if t.lostState != "" {
			due = t.restoreEffects(now.Sub(m.restoredAt), role)
		} else {
			due = t.dueEffects(now, role)
		}
		if len(due) == 0 {
			continue
		}
		t.lastWrite = now
		for _, e := range due {
			e.Rollout = t.rollout
			if e.Kind == WriteProgress {
				e.Progress.Service, e.Progress.Version = service, t.rollout.Version
				e.Progress.Share = max(e.Progress.Share, t.canaryShare)
				e.Progress.StartedUnixMs = event.NowUnixMs - now.Sub(t.startedAt).Milliseconds()
			}
			effects = append(effects, e)
		}
	}
	return effects
}

// restoreEffects returns the write of a decided state that the store has lost. elapsed is
// the time since the store was restored.
func (t *trackedRollout) restoreEffects(elapsed time.Duration, role NodeRole) []Effect {
	if role.RestoreRank < 0 || elapsed < time.Duration(role.RestoreRank)*rankDelay {
		return nil
	}
	return []Effect{{Kind: WriteState, State: t.lostState, Reason: "the store has lost the state"}}
}

// dueEffects returns the writes that are due at a node with the given role.
func (t *trackedRollout) dueEffects(now time.Time, role NodeRole) []Effect {
	if t.failed {
		return []Effect{{Kind: WriteState, State: mesh.RolloutRolledBack, Reason: "the new version failed its analysis"}}
	}
	if role.Rank < 0 {
		return nil
	}
	elapsed := now.Sub(t.startedAt) - time.Duration(role.Rank)*rankDelay
	reached := func(fraction float64) bool {
		return elapsed >= time.Duration(fraction*float64(t.rollout.Duration))
	}
	switch {
	case t.phase == Shift && reached(completeAt) && now.Sub(t.shiftedAt) >= minShiftDuration:
		return []Effect{{Kind: WriteState, State: mesh.RolloutCompleted, Reason: "all traffic shifted without a failed analysis"}}
	case t.phase == Canary && t.rollout.State != "" && t.canaryShare == 0 && reached(measuredAt) && !reached(shiftAt) && t.neededShare(elapsed, role) > 0:
		return []Effect{{
			Kind: WriteProgress, Progress: Progress{Phase: Canary, Share: t.neededShare(elapsed, role)},
			Reason: "the service has few requests",
		}}
	case t.phase == Canary && reached(shiftAt) && role.Analysis.passes():
		return []Effect{{Kind: WriteProgress, Progress: Progress{Phase: Shift}, Reason: "the new version passed its canary analysis"}}
	case t.phase == Canary && elapsed >= t.lastShift() && role.Analysis.isLikelyGood():
		return []Effect{{Kind: WriteProgress, Progress: Progress{Phase: Shift}, Reason: "the new version is likely to be good"}}
	case t.phase == Canary && reached(abortAt):
		return []Effect{{Kind: WriteState, State: mesh.RolloutRolledBack, Reason: "the new version did not pass its canary analysis"}}
	case t.rollout.State == "" && elapsed >= 0:
		return []Effect{
			{Kind: WriteState, State: mesh.RolloutRunning, Reason: "the rollout is new"},
			{Kind: WriteProgress, Progress: Progress{Phase: t.phase}, Reason: "the rollout is new"},
		}
	}
	return nil
}

// neededShare returns the share that the canary needs to get wantedResults before the last
// shift, 0 if the present one is enough. Only the node of the canary's endpoint knows.
func (t *trackedRollout) neededShare(elapsed time.Duration, role NodeRole) float64 {
	missing := float64(wantedResults - role.Analysis.Results)
	if role.Rank != 0 || missing <= 0 {
		return 0
	}
	// Without a result yet, the rate is below that of one.
	perSecond := max(float64(role.Analysis.Results), 1) / elapsed.Seconds() / CanaryShare
	share := missing / (perSecond * (t.lastShift() - elapsed).Seconds())
	if share < minShareRise*CanaryShare {
		return 0
	}
	return min(share, maxCanaryShare)
}

// lastShift returns when, after the start of the rollout, all traffic can be shifted at the
// latest, so that the rollout is completed in time.
func (t *trackedRollout) lastShift() time.Duration {
	duration := float64(t.rollout.Duration)
	last := min(time.Duration(lastShiftAt*duration), time.Duration(completeAt*duration)-minShiftDuration)
	return max(last, time.Duration(shiftAt*duration))
}
