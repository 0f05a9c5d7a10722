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

// run is one request that reached an endpoint.
type run struct {
	at       time.Time
	endpoint *endpoint
	// mode is how the endpoint treated the request.
	mode     int32
	path     string
	caller   string
	deadline time.Duration
}

// result is what a client got for one request.
type result struct {
	id, path string
	machine  *machine
	sent     time.Time
	ended    time.Time
	status   int
	signed   bool
	whole    bool
	err      error
	// deadline is what the client said it will wait.
	deadline time.Duration
}

func (r result) unsafe() bool { return strings.HasPrefix(r.path, "/unsafe") }

// ledger holds all that clients and endpoints saw.
type ledger struct {
	mu      sync.Mutex
	runs    map[string][]run
	sheds   map[string]int
	results []result
	// stalls are those of this process.
	stalls stalls
}

func newLedger() *ledger { return &ledger{runs: make(map[string][]run), sheds: make(map[string]int)} }

func (l *ledger) ran(id string, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
}

// shed notes that an endpoint stated that it did not run a request.
func (l *ledger) shed(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sheds[id]++
}

func (l *ledger) got(r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// served returns the number of requests with a success.
func (l *ledger) served() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return lo.CountBy(l.results, func(r result) bool { return r.err == nil && r.status/100 == 2 })
}

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Tolerances of the checks. The users' pages allow half a second for deadlines and
// three runs for attempts; the drain's is for the way of a request on a busy machine.
const (
	deadlineSlack = 500 * time.Millisecond
	drainSlack    = 500 * time.Millisecond
	maxAttempts   = 3
)

// lost reports whether a request without an answer was passed on to sound endpoints
// only, with no unplanned fault around it and time left; l.mu is held.
func (l *ledger) lost(r result) bool {
	runs := l.runs[r.id]
	if len(runs) == 0 || r.ended.Sub(r.sent) > r.deadline*9/10 || !r.machine.calmAt(r.ended) {
		return false
	}
	return !slices.ContainsFunc(runs, func(run run) bool {
		return run.mode != sound || !run.endpoint.machine.calmAt(r.ended)
	})
}

// stalled returns how long the processes that a request passed did not run between a time
// and its run.
func (l *ledger) stalled(request result, run run, from time.Time) time.Duration {
	total := l.stalls.between(from, run.at) + request.machine.stalls.between(from, run.at)
	if run.endpoint.machine != request.machine {
		total += run.endpoint.machine.stalls.between(from, run.at)
	}
	return total
}

// check returns the promises that were broken.
func (l *ledger) check() (faults []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	sent := make(map[string]result, len(l.results))
	for _, r := range l.results {
		sent[r.id] = r
		executed := len(l.runs[r.id]) - l.sheds[r.id]
		switch {
		case r.unsafe() && executed > 1:
			fault("TWICE: %s ran %d times", r.id, executed)
		case r.unsafe() && promises(r.status) && executed > 0:
			fault("REFUSED: %s was answered %d and ran", r.id, r.status)
		case r.err == nil && r.status/100 == 2 && (!r.signed || !r.whole):
			fault("MIXED: %s has a success that is not its endpoint's whole answer (signed %v)", r.id, r.signed)
		case r.err == nil && r.status/100 == 2 && executed == 0:
			fault("MIXED: %s has a success and no endpoint ran it", r.id)
		case r.err != nil && l.lost(r):
			fault("LOST: %s on %s of %s got no answer after %v: %v", r.id, r.path, r.machine.name, r.ended.Sub(r.sent), r.err)
		case executed > maxAttempts:
			fault("BUDGET: %s ran at %d endpoints", r.id, executed)
		case r.status == http.StatusNotFound || r.status == http.StatusBadRequest:
			fault("DENIED: %s on %s was answered %d", r.id, r.path, r.status)
		}
	}
	for id, runs := range l.runs {
		request, ok := sent[id]
		if !ok {
			fault("UNASKED: an endpoint ran %s, which no client sent", id)
			continue
		}
		for _, run := range runs {
			if run.path != request.path {
				fault("UNASKED: %s was sent for %s and ran as %s", id, request.path, run.path)
			}
			if run.caller != request.machine.service {
				fault("UNASKED: %s began beside %s and ran for caller %q", id, request.machine.service, run.caller)
			}
			if run.deadline < 0 || run.deadline > request.deadline {
				fault("BUDGET: %s was handed %v of %v", id, run.deadline, request.deadline)
			}
			// A paused node cannot know how long a request waited in its socket, and a
			// silent link delays what was sent before.
			if !run.endpoint.machine.calmAt(run.at) || !request.machine.calmAt(run.at) {
				continue
			}
			left := request.sent.Add(request.deadline).Sub(run.at)
			if run.deadline > left+deadlineSlack+l.stalled(request, run, request.sent) {
				fault("BUDGET: %s was handed %v with %v left", id, run.deadline, left)
			}
			leaving := run.endpoint.leaving.Load()
			if leaving == 0 {
				continue
			}
			acknowledged := time.Unix(0, leaving)
			if late := run.at.Sub(acknowledged); late > drain+drainSlack+l.stalled(request, run, acknowledged) {
				fault("DRAIN: %s reached %s %v after its leaving was acknowledged", id, run.endpoint.ID, late)
			}
		}
	}
	return faults
}
