package platform

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Rates bound the calls of one node for objects of one kind.
type Rates struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	// WriteBurst and ReadBurst are the calls that may be made at once after a pause.
	WriteBurst int
	ReadBurst  int
}

// RetryBudget bounds the calls of one node. Each kind has buckets of its own, so that
// a large change of the configuration does not keep a lease from being renewed.
type Budget struct {
	Default Rates
	// Kinds holds rates other than the default.
	Kinds map[Kind]Rates
	// MaxWatches is the number of watches that may wait at the same time.
	Watches int
}

// partBurst lets a whole configuration be stored or read at once, which happens
// at the first import and at a node without peers. The parts of 320 services and of 64
// groups of customers alone would take 77 s at 5 writes/s.
const partBurst = 512

// historyBurst lets a new owner of a shard of idempotency keys read the claims of
// a day soon; until it has, calls with such keys are refused.
const historyBurst = 200

// DefaultBudget returns the budget of a node.
func DefaultBudget() Budget {
	rates := Rates{WritesPerSecond: 5, ReadsPerSecond: 10, WriteBurst: 10, ReadBurst: 20}
	parts := rates
	parts.WriteBurst, parts.ReadBurst = partBurst, partBurst
	history := rates
	history.ReadBurst = historyBurst
	return Budget{
		Default: rates, Kinds: map[Kind]Rates{ConfigPart: parts, IdempotencySegment: history}, Watches: 2,
	}
}

// Budgeted is a Store that refuses calls beyond a budget with ErrBudget. It
// also refuses calls for as long as the platform asked to wait with a rate limit.
type Budgeted struct {
	store  Store
	budget Budget
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

// NewBudgeted wraps store.
func NewBudgeted(store Store, budget Budget) *Budgeted {
	return &Budgeted{store: store, budget: budget, now: time.Now, buckets: make(map[bucketKey]*rate.Limiter)}
}

// take takes a token for one call.
func (b *Budgeted) take(kind Kind, verb Verb) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if now.Before(b.pausedUntil) {
		return ErrBudget
	}
	key := bucketKey{kind: kind, write: Call{Verb: verb}.Write()}
	bucket := b.buckets[key]
	if bucket == nil {
		bucket = b.newBucket(key)
		b.buckets[key] = bucket
	}
	if !bucket.AllowN(now, 1) {
		return ErrBudget
	}
	return nil
}

func (b *Budgeted) newBucket(key bucketKey) *rate.Limiter {
	rates, ok := b.budget.Kinds[key.kind]
	if !ok {
		rates = b.budget.Default
	}
	if key.write {
		return rate.NewLimiter(rate.Limit(rates.WritesPerSecond), rates.WriteBurst)
	}
	return rate.NewLimiter(rate.Limit(rates.ReadsPerSecond), rates.ReadBurst)
}

// learn takes in the wait that a rate limit of the platform asks for.
func (b *Budgeted) learn(err error) error {
	var limited *RateLimitedError
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
func (b *Budgeted) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	if err := b.take(kind, VerbGet); err != nil {
		return Object{}, err
	}
	object, err := b.store.Get(ctx, kind, name)
	return object, b.learn(err)
}

// List implements Store.
func (b *Budgeted) List(ctx context.Context, kind Kind) (objects []Object, version string, err error) {
	if err := b.take(kind, VerbList); err != nil {
		return nil, "", err
	}
	objects, version, err = b.store.List(ctx, kind)
	return objects, version, b.learn(err)
}

// Create implements Store.
func (b *Budgeted) Create(ctx context.Context, kind Kind, name string, value []byte) (Object, error) {
	if err := b.take(kind, VerbCreate); err != nil {
		return Object{}, err
	}
	object, err := b.store.Create(ctx, kind, name, value)
	return object, b.learn(err)
}

// Update implements Store.
func (b *Budgeted) Update(ctx context.Context, object Object) (Object, error) {
	if err := b.take(object.Kind, VerbUpdate); err != nil {
		return Object{}, err
	}
	updated, err := b.store.Update(ctx, object)
	return updated, b.learn(err)
}

// DeleteStart implements Store.
func (b *Budgeted) Delete(ctx context.Context, kind Kind, name, version string) error {
	if err := b.take(kind, VerbDelete); err != nil {
		return err
	}
	return b.learn(b.store.Delete(ctx, kind, name, version))
}

// Watch implements Store. Starting a watch costs a read; waiting counts against
// Budget.Watches.
func (b *Budgeted) Watch(ctx context.Context, kind Kind, version string, handle func(Event) error) error {
	if !b.enterWatch() {
		return ErrBudget
	}
	defer b.leaveWatch()
	if err := b.take(kind, VerbWatch); err != nil {
		return err
	}
	return b.learn(b.store.Watch(ctx, kind, version, handle))
}

func (b *Budgeted) enterWatch() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.watches >= b.budget.Watches {
		return false
	}
	b.watches++
	return true
}

func (b *Budgeted) leaveWatch() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watches--
}

var (
	_ Store = (*Counted)(nil)
	_ Store = (*Budgeted)(nil)
)
