package gate

import (
	"time"

	"github.com/azurespring/azurespring/pkg/verdict"
)

// displaceFor makes room in a full queue for w: it rejects the least urgent waiting request
// if that is less urgent than w, or if the guard wants w admitted. It reports whether there
// is room.
func (q *Queue) displaceFor(now time.Time, w *waiter, isGuarded bool) bool {
	victim, lastTurn := q.leastUrgent(now)
	if victim < 0 {
		return false
	}
	other := &q.waiting[victim]
	if urgency := compareUrgency(w, other); !isGuarded && (urgency > 0 || urgency == 0 && !q.isFairer(now, w, other, lastTurn)) {
		return false
	}
	displaced := *other
	q.waiting = append(q.waiting[:victim], q.waiting[victim+1:]...)
	q.settle(&displaced, false, true)
	q.fairnessCounts.Displaced++
	q.fair.displaced = append(q.fair.displaced, Decision{
		ID: displaced.ID, Rejection: q.reject(verdict.Overloaded, "a more urgent request took the place in the queue", q.estimateFairWait(now, &displaced)),
	})
	return true
}

// isFairer reports whether w should wait rather than other, which is as urgent and has the
// given turn: because its own turn comes earlier, or because only w can be in time.
func (q *Queue) isFairer(now time.Time, w, other *waiter, lastTurn int64) bool {
	own := int64(0)
	for i := range q.waiting {
		if q.waiting[i].flow == w.flow && compareUrgency(&q.waiting[i], w) == 0 {
			own++
		}
	}
	return w.flow.turn+own < lastTurn || !now.After(w.startBy) && now.After(other.startBy)
}

// leastUrgent returns the index of the waiting request that is admitted last and its turn;
// -1 if all of them are calls of endpoints or kept by the guard.
func (q *Queue) leastUrgent(now time.Time) (index int, lastTurn int64) {
	urgent := -1
	for i := range q.waiting {
		w := &q.waiting[i]
		if !w.Nested && !w.isStarved() && (urgent < 0 || compareUrgency(w, &q.waiting[urgent]) > 0) {
			urgent = i
		}
	}
	if urgent < 0 {
		return -1, 0
	}
	last := &q.waiting[urgent]
	isCandidate := func(w *waiter) bool { return !w.isStarved() && compareUrgency(w, last) == 0 }
	for i := range q.waiting {
		if w := &q.waiting[i]; isCandidate(w) {
			w.flow.inTime++
		}
	}
	index = urgent
	for i := range q.waiting {
		w, worst := &q.waiting[i], &q.waiting[index]
		if !isCandidate(w) {
			continue
		}
		turn, worstTurn := w.flow.turn+int64(w.flow.inTime), worst.flow.turn+int64(worst.flow.inTime)
		if turn > worstTurn || turn == worstTurn && !q.precedesInFlow(now, w, worst) {
			index = i
		}
	}
	lastTurn = q.waiting[index].flow.turn + int64(q.waiting[index].flow.inTime) - 1
	for i := range q.waiting {
		q.waiting[i].flow.inTime = 0
	}
	return index, lastTurn
}

// TakeDisplaced returns the waiting requests that were rejected in favor of more urgent ones
// since the last call.
func (q *Queue) TakeDisplaced() []Decision {
	if q.fair == nil {
		return nil
	}
	displaced := q.fair.displaced
	q.fair.displaced = nil
	return displaced
}

// lateCounts counts waiting requests that can no longer be in time, in the order between
// tenants by urgency: a late request waits only behind those that are as urgent.
type lateCounts []lateCount

// maxLateCounts bounds the urgencies that are told apart, and with them the work for each
// waiting request; further ones count with the last.
const maxLateCounts = 8

type lateCount struct {
	example waiter
	count   int
}

// ahead returns the number of counted requests that w waits behind.
func (c *lateCounts) ahead(w *waiter, isFair bool) int {
	sum := 0
	for i := range *c {
		if !isFair || compareUrgency(&(*c)[i].example, w) <= 0 {
			sum += (*c)[i].count
		}
	}
	return sum
}

// add counts w.
func (c *lateCounts) add(w *waiter, isFair bool) {
	for i := range *c {
		if !isFair || i == maxLateCounts-1 || compareUrgency(&(*c)[i].example, w) == 0 {
			(*c)[i].count++
			return
		}
	}
	*c = append(*c, lateCount{example: *w, count: 1})
}
