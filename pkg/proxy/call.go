package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/quarantine"
	"github.com/azurespring/azurespring/pkg/routing"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// call is the state of one call at its entry node.
type call struct {
	handler         *EntryHandler
	w               http.ResponseWriter
	r               *http.Request
	started         time.Time
	deadline        time.Time
	ctx             context.Context
	cancel          context.CancelFunc
	stopParentWatch func() bool
	stopBodyWatch   func()

	id        string
	isSampled bool
	table     *routing.Table
	snapshot  *dynamic.Snapshot
	customer  *dynamic.Customer
	service   *dynamic.Service
	route     *dynamic.Route
	// parent is the call in flight that this call is nested in, nil for calls from
	// outside the mesh.
	parent            *inFlightCall
	depth             int
	weight            int
	remainingRetries  int
	isIdempotent      bool
	hasIdempotencyKey bool
	permit            routing.Permit
	body              *requestBody
	headerFrame       callHeaderFrame

	// attemptStarted and responseStarted are the times from which the time to response
	// start of the last attempt is computed.
	attemptStarted  time.Time
	responseStarted time.Time
	// headerSent is set once the response header was sent to the caller.
	headerSent bool
	status     int
	version    string
	// hasWriteDeadline is set if writes to the caller have a deadline.
	hasWriteDeadline bool
	// targetLoad is the target's load as the last attempt reported it.
	targetLoad *routing.Load
	// recording collects the response to a call with an idempotency key, nil for
	// other calls.
	recording *recordedResponse
}

func (c *call) release() {
	if c.stopParentWatch != nil {
		c.stopParentWatch()
	}
	if c.stopBodyWatch != nil {
		c.stopBodyWatch()
	}
	if c.cancel != nil {
		c.cancel()
	}
	c.permit.Release()
	if c.hasWriteDeadline {
		_ = http.NewResponseController(c.w).SetWriteDeadline(time.Time{})
	}
	if c.parent != nil {
		c.parent.returnRetries(c.remainingRetries)
	}
}

// fillHeaderFrame sets the fields that are the same in all attempts.
func (c *call) fillHeaderFrame() {
	length := c.r.ContentLength
	if body, ok := c.body.complete(); ok {
		length = int64(len(body))
	}
	c.headerFrame = callHeaderFrame{
		RequestID: c.id, Customer: c.customer.Name, Plan: c.customer.Plan, Weight: c.weight,
		Service: c.service.Name, Route: c.route.Name, Department: c.route.Department,
		Method: c.r.Method, URI: c.r.URL.RequestURI(), Host: c.r.Host,
		Header: flattenHeader(c.r.Header, excludedRequestHeaders), ContentLength: length,
		Depth: c.depth, ConfigVersion: c.snapshot.Version(), Sampled: c.isSampled,
	}
	for name := range c.r.Trailer {
		c.headerFrame.Trailers = append(c.headerFrame.Trailers, name)
	}
}

// maxCrashesPerCall is the number of target crashes during one call after which the
// call is not retried, because the call may be their cause.
const maxCrashesPerCall = 2

// crashResponseDelay is the delay of the response to a call that was in flight at
// a crash, so that a retry by the caller reaches nodes that know of the crash.
// Gossip takes about six hops with batches of 20 ms to reach all nodes of a large
// fleet.
const crashResponseDelay = 300 * time.Millisecond

// runAttempts sends the call to endpoints until one responds or no retry is allowed.
func (c *call) runAttempts() *verdict.Error {
	c.handler.retryBudget.Deposit()
	var attemptedArray [maxAttempts]*routing.Endpoint
	attempted := attemptedArray[:0]
	var failures attemptFailures
	for {
		if err := c.checkQuarantine(); err != nil {
			return failures.finalError(err)
		}
		endpoint, err := c.table.Choose(c.service.Name, c.customer.Name, attempted, c.handler.options.Now())
		if err != nil {
			return failures.finalError(err)
		}
		if err = c.attempt(endpoint); err == nil {
			return nil
		}
		failures.add(err)
		if failures.crashes >= maxCrashesPerCall || !c.withdrawRetry(err, len(attempted)+1) {
			c.delayCrashResponse(failures.crashes)
			return failures.finalError(err)
		}
		attempted = append(attempted, endpoint)
	}
}

// attemptFailures collects the errors of the failed attempts of one call.
type attemptFailures struct {
	last *verdict.Error
	// mayHaveRun is the last error of an attempt that may have run.
	mayHaveRun *verdict.Error
	crashes    int
}

func (f *attemptFailures) add(err *verdict.Error) {
	f.last = err
	if err.Verdict == verdict.MayHaveRun {
		f.mayHaveRun = err
	}
	if err.Code == verdict.TargetCrashed {
		f.crashes++
	}
}

// finalError returns the error that the caller gets if err ended the call. It
// says not-run only if no attempt may have run.
func (f *attemptFailures) finalError(err *verdict.Error) *verdict.Error {
	switch {
	case f.mayHaveRun != nil && err.Verdict == verdict.NotRun:
		return f.mayHaveRun
	case f.last != nil && err.Code == verdict.NoTarget:
		return f.last
	}
	return err
}

func (c *call) delayCrashResponse(crashes int) {
	if crashes == 0 {
		return
	}
	timer := time.NewTimer(crashResponseDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

// checkQuarantine rejects a request that crashed targets. It runs before each
// attempt, because the crash of the last attempt may have put the request into
// quarantine.
func (c *call) checkQuarantine() *verdict.Error {
	registry := c.handler.options.Quarantine
	if registry.Empty() {
		return nil
	}
	hasher := quarantine.NewHasher(c.service.Name, c.route.Name, c.r.Method, c.headerFrame.URI)
	buffered, _ := c.body.complete()
	_, _ = hasher.Write(buffered)
	return rejectQuarantined(registry.Remaining(hasher.Sum()))
}

func rejectQuarantined(remaining time.Duration) *verdict.Error {
	if remaining <= 0 {
		return nil
	}
	err := verdict.NotRunErrorf(verdict.Quarantined, "equal requests crashed targets")
	err.RetryAfter = remaining
	return err
}

// withdrawRetry reports whether a failed attempt may be retried. If so, it takes the
// retry from the budgets of the call tree and of the node.
func (c *call) withdrawRetry(err *verdict.Error, attempts int) bool {
	if attempts >= maxAttempts || c.headerSent || c.ctx.Err() != nil || !c.body.replayable() {
		return false
	}
	if err.Verdict != verdict.NotRun && (!c.isIdempotent || c.hasIdempotencyKey) {
		return false
	}
	switch err.Code {
	case verdict.Overloaded, verdict.DeadlineUnreachable, verdict.Draining, verdict.NoTarget, verdict.TargetShed,
		verdict.TargetFailed, verdict.TargetCrashed, verdict.AnswerCut:
	default:
		return false
	}
	if c.remainingRetries == 0 || !c.handler.retryBudget.TryWithdraw() {
		return false
	}
	c.remainingRetries--
	return true
}

// attempt sends the call to one endpoint.
func (c *call) attempt(endpoint *routing.Endpoint) *verdict.Error {
	c.version, c.targetLoad, c.status = endpoint.Version, nil, 0
	c.headerFrame.TargetID, c.headerFrame.Version, c.headerFrame.RemainingRetries = endpoint.ID, endpoint.Version, c.remainingRetries
	c.attemptStarted = c.handler.options.Now()
	c.headerFrame.RemainingTime = c.deadline.Sub(c.attemptStarted)
	endpoint.BeginAttempt()
	var err *verdict.Error
	if endpoint.Local && c.handler.targetHandler != nil {
		err = c.attemptLocal()
	} else {
		err = c.attemptRemote(endpoint)
	}
	endpoint.EndAttempt(c.handler.options.Now(), c.attemptResult(err))
	if err != nil || c.isSampled {
		c.recordEvent(eventAttempt, endpoint, err)
	}
	return err
}

// attemptResult classifies an attempt for the endpoint's statistics. A call that its
// caller canceled is inconclusive; a missed deadline is not, because the target did
// not respond in time.
func (c *call) attemptResult(err *verdict.Error) routing.AttemptResult {
	attemptResult := routing.AttemptResult{Load: c.targetLoad}
	switch {
	case err == nil:
		attemptResult.ServerError = c.status >= http.StatusInternalServerError
		attemptResult.TimeToResponseStart = c.responseStarted.Sub(c.attemptStarted)
	case err.Code == verdict.TargetFailed, err.Code == verdict.TargetCrashed, err.Code == verdict.AnswerCut,
		err.Code == verdict.NoTarget, err.Code == verdict.Draining:
		attemptResult.Unreachable = true
	case err.Code == verdict.DeadlineExceeded && err.Verdict == verdict.MayHaveRun:
		attemptResult.ServerError = true
	default:
		attemptResult.Inconclusive = true
	}
	return attemptResult
}

// attemptLocal passes the call to a local target.
func (c *call) attemptLocal() *verdict.Error {
	request := &targetRequest{
		headerFrame: &c.headerFrame, deadline: c.deadline, body: &bodyReader{body: c.body}, remainingRetries: c.remainingRetries,
	}
	request.completeBody, request.isBodyComplete = c.body.complete()
	request.trailers = c.body.trailers
	load, err := c.handler.targetHandler.runCall(c.ctx, request, (*callerResponse)(c))
	c.targetLoad = &load
	c.remainingRetries = max(0, min(c.remainingRetries, request.remainingRetries))
	return err
}

// asVerdictError returns the verdict error in err's chain, or nil.
func asVerdictError(err error) *verdict.Error {
	var failure *verdict.Error
	if errors.As(err, &failure) {
		return failure
	}
	return nil
}
