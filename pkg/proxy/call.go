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

// call is one call at its entry node.
type call struct {
	entry    *EntryHandler
	w        http.ResponseWriter
	r        *http.Request
	started  time.Time
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	unlink   func() bool

	id       string
	sampled  bool
	table    *routing.Table
	snapshot *dynamic.Snapshot
	customer *dynamic.Customer
	service  *dynamic.Service
	route    *dynamic.Route
	// parent is the call that the caller is serving, nil for calls from outside.
	parent     *inFlight
	depth      int
	weight     int
	retries    int
	idempotent bool
	keyed      bool
	admission  routing.Permit
	body       *requestBody
	head       callHead

	// tryStarted and answered bound the time that the target took to answer.
	tryStarted time.Time
	answered   time.Time
	// headSent is set once the status is on its way to the caller.
	headSent bool
	status   int
	version  string
	// writeBounded is set if writes to the caller have a deadline.
	writeBounded bool
	// load is what the last try reported of its target.
	load *routing.Load
	// recording collects a small answer to a keyed call; nil if none is wanted.
	recording *recordedAnswer
}

func (c *call) release() {
	if c.unlink != nil {
		c.unlink()
	}
	if c.cancel != nil {
		c.cancel()
	}
	c.admission.Release()
	if c.writeBounded {
		_ = http.NewResponseController(c.w).SetWriteDeadline(time.Time{})
	}
	if c.parent != nil {
		c.parent.returnRetry(c.retries)
	}
}

// fillHead sets what is the same in all tries.
func (c *call) fillHead() {
	length := c.r.ContentLength
	if whole, ok := c.body.whole(); ok {
		length = int64(len(whole))
	}
	c.head = callHead{
		RequestID: c.id, Customer: c.customer.Name, Plan: c.customer.Plan, Weight: c.weight,
		Service: c.service.Name, Route: c.route.Name, Department: c.route.Department,
		Method: c.r.Method, URI: c.r.URL.RequestURI(), Host: c.r.Host,
		Header: flatten(c.r.Header, ownRequest), ContentLength: length,
		Depth: c.depth, ConfigVersion: c.snapshot.Version(), Sampled: c.sampled,
	}
	for name := range c.r.Trailer {
		c.head.Trailers = append(c.head.Trailers, name)
	}
}

// maxCrashes is the number of targets that one call may be in flight at when
// they crash. It may be the cause, so it is not sent on and on.
const maxCrashes = 2

// crashHold is how long the answer to a call that was in flight at a crash is
// held back, so that a resend meets nodes that know of the crash. Gossip needs
// about six hops with batches of 20 ms to reach all nodes of a large fleet.
const crashHold = 300 * time.Millisecond

// runTries sends the call to targets until one answers or no retry is allowed.
func (c *call) runTries() *verdict.Error {
	c.entry.budget.Deposit()
	var first [maxTries]*routing.Endpoint
	tried := first[:0]
	var failures tryFailures
	for {
		if err := c.checkQuarantine(); err != nil {
			return failures.verdict(err)
		}
		endpoint, err := c.table.Choose(c.service.Name, c.customer.Name, tried, c.entry.deps.Now())
		if err != nil {
			return failures.verdict(err)
		}
		if err = c.try(endpoint); err == nil {
			return nil
		}
		failures.add(err)
		if failures.crashes >= maxCrashes || !c.mayRetry(err, len(tried)+1) {
			c.holdCrash(failures.crashes)
			return failures.verdict(err)
		}
		tried = append(tried, endpoint)
	}
}

// tryFailures is what the failed tries of one call told.
type tryFailures struct {
	last *verdict.Error
	// ran is the newest failure of a try that may have run.
	ran     *verdict.Error
	crashes int
}

func (f *tryFailures) add(err *verdict.Error) {
	f.last = err
	if err.Verdict == verdict.MayHaveRun {
		f.ran = err
	}
	if err.Code == verdict.TargetCrashed {
		f.crashes++
	}
}

// verdict returns the error that the caller gets if err ended the call. Not-run
// is true only if it holds for every try.
func (f *tryFailures) verdict(err *verdict.Error) *verdict.Error {
	switch {
	case f.ran != nil && err.Verdict == verdict.NotRun:
		return f.ran
	case f.last != nil && err.Code == verdict.NoTarget:
		return f.last
	}
	return err
}

func (c *call) holdCrash(crashes int) {
	if crashes == 0 {
		return
	}
	timer := time.NewTimer(crashHold)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

// checkQuarantine refuses a request that crashed targets. It runs before each
// try, because the last try may have been the crash that counts.
func (c *call) checkQuarantine() *verdict.Error {
	registry := c.entry.deps.Quarantine
	if registry.Empty() {
		return nil
	}
	hasher := quarantine.NewHasher(c.service.Name, c.route.Name, c.r.Method, c.head.URI)
	kept, _ := c.body.whole()
	_, _ = hasher.Write(kept)
	return refuseQuarantined(registry.Remaining(hasher.Sum()))
}

func refuseQuarantined(left time.Duration) *verdict.Error {
	if left <= 0 {
		return nil
	}
	err := verdict.NotRunErrorf(verdict.Quarantined, "equal requests crashed targets")
	err.RetryAfter = left
	return err
}

// mayRetry reports whether a failed try may be followed by another, and takes
// it from the budgets.
func (c *call) mayRetry(err *verdict.Error, tries int) bool {
	if tries >= maxTries || c.headSent || c.ctx.Err() != nil || !c.body.replayable() {
		return false
	}
	if err.Verdict != verdict.NotRun && (!c.idempotent || c.keyed) {
		return false
	}
	switch err.Code {
	case verdict.Overloaded, verdict.DeadlineUnreachable, verdict.Draining, verdict.NoTarget, verdict.TargetShed,
		verdict.TargetFailed, verdict.TargetCrashed, verdict.AnswerCut:
	default:
		return false
	}
	if c.retries == 0 || !c.entry.budget.TryWithdraw() {
		return false
	}
	c.retries--
	return true
}

// try sends the call to one endpoint.
func (c *call) try(endpoint *routing.Endpoint) *verdict.Error {
	c.version, c.load, c.status = endpoint.Version, nil, 0
	c.head.TargetID, c.head.Version, c.head.Retries = endpoint.ID, endpoint.Version, c.retries
	c.tryStarted = c.entry.deps.Now()
	c.head.Remaining = c.deadline.Sub(c.tryStarted)
	endpoint.BeginAttempt()
	var err *verdict.Error
	if endpoint.Local && c.entry.target != nil {
		err = c.tryLocal()
	} else {
		err = c.tryRemote(endpoint)
	}
	endpoint.EndAttempt(c.entry.deps.Now(), c.outcome(err))
	if err != nil || c.sampled {
		c.record(eventTry, endpoint, err)
	}
	return err
}

// outcome says what a try told about its endpoint. A caller that gives up says
// nothing; a missed deadline does, because the target was silent until then.
func (c *call) outcome(err *verdict.Error) routing.AttemptResult {
	outcome := routing.AttemptResult{Load: c.load}
	switch {
	case err == nil:
		outcome.ServerError = c.status >= http.StatusInternalServerError
		outcome.TimeToResponseStart = c.answered.Sub(c.tryStarted)
	case err.Code == verdict.TargetFailed, err.Code == verdict.TargetCrashed, err.Code == verdict.AnswerCut,
		err.Code == verdict.NoTarget, err.Code == verdict.Draining:
		outcome.Unreachable = true
	case err.Code == verdict.DeadlineExceeded && err.Verdict == verdict.MayHaveRun:
		outcome.ServerError = true
	default:
		outcome.Inconclusive = true
	}
	return outcome
}

// tryLocal hands the call to the target beside this node.
func (c *call) tryLocal() *verdict.Error {
	request := &targetRequest{
		head: &c.head, deadline: c.deadline, body: &bodyReader{body: c.body}, retries: c.retries,
	}
	request.whole, request.isWhole = c.body.whole()
	request.trailers = c.body.trailers
	load, err := c.entry.target.run(c.ctx, request, (*callerAnswer)(c))
	c.load = &load
	c.retries = max(0, min(c.retries, request.retries))
	return err
}

// asVerdict returns the verdict error in err's chain, or nil.
func asVerdict(err error) *verdict.Error {
	var failure *verdict.Error
	if errors.As(err, &failure) {
		return failure
	}
	return nil
}
