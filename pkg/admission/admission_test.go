package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/azurespring/azurespring/pkg/reducer"
	"github.com/azurespring/azurespring/pkg/verdict"
)

var epoch = time.UnixMilli(1_700_000_000_000)

var _ reducer.Reducer[Event, Effect] = (*Queue)(nil)

// after returns the time that many milliseconds after the epoch.
func after(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }

func arrive(call uint64, customer string, deadline int) Event {
	return Event{Kind: Arrive, CallID: call, Customer: customer, ServiceTimeClass: "r", Deadline: after(deadline)}
}

func finish(millis int) Event {
	return Event{Kind: Finish, ServiceTimeClass: "r", ServiceTime: time.Duration(millis) * time.Millisecond}
}

// describe lists effects such as "1" (slot) or "2:overloaded".
func describe(effects []Effect) string {
	text := ""
	for _, e := range effects {
		text += fmt.Sprint(e.CallID)
		if e.Refusal != nil {
			text += ":" + string(e.Refusal.Code)
		}
		text += " "
	}
	return text
}

// Guards against queueing of calls that cannot be in time, against a queue that
// ignores deadlines, and against calls that are refused although they fit.
func TestQueueDecidesByDeadline(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []Event
		want   string // effects of the last event
	}{
		{"free slot", []Event{arrive(1, "a", 100)}, "1 "},
		{"deadline passed", []Event{arrive(1, "a", 0)}, "1:deadline-unreachable "},
		{"waits", []Event{arrive(1, "a", 100), arrive(2, "a", 100)}, ""},
		{"slot passes on", []Event{arrive(1, "a", 100), arrive(2, "a", 100), finish(10)}, "2 "},
		{"earliest deadline first", []Event{arrive(1, "a", 100), arrive(2, "a", 90), arrive(3, "a", 50), finish(10)}, "3 "},
		{"wait plus service too long", []Event{arrive(1, "a", 100), finish(30), arrive(2, "a", 100), arrive(3, "a", 59)}, "3:deadline-unreachable "},
		{"wait plus service fits", []Event{arrive(1, "a", 100), finish(30), arrive(2, "a", 100), arrive(3, "a", 61)}, ""},
		{"service alone too long", []Event{arrive(1, "a", 100), finish(30), arrive(2, "a", 20)}, "2:deadline-unreachable "},
		{"canceled work is gone", []Event{arrive(1, "a", 100), arrive(2, "a", 90), arrive(3, "a", 100), {Kind: Cancel, CallID: 2}, finish(1)}, "3 "},
		{"drain refuses waiting", []Event{arrive(1, "a", 100), arrive(2, "a", 90), {Kind: Drain}}, "2:draining "},
		{"drain refuses new", []Event{{Kind: Drain}, arrive(1, "a", 100)}, "1:draining "},
		{"more slots", []Event{arrive(1, "a", 100), arrive(2, "a", 90), {Kind: Resize, Slots: 2}}, "2 "},
	} {
		q := New(1)
		var got string
		for _, event := range c.events {
			got = describe(q.Step(epoch, event))
		}
		assert.Equal(t, got, c.want, c.name)
	}
}

// Guards against a class that is refused for good after one slow call: an old
// estimate must be measured anew while a slot is free.
func TestOldEstimateIsMeasuredAnew(t *testing.T) {
	q := New(1)
	q.Step(epoch, arrive(1, "a", 10_000))
	q.Step(epoch, finish(500))
	assert.Equal(t, describe(q.Step(after(900), arrive(2, "a", 1000))), "2:deadline-unreachable ")
	assert.Equal(t, describe(q.Step(after(1600), arrive(3, "a", 1700))), "3 ")
}

// Guards against one customer that takes all slots, or the whole queue, from
// others under contention.
func TestContendingCustomersGetTheirWeights(t *testing.T) {
	q := New(4)
	served := make(map[string]int)
	owner := make(map[uint64]string)
	next := uint64(0)
	submit := func(customer string, weight int) {
		next++
		owner[next] = customer
		event := arrive(next, customer, 1000)
		event.Weight = weight
		for _, e := range q.Step(epoch, event) {
			if e.Refusal == nil {
				served[owner[e.CallID]]++
			}
		}
	}
	for range 4000 {
		// The greedy customer offers far more than its weight.
		for range 5 {
			submit("greedy", 1)
		}
		submit("heavy", 3)
		submit("light", 1)
		for _, e := range q.Step(epoch, finish(0)) {
			if e.Refusal == nil {
				served[owner[e.CallID]]++
			}
		}
	}
	total := served["greedy"] + served["heavy"] + served["light"]
	for customer, share := range map[string]float64{"greedy": 0.2, "heavy": 0.6, "light": 0.2} {
		got := float64(served[customer]) / float64(total)
		assert.Assert(t, got > share-0.02 && got < share+0.02, "%s got %.3f of the slots, due are %.2f", customer, got, share)
	}
}

// Guards against lost or double slots, calls that hear nothing or twice, false
// verdicts, a queue without bound, and results that differ in a replay.
func TestQueueKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, replica := New(3), New(3)
		waiting, running := make(map[uint64]bool), 0
		now, next := epoch, uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * time.Millisecond)
			event := Event{Kind: EventKind(rapid.IntRange(int(Arrive), int(Tick)).Draw(t, "kind"))}
			switch event.Kind {
			case Arrive:
				next++
				event.CallID, event.Customer = next, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
				event.Weight = rapid.IntRange(1, 3).Draw(t, "weight")
				event.Deadline = now.Add(time.Duration(rapid.IntRange(-5, 100).Draw(t, "left")) * time.Millisecond)
				waiting[next] = true
			case Finish:
				if running == 0 {
					continue
				}
				running--
				event.ServiceTime = time.Duration(rapid.IntRange(0, 30).Draw(t, "service")) * time.Millisecond
			case Cancel:
				event.CallID = rapid.Uint64Range(1, next+1).Draw(t, "call")
				delete(waiting, event.CallID)
			case Resize:
				event.Slots = rapid.IntRange(1, 5).Draw(t, "slots")
			case Drain:
				if rapid.IntRange(0, 50).Draw(t, "drain") != 0 {
					continue
				}
			}
			before := running
			effects := q.Step(now, event)
			for _, e := range effects {
				assert.Assert(t, waiting[e.CallID], "call %d heard twice or after it was withdrawn", e.CallID)
				delete(waiting, e.CallID)
				if e.Refusal == nil {
					running++
				} else {
					assert.Equal(t, e.Refusal.Verdict, verdict.NotRun)
				}
			}
			assert.Equal(t, describe(replica.Step(now, event)), describe(effects))
			assert.Equal(t, q.InFlight(), running)
			assert.Equal(t, q.Queued(), len(waiting))
			assert.Assert(t, running <= max(q.Slots(), before), "more calls run than there are slots")
			assert.Assert(t, q.Queued() <= max(minQueue, queuePerSlot*5))
			assert.Assert(t, q.draining || q.Queued() == 0 || running >= q.Slots(), "calls wait beside a free slot")
		}
	})
}
