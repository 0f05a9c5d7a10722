// Package move shifts traffic of a service from one target version to the next in
// steps. Calls are classified by the departments' own definitions of success, and
// sequential tests roll a failing version back.
package move

import "time"

// Phase is the phase of a move.
type Phase uint8

// The phases of a move. PhaseRolledBack wins every merge.
const (
	PhaseRunning Phase = iota + 1
	PhaseDone
	PhaseRolledBack
)

// ShareDenominator is the denominator of traffic shares.
const ShareDenominator = 10_000

// State is the replicated state of one move.
type State struct {
	Service  string    `cbor:"1,keyasint" json:"service"`
	From     string    `cbor:"2,keyasint" json:"from"`
	To       string    `cbor:"3,keyasint" json:"to"`
	FinishBy time.Time `cbor:"4,keyasint" json:"finishBy"`
	Phase    Phase     `cbor:"5,keyasint" json:"phase"`
	// Share is the new version's share of traffic in units of 1/ShareDenominator.
	Share int `cbor:"6,keyasint" json:"share"`
	// FencingToken is the fencing token of the lease under which the state was written.
	FencingToken uint64 `cbor:"7,keyasint" json:"fence"`
	// TakeoverCount counts changes of the decider without a new fencing token.
	TakeoverCount uint64 `cbor:"8,keyasint" json:"takeover"`
	Sequence      uint64 `cbor:"9,keyasint" json:"sequence"`
	// Reason says why the move is in its phase and step, or stalled.
	Reason string `cbor:"10,keyasint" json:"reason"`
	// Decider is the instance that wrote the state.
	Decider string `cbor:"11,keyasint" json:"decider"`
	// Held is set while the step is stalled; Reason says why.
	Held bool `cbor:"12,keyasint" json:"held"`
	// StepStarted is the time at which the step was entered.
	StepStarted time.Time `cbor:"13,keyasint" json:"entered"`
	// LastPeriod is the last evidence period that Evidence includes.
	LastPeriod int64 `cbor:"14,keyasint" json:"through"`
	// Evidence is the evidence per route since the start of the move, preceded by the
	// pool of all routes.
	Evidence []RouteEvidence `cbor:"15,keyasint" json:"routes"`
	// RecheckCount counts returns from the last step to the one before, made to
	// compare both versions again after a failed test.
	RecheckCount int `cbor:"16,keyasint" json:"rechecks"`
	// Step is the index in StepShares. Share is lower than the step's share if the new
	// version has too few slots.
	Step int `cbor:"17,keyasint" json:"step"`
	// Started is the time at which the move started.
	Started time.Time `cbor:"18,keyasint" json:"started"`
	// CriteriaHash identifies the definitions of success behind Evidence.
	CriteriaHash uint64 `cbor:"19,keyasint" json:"definition"`
	// MeanBusySlots is the moving average of slots occupied by calls of both versions.
	MeanBusySlots float64 `cbor:"20,keyasint" json:"busySlots"`
}

// RouteEvidence is the evidence of one route in a move, or of all routes if Route is
// empty.
type RouteEvidence struct {
	Route      string `cbor:"1,keyasint" json:"route"`
	Department string `cbor:"2,keyasint" json:"department"`
	Old        Counts `cbor:"3,keyasint" json:"old"`
	New        Counts `cbor:"4,keyasint" json:"new"`
	// RatioTestLLR and RateTestLLR are the log likelihood ratios of the two running
	// sequential tests, CompletedRatioTests and CompletedRateTests the numbers of
	// tests passed before.
	RatioTestLLR        float64 `cbor:"5,keyasint" json:"ratio"`
	RateTestLLR         float64 `cbor:"6,keyasint" json:"rate"`
	CompletedRatioTests int     `cbor:"7,keyasint" json:"ratioTests"`
	CompletedRateTests  int     `cbor:"8,keyasint" json:"rateTests"`
}

// Key is the key of the state in topic gossip.Moves.
func (s State) Key() string { return StateKey(s.Service, s.To) }

// StateKey is the key of a service's move to a version in topic gossip.Moves.
func StateKey(service, to string) string { return service + "/" + to }

// TrafficSplits holds the traffic splits of all moves by service, for the request
// path.
type TrafficSplits map[string]TrafficSplit

// TrafficSplit divides the calls of one service between two versions.
type TrafficSplit struct {
	From, To string
	// Share is the traffic share of To in units of 1/ShareDenominator.
	Share int
}
