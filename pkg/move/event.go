package move

import (
	"time"

	"github.com/azurespring/azurespring/pkg/timeline"
)

// Event is one input of the move reducers. Exactly one of the pointers is set,
// or Tick.
type Event struct {
	// Service is the service that the event concerns; empty for Tick, which
	// concerns all.
	Service      string
	Tick         bool
	Desired      *DesiredMove
	Capacity     *Capacity
	Report       *EvidenceReport
	Role         *Role
	UpdatedState *State
	Restored     *RestoreResult
}

// DesiredMove is what the configuration says about a service's move. To is empty if
// no move is wanted.
type DesiredMove struct {
	From, To string
	FinishBy time.Time
	Paused   bool
	Canceled bool
	// CriteriaHash changes with the routes and definitions of success that
	// evidence is judged by.
	CriteriaHash uint64
}

// Capacity is what the member table says about a service.
type Capacity struct {
	// OldSlots and NewSlots are the slots of ready targets by version.
	OldSlots, NewSlots int
	// Reporters are the live instances with targets of the service.
	Reporters []string
}

// Role says whether this instance decides the service's move.
type Role struct {
	IsDecider bool
	// FencingToken is the fencing number of the lease, 0 if none is held.
	FencingToken uint64
}

// RestoreResult is the answer of the platform about earlier states of the service.
type RestoreResult struct {
	States []State
	// Answered is false if the platform gave no answer.
	Answered bool
}

// Effect is one output of the move reducers.
type Effect struct {
	// Publish is a state to spread and to keep in the platform.
	Publish *State
	// TimelineEvent is an event to record.
	TimelineEvent *timeline.Event
}

// Kinds of timeline events.
const (
	EventStarted     timeline.Kind = "move-started"
	EventStepChanged timeline.Kind = "move-step"
	EventHeld        timeline.Kind = "move-held"
	EventDone        timeline.Kind = "move-done"
	EventRolledBack  timeline.Kind = "move-taken-back"
)
