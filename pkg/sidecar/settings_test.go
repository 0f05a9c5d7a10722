package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Verifies that settings that a deployment does not set get defaults. A retry budget
// window of 0 would divide by zero.
func TestSettingsHaveDefaults(t *testing.T) {
	s := Settings{}.WithDefaults()
	for _, d := range []time.Duration{s.HeartbeatInterval, s.GracePeriod, s.ConfigurationApplyTimeout, s.RetryBudgetWindow} {
		assert.Assert(t, d > 0)
	}
	assert.Assert(t, s.RetryBudgetRatio > 0)
	assert.Equal(t, Settings{GracePeriod: time.Minute}.WithDefaults().GracePeriod, time.Minute)
	e := newEntry(&shared{settings: s}, nil, nil)
	e.retryBudget("s").RecordRequest(time.Now())
	assert.Assert(t, !e.retryBudget("s").TryWithdraw(time.Now(), 24))
}

// Verifies which responses bypass the scheduling of the instance's link: those to peers
// on the same instance, which never use the link, and no others.
func TestSettingsDetectPeersOnSameInstance(t *testing.T) {
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
		assert.Equal(t, Settings{InboundAddress: test.inbound}.isSameInstance(test.peer), test.same, "%+v", test)
	}
}
