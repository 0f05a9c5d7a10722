// Package rollout decides how much traffic a new version of a service gets, and
// when it is completed or rolled back.
package rollout

import "time"

// Windows of the most recent answers of a new version, and the number of bad
// ones in them that shows a bad version. Bad versions fail a third of their
// requests or more; sound ones fail less than one in a hundred, and with a slow
// host about one in twenty takes more than slowFactor times the usual time.
const (
	failureWindow = 16
	failureCount  = 4
	slowWindow    = 20
	slowCount     = 6
	// shiftedSlowCount is used once the new version gets all requests: faults and
	// load of single endpoints then slow down some of its answers as well.
	shiftedSlowCount = 12
)

// slowFactor and slowLeast bound from below the time that counts as slow, as a
// multiple of the old version's and as a surplus over it.
const (
	slowFactor = 4
	slowLeast  = 20 * time.Millisecond
)

// SlowThreshold returns the time above which an answer of a new version counts as
// slow, if the old version takes reference on the same route.
func SlowThreshold(reference time.Duration) time.Duration {
	return max(slowFactor*reference, reference+slowLeast)
}

// Result is one answer of an endpoint of the new version.
type Result struct {
	Route string
	// Failed is set for a failure of the endpoint's own.
	Failed bool
	// Latency is the time at the endpoint, Reference the mean time of the old
	// version on this route; either is 0 if unknown or not comparable.
	Latency  time.Duration
	Baseline time.Duration
	// Unfinished is set if the caller left after Took, before there was an answer:
	// its deadline had passed, or another endpoint had answered.
	Unfinished bool
	// Shifted is set if the version got all requests of its service by then.
	Shifted bool
}

// slow reports whether the answer took, or had already taken, longer than the
// old version's do.
func (a Result) slow() bool {
	return a.Latency > 0 && a.Baseline > 0 && a.Latency > SlowThreshold(a.Baseline)
}

// Analyzer counts the answers of one version, by route, so that a version that is
// bad on one route only is found as well.
type Analyzer struct {
	routes map[string]*record
	calls  int
}

type record struct {
	failures window
	slow     window
}

// window holds the most recent outcomes as bits, newest lowest.
type window struct{ bits uint32 }

func (w *window) add(bad bool, size int) int {
	w.bits = w.bits<<1 | b2u(bad)
	w.bits &= 1<<size - 1
	count := 0
	for bits := w.bits; bits != 0; bits &= bits - 1 {
		count++
	}
	return count
}

func b2u(b bool) uint32 {
	if b {
		return 1
	}
	return 0
}

// NewAnalyzer returns a judge without answers.
func NewAnalyzer() *Analyzer { return &Analyzer{routes: make(map[string]*record)} }

// ResultCount returns the number of answers.
func (j *Analyzer) ResultCount() int { return j.calls }

// Add takes in an answer and reports whether the version has shown to be bad.
// Callers leave slow answers first: without those that they did not wait for, a
// slow version would show only its quick answers.
func (j *Analyzer) Add(a Result) (bad bool) {
	if a.Unfinished && !a.slow() {
		return false
	}
	j.calls++
	r := j.routes[a.Route]
	if r == nil {
		r = &record{}
		j.routes[a.Route] = r
	}
	if !a.Unfinished && r.failures.add(a.Failed, failureWindow) >= failureCount {
		return true
	}
	if a.Latency <= 0 || a.Baseline <= 0 || a.Failed {
		return false
	}
	needed := slowCount
	if a.Shifted {
		needed = shiftedSlowCount
	}
	return r.slow.add(a.slow(), slowWindow) >= needed
}
