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

// atMillis returns the time at the given number of milliseconds after the epoch.
func atMillis(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }

func arrive(callID uint64, customer string, deadlineMillis int) Event {
	return Event{Kind: Arrive, CallID: callID, Customer: customer, ServiceTimeClass: "r", Deadline: atMillis(deadlineMillis)}
}

func finish(millis int) Event {
	return Event{Kind: Finish, ServiceTimeClass: "r", ServiceTime: time.Duration(millis) * time.Millisecond}
}

// describe lists effects such as "1" (admitted) or "2:overloaded" (rejected).
func describe(effects []Effect) string {
	text := ""
	for _, e := range effects {
		text += fmt.Sprint(e.CallID)
		if e.Rejection != nil {
			text += ":" + string(e.Rejection.Code)
		}
		text += " "
	}
	return text
}

// Calls that cannot meet their deadline must be rejected rather than queued, those
// that can must not be rejected, and queued calls get slots by earliest deadline.
func TestQueueAdmitsByDeadline(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []Event
		want   string // effects of the last event
	}{
		{"free slot", []Event{arrive(1, "a", 100)}, "1 "},
		{"deadline passed", []Event{arrive(1, "a", 0)}, "1:deadline-unreachable "},
		{"no free slot", []Event{arrive(1, "a", 100), arrive(2, "a", 100)}, ""},
		{"finished call frees its slot", []Event{arrive(1, "a", 100), arrive(2, "a", 100), finish(10)}, "2 "},
		{"earliest deadline first", []Event{arrive(1, "a", 100), arrive(2, "a", 90), arrive(3, "a", 50), finish(10)}, "3 "},
		{"wait plus service time too long", []Event{arrive(1, "a", 100), finish(30), arrive(2, "a", 100), arrive(3, "a", 59)}, "3:deadline-unreachable "},
		{"wait plus service time fits", []Event{arrive(1, "a", 100), finish(30), arrive(2, "a", 100), arrive(3, "a", 61)}, ""},
		{"service time alone too long", []Event{arrive(1, "a", 100), finish(30), arrive(2, "a", 20)}, "2:deadline-unreachable "},
		{"canceled call is not admitted", []Event{arrive(1, "a", 100), arrive(2, "a", 90), arrive(3, "a", 100), {Kind: Cancel, CallID: 2}, finish(1)}, "3 "},
		{"drain rejects queued calls", []Event{arrive(1, "a", 100), arrive(2, "a", 90), {Kind: Drain}}, "2:draining "},
		{"drain rejects new calls", []Event{{Kind: Drain}, arrive(1, "a", 100)}, "1:draining "},
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

// One slow call must not cause all later calls of its class to be rejected: once
// the mean service time is outdated, a call is admitted to measure it again.
func TestOutdatedServiceTimeIsMeasuredAgain(t *testing.T) {
	q := New(1)
	q.Step(epoch, arrive(1, "a", 10_000))
	q.Step(epoch, finish(500))
	assert.Equal(t, describe(q.Step(atMillis(900), arrive(2, "a", 1000))), "2:deadline-unreachable ")
	assert.Equal(t, describe(q.Step(atMillis(1600), arrive(3, "a", 1700))), "3 ")
}

// Under contention, a customer that sends more calls than others must not take all
// slots or the whole queue: the slots are shared by weight.
func TestContendingCustomersGetSlotsByWeight(t *testing.T) {
	q := New(4)
	admitted := make(map[string]int)
	customerOf := make(map[uint64]string)
	lastCallID := uint64(0)
	submit := func(customer string, weight int) {
		lastCallID++
		customerOf[lastCallID] = customer
		event := arrive(lastCallID, customer, 1000)
		event.Weight = weight
		for _, e := range q.Step(epoch, event) {
			if e.Rejection == nil {
				admitted[customerOf[e.CallID]]++
			}
		}
	}
	for range 4000 {
		// The greedy customer sends far more calls than its weight entitles it to.
		for range 5 {
			submit("greedy", 1)
		}
		submit("heavy", 3)
		submit("light", 1)
		for _, e := range q.Step(epoch, finish(0)) {
			if e.Rejection == nil {
				admitted[customerOf[e.CallID]]++
			}
		}
	}
	total := admitted["greedy"] + admitted["heavy"] + admitted["light"]
	for customer, share := range map[string]float64{"greedy": 0.2, "heavy": 0.6, "light": 0.2} {
		got := float64(admitted[customer]) / float64(total)
		assert.Assert(t, got > share-0.02 && got < share+0.02, "%s got %.3f of the slots, want %.2f", customer, got, share)
	}
}

// For any sequence of events, no slot is lost or used twice, each call gets exactly
// one decision, rejected calls have not run, the queue is bounded, no call waits
// while a slot is free, and a replay gives the same results.
func TestQueueKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, replica := New(3), New(3)
		queued, running := make(map[uint64]bool), 0
		now, lastCallID := epoch, uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * time.Millisecond)
			event := Event{Kind: EventKind(rapid.IntRange(int(Arrive), int(Tick)).Draw(t, "kind"))}
			switch event.Kind {
			case Arrive:
				lastCallID++
				event.CallID, event.Customer = lastCallID, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
				event.Weight = rapid.IntRange(1, 3).Draw(t, "weight")
				event.Deadline = now.Add(time.Duration(rapid.IntRange(-5, 100).Draw(t, "remaining ms")) * time.Millisecond)
				queued[lastCallID] = true
			case Finish:
				if running == 0 {
					continue
				}
				running--
				event.ServiceTime = time.Duration(rapid.IntRange(0, 30).Draw(t, "service")) * time.Millisecond
			case Cancel:
				event.CallID = rapid.Uint64Range(1, lastCallID+1).Draw(t, "call")
				delete(queued, event.CallID)
			case Resize:
				event.Slots = rapid.IntRange(1, 5).Draw(t, "slots")
			case Drain:
				if rapid.IntRange(0, 50).Draw(t, "drain") != 0 {
					continue
				}
			}
			runningBefore := running
			effects := q.Step(now, event)
			for _, e := range effects {
				assert.Assert(t, queued[e.CallID], "call %d got a second decision, or one after it was canceled", e.CallID)
				delete(queued, e.CallID)
				if e.Rejection == nil {
					running++
				} else {
					assert.Equal(t, e.Rejection.Verdict, verdict.NotRun)
				}
			}
			assert.Equal(t, describe(replica.Step(now, event)), describe(effects))
			assert.Equal(t, q.InFlight(), running)
			assert.Equal(t, q.Queued(), len(queued))
			assert.Assert(t, running <= max(q.Slots(), runningBefore), "more calls run than there are slots")
			assert.Assert(t, q.Queued() <= max(minQueueLimit, maxQueuedPerSlot*5))
			assert.Assert(t, q.isDraining || q.Queued() == 0 || running >= q.Slots(), "calls wait although a slot is free")
		}
	})
}
