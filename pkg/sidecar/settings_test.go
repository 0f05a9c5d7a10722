package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a node that fails on a deployment whose terms set no bounds: a
// window of 0 divides by zero in the budget of repeats.
func TestBoundsHaveDefaults(t *testing.T) {
	s := Settings{}.WithDefaults()
	for _, d := range []time.Duration{s.HeartbeatInterval, s.Grace, s.ConfigurationLag, s.RetryWindow} {
		assert.Assert(t, d > 0)
	}
	assert.Assert(t, s.RetryRatio > 0)
	assert.Equal(t, Settings{Grace: time.Minute}.WithDefaults().Grace, time.Minute)
	e := newEntry(&shared{settings: s}, nil, nil)
	e.budget("s").Request(time.Now())
	assert.Assert(t, !e.budget("s").Take(time.Now(), 24))
}
