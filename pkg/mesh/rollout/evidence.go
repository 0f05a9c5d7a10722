package rollout

import "math"

// Shares of slow results among the slow and fast ones of a good and of a bad version, between
// which the analysis of the canary decides. On a slow host about 1 in 20 results of a good
// version takes more than slowFactor times the baseline; of a bad one, about half.
const (
	goodSlowShare = 0.05
	badSlowShare  = 0.4
)

// Amounts of evidence, as natural logarithms of the likelihood ratio of the two shares.
const (
	// failEvidence fails the analysis: at least four slow results in a row, or five of ten. A
	// good version reaches it once in some e^8 results at most.
	failEvidence = 8
	// passEvidence against slowness lets a version pass: 16 results without a slow one. At most
	// one bad version in e^7 = 1,100 reaches it.
	passEvidence = 7
	// lastEvidence against slowness is enough at the last moment for a shift: nine results without
	// a slow one.
	lastEvidence = 4
	// maxSuspicion is the recent evidence up to which a version passes: two slow results in
	// a row. A version may become slow late.
	maxSuspicion = 5
)

var (
	slowStep = math.Log(badSlowShare / goodSlowShare)
	fastStep = math.Log((1 - badSlowShare) / (1 - goodSlowShare))
)

// evidence is the evidence that a version is slow, by a sequential probability ratio test
// (A. Wald, 1945) and its repeated form (CUSUM: E. S. Page, 1954).
type evidence struct {
	// total counts all results, recent those since the evidence was last against slowness.
	total  float64
	recent float64
}

func (e *evidence) add(slow bool) {
	step := fastStep
	if slow {
		step = slowStep
	}
	e.total += step
	e.recent = max(e.recent+step, 0)
}

// passes reports whether the analysis shows that the version is good.
func (s Summary) passes() bool { return s.Support >= passEvidence && s.isUnsuspicious() }

// isLikelyGood reports whether a good version is clearly more likely than a bad one.
func (s Summary) isLikelyGood() bool { return s.Support >= lastEvidence && s.isUnsuspicious() }

func (s Summary) isUnsuspicious() bool { return s.Results >= minResults && s.Suspicion < maxSuspicion }
