package routing

import (
	"sync/atomic"
	"time"
)

// Bounds of the ejection of a failing target. It doubles with each failure in
// a row, and is short because a target that recovered must get calls again.
const (
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
)

// maxStatusFailures is the number of 5xx answers in a row that eject a target.
// A single one says more about the request than about the target.
const maxStatusFailures = 5

// loadLifetime is the time over which a reported load loses its weight.
const loadLifetime = time.Second

// Load is the load of a target as its node's admission counts it.
type Load struct {
	InFlight int `cbor:"1,keyasint"`
	Queued   int `cbor:"2,keyasint"`
	Slots    int `cbor:"3,keyasint"`
}

// AttemptResult is what one try told about its endpoint.
type AttemptResult struct {
	// Load is nil if no load was reported.
	Load *Load
	// Unreachable is set if the node or the target could not be reached, crashed or
	// cut its answer.
	Unreachable bool
	// ServerError is set if the target answered with a 5xx status.
	ServerError bool
	// TimeToResponseStart is the time to the start of the target's answer; 0 if it gave none.
	TimeToResponseStart time.Duration
	// Inconclusive is set if the try ended before it could show anything.
	Inconclusive bool
}

// EndpointStats are the own observations of one endpoint. They outlive routing tables.
type EndpointStats struct {
	outstanding  atomic.Int64
	others       atomic.Int64
	reportedAt   atomic.Int64
	ejectedUntil atomic.Int64
	failures     atomic.Int64
	statuses     atomic.Int64
	// latency is a running mean in nanoseconds, 0 if unknown, and learnedAt the
	// Unix time in nanoseconds of its last sample.
	latency   atomic.Int64
	learnedAt atomic.Int64
	lastSeen  time.Time
}

// BeginAttempt counts a try as outstanding.
func (s *EndpointStats) BeginAttempt() { s.outstanding.Add(1) }

// EndAttempt ends a try that Begin counted.
func (s *EndpointStats) EndAttempt(now time.Time, outcome AttemptResult) {
	own := s.outstanding.Add(-1)
	if outcome.Load != nil {
		reported := int64(outcome.Load.InFlight + outcome.Load.Queued)
		s.others.Store(max(0, reported-own))
		s.reportedAt.Store(now.UnixNano())
	}
	switch {
	case outcome.Inconclusive:
	case outcome.Unreachable:
		s.eject(now, s.failures.Add(1))
	case outcome.ServerError:
		if count := s.statuses.Add(1); count >= maxStatusFailures {
			s.eject(now, count-maxStatusFailures+1)
		}
	default:
		s.clearFailures()
		s.learn(now, outcome.TimeToResponseStart)
	}
}

// latencyWeight is the inverse of the least weight of a new latency in the
// running mean.
const latencyWeight = 8.0

// latencyLifetime is the time over which a mean latency loses its weight. Without
// it, an endpoint whose first calls were slow loses each comparison, gets no
// further calls and never corrects its mean.
const latencyLifetime = time.Second

// learn takes in the latency of a good answer; errors may be fast and would make
// their target look attractive. A lost update of a race does no harm.
func (s *EndpointStats) learn(now time.Time, latency time.Duration) {
	if latency <= 0 {
		return
	}
	old := s.latencyWeightAt(now.UnixNano())
	s.learnedAt.Store(now.UnixNano())
	// An old mean counts for less, so that an endpoint which is tried only from time
	// to time is soon known again.
	weight := max(1/latencyWeight, 1-old)
	mean := float64(s.latency.Load())
	s.latency.Store(int64(mean + weight*(float64(latency)-mean)))
}

// latencyWeightAt returns the weight of the mean latency at now, from 1 for a
// fresh one to 0 for one that is unknown or as old as latencyLifetime.
func (s *EndpointStats) latencyWeightAt(now int64) float64 {
	if s.latency.Load() <= 0 {
		return 0
	}
	age := float64(max(now-s.learnedAt.Load(), 0)) / float64(latencyLifetime)
	return max(1-age, 0)
}

// clearFailures avoids a write to a shared cache line in the common case.
func (s *EndpointStats) clearFailures() {
	if s.failures.Load() != 0 {
		s.failures.Store(0)
	}
	if s.statuses.Load() != 0 {
		s.statuses.Store(0)
	}
}

func (s *EndpointStats) eject(now time.Time, failures int64) {
	span := min(maxEjection, minEjection<<min(failures-1, 8))
	s.ejectedUntil.Store(now.Add(span).UnixNano())
}

func (s *EndpointStats) ejected(now int64) bool { return s.ejectedUntil.Load() > now }

// load returns the own outstanding calls plus those of other entry nodes; the
// latter fade out with the age of the report.
func (s *EndpointStats) load(now int64) float64 {
	load := float64(s.outstanding.Load())
	if others := s.others.Load(); others > 0 {
		if age := now - s.reportedAt.Load(); age < int64(loadLifetime) {
			load += float64(others) * (1 - float64(max(age, 0))/float64(loadLifetime))
		}
	}
	return load
}
