package platform

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// RateLimits bounds the rate of one node's calls for objects of one kind.
type RateLimits struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	// WriteBurst and ReadBurst are the token bucket sizes, in calls.
	WriteBurst int
	ReadBurst  int
}

// CallLimits bounds the calls of one node. Each kind has its own token buckets, so
// that writing a large configuration does not delay the renewal of a lease.
type CallLimits struct {
	Default RateLimits
	// PerKind overrides Default for single kinds.
	PerKind map[Kind]RateLimits
	// MaxWatches is the maximum number of concurrent watches.
	MaxWatches int
}

// configPartBurst lets a complete configuration be written or read in one burst, as
// on the first import and by a node without peers. The parts of 320 services and of
// 64 customer groups alone would take 77 s at 5 writes/s.
const configPartBurst = 512

// idempotencyReadBurst lets the new owner of a shard of idempotency keys quickly read
// the claims of one day; until then, calls with such keys are rejected.
const idempotencyReadBurst = 200

// DefaultCallLimits returns the call limits of a node.
func DefaultCallLimits() CallLimits {
	rates := RateLimits{WritesPerSecond: 5, ReadsPerSecond: 10, WriteBurst: 10, ReadBurst: 20}
	partLimits := rates
	partLimits.WriteBurst, partLimits.ReadBurst = configPartBurst, configPartBurst
	idempotencyLimits := rates
	idempotencyLimits.ReadBurst = idempotencyReadBurst
	return CallLimits{
		Default: rates, PerKind: map[Kind]RateLimits{KindConfigPart: partLimits, KindIdempotencySegment: idempotencyLimits}, MaxWatches: 2,
	}
}

// RateLimitedStore is a Store that rejects calls beyond its CallLimits with
// ErrClientRateLimited. After a rate limit error of the platform, it rejects all calls
// until the requested wait is over.
type RateLimitedStore struct {
	store  Store
	limits CallLimits
	now    func() time.Time

	mu            sync.Mutex
	buckets       map[bucketKey]*rate.Limiter
	activeWatches int
	// pausedUntil is the end of the longest wait that the platform requested.
	pausedUntil time.Time
}

type bucketKey struct {
	kind  Kind
	write bool
}

// NewRateLimitedStore returns a Store that applies limits to the calls of store.
func NewRateLimitedStore(store Store, limits CallLimits) *RateLimitedStore {
	return &RateLimitedStore{store: store, limits: limits, now: time.Now, buckets: make(map[bucketKey]*rate.Limiter)}
}

// takeToken takes a token for one call or returns ErrClientRateLimited.
func (s *RateLimitedStore) takeToken(kind Kind, verb Verb) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Before(s.pausedUntil) {
		return ErrClientRateLimited
	}
	key := bucketKey{kind: kind, write: CallKey{Verb: verb}.IsWrite()}
	bucket := s.buckets[key]
	if bucket == nil {
		bucket = s.newBucket(key)
		s.buckets[key] = bucket
	}
	if !bucket.AllowN(now, 1) {
		return ErrClientRateLimited
	}
	return nil
}

func (s *RateLimitedStore) newBucket(key bucketKey) *rate.Limiter {
	rates, ok := s.limits.PerKind[key.kind]
	if !ok {
		rates = s.limits.Default
	}
	if key.write {
		return rate.NewLimiter(rate.Limit(rates.WritesPerSecond), rates.WriteBurst)
	}
	return rate.NewLimiter(rate.Limit(rates.ReadsPerSecond), rates.ReadBurst)
}

// recordRetryAfter pauses all calls if err is a rate limit error of the platform. It
// returns err.
func (s *RateLimitedStore) recordRetryAfter(err error) error {
	var limited *TooManyRequestsError
	if errors.As(err, &limited) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if until := s.now().Add(limited.RetryAfter); until.After(s.pausedUntil) {
			s.pausedUntil = until
		}
	}
	return err
}

// Get implements Store.
func (s *RateLimitedStore) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	if err := s.takeToken(kind, VerbGet); err != nil {
		return Object{}, err
	}
	object, err := s.store.Get(ctx, kind, name)
	return object, s.recordRetryAfter(err)
}

// List implements Store.
func (s *RateLimitedStore) List(ctx context.Context, kind Kind) (objects []Object, version string, err error) {
	if err := s.takeToken(kind, VerbList); err != nil {
		return nil, "", err
	}
	objects, version, err = s.store.List(ctx, kind)
	return objects, version, s.recordRetryAfter(err)
}

// Create implements Store.
func (s *RateLimitedStore) Create(ctx context.Context, kind Kind, name string, value []byte) (Object, error) {
	if err := s.takeToken(kind, VerbCreate); err != nil {
		return Object{}, err
	}
	object, err := s.store.Create(ctx, kind, name, value)
	return object, s.recordRetryAfter(err)
}

// Update implements Store.
func (s *RateLimitedStore) Update(ctx context.Context, object Object) (Object, error) {
	if err := s.takeToken(object.Kind, VerbUpdate); err != nil {
		return Object{}, err
	}
	updated, err := s.store.Update(ctx, object)
	return updated, s.recordRetryAfter(err)
}

// Delete implements Store.
func (s *RateLimitedStore) Delete(ctx context.Context, kind Kind, name, version string) error {
	if err := s.takeToken(kind, VerbDelete); err != nil {
		return err
	}
	return s.recordRetryAfter(s.store.Delete(ctx, kind, name, version))
}

// Watch implements Store. Starting a watch takes a read token; an active watch counts
// against CallLimits.MaxWatches.
func (s *RateLimitedStore) Watch(ctx context.Context, kind Kind, version string, handle func(Event) error) error {
	if !s.acquireWatch() {
		return ErrClientRateLimited
	}
	defer s.releaseWatch()
	if err := s.takeToken(kind, VerbWatch); err != nil {
		return err
	}
	return s.recordRetryAfter(s.store.Watch(ctx, kind, version, handle))
}

func (s *RateLimitedStore) acquireWatch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeWatches >= s.limits.MaxWatches {
		return false
	}
	s.activeWatches++
	return true
}

func (s *RateLimitedStore) releaseWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeWatches--
}

var (
	_ Store = (*InstrumentedStore)(nil)
	_ Store = (*RateLimitedStore)(nil)
)
