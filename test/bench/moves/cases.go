package main

import (
	"math"
	"time"
)

// deployment is the traffic and targets of one service of a user.
type deployment struct {
	name      string
	endpoints int
	slots     int
	// rates are the calls per second of each route.
	rates []float64
	// span is the time from the start of a move to its finishing time.
	span time.Duration
}

var deployments = []deployment{
	{name: "tatrasoft", endpoints: 6, slots: 18, rates: []float64{120, 60, 15, 5}, span: 20 * time.Minute},
	{name: "council", endpoints: 6, slots: 6, rates: []float64{2, 0.8, 0.15, 0.04}, span: 40 * time.Minute},
}

// moment is what the outcome of a call may depend on.
type moment struct {
	// since is the time since the move began.
	since time.Duration
	// part is since as a part of the span.
	part float64
	// share is the new version's share of traffic, 0 to 1.
	share float64
	// lowest is set on the route with the least traffic.
	lowest bool
}

// odds are the probabilities of a call's outcomes.
type odds struct {
	failed, slow, crash float64
}

// usual is a healthy version's odds.
var usual = odds{failed: 0.001, slow: 0.001}

// testCase is how both versions behave.
type testCase struct {
	name string
	bad  bool
	// traffic scales the deployment's rates.
	traffic float64
	old     func(m moment) odds
	new     func(m moment) odds
}

func healthy(moment) odds { return usual }

// plus returns healthy odds with more failures, slowness or crashes where when holds.
func plus(extra odds, when func(m moment) bool) func(moment) odds {
	return func(m moment) odds {
		if !when(m) {
			return usual
		}
		return odds{usual.failed + extra.failed, usual.slow + extra.slow, extra.crash}
	}
}

func always(moment) bool { return true }

// outage is 20 s of common failures every 4 min.
func outage(m moment) bool { return m.since%(4*time.Minute) > 220*time.Second }

// blink is 3 s of common failures every 90 s.
func blink(m moment) bool { return m.since%(90*time.Second) > 86*time.Second }

// warmup is the time that the new targets announce for their cold start.
const warmup = 30 * time.Second

func cold(m moment) bool { return m.since < warmup }

func drift(m moment) odds {
	return odds{failed: usual.failed + math.Max(0, m.part-0.3)*0.3, slow: usual.slow}
}

var cases = []testCase{
	{name: "good", new: healthy},
	{name: "good, common outages", old: plus(odds{failed: 0.6}, outage), new: plus(odds{failed: 0.6}, outage)},
	{name: "good, total outages of 3 s", old: plus(odds{failed: 1}, blink), new: plus(odds{failed: 1}, blink)},
	{name: "good, noise of 3%", old: plus(odds{failed: 0.02, slow: 0.01}, always), new: plus(odds{failed: 0.02, slow: 0.01}, always)},
	{name: "good, a fifth of traffic", traffic: 0.2, new: healthy},
	{name: "good, cold start", new: plus(odds{slow: 0.5}, cold)},
	{name: "bad at once, all calls", bad: true, new: plus(odds{failed: 1}, always)},
	{name: "bad at once, 20%", bad: true, new: plus(odds{failed: 0.2}, always)},
	{name: "bad at once, 3%", bad: true, new: plus(odds{failed: 0.03}, always)},
	{name: "bad later, 20%", bad: true, new: plus(odds{failed: 0.2}, func(m moment) bool { return m.part > 0.4 })},
	{name: "slow, 30%", bad: true, new: plus(odds{slow: 0.3}, always)},
	{name: "slow only under load", bad: true, new: plus(odds{slow: 0.4}, func(m moment) bool { return m.share >= 0.5 })},
	{name: "bad on the lowest route", bad: true, new: plus(odds{failed: 1}, func(m moment) bool { return m.lowest })},
	{name: "crashing, 1% of calls", bad: true, new: plus(odds{crash: 0.01}, always)},
	{name: "bad only at 100%, 20%", bad: true, new: plus(odds{failed: 0.2}, func(m moment) bool { return m.share == 1 })},
	{name: "bad late in the soak, 20%", bad: true, new: plus(odds{failed: 0.2}, func(m moment) bool { return m.part > 0.8 })},
	{name: "slow drift from 30% of time", bad: true, new: drift},
}
