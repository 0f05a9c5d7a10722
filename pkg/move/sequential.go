package move

import (
	"maps"
	"math"
	"slices"
)

// Error rates of the sequential tests. Alpha is the probability that a good
// version is judged bad in a whole move, over all routes and tests; beta that
// one test ends without a finding on a version that is bad by the alternative.
const (
	MoveFalsePositiveRate = 0.001
	TestFalseNegativeRate = 0.01
)

// Parameters of the alternatives and of the blocks in which calls are compared.
const (
	// failureRatio is the ratio of failure rates, new to old, that counts as bad.
	failureRatio = 4.0
	// leastBadRate is the lowest failure rate that the rate test looks for while
	// the ratio test finds lower ones, and leastDriftRate the lowest on the last
	// step, where the rate test is alone.
	leastBadRate   = 0.25
	leastDriftRate = 0.05
	// minBlockOld is the number of the old version's calls that closes a block, so
	// that a period with a few calls is not compared with nothing.
	minBlockOld = 10
	// minBlockLast is the number of the new version's calls that closes a block
	// while no calls run on the old version.
	minBlockLast = 10
	// maxBlockPeriods closes a block in which the old version has too few calls.
	maxBlockPeriods = 30
	// goodCallWeight is what a good call on the new version takes off the ratio
	// test, which otherwise would keep the weight of a few chance failures until
	// the old version fails as well. It makes the test overlook failure rates
	// that are less than about 0.4% above the old version's.
	goodCallWeight = 0.0015
	// blockCap bounds the weight of one block as a part of the threshold, so that
	// a burst within one block does not decide.
	blockCap = 0.6
	// minOldRate is the lowest failure rate assumed of the old version.
	minOldRate = 0.002
	// outageFailures and outageRate of the old version are a common outage if the
	// rate is also outageFactor times its usual rate, or above outageMostUsual.
	outageFailures  = 2
	outageRate      = 0.1
	outageFactor    = 5
	outageMostUsual = 0.5
	// crashExcess is the number of crashes above the old version's that judges a
	// version bad. Two may come from one request that crashes each target that
	// runs it, before it is quarantined.
	crashExcess = 3
	// crashPeriods is the span in which crashes are counted together.
	crashPeriods = 600
	// busyPeriods is the span of the moving average of occupied slots.
	busyPeriods = 30
	// testsPerRoute are the ratio test and the rate test.
	testsPerRoute = 2
)

// lowerBound ends a test without a finding.
var lowerBound = math.Log(TestFalseNegativeRate / (1 - MoveFalsePositiveRate))

// threshold is the log likelihood ratio at which the k-th test of one of n
// kinds finds badness. The k-th test spends alpha/(n k (k+1)), which sums to
// alpha over all k and kinds.
func threshold(n, k int) float64 {
	return math.Log((1-TestFalseNegativeRate)/MoveFalsePositiveRate) + math.Log(float64(max(n, 1))) + math.Log(float64(k+1)*float64(k+2))
}

// block is the calls that are compared with each other.
type block struct {
	old, new Counts
	// pooledOld is the old version's calls on all routes from the period of the
	// new version's first failure on, so that calls before a common outage do not
	// hide it.
	pooledOld Counts
	periods   int
}

func (b block) full(last bool) bool {
	if last && b.new.Calls() >= minBlockLast || b.periods >= maxBlockPeriods {
		return true
	}
	return b.old.Calls() >= minBlockOld && b.new.Calls() > 0 &&
		(b.new.bad0() == 0 || b.pooledOld.Calls() >= minBlockOld)
}

// tracker runs the tests of one route, or of the pool of all routes.
type tracker struct {
	evidence RouteEvidence
	pending  block
}

// count adds calls that are no evidence for the tests.
func (t *tracker) count(p pair) {
	t.evidence.Old = t.evidence.Old.plus(p.old)
	t.evidence.New = t.evidence.New.plus(p.new)
}

func (t *tracker) add(p pair, pooledOld Counts, kinds int, last bool) {
	t.count(p)
	t.pending.old = t.pending.old.plus(p.old)
	t.pending.new = t.pending.new.plus(p.new)
	if t.pending.new.bad0() > 0 {
		t.pending.pooledOld = t.pending.pooledOld.plus(pooledOld)
	}
	t.pending.periods++
	if t.pending.full(last) {
		t.settle(kinds, last)
	}
}

// settle closes the pending block. A test that reaches the lower bound ends
// and the next begins, so that long goodness does not outweigh late badness.
func (t *tracker) settle(kinds int, last bool) {
	e := &t.evidence
	e.RatioTestLLR, e.RateTestLLR = t.values(kinds, last)
	if e.RatioTestLLR <= lowerBound {
		e.RatioTestLLR, e.CompletedRatioTests = 0, e.CompletedRatioTests+1
	}
	if e.RateTestLLR <= lowerBound {
		e.RateTestLLR, e.CompletedRateTests = 0, e.CompletedRateTests+1
	}
	t.pending = block{}
}

// restart begins new tests, as at a change of the share or of a definition.
func (t *tracker) restart() {
	t.evidence.RatioTestLLR, t.evidence.RateTestLLR = 0, 0
	t.pending = block{}
}

// values are the log likelihood ratios including the pending block.
func (t *tracker) values(kinds int, last bool) (ratio, rate float64) {
	e := t.evidence
	ratio = e.RatioTestLLR + min(ratioLLR(t.pending), blockCap*threshold(kinds, e.CompletedRatioTests))
	rate = e.RateTestLLR + min(t.rateLLR(last), blockCap*threshold(kinds, e.CompletedRateTests))
	return ratio, rate
}

// ratioLLR is the conditional binomial test: of all failures in the block, how
// many fell on the new version, given both exposures. Equal rates make the
// share of failures equal the share of calls, whatever the common rate is.
func ratioLLR(b block) float64 {
	newCalls, oldCalls := float64(b.new.Calls()), float64(b.old.Calls())
	passed := goodCallWeight * float64(b.new.Good)
	if newCalls == 0 || oldCalls == 0 {
		return -passed
	}
	exposed := newCalls / (newCalls + oldCalls)
	bad := failureRatio * exposed / (failureRatio*exposed + 1 - exposed)
	return float64(b.new.bad0())*math.Log(bad/exposed) +
		float64(b.old.bad0())*math.Log((1-bad)/(1-exposed)) - passed
}

// rateLLR tests the new version's failure rate against the highest rate that
// the old version is known to have: over the whole move, or in the block on
// this route or on all routes, so that a common outage explains failures. It
// finds gross badness in a few calls, and drifts where no call runs on old.
func (t *tracker) rateLLR(last bool) float64 {
	e, b := t.evidence, t.pending
	bad, good := float64(b.new.bad0()), float64(b.new.Good)
	if bad+good == 0 {
		return 0
	}
	usual := max(minOldRate, float64(e.Old.bad0()+1)/float64(e.Old.Calls()+2),
		badRate(b.old), cautiousRate(b.pooledOld))
	if usual > 0.9 {
		return 0
	}
	least := leastBadRate
	if last {
		least = leastDriftRate
	}
	worse := min((1+usual)/2, max(failureRatio*usual, least))
	return bad*math.Log(worse/usual) + good*math.Log((1-worse)/(1-usual))
}

// cautiousRate is the failure rate with half a failure added, so that a few
// calls without failures do not count as certainty.
func cautiousRate(c Counts) float64 {
	if c.Calls() == 0 {
		return 0
	}
	return (float64(c.bad0()) + 0.5) / float64(c.Calls()+1)
}

func badRate(c Counts) float64 {
	if c.Calls() == 0 {
		return 0
	}
	return float64(c.bad0()) / float64(c.Calls())
}

// crash is the number of targets that crashed in a period.
type crash struct {
	period       int64
	ofOld, ofNew int
}

// assessment is what the periods up to through say about a move.
type assessment struct {
	through int64
	pool    tracker
	routes  map[string]*tracker
	crashes []crash
	// last is set while the new version takes all calls.
	last bool
	// busy is the moving average of occupied slots.
	busy float64
	// skip is the last period that the tests leave out.
	skip int64
}

// mark changes the tests after a period.
type mark struct {
	period int64
	// restart begins new tests; otherwise the pending blocks are closed, so that
	// no block spans two shares.
	restart bool
	last    bool
	// skip is the last period that the tests leave out, because the share of the
	// step before may still be in force at some nodes.
	skip int64
}

func newAssessment(s State) *assessment {
	a := &assessment{through: s.LastPeriod, routes: map[string]*tracker{}, last: s.Step == len(StepShares)-1, busy: s.MeanBusySlots}
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

// kinds is the number of tests that run side by side.
func (a *assessment) kinds() int { return testsPerRoute * (len(a.routes) + 1) }

// fold adds period through+1.
func (a *assessment) fold(l *ledger, from, to string, marks []mark) {
	a.applyAll(marks)
	a.through++
	pairs := l.pairs(a.through, from, to)
	var pooled pair
	for _, p := range pairs {
		pooled.old, pooled.new = pooled.old.plus(p.old), pooled.new.plus(p.new)
		if a.routes[p.route] == nil {
			a.routes[p.route] = &tracker{evidence: RouteEvidence{Route: p.route, Department: p.department}}
		}
	}
	by := map[string]pair{}
	for _, p := range pairs {
		by[p.route] = p
	}
	if a.through <= a.skip || a.outage(l.around(a.through, from)) {
		for route, t := range a.routes {
			t.count(by[route])
		}
		a.pool.count(pooled)
	} else {
		for route, t := range a.routes {
			t.add(by[route], pooled.old, a.kinds(), a.last)
		}
		a.pool.add(pooled, pooled.old, a.kinds(), a.last)
	}
	a.average(float64(pooled.old.BusyMillis+pooled.new.BusyMillis) / float64(EvidencePeriod.Milliseconds()))
	if ofOld, ofNew := l.crashes(a.through, from, to); ofOld+ofNew > 0 {
		a.crashes = append(a.crashes, crash{a.through, ofOld, ofNew})
	}
	a.crashes = slices.DeleteFunc(a.crashes, func(c crash) bool { return c.period <= a.through-crashPeriods })
}

// outage reports whether the old version's calls in and beside a period show a
// common outage. Nodes number their periods a second apart at most, so that at
// the begin and end of an outage only one version may seem to fail.
func (a *assessment) outage(old Counts) bool {
	usual := min(outageMostUsual, outageFactor*badRate(a.pool.evidence.Old))
	return old.bad0() >= outageFailures && badRate(old) >= max(outageRate, usual)
}

func (a *assessment) average(busy float64) {
	if a.busy == 0 {
		a.busy = busy
	}
	a.busy += (busy - a.busy) / busyPeriods
}

// applyAll applies the marks after the last folded period.
func (a *assessment) applyAll(marks []mark) {
	for _, m := range marks {
		if m.period == a.through {
			a.apply(m)
		}
	}
}

func (a *assessment) apply(m mark) {
	for _, t := range a.all() {
		if m.restart {
			t.restart()
		} else {
			t.settle(a.kinds(), a.last)
		}
	}
	a.last = m.last
	a.skip = max(a.skip, m.skip)
}

// all returns the trackers in a fixed order, the pool first.
func (a *assessment) all() []*tracker {
	trackers := []*tracker{&a.pool}
	for _, route := range slices.Sorted(maps.Keys(a.routes)) {
		trackers = append(trackers, a.routes[route])
	}
	return trackers
}

// evidence returns the sums for State.Routes, the pool first.
func (a *assessment) evidence() []RouteEvidence {
	var result []RouteEvidence
	for _, t := range a.all() {
		result = append(result, t.evidence)
	}
	return result
}

// finding is the result of all tests.
type finding struct {
	bad bool
	// weight is the highest log likelihood ratio as a part of its threshold.
	weight float64
	// where names the route, and reason gives the figures as well.
	where, reason string
}

// judge evaluates all tests.
func (a *assessment) judge() finding {
	var worst finding
	for _, t := range a.all() {
		ratio, rate := t.values(a.kinds(), a.last)
		for _, test := range []struct {
			value, bound float64
		}{
			{ratio, threshold(a.kinds(), t.evidence.CompletedRatioTests)},
			{rate, threshold(a.kinds(), t.evidence.CompletedRateTests)},
		} {
			if weight := test.value / test.bound; weight > worst.weight {
				worst = finding{bad: weight >= 1, weight: weight, where: where(t.evidence), reason: describe(t.evidence)}
			}
		}
	}
	if reason := a.crashFinding(); reason != "" {
		worst = finding{bad: true, weight: max(worst.weight, 1), reason: reason}
	}
	return worst
}
