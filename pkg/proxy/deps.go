// Package proxy carries calls: from the caller to the entry node, over at most
// one hop to the target node, and from there to the target beside it.
package proxy

import (
	"context"
	"time"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/observation"
	"github.com/azurespring/azurespring/pkg/quarantine"
	"github.com/azurespring/azurespring/pkg/routing"
	"github.com/azurespring/azurespring/pkg/timeline"
	"github.com/azurespring/azurespring/pkg/transport"
)

// Options are the collaborators of the request path. Table, Snapshot and Calls are
// required; the others have defaults.
type Options struct {
	Locality routing.Locality
	// RoutingTable returns the routing table in force, nil before the first.
	RoutingTable func() *routing.Table
	// Snapshot returns the configuration in force, nil before the first.
	Snapshot   func() *dynamic.Snapshot
	CallOpener transport.CallOpener
	Observer   observation.Observer
	Timeline   timeline.Recorder
	// Claimer may be nil; calls with an idempotency key are then refused.
	Claimer    IdempotencyClaimer
	Quarantine *quarantine.Registry
	// Now defaults to time.Now.
	Now func() time.Time
}

func (d Options) withDefaults() Options {
	if d.Observer == nil {
		d.Observer = observation.MultiObserver(nil)
	}
	if d.Timeline == nil {
		d.Timeline = timeline.NopRecorder{}
	}
	if d.Now == nil {
		d.Now = time.Now
	}
	if d.Quarantine == nil {
		d.Quarantine = quarantine.New(d.Now, nil, nil)
	}
	return d
}

// ClaimKey identifies a keyed call.
type ClaimKey struct {
	Customer, Service, Route, Key string
	// Fingerprint identifies the request's content; empty if it is not known yet.
	Fingerprint string
}

// ClaimResult is the answer to a claim of an idempotency key.
type ClaimResult struct {
	// Granted is set if no call with this key was let through before. The claimant
	// must call Complete.
	Granted bool
	// Response is the recorded answer of the first call, nil if it is unknown.
	Response []byte
}

// Completion is how a claimed call ended.
type Completion struct {
	// NotRun is set if the call did not run, so that the key may be claimed again.
	NotRun bool
	// Response is a small answer to be recorded, else nil.
	Response []byte
}

// IdempotencyClaimer lets each key through once. Implementations are safe for
// concurrent use.
type IdempotencyClaimer interface {
	// Claim claims key. A *verdict.Error reaches the caller as it is; any other
	// error refuses the call with key-store-unavailable.
	Claim(ctx context.Context, key ClaimKey) (ClaimResult, error)
	// Complete ends a claim that was First. It must not wait for the platform.
	Complete(ctx context.Context, key ClaimKey, completion Completion)
}

// Bounds of calls.
const (
	// maxDepth is the number of nested calls that may be below one another.
	maxDepth = 7
	// defaultDeadline applies to routes without a deadline of their own, so that no
	// call can hold a slot for good.
	defaultDeadline = 30 * time.Second
	// deadlineGrace is the time past the deadline in which the entry node waits for
	// the target node's verdict, which knows whether the call ran: two one-way
	// delays between regions and some scheduling.
	deadlineGrace = 30 * time.Millisecond
	// progressTimeout ends a streamed answer or body that stands still.
	progressTimeout = 10 * time.Second
	// readAheadTime is how long a body of unknown length is awaited while requests
	// are under suspicion.
	readAheadTime = 100 * time.Millisecond
	// maxTries bounds the targets that one call is sent to.
	maxTries = 3
	// treeRetries is the retry budget of a call and all calls nested in it.
	treeRetries = 2
	// smallBodyBytes is the length up to which bodies are held whole, so that they
	// can be sent again and slow senders hold no slot.
	smallBodyBytes = quarantine.MaxHashedBodyBytes
	// smallAnswerBytes is the length up to which an answer is held until it is
	// whole, so that a cut one becomes a proper error.
	smallAnswerBytes = transport.MaxCallFrameBytes
	// sampleEvery is the share of calls whose hops are recorded although they succeed.
	sampleEvery = 1024
)

// Kinds of timeline events of calls.
const (
	eventTry     timeline.Kind = "call-try"
	eventServed  timeline.Kind = "call-served"
	eventVerdict timeline.Kind = "call-verdict"
	eventCrash   timeline.Kind = "target-crashed"
)
