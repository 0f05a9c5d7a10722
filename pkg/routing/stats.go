package routing

import (
	"sync/atomic"
	"time"
)

// Bounds of the time for which a failing target is ejected. It doubles with each
// consecutive failure and stays short, so that a recovered target soon receives
// calls again.
const (
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
)

// serverErrorThreshold is the number of consecutive 5xx responses that eject a
// target. A single one says more about the request than about the target.
const serverErrorThreshold = 5

// loadLifetime is the time over which the weight of a reported load falls to 0.
const loadLifetime = time.Second

// Load is the load of a target as counted by the admission queue of its node.
type Load struct {
	InFlight int `cbor:"1,keyasint"`
	Queued   int `cbor:"2,keyasint"`
	Slots    int `cbor:"3,keyasint"`
}

// AttemptResult is what one attempt shows about the state of its endpoint.
type AttemptResult struct {
	// Load is nil if no load was reported.
	Load *Load
	// Unreachable is set if the node or the target could not be reached, crashed or
	// truncated its response.
	Unreachable bool
	// ServerError is set if the target responded with a 5xx status.
	ServerError bool
	// TimeToResponseStart is the time to the start of the target's response; 0 if there was none.
	TimeToResponseStart time.Duration
	// Inconclusive is set if the attempt ended before it showed anything about the endpoint.
	Inconclusive bool
}

// EndpointStats holds what this node has measured of one endpoint. It outlives
// routing tables.
type EndpointStats struct {
	outstanding    atomic.Int64
	otherNodesLoad atomic.Int64
	// reportedAt and ejectedUntil are Unix times in nanoseconds.
	reportedAt              atomic.Int64
	ejectedUntil            atomic.Int64
	consecutiveFailures     atomic.Int64
	consecutiveServerErrors atomic.Int64
	// meanLatency is a moving average (EWMA) in nanoseconds, 0 if unknown, and
	// latencyUpdatedAt the Unix time in nanoseconds of its last sample.
	meanLatency      atomic.Int64
	latencyUpdatedAt atomic.Int64
	lastSeen         time.Time
}

// BeginAttempt counts an attempt as outstanding.
func (s *EndpointStats) BeginAttempt() { s.outstanding.Add(1) }

// EndAttempt ends an attempt that BeginAttempt counted, and records its result.
func (s *EndpointStats) EndAttempt(now time.Time, result AttemptResult) {
	ownOutstanding := s.outstanding.Add(-1)
	if result.Load != nil {
		reported := int64(result.Load.InFlight + result.Load.Queued)
		s.otherNodesLoad.Store(max(0, reported-ownOutstanding))
		s.reportedAt.Store(now.UnixNano())
	}
	switch {
	case result.Inconclusive:
	case result.Unreachable:
		s.eject(now, s.consecutiveFailures.Add(1))
	case result.ServerError:
		if count := s.consecutiveServerErrors.Add(1); count >= serverErrorThreshold {
			s.eject(now, count-serverErrorThreshold+1)
		}
	default:
		s.resetFailures()
		s.updateLatency(now, result.TimeToResponseStart)
	}
}

// latencyEWMADivisor is the inverse of the minimum weight of a new sample in the
// mean latency.
const latencyEWMADivisor = 8.0

// latencyLifetime is the time over which the weight of a mean latency falls to 0.
// Without it, an endpoint whose first calls were slow would lose each comparison,
// receive no further calls and never correct its mean.
const latencyLifetime = time.Second

// updateLatency updates the moving average with the latency of a successful
// response. Errors are left out: they may be fast and would make a failing target
// look preferable. An update that is lost to a race does no harm.
func (s *EndpointStats) updateLatency(now time.Time, latency time.Duration) {
	if latency <= 0 {
		return
	}
	meanWeight := s.latencyWeightAt(now.UnixNano())
	s.latencyUpdatedAt.Store(now.UnixNano())
	// An older mean has less weight, so that the mean of a rarely used endpoint
	// soon follows its new samples.
	sampleWeight := max(1/latencyEWMADivisor, 1-meanWeight)
	mean := float64(s.meanLatency.Load())
	s.meanLatency.Store(int64(mean + sampleWeight*(float64(latency)-mean)))
}

// latencyWeightAt returns the weight of the mean latency at nowUnixNano: from 1
// for one that was just updated to 0 for one that is unknown or older than
// latencyLifetime.
func (s *EndpointStats) latencyWeightAt(nowUnixNano int64) float64 {
	if s.meanLatency.Load() <= 0 {
		return 0
	}
	age := float64(max(nowUnixNano-s.latencyUpdatedAt.Load(), 0)) / float64(latencyLifetime)
	return max(1-age, 0)
}

// resetFailures writes only if there were failures, to avoid a write to a shared
// cache line in the common case.
func (s *EndpointStats) resetFailures() {
	if s.consecutiveFailures.Load() != 0 {
		s.consecutiveFailures.Store(0)
	}
	if s.consecutiveServerErrors.Load() != 0 {
		s.consecutiveServerErrors.Store(0)
	}
}

func (s *EndpointStats) eject(now time.Time, failures int64) {
	duration := min(maxEjection, minEjection<<min(failures-1, 8))
	s.ejectedUntil.Store(now.Add(duration).UnixNano())
}

func (s *EndpointStats) isEjected(nowUnixNano int64) bool { return s.ejectedUntil.Load() > nowUnixNano }

// load returns this node's outstanding attempts plus the load from other entry
// nodes, whose weight falls with the age of the report.
func (s *EndpointStats) load(nowUnixNano int64) float64 {
	load := float64(s.outstanding.Load())
	if others := s.otherNodesLoad.Load(); others > 0 {
		if age := nowUnixNano - s.reportedAt.Load(); age < int64(loadLifetime) {
			load += float64(others) * (1 - float64(max(age, 0))/float64(loadLifetime))
		}
	}
	return load
}
