package idempotency

import "time"

// Event is an input of the reducer.
type Event interface{ event() }

type (
	// RemoveExpired lets time pass.
	Tick struct{}
	// Claimed asks for a claim; its result is an Answered effect with the ticket.
	Claimed struct {
		Ticket   uint64
		Request  request
		Deadline time.Time
	}
	// RolloutCompleted reports the end of a claimed call.
	Completed struct{ Request request }
	// ReadResult is the result of Load: the segments from the requested one on, or, for
	// a full load, all that hold claims in force, oldest first.
	Loaded struct {
		Shard    int
		Segments []segment
		// Version is that of the last segment.
		Version string
		Failed  bool
	}
	// Written is the result of Write.
	Written struct {
		Shard int
		// Version is that of the stored segment if the write is known to have taken effect.
		Version string
		// NotApplied means that the write certainly did not take effect for a reason
		// other than a conflict.
		NotApplied bool
	}
	// Disowned says that this node has not owned a shard for a while.
	Disowned struct{ Shard int }
)

func (Tick) event()      {}
func (Claimed) event()   {}
func (Completed) event() {}
func (Loaded) event()    {}
func (Written) event()   {}
func (Disowned) event()  {}

// Effect is an output of the reducer.
type Effect interface{ effect() }

type (
	// Load reads a shard's segments: all if Full, else from sequence From on.
	Load struct {
		Shard int
		Full  bool
		From  uint64
	}
	// WriteObject stores a segment on condition that its stored version is Version, or
	// creates it if Version is empty.
	Write struct {
		Shard   int
		Segment segment
		Version string
	}
	// WriteIndex stores the hint where the open segment is.
	WriteIndex struct {
		Shard int
		Open  uint64
	}
	// DeleteStart removes a segment without claims in force.
	Delete struct {
		Shard    int
		Sequence uint64
	}
	// RecordAck ends a claim.
	Answered struct {
		Ticket uint64
		Reply  reply
	}
	// Wake asks for a Tick at a time.
	Wake struct{ At time.Time }
)

func (Load) effect()       {}
func (Write) effect()      {}
func (WriteIndex) effect() {}
func (Delete) effect()     {}
func (Answered) effect()   {}
func (Wake) effect()       {}
