// Package observation describes finished calls for the packages that judge
// moves and departments' promises.
package observation

import (
	"time"

	"github.com/azurespring/azurespring/pkg/verdict"
)

// Reporter says which node observed a call.
type Reporter uint8

const (
	// ReporterEntryNode is the node where the call entered; it sees what the caller saw.
	ReporterEntryNode Reporter = iota
	// ReporterTargetNode is the node beside the target.
	ReporterTargetNode
)

// Call is one finished call as one node observed it.
type Call struct {
	Reporter   Reporter
	EndTime    time.Time
	Customer   string
	Service    string
	Route      string
	Department string
	// Version is the target version that ran the call, empty if none was chosen.
	Version string
	// Status is the HTTP status given to the caller.
	Status int
	// Code is empty if the target answered.
	Code    verdict.Code
	Verdict verdict.Verdict
	// Latency is the time from receipt to the end of the answer. On the target's
	// side it leaves out the time in the admission queue.
	Latency time.Duration
	// TargetCrashed is set if the target's process ended during the call.
	TargetCrashed bool
}

// Observer takes finished calls. Observe is called on the request path, must
// not block and is safe for concurrent use.
type Observer interface {
	Observe(call Call)
}

// MultiObserver passes each call on to all its members.
type MultiObserver []Observer

// Observe implements Observer.
func (o MultiObserver) Observe(call Call) {
	for _, observer := range o {
		observer.Observe(call)
	}
}
