package move

import (
	"cmp"
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
}

func (c *cell) count(o Outcome, crash bool) {
	switch {
	case crash:
		c.crashed.Add(1)
	case o == Good:
		c.good.Add(1)
	case o == Failed:
		c.failed.Add(1)
	case o == Slow:
		c.slow.Add(1)
	case o == Refused:
		c.refused.Add(1)
	}
}

func (c *cell) load() Counts {
	return Counts{
		Good: c.good.Load(), Failed: c.failed.Load(), Slow: c.slow.Load(),
		Refused: c.refused.Load(), Crashed: c.crashed.Load(),
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
	cells   sync.Map // cellKey to *cell

	mu      sync.Mutex
	last    map[cellKey]Counts
	lines   map[string][]Line // by service, oldest first
	through int64
}

func newReporter() *reporter {
	r := &reporter{last: map[cellKey]Counts{}, lines: map[string][]Line{}}
	r.classifiers.Store(compileClassifiers(nil))
	r.warming.Store(&map[versionKey]bool{})
	return r
}

func (r *reporter) observe(call observation.Call) {
	if call.Side != observation.Target || call.Version == "" {
		return
	}
	classifier := r.classifiers.Load().by[call.Department]
	if classifier == nil {
		return
	}
	outcome := classifier.Judge(call)
	if outcome == Ignored || outcome == Slow && (*r.warming.Load())[versionKey{call.Service, call.Version}] {
		return
	}
	key := cellKey{call.Service, call.Route, call.Department, call.Version}
	value, ok := r.cells.Load(key)
	if !ok {
		value, _ = r.cells.LoadOrStore(key, &cell{})
	}
	value.(*cell).count(outcome, call.TargetCrashed)
}

func (r *reporter) use(snapshot *dynamic.Snapshot) {
	if r.classifiers.Load().snapshot != snapshot {
		r.classifiers.Store(compileClassifiers(snapshot))
	}
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
	r.cells.Range(func(k, v any) bool {
		key := k.(cellKey)
		total := v.(*cell).load()
		delta := total.minus(r.last[key])
		if delta == (Counts{}) {
			return true
		}
		r.last[key] = total
		if delta.Crashed > 0 {
			delta.Crashes = 1
		}
		r.lines[key.service] = append(r.lines[key.service], Line{
			Period: period, Route: key.route, Department: key.department, Version: key.version, Counts: delta,
		})
		return true
	})
	for service, lines := range r.lines {
		lines = slices.DeleteFunc(lines, func(l Line) bool { return l.Period <= period-ringPeriods })
		slices.SortStableFunc(lines, func(a, b Line) int {
			return cmp.Or(cmp.Compare(a.Period, b.Period), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Version, b.Version))
		})
		r.lines[service] = lines
	}
}

// since returns the closed lines of a service after period.
func (r *reporter) since(service string, period int64) (lines []Line, through int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, line := range r.lines[service] {
		if line.Period > period {
			lines = append(lines, line)
		}
	}
	return lines, r.through
}
