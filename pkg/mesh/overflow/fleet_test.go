package overflow_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/gate"
	"github.com/azurespring/azurespring/pkg/mesh/overflow"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// The fleet of the tests: six failure domains in three regions.
const (
	zones, zonesPerRegion, endpointsPerZone = 6, 2, 7
	senderCount, slots                      = 80, 6
	work, target, timeout                   = 60 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond
	duration, settling                      = 7 * time.Second, 2 * time.Second
	capacity                                = float64(endpointsPerZone*slots) / 0.060 // Of a zone, requests per second.
)

// scenario is a load that is replayed in virtual time.
type scenario struct {
	// on selects the controllers, figures the fourth figure of the endpoints.
	on, figures bool
	// load returns the offered load of a zone as a multiple of its capacity, speed the
	// factor by which work at an endpoint takes longer.
	load  func(zone int, at time.Duration) float64
	speed func(endpoint int, at time.Duration) float64
	// lostZone has no endpoints; 0 for none, as zone 0 keeps its own.
	lostZone int
	bytes    int64
	// inZone0 lets all senders be in zone 0, and staleness delays what they hear of loads.
	inZone0   bool
	staleness time.Duration
	// lasts is the time that is replayed; 0 means duration.
	lasts time.Duration
}

// totals counts requests by the zone where they entered.
type totals struct{ offered, inTime, late, refused, leftZone, leftRegion, wasted float64 }

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, k int) bool { return e[i].at < e[k].at }
func (e events) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type gateModel struct {
	*gate.Queue
	number  int
	waiting map[uint64]func(*verdict.Error)
}

type sender struct {
	zone       int
	endpoints  []*placement.Endpoint
	controller *overflow.Controller
}

type request struct {
	from       *sender
	started    time.Duration
	draw       float64
	rejections []placement.Rejection
	hopeless   int
}

type fleet struct {
	scenario
	now     time.Duration
	random  *rand.Rand
	events  events
	gates   map[string]*gateModel
	senders [zones][]*sender
	nextID  uint64
	zones   [zones]totals
	// left and entered count the requests of zone 0 that left it, and all, by second.
	left, entered [16]float64
}

func (f *fleet) time() time.Time                  { return time.Unix(0, 0).Add(f.now) }
func (f *fleet) after(d time.Duration, do func()) { heap.Push(&f.events, event{f.now + d, do}) }
func (f *fleet) total(r *request) *totals         { return &f.zones[r.from.zone] }

// isCounted reports whether the request has ended by the end of the replay, however it does.
func (f *fleet) isCounted(r *request) bool {
	return r.started >= settling && r.started < max(f.lasts, duration)-timeout
}

// way returns the latency to an endpoint, one way.
func way(e *placement.Endpoint) time.Duration {
	return []time.Duration{0, 200 * time.Microsecond, 1400 * time.Microsecond, 8 * time.Millisecond}[e.Distance]
}

func loadOf(g *gateModel, now time.Time) placement.Load {
	took := g.ExpectedServiceTime(now)
	return placement.Load{Running: g.Running(), Waiting: g.Waiting(), Slots: slots, MeanServiceTime: took, MeanRouteLatency: took, Slowdown: g.Slowdown()}
}

// replay runs a scenario and returns its fleet with the counts.
func replay(s scenario) *fleet {
	f := &fleet{scenario: s, random: rand.New(rand.NewPCG(7, 11))}
	f.build()
	for zone := range zones {
		if len(f.senders[zone]) > 0 {
			f.arrive(zone)
		}
	}
	for f.events[0].at < max(s.lasts, duration) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	return f
}

// build creates the gates and the senders.
func (f *fleet) build() {
	s := f.scenario
	f.gates = make(map[string]*gateModel)
	var instances []mesh.Instance
	for i := range zones * endpointsPerZone {
		zone, name := i%zones, fmt.Sprint("e", i)
		if zone == s.lostZone && zone > 0 {
			continue
		}
		f.gates[name] = &gateModel{Queue: gate.NewQueue(slots), number: i, waiting: make(map[uint64]func(*verdict.Error))}
		instances = append(instances, mesh.Instance{
			Name: name, Address: name, FailureDomain: fmt.Sprint("z", zone), Region: fmt.Sprint("r", zone/zonesPerRegion),
			Endpoints: []mesh.Endpoint{{ID: name, Service: "s", Version: "v", Slots: slots}},
		})
	}
	for i := range senderCount {
		zone := i % zones
		if s.inZone0 {
			zone = 0
		}
		self := placement.Locality{Instance: fmt.Sprint("s", i), FailureDomain: fmt.Sprint("z", zone), Region: fmt.Sprint("r", zone/zonesPerRegion)}
		table := placement.NewBuilder(self).Build(f.time(), instances)
		from := &sender{zone: zone, endpoints: table.EndpointsByVersion("s")["v"], controller: overflow.New()}
		from.controller.ObserveSize("r", s.bytes)
		f.senders[zone] = append(f.senders[zone], from)
	}
}

func (f *fleet) arrive(zone int) {
	rate := max(f.scenario.load(zone, f.now)*capacity, 1)
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() {
		from := f.senders[zone][f.random.IntN(len(f.senders[zone]))]
		f.attempt(&request{from: from, started: f.now, draw: f.random.Float64()})
		f.arrive(zone)
	})
}

func (f *fleet) attempt(r *request) {
	now, remaining, soft := f.time(), r.started+timeout-f.now, r.started+target-f.now
	p := placement.Request{Route: "r", Timeout: remaining, SoftTimeout: soft, Rejections: r.rejections, Random: f.random}
	if f.on {
		if soft <= 0 {
			soft = remaining
		}
		d := r.from.controller.Decide(now, overflow.Request{Route: "r", Target: soft, Draw: r.draw, Usable: placement.UsableTiers(now, r.from.endpoints, nil)})
		p.Overflow = &d
	}
	choice, ok := placement.Choose(now, r.from.endpoints, p)
	if !ok || choice.QueueWait > 0 && choice.ExpectedLatency > remaining {
		f.end(r, nil, &verdict.Error{})
		return
	}
	e, g := choice.Endpoint, f.gates[choice.Endpoint.ID]
	e.BeginAttempt()
	f.after(way(e), func() {
		f.nextID++
		id := f.nextID
		decided := func(rejection *verdict.Error) {
			if rejection == nil {
				f.run(r, e, g)
				return
			}
			load := loadOf(g, f.time())
			f.after(way(e), func() { f.respond(r, e, load, rejection) })
		}
		admitted, rejection := g.Admit(f.time(), gate.Request{
			ID: id, SoftDeadline: time.Unix(0, 0).Add(r.started + target), Deadline: time.Unix(0, 0).Add(r.started + timeout), MaxWait: choice.MaxQueueWait,
		})
		if admitted || rejection != nil {
			decided(rejection)
		} else {
			g.waiting[id] = decided
		}
	})
}

func (f *fleet) run(r *request, e *placement.Endpoint, g *gateModel) {
	speed := 1.0
	if f.speed != nil {
		speed = f.speed(g.number, f.now)
	}
	took := time.Duration(float64(work) * speed * math.Exp(0.5*f.random.NormFloat64()-0.125))
	f.after(took, func() {
		if f.figures {
			g.SetSlowdown(mesh.Slowdown{Factor: f.speed(g.number, f.now), At: f.time()})
		}
		for _, d := range g.Release(f.time(), took) {
			decided := g.waiting[d.ID]
			delete(g.waiting, d.ID)
			decided(d.Rejection)
		}
		load := loadOf(g, f.time())
		f.after(way(e), func() { f.respond(r, e, load, nil) })
	})
}

// respond delivers a response or rejection to its sender.
func (f *fleet) respond(r *request, e *placement.Endpoint, load placement.Load, rejection *verdict.Error) {
	isLate := f.now-r.started > target
	hear := func() {
		e.RecordLoad(f.time(), "r", load)
		r.from.controller.Observe(f.time(), e.Distance.Tier(), overflow.Observation{
			Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, ServiceTime: load.MeanServiceTime, RouteLatency: load.MeanRouteLatency,
			Slowdown: load.Slowdown, Route: "r", Refused: rejection != nil, Late: isLate,
		})
	}
	if f.staleness > 0 {
		f.after(f.staleness, hear)
	} else {
		hear()
	}
	e.EndAttempt()
	if rejection == nil {
		f.end(r, e, nil)
		return
	}
	if e.Distance >= placement.SameRegion && f.isCounted(r) {
		f.total(r).wasted++
	}
	r.rejections = append(r.rejections, placement.Rejection{Endpoint: e, QueueWait: rejection.RetryAfter})
	if rejection.Code == verdict.DeadlineUnreachable {
		r.hopeless++
	}
	if r.hopeless >= 2 || len(r.rejections) > 6 || f.now > r.started+timeout-30*time.Millisecond {
		f.end(r, nil, rejection)
		return
	}
	f.attempt(r)
}

func (f *fleet) end(r *request, e *placement.Endpoint, rejection *verdict.Error) {
	if r.from.zone == 0 {
		f.entered[r.started/time.Second]++
	}
	if e != nil && e.Distance >= placement.SameRegion && r.from.zone == 0 {
		f.left[r.started/time.Second]++
	}
	if !f.isCounted(r) {
		return
	}
	t := f.total(r)
	t.offered++
	switch {
	case rejection != nil:
		t.refused++
		return
	case f.now-r.started > target:
		t.late++
		if e.Distance >= placement.SameRegion {
			t.wasted++
		}
	default:
		t.inTime++
	}
	if e.Distance >= placement.SameRegion {
		t.leftZone++
	}
	if e.Distance == placement.OtherRegion {
		t.leftRegion++
	}
}
