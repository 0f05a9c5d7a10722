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
}

// result is the outcome of one request as its client saw it.
type result struct {
	id, path string
	instance *instance
	sent     time.Time
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
	runs    map[string][]run
	sheds   map[string]int
	results []result
	// stalls are the stalls of the test process.
	stalls stalls
}

func newRequestLog() *requestLog {
	return &requestLog{runs: make(map[string][]run), sheds: make(map[string]int)}
}

func (l *requestLog) recordRun(id string, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
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
// three attempts; drainSlack covers the transit of a request on a busy instance.
const (
	deadlineSlack = 500 * time.Millisecond
	drainSlack    = 500 * time.Millisecond
	maxAttempts   = 3
)

// isLostWithoutFault reports whether a request without a response was sent only to healthy
// endpoints, with time left and no unplanned fault at its instances; l.mu is held.
func (l *requestLog) isLostWithoutFault(r result) bool {
	runs := l.runs[r.id]
	if len(runs) == 0 || r.ended.Sub(r.sent) > r.deadline*9/10 || !r.instance.isFaultFreeAt(r.ended) {
		return false
	}
	return !slices.ContainsFunc(runs, func(run run) bool {
		return run.mode != modeHealthy || !run.endpoint.instance.isFaultFreeAt(r.ended)
	})
}

// stallTime returns how long the processes on the path of a request were stalled between
// a time and its run.
func (l *requestLog) stallTime(request result, run run, from time.Time) time.Duration {
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
		case r.err != nil && l.isLostWithoutFault(r):
			report("LOST: %s on %s of %s got no response after %v: %v", r.id, r.path, r.instance.name, r.ended.Sub(r.sent), r.err)
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
