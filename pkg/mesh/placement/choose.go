package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/overflow"
)

// Penalties for the distance of an endpoint, as fractions of the latency target. Traffic
// between failure domains and regions is paid by volume, which is large for downloads and
// uploads: a request leaves its failure domain only when it would take much of its time
// there, about half of it if it is small and three quarters if it is large. Fixed penalties
// of some milliseconds sent most requests of long-running services to faster instances
// elsewhere although they would have been in time.
const (
	penaltySameRegion       = 0.12
	penaltyOtherRegion      = 0.25
	penaltyLargeSameRegion  = 0.55
	penaltyLargeOtherRegion = 0.8
)

// roundTripOtherRegion is the latency that another region adds to a response.
const roundTripOtherRegion = 16 * time.Millisecond

// defaultServiceTime is assumed while no service time is known.
const defaultServiceTime = 50 * time.Millisecond

// failurePenalty is the cost of a certain failure: a retry takes another service time
// and part of the retry budget, and an unsafe request cannot be retried.
const failurePenalty = time.Second

// warmupFactor is how much slower an endpoint is assumed to be during its slow start.
const warmupFactor = 2

// saturationSlowdown is the increase of the latency at an endpoint with all slots
// taken, as a fraction; some endpoints slow down when nearly full.
const saturationSlowdown = 0.3

// tieBreakSpan is the range of the random part of a cost, so that nodes with the same
// estimates do not all choose the same endpoint.
const tieBreakSpan = 2 * time.Millisecond

// minServiceSeconds bounds the service time that capacities are computed with.
const minServiceSeconds = 0.0001

// failureDiscount reduces the capacity of failing endpoints: at a failure rate of one half,
// endpoints are drawn a twenty-sixth as often, so that two of them rarely meet.
const failureDiscount = 50

// Request holds what the endpoint selection depends on.
type Request struct {
	// Route groups requests with similar latencies.
	Route string
	Kind  mesh.RequestKind
	// Timeout is the remaining time until the request's deadline, SoftTimeout until
	// its soft deadline; 0 or less if that has passed.
	Timeout     time.Duration
	SoftTimeout time.Duration
	// Tried lists the endpoints that the request was already sent to.
	Tried []*Endpoint
	// Rejections lists the rejections by admission queues with the waits that they
	// reported, which are more accurate than the estimates here.
	Rejections []Rejection
	// Overflow decides which failure domains the request may go to; with nil, the distance
	// is part of the costs.
	Overflow *overflow.Decision
	// Random is the source of random numbers; nil means the global one.
	Random *rand.Rand
}

// Rejection is the wait for a slot that an admission queue reported.
type Rejection struct {
	Endpoint  *Endpoint
	QueueWait time.Duration
}

// Choice is the endpoint chosen for a request.
type Choice struct {
	Endpoint *Endpoint
	// MaxQueueWait is the longest wait for a slot that is preferable to another endpoint.
	MaxQueueWait time.Duration
	// QueueWait is the estimated wait for a slot, ExpectedLatency the time until the response.
	QueueWait       time.Duration
	ExpectedLatency time.Duration
}

// scored is a candidate with its cost and the estimates behind it.
type scored struct {
	endpoint *Endpoint
	wait     time.Duration
	latency  time.Duration
	// fixedCost is the part of the cost that does not depend on the latency.
	fixedCost time.Duration
	cost      time.Duration
	// load is the estimated number of requests at the endpoint, capacity what it serves in
	// a second.
	load, capacity float64
	failureRate    float64
	ejected        bool
	// isBusy is set if the endpoint is cold and has told a wait that is not over yet.
	isBusy bool
}

// wasAttempted reports whether the request was sent to e. A rebuilt table holds a new
// value for the same endpoint but shares its Stats.
func (r Request) wasAttempted(e *Endpoint) bool {
	return slices.ContainsFunc(r.Tried, func(attempted *Endpoint) bool { return attempted.Stats == e.Stats })
}

// latencyTarget is the time that latencies are compared with.
func (r Request) latencyTarget() time.Duration {
	if r.SoftTimeout > 0 {
		return r.SoftTimeout
	}
	return max(r.Timeout, time.Millisecond)
}

// latencyCost weighs the expected latency of a response. It grows with the square:
// far below the target a difference matters little to the caller, while close to it
// each millisecond makes a late response more likely.
func (r Request) latencyCost(expected time.Duration) time.Duration {
	fraction := float64(expected) / float64(r.latencyTarget())
	return time.Duration(fraction * float64(expected))
}

// latencyForCost is the inverse of latencyCost.
func (r Request) latencyForCost(cost time.Duration) time.Duration {
	if cost <= 0 {
		return 0
	}
	return time.Duration(math.Sqrt(float64(cost) * float64(r.latencyTarget())))
}

// Choose returns the endpoint with the lowest cost for r among candidates. ok is false
// if the request was already sent to all of them. Ejected endpoints are chosen only
// if there are no others.
//
// It spreads traffic that exceeds the slots of one failure domain, or that meets slow
// endpoints there: first to other failure domains, and to other regions only once
// responses from the local region are likely to be late.
func Choose(now time.Time, candidates []*Endpoint, r Request) (choice Choice, ok bool) {
	scores := scoreCandidates(now, candidates, r)
	if r.Overflow != nil {
		if choice, ok = chooseInTier(scores, r); ok {
			return choice, true
		}
	}
	best, second := -1, -1
	better := func(a, b scored) bool {
		if a.ejected != b.ejected {
			return b.ejected
		}
		return a.cost < b.cost
	}
	for i := range scores {
		switch {
		case best < 0 || better(scores[i], scores[best]):
			best, second = i, best
		case second < 0 || better(scores[i], scores[second]):
			second = i
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	if i, ok := explore(scores, r); r.Overflow == nil && ok && i != best {
		return Choice{Endpoint: scores[i].endpoint, QueueWait: scores[i].wait, ExpectedLatency: scores[i].wait + scores[i].latency}, true
	}
	b := scores[best]
	choice = Choice{Endpoint: b.endpoint, QueueWait: b.wait, ExpectedLatency: b.wait + b.latency}
	choice.MaxQueueWait = r.Timeout - b.latency
	if second >= 0 && !scores[second].ejected {
		choice.MaxQueueWait = min(choice.MaxQueueWait, r.latencyForCost(scores[second].cost-b.fixedCost)-b.latency)
	}
	choice.MaxQueueWait = max(choice.MaxQueueWait, 0)
	return choice, true
}

// explore returns a random endpoint for a small share of the requests, so that the
// latencies of other endpoints are known when they are needed. Without it, a slow
// endpoint close by keeps its traffic because all measurements of faster ones
// elsewhere have expired.
func explore(scores []scored, r Request) (int, bool) {
	if r.Kind != mesh.Safe || len(r.Tried) > 0 || rand.Float64() >= exploreShare {
		return 0, false
	}
	i := rand.IntN(len(scores))
	e := scores[i]
	return i, !e.ejected && e.wait == 0 && e.failureRate < maxExploreFailureRate && e.latency < r.latencyTarget()/2
}

// Bounds of exploration: the share of requests, and the failure rate from which an
// endpoint is not explored.
const (
	exploreShare          = 0.02
	maxExploreFailureRate = 0.05
)

func scoreCandidates(now time.Time, candidates []*Endpoint, r Request) []scored {
	scores := make([]scored, 0, len(candidates))
	views := make([]view, 0, len(candidates))
	var meanServiceTime, meanRouteLatency mean
	for _, e := range candidates {
		if r.wasAttempted(e) {
			continue
		}
		v := e.view(now, r.Route)
		meanServiceTime.add(v.serviceTime, v.serviceTimeWeight)
		meanRouteLatency.add(v.route, v.routeWeight)
		scores = append(scores, scored{endpoint: e, ejected: v.ejected, failureRate: v.failureRate})
		views = append(views, v)
	}
	for i := range scores {
		scores[i].estimate(now, views[i], meanServiceTime.value(), meanRouteLatency.value(), r)
	}
	return scores
}

// mean is a weighted mean of durations.
type mean struct{ sum, weights float64 }

func (m *mean) add(d time.Duration, weight float64) {
	m.sum += weight * float64(d)
	m.weights += weight
}

func (m mean) value() float64 {
	if m.weights == 0 {
		return float64(defaultServiceTime)
	}
	return m.sum / m.weights
}

// estimate sets the latency and cost of a candidate. meanServiceTime and
// meanRouteLatency are the means over all candidates and replace unknown values.
func (s *scored) estimate(now time.Time, v view, meanServiceTime, meanRouteLatency float64, r Request) {
	serviceTime := v.serviceTimeWeight*float64(v.serviceTime) + (1-v.serviceTimeWeight)*meanServiceTime
	// The service time over all routes indicates the speed of the endpoint's host.
	routeLatency := meanRouteLatency * serviceTime / meanServiceTime
	routeLatency = v.routeWeight*float64(v.route) + (1-v.routeWeight)*routeLatency
	if v.serviceTimeWeight == 0 && now.Before(s.endpoint.warmUntil) {
		routeLatency *= warmupFactor
	}
	serviceTime *= v.speed
	routeLatency *= v.speed
	slots := float64(s.endpoint.Slots)
	if v.slots > 0 && v.slots < s.endpoint.Slots {
		slots, s.wait, s.isBusy = float64(v.slots), max(v.busy, 0), v.busy > 0
	}
	s.latency = time.Duration(routeLatency * (1 + saturationSlowdown*min(v.load/slots, 1)))
	if v.load >= slots {
		s.wait = max(s.wait, time.Duration((v.load-slots+1)/slots*serviceTime))
	}
	for _, rejection := range r.Rejections {
		if rejection.Endpoint.Stats == s.endpoint.Stats {
			s.wait = max(s.wait, rejection.QueueWait)
		}
	}
	s.load = v.load
	s.capacity = slots / max(serviceTime/float64(time.Second), minServiceSeconds) / (1 + failureDiscount*v.failureRate)
	switch {
	case s.endpoint.Distance == OtherRegion:
		s.latency += roundTripOtherRegion
	case r.Overflow != nil:
		s.latency += s.endpoint.Distance.Tier().RoundTrip()
	}
	s.fixedCost = s.endpoint.penalty(r) + time.Duration(v.failureRate*float64(failurePenalty)) + time.Duration(r.random()*float64(tieBreakSpan))
	s.cost = s.fixedCost + r.latencyCost(s.wait+s.latency)
}

// penalty returns the cost of the distance that r would travel.
func (e *Endpoint) penalty(r Request) time.Duration {
	fraction := 0.0
	switch {
	case r.Overflow != nil:
		fraction = r.Overflow.Prices[e.Distance.Tier()]
	case e.Distance == SameRegion && r.Kind.Large():
		fraction = penaltyLargeSameRegion
	case e.Distance == SameRegion:
		fraction = penaltySameRegion
	case e.Distance == OtherRegion && r.Kind.Large():
		fraction = penaltyLargeOtherRegion
	case e.Distance == OtherRegion:
		fraction = penaltyOtherRegion
	}
	return time.Duration(fraction * float64(r.latencyTarget()))
}
