package move

import (
	"time"

	"github.com/azurespring/azurespring/pkg/timeline"
)

// Event is one input of the deciders. Either Tick or exactly one of the pointers is
// set.
type Event struct {
	// Service is the service that the event concerns. It is empty for Tick, which
	// concerns all services.
	Service      string
	Tick         bool
	Desired      *DesiredMove
	Capacity     *Capacity
	Report       *EvidenceReport
	Role         *Role
	UpdatedState *State
	Restored     *RestoreResult
}

// DesiredMove is a service's move as configured. To is empty if none is configured.
type DesiredMove struct {
	From, To string
	FinishBy time.Time
	Paused   bool
	Canceled bool
	// CriteriaHash identifies the routes and definitions of success by which calls
	// are classified.
	CriteriaHash uint64
}

// Capacity is a service's slots and reporters according to the member table.
type Capacity struct {
	// OldSlots and NewSlots are the slots of ready targets by version.
	OldSlots, NewSlots int
	// Reporters are the live instances with targets of the service.
	Reporters []string
}

// Role says whether this instance decides the service's move.
type Role struct {
	IsDecider bool
	// FencingToken is the fencing token of the lease, 0 if none is held.
	FencingToken uint64
}

// RestoreResult is the result of reading the service's earlier states from the
// platform.
type RestoreResult struct {
	States []State
	// Answered is false if the platform did not respond.
	Answered bool
}

// Effect is one output of the deciders.
type Effect struct {
	// Publish is a state to replicate by gossip and to store in the platform.
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
