// Package proxy forwards calls from the caller to the entry node, over at most one
// hop to the node of the chosen target, and from there to the target, which runs on
// the same instance as its node.
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

// Options are the dependencies of EntryHandler and TargetHandler. RoutingTable,
// Snapshot and CallOpener are required; the others have defaults.
type Options struct {
	Locality routing.Locality
	// RoutingTable returns the active routing table, nil before the first.
	RoutingTable func() *routing.Table
	// Snapshot returns the active configuration, nil before the first.
	Snapshot   func() *dynamic.Snapshot
	CallOpener transport.CallOpener
	Observer   observation.Observer
	Timeline   timeline.Recorder
	// Claimer may be nil; calls with an idempotency key are then rejected.
	Claimer    IdempotencyClaimer
	Quarantine *quarantine.Registry
	// Now defaults to time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	if o.Observer == nil {
		o.Observer = observation.MultiObserver(nil)
	}
	if o.Timeline == nil {
		o.Timeline = timeline.NopRecorder{}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Quarantine == nil {
		o.Quarantine = quarantine.New(o.Now, nil, nil)
	}
	return o
}

// ClaimKey identifies a call with an idempotency key.
type ClaimKey struct {
	Customer, Service, Route, Key string
	// Fingerprint identifies the request's content; empty if the body is not complete.
	Fingerprint string
}

// ClaimResult is the result of a claim of an idempotency key.
type ClaimResult struct {
	// Granted is set if no earlier call holds this key. The claimant must then call
	// Complete.
	Granted bool
	// Response is the recorded response to the first call, nil if there is none.
	Response []byte
}

// Completion is how a claimed call ended.
type Completion struct {
	// NotRun is set if the call did not run, so that the key may be claimed again.
	NotRun bool
	// Response is the response to record; nil if the call failed or the response is
	// too large.
	Response []byte
}

// IdempotencyClaimer grants each idempotency key to one call. Implementations are
// safe for concurrent use.
type IdempotencyClaimer interface {
	// Claim claims key. A *verdict.Error is returned to the caller unchanged; any
	// other error rejects the call with key-store-unavailable.
	Claim(ctx context.Context, key ClaimKey) (ClaimResult, error)
	// Complete ends a claim that was granted. It must not wait for the platform.
	Complete(ctx context.Context, key ClaimKey, completion Completion)
}

// Limits and timeouts of calls.
const (
	// maxNestingDepth is the maximum depth of nested calls; a call from outside has depth 0.
	maxNestingDepth = 7
	// defaultDeadline applies to routes without a deadline of their own, so that no
	// call can hold a slot indefinitely.
	defaultDeadline = 30 * time.Second
	// deadlineGrace is how long after the deadline the entry node still waits for the
	// verdict of the target node, which knows whether the call ran. It covers two
	// one-way delays between regions and some scheduling delay.
	deadlineGrace = 30 * time.Millisecond
	// progressTimeout aborts a streamed request body or response that makes no
	// progress.
	progressTimeout = 10 * time.Second
	// readAheadTimeout bounds the wait for the start of a body of unknown length, which
	// the fingerprint needs while the quarantine registry is not empty.
	readAheadTimeout = 100 * time.Millisecond
	// maxAttempts is the maximum number of endpoints that one call is sent to.
	maxAttempts = 3
	// callTreeRetries is the number of retries that a call and all calls nested in it
	// share.
	callTreeRetries = 2
	// maxBufferedBodyBytes is the size up to which request bodies are buffered
	// completely, so that they can be sent again and slow senders hold no slot.
	maxBufferedBodyBytes = quarantine.MaxHashedBodyBytes
	// maxBufferedResponseBytes is the size up to which a response is buffered until
	// it is complete, so that the caller gets an error response instead of a truncated
	// one.
	maxBufferedResponseBytes = transport.MaxCallFrameBytes
	// One in sampleEvery calls is recorded on the timeline although it succeeds.
	sampleEvery = 1024
)

// Kinds of timeline events of calls.
const (
	eventAttempt timeline.Kind = "call-try"
	eventServed  timeline.Kind = "call-served"
	eventVerdict timeline.Kind = "call-verdict"
	eventCrash   timeline.Kind = "target-crashed"
)
