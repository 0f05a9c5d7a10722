package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// instant is an arrival (call 0) or the end of a call in virtual time.
type instant struct {
	at   time.Time
	call uint64
}

type agenda []instant

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(instant)) }
func (a *agenda) Pop() any          { last := (*a)[len(*a)-1]; *a = (*a)[:len(*a)-1]; return last }

// simulate offers calls at a multiple of the capacity in virtual time and
// returns the calls that ended in time and those that were run in vain, as
// shares of the capacity.
func simulate(load float64, calls int) (good, late float64) {
	const (
		slots   = 6
		service = 10 * time.Millisecond
		patient = 60 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	q := New(slots)
	deadlines, started := make(map[uint64]time.Time), make(map[uint64]time.Time)
	var todo agenda
	heap.Push(&todo, instant{at: epoch})
	next, now, inTime, tooLate := uint64(0), epoch, 0, 0
	apply := func(event Event) {
		for _, e := range q.Step(now, event) {
			if e.Refusal == nil {
				started[e.CallID] = now
				spread := 0.5 + random.Float64()
				heap.Push(&todo, instant{at: now.Add(time.Duration(spread * float64(service))), call: e.CallID})
			}
		}
	}
	for todo.Len() > 0 {
		event := heap.Pop(&todo).(instant)
		now = event.at
		if event.call != 0 {
			if now.After(deadlines[event.call]) {
				tooLate++
			} else {
				inTime++
			}
			apply(Event{Kind: Finish, ServiceTimeClass: "r", ServiceTime: now.Sub(started[event.call])})
			continue
		}
		if next++; next < uint64(calls) {
			gap := random.ExpFloat64() * float64(service) / (slots * load)
			heap.Push(&todo, instant{at: now.Add(time.Duration(gap))})
		}
		deadlines[next] = now.Add(patient)
		apply(Event{Kind: Arrive, CallID: next, Customer: fmt.Sprint(next % 5), ServiceTimeClass: "r", Deadline: deadlines[next]})
	}
	capacity := now.Sub(epoch).Seconds() * slots / service.Seconds()
	return float64(inTime) / capacity, float64(tooLate) / capacity
}

// Guards against the collapse of goodput under overload: slots must not be spent
// on calls that end late.
func TestGoodputStaysNearCapacityUnderOverload(t *testing.T) {
	for load, least := range map[float64]float64{0.5: 0.48, 1: 0.9, 2: 0.95, 4: 0.95} {
		good, late := simulate(load, 20_000)
		assert.Assert(t, good >= least, "goodput %.3f of capacity at load %g", good, load)
		assert.Assert(t, late < 0.02, "%.3f of capacity was spent on late calls at load %g", late, load)
	}
}

// BenchmarkGoodput reports the goodput at several loads in virtual time.
func BenchmarkGoodput(b *testing.B) {
	for _, load := range []float64{0.5, 1, 2, 4} {
		b.Run(fmt.Sprintf("load=%g", load), func(b *testing.B) {
			for range b.N {
				good, late := simulate(load, 20_000)
				b.ReportMetric(good, "good/capacity")
				b.ReportMetric(late, "late/capacity")
			}
		})
	}
}
