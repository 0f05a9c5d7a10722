package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurespring/azurespring/pkg/verdict"
)

// customerOf returns the state of the event's customer. One without queued calls
// starts at the current virtual time, so that it cannot accumulate unused share.
func (q *Queue) customerOf(event Event) *customer {
	c := q.customers[event.Customer]
	if c == nil {
		c = &customer{virtualTime: q.virtualTime}
		q.customers[event.Customer] = c
	}
	if len(c.queued) == 0 {
		c.virtualTime = max(c.virtualTime, q.virtualTime)
	}
	c.weight = max(event.Weight, 1)
	return c
}

// chargeCall advances the customer's virtual time by one call divided by its weight.
func (q *Queue) chargeCall(c *customer) {
	q.virtualTime = max(q.virtualTime, c.virtualTime)
	c.virtualTime += 1 / float64(c.weight)
}

// nextCustomer returns the customer with queued calls and the lowest virtual time;
// among equals the one with the earliest deadline, then the oldest call.
func (q *Queue) nextCustomer() *customer {
	var best *customer
	for _, c := range q.customers {
		if len(c.queued) > 0 && (best == nil || c.before(best)) {
			best = c
		}
	}
	return best
}

func (c *customer) before(other *customer) bool {
	a, b := c.queued[0], other.queued[0]
	return cmp.Or(cmp.Compare(c.virtualTime, other.virtualTime), a.deadline.Compare(b.deadline),
		cmp.Compare(a.callID, b.callID)) < 0
}

// estimateWait estimates the time until a new call of c gets a slot. Calls of c
// with earlier deadlines go first, and other customers get their share meanwhile.
func (q *Queue) estimateWait(now time.Time, c *customer, deadline time.Time) time.Duration {
	callsBefore, _ := c.position(deadline)
	ahead := float64(callsBefore + 1)
	for _, other := range q.customers {
		if other != c && len(other.queued) > 0 {
			share := float64(callsBefore+1) * float64(other.weight) / float64(c.weight)
			ahead += min(float64(len(other.queued)), share)
		}
	}
	return time.Duration(ahead / float64(max(q.slots, 1)) * float64(q.overallServiceTime(now)))
}

// evict makes room in a full queue for a call of c: it rejects the last call of the
// customer with the most queued calls per weight. It reports false if that is c
// itself or if c would then have as many per weight.
func (q *Queue) evict(c *customer, wait time.Duration) bool {
	queuedPerWeight := func(c *customer, extra int) float64 {
		return float64(len(c.queued)+extra) / float64(c.weight)
	}
	var largest *customer
	for _, other := range q.customers {
		if len(other.queued) == 0 {
			continue
		}
		if largest == nil || cmp.Or(cmp.Compare(queuedPerWeight(other, 0), queuedPerWeight(largest, 0)),
			cmp.Compare(largest.queued[0].callID, other.queued[0].callID)) > 0 {
			largest = other
		}
	}
	if largest == nil || largest == c || queuedPerWeight(largest, 0) <= queuedPerWeight(c, 1) {
		return false
	}
	last := largest.queued[len(largest.queued)-1]
	largest.queued = largest.queued[:len(largest.queued)-1]
	q.queued--
	q.reject(last.callID, verdict.Overloaded, "the target's queue is full and the customer holds more than its share", wait)
	return true
}

// position returns the index at which a call with the given deadline is queued: behind
// those with the same or an earlier deadline. The second result is always false.
func (c *customer) position(deadline time.Time) (int, bool) {
	return slices.BinarySearchFunc(c.queued, deadline, func(w queuedCall, d time.Time) int {
		if w.deadline.After(d) {
			return 1
		}
		return -1
	})
}

func (c *customer) insert(w queuedCall) {
	index, _ := c.position(w.deadline)
	c.queued = slices.Insert(c.queued, index, w)
}

func (c *customer) remove(callID uint64) bool {
	index := slices.IndexFunc(c.queued, func(w queuedCall) bool { return w.callID == callID })
	if index < 0 {
		return false
	}
	c.queued = slices.Delete(c.queued, index, index+1)
	return true
}

// updateServiceTime updates the moving averages of the call's class and of all
// calls, which is stored under the empty class.
func (q *Queue) updateServiceTime(now time.Time, event Event) {
	if event.ServiceTime <= 0 {
		return
	}
	for _, class := range [...]string{event.ServiceTimeClass, ""} {
		e := q.serviceTimes[class]
		if e == nil {
			e = &serviceTimeEstimate{mean: event.ServiceTime}
			q.serviceTimes[class] = e
		}
		e.mean += time.Duration(serviceTimeEWMAWeight * float64(event.ServiceTime-e.mean))
		e.updatedAt = now
		if event.ServiceTimeClass == "" {
			return
		}
	}
}

func (q *Queue) meanServiceTime(_ time.Time, class string) time.Duration {
	if e := q.serviceTimes[class]; e != nil {
		return e.mean
	}
	return 0
}

// overallServiceTime returns the mean service time of all classes.
func (q *Queue) overallServiceTime(now time.Time) time.Duration { return q.meanServiceTime(now, "") }

func (q *Queue) isStale(now time.Time, class string) bool {
	e := q.serviceTimes[class]
	return e == nil || now.Sub(e.updatedAt) > serviceTimeLifetime
}

// sortEffects orders effects by call ID, independent of the iteration over maps.
func sortEffects(effects []Effect) {
	slices.SortFunc(effects, func(a, b Effect) int { return cmp.Compare(a.CallID, b.CallID) })
}
