package idempotency

import "time"

// Event is an input of the reducer.
type Event interface{ event() }

type (
	// Tick starts the work that is due at the current time.
	Tick struct{}
	// ClaimRequested requests a claim; the result is a Respond effect with the same
	// CorrelationID.
	ClaimRequested struct {
		CorrelationID uint64
		Request       request
		Deadline      time.Time
	}
	// CallCompleted reports the end of the call of a claim.
	CallCompleted struct{ Request request }
	// LoadEnded is the result of LoadSegments: the segments from the requested sequence
	// on or, for a full load, all segments with claims within their retention, oldest
	// first.
	LoadEnded struct {
		Shard    int
		Segments []segment
		// ResourceVersion is the resource version of the last segment.
		ResourceVersion string
		Failed          bool
	}
	// WriteEnded is the result of WriteSegment.
	WriteEnded struct {
		Shard int
		// ResourceVersion is the resource version of the stored segment if the write is
		// known to have taken effect, otherwise empty.
		ResourceVersion string
		// NotApplied means that the write certainly did not take effect, for a reason
		// other than a conflict.
		NotApplied bool
	}
	// OwnershipLost reports that this node has not owned a shard for the grace period.
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
	// LoadSegments reads the segments of a shard: all if Full is set, else those from
	// FromSequence on.
	LoadSegments struct {
		Shard        int
		Full         bool
		FromSequence uint64
	}
	// WriteSegment stores a segment if its resource version in the platform is still
	// ResourceVersion, or creates it if ResourceVersion is empty.
	WriteSegment struct {
		Shard           int
		Segment         segment
		ResourceVersion string
	}
	// WriteIndex stores the sequence of the open segment as a hint for later loads.
	WriteIndex struct {
		Shard        int
		OpenSequence uint64
	}
	// DeleteSegment deletes a segment whose claims are all past their retention.
	DeleteSegment struct {
		Shard    int
		Sequence uint64
	}
	// Respond returns the result of a requested claim.
	Respond struct {
		CorrelationID uint64
		Reply         reply
	}
	// ScheduleTick requests a Tick at a time.
	ScheduleTick struct{ At time.Time }
)

func (LoadSegments) effect()  {}
func (WriteSegment) effect()  {}
func (WriteIndex) effect()    {}
func (DeleteSegment) effect() {}
func (Respond) effect()       {}
func (ScheduleTick) effect()  {}
