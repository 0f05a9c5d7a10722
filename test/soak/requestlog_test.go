package soak_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"
)

// run is one execution of a request at an endpoint.
type run struct {
	receivedAt time.Time
	endpoint   *endpoint
	// mode is the mode in which the endpoint served the request.
	mode     int32
	path     string
	caller   string
	deadline time.Duration
	// endedAt is zero while the run lasts. brokeOff is set if the endpoint ended the
	// connection before the response was complete.
	endedAt  time.Time
	brokeOff bool
}

// result is the outcome of one request as its client saw it.
type result struct {
	id, path string
	instance *instance
	// begun is when the client began to send the request, zero if it could not connect.
	// sent is when it had sent all of it, if isWhole is set.
	begun    time.Time
	sent     time.Time
	isWhole  bool
	ended    time.Time
	status   int
	signed   bool
	complete bool
	err      error
	// deadline is the deadline that the client stated in the request.
	deadline time.Duration
}

func (r result) unsafe() bool { return strings.HasPrefix(r.path, "/unsafe") }

// requestLog records what clients and endpoints observed of each request.
type requestLog struct {
	mu      sync.Mutex
	runs    map[string][]*run
	sheds   map[string]int
	results []result
	// stalls are the stalls of the test process.
	stalls stalls
}

func newRequestLog() *requestLog {
	return &requestLog{runs: make(map[string][]*run), sheds: make(map[string]int)}
}

func (l *requestLog) recordRun(id string, r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
}

func (l *requestLog) recordRunEnd(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.endedAt, r.brokeOff = time.Now(), r.mode == modeTruncating || r.endpoint.isStopped.Load()
}

// recordShed records that an endpoint shed a request, stating that it did not run.
func (l *requestLog) recordShed(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sheds[id]++
}

func (l *requestLog) recordResult(r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// successCount returns the number of requests with a 2xx response.
func (l *requestLog) successCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return lo.CountBy(l.results, func(r result) bool { return r.err == nil && r.status/100 == 2 })
}

// saysNotRun reports whether a status guarantees that the request has not run.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Tolerances of the checks. The users' requirements allow half a second for deadlines and
// three attempts; drainSlack covers the transit of a request on a busy instance. A request
// that no endpoint ran may have crossed the close of its connection if it arrived at most
// closeSlack before.
const (
	deadlineSlack = 500 * time.Millisecond
	drainSlack    = 500 * time.Millisecond
	closeSlack    = 200 * time.Millisecond
	maxAttempts   = 3
)

// isLost reports whether the node closed the connection of a request without a complete
// response, with time left, no unplanned fault and no other excuse; l.mu is held.
func (l *requestLog) isLost(r result) bool {
	inst := r.instance
	if r.err == nil || r.begun.IsZero() || r.ended.Sub(r.begun) > r.deadline*9/10 || !inst.isFaultFreeBetween(r.begun, r.ended) {
		return false
	}
	elapsed := r.ended.Sub(r.sent)
	isReached := func(timeout time.Duration) bool { return elapsed >= timeout*9/10 && elapsed <= timeout+closeSlack }
	if r.status != 0 && slices.ContainsFunc(routeTimeouts, isReached) {
		return false // The timeout of the route ended a response that had begun.
	}
	arrivedAt := r.begun // A connection on which a request is arriving is not idle.
	stoppedAt, isStopping := inst.stopAt(r.ended)
	if isStopping {
		if !r.isWhole {
			return false
		}
		arrivedAt = r.sent
	}
	runs := l.runs[r.id]
	crossingTime := closeSlack + l.stalls.between(arrivedAt, r.ended) + inst.stalls.between(arrivedAt, r.ended)
	if len(runs) == 0 && r.ended.Sub(arrivedAt) <= crossingTime {
		return false // The request and the close of the connection crossed.
	}
	mayOutlastStop := isStopping && r.sent.Sub(stoppedAt) <= gracePeriod/2
	return !slices.ContainsFunc(runs, func(run *run) bool {
		isLate := run.endedAt.IsZero() || run.endedAt.Sub(stoppedAt) >= gracePeriod*5/6
		return run.brokeOff || mayOutlastStop && isLate || !run.endpoint.instance.isFaultFreeBetween(r.begun, r.ended)
	})
}

// stallTime returns how long the processes on the path of a request were stalled between
// a time and its run.
func (l *requestLog) stallTime(request result, run *run, from time.Time) time.Duration {
	total := l.stalls.between(from, run.receivedAt) + request.instance.stalls.between(from, run.receivedAt)
	if run.endpoint.instance != request.instance {
		total += run.endpoint.instance.stalls.between(from, run.receivedAt)
	}
	return total
}

// violations returns a description of each violated guarantee.
func (l *requestLog) violations() (found []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	sent := make(map[string]result, len(l.results))
	for _, r := range l.results {
		sent[r.id] = r
		executed := len(l.runs[r.id]) - l.sheds[r.id]
		switch {
		case r.unsafe() && executed > 1:
			report("TWICE: %s ran %d times", r.id, executed)
		case r.unsafe() && saysNotRun(r.status) && executed > 0:
			report("REFUSED: %s got status %d, which says not run, and ran", r.id, r.status)
		case r.err == nil && r.status/100 == 2 && (!r.signed || !r.complete):
			report("MIXED: %s got a 2xx response that is not the complete response of its endpoint (signed %v)", r.id, r.signed)
		case r.err == nil && r.status/100 == 2 && executed == 0:
			report("MIXED: %s got a 2xx response and no endpoint ran it", r.id)
		case l.isLost(r):
			stage := "while it served"
			if stoppedAt, isStopping := r.instance.stopAt(r.ended); isStopping {
				stage = fmt.Sprintf("%v after SIGTERM", r.ended.Sub(stoppedAt))
			}
			report("LOST: %s on %s, with a deadline of %v and sent whole: %v, got no response from %s after %v and %d runs, %s: %v",
				r.id, r.path, r.deadline, r.isWhole, r.instance.name, r.ended.Sub(r.begun), len(l.runs[r.id]), stage, r.err)
		case executed > maxAttempts:
			report("BUDGET: %s ran %d times", r.id, executed)
		case r.status == http.StatusNotFound || r.status == http.StatusBadRequest:
			report("DENIED: %s on %s got status %d", r.id, r.path, r.status)
		}
	}
	for id, runs := range l.runs {
		request, ok := sent[id]
		if !ok {
			report("UNASKED: an endpoint ran %s, which no client sent", id)
			continue
		}
		for _, run := range runs {
			if run.path != request.path {
				report("UNASKED: %s was sent with path %s and ran with path %s", id, request.path, run.path)
			}
			if run.caller != request.instance.service {
				report("UNASKED: %s was sent by service %s and ran for caller %q", id, request.instance.service, run.caller)
			}
			if run.deadline < 0 || run.deadline > request.deadline {
				report("BUDGET: %s ran with a deadline of %v; the client stated %v", id, run.deadline, request.deadline)
			}
			// A paused node can't know how long a request waited in its socket, and a
			// blackholed connection delays requests that were sent before the fault.
			if !run.endpoint.instance.isFaultFreeAt(run.receivedAt) || !request.instance.isFaultFreeAt(run.receivedAt) {
				continue
			}
			remaining := request.sent.Add(request.deadline).Sub(run.receivedAt)
			if run.deadline > remaining+deadlineSlack+l.stallTime(request, run, request.sent) {
				report("BUDGET: %s ran with a deadline of %v when %v remained", id, run.deadline, remaining)
			}
			drainAcknowledgedAt := run.endpoint.drainAcknowledgedAt.Load()
			if drainAcknowledgedAt == 0 {
				continue
			}
			acknowledged := time.Unix(0, drainAcknowledgedAt)
			if late := run.receivedAt.Sub(acknowledged); late > drainTimeout+drainSlack+l.stallTime(request, run, acknowledged) {
				report("DRAIN: %s reached %s %v after its draining was acknowledged", id, run.endpoint.ID, late)
			}
		}
	}
	return found
}
