package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// callEvent is the arrival of the next call (callID 0) or the end of a call in
// virtual time.
type callEvent struct {
	at     time.Time
	callID uint64
}

type eventQueue []callEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(callEvent)) }
func (q *eventQueue) Pop() any          { last := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return last }

// simulate sends calls at a multiple of the capacity in virtual time. It returns
// the calls that ended within their deadline and those that ended after it, as
// shares of the capacity.
func simulate(load float64, calls int) (goodputShare, lateShare float64) {
	const (
		slots       = 6
		serviceTime = 10 * time.Millisecond
		timeout     = 60 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	q := New(slots)
	deadlines, startedAt := make(map[uint64]time.Time), make(map[uint64]time.Time)
	var events eventQueue
	heap.Push(&events, callEvent{at: epoch})
	next, now, inTime, late := uint64(0), epoch, 0, 0
	apply := func(event Event) {
		for _, e := range q.Step(now, event) {
			if e.Rejection == nil {
				startedAt[e.CallID] = now
				spread := 0.5 + random.Float64()
				heap.Push(&events, callEvent{at: now.Add(time.Duration(spread * float64(serviceTime))), callID: e.CallID})
			}
		}
	}
	for events.Len() > 0 {
		event := heap.Pop(&events).(callEvent)
		now = event.at
		if event.callID != 0 {
			if now.After(deadlines[event.callID]) {
				late++
			} else {
				inTime++
			}
			apply(Event{Kind: Finish, ServiceTimeClass: "r", ServiceTime: now.Sub(startedAt[event.callID])})
			continue
		}
		if next++; next < uint64(calls) {
			gap := random.ExpFloat64() * float64(serviceTime) / (slots * load)
			heap.Push(&events, callEvent{at: now.Add(time.Duration(gap))})
		}
		deadlines[next] = now.Add(timeout)
		apply(Event{Kind: Arrive, CallID: next, Customer: fmt.Sprint(next % 5), ServiceTimeClass: "r", Deadline: deadlines[next]})
	}
	capacity := now.Sub(epoch).Seconds() * slots / serviceTime.Seconds()
	return float64(inTime) / capacity, float64(late) / capacity
}

// Goodput must not collapse under overload: slots must not be spent on calls that
// end after their deadline.
func TestGoodputStaysNearCapacityUnderOverload(t *testing.T) {
	for load, minGoodput := range map[float64]float64{0.5: 0.48, 1: 0.9, 2: 0.95, 4: 0.95} {
		goodputShare, lateShare := simulate(load, 20_000)
		assert.Assert(t, goodputShare >= minGoodput, "goodput %.3f of capacity at load %g", goodputShare, load)
		assert.Assert(t, lateShare < 0.02, "%.3f of capacity was spent on late calls at load %g", lateShare, load)
	}
}

// BenchmarkGoodput reports the goodput at several loads in virtual time.
func BenchmarkGoodput(b *testing.B) {
	for _, load := range []float64{0.5, 1, 2, 4} {
		b.Run(fmt.Sprintf("load=%g", load), func(b *testing.B) {
			for range b.N {
				goodputShare, lateShare := simulate(load, 20_000)
				b.ReportMetric(goodputShare, "good/capacity")
				b.ReportMetric(lateShare, "late/capacity")
			}
		})
	}
}
