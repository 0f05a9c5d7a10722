package idempotency

import "time"

// Event is an input of the reducer.
type Event interface{ event() }

type (
	// Tick lets time pass.
	Tick struct{}
	// ClaimRequested asks for a claim; its result is an Answered effect with the ticket.
	ClaimRequested struct {
		CorrelationID uint64
		Request       request
		Deadline      time.Time
	}
	// CallCompleted reports the end of a claimed call.
	CallCompleted struct{ Request request }
	// LoadEnded is the result of Load: the segments from the requested one on, or, for
	// a full load, all that hold claims in force, oldest first.
	LoadEnded struct {
		Shard    int
		Segments []segment
		// ResourceVersion is that of the last segment.
		ResourceVersion string
		Failed          bool
	}
	// WriteEnded is the result of Write.
	WriteEnded struct {
		Shard int
		// ResourceVersion is that of the stored segment if the write is known to have taken effect.
		ResourceVersion string
		// IsNotApplied means that the write certainly did not take effect for a reason
		// other than a conflict.
		NotApplied bool
	}
	// OwnershipLost says that this node has not owned a shard for a while.
	OwnershipLost struct{ Shard int }
)

func (Tick) event()           {}
func (ClaimRequested) event() {}
func (CallCompleted) event()  {}
func (LoadEnded) event()      {}
func (WriteEnded) event()     {}
func (OwnershipLost) event()  {}

// Effect is an output of the reducer.
type Effect interface{ effect() }

type (
	// LoadSegments reads a shard's segments: all if Full, else from sequence From on.
	LoadSegments struct {
		Shard        int
		Full         bool
		FromSequence uint64
	}
	// WriteSegment stores a segment on condition that its stored version is Version, or
	// creates it if Version is empty.
	WriteSegment struct {
		Shard           int
		Segment         segment
		ResourceVersion string
	}
	// WriteIndex stores the hint where the open segment is.
	WriteIndex struct {
		Shard        int
		OpenSequence uint64
	}
	// DeleteSegment removes a segment without claims in force.
	DeleteSegment struct {
		Shard    int
		Sequence uint64
	}
	// Respond ends a claim.
	Respond struct {
		CorrelationID uint64
		Reply         reply
	}
	// ScheduleTick asks for a Tick at a time.
	ScheduleTick struct{ At time.Time }
)

func (LoadSegments) effect()  {}
func (WriteSegment) effect()  {}
func (WriteIndex) effect()    {}
func (DeleteSegment) effect() {}
func (Respond) effect()       {}
func (ScheduleTick) effect()  {}
