package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/azurespring/azurespring/pkg/move"
)

// begin is the virtual time at which each simulation starts.
var begin = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

const (
	// spreading is the number of periods until a new share is in force everywhere.
	spreading = 1
	// crashLoss is the number of calls in flight beside a crashing one.
	crashLoss = 4
	// lostReports and doubledReports are the parts of reports that are lost and
	// sent again, and that arrive twice.
	lostReports    = 0.02
	doubledReports = 0.02
	// skew is the number of periods by which the new version's nodes number their
	// periods lower, because tickers and clocks of nodes are not in step.
	skew = 1
	// overtime is how long after the finishing time a move is still followed.
	overtime = 2 * time.Minute
)

// policy decides a move from the reports of each period.
type policy interface {
	// step takes in the reports that arrived and returns the new version's share
	// and the phase.
	step(now time.Time, reports []move.EvidenceReport) (share int, phase move.Phase)
	// describe says why the move is where it is.
	describe() string
}

// result is one simulated move.
type result struct {
	phase    move.Phase
	inTime   bool
	ended    time.Duration
	calls    int
	newCalls int
	// newBad are the calls that were not good because of the new version.
	newBad int
	// afterShown are the calls on the new version after its first bad call, and
	// toTakeBack the time from that call to the end.
	afterShown int
	toTakeBack time.Duration
	shown      bool
	// last describes the state at the end.
	last string
}

type simulation struct {
	deployment deployment
	testCase   testCase
	random     *rand.Rand
	shares     []int
	result     result
	// unsent are the lines of lost reports by reporter.
	unsent map[string][]move.Sample
}

// run simulates one move under p.
func run(d deployment, c testCase, p policy, seed uint64) result {
	s := &simulation{
		deployment: d, testCase: c, random: rand.New(rand.NewPCG(seed, 1)),
		shares: make([]int, spreading+1), unsent: map[string][]move.Sample{},
	}
	for since := time.Duration(0); since < d.span+overtime; since += move.EvidencePeriod {
		now := begin.Add(since)
		reports := s.period(since)
		share, phase := p.step(now.Add(move.EvidencePeriod), reports)
		s.shares = append(s.shares[1:], share)
		s.result.phase = phase
		s.result.ended = since + move.EvidencePeriod
		if phase == move.PhaseDone || phase == move.PhaseRolledBack {
			s.result.inTime = s.result.ended <= d.span
			break
		}
	}
	s.result.last = p.describe()
	s.result.toTakeBack = s.result.ended - s.result.toTakeBack
	return s.result
}

// period draws the calls of one period and returns the reports that arrive.
func (s *simulation) period(since time.Duration) []move.EvidenceReport {
	number := begin.Add(since).UnixNano() / int64(move.EvidencePeriod)
	lines := map[string]map[string]*move.Sample{}
	for version := range 2 {
		for i := range s.deployment.endpoints {
			lines[reporterName(version, i)] = map[string]*move.Sample{}
		}
	}
	for route, rate := range s.deployment.rates {
		if s.testCase.traffic > 0 {
			rate *= s.testCase.traffic
		}
		for range s.poisson(rate * move.EvidencePeriod.Seconds()) {
			s.call(since, number, route, lines)
		}
	}
	return s.reports(number, lines)
}

func (s *simulation) call(since time.Duration, number int64, route int, lines map[string]map[string]*move.Sample) {
	share := float64(s.shares[0]) / move.ShareDenominator
	m := moment{
		since: since, part: since.Seconds() / s.deployment.span.Seconds(), share: share,
		lowest: route == len(s.deployment.rates)-1,
	}
	version, behavior := 0, s.testCase.old
	if s.random.Float64() < share {
		version, behavior = 1, s.testCase.new
	}
	if behavior == nil {
		behavior = healthy
	}
	reporter := reporterName(version, s.random.IntN(s.deployment.endpoints))
	name := fmt.Sprintf("route%d", route)
	line := lines[reporter][name]
	if line == nil {
		line = &move.Sample{PeriodIndex: number - int64(version)*skew, Route: name, Department: "d", Version: versionName(version)}
		lines[reporter][name] = line
	}
	s.outcome(line, behavior(m), version == 1, since)
}

// outcome draws a call's outcome and counts it.
func (s *simulation) outcome(line *move.Sample, o odds, isNew bool, since time.Duration) {
	draw, bad, calls := s.random.Float64(), 0, 1
	switch {
	case draw < o.crash:
		bad, calls = 1+crashLoss, 1+crashLoss
		line.Counts.CrashedCalls += uint64(calls)
		line.Counts.CrashPeriods = 1
	case draw < o.crash+o.failed:
		bad = 1
		line.Counts.Failed++
	case draw < o.crash+o.failed+o.slow:
		bad = 1
		// Target nodes leave out slowness within the announced warm-up.
		if !isNew || since >= warmup {
			line.Counts.Slow++
		}
	default:
		line.Counts.Good++
	}
	r := &s.result
	r.calls += calls
	if !isNew {
		return
	}
	r.newCalls += calls
	r.newBad += bad
	if r.shown {
		r.afterShown += calls
	} else if bad > 0 && s.testCase.bad && (o != usual) {
		r.shown, r.toTakeBack = true, since
	}
}

// reports loses and doubles some of the reports; lost lines come with the next.
func (s *simulation) reports(number int64, lines map[string]map[string]*move.Sample) []move.EvidenceReport {
	var reports []move.EvidenceReport
	for version := range 2 {
		for i := range s.deployment.endpoints {
			name := reporterName(version, i)
			for route := range s.deployment.rates {
				if line := lines[name][fmt.Sprintf("route%d", route)]; line != nil {
					s.unsent[name] = append(s.unsent[name], *line)
				}
			}
			if s.random.Float64() < lostReports {
				continue
			}
			report := move.EvidenceReport{Service: "s", Reporter: name, Incarnation: 1, LastClosedPeriod: number, Samples: s.unsent[name]}
			s.unsent[name] = nil
			reports = append(reports, report)
			if s.random.Float64() < doubledReports {
				reports = append(reports, report)
			}
		}
	}
	return reports
}

func (s *simulation) poisson(mean float64) int {
	limit, product, n := math.Exp(-mean), s.random.Float64(), 0
	for product > limit {
		product *= s.random.Float64()
		n++
	}
	return n
}

func reporterName(version, i int) string { return fmt.Sprintf("%s-%d", versionName(version), i) }

func versionName(version int) string { return []string{"v1", "v2"}[version] }
