package main

import (
	"math"
	"time"
)

// deployment describes the traffic and targets of one service of an installation.
type deployment struct {
	name      string
	endpoints int
	slots     int
	// callRates are the calls per second by route.
	callRates []float64
	// moveDuration is the time from the start of a move to its finishing time.
	moveDuration time.Duration
}

var deployments = []deployment{
	{name: "tatrasoft", endpoints: 6, slots: 18, callRates: []float64{120, 60, 15, 5}, moveDuration: 20 * time.Minute},
	{name: "council", endpoints: 6, slots: 6, callRates: []float64{2, 0.8, 0.15, 0.04}, moveDuration: 40 * time.Minute},
}

// callContext holds what the outcome of a call may depend on.
type callContext struct {
	// elapsed is the time since the start of the move.
	elapsed time.Duration
	// elapsedFraction is elapsed as a fraction of moveDuration.
	elapsedFraction float64
	// newShare is the new version's traffic share, 0 to 1.
	newShare float64
	// isQuietestRoute is set on the route with the least traffic.
	isQuietestRoute bool
}

// outcomeOdds holds the probabilities of a call's outcomes other than success.
type outcomeOdds struct {
	failed, slow, crash float64
}

// healthyOdds are the odds of a healthy version.
var healthyOdds = outcomeOdds{failed: 0.001, slow: 0.001}

// testCase defines the behavior of both versions.
type testCase struct {
	name  string
	isBad bool
	// trafficScale multiplies the deployment's call rates; 0 leaves them as they are.
	trafficScale float64
	// old and new return the odds of a call on either version; nil means healthy.
	old func(m callContext) outcomeOdds
	new func(m callContext) outcomeOdds
}

func healthy(callContext) outcomeOdds { return healthyOdds }

// healthyPlus returns odds that are healthy, plus extra while when returns true.
func healthyPlus(extra outcomeOdds, when func(m callContext) bool) func(callContext) outcomeOdds {
	return func(m callContext) outcomeOdds {
		if !when(m) {
			return healthyOdds
		}
		return outcomeOdds{healthyOdds.failed + extra.failed, healthyOdds.slow + extra.slow, extra.crash}
	}
}

func always(callContext) bool { return true }

// inOutage returns true for 20 s every 4 min.
func inOutage(m callContext) bool { return m.elapsed%(4*time.Minute) > 220*time.Second }

// inShortOutage returns true for 3 s every 90 s.
func inShortOutage(m callContext) bool { return m.elapsed%(90*time.Second) > 86*time.Second }

// warmupTime is the warm-up time that the new targets announce.
const warmupTime = 30 * time.Second

func inWarmup(m callContext) bool { return m.elapsed < warmupTime }

func driftingOdds(m callContext) outcomeOdds {
	return outcomeOdds{failed: healthyOdds.failed + math.Max(0, m.elapsedFraction-0.3)*0.3, slow: healthyOdds.slow}
}

var cases = []testCase{
	{name: "good", new: healthy},
	{name: "good, common outages", old: healthyPlus(outcomeOdds{failed: 0.6}, inOutage), new: healthyPlus(outcomeOdds{failed: 0.6}, inOutage)},
	{name: "good, total outages of 3 s", old: healthyPlus(outcomeOdds{failed: 1}, inShortOutage), new: healthyPlus(outcomeOdds{failed: 1}, inShortOutage)},
	{name: "good, noise of 3%", old: healthyPlus(outcomeOdds{failed: 0.02, slow: 0.01}, always), new: healthyPlus(outcomeOdds{failed: 0.02, slow: 0.01}, always)},
	{name: "good, a fifth of traffic", trafficScale: 0.2, new: healthy},
	{name: "good, cold start", new: healthyPlus(outcomeOdds{slow: 0.5}, inWarmup)},
	{name: "bad at once, all calls", isBad: true, new: healthyPlus(outcomeOdds{failed: 1}, always)},
	{name: "bad at once, 20%", isBad: true, new: healthyPlus(outcomeOdds{failed: 0.2}, always)},
	{name: "bad at once, 3%", isBad: true, new: healthyPlus(outcomeOdds{failed: 0.03}, always)},
	{name: "bad later, 20%", isBad: true, new: healthyPlus(outcomeOdds{failed: 0.2}, func(m callContext) bool { return m.elapsedFraction > 0.4 })},
	{name: "slow, 30%", isBad: true, new: healthyPlus(outcomeOdds{slow: 0.3}, always)},
	{name: "slow only under load", isBad: true, new: healthyPlus(outcomeOdds{slow: 0.4}, func(m callContext) bool { return m.newShare >= 0.5 })},
	{name: "bad on the lowest route", isBad: true, new: healthyPlus(outcomeOdds{failed: 1}, func(m callContext) bool { return m.isQuietestRoute })},
	{name: "crashing, 1% of calls", isBad: true, new: healthyPlus(outcomeOdds{crash: 0.01}, always)},
	{name: "bad only at 100%, 20%", isBad: true, new: healthyPlus(outcomeOdds{failed: 0.2}, func(m callContext) bool { return m.newShare == 1 })},
	{name: "bad late in the soak, 20%", isBad: true, new: healthyPlus(outcomeOdds{failed: 0.2}, func(m callContext) bool { return m.elapsedFraction > 0.8 })},
	{name: "slow drift from 30% of time", isBad: true, new: driftingOdds},
}
