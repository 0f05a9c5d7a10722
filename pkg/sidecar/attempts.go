package sidecar

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/azurespring/azurespring/pkg/exchange"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/mesh/rollout"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// runAttempts sends the request to endpoints until one responds or no further attempt
// can help.
func (x *request) runAttempts() (*endpointResponse, *verdict.Error) {
	x.cancels = make(map[int]context.CancelFunc)
	x.results = make(chan attemptResult, maxRejections+x.attemptLimit()+1)
	defer x.cancelAttempts()
	expected, failure := x.startAttempt()
	if failure != nil {
		return nil, failure
	}
	hedge := time.NewTimer(x.hedgeDelay(expected))
	defer hedge.Stop()
	for {
		select {
		case result := <-x.results:
			x.pendingAttempts--
			cancel := x.cancels[result.number]
			delete(x.cancels, result.number)
			if x.applyResult(result) {
				x.servedAttempt = result
				return result.response, nil
			}
			cancel()
			failure = x.failureOf(result)
			if x.mayRetryAfter(failure) {
				_, startFailure := x.startAttempt()
				if startFailure == nil {
					continue
				}
				if failure.Verdict == verdict.NotRun {
					failure = startFailure
				}
			}
			if x.pendingAttempts == 0 {
				return x.finalResult(failure)
			}
		case <-hedge.C:
			if x.route.Kind.Idempotent() && x.mayRetry() {
				_, _ = x.startAttempt() // If no second attempt can be started, the first continues.
			}
		case <-x.ctx.Done():
			x.mayHaveRun = x.mayHaveRun || x.pendingAttempts > 0
			return nil, x.contextError()
		case <-x.entry.deps.requestsEnd.Done():
			x.mayHaveRun = x.mayHaveRun || x.pendingAttempts > 0
			return x.finalResult(verdict.NotRunErrorf(verdict.Draining, "the node stopped before the request ended"))
		}
	}
}

// deliverResult reports the end of an attempt. Once the request is decided, nobody
// reads the response: it is closed, which frees its slot and connection.
func (x *request) deliverResult(result attemptResult) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.isDecided {
		x.results <- result
		return
	}
	result.discard()
}

// cancelAttempts ends all attempts except the one whose response was chosen.
func (x *request) cancelAttempts() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.isDecided = true
	for _, cancel := range x.cancels {
		cancel()
	}
	for {
		select {
		case result := <-x.results:
			result.discard()
		default:
			return
		}
	}
}

func (r attemptResult) discard() {
	if r.response != nil {
		_ = r.response.body.Close()
	}
}

// hedgeDelay returns the time after which a response is overdue. Requests that may run
// only once are not hedged.
func (x *request) hedgeDelay(expected time.Duration) time.Duration {
	if !x.route.Kind.Idempotent() || x.remainingBody != nil {
		return time.Until(x.deadline) + time.Second
	}
	delay := max(hedgeFactor*expected, minHedgeDelay)
	if maxDelay := time.Duration(maxHedgeFraction * float64(x.deadline.Sub(x.started))); delay > maxDelay {
		delay = maxDelay
	}
	return max(delay, x.canaryHedgeDelay)
}

// maxAttempts bounds the attempts of a request whatever its route allows, because the
// buffer of results has room for all of them.
const maxAttempts = 64

// attemptLimit is the number of endpoints that the request may be sent to.
func (x *request) attemptLimit() int { return min(max(x.route.MaxAttempts, 1), maxAttempts) }

// mayRetry reports whether the request may be sent to one more endpoint.
func (x *request) mayRetry() bool {
	switch {
	case x.reachedAttempts+x.pendingAttempts >= x.attemptLimit():
		return false
	case x.remainingBody != nil && x.remainingBody.isStarted.Load():
		// Part of the body is no longer in memory.
		return false
	}
	return x.route.Kind.Idempotent() || !x.mayHaveRun && x.pendingAttempts == 0
}

// mayRetryAfter reports whether another attempt may follow one that ended with failure. It
// may not in the time in which gates reject what they have not begun.
func (x *request) mayRetryAfter(failure *verdict.Error) bool {
	remaining := x.deadline.Sub(x.entry.deps.now())
	if x.ctx.Err() != nil || remaining <= rejectionMargin || x.rejections > maxRejections || failure.Code == verdict.BadRequest || failure.Code == verdict.Quarantined {
		return false
	}
	if failure.Code == verdict.DeadlineUnreachable && (x.rejections >= maxHopelessRejections || x.isLate()) {
		// Where one endpoint has no slot in time, the others that would be in time are full as
		// well; asking them all takes the processor time that served requests need.
		return false
	}
	return x.mayRetry()
}

// eligible returns the candidates that the request may be sent to. Every selection of an
// endpoint goes through it.
func (x *request) eligible(candidates []*placement.Endpoint) []*placement.Endpoint {
	return x.restriction().Filter(candidates)
}

// isLate reports whether the soft deadline of the request has passed.
func (x *request) isLate() bool {
	return x.entry.deps.now().After(x.started.Add(x.route.TargetLatency))
}

// startAttempt starts an attempt at the best endpoint and returns the expected latency
// of its response.
func (x *request) startAttempt() (time.Duration, *verdict.Error) {
	now := x.entry.deps.now()
	remaining := x.deadline.Sub(now)
	table := x.entry.deps.table.Load()
	isFurtherAttempt := x.attempts > 0
	candidates := x.entry.deps.rollouts.candidates(table, x.service, isFurtherAttempt, x.restriction(), x.entry.deps.canaryOrder(x.service))
	if s := x.entry.admission.crashes.suspicion(x.fingerprint); s.IsQuarantined {
		if now.Before(s.TrialDueAt()) {
			return 0, quarantined(s, s.TrialDueAt().Sub(now))
		}
		if candidates = x.eligible(table.InstanceEndpoints(x.service, s.TrialInstance)); len(candidates) == 0 {
			return 0, quarantined(s, max(s.TrialDelay(), minTrialInterval)) // The request may not go where its trial is due.
		}
	}
	candidates = x.eligible(candidates)
	choice, ok := placement.Choose(now, candidates, placement.Request{
		Route: x.route.Name, Kind: x.route.Kind, Timeout: remaining, SoftTimeout: x.started.Add(x.route.TargetLatency).Sub(now), Tried: x.attempted, Rejections: x.rejectedBy,
		Overflow: x.decideOverflow(now, candidates),
	})
	if !ok {
		return 0, noEndpoint(x.service)
	}
	if choice.QueueWait > 0 && choice.ExpectedLatency > remaining && !x.mayGoAhead() {
		err := verdict.NotRunErrorf(verdict.DeadlineUnreachable, "the wait for a slot is longer than the time left")
		err.RetryAfter = choice.QueueWait
		return 0, err
	}
	isRetry := x.reachedAttempts+x.pendingAttempts > 0
	if isRetry && !x.withdrawRetryBudget() {
		return 0, verdict.NotRunErrorf(verdict.Overloaded, "the budget of repeats is used up")
	}
	ctx, cancel := context.WithCancel(x.ctx)
	x.attempts++
	x.pendingAttempts++
	x.cancels[x.attempts] = cancel
	x.attempted = append(x.attempted, choice.Endpoint)
	choice.Endpoint.BeginAttempt()
	go x.runAttempt(ctx, attemptResult{number: x.attempts, endpoint: choice.Endpoint, isRetry: isRetry}, x.newCall(now, choice, isRetry), choice.ExpectedLatency)
	return choice.ExpectedLatency, nil
}

// noEndpointRetryAfter is the usual time until an endpoint that was removed has
// announced itself again.
const noEndpointRetryAfter = 500 * time.Millisecond

func (x *request) withdrawRetryBudget() bool {
	deps := x.entry.deps
	allowed := x.entry.retryBudget(x.service).TryWithdraw(deps.now(), len(deps.table.Load().Instances()))
	allowedLabel := "yes"
	if !allowed {
		allowedLabel = "no"
	}
	deps.metrics.retry(x.service, allowedLabel)
	return allowed
}

// newCall builds the call for the chosen endpoint. isRetry is set if the request was sent
// to an endpoint before.
func (x *request) newCall(now time.Time, choice placement.Choice, isRetry bool) *call {
	e := choice.Endpoint
	c := &call{
		id: x.id, method: x.r.Method, uri: x.r.RequestURI, host: x.r.Host, header: x.header,
		body: x.body, remainingBody: x.remainingBody, contentLength: x.r.ContentLength, deadline: x.deadline,
		hopMetadata: hopMetadata{
			Endpoint: e.ID, Service: e.Service, Version: e.Version, Route: x.route.Name,
			Fingerprint: x.fingerprint,
			Caller:      *x.entry.deps.service.Load(), Priority: x.route.Priority, Idempotent: x.route.Kind.Idempotent(),
			Nested: x.isNested(), Retry: isRetry || x.isInduced,
			TimeoutUs:      x.deadline.Sub(now).Microseconds(),
			SoftTimeoutUs:  x.started.Add(x.route.TargetLatency).Sub(now).Microseconds(),
			MaxQueueWaitUs: choice.MaxQueueWait.Microseconds(),
		},
	}
	if x.tenant != nil {
		c.Tenant, c.TenantPriority = x.tenant.Name, x.tenant.Priority
	}
	if analyzed, shifted := x.entry.deps.rollouts.isAnalyzed(e.Service, e.Version); analyzed {
		baseline := x.entry.baseline(x.route.Name)
		c.BaselineUs = baseline.Microseconds()
		if baseline > 0 {
			x.canaryHedgeDelay = rollout.SlowThreshold(baseline, x.deadline.Sub(now))
		}
		if !shifted {
			// A request that waits for a slot is canceled before its response counts as slow.
			// The old version can run it at once.
			c.MaxQueueWaitUs = 0
		}
	}
	return c
}

// runAttempt runs one attempt and reports its result. expected is the expected latency of
// the response.
func (x *request) runAttempt(ctx context.Context, result attemptResult, c *call, expected time.Duration) {
	var load placement.Load
	if result.endpoint.Distance == placement.SameInstance {
		result.response, load, result.failure = x.entry.admission.serve(ctx, c)
	} else {
		result.response, load, result.failure = x.entry.hops.sendOverLink(ctx, result.endpoint.NodeAddress, c, expected)
	}
	if result.response != nil {
		result.failure = x.bufferBody(result.response)
		if result.failure != nil {
			result.response = nil
		}
	}
	now := x.entry.deps.now()
	if load.Slots > 0 {
		result.endpoint.RecordLoad(now, x.route.Name, load)
	}
	result.endpoint.EndAttempt()
	x.observeOverflow(now, result, load)
	x.deliverResult(result)
}

// applyResult applies the result of an attempt and reports whether its response is
// final.
func (x *request) applyResult(result attemptResult) bool {
	deps := x.entry.deps
	now := deps.now()
	outcome := x.classify(result)
	x.entry.deps.metrics.attempt(distanceNames[result.endpoint.Distance], string(outcome))
	switch outcome {
	case attemptResponded:
		x.reachedAttempts++
		result.endpoint.RecordOutcome(now, true)
		if analyzed, _ := deps.rollouts.isAnalyzed(result.endpoint.Service, result.endpoint.Version); !analyzed {
			x.entry.updateBaseline(x.route.Name, result.response.headerLatency)
		}
		return true
	case attemptRejected, attemptUnreachable:
		x.rejections++
		if result.isRetry {
			x.entry.retryBudget(x.service).Refund(now)
		}
		switch {
		case outcome == attemptUnreachable && isDialFailure(result.failure):
			x.entry.hops.markUnreachable(result.endpoint)
		case outcome == attemptUnreachable:
			result.endpoint.Eject(now)
		case result.failure.Code == verdict.VersionClosed:
			deps.rollouts.markClosed(result.endpoint.Service, result.endpoint.Version)
		default:
			x.allowEndpointAgain(result.endpoint)
			result.endpoint.RecordRejection(now, result.failure.RetryAfter)
			x.rejectedBy = append(x.rejectedBy, placement.Rejection{Endpoint: result.endpoint, QueueWait: result.failure.RetryAfter})
		}
	case attemptShed, attemptFailed, attemptIncomplete:
		x.reachedAttempts++
		if x.ctx.Err() == nil {
			result.endpoint.RecordOutcome(now, false)
		}
		if outcome == attemptIncomplete {
			x.mayHaveRun = true
		}
		if outcome == attemptFailed {
			x.mayHaveRun = true
			x.fallbackResponse = result.response
		}
	}
	x.logFailedAttempt(result, outcome)
	return false
}

// isDialFailure reports whether the connection to the endpoint's node could not be
// opened.
func isDialFailure(failure *verdict.Error) bool {
	var e *exchange.Error
	return errors.As(failure.Cause, &e) && e.DialFailed
}

// allowEndpointAgain lets an endpoint that rejected the request for lack of capacity be
// chosen again, because its load is known now.
func (x *request) allowEndpointAgain(e *placement.Endpoint) {
	for i, attempted := range x.attempted {
		if attempted.Stats == e.Stats {
			x.attempted = append(x.attempted[:i], x.attempted[i+1:]...)
			return
		}
	}
}

// attemptOutcome is how an attempt ended.
type attemptOutcome string

const (
	// attemptResponded has a response to send to the client.
	attemptResponded attemptOutcome = "answered"
	// attemptRejected ended at the admission of the endpoint's node.
	attemptRejected attemptOutcome = "rejected"
	// attemptUnreachable did not reach the admission: no connection, or the endpoint
	// takes no requests.
	attemptUnreachable attemptOutcome = "unreachable"
	// attemptShed reached the endpoint, which stated that it did not run the request.
	attemptShed attemptOutcome = "shed"
	// attemptFailed has an error response of the endpoint; a retry may succeed.
	attemptFailed attemptOutcome = "failed"
	// attemptIncomplete has no complete response; the request may have run.
	attemptIncomplete attemptOutcome = "lost"
)

// classify returns the outcome of an attempt.
func (x *request) classify(result attemptResult) attemptOutcome {
	switch {
	case result.failure == nil && result.response.notRun:
		return attemptShed
	case result.failure == nil && result.response.status >= http.StatusInternalServerError && x.route.Kind.Idempotent() && result.response.isComplete:
		return attemptFailed
	case result.failure == nil:
		return attemptResponded
	case result.failure.Verdict != verdict.NotRun:
		return attemptIncomplete
	case result.failure.Code == verdict.NoTarget:
		return attemptUnreachable
	}
	return attemptRejected
}

// failureOf returns the failure that an attempt ended with.
func (x *request) failureOf(result attemptResult) *verdict.Error {
	switch {
	case result.failure != nil:
		return result.failure
	case result.response.notRun:
		_ = result.response.body.Close()
		return verdict.NotRunErrorf(verdict.TargetShed, "the endpoint rejected the request with status %d", result.response.status)
	}
	return verdict.MayHaveRunErrorf(verdict.TargetFailed, nil, "the endpoint answered with status %d", result.response.status)
}

// finalResult returns what the client gets after the last attempt.
func (x *request) finalResult(failure *verdict.Error) (*endpointResponse, *verdict.Error) {
	if x.fallbackResponse != nil {
		return x.fallbackResponse, nil
	}
	if x.mayHaveRun {
		failure.Verdict = verdict.MayHaveRun
	}
	if failure.Code == verdict.NoTarget && failure.RetryAfter == 0 {
		failure.RetryAfter = noEndpointRetryAfter
	}
	return nil, failure
}

// distanceNames are the names of distances in the log and the metrics.
var distanceNames = map[placement.Distance]string{
	placement.SameInstance: "beside", placement.SameFailureDomain: "domain", placement.SameRegion: "region", placement.OtherRegion: "other-region",
}

func (x *request) logFailedAttempt(result attemptResult, outcome attemptOutcome) {
	failure := x.failureOf(result)
	x.entry.deps.log.event("try_failed", fields{
		"requestId": x.id, "outcome": string(outcome), "endpoint": result.endpoint.ID,
		"endpointInstance": result.endpoint.Instance, "version": result.endpoint.Version,
		"code": string(failure.Code), "verdict": failure.Verdict.String(), "detail": failure.Error(),
		"leftMs": x.deadline.Sub(x.entry.deps.now()).Milliseconds(), "arrivals": x.reachedAttempts,
	})
}
