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

func TestCounterCountsByDefinition(t *testing.T) {
	for _, test := range []struct {
		guards string
		call   observation.Call
		want   Counts
	}{
		{"a good call that is missed", observation.Call{Status: 200}, Counts{Good: 1}},
		{"a late answer that counts as good", observation.Call{Status: 200, Latency: 2 * time.Second}, Counts{Bad: 1}},
		{"a bad status that counts as good", observation.Call{Status: 500}, Counts{Bad: 1}},
		{"a failure that counts as refusal", observation.Call{Status: 502, Code: verdict.TargetFailed}, Counts{Bad: 1}},
		{
			"a refusal that counts as run",
			observation.Call{Status: 503, Code: verdict.Overloaded, Verdict: verdict.NotRun},
			Counts{Refused: 1},
		},
		{
			"a customer's limit that breaks the promise",
			observation.Call{Status: 429, Code: verdict.RateLimited, Verdict: verdict.NotRun},
			Counts{Limited: 1},
		},
		{"a call that counts at both nodes", observation.Call{Status: 200, Reporter: observation.ReporterTargetNode}, Counts{}},
		{"a call given up in time that counts", observation.Call{Status: 499, Code: verdict.Canceled}, Counts{}},
	} {
		t.Run(test.guards, func(t *testing.T) {
			c := newCounter(func() time.Time { return epoch })
			c.use(snapshot(t))
			test.call.Department = "sales"
			c.observe(test.call)
			var got Counts
			for _, line := range c.lines() {
				got = got.plus(line.Counts)
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

// fleet drives collectors in virtual time over one store.
type fleet struct {
	t     *testing.T
	now   time.Time
	store *memorystore.Store
}

// tick steps c once and carries its platform calls out.
func (f *fleet) tick(c *Collector) { f.apply(c, Event{Tick: true}) }

func (f *fleet) apply(c *Collector, event Event) (stored []SlotCounter) {
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
			f.apply(c, Event{IndexResult: &IndexResult{Failed: enterIndex(f.t.Context(), f.store, "a") != nil}})
		}
	}
	return stored
}

func (f *fleet) send(c *Collector, reporter string, good uint64) []SlotCounter {
	line := SlotCounter{SlotStart: epoch.Unix(), Department: "sales", Counts: Counts{Good: good}}
	return f.apply(c, Event{Received: &Received{Message: CounterMessage{Reporter: reporter, Counters: []SlotCounter{line}}}})
}

func (f *fleet) minute(collectors ...*Collector) {
	for range 12 {
		f.now = f.now.Add(tickInterval)
		for _, c := range collectors {
			f.tick(c)
		}
	}
}

func TestCollectorKeepsCounts(t *testing.T) {
	for _, test := range []struct {
		guards string
		run    func(f *fleet, a, b *Collector)
		good   uint64
	}{
		{"double counting of a resent message", func(f *fleet, a, _ *Collector) {
			f.send(a, "n1/1", 10)
			f.send(a, "n1/1", 10)
			f.minute(a)
		}, 10},
		{"a crossed, older message that lowers the count", func(f *fleet, a, _ *Collector) {
			f.send(a, "n1/1", 10)
			f.send(a, "n1/1", 7)
			f.minute(a)
		}, 10},
		{"a restarted reporter that replaces its earlier counts", func(f *fleet, a, _ *Collector) {
			f.send(a, "n1/1", 10)
			f.send(a, "n1/2", 5)
			f.minute(a)
		}, 15},
		{"a replaced collector that loses or doubles counts", func(f *fleet, a, b *Collector) {
			f.send(a, "n1/1", 10)
			f.send(a, "n2/1", 3)
			f.minute(a)
			f.send(b, "n1/1", 12)
			f.minute(b)
		}, 15},
		{"a collector that dies before it wrote", func(f *fleet, a, b *Collector) {
			f.send(a, "n1/1", 10)
			f.send(b, "n1/1", 10)
			f.minute(b)
		}, 10},
		{"two collectors that overwrite each other", func(f *fleet, a, b *Collector) {
			for good := uint64(1); good <= 5; good++ {
				f.send(a, "n1/1", good)
				f.send(b, "n2/1", good)
				f.minute(a, b)
			}
			f.minute(a, b)
		}, 10},
		{"a platform outage that loses counts", func(f *fleet, a, _ *Collector) {
			f.store.SetUnavailable(true)
			f.send(a, "n1/1", 10)
			f.minute(a)
			f.send(a, "n1/1", 20)
			f.minute(a)
			f.store.SetUnavailable(false)
			f.minute(a)
			f.minute(a)
		}, 20},
		{"a write with a lost reply that is counted twice", func(f *fleet, a, _ *Collector) {
			f.store.SetLoseReplies(true)
			f.send(a, "n1/1", 10)
			f.minute(a)
			f.store.SetLoseReplies(false)
			f.send(a, "n1/1", 11)
			f.minute(a)
			f.minute(a)
		}, 11},
	} {
		t.Run(test.guards, func(t *testing.T) {
			f := &fleet{t: t, now: epoch, store: memorystore.New()}
			test.run(f, NewCollector(), NewCollector())
			content, _, err := readObject(t.Context(), f.store, objectName("a", epoch.Unix()))
			assert.NilError(t, err)
			by := map[int64]Counts{}
			addContent(by, content, "sales")
			assert.Equal(t, by[epoch.Unix()].Good, test.good)
		})
	}
}

// Guards against a collector that spends the platform's writes.
func TestCollectorWritesOnceAMinute(t *testing.T) {
	f := &fleet{t: t, now: epoch, store: memorystore.New()}
	c := NewCollector()
	for good := range uint64(600) {
		f.send(c, "n1/1", good)
		f.now = f.now.Add(time.Second)
		f.tick(c)
	}
	writes := f.store.WriteCount() - 1 // one enters the domain into the index
	assert.Assert(t, writes <= 10 && writes >= 9, "%d writes in 10 min", writes)
}

// Guards against a reporter that forgets counts which the platform lacks, and
// against memory that grows without bound while the platform is down.
func TestOutageKeepsCountsWithinBounds(t *testing.T) {
	f := &fleet{t: t, now: epoch, store: memorystore.New()}
	c := NewCollector()
	f.store.SetUnavailable(true)
	assert.Equal(t, len(f.send(c, "n1/1", 1)), 0)
	for hour := range 60 {
		at := epoch.Add(time.Duration(hour) * time.Hour)
		line := SlotCounter{SlotStart: at.Unix(), Department: "sales", Counts: Counts{Good: 1}}
		f.now = at
		f.apply(c, Event{Received: &Received{Message: CounterMessage{Reporter: "n1/1", Counters: []SlotCounter{line}}}})
		f.tick(c)
	}
	assert.Assert(t, len(c.objects) <= int(maxKept/ObjectDuration)+2, "%d objects", len(c.objects))
}

// Guards against a reducer that depends on more than its events.
func TestCollectorReplays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []reducer.RecordedEvent[Event]
		now := epoch
		for i := range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 70).Draw(t, "seconds")) * time.Second)
			line := SlotCounter{SlotStart: now.Truncate(SlotDuration).Unix(), Department: "sales", Counts: Counts{Good: uint64(i)}}
			event := rapid.SampledFrom([]Event{
				{Tick: true},
				{Received: &Received{RequestID: uint64(i), Message: CounterMessage{Reporter: "n1/1", Counters: []SlotCounter{line}}}},
				{ReadResult: &ReadResult{Start: startOf(line.SlotStart), Failed: i%3 == 0, Version: "1"}},
				{WriteResult: &WriteResult{Start: startOf(line.SlotStart), Failed: i%2 == 0, Version: "2"}},
				{IndexResult: &IndexResult{}},
			}).Draw(t, "event")
			log = append(log, reducer.RecordedEvent[Event]{Time: now, Event: event})
		}
		first, second := NewCollector(), NewCollector()
		if !reflect.DeepEqual(reducer.Replay(first, log), reducer.Replay(second, log)) || !reflect.DeepEqual(first, second) {
			t.Fatal("a replay differs")
		}
	})
}

// network joins services in memory.
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

// Guards against counts that do not reach the report, and against a node whose
// last counts are lost when it stops.
func TestServicesReport(t *testing.T) {
	store, compiled := memorystore.New(), snapshot(t)
	net := &network{services: map[string]*Service{}}
	var minutes atomic.Int64
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
			Now: func() time.Time { return epoch.Add(time.Duration(minutes.Load()) * time.Minute) }, SendInterval: time.Millisecond,
		})
	}
	collector, _ := net.services["n1"].collector(false)
	stops, done := map[string]context.CancelFunc{}, map[string]chan struct{}{}
	for name, service := range net.services {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		stops[name], done[name] = cancel, ended
		go func() { defer close(ended); _ = service.Run(ctx) }()
		for range 10 {
			service.Observe(observation.Call{Department: "sales", Status: 200})
		}
	}
	for name, stop := range stops {
		if name != collector.Instance {
			net.services[name].Observe(observation.Call{Department: "sales", Status: 500})
			stop()
			<-done[name]
		}
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		minutes.Add(1)
		net.services[collector.Instance].loop.Submit(t.Context(), Event{Tick: true})
		content, _, err := readObject(t.Context(), store, objectName("a", epoch.Unix()))
		by := map[int64]Counts{}
		addContent(by, content, "sales")
		if want := (Counts{Good: 30, Bad: 2}); err != nil || by[epoch.Unix()] != want {
			return poll.Continue("%v is written", by)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(10*time.Millisecond))
	stops[collector.Instance]()
	<-done[collector.Instance]
}

func TestReportSaysWhetherPromiseHeld(t *testing.T) {
	for _, test := range []struct {
		guards  string
		counts  Counts
		finding Finding
	}{
		{"a held promise shown as broken", Counts{Good: 95, Bad: 5}, PromiseMet},
		{"a broken promise shown as held", Counts{Good: 80, Bad: 20}, PromiseMissed},
		{"refusals that are hidden", Counts{Good: 80, Refused: 20}, PromiseMissed},
		{"customers' own limits held against the department", Counts{Good: 95, Bad: 5, Limited: 500}, PromiseMet},
		{"a verdict on a handful of calls", Counts{Good: 3, Bad: 3}, TooFewCalls},
	} {
		t.Run(test.guards, func(t *testing.T) {
			f := &fleet{t: t, now: epoch.Add(time.Minute), store: memorystore.New()}
			c := NewCollector()
			line := SlotCounter{SlotStart: epoch.Unix(), Department: "sales", Counts: test.counts}
			f.apply(c, Event{Received: &Received{Message: CounterMessage{Reporter: "n1/1", Counters: []SlotCounter{line}}}})
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

// Guards against an object that outgrows the platform's limit at the size that
// the design plans for.
func TestObjectFitsThePlatform(t *testing.T) {
	lines := map[lineKey]Counts{}
	for reporter := range 272 {
		for department := range 10 {
			for slot := range int64(ObjectDuration / SlotDuration) {
				n := uint64(reporter*7919 + department*104729 + int(slot)*1299709)
				lines[lineKey{
					fmt.Sprintf("node-%04d/18c3f2a9b%07x", reporter, reporter*7919),
					epoch.Unix() + slot*int64(SlotDuration/time.Second), fmt.Sprintf("department-%d", department),
				}] = Counts{Good: n * 31, Bad: n % 10007, Refused: n % 5003, Limited: n % 3001}
			}
		}
	}
	value, err := encodeContent(contentOf(lines))
	assert.NilError(t, err)
	assert.Assert(t, len(value) < platform.MaxValueBytes/2, "%d bytes", len(value))
	t.Logf("%d bytes for 272 reporters, 10 departments and 6 slots", len(value))
}
