// Package move carries traffic of a service from one target version to the
// next in steps, judged by the departments' own definitions of success.
package move

import "time"

// Phase is the phase of a move.
type Phase uint8

// The phases of a move. TakenBack wins every merge.
const (
	Running Phase = iota + 1
	Done
	TakenBack
)

// ShareUnit is the denominator of shares of traffic.
const ShareUnit = 10_000

// State is the replicated state of one move.
type State struct {
	Service  string    `cbor:"1,keyasint" json:"service"`
	From     string    `cbor:"2,keyasint" json:"from"`
	To       string    `cbor:"3,keyasint" json:"to"`
	FinishBy time.Time `cbor:"4,keyasint" json:"finishBy"`
	Phase    Phase     `cbor:"5,keyasint" json:"phase"`
	// Share is the new version's share of traffic in units of 1/ShareUnit.
	Share int `cbor:"6,keyasint" json:"share"`
	// Fence is the fencing number of the lease under which the state was written.
	Fence uint64 `cbor:"7,keyasint" json:"fence"`
	// Takeover counts changes of the decider while no lease could be had.
	Takeover uint64 `cbor:"8,keyasint" json:"takeover"`
	Sequence uint64 `cbor:"9,keyasint" json:"sequence"`
	// Reason says why the move is done, held or taken back.
	Reason string `cbor:"10,keyasint" json:"reason"`
}

// Shares is what the request path needs to know of all moves.
type Shares map[string]Split

// Split divides the calls of one service between two versions.
type Split struct {
	From, To string
	// Share of To in units of 1/ShareUnit.
	Share int
}
