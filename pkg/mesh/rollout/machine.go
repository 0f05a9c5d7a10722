package rollout

import (
	"time"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// CanaryShare is the share of a service's requests that a new version gets
// until it is judged. It stays below the share that a bad version may get, so
// that the shift, which ends within a fraction of a second if the version turns
// out bad under load, fits into the rest.
const CanaryShare = 0.06

// Parts of a rollout's duration: the shift of all traffic begins at shiftAt, the
// order is completed at completeAt. The time between them must cover the
// requests that the old version still runs, because its endpoints stop at
// completion.
const (
	shiftAt    = 0.55
	completeAt = 0.85
	// giveUpAt rolls back a version that got too few requests to be judged.
	giveUpAt = 0.8
	// minCalls is the number of answers without which a version is not judged good.
	minCalls = 10
)

// minShift is the least time between the shift and the completion.
const minShift = 1500 * time.Millisecond

// stagger is the time by which a node of lower rank waits longer for a step, so
// that usually only one node writes; writeRetry the pause between two writes of
// the same step.
const (
	stagger    = 700 * time.Millisecond
	writeRetry = 500 * time.Millisecond
)

// Phase is a stage of a rollout.
type Phase string

// The phases. Shift sends all requests to the new version.
const (
	Canary Phase = "canary"
	Shift  Phase = "shift"
)

// Progress is the stored progress of a rollout.
type Progress struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Phase   Phase  `json:"phase"`
	// StartedUnixMs is when the order was first seen, in Unix milliseconds.
	StartedUnixMs int64 `json:"startedMs"`
}

// Policy says which version of a service a request may be sent to.
type Policy struct {
	// Version is the new version.
	Version string
	// Share of the requests goes to the new version, the others never do. 1 means
	// that no request goes to another version.
	Share float64
}

// EventKind says what an Event reports.
type EventKind uint8

// The kinds of events.
const (
	// RolloutsReplaced replaces all orders by those of the event.
	RolloutsReplaced EventKind = iota + 1
	// ProgressRead reports stored progress.
	ProgressRead
	// VersionFailed reports that the local judge found the version bad.
	VersionFailed
	// Tick lets time pass.
	Tick
)

// Event is one input of the machine.
type Event struct {
	Kind     EventKind
	Rollouts []mesh.Rollout
	Progress Progress
	// Service and Version name the rollout of Bad.
	Service string
	Version string
	// NowUnixMs is the time of day of Progressed and Tick in Unix milliseconds.
	NowUnixMs int64
	// Roles is this node's part in each rollout, by service, for Tick.
	Roles map[string]NodeRole
}

// NodeRole is a node's part in a rollout.
type NodeRole struct {
	// Rank orders the nodes beside endpoints of the new version; -1 for others.
	// The node of rank 0 gets the canary requests.
	Rank int
	// ResultCount is the number of answers that the local judge saw.
	ResultCount int
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

// Effect is a write that the machine asks for.
type Effect struct {
	Kind     EffectKind
	Rollout  mesh.Rollout
	State    mesh.RolloutState
	Progress Progress
	// Reason says what decided it.
	Reason string
}

// StateMachine is the deterministic state of all rollouts at one node. It is not
// safe for concurrent use.
//
// Invariants: a version that was found bad gets no more requests from this node;
// no order is completed before the shift has lasted minShift.
type StateMachine struct{ orders map[string]*order }

type order struct {
	rollout mesh.Rollout
	// start is when the order was seen, corrected by stored progress.
	start    time.Time
	phase    Phase
	shiftAt  time.Time
	bad      bool
	lastDone time.Time
}

// NewStateMachine returns a machine without orders.
func NewStateMachine() *StateMachine { return &StateMachine{orders: make(map[string]*order)} }

// Step applies one event.
func (m *StateMachine) Step(now time.Time, event Event) []Effect {
	switch event.Kind {
	case RolloutsReplaced:
		m.replace(now, event.Rollouts)
	case ProgressRead:
		m.progressed(now, event)
	case VersionFailed:
		if o := m.orders[event.Service]; o != nil && o.rollout.Version == event.Version {
			o.bad = true
			o.lastDone = time.Time{}
		}
	case Tick:
		return m.tick(now, event)
	}
	return nil
}

func (m *StateMachine) replace(now time.Time, rollouts []mesh.Rollout) {
	seen := make(map[string]bool, len(rollouts))
	for _, r := range rollouts {
		seen[r.Service] = true
		o := m.orders[r.Service]
		if o == nil || o.rollout.Version != r.Version {
			o = &order{start: now, phase: Canary}
			m.orders[r.Service] = o
		}
		o.rollout = r
	}
	for service := range m.orders {
		if !seen[service] {
			delete(m.orders, service)
		}
	}
}

func (m *StateMachine) progressed(now time.Time, event Event) {
	p := event.Progress
	o := m.orders[p.Service]
	if o == nil || o.rollout.Version != p.Version {
		return
	}
	// A node that started later than the order takes over its age. The wall clock
	// may be off, so that the age is believed only within the duration.
	age := time.Duration(event.NowUnixMs-p.StartedUnixMs) * time.Millisecond
	if age > now.Sub(o.start) && age <= o.rollout.Duration {
		o.start = now.Add(-age)
	}
	if p.Phase == Shift && o.phase != Shift {
		o.phase, o.shiftAt = Shift, now
	}
}

// Policies returns the policy of each service with an order.
func (m *StateMachine) Policies() map[string]Policy {
	policies := make(map[string]Policy, len(m.orders))
	for service, o := range m.orders {
		p := Policy{Version: o.rollout.Version, Share: CanaryShare}
		switch {
		case o.rollout.State == mesh.RolloutCompleted:
			p.Share = 1
		case o.rollout.State == mesh.RolloutRolledBack || o.bad:
			p.Share = 0
		case o.phase == Shift:
			p.Share = 1
		}
		policies[service] = p
	}
	return policies
}

// Active returns the orders that are neither completed nor rolled back.
func (m *StateMachine) Active() []mesh.Rollout {
	var open []mesh.Rollout
	for _, o := range m.orders {
		if !o.rollout.State.Terminal() {
			open = append(open, o.rollout)
		}
	}
	return open
}

func (m *StateMachine) tick(now time.Time, event Event) []Effect {
	var effects []Effect
	for service, o := range m.orders {
		if o.rollout.State.Terminal() || now.Sub(o.lastDone) < writeRetry {
			continue
		}
		standing, ok := event.Roles[service]
		if !ok {
			standing.Rank = -1
		}
		step := o.next(now, standing)
		if len(step) == 0 {
			continue
		}
		o.lastDone = now
		for _, e := range step {
			e.Rollout = o.rollout
			if e.Kind == WriteProgress {
				e.Progress.Service, e.Progress.Version = service, o.rollout.Version
				e.Progress.StartedUnixMs = event.NowUnixMs - now.Sub(o.start).Milliseconds()
			}
			effects = append(effects, e)
		}
	}
	return effects
}

// next returns the writes that are due at a node with the given standing.
func (o *order) next(now time.Time, s NodeRole) []Effect {
	if o.bad {
		return []Effect{{Kind: WriteState, State: mesh.RolloutRolledBack, Reason: "the new version's answers are bad"}}
	}
	if s.Rank < 0 {
		return nil
	}
	elapsed := now.Sub(o.start) - time.Duration(s.Rank)*stagger
	due := func(part float64) bool {
		return elapsed >= time.Duration(part*float64(o.rollout.Duration))
	}
	switch {
	case o.phase == Shift && due(completeAt) && now.Sub(o.shiftAt) >= minShift:
		return []Effect{{Kind: WriteState, State: mesh.RolloutCompleted, Reason: "all traffic moved without bad answers"}}
	case o.phase == Canary && due(giveUpAt) && s.Rank == 0 && s.ResultCount < minCalls:
		return []Effect{{Kind: WriteState, State: mesh.RolloutRolledBack, Reason: "too few answers to judge the new version"}}
	case o.phase == Canary && due(shiftAt) && (s.Rank > 0 || s.ResultCount >= minCalls):
		return []Effect{{Kind: WriteProgress, Progress: Progress{Phase: Shift}, Reason: "the new version's answers are good"}}
	case o.rollout.State == "" && elapsed >= 0:
		return []Effect{
			{Kind: WriteState, State: mesh.RolloutRunning, Reason: "the order is new"},
			{Kind: WriteProgress, Progress: Progress{Phase: Canary}, Reason: "the order is new"},
		}
	}
	return nil
}
