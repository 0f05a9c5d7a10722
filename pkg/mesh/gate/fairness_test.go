package gate

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/verdict"
)

// source is a load at one endpoint: the requests of a tenant on a route.
type source struct {
	tenant         string
	tenantPriority int
	route          string
	priority       int
	nested         bool
	perSecond      float64
	target         time.Duration
	timeout        time.Duration
	// retryAfter is the time after which a refused request is sent again, until its timeout;
	// 0 for never.
	retryAfter time.Duration
	// isEndless is set if refused requests are sent again for ever, each time with all of
	// their timeout.
	isEndless bool
}

// counts are the decisions about the requests of one group.
type counts struct {
	offered, served, inTime float64
	// refusedLate is the number of refusals after a wait, held the sum of these waits as
	// fractions of the timeout.
	refusedLate, held float64
	// waited and estimated are the sums of the waits, in seconds, of the requests that got a
	// slot after one, and of the estimates.
	waited, estimated float64
}

func (c counts) servedShare() float64 { return c.served / max(c.offered, 1) }
func (c counts) inTimeShare() float64 { return c.inTime / max(c.offered, 1) }

// replay is a load replayed at one endpoint in virtual time.
type replay struct {
	slots   int
	work    time.Duration
	sources []source
}

// outcome holds the counts by tenant, by route, by source, and of all requests.
type outcome struct {
	tenants, routes map[string]*counts
	sources         []counts
	all             counts
	queue           *Queue
	// untruthful counts refusals without a time after which to retry, or of requests that
	// may have run.
	untruthful int
}

type arrival struct {
	at     time.Time
	source int
	// first is the time of the first attempt of a request that is sent again.
	first time.Time
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, k int) bool { return a[i].at.Before(a[k].at) }
func (a arrivals) Swap(i, k int)      { a[i], a[k] = a[k], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// run replays the load. Requests that are sent again count as offered once.
func (r replay) run(seed uint64) outcome {
	random := rand.New(rand.NewPCG(seed, 2))
	o := outcome{tenants: map[string]*counts{}, routes: map[string]*counts{}, sources: make([]counts, len(r.sources)), queue: NewQueue(r.slots)}
	var pending arrivals
	var running endings
	type known struct {
		request Request
		source  int
		first   time.Time
		// admittedAt and estimate are the time and the estimated wait of the attempt.
		admittedAt time.Time
		estimate   time.Duration
	}
	requests := make(map[uint64]known)
	next := uint64(0)
	count := func(id uint64, add func(*counts)) {
		s := r.sources[requests[id].source]
		if o.tenants[s.tenant] == nil {
			o.tenants[s.tenant] = &counts{}
		}
		if o.routes[s.route] == nil {
			o.routes[s.route] = &counts{}
		}
		for _, c := range []*counts{o.tenants[s.tenant], o.routes[s.route], &o.sources[requests[id].source], &o.all} {
			add(c)
		}
	}
	end := epoch.Add(20 * time.Second)
	interval := func(s source) time.Duration {
		return time.Duration(random.ExpFloat64() / s.perSecond * float64(time.Second))
	}
	for i, s := range r.sources {
		heap.Push(&pending, arrival{at: epoch.Add(interval(s)), source: i})
	}
	start := func(now time.Time, id uint64) {
		took := time.Duration(float64(r.work) * math.Exp(0.5*random.NormFloat64()-0.125))
		count(id, func(c *counts) { c.served++ })
		heap.Push(&running, ending{at: now.Add(took), request: requests[id].request, took: took})
	}
	refuse := func(now time.Time, id uint64) {
		k := requests[id]
		count(id, func(c *counts) {
			if waited := now.Sub(k.request.arrivedAt(r.sources[k.source])); waited > 0 {
				c.refusedLate++
				c.held += float64(waited) / float64(r.sources[k.source].timeout)
			}
		})
		if s := r.sources[k.source]; s.retryAfter > 0 && (s.isEndless || now.Add(s.retryAfter).Before(k.first.Add(s.timeout))) {
			heap.Push(&pending, arrival{at: now.Add(s.retryAfter), source: k.source, first: k.first})
		}
	}
	decide := func(now time.Time, decisions []Decision) {
		for _, d := range decisions {
			if d.Rejection == nil {
				if k := requests[d.ID]; k.estimate > 0 {
					count(d.ID, func(c *counts) {
						c.waited += now.Sub(k.admittedAt).Seconds()
						c.estimated += k.estimate.Seconds()
					})
				}
				start(now, d.ID)
				continue
			}
			if d.Rejection.Verdict != verdict.NotRun {
				o.untruthful++
			}
			refuse(now, d.ID)
		}
	}
	for len(pending) > 0 {
		a := heap.Pop(&pending).(arrival)
		now := a.at
		if !now.Before(end) {
			break
		}
		for len(running) > 0 && !running[0].at.After(now) {
			e := heap.Pop(&running).(ending)
			if !e.at.After(e.request.SoftDeadline) {
				count(e.request.ID, func(c *counts) { c.inTime++ })
			}
			decide(e.at, o.queue.Release(e.at, e.took))
		}
		s := r.sources[a.source]
		isRetry := !a.first.IsZero()
		if !isRetry {
			heap.Push(&pending, arrival{at: now.Add(interval(s)), source: a.source})
			a.first = now
		}
		next++
		id, asked := next, a.first
		if s.isEndless {
			asked = now
		}
		request := Request{
			ID: id, Nested: s.nested, Tenant: s.tenant, TenantPriority: s.tenantPriority, Route: s.route, Priority: s.priority,
			SoftDeadline: asked.Add(s.target), Deadline: asked.Add(s.timeout), MaxWait: s.timeout - r.work, ServiceTime: r.work,
		}
		requests[id] = known{request: request, source: a.source, first: a.first, admittedAt: now}
		if !isRetry {
			count(id, func(c *counts) { c.offered++ })
		}
		switch admitted, rejection := o.queue.Admit(now, request); {
		case admitted:
			start(now, id)
		case rejection == nil && o.queue.fair != nil:
			k := requests[id]
			last := &o.queue.waiting[len(o.queue.waiting)-1]
			o.queue.waiting = o.queue.waiting[:len(o.queue.waiting)-1]
			k.estimate = o.queue.estimateFairWait(now, last)
			o.queue.waiting = o.queue.waiting[:len(o.queue.waiting)+1]
			requests[id] = k
		case rejection != nil:
			if rejection.RetryAfter <= 0 {
				o.untruthful++
			}
			refuse(now, id)
		}
		decide(now, o.queue.TakeDisplaced())
	}
	return o
}

// assertShares checks the rule that no route and no tenant is served less than a quarter as
// often as all. Groups with few requests are left out: their share is chance.
func (o outcome) assertShares(t *testing.T, name string) {
	t.Helper()
	all := o.all.servedShare()
	check := func(kind, group string, c counts) {
		assert.Assert(t, c.offered < 15 || c.servedShare() >= all/4, "%s: %s %q: %.3f of %.0f served, of all %.3f", name, kind, group, c.servedShare(), c.offered, all)
	}
	for group, c := range o.tenants {
		check("tenant", group, *c)
	}
	for group, c := range o.routes {
		check("route", group, *c)
	}
	assert.Equal(t, o.untruthful, 0, name)
}

// rosterTenants returns the load of 86 tenants on views, in sum load times the capacity, of
// which the first sends factor times its usual load.
func rosterTenants(capacity, load, factor float64, retryAfter time.Duration) []source {
	var sources []source
	for i := range 86 {
		s := source{
			tenant: fmt.Sprint("t", i), tenantPriority: 1, route: "view", priority: 1, perSecond: capacity * load / 86,
			target: 800 * time.Millisecond, timeout: 3 * time.Second,
		}
		if i == 0 {
			s.perSecond *= factor
			s.retryAfter = retryAfter
		}
		sources = append(sources, s)
	}
	return sources
}

// One tenant that sends 7.5 times its usual load among 86, and whose clients retry at once,
// must not crowd out the others, whose load alone fits.
func TestTenantWithManyRequestsDoesNotCrowdOutOthers(t *testing.T) {
	const slots = 12
	work := 100 * time.Millisecond
	capacity := slots / work.Seconds()
	for _, c := range []struct {
		name       string
		tenantLoad float64
		factor     float64
		retryAfter time.Duration
		isEndless  bool
	}{
		{"7.5 times the usual load", 0.95, 7.5, 0, false},
		{"a large tenant at 7.5 times", 0.8, 43, 0, false},
		{"clients that retry at once", 0.8, 43, 20 * time.Millisecond, false},
		{"clients that retry at once and for ever", 0.8, 43, 20 * time.Millisecond, true},
	} {
		for seed := range uint64(3) {
			sources := rosterTenants(capacity, c.tenantLoad, c.factor, c.retryAfter)
			sources[0].isEndless = c.isEndless
			o := replay{slots: slots, work: work, sources: sources}.run(seed)
			var others counts
			for _, s := range o.sources[1:] {
				others.offered, others.served, others.inTime = others.offered+s.offered, others.served+s.served, others.inTime+s.inTime
			}
			t.Logf("%s: others %.3f served, %.3f in time; it %.3f served; all %.3f", c.name, others.servedShare(), others.inTimeShare(),
				o.sources[0].servedShare(), o.all.servedShare())
			assert.Assert(t, others.inTimeShare() > 0.9, "%s: the others get %.3f in time", c.name, others.inTimeShare())
			o.assertShares(t, c.name)
		}
	}
}

// shiftTrades returns the load of trades (target 500 ms) and views (800 ms), in sum load
// times the capacity.
func shiftTrades(capacity, load, tradeFraction float64) []source {
	var sources []source
	for i := range 20 {
		tenant := fmt.Sprint("t", i)
		sources = append(sources,
			source{tenant: tenant, tenantPriority: 1, route: "trade", priority: 0, perSecond: capacity * load * tradeFraction / 20, target: 500 * time.Millisecond, timeout: 2 * time.Second},
			source{tenant: tenant, tenantPriority: 1, route: "view", priority: 2, perSecond: capacity * load * (1 - tradeFraction) / 20, target: 800 * time.Millisecond, timeout: 3 * time.Second},
		)
	}
	return sources
}

// With twice the load that the slots serve, shift trades must be in time beside views, and
// views must still get their quarter, also when the trades alone take all slots. The waits by
// which requests are refused must be those that the others have.
func TestShiftTradesAreInTimeBesideViews(t *testing.T) {
	const slots = 12
	work := 100 * time.Millisecond
	capacity := slots / work.Seconds()
	for _, c := range []struct {
		tradeFraction, trades, inTime float64
	}{
		{0.2, 0.93, 0.8}, {0.4, 0.93, 0.8}, {0.6, 0.65, 0.8},
	} {
		for seed := range uint64(3) {
			o := replay{slots: slots, work: work, sources: shiftTrades(capacity, 2, c.tradeFraction)}.run(seed)
			trades, views := o.routes["trade"], o.routes["view"]
			t.Logf("%.0f%% trades: trades %.3f served, %.3f in time; views %.3f served, %.3f in time; all %.3f, in time of the capacity %.3f", 100*c.tradeFraction,
				trades.servedShare(), trades.inTimeShare(), views.servedShare(), views.inTimeShare(), o.all.servedShare(), 2*o.all.inTimeShare())
			held := views.held / max(views.refusedLate, 1)
			t.Logf("%.0f of %.0f views refused after a wait, of %.3f of their time", views.refusedLate, views.offered, held)
			assert.Assert(t, held < 0.3, "views are refused after %.3f of their time", held)
			for name, c := range o.routes {
				ratio := c.waited / c.estimated
				t.Logf("%ss wait for %.2f times the estimate", name, ratio)
				assert.Assert(t, ratio > 0.5 && ratio < 2, "%ss wait for %.2f times the estimate", name, ratio)
			}
			assert.Assert(t, trades.inTimeShare() > c.trades, "%.0f%% trades: %.3f of them in time", 100*c.tradeFraction, trades.inTimeShare())
			assert.Assert(t, 2*o.all.inTimeShare() > c.inTime, "slots are not used for responses in time: %.3f", 2*o.all.inTimeShare())
			o.assertShares(t, fmt.Sprintf("%.0f%% trades", 100*c.tradeFraction))
		}
	}
}

// Tenants of different priority at twice the capacity: the urgent ones go first, whatever
// the priority of the routes, and the others get their quarter.
func TestTenantPriorityGoesBeforeRoutePriority(t *testing.T) {
	const slots = 12
	work := 100 * time.Millisecond
	capacity := slots / work.Seconds()
	load := func(tenant string, tenantPriority int, route string, priority int) source {
		return source{tenant: tenant, tenantPriority: tenantPriority, route: route, priority: priority, perSecond: capacity / 2, target: 800 * time.Millisecond, timeout: 3 * time.Second}
	}
	o := replay{slots: slots, work: work, sources: []source{load("gold", 0, "view", 2), load("basic", 3, "trade", 0), load("basic", 3, "view", 2), load("", 0, "status", 0)}}.run(1)
	t.Logf("gold %.3f, basic trades %.3f, basic views %.3f, public %.3f, all %.3f", o.sources[0].inTimeShare(), o.sources[1].inTimeShare(),
		o.sources[2].servedShare(), o.sources[3].servedShare(), o.all.servedShare())
	assert.Assert(t, o.sources[0].inTimeShare() > 0.93)
	assert.Assert(t, o.sources[1].servedShare() > o.sources[2].servedShare())
	o.assertShares(t, "priorities")
}

// Overload by all tenants must not fill the slots with requests that are late anyway: by
// turns alone, 91% of the capacity is used in time at 1.3 times the load by 20 tenants.
func TestOverloadByAllTenantsIsAnsweredInTime(t *testing.T) {
	const slots = 12
	work := 100 * time.Millisecond
	capacity := slots / work.Seconds()
	for _, load := range []float64{1.3, 2, 4} {
		for _, tenants := range []int{3, 20, 86} {
			var sources []source
			for i := range tenants {
				sources = append(sources, source{
					tenant: fmt.Sprint("t", i), route: "view", perSecond: load * capacity / float64(tenants), target: 350 * time.Millisecond, timeout: 3 * time.Second,
				})
			}
			var inTime, served float64
			for seed := range uint64(3) {
				o := replay{slots: slots, work: work, sources: sources}.run(seed)
				inTime, served = inTime+o.all.inTimeShare()*load/3, served+o.all.servedShare()*load/3
			}
			t.Logf("load %.1f by %d tenants: %.3f of the capacity in time, %.3f served", load, tenants, inTime, served)
			assert.Assert(t, inTime > 0.93, "load %.1f by %d tenants: %.3f of the capacity in time", load, tenants, inTime)
		}
	}
}

// arrivedAt returns the time of the first attempt of a request.
func (r Request) arrivedAt(s source) time.Time { return r.Deadline.Add(-s.timeout) }
