package gate

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endings is a heap of the times at which requests end.
type endings []ending

type ending struct {
	at      time.Time
	request Request
	took    time.Duration
}

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, k int) bool { return e[i].at.Before(e[k].at) }
func (e endings) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// overload replays lookups at one endpoint of pearlwell's scale-2: 13 slots, 61 ms of work
// that varies, 250 ms until a response is late, 1.5 s until the client leaves. load is the
// offered load in units of the capacity. It returns the fractions of the offered requests
// that are answered in time, late, and not at all, and the mean time that the last ones
// were held, as a fraction of their timeout.
func overload(seed uint64, load float64) (inTime, late, refused, held float64) {
	const (
		slots       = 13
		work        = 61 * time.Millisecond
		softTimeout = 250 * time.Millisecond
		timeout     = 1500 * time.Millisecond
		duration    = 20 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 1))
	serviceTime := func() time.Duration {
		return time.Duration(float64(work) * math.Exp(0.5*random.NormFloat64()-0.125))
	}
	q := NewQueue(slots)
	var running endings
	waiting := make(map[uint64]Request)
	var answered, answeredLate, offered, refusedCount, heldSum float64
	refuse := func(now time.Time, r Request) {
		refusedCount++
		heldSum += float64(now.Sub(r.Deadline.Add(-timeout))) / float64(timeout)
	}
	start := func(now time.Time, r Request) {
		took := serviceTime()
		heap.Push(&running, ending{at: now.Add(took), request: r, took: took})
	}
	finish := func(now time.Time) {
		e := heap.Pop(&running).(ending)
		if e.at.After(e.request.SoftDeadline) {
			answeredLate++
		} else {
			answered++
		}
		for _, d := range q.Release(e.at, e.took) {
			r := waiting[d.ID]
			delete(waiting, d.ID)
			if d.Rejection == nil {
				start(e.at, r)
			} else {
				refuse(e.at, r)
			}
		}
	}
	rate := load * slots / work.Seconds()
	now := epoch
	for id := uint64(1); now.Before(epoch.Add(duration)); id++ {
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		for len(running) > 0 && !running[0].at.After(now) {
			finish(now)
		}
		offered++
		r := Request{ID: id, Priority: 2, SoftDeadline: now.Add(softTimeout), Deadline: now.Add(timeout), MaxWait: timeout - work}
		switch admitted, rejection := q.Admit(now, r); {
		case admitted:
			start(now, r)
		case rejection == nil:
			waiting[id] = r
		default:
			refuse(now, r)
		}
	}
	return answered / offered, answeredLate / offered, refusedCount / offered, heldSum / max(refusedCount, 1)
}

// Under lasting overload, slots must go to requests that can be answered in time. Ordered
// by their deadlines alone, all of them wait until they are just too late.
func TestOverloadAnswersInTimeRatherThanLate(t *testing.T) {
	for _, load := range []float64{0.9, 1.3, 1.6, 2.5} {
		var inTime, late, refused, held float64
		const seeds = 5
		for seed := range uint64(seeds) {
			a, b, c, d := overload(seed, load)
			inTime, late, refused, held = inTime+a/seeds, late+b/seeds, refused+c/seeds, held+d/seeds
		}
		t.Logf("load %.1f: in time %.3f, late %.3f, refused %.3f after %.3f of their time", load, inTime, late, refused, held)
		// Later, the caller has no time left to ask another endpoint.
		assert.Assert(t, held < 0.5, "load %.1f: refused after %.3f of the time", load, held)
		assert.Assert(t, inTime > 0.85*min(1/load, 1), "load %.1f: in time %.3f of a capacity of %.3f", load, inTime, min(1/load, 1))
	}
}
