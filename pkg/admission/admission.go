// Package admission decides which calls get a slot of a target, which wait and
// which are refused before they run.
package admission

import (
	"time"

	"github.com/azurespring/azurespring/pkg/verdict"
)

// queuePerSlot bounds the waiting calls per slot. A longer queue only turns
// work that could be refused early into work that is late.
const queuePerSlot = 4

// minQueue is the least bound of the queue, for targets with few slots.
const minQueue = 16

// estimateWeight is the weight of a new service time in the running mean.
const estimateWeight = 0.1

// estimateLifetime is the age from which a service time no longer justifies a
// refusal while a slot is free: the next call measures it anew.
const estimateLifetime = time.Second

// EventKind says what an Event reports.
type EventKind uint8

// The kinds of events.
const (
	// Arrive asks for a slot.
	Arrive EventKind = iota + 1
	// Finish returns a slot.
	Finish
	// Cancel withdraws a waiting call; for any other call it has no effect.
	Cancel
	// Resize sets the number of slots.
	Resize
	// Drain refuses all waiting and later calls; running ones finish.
	Drain
	// Tick refuses waiting calls that can no longer meet their deadline.
	Tick
)

// Event is one input of the state machine. Which fields are used depends on Kind.
type Event struct {
	Kind EventKind
	// CallID identifies a call of Arrive and Cancel. It is never reused.
	CallID uint64
	// Customer and Weight (at least 1) give the fair share of Arrive.
	Customer string
	Weight   int
	// ServiceTimeClass groups calls with similar service times, such as a route.
	ServiceTimeClass string
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// ServiceTime is the service time of Finish; 0 if the call did not run to its end.
	ServiceTime time.Duration
	// Slots is the number of slots of Resize.
	Slots int
}

// Effect tells the outcome for one call.
type Effect struct {
	CallID uint64
	// Refusal is nil if the call got a slot.
	Refusal *verdict.Error
}

// Queue is the deterministic state machine of one target. It is not safe for
// concurrent use.
type Queue struct {
	slots    int
	inFlight int
	queued   int
	draining bool
	virtual  float64
	// customers holds those with waiting calls or a virtual time ahead of virtual.
	customers map[string]*customer
	estimates map[string]*estimate
	effects   []Effect
}

type customer struct {
	weight  int
	virtual float64
	// waiting is ordered by deadline.
	waiting []waiter
}

type waiter struct {
	call     uint64
	class    string
	deadline time.Time
}

type estimate struct {
	mean time.Duration
	at   time.Time
}

// New returns a queue for a target with the given number of slots.
func New(slots int) *Queue {
	return &Queue{slots: slots, customers: make(map[string]*customer), estimates: make(map[string]*estimate)}
}

// InFlight returns the number of calls that hold a slot.
func (q *Queue) InFlight() int { return q.inFlight }

// Queued returns the number of waiting calls.
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
		q.learn(now, event)
		q.grant(now)
	case Cancel:
		q.cancel(event.CallID)
	case Resize:
		q.slots = event.Slots
		q.grant(now)
	case Drain:
		q.draining = true
		q.refuseAll()
	case Tick:
		q.expire(now)
		q.grant(now)
	}
	return q.effects
}

func (q *Queue) arrive(now time.Time, event Event) {
	switch {
	case q.draining:
		q.refuse(event.CallID, verdict.Draining, "target is draining", 0)
		return
	case !now.Before(event.Deadline):
		q.refuse(event.CallID, verdict.DeadlineUnreachable, "deadline passed before a slot was free", 0)
		return
	}
	service := q.service(now, event.ServiceTimeClass)
	if q.inFlight < q.slots && q.queued == 0 {
		if now.Add(service).After(event.Deadline) && !q.stale(now, event.ServiceTimeClass) {
			q.refuse(event.CallID, verdict.DeadlineUnreachable, "calls of this route take longer than the time left", 0)
			return
		}
		q.charge(q.customer(event))
		q.admit(event.CallID)
		return
	}
	c := q.customer(event)
	wait := q.wait(now, c, event.Deadline)
	if now.Add(wait + service).After(event.Deadline) {
		q.refuse(event.CallID, verdict.DeadlineUnreachable, "the queue is longer than the time left", wait)
		return
	}
	if q.queued >= q.limit() && !q.evict(c, wait) {
		q.refuse(event.CallID, verdict.Overloaded, "the target's queue is full", wait)
		return
	}
	c.insert(waiter{call: event.CallID, class: event.ServiceTimeClass, deadline: event.Deadline})
	q.queued++
}

func (q *Queue) limit() int { return max(minQueue, queuePerSlot*q.slots) }

func (q *Queue) admit(call uint64) {
	q.inFlight++
	q.effects = append(q.effects, Effect{CallID: call})
}

func (q *Queue) refuse(call uint64, code verdict.Code, detail string, retryAfter time.Duration) {
	q.effects = append(q.effects, Effect{CallID: call, Refusal: &verdict.Error{
		Code: code, Verdict: verdict.NotRun, Detail: detail, RetryAfter: retryAfter,
	}})
}

func (q *Queue) refuseAll() {
	for _, c := range q.customers {
		for _, w := range c.waiting {
			q.refuse(w.call, verdict.Draining, "target is draining", 0)
		}
	}
	sortEffects(q.effects)
	clear(q.customers)
	q.queued = 0
}

func (q *Queue) cancel(call uint64) {
	for _, c := range q.customers {
		if c.remove(call) {
			q.queued--
			return
		}
	}
}

// expire refuses waiting calls whose deadline their service time would pass.
func (q *Queue) expire(now time.Time) {
	for _, c := range q.customers {
		kept := c.waiting[:0]
		for _, w := range c.waiting {
			if now.Add(q.service(now, w.class)).After(w.deadline) {
				q.queued--
				q.refuse(w.call, verdict.DeadlineUnreachable, "no slot was free in time", 0)
				continue
			}
			kept = append(kept, w)
		}
		c.waiting = kept
	}
	sortEffects(q.effects)
}

// grant gives free slots to waiting calls: the customer that is furthest behind
// its share goes first, and among its calls the one with the earliest deadline.
func (q *Queue) grant(now time.Time) {
	for q.inFlight < q.slots && q.queued > 0 {
		c := q.next()
		w := c.waiting[0]
		c.waiting = append(c.waiting[:0], c.waiting[1:]...)
		q.queued--
		if now.Add(q.service(now, w.class)).After(w.deadline) {
			q.refuse(w.call, verdict.DeadlineUnreachable, "no slot was free in time", 0)
			continue
		}
		q.charge(c)
		q.admit(w.call)
	}
	if q.queued == 0 && q.inFlight == 0 {
		clear(q.customers)
	}
}
