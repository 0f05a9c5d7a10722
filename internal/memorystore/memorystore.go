// Package memorystore is an in-memory fake of platform.Store for tests. It does not
// implement Watch, List and Delete.
package memorystore

import (
	"context"
	"errors"
	"strconv"
	"sync"

	"github.com/azurespring/azurespring/pkg/platform"
)

// Errors of a store with injected faults.
var (
	ErrUnavailable = errors.New("platform is down")
	ErrReplyLost   = errors.New("reply lost")
)

// Store is a platform.Store. Methods that it does not implement panic.
type Store struct {
	platform.Store
	mu                          sync.Mutex
	objects                     map[objectKey]platform.Object
	writes                      int
	isUnavailable, losesReplies bool
}

type objectKey struct {
	kind platform.Kind
	name string
}

// New returns an empty store without injected faults.
func New() *Store { return &Store{objects: map[objectKey]platform.Object{}} }

// SetUnavailable makes all calls fail with ErrUnavailable.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isUnavailable = unavailable
}

// SetLoseReplies makes writes take effect but fail with ErrReplyLost.
func (s *Store) SetLoseReplies(loseReplies bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losesReplies = loseReplies
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
	if s.isUnavailable {
		return platform.Object{}, ErrUnavailable
	}
	object, ok := s.objects[objectKey{kind, name}]
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

func (s *Store) put(object platform.Object, versionMismatch error) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := objectKey{object.Kind, object.Name}
	if s.isUnavailable {
		return platform.Object{}, ErrUnavailable
	}
	if s.objects[k].ResourceVersion != object.ResourceVersion {
		return platform.Object{}, versionMismatch
	}
	s.writes++
	object.ResourceVersion = strconv.Itoa(s.writes)
	s.objects[k] = object
	if s.losesReplies {
		return platform.Object{}, ErrReplyLost
	}
	return object, nil
}
