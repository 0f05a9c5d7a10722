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

func softDeadlineIn(d time.Duration) func(*Request) {
	return func(r *Request) { r.SoftDeadline = epoch.Add(d) }
}

// fillSlots takes all slots and leaves the given requests waiting.
func fillSlots(t *testing.T, q *Queue, waiting ...Request) {
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

// Urgent requests and nested calls must not wait behind others, and slots must not go
// to requests that are late anyway while others can be in time.
func TestUrgentAndTimelyRequestsAreAdmittedFirst(t *testing.T) {
	for _, c := range []struct {
		name    string
		waiting []Request
		want    []uint64
	}{
		{"urgent first", []Request{request(1, priority(2)), request(2, priority(1))}, []uint64{2, 1}},
		{"nested before urgent", []Request{request(1, priority(0)), request(2, nested, priority(5))}, []uint64{2, 1}},
		{"earlier soft deadline first", []Request{request(1, softDeadlineIn(900*time.Millisecond)), request(2, softDeadlineIn(400*time.Millisecond))}, []uint64{2, 1}},
		{"late requests last", []Request{request(1, softDeadlineIn(10*time.Millisecond)), request(2, softDeadlineIn(800*time.Millisecond))}, []uint64{2, 1}},
	} {
		q := NewQueue(1)
		fillSlots(t, q, c.waiting...)
		var got []uint64
		for range c.want {
			for _, decision := range q.Release(epoch, 50*time.Millisecond) {
				assert.Assert(t, decision.Rejection == nil)
				got = append(got, decision.ID)
			}
		}
		assert.DeepEqual(t, got, c.want)
	}
}

// A request must not wait if it cannot be served in time, or if its sender prefers
// another endpoint to the wait.
func TestAdmitRejectsRequestsWhoseWaitIsTooLong(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Request)
		code   verdict.Code
	}{
		{"deadline has passed", func(r *Request) { r.Deadline = epoch }, verdict.DeadlineUnreachable},
		{"wait beyond the deadline", func(r *Request) { r.Deadline = epoch.Add(20 * time.Millisecond) }, verdict.DeadlineUnreachable},
		{"wait beyond the maximum wait", func(r *Request) { r.MaxWait = 10 * time.Millisecond }, verdict.Overloaded},
	} {
		q := NewQueue(1)
		fillSlots(t, q)
		admitted, rejection := q.Admit(epoch, request(1, c.change))
		assert.Assert(t, !admitted && rejection != nil, c.name)
		assert.Equal(t, rejection.Code, c.code, c.name)
		assert.Equal(t, rejection.Verdict, verdict.NotRun, c.name)
		assert.Equal(t, q.Waiting(), 0, c.name)
	}
}

// The queue must not grow without bound in a burst of requests.
func TestQueueIsBounded(t *testing.T) {
	q := NewQueue(2)
	fillSlots(t, q)
	rejected := 0
	for i := range 1000 {
		if _, rejection := q.Admit(epoch, request(uint64(i+1), func(r *Request) { r.Deadline = epoch.Add(time.Hour) })); rejection != nil {
			rejected++
			assert.Assert(t, rejection.RetryAfter > 0, "a rejection must say when to retry")
		}
	}
	assert.Equal(t, q.Waiting(), maxQueuePerSlot*2)
	assert.Equal(t, rejected, 1000-maxQueuePerSlot*2)
}

// Slots must not leak or be given out twice, whatever the order of requests, releases,
// cancellations and changes of the number of slots.
func TestSlotsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(rapid.IntRange(1, 4).Draw(t, "slots"))
		running, waiting := make(map[uint64]bool), make(map[uint64]bool)
		apply := func(decisions []Decision) {
			for _, d := range decisions {
				if !waiting[d.ID] {
					t.Fatalf("decision for request %d, which does not wait", d.ID)
				}
				delete(waiting, d.ID)
				if d.Rejection == nil {
					running[d.ID] = true
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
				r.Deadline = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "remaining ms")) * time.Millisecond)
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
					apply(q.Release(now, 20*time.Millisecond))
					break
				}
			case 3:
				for id := range waiting {
					if !q.Cancel(id) {
						t.Fatalf("waiting request %d cannot be canceled", id)
					}
					delete(waiting, id)
					break
				}
			case 4:
				apply(q.Resize(now, rapid.IntRange(1, 4).Draw(t, "new slots")))
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

// With twice the load that the slots can serve, urgent requests must not lose to less
// urgent ones, and most slots must go to responses that are in time.
func TestOverloadServesUrgentRequestsInTime(t *testing.T) {
	const (
		slots       = 6
		serviceTime = 100 * time.Millisecond
		softTimeout = 300 * time.Millisecond
	)
	q := NewQueue(slots)
	type runningRequest struct {
		id   uint64
		ends time.Time
	}
	var running []runningRequest
	requests := make(map[uint64]Request)
	inTime, offered := map[int]int{}, map[int]int{}
	start := func(now time.Time, id uint64) { running = append(running, runningRequest{id, now.Add(serviceTime)}) }
	for ms := range 10_000 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		stillRunning := running[:0]
		var ended []runningRequest
		for _, b := range running {
			if b.ends.After(now) {
				stillRunning = append(stillRunning, b)
			} else {
				ended = append(ended, b)
			}
		}
		running = stillRunning
		for _, b := range ended {
			if r := requests[b.id]; !now.After(r.SoftDeadline) {
				inTime[r.Priority]++
			}
			for _, d := range q.Release(now, serviceTime) {
				if d.Rejection == nil {
					start(now, d.ID)
				}
			}
		}
		// 120 requests per second for slots that serve 60, a third of them urgent.
		if ms%25 < 3 {
			id := uint64(ms + 1)
			r := Request{
				ID: id, Priority: 1 + boolToInt(ms%25 > 0), MaxWait: softTimeout - serviceTime,
				SoftDeadline: now.Add(softTimeout), Deadline: now.Add(800 * time.Millisecond),
			}
			requests[id] = r
			offered[r.Priority]++
			if admitted, _ := q.Admit(now, r); admitted {
				start(now, id)
			}
		}
	}
	summary := fmt.Sprintf("urgent %d of %d, others %d of %d in time", inTime[1], offered[1], inTime[2], offered[2])
	assert.Assert(t, float64(inTime[1]) > 0.95*float64(offered[1]), summary)
	total := float64(inTime[1] + inTime[2])
	assert.Assert(t, total > 0.9*60*10, "slots are not used for responses in time: %s", summary)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
