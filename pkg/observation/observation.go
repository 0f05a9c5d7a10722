// Package observation describes finished calls for the packages that evaluate moves
// and the service level objectives of departments.
package observation

import (
	"time"

	"github.com/azurespring/azurespring/pkg/verdict"
)

// Reporter is the role of the node that observed a call.
type Reporter uint8

const (
	// ReporterEntryNode is the node where the call entered the mesh; it sees the response
	// that the caller received.
	ReporterEntryNode Reporter = iota
	// ReporterTargetNode is the node that is co-located with the target.
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
	// Status is the HTTP status of the response to the caller.
	Status int
	// Code is empty if the target responded.
	Code    verdict.Code
	Verdict verdict.Verdict
	// Latency is the time from the receipt of the request to the end of the response. At
	// the target's node it excludes the time in the admission queue.
	Latency time.Duration
	// TargetCrashed is set if the target's process ended during the call.
	TargetCrashed bool
}

// Observer receives finished calls. Observe is called on the request path; it must
// not block and must be safe for concurrent use.
type Observer interface {
	Observe(call Call)
}

// MultiObserver passes each call to all of its observers.
type MultiObserver []Observer

// Observe implements Observer.
func (o MultiObserver) Observe(call Call) {
	for _, observer := range o {
		observer.Observe(call)
	}
}
