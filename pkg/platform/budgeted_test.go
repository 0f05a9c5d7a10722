package platform_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/azurespring/azurespring/pkg/platform"
	"gotest.tools/v3/assert"
)

// stub is a Store whose reads and writes return err and whose watches last until
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

// TestBudget guards that calls beyond the budget are not sent and that a busy
// kind leaves the budget of other kinds alone.
func TestBudget(t *testing.T) {
	counted := platform.NewInstrumentedStore(&stub{}, nil)
	b := platform.NewRateLimitedStore(counted, platform.CallLimits{
		Default: platform.RateLimits{ReadBurst: 3, WriteBurst: 2},
		PerKind: map[platform.Kind]platform.RateLimits{platform.KindLease: {WriteBurst: 1}},
	})
	refused := 0
	for range 5 {
		_, err := b.Update(t.Context(), platform.Object{Kind: platform.KindConfigPart})
		if errors.Is(err, platform.ErrClientRateLimited) {
			refused++
		}
	}
	assert.Equal(t, refused, 3)
	_, err := b.Update(t.Context(), platform.Object{Kind: platform.KindLease})
	assert.NilError(t, err)
	_, err = b.Update(t.Context(), platform.Object{Kind: platform.KindLease})
	assert.ErrorIs(t, err, platform.ErrClientRateLimited)
	assert.DeepEqual(t, counted.CallCounts(), map[platform.CallKey]int64{
		{Kind: platform.KindConfigPart, Verb: platform.VerbUpdate}: 2,
		{Kind: platform.KindLease, Verb: platform.VerbUpdate}:      1,
	})
}

// TestBudgetHonoursRetryAfter guards that a rate limit of the platform stops
// all calls of the node for the time that it asks for.
func TestBudgetHonoursRetryAfter(t *testing.T) {
	s := &stub{err: &platform.TooManyRequestsError{RetryAfter: time.Hour}}
	b := platform.NewRateLimitedStore(s, platform.DefaultCallLimits())
	_, err := b.Get(t.Context(), platform.KindLease, "a")
	assert.Assert(t, !errors.Is(err, platform.ErrClientRateLimited))
	_, err = b.Get(t.Context(), platform.KindConfigHead, "a")
	assert.ErrorIs(t, err, platform.ErrClientRateLimited)
}

// TestWatchCap guards that no more watches wait than the budget allows, and that
// an ended watch makes room.
func TestWatchCap(t *testing.T) {
	s := &stub{watching: make(chan struct{})}
	budget := platform.DefaultCallLimits()
	budget.MaxWatches = 1
	b := platform.NewRateLimitedStore(s, budget)
	for range 2 {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- b.Watch(ctx, platform.KindConfigHead, "1", nil) }()
		<-s.watching
		assert.ErrorIs(t, b.Watch(t.Context(), platform.KindConfigHead, "1", nil), platform.ErrClientRateLimited)
		cancel()
		assert.ErrorIs(t, <-ended, context.Canceled)
	}
}
