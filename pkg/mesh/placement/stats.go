// Package placement chooses the endpoint for a request from what this node
// knows of endpoints: their distance, load, speed and failures.
package placement

import (
	"math"
	"sync"
	"time"
)

// Lifetimes of what is known of an endpoint. Loads change within a service time,
// failures within seconds. Speeds differ for good between hosts, but an endpoint
// that was slow for a time must be tried again.
const (
	loadLifetime   = 400 * time.Millisecond
	speedFresh     = 3 * time.Second
	speedLifetime  = 10 * time.Second
	failureHalving = 2 * time.Second
)

// failureWeight is the weight of a new outcome in the running failure share.
const failureWeight = 0.15

// Bounds of the time for which an instance that could not be reached, or that
// rejected a request because it does not have the endpoint, gets no requests.
const (
	minEjection = 250 * time.Millisecond
	maxEjection = 4 * time.Second
)

// Load is what the node beside an endpoint reports of it.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// MeanServiceTime is the mean time that a request holds a slot, Route the mean time
	// until the answer to a request of the route that was asked; 0 if unknown.
	MeanServiceTime  time.Duration
	MeanRouteLatency time.Duration
}

// Stats are this node's observations of one endpoint. They outlive tables and
// are safe for concurrent use.
type Stats struct {
	mu           sync.Mutex
	outstanding  int
	others       float64
	reportedAt   time.Time
	service      sample
	routes       map[string]sample
	failures     float64
	failuresAt   time.Time
	ejections    int
	ejectedUntil time.Time
	unreachable  bool
	lastSeen     time.Time
}

// sample is a duration with the time at which it was learned.
type sample struct {
	value time.Duration
	at    time.Time
}

// weight is 1 for a fresh sample and 0 for one that is unknown or too old.
func (s sample) weight(now time.Time) float64 {
	age := now.Sub(s.at)
	switch {
	case s.value <= 0 || age >= speedLifetime:
		return 0
	case age <= speedFresh:
		return 1
	}
	return 1 - float64(age-speedFresh)/float64(speedLifetime-speedFresh)
}

// BeginAttempt counts a request as outstanding.
func (s *Stats) BeginAttempt() {
	s.mu.Lock()
	s.outstanding++
	s.mu.Unlock()
}

// EndAttempt takes back what Begin counted.
func (s *Stats) EndAttempt() {
	s.mu.Lock()
	s.outstanding--
	s.mu.Unlock()
}

// RecordLoad takes in a load that the endpoint's node sent with the answer to a
// request of a route. It must be called before End.
func (s *Stats) RecordLoad(now time.Time, route string, load Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others = math.Max(float64(load.Running+load.Waiting-s.outstanding), 0)
	s.reportedAt = now
	if load.MeanServiceTime > 0 {
		s.service = sample{load.MeanServiceTime, now}
	}
	if load.MeanRouteLatency > 0 {
		if s.routes == nil {
			s.routes = make(map[string]sample)
		}
		s.routes[route] = sample{load.MeanRouteLatency, now}
	}
	s.ejections = 0
	s.ejectedUntil = time.Time{}
	s.unreachable = false
}

// RecordOutcome takes in whether the endpoint answered a request properly.
func (s *Stats) RecordOutcome(now time.Time, good bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = s.failureShare(now)
	s.failuresAt = now
	if good {
		s.failures -= failureWeight * s.failures
		return
	}
	s.failures += failureWeight * (1 - s.failures)
}

// Eject keeps requests away for a time that doubles with each call until the
// next Report.
func (s *Stats) Eject(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	span := min(minEjection<<min(s.ejections, 8), maxEjection)
	s.ejections++
	s.ejectedUntil = now.Add(span)
}

// MarkUnreachable keeps requests away until Found or Report. It reports false if they were kept
// away already.
//
// The load pattern it answers: machines that are gone for good while their entries stay
// in the store. With Eject alone, each node lost requests on each of them again and
// again, one round of connecting for each.
func (s *Stats) MarkUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.unreachable
	s.unreachable = true
	return !lost
}

// MarkReachable ends what Lose began.
func (s *Stats) MarkReachable() {
	s.mu.Lock()
	s.unreachable = false
	s.mu.Unlock()
}

func (s *Stats) failureShare(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * math.Exp2(-float64(now.Sub(s.failuresAt))/float64(failureHalving))
}

// view is a consistent copy of what counts for a choice. The weights say how far
// the times can be believed.
type view struct {
	load          float64
	service       time.Duration
	serviceWeight float64
	route         time.Duration
	routeWeight   float64
	failures      float64
	ejected       bool
}

func (s *Stats) view(now time.Time, route string) view {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.routes[route]
	v := view{
		load: float64(s.outstanding), service: s.service.value, serviceWeight: s.service.weight(now),
		route: r.value, routeWeight: r.weight(now),
		failures: s.failureShare(now), ejected: s.unreachable || now.Before(s.ejectedUntil),
	}
	if age := now.Sub(s.reportedAt); s.others > 0 && age < loadLifetime {
		v.load += s.others * (1 - float64(age)/float64(loadLifetime))
	}
	return v
}
