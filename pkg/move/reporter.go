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

// cellKey names the counters of one version on one route.
type cellKey struct {
	service, route, department, version string
}

// cell counts calls since the process began. A node serves a few hundred calls
// a second, so that plain atomics are cheap enough.
type cell struct {
	good, failed, slow, refused, crashed atomic.Uint64
	busyMicros                           atomic.Uint64
}

func (c *cell) count(o Outcome, crash bool, busy time.Duration) {
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
		c.refused.Add(1)
	}
}

func (c *cell) load() Counts {
	return Counts{
		Good: c.good.Load(), Failed: c.failed.Load(), Slow: c.slow.Load(),
		Refused: c.refused.Load(), CrashedCalls: c.crashed.Load(), BusyMillis: c.busyMicros.Load() / 1000,
	}
}

// versionKey names a version of a service.
type versionKey struct{ service, version string }

// reporter counts the calls of the target beside this node in periods.
type reporter struct {
	classifiers atomic.Pointer[classifiers]
	// warming holds the versions whose target here still warms up; slowness says
	// nothing about them yet.
	warming atomic.Pointer[map[versionKey]bool]
	// cells is replaced by a changed copy, so that counting takes no lock.
	cells atomic.Pointer[map[cellKey]*cell]

	mu      sync.Mutex
	last    map[cellKey]Counts
	lines   map[string][]Sample // by service, oldest first
	through int64
}

func newReporter() *reporter {
	r := &reporter{last: map[cellKey]Counts{}, lines: map[string][]Sample{}}
	r.classifiers.Store(compileClassifiers(nil))
	r.warming.Store(&map[versionKey]bool{})
	r.cells.Store(&map[cellKey]*cell{})
	return r
}

func (r *reporter) observe(call observation.Call) {
	if call.Reporter != observation.ReporterTargetNode || call.Version == "" {
		return
	}
	classifier := r.classifiers.Load().by[call.Department]
	if classifier == nil {
		return
	}
	outcome := classifier.Classify(call)
	if outcome == OutcomeIgnored || outcome == OutcomeSlow && (*r.warming.Load())[versionKey{call.Service, call.Version}] {
		return
	}
	key := cellKey{call.Service, call.Route, call.Department, call.Version}
	counters := (*r.cells.Load())[key]
	if counters == nil {
		counters = r.addCell(key)
	}
	counters.count(outcome, call.TargetCrashed, call.Latency)
}

func (r *reporter) addCell(key cellKey) *cell {
	r.mu.Lock()
	defer r.mu.Unlock()
	cells := maps.Clone(*r.cells.Load())
	if known := cells[key]; known != nil {
		return known
	}
	cells[key] = &cell{}
	r.cells.Store(&cells)
	return cells[key]
}

func (r *reporter) use(snapshot *dynamic.Snapshot) {
	if r.classifiers.Load().snapshot == snapshot {
		return
	}
	r.classifiers.Store(compileClassifiers(snapshot))
	r.mu.Lock()
	defer r.mu.Unlock()
	cells := maps.Clone(*r.cells.Load())
	maps.DeleteFunc(cells, func(key cellKey, _ *cell) bool { return !inUse(snapshot, key) })
	maps.DeleteFunc(r.last, func(key cellKey, _ Counts) bool { return cells[key] == nil })
	r.cells.Store(&cells)
}

// inUse reports whether the configuration still names the version of key.
func inUse(snapshot *dynamic.Snapshot, key cellKey) bool {
	service := snapshot.Service(key.service)
	return service != nil && (service.Version == key.version || service.Move != nil && service.Move.ToVersion == key.version)
}

// close ends the period before now: what was counted since the last close is
// one line per key. Lines of the last ringPeriods are kept for a new decider.
func (r *reporter) close(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	period := periodOf(now) - 1
	if period <= r.through {
		return
	}
	r.through = period
	for key, counters := range *r.cells.Load() {
		total := counters.load()
		delta := total.minus(r.last[key])
		if delta == (Counts{}) {
			continue
		}
		r.last[key] = total
		if delta.CrashedCalls > 0 {
			delta.CrashPeriods = 1
		}
		r.lines[key.service] = append(r.lines[key.service], Sample{
			PeriodIndex: period, Route: key.route, Department: key.department, Version: key.version, Counts: delta,
		})
	}
	for service, lines := range r.lines {
		lines = slices.DeleteFunc(lines, func(l Sample) bool { return l.PeriodIndex <= period-ringPeriods })
		slices.SortStableFunc(lines, func(a, b Sample) int {
			return cmp.Or(cmp.Compare(a.PeriodIndex, b.PeriodIndex), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Version, b.Version))
		})
		r.lines[service] = lines
	}
}

// since returns the closed lines of a service after period.
func (r *reporter) since(service string, period int64) (lines []Sample, through int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, line := range r.lines[service] {
		if line.PeriodIndex > period {
			lines = append(lines, line)
		}
	}
	return lines, r.through
}
