package gate

import (
	"cmp"
	"math"
	"time"

	"github.com/azurespring/azurespring/pkg/verdict"
)

// Parameters of the order between tenants.
const (
	// turnTolerance is the number of turns that a tenant may be ahead of another one before
	// that goes first although its request can no longer be in time. At 1.3 times the
	// capacity by 20 tenants, 91% of it is used in time with 0, and 95% with 3.
	turnTolerance = 3
	// starvedShare is the fraction of the share of all requests that are served below which
	// a route or a tenant is admitted first. The bound that operators set is a quarter; the
	// difference is the time until the guard acts.
	starvedShare = 1.0 / 3
	// guardInterval is the number of admissions of which at most one is by the guard, so
	// that urgent requests keep most of the slots.
	guardInterval = 4
	// maxGuardedTurns bounds the guard for a tenant to this multiple of an equal division of
	// the slots among the tenants. Without it, a tenant whose clients send refused requests
	// again at once gets a third of the slots: the more it sends, the less of it is served.
	// A tenant that sends 7.5 times its usual load needs 1.9 for its quarter.
	maxGuardedTurns = 3
	// shareHalfLife is the time after which a decision counts half in the shares. A tenant
	// with one request in 8 s at this endpoint is then judged by about three of them.
	shareHalfLife = 15 * time.Second
	// fairnessExpiry is the time without requests after which a tenant or a route is
	// forgotten, and without requests of any tenant after which today's order applies.
	fairnessExpiry = time.Minute
	// maxFlows bounds the tenants and the routes that are told apart. Further ones share
	// their turns.
	maxFlows = 4096
	// noTenantRank ranks requests without a tenant behind those of all tenants.
	noTenantRank = math.MaxInt
)

// fairness is the state of the order between tenants.
//
// The tenants with waiting requests of equal urgency get turns, one request each. A
// tenant that was idle continues with the turn that is served, so that it neither saves
// up turns nor pays for earlier ones.
type fairness struct {
	flows  map[string]*flow
	routes map[string]*group
	all    group
	// turns holds the latest turn that was served of each urgency. Urgent tenants may be
	// many turns ahead of others.
	turns map[urgency]int64
	// sinceGuard counts the admissions since the last one by the guard.
	sinceGuard int
	// tenantAt is the time of the last request of a tenant, sweptAt that of the last sweep,
	// and now that of the last event.
	tenantAt, sweptAt, now time.Time
	displaced              []Decision
	// touched holds the flows that an estimate has counted.
	touched []*flow
}

// urgency is what compareUrgency compares of requests that are no calls of endpoints.
type urgency struct{ rank, priority int }

// urgencyOf returns the urgency under which the turn of a request counts. Beyond maxFlows
// urgencies, further ones share one.
func (f *fairness) urgencyOf(w *waiter) urgency {
	u := urgency{rank: w.rank(), priority: w.Priority}
	if _, ok := f.turns[u]; !ok && len(f.turns) >= maxFlows {
		return urgency{}
	}
	return u
}

// FairnessCounts are the decisions that only the order between tenants makes.
type FairnessCounts struct {
	// Displaced is the number of waiting requests that more urgent ones replaced, Guarded
	// that of the requests that were admitted first because their route or their tenant was
	// served too seldom.
	Displaced, Guarded uint64
}

// flow holds the turns of a tenant; requests without a tenant share one.
type flow struct {
	group
	// turn is the next turn of the tenant, waiting the number of its waiting requests.
	turn    int64
	waiting int
	// inTime and late count waiting requests during an estimate.
	inTime, late int
}

// group counts the decisions about the requests of a route or a tenant; older ones count
// less.
type group struct {
	offered, served float64
	at              time.Time
	isStarved       bool
}

// record counts a decision. share is the share of all requests that are served; few
// decisions say little, so that one request with that share is added.
func (g *group) record(now time.Time, isServed bool, share float64) {
	if elapsed := now.Sub(g.at); elapsed > 0 {
		decay := math.Exp2(-float64(elapsed) / float64(shareHalfLife))
		g.offered, g.served, g.at = decay*g.offered, decay*g.served, now
	}
	g.offered++
	if isServed {
		g.served++
	}
	g.isStarved = (g.served+share)/(g.offered+1) < starvedShare*share
}

func (g *group) share() float64 { return (g.served + 1) / (g.offered + 1) }

func newFairness(now time.Time) *fairness {
	return &fairness{flows: make(map[string]*flow), routes: make(map[string]*group), turns: make(map[urgency]int64), tenantAt: now, sweptAt: now, now: now}
}

// updateFairness turns the order between tenants on with the first request of a tenant, and
// off if there have been none for fairnessExpiry.
func (q *Queue) updateFairness(now time.Time, r *Request) {
	switch {
	case r.Tenant != "" && q.fair == nil:
		q.fair = newFairness(now)
		for i := range q.waiting {
			q.fair.enter(&q.waiting[i])
			q.waiting[i].flow.waiting++
		}
	case q.fair == nil:
		return
	case r.Tenant == "" && now.Sub(q.fair.tenantAt) > fairnessExpiry:
		q.fair = nil
		return
	}
	q.fair.now = now
	if r.Tenant != "" {
		q.fair.tenantAt = now
	}
	if now.Sub(q.fair.sweptAt) > fairnessExpiry {
		q.fair.sweep(now)
	}
}

// sweep forgets idle tenants and routes.
func (f *fairness) sweep(now time.Time) {
	f.sweptAt = now
	for name, flow := range f.flows {
		if flow.waiting == 0 && now.Sub(flow.at) > fairnessExpiry {
			delete(f.flows, name)
		}
	}
	for name, route := range f.routes {
		if now.Sub(route.at) > fairnessExpiry {
			delete(f.routes, name)
		}
	}
}

// enter sets the flow and the route of a request.
func (f *fairness) enter(w *waiter) {
	if w.flow = f.flows[w.Tenant]; w.flow == nil {
		name := w.Tenant
		if len(f.flows) >= maxFlows {
			name = ""
		}
		if w.flow = f.flows[name]; w.flow == nil {
			w.flow = &flow{group: group{at: f.now}}
			f.flows[name] = w.flow
		}
	}
	if w.route = f.routes[w.Route]; w.route == nil {
		w.route = &group{at: f.now}
		if len(f.routes) < maxFlows {
			f.routes[w.Route] = w.route
		}
	}
	if w.flow.waiting == 0 {
		w.flow.turn = max(w.flow.turn, f.turns[f.urgencyOf(w)])
	}
}

// recordFlow counts a decision about a request of a tenant.
func (f *fairness) recordFlow(w *flow, isServed bool, share float64) {
	w.record(f.now, isServed, share)
	w.isStarved = w.isStarved && w.served*float64(len(f.flows)) < maxGuardedTurns*f.all.served
}

// isStarved reports whether the route or the tenant of a request is served too seldom.
func (w *waiter) isStarved() bool { return w.route.isStarved || w.flow.isStarved && w.Tenant != "" }

// rank returns the rank of the tenant of a request.
func (w *waiter) rank() int {
	if w.Tenant == "" {
		return noTenantRank
	}
	return w.TenantPriority
}

// compareUrgency returns a negative number if a is more urgent than b, 0 if they are equally
// urgent.
func compareUrgency(a, b *waiter) int {
	if a.Nested != b.Nested {
		if a.Nested {
			return -1
		}
		return 1
	}
	if !a.Nested && a.rank() != b.rank() {
		return cmp.Compare(a.rank(), b.rank())
	}
	return cmp.Compare(a.Priority, b.Priority)
}

// settle records the decision about a request. hasWaited is set if it leaves the queue.
func (q *Queue) settle(w *waiter, isServed, hasWaited bool) {
	f := q.fair
	if f == nil {
		return
	}
	if hasWaited {
		w.flow.waiting--
	}
	if isServed && !w.Nested {
		u := f.urgencyOf(w)
		f.turns[u] = max(f.turns[u], w.flow.turn)
		w.flow.turn++
	}
	f.all.record(f.now, isServed, 1)
	share := f.all.share()
	w.route.record(f.now, isServed, share)
	f.recordFlow(w.flow, isServed, share)
}

// admitFair is Admit for the order between tenants.
func (q *Queue) admitFair(now time.Time, r Request) (admitted bool, rejection *verdict.Error) {
	w := waiter{Request: r, enqueuedAt: now}
	q.fair.enter(&w)
	if q.running < q.slots && len(q.waiting) == 0 {
		q.running++
		q.settle(&w, true, false)
		return true, nil
	}
	wait := q.estimateFairWait(now, &w)
	starvedCount := 0
	for i := range q.waiting {
		if q.waiting[i].isStarved() {
			starvedCount++
		}
	}
	// The guard does not fill the queue with requests that are admitted first.
	isGuarded := w.isStarved() && starvedCount < q.slots
	if isGuarded {
		wait = min(wait, q.timeOf(guardInterval*(starvedCount+1)))
	}
	switch {
	case now.Add(wait).After(r.Deadline):
		rejection = q.reject(verdict.DeadlineUnreachable, "the queue is longer than the time left", wait)
	case wait > r.MaxWait:
		rejection = q.reject(verdict.Overloaded, "the queue is longer than the sender will wait", wait)
	case len(q.waiting) >= maxQueuePerSlot*q.slots && !q.displaceFor(now, &w, isGuarded):
		rejection = q.reject(verdict.Overloaded, "the queue is full", wait)
	}
	if rejection != nil {
		q.settle(&w, false, false)
		return false, rejection
	}
	w.flow.waiting++
	q.waiting = append(q.waiting, w)
	return false, nil
}

// timeOf returns the time until the given number of requests have got slots.
func (q *Queue) timeOf(count int) time.Duration {
	return time.Duration(float64(count) / float64(max(q.slots, 1)) * float64(q.ExpectedServiceTime(q.fair.now)))
}

// estimateFairWait estimates the wait of a new request in the order between tenants. Of
// another tenant with requests of equal urgency, those go first whose turns come before the
// turn of the new one.
func (q *Queue) estimateFairWait(now time.Time, w *waiter) time.Duration {
	ahead, guarded, own := 0, 0, int64(0)
	touched := q.fair.touched[:0]
	for i := range q.waiting {
		other := &q.waiting[i]
		urgency := compareUrgency(other, w)
		switch {
		case urgency < 0, urgency == 0 && w.Nested && !q.precedes(now, &w.Request, &other.Request):
			ahead++
		case urgency > 0 || w.Nested:
			if other.isStarved() {
				guarded++
			}
		case other.flow == w.flow:
			if !q.precedes(now, &w.Request, &other.Request) {
				own++
			}
		default:
			if other.flow.inTime+other.flow.late == 0 {
				touched = append(touched, other.flow)
			}
			if now.After(other.startBy) {
				other.flow.late++
			} else {
				other.flow.inTime++
			}
		}
	}
	turn, isLate := w.flow.turn+own, now.After(w.startBy)
	for _, f := range touched {
		turns := max(0, turn-f.turn+1)
		if isLate {
			ahead += f.inTime + int(min(turns, int64(f.late)))
		} else {
			ahead += int(min(turns, int64(f.inTime)) + min(max(0, turns-turnTolerance-1), int64(f.late)))
		}
		f.inTime, f.late = 0, 0
	}
	q.fair.touched = touched
	ahead += int(own)
	ahead += min(guarded, ahead/(guardInterval-1))
	if q.running < q.slots {
		ahead = max(0, ahead-(q.slots-q.running))
	}
	share := 1.0
	if isLate && ahead > 0 { // Otherwise it is the next one, late or not.
		share = max(q.lateShare, minLateShare)
	}
	return time.Duration(float64(q.timeOf(ahead+1)) / share)
}

// nextFair returns the index of the waiting request that is admitted next.
func (q *Queue) nextFair(now time.Time) int {
	f := q.fair
	f.sinceGuard++
	if f.sinceGuard >= guardInterval {
		if i := q.nextStarved(now); i >= 0 {
			f.sinceGuard = 0
			q.fairnessCounts.Guarded++
			return i
		}
	}
	urgent, lowestTurn := 0, q.waiting[0].flow.turn
	for i := 1; i < len(q.waiting); i++ {
		switch c := compareUrgency(&q.waiting[i], &q.waiting[urgent]); {
		case c < 0:
			urgent, lowestTurn = i, q.waiting[i].flow.turn
		case c == 0:
			lowestTurn = min(lowestTurn, q.waiting[i].flow.turn)
		}
	}
	best := urgent
	for i := urgent + 1; i < len(q.waiting); i++ {
		if compareUrgency(&q.waiting[i], &q.waiting[urgent]) == 0 && q.precedesFair(now, &q.waiting[i], &q.waiting[best], lowestTurn) {
			best = i
		}
	}
	return best
}

// nextStarved returns the index of the waiting request that the guard admits first, -1 if
// there is none.
func (q *Queue) nextStarved(now time.Time) int {
	best := -1
	for i := range q.waiting {
		w := &q.waiting[i]
		if w.isStarved() && (best < 0 || q.precedesInFlow(now, w, &q.waiting[best])) {
			best = i
		}
	}
	return best
}

// precedesFair reports whether a is admitted before b, which is as urgent. lowestTurn is
// that of the requests of their urgency.
func (q *Queue) precedesFair(now time.Time, a, b *waiter, lowestTurn int64) bool {
	if !a.Nested {
		aAhead, bAhead := a.flow.turn > lowestTurn+turnTolerance, b.flow.turn > lowestTurn+turnTolerance
		if aAhead != bAhead {
			return bAhead
		}
		aInTime, bInTime := !now.After(a.startBy), !now.After(b.startBy)
		if aInTime == bInTime && a.flow.turn != b.flow.turn {
			return a.flow.turn < b.flow.turn
		}
	}
	return q.precedesInFlow(now, a, b)
}

// precedesInFlow is the order of equally urgent requests of a tenant.
func (q *Queue) precedesInFlow(now time.Time, a, b *waiter) bool {
	aInTime, bInTime := !now.After(a.startBy), !now.After(b.startBy)
	if aInTime != bInTime {
		return aInTime
	}
	return a.SoftDeadline.Before(b.SoftDeadline)
}

// FairnessCounts returns the numbers of decisions that only the order between tenants makes.
func (q *Queue) FairnessCounts() FairnessCounts { return q.fairnessCounts }
