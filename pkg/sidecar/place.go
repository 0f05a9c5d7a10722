package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/azurespring/azurespring/pkg/exchange"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/mesh/rollout"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// place sends the request to endpoints until one answers or nothing more helps.
func (x *request) place() (*answer, *verdict.Error) {
	x.cancels = make(map[int]context.CancelFunc)
	x.results = make(chan tryResult, maxRejections+max(x.route.MaxAttempts, 1)+1)
	defer x.endTries()
	expected, failure := x.launch()
	if failure != nil {
		return nil, failure
	}
	hedge := time.NewTimer(x.hedgeDelay(expected))
	defer hedge.Stop()
	for {
		select {
		case result := <-x.results:
			x.pending--
			cancel := x.cancels[result.number]
			delete(x.cancels, result.number)
			if x.settle(result) {
				x.served = result
				return result.answer, nil
			}
			cancel()
			failure = x.failureOf(result)
			if x.mayPlaceAgain(failure) {
				_, next := x.launch()
				if next == nil {
					continue
				}
				if failure.Verdict == verdict.NotRun {
					failure = next
				}
			}
			if x.pending == 0 {
				return x.conclude(failure)
			}
		case <-hedge.C:
			if x.route.Kind.Idempotent() && x.mayRepeat() {
				_, _ = x.launch() // The first try goes on if there is no room for a second.
			}
		case <-x.ctx.Done():
			x.mayHaveRun = x.mayHaveRun || x.pending > 0
			return nil, x.ended()
		}
	}
}

// deliver reports the end of a try. Once the request has been decided, nobody
// reads the answer: it is closed, which frees its slot and connection.
func (x *request) deliver(result tryResult) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.decided {
		x.results <- result
		return
	}
	result.discard()
}

// endTries ends all tries but the one whose answer was chosen.
func (x *request) endTries() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.decided = true
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

func (r tryResult) discard() {
	if r.answer != nil {
		_ = r.answer.body.Close()
	}
}

// hedgeDelay returns the time after which the answer is overdue. Requests that
// may run only once have no second try beside the first.
func (x *request) hedgeDelay(expected time.Duration) time.Duration {
	if !x.route.Kind.Idempotent() || x.rest != nil {
		return time.Until(x.deadline) + time.Second
	}
	delay := max(hedgeFactor*expected, hedgeLeast, x.judgedFor)
	if latest := time.Duration(hedgeLatest * float64(x.deadline.Sub(x.started))); delay > latest {
		delay = latest
	}
	return delay
}

// mayRepeat reports whether the request may be sent to one more endpoint.
func (x *request) mayRepeat() bool {
	switch {
	case x.arrivals+x.pending >= max(x.route.MaxAttempts, 1):
		return false
	case x.rest != nil && x.tries > 0:
		// Part of the body is no longer in memory.
		return false
	}
	return x.route.Kind.Idempotent() || !x.mayHaveRun && x.pending == 0
}

// mayPlaceAgain reports whether another try may follow one that failed so.
func (x *request) mayPlaceAgain(failure *verdict.Error) bool {
	if x.ctx.Err() != nil || x.rejections > maxRejections || failure.Code == verdict.BadRequest {
		return false
	}
	return x.mayRepeat()
}

// launch starts a try at the best endpoint and returns the time that its answer
// is expected to take.
func (x *request) launch() (time.Duration, *verdict.Error) {
	now := x.entry.deps.now()
	left := x.deadline.Sub(now)
	table := x.entry.deps.table.Load()
	again := x.tries > 0
	candidates := x.entry.deps.rollouts.candidates(table, x.service, again)
	choice, ok := placement.Choose(now, candidates, placement.Request{
		Route: x.route.Name, Kind: x.route.Kind, Timeout: left, SoftTimeout: x.started.Add(x.route.TargetLatency).Sub(now), Tried: x.tried, Rejections: x.rejected,
	})
	if !ok {
		err := verdict.NotRunErrorf(verdict.NoTarget, "service %q has no endpoint for the request", x.service)
		err.RetryAfter = noEndpointRetryAfter
		return 0, err
	}
	if choice.QueueWait > 0 && choice.ExpectedLatency > left {
		err := verdict.NotRunErrorf(verdict.DeadlineUnreachable, "the wait for a slot is longer than the time left")
		err.RetryAfter = choice.QueueWait
		return 0, err
	}
	repeat := x.arrivals+x.pending > 0
	if repeat && !x.takeBudget() {
		return 0, verdict.NotRunErrorf(verdict.Overloaded, "the budget of repeats is used up")
	}
	ctx, cancel := context.WithCancel(x.ctx)
	x.tries++
	x.pending++
	x.cancels[x.tries] = cancel
	x.tried = append(x.tried, choice.Endpoint)
	choice.Endpoint.BeginAttempt()
	go x.try(ctx, tryResult{number: x.tries, endpoint: choice.Endpoint, repeat: repeat}, x.call(now, choice))
	return choice.ExpectedLatency, nil
}

// noEndpointRetryAfter is the usual time until an endpoint that was lost has
// announced itself again.
const noEndpointRetryAfter = 500 * time.Millisecond

func (x *request) takeBudget() bool {
	deps := x.entry.deps
	allowed := x.entry.budget(x.service).TryWithdraw(deps.now(), len(deps.table.Load().Instances()))
	word := "yes"
	if !allowed {
		word = "no"
	}
	deps.metrics.repeat(x.service, word)
	return allowed
}

// call builds the try for the chosen endpoint.
func (x *request) call(now time.Time, choice placement.Choice) *call {
	e := choice.Endpoint
	c := &call{
		id: x.id, method: x.r.Method, uri: x.r.RequestURI, host: x.r.Host, header: x.header,
		body: x.body, rest: x.rest, length: x.r.ContentLength, deadline: x.deadline,
		hopTerms: hopTerms{
			Endpoint: e.ID, Service: e.Service, Version: e.Version, Route: x.route.Name,
			Caller: *x.entry.deps.service.Load(), Priority: x.route.Priority, Idempotent: x.route.Kind.Idempotent(),
			TimeoutUs:      x.deadline.Sub(now).Microseconds(),
			SoftTimeoutUs:  x.started.Add(x.route.TargetLatency).Sub(now).Microseconds(),
			MaxQueueWaitUs: choice.MaxQueueWait.Microseconds(),
		},
	}
	if judged, _ := x.entry.deps.rollouts.judging(e.Service, e.Version); judged {
		reference := x.entry.reference(x.route.Name)
		c.BaselineUs = reference.Microseconds()
		if reference > 0 {
			x.judgedFor = rollout.SlowThreshold(reference)
		}
	}
	return c
}

// try runs one try and reports its end.
func (x *request) try(ctx context.Context, result tryResult, c *call) {
	var load placement.Load
	if result.endpoint.Distance == placement.SameInstance {
		result.answer, load, result.failure = x.entry.gate.serve(ctx, c)
	} else {
		result.answer, load, result.failure = x.entry.hops.send(ctx, result.endpoint.NodeAddress, c)
	}
	if result.answer != nil {
		result.failure = result.answer.buffer(x.r.Method)
		if result.failure != nil {
			result.answer = nil
		}
	}
	now := x.entry.deps.now()
	if load.Slots > 0 {
		result.endpoint.RecordLoad(now, x.route.Name, load)
	}
	result.endpoint.EndAttempt()
	x.deliver(result)
}

// buffer reads the start of the answer, or all of a short one, so that a cut
// answer can be repeated or replaced.
func (a *answer) buffer(method string) *verdict.Error {
	if method == http.MethodHead || a.length == 0 {
		_ = a.body.Close()
		a.whole = true
		return nil
	}
	size := int64(bufferedAnswerBytes)
	if a.length > 0 && a.length < size {
		size = a.length
	}
	buffered := make([]byte, 0, size)
	chunk := make([]byte, min(size, 16<<10))
	for int64(len(buffered)) < size {
		n, err := a.body.Read(chunk[:min(int64(len(chunk)), size-int64(len(buffered)))])
		buffered = append(buffered, chunk[:n]...)
		if err == io.EOF {
			a.buffered, a.whole = buffered, true
			if a.length > int64(len(buffered)) {
				return verdict.MayHaveRunErrorf(verdict.AnswerCut, io.ErrUnexpectedEOF, "the answer was cut")
			}
			return nil
		}
		if err != nil {
			_ = a.body.Close()
			return verdict.MayHaveRunErrorf(verdict.AnswerCut, err, "the answer was cut")
		}
	}
	a.buffered = buffered
	if a.length == int64(len(buffered)) {
		// Reads the end, which frees the connection.
		n, err := a.body.Read(chunk[:1])
		if n > 0 || err != io.EOF {
			_ = a.body.Close()
		}
		a.whole = true
	}
	return nil
}

// settle takes in the end of a try and reports whether its answer is final.
func (x *request) settle(result tryResult) bool {
	deps := x.entry.deps
	now := deps.now()
	outcome := x.classify(result)
	x.entry.deps.metrics.try(distanceNames[result.endpoint.Distance], string(outcome))
	switch outcome {
	case tryAnswered:
		x.arrivals++
		result.endpoint.RecordOutcome(now, true)
		if judged, _ := deps.rollouts.judging(result.endpoint.Service, result.endpoint.Version); !judged {
			x.entry.learnReference(x.route.Name, result.answer.took)
		}
		return true
	case tryRejected, tryUnreachable:
		x.rejections++
		if result.repeat {
			x.entry.budget(x.service).Refund(now)
		}
		switch {
		case outcome == tryUnreachable && isDial(result.failure):
			x.entry.hops.lose(result.endpoint)
		case outcome == tryUnreachable:
			result.endpoint.Eject(now)
		case result.failure.Code == verdict.VersionClosed:
			deps.rollouts.noteClosed(result.endpoint.Service, result.endpoint.Version)
		default:
			x.forget(result.endpoint)
			x.rejected = append(x.rejected, placement.Rejection{Endpoint: result.endpoint, QueueWait: result.failure.RetryAfter})
		}
	case tryShed, tryFailed, tryLost:
		x.arrivals++
		if x.ctx.Err() == nil {
			result.endpoint.RecordOutcome(now, false)
		}
		if outcome == tryLost {
			x.mayHaveRun = true
		}
		if outcome == tryFailed {
			x.mayHaveRun = true
			x.fallback = result.answer
		}
	}
	x.logTry(result, outcome)
	return false
}

// isDial reports whether no connection to the endpoint's node could be made.
func isDial(failure *verdict.Error) bool {
	var e *exchange.Error
	return errors.As(failure.Cause, &e) && e.DialFailed
}

// forget lets an endpoint that only had no room be chosen again: its load is
// known now.
func (x *request) forget(e *placement.Endpoint) {
	for i, tried := range x.tried {
		if tried.Stats == e.Stats {
			x.tried = append(x.tried[:i], x.tried[i+1:]...)
			return
		}
	}
}

// tryOutcome is how a try ended.
type tryOutcome string

const (
	// tryAnswered is an answer to pass on.
	tryAnswered tryOutcome = "answered"
	// tryRejected ended at the gate: no room, or no such endpoint.
	tryRejected tryOutcome = "rejected"
	// tryUnreachable did not reach the gate.
	tryUnreachable tryOutcome = "unreachable"
	// tryShed reached the endpoint, which stated that it did not run it.
	tryShed tryOutcome = "shed"
	// tryFailed is an endpoint's failure that a repeat may mend.
	tryFailed tryOutcome = "failed"
	// tryLost has no whole answer; the request may have run.
	tryLost tryOutcome = "lost"
)

func (x *request) classify(result tryResult) tryOutcome {
	switch {
	case result.failure == nil && result.answer.notRun:
		return tryShed
	case result.failure == nil && result.answer.status >= http.StatusInternalServerError && x.route.Kind.Idempotent() && result.answer.whole:
		return tryFailed
	case result.failure == nil:
		return tryAnswered
	case result.failure.Verdict != verdict.NotRun:
		return tryLost
	case result.failure.Code == verdict.NoTarget:
		return tryUnreachable
	}
	return tryRejected
}

// failureOf returns the failure that a try ended with.
func (x *request) failureOf(result tryResult) *verdict.Error {
	switch {
	case result.failure != nil:
		return result.failure
	case result.answer.notRun:
		_ = result.answer.body.Close()
		return verdict.NotRunErrorf(verdict.TargetShed, "the endpoint rejected the request with status %d", result.answer.status)
	}
	return verdict.MayHaveRunErrorf(verdict.TargetFailed, nil, "the endpoint answered with status %d", result.answer.status)
}

// conclude returns what the client gets after the last try.
func (x *request) conclude(failure *verdict.Error) (*answer, *verdict.Error) {
	if x.fallback != nil {
		return x.fallback, nil
	}
	if x.mayHaveRun {
		failure.Verdict = verdict.MayHaveRun
	}
	if failure.Code == verdict.NoTarget && failure.RetryAfter == 0 {
		failure.RetryAfter = noEndpointRetryAfter
	}
	return nil, failure
}

var distanceNames = map[placement.Distance]string{
	placement.SameInstance: "beside", placement.SameFailureDomain: "domain", placement.SameRegion: "region", placement.OtherRegion: "other-region",
}

func (x *request) logTry(result tryResult, outcome tryOutcome) {
	failure := x.failureOf(result)
	x.entry.deps.log.event("try_failed", fields{
		"requestId": x.id, "outcome": string(outcome), "endpoint": result.endpoint.ID,
		"endpointInstance": result.endpoint.Instance, "version": result.endpoint.Version,
		"code": string(failure.Code), "verdict": failure.Verdict.String(), "detail": failure.Error(),
		"leftMs": x.deadline.Sub(x.entry.deps.now()).Milliseconds(), "arrivals": x.arrivals,
	})
}
