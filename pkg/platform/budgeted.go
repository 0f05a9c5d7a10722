package platform

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// RateLimits bound the calls of one node for objects of one kind.
type RateLimits struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	// WriteBurst and ReadBurst are the calls that may be made at once after a pause.
	WriteBurst int
	ReadBurst  int
}

// CallLimits bounds the calls of one node. Each kind has buckets of its own, so that
// a large change of the configuration does not keep a lease from being renewed.
type CallLimits struct {
	Default RateLimits
	// PerKind holds rates other than the default.
	PerKind map[Kind]RateLimits
	// MaxWatches is the number of watches that may wait at the same time.
	MaxWatches int
}

// partBurst lets a whole configuration be stored or read at once, which happens
// at the first import and at a node without peers. The parts of 320 services and of 64
// groups of customers alone would take 77 s at 5 writes/s.
const partBurst = 512

// historyBurst lets a new owner of a shard of idempotency keys read the claims of
// a day soon; until it has, calls with such keys are refused.
const historyBurst = 200

// DefaultCallLimits returns the budget of a node.
func DefaultCallLimits() CallLimits {
	rates := RateLimits{WritesPerSecond: 5, ReadsPerSecond: 10, WriteBurst: 10, ReadBurst: 20}
	parts := rates
	parts.WriteBurst, parts.ReadBurst = partBurst, partBurst
	history := rates
	history.ReadBurst = historyBurst
	return CallLimits{
		Default: rates, PerKind: map[Kind]RateLimits{KindConfigPart: parts, KindIdempotencySegment: history}, MaxWatches: 2,
	}
}

// RateLimitedStore is a Store that refuses calls beyond a budget with ErrClientRateLimited. It
// also refuses calls for as long as the platform asked to wait with a rate limit.
type RateLimitedStore struct {
	store  Store
	budget CallLimits
	now    func() time.Time

	mu      sync.Mutex
	buckets map[bucketKey]*rate.Limiter
	watches int
	// pausedUntil is the end of the last wait that the platform asked for.
	pausedUntil time.Time
}

type bucketKey struct {
	kind  Kind
	write bool
}

// NewRateLimitedStore wraps store.
func NewRateLimitedStore(store Store, budget CallLimits) *RateLimitedStore {
	return &RateLimitedStore{store: store, budget: budget, now: time.Now, buckets: make(map[bucketKey]*rate.Limiter)}
}

// take takes a token for one call.
func (b *RateLimitedStore) take(kind Kind, verb Verb) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if now.Before(b.pausedUntil) {
		return ErrClientRateLimited
	}
	key := bucketKey{kind: kind, write: CallKey{Verb: verb}.IsWrite()}
	bucket := b.buckets[key]
	if bucket == nil {
		bucket = b.newBucket(key)
		b.buckets[key] = bucket
	}
	if !bucket.AllowN(now, 1) {
		return ErrClientRateLimited
	}
	return nil
}

func (b *RateLimitedStore) newBucket(key bucketKey) *rate.Limiter {
	rates, ok := b.budget.PerKind[key.kind]
	if !ok {
		rates = b.budget.Default
	}
	if key.write {
		return rate.NewLimiter(rate.Limit(rates.WritesPerSecond), rates.WriteBurst)
	}
	return rate.NewLimiter(rate.Limit(rates.ReadsPerSecond), rates.ReadBurst)
}

// learn takes in the wait that a rate limit of the platform asks for.
func (b *RateLimitedStore) learn(err error) error {
	var limited *TooManyRequestsError
	if errors.As(err, &limited) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if until := b.now().Add(limited.RetryAfter); until.After(b.pausedUntil) {
			b.pausedUntil = until
		}
	}
	return err
}

// Get implements Store.
func (b *RateLimitedStore) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	if err := b.take(kind, VerbGet); err != nil {
		return Object{}, err
	}
	object, err := b.store.Get(ctx, kind, name)
	return object, b.learn(err)
}

// List implements Store.
func (b *RateLimitedStore) List(ctx context.Context, kind Kind) (objects []Object, version string, err error) {
	if err := b.take(kind, VerbList); err != nil {
		return nil, "", err
	}
	objects, version, err = b.store.List(ctx, kind)
	return objects, version, b.learn(err)
}

// Create implements Store.
func (b *RateLimitedStore) Create(ctx context.Context, kind Kind, name string, value []byte) (Object, error) {
	if err := b.take(kind, VerbCreate); err != nil {
		return Object{}, err
	}
	object, err := b.store.Create(ctx, kind, name, value)
	return object, b.learn(err)
}

// Update implements Store.
func (b *RateLimitedStore) Update(ctx context.Context, object Object) (Object, error) {
	if err := b.take(object.Kind, VerbUpdate); err != nil {
		return Object{}, err
	}
	updated, err := b.store.Update(ctx, object)
	return updated, b.learn(err)
}

// Delete implements Store.
func (b *RateLimitedStore) Delete(ctx context.Context, kind Kind, name, version string) error {
	if err := b.take(kind, VerbDelete); err != nil {
		return err
	}
	return b.learn(b.store.Delete(ctx, kind, name, version))
}

// Watch implements Store. Starting a watch costs a read; waiting counts against
// Budget.Watches.
func (b *RateLimitedStore) Watch(ctx context.Context, kind Kind, version string, handle func(Event) error) error {
	if !b.enterWatch() {
		return ErrClientRateLimited
	}
	defer b.leaveWatch()
	if err := b.take(kind, VerbWatch); err != nil {
		return err
	}
	return b.learn(b.store.Watch(ctx, kind, version, handle))
}

func (b *RateLimitedStore) enterWatch() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.watches >= b.budget.MaxWatches {
		return false
	}
	b.watches++
	return true
}

func (b *RateLimitedStore) leaveWatch() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watches--
}

var (
	_ Store = (*InstrumentedStore)(nil)
	_ Store = (*RateLimitedStore)(nil)
)
