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
