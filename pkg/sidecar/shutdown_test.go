package sidecar

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a node that begins requests late in its shutdown and cannot finish them.
func TestRequestThatOutlastsShutdownIsRejected(t *testing.T) {
	const gracePeriod = 6 * time.Second
	started := time.Unix(1000, 0)
	schedule := newShutdownSchedule(started, gracePeriod)
	assert.Assert(t, schedule.requestsEndAt.Add(closeTimeout).Before(started.Add(gracePeriod)), "the process is killed before it has answered")
	for _, c := range []struct {
		elapsed, timeout time.Duration
		admitted         bool
	}{
		{0, 30 * time.Second, true},
		{2900 * time.Millisecond, 30 * time.Second, true},
		{3 * time.Second, 2100 * time.Millisecond, true},
		{3 * time.Second, 2101 * time.Millisecond, false},
		{3220 * time.Millisecond, 2610 * time.Millisecond, false},
		{4500 * time.Millisecond, 500 * time.Millisecond, true},
		{4700 * time.Millisecond, 500 * time.Millisecond, false},
		{5100 * time.Millisecond, 0, false},
		{7 * time.Second, time.Millisecond, false},
	} {
		t.Run(fmt.Sprintf("after %v with %v left", c.elapsed, c.timeout), func(t *testing.T) {
			now := started.Add(c.elapsed)
			assert.Equal(t, schedule.admits(now, now.Add(c.timeout)), c.admitted)
		})
	}
}

// Guards against a request that is begun late in a shutdown and broken off while its
// endpoint is at work. LOST excuses that only for requests sent no later than 3 s after
// SIGTERM, and only in the last sixth of the grace period.
func TestOnlyEarlyRequestsMayBeBrokenOffByShutdown(t *testing.T) {
	const latestExcusedStart = 3 * time.Second
	started := time.Unix(1000, 0)
	for _, gracePeriod := range []time.Duration{4 * time.Second, 5 * time.Second, 6 * time.Second, 10 * time.Second, 30 * time.Second} {
		t.Run(gracePeriod.String(), func(t *testing.T) {
			schedule := newShutdownSchedule(started, gracePeriod)
			for elapsed := time.Duration(0); elapsed < gracePeriod; elapsed += 50 * time.Millisecond {
				now := started.Add(elapsed)
				outlasts := schedule.attemptsEndAt.Add(time.Millisecond)
				if !schedule.admits(now, outlasts) {
					continue
				}
				assert.Assert(t, elapsed <= latestExcusedStart, "a request that may outlast the node is begun %v after SIGTERM", elapsed)
				assert.Assert(t, !schedule.attemptsEndAt.Before(started.Add(gracePeriod*5/6)), "a request is broken off before the last sixth of the grace period")
			}
		})
	}
}
