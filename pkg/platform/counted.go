package platform

import (
	"context"
	"maps"
	"sync"

	"github.com/uber-go/tally/v4"
)

// Verb is the kind of a call.
type Verb string

// The verbs of Store.
const (
	VerbGet    Verb = "get"
	VerbList   Verb = "list"
	VerbCreate Verb = "create"
	VerbUpdate Verb = "update"
	VerbDelete Verb = "delete"
	VerbWatch  Verb = "watch"
)

// CallKey identifies calls that are counted together.
type CallKey struct {
	Kind Kind
	Verb Verb
}

// IsWrite reports whether the call changes objects.
func (c CallKey) IsWrite() bool {
	return c.Verb == VerbCreate || c.Verb == VerbUpdate || c.Verb == VerbDelete
}

// InstrumentedStore is a Store that counts calls by kind and verb. Place it below
// Budgeted, so that it counts only calls that are sent.
type InstrumentedStore struct {
	store Store
	scope tally.Scope

	mu     sync.Mutex
	counts map[CallKey]int64
}

// NewInstrumentedStore wraps store. Metrics go to scope as counter platform_calls with
// tags kind and verb; a nil scope reports none.
func NewInstrumentedStore(store Store, scope tally.Scope) *InstrumentedStore {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &InstrumentedStore{store: store, scope: scope, counts: make(map[CallKey]int64)}
}

// CallCounts returns the number of calls since the start.
func (c *InstrumentedStore) CallCounts() map[CallKey]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

func (c *InstrumentedStore) count(kind Kind, verb Verb) {
	c.scope.Tagged(map[string]string{"kind": string(kind), "verb": string(verb)}).Counter("platform_calls").Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[CallKey{Kind: kind, Verb: verb}]++
}

// Get implements Store.
func (c *InstrumentedStore) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	c.count(kind, VerbGet)
	return c.store.Get(ctx, kind, name)
}

// List implements Store.
func (c *InstrumentedStore) List(ctx context.Context, kind Kind) (objects []Object, version string, err error) {
	c.count(kind, VerbList)
	return c.store.List(ctx, kind)
}

// Create implements Store.
func (c *InstrumentedStore) Create(ctx context.Context, kind Kind, name string, value []byte) (Object, error) {
	c.count(kind, VerbCreate)
	return c.store.Create(ctx, kind, name, value)
}

// Update implements Store.
func (c *InstrumentedStore) Update(ctx context.Context, object Object) (Object, error) {
	c.count(object.Kind, VerbUpdate)
	return c.store.Update(ctx, object)
}

// Delete implements Store.
func (c *InstrumentedStore) Delete(ctx context.Context, kind Kind, name, version string) error {
	c.count(kind, VerbDelete)
	return c.store.Delete(ctx, kind, name, version)
}

// Watch implements Store.
func (c *InstrumentedStore) Watch(ctx context.Context, kind Kind, version string, handle func(Event) error) error {
	c.count(kind, VerbWatch)
	return c.store.Watch(ctx, kind, version, handle)
}
