package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/azurespring/azurespring/pkg/move"
)

// startTime is the virtual time at which each simulation starts.
var startTime = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

const (
	// propagationPeriods is the number of periods until a new share is active on all
	// nodes.
	propagationPeriods = 1
	// crashCollateralCalls is the number of other calls in flight that a crash ends.
	crashCollateralCalls = 4
	// droppedReportRate is the fraction of reports that are dropped and sent again,
	// duplicateReportRate the fraction that arrive twice.
	droppedReportRate   = 0.02
	duplicateReportRate = 0.02
	// skewPeriods is the number of periods by which the new version's nodes are behind,
	// because tickers and clocks of nodes are not synchronized.
	skewPeriods = 1
	// maxOvertime is how long a move is simulated after its finishing time.
	maxOvertime = 2 * time.Minute
)

// policy decides a move from the reports of each period.
type policy interface {
	// step applies the reports that arrived and returns the new version's share and
	// the phase.
	step(now time.Time, reports []move.EvidenceReport) (share int, phase move.Phase)
	// describe returns the state of the move and the reason for it.
	describe() string
}

// result is the result of one simulated move.
type result struct {
	phase      move.Phase
	inTime     bool
	endedAfter time.Duration
	calls      int
	newCalls   int
	// newBad is the number of calls on the new version that were not good.
	newBad int
	// newCallsAfterFirstBad is the number of calls on the new version after its first
	// bad call, timeToRollBack the time from that call to the end of the move. Until the
	// move has ended, timeToRollBack holds the time from its start to that call.
	newCallsAfterFirstBad int
	timeToRollBack        time.Duration
	hasBadCall            bool
	// finalState describes the move at its end.
	finalState string
}

type simulation struct {
	deployment deployment
	testCase   testCase
	random     *rand.Rand
	// shares are the latest published shares, oldest first. The first is active.
	shares []int
	result result
	// unsentSamples are the samples of dropped reports by reporter.
	unsentSamples map[string][]move.Sample
}

// run simulates one move under p.
func run(d deployment, c testCase, p policy, seed uint64) result {
	s := &simulation{
		deployment: d, testCase: c, random: rand.New(rand.NewPCG(seed, 1)),
		shares: make([]int, propagationPeriods+1), unsentSamples: map[string][]move.Sample{},
	}
	for elapsed := time.Duration(0); elapsed < d.moveDuration+maxOvertime; elapsed += move.EvidencePeriod {
		now := startTime.Add(elapsed)
		reports := s.simulatePeriod(elapsed)
		share, phase := p.step(now.Add(move.EvidencePeriod), reports)
		s.shares = append(s.shares[1:], share)
		s.result.phase = phase
		s.result.endedAfter = elapsed + move.EvidencePeriod
		if phase == move.PhaseDone || phase == move.PhaseRolledBack {
			s.result.inTime = s.result.endedAfter <= d.moveDuration
			break
		}
	}
	s.result.finalState = p.describe()
	s.result.timeToRollBack = s.result.endedAfter - s.result.timeToRollBack
	return s.result
}

// simulatePeriod simulates the calls of one period and returns the reports that
// arrive.
func (s *simulation) simulatePeriod(elapsed time.Duration) []move.EvidenceReport {
	period := startTime.Add(elapsed).UnixNano() / int64(move.EvidencePeriod)
	samples := map[string]map[string]*move.Sample{}
	for version := range 2 {
		for i := range s.deployment.endpoints {
			samples[reporterName(version, i)] = map[string]*move.Sample{}
		}
	}
	for route, rate := range s.deployment.callRates {
		if s.testCase.trafficScale > 0 {
			rate *= s.testCase.trafficScale
		}
		for range s.poisson(rate * move.EvidencePeriod.Seconds()) {
			s.simulateCall(elapsed, period, route, samples)
		}
	}
	return s.arrivingReports(period, samples)
}

func (s *simulation) simulateCall(elapsed time.Duration, period int64, route int, samples map[string]map[string]*move.Sample) {
	newShare := float64(s.shares[0]) / move.ShareDenominator
	m := callContext{
		elapsed: elapsed, elapsedFraction: elapsed.Seconds() / s.deployment.moveDuration.Seconds(), newShare: newShare,
		isQuietestRoute: route == len(s.deployment.callRates)-1,
	}
	version, behavior := 0, s.testCase.old
	if s.random.Float64() < newShare {
		version, behavior = 1, s.testCase.new
	}
	if behavior == nil {
		behavior = healthy
	}
	reporter := reporterName(version, s.random.IntN(s.deployment.endpoints))
	name := fmt.Sprintf("route%d", route)
	sample := samples[reporter][name]
	if sample == nil {
		sample = &move.Sample{PeriodIndex: period - int64(version)*skewPeriods, Route: name, Department: "d", Version: versionName(version)}
		samples[reporter][name] = sample
	}
	s.drawOutcome(sample, behavior(m), version == 1, elapsed)
}

// drawOutcome draws a call's outcome and counts it.
func (s *simulation) drawOutcome(sample *move.Sample, o outcomeOdds, isNew bool, elapsed time.Duration) {
	draw, bad, calls := s.random.Float64(), 0, 1
	switch {
	case draw < o.crash:
		bad, calls = 1+crashCollateralCalls, 1+crashCollateralCalls
		sample.Counts.CrashedCalls += uint64(calls)
		sample.Counts.CrashPeriods = 1
	case draw < o.crash+o.failed:
		bad = 1
		sample.Counts.Failed++
	case draw < o.crash+o.failed+o.slow:
		bad = 1
		// The reporters of pkg/move ignore slow calls during the announced warm-up.
		if !isNew || elapsed >= warmupTime {
			sample.Counts.Slow++
		}
	default:
		sample.Counts.Good++
	}
	r := &s.result
	r.calls += calls
	if !isNew {
		return
	}
	r.newCalls += calls
	r.newBad += bad
	if r.hasBadCall {
		r.newCallsAfterFirstBad += calls
	} else if bad > 0 && s.testCase.isBad && (o != healthyOdds) {
		r.hasBadCall, r.timeToRollBack = true, elapsed
	}
}

// arrivingReports returns the reports of a period, with some dropped and some
// duplicated. The samples of a dropped report are part of the reporter's next one.
func (s *simulation) arrivingReports(period int64, samples map[string]map[string]*move.Sample) []move.EvidenceReport {
	var arrivingReports []move.EvidenceReport
	for version := range 2 {
		for i := range s.deployment.endpoints {
			name := reporterName(version, i)
			for route := range s.deployment.callRates {
				if sample := samples[name][fmt.Sprintf("route%d", route)]; sample != nil {
					s.unsentSamples[name] = append(s.unsentSamples[name], *sample)
				}
			}
			if s.random.Float64() < droppedReportRate {
				continue
			}
			report := move.EvidenceReport{Service: "s", Reporter: name, Incarnation: 1, LastClosedPeriod: period, Samples: s.unsentSamples[name]}
			s.unsentSamples[name] = nil
			arrivingReports = append(arrivingReports, report)
			if s.random.Float64() < duplicateReportRate {
				arrivingReports = append(arrivingReports, report)
			}
		}
	}
	return arrivingReports
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
