// Package report counts calls by each department's definition of success and reports
// whether the department's service level objective was met. Entry nodes send their
// counters to a collector per failure domain, which stores them in the platform.
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

// SlotDuration is the length of a time slot, for which each department has its own
// counters. Reporting periods consist of whole slots.
const SlotDuration = 10 * time.Minute

// ObjectDuration is the time that one KindReportPeriod object covers. With 272 entry
// nodes in a failure domain, 10 departments and 6 slots an object stays below the
// platform's limit of 1 MB.
const ObjectDuration = time.Hour

// Counts are numbers of calls by outcome.
type Counts struct {
	Good uint64 `cbor:"1,keyasint,omitempty" json:"good"`
	Bad  uint64 `cbor:"2,keyasint,omitempty" json:"bad"`
	// Refused calls were rejected before they ran because the system could not serve
	// them. They count against the objective.
	Refused uint64 `cbor:"3,keyasint,omitempty" json:"refused"`
	// Limited calls were rejected before they ran because of the caller's request,
	// entitlements or limits. They do not count.
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

// SlotCounter is the calls of a department in one time slot, as counted by one
// reporter. Its counts only grow, so the greater of two copies is the newer one.
type SlotCounter struct {
	// SlotStart is the start of the slot in seconds since the Unix epoch.
	SlotStart  int64  `cbor:"1,keyasint"`
	Department string `cbor:"2,keyasint"`
	Counts     Counts `cbor:"3,keyasint"`
}

// callerCausedCodes are the codes of rejections that the caller causes.
var callerCausedCodes = map[verdict.Code]bool{
	verdict.Unauthenticated: true, verdict.NotEntitled: true, verdict.UnknownService: true,
	verdict.UnknownRoute: true, verdict.BadRequest: true, verdict.RateLimited: true,
	verdict.ConcurrencyLimited: true, verdict.TooDeep: true, verdict.Quarantined: true, verdict.KeyInUse: true,
}

// slotKey identifies the counters of a department in one slot.
type slotKey struct {
	slot       int64
	department string
}

// atomicCounts is Counts for concurrent updates.
type atomicCounts struct{ good, bad, refused, limited atomic.Uint64 }

func (c *atomicCounts) load() Counts {
	return Counts{c.good.Load(), c.bad.Load(), c.refused.Load(), c.limited.Load()}
}

// callCounter counts the calls of which this node is the entry node.
type callCounter struct {
	now         func() time.Time
	classifiers atomic.Pointer[map[string]*move.Classifier]
	snapshot    *dynamic.Snapshot

	// countsBySlot is copied on write under mu, so that counting takes no lock.
	countsBySlot atomic.Pointer[map[slotKey]*atomicCounts]
	mu           sync.Mutex
}

func newCallCounter(now func() time.Time) *callCounter {
	c := &callCounter{now: now}
	c.classifiers.Store(&map[string]*move.Classifier{})
	c.countsBySlot.Store(&map[slotKey]*atomicCounts{})
	return c
}

// setSnapshot applies the departments' definitions of success in a configuration
// snapshot.
func (c *callCounter) setSnapshot(snapshot *dynamic.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if snapshot == nil || snapshot == c.snapshot {
		return
	}
	c.snapshot = snapshot
	classifiers := map[string]*move.Classifier{}
	for _, department := range snapshot.Config().Departments {
		classifiers[department.Name] = move.NewClassifier(department.Success)
	}
	c.classifiers.Store(&classifiers)
}

// observe counts a call unless another node reports it, its department is unknown,
// or its outcome is ignored.
func (c *callCounter) observe(call observation.Call) {
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
	counts := c.countsFor(slotKey{at.Truncate(SlotDuration).Unix(), call.Department})
	switch {
	case callerCausedCodes[call.Code]:
		counts.limited.Add(1)
	case outcome == move.OutcomeRefused:
		counts.refused.Add(1)
	case outcome == move.OutcomeGood:
		counts.good.Add(1)
	default:
		counts.bad.Add(1)
	}
}

// countsFor returns the counters for key and creates them if needed.
func (c *callCounter) countsFor(key slotKey) *atomicCounts {
	if known := (*c.countsBySlot.Load())[key]; known != nil {
		return known
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	updated := maps.Clone(*c.countsBySlot.Load())
	if known := updated[key]; known != nil {
		return known
	}
	updated[key] = &atomicCounts{}
	c.countsBySlot.Store(&updated)
	return updated[key]
}

// counters returns all counters that dropStored has not removed, in order.
func (c *callCounter) counters() []SlotCounter {
	var counters []SlotCounter
	for key, counts := range *c.countsBySlot.Load() {
		counters = append(counters, SlotCounter{SlotStart: key.slot, Department: key.department, Counts: counts.load()})
	}
	slices.SortFunc(counters, compareCounters)
	return counters
}

const (
	// slotSettleTime is how long after its end a slot may still be updated with calls.
	slotSettleTime = 2 * time.Minute
	// maxCounterAge is the age at which counters are dropped even if they are not
	// stored. It bounds the memory of entry nodes and collectors while the platform is
	// unavailable.
	maxCounterAge = 26 * time.Hour
)

// dropStored removes counters that are stored with their current values and whose
// slot no longer changes, and all counters older than maxCounterAge.
func (c *callCounter) dropStored(stored []SlotCounter) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	updated := maps.Clone(*c.countsBySlot.Load())
	for _, counter := range stored {
		key := slotKey{counter.SlotStart, counter.Department}
		settled := now.After(time.Unix(counter.SlotStart, 0).Add(SlotDuration + slotSettleTime))
		if known := updated[key]; known != nil && settled && known.load() == counter.Counts {
			delete(updated, key)
		}
	}
	maps.DeleteFunc(updated, func(key slotKey, _ *atomicCounts) bool { return now.Sub(time.Unix(key.slot, 0)) > maxCounterAge })
	c.countsBySlot.Store(&updated)
}
