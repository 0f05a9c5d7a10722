package move

import (
	"cmp"
	"slices"
	"time"
)

// EvidencePeriod is the length of an evidence period. Old and new version are compared
// within a period, so that a common outage counts for both.
const EvidencePeriod = time.Second

// ringPeriods is the number of periods that a reporter keeps and a decider
// still takes in. It bounds how late a report may arrive.
const ringPeriods = 60

// maxAheadPeriods bounds how far a reporter's clock may run ahead.
const maxAheadPeriods = 5

// periodOf returns the number of the period that t lies in.
func periodOf(t time.Time) int64 { return t.UnixNano() / int64(EvidencePeriod) }

// Counts are the calls of one version on one route.
type Counts struct {
	Good   uint64 `cbor:"1,keyasint,omitempty" json:"good"`
	Failed uint64 `cbor:"2,keyasint,omitempty" json:"failed"`
	Slow   uint64 `cbor:"3,keyasint,omitempty" json:"slow"`
	// Refused calls did not run and are no evidence of badness.
	Refused uint64 `cbor:"4,keyasint,omitempty" json:"refused"`
	// CrashPeriods is the number of periods of a reporter in which a target crashed:
	// one crash ends many calls at once, which are one piece of evidence.
	CrashPeriods uint64 `cbor:"5,keyasint,omitempty" json:"crashes"`
	// CrashedCalls are the calls that ended with a crash; they are not in Failed.
	CrashedCalls uint64 `cbor:"6,keyasint,omitempty" json:"crashed"`
	// BusyMillis is the sum of the calls' times at the target in milliseconds.
	BusyMillis uint64 `cbor:"7,keyasint,omitempty" json:"busyMillis"`
}

// Calls is the number of calls that ran.
func (c Counts) Calls() uint64 { return c.Good + c.Bad() }

// Bad is the number of calls that ran and were not good.
func (c Counts) Bad() uint64 { return c.Failed + c.Slow + c.CrashedCalls }

// bad0 is Bad without the calls of crashes, which are judged as events.
func (c Counts) bad0() uint64 { return c.Failed + c.Slow }

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

// Sample is the counts of one period, route and version at one reporter.
type Sample struct {
	PeriodIndex int64
	Route       string
	Department  string
	Version     string
	Counts      Counts
}

// EvidenceReport carries a reporter's recent periods to a decider. Lines repeat until
// the decider has acknowledged them.
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

type lineKey struct {
	reporter       reporterKey
	route, version string
}

// ledger merges reports: each line counts once, however often and in whatever
// order it arrives, because equal keys merge by maximum.
type ledger struct {
	periods map[int64]map[lineKey]Sample
	through map[string]int64
	// closed is the last period that no longer takes lines.
	closed int64
}

func newLedger(closed int64) *ledger {
	return &ledger{periods: map[int64]map[lineKey]Sample{}, through: map[string]int64{}, closed: closed}
}

// add merges report at period current and returns the earliest period that
// changed, or 0. Lines from clocks that run ahead are dropped.
func (l *ledger) add(report EvidenceReport, current int64) (earliest int64) {
	if report.LastClosedPeriod > current+maxAheadPeriods {
		return 0
	}
	l.through[report.Reporter] = max(l.through[report.Reporter], report.LastClosedPeriod)
	reporter := reporterKey{report.Reporter, report.Incarnation}
	for _, line := range report.Samples {
		if line.PeriodIndex <= l.closed || line.PeriodIndex > report.LastClosedPeriod {
			continue
		}
		lines := l.periods[line.PeriodIndex]
		if lines == nil {
			lines = map[lineKey]Sample{}
			l.periods[line.PeriodIndex] = lines
		}
		key := lineKey{reporter, line.Route, line.Version}
		merged := line.Counts.max(lines[key].Counts)
		if merged == lines[key].Counts {
			continue
		}
		line.Counts = merged
		lines[key] = line
		if earliest == 0 || line.PeriodIndex < earliest {
			earliest = line.PeriodIndex
		}
	}
	return earliest
}

// drop forgets all periods up to and including closed.
func (l *ledger) drop(closed int64) {
	for period := range l.periods {
		if period <= closed {
			delete(l.periods, period)
		}
	}
	l.closed = max(l.closed, closed)
}

// complete reports whether all reporters have closed period.
func (l *ledger) complete(period int64, reporters []string) bool {
	return !slices.ContainsFunc(reporters, func(r string) bool { return l.through[r] < period })
}

// pair is the calls of both versions on one route in one period.
type pair struct {
	route, department string
	old, new          Counts
}

// around sums a version's calls in a period and those beside it.
func (l *ledger) around(period int64, version string) (sum Counts) {
	for beside := period - 1; beside <= period+1; beside++ {
		for key, line := range l.periods[beside] {
			if key.version == version {
				sum = sum.plus(line.Counts)
			}
		}
	}
	return sum
}

// heard counts the reporters whose reports reach up to period.
func (l *ledger) heard(period int64, reporters []string) (n int) {
	for _, reporter := range reporters {
		if l.through[reporter] >= period {
			n++
		}
	}
	return n
}

// crashes counts the reporters at which a target of either version crashed.
func (l *ledger) crashes(period int64, from, to string) (ofOld, ofNew int) {
	seen := map[string]map[reporterKey]bool{from: {}, to: {}}
	for key, line := range l.periods[period] {
		if line.Counts.CrashPeriods > 0 && seen[key.version] != nil {
			seen[key.version][key.reporter] = true
		}
	}
	return len(seen[from]), len(seen[to])
}

// pairs sums the lines of a period per route, ordered by route.
func (l *ledger) pairs(period int64, from, to string) []pair {
	by := map[string]*pair{}
	for _, line := range l.periods[period] {
		p := by[line.Route]
		if p == nil {
			p = &pair{route: line.Route, department: line.Department}
			by[line.Route] = p
		}
		p.department = max(p.department, line.Department)
		switch line.Version {
		case from:
			p.old = p.old.plus(line.Counts)
		case to:
			p.new = p.new.plus(line.Counts)
		}
	}
	result := make([]pair, 0, len(by))
	for _, p := range by {
		result = append(result, *p)
	}
	slices.SortFunc(result, func(a, b pair) int { return cmp.Compare(a.route, b.route) })
	return result
}
