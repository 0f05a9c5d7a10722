package platform_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/azurespring/azurespring/pkg/platform"
	"gotest.tools/v3/assert"
)

// stub is a Store whose reads and writes return err and whose watches block until
// their context ends.
type stub struct {
	platform.Store
	err      error
	watching chan struct{}
}

func (s *stub) Get(context.Context, platform.Kind, string) (platform.Object, error) {
	return platform.Object{}, s.err
}

func (s *stub) Update(_ context.Context, o platform.Object) (platform.Object, error) { return o, s.err }

func (s *stub) Watch(ctx context.Context, _ platform.Kind, _ string, _ func(platform.Event) error) error {
	s.watching <- struct{}{}
	<-ctx.Done()
	return ctx.Err()
}

// Verifies that calls beyond the limits are not sent and that calls for one kind do
// not use up the limits of another.
func TestRateLimitedStoreRejectsCallsBeyondLimitsOfKind(t *testing.T) {
	instrumented := platform.NewInstrumentedStore(&stub{}, nil)
	limited := platform.NewRateLimitedStore(instrumented, platform.CallLimits{
		Default: platform.RateLimits{ReadBurst: 3, WriteBurst: 2},
		PerKind: map[platform.Kind]platform.RateLimits{platform.KindLease: {WriteBurst: 1}},
	})
	rejected := 0
	for range 5 {
		_, err := limited.Update(t.Context(), platform.Object{Kind: platform.KindConfigPart})
		if errors.Is(err, platform.ErrClientRateLimited) {
			rejected++
		}
	}
	assert.Equal(t, rejected, 3)
	_, err := limited.Update(t.Context(), platform.Object{Kind: platform.KindLease})
	assert.NilError(t, err)
	_, err = limited.Update(t.Context(), platform.Object{Kind: platform.KindLease})
	assert.ErrorIs(t, err, platform.ErrClientRateLimited)
	assert.DeepEqual(t, instrumented.CallCounts(), map[platform.CallKey]int64{
		{Kind: platform.KindConfigPart, Verb: platform.VerbUpdate}: 2,
		{Kind: platform.KindLease, Verb: platform.VerbUpdate}:      1,
	})
}

// Verifies that a rate limit error of the platform stops all calls of the node for
// the requested time.
func TestRateLimitedStoreHonoursRetryAfter(t *testing.T) {
	s := &stub{err: &platform.TooManyRequestsError{RetryAfter: time.Hour}}
	limited := platform.NewRateLimitedStore(s, platform.DefaultCallLimits())
	_, err := limited.Get(t.Context(), platform.KindLease, "a")
	assert.Assert(t, !errors.Is(err, platform.ErrClientRateLimited))
	_, err = limited.Get(t.Context(), platform.KindConfigHead, "a")
	assert.ErrorIs(t, err, platform.ErrClientRateLimited)
}

// Verifies that watches beyond MaxWatches are rejected and that the end of a watch
// allows another.
func TestRateLimitedStoreRejectsWatchesBeyondMaxWatches(t *testing.T) {
	s := &stub{watching: make(chan struct{})}
	limits := platform.DefaultCallLimits()
	limits.MaxWatches = 1
	limited := platform.NewRateLimitedStore(s, limits)
	for range 2 {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- limited.Watch(ctx, platform.KindConfigHead, "1", nil) }()
		<-s.watching
		assert.ErrorIs(t, limited.Watch(t.Context(), platform.KindConfigHead, "1", nil), platform.ErrClientRateLimited)
		cancel()
		assert.ErrorIs(t, <-ended, context.Canceled)
	}
}
