package platform

import (
	"context"
	"maps"
	"sync"

	"github.com/uber-go/tally/v4"
)

// Verb is the operation of a call.
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

// CallKey is the key by which calls are counted.
type CallKey struct {
	Kind Kind
	Verb Verb
}

// IsWrite reports whether the call changes objects.
func (c CallKey) IsWrite() bool {
	return c.Verb == VerbCreate || c.Verb == VerbUpdate || c.Verb == VerbDelete
}

// InstrumentedStore is a Store that counts calls by kind and verb. Wrap it in a
// RateLimitedStore, not the reverse, so that it counts only calls that are sent.
type InstrumentedStore struct {
	store Store
	scope tally.Scope

	mu     sync.Mutex
	counts map[CallKey]int64
}

// NewInstrumentedStore returns a Store that counts the calls of store. It reports them
// to scope as counter platform_calls with tags kind and verb; a nil scope reports none.
func NewInstrumentedStore(store Store, scope tally.Scope) *InstrumentedStore {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &InstrumentedStore{store: store, scope: scope, counts: make(map[CallKey]int64)}
}

// CallCounts returns the number of calls since the store was created.
func (s *InstrumentedStore) CallCounts() map[CallKey]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

func (s *InstrumentedStore) count(kind Kind, verb Verb) {
	s.scope.Tagged(map[string]string{"kind": string(kind), "verb": string(verb)}).Counter("platform_calls").Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[CallKey{Kind: kind, Verb: verb}]++
}

// Get implements Store.
func (s *InstrumentedStore) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	s.count(kind, VerbGet)
	return s.store.Get(ctx, kind, name)
}

// List implements Store.
func (s *InstrumentedStore) List(ctx context.Context, kind Kind) (objects []Object, version string, err error) {
	s.count(kind, VerbList)
	return s.store.List(ctx, kind)
}

// Create implements Store.
func (s *InstrumentedStore) Create(ctx context.Context, kind Kind, name string, value []byte) (Object, error) {
	s.count(kind, VerbCreate)
	return s.store.Create(ctx, kind, name, value)
}

// Update implements Store.
func (s *InstrumentedStore) Update(ctx context.Context, object Object) (Object, error) {
	s.count(object.Kind, VerbUpdate)
	return s.store.Update(ctx, object)
}

// Delete implements Store.
func (s *InstrumentedStore) Delete(ctx context.Context, kind Kind, name, version string) error {
	s.count(kind, VerbDelete)
	return s.store.Delete(ctx, kind, name, version)
}

// Watch implements Store.
func (s *InstrumentedStore) Watch(ctx context.Context, kind Kind, version string, handle func(Event) error) error {
	s.count(kind, VerbWatch)
	return s.store.Watch(ctx, kind, version, handle)
}
