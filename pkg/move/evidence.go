package move

import (
	"cmp"
	"slices"
	"time"
)

// EvidencePeriod is the length of an evidence period. The old and new version are
// compared within the same periods, so that a common outage counts for both.
const EvidencePeriod = time.Second

// retainedPeriods is the number of periods that a reporter retains and for which
// a decider still accepts samples. It bounds how late a report may arrive.
const retainedPeriods = 60

// maxClockAheadPeriods bounds how far a reporter's clock may be ahead.
const maxClockAheadPeriods = 5

// periodOf returns the index of the period that contains t.
func periodOf(t time.Time) int64 { return t.UnixNano() / int64(EvidencePeriod) }

// Counts are the calls of one version on one route.
type Counts struct {
	Good   uint64 `cbor:"1,keyasint,omitempty" json:"good"`
	Failed uint64 `cbor:"2,keyasint,omitempty" json:"failed"`
	Slow   uint64 `cbor:"3,keyasint,omitempty" json:"slow"`
	// Refused calls did not run and do not count as failures.
	Refused uint64 `cbor:"4,keyasint,omitempty" json:"refused"`
	// CrashPeriods is the number of a reporter's periods in which a target crashed.
	// One crash ends many calls at once, which count as a single event.
	CrashPeriods uint64 `cbor:"5,keyasint,omitempty" json:"crashes"`
	// CrashedCalls are the calls that ended with a crash; they are not in Failed.
	CrashedCalls uint64 `cbor:"6,keyasint,omitempty" json:"crashed"`
	// BusyMillis is the sum of the calls' service times at the target in milliseconds.
	BusyMillis uint64 `cbor:"7,keyasint,omitempty" json:"busyMillis"`
}

// Calls is the number of calls that ran.
func (c Counts) Calls() uint64 { return c.Good + c.Bad() }

// Bad is the number of calls that ran and were not good.
func (c Counts) Bad() uint64 { return c.Failed + c.Slow + c.CrashedCalls }

// badWithoutCrashes is Bad without CrashedCalls, because crashes are counted as
// events.
func (c Counts) badWithoutCrashes() uint64 { return c.Failed + c.Slow }

func (c Counts) plus(d Counts) Counts {
	return Counts{
		Good: c.Good + d.Good, Failed: c.Failed + d.Failed, Slow: c.Slow + d.Slow,
		Refused: c.Refused + d.Refused, CrashPeriods: c.CrashPeriods + d.CrashPeriods, CrashedCalls: c.CrashedCalls + d.CrashedCalls,
		BusyMillis: c.BusyMillis + d.BusyMillis,
	}
}

func (c Counts) minus(d Counts) Counts {
	return Counts{
		Good: c.Good - d.Good, Failed: c.Failed - d.Failed, Slow: c.Slow - d.Slow,
		Refused: c.Refused - d.Refused, CrashPeriods: c.CrashPeriods - d.CrashPeriods, CrashedCalls: c.CrashedCalls - d.CrashedCalls,
		BusyMillis: c.BusyMillis - d.BusyMillis,
	}
}

func (c Counts) max(d Counts) Counts {
	return Counts{
		Good: max(c.Good, d.Good), Failed: max(c.Failed, d.Failed), Slow: max(c.Slow, d.Slow),
		Refused: max(c.Refused, d.Refused), CrashPeriods: max(c.CrashPeriods, d.CrashPeriods), CrashedCalls: max(c.CrashedCalls, d.CrashedCalls),
		BusyMillis: max(c.BusyMillis, d.BusyMillis),
	}
}

// Sample holds the counts of one period, route and version from one reporter.
type Sample struct {
	PeriodIndex int64
	Route       string
	Department  string
	Version     string
	Counts      Counts
}

// EvidenceReport holds a reporter's recent samples. Samples are sent again until the
// decider has acknowledged them.
type EvidenceReport struct {
	Service     string
	Reporter    string
	Incarnation uint64
	// LastClosedPeriod is the last period that the reporter has closed.
	LastClosedPeriod int64
	Samples          []Sample
}

type reporterKey struct {
	instance    string
	incarnation uint64
}

type sampleKey struct {
	reporter       reporterKey
	route, version string
}

// evidenceStore merges reports. Samples with equal keys merge by maximum, so each
// counts once, however often and in whatever order it arrives.
type evidenceStore struct {
	periods              map[int64]map[sampleKey]Sample
	lastClosedByReporter map[string]int64
	// lastFinalPeriod is the last period that accepts no more samples.
	lastFinalPeriod int64
}

func newEvidenceStore(lastFinalPeriod int64) *evidenceStore {
	return &evidenceStore{periods: map[int64]map[sampleKey]Sample{}, lastClosedByReporter: map[string]int64{}, lastFinalPeriod: lastFinalPeriod}
}

// add merges report, received in period current, and returns the earliest period
// that changed, or 0. Reports from clocks that are too far ahead are dropped.
func (s *evidenceStore) add(report EvidenceReport, current int64) (earliest int64) {
	if report.LastClosedPeriod > current+maxClockAheadPeriods {
		return 0
	}
	s.lastClosedByReporter[report.Reporter] = max(s.lastClosedByReporter[report.Reporter], report.LastClosedPeriod)
	reporter := reporterKey{report.Reporter, report.Incarnation}
	for _, sample := range report.Samples {
		if sample.PeriodIndex <= s.lastFinalPeriod || sample.PeriodIndex > report.LastClosedPeriod {
			continue
		}
		samples := s.periods[sample.PeriodIndex]
		if samples == nil {
			samples = map[sampleKey]Sample{}
			s.periods[sample.PeriodIndex] = samples
		}
		key := sampleKey{reporter, sample.Route, sample.Version}
		merged := sample.Counts.max(samples[key].Counts)
		if merged == samples[key].Counts {
			continue
		}
		sample.Counts = merged
		samples[key] = sample
		if earliest == 0 || sample.PeriodIndex < earliest {
			earliest = sample.PeriodIndex
		}
	}
	return earliest
}

// dropThrough drops all periods up to and including lastPeriod.
func (s *evidenceStore) dropThrough(lastPeriod int64) {
	for period := range s.periods {
		if period <= lastPeriod {
			delete(s.periods, period)
		}
	}
	s.lastFinalPeriod = max(s.lastFinalPeriod, lastPeriod)
}

// isComplete reports whether all reporters have closed period.
func (s *evidenceStore) isComplete(period int64, reporters []string) bool {
	return !slices.ContainsFunc(reporters, func(r string) bool { return s.lastClosedByReporter[r] < period })
}

// versionPair holds the counts of both versions on one route in one period.
type versionPair struct {
	route, department string
	old, new          Counts
}

// callsAround sums a version's counts in a period and its two neighbors.
func (s *evidenceStore) callsAround(period int64, version string) (sum Counts) {
	for neighbor := period - 1; neighbor <= period+1; neighbor++ {
		for key, sample := range s.periods[neighbor] {
			if key.version == version {
				sum = sum.plus(sample.Counts)
			}
		}
	}
	return sum
}

// countReportersThrough counts the reporters that have closed period.
func (s *evidenceStore) countReportersThrough(period int64, reporters []string) (n int) {
	for _, reporter := range reporters {
		if s.lastClosedByReporter[reporter] >= period {
			n++
		}
	}
	return n
}

// countCrashes counts the reporters with a crashed target in period, by version.
func (s *evidenceStore) countCrashes(period int64, from, to string) (oldCount, newCount int) {
	seen := map[string]map[reporterKey]bool{from: {}, to: {}}
	for key, sample := range s.periods[period] {
		if sample.Counts.CrashPeriods > 0 && seen[key.version] != nil {
			seen[key.version][key.reporter] = true
		}
	}
	return len(seen[from]), len(seen[to])
}

// versionPairs sums the samples of a period per route, ordered by route.
func (s *evidenceStore) versionPairs(period int64, from, to string) []versionPair {
	byRoute := map[string]*versionPair{}
	for _, sample := range s.periods[period] {
		p := byRoute[sample.Route]
		if p == nil {
			p = &versionPair{route: sample.Route, department: sample.Department}
			byRoute[sample.Route] = p
		}
		p.department = max(p.department, sample.Department)
		switch sample.Version {
		case from:
			p.old = p.old.plus(sample.Counts)
		case to:
			p.new = p.new.plus(sample.Counts)
		}
	}
	result := make([]versionPair, 0, len(byRoute))
	for _, p := range byRoute {
		result = append(result, *p)
	}
	slices.SortFunc(result, func(a, b versionPair) int { return cmp.Compare(a.route, b.route) })
	return result
}
