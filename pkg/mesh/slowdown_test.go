package mesh

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An old or absurd figure must not keep requests from an endpoint.
func TestSlowdownFadesWithItsAge(t *testing.T) {
	now := time.Unix(1, 0)
	for _, c := range []struct {
		factor float64
		age    time.Duration
		want   float64
	}{
		{0, 0, 1},
		{2.5, 0, 2.5},
		{2.5, 200 * time.Millisecond, 1.75},
		{2.5, 300 * time.Millisecond, 1.375},
		{2.5, time.Second, 1},
		{2.5, -time.Second, 2.5},
		{1e9, 0, maxSlowdown},
		{1e-9, 0, minSlowdown},
	} {
		got := Slowdown{Factor: c.factor, At: now.Add(-c.age)}.Estimate(now)
		assert.Assert(t, math.Abs(got-c.want) < 1e-9, "%v at %v: %v", c.factor, c.age, got)
	}
}
