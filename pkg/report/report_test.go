package report

import (
	"bytes"
	"context"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/azurespring/azurespring/internal/memorystore"
	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/observation"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/reducer"
	"github.com/azurespring/azurespring/pkg/transport"
	"github.com/azurespring/azurespring/pkg/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	sales = dynamic.Department{
		Name: "sales", PromisedShare: 0.9, Period: time.Hour,
		Success: dynamic.Success{Statuses: []string{"2xx"}, MaxLatency: time.Second},
	}
)

// Verifies how each kind of call is counted.
func TestCounterClassifiesCallsByDepartmentDefinition(t *testing.T) {
	for _, test := range []struct {
		name string
		call observation.Call
		want Counts
	}{
		{"good call", observation.Call{Status: 200}, Counts{Good: 1}},
		{"good status after the latency bound is bad", observation.Call{Status: 200, Latency: 2 * time.Second}, Counts{Bad: 1}},
		{"bad status", observation.Call{Status: 500}, Counts{Bad: 1}},
		{"failure of the target is bad, not refused", observation.Call{Status: 502, Code: verdict.TargetFailed}, Counts{Bad: 1}},
		{
			"rejection by an overloaded node is refused",
			observation.Call{Status: 503, Code: verdict.Overloaded, Verdict: verdict.NotRun},
			Counts{Refused: 1},
		},
		{
			"rejection by a customer's rate limit is limited",
			observation.Call{Status: 429, Code: verdict.RateLimited, Verdict: verdict.NotRun},
			Counts{Limited: 1},
		},
		{"call reported by the target's node is ignored", observation.Call{Status: 200, Reporter: observation.ReporterTargetNode}, Counts{}},
		{"call canceled by the caller in time is ignored", observation.Call{Status: 499, Code: verdict.Canceled}, Counts{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCallCounter(func() time.Time { return epoch })
			c.setSnapshot(snapshot(t))
			test.call.Department = "sales"
			c.observe(test.call)
			var got Counts
			for _, counter := range c.counters() {
				got = got.plus(counter.Counts)
			}
			assert.Equal(t, got, test.want)
		})
	}
}

func snapshot(t *testing.T) *dynamic.Snapshot {
	t.Helper()
	s, err := dynamic.Compile(dynamic.Manifest{Version: 1}, dynamic.Config{Departments: []dynamic.Department{sales}})
	assert.NilError(t, err)
	return s
}

// harness runs collectors in virtual time on one in-memory store.
type harness struct {
	t     *testing.T
	now   time.Time
	store *memorystore.Store
}

// tick applies one tick to c.
func (f *harness) tick(c *Collector) { f.apply(c, Event{Tick: true}) }

// apply applies an event to c, executes the resulting effects and applies their
// results. It returns the acknowledged counters.
func (f *harness) apply(c *Collector, event Event) (stored []SlotCounter) {
	for _, effect := range c.Step(f.now, event) {
		switch {
		case effect.Reply != nil:
			stored = effect.Reply.Ack.Stored
		case effect.Read != nil:
			content, version, err := readObject(f.t.Context(), f.store, objectName("a", effect.Read.Start))
			f.apply(c, Event{ReadResult: &ReadResult{Start: effect.Read.Start, Failed: err != nil, Version: version, Content: content}})
		case effect.Write != nil:
			w := effect.Write
			version, err := writeObject(f.t.Context(), f.store, objectName("a", w.Start), w.Version, w.Content)
			f.apply(c, Event{WriteResult: &WriteResult{Start: w.Start, Failed: err != nil, Version: version}})
		case effect.AddToIndex:
			f.apply(c, Event{IndexResult: &IndexResult{Failed: addToIndex(f.t.Context(), f.store, "a") != nil}})
		}
	}
	return stored
}

// send delivers a message of reporter with one counter to c.
func (f *harness) send(c *Collector, reporter string, good uint64) []SlotCounter {
	counter := SlotCounter{SlotStart: epoch.Unix(), Department: "sales", Counts: Counts{Good: good}}
	return f.apply(c, Event{Received: &Received{Message: CounterMessage{Reporter: reporter, Counters: []SlotCounter{counter}}}})
}

// advanceMinute advances the time by one minute and applies the ticks of that time.
func (f *harness) advanceMinute(collectors ...*Collector) {
	for range 12 {
		f.now = f.now.Add(tickInterval)
		for _, c := range collectors {
			f.tick(c)
		}
	}
}

// Verifies that the stored counts include each call exactly once, whatever happens to
// messages, nodes and the platform.
func TestCollectorStoresEachCallOnce(t *testing.T) {
	for _, test := range []struct {
		name string
		run  func(f *harness, a, b *Collector)
		good uint64
	}{
		{"repeated message", func(f *harness, a, _ *Collector) {
			f.send(a, "n1/1", 10)
			f.send(a, "n1/1", 10)
			f.advanceMinute(a)
		}, 10},
		{"older message arrives late", func(f *harness, a, _ *Collector) {
			f.send(a, "n1/1", 10)
			f.send(a, "n1/1", 7)
			f.advanceMinute(a)
		}, 10},
		{"reporter restarts", func(f *harness, a, _ *Collector) {
			f.send(a, "n1/1", 10)
			f.send(a, "n1/2", 5)
			f.advanceMinute(a)
		}, 15},
		{"other collector takes over", func(f *harness, a, b *Collector) {
			f.send(a, "n1/1", 10)
			f.send(a, "n2/1", 3)
			f.advanceMinute(a)
			f.send(b, "n1/1", 12)
			f.advanceMinute(b)
		}, 15},
		{"collector stops before its write", func(f *harness, a, b *Collector) {
			f.send(a, "n1/1", 10)
			f.send(b, "n1/1", 10)
			f.advanceMinute(b)
		}, 10},
		{"two collectors write concurrently", func(f *harness, a, b *Collector) {
			for good := uint64(1); good <= 5; good++ {
				f.send(a, "n1/1", good)
				f.send(b, "n2/1", good)
				f.advanceMinute(a, b)
			}
			f.advanceMinute(a, b)
		}, 10},
		{"platform outage", func(f *harness, a, _ *Collector) {
			f.store.SetUnavailable(true)
			f.send(a, "n1/1", 10)
			f.advanceMinute(a)
			f.send(a, "n1/1", 20)
			f.advanceMinute(a)
			f.store.SetUnavailable(false)
			f.advanceMinute(a)
			f.advanceMinute(a)
		}, 20},
		{"reply to a write is lost", func(f *harness, a, _ *Collector) {
			f.store.SetLoseReplies(true)
			f.send(a, "n1/1", 10)
			f.advanceMinute(a)
			f.store.SetLoseReplies(false)
			f.send(a, "n1/1", 11)
			f.advanceMinute(a)
			f.advanceMinute(a)
		}, 11},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := &harness{t: t, now: epoch, store: memorystore.New()}
			test.run(f, NewCollector(), NewCollector())
			content, _, err := readObject(t.Context(), f.store, objectName("a", epoch.Unix()))
			assert.NilError(t, err)
			countsBySlot := map[int64]Counts{}
			addContentCounts(countsBySlot, content, "sales")
			assert.Equal(t, countsBySlot[epoch.Unix()].Good, test.good)
		})
	}
}

// Fails if a collector writes to the platform more often than once per writeInterval.
func TestCollectorWritesAtMostOncePerMinute(t *testing.T) {
	f := &harness{t: t, now: epoch, store: memorystore.New()}
	c := NewCollector()
	for good := range uint64(600) {
		f.send(c, "n1/1", good)
		f.now = f.now.Add(time.Second)
		f.tick(c)
	}
	writes := f.store.WriteCount() - 1 // without the write of the index
	assert.Assert(t, writes <= 10 && writes >= 9, "%d writes in 10 min", writes)
}

// Verifies that, while the platform is unavailable, the collector acknowledges no
// counters as stored, because reporters would drop them, and that its memory stays
// bounded.
func TestCollectorBoundsMemoryDuringPlatformOutage(t *testing.T) {
	f := &harness{t: t, now: epoch, store: memorystore.New()}
	c := NewCollector()
	f.store.SetUnavailable(true)
	assert.Equal(t, len(f.send(c, "n1/1", 1)), 0)
	for hour := range 60 {
		at := epoch.Add(time.Duration(hour) * time.Hour)
		counter := SlotCounter{SlotStart: at.Unix(), Department: "sales", Counts: Counts{Good: 1}}
		f.now = at
		f.apply(c, Event{Received: &Received{Message: CounterMessage{Reporter: "n1/1", Counters: []SlotCounter{counter}}}})
		f.tick(c)
	}
	assert.Assert(t, len(c.objects) <= int(maxCounterAge/ObjectDuration)+2, "%d objects", len(c.objects))
}

// Verifies that equal events give equal effects and state. Fails if the collector
// depends on anything else, such as the clock or the order of a map.
func TestCollectorIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []reducer.RecordedEvent[Event]
		now := epoch
		for i := range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 70).Draw(t, "seconds")) * time.Second)
			counter := SlotCounter{SlotStart: now.Truncate(SlotDuration).Unix(), Department: "sales", Counts: Counts{Good: uint64(i)}}
			event := rapid.SampledFrom([]Event{
				{Tick: true},
				{Received: &Received{RequestID: uint64(i), Message: CounterMessage{Reporter: "n1/1", Counters: []SlotCounter{counter}}}},
				{ReadResult: &ReadResult{Start: objectStart(counter.SlotStart), Failed: i%3 == 0, Version: "1"}},
				{WriteResult: &WriteResult{Start: objectStart(counter.SlotStart), Failed: i%2 == 0, Version: "2"}},
				{IndexResult: &IndexResult{}},
			}).Draw(t, "event")
			log = append(log, reducer.RecordedEvent[Event]{Time: now, Event: event})
		}
		first, second := NewCollector(), NewCollector()
		if !reflect.DeepEqual(reducer.Replay(first, log), reducer.Replay(second, log)) || !reflect.DeepEqual(first, second) {
			t.Fatal("two replays of the same events differ in effects or state")
		}
	})
}

// network delivers messages between services in memory.
type network struct {
	mu       sync.Mutex
	services map[string]*Service
}

type requester struct {
	*network
	from string
}

func (r requester) Request(ctx context.Context, address string, _ transport.Kind, payload []byte) ([]byte, error) {
	r.mu.Lock()
	service := r.services[address]
	r.mu.Unlock()
	return service.HandleMessage(ctx, transport.Peer{Instance: r.from}, payload)
}

// Verifies that the counts of all nodes are stored, also those that a node counted
// just before its shutdown.
func TestServicesStoreAllCountsAlsoOnShutdown(t *testing.T) {
	store, compiled := memorystore.New(), snapshot(t)
	net := &network{services: map[string]*Service{}}
	var elapsedMinutes atomic.Int64
	names := []string{"n1", "n2", "n3"}
	view := func(self string) *membership.View {
		v := &membership.View{}
		for _, name := range names {
			m := membership.Member{Instance: name, Address: name, FailureDomain: "a", State: membership.Alive}
			v.Members = append(v.Members, m)
			if name == self {
				v.Self = m
			}
		}
		return v
	}
	for _, name := range names {
		net.services[name] = New(Options{
			Instance: name, Snapshot: func() *dynamic.Snapshot { return compiled },
			View: func() *membership.View { return view(name) }, Requester: requester{net, name}, Store: store,
			Now: func() time.Time { return epoch.Add(time.Duration(elapsedMinutes.Load()) * time.Minute) }, SendInterval: time.Millisecond,
		})
	}
	collector, _ := net.services["n1"].chooseCollector(false)
	cancels, done := map[string]context.CancelFunc{}, map[string]chan struct{}{}
	for name, service := range net.services {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		cancels[name], done[name] = cancel, ended
		go func() { defer close(ended); _ = service.Run(ctx) }()
		for range 10 {
			service.Observe(observation.Call{Department: "sales", Status: 200})
		}
	}
	for name, stop := range cancels {
		if name != collector.Instance {
			net.services[name].Observe(observation.Call{Department: "sales", Status: 500})
			stop()
			<-done[name]
		}
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		elapsedMinutes.Add(1)
		net.services[collector.Instance].loop.Submit(t.Context(), Event{Tick: true})
		content, _, err := readObject(t.Context(), store, objectName("a", epoch.Unix()))
		countsBySlot := map[int64]Counts{}
		addContentCounts(countsBySlot, content, "sales")
		if want := (Counts{Good: 30, Bad: 2}); err != nil || countsBySlot[epoch.Unix()] != want {
			return poll.Continue("stored counts by slot: %v", countsBySlot)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(10*time.Millisecond))
	cancels[collector.Instance]()
	<-done[collector.Instance]
}

// Verifies which calls count for the objective, and that all formats show the result.
func TestReportEvaluatesObjective(t *testing.T) {
	for _, test := range []struct {
		name    string
		counts  Counts
		finding Finding
	}{
		{"objective met", Counts{Good: 95, Bad: 5}, PromiseMet},
		{"objective missed by bad calls", Counts{Good: 80, Bad: 20}, PromiseMissed},
		{"objective missed by refused calls", Counts{Good: 80, Refused: 20}, PromiseMissed},
		{"limited calls do not count", Counts{Good: 95, Bad: 5, Limited: 500}, PromiseMet},
		{"too few calls to evaluate", Counts{Good: 3, Bad: 3}, TooFewCalls},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := &harness{t: t, now: epoch.Add(time.Minute), store: memorystore.New()}
			c := NewCollector()
			counter := SlotCounter{SlotStart: epoch.Unix(), Department: "sales", Counts: test.counts}
			f.apply(c, Event{Received: &Received{Message: CounterMessage{Reporter: "n1/1", Counters: []SlotCounter{counter}}}})
			f.tick(c)
			reports, err := PeriodReports(t.Context(), f.store, sales, epoch.Add(-2*time.Hour), epoch.Add(time.Hour+time.Minute))
			assert.NilError(t, err)
			assert.Equal(t, len(reports), 4)
			assert.Equal(t, reports[2].Finding, test.finding)
			assert.Equal(t, reports[2].Counts, test.counts)
			for _, write := range []func(*bytes.Buffer) error{
				func(b *bytes.Buffer) error { return WriteTable(b, reports) },
				func(b *bytes.Buffer) error { return WriteJSON(b, reports) },
				func(b *bytes.Buffer) error { return WriteHTML(b, reports) },
			} {
				var b bytes.Buffer
				assert.NilError(t, write(&b))
				assert.Assert(t, strings.Contains(b.String(), string(test.finding)))
			}
		})
	}
}

// Verifies that an object of the largest planned failure domain stays below half of
// the platform's limit for one value.
func TestLargestObjectFitsPlatformValueLimit(t *testing.T) {
	counters := map[counterKey]Counts{}
	for reporter := range 272 {
		for department := range 10 {
			for slot := range int64(ObjectDuration / SlotDuration) {
				n := uint64(reporter*7919 + department*104729 + int(slot)*1299709)
				counters[counterKey{
					fmt.Sprintf("node-%04d/18c3f2a9b%07x", reporter, reporter*7919),
					epoch.Unix() + slot*int64(SlotDuration/time.Second), fmt.Sprintf("department-%d", department),
				}] = Counts{Good: n * 31, Bad: n % 10007, Refused: n % 5003, Limited: n % 3001}
			}
		}
	}
	value, err := encodeContent(contentOf(counters))
	assert.NilError(t, err)
	assert.Assert(t, len(value) < platform.MaxValueBytes/2, "%d bytes", len(value))
	t.Logf("%d bytes for 272 reporters, 10 departments and 6 slots", len(value))
}
