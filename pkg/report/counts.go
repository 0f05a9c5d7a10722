// Package report counts calls by each department's own definition of success
// and shows whether its promises held.
package report

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/move"
	"github.com/azurespring/azurespring/pkg/observation"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// SlotDuration is the span that counters are kept for. Periods of departments are
// reported in whole slots.
const SlotDuration = 10 * time.Minute

// ObjectDuration is the time that one KindReportPeriod object holds. At 272 entry nodes in a
// failure domain, 10 departments and 6 slots it stays below the platform's 1 MB.
const ObjectDuration = time.Hour

// Counts are calls by outcome.
type Counts struct {
	Good uint64 `cbor:"1,keyasint,omitempty" json:"good"`
	Bad  uint64 `cbor:"2,keyasint,omitempty" json:"bad"`
	// Refused calls were not run because the system could not serve them. They
	// count against the promise.
	Refused uint64 `cbor:"3,keyasint,omitempty" json:"refused"`
	// Limited calls were not run because of what the caller sent or may use. They
	// do not count.
	Limited uint64 `cbor:"4,keyasint,omitempty" json:"limited"`
}

// Total is the number of calls of all outcomes.
func (c Counts) Total() uint64 { return c.Good + c.Bad + c.Refused + c.Limited }

func (c Counts) plus(d Counts) Counts {
	return Counts{c.Good + d.Good, c.Bad + d.Bad, c.Refused + d.Refused, c.Limited + d.Limited}
}

func (c Counts) max(d Counts) Counts {
	return Counts{max(c.Good, d.Good), max(c.Bad, d.Bad), max(c.Refused, d.Refused), max(c.Limited, d.Limited)}
}

// SlotCounter is the calls of a department in one slot that one reporter has counted
// since the slot began. It only grows, so that the greater of two copies is the
// newer one.
type SlotCounter struct {
	// SlotStart is the begin of the slot in seconds since the Unix epoch.
	SlotStart  int64  `cbor:"1,keyasint"`
	Department string `cbor:"2,keyasint"`
	Counts     Counts `cbor:"3,keyasint"`
}

// limited are the codes of refusals that the caller brings about.
var limited = map[verdict.Code]bool{
	verdict.Unauthenticated: true, verdict.NotEntitled: true, verdict.UnknownService: true,
	verdict.UnknownRoute: true, verdict.BadRequest: true, verdict.RateLimited: true,
	verdict.ConcurrencyLimited: true, verdict.TooDeep: true, verdict.Quarantined: true, verdict.KeyInUse: true,
}

type cellKey struct {
	slot       int64
	department string
}

type cell struct{ good, bad, refused, limited atomic.Uint64 }

func (c *cell) load() Counts {
	return Counts{c.good.Load(), c.bad.Load(), c.refused.Load(), c.limited.Load()}
}

// counter counts the calls that enter at this node.
type counter struct {
	now         func() time.Time
	classifiers atomic.Pointer[map[string]*move.Classifier]
	snapshot    *dynamic.Snapshot

	// cells is replaced by a changed copy, so that counting takes no lock.
	cells atomic.Pointer[map[cellKey]*cell]
	mu    sync.Mutex
}

func newCounter(now func() time.Time) *counter {
	c := &counter{now: now}
	c.classifiers.Store(&map[string]*move.Classifier{})
	c.cells.Store(&map[cellKey]*cell{})
	return c
}

// use takes over the definitions of success of a snapshot.
func (c *counter) use(snapshot *dynamic.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if snapshot == nil || snapshot == c.snapshot {
		return
	}
	c.snapshot = snapshot
	by := map[string]*move.Classifier{}
	for _, department := range snapshot.Config().Departments {
		by[department.Name] = move.NewClassifier(department.Success)
	}
	c.classifiers.Store(&by)
}

func (c *counter) observe(call observation.Call) {
	if call.Reporter != observation.ReporterEntryNode {
		return
	}
	classifier := (*c.classifiers.Load())[call.Department]
	if classifier == nil {
		return
	}
	at := call.EndTime
	if at.IsZero() {
		at = c.now()
	}
	outcome := classifier.Classify(call)
	if outcome == move.OutcomeIgnored {
		return
	}
	counters := c.cell(cellKey{at.Truncate(SlotDuration).Unix(), call.Department})
	switch {
	case limited[call.Code]:
		counters.limited.Add(1)
	case outcome == move.OutcomeRefused:
		counters.refused.Add(1)
	case outcome == move.OutcomeGood:
		counters.good.Add(1)
	default:
		counters.bad.Add(1)
	}
}

func (c *counter) cell(key cellKey) *cell {
	if known := (*c.cells.Load())[key]; known != nil {
		return known
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cells := maps.Clone(*c.cells.Load())
	if known := cells[key]; known != nil {
		return known
	}
	cells[key] = &cell{}
	c.cells.Store(&cells)
	return cells[key]
}

// lines returns all counters that are not known to be stored.
func (c *counter) lines() []SlotCounter {
	var lines []SlotCounter
	for key, counters := range *c.cells.Load() {
		lines = append(lines, SlotCounter{SlotStart: key.slot, Department: key.department, Counts: counters.load()})
	}
	slices.SortFunc(lines, compareLines)
	return lines
}

const (
	// settleTime is how long after its end a slot may still get calls.
	settleTime = 2 * time.Minute
	// maxKept bounds the memory of entry nodes and collectors while the platform
	// is down.
	maxKept = 26 * time.Hour
)

// forget drops the slots that are over and stored, and those that are too old.
func (c *counter) forget(stored []SlotCounter) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	cells := maps.Clone(*c.cells.Load())
	for _, line := range stored {
		key := cellKey{line.SlotStart, line.Department}
		over := now.After(time.Unix(line.SlotStart, 0).Add(SlotDuration + settleTime))
		if known := cells[key]; known != nil && over && known.load() == line.Counts {
			delete(cells, key)
		}
	}
	maps.DeleteFunc(cells, func(key cellKey, _ *cell) bool { return now.Sub(time.Unix(key.slot, 0)) > maxKept })
	c.cells.Store(&cells)
}
