package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurespring/azurespring/pkg/verdict"
)

// customer returns the state of the event's customer. One that was away starts
// at the current virtual time, so that it cannot save up a share.
func (q *Queue) customer(event Event) *customer {
	c := q.customers[event.Customer]
	if c == nil {
		c = &customer{virtual: q.virtual}
		q.customers[event.Customer] = c
	}
	if len(c.waiting) == 0 {
		c.virtual = max(c.virtual, q.virtual)
	}
	c.weight = max(event.Weight, 1)
	return c
}

// charge advances the customer's virtual time by one call over its weight.
func (q *Queue) charge(c *customer) {
	q.virtual = max(q.virtual, c.virtual)
	c.virtual += 1 / float64(c.weight)
}

// next returns the customer with waiting calls and the lowest virtual time;
// among equals the one with the earliest deadline, then the oldest call.
func (q *Queue) next() *customer {
	var best *customer
	for _, c := range q.customers {
		if len(c.waiting) > 0 && (best == nil || c.before(best)) {
			best = c
		}
	}
	return best
}

func (c *customer) before(other *customer) bool {
	a, b := c.waiting[0], other.waiting[0]
	return cmp.Or(cmp.Compare(c.virtual, other.virtual), a.deadline.Compare(b.deadline),
		cmp.Compare(a.call, b.call)) < 0
}

// wait estimates the time until a new call of c gets a slot: its own earlier
// deadlines go first, and other customers get their share meanwhile.
func (q *Queue) wait(now time.Time, c *customer, deadline time.Time) time.Duration {
	own, _ := c.position(deadline)
	ahead := float64(own + 1)
	for _, other := range q.customers {
		if other != c && len(other.waiting) > 0 {
			share := float64(own+1) * float64(other.weight) / float64(c.weight)
			ahead += min(float64(len(other.waiting)), share)
		}
	}
	return time.Duration(ahead / float64(max(q.slots, 1)) * float64(q.overall(now)))
}

// evict makes room in a full queue for c by refusing the last call of the
// customer that holds the most places per weight, unless that is c itself.
func (q *Queue) evict(c *customer, wait time.Duration) bool {
	share := func(c *customer, extra int) float64 {
		return float64(len(c.waiting)+extra) / float64(c.weight)
	}
	var most *customer
	for _, other := range q.customers {
		if len(other.waiting) == 0 {
			continue
		}
		if most == nil || cmp.Or(cmp.Compare(share(other, 0), share(most, 0)),
			cmp.Compare(most.waiting[0].call, other.waiting[0].call)) > 0 {
			most = other
		}
	}
	if most == nil || most == c || share(most, 0) <= share(c, 1) {
		return false
	}
	last := most.waiting[len(most.waiting)-1]
	most.waiting = most.waiting[:len(most.waiting)-1]
	q.queued--
	q.refuse(last.call, verdict.Overloaded, "the target's queue is full and the customer holds more than its share", wait)
	return true
}

func (c *customer) position(deadline time.Time) (int, bool) {
	return slices.BinarySearchFunc(c.waiting, deadline, func(w waiter, d time.Time) int {
		if w.deadline.After(d) {
			return 1
		}
		return -1
	})
}

func (c *customer) insert(w waiter) {
	at, _ := c.position(w.deadline)
	c.waiting = slices.Insert(c.waiting, at, w)
}

func (c *customer) remove(call uint64) bool {
	at := slices.IndexFunc(c.waiting, func(w waiter) bool { return w.call == call })
	if at < 0 {
		return false
	}
	c.waiting = slices.Delete(c.waiting, at, at+1)
	return true
}

// learn takes a service time into the running mean of its class.
func (q *Queue) learn(now time.Time, event Event) {
	if event.ServiceTime <= 0 {
		return
	}
	for _, class := range [...]string{event.ServiceTimeClass, ""} {
		e := q.estimates[class]
		if e == nil {
			e = &estimate{mean: event.ServiceTime}
			q.estimates[class] = e
		}
		e.mean += time.Duration(estimateWeight * float64(event.ServiceTime-e.mean))
		e.at = now
		if event.ServiceTimeClass == "" {
			return
		}
	}
}

func (q *Queue) service(_ time.Time, class string) time.Duration {
	if e := q.estimates[class]; e != nil {
		return e.mean
	}
	return 0
}

// overall is the mean service time of all classes.
func (q *Queue) overall(now time.Time) time.Duration { return q.service(now, "") }

func (q *Queue) stale(now time.Time, class string) bool {
	e := q.estimates[class]
	return e == nil || now.Sub(e.at) > estimateLifetime
}

// sortEffects makes the order independent of the iteration over maps.
func sortEffects(effects []Effect) {
	slices.SortFunc(effects, func(a, b Effect) int { return cmp.Compare(a.CallID, b.CallID) })
}
