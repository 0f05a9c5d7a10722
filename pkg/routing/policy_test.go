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

// Size of the simulated service. Each entry node knows only its own calls and the
// loads reported to it with responses.
const (
	simEntryNodes  = 12
	simTargets     = 12
	simSlots       = 6
	simServiceTime = 10 * time.Millisecond
	simUtilization = 0.7
	simCalls       = 60_000
)

// scenario is a fault or an imbalance of the simulated service.
type scenario struct {
	name string
	// hotNodeShare is the share of calls that always enter at the first node; the
	// others enter at a random one.
	hotNodeShare float64
	// slowFactor multiplies the service time of the first target.
	slowFactor float64
	// overstatesSlots makes the first target announce 4 times its slots. Its calls
	// in flight are reported correctly, because its node counts them.
	overstatesSlots bool
	// replaceInterval is the interval at which a target is replaced by a new one,
	// which is 3 times slower during its first second.
	replaceInterval time.Duration
}

var scenarios = []scenario{
	{name: "even"},
	{name: "skew", hotNodeShare: 0.5},
	{name: "slow", slowFactor: 5},
	{name: "overstated-slots", overstatesSlots: true},
	{name: "churn", replaceInterval: 300 * time.Millisecond},
}

type simTarget struct {
	id              int
	inFlight        int
	waiting         []*simCall
	slowFactor      float64
	overstatesSlots bool
	readySince      time.Time
}

type simCall struct {
	at        time.Time
	entryNode int
	arrived   time.Time
	target    *simTarget
	endpoint  *Endpoint
	// isFinished is set for the end of a call, isReplacement for the replacement of
	// a target; otherwise the event is the arrival of a call.
	isFinished, isReplacement bool
}

type eventQueue []*simCall

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(*simCall)) }
func (q *eventQueue) Pop() any          { last := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return last }

type policy func(s *simulation, entryNode int) *Endpoint

type simulation struct {
	scenario
	random    *rand.Rand
	now       time.Time
	builders  []*Builder
	tables    []*Table
	nextIndex []int
	targets   map[string]*simTarget
	nextID    int
	events    eventQueue
	latency   *hdrhistogram.Histogram
}

func (s *simulation) candidates(entryNode int) []*Endpoint {
	return s.tables[entryNode].services["s"].versions["v1"].tiers[sameDomain]
}

var policies = map[string]policy{
	"random": func(s *simulation, entryNode int) *Endpoint {
		all := s.candidates(entryNode)
		return all[s.random.IntN(len(all))]
	},
	"round-robin": func(s *simulation, entryNode int) *Endpoint {
		all := s.candidates(entryNode)
		s.nextIndex[entryNode]++
		return all[s.nextIndex[entryNode]%len(all)]
	},
	"least-loaded": func(s *simulation, entryNode int) *Endpoint {
		all := s.candidates(entryNode)
		best := all[0]
		for _, e := range all[1:] {
			if e.utilization(s.now.UnixNano()) < best.utilization(s.now.UnixNano()) {
				best = e
			}
		}
		return best
	},
	"power-of-two": func(s *simulation, entryNode int) *Endpoint {
		e, _ := s.tables[entryNode].Choose("s", "c", nil, s.now)
		return e
	},
}

func (s *simulation) addTarget() *simTarget {
	target := &simTarget{id: s.nextID, slowFactor: 1}
	s.targets[fmt.Sprint(s.nextID)] = target
	s.nextID++
	return target
}

// rebuildTables announces the targets to all entry nodes.
func (s *simulation) rebuildTables(t testing.TB) {
	var endpoints []membership.Endpoint
	for id, target := range s.targets {
		endpoints = append(endpoints, endpoint(id, "v1", func(e *membership.Endpoint) {
			e.Slots = simSlots
			if target.overstatesSlots {
				e.Slots *= 4
			}
			if !target.readySince.IsZero() {
				e.Warmup, e.ReadySince = time.Second, target.readySince
			}
		}))
	}
	for i := range s.tables {
		node := localNode
		node.Instance = fmt.Sprint("entry", i)
		s.tables[i] = s.builders[i].Build(snapshot(t), endpoints, nil, node)
	}
}

func (s *simulation) startCall(c *simCall) {
	target := c.target
	if target.inFlight >= simSlots {
		target.waiting = append(target.waiting, c)
		return
	}
	target.inFlight++
	serviceSeconds := simServiceTime.Seconds() * target.slowFactor * (0.5 + s.random.Float64())
	if !target.readySince.IsZero() && s.now.Sub(target.readySince) < time.Second {
		serviceSeconds *= 3
	}
	c.at, c.isFinished = s.now.Add(time.Duration(serviceSeconds*float64(time.Second))), true
	heap.Push(&s.events, c)
}

func (s *simulation) finishCall(c *simCall) {
	target := c.target
	target.inFlight--
	_ = s.latency.RecordValue(s.now.Sub(c.arrived).Microseconds())
	load := &Load{InFlight: target.inFlight, Queued: len(target.waiting), Slots: simSlots}
	c.endpoint.EndAttempt(s.now, AttemptResult{Load: load, TimeToResponseStart: s.now.Sub(c.arrived)})
	if len(target.waiting) > 0 {
		next := target.waiting[0]
		target.waiting = target.waiting[1:]
		s.startCall(next)
	}
}

// replaceOldest removes the oldest target and announces one that needs warm-up.
func (s *simulation) replaceOldest(t testing.TB) {
	oldest := ""
	for id, target := range s.targets {
		if oldest == "" || target.id < s.targets[oldest].id {
			oldest = id
		}
	}
	delete(s.targets, oldest)
	s.addTarget().readySince = s.now
	s.rebuildTables(t)
	heap.Push(&s.events, &simCall{at: s.now.Add(s.replaceInterval), isReplacement: true})
}

// simulate runs all calls in virtual time and returns the latencies in microseconds.
func simulate(t testing.TB, sc scenario, choose policy) *hdrhistogram.Histogram {
	s := &simulation{
		scenario: sc, random: rand.New(rand.NewPCG(7, 7)), now: epoch,
		builders: make([]*Builder, simEntryNodes), tables: make([]*Table, simEntryNodes), nextIndex: make([]int, simEntryNodes),
		targets: make(map[string]*simTarget), latency: hdrhistogram.New(1, time.Hour.Microseconds(), 3),
	}
	for i := range s.builders {
		s.builders[i] = NewBuilder(func() time.Time { return s.now })
	}
	for range simTargets {
		s.addTarget()
	}
	if sc.slowFactor > 0 {
		s.targets["0"].slowFactor = sc.slowFactor
	}
	s.targets["0"].overstatesSlots = sc.overstatesSlots
	s.rebuildTables(t)
	if sc.replaceInterval > 0 {
		heap.Push(&s.events, &simCall{at: s.now.Add(sc.replaceInterval), isReplacement: true})
	}
	meanGapSeconds := simServiceTime.Seconds() / (simTargets * simSlots * simUtilization)
	heap.Push(&s.events, &simCall{at: s.now})
	for arrived := 0; arrived < simCalls || s.latency.TotalCount() < simCalls; {
		c := heap.Pop(&s.events).(*simCall)
		s.now = c.at
		switch {
		case c.isReplacement:
			s.replaceOldest(t)
		case c.isFinished:
			s.finishCall(c)
		default:
			if arrived++; arrived < simCalls {
				next := s.now.Add(time.Duration(s.random.ExpFloat64() * meanGapSeconds * float64(time.Second)))
				heap.Push(&s.events, &simCall{at: next})
			}
			if s.random.Float64() >= sc.hotNodeShare {
				c.entryNode = s.random.IntN(simEntryNodes)
			}
			c.arrived, c.endpoint = s.now, choose(s, c.entryNode)
			c.target = s.targets[c.endpoint.ID]
			c.endpoint.BeginAttempt()
			s.startCall(c)
		}
	}
	return s.latency
}

// Choose must not build up a long queue at a slow or new target, or at one that
// announces too many slots: its p99 latency must stay below that of random
// selection in the same simulation. Random selection ignores slots, so that
// overstated slots do not affect it; the bound is 1.5 times as wide in that
// scenario. Selection by announced slots alone takes more than 1.7 times as long.
func TestPowerOfTwoBeatsRandomInEveryScenario(t *testing.T) {
	for _, sc := range scenarios {
		powerOfTwo := simulate(t, sc, policies["power-of-two"]).ValueAtPercentile(99)
		random := simulate(t, sc, policies["random"]).ValueAtPercentile(99)
		if sc.overstatesSlots {
			random = random * 3 / 2
		}
		assert.Assert(t, powerOfTwo < random, "%s: p99 %d us, bound %d us", sc.name, powerOfTwo, random)
	}
}

// BenchmarkPolicies compares load balancing policies in virtual time.
func BenchmarkPolicies(b *testing.B) {
	for _, sc := range scenarios {
		for _, name := range []string{"random", "round-robin", "least-loaded", "power-of-two"} {
			b.Run(sc.name+"/"+name, func(b *testing.B) {
				for range b.N {
					h := simulate(b, sc, policies[name])
					b.ReportMetric(float64(h.ValueAtPercentile(50))/1e3, "p50-ms")
					b.ReportMetric(float64(h.ValueAtPercentile(99))/1e3, "p99-ms")
				}
			})
		}
	}
}

// BenchmarkChoose measures the endpoint selection of one call.
func BenchmarkChoose(b *testing.B) {
	var endpoints []membership.Endpoint
	for i := range simTargets {
		endpoints = append(endpoints, endpoint(fmt.Sprint(i), "v1"))
	}
	table := NewBuilder(nil).Build(snapshot(b), endpoints, nil, localNode)
	b.ReportAllocs()
	for b.Loop() {
		e, _ := table.Choose("s", "customer", nil, epoch)
		e.BeginAttempt()
		e.EndAttempt(epoch, AttemptResult{})
	}
}

// BenchmarkBuild measures one rebuild of the table at the size given in section 3
// of docs/design.md.
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
		builder.Build(compiled, endpoints, nil, localNode)
	}
}
