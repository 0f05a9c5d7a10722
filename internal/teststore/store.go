// Package teststore is a fake of the platform's object API for tests. It follows the
// Kubernetes API conventions and injects faults on request. It stores objects in memory
// only and must not be used for real data.
package teststore

import (
	"encoding/json"
	"maps"
	"strconv"
	"sync"
	"time"
)

// historySize is the maximum number of changes that are retained for watches that start
// from an older version.
const historySize = 4096

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	// Down makes the store close connections without a response.
	Down bool `json:"down"`
	// Delay precedes each call.
	Delay time.Duration `json:"delay"`
	// LostReplies is the number of next writes that take effect but get no response.
	LostReplies int `json:"loseReplies"`
	// RejectedWrites is the number of next writes that fail with status 500 without effect.
	RejectedWrites int `json:"rejectWrites"`
	// RateLimitedCalls is the number of next calls that fail with status 429.
	RateLimitedCalls int `json:"rateLimit"`
	// RetryAfterSeconds is the Retry-After header of rate limited calls.
	RetryAfterSeconds int `json:"retryAfterSeconds"`
	// Resource restricts LostReplies, RejectedWrites and RateLimitedCalls to one plural
	// resource name, such as "configheads"; empty means all.
	Resource string `json:"resource"`
	// SilenceWatches makes watches send nothing, not even bookmarks.
	SilenceWatches bool `json:"silent"`
}

func (f Faults) appliesTo(path requestPath) bool {
	return f.Resource == "" || f.Resource == path.resource
}

// object is one stored object. Spec and Status are stored as sent.
type object struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Kind    string          `json:"kind"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	Status  json.RawMessage `json:"status,omitempty"`
}

type key struct{ namespace, resource, name string }

type change struct {
	version uint64
	kind    string
	key     key
	object  object
}

// Backup is a backup of the stored objects.
type Backup struct {
	version uint64
	objects map[key]object
}

// Store is the fake platform. It is an http.Handler.
type Store struct {
	// BookmarkInterval is the time between bookmarks of a watch. Set it before use.
	BookmarkInterval time.Duration

	mu      sync.Mutex
	version uint64
	objects map[key]object
	history []change
	// watchesBroken is closed and replaced to end all running watches.
	watchesBroken chan struct{}
	wake          chan struct{}
	faults        Faults
	counts        map[string]int
	// activeWatches is the number of running watches.
	activeWatches int
	backup        Backup
}

// New returns an empty store without injected faults.
func New() *Store {
	return &Store{
		BookmarkInterval: time.Second,
		objects:          make(map[key]object),
		watchesBroken:    make(chan struct{}),
		wake:             make(chan struct{}),
		counts:           make(map[string]int),
	}
}

// SetFaults replaces the injected faults. Faults.Down ends all running watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Down {
		s.breakWatches()
	}
	s.wakeWatches()
}

// Faults returns the injected faults with the remaining numbers of calls to fail.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// CallCounts returns the number of calls by "verb resource".
func (s *Store) CallCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

// ActiveWatches returns the number of running watches.
func (s *Store) ActiveWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeWatches
}

// ExpireWatches ends all watches with 410 and deletes the history, so that a new watch
// from an old version is rejected.
func (s *Store) ExpireWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.breakWatches()
}

// Backup returns a copy of all objects.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{version: s.version, objects: maps.Clone(s.objects)}
}

// Restore replaces all objects by those of a backup and expires all watches. Versions
// continue from that of the backup, as after a restore of the real platform.
func (s *Store) Restore(backup Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = backup.version
	s.objects = maps.Clone(backup.objects)
	if s.objects == nil {
		s.objects = make(map[key]object)
	}
	s.history = nil
	s.breakWatches()
}

func (s *Store) breakWatches() {
	close(s.watchesBroken)
	s.watchesBroken = make(chan struct{})
}

func (s *Store) wakeWatches() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// put stores or deletes o under the next version and notifies the watches. The caller
// holds mu.
func (s *Store) put(k key, o object, kind string) object {
	s.version++
	o.Version = s.version
	if kind == "DELETED" {
		delete(s.objects, k)
	} else {
		s.objects[k] = o
	}
	s.history = append(s.history, change{version: s.version, kind: kind, key: k, object: o})
	if len(s.history) > historySize {
		s.history = append([]change(nil), s.history[len(s.history)-historySize/2:]...)
	}
	s.wakeWatches()
	return o
}

func (o object) json() map[string]any {
	body := map[string]any{
		"apiVersion": "azurespring.io/v1", "kind": o.Kind,
		"metadata": map[string]any{"name": o.Name, "resourceVersion": strconv.FormatUint(o.Version, 10)},
	}
	if len(o.Spec) != 0 {
		body["spec"] = o.Spec
	}
	if len(o.Status) != 0 {
		body["status"] = o.Status
	}
	return body
}
