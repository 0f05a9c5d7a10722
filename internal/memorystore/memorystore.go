// Package memorystore is a platform.Store in memory for tests. It has no
// watches, lists or deletions.
package memorystore

import (
	"context"
	"errors"
	"strconv"
	"sync"

	"github.com/azurespring/azurespring/pkg/platform"
)

// Errors of a store with faults.
var (
	ErrUnavailable = errors.New("platform is down")
	ErrReplyLost   = errors.New("reply lost")
)

// Store is a platform.Store. Calls of methods that it lacks panic.
type Store struct {
	platform.Store
	mu         sync.Mutex
	objects    map[key]platform.Object
	writes     int
	down, lost bool
}

type key struct {
	kind platform.Kind
	name string
}

// New returns an empty store without faults.
func New() *Store { return &Store{objects: map[key]platform.Object{}} }

// SetUnavailable makes all calls fail.
func (s *Store) SetUnavailable(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetLoseReplies makes writes take effect but fail.
func (s *Store) SetLoseReplies(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = lost
}

// WriteCount returns the number of writes that took effect.
func (s *Store) WriteCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// Get implements platform.Store.
func (s *Store) Get(_ context.Context, kind platform.Kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Object{}, ErrUnavailable
	}
	object, ok := s.objects[key{kind, name}]
	if !ok {
		return object, platform.ErrNotFound
	}
	return object, nil
}

// Create implements platform.Store.
func (s *Store) Create(_ context.Context, kind platform.Kind, name string, value []byte) (platform.Object, error) {
	return s.put(platform.Object{Kind: kind, Name: name, Value: value}, platform.ErrAlreadyExists)
}

// Update implements platform.Store.
func (s *Store) Update(_ context.Context, object platform.Object) (platform.Object, error) {
	return s.put(object, platform.ErrConflict)
}

func (s *Store) put(object platform.Object, conflict error) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := key{object.Kind, object.Name}
	if s.down {
		return platform.Object{}, ErrUnavailable
	}
	if s.objects[at].ResourceVersion != object.ResourceVersion {
		return platform.Object{}, conflict
	}
	s.writes++
	object.ResourceVersion = strconv.Itoa(s.writes)
	s.objects[at] = object
	if s.lost {
		return platform.Object{}, ErrReplyLost
	}
	return object, nil
}
