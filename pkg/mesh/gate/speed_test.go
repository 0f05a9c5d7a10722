package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// Endpoints of the photo platform are slower by 2.5 for 600 ms at a time. The waits that
// the queue tells must follow the speed at once, and the mean must not keep it afterwards:
// the next senders would be sent away from an endpoint that is fast again.
func TestWaitsFollowTheSpeed(t *testing.T) {
	const usual = 60 * time.Millisecond
	q, now := NewQueue(1), epoch
	serve := func(n int, factor float64) {
		for range n {
			_, _ = q.Admit(now, Request{ID: 1, SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Second), MaxWait: time.Second})
			took := time.Duration(factor * float64(usual))
			now = now.Add(took)
			q.SetSlowdown(mesh.Slowdown{Factor: factor, At: now})
			q.Release(now, took)
		}
	}
	isNear := func(got, want time.Duration) {
		t.Helper()
		assert.Assert(t, got > want*9/10 && got < want*11/10, "%v, want %v", got, want)
	}
	serve(50, 1)
	isNear(q.ExpectedServiceTime(now), usual)
	serve(1, 2.5)
	isNear(q.ExpectedServiceTime(now), usual*5/2)
	serve(4, 2.5)
	isNear(q.ExpectedServiceTime(now), usual*5/2)
	serve(1, 1)
	isNear(q.ExpectedServiceTime(now), usual)
	// Without a further figure the mean speed counts, which is a little below the usual one.
	assert.Assert(t, q.ExpectedServiceTime(now.Add(time.Second)) < usual*3/2)
	// An endpoint that stays slow does not count as fast when its last figure is old.
	serve(50, 4.5)
	isNear(q.ExpectedServiceTime(now.Add(time.Second)), usual*9/2)
	_, _ = q.Admit(now, Request{ID: 2, SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Second), MaxWait: time.Second})
	_, rejection := q.Admit(now, Request{ID: 3, SoftDeadline: now.Add(time.Second), Deadline: now.Add(200 * time.Millisecond), MaxWait: time.Second})
	assert.Assert(t, rejection != nil, "the wait of 270 ms is longer than the time left")
	isNear(rejection.RetryAfter, usual*9/2)
}

// An unknown speed must change nothing.
func TestUnknownSpeedChangesNothing(t *testing.T) {
	q := NewQueue(1)
	q.SetSlowdown(mesh.Slowdown{})
	assert.Assert(t, !q.Slowdown().IsKnown())
	assert.Equal(t, q.AtSpeed(epoch, 61*time.Millisecond), 61*time.Millisecond)
	assert.Equal(t, q.AtUsualSpeed(epoch, 61*time.Millisecond), 61*time.Millisecond)
}
