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
	for _, d := range []time.Duration{s.HeartbeatInterval, s.GracePeriod, s.ConfigurationApplyTimeout, s.RetryBudgetWindow} {
		assert.Assert(t, d > 0)
	}
	assert.Assert(t, s.RetryBudgetRatio > 0)
	assert.Equal(t, Settings{GracePeriod: time.Minute}.WithDefaults().GracePeriod, time.Minute)
	e := newEntry(&shared{settings: s}, nil, nil)
	e.budget("s").RecordRequest(time.Now())
	assert.Assert(t, !e.budget("s").TryWithdraw(time.Now(), 24))
}

// Guards against answers to the endpoint beside a node that count on its machine's link,
// which they never enter, and against answers to others that do not.
func TestPeersOnThisMachine(t *testing.T) {
	for _, test := range []struct {
		inbound, peer string
		same          bool
	}{
		{"10.1.0.7:8443", "10.1.0.7:40000", true},
		{"10.1.0.7:8443", "10.1.0.70:40000", false},
		{"[fd00::7]:8443", "[fd00::7]:40000", true},
		{":8443", "10.1.0.7:40000", false},
		{"10.1.0.7:8443", "", false},
	} {
		assert.Equal(t, Settings{InboundAddress: test.inbound}.onThisMachine(test.peer), test.same, "%+v", test)
	}
}
