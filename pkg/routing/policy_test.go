package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/membership"
)

// Size of the simulated service: each entry node sees only its own calls and the
// loads carried back to it.
const (
	simEntries = 12
	simTargets = 12
	simSlots   = 6
	simService = 10 * time.Millisecond
	simLoad    = 0.7
	simCalls   = 60_000
)

// scenario disturbs the service.
type scenario struct {
	name string
	// hot is the share of calls that enter at the first node.
	hot float64
	// slow multiplies the service time of the first target.
	slow float64
	// lies makes the first target announce 4 times its slots. It cannot lie about
	// its calls in flight, because its node counts them.
	lies bool
	// churn replaces a target by a cold one, 3 times slower for 1 s, at this interval.
	churn time.Duration
}

var scenarios = []scenario{
	{name: "even"},
	{name: "skew", hot: 0.5},
	{name: "slow", slow: 5},
	{name: "lying", lies: true},
	{name: "churn", churn: 300 * time.Millisecond},
}

type simTarget struct {
	id      int
	busy    int
	waiting []*simCall
	slow    float64
	lies    bool
	cold    time.Time
}

type simCall struct {
	at       time.Time
	entry    int
	arrived  time.Time
	target   *simTarget
	endpoint *Endpoint
	// done is set for the end of a call, churn for a replacement.
	done, churn bool
}

type calendar []*simCall

func (c calendar) Len() int           { return len(c) }
func (c calendar) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c calendar) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *calendar) Push(x any)        { *c = append(*c, x.(*simCall)) }
func (c *calendar) Pop() any          { last := (*c)[len(*c)-1]; *c = (*c)[:len(*c)-1]; return last }

type policy func(s *simulation, entry int) *Endpoint

type simulation struct {
	scenario
	random   *rand.Rand
	now      time.Time
	builders []*Builder
	tables   []*Table
	turn     []int
	targets  map[string]*simTarget
	nextID   int
	calendar calendar
	latency  *hdrhistogram.Histogram
}

func (s *simulation) candidates(entry int) []*Endpoint {
	return s.tables[entry].services["s"].versions["v1"].tiers[sameDomain]
}

var policies = map[string]policy{
	"random": func(s *simulation, entry int) *Endpoint {
		all := s.candidates(entry)
		return all[s.random.IntN(len(all))]
	},
	"round-robin": func(s *simulation, entry int) *Endpoint {
		all := s.candidates(entry)
		s.turn[entry]++
		return all[s.turn[entry]%len(all)]
	},
	"least-loaded": func(s *simulation, entry int) *Endpoint {
		all := s.candidates(entry)
		best := all[0]
		for _, e := range all[1:] {
			if e.score(s.now.UnixNano()) < best.score(s.now.UnixNano()) {
				best = e
			}
		}
		return best
	},
	"power-of-two": func(s *simulation, entry int) *Endpoint {
		e, _ := s.tables[entry].Choose("s", "c", nil, s.now)
		return e
	},
}

func (s *simulation) add() *simTarget {
	target := &simTarget{id: s.nextID, slow: 1}
	s.targets[fmt.Sprint(s.nextID)] = target
	s.nextID++
	return target
}

// rebuild announces the targets to all entry nodes.
func (s *simulation) rebuild(t testing.TB) {
	var endpoints []membership.Endpoint
	for id, target := range s.targets {
		endpoints = append(endpoints, endpoint(id, "v1", func(e *membership.Endpoint) {
			e.Slots = simSlots
			if target.lies {
				e.Slots *= 4
			}
			if !target.cold.IsZero() {
				e.Warmup, e.ReadySince = time.Second, target.cold
			}
		}))
	}
	for i := range s.tables {
		node := self
		node.Instance = fmt.Sprint("entry", i)
		s.tables[i] = s.builders[i].Build(snapshot(t), endpoints, nil, node)
	}
}

func (s *simulation) begin(c *simCall) {
	target := c.target
	if target.busy >= simSlots {
		target.waiting = append(target.waiting, c)
		return
	}
	target.busy++
	service := simService.Seconds() * target.slow * (0.5 + s.random.Float64())
	if !target.cold.IsZero() && s.now.Sub(target.cold) < time.Second {
		service *= 3
	}
	c.at, c.done = s.now.Add(time.Duration(service*float64(time.Second))), true
	heap.Push(&s.calendar, c)
}

func (s *simulation) end(c *simCall) {
	target := c.target
	target.busy--
	_ = s.latency.RecordValue(s.now.Sub(c.arrived).Microseconds())
	load := &Load{InFlight: target.busy, Queued: len(target.waiting), Slots: simSlots}
	c.endpoint.EndAttempt(s.now, AttemptResult{Load: load, TimeToResponseStart: s.now.Sub(c.arrived)})
	if len(target.waiting) > 0 {
		next := target.waiting[0]
		target.waiting = target.waiting[1:]
		s.begin(next)
	}
}

// replace drops the oldest target and announces a cold one.
func (s *simulation) replace(t testing.TB) {
	oldest := ""
	for id, target := range s.targets {
		if oldest == "" || target.id < s.targets[oldest].id {
			oldest = id
		}
	}
	delete(s.targets, oldest)
	s.add().cold = s.now
	s.rebuild(t)
	heap.Push(&s.calendar, &simCall{at: s.now.Add(s.churn), churn: true})
}

// run simulates the calls in virtual time.
func run(t testing.TB, sc scenario, choose policy) *hdrhistogram.Histogram {
	s := &simulation{
		scenario: sc, random: rand.New(rand.NewPCG(7, 7)), now: epoch,
		builders: make([]*Builder, simEntries), tables: make([]*Table, simEntries), turn: make([]int, simEntries),
		targets: make(map[string]*simTarget), latency: hdrhistogram.New(1, time.Hour.Microseconds(), 3),
	}
	for i := range s.builders {
		s.builders[i] = NewBuilder(func() time.Time { return s.now })
	}
	for range simTargets {
		s.add()
	}
	if sc.slow > 0 {
		s.targets["0"].slow = sc.slow
	}
	s.targets["0"].lies = sc.lies
	s.rebuild(t)
	if sc.churn > 0 {
		heap.Push(&s.calendar, &simCall{at: s.now.Add(sc.churn), churn: true})
	}
	gap := simService.Seconds() / (simTargets * simSlots * simLoad)
	heap.Push(&s.calendar, &simCall{at: s.now})
	for arrived := 0; arrived < simCalls || s.latency.TotalCount() < simCalls; {
		c := heap.Pop(&s.calendar).(*simCall)
		s.now = c.at
		switch {
		case c.churn:
			s.replace(t)
		case c.done:
			s.end(c)
		default:
			if arrived++; arrived < simCalls {
				next := s.now.Add(time.Duration(s.random.ExpFloat64() * gap * float64(time.Second)))
				heap.Push(&s.calendar, &simCall{at: next})
			}
			if s.random.Float64() >= sc.hot {
				c.entry = s.random.IntN(simEntries)
			}
			c.arrived, c.endpoint = s.now, choose(s, c.entry)
			c.target = s.targets[c.endpoint.ID]
			c.endpoint.BeginAttempt()
			s.begin(c)
		}
	}
	return s.latency
}

// Guards against a choice that follows a slow, lying or cold target into a long
// queue. The bounds are ratios to random choice in the same virtual time. Random
// choice ignores slots and is immune to lies about them, so that the bound is
// wider there; choice by announced slots alone takes more than 1.7 times.
func TestChoiceBeatsRandomUnderEachDisturbance(t *testing.T) {
	for _, sc := range scenarios {
		ours := run(t, sc, policies["power-of-two"]).ValueAtPercentile(99)
		random := run(t, sc, policies["random"]).ValueAtPercentile(99)
		if sc.lies {
			random = random * 3 / 2
		}
		assert.Assert(t, ours < random, "%s: p99 %d us, bound %d us", sc.name, ours, random)
	}
}

// BenchmarkPolicies compares ways to choose, in virtual time.
func BenchmarkPolicies(b *testing.B) {
	for _, sc := range scenarios {
		for _, name := range []string{"random", "round-robin", "least-loaded", "power-of-two"} {
			b.Run(sc.name+"/"+name, func(b *testing.B) {
				for range b.N {
					h := run(b, sc, policies[name])
					b.ReportMetric(float64(h.ValueAtPercentile(50))/1e3, "p50-ms")
					b.ReportMetric(float64(h.ValueAtPercentile(99))/1e3, "p99-ms")
				}
			})
		}
	}
}

// BenchmarkChoose measures the choice itself.
func BenchmarkChoose(b *testing.B) {
	var endpoints []membership.Endpoint
	for i := range simTargets {
		endpoints = append(endpoints, endpoint(fmt.Sprint(i), "v1"))
	}
	table := NewBuilder(nil).Build(snapshot(b), endpoints, nil, self)
	b.ReportAllocs()
	for b.Loop() {
		e, _ := table.Choose("s", "customer", nil, epoch)
		e.BeginAttempt()
		e.EndAttempt(epoch, AttemptResult{})
	}
}

// BenchmarkBuild measures one rebuild at the size of docs/design.md section 3.
func BenchmarkBuild(b *testing.B) {
	var config dynamic.Config
	var endpoints []membership.Endpoint
	for i := range 320 {
		name := fmt.Sprint("s", i)
		config.Services = append(config.Services, dynamic.Service{Name: name, Version: "v1"})
		for j := range 12 {
			endpoints = append(endpoints, endpoint(fmt.Sprint(i, "-", j), "v1", func(e *membership.Endpoint) {
				e.Service, e.FailureDomain = name, fmt.Sprint("d", j%14)
			}))
		}
	}
	compiled, err := dynamic.Compile(dynamic.Manifest{Version: 1}, config)
	assert.NilError(b, err)
	builder := NewBuilder(nil)
	b.ReportAllocs()
	for b.Loop() {
		builder.Build(compiled, endpoints, nil, self)
	}
}
