package move

import (
	"maps"
	"math"
	"slices"
)

// Error rates of the sequential tests. MoveFalsePositiveRate, alpha, is the
// probability that any test of a move, over all routes, fails a good version.
// TestFalseNegativeRate, beta, is the probability that one test passes a version
// whose failure rate is that of the alternative hypothesis.
const (
	MoveFalsePositiveRate = 0.001
	TestFalseNegativeRate = 0.01
)

// Parameters of the alternative hypotheses and of the blocks in which calls are
// compared.
const (
	// failureRatio is the ratio of failure rates, new to old, of the alternative.
	failureRatio = 4.0
	// minFailingRate is the lowest failure rate that the rate test looks for while
	// the ratio test detects lower ones. minDriftRate is the lowest on the last step,
	// where the ratio test has no old calls to compare with.
	minFailingRate = 0.25
	minDriftRate   = 0.05
	// minBlockOldCalls is the number of the old version's calls that closes a block, so
	// that the new version's calls are not compared with hardly any old ones.
	minBlockOldCalls = 10
	// minBlockNewCalls is the number of the new version's calls that closes a block
	// while no calls run on the old version.
	minBlockNewCalls = 10
	// maxBlockPeriods closes a block although the old version has too few calls.
	maxBlockPeriods = 30
	// goodCallWeight is subtracted from the ratio test's log likelihood ratio for each
	// good call on the new version. Otherwise a few random failures would keep their
	// weight until the old version fails as well. It makes the test overlook failure
	// rates that are less than about 0.4% above the old version's.
	goodCallWeight = 0.0015
	// maxBlockWeight bounds the weight of one block as a fraction of the threshold, so
	// that a burst within one block does not fail the test.
	maxBlockWeight = 0.6
	// minOldFailureRate is the lowest failure rate assumed for the old version.
	minOldFailureRate = 0.002
	// minOutageFailures and minOutageRate are the failures and the failure rate of the
	// old version from which there is a common outage, if the rate is also at least
	// outageBaselineFactor times its rate in the whole move, or certainOutageRate.
	minOutageFailures    = 2
	minOutageRate        = 0.1
	outageBaselineFactor = 5
	certainOutageRate    = 0.5
	// failingCrashExcess is the number of crashes in excess of the old version's that
	// fails the new version. A single request that crashes each target that runs it
	// may cause two crashes before it is quarantined.
	failingCrashExcess = 3
	// crashWindowPeriods is the window in which crashes are counted.
	crashWindowPeriods = 600
	// busySlotsWindowPeriods is the window of the moving average of busy slots.
	busySlotsWindowPeriods = 30
	// testsPerRoute counts the ratio test and the rate test.
	testsPerRoute = 2
)

// lowerBound is the log likelihood ratio at which a test passes.
var lowerBound = math.Log(TestFalseNegativeRate / (1 - MoveFalsePositiveRate))

// threshold is the log likelihood ratio at which one of testCount concurrent tests
// fails the new version. With n for testCount, the k-th test in a row, after k-1
// completed ones, spends alpha/(n k (k+1)), which sums to alpha over all k and all
// n tests.
func threshold(testCount, completedTests int) float64 {
	return math.Log((1-TestFalseNegativeRate)/MoveFalsePositiveRate) + math.Log(float64(max(testCount, 1))) + math.Log(float64(completedTests+1)*float64(completedTests+2))
}

// block holds the calls that are compared with each other.
type block struct {
	old, new Counts
	// pooledOld counts the old version's calls on all routes, from the period of the
	// new version's first failure on, so that calls before a common outage do not
	// hide the outage.
	pooledOld   Counts
	periodCount int
}

func (b block) isComplete(isLastStep bool) bool {
	if isLastStep && b.new.Calls() >= minBlockNewCalls || b.periodCount >= maxBlockPeriods {
		return true
	}
	return b.old.Calls() >= minBlockOldCalls && b.new.Calls() > 0 &&
		(b.new.badWithoutCrashes() == 0 || b.pooledOld.Calls() >= minBlockOldCalls)
}

// tracker runs the tests of one route or of the pool of all routes.
type tracker struct {
	evidence RouteEvidence
	pending  block
}

// addCounts adds a period's calls to the evidence, but not to the tests.
func (t *tracker) addCounts(p versionPair) {
	t.evidence.Old = t.evidence.Old.plus(p.old)
	t.evidence.New = t.evidence.New.plus(p.new)
}

func (t *tracker) addPeriod(p versionPair, pooledOld Counts, testCount int, isLastStep bool) {
	t.addCounts(p)
	t.pending.old = t.pending.old.plus(p.old)
	t.pending.new = t.pending.new.plus(p.new)
	if t.pending.new.badWithoutCrashes() > 0 {
		t.pending.pooledOld = t.pending.pooledOld.plus(pooledOld)
	}
	t.pending.periodCount++
	if t.pending.isComplete(isLastStep) {
		t.closeBlock(testCount, isLastStep)
	}
}

// closeBlock closes the pending block. A test that reaches the lower bound passes
// and the next one starts, so that many good calls don't outweigh later failures.
func (t *tracker) closeBlock(testCount int, isLastStep bool) {
	e := &t.evidence
	e.RatioTestLLR, e.RateTestLLR = t.logLikelihoodRatios(testCount, isLastStep)
	if e.RatioTestLLR <= lowerBound {
		e.RatioTestLLR, e.CompletedRatioTests = 0, e.CompletedRatioTests+1
	}
	if e.RateTestLLR <= lowerBound {
		e.RateTestLLR, e.CompletedRateTests = 0, e.CompletedRateTests+1
	}
	t.pending = block{}
}

// restartTests discards the progress of the tests and the pending block.
func (t *tracker) restartTests() {
	t.evidence.RatioTestLLR, t.evidence.RateTestLLR = 0, 0
	t.pending = block{}
}

// logLikelihoodRatios returns the log likelihood ratios of the ratio test and the
// rate test, including the pending block.
func (t *tracker) logLikelihoodRatios(testCount int, isLastStep bool) (ratio, rate float64) {
	e := t.evidence
	ratio = e.RatioTestLLR + min(ratioLLR(t.pending), maxBlockWeight*threshold(testCount, e.CompletedRatioTests))
	rate = e.RateTestLLR + min(t.rateLLR(isLastStep), maxBlockWeight*threshold(testCount, e.CompletedRateTests))
	return ratio, rate
}

// ratioLLR is the log likelihood ratio of a conditional binomial test: of all
// failures in the block, how many fell on the new version. With equal failure rates
// its share of failures equals its share of calls, whatever the common rate is.
func ratioLLR(b block) float64 {
	newCalls, oldCalls := float64(b.new.Calls()), float64(b.old.Calls())
	goodWeight := goodCallWeight * float64(b.new.Good)
	if newCalls == 0 || oldCalls == 0 {
		return -goodWeight
	}
	newCallShare := newCalls / (newCalls + oldCalls)
	alternative := failureRatio * newCallShare / (failureRatio*newCallShare + 1 - newCallShare)
	return float64(b.new.badWithoutCrashes())*math.Log(alternative/newCallShare) +
		float64(b.old.badWithoutCrashes())*math.Log((1-alternative)/(1-newCallShare)) - goodWeight
}

// rateLLR is the log likelihood ratio of the pending block in a test of the new
// version's failure rate against the old version's. The latter is the highest of
// its rates over the whole move, in the block on this route and in the block on all
// routes, so that a common outage explains failures. The test detects high failure
// rates within a few calls, and drifts while no calls run on the old version.
func (t *tracker) rateLLR(isLastStep bool) float64 {
	e, b := t.evidence, t.pending
	bad, good := float64(b.new.badWithoutCrashes()), float64(b.new.Good)
	if bad+good == 0 {
		return 0
	}
	baseline := max(minOldFailureRate, float64(e.Old.badWithoutCrashes()+1)/float64(e.Old.Calls()+2),
		failureRate(b.old), smoothedFailureRate(b.pooledOld))
	if baseline > 0.9 {
		return 0
	}
	minAlternative := minFailingRate
	if isLastStep {
		minAlternative = minDriftRate
	}
	alternative := min((1+baseline)/2, max(failureRatio*baseline, minAlternative))
	return bad*math.Log(alternative/baseline) + good*math.Log((1-alternative)/(1-baseline))
}

// smoothedFailureRate is the failure rate with half a failure added, so that a few
// calls without failures do not give a rate of zero.
func smoothedFailureRate(c Counts) float64 {
	if c.Calls() == 0 {
		return 0
	}
	return (float64(c.badWithoutCrashes()) + 0.5) / float64(c.Calls()+1)
}

func failureRate(c Counts) float64 {
	if c.Calls() == 0 {
		return 0
	}
	return float64(c.badWithoutCrashes()) / float64(c.Calls())
}

// crashCounts holds the number of reporters with crashed targets in a period.
type crashCounts struct {
	period             int64
	oldCount, newCount int
}

// assessment is the state of all tests of a move up to and including lastPeriod.
type assessment struct {
	lastPeriod int64
	pool       tracker
	routes     map[string]*tracker
	crashes    []crashCounts
	// isLastStep is set while the new version takes all calls.
	isLastStep bool
	// meanBusySlots is the moving average of busy slots.
	meanBusySlots float64
	// lastSkippedPeriod is the last period that the tests leave out.
	lastSkippedPeriod int64
}

// shareChange is a change of the traffic share after a period, which affects the
// tests.
type shareChange struct {
	period int64
	// restartTests starts new tests. Otherwise the pending blocks are closed, so that
	// no block spans two shares.
	restartTests bool
	isLastStep   bool
	// lastSkippedPeriod is the last period that the tests leave out, because the
	// previous share may still be active on some nodes.
	lastSkippedPeriod int64
}

func newAssessment(s State) *assessment {
	a := &assessment{lastPeriod: s.LastPeriod, routes: map[string]*tracker{}, isLastStep: s.Step == len(StepShares)-1, meanBusySlots: s.MeanBusySlots}
	for _, evidence := range s.Evidence {
		if evidence.Route == "" {
			a.pool.evidence = evidence
			continue
		}
		a.routes[evidence.Route] = &tracker{evidence: evidence}
	}
	return a
}

func (a *assessment) clone() *assessment {
	b := *a
	b.crashes = slices.Clone(a.crashes)
	b.routes = make(map[string]*tracker, len(a.routes))
	for route, t := range a.routes {
		copied := *t
		b.routes[route] = &copied
	}
	return &b
}

// testCount is the number of concurrent tests.
func (a *assessment) testCount() int { return testsPerRoute * (len(a.routes) + 1) }

// addPeriod adds the period after lastPeriod.
func (a *assessment) addPeriod(store *evidenceStore, from, to string, changes []shareChange) {
	a.applyShareChanges(changes)
	a.lastPeriod++
	pairs := store.versionPairs(a.lastPeriod, from, to)
	var pooled versionPair
	for _, p := range pairs {
		pooled.old, pooled.new = pooled.old.plus(p.old), pooled.new.plus(p.new)
		if a.routes[p.route] == nil {
			a.routes[p.route] = &tracker{evidence: RouteEvidence{Route: p.route, Department: p.department}}
		}
	}
	byRoute := map[string]versionPair{}
	for _, p := range pairs {
		byRoute[p.route] = p
	}
	if a.lastPeriod <= a.lastSkippedPeriod || a.isCommonOutage(store.callsAround(a.lastPeriod, from)) {
		for route, t := range a.routes {
			t.addCounts(byRoute[route])
		}
		a.pool.addCounts(pooled)
	} else {
		for route, t := range a.routes {
			t.addPeriod(byRoute[route], pooled.old, a.testCount(), a.isLastStep)
		}
		a.pool.addPeriod(pooled, pooled.old, a.testCount(), a.isLastStep)
	}
	a.updateBusySlots(float64(pooled.old.BusyMillis+pooled.new.BusyMillis) / float64(EvidencePeriod.Milliseconds()))
	if oldCount, newCount := store.countCrashes(a.lastPeriod, from, to); oldCount+newCount > 0 {
		a.crashes = append(a.crashes, crashCounts{a.lastPeriod, oldCount, newCount})
	}
	a.crashes = slices.DeleteFunc(a.crashes, func(c crashCounts) bool { return c.period <= a.lastPeriod-crashWindowPeriods })
}

// isCommonOutage reports whether the old version's calls in a period and its
// neighbors show a common outage. The neighbors count because period indexes may
// differ by one between nodes, so that at the start and end of an outage only one
// version may seem to fail.
func (a *assessment) isCommonOutage(old Counts) bool {
	minRate := min(certainOutageRate, outageBaselineFactor*failureRate(a.pool.evidence.Old))
	return old.badWithoutCrashes() >= minOutageFailures && failureRate(old) >= max(minOutageRate, minRate)
}

func (a *assessment) updateBusySlots(busySlots float64) {
	if a.meanBusySlots == 0 {
		a.meanBusySlots = busySlots
	}
	a.meanBusySlots += (busySlots - a.meanBusySlots) / busySlotsWindowPeriods
}

// applyShareChanges applies the changes that follow lastPeriod.
func (a *assessment) applyShareChanges(changes []shareChange) {
	for _, c := range changes {
		if c.period == a.lastPeriod {
			a.applyShareChange(c)
		}
	}
}

func (a *assessment) applyShareChange(c shareChange) {
	for _, t := range a.allTrackers() {
		if c.restartTests {
			t.restartTests()
		} else {
			t.closeBlock(a.testCount(), a.isLastStep)
		}
	}
	a.isLastStep = c.isLastStep
	a.lastSkippedPeriod = max(a.lastSkippedPeriod, c.lastSkippedPeriod)
}

// allTrackers returns the trackers in a fixed order, with the pool first.
func (a *assessment) allTrackers() []*tracker {
	trackers := []*tracker{&a.pool}
	for _, route := range slices.Sorted(maps.Keys(a.routes)) {
		trackers = append(trackers, a.routes[route])
	}
	return trackers
}

// routeEvidence returns the value of State.Evidence, with the pool first.
func (a *assessment) routeEvidence() []RouteEvidence {
	var result []RouteEvidence
	for _, t := range a.allTrackers() {
		result = append(result, t.evidence)
	}
	return result
}

// testResult is the combined result of all tests.
type testResult struct {
	isFailing bool
	// thresholdRatio is the highest log likelihood ratio as a fraction of its threshold.
	thresholdRatio float64
	// scope names the route of that test; reason gives the figures as well.
	scope, reason string
}

// evaluateTests returns the result of the test closest to its threshold, or of the
// crash count if that fails the new version.
func (a *assessment) evaluateTests() testResult {
	var highest testResult
	for _, t := range a.allTrackers() {
		ratio, rate := t.logLikelihoodRatios(a.testCount(), a.isLastStep)
		for _, test := range []struct {
			value, bound float64
		}{
			{ratio, threshold(a.testCount(), t.evidence.CompletedRatioTests)},
			{rate, threshold(a.testCount(), t.evidence.CompletedRateTests)},
		} {
			if thresholdRatio := test.value / test.bound; thresholdRatio > highest.thresholdRatio {
				highest = testResult{isFailing: thresholdRatio >= 1, thresholdRatio: thresholdRatio, scope: scope(t.evidence), reason: describeEvidence(t.evidence)}
			}
		}
	}
	if reason := a.crashReason(); reason != "" {
		highest = testResult{isFailing: true, thresholdRatio: max(highest.thresholdRatio, 1), reason: reason}
	}
	return highest
}
