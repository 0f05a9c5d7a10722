package move

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/observation"
)

// counterKey identifies the counters of one version on one route.
type counterKey struct {
	service, route, department, version string
}

// callCounters counts calls since the process started. A node serves a few hundred
// calls a second, for which plain atomics are cheap enough.
type callCounters struct {
	good, failed, slow, rejected, crashed atomic.Uint64
	busyMicros                            atomic.Uint64
}

func (c *callCounters) count(o Outcome, crash bool, busy time.Duration) {
	c.busyMicros.Add(uint64(max(busy, 0).Microseconds()))
	switch {
	case crash:
		c.crashed.Add(1)
	case o == OutcomeGood:
		c.good.Add(1)
	case o == OutcomeFailed:
		c.failed.Add(1)
	case o == OutcomeSlow:
		c.slow.Add(1)
	case o == OutcomeRefused:
		c.rejected.Add(1)
	}
}

func (c *callCounters) load() Counts {
	return Counts{
		Good: c.good.Load(), Failed: c.failed.Load(), Slow: c.slow.Load(),
		Refused: c.rejected.Load(), CrashedCalls: c.crashed.Load(), BusyMillis: c.busyMicros.Load() / 1000,
	}
}

// versionKey identifies a version of a service.
type versionKey struct{ service, version string }

// reporter counts the calls of the node's local targets per period.
type reporter struct {
	classifiers atomic.Pointer[classifierSet]
	// warming holds the versions whose local target is still warming up. Their slow
	// calls are ignored.
	warming atomic.Pointer[map[versionKey]bool]
	// counters is copied on write, so that counting takes no lock.
	counters atomic.Pointer[map[counterKey]*callCounters]

	mu               sync.Mutex
	lastTotals       map[counterKey]Counts
	samples          map[string][]Sample // by service, oldest first
	lastClosedPeriod int64
}

func newReporter() *reporter {
	r := &reporter{lastTotals: map[counterKey]Counts{}, samples: map[string][]Sample{}}
	r.classifiers.Store(compileClassifiers(nil))
	r.warming.Store(&map[versionKey]bool{})
	r.counters.Store(&map[counterKey]*callCounters{})
	return r
}

func (r *reporter) observe(call observation.Call) {
	if call.Reporter != observation.ReporterTargetNode || call.Version == "" {
		return
	}
	classifier := r.classifiers.Load().byDepartment[call.Department]
	if classifier == nil {
		return
	}
	outcome := classifier.Classify(call)
	if outcome == OutcomeIgnored || outcome == OutcomeSlow && (*r.warming.Load())[versionKey{call.Service, call.Version}] {
		return
	}
	key := counterKey{call.Service, call.Route, call.Department, call.Version}
	counters := (*r.counters.Load())[key]
	if counters == nil {
		counters = r.addCounters(key)
	}
	counters.count(outcome, call.TargetCrashed, call.Latency)
}

func (r *reporter) addCounters(key counterKey) *callCounters {
	r.mu.Lock()
	defer r.mu.Unlock()
	updated := maps.Clone(*r.counters.Load())
	if known := updated[key]; known != nil {
		return known
	}
	updated[key] = &callCounters{}
	r.counters.Store(&updated)
	return updated[key]
}

func (r *reporter) applySnapshot(snapshot *dynamic.Snapshot) {
	if r.classifiers.Load().snapshot == snapshot {
		return
	}
	r.classifiers.Store(compileClassifiers(snapshot))
	r.mu.Lock()
	defer r.mu.Unlock()
	updated := maps.Clone(*r.counters.Load())
	maps.DeleteFunc(updated, func(key counterKey, _ *callCounters) bool { return !isConfigured(snapshot, key) })
	maps.DeleteFunc(r.lastTotals, func(key counterKey, _ Counts) bool { return updated[key] == nil })
	r.counters.Store(&updated)
}

// isConfigured reports whether the configuration still contains the version of key.
func isConfigured(snapshot *dynamic.Snapshot, key counterKey) bool {
	service := snapshot.Service(key.service)
	return service != nil && (service.Version == key.version || service.Move != nil && service.Move.ToVersion == key.version)
}

// closePeriod closes the period before now. It makes one sample per key of the calls
// since the last close and retains samples of the last retainedPeriods for a new
// decider.
func (r *reporter) closePeriod(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	period := periodOf(now) - 1
	if period <= r.lastClosedPeriod {
		return
	}
	r.lastClosedPeriod = period
	for key, counters := range *r.counters.Load() {
		total := counters.load()
		delta := total.minus(r.lastTotals[key])
		if delta == (Counts{}) {
			continue
		}
		r.lastTotals[key] = total
		if delta.CrashedCalls > 0 {
			delta.CrashPeriods = 1
		}
		r.samples[key.service] = append(r.samples[key.service], Sample{
			PeriodIndex: period, Route: key.route, Department: key.department, Version: key.version, Counts: delta,
		})
	}
	for service, samples := range r.samples {
		samples = slices.DeleteFunc(samples, func(s Sample) bool { return s.PeriodIndex <= period-retainedPeriods })
		slices.SortStableFunc(samples, func(a, b Sample) int {
			return cmp.Or(cmp.Compare(a.PeriodIndex, b.PeriodIndex), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Version, b.Version))
		})
		r.samples[service] = samples
	}
}

// samplesAfter returns a service's samples of closed periods after period, and the
// last closed period.
func (r *reporter) samplesAfter(service string, period int64) (samples []Sample, lastPeriod int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, sample := range r.samples[service] {
		if sample.PeriodIndex > period {
			samples = append(samples, sample)
		}
	}
	return samples, r.lastClosedPeriod
}
