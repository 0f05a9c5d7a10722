// Package gate decides at the node beside an endpoint which requests get one of
// its slots, which wait and which are rejected before they were sent.
package gate

import (
	"slices"
	"time"

	"github.com/azurespring/azurespring/pkg/verdict"
)

// serviceWeight is the weight of a new slot time in the running mean.
const serviceWeight = 0.1

// defaultService is the slot time assumed before the first request has ended.
const defaultService = 50 * time.Millisecond

// queuePerSlot bounds the waiting requests per slot; a longer queue only turns
// requests that could be placed elsewhere into late ones.
const queuePerSlot = 8

// Request is a request for a slot.
type Request struct {
	// ID identifies the request at this gate; it is never reused.
	ID uint64
	// Nested is set for calls of an endpoint that is running a request. They go
	// first: the request that made them holds a slot elsewhere until they end.
	Nested bool
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// SoftDeadline is the time until which an answer has its full worth, Deadline the
	// time after which it has none.
	SoftDeadline time.Time
	Deadline     time.Time
	// MaxQueueWait is the longest wait that the sender prefers to another endpoint.
	MaxWait time.Duration
}

// Decision tells the outcome for a request that waited.
type Decision struct {
	ID uint64
	// Rejection is nil if the request got a slot.
	Rejection *verdict.Error
}

// Queue is the deterministic admission of one endpoint. It is not safe for
// concurrent use.
//
// Invariant: at most slots requests are running, and a request that was rejected
// was never running.
//
// The load pattern it answers: more arrivals than slots. Urgent requests go
// first, among equals those that can still be answered in time; requests that
// would wait longer than is useful are rejected at once, so that their senders
// place them elsewhere or tell the client when to come back.
type Queue struct {
	slots   int
	running int
	service time.Duration
	waiting []waiter
}

type waiter struct {
	Request
	arrived time.Time
}

// NewQueue returns the admission of an endpoint with the given slots.
func NewQueue(slots int) *Queue { return &Queue{slots: slots, service: 0} }

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of requests that wait for a slot.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.slots }

// MeanServiceTime returns the mean time that a request holds a slot; 0 before the first.
func (q *Queue) MeanServiceTime() time.Duration { return q.service }

func (q *Queue) expected() time.Duration {
	if q.service == 0 {
		return defaultService
	}
	return q.service
}

// Resize changes the number of slots and returns the requests that got one.
func (q *Queue) Resize(now time.Time, slots int) []Decision {
	q.slots = slots
	return q.grant(now)
}

// Admit asks for a slot. It returns admitted if the request got one at once,
// else a rejection, or neither if the request waits for a Grant.
func (q *Queue) Admit(now time.Time, r Request) (admitted bool, rejection *verdict.Error) {
	if !now.Before(r.Deadline) {
		return false, q.reject(verdict.DeadlineUnreachable, "the deadline has passed", 0)
	}
	if q.running < q.slots && len(q.waiting) == 0 {
		q.running++
		return true, nil
	}
	wait := q.wait(now, r)
	switch {
	case now.Add(wait).After(r.Deadline):
		return false, q.reject(verdict.DeadlineUnreachable, "the queue is longer than the time left", wait)
	case wait > r.MaxWait:
		return false, q.reject(verdict.Overloaded, "the queue is longer than the sender will wait", wait)
	case len(q.waiting) >= queuePerSlot*q.slots:
		return false, q.reject(verdict.Overloaded, "the queue is full", wait)
	}
	q.waiting = append(q.waiting, waiter{Request: r, arrived: now})
	return false, nil
}

// Release returns a slot after it was held for the given time and returns the
// requests whose outcome is now known. A held time of 0 is not counted.
func (q *Queue) Release(now time.Time, held time.Duration) []Decision {
	q.running--
	if held > 0 {
		if q.service == 0 {
			q.service = held
		}
		q.service += time.Duration(serviceWeight * float64(held-q.service))
	}
	return q.grant(now)
}

// Cancel withdraws a waiting request. It reports false if the request no longer
// waits: then it has been granted or rejected.
func (q *Queue) Cancel(id uint64) bool {
	at := slices.IndexFunc(q.waiting, func(w waiter) bool { return w.ID == id })
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// RejectAll rejects all waiting requests.
func (q *Queue) RejectAll() []Decision {
	var grants []Decision
	for _, w := range q.waiting {
		grants = append(grants, Decision{ID: w.ID, Rejection: q.reject(verdict.Draining, "the endpoint is leaving", 0)})
	}
	q.waiting = nil
	return grants
}

// Wait estimates the wait of a new request with r's rank.
func (q *Queue) wait(now time.Time, r Request) time.Duration {
	ahead := 0
	for i := range q.waiting {
		if !q.before(now, &r, &q.waiting[i].Request) {
			ahead++
		}
	}
	if q.running < q.slots {
		ahead = max(0, ahead-(q.slots-q.running))
	}
	return time.Duration(float64(ahead+1) / float64(max(q.slots, 1)) * float64(q.expected()))
}

// before reports whether a goes before b.
func (q *Queue) before(now time.Time, a, b *Request) bool {
	if a.Nested != b.Nested {
		return a.Nested
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	done := now.Add(q.expected())
	aInTime, bInTime := !done.After(a.SoftDeadline), !done.After(b.SoftDeadline)
	if aInTime != bInTime {
		return aInTime
	}
	return a.SoftDeadline.Before(b.SoftDeadline)
}

func (q *Queue) grant(now time.Time) []Decision {
	var grants []Decision
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if !now.Before(w.Deadline) {
			grants = append(grants, Decision{ID: w.ID, Rejection: q.reject(verdict.DeadlineUnreachable, "no slot was free in time", 0)})
			continue
		}
		kept = append(kept, w)
	}
	q.waiting = kept
	for q.running < q.slots && len(q.waiting) > 0 {
		best := 0
		for i := 1; i < len(q.waiting); i++ {
			if q.before(now, &q.waiting[i].Request, &q.waiting[best].Request) {
				best = i
			}
		}
		grants = append(grants, Decision{ID: q.waiting[best].ID})
		q.waiting = slices.Delete(q.waiting, best, best+1)
		q.running++
	}
	return grants
}

func (q *Queue) reject(code verdict.Code, detail string, wait time.Duration) *verdict.Error {
	return &verdict.Error{Code: code, Verdict: verdict.NotRun, Detail: detail, RetryAfter: wait}
}
