// Package admission decides which calls get a concurrency slot of a target, which
// wait in the target's queue and which are rejected before they run.
package admission

import (
	"time"

	"github.com/azurespring/azurespring/pkg/verdict"
)

// maxQueuedPerSlot bounds the queued calls per slot. In a longer queue, calls that
// could be rejected early would only wait and then end too late.
const maxQueuedPerSlot = 4

// minQueueLimit is the lowest limit of the queue length, for targets with few slots.
const minQueueLimit = 16

// serviceTimeEWMAWeight is the weight of a new service time in the moving average.
const serviceTimeEWMAWeight = 0.1

// serviceTimeLifetime is the age beyond which a mean service time no longer
// justifies a rejection while a slot is free: the next call is admitted and
// measures it again.
const serviceTimeLifetime = time.Second

// EventKind says what an Event reports.
type EventKind uint8

// The kinds of events.
const (
	// Arrive requests a slot.
	Arrive EventKind = iota + 1
	// Finish returns a slot.
	Finish
	// Cancel removes a queued call; for any other call it has no effect.
	Cancel
	// Resize sets the number of slots.
	Resize
	// Drain rejects all queued and later calls; running ones finish.
	Drain
	// Tick rejects queued calls that can no longer meet their deadline.
	Tick
)

// Event is one input of the state machine. Which fields are used depends on Kind.
type Event struct {
	Kind EventKind
	// CallID identifies a call of Arrive and Cancel. It is never reused.
	CallID uint64
	// Customer and Weight (at least 1) determine the fair share of Arrive.
	Customer string
	Weight   int
	// ServiceTimeClass groups calls with similar service times, such as a route.
	ServiceTimeClass string
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// ServiceTime is the service time of Finish; 0 if the call did not complete.
	ServiceTime time.Duration
	// Slots is the number of slots of Resize.
	Slots int
}

// Effect is the decision on one call.
type Effect struct {
	CallID uint64
	// Rejection is the reason for which the call is rejected; nil if it got a slot.
	Rejection *verdict.Error
}

// Queue is the admission queue of one target, a deterministic state machine. It
// shares the slots among customers by weighted fair queueing in virtual time. It
// is not safe for concurrent use.
type Queue struct {
	slots       int
	inFlight    int
	queued      int
	isDraining  bool
	virtualTime float64
	// customers holds those with queued calls or a virtual time ahead of virtualTime.
	customers    map[string]*customer
	serviceTimes map[string]*serviceTimeEstimate
	effects      []Effect
}

type customer struct {
	weight      int
	virtualTime float64
	// queued is ordered by deadline.
	queued []queuedCall
}

type queuedCall struct {
	callID           uint64
	serviceTimeClass string
	deadline         time.Time
}

type serviceTimeEstimate struct {
	mean      time.Duration
	updatedAt time.Time
}

// New returns a queue for a target with the given number of slots.
func New(slots int) *Queue {
	return &Queue{slots: slots, customers: make(map[string]*customer), serviceTimes: make(map[string]*serviceTimeEstimate)}
}

// InFlight returns the number of calls that hold a slot.
func (q *Queue) InFlight() int { return q.inFlight }

// Queued returns the number of calls that wait for a slot.
func (q *Queue) Queued() int { return q.queued }

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.slots }

// Step applies one event. The result is valid until the next call of Step.
func (q *Queue) Step(now time.Time, event Event) []Effect {
	q.effects = q.effects[:0]
	switch event.Kind {
	case Arrive:
		q.arrive(now, event)
	case Finish:
		q.inFlight--
		q.updateServiceTime(now, event)
		q.admitQueued(now)
	case Cancel:
		q.cancel(event.CallID)
	case Resize:
		q.slots = event.Slots
		q.admitQueued(now)
	case Drain:
		q.isDraining = true
		q.rejectAll()
	case Tick:
		q.rejectLate(now)
		q.admitQueued(now)
	}
	return q.effects
}

func (q *Queue) arrive(now time.Time, event Event) {
	switch {
	case q.isDraining:
		q.reject(event.CallID, verdict.Draining, "target is draining", 0)
		return
	case !now.Before(event.Deadline):
		q.reject(event.CallID, verdict.DeadlineUnreachable, "deadline passed before a slot was free", 0)
		return
	}
	serviceTime := q.meanServiceTime(now, event.ServiceTimeClass)
	if q.inFlight < q.slots && q.queued == 0 {
		if now.Add(serviceTime).After(event.Deadline) && !q.isStale(now, event.ServiceTimeClass) {
			q.reject(event.CallID, verdict.DeadlineUnreachable, "calls of this route take longer than the time left", 0)
			return
		}
		q.chargeCall(q.customerOf(event))
		q.admit(event.CallID)
		return
	}
	c := q.customerOf(event)
	wait := q.estimateWait(now, c, event.Deadline)
	if now.Add(wait + serviceTime).After(event.Deadline) {
		q.reject(event.CallID, verdict.DeadlineUnreachable, "the queue is longer than the time left", wait)
		return
	}
	if q.queued >= q.maxQueued() && !q.evict(c, wait) {
		q.reject(event.CallID, verdict.Overloaded, "the target's queue is full", wait)
		return
	}
	c.insert(queuedCall{callID: event.CallID, serviceTimeClass: event.ServiceTimeClass, deadline: event.Deadline})
	q.queued++
}

func (q *Queue) maxQueued() int { return max(minQueueLimit, maxQueuedPerSlot*q.slots) }

func (q *Queue) admit(callID uint64) {
	q.inFlight++
	q.effects = append(q.effects, Effect{CallID: callID})
}

func (q *Queue) reject(callID uint64, code verdict.Code, detail string, retryAfter time.Duration) {
	q.effects = append(q.effects, Effect{CallID: callID, Rejection: &verdict.Error{
		Code: code, Verdict: verdict.NotRun, Detail: detail, RetryAfter: retryAfter,
	}})
}

func (q *Queue) rejectAll() {
	for _, c := range q.customers {
		for _, w := range c.queued {
			q.reject(w.callID, verdict.Draining, "target is draining", 0)
		}
	}
	sortEffects(q.effects)
	clear(q.customers)
	q.queued = 0
}

func (q *Queue) cancel(callID uint64) {
	for _, c := range q.customers {
		if c.remove(callID) {
			q.queued--
			return
		}
	}
}

// rejectLate rejects queued calls that would end after their deadline even if they
// started now.
func (q *Queue) rejectLate(now time.Time) {
	for _, c := range q.customers {
		remaining := c.queued[:0]
		for _, w := range c.queued {
			if now.Add(q.meanServiceTime(now, w.serviceTimeClass)).After(w.deadline) {
				q.queued--
				q.reject(w.callID, verdict.DeadlineUnreachable, "no slot was free in time", 0)
				continue
			}
			remaining = append(remaining, w)
		}
		c.queued = remaining
	}
	sortEffects(q.effects)
}

// admitQueued gives free slots to queued calls: first to the customer that is
// furthest behind its fair share, and among its calls to the one with the earliest
// deadline.
func (q *Queue) admitQueued(now time.Time) {
	for q.inFlight < q.slots && q.queued > 0 {
		c := q.nextCustomer()
		w := c.queued[0]
		c.queued = append(c.queued[:0], c.queued[1:]...)
		q.queued--
		if now.Add(q.meanServiceTime(now, w.serviceTimeClass)).After(w.deadline) {
			q.reject(w.callID, verdict.DeadlineUnreachable, "no slot was free in time", 0)
			continue
		}
		q.chargeCall(c)
		q.admit(w.callID)
	}
	if q.queued == 0 && q.inFlight == 0 {
		clear(q.customers)
	}
}
