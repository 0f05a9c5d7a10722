package report

import (
	"context"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/platform"
)

// memoryStore is a platform.Store in memory with faults.
type memoryStore struct {
	platform.Store
	mu      sync.Mutex
	objects map[string]platform.Object
	version int
	writes  int
	// down refuses all calls; lost carries writes out but fails their replies.
	down, lost bool
}

func newStore() *memoryStore { return &memoryStore{objects: map[string]platform.Object{}} }

func (m *memoryStore) Get(_ context.Context, _ platform.Kind, name string) (platform.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return platform.Object{}, eris.New("platform is down")
	}
	object, ok := m.objects[name]
	if !ok {
		return object, platform.ErrNotFound
	}
	return object, nil
}

func (m *memoryStore) Create(_ context.Context, kind platform.Kind, name string, value []byte) (platform.Object, error) {
	return m.put(platform.Object{Kind: kind, Name: name, Value: value}, platform.ErrExists)
}

func (m *memoryStore) Update(_ context.Context, object platform.Object) (platform.Object, error) {
	return m.put(object, platform.ErrConflict)
}

func (m *memoryStore) put(object platform.Object, conflict error) (platform.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return platform.Object{}, eris.New("platform is down")
	}
	if m.objects[object.Name].Version != object.Version {
		return platform.Object{}, conflict
	}
	m.version++
	if object.Name != indexName {
		m.writes++
	}
	object.Version = strconv.Itoa(m.version)
	m.objects[object.Name] = object
	if m.lost {
		return platform.Object{}, eris.New("reply lost")
	}
	return object, nil
}
