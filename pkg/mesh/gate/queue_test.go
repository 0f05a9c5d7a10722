package gate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/azurespring/azurespring/pkg/verdict"
)

var epoch = time.Now()

func request(id uint64, change ...func(*Request)) Request {
	r := Request{
		ID: id, Priority: 1, MaxWait: time.Minute,
		SoftDeadline: epoch.Add(time.Second), Deadline: epoch.Add(2 * time.Second),
	}
	for _, f := range change {
		f(&r)
	}
	return r
}

func priority(p int) func(*Request) { return func(r *Request) { r.Priority = p } }

func nested(r *Request) { r.Nested = true }

func targetIn(d time.Duration) func(*Request) {
	return func(r *Request) { r.SoftDeadline = epoch.Add(d) }
}

// fill takes all slots and leaves the given requests waiting.
func fill(t *testing.T, q *Queue, waiting ...Request) {
	t.Helper()
	for i := range q.Slots() {
		admitted, rejection := q.Admit(epoch, request(uint64(1000+i)))
		assert.Assert(t, admitted && rejection == nil)
	}
	for _, r := range waiting {
		admitted, rejection := q.Admit(epoch, r)
		assert.Assert(t, !admitted && rejection == nil, "request %d: %v", r.ID, rejection)
	}
}

// Guards against urgent requests and calls of running requests that wait behind
// others, and against work on requests that are late anyway.
func TestOrderOfWaitingRequests(t *testing.T) {
	for _, c := range []struct {
		name    string
		waiting []Request
		want    []uint64
	}{
		{"urgent first", []Request{request(1, priority(2)), request(2, priority(1))}, []uint64{2, 1}},
		{"nested before urgent", []Request{request(1, priority(0)), request(2, nested, priority(5))}, []uint64{2, 1}},
		{"sooner target first", []Request{request(1, targetIn(900*time.Millisecond)), request(2, targetIn(400*time.Millisecond))}, []uint64{2, 1}},
		{"late ones last", []Request{request(1, targetIn(10*time.Millisecond)), request(2, targetIn(800*time.Millisecond))}, []uint64{2, 1}},
	} {
		q := NewQueue(1)
		fill(t, q, c.waiting...)
		var got []uint64
		for range c.want {
			for _, grant := range q.Release(epoch, 50*time.Millisecond) {
				assert.Assert(t, grant.Rejection == nil)
				got = append(got, grant.ID)
			}
		}
		assert.DeepEqual(t, got, c.want)
	}
}

// Guards against requests that wait although their sender would do better to
// place them elsewhere, or that cannot be served in time.
func TestRejectionAtOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Request)
		code   verdict.Code
	}{
		{"deadline has passed", func(r *Request) { r.Deadline = epoch }, verdict.DeadlineUnreachable},
		{"wait beyond the deadline", func(r *Request) { r.Deadline = epoch.Add(20 * time.Millisecond) }, verdict.DeadlineUnreachable},
		{"wait beyond its use", func(r *Request) { r.MaxWait = 10 * time.Millisecond }, verdict.Overloaded},
	} {
		q := NewQueue(1)
		fill(t, q)
		admitted, rejection := q.Admit(epoch, request(1, c.change))
		assert.Assert(t, !admitted && rejection != nil, c.name)
		assert.Equal(t, rejection.Code, c.code, c.name)
		assert.Equal(t, rejection.Verdict, verdict.NotRun, c.name)
		assert.Equal(t, q.Waiting(), 0, c.name)
	}
}

// Guards against a queue that grows without bound in a burst of arrivals.
func TestQueueIsBounded(t *testing.T) {
	q := NewQueue(2)
	fill(t, q)
	rejected := 0
	for i := range 1000 {
		if _, rejection := q.Admit(epoch, request(uint64(i+1), func(r *Request) { r.Deadline = epoch.Add(time.Hour) })); rejection != nil {
			rejected++
			assert.Assert(t, rejection.RetryAfter > 0, "a rejection says when to come back")
		}
	}
	assert.Equal(t, q.Waiting(), queuePerSlot*2)
	assert.Equal(t, rejected, 1000-queuePerSlot*2)
}

// Guards against slots that leak or are given twice, whatever the order of
// arrivals, ends, withdrawals and changes of the number of slots.
func TestSlotsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(rapid.IntRange(1, 4).Draw(t, "slots"))
		running, waiting := make(map[uint64]bool), make(map[uint64]bool)
		take := func(grants []Decision) {
			for _, g := range grants {
				if !waiting[g.ID] {
					t.Fatalf("grant for request %d, which does not wait", g.ID)
				}
				delete(waiting, g.ID)
				if g.Rejection == nil {
					running[g.ID] = true
				}
			}
		}
		now, next := epoch, uint64(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				next++
				r := request(next, priority(rapid.IntRange(0, 2).Draw(t, "priority")))
				r.Deadline = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "left")) * time.Millisecond)
				admitted, rejection := q.Admit(now, r)
				switch {
				case admitted:
					running[next] = true
				case rejection == nil:
					waiting[next] = true
				}
			case 2:
				for id := range running {
					delete(running, id)
					take(q.Release(now, 20*time.Millisecond))
					break
				}
			case 3:
				for id := range waiting {
					if !q.Cancel(id) {
						t.Fatalf("waiting request %d cannot be withdrawn", id)
					}
					delete(waiting, id)
					break
				}
			case 4:
				take(q.Resize(now, rapid.IntRange(1, 4).Draw(t, "new slots")))
			}
			if q.Running() != len(running) || q.Waiting() != len(waiting) {
				t.Fatalf("queue counts %d and %d, want %d and %d", q.Running(), q.Waiting(), len(running), len(waiting))
			}
			if len(waiting) > 0 && len(running) < q.Slots() {
				t.Fatalf("a slot is free while %d requests wait", len(waiting))
			}
		}
	})
}

// Replays an overload of twice the slots' rate and guards against urgent
// requests that lose to less urgent ones, and against answers that are all late.
func TestOverloadServesUrgentRequestsInTime(t *testing.T) {
	const (
		slots   = 6
		service = 100 * time.Millisecond
		target  = 300 * time.Millisecond
	)
	q := NewQueue(slots)
	type running struct {
		id   uint64
		ends time.Time
	}
	var busy []running
	arrivals := make(map[uint64]Request)
	inTime, asked := map[int]int{}, map[int]int{}
	start := func(now time.Time, id uint64) { busy = append(busy, running{id, now.Add(service)}) }
	for ms := range 10_000 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		kept := busy[:0]
		var ended []running
		for _, b := range busy {
			if b.ends.After(now) {
				kept = append(kept, b)
			} else {
				ended = append(ended, b)
			}
		}
		busy = kept
		for _, b := range ended {
			if r := arrivals[b.id]; !now.After(r.SoftDeadline) {
				inTime[r.Priority]++
			}
			for _, g := range q.Release(now, service) {
				if g.Rejection == nil {
					start(now, g.ID)
				}
			}
		}
		// 120 requests per second for slots that serve 60, a third of them urgent.
		if ms%25 < 3 {
			id := uint64(ms + 1)
			r := Request{
				ID: id, Priority: 1 + b2i(ms%25 > 0), MaxWait: target - service,
				SoftDeadline: now.Add(target), Deadline: now.Add(800 * time.Millisecond),
			}
			arrivals[id] = r
			asked[r.Priority]++
			if admitted, _ := q.Admit(now, r); admitted {
				start(now, id)
			}
		}
	}
	report := fmt.Sprintf("urgent %d of %d, others %d of %d in time", inTime[1], asked[1], inTime[2], asked[2])
	assert.Assert(t, float64(inTime[1]) > 0.95*float64(asked[1]), report)
	total := float64(inTime[1] + inTime[2])
	assert.Assert(t, total > 0.9*60*10, "slots are not used for answers in time: %s", report)
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
