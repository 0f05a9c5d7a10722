// Package gate implements the admission queue of a local endpoint: it decides which
// requests get a slot, which wait and which are rejected before they are sent.
package gate

import (
	"math"
	"slices"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// serviceTimeWeight is the weight of a new sample in the mean service time (EWMA).
const serviceTimeWeight = 0.1

// defaultServiceTime is assumed until the first request has ended.
const defaultServiceTime = 50 * time.Millisecond

// maxQueuePerSlot bounds the waiting requests per slot. In a longer queue, requests
// that other endpoints could serve would become late.
const maxQueuePerSlot = 8

// Request is a request for a slot.
type Request struct {
	// ID identifies the request in this queue; it is never reused.
	ID uint64
	// Nested is set for calls made by an endpoint that is running a request. They take
	// precedence, because the calling request holds a slot elsewhere until they end.
	Nested bool
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// SoftDeadline orders requests of equal priority. At Deadline a waiting request is
	// rejected.
	SoftDeadline time.Time
	Deadline     time.Time
	// MaxWait is the longest wait that the sender prefers to another endpoint.
	MaxWait time.Duration
	// ServiceTime is the time that such a request takes at this endpoint at usual speed; 0 if
	// unknown.
	ServiceTime time.Duration
	// Route names the kind of the request. Tenant names its tenant, "" for none, and
	// TenantPriority ranks that before the priority of the route; 0 is the most urgent.
	Route          string
	Tenant         string
	TenantPriority int
	// startBy is the time until which the request is likely to meet its soft deadline.
	startBy time.Time
}

// Service times vary. startMargin is the multiple of the usual one that is left between
// the start of a request and its soft deadline: with 1, an overloaded endpoint answers
// most requests just too late, because the most urgent one is always about to miss its
// deadline. The margin takes at most maxMarginFraction of the time that a request has, so
// that slow endpoints have requests in time as well.
const (
	startMargin       = 2
	maxMarginFraction = 0.75
)

// latestStart returns the time until which r is likely to meet its soft deadline.
func (q *Queue) latestStart(now time.Time, r *Request) time.Time {
	serviceTime := q.AtSpeed(now, r.ServiceTime)
	if serviceTime <= 0 {
		serviceTime = q.ExpectedServiceTime(now)
	}
	limit := max(serviceTime, time.Duration(maxMarginFraction*float64(r.SoftDeadline.Sub(now))))
	return r.SoftDeadline.Add(-min(startMargin*serviceTime, limit))
}

// Decision is the result for a request that waited.
type Decision struct {
	ID uint64
	// Rejection is nil if the request was admitted.
	Rejection *verdict.Error
}

// Queue is the deterministic admission queue of one endpoint. It is not safe for
// concurrent use.
//
// Invariant: at most slots requests are running, and a rejected request has never
// run.
//
// It handles more requests than slots. Urgent requests are admitted first, and among
// equals those that can still meet their soft deadline. Requests that would wait
// longer than MaxWait are rejected at once, so that their senders choose another
// endpoint or tell the client when to retry.
//
// Once it has seen a request of a tenant, the priority of tenants goes before that of
// routes, and equally urgent tenants get turns (see fairness).
type Queue struct {
	slots   int
	running int
	// meanServiceTime is the mean at usual speed. meanSlowdown is the mean speed of the last
	// seconds, 0 if unknown, and slowdown the latest speed relative to that.
	meanServiceTime time.Duration
	slowdown        mesh.Slowdown
	meanSlowdown    float64
	waiting         []waiter
	// lateShare is the share of requests that could no longer be in time among those that
	// waited and got a slot lately.
	lateShare float64
	// fair is the order between tenants, nil while no tenant has requests.
	fair *fairness
	// fairnessCounts are those since the queue was created.
	fairnessCounts FairnessCounts
}

type waiter struct {
	Request
	enqueuedAt time.Time
	// flow and route are set in the order between tenants.
	flow  *flow
	route *group
}

// NewQueue returns the admission queue of an endpoint with the given slots.
func NewQueue(slots int) *Queue { return &Queue{slots: slots, lateShare: 1} }

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of requests that wait for a slot.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.slots }

// MeanServiceTime returns the mean time that a request holds a slot at usual speed; 0 if
// unknown.
func (q *Queue) MeanServiceTime() time.Duration { return q.meanServiceTime }

// Slowdown returns the latest speed of the endpoint relative to its mean speed.
func (q *Queue) Slowdown() mesh.Slowdown { return q.slowdown }

// meanSlowdownTime is the time constant of the mean speed. Speeds change several times
// within it; an endpoint that is slow for longer must not count as fast again as soon as
// its last figure is too old.
const meanSlowdownTime = 3 * time.Second

// SetSlowdown sets the current speed of the endpoint as the endpoint states it. It is
// ignored if it is unknown.
func (q *Queue) SetSlowdown(s mesh.Slowdown) {
	if !s.IsKnown() {
		return
	}
	if q.meanSlowdown == 0 {
		q.meanSlowdown = s.Factor
	}
	elapsed := max(s.At.Sub(q.slowdown.At), 0)
	q.meanSlowdown += (1 - math.Exp(-float64(elapsed)/float64(meanSlowdownTime))) * (s.Factor - q.meanSlowdown)
	q.slowdown = mesh.Slowdown{Factor: s.Factor / q.meanSlowdown, At: s.At}
}

// ExpectedServiceTime returns the time for which a request is expected to hold a slot at
// the current speed.
func (q *Queue) ExpectedServiceTime(now time.Time) time.Duration {
	if q.meanServiceTime == 0 {
		return defaultServiceTime
	}
	return q.AtSpeed(now, q.meanServiceTime)
}

// AtSpeed returns the time that work takes at the current speed, given its usual time.
func (q *Queue) AtSpeed(now time.Time, usual time.Duration) time.Duration {
	if !q.slowdown.IsKnown() {
		return usual
	}
	return time.Duration(float64(usual) * q.meanSlowdown * q.slowdown.Estimate(now))
}

// AtUsualSpeed returns the usual time of work that took the given time at the current
// speed.
func (q *Queue) AtUsualSpeed(now time.Time, took time.Duration) time.Duration {
	if !q.slowdown.IsKnown() {
		return took
	}
	return time.Duration(float64(took) / (q.meanSlowdown * q.slowdown.Estimate(now)))
}

// Ahead returns the number of waiting requests that are as urgent as r or more.
func (q *Queue) Ahead(r Request) int {
	ahead, w := 0, waiter{Request: r}
	for i := range q.waiting {
		if compareUrgency(&q.waiting[i], &w) <= 0 {
			ahead++
		}
	}
	return ahead
}

// Resize changes the number of slots and returns the requests that are now decided.
func (q *Queue) Resize(now time.Time, slots int) []Decision {
	q.slots = slots
	return q.admitWaiting(now)
}

// Admit requests a slot. It returns admitted if the request got one at once, a
// rejection if it was rejected, and neither if it waits for a Decision.
func (q *Queue) Admit(now time.Time, r Request) (admitted bool, rejection *verdict.Error) {
	r.startBy = q.latestStart(now, &r)
	if !now.Before(r.Deadline) {
		return false, q.reject(verdict.DeadlineUnreachable, "the deadline has passed", 0)
	}
	if q.updateFairness(now, &r); q.fair != nil {
		return q.admitFair(now, r)
	}
	if q.running < q.slots && len(q.waiting) == 0 {
		q.running++
		return true, nil
	}
	wait := q.estimateWait(now, r)
	switch {
	case now.Add(wait).After(r.Deadline):
		return false, q.reject(verdict.DeadlineUnreachable, "the queue is longer than the time left", wait)
	case wait > r.MaxWait:
		return false, q.reject(verdict.Overloaded, "the queue is longer than the sender will wait", wait)
	case len(q.waiting) >= maxQueuePerSlot*q.slots:
		return false, q.reject(verdict.Overloaded, "the queue is full", wait)
	}
	q.waiting = append(q.waiting, waiter{Request: r, enqueuedAt: now})
	return false, nil
}

// Release frees a slot after the given service time and returns the requests that are
// now decided. A service time of 0 does not count toward the mean.
func (q *Queue) Release(now time.Time, serviceTime time.Duration) []Decision {
	q.running--
	if serviceTime > 0 {
		serviceTime = q.AtUsualSpeed(now, serviceTime)
		if q.meanServiceTime == 0 {
			q.meanServiceTime = serviceTime
		}
		q.meanServiceTime += time.Duration(serviceTimeWeight * float64(serviceTime-q.meanServiceTime))
	}
	return q.admitWaiting(now)
}

// Cancel removes a waiting request. It reports false if the request no longer waits
// because it has been admitted or rejected.
func (q *Queue) Cancel(id uint64) bool {
	index := slices.IndexFunc(q.waiting, func(w waiter) bool { return w.ID == id })
	if index < 0 {
		return false
	}
	q.settle(&q.waiting[index], false, true)
	q.waiting = slices.Delete(q.waiting, index, index+1)
	return true
}

// RejectAll rejects all waiting requests.
func (q *Queue) RejectAll() []Decision {
	var decisions []Decision
	for _, w := range q.waiting {
		decisions = append(decisions, Decision{ID: w.ID, Rejection: q.reject(verdict.Draining, "the endpoint is leaving", 0)})
	}
	q.waiting, q.fair = nil, nil
	return decisions
}

// estimateWait estimates the wait of a new request, given the waiting requests that
// precede it.
func (q *Queue) estimateWait(now time.Time, r Request) time.Duration {
	ahead := 0
	for i := range q.waiting {
		if !q.precedes(now, &r, &q.waiting[i].Request) {
			ahead++
		}
	}
	if q.running < q.slots {
		ahead = max(0, ahead-(q.slots-q.running))
	}
	share := 1.0
	if now.After(r.startBy) {
		share = max(q.lateShare, minLateShare)
	}
	return time.Duration(float64(ahead+1) / float64(max(q.slots, 1)) * float64(q.ExpectedServiceTime(now)) / share)
}

// precedes reports whether a is admitted before b.
func (q *Queue) precedes(now time.Time, a, b *Request) bool {
	if a.Nested != b.Nested {
		return a.Nested
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	aInTime, bInTime := !now.After(a.startBy), !now.After(b.startBy)
	if aInTime != bInTime {
		return aInTime
	}
	return a.SoftDeadline.Before(b.SoftDeadline)
}

func (q *Queue) admitWaiting(now time.Time) []Decision {
	var decisions []Decision
	if q.fair != nil {
		q.fair.now = now
	}
	remaining := q.waiting[:0]
	for _, w := range q.waiting {
		if !now.Before(w.Deadline) {
			q.settle(&w, false, true)
			decisions = append(decisions, Decision{ID: w.ID, Rejection: q.reject(verdict.DeadlineUnreachable, "no slot was free in time", 0)})
			continue
		}
		remaining = append(remaining, w)
	}
	q.waiting = remaining
	decisions = append(decisions, q.rejectHopeless(now)...)
	for q.running < q.slots && len(q.waiting) > 0 {
		best := q.next(now)
		q.settle(&q.waiting[best], true, true)
		decisions = append(decisions, Decision{ID: q.waiting[best].ID})
		q.recordStart(now.After(q.waiting[best].startBy))
		q.waiting = slices.Delete(q.waiting, best, best+1)
		q.running++
	}
	if len(q.waiting) == 0 {
		q.lateShare = 1
	}
	return decisions
}

// next returns the index of the waiting request that is admitted next.
func (q *Queue) next(now time.Time) int {
	if q.fair != nil {
		return q.nextFair(now)
	}
	best := 0
	for i := 1; i < len(q.waiting); i++ {
		if q.precedes(now, &q.waiting[i].Request, &q.waiting[best].Request) {
			best = i
		}
	}
	return best
}

// lateShareWeight is the weight of one start in lateShare (EWMA), minLateShare the least
// share that is assumed.
const (
	lateShareWeight = 0.05
	minLateShare    = 0.02
)

func (q *Queue) recordStart(isLate bool) {
	sample := 0.0
	if isLate {
		sample = 1
	}
	q.lateShare += lateShareWeight * (sample - q.lateShare)
}

// rejectHopeless rejects the waiting requests that can no longer be in time and would not
// end before their deadlines either: behind the requests that can be in time, they get
// only a share of the slots. Their callers learn it at once instead of at the deadline.
func (q *Queue) rejectHopeless(now time.Time) []Decision {
	var decisions []Decision
	serviceTime := q.ExpectedServiceTime(now)
	perStart := float64(serviceTime) / float64(max(q.slots, 1)) / max(q.lateShare, minLateShare)
	var late lateCounts
	remaining := q.waiting[:0]
	for _, w := range q.waiting {
		wait := time.Duration(float64(late.ahead(&w, q.fair != nil)+1) * perStart)
		if now.After(w.startBy) && now.Add(wait+serviceTime).After(w.Deadline) {
			q.settle(&w, false, true)
			decisions = append(decisions, Decision{ID: w.ID, Rejection: q.reject(verdict.DeadlineUnreachable, "no slot will be free in time", wait)})
			continue
		}
		if now.After(w.startBy) {
			late.add(&w, q.fair != nil)
		}
		remaining = append(remaining, w)
	}
	q.waiting = remaining
	return decisions
}

func (q *Queue) reject(code verdict.Code, detail string, wait time.Duration) *verdict.Error {
	return &verdict.Error{Code: code, Verdict: verdict.NotRun, Detail: detail, RetryAfter: wait}
}
