// Package rollout controls the traffic share of a new target version and decides
// whether its rollout is completed or rolled back.
package rollout

import "time"

// Windows of the latest results of a new version, and the number of failed or slow
// ones in a window at which the version fails its analysis. Bad versions fail a third
// of their requests or more. Good ones fail less than 1 in 100.
const (
	failureWindow = 16
	failureLimit  = 4
	// Once the new version gets all requests, faults and load of single endpoints slow down
	// some of its results as well.
	shiftedSlowWindow = 20
	shiftedSlowLimit  = 12
)

// slowFactor and minSlowExcess are lower bounds of the slow threshold: a multiple of
// the baseline, and an excess over it.
const (
	slowFactor    = 4
	minSlowExcess = 20 * time.Millisecond
	// maxTimeoutFraction is the part of a request's time after which its response counts
	// as slow in any case: its caller cannot wait much longer, so that a slower response
	// is never seen. minSlowFactor is the least multiple of the baseline.
	maxTimeoutFraction = 0.7
	minSlowFactor      = 2
)

// SlowThreshold returns the latency above which a result of a new version counts as
// slow. baseline is the old version's latency on the same route, timeout the time that
// the request has; 0 means that it has no deadline.
func SlowThreshold(baseline, timeout time.Duration) time.Duration {
	threshold := max(slowFactor*baseline, baseline+minSlowExcess)
	if timeout <= 0 {
		return threshold
	}
	latest := max(time.Duration(maxTimeoutFraction*float64(timeout)), minSlowFactor*baseline)
	return min(threshold, latest)
}

// Result is the result of one request to an endpoint of the new version.
type Result struct {
	Route string
	// Failed is set for a failure caused by the endpoint itself.
	Failed bool
	// Latency is the time at the endpoint, Baseline the old version's mean latency on
	// this route; either is 0 if unknown or not comparable.
	Latency  time.Duration
	Baseline time.Duration
	// Timeout is the time that the request had; 0 if it had no deadline.
	Timeout time.Duration
	// Unfinished is set if the caller canceled the request after Latency without a
	// response: its deadline had passed, or another endpoint had responded.
	Unfinished bool
	// Shifted is set if the version got all requests of its service by then.
	Shifted bool
}

// slow reports whether the latency, even of an unfinished request, exceeds the slow
// threshold.
func (r Result) slow() bool {
	return r.Latency > 0 && r.Baseline > 0 && r.Latency > SlowThreshold(r.Baseline, r.Timeout)
}

// fast reports whether the latency is about that of the old version. What lies between fast
// and slow is as usual for a good version on a slow host as for a bad one, and shows nothing.
func (r Result) fast() bool {
	return !r.slow() && r.Latency <= max(minSlowFactor*r.Baseline, r.Baseline+minSlowExcess/2)
}

// Analyzer counts the results of one version by route, so that a version that fails on
// a single route is detected as well.
type Analyzer struct {
	routes      map[string]*routeResults
	resultCount int
	// unknownCount is the number of unfinished requests that may have been good or bad.
	unknownCount int
	// comparedCount counts the results with a comparable latency, slowCount and fastCount
	// those that show something.
	comparedCount int
	slowCount     int
	fastCount     int
	// evidence is that of all routes together: a service with few requests may get too few
	// on each single route.
	evidence evidence
}

type routeResults struct {
	failures    window
	shiftedSlow window
	evidence    evidence
}

// Summary counts the results of an analysis, for decisions and logs.
type Summary struct {
	// Results is the number of results by which the others, whose requests ended without
	// showing whether the version is good, are outnumbered.
	Results int
	// Compared is the number of results whose latency could be compared with the old
	// version's; Slow and Fast are those of the slow and of the fast ones among them.
	Compared int
	Slow     int
	Fast     int
	// Support is the evidence that the version is not slow, Suspicion the strongest recent
	// evidence that it is, on one route or all. Both are natural logarithms of likelihood ratios.
	Support   float64
	Suspicion float64
}

// Add returns the sum of two summaries.
func (s Summary) Add(other Summary) Summary {
	return Summary{
		Results: s.Results + other.Results, Compared: s.Compared + other.Compared,
		Slow: s.Slow + other.Slow, Fast: s.Fast + other.Fast,
		Support: s.Support + other.Support, Suspicion: max(s.Suspicion, other.Suspicion),
	}
}

// window holds the latest outcomes as bits, with the newest in the lowest bit.
type window struct{ bits uint32 }

// add appends an outcome and returns the number of hits among the latest size outcomes.
func (w *window) add(hit bool, size int) int {
	w.bits = w.bits<<1 | boolToBit(hit)
	w.bits &= 1<<size - 1
	count := 0
	for bits := w.bits; bits != 0; bits &= bits - 1 {
		count++
	}
	return count
}

func boolToBit(b bool) uint32 {
	if b {
		return 1
	}
	return 0
}

// NewAnalyzer returns an analyzer without results.
func NewAnalyzer() *Analyzer { return &Analyzer{routes: make(map[string]*routeResults)} }

// Summary returns the counts of the results so far.
func (a *Analyzer) Summary() Summary {
	suspicion := a.evidence.recent
	for _, route := range a.routes {
		suspicion = max(suspicion, route.evidence.recent)
	}
	return Summary{
		Results: max(a.resultCount-a.unknownCount, 0), Compared: a.comparedCount, Slow: a.slowCount, Fast: a.fastCount,
		Support: -a.evidence.total, Suspicion: suspicion,
	}
}

// Add applies a result and reports whether the version has failed its analysis. An
// unfinished request counts if it was slow already: callers cancel slow requests first,
// and without these a slow version would show only its fast results.
func (a *Analyzer) Add(result Result) (failed bool) {
	if result.Unfinished && !result.slow() {
		a.unknownCount++
		return false
	}
	a.resultCount++
	route := a.routes[result.Route]
	if route == nil {
		route = &routeResults{}
		a.routes[result.Route] = route
	}
	if !result.Unfinished && route.failures.add(result.Failed, failureWindow) >= failureLimit {
		return true
	}
	if result.Latency <= 0 || result.Baseline <= 0 || result.Failed {
		return false
	}
	a.comparedCount++
	slow, fast := result.slow(), result.fast()
	switch {
	case slow:
		a.slowCount++
	case fast:
		a.fastCount++
	}
	if result.Shifted {
		return route.shiftedSlow.add(slow, shiftedSlowWindow) >= shiftedSlowLimit
	}
	if slow || fast {
		a.evidence.add(slow)
		route.evidence.add(slow)
	}
	return max(a.evidence.recent, route.evidence.recent) >= failEvidence
}
