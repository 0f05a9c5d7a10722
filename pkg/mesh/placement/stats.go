// Package placement selects the endpoint for a request by the distance, load, latency
// and failure rate of the known endpoints.
package placement

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// Lifetimes of the observations of an endpoint. Loads change within a service time,
// failure rates within seconds. Latencies differ permanently between hosts, but an
// endpoint that was slow for a while must get requests again.
const (
	loadLifetime       = 400 * time.Millisecond
	latencyFreshPeriod = 3 * time.Second
	latencyLifetime    = 10 * time.Second
	failureHalfLife    = 2 * time.Second
)

// reducedSlotsLifetime is how long a reported number of slots counts: an endpoint is cold
// for some seconds. maxBusyWait bounds the wait that a rejection told, to which a random
// part of the spread is added; both must be over before the slots count no more.
const (
	reducedSlotsLifetime = 2500 * time.Millisecond
	maxBusyWait          = time.Second
	minBusySpread        = 250 * time.Millisecond
	maxBusySpread        = 1200 * time.Millisecond
)

// failureWeight is the weight of a new outcome in the failure rate (EWMA).
const failureWeight = 0.15

// Bounds of the time for which an endpoint is ejected after its node could not be
// reached, or rejected a request because it does not have the endpoint.
const (
	minEjection = 250 * time.Millisecond
	maxEjection = 4 * time.Second
)

// Load is the load of an endpoint as reported by its local node.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// MeanServiceTime is the mean time that a request holds a slot, MeanRouteLatency the
	// mean time until the response on the route of the request; 0 if unknown.
	MeanServiceTime  time.Duration
	MeanRouteLatency time.Duration
	// Slowdown is the speed that both are at, relative to the endpoint's mean speed.
	Slowdown mesh.Slowdown
	// FailureRate is the fraction of the latest requests of all nodes that the endpoint
	// failed or turned away.
	FailureRate float64
}

// Stats holds this node's observations of one endpoint. They are kept when tables are
// rebuilt and are safe for concurrent use.
type Stats struct {
	mu             sync.Mutex
	outstanding    int
	otherNodesLoad float64
	reportedAt     time.Time
	// reportedSlots is the number of slots at reportedAt; it is lower than that of the entry
	// while the endpoint is cold. busyUntil is when a further request may be tried then, and
	// rejections the number of those that were rejected since one was served.
	reportedSlots int
	busyUntil     time.Time
	rejections    int
	slowdown      mesh.Slowdown
	// serviceTime and routeLatencies are at the endpoint's mean speed.
	serviceTime    sample
	routeLatencies map[string]sample
	failureRate    float64
	failureRateAt  time.Time
	// reportedFailureRate is what the endpoint's node has seen of all senders, at reportedAt.
	reportedFailureRate float64
	ejections           int
	ejectedUntil        time.Time
	unreachable         bool
	lastSeen            time.Time
}

// sample is a duration and the time of its measurement.
type sample struct {
	value      time.Duration
	measuredAt time.Time
}

// weight is 1 for a fresh sample and 0 for an unknown or expired one.
func (s sample) weight(now time.Time) float64 {
	age := now.Sub(s.measuredAt)
	switch {
	case s.value <= 0 || age >= latencyLifetime:
		return 0
	case age <= latencyFreshPeriod:
		return 1
	}
	return 1 - float64(age-latencyFreshPeriod)/float64(latencyLifetime-latencyFreshPeriod)
}

// BeginAttempt counts a request as outstanding.
func (s *Stats) BeginAttempt() {
	s.mu.Lock()
	s.outstanding++
	s.mu.Unlock()
}

// EndAttempt removes a request that BeginAttempt counted.
func (s *Stats) EndAttempt() {
	s.mu.Lock()
	s.outstanding--
	s.mu.Unlock()
}

// RecordLoad applies a load that the endpoint's node sent with the response to a
// request on a route. It must be called before EndAttempt.
func (s *Stats) RecordLoad(now time.Time, route string, load Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.otherNodesLoad = math.Max(float64(load.Running+load.Waiting-s.outstanding), 0)
	s.reportedAt, s.reportedFailureRate, s.reportedSlots = now, load.FailureRate, load.Slots
	s.slowdown = load.Slowdown
	speed := load.Slowdown.Estimate(now)
	if load.MeanServiceTime > 0 {
		s.serviceTime = sample{scale(load.MeanServiceTime, 1/speed), now}
	}
	if load.MeanRouteLatency > 0 {
		if s.routeLatencies == nil {
			s.routeLatencies = make(map[string]sample)
		}
		s.routeLatencies[route] = sample{scale(load.MeanRouteLatency, 1/speed), now}
	}
	s.ejections = 0
	s.ejectedUntil = time.Time{}
	s.unreachable = false
}

// RecordRejection records that the endpoint's node has rejected a request and told the
// wait for a slot. It matters while the node reports fewer slots than the entry has:
// without it, all requests of a busy sender would be tried there and rejected. The time
// without a further try is spread wider with each, because many senders wait for the same
// few slots.
func (s *Stats) RecordRejection(now time.Time, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	spread := min(minBusySpread<<min(s.rejections, 8), maxBusySpread)
	s.rejections++
	s.busyUntil = now.Add(min(wait, maxBusyWait) + rand.N(spread))
}

// RecordOutcome updates the failure rate with the outcome of a request.
func (s *Stats) RecordOutcome(now time.Time, success bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failureRate = UpdateFailureRate(s.decayedFailureRate(now), success)
	s.failureRateAt = now
	if success {
		s.rejections = 0
	}
}

// UpdateFailureRate returns a failure rate (EWMA) after one more outcome.
func UpdateFailureRate(rate float64, success bool) float64 {
	if success {
		return rate - failureWeight*rate
	}
	return rate + failureWeight*(1-rate)
}

// Eject keeps requests away for a time that doubles with each call until the next
// RecordLoad.
func (s *Stats) Eject(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ejection := min(minEjection<<min(s.ejections, 8), maxEjection)
	s.ejections++
	s.ejectedUntil = now.Add(ejection)
}

// MarkUnreachable keeps requests away until MarkReachable or RecordLoad. It reports
// false if the endpoint was marked already.
//
// It covers instances that are gone for good while their entries remain in the store.
// With Eject alone, each node sent requests to each of them again after every ejection,
// and these failed after one more series of connection attempts.
func (s *Stats) MarkUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasUnreachable := s.unreachable
	s.unreachable = true
	return !wasUnreachable
}

// MarkReachable reverts MarkUnreachable.
func (s *Stats) MarkReachable() {
	s.mu.Lock()
	s.unreachable = false
	s.mu.Unlock()
}

func (s *Stats) decayedFailureRate(now time.Time) float64 {
	return decayed(s.failureRate, now.Sub(s.failureRateAt))
}

func decayed(failureRate float64, age time.Duration) float64 {
	if failureRate == 0 {
		return 0
	}
	return failureRate * math.Exp2(-float64(age)/float64(failureHalfLife))
}

// view is a consistent copy of the values that the selection uses. The weights give
// the confidence in the durations, from 0 to 1; route is the latency on the requested
// route. Both durations are at the endpoint's mean speed and take speed times as long now.
type view struct {
	load              float64
	serviceTime       time.Duration
	serviceTimeWeight float64
	route             time.Duration
	routeWeight       float64
	speed             float64
	failureRate       float64
	ejected           bool
	// slots is the number of slots that was reported lately, 0 if none was; busy is the time
	// until a further request may be taken.
	slots int
	busy  time.Duration
}

func (s *Stats) view(now time.Time, route string) view {
	s.mu.Lock()
	defer s.mu.Unlock()
	latency := s.routeLatencies[route]
	v := view{
		load: float64(s.outstanding), serviceTime: s.serviceTime.value, serviceTimeWeight: s.serviceTime.weight(now),
		route: latency.value, routeWeight: latency.weight(now), speed: s.slowdown.Estimate(now),
		failureRate: max(s.decayedFailureRate(now), decayed(s.reportedFailureRate, now.Sub(s.reportedAt))),
		ejected:     s.unreachable || now.Before(s.ejectedUntil),
	}
	if now.Sub(s.reportedAt) < reducedSlotsLifetime {
		v.slots, v.busy = s.reportedSlots, s.busyUntil.Sub(now)
	}
	if age := now.Sub(s.reportedAt); s.otherNodesLoad > 0 && age < loadLifetime {
		v.load += s.otherNodesLoad * (1 - float64(age)/float64(loadLifetime))
	}
	return v
}

// scale returns d multiplied by factor. A factor of 1 leaves every duration as it is.
func scale(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(factor * float64(d))
}
